"""A seeded soak: a real node under injected system faults, and an audit of its guarantees.

    python -m tests.node.fault_soak --seeds 50 --first 1000 --beside 4

runs seeds from the command line, `--beside` of them at a time. It prints a line for each seed and, for one
that fails, the violations and the injected faults.
"""

import argparse
import contextlib
import errno
import itertools
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

from irisstack.lab.faults.rig import DescriptorKind, Rig, Rule, SystemCall
from tests.node.fault_support import node_with_faults
from tests.node.hostile_clients import INCOMPLETE_REQUESTS, WRITE_SIZE, crowd, peak_memory_bytes
from tests.node.soak_audit import (
    DEDUP_WINDOW_S,
    HARNESS_SLACK_S,
    RESULT_SLACK_S,
    SoakRun,
    SubmittedMessage,
    audit,
)
from tests.node.soak_discovery import DrainInjector, SoakDiscovery
from tests.node.soak_endpoint import SoakEndpoint
from tests.node_support import Node, ScriptedPlatform, message_request

SUBMIT_DURATION_S = 12.0
"""Seconds in which messages are submitted."""
CLIENT_COUNT, IDLE_CLIENT_COUNT = 5, 60
CROWD_SEEDS, CROWD_REMAINDER = 4, 3
"""Seeds with this remainder have crowds of clients that leave their requests incomplete."""
RESTING_CLIENT_COUNT, REST_S = 10, (2.38, 2.52)
"""Clients that send a request when the node is about to end their silent connection, and for how long."""
CROSSING_S = 0.02
"""Seconds after a request's last byte in which an end of its connection may have crossed it."""
HOLD_UP_SEEDS, HOLD_UP_REMAINDER = 3, 1
"""Seeds with this remainder have the node stopped and continued now and then."""
HOLD_UP_S, HOLD_UP_PAUSE_S = (0.05, 0.13), (0.1, 0.3)
"""Seconds for which the node is stopped, and between two of them; the pages allow 0.15."""
CROWD_SIZE, CROWD_S = 350, (0.3, 2.0)
"""Clients in a crowd, and the seconds for which it may stay."""
SOCKETS, CROWD_SOCKETS = 128, 1024
MEMORY_MB = 64
FLAVORS = ("plain", "shared")
"""Kinds of the destination: its calls carry one message, or several."""
FLEET_SIZES = (2, 24)
"""Numbers of nodes in the settings; the pauses between calls for the list depend on them."""
RESTARTS = 2
"""Series of signals in a run, most of which restart the node."""
KILL_AFTER_S = 3.7
"""Seconds from SIGTERM to SIGKILL, the earliest that the protocol allows."""
SIGNAL_SERIES = (
    (),
    (),
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP,) * 5,
    (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGINT),
)
"""Signals that are sent one after another; none stands for SIGKILL alone."""
MAX_SIGNAL_GAP_S = 0.05
MAX_STALL_MS = 150
"""Milliseconds for which the node may stand still between reading its clock and writing."""
RESTART_AFTER_S = 0.6
"""Seconds from the end of a process to the start of the next."""
ANSWER_TIMEOUT_S = 2.5
"""Seconds for which a client waits for its answer."""
CLOCK_STEPS_S = (-3600.0, -20.0, -3.0, 3.0, 20.0, 3600.0)
"""Steps of the wall clock in seconds."""
ERROR_EVENTS = ('"part_failed"', '"call_failed"', '"request_failed"')
"""Log events of errors that the node does not expect."""
CLASS_NAMES = ("safe", "keyed", "unsafe")


class _NoticeRecorder(threading.Thread):
    """Records when notices arrive."""

    def __init__(self, soak_run: SoakRun, platform: ScriptedPlatform) -> None:
        super().__init__(daemon=True)
        self._soak_run, self._platform = soak_run, platform
        self.stop_requested = threading.Event()

    def run(self) -> None:
        read_count = 0
        while not self.stop_requested.wait(0.01):
            now = time.monotonic()
            new_notices = self._platform.notices[read_count:]
            read_count += len(new_notices)
            for notice in new_notices:
                self._soak_run.notified_at.setdefault(notice["ref"], now)


