"""Stand-ins, a node's process and a record, for the cases 6 to 10. Standard library only.

The stand-ins follow the operators' protocol page: `Platform` is discovery and takes notices, `Endpoint` takes
calls, `submit` is a client. Every address is a loopback address with a port that the system chose.
"""

import json
import os
import select
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN = 101
"""Exit code of a script for a broken rule; its `run.sh` turns it into 1, and other failures into 2."""
START = time.monotonic()


def now() -> float:
    """Seconds since the script began."""
    return time.monotonic() - START


_nodes: "list[Node]" = []  # all that were made, to be ended with the script


class Record:
    """What was sent, answered and run, a JSON object a line."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self.lines: list[dict[str, Any]] = []

    def add(self, what: str, at: float | None = None, **fields: Any) -> None:
        line = {"at": round(now() if at is None else at, 4), "what": what, **fields}
        with self._lock:
            self.lines.append(line)
            self._file.write(json.dumps(line) + "\n")
            self._file.flush()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Server:
    """A listening socket with a thread for each connection."""

    def __init__(self, port: int = 0) -> None:
        self.port = port or free_port()
        self._listener: socket.socket | None = None
        self._connections: set[socket.socket] = set()
        self.open()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def open(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self.port))
        listener.listen(256)
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def close(self) -> None:
        """Stop as a process that ends: connections are reset, new ones are refused."""
        listener, self._listener = self._listener, None
        if listener is not None:
            with suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        for connection in list(self._connections):
            reset(connection)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.add(connection)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection: socket.socket) -> None:
        try:
            self.serve(connection)
        except (OSError, ValueError):
            pass
        finally:
            self._connections.discard(connection)
            connection.close()

    def serve(self, connection: socket.socket) -> None:
        raise NotImplementedError


def reset(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        connection.shutdown(socket.SHUT_RD)
        connection.close()


@dataclass
class Request:
    """A request as read from a connection."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    first_byte_at: float
    last_byte_at: float


