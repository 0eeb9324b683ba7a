"""The scenario file: destinations, senders, traffic and troubles of a simulated world.

Times are in seconds, rates in messages a second. A value that may be drawn for each destination, sender or
trouble is either one number or a range `[low, high]`.
"""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, field_validator, model_validator

from irisstack.configuration import document
from irisstack.configuration.document import Section


def _check_range(value: list[float]) -> list[float]:
    if value[0] > value[1]:
        raise ValueError(f"expected [low, high], got {value!r}")
    return value


Seconds = Annotated[float, Field(ge=0.0)]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
Positive = Annotated[float, Field(gt=0.0)]
Count = Annotated[int, Field(ge=1)]
PositiveRange = Annotated[list[Positive], Field(min_length=2, max_length=2), AfterValidator(_check_range)]
SecondsRange = Annotated[list[Seconds], Field(min_length=2, max_length=2), AfterValidator(_check_range)]
ValueOrRange = Positive | PositiveRange
"""One positive number, or a range from which one is drawn uniformly."""
SecondsOrRange = Seconds | SecondsRange


class MessageClass(Section):
    """One class of message."""

    name: str = Field(min_length=1)
    share: Positive
    """Its share of all messages, relative to the shares of the other classes."""
    repeat: Literal["safe", "keyed", "unsafe"]
    """Effect of a second delivery: none, none while the key is remembered, or a second effect."""
    window_s: Seconds = 0.0
    """For a keyed class: the time for which a destination remembers a key."""
    scope: Literal["destination", "zone"] = "destination"
    aim_s: Positive
    """Latency target: a message delivered within it has its full worth."""
    deadline_s: Positive
    """Time after which a message is given up."""
    worth: Positive = 1.0
    late_worth: Share = 0.0
    """Share of its worth that remains at the deadline."""
    work_s: Positive
    """Mean duration of a call with one message, at a destination with pace 1."""
    work_spread: Seconds = 0.5
    """Standard deviation of that duration, divided by its mean."""
    order_keys: Annotated[int, Field(ge=0)] = 0
    """Ordering keys for each destination; 0: the class is not ordered."""

    @model_validator(mode="after")
    def _consistent(self) -> "MessageClass":
        if self.deadline_s < self.aim_s:
            raise ValueError(f"deadline_s ({self.deadline_s:g}) must not be below aim_s ({self.aim_s:g})")
        if self.repeat == "keyed" and not self.window_s:
            raise ValueError("a keyed class requires window_s above 0")
        return self


class Limit(Section):
    """Limit on the calls that a destination accepts from all senders together."""

    form: Literal["rate", "span"] = "rate"
    """`rate`: a token bucket. `span`: a number of calls in each fixed window of `span_s`."""
    of_traffic: ValueOrRange
    """The limit as a multiple of the destination's mean traffic."""
    least: Positive = 2.0
    """Smallest limit, in calls a second."""
    span_s: Positive = 1.0
    refused_use_it: bool = False
    """Whether refused calls count towards the limit as well."""
    tells_wait: Share = 0.0
    """Share of the refusals that carry Retry-After."""


class Cold(Section):
    """Warm-up of a destination after an outage."""

    start: Annotated[float, Field(gt=0.0, le=1.0)] = 0.2
    """Share of its capacity that it has when it comes back."""
    warm_s: Positive = 8.0
    """Time until it has its full capacity."""
    tip_multiple: Annotated[float, Field(ge=1.0)] = 2.5
    """Load that it tolerates, as a multiple of its present capacity."""
    tip_s: Positive = 3.0
    """Time for which it tolerates about twice that load before it fails."""
    fallen_s: Seconds = 6.0
    """Time for which it is down after it has failed under load; it comes back cold."""


