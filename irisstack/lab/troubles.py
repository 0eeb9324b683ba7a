"""What each trouble does to a partner's endpoints, and when a destination comes back cold."""

from irisstack.lab.partner import Conditions, Destination, Endpoint
from irisstack.lab.scenario import OUTAGE_TROUBLES
from irisstack.lab.world import Incident

DRAIN_PERIOD = 6.0
"""Seconds that a draining endpoint still takes calls before it is gone."""
OUTAGE_FAILURE_SHARE = 0.5
"""From this part of its calls failing on, a destination counts as down."""


def is_outage(incident: Incident) -> bool:
    """Whether the destinations that it strikes are down while it lasts, and cold when it ends."""
    kind = incident.trouble.kind
    whole_destination = incident.trouble.endpoints is None
    return (
        whole_destination
        and kind in OUTAGE_TROUBLES
        and (kind != "fails_fast" or incident.strength >= OUTAGE_FAILURE_SHARE)
    )


def apply_to_endpoint(incident: Incident, endpoint: Endpoint, class_index: int | None) -> None:
    """Set what is wrong with an endpoint."""
    conditions, trouble, strength = endpoint.conditions, incident.trouble, incident.strength
    conditions.execution_probability = trouble.runs
    match trouble.kind:
        case "silent":
            conditions.silent = True
        case "shut":
            conditions.refuses_until, conditions.retry_after_probability = (
                incident.ends_at,
                trouble.tells_wait,
            )
        case "connect_refused":
            conditions.refuses_connections = True
        case "host_gone":
            conditions.host_unreachable = True
        case "fails_fast":
            conditions.error_probability = strength
        case "slow":
            conditions.slowdown = strength
        case "pauses":
            conditions.pause_period, conditions.pause_duration = trouble.period_s, strength
            conditions.pauses_start = incident.starts_at
        case "resets":
            conditions.reset_probability = strength
        case "answers_lost":
            conditions.answer_loss_probability = strength
        case "answers_spoilt":
            conditions.malformed_answer_probability = strength
        case "idle_dropped":
            conditions.idle_timeout = strength
        case "class_fails":
            assert class_index is not None, "the scenario's check asks for one"
            conditions.class_error_probability = {class_index: strength}


def clear_from_endpoint(incident: Incident, endpoint: Endpoint) -> None:
    """Clear what this trouble set. Where two of a kind overlap, the end of one is the end of both."""
    conditions, defaults = endpoint.conditions, Conditions()
    for name in CONDITION_FIELDS.get(incident.trouble.kind, ()):
        setattr(conditions, name, getattr(defaults, name))


CONDITION_FIELDS = {
    "silent": ("silent",),
    "shut": ("refuses_until", "retry_after_probability"),
    "connect_refused": ("refuses_connections",),
    "host_gone": ("host_unreachable",),
    "fails_fast": ("error_probability",),
    "slow": ("slowdown",),
    "pauses": ("pause_period", "pause_duration"),
    "resets": ("reset_probability",),
    "answers_lost": ("answer_loss_probability",),
    "answers_spoilt": ("malformed_answer_probability",),
    "idle_dropped": ("idle_timeout",),
    "class_fails": ("class_error_probability",),
}
"""The conditions that each trouble sets."""


def apply_to_destination(incident: Incident, destination: Destination) -> None:
    """Set what is wrong with a destination as a whole."""
    if incident.trouble.kind == "limit_lowered" and destination.limiter is not None:
        destination.limiter.factor = incident.strength


def clear_from_destination(incident: Incident, destination: Destination, now: float) -> None:
    """Clear it; a destination that was down is cold from now on."""
    if incident.trouble.kind == "limit_lowered" and destination.limiter is not None:
        destination.limiter.factor = 1.0
    if is_outage(incident):
        destination.warmup.begin(now)