class Reader:
    """Reads requests from a connection."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._data = b""

    def read(self) -> Request | None:
        """The next request; `None` at the end of the connection."""
        first = now()
        if not self._data:
            if not self._fill():
                return None
            first = now()
        while b"\r\n\r\n" not in self._data:
            if not self._fill():
                return None
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        first_line, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        while len(self._data) < size:
            if not self._fill():
                return None
        body, self._data = self._data[:size], self._data[size:]
        method, path, _ = first_line.split(" ", 2)
        return Request(method, path, headers, body, first, now())

    def _fill(self) -> bool:
        data = self._connection.recv(65536)
        self._data += data
        return bool(data)


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Platform(Server):
    """Discovery, and the place that notices go to."""

    def __init__(self, record: Record, name: str = "platform", port: int = 0) -> None:
        self.record = record
        self.name = name
        self.answer_delay = 0.0  # seconds from a call's last byte to the first byte of its answer
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.notices: dict[str, tuple[float, str]] = {}
        self._changed = threading.Condition()
        self.silent = False  # watches that are open say nothing
        super().__init__(port)

    def update(self, *members: dict[str, Any]) -> None:
        """Change entries of the list; watches tell it at once."""
        with self._changed:
            self.revision += 1
            for member in members:
                if member["phase"] == "DELETED":
                    self.members.pop(member["id"], None)
                else:
                    self.members[member["id"]] = member
                self.changed_at[member["id"]] = self.revision
                self._gone = {**getattr(self, "_gone", {}), member["id"]: member}
            self._changed.notify_all()
        for member in members:
            self.record.add("list", by=self.name, id=member["id"], phase=member["phase"], rev=self.revision)

    def document(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def serve(self, connection: socket.socket) -> None:
        reader = Reader(connection)
        while (request := reader.read()) is not None:
            if request.method == "POST":
                self._take_notices(request)
                connection.sendall(answer(204))
                continue
            self.record.add("list call", by=self.name, path=request.path)
            if self.answer_delay:
                time.sleep(self.answer_delay)
            if "watch=1" not in request.path:
                connection.sendall(answer(200, json.dumps(self.document()).encode()))
                continue
            self._watch(connection, int(request.path.partition("from=")[2].partition("&")[0] or 0))
            return

    def _take_notices(self, request: Request) -> None:
        for line in request.body.splitlines():
            notice = json.loads(line)
            self.notices.setdefault(notice["ref"], (now(), notice["result"]))
            self.record.add("notice", by=self.name, ref=notice["ref"], result=notice["result"])

    def _watch(self, connection: socket.socket, since: int) -> None:
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        opened_silent = False
        first = True
        while True:
            with self._changed:
                if not first and self.revision <= since:
                    self._changed.wait(2.0)
                opened_silent = opened_silent or (self.silent and not first)
                if first:
                    data = self.document()
                elif self.revision > since:
                    changed = [id_ for id_, revision in self.changed_at.items() if revision > since]
                    members = [self.members.get(id_, self._gone[id_]) for id_ in changed]
                    data = {"revision": self.revision, "complete": False, "members": members}
                else:
                    data = None
                since, first = self.revision, False
            if opened_silent:
                if not connection.recv(1):
                    return
                continue
            line = (json.dumps(data) if data is not None else "").encode() + b"\n"
            connection.sendall(b"%x\r\n%s\r\n" % (len(line), line))
            if data is not None:
                self.record.add("told", by=self.name, rev=data["revision"], complete=data["complete"])


@dataclass
class Call:
    """One message of one call, as an endpoint saw it."""

    endpoint: str
    id: str
    key: str
    first_byte_at: float
    last_byte_at: float
    batch: int = 1
    outcome: str = ""  # what was answered, "" while nothing was
    answered_at: float | None = None
    ended_at: float | None = (
        None  # when its connection was seen to be closed by the node, or its answer written
    )
    wait: float = 0.0


@dataclass
class Plan:
    """What an endpoint does with a call."""

    delay: float = 0.1
    status: int = 200  # 0: no answer, -1: reset
    wait: float | None = None
    raw: bytes | None = None  # these bytes as the answer, which is then left unfinished
    words: list[str] = field(default_factory=list)  # ends of a batch call's messages, in turn


class Endpoint(Server):
    """Takes calls and does with each what `plan` says."""

    def __init__(self, record: Record, name: str, plan: Callable[[Request], Plan] | None = None) -> None:
        self.record = record
        self.name = name
        self.plan = plan or (lambda _: Plan())
        self.calls: list[Call] = []
        self._answers = 0
        self._lock = threading.Lock()
        super().__init__()

    def member(self, cell: int, kind: str, phase: str = "SERVING", zone: str = "here") -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": zone,
            "flavor": kind,
            "cell": cell,
            "phase": phase,
            "size": 20.0,
            "up_since_ms": 0,
        }

    def serve(self, connection: socket.socket) -> None:
        reader = Reader(connection)
        while (request := reader.read()) is not None:
            calls = self._calls_of(request)
            with self._lock:
                self.calls += calls
            for call in calls:
                self.record.add(
                    "call",
                    at=call.last_byte_at,
                    endpoint=self.name,
                    id=call.id,
                    first=round(call.first_byte_at, 4),
                )
            plan = self.plan(request)
            if not self._wait(connection, plan.delay if plan.status or plan.raw else 3600.0):
                self._end(calls, "given up by the node")
                return
            if plan.status == -1:
                self._end(calls, "reset")
                reset(connection)
                return
            if plan.raw is not None:
                connection.sendall(plan.raw)
                self._end(calls, "unfinished answer")
                self._wait(connection, 3600.0)
                return
            self._answer(connection, calls, plan)

    def _answer(self, connection: socket.socket, calls: list[Call], plan: Plan) -> None:
        headers = {} if plan.wait is None else {"Retry_After": f"{plan.wait:.3f}"}
        with self._lock:
            self._answers += 1
            body = f"{self.name}-{self._answers:08x}".encode()
        outcomes = [str(plan.status)] * len(calls)
        if plan.status == 200 and calls[0].batch > 1:
            words = plan.words or ["accepted"]
            outcomes = [words[i % len(words)] for i in range(len(calls))]
            body = "".join(f"{c.id} {word}\r\n" for c, word in zip(calls, outcomes, strict=True)).encode()
        at = now()
        connection.sendall(answer(plan.status, body, **headers))
        for call, outcome in zip(calls, outcomes, strict=True):
            call.outcome, call.answered_at, call.ended_at, call.wait = outcome, at, at, plan.wait or 0.0
            self.record.add("answer", at=at, endpoint=self.name, id=call.id, outcome=outcome, wait=plan.wait)

    def _end(self, calls: list[Call], how: str) -> None:
        for call in calls:
            call.outcome, call.ended_at = how, now()
            self.record.add("call ended", endpoint=self.name, id=call.id, how=how)

    @staticmethod
    def _wait(connection: socket.socket, seconds: float) -> bool:
        """Wait; returns whether the connection is still open."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            readable, _, _ = select.select([connection], [], [], left)
            if readable and not connection.recv(1, socket.MSG_PEEK):
                return False
            if readable:
                time.sleep(min(left, 0.01))
        return True

    def _calls_of(self, request: Request) -> list[Call]:
        at = (request.first_byte_at, request.last_byte_at)
        if request.path == "/v1/messages":
            key = request.headers.get("idempotency-key", "")
            return [Call(self.name, request.headers["x-request-id"], key, *at)]
        calls, body = [], request.body
        while body:
            line, _, body = body.partition(b"\r\n")
            id_, key, size = line.decode().split(" ")
            calls.append(Call(self.name, id_, key, *at))
            body = body[int(size) + 2 :]
        for call in calls:
            call.batch = len(calls)
        return calls


