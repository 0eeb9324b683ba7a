"""Real node processes: started, watched, and killed, stopped or stalled by schedule."""

import ctypes
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
from gevent import socket
from gevent import subprocess as green

from irisstack.lab import ledger as records
from irisstack.lab.node_settings import settings_object
from irisstack.lab.ports import HOST, PortReservation
from irisstack.lab.sockets import http
from irisstack.lab.sockets.run_context import RunContext

READY_WITHIN = 30.0
"""Seconds in which a node must answer that it serves."""
END_WITHIN = 6.0
"""Seconds in which a node must end after SIGTERM."""
KILL_AFTER = 3.7
"""Seconds from SIGTERM to SIGKILL at a planned restart."""
LOOK = 0.01
PR_SET_PDEATHSIG = 1
DESCRIPTORS, DISK_MB, MEMORY_MB = 1024, 16.0, 192.0


def _end_with_parent() -> None:
    """In the child: the kernel kills it when the laboratory is killed, which cannot then do so itself."""
    with suppress(OSError, AttributeError):  # elsewhere than on Linux there is no such call
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class NodeProcess:
    """One node: its folder, its address, and its process while it has one."""

    def __init__(self, number: int, folder: Path, context: RunContext, platform: str) -> None:
        self.number = number
        self._port_reservation = PortReservation()
        self.address = (HOST, self._port_reservation.port)
        self.up = False
        self.cpu_s = 0.0
        self._context = context
        self._folder = folder
        self._state = folder / f"state-{number}"
        self._config = folder / f"node-{number}.json"
        self._platform = platform
        self._process: green.Popen[bytes] | None = None
        self._expected = False  # its end was asked for
        self._life = 0

    def start(self, known: Mapping[str, Any]) -> None:
        """Start the process with a list as last held; `up` once it serves."""
        self._state.mkdir(exist_ok=True)
        settings = settings_object(self._context.world, self.number)
        settings["invariants"] = {k: v for k, v in settings["invariants"].items() if v is not None}
        self._config.write_text(
            json.dumps(
                {
                    "name": f"n{self.number}",
                    "listen": f"{HOST}:{self.address[1]}",
                    "discovery": self._platform,
                    "state": str(self._state),
                    "seed": f"{(self.number + 1) * 1000 + self._life:x}",
                    "limits": {"sockets": DESCRIPTORS, "disk_mb": DISK_MB, "memory_mb": MEMORY_MB},
                    "known": dict(known),
                    "settings": settings,
                }
            )
        )
        self._life += 1
        self._expected = False
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        with (self._folder / f"node-{self.number}.log").open("ab") as log:
            self._process = green.Popen(
                [sys.executable, "-m", "irisstack", "run"],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**environment, "RELAY_CONFIG": str(self._config)},
                start_new_session=True,
                preexec_fn=_end_with_parent,
            )
        gevent.spawn(self._watch, self._process)

    def _watch(self, process: "green.Popen[bytes]") -> None:
        code = process.wait()
        if process is self._process:
            self.up = False
            if not self._expected:
                self._context.invalidate(f"node {self.number} ended by itself with code {code}")

    def wait_ready(self) -> bool:
        """Wait until the node answers that it serves."""
        deadline = time.monotonic() + READY_WITHIN
        process = self._process
        while process is self._process and process is not None and process.poll() is None:
            if time.monotonic() > deadline:
                return False
            if self._serves():
                self.up = True
                return True
            gevent.sleep(LOOK)
        return False

    def _serves(self) -> bool:
        try:
            with socket.create_connection(self.address, timeout=0.5) as sock:
                sock.sendall(http.request("GET", "/healthz", "node", {"Connection": "close"}))
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    # ---- ends ----

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self, now: float, *, disk_lost: bool) -> None:
        """End the process at once."""
        self._expected, self.up = True, False
        self.cpu_s += self.cpu()
        self.signal(signal.SIGKILL)
        self._context.ledger.append(records.NodeState(now, self.number, "lost" if disk_lost else "killed"))
        if self._process is not None:
            self._process.wait()
        if disk_lost:
            shutil.rmtree(self._state, ignore_errors=True)

    def stop(self, now: float) -> None:
        """SIGTERM; the node may go on for a while."""
        self._expected = True
        self._context.ledger.append(records.NodeState(now, self.number, "stopping"))
        self.signal(signal.SIGTERM)

    def restart(self, now: float, known: Mapping[str, Any]) -> None:
        """Start again with nothing but the folder."""
        self.start(known)
        if self.wait_ready():
            self._context.ledger.append(records.NodeState(self._context.now(), self.number, "ready"))
        else:
            self._context.invalidate(f"node {self.number} did not come back")

    def stall(self, now: float, until: float) -> None:
        """SIGSTOP, and SIGCONT at that time."""
        self._context.ledger.append(records.NodeState(now, self.number, "stalled"))
        self.signal(signal.SIGSTOP)
        self._context.at(until, self._wake)

    def _wake(self, now: float) -> None:
        self.signal(signal.SIGCONT)
        self._context.ledger.append(records.NodeState(now, self.number, "awake"))

    def cpu(self) -> float:
        """Seconds of CPU that the present process has used."""
        if self._process is None:
            return 0.0
        try:
            words = Path(f"/proc/{self._process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")

    def finish(self) -> None:
        """Bring the process to its end, whatever state it is in."""
        self.cpu_s += self.cpu()
        self._expected = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self._process is not None:
            try:
                self._process.wait(timeout=END_WITHIN)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()
