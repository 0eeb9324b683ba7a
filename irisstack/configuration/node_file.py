"""The model of a node's configuration file, for strict validation by the command-line tools.

The node itself parses its file with `irisstack.settings`: it ignores unknown keys, since the platform may be
newer than the node, stops at the first invalid one, and needs no library for it.
"""

from typing import Any, Literal

from pydantic import Field, ValidationInfo, field_validator, model_validator

from irisstack.configuration.document import Section

Seconds = float


class Limits(Section):
    """Resources of the machine that the node may use."""

    cores: float = Field(1.0, gt=0.0)
    memory_mb: float = Field(192.0, gt=0.0)
    """Limit of the resident memory; clients' connections, their requests and messages are bounded by it."""
    sockets: int = Field(1024, ge=64)
    """Number of file descriptors."""
    disk_mb: float = Field(64.0, ge=1.0)
    """Size limit of the state directory."""


class Allowed(Section):
    """Permissions and limits of the node."""

    attemptsCap: int = Field(ge=1)
    """Attempts per message in total."""
    mostHeld: int = Field(ge=1)
    """Messages pending at once."""
    cancel: bool = False
    mayDuplicate: bool = False
    mayProbe: bool = False
    mayTell: bool = False
    retryAfter: bool = False
    """Whether a rejection may tell the client when to retry."""
    maxRetryAfter: Seconds = Field(0.0, ge=0.0)
    dialTimeout: Seconds = Field(0.0, ge=0.0)
    keepalive: Seconds = Field(0.0, ge=0.0)
    multiplex: int = Field(1, ge=1)


class Extra(Section):
    """Limits on calls, and settings per kind of destination."""

    maxCalls: int = Field(ge=1)
    """Calls in flight at once."""
    batchByKind: list[int] = []
    """Messages that one call may carry, for each kind in `shapes`."""
    separateRoutes: list[bool] = []
    fades: Literal["even", "by_half"] = "even"

    @field_validator("batchByKind")
    @classmethod
    def _check_batch_sizes(cls, value: list[int]) -> list[int]:
        if any(max_batch < 1 for max_batch in value):
            raise ValueError(f"expected at least 1 for each kind, got {value!r}")
        return value


class Rules(Section):
    """Parameters of the six rules that a node must keep."""

    answerSlack: Seconds = Field(0.0, ge=0.0)
    askWithin: Seconds | None = Field(None, gt=0.0)
    drainGrace: Seconds = Field(0.0, ge=0.0)
    startCapacity: float = Field(1.0, ge=0.0, le=1.0)
    cold: Seconds = Field(0.0, ge=0.0)
    tipMultiple: float = Field(1.0, gt=0.0)
    fall: Seconds = Field(0.0, ge=0.0)
    orderPause: Seconds = Field(0.0, ge=0.0)


class Lane(Section):
    """One message class."""

    name: str = Field(min_length=1)
    repeat: Literal["read_like", "idempotency_key", "non_idempotent"]
    slo: Seconds = Field(gt=0.0)
    """Latency target: time within which a message should be delivered."""
    hardLimit: Seconds = Field(gt=0.0)
    """Deadline: time after which a message is given up."""
    importance: float = Field(1.0, ge=0.0)
    lateValue: float = Field(0.0, ge=0.0, le=1.0)
    group: Literal["all", "zone"] = "all"
    window: Seconds = Field(0.0, ge=0.0)
    keepOrder: bool = False
    streamed: bool = False
    aimStretch: float = Field(0.0, ge=0.0)

    @model_validator(mode="after")
    def _check_deadline(self) -> "Lane":
        if self.hardLimit < self.slo:
            raise ValueError(f"hardLimit ({self.hardLimit:g}) is below slo ({self.slo:g})")
        return self


class Report(Section):
    """Load reports that endpoints send with their answers."""

    how: str = "off"
    names: list[str] = []


