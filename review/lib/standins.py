"""Stand-ins for the cases of the review: platform, endpoints and clients, and the start of real nodes.

They follow `PROTOCOL.md` and run in one process with the case that uses them; the nodes are processes of
their own, started with the line `run` of the deploy file. Standard library only.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOLD, BROKEN, CANNOT_RUN = 0, 1, 2

LAST_BYTES = 64
"""Bytes of a request that follow the others where it is written in two parts."""

Headers = dict[str, str]
START = time.monotonic()


def now() -> float:
    """Seconds since the case began."""
    return time.monotonic() - START


class Record:
    """The file `record.txt` of a case: a JSON object a line, in the order of the events."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.events: list[dict[str, Any]] = []

    def add(self, event: str, **fields: Any) -> float:
        at = now()
        entry = {"at": round(at, 4), "event": event, **fields}
        self.events.append(entry)
        self._file.write(json.dumps(entry) + "\n")
        self._file.flush()
        return at

    def close(self) -> None:
        self._file.close()


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers, float] | None:
    """First line, headers and the time of the first byte; None at the end of the connection."""
    first = await reader.read(1)
    if not first:
        return None
    began = now()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers: Headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers, began


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    reason = {
        200: "OK",
        202: "Accepted",
        204: "No Content",
        400: "Bad Request",
        413: "Content Too Large",
        429: "Too Many Requests",
        503: "Service Unavailable",
    }.get(status, "Answer")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Listener:
    """A listening socket whose connections one coroutine serves each."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.host, self.port = host, port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def host_port(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, self.host, self.port, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.writers.add(writer)
        try:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close_listener(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def reset_connections(self) -> None:
        """Reset all connections, as the end of a process does."""
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self) -> None:
        self.close_listener()
        for task in list(self._tasks):
            task.cancel()


class Platform(Listener):
    """Discovery and the receiver of notices.

    `crowded` is the time for which a call for the list waits before it ends with 503; None while calls are
    answered. Notices are taken at once in either case.
    """

    def __init__(self, record: Record, members: list[dict[str, Any]]) -> None:
        super().__init__()
        self.record = record
        self.members = {member["id"]: member for member in members}
        self.revision = 41
        self.crowded: float | None = None
        self.answer_after = 0.0  # seconds that discovery takes for its answer to a call
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self.on_notice: Callable[[dict[str, Any]], None] = lambda notice: None
        self._watchers: list[asyncio.Queue[bytes | None]] = []

    def list_line(self) -> bytes:
        known = [m for m in self.members.values() if m["phase"] != "DELETED"]
        return json.dumps({"revision": self.revision, "complete": True, "members": known}).encode()

    def change(self, **member: Any) -> float:
        """Change a member of the list and tell the open watches; returns when."""
        self.revision += 1
        self.members[member["id"]] = {**self.members.get(member["id"], {}), **member}
        line = {"revision": self.revision, "complete": False, "members": [self.members[member["id"]]]}
        for queue in self._watchers:
            queue.put_nowait(json.dumps(line).encode())
        return self.record.add("list_changed", revision=self.revision, member=self.members[member["id"]])

    def end_watches(self) -> None:
        for queue in self._watchers:
            queue.put_nowait(None)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (head := await read_head(reader)) is not None:
            line, headers, _ = head
            method, path, _ = line.split(" ")
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            if method == "POST":
                self._take_notices(body)
                writer.write(answer(204))
            elif self.crowded is not None and await self._waits_too_long(path):
                self.record.add("list_call_failed", status=503)
                writer.write(answer(503))
            elif "watch=1" in path:
                self.record.add("list_call", path=path)
                await asyncio.sleep(self.answer_after)
                await self._watch(writer)
                return
            else:
                self.record.add("list_call", path=path)
                writer.write(answer(200, self.list_line()))
            await writer.drain()

    async def _waits_too_long(self, path: str) -> bool:
        """Let a call wait; returns false if discovery serves again before the wait is over."""
        self.record.add("list_call_waits", path=path)
        end = now() + (self.crowded or 0.0)
        while self.crowded is not None and now() < end:
            await asyncio.sleep(0.01)
        return self.crowded is not None

    def _take_notices(self, body: bytes) -> None:
        for text in body.splitlines():
            notice = json.loads(text)
            self.notices.append((self.record.add("notice", **notice), notice))
            self.on_notice(notice)

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._watchers.append(queue)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line: bytes | None = self.list_line()
            while line is not None:
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
                await writer.drain()
                try:
                    line = await asyncio.wait_for(queue.get(), 2.0)
                except TimeoutError:
                    line = b""
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self._watchers.remove(queue)


class Endpoint(Listener):
    """An endpoint that takes each message after `latency` seconds and names it in the body of its answer."""

    def __init__(self, record: Record, name: str, host: str = "127.0.0.1") -> None:
        super().__init__(host)
        self.record = record
        self.name = name
        self.latency = 0.08
        self.calls: list[dict[str, Any]] = []
        self._idle: set[asyncio.StreamWriter] = set()

    def member(self, cell: int, flavor: str, size: float = 40.0) -> dict[str, Any]:
        """Its line of the list."""
        return {
            "id": self.name,
            "host_port": self.host_port,
            "locality": "kingston-dc1",
            "flavor": flavor,
            "cell": cell,
            "phase": "SERVING",
            "size": size,
            "up_since_ms": 0,
        }

    def hand_over(self, name: str) -> None:
        """Another endpoint takes the address: connections end, busy ones behind their answer."""
        self.record.add("address_handed_over", host_port=self.host_port, old=self.name, new=name)
        self.name = name
        for writer in self._idle:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = self.name
        while name == self.name:
            self._idle.add(writer)
            try:
                head = await read_head(reader)
            finally:
                self._idle.discard(writer)
            if head is None:
                return
            line, headers, began = head
            body = await reader.readexactly(int(headers["content-length"]))
            path = line.split(" ")[1]
            if path.endswith(":batch"):
                keys = batch_keys(body)
            else:
                keys = {headers["x-request-id"]: headers.get("idempotency-key", "")}
            call = {"endpoint": self.name, "first_byte": began, "ids": list(keys), "bytes": len(body)}
            call["keys"] = keys
            self.calls.append(call)
            self.record.add("call", **{**call, "first_byte": round(began, 4)})
            data = await self.respond(call, path.endswith(":batch"))
            if data is None:
                return
            writer.write(data)
            await writer.drain()

    async def respond(self, call: dict[str, Any], batch: bool) -> bytes | None:
        """The answer to a call; None closes the connection without one."""
        await asyncio.sleep(self.latency)
        self.record.add("answered", endpoint=self.name, ids=call["ids"], status=200)
        if batch:
            return answer(200, "".join(f"{id_} accepted\r\n" for id_ in call["ids"]).encode())
        return answer(200, call["ids"][0].encode())


def batch_keys(body: bytes) -> dict[str, str]:
    """The keys of the messages in the body of a batch call, by id."""
    keys, position = {}, 0
    while position < len(body):
        end = body.index(b"\r\n", position)
        id_, key, length = body[position:end].decode().split(" ")
        keys[id_] = "" if key == "-" else key
        position = end + 2 + int(length) + 2
    return keys


class Client:
    """A client with a connection of its own to each node; it sends one request at a time on a connection."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.taken: dict[str, dict[str, Any]] = {}  # messages answered with 200 or 202, by id
        self.answers: dict[str, int | None] = {}
        self.port_of: dict[str, int] = {}  # the port of the node that a message was given to, by id
        self._free: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self._count = 0

    async def submit(
        self,
        port: int,
        class_: str,
        dest: int,
        timeout: float,
        *,
        key: str = "",
        body: bytes = b"hello",
        tenant: str = "northcoast-alert",
        last_bytes_at: float = 0.0,
    ) -> str:
        """Hand in a new message; returns its id. `answers` has the status, None without one in 400 ms.

        With `last_bytes_at` the last bytes are written then, as on a way that is shared with others.
        """
        self._count += 1
        id_ = f"{self._count:06x}{os.urandom(5).hex()}"
        lines = [
            f"POST /{class_} HTTP/1.1",
            "Host: backend.local",
            f"X-Request-ID: {id_}",
            f"X-Priority-Class: {class_}",
            f"X-Timeout: {timeout:.3f}",
            f"X-Consignee: dest={dest}",
            f"Content-Length: {len(body)}",
        ]
        if tenant:
            lines.append(f"X-Tenant-Id: {tenant}")
        if key:
            lines.append(f"Idempotency-Key: {key}")
        sent_at = self.record.add("submit", id=id_, class_=class_, dest=dest, port=port, timeout=timeout)
        status: int | None = None
        self.port_of[id_] = port
        try:
            async with asyncio.timeout(0.4):
                free = self._free.setdefault(port, [])
                reader, writer = free.pop() if free else await asyncio.open_connection("127.0.0.1", port)
                data = "\r\n".join([*lines, "", ""]).encode() + body
                cut = len(data) - (LAST_BYTES if last_bytes_at else 0)
                writer.write(data[:cut])
                if last_bytes_at:
                    await asyncio.sleep(max(0.0, last_bytes_at - now()))
                    writer.write(data[cut:])
                head = await read_head(reader)
                if head is not None:
                    status = int(head[0].split(" ")[1])
                    await reader.readexactly(int(head[1].get("content-length", "0")))
                    if head[1].get("connection") == "close":
                        writer.close()
                    else:
                        free.append((reader, writer))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.answers[id_] = status
        at = self.record.add("client_answer", id=id_, status=status)
        if status in (200, 202):
            self.taken[id_] = {"class": class_, "dest": dest, "due": sent_at + timeout, "answered": at}
        return id_