@dataclass
class Submission:
    """A message handed in, and what its client heard."""

    id: str
    message_class: str
    destination: int
    sent_at: float
    due: float
    status: int  # 0 without an answer
    answered_at: float


class Client:
    """Hands in messages, each on a connection of its own unless `keep`."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.submissions: list[Submission] = []
        self._lock = threading.Lock()
        self._number = 0

    def submit(
        self, message_class: str, destination: int, timeout: float, body: bytes = b"hello", wait: float = 0.4
    ) -> Submission:
        with self._lock:
            self._number += 1
            id_ = f"{os.getpid():08x}{self._number:08x}"
        head = (
            f"POST /{message_class} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id_}\r\n"
            f"X-Priority-Class: {message_class}\r\nX-Tenant-Id: acme\r\nX-Timeout: {timeout:.3f}\r\n"
            f"Idempotency-Key: k{id_}\r\nX-Consignee: dest={destination}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        sent_at, status = now(), 0
        try:
            with socket.create_connection((HOST, self.port), timeout=wait) as connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.sendall(head.encode() + body)
                data = b""
                while b"\r\n\r\n" not in data:
                    connection.settimeout(max(0.001, wait - (now() - sent_at)))
                    more = connection.recv(4096)
                    if not more:
                        break
                    data += more
                if data.startswith(b"HTTP/1.1 ") and b"\r\n\r\n" in data:
                    status = int(data[9:12])
        except OSError:
            pass
        submission = Submission(id_, message_class, destination, sent_at, sent_at + timeout, status, now())
        with self._lock:
            self.submissions.append(submission)
        self.record.add(
            "submit",
            at=sent_at,
            id=id_,
            to=destination,
            cls=message_class,
            status=status,
            due=round(sent_at + timeout, 3),
        )
        return submission


def settings(**changes: Any) -> dict[str, Any]:
    """The settings object of a small deployment; `changes` replace whole keys."""
    base: dict[str, Any] = {
        "allowed": {
            "attemptsCap": 6,
            "cancel": True,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400000,
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
        "balancers": 2,
        "clients": {"marksRetry": True},
        "discovery": "on_request",
        "extra": {"batchByKind": [10, 1], "fades": "even", "maxCalls": 12, "separateRoutes": [False, False]},
        "failureDomains": ["here"],
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
                "streamed": False,
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
                "streamed": False,
                "window": 5.0,
            },
        ],
        "layers": ["partner-systems"],
        "ordinal": 0,
        "report": {"how": "inline", "names": ["x0", "x1"]},
        "resolution": 0.005,
        "shapes": ["major-host", "minor-host"],
        "tenants": [{"allowancePerS": 50.0, "name": "acme", "share": 1.0}],
        "tier": 0,
        "weights": "rough",
    }
    return {**base, **changes}


class Node:
    """The project's delivery node as a process, started by the command of the deploy file."""

    def __init__(self, record: Record, folder: Path, discovery: str, known: Any, node_settings: Any) -> None:
        self.record = record
        self.port = free_port()
        self.folder = folder
        (folder / "state").mkdir()
        self.discovery = discovery  # what the environment names at the next start
        self.config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery,
            "state": str(folder / "state"),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": known,
            "settings": node_settings,
        }
        self.process: subprocess.Popen[bytes] | None = None
        _nodes.append(self)
        self.write_config()

    def write_config(self) -> None:
        """Replace the configuration file as a whole."""
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(self.config))
        path.with_suffix(".new").replace(path)

    def start(self) -> None:
        """Start the process; does not wait until it is ready."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        scratch = tempfile.mkdtemp(dir=self.folder)
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": f"{HOST}:{self.port}",
            "RELAY_DISCOVERY": self.discovery,
            "RELAY_STATE": str(self.folder / "state"),
            "TMPDIR": scratch,
        }
        with (self.folder / "node.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("node started", pid=self.process.pid, discovery=self.discovery)

    def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until `GET /healthz` is answered 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRun(f"the node ended with {self.process.returncode}")
            try:
                with socket.create_connection((HOST, self.port), timeout=1.0) as connection:
                    connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    if connection.recv(64).startswith(b"HTTP/1.1 200"):
                        self.record.add("node ready")
                        return
            except OSError:
                pass
            time.sleep(0.01)
        raise CannotRun("the node was not ready in time")

    def send(self, number: int) -> None:
        assert self.process is not None
        self.record.add("signal", number=signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self, number: int = signal.SIGKILL, seconds: float = 3.7) -> None:
        """Send a signal, then SIGKILL after `seconds` if need be, and wait for the end."""
        if self.process is None or self.process.poll() is not None:
            return
        self.send(number)
        try:
            self.process.wait(seconds if number != signal.SIGKILL else None)
        except subprocess.TimeoutExpired:
            self.send(signal.SIGKILL)
            self.process.wait()
        self.record.add("node ended", code=self.process.returncode)

    @property
    def crashed(self) -> bool:
        return self.process is not None and self.process.poll() is not None


class CannotRun(Exception):
    """The case could not be run."""


def main(script: str, case: Callable[[Record, Path], tuple[bool, str]]) -> None:
    """Run a case; `case` returns whether the rule held, and a sentence. Ends with 0, 1 or 2."""
    record = Record(Path(script).resolve().parent)
    folder = Path(tempfile.mkdtemp(prefix="irisstack-review-"))
    try:
        held, why = case(record, folder)
    except CannotRun as error:
        record.add("cannot run", why=str(error))
        print(f"cannot run: {error}", flush=True)
        code = 2
    except Exception as error:
        record.add("cannot run", why=repr(error))
        print(f"cannot run: {error!r}", flush=True)
        code = 2
    else:
        record.add("verdict", held=held, why=why, trouble=TROUBLE)
        print(("held: " if held else "BROKEN: ") + why, flush=True)
        code = 0 if held else BROKEN
    finally:
        for node in _nodes:
            node.end()
        shutil.rmtree(folder, ignore_errors=True)
    os._exit(code)
