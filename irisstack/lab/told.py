"""What a node is told of a scenario: the platform's settings object, the same for both ways of playing it."""

from typing import Any

from irisstack import interface as api
from irisstack import settings
from irisstack.lab.world import World

REPEAT = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
ZONE = "lab"
TENANT = "lab"


def settings_object(world: World, sender: int) -> dict[str, Any]:
    """The settings of one node as JSON values, with the platform's names."""
    scenario, spec = world.scenario, world.senders[sender]
    told, rules = scenario.senders, scenario.rules
    colds = [kind.cold for kind in scenario.kinds]  # one set of figures is told: the most delicate of each
    return {
        "balancers": told.count,
        "ordinal": sender,
        "discovery": scenario.endpoint_list.mode,
        "failureDomains": [ZONE],
        "shapes": [kind.name for kind in scenario.kinds],
        "weights": "nominal" if scenario.endpoint_list.rates else "off",
        "resolution": 0.005,
        "allowed": {
            "attemptsCap": told.max_attempts,
            "cancel": told.may_cancel,
            "mayDuplicate": told.may_duplicate,
            "dialTimeout": told.connect_timeout_s,
            "keepalive": told.keepalive_s,
            "maxRetryAfter": told.max_retry_after_s,
            "mostHeld": spec.room,
            "multiplex": 1,
            "retryAfter": told.advises_retry_after,
        },
        "extra": {
            "batchByKind": [kind.shared_calls for kind in scenario.kinds],
            "maxCalls": spec.slots,
            "separateRoutes": [kind.separate_routes for kind in scenario.kinds],
            "fades": "even",
        },
        "invariants": {
            "answerSlack": 0.02,
            "askWithin": 10.0 if scenario.endpoint_list.mode == "on_request" else None,
            "cold": max(cold.warm_s for cold in colds),
            "drainGrace": rules.drain_grace_s,
            "fall": min(cold.tip_s for cold in colds),
            "startCapacity": min(cold.start for cold in colds),
            "tipMultiple": min(cold.tip_multiple for cold in colds),
            "orderPause": rules.order_pause_s,
        },
        "lanes": [
            {
                "name": kind.name,
                "repeat": REPEAT[kind.repeat],
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


def settings_of(world: World, sender: int) -> api.Settings:
    """The same as the decision module takes it."""
    raw = settings_object(world, sender)
    if raw["invariants"]["askWithin"] is None:
        del raw["invariants"]["askWithin"]
    return settings.read(settings.Reader(raw))
