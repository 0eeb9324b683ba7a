"""One real node process with nothing around it: started, timed, and ended."""

import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from irisstack.lab.ports import HOST, PortReservation

READY_WITHIN = 60.0
END_WITHIN = 10.0
LOOK_S = 0.005
ANSWER_WITHIN = 5.0
PR_SET_PDEATHSIG = 1
LIMITS = {"sockets": 1024, "disk_mb": 16.0, "memory_mb": 256.0}


class NodeError(Exception):
    """A node did not start, or did not end."""


@dataclass(slots=True, frozen=True)
class NodeFile:
    """What a node is told in its file."""

    settings: Mapping[str, Any]
    known: Mapping[str, Any]
    peers: tuple[str, ...] = ()


def end_with_parent() -> None:
    """In the child: the kernel ends it with this process, whatever ends that."""
    with suppress(OSError, AttributeError):  # elsewhere than on Linux there is no such call
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def processor_s(pid: int) -> float:
    """Seconds of processor time of a process's main thread; raises `OSError` elsewhere than on Linux."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


class NodeProcess:
    """A node in a folder of its own; use it as a context manager, so that its process always ends."""

    def __init__(self, folder: Path, file: NodeFile) -> None:
        self._port_reservation, self._no_discovery = PortReservation(), PortReservation()
        self.address = (HOST, self._port_reservation.port)
        self._folder = folder
        self._config = folder / "node.json"
        (folder / "state").mkdir(parents=True, exist_ok=True)
        self._config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:{self.address[1]}",
                    "discovery": f"{HOST}:{self._no_discovery.port}",
                    "state": str(folder / "state"),
                    "seed": "5eed",
                    "limits": LIMITS,
                    "peers": list(file.peers),
                    "known": dict(file.known),
                    "settings": dict(file.settings),
                }
            )
        )
        self._process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> "NodeProcess":
        return self

    def __exit__(self, *_: object) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def start(self) -> float:
        """Start the process; returns the seconds until it answers that it serves."""
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        began = time.monotonic()
        with (self._folder / "node.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "irisstack", "run"],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**environment, "RELAY_CONFIG": str(self._config)},
                start_new_session=True,
                preexec_fn=end_with_parent,
            )
        while not self._serves():
            if self._process.poll() is not None or time.monotonic() - began > READY_WITHIN:
                raise NodeError(f"no node came up within {READY_WITHIN:g} s")
            time.sleep(LOOK_S)
        return time.monotonic() - began

    def _serves(self) -> bool:
        with suppress(OSError):
            return self._get("/healthz").startswith(b"HTTP/1.1 200")
        return False

    def _get(self, path: str) -> bytes:
        """A whole answer of the node, head and body."""
        answer = bytearray()
        with socket.create_connection(self.address, timeout=ANSWER_WITHIN) as sock:
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n".encode())
            while data := sock.recv(65536):
                answer += data
        return bytes(answer)

    def counters(self) -> dict[str, int]:
        """The counts that the node keeps of itself; raises `OSError` if it does not answer."""
        body = self._get("/counters").partition(b"\r\n\r\n")[2]
        counters: dict[str, int] = json.loads(body)
        return counters

    def stop(self) -> float:
        """Send SIGTERM; returns the seconds until the process has ended."""
        assert self._process is not None, "a node that was started"
        began = time.monotonic()
        self._process.send_signal(signal.SIGTERM)
        try:
            self._process.wait(END_WITHIN)
        except subprocess.TimeoutExpired:
            raise NodeError(f"a node did not end within {END_WITHIN:g} s") from None
        return time.monotonic() - began

    def processor_s(self) -> float:
        """Seconds of processor time that the process has used."""
        assert self._process is not None, "a node that was started"
        return processor_s(self._process.pid)
