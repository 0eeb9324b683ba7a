"""What each trouble does to a partner's endpoints, and when a destination comes back cold."""

from irisstack.lab.partner import Conditions, Destination, Endpoint
from irisstack.lab.scenario import OUTAGES
from irisstack.lab.world import Incident

DRAIN_FOR = 6.0
"""Seconds that a draining endpoint still takes calls before it is gone."""
MOST_FAIL = 0.5
"""From this part of its calls failing on, a destination counts as down."""


def is_outage(incident: Incident) -> bool:
    """Whether the destinations that it strikes are down while it lasts, and cold when it ends."""
    kind = incident.trouble.kind
    whole = incident.trouble.endpoints is None
    return whole and kind in OUTAGES and (kind != "fails_fast" or incident.strength >= MOST_FAIL)


def begin(incident: Incident, endpoint: Endpoint, class_index: int | None) -> None:
    """Set what is wrong with an endpoint."""
    conditions, trouble, strength = endpoint.conditions, incident.trouble, incident.strength
    conditions.runs = trouble.runs
    match trouble.kind:
        case "silent":
            conditions.silent = True
        case "shut":
            conditions.shut_until, conditions.shut_tells = incident.ends, trouble.tells_wait
        case "connect_refused":
            conditions.refuses_connections = True
        case "host_gone":
            conditions.host_gone = True
        case "fails_fast":
            conditions.fails = strength
        case "slow":
            conditions.slower = strength
        case "pauses":
            conditions.pause_every, conditions.pause_for = trouble.period_s, strength
            conditions.pauses_from = incident.begins
        case "resets":
            conditions.resets = strength
        case "answers_lost":
            conditions.loses_answers = strength
        case "answers_spoilt":
            conditions.spoils_answers = strength
        case "idle_dropped":
            conditions.idle_drop = strength
        case "class_fails":
            assert class_index is not None, "the scenario's check asks for one"
            conditions.failing_classes = {class_index: strength}


def end(incident: Incident, endpoint: Endpoint) -> None:
    """Clear what this trouble set. Where two of a kind overlap, the end of one is the end of both."""
    conditions, fresh = endpoint.conditions, Conditions()
    for name in FIELDS.get(incident.trouble.kind, ()):
        setattr(conditions, name, getattr(fresh, name))


FIELDS = {
    "silent": ("silent",),
    "shut": ("shut_until", "shut_tells"),
    "connect_refused": ("refuses_connections",),
    "host_gone": ("host_gone",),
    "fails_fast": ("fails",),
    "slow": ("slower",),
    "pauses": ("pause_every", "pause_for"),
    "resets": ("resets",),
    "answers_lost": ("loses_answers",),
    "answers_spoilt": ("spoils_answers",),
    "idle_dropped": ("idle_drop",),
    "class_fails": ("failing_classes",),
}
"""The conditions that each trouble sets."""


def begin_for(incident: Incident, destination: Destination) -> None:
    """Set what is wrong with a destination as a whole."""
    if incident.trouble.kind == "limit_lowered" and destination.limiter is not None:
        destination.limiter.factor = incident.strength


def end_for(incident: Incident, destination: Destination, now: float) -> None:
    """Clear it; a destination that was down is cold from now on."""
    if incident.trouble.kind == "limit_lowered" and destination.limiter is not None:
        destination.limiter.factor = 1.0
    if is_outage(incident):
        destination.strength.came_back(now)