class Tariffs(Section):
    """Score deductions for events that cost something, per first attempt."""

    connection: float = Field(0.0, ge=0.0)
    crossZone: float = Field(0.0, ge=0.0)
    """For attempts sent to another zone; above 0, endpoints in the node's own zone are preferred."""
    discovery: float = Field(0.0, ge=0.0)
    handshake: float = Field(0.0, ge=0.0)
    lateFail: float = Field(0.0, ge=0.0)
    moves: float = Field(0.0, ge=0.0)
    origin: float = Field(0.0, ge=0.0)
    peer: float = Field(0.0, ge=0.0)
    probe: float = Field(0.0, ge=0.0)
    waste: float = Field(0.0, ge=0.0)


class TenantFile(Section):
    """One tenant."""

    name: str = Field(min_length=1)
    allowancePerS: float = Field(0.0, ge=0.0)
    share: float = Field(0.0, ge=0.0)


class SettingsFile(Section):
    """The settings of a deployment."""

    lanes: list[Lane] = Field(min_length=1)
    shapes: list[str] = Field(min_length=1)
    """The kinds of destination."""
    allowed: Allowed
    extra: Extra
    invariants: Rules = Rules()
    report: Report = Report()
    tenants: list[TenantFile] = []
    failureDomains: list[str] = []
    """The zones."""
    az: int = Field(0, ge=0)
    """Index of the node's own zone in `failureDomains`."""
    tariffs: Tariffs = Tariffs()
    balancers: int = Field(1, ge=1)
    """Number of nodes."""
    ordinal: int = Field(0, ge=0)
    discovery: Literal["pushed", "on_request"] = "pushed"
    weights: Literal["off", "nominal", "rough"] = "off"
    """Whether the endpoint list states each destination's rate."""
    overShareWorth: float = Field(1.0, ge=0.0)
    resolution: Seconds = Field(0.0, ge=0.0)


class DynamicSettingsFile(Section):
    """The etcd cluster from which the node takes changes of its settings while it runs."""

    members: list[str] = Field(min_length=1)
    """The members' client addresses, host:port each."""
    prefix: str = Field(pattern="/$")
    """Prefix of the settings' keys in etcd."""
    bytes_per_s: int = Field(11_000, ge=1024)
    """Network bandwidth that following the settings may use, in bytes per second."""

    @field_validator("members")
    @classmethod
    def _check_members(cls, value: list[str]) -> list[str]:
        for member in value:
            _check_address(member)
        return value


class NodeFile(Section):
    """A node's configuration file. The environment variables in `VARIABLES` override their keys."""

    name: str = "node"
    listen: str | None = None
    discovery: str | None = None
    state: str | None = None
    """The state directory."""
    seed: str = "0"
    """Seed of the random numbers, hexadecimal."""
    limits: Limits = Limits()
    known: dict[str, Any] | None = None
    """The endpoint list as last known."""
    settings: SettingsFile
    peers: list[str] = []
    """The other nodes, host:port each: gossip is exchanged with them if `mayTell` is set."""
    dynamic_settings: DynamicSettingsFile | None = None
    """Where the node gets changes of its settings; without it, changes need a restart."""
    watch: dict[str, Any] | None = None
    """Trial settings, as overrides of those in force: decisions that they would have changed are counted."""

    @field_validator("listen", "discovery")
    @classmethod
    def _check_host_port(cls, value: str | None) -> str | None:
        if value is not None:
            _check_address(value)
        return value

    @field_validator("watch")
    @classmethod
    def _check_fixed_settings(
        cls, value: dict[str, Any] | None, info: ValidationInfo
    ) -> dict[str, Any] | None:
        if value is not None and info.data.get("dynamic_settings") is not None:
            raise ValueError(
                "cannot be combined with dynamic_settings: trial settings are compared with fixed ones"
            )
        return value

    @field_validator("seed")
    @classmethod
    def _check_seed(cls, value: str) -> str:
        try:
            int(value, 16)
        except ValueError:
            raise ValueError(f"expected a hexadecimal number, got {value!r}") from None
        return value


VARIABLES = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "state": "RELAY_STATE",
}
"""The environment variable that overrides each of these keys."""


def _check_address(text: str) -> None:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text!r}")
