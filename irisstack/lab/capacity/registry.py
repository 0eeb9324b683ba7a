"""The slopes that the page expects: whose they are, the size to carry them to, and their budgets.

A slope's name may be a pattern (`list-*-seconds-*`): it then stands for every result that it matches.
"""

from dataclasses import dataclass
from enum import Enum

from irisstack.lab.capacity import targets


class Role(Enum):
    """Whose state or cost a slope is."""

    NODE = "delivery node"
    CONTROL = "control machine"
    LIST = "keeper of the list"
    DESTINATION = "destination's side"
    OPERATOR = "operators' tool"


class Source(Enum):
    """Where a budget comes from."""

    OPERATORS = "operators"
    CODE = "code"
    OURS = "ours"
    """Assumed here, because the operators gave no figure."""


@dataclass(slots=True, frozen=True)
class Budget:
    """The most that a value may be at the target size."""

    limit: float
    source: Source
    reason: str


@dataclass(slots=True, frozen=True)
class ExpectedSlope:
    """One slope, or all that a pattern names."""

    name: str
    role: Role
    subject: str
    target_size: float | None
    """`None` where the operators gave no figure to carry the slope to."""
    target_reason: str
    budgets: tuple[Budget, ...] = ()
    mechanism: str = "none"
    """Module that carries it today."""


CONTROL_MEMORY = Budget(targets.CONTROL_MEMORY_BYTES, Source.OPERATORS, "memory for control")
CONTROL_BANDWIDTH = Budget(targets.CONTROL_BYTES_PER_S, Source.OPERATORS, "bytes a second for control")
CONTROL_CORE = Budget(targets.CONTROL_CORE_SHARE, Source.OPERATORS, "processor for control")
SETTINGS_IN_FORCE = Budget(
    targets.SETTINGS_IN_FORCE_WITHIN_S, Source.OPERATORS, "settings in force everywhere"
)
ONE_EVENT = Budget(
    targets.EVENT_PROCESSOR_S, Source.OPERATORS, "one core over a node's even part of the events"
)
ONE_TURN_EACH = Budget(
    targets.EVENT_PROCESSOR_S,
    Source.OPERATORS,
    "one core over a node's even part of the events, each in turns of its own",
)
LIST_LIMIT = Budget(targets.LIST_BYTES_LIMIT, Source.CODE, "MAX_LIST of node/http.py")
LIST_AT_CONTROL_BANDWIDTH = Budget(
    targets.CONTROL_BYTES_PER_S * targets.LIST_SILENCE_S,
    Source.OPERATORS,
    "bytes that come at the control bandwidth before SILENCE_TIMEOUT_S of node/list_call.py breaks the call",
)
REQUEST_PATIENCE = Budget(
    targets.REQUEST_WHOLE_BY_S,
    Source.CODE,
    "WHOLE_BY of node/client_connection.py: a longer standstill times clients out",
)
CHANGE_EACH_SECOND = Budget(
    targets.CONTROL_CORE_SHARE / targets.ASSUMED_LIST_CHANGES_PER_S,
    Source.OURS,
    "processor for control at one change of the list a second",
)
NODE_MEMORY = Budget(targets.ASSUMED_NODE_MEMORY_BYTES, Source.OURS, "memory of a node in all")
NODE_DISK = Budget(targets.ASSUMED_NODE_DISK_BYTES, Source.OURS, "disk of a node")
NODE_CORE = Budget(1.0, Source.CODE, "a node is one process on one core")
LIST_NEWS = Budget(targets.LIST_NEWS_WITHIN_S, Source.CODE, "news of the list, docs/design.md 12")
RETURN_LIMIT = Budget(1.0, Source.CODE, "the rule of the settings for a returning destination")

_DESTINATIONS = (float(targets.DESTINATIONS), "destinations, one endpoint each")
_NODES = (float(targets.NODES), "nodes")
_DOCUMENT = (float(targets.SETTINGS_DOCUMENT_BYTES), "the largest document of dynamic settings")
_BACKLOG = (float(targets.NODE_BACKLOG_EVENTS), "a node's even part of the backlog")

DYNAMIC_SETTINGS = "dynamic_settings, node/settings_watch"