class _Client(threading.Thread):
    """Submits one message after another on a connection that it reuses while it stays open."""

    def __init__(self, soak_run: SoakRun, node: Node, number: int, end: float) -> None:
        super().__init__(daemon=True)
        self._soak_run, self._node, self._end = soak_run, node, end
        self._random = Random(soak_run.seed * 100 + number)
        self._ids = (f"{soak_run.seed}-{number}-{count}" for count in itertools.count())
        self._socket: socket.socket | None = None
        self._used = False
        self._connected_at = self._written_at = 0.0
        self._reset = False  # whether the last exchange ended with a reset

    def run(self) -> None:
        while time.monotonic() < self._end:
            time.sleep(self._random.uniform(0.0, 0.15))
            if self._socket is None and not self._connect():
                continue
            reused = self._used
            message, data = self._new_message()
            self._exchange(message, data)
            if message.status is None and reused and self._connect():
                self._exchange(message, data)  # the node closed the idle connection meanwhile
            message.answered_at = time.monotonic()
            self._soak_run.submitted.append(message)
        self._close()

    def _new_message(self) -> tuple[SubmittedMessage, bytes]:
        """A message that is due from now on, and the request that submits it."""
        class_name, time_left = self._random.choice(CLASS_NAMES), self._random.uniform(0.8, 5.0)
        now = time.monotonic()
        message = SubmittedMessage(next(self._ids), class_name, now, now + time_left)
        return message, message_request(message.id, class_name, X_Timeout=f"{time_left:.3f}")

    def _connect(self) -> bool:
        self._close()
        self._connected_at = time.monotonic()
        try:
            self._socket = socket.create_connection(("127.0.0.1", self._node.port), timeout=ANSWER_TIMEOUT_S)
        except OSError:
            time.sleep(0.05)
            return False
        return True

    def _exchange(self, message: SubmittedMessage, data: bytes) -> None:
        assert self._socket is not None
        message.connected_at = self._connected_at
        received = b""
        self._reset = False
        try:
            self._socket.sendall(data)
            self._written_at = time.monotonic()
            while b"\r\n\r\n" not in received:
                chunk = self._socket.recv(4096)
                if not chunk:
                    break
                received += chunk
        except OSError as error:
            self._reset = not isinstance(error, TimeoutError)
        if b"\r\n\r\n" in received:
            message.status = int(received.split(b" ", 2)[1])
            self._used = True
        if message.status is None or b"connection: close" in received.lower():
            self._close()

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
        self._socket, self._used = None, False


class _RestingClient(_Client):
    """Rests on each new connection until the node is about to end it, and submits one message then."""

    def run(self) -> None:
        while time.monotonic() < self._end:
            if not self._connect():
                continue
            time.sleep(self._random.uniform(*REST_S))
            if self._ended():
                continue
            message, data = self._new_message()
            self._exchange(message, data)
            self._soak_run.resting_requests += message.status is not None
            unread_s = MAX_STALL_MS / 1000.0 + HARNESS_SLACK_S if self._reset else CROSSING_S
            crossed = time.monotonic() < self._written_at + unread_s
            if message.status is None and crossed:  # its end crossed the request, which was not read
                if not self._connect():
                    continue  # the process has ended: it was handed in to nobody
                self._exchange(message, data)
            message.answered_at = time.monotonic()
            self._soak_run.submitted.append(message)
        self._close()

    def _ended(self) -> bool:
        """Whether the node has ended the connection already."""
        assert self._socket is not None
        self._socket.setblocking(False)
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self._socket.settimeout(ANSWER_TIMEOUT_S)
            return False
        except OSError:
            pass
        return True


def _state_directory_fault(random: Random) -> tuple[Rule, ...]:
    error = random.choice((errno.ENOSPC, errno.EIO))
    partial_write = Rule(SystemCall.WRITE, DescriptorKind.FOLDER, limit=random.randint(1, 200), count=1)
    return partial_write, Rule(SystemCall.WRITE, DescriptorKind.FOLDER, error)


