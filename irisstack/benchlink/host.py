"""Runs instances of the decision module for the simulator, over a pair of byte streams."""

from typing import BinaryIO, TextIO

from irisstack.benchlink import codec
from irisstack.choice import Sender
from irisstack.interface import Event

MAX_FRAME = 1 << 30
"""Bytes; a frame whose length field is larger is rejected as malformed."""


def _read_up_to(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes; fewer only at the end of the stream."""
    data = stream.read(size)
    while data and len(data) < size:
        chunk = stream.read(size - len(data))
        if not chunk:
            break
        data += chunk
    return data


class Host:
    """The instances of one process; they are independent of each other."""

    def __init__(self) -> None:
        self._decoder = codec.Decoder()
        self._senders: dict[int, Sender | None] = {}

    def process(self, payload: bytes) -> bytes:
        """Process one batch (without its length field) and return the reply; raises `codec.WireError`."""
        batch = self._decoder.decode(payload)
        events: dict[int, list[Event]] = {}
        records: list[bytes] = []
        for instance, event in batch.records:
            match event:
                case codec.InstanceStarted(seed, settings):
                    self._senders[instance] = Sender(settings, seed)
                    events[instance] = []
                case codec.InstanceKilled():
                    self._senders[instance] = None
                    events.pop(instance, None)
                case _:
                    if instance not in self._senders:
                        raise codec.WireError(f"event for instance {instance}, which was never started")
                    if self._senders[instance] is not None:
                        events.setdefault(instance, []).append(event)
        for instance, instance_events in events.items():
            sender = self._senders[instance]
            assert sender is not None
            try:
                records.extend(
                    codec.encode_action(instance, action)
                    for action in sender.turn(batch.clock, instance_events)
                )
            except Exception as error:  # the simulator reports any failure with its cause
                records.append(codec.encode_fault(instance, f"{type(error).__name__}: {error}"))
        return codec.encode_reply(batch.number, records)


def main(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Process batches until the input ends; returns the exit code: 0, or 2 for malformed input."""
    host = Host()
    try:
        while length_field := _read_up_to(source, 4):
            if len(length_field) < 4:
                raise codec.WireError("input ends within the length field of a frame")
            length = int.from_bytes(length_field, "big")
            if length > MAX_FRAME:
                raise codec.WireError(f"frame length: expected at most {MAX_FRAME} bytes, got {length}")
            payload = _read_up_to(source, length)
            if len(payload) < length:
                raise codec.WireError("input ends within a frame")
            sink.write(host.process(payload))
            sink.flush()
    except codec.WireError as error:
        print(f"benchlink: {error}", file=errors)
        return 2
    return 0
