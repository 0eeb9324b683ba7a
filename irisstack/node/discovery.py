"""The actor of the endpoint list: asks discovery when told to, and hands on what it says."""

import json
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

import gevent
import structlog
from gevent import socket
from gevent.queue import Queue

from irisstack import interface as api
from irisstack.node import http, sockets
from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort, host_port, name_of, peer_of
from irisstack.node.counters import Counters
from irisstack.node.objects import ObjectStream
from irisstack.node.record_clock import RecordClock, resume

STATES = {
    "SERVING": api.EndpointState.READY,
    "DRAINING": api.EndpointState.DRAINING,
    "DELETED": api.EndpointState.GONE,
}
PAUSE = 0.5
"""Seconds until a watch that ended is held anew, where the list comes unasked."""
SILENCE = 3.5
"""Seconds without a word, due every 2 s, after which a watch counts as broken; calls wait as long.

What is missed from the last word on has to be here 6 s later: this, the pause and the next answer included.
"""

MOST_NAMED = 8
"""Endpoints that one line of the log names at most."""

UNNAMED_ZONES = 1 << 16
"""The number of the first zone that the settings do not name; theirs stay below, also as zones are added."""

log = structlog.get_logger()


class ListReader:
    """The list's JSON as `EndpointsUpdated`; a line that cannot be read is logged and passed over."""

    def __init__(
        self, settings: api.Settings, most_waiting: int = 0, clock: RecordClock | None = None
    ) -> None:
        """`clock` is what the list's Unix times are read by; by default the wall clock as it is now."""
        self._clock = clock or resume(None)
        self._kinds = {kind.name: i for i, kind in enumerate(settings.kinds)}
        self._most_waiting = most_waiting
        self._waiting: dict[str, Mapping[str, Any]] = {}  # lines of kinds not known yet, by id
        self._revision = 0
        self._zones = {name: i for i, name in enumerate(settings.zones)}
        self._addresses: dict[str, api.Address] = {}
        self._owners: dict[api.Address, str] = {}  # the id that stands for each address

    def update(self, raw: Mapping[str, Any], scope: api.UpdateScope | None = None) -> api.EndpointsUpdated:
        """One object of discovery's; raises `ValueError` or `KeyError` if it is none."""
        revision, members = int(raw["revision"]), raw["members"]
        if scope is None:
            scope = api.UpdateScope.FULL if raw["complete"] else api.UpdateScope.DELTA
        if scope is not api.UpdateScope.DELTA:
            self._waiting.clear()
        self._revision = revision
        endpoints = self._read(members)
        if scope is not api.UpdateScope.DELTA:  # what the whole list leaves out is forgotten
            here = {endpoint.address for endpoint in endpoints}
            self._addresses = {id_: address for id_, address in self._addresses.items() if address in here}
            self._owners = {address: id_ for address, id_ in self._owners.items() if address in here}
        return api.EndpointsUpdated(scope, revision, tuple(endpoints))

    def follow(self, settings: api.Settings) -> api.EndpointsUpdated | None:
        """Go by other settings; returns what can be read now of the lines that waited for their kind."""
        self._kinds = {kind.name: i for i, kind in enumerate(settings.kinds)}
        for i, name in enumerate(settings.zones):
            self._zones.setdefault(name, i)
        ready = [line for line in self._waiting.values() if line["flavor"] in self._kinds]
        if not ready:
            return None
        return api.EndpointsUpdated(api.UpdateScope.DELTA, self._revision, tuple(self._read(ready)))

    def _read(self, members: Iterable[Mapping[str, Any]]) -> list[api.Endpoint]:
        endpoints: list[api.Endpoint] = []
        for member in members:
            try:
                if not self._waits(member):
                    endpoints.extend(self._endpoints(member))
            except Exception as error:  # a single bad line must not cost the rest of the list
                log.warning("list_line_unread", line=str(member)[:200], error=repr(error))
        return endpoints

    def _waits(self, member: Mapping[str, Any]) -> bool:
        """Whether a line is kept until its kind is known; the newest of each id counts."""
        if not self._most_waiting:
            return False
        id_ = str(member["id"])
        self._waiting.pop(id_, None)
        if member["flavor"] in self._kinds or STATES[member["phase"]] is api.EndpointState.GONE:
            return False
        if len(self._waiting) >= self._most_waiting:
            return False
        self._waiting[id_] = member
        log.info("list_line_waits_for_its_kind", id=id_, kind=member["flavor"])
        return True

    def _zone(self, name: object) -> int:
        """A zone's number. One that the settings do not name gets its own: it must not pass for another."""
        return self._zones.setdefault(str(name), UNNAMED_ZONES + len(self._zones))

    def _endpoints(self, member: Mapping[str, Any]) -> list[api.Endpoint]:
        """What a line says, place by place: an address under another id is another endpoint.

        The one there before is gone then, and what the list may still say of it means that place no more.
        """
        id_ = str(member["id"])
        state = STATES[member["phase"]]
        before = self._addresses.get(id_)
        if state is api.EndpointState.GONE and "host_port" not in member and before is not None:
            address = before
        else:
            host, port = host_port(member["host_port"], "host_port")
            address = (socket.inet_aton(host), port)
        since = float(member.get("up_since_ms", 0)) / 1000.0
        endpoint = api.Endpoint(
            address,
            state,
            self._kinds[member["flavor"]],
            int(member["cell"]),
            self._zone(member.get("locality", "")),
            float(member.get("size", 1.0)),
            self._clock.to_monotonic(since) if since else None,
        )
        owner = self._owners.get(address)
        lines: list[api.Endpoint] = []
        if before is not None and before != address and self._owners.get(before) == id_:
            del self._owners[before]
            lines.append(replace(endpoint, address=before, state=api.EndpointState.GONE))
        if state is api.EndpointState.GONE:
            self._addresses.pop(id_, None)
        else:
            self._addresses[id_] = address
        if owner is not None and owner != id_:
            if state is not api.EndpointState.READY:
                return lines
            lines.append(replace(endpoint, state=api.EndpointState.GONE))
        if state is api.EndpointState.GONE:
            self._owners.pop(address, None)
        else:
            self._owners[address] = id_
        return [*lines, endpoint]


