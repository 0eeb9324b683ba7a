"""Every record of the simulator's protocol against handwritten bytes, and rejection of malformed input."""

import json
import struct
from typing import Any

import pytest

from irisstack import interface as api
from irisstack.benchlink import codec

ADDRESS = (bytes([10, 18, 74, 7]), 5003)
ADDRESS_HEX = "0a124a07 138b"


def from_hex(text: str) -> bytes:
    return bytes.fromhex("".join(text.split()))


def encode_batch(*records: bytes, clock: float = 8.627, number: int = 12) -> bytes:
    return struct.pack(">dII", clock, len(records), number) + b"".join(records)


def decode(*records: bytes) -> list[tuple[int, Any]]:
    return codec.Decoder().decode(encode_batch(*records)).records


SETTINGS: dict[str, Any] = {
    "allowed": {
        "attemptsCap": 5,
        "cancel": True,
        "dialTimeout": 1.25,
        "keepalive": 9.0,
        "maxRetryAfter": 2.5,
        "mayDuplicate": True,
        "mayProbe": True,
        "mayTell": True,
        "mostHeld": 50,
        "multiplex": 4,
        "retryAfter": True,
    },
    "balancers": 3,
    "discovery": "on_request",
    "ordinal": 2,
    "extra": {"batchByKind": [7], "fades": "by_half", "maxCalls": 11, "separateRoutes": [True]},
    "failureDomains": ["z0", "z1"],
    "az": 1,
    "tariffs": {"crossZone": 0.02},
    "invariants": {
        "answerSlack": 0.03,
        "askWithin": 8.0,
        "cold": 6.0,
        "drainGrace": 0.4,
        "fall": 2.0,
        "orderPause": 0.7,
        "startCapacity": 0.3,
        "tipMultiple": 1.75,
    },
    "lanes": [
        {
            "group": "zone",
            "hardLimit": 9.0,
            "importance": 3.0,
            "keepOrder": True,
            "lateValue": 0.25,
            "name": "a",
            "repeat": "idempotency_key",
            "slo": 1.5,
            "streamed": False,
            "window": 4.0,
        }
    ],
    "overShareWorth": 0.4,
    "report": {"how": "inline", "names": ["x0", "x1"]},
    "resolution": 0.002,
    "shapes": ["one", "two"],
    "tenants": [{"allowancePerS": 5.0, "name": "t", "share": 0.5}],
    "weights": "rough",
    "unknownKey": [1, 2],
}


def test_the_example_batch_of_the_protocol_description() -> None:
    payload = from_hex("""4020d3126e978d50 00000003 0000000c
        03 0000002a 00000003 5d3a91c4 00 00000000 91f03b7c55d20a64
           40214df3b645a1cb 3f889374bc6a7efa 42640000 01
        07 0000000c 00000003 000000000000004d
        06 00000008 00000005 0e6f2b19""")
    decoded = codec.Decoder().decode(payload)
    assert (decoded.clock, decoded.number) == (struct.unpack(">d", from_hex("4020d3126e978d50"))[0], 12)
    (instance, received), timer, withdrawn = decoded.records
    assert instance == 3
    assert received == api.MessageReceived(
        message=0x5D3A91C4,
        message_class=0,
        destination=57,
        due=struct.unpack(">d", from_hex("40214df3b645a1cb"))[0],
        tenant=0,
        key=0x91F03B7C55D20A64,
        work_hint=struct.unpack(">d", from_hex("3f889374bc6a7efa"))[0],
    )
    assert timer == (3, api.TimerFired(77))
    assert withdrawn == (5, api.MessageWithdrawn(0x0E6F2B19))


def test_the_flags_of_a_message() -> None:
    head = (
        "03 0000002a 00000003 00000009 01 00000002 0000000000000000 40240000000000000000000000000000 3f800000"
    )
    ((_, message),) = decode(from_hex(head + "16"))
    assert message == api.MessageReceived(
        9, 1, 1, 10.0, 2, None, None, is_retry=True, from_dead_sender=True, is_write=True
    )


def test_an_empty_batch_and_its_reply() -> None:
    decoded = codec.Decoder().decode(from_hex("4020d3126e978d50 00000000 00000001"))
    assert decoded.records == []
    assert codec.encode_reply(decoded.number, []) == from_hex("00000008 00000000 00000001")


def test_lists_and_updates() -> None:
    endpoint_list = from_hex("""0b 0000004e 0005 00000003
        0a124a07 138b 00 00 0000000000000000 3f800000 0000 0039
        0a9011f2 13b4 01 01 4018000000000000 3fc00000 0001 0039
        0a9011f3 13b4 03 00 0000000000000000 00000000 0000 0001""")
    update = from_hex("02 0000000f 00000003 01 0000000000000029 0005")
    ((instance, decoded),) = decode(endpoint_list, update)
    assert instance == 3
    assert decoded == api.EndpointsUpdated(
        api.UpdateScope.FULL,
        41,
        (
            api.Endpoint(ADDRESS, api.EndpointState.READY, 0, 57, 0, 1.0, None),
            api.Endpoint(
                (bytes([10, 0x90, 0x11, 0xF2]), 0x13B4), api.EndpointState.DRAINING, 1, 57, 1, 1.5, 6.0
            ),
            api.Endpoint((bytes([10, 0x90, 0x11, 0xF3]), 0x13B4), api.EndpointState.GONE, 0, 1, 0, 0.0, None),
        ),
    )