def flood_relay_settings(balancers: int, **changes: Any) -> dict[str, Any]:
    """A settings object in the form and with the figures of the example of `WIRE`, for jm-flood-relay."""
    settings: dict[str, Any] = {
        "allowed": {
            "attemptsCap": 6,
            "cancel": True,
            "dialTimeout": 1.5,
            "keepalive": 10.0,
            "maxRetryAfter": 3.0,
            "mayDuplicate": False,
            "mayProbe": False,
            "mayTell": False,
            "mostHeld": 276,
            "multiplex": 1,
            "retryAfter": True,
        },
        "az": 0,
        "balancers": balancers,
        "clients": {"marksRetry": True},
        "discovery": "on_request",
        "extra": {
            "batchByKind": [10, 1],
            "fades": "even",
            "maxCalls": 12,
            "separateRoutes": [False, False],
            "turnedAwayPrice": 0.03,
        },
        "failureDomains": ["kingston-dc1"],
        "family": "deliver",
        "invariants": {
            "answerSlack": 0.02,
            "askWithin": 10.0,
            "cold": 10.0,
            "drainGrace": 0.25,
            "fall": 3.0,
            "startCapacity": 0.14,
            "tipMultiple": 2.5,
        },
        "lanes": [
            {
                "group": "all",
                "hardLimit": 16.0,
                "importance": 1.0,
                "lateValue": 0.5,
                "name": "warning-notice",
                "repeat": "idempotency_key",
                "slo": 3.0,
                "window": 15.0,
            },
            {
                "group": "all",
                "hardLimit": 20.0,
                "importance": 1.0,
                "lateValue": 0.5,
                "name": "crew-order",
                "repeat": "non_idempotent",
                "slo": 4.0,
                "window": 5.0,
            },
        ],
        "ordinal": 0,
        "overShareWorth": 0.2,
        "report": {"how": "inline", "names": ["x0", "x1"]},
        "resolution": 0.005,
        "shapes": ["major-host", "minor-host"],
        "tariffs": {"handshake": 0.06, "lateFail": 0.023, "waste": 0.08},
        "tenants": [{"allowancePerS": 92.0, "name": "northcoast-alert", "share": 1.0}],
        "tier": 0,
        "weights": "rough",
    }
    for key, value in changes.items():
        settings[key] = {**settings[key], **value} if isinstance(value, dict) else value
    return settings


