"""A scenario: the file that describes a world, its traffic and its troubles.

Times are seconds, rates are messages a second. Where a figure may be drawn anew for each destination, sender
or trouble, either one number or a pair `[low, high]` stands.
"""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, field_validator, model_validator

from irisstack.configuration import document
from irisstack.configuration.document import Section


def _check_range(value: list[float]) -> list[float]:
    if value[0] > value[1]:
        raise ValueError(f"the low end comes first, not {value!r}")
    return value


Seconds = Annotated[float, Field(ge=0.0)]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
Positive = Annotated[float, Field(gt=0.0)]
Count = Annotated[int, Field(ge=1)]
PositiveRange = Annotated[list[Positive], Field(min_length=2, max_length=2), AfterValidator(_check_range)]
SecondsRange = Annotated[list[Seconds], Field(min_length=2, max_length=2), AfterValidator(_check_range)]
ValueOrRange = Positive | PositiveRange
"""One positive number, or the ends between which one is drawn."""
SecondsOrRange = Seconds | SecondsRange


class MessageClass(Section):
    """One class of message."""

    name: str = Field(min_length=1)
    share: Positive
    """Its part of all messages, beside the other classes' parts."""
    repeat: Literal["safe", "keyed", "unsafe"]
    """What a second delivery does: nothing, nothing while the key is remembered, or a second effect."""
    window_s: Seconds = 0.0
    """Keyed: for how long a destination remembers a key."""
    scope: Literal["destination", "zone"] = "destination"
    aim_s: Positive
    """Within which it has its whole worth."""
    deadline_s: Positive
    """After which it is given up."""
    worth: Positive = 1.0
    late_worth: Share = 0.0
    """The part of its worth that is left at the deadline."""
    work_s: Positive
    """Mean time of a call at a destination of usual pace."""
    work_spread: Seconds = 0.5
    """Standard deviation of that time over its mean."""
    order_keys: Annotated[int, Field(ge=0)] = 0
    """Keys for each destination within which order is kept; 0: no order is asked for."""

    @model_validator(mode="after")
    def _consistent(self) -> "MessageClass":
        if self.deadline_s < self.aim_s:
            raise ValueError(f"deadline_s ({self.deadline_s:g}) is below aim_s ({self.aim_s:g})")
        if self.repeat == "keyed" and not self.window_s:
            raise ValueError("a keyed class needs window_s")
        return self


class Limit(Section):
    """How many calls a destination takes, over all senders together."""

    form: Literal["rate", "span"] = "rate"
    """A plain rate, or a count in each span of `span_s`."""
    of_traffic: ValueOrRange
    """Times the calls that its mean traffic makes."""
    least: Positive = 2.0
    """Calls a second at the least."""
    span_s: Positive = 1.0
    refused_use_it: bool = False
    """Whether refused calls use the limit up too."""
    tells_wait: Share = 0.0
    """Part of the refusals that tell how long to wait."""


class Cold(Section):
    """A destination after an outage."""

    start: Annotated[float, Field(gt=0.0, le=1.0)] = 0.2
    """Part of its capacity that it has at its return."""
    warm_s: Positive = 8.0
    """Time until it has all of it."""
    tip_multiple: Annotated[float, Field(ge=1.0)] = 2.5
    """Load over present capacity that it bears without harm."""
    tip_s: Positive = 3.0
    """For about this long it bears twice that load before it falls over."""
    fallen_s: Seconds = 6.0
    """Time that it stays down after falling over; it comes back cold."""


class Kind(Section):
    """One kind of destination."""

    name: str = Field(min_length=1)
    count: Count
    """Destinations of this kind."""
    traffic: Positive = 1.0
    """Its part of all messages, beside the other kinds' parts."""
    skew: Seconds = 0.0
    """How unevenly that part is spread: the n-th destination's part goes down with n to this power."""
    endpoints: Count | Annotated[list[Count], Field(min_length=2, max_length=2)] = 1
    pace: ValueOrRange = 1.0
    """Its call times over the classes' usual ones."""
    capacity: ValueOrRange = 1.5
    """What it can do over its mean traffic."""
    least_capacity: Positive = 3.0
    """Calls a second that it can do at the least."""
    queue: Seconds = 4.0
    """Calls that an endpoint holds in line, for each call that it serves at once."""
    limit: Limit | None = None
    shared_calls: Count = 1
    """The most messages in a call."""
    shared_part: Share = 0.2
    """Of each further message's work in a shared call that adds to the call's time."""
    separate_routes: bool = False
    connections: Annotated[int, Field(ge=0)] = 0
    """Connections that an endpoint holds for each call that it serves at once, idle ones too; 0: no bound."""
    handshake_s: Seconds = 0.05
    """What a new connection adds to its first call."""
    error_rate: Share = 0.0
    cancelled_run_on: bool = True
    """Whether a call in line whose sender has left is still carried out."""
    cold: Cold = Cold()


