"""The size to plan for, as the operators stated it, and what follows from it by division.

Bytes are decimal (1 KB = 1,000 bytes), as the operators write them, unless a name says MiB.
"""

NODES = 840
EVENTS_PER_S = 200_000
DESTINATIONS = 100_000
DESTINATIONS_DOWN_SHARE = 0.019
BACKLOG_EVENTS = 8_500_000_000
REGIONS = 2
ZONES = 8
SETTINGS_CHANGES_PER_DAY = 2_400
SETTINGS_IN_FORCE_WITHIN_S = 18.0
CONTROL_CORE_SHARE = 0.035
CONTROL_MEMORY_BYTES = 256_000_000
CONTROL_BYTES_PER_S = 11_000
CONTROL_MACHINES = 7
FAILED_MACHINES_PER_DAY = 3
RESTARTED_MACHINES_PER_DAY = 52

DESTINATIONS_DOWN = round(DESTINATIONS * DESTINATIONS_DOWN_SHARE)
ZONE_NODES = NODES // ZONES
REGION_NODES = NODES // REGIONS
NODE_EVENTS_PER_S = EVENTS_PER_S / NODES
NODE_BACKLOG_EVENTS = BACKLOG_EVENTS // NODES
EVENT_PROCESSOR_S = 1.0 / NODE_EVENTS_PER_S
"""Seconds of one core that an event may cost a node, which is one process on one core, at its even part."""
ASSUMED_DEADLINE_S = 20.0
"""How long a message may wait, as in the example's classes. Ours: the operators gave none."""
SHUT_IN_LINE_WITHOUT_BACKLOG = round(NODE_EVENTS_PER_S * DESTINATIONS_DOWN_SHARE * ASSUMED_DEADLINE_S)
"""Shut destinations with a message in line at one node, where no message waits beyond its deadline."""
EVENTS_PER_S_WITHOUT_ZONE = EVENTS_PER_S / (NODES - ZONE_NODES)
EVENTS_PER_S_WITHOUT_REGION = EVENTS_PER_S / REGION_NODES
DAY_S = 86_400.0
SETTINGS_CHANGE_INTERVAL_S = DAY_S / SETTINGS_CHANGES_PER_DAY

LIST_BYTES_LIMIT = 16 * 1024 * 1024
"""`MAX_LIST` of `irisstack/node/http.py`: a whole list above it is refused. Tests compare such copies."""

LIST_SILENCE_S = 3.5
"""`SILENCE_TIMEOUT_S` of `irisstack/node/list_call.py`: a list call without a whole object by then ends."""
LIST_NEWS_WITHIN_S = 6.0
"""News of the list is due at a node by then (docs/design.md, 12)."""
REQUEST_WHOLE_BY_S = 2.5
"""`WHOLE_BY` of `irisstack/node/client_connection.py`."""
SETTINGS_DOCUMENT_BYTES = 128 * 1024
"""The most that a whole document of dynamic settings may hold."""

ASSUMED_LIST_CHANGES_PER_S = 1.0
"""The operators gave no rate of changes of the endpoint list: this one is ours."""
ASSUMED_NODE_MEMORY_BYTES = 4_000_000_000
"""What one node may hold in all. The operators gave no figure: this one is ours."""
ASSUMED_NODE_DISK_BYTES = 64_000_000_000
"""What one node's lasting folder may hold. The operators gave no figure: this one is ours."""