class Node:
    """A real node, started with the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, discovery: str, ordinal: int = 0) -> None:
        self.record = record
        self.name = name
        self.port = free_port()
        self.config = folder / f"{name}.json"
        self.state = folder / f"{name}.state"
        self.tmp = folder / f"{name}.tmp"
        self.log = folder / f"{name}.log"
        self.state.mkdir()
        self.tmp.mkdir()
        self.discovery = discovery
        self.ordinal = ordinal
        self.process: subprocess.Popen[bytes] | None = None

    def configure(self, settings: dict[str, Any], known: dict[str, Any], **limits: Any) -> None:
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery,
            "state": str(self.state),
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3, **limits},
            "known": known,
            "settings": {**settings, "ordinal": self.ordinal},
        }
        fresh = self.config.with_suffix(".new")
        fresh.write_text(json.dumps(config))
        fresh.replace(self.config)

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": self.discovery,
            "RELAY_STATE": str(self.state),
            "RELAY_CONFIG": str(self.config),
            "TMPDIR": str(self.tmp),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("node_started", node=self.name)

    async def ready(self, within: float = 15.0) -> None:
        end = now() + within
        while now() < end:
            if self.process is None or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} ended at its start:\n{self.log.read_text()[-2000:]}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1.0)
                writer.close()
                if head is not None and " 200 " in head[0]:
                    self.record.add("node_ready", node=self.name)
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} was not ready in {within} s")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.record.add("signal", node=self.name, signal=number.name)
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


Case = Callable[[Record, Path, list[Node], list[Listener]], Awaitable[bool]]


def run_case(folder: Path, case: Case) -> int:
    """Run a case in a temporary folder; prints the result and returns the exit code.

    The case returns whether the rule held. It appends each node and stand-in that it starts to the lists,
    so that all end with it.
    """
    record = Record(folder)
    place = Path(tempfile.mkdtemp(prefix="review-"))
    nodes: list[Node] = []
    standins: list[Listener] = []

    async def play() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115.0):
                return await case(record, place, nodes, standins)
        finally:
            for node in nodes:
                node.kill()
            for standin in standins:
                standin.stop()
            await asyncio.sleep(0.05)

    try:
        held = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        record.add("could_not_run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        return CANNOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            for log in place.glob("*.log"):
                shutil.copy(log, os.environ["KEEP_LOGS"])
        shutil.rmtree(place, ignore_errors=True)
        record.close()
    print("the rule held" if held else "the rule was broken")
    return HOLD if held else BROKEN