def test_a_reused_list_number_refers_to_the_latest_list() -> None:
    def list_of(host: int) -> bytes:
        return from_hex(
            f"0b 0000001e 0000 00000001 0a0000{host:02x} 0001 00 000000000000000000 3f800000 0000 0001"
        )

    update = from_hex("02 0000000f 00000001 00 0000000000000001 0000")
    (_, first), (_, second) = decode(list_of(1), update, list_of(2), update)
    assert first.endpoints[0].address == (bytes([10, 0, 0, 1]), 1)
    assert second.endpoints[0].address == (bytes([10, 0, 0, 2]), 1)


def test_a_failed_update_carries_no_list() -> None:
    assert decode(from_hex("02 0000000f 00000001 03 0000000000000001 0009")) == [
        (1, api.EndpointsUpdated(api.UpdateScope.FAILED, 1, ()))
    ]


def test_an_outcome_with_retry_after_and_report() -> None:
    ((_, ended),) = decode(
        from_hex(
            f"05 00000027 00000003 00000007 {ADDRESS_HEX} 02 3fe0000000000000 01 000005dc 0002"
            "02 3f000000 40a00000"
        )
    )
    assert ended == api.AttemptEnded(7, ADDRESS, 2, 0.5, True, api.Outcome.FULL, 1.5, False, (0.5, 5.0))


def test_the_detail_of_an_unsent_attempt_is_not_a_retry_after() -> None:
    ((_, ended),) = decode(
        from_hex(f"05 0000001f 00000003 00000007 {ADDRESS_HEX} 00 0000000000000000 00 00000001 0007 00")
    )
    assert ended == api.AttemptEnded(7, ADDRESS, 0, 0.0, False, api.Outcome.NOT_SENT, None, True, ())


def test_streams_probes_and_peers() -> None:
    assert decode(
        from_hex(f"04 00000017 00000003 00000007 {ADDRESS_HEX} 01 3fd0000000000000"),
        from_hex(f"08 00000015 00000003 {ADDRESS_HEX} 0004 3fd0000000000000 00"),
        from_hex("09 0000000d 00000003 00000002 0003 616263"),
    ) == [
        (3, api.StreamStarted(7, ADDRESS, 1, 0.25)),
        (3, api.ProbeEnded(ADDRESS, api.Outcome.CONNECT_FAILED, 0.25, ())),
        (3, api.PeerMessage(2, b"abc")),
    ]


def test_start_and_stop() -> None:
    text = json.dumps(SETTINGS).encode()
    start = from_hex(f"01 {16 + len(text):08x} 00000004 00000000000000ff {len(text):08x}") + text
    (instance, started), stop = decode(start, from_hex("0a 00000004 00000004"))
    assert (instance, started.seed) == (4, 255)
    assert stop == (4, codec.InstanceKilled())
    assert started.settings == api.Settings(
        classes=(
            api.MessageClass(
                "a", api.Effect.KEYED, 1.5, 9.0, 3.0, 0.25, api.DedupScope.ZONE, 4.0, ordered=True
            ),
        ),
        kinds=(api.DestinationKind("one", 7, True), api.DestinationKind("two", 1, False)),
        tenants=(api.Tenant("t", 5.0, 0.5),),
        zones=("z0", "z1"),
        zone=1,
        cross_zone_price=0.02,
        senders=3,
        ordinal=2,
        max_calls=11,
        max_pending=50,
        max_attempts=5,
        may_cancel=True,
        may_duplicate=True,
        may_probe=True,
        may_gossip=True,
        advises_retry_after=True,
        max_retry_after=2.5,
        connect_timeout=1.25,
        keepalive=9.0,
        calls_per_connection=4,
        discovery_on_request=True,
        list_refresh_interval=8.0,
        listed_rates=True,
        rates_are_rough=True,
        report_fields=("x0", "x1"),
        decay=api.Decay.HALVING,
        over_share_worth=0.4,
        answer_slack=0.03,
        drain_grace=0.4,
        warmup_start_share=0.3,
        warmup_seconds=6.0,
        overload_multiple=1.75,
        overload_window=2.0,
        order_pause=0.7,
        clock_resolution=0.002,
    )


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (api.Send(0x5D3A91C4, ADDRESS, 0.5), f"47 00000016 00000003 5d3a91c4 {ADDRESS_HEX} 3fe0000000000000"),
        (api.Send(1, ADDRESS), f"47 00000016 00000003 00000001 {ADDRESS_HEX} 0000000000000000"),
        (api.SetTimer(0.5, 77), "4c 00000014 00000003 3fe0000000000000 000000000000004d"),
        (api.Log("two servers unknown"), "49 00000019 00000003 0013 74776f2073657276657273 20756e6b6e6f776e"),
        (api.Refuse(9, 0.5), "44 00000010 00000003 00000009 3fe0000000000000"),
        (api.Refuse(9), "44 00000010 00000003 00000009 0000000000000000"),
        (api.Fail(9), "45 00000008 00000003 00000009"),
        (api.Cancel(9, 2), "48 00000009 00000003 00000009 02"),
        (api.Subscribe(True), "42 00000005 00000003 01"),
        (api.Subscribe(False), "42 00000005 00000003 00"),
        (api.FetchEndpoints(), "4b 00000004 00000003"),
        (api.Probe(ADDRESS), f"46 0000000a 00000003 {ADDRESS_HEX}"),
        (api.CloseIdle(ADDRESS), f"41 0000000a 00000003 {ADDRESS_HEX}"),
        (api.TellPeer(None, b"hi 7"), "4a 0000000e 00000003 ffffffff 0004 68692037"),
        (api.TellPeer(2, b""), "4a 0000000a 00000003 00000002 0000"),
    ],
)
def test_actions(action: api.Action, expected: str) -> None:
    assert codec.encode_action(3, action) == from_hex(expected)


