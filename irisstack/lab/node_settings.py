"""A node's settings in a scenario, the same in virtual time and on real sockets."""

from typing import Any

from irisstack import interface as api
from irisstack import settings
from irisstack.lab.world import World

REPEAT_WIRE_NAMES = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
"""Values of `repeat` in the settings, by the scenario's values."""
ZONE = "lab"
TENANT = "lab"


def settings_object(world: World, sender: int) -> dict[str, Any]:
    """One node's settings object as JSON values under the platform's keys; times in seconds."""
    scenario, spec = world.scenario, world.senders[sender]
    senders, rules = scenario.senders, scenario.rules
    cold_starts = [kind.cold for kind in scenario.kinds]  # the settings hold one value for all: the strictest
    return {
        "balancers": senders.count,
        "ordinal": sender,
        "discovery": scenario.endpoint_list.mode,
        "failureDomains": [ZONE],
        "shapes": [kind.name for kind in scenario.kinds],
        "weights": "nominal" if scenario.endpoint_list.rates else "off",
        "resolution": 0.005,
        "allowed": {
            "attemptsCap": senders.max_attempts,
            "cancel": senders.may_cancel,
            "mayDuplicate": senders.may_duplicate,
            "dialTimeout": senders.connect_timeout_s,
            "keepalive": senders.keepalive_s,
            "maxRetryAfter": senders.max_retry_after_s,
            "mostHeld": spec.max_pending,
            "multiplex": 1,
            "retryAfter": senders.advises_retry_after,
        },
        "extra": {
            "batchByKind": [kind.shared_calls for kind in scenario.kinds],
            "maxCalls": spec.max_calls,
            "separateRoutes": [kind.separate_routes for kind in scenario.kinds],
            "fades": "even",
        },
        "invariants": {
            "answerSlack": 0.02,
            "askWithin": 10.0 if scenario.endpoint_list.mode == "on_request" else None,
            "cold": max(cold.warm_s for cold in cold_starts),
            "drainGrace": rules.drain_grace_s,
            "fall": min(cold.tip_s for cold in cold_starts),
            "startCapacity": min(cold.start for cold in cold_starts),
            "tipMultiple": min(cold.tip_multiple for cold in cold_starts),
            "orderPause": rules.order_pause_s,
        },
        "lanes": [
            {
                "name": kind.name,
                "repeat": REPEAT_WIRE_NAMES[kind.repeat],
                "group": "all" if kind.scope == "destination" else "zone",
                "window": kind.window_s,
                "slo": kind.aim_s,
                "hardLimit": kind.deadline_s,
                "importance": kind.worth,
                "lateValue": kind.late_worth,
                "keepOrder": kind.order_keys > 0,
            }
            for kind in scenario.classes
        ],
        "report": {"how": "inline" if scenario.endpoint_list.reports else "off", "names": ["x0", "x1"]},
        "tenants": [{"name": TENANT, "allowancePerS": 0.0, "share": 1.0}],
    }


def decision_settings(world: World, sender: int) -> api.Settings:
    """The same settings in the form that the decision module uses."""
    raw = settings_object(world, sender)
    if raw["invariants"]["askWithin"] is None:
        del raw["invariants"]["askWithin"]
    return settings.read(settings.Reader(raw))
