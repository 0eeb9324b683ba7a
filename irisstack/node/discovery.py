"""The actor of the endpoint list: asks discovery when told to, and hands on what it says."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import structlog
from gevent import socket
from gevent.queue import Queue

from irisstack import interface as api
from irisstack.node import http, sockets
from irisstack.node.buffer import Buffer
from irisstack.node.config import HostPort, name_of, peer_of
from irisstack.node.counters import Counters
from irisstack.node.list_reader import ListReader
from irisstack.node.objects import ObjectStream

PAUSE = 0.5
"""Seconds until a watch that ended is held anew, where the list comes unasked."""
SILENCE = 3.5
"""Seconds without a word, due every 2 s, after which a watch counts as broken; calls wait as long.

What is missed from the last word on has to be here 6 s later: this, the pause and the next answer included.
"""

MOST_NAMED = 8
"""Endpoints that one line of the log names at most."""

log = structlog.get_logger()


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
