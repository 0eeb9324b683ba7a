"""One real node process under measurement: its file, its processor time and its memory."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import gevent
from gevent import socket
from gevent import subprocess as green

from irisstack.lab.ports import HOST, PortReservation
from irisstack.lab.sockets import http

MEMORY_MB = 4096.0
"""Limit of the node's memory, which bounds the messages that it accepts."""
READY_WITHIN_S = 600.0
END_WITHIN_S = 10.0
LOOK_S = 0.01
QUIET_S = 0.6
"""A node that has used next to no processor time for so long has done what it had to do."""
QUIET_PROCESSOR_S = 0.004
QUIET_WITHIN_S = 120.0
ANSWER_WITHIN_S = 600.0
RESIDENT, PEAK_RESIDENT = "VmRSS", "VmHWM"


class MeasuredNodeError(Exception):
    """The node did not do what the measurement needs of it."""


class MeasuredNode:
    """A node in a folder of its own; a context manager, so that its process always ends."""

    def __init__(
        self,
        folder: Path,
        discovery: str,
        known: Mapping[str, Any],
        settings: Mapping[str, Any],
        disk_mb: float = 16.0,
    ) -> None:
        self._port_reservation = PortReservation()
        self.address = (HOST, self._port_reservation.port)
        self.state = folder / "state"
        self.state.mkdir(exist_ok=True)
        self._config = folder / "node.json"
        self._log = folder / "node.log"
        self._process: green.Popen[bytes] | None = None
        self._file: dict[str, Any] = {
            "name": "n0",
            "listen": f"{HOST}:{self.address[1]}",
            "discovery": discovery,
            "state": str(self.state),
            "seed": "5eed",
            "limits": {"sockets": 1024, "disk_mb": disk_mb, "memory_mb": MEMORY_MB},
            "known": dict(known),
            "settings": dict(settings),
        }

    def __enter__(self) -> "MeasuredNode":
        return self

    def __exit__(self, *_: object) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def start(self) -> float:
        """Start the process; returns the seconds until it answers that it serves."""
        self._config.write_text(json.dumps(self._file))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        began = time.monotonic()
        with self._log.open("ab") as log:
            self._process = green.Popen(
                [sys.executable, "-m", "irisstack", "run"],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**environment, "RELAY_CONFIG": str(self._config)},
            )
        while self.ask("GET", "/healthz") != 200:
            if self._process.poll() is not None or time.monotonic() - began > READY_WITHIN_S:
                raise MeasuredNodeError(f"no node came up: {self._last_line()}")
            gevent.sleep(LOOK_S)
        return time.monotonic() - began

    def move_discovery(self, discovery: str) -> None:
        """Have the running node follow another address of the platform."""
        self._file["discovery"] = discovery
        self._config.write_text(json.dumps(self._file))
        self._running().send_signal(signal.SIGHUP)

    def ask(
        self, method: str, target: str, headers: Mapping[str, str] | None = None, body: bytes = b""
    ) -> int:
        """The status of one request; 0 if there was no answer."""
        try:
            with socket.create_connection(self.address, timeout=ANSWER_WITHIN_S) as sock:
                sock.sendall(
                    http.request(method, target, "node", {**(headers or {}), "Connection": "close"}, body)
                )
                reader = http.ReplyReader()
                while data := sock.recv(65536):
                    if (reply := reader.feed(data)) is not None:
                        return reply.status
        except OSError:
            pass
        return 0

    def settle(self) -> None:
        """Wait until the node is at rest; raises `MeasuredNodeError` if it never is."""
        until = time.monotonic() + QUIET_WITHIN_S
        used = self.processor_s()
        while time.monotonic() < until:
            gevent.sleep(QUIET_S)
            before, used = used, self.processor_s()
            if used - before < QUIET_PROCESSOR_S:
                return
        raise MeasuredNodeError("the node does not come to rest")

    def processor_s(self) -> float:
        """Seconds of processor time that the process has used."""
        nanoseconds = self._proc("schedstat").split()[0]
        return int(nanoseconds) / 1e9

    def memory_bytes(self, which: str) -> int:
        """`RESIDENT` memory now, or the most that there ever was (`PEAK_RESIDENT`)."""
        line = next(line for line in self._proc("status").splitlines() if line.startswith(which))
        return int(line.split()[1]) * 1024

    def count(self, text: str) -> int:
        """How often a text stands in the node's log."""
        return self._log.read_text().count(text)

    def _proc(self, name: str) -> str:
        return Path(f"/proc/{self._running().pid}/{name}").read_text()

    def _running(self) -> "green.Popen[bytes]":
        if self._process is None or self._process.poll() is not None:
            raise MeasuredNodeError(f"the node has ended: {self._last_line()}")
        return self._process

    def _last_line(self) -> str:
        lines = self._log.read_text().splitlines()
        return lines[-1] if lines else "nothing in its log"
