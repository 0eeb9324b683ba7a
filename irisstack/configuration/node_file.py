"""The model of a node's file, for the tools: the keys that the platform hands out, checked strictly.

The node itself reads its file through `irisstack.settings`, skips keys that it does not know (a platform may
be newer than a node), and stops at the first one it cannot use; it loads no library for that.
"""

from typing import Any, Literal

from pydantic import Field, ValidationInfo, field_validator, model_validator

from irisstack.configuration.document import Section

Seconds = float


class Limits(Section):
    """What the machine gives the node."""

    cores: float = Field(1.0, gt=0.0)
    memory_mb: float = Field(192.0, gt=0.0)
    sockets: int = Field(1024, ge=64)
    """File descriptors."""
    disk_mb: float = Field(64.0, ge=1.0)
    """What the lasting folder may hold."""


class Allowed(Section):
    """What the node may do."""

    attemptsCap: int = Field(ge=1)
    """Attempts for a message, all in all."""
    mostHeld: int = Field(ge=1)
    """Messages held at once."""
    cancel: bool = False
    mayDuplicate: bool = False
    mayProbe: bool = False
    mayTell: bool = False
    retryAfter: bool = False
    """Whether a refusal may tell the client when to come back."""
    maxRetryAfter: Seconds = Field(0.0, ge=0.0)
    dialTimeout: Seconds = Field(0.0, ge=0.0)
    keepalive: Seconds = Field(0.0, ge=0.0)
    multiplex: int = Field(1, ge=1)


class Extra(Section):
    """Slots and what differs between kinds of destination."""

    maxCalls: int = Field(ge=1)
    """Calls out at once."""
    batchByKind: list[int] = []
    """For each kind in `shapes`: the most messages in a call."""
    separateRoutes: list[bool] = []
    fades: Literal["even", "by_half"] = "even"

    @field_validator("batchByKind")
    @classmethod
    def _check_batch_sizes(cls, value: list[int]) -> list[int]:
        if any(max_batch < 1 for max_batch in value):
            raise ValueError(f"expected at least 1 for each kind, got {value!r}")
        return value


class Rules(Section):
    """The figures of the six rules."""

    answerSlack: Seconds = Field(0.0, ge=0.0)
    askWithin: Seconds | None = Field(None, gt=0.0)
    drainGrace: Seconds = Field(0.0, ge=0.0)
    startCapacity: float = Field(1.0, ge=0.0, le=1.0)
    cold: Seconds = Field(0.0, ge=0.0)
    tipMultiple: float = Field(1.0, gt=0.0)
    fall: Seconds = Field(0.0, ge=0.0)
    orderPause: Seconds = Field(0.0, ge=0.0)


class Lane(Section):
    """One class of message."""

    name: str = Field(min_length=1)
    repeat: Literal["read_like", "idempotency_key", "non_idempotent"]
    slo: Seconds = Field(gt=0.0)
    """Within which it is wanted."""
    hardLimit: Seconds = Field(gt=0.0)
    """After which it is given up."""
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
    """What endpoints tell in their answers."""

    how: str = "off"
    names: list[str] = []


class Tariffs(Section):
    """Points off the result for what costs them, by first try."""

    connection: float = Field(0.0, ge=0.0)
    crossZone: float = Field(0.0, ge=0.0)
    """For attempts that go to another zone; above 0, endpoints in the node's own zone go first."""
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
    """The place of the node's own zone among them."""
    tariffs: Tariffs = Tariffs()
    balancers: int = Field(1, ge=1)
    """How many nodes there are."""
    ordinal: int = Field(0, ge=0)
    discovery: Literal["pushed", "on_request"] = "pushed"
    weights: Literal["off", "nominal", "rough"] = "off"
    """Whether the list gives each destination's rate."""
    overShareWorth: float = Field(1.0, ge=0.0)
    resolution: Seconds = Field(0.0, ge=0.0)


class DynamicSettingsFile(Section):
    """The etcd cluster whose settings the node follows while it runs."""

    members: list[str] = Field(min_length=1)
    """The members' client addresses, host:port each."""
    prefix: str = Field(pattern="/$")
    """Of the settings' keys."""
    bytes_per_s: int = Field(11_000, ge=1024)
    """The most that following the settings may take of the network."""

    @field_validator("members")
    @classmethod
    def _check_members(cls, value: list[str]) -> list[str]:
        for member in value:
            _check_address(member)
        return value


class NodeFile(Section):
    """A node's file. The variables in `VARIABLES` stand above their keys."""

    name: str = "node"
    listen: str | None = None
    discovery: str | None = None
    state: str | None = None
    """The lasting folder."""
    seed: str = "0"
    """Hexadecimal; for random numbers."""
    limits: Limits = Limits()
    known: dict[str, Any] | None = None
    """The list of endpoints as last held."""
    settings: SettingsFile
    peers: list[str] = []
    """The other nodes, host:port each: notes go to them and come from them, where `mayTell` holds."""
    dynamic_settings: DynamicSettingsFile | None = None
    """Where the node follows changes of its settings; without it they wait for a restart."""
    watch: dict[str, Any] | None = None
    """Settings to lay over those in force and to watch: what they would have decided otherwise is counted."""

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
            raise ValueError("not together with dynamic_settings: settings on trial need ones that stay")
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
"""The variable that stands above each of these keys."""


def _check_address(text: str) -> None:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text!r}")