class Kind(Section):
    """One kind of destination."""

    name: str = Field(min_length=1)
    count: Count
    """Number of destinations of this kind."""
    traffic: Positive = 1.0
    """Its share of all messages, relative to the shares of the other kinds."""
    skew: Seconds = 0.0
    """Skew of that share: the n-th destination's part of it is proportional to 1 / n ** skew."""
    endpoints: Count | Annotated[list[Count], Field(min_length=2, max_length=2)] = 1
    pace: ValueOrRange = 1.0
    """Duration of its calls, as a multiple of the classes' mean durations."""
    capacity: ValueOrRange = 1.5
    """Its capacity, as a multiple of its mean traffic."""
    least_capacity: Positive = 3.0
    """Smallest capacity, in calls a second."""
    queue: Seconds = 4.0
    """Calls that an endpoint queues, for each call that it serves concurrently."""
    limit: Limit | None = None
    shared_calls: Count = 1
    """Maximum number of messages in a batch call."""
    shared_part: Share = 0.2
    """Share of its work that each further message of a batch call adds to the call's duration."""
    separate_routes: bool = False
    connections: Annotated[int, Field(ge=0)] = 0
    """Connections, idle ones included, that an endpoint accepts for each concurrent call; 0: unlimited."""
    handshake_s: Seconds = 0.05
    """Time that a new connection adds to its first call."""
    error_rate: Share = 0.0
    cancelled_run_on: bool = True
    """Whether a queued call is still executed after its sender has closed the connection."""
    cold: Cold = Cold()


class Senders(Section):
    """The delivery nodes."""

    count: Count
    skew: Seconds = 0.0
    """Skew of their traffic, as for the destinations of a kind."""
    slots: ValueOrRange = 2.3
    """Concurrent calls of a sender, as a multiple of those that its traffic keeps busy on average."""
    least_slots: Count = 4
    room_s: ValueOrRange = 10.0
    """Maximum number of pending messages, in seconds of the sender's traffic."""
    least_room: Count = 12
    max_attempts: Count = 6
    may_cancel: bool = True
    may_duplicate: bool = False
    advises_retry_after: bool = True
    max_retry_after_s: Seconds = 3.0
    connect_timeout_s: Positive = 1.5
    keepalive_s: Positive = 10.0


class Traffic(Section):
    """The messages that clients submit."""

    rate: Positive
    """Messages a second, without clients' retries."""
    swing: Share = 0.0
    """Amplitude of a sinusoidal change of the rate, as a share of the mean rate."""
    wave_s: Positive = 20.0
    """Period of that change."""
    clumped: Share = 0.0
    """Share of the messages that arrive in bursts for one destination."""
    clump: Count = 8
    """Messages in a burst."""


class Clients(Section):
    """Behaviour of the clients."""

    retries: Annotated[int, Field(ge=0)] = 1
    """How often a client submits a refused message again."""
    backoff_s: SecondsOrRange = [0.3, 1.1]
    heed: Share = 0.8
    """Share of the clients that honour Retry-After."""
    leave: Share = 0.0
    """Share of the clients that close the connection before they have read the answer."""
    resend_s: SecondsOrRange = [0.3, 1.2]
    """Time until a client tries another node after one could not be reached."""


class EndpointList(Section):
    """The platform's endpoint list."""

    mode: Literal["pushed", "on_request"] = "pushed"
    late_s: SecondsOrRange = [0.2, 1.0]
    """Delay until a change reaches a node."""
    rates: bool = True
    """Whether the list gives each destination's rate."""
    reports: bool = True
    """Whether answers report the available share of the destination's limit, and the limit."""


class Network(Section):
    """The network between nodes and endpoints."""

    one_way_s: SecondsOrRange = [0.015, 0.045]


class RuleFigures(Section):
    """Tolerances of the six rules."""

    answer_slack_s: Seconds = 0.3
    drain_grace_s: Seconds = 0.25
    order_pause_s: Seconds = 0.0
    wait_slack_s: Seconds = 0.1
    """Calls sent within this time after a Retry-After do not break the rule."""