class Senders(Section):
    """The delivery nodes."""

    count: Count
    skew: Seconds = 0.0
    """How unevenly traffic is spread over them."""
    slots: ValueOrRange = 2.3
    """Calls out at once over what its part of the traffic keeps busy."""
    least_slots: Count = 4
    room_s: ValueOrRange = 10.0
    """Seconds of its part of the traffic that it can hold."""
    least_room: Count = 12
    max_attempts: Count = 6
    may_cancel: bool = True
    may_duplicate: bool = False
    advises_retry_after: bool = True
    max_retry_after_s: Seconds = 3.0
    connect_timeout_s: Positive = 1.5
    keepalive_s: Positive = 10.0


class Traffic(Section):
    """What clients hand in."""

    rate: Positive
    """Messages a second, first tries alone."""
    swing: Share = 0.0
    """A wave: its height over the mean."""
    wave_s: Positive = 20.0
    clumped: Share = 0.0
    """Part of the messages that come in clumps for one destination."""
    clump: Count = 8
    """Messages in a clump."""


class Clients(Section):
    """How those who hand in messages behave."""

    retries: Annotated[int, Field(ge=0)] = 1
    """Times that a refused message is handed in again."""
    backoff_s: SecondsOrRange = [0.3, 1.1]
    heed: Share = 0.8
    """Part of them that keep to the advice when to come back."""
    leave: Share = 0.0
    """Part that close their connection before they have read the answer."""
    resend_s: SecondsOrRange = [0.3, 1.2]
    """After a node could not be reached, the time until another is tried."""


class EndpointList(Section):
    """The list of endpoints."""

    mode: Literal["pushed", "on_request"] = "pushed"
    late_s: SecondsOrRange = [0.2, 1.0]
    """How late a change reaches a node."""
    rates: bool = True
    """Whether it tells each destination's rate."""
    reports: bool = True
    """Whether endpoints tell the share left of their limit, and the limit, in their answers."""


class Network(Section):
    """Between nodes and endpoints."""

    one_way_s: SecondsOrRange = [0.015, 0.045]


class RuleFigures(Section):
    """The figures of the six rules."""

    answer_slack_s: Seconds = 0.3
    drain_grace_s: Seconds = 0.25
    order_pause_s: Seconds = 0.0
    wait_slack_s: Seconds = 0.1
    """Calls that leave within this time after a wait was told are let through."""


class Trouble(Section):
    """Something that goes wrong."""

    kind: Literal[
        "fails_fast",
        "shut",
        "silent",
        "slow",
        "pauses",
        "resets",
        "answers_lost",
        "answers_spoilt",
        "connect_refused",
        "host_gone",
        "limit_lowered",
        "idle_dropped",
        "class_fails",
        "replaced",
        "hot",
        "list_stale",
        "list_down",
        "killed",
        "stopped",
        "stalled",
    ]
    at_s: SecondsOrRange
    for_s: SecondsOrRange = 0.0
    """How long it lasts; a killed node is down for so long, `replaced` is spread over it."""
    share: Annotated[float, Field(gt=0.0, le=1.0)] | None = None
    """Part of the destinations (or nodes) that it strikes, one at least."""
    of_kind: str | None = None
    """Only destinations of this kind."""
    destinations: list[Annotated[int, Field(ge=1)]] = []
    """The destinations by number, instead of a part."""
    endpoints: Annotated[int, Field(ge=1)] | None = None
    """Only so many endpoints of each."""
    strength: ValueOrRange | None = None
    """What it does, by kind: the part of calls that fail or are lost, the slowing, the part of the limit that
    is left, the part of all messages that go to the hot one, seconds of idleness or of further lateness."""
    period_s: Positive = 3.0
    """Pauses: from one to the next."""
    message_class: str | None = None
    """The class that fails."""
    runs: Share = 0.5
    """Part of the calls that fail, vanish or are cut off which have had their effect all the same."""
    tells_wait: Share = 0.7
    """Shut: part of the refusals that tell when it opens."""
    disk_lost: bool = False
    """Killed: the node comes back with an empty folder, and clients hand in again what it held."""


DEFAULT_STRENGTH = {
    "fails_fast": 0.9,
    "slow": 8.0,
    "pauses": 0.4,
    "resets": 0.5,
    "answers_lost": 0.9,
    "answers_spoilt": 0.9,
    "limit_lowered": 0.5,
    "idle_dropped": 2.0,
    "class_fails": 1.0,
    "hot": 0.2,
    "list_stale": 4.0,
}
"""Where a trouble's strength is not told."""
SHARE_TROUBLES = {
    "fails_fast",
    "resets",
    "answers_lost",
    "answers_spoilt",
    "limit_lowered",
    "class_fails",
    "hot",
}
"""Troubles whose strength is a part of something."""
NODE_TROUBLES = {"killed", "stopped", "stalled"}
LIST_TROUBLES = {"list_stale", "list_down"}
OUTAGE_TROUBLES = {"shut", "silent", "connect_refused", "host_gone", "fails_fast"}
"""Troubles after which a destination is cold."""


