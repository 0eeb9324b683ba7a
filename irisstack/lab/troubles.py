"""Applies troubles to a partner's endpoints and destinations, and clears them."""

from irisstack.lab.partner import Conditions, Destination, Endpoint
from irisstack.lab.scenario import OUTAGE_TROUBLES
from irisstack.lab.world import Incident

DRAIN_PERIOD = 6.0
"""Seconds for which a draining endpoint still accepts calls before it is removed."""
OUTAGE_FAILURE_SHARE = 0.5
"""A destination with at least this share of failing calls counts as down."""


def is_outage(incident: Incident) -> bool:
    """Whether the affected destinations are down during the incident, and cold after it."""
    kind = incident.trouble.kind
    whole_destination = incident.trouble.endpoints is None
    return (
        whole_destination
        and kind in OUTAGE_TROUBLES
        and (kind != "fails_fast" or incident.strength >= OUTAGE_FAILURE_SHARE)
    )


def apply_to_endpoint(incident: Incident, endpoint: Endpoint, class_index: int | None) -> None:
    """Set the endpoint's conditions."""
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
            assert class_index is not None, "required by the validation of the scenario"
            conditions.class_error_probability = {class_index: strength}


def clear_from_endpoint(incident: Incident, endpoint: Endpoint) -> None:
    """Reset the conditions that this trouble set. The end of one of two overlapping ones clears both."""
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
"""Fields of `Conditions` that each trouble sets."""


def apply_to_destination(incident: Incident, destination: Destination) -> None:
    """Apply a trouble that concerns the destination as a whole."""
    if incident.trouble.kind == "limit_lowered" and destination.limiter is not None:
        destination.limiter.factor = incident.strength


def clear_from_destination(incident: Incident, destination: Destination, now: float) -> None:
    """Clear such a trouble; a destination that was down is cold from now on."""
    if incident.trouble.kind == "limit_lowered" and destination.limiter is not None:
        destination.limiter.factor = 1.0
    if is_outage(incident):
        destination.warmup.begin(now)
