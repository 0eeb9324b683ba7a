"""The parameters of an audit."""

from dataclasses import dataclass

from irisstack.lab.scenario import MessageClass
from irisstack.lab.world import World


@dataclass(slots=True, frozen=True)
class AuditParameters:
    """Parameters of the rules and of the score; times in seconds."""

    classes: tuple[MessageClass, ...]
    duration: float
    answer_slack: float
    drain_grace: float
    order_pause: float
    wait_slack: float
    overload_windows: dict[int, float]
    """By destination: length of the period before an overload whose calls are counted as its load."""
    separate_routes: frozenset[int]
    """Destinations each of whose endpoints is a route of its own."""
    restart_slack: float = 1.5
    """Time after a node's restart within which no final result is overdue."""


def audit_parameters(world: World) -> AuditParameters:
    """The audit parameters of a world."""
    rules = world.scenario.rules
    return AuditParameters(
        tuple(world.scenario.classes),
        world.duration,
        rules.answer_slack_s,
        rules.drain_grace_s,
        rules.order_pause_s,
        rules.wait_slack_s,
        {number: spec.kind.cold.tip_s for number, spec in world.destinations.items()},
        frozenset(n for n, spec in world.destinations.items() if spec.kind.separate_routes),
    )
