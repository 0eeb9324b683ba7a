"""Settings, endpoints and messages with which the decision module is measured by itself."""

from dataclasses import replace

from irisstack import interface as api
from irisstack.choice import Sender
from irisstack.lab.capacity import targets

SEED = 1
DEADLINE_S = 20.0
KEYED = api.MessageClass(
    "keyed",
    api.Effect.KEYED,
    latency_target=3.0,
    deadline=DEADLINE_S,
    worth=1.0,
    late_worth=0.5,
    dedup_window=15.0,
)
NO_LIMIT = 100_000_000


def settings(max_held: int = NO_LIMIT, keyed: api.MessageClass = KEYED) -> api.Settings:
    """Settings of one node among as many as the operators plan for."""
    return api.Settings(
        classes=(keyed,),
        kinds=(api.DestinationKind("plain"),),
        tenants=(),
        zones=tuple(f"zone-{number}" for number in range(targets.ZONES)),
        zone=0,
        cross_zone_price=0.0,
        senders=targets.NODES,
        ordinal=0,
        max_calls=64,
        max_pending=max_held,
        max_attempts=6,
        may_cancel=True,
        may_duplicate=False,
        may_probe=False,
        may_gossip=True,
        advises_retry_after=True,
        max_retry_after=3.0,
        connect_timeout=1.0,
        keepalive=30.0,
        calls_per_connection=1,
        discovery_on_request=False,
        list_refresh_interval=None,
        listed_rates=True,
        rates_are_rough=False,
        report_fields=("x0", "x1"),
        decay=api.Decay.LINEAR,
        over_share_worth=0.5,
        answer_slack=0.02,
        drain_grace=0.5,
        warmup_start_share=0.2,
        warmup_seconds=5.0,
        overload_multiple=2.5,
        overload_window=3.0,
        order_pause=0.0,
        clock_resolution=0.005,
    )


def address(number: int) -> api.Address:
    """An address of its own for each endpoint, in 10.0.0.0/8."""
    return bytes([10, *number.to_bytes(3, "big")]), 8000


def shared_list(endpoints: int, of_each: int) -> api.EndpointsUpdated:
    """A list of so many endpoints, of which each destination has so many."""
    lines = (replace(endpoint(number), destination=1 + number // of_each) for number in range(endpoints))
    return api.EndpointsUpdated(api.UpdateScope.FULL, 1, tuple(lines))


def endpoint(number: int, state: api.EndpointState = api.EndpointState.READY) -> api.Endpoint:
    """The one endpoint of the destination with that number."""
    return api.Endpoint(address(number), state, 0, number, number % targets.ZONES, 50.0, None)


def whole_list(destinations: int, revision: int = 1) -> api.EndpointsUpdated:
    """A list of so many destinations, numbered from 1, with one endpoint each."""
    endpoints = tuple(endpoint(number) for number in range(1, destinations + 1))
    return api.EndpointsUpdated(api.UpdateScope.FULL, revision, endpoints)


def sender_with_list(destinations: int) -> Sender:
    """A sender that knows so many destinations."""
    sender = Sender(settings(), SEED)
    sender.turn(0.0, [whole_list(destinations)])
    return sender


def message(number: int, destination: int, now: float) -> api.MessageReceived:
    """A new message for a destination."""
    return api.MessageReceived(number, 0, destination, now + DEADLINE_S)


def delivered(message_number: int, destination: int, attempt: int = 0) -> api.AttemptEnded:
    """The end of an attempt that went well."""
    return api.AttemptEnded(
        message_number, address(destination), attempt, 0.05, final=True, outcome=api.Outcome.OK
    )