class About(Section):
    """What the scenario is."""

    name: str = Field(min_length=1, pattern=r"^[a-z0-9][a-z0-9-]*$")
    shows: str = ""
    """What is seen in it, in a sentence."""
    length_s: Positive
    """How long messages are handed in; what is owed then is still brought to its end."""
    seed: int = Field(1, ge=0)


class Scenario(Section):
    """A whole scenario file."""

    scenario: About
    classes: list[MessageClass] = Field(min_length=1)
    kinds: list[Kind] = Field(min_length=1)
    senders: Senders
    traffic: Traffic
    clients: Clients = Clients()
    endpoint_list: EndpointList = EndpointList()
    network: Network = Network()
    rules: RuleFigures = RuleFigures()
    troubles: list[Trouble] = []

    @field_validator("classes", "kinds")
    @classmethod
    def _check_unique_names(
        cls, value: "list[MessageClass] | list[Kind]"
    ) -> "list[MessageClass] | list[Kind]":
        names = [item.name for item in value]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"the name {name!r} stands twice")
        return value

    @model_validator(mode="after")
    def _check_troubles(self) -> "Scenario":
        kinds = {kind.name for kind in self.kinds}
        total = sum(kind.count for kind in self.kinds)
        errors: list[str] = []
        for i, trouble in enumerate(self.troubles):
            where = f"troubles[{i}]"
            latest = trouble.at_s[1] if isinstance(trouble.at_s, list) else trouble.at_s
            if latest >= self.scenario.length_s:
                errors.append(
                    f"{where}.at_s: it begins at {latest:g} s, after the end at {self.scenario.length_s:g} s"
                )
            if trouble.of_kind is not None and trouble.of_kind not in kinds:
                errors.append(f"{where}.of_kind: there is no kind {trouble.of_kind!r}")
            if (trouble.kind == "class_fails") != (trouble.message_class is not None):
                errors.append(f"{where}.message_class: goes with class_fails, and only with it")
            elif trouble.message_class and trouble.message_class not in {c.name for c in self.classes}:
                errors.append(f"{where}.message_class: nobody sends a class {trouble.message_class!r}")
            if trouble.destinations and trouble.share is not None:
                errors.append(f"{where}: share and destinations exclude each other")
            if any(number > total for number in trouble.destinations):
                errors.append(f"{where}.destinations: there are {total}")
            if trouble.destinations and trouble.kind in NODE_TROUBLES | LIST_TROUBLES:
                errors.append(f"{where}.destinations: {trouble.kind} strikes no destination")
            strength = trouble.strength[1] if isinstance(trouble.strength, list) else trouble.strength
            if strength is not None and trouble.kind in SHARE_TROUBLES and strength > 1.0:
                errors.append(
                    f"{where}.strength: for {trouble.kind} a part from 0 to 1 is due, not {strength:g}"
                )
            if strength is not None and trouble.kind not in DEFAULT_STRENGTH:
                errors.append(f"{where}.strength: {trouble.kind} has none")
        if errors:
            raise ValueError("; ".join(errors))
        return self


def read(path: Path) -> Scenario:
    """The scenario in a file; raises `DocumentError` with all that is wrong with it."""
    return document.read(path, Scenario)


def with_changes(scenario: Scenario, changes: dict[str, object], path: Path) -> Scenario:
    """The scenario with some keys set anew (`traffic.rate`, `kinds.0.count`); raises `DocumentError`."""
    raw = scenario.model_dump()
    problems = []
    for key, value in changes.items():
        container: object = raw
        *outer, last = key.split(".")
        try:
            for part in outer:
                container = container[int(part)] if isinstance(container, list) else container[part]  # type: ignore[index]
            if isinstance(container, list):
                container[int(last)] = value
            else:
                container[last] = value  # type: ignore[index]
        except (KeyError, IndexError, ValueError, TypeError):
            problems.append(document.Problem(key, "no such key to change"))
    if problems:
        raise document.DocumentError(path, problems)
    return document.check(path, raw, Scenario)


SCENARIO_DIRECTORY = Path(__file__).parent / "scenarios"
"""The scenarios that come with the program."""


def scenario_path(name: str) -> Path:
    """A scenario file by its path, or a shipped one by its name."""
    shipped = SCENARIO_DIRECTORY / f"{name}.toml"
    return shipped if "/" not in name and not Path(name).exists() and shipped.exists() else Path(name)
