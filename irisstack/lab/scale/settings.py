"""The settings of a fleet of hollow nodes, and the sizes of fleets that are measured."""

from irisstack import interface as api
from irisstack.lab.capacity import targets

SECONDS_BETWEEN_MESSAGES = targets.NODES * targets.DESTINATIONS / targets.EVENTS_PER_S
"""Seconds between two messages of one sender to one destination at the target: 420."""
NODE_SIZES = (10, 40, 105, 200, 420, 840)
SENDER_SIZES = (2, 10, 30, 100, 300, 840)

DEADLINE_S = 20.0
SAFE = api.MessageClass(
    "safe", api.Effect.SAFE, latency_target=2.0, deadline=DEADLINE_S, worth=1.0, late_worth=0.3
)
KEYED = api.MessageClass(
    "keyed",
    api.Effect.KEYED,
    latency_target=2.0,
    deadline=DEADLINE_S,
    worth=1.0,
    late_worth=0.3,
    dedup_window=12.0,
)
UNSAFE = api.MessageClass("unsafe", api.Effect.UNSAFE, 2.0, DEADLINE_S, 1.0, 0.3)
CLASSES = (SAFE, KEYED, UNSAFE)


def fleet_settings(
    senders: int, ordinal: int = 0, *, gossip: bool = False, on_request: bool = False
) -> api.Settings:
    """One node's settings in a fleet of so many."""
    return api.Settings(
        classes=CLASSES,
        kinds=(api.DestinationKind("plain"),),
        tenants=(),
        zones=("z",),
        zone=0,
        cross_zone_price=0.0,
        senders=senders,
        ordinal=ordinal,
        max_calls=12,
        max_pending=200,
        max_attempts=6,
        may_cancel=True,
        may_duplicate=False,
        may_probe=False,
        may_gossip=gossip,
        advises_retry_after=True,
        max_retry_after=4.0,
        connect_timeout=1.0,
        keepalive=10.0,
        calls_per_connection=1,
        discovery_on_request=on_request,
        list_refresh_interval=10.0 if on_request else None,
        listed_rates=True,
        rates_are_rough=False,
        report_fields=(),
        decay=api.Decay.LINEAR,
        over_share_worth=0.5,
        answer_slack=0.02,
        drain_grace=0.5,
        warmup_start_share=0.2,
        warmup_seconds=8.0,
        overload_multiple=2.0,
        overload_window=2.0,
        order_pause=0.0,
        clock_resolution=0.005,
    )
