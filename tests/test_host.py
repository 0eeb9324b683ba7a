"""The simulator host: independent instances in one process, and the end of its input."""

import io
import json
import struct

import pytest

from irisstack.benchlink import host
from tests.test_codec import SETTINGS, encode_batch, from_hex

SEND = 71
ENDPOINT_LIST = from_hex("0b 0000001e 0000 00000001 0a000001 0001 00 00 0000000000000000 40800000 0000 0001")
REPLY_HEADER = struct.Struct(">III")


def start(instance: int, seed: int = 5) -> bytes:
    text = json.dumps({**SETTINGS, "discovery": "pushed"}).encode()
    fields = struct.pack(">IQI", instance, seed, len(text)) + text
    return struct.pack(">BI", 1, len(fields)) + fields


def update(instance: int) -> bytes:
    return from_hex(f"02 0000000f {instance:08x} 02 0000000000000001 0000")


def received(instance: int, number: int, due: float = 20.0) -> bytes:
    return from_hex(f"03 0000002a {instance:08x} {number:08x} 00 00000000 0000000000000000") + struct.pack(
        ">ddfB", due, 0.0, 1.0, 0
    )


def records(reply: bytes) -> list[tuple[int, int]]:
    """The (code, instance) of each record of a reply."""
    length, count, _ = REPLY_HEADER.unpack_from(reply)
    assert length == len(reply) - 4
    offset, found = REPLY_HEADER.size, []
    for _ in range(count):
        code, size = struct.unpack_from(">BI", reply, offset)
        found.append((code, struct.unpack_from(">I", reply, offset + 5)[0]))
        offset += 5 + size
    assert offset == len(reply)
    return found


def test_a_message_is_sent_and_the_reply_has_the_number_of_its_batch() -> None:
    simulator_host = host.Host()
    reply = simulator_host.process(
        encode_batch(start(3), ENDPOINT_LIST, update(3), received(3, 9), clock=11.0, number=4)
    )
    assert REPLY_HEADER.unpack_from(reply)[2] == 4
    assert (SEND, 3) in records(reply)


def test_an_instance_gives_the_same_reply_alone_or_with_other_instances() -> None:
    alone, shared = host.Host(), host.Host()
    alone.process(encode_batch(start(3), ENDPOINT_LIST, update(3), clock=11.0))
    started = (start(3), start(8, seed=6), ENDPOINT_LIST, update(3), update(8))
    shared.process(encode_batch(*started, received(8, 1), clock=11.0))
    first = alone.process(encode_batch(received(3, 9), clock=11.5))
    second = shared.process(encode_batch(received(3, 9), clock=11.5))
    assert first == second


def test_only_instances_with_events_act() -> None:
    simulator_host = host.Host()
    simulator_host.process(encode_batch(start(3), start(4), ENDPOINT_LIST, update(3), update(4), clock=11.0))
    reply = simulator_host.process(encode_batch(received(4, 9), clock=11.5))
    assert {instance for _, instance in records(reply)} == {4}


def test_an_instance_restarted_within_a_batch_keeps_no_earlier_state() -> None:
    simulator_host = host.Host()
    simulator_host.process(encode_batch(start(3), ENDPOINT_LIST, update(3), received(3, 9), clock=11.0))
    reply = simulator_host.process(
        encode_batch(
            received(3, 10),
            from_hex("0a 00000004 00000003"),
            start(3, seed=8),
            update(3),
            received(3, 11),
            clock=12.0,
        )
    )
    sent = [code for code, _ in records(reply) if code == SEND]
    assert len(sent) == 1
    assert bytes.fromhex("0000000b") in reply
    assert bytes.fromhex("0000000a0a000001") not in reply


def test_a_stopped_instance_does_not_reply() -> None:
    simulator_host = host.Host()
    simulator_host.process(encode_batch(start(3), ENDPOINT_LIST, update(3), clock=11.0))
    assert (
        records(
            simulator_host.process(encode_batch(received(3, 9), from_hex("0a 00000004 00000003"), clock=12.0))
        )
        == []
    )


def test_an_exception_in_the_decision_module_is_reported_with_its_cause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Broken:
        def __init__(self, *_: object) -> None: ...

        def turn(self, *_: object) -> list[object]:
            raise KeyError("lost")

    monkeypatch.setattr(host, "Sender", Broken)
    reply = host.Host().process(encode_batch(start(3), ENDPOINT_LIST, update(3), clock=11.0))
    assert records(reply) == [(67, 3)]
    assert b"KeyError: 'lost'" in reply


def run(data: bytes) -> tuple[int, bytes, str]:
    sink, errors = io.BytesIO(), io.StringIO()
    code = host.main(io.BytesIO(data), sink, errors)
    return code, sink.getvalue(), errors.getvalue()


def frame(payload: bytes) -> bytes:
    return len(payload).to_bytes(4, "big") + payload


def test_the_end_of_the_input_gives_exit_code_zero() -> None:
    code, out, stderr = run(frame(encode_batch(number=1)) + frame(encode_batch(number=2)))
    assert (code, stderr) == (0, "")
    assert out == from_hex("00000008 00000000 00000001 00000008 00000000 00000002")


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0",
        b"\xff\xff\xff\xff",
        frame(b"x"),
        frame(encode_batch())[:-1],
        frame(encode_batch(from_hex("63 00000004 00000003"))),
        frame(encode_batch(from_hex("07 0000000c 00000003 000000000000004d"))),
    ],
)
def test_malformed_input_gives_one_line_of_error(data: bytes) -> None:
    code, _, stderr = run(data)
    assert code != 0
    assert stderr.startswith("benchlink: ")
    assert stderr.count("\n") == 1
