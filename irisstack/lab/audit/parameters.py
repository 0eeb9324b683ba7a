"""The figures that a run is audited by."""

from dataclasses import dataclass

from irisstack.lab.scenario import MessageClass
from irisstack.lab.world import World


@dataclass(slots=True, frozen=True)
class AuditParameters:
    """What the rules and the worth of a run go by; times in seconds."""

    classes: tuple[MessageClass, ...]
    duration: float
    answer_slack: float
    drain_grace: float
    order_pause: float
    wait_slack: float
    overload_windows: dict[int, float]
    """For each destination: over how long its load before a fall is looked at."""
    separate_routes: frozenset[int]
    """Destinations whose endpoints are routes of their own."""
    restart_slack: float = 1.5
    """After a node is ready again, the time in which nothing that it owes is overdue."""


def audit_parameters(world: World) -> AuditParameters:
    """The figures of a scenario's world."""
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