class Trouble(Section):
    """A fault or disturbance."""

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
    """Duration; a killed node is down for it, and `replaced` spreads its replacements over it."""
    share: Annotated[float, Field(gt=0.0, le=1.0)] | None = None
    """Share of the destinations (or nodes) that are affected, at least one."""
    of_kind: str | None = None
    """Affects only destinations of this kind."""
    destinations: list[Annotated[int, Field(ge=1)]] = []
    """Numbers of the affected destinations, instead of a share."""
    endpoints: Annotated[int, Field(ge=1)] | None = None
    """Affects only this many endpoints of each destination."""
    strength: ValueOrRange | None = None
    """Depends on the kind: share of the calls that fail or are lost, factor by which calls are slower, length
    of a pause in seconds, share of the limit that remains, extra traffic to the hot destination as a share of
    all messages, seconds after which an idle connection is dropped, or seconds of further list delay."""
    period_s: Positive = 3.0
    """For `pauses`: time from the start of one to the start of the next."""
    message_class: str | None = None
    """For `class_fails`: the class whose calls fail."""
    runs: Share = 0.5
    """Share of the failed, unanswered or reset calls that were executed all the same."""
    tells_wait: Share = 0.7
    """For `shut`: share of the refusals that carry Retry-After, with the time until the end."""
    disk_lost: bool = False
    """For `killed`: the state directory is lost; clients submit the messages pending there again."""


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
"""Strength of a trouble whose scenario gives none."""
SHARE_TROUBLES = {
    "fails_fast",
    "resets",
    "answers_lost",
    "answers_spoilt",
    "limit_lowered",
    "class_fails",
    "hot",
}
"""Troubles whose strength is a share, from 0 to 1."""
NODE_TROUBLES = {"killed", "stopped", "stalled"}
"""Troubles of nodes."""
LIST_TROUBLES = {"list_stale", "list_down"}
"""Troubles of the endpoint list."""
OUTAGE_TROUBLES = {"shut", "silent", "connect_refused", "host_gone", "fails_fast"}
"""Troubles after which a destination is cold, if they affect all of it."""


class About(Section):
    """Name and length of the scenario."""

    name: str = Field(min_length=1, pattern=r"^[a-z0-9][a-z0-9-]*$")
    shows: str = ""
    """What it shows, in one sentence."""
    length_s: Positive
    """Time during which messages are submitted; messages pending at its end still get their final result."""
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
                raise ValueError(f"expected unique names, got {name!r} twice")
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
                    f"{where}.at_s: expected a start before the end at {self.scenario.length_s:g} s, "
                    f"got {latest:g} s"
                )
            if trouble.of_kind is not None and trouble.of_kind not in kinds:
                errors.append(f"{where}.of_kind: unknown kind {trouble.of_kind!r}")
            if (trouble.kind == "class_fails") != (trouble.message_class is not None):
                errors.append(f"{where}.message_class: required for class_fails and only allowed there")
            elif trouble.message_class and trouble.message_class not in {c.name for c in self.classes}:
                errors.append(f"{where}.message_class: unknown class {trouble.message_class!r}")
            if trouble.destinations and trouble.share is not None:
                errors.append(f"{where}: expected share or destinations, got both")
            if any(number > total for number in trouble.destinations):
                errors.append(f"{where}.destinations: expected numbers up to {total}")
            if trouble.destinations and trouble.kind in NODE_TROUBLES | LIST_TROUBLES:
                errors.append(f"{where}.destinations: not allowed for {trouble.kind}")
            strength = trouble.strength[1] if isinstance(trouble.strength, list) else trouble.strength
            if strength is not None and trouble.kind in SHARE_TROUBLES and strength > 1.0:
                errors.append(
                    f"{where}.strength: expected a share from 0 to 1 for {trouble.kind}, got {strength:g}"
                )
            if strength is not None and trouble.kind not in DEFAULT_STRENGTH:
                errors.append(f"{where}.strength: not allowed for {trouble.kind}")
        if errors:
            raise ValueError("; ".join(errors))
        return self


def read(path: Path) -> Scenario:
    """Read a scenario file; raises `DocumentError` with all problems."""
    return document.read(path, Scenario)


def with_changes(scenario: Scenario, changes: dict[str, object], path: Path) -> Scenario:
    """The scenario with some keys changed (`traffic.rate`, `kinds.0.count`); raises `DocumentError`."""
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
            problems.append(document.Problem(key, "no such key"))
    if problems:
        raise document.DocumentError(path, problems)
    return document.check(path, raw, Scenario)


SCENARIO_DIRECTORY = Path(__file__).parent / "scenarios"
"""Directory of the shipped scenarios."""


def scenario_path(name: str) -> Path:
    """The path of a scenario, given by its path or by the name of a shipped one."""
    shipped = SCENARIO_DIRECTORY / f"{name}.toml"
    return shipped if "/" not in name and not Path(name).exists() and shipped.exists() else Path(name)