def _random_fault(random: Random) -> tuple[Rule, ...]:
    """The rules of one random system call fault."""
    match random.randrange(9):
        case 0 | 1:
            return _state_directory_fault(random)
        case 2:
            error = random.choice((errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS))
            return (Rule(SystemCall.ACCEPT, error=error, count=10),)
        case 3:
            error = random.choice((errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS))
            return (Rule(SystemCall.CONNECT, error=error),)
        case 4:
            return (Rule(SystemCall.WAIT, error=errno.EINTR, count=50),)
        case 5:
            delay_ms = random.randint(1, MAX_STALL_MS)
            return (Rule(SystemCall.WRITE, DescriptorKind.FOLDER, delay_ms=delay_ms, count=3),)
        case 6:
            delay_ms = random.randint(1, MAX_STALL_MS)
            return (Rule(SystemCall.WAIT, delay_ms=delay_ms, after=random.randint(0, 20), count=1),)
        case 7:
            error = random.choice((errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET))
            return (Rule(SystemCall.RECEIVE, DescriptorKind.PEER, error, count=3),)
        case _:
            descriptor_kind = random.choice((DescriptorKind.CLIENT, DescriptorKind.PEER))
            limit = random.randint(1, 20)
            return Rule(SystemCall.SEND, descriptor_kind, limit=limit), Rule(
                SystemCall.RECEIVE, descriptor_kind, limit=limit
            )


class _FaultInjector:
    """Injects a seed's faults: steps of the wall clock, system call faults and signals, also combined."""

    def __init__(self, soak_run: SoakRun, node: Node, rig: Rig, end: float) -> None:
        self._soak_run, self._node, self._rig, self._end = soak_run, node, rig, end
        self._random = Random(soak_run.seed)
        self.fails_reads = False

    def run(self) -> None:
        restart_times = sorted(
            time.monotonic() + self._random.uniform(1.0, SUBMIT_DURATION_S - 5.0) for _ in range(RESTARTS)
        )
        while time.monotonic() < self._end:
            time.sleep(self._random.uniform(0.1, 0.4))
            if self._random.random() < 0.6:
                self._step_wall_clock()
            if self._random.random() < 0.7:
                self._inject_fault()
            if restart_times and time.monotonic() >= restart_times[0]:
                restart_times.pop(0)
                self._send_signals()
        self._set_rules()

    def _set_rules(self, *rules: Rule) -> None:
        """Replace the rig's active rules."""
        self.fails_reads = False
        self._rig.set_rules(*rules)
        self.fails_reads = any(rule.call is SystemCall.RECEIVE and rule.error for rule in rules)

    def _record_fault(self, description: str) -> None:
        self._soak_run.faults.append(f"{time.monotonic():.3f} {description}")

    def _step_wall_clock(self) -> None:
        step = self._random.choice(CLOCK_STEPS_S)
        self._record_fault(f"wall clock {step:+.0f} s")
        self._rig.set_wall_clock(step)

    def _inject_fault(self) -> None:
        rules = _random_fault(self._random)
        self._record_fault(f"rules: {rules}")
        self._set_rules(*rules)
        set_at = time.monotonic()
        time.sleep(self._random.uniform(0.05, 0.8))
        # Otherwise the fault also overlaps the next ones. Failing connects always end: without connections no
        # notice could arrive in time.
        connects_fail = rules[0].call is SystemCall.CONNECT
        if self._random.random() < 0.7 or connects_fail:
            self._set_rules()
        if connects_fail:
            self._soak_run.connect_failures.append((set_at, time.monotonic()))

    def _send_signals(self) -> None:
        """Send a series of signals; restart the node if they end it."""
        signals = self._random.choice(SIGNAL_SERIES)
        self._record_fault(f"signals: {[each.name for each in signals] or 'SIGKILL alone'}")
        assert self._node.process is not None
        signalled_at = time.monotonic()
        for each in signals:
            self._node.process.send_signal(each)
            time.sleep(self._random.uniform(0.0, MAX_SIGNAL_GAP_S))
        if signals and signal.SIGTERM not in signals:
            return
        if signals:
            with contextlib.suppress(subprocess.TimeoutExpired):
                self._node.process.wait(max(0.0, signalled_at + KILL_AFTER_S - time.monotonic()))
        self._kill_and_start(signalled_at)

    def _kill_and_start(self, signalled_at: float) -> None:
        killed_at = time.monotonic()
        self._node.kill()
        self._soak_run.kills.append((killed_at, time.monotonic()))
        time.sleep(RESTART_AFTER_S)
        self._soak_run.launches.append(time.monotonic())
        self._node.start()
        self._soak_run.downtimes.append((signalled_at, time.monotonic()))


