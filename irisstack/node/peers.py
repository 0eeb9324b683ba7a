"""Short notes between nodes: datagrams to the places that the configuration names, and from them alone."""

from collections.abc import Callable, Sequence

import gevent
import structlog
from gevent import socket

from irisstack import interface as api
from irisstack.node.config import HostPort, name_of
from irisstack.node.counters import Counters

MOST = 256
"""Bytes in a note."""
AT_ONCE = 200
"""Notes read before others get their turn; what the socket's buffer cannot hold meanwhile is lost."""
PAUSE = 0.01
"""Seconds after an error until the next note is read."""

log = structlog.get_logger()


class Peers:
    """One datagram socket at the node's own address. Notes may be lost, late or doubled; none is answered."""

    def __init__(
        self,
        listen: HostPort,
        peers: Sequence[HostPort],
        post: Callable[[api.PeerMessage], bool],
        counters: Counters,
    ) -> None:
        self._peers = tuple(peers)
        self._numbers = {peer: number for number, peer in enumerate(peers)}
        self._post = post
        self._counters = counters
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._listen = listen

    def start(self) -> None:
        """Bind; raises `OSError` where the address cannot be had."""
        self._socket.bind(self._listen)

    def run(self) -> None:
        read = 0
        while True:
            try:
                data, sender = self._socket.recvfrom(MOST + 1)
            except OSError as error:  # what a peer that is down sends back; the socket itself goes on
                if self._socket.fileno() < 0:
                    return
                log.debug("note_unread", error=error.strerror)
                gevent.sleep(PAUSE)
                continue
            number = self._numbers.get((sender[0], sender[1]))
            if number is None or not 0 < len(data) <= MOST:
                self._counters.add("notes_strange")
            else:
                taken = self._post(api.PeerMessage(number, data))
                self._counters.add("notes_heard" if taken else "notes_dropped")
            read += 1
            if read % AT_ONCE == 0:
                gevent.sleep(0)

    def tell(self, peer: int | None, data: bytes) -> None:
        """Send to one peer or to all; one that cannot be reached costs a count."""
        for to in self._peers if peer is None else self._peers[peer : peer + 1]:
            try:
                self._socket.sendto(data, to)
                self._counters.add("notes_told")
            except OSError as error:
                self._counters.add("notes_untold")
                log.debug("note_untold", peer=name_of(to), error=error.strerror)

    def close(self) -> None:
        self._socket.close()