@dataclass(slots=True, frozen=True)
class Moved:
    """Discovery is at another address from now on."""

    peer: HostPort


class Discovery:
    """Holds at most one watch and one fetch.

    Where the list comes unasked (`pushed`) the module never subscribes, and the watch is held all along.
    """

    def __init__(
        self,
        peer: HostPort,
        reader: ListReader,
        post: Callable[[api.EndpointsUpdated], None],
        revision: int,
        pushed: bool,
        counters: Counters | None = None,
    ) -> None:
        self._counters = counters or Counters()
        self._confirmed_at = time.monotonic()  # when the list that is held was last known to be the newest
        self._peer = peer
        self._reader = reader
        self._post = post
        self._revision = revision
        self._pushed = pushed
        self._watch: gevent.Greenlet[..., None] | None = None
        self._fetch: gevent.Greenlet[..., None] | None = None
        self._wanted = False  # the module's last word on the watch
        self.mailbox: Queue[api.Action | Moved] = Queue(64)

    def run(self) -> None:
        if self._pushed:
            self.mailbox.put(api.Subscribe(True))
        while True:
            match self.mailbox.get():
                case api.Subscribe(on):
                    self._wanted = on
                    # One that is held already, since discovery has moved meanwhile, is as good as another.
                    if not on or self._watch is None or self._watch.dead:
                        self._hold_watch()
                case api.FetchEndpoints():
                    if self._fetch is None or self._fetch.dead:
                        self._fetch = gevent.spawn(self._ask, "", False)
                case Moved(peer):
                    self._move(peer)

    def _hold_watch(self) -> None:
        """End the watch that is held, and hold a new one if one is wanted."""
        if self._watch is not None:
            self._watch.kill()
            self._watch = None
        if self._wanted:
            self._watch = gevent.spawn(self._ask, f"?watch=1&from={self._revision}", True)

    def _move(self, peer: HostPort) -> None:
        """Ask at another address at once; the list that is held stays until the new one comes.

        Revisions may be counted otherwise there, so the whole list is asked for.
        """
        self._peer, self._revision = peer, 0
        self._hold_watch()
        if self._fetch is not None and not self._fetch.dead:
            self._fetch.kill()
            self._fetch = gevent.spawn(self._ask, "", False)

    def _ask(self, query: str, watch: bool) -> None:
        """One call to discovery, to its end; a failure or the end of a watch is told."""
        connection, word = None, _Word(time.monotonic())
        began_at = word.heard_at
        self._counters.add("list_calls")
        call = self._counters.snapshot()["list_calls"]
        log.info(
            "list_call_begun",
            call=call,
            watch=watch,
            revision=self._revision,
            unconfirmed_s=self._unconfirmed_s(),
        )
        try:
            connection = sockets.connect(self._peer, SILENCE)
            connection.sendall(http.request("GET", f"/v1/servers{query}", name_of(self._peer)))
            if watch:
                self._follow(connection, word, call, began_at)
            else:
                answer = self._whole(connection, word)
                if answer.status == 200:
                    self._tell(bytes(answer.body))
                    self._confirmed(word)
                    return
                log.info("list_not_had", status=answer.status)
        except Exception as error:  # whatever it is, the module must hear of it, or it never asks again
            log.info("list_not_had", error=repr(error))
        finally:
            if connection is not None:
                connection.close()
        unheard = time.monotonic() - word.heard_at if connection is not None else 0.0
        self._counters.add("list_calls_failed")
        log.info(
            "list_call_ended",
            call=call,
            unheard_s=round(unheard, 3),
            unconfirmed_s=self._unconfirmed_s(),
        )
        self._post(api.EndpointsUpdated(api.UpdateScope.FAILED, self._revision, (), unheard))
        if watch and self._pushed:
            gevent.sleep(PAUSE)
            self.mailbox.put(api.Subscribe(True))

    def _whole(self, connection: socket.socket, word: "_Word") -> http.Message:
        buffer, reader = Buffer(), http.AnswerReader(http.MAX_LIST)
        while (answer := reader.advance(buffer)) is None:
            if not word.receive(connection, buffer):
                answer = reader.ended()
                if answer is None:
                    raise ConnectionResetError("the answer ended early")
                break
        return answer

    def _unconfirmed_s(self) -> float:
        """Seconds since the list that is held was last known to be the newest."""
        return round(time.monotonic() - self._confirmed_at, 3)

    def _confirmed(self, word: "_Word") -> None:
        """Discovery was heard in full: what it has not told by now is not known to it."""
        word.heard_at = time.monotonic()
        self._counters.raise_to("list_unconfirmed_longest_ms", round(self._unconfirmed_s() * 1000.0))
        self._confirmed_at = word.heard_at

    def _follow(self, connection: socket.socket, word: "_Word", call: int, began_at: float) -> None:
        """Hand on each object of a watch until it ends."""
        answered = False
        buffer, reader = Buffer(), http.AnswerReader(http.MAX_LIST)
        objects = ObjectStream(http.MAX_LIST)
        while word.receive(connection, buffer):
            ended = reader.advance(buffer)
            status = (ended or reader.message).status
            if status == 200:
                body = bytes(ended.body) if ended is not None else reader.take_body()
                for whole in objects.feed(body):
                    self._tell(whole)
                    self._confirmed(word)
                if objects.between and b"\n" in body:
                    self._confirmed(word)
                if not answered and word.heard_at > began_at:
                    answered = True
                    after_s = round(word.heard_at - began_at, 3)
                    log.info("list_call_answered", call=call, after_s=after_s, revision=self._revision)
            if ended is not None or (reader.head_done and status != 200):
                log.info("watch_ended", status=status)
                return

    def _tell(self, whole: bytes) -> None:
        """Hand on what one object says. Only then is it known: a watch ended meanwhile is told it again."""
        update = self._reader.update(json.loads(whole))
        not_offered = [e.address for e in update.endpoints if e.state is not api.EndpointState.READY]
        log.info(
            "list_updated",
            scope=update.scope.name,
            revision=update.version,
            lines=len(update.endpoints),
            not_offered=[name_of(peer_of(address)) for address in not_offered[:MOST_NAMED]],
        )
        self._post(update)
        self._revision = update.version


@dataclass(slots=True)
class _Word:
    """When discovery was last heard in full: a call's begin, a whole object, an empty line.

    Bytes that make none of these are no word, however many come.
    """

    heard_at: float

    def receive(self, connection: socket.socket, buffer: Buffer) -> int:
        """Read once; raises `TimeoutError` when no word has come for too long and nothing is unread."""
        gevent.sleep(0)  # a flood must not keep the others from their turn
        return sockets.receive_before(connection, buffer, self.heard_at + SILENCE)