class _ReadFailureRecorder(threading.Thread):
    """Records when the rig fails a read, from its count of hits."""

    def __init__(self, soak_run: SoakRun, rig: Rig, fault_injector: _FaultInjector) -> None:
        super().__init__(daemon=True)
        self._soak_run, self._rig, self._fault_injector = soak_run, rig, fault_injector
        self.stop_requested = threading.Event()

    def run(self) -> None:
        previous = 0
        while not self.stop_requested.wait(0.002):
            hits = self._rig.hits() if self._fault_injector.fails_reads else 0
            if hits > previous:
                self._soak_run.failed_reads.append(time.monotonic())
            previous = hits


class _HoldUpInjector(threading.Thread):
    """Stops the node's process for a moment, again and again."""

    def __init__(self, soak_run: SoakRun, node: Node) -> None:
        super().__init__(daemon=True)
        self._soak_run, self._node = soak_run, node
        self._random = Random(soak_run.seed + 2)
        self.stop_requested = threading.Event()

    def run(self) -> None:
        while not self.stop_requested.wait(self._random.uniform(*HOLD_UP_PAUSE_S)):
            process = self._node.process
            assert process is not None
            process.send_signal(signal.SIGSTOP)
            time.sleep(self._random.uniform(*HOLD_UP_S))
            process.send_signal(signal.SIGCONT)
            self._soak_run.hold_ups += 1


@contextlib.contextmanager
def _idle_clients(node: Node, size: int) -> Iterator[None]:
    """Open additional clients that stay idle."""
    idle: list[socket.socket] = []
    try:
        for _ in range(size):
            with contextlib.suppress(OSError):
                idle.append(socket.create_connection(("127.0.0.1", node.port), timeout=1.0))
        yield
    finally:
        for each in idle:
            each.close()


class _HostileClients(threading.Thread):
    """Crowds of clients, one after another, that leave their requests incomplete."""

    def __init__(self, soak_run: SoakRun, node: Node) -> None:
        super().__init__(daemon=True)
        self._soak_run, self._node = soak_run, node
        self._random = Random(soak_run.seed + 1)
        self.stop_requested = threading.Event()

    def run(self) -> None:
        while not self.stop_requested.wait(self._random.uniform(0.1, 1.0)):
            kind = self._random.choice(sorted(INCOMPLETE_REQUESTS))
            write_size = self._random.choice((8 * WRITE_SIZE, 1 << 20))
            self._soak_run.faults.append(f"{time.monotonic():.3f} crowd: {kind}, {write_size} bytes a write")
            with crowd(self._node.port, CROWD_SIZE, INCOMPLETE_REQUESTS[kind](), write_size) as clients:
                clients.run(self._random.uniform(*CROWD_S))


class _MemoryRecorder(threading.Thread):
    """Reports a violation if a process of the node passes its memory limit."""

    def __init__(self, soak_run: SoakRun, node: Node) -> None:
        super().__init__(daemon=True)
        self._soak_run, self._node = soak_run, node
        self.stop_requested = threading.Event()

    def run(self) -> None:
        while not self.stop_requested.wait(0.05):
            assert self._node.process is not None
            with contextlib.suppress(OSError, StopIteration):  # the process has ended
                peak = peak_memory_bytes(self._node.process.pid)
                self._soak_run.peak_memory_bytes = max(self._soak_run.peak_memory_bytes, peak)