def test_a_fault_record_and_its_reply() -> None:
    record = codec.encode_fault(3, "KeyError: 1")
    assert record == from_hex("43 00000011 00000003 000b 4b65794572726f723a2031")
    assert codec.encode_reply(12, [record]) == from_hex("0000001e 00000001 0000000c") + record


def test_long_text_is_truncated_at_a_character_boundary() -> None:
    record = codec.encode_action(1, api.Log("é" * 40000))
    count = int.from_bytes(record[9:11], "big")
    assert count == 65534
    assert record[11:].decode() == "é" * 32767


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        encode_batch()[:-1],
        encode_batch() + b"x",
        encode_batch(from_hex("07 0000000c 00000003 000000000000004d"))[:-1],
        encode_batch(from_hex("07 0000000c 00000003 000000000000004d"))[:-14],
        encode_batch(from_hex("07 0000000b 00000003 0000000000004d")),
        encode_batch(from_hex("07 0000000d 00000003 000000000000004d00")),
        encode_batch(from_hex("63 00000004 00000003")),
        encode_batch(from_hex("02 0000000f 00000003 01 0000000000000029 0005")),
        encode_batch(from_hex("02 0000000f 00000003 07 0000000000000029 0005")),
        encode_batch(from_hex("0b 00000006 0000 00000001")),
        encode_batch(
            from_hex("0b 0000001e 0000 00000001 0a000001 0001 02 00 0000000000000000 3f800000 0000 0001")
        ),
        encode_batch(
            from_hex(f"05 0000001f 00000003 00000007 {ADDRESS_HEX} 00 0000000000000000 00 00000000 0008 00")
        ),
        encode_batch(
            from_hex(f"05 0000001f 00000003 00000007 {ADDRESS_HEX} 00 0000000000000000 00 00000000 0000 01")
        ),
        encode_batch(from_hex("01 00000012 00000004 00000000000000ff 00000002 7b7d")),
        encode_batch(from_hex("01 00000012 00000004 00000000000000ff 00000002 7b7b")),
        encode_batch(from_hex("01 00000012 00000004 00000000000000ff 00000002 5b5d")),
    ],
)
def test_malformed_batches_are_rejected(payload: bytes) -> None:
    with pytest.raises(codec.WireError):
        codec.Decoder().decode(payload)


def test_absent_optional_settings_have_the_defaults_of_the_protocol() -> None:
    minimal = {
        "allowed": {"attemptsCap": 3, "mostHeld": 9},
        "extra": {"maxCalls": 2},
        "lanes": [{"name": "a", "repeat": "read_like", "slo": 1.0, "hardLimit": 2.0}],
    }
    settings = codec.parse_settings(json.dumps(minimal).encode())
    permissions = (
        settings.may_cancel,
        settings.may_duplicate,
        settings.may_probe,
        settings.may_gossip,
        settings.advises_retry_after,
        settings.discovery_on_request,
        settings.listed_rates,
    )
    assert not any(permissions)
    assert (settings.tenants, settings.kinds, settings.report_fields) == ((), (), ())
    assert (settings.list_refresh_interval, settings.order_pause, settings.calls_per_connection) == (
        None,
        0.0,
        1,
    )
    assert not settings.classes[0].ordered
    assert settings.classes[0].effect is api.Effect.SAFE


def test_an_unknown_value_of_repeat_is_rejected() -> None:
    lane = {**SETTINGS["lanes"][0], "repeat": "sometimes"}
    with pytest.raises(codec.WireError, match="sometimes"):
        codec.parse_settings(json.dumps({**SETTINGS, "lanes": [lane]}).encode())