EXPECTED: tuple[ExpectedSlope, ...] = (
    ExpectedSlope(
        "module-memory",
        Role.NODE,
        "decision state, destinations listed",
        *_DESTINATIONS,
        (CONTROL_MEMORY,),
        "choice",
    ),
    ExpectedSlope(
        "module-memory-in-use",
        Role.NODE,
        "decision state, destinations in use",
        *_DESTINATIONS,
        (CONTROL_MEMORY,),
        "choice",
    ),
    ExpectedSlope(
        "module-memory-endpoints",
        Role.NODE,
        "decision state, endpoints listed",
        None,
        "endpoints, of which the operators gave no figure",
        (CONTROL_MEMORY,),
        "choice",
    ),
    ExpectedSlope(
        "list-reader-memory",
        Role.NODE,
        "what the list's reader keeps",
        *_DESTINATIONS,
        (CONTROL_MEMORY,),
        "node/discovery",
    ),
    ExpectedSlope(
        "list-reader-peak",
        Role.NODE,
        "the list's reader at its peak",
        *_DESTINATIONS,
        (CONTROL_MEMORY,),
        "node/discovery",
    ),
    ExpectedSlope(
        "list-reader-processor",
        Role.NODE,
        "the list's reader, a whole list",
        *_DESTINATIONS,
        (REQUEST_PATIENCE,),
        "node/discovery",
    ),
    ExpectedSlope(
        "module-event", Role.NODE, "decisions on one message", *_DESTINATIONS, (ONE_EVENT,), "choice"
    ),
    ExpectedSlope(
        "module-delta",
        Role.NODE,
        "decisions on one change of the list",
        *_DESTINATIONS,
        (CHANGE_EACH_SECOND,),
        "choice",
    ),
    ExpectedSlope(
        "module-whole-list",
        Role.NODE,
        "decisions on a whole list",
        *_DESTINATIONS,
        (REQUEST_PATIENCE,),
        "choice",
    ),
    ExpectedSlope(
        "module-event-shut",
        Role.NODE,
        "decisions on one message, shut destinations with messages in line",
        float(targets.DESTINATIONS_DOWN),
        "destinations down, each with a message in line, as in a backlog",
        (ONE_TURN_EACH,),
        "choice",
    ),
    ExpectedSlope(
        "module-event-full-room",
        Role.NODE,
        "decisions on one message, holding room full",
        *_BACKLOG,
        (ONE_EVENT,),
        "choice",
    ),
    ExpectedSlope(
        "module-owed-memory", Role.NODE, "decision state, messages owed", *_BACKLOG, (NODE_MEMORY,), "choice"
    ),
    ExpectedSlope(
        "node-list-memory",
        Role.NODE,
        "process that holds the list",
        *_DESTINATIONS,
        (CONTROL_MEMORY,),
        "node/discovery, node/decider, choice",
    ),
    ExpectedSlope(
        "node-list-peak",
        Role.NODE,
        "process that reads a whole list, at its peak",
        *_DESTINATIONS,
        (CONTROL_MEMORY,),
        "node/discovery, node/objects",
    ),
    ExpectedSlope(
        "node-list-processor",
        Role.NODE,
        "standstill for a whole list",
        *_DESTINATIONS,
        (REQUEST_PATIENCE,),
        "node/discovery, node/decider, choice",
    ),
    ExpectedSlope(
        "node-list-bytes",
        Role.NODE,
        "a whole list on the wire",
        *_DESTINATIONS,
        (LIST_LIMIT, LIST_AT_CONTROL_BANDWIDTH),
        "node/discovery",
    ),
    ExpectedSlope(
        "node-delta-processor",
        Role.NODE,
        "one change of the list",
        *_DESTINATIONS,
        (CHANGE_EACH_SECOND,),
        "node/discovery, node/decider, choice",
    ),
    ExpectedSlope(
        "node-messages-core",
        Role.NODE,
        "messages delivered, whole process",
        targets.NODE_EVENTS_PER_S,
        "a node's even part of the events a second",
        (NODE_CORE,),
        "node",
    ),
    ExpectedSlope(
        "owed-memory",
        Role.NODE,
        "process that owes messages",
        *_BACKLOG,
        (NODE_MEMORY,),
        "node/store, choice",
    ),
    ExpectedSlope(
        "owed-peak",
        Role.NODE,
        "process that owes messages, at its start",
        *_BACKLOG,
        (NODE_MEMORY,),
        "node/store, node/decider, choice",
    ),
    ExpectedSlope("owed-disk", Role.NODE, "lasting folder", *_BACKLOG, (NODE_DISK,), "node/store"),
    ExpectedSlope(
        "owed-ready",
        Role.NODE,
        "from a start until the first message is answered, messages owed",
        *_BACKLOG,
        (SETTINGS_IN_FORCE,),
        "node/store, node/decider, choice",
    ),
    ExpectedSlope(
        "owed-compaction",
        Role.NODE,
        "standstill while a segment of the folder is freed, messages owed",
        *_BACKLOG,
        (REQUEST_PATIENCE,),
        "node/store",
    ),
    ExpectedSlope(
        "node-start-seconds",
        Role.NODE,
        "start with a list in the file",
        *_DESTINATIONS,
        (SETTINGS_IN_FORCE,),
        "node/service",
    ),
    ExpectedSlope("node-stop-seconds", Role.NODE, "end of an idle node", *_DESTINATIONS, (), "node/service"),
    ExpectedSlope(
        "settings-change-seconds-*",
        Role.OPERATOR,
        "a change of settings by a rolling restart",
        *_NODES,
        (SETTINGS_IN_FORCE,),
        "restarts; SIGHUP follows `discovery` alone",
    ),
    ExpectedSlope(
        "gossip-bytes-*",
        Role.NODE,
        "gossip that comes to a node",
        *_NODES,
        (CONTROL_BANDWIDTH,),
        "node/peers",
    ),
    ExpectedSlope(
        "gossip-messages-by-failing-*",
        Role.NODE,
        "gossip messages a second",
        float(targets.DESTINATIONS_DOWN),
        "destinations down",
        (),
        "node/peers",
    ),
    ExpectedSlope("gossip-log-lines-*", Role.NODE, "lines of the log", *_NODES, (), "node/decider"),
    ExpectedSlope("gossip-messages-*", Role.NODE, "gossip messages a second", *_NODES, (), "node/peers"),
    ExpectedSlope(
        "gossip-processor-time", Role.NODE, "decisions on one gossip message", *_DESTINATIONS, (), "choice"
    ),
    ExpectedSlope(
        "gossip-processor-share-node",
        Role.NODE,
        "gossip at a real node",
        None,
        "the gossip messages a second that come to a node",
        (CONTROL_CORE,),
        "node/peers, choice",
    ),
    ExpectedSlope(
        "gossip-processor-share-bare", Role.NODE, "reading datagrams", None, "gossip messages a second"
    ),
    ExpectedSlope("senders-that-open-*", Role.DESTINATION, "breakers that open", *_NODES, (), "choice"),
    ExpectedSlope("wasted-calls-*", Role.DESTINATION, "calls in vain in an outage", *_NODES, (), "choice"),
    ExpectedSlope(
        "shut-calls-per-outage-*", Role.DESTINATION, "calls in vain in an outage", *_NODES, (), "choice"
    ),
    ExpectedSlope(
        "shut-calls-per-second-*", Role.DESTINATION, "calls a second in vain", *_NODES, (), "choice"
    ),
    ExpectedSlope(
        "return-first-window-*",
        Role.DESTINATION,
        "first calls at a return",
        *_NODES,
        (RETURN_LIMIT,),
        "choice",
    ),
    ExpectedSlope(
        "return-worst-window-*",
        Role.DESTINATION,
        "most calls at a return",
        *_NODES,
        (RETURN_LIMIT,),
        "choice",
    ),
    ExpectedSlope("return-falls-*", Role.DESTINATION, "returns that fell", *_NODES, (), "choice"),
    ExpectedSlope(
        "list-*-seconds-*",
        Role.LIST,
        "until the last node has a change of the list",
        *_NODES,
        (LIST_NEWS,),
        "the platform's list service; node/discovery, choice",
    ),
    ExpectedSlope(
        "list-*-calls-*",
        Role.LIST,
        "calls to the list's service",
        *_NODES,
        (),
        "the platform's list service; node/discovery, choice",
    ),
    ExpectedSlope(
        "list-restart-bytes-*",
        Role.LIST,
        "bytes that a restart draws from the list's service",
        *_NODES,
        (),
        "the platform's list service",
    ),
    ExpectedSlope(
        "list-steady-bytes",
        Role.NODE,
        "a watch of the list",
        None,
        "changes of the list a second, of which the operators gave no figure",
        (CONTROL_BANDWIDTH,),
        "node/discovery",
    ),
    ExpectedSlope(
        "settings-stream-in-force-seconds*",
        Role.CONTROL,
        "a change of settings by dynamic settings",
        *_NODES,
        (SETTINGS_IN_FORCE,),
        DYNAMIC_SETTINGS,
    ),
    ExpectedSlope(
        "settings-stream-node-bytes",
        Role.NODE,
        "dynamic settings at a node",
        *_NODES,
        (CONTROL_BANDWIDTH,),
        DYNAMIC_SETTINGS,
    ),
    ExpectedSlope(
        "settings-stream-member-*", Role.CONTROL, "load of a member", *_NODES, (), DYNAMIC_SETTINGS
    ),
    ExpectedSlope(
        "settings-document-seconds-*",
        Role.NODE,
        "a whole document of settings",
        *_DOCUMENT,
        (SETTINGS_IN_FORCE,),
        DYNAMIC_SETTINGS,
    ),
    ExpectedSlope(
        "settings-document-transfer-*",
        Role.NODE,
        "a whole document of settings on the wire",
        *_DOCUMENT,
        (),
        DYNAMIC_SETTINGS,
    ),
    ExpectedSlope(
        "settings-loopback-document-node-resident-bytes",
        Role.NODE,
        "memory of following a document, over loopback",
        *_DOCUMENT,
        (CONTROL_MEMORY,),
        DYNAMIC_SETTINGS,
    ),
    ExpectedSlope(
        "settings-loopback-document-node-processor-share",
        Role.NODE,
        "processor of following a document, over loopback",
        *_DOCUMENT,
        (CONTROL_CORE,),
        DYNAMIC_SETTINGS,
    ),
    ExpectedSlope(
        "settings-loopback-node-processor-share",
        Role.NODE,
        "processor of following changes, over loopback",
        *_NODES,
        (CONTROL_CORE,),
        DYNAMIC_SETTINGS,
    ),
    ExpectedSlope(
        "settings-loopback-in-force-seconds",
        Role.CONTROL,
        "a change of settings, all nodes on one core",
        *_NODES,
        (SETTINGS_IN_FORCE,),
        DYNAMIC_SETTINGS,
    ),
)
"""In the order in which the page lists them."""