def run_seed(seed: int, directory: Path) -> SoakRun:
    """Run one seed and audit it."""
    soak_run = SoakRun(seed)
    discovery = SoakDiscovery(soak_run)
    endpoints = [SoakEndpoint(soak_run, number) for number in (1, 2)]
    fleet_size = FLEET_SIZES[seed % len(FLEET_SIZES)]
    crowded = seed % CROWD_SEEDS == CROWD_REMAINDER
    with node_with_faults(
        directory,
        *endpoints,
        platform=discovery,
        dedup_window=DEDUP_WINDOW_S,
        fleet_size=fleet_size,
        flavor=FLAVORS[seed // 2 % len(FLAVORS)],
        sockets=CROWD_SOCKETS if crowded else SOCKETS,
        memory_mb=MEMORY_MB,
    ) as (
        node,
        _,
        rig,
    ):
        notice_recorder = _NoticeRecorder(soak_run, discovery)
        notice_recorder.start()
        drain_injector = DrainInjector(soak_run, discovery, 2, discovery.members[1])
        drain_injector.start()
        memory_recorder = _MemoryRecorder(soak_run, node)
        memory_recorder.start()
        hostile_clients = _HostileClients(soak_run, node)
        if crowded:
            hostile_clients.start()
        hold_up_injector = _HoldUpInjector(soak_run, node)
        held_up = seed % HOLD_UP_SEEDS == HOLD_UP_REMAINDER
        if held_up:
            hold_up_injector.start()
        end = time.monotonic() + SUBMIT_DURATION_S
        clients = [_Client(soak_run, node, number, end) for number in range(CLIENT_COUNT)]
        clients += [
            _RestingClient(soak_run, node, CLIENT_COUNT + number, end)
            for number in range(RESTING_CLIENT_COUNT)
        ]
        with _idle_clients(node, IDLE_CLIENT_COUNT if seed % 3 == 0 else 0):
            for client in clients:
                client.start()
            fault_injector = _FaultInjector(soak_run, node, rig, end)
            read_failure_recorder = _ReadFailureRecorder(soak_run, rig, fault_injector)
            read_failure_recorder.start()
            fault_injector.run()
            hostile_clients.stop_requested.set()
            hold_up_injector.stop_requested.set()
            for client in clients:
                client.join()
        if crowded:
            hostile_clients.join()
        if held_up:
            hold_up_injector.join()
        last_deadline = max((message.deadline for message in soak_run.submitted), default=time.monotonic())
        time.sleep(max(0.0, last_deadline - time.monotonic()) + RESULT_SLACK_S + HARNESS_SLACK_S)
        for thread in (drain_injector, notice_recorder, read_failure_recorder, memory_recorder):
            thread.stop_requested.set()
            thread.join()
        assert node.process is not None
        if node.process.poll() is not None:
            soak_run.violations.append(f"crash: the node exited with {node.process.returncode}")
        if soak_run.peak_memory_bytes > MEMORY_MB * 1_000_000:
            soak_run.violations.append(f"memory: {soak_run.peak_memory_bytes} bytes, {MEMORY_MB} MB allowed")
        log = node.log.read_text()
        soak_run.violations += [
            f"error: {line[:300]}"
            for line in log.splitlines()
            if any(event in line for event in ERROR_EVENTS)
        ]
    audit(soak_run)
    return soak_run


def _summary(soak_run: SoakRun) -> str:
    accepted = sum(message.status == 202 for message in soak_run.submitted)
    summary = (
        f"seed {soak_run.seed}: {'FAILED' if soak_run.violations else 'passed'}, "
        f"{len(soak_run.submitted)} submitted, "
    )
    summary += f"{accepted} accepted, {len(soak_run.calls)} calls, {len(soak_run.faults)} faults, "
    summary += f"{soak_run.peak_memory_bytes / 1e6:.0f} MB"
    return "\n".join([summary, *soak_run.violations, *(soak_run.faults if soak_run.violations else ())])


def run_seeds(seeds: Sequence[int], directory: Path, parallel: int) -> list[SoakRun]:
    """Run seeds, some in parallel, and print a line for each."""

    def run_one(seed: int) -> SoakRun:
        run_directory = directory / str(seed)
        run_directory.mkdir()
        soak_run = run_seed(seed, run_directory)
        print(_summary(soak_run), flush=True)
        return soak_run

    with ThreadPoolExecutor(parallel) as pool:
        return list(pool.map(run_one, seeds))


def main() -> int:
    """Run the soak from the command line; returns 1 if a seed fails."""
    parser = argparse.ArgumentParser(prog="python -m tests.node.fault_soak")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--beside", type=int, default=4)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="irisstack-soak-") as directory:
        seeds = range(options.first, options.first + options.seeds)
        results = run_seeds(seeds, Path(directory), options.beside)
    failed = [soak_run.seed for soak_run in results if soak_run.violations]
    print(f"{len(results) - len(failed)} passed, {len(failed)} failed {failed or ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
