"""Gossip between nodes: datagrams to and from the peers that the configuration names."""

from collections.abc import Callable, Sequence

import gevent
import structlog
from gevent import socket

from irisstack import interface as api
from irisstack.node.config import HostPort, format_host_port
from irisstack.node.counters import Counters

MAX_DATAGRAM = 256
"""Bytes of a datagram at most; a longer one is dropped."""
READS_PER_TURN = 200
"""Datagrams read before other greenlets run; what the socket's buffer cannot hold meanwhile is lost."""
ERROR_PAUSE = 0.01
"""Seconds from a read error to the next read."""

log = structlog.get_logger()


class GossipSocket:
    """One UDP socket at the node's own address. Datagrams may be lost, late or doubled; none is answered."""

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
        """Bind the socket; raises `OSError` if the address cannot be bound."""
        self._socket.bind(self._listen)

    def run(self) -> None:
        """Hand on each datagram of a known peer until the socket is closed."""
        read = 0
        while True:
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM + 1)
            except OSError as error:  # as from a peer that is down; the socket stays usable
                if self._socket.fileno() < 0:
                    return
                log.debug("note_unread", error=error.strerror)
                gevent.sleep(ERROR_PAUSE)
                continue
            number = self._numbers.get((sender[0], sender[1]))
            if number is None or not 0 < len(data) <= MAX_DATAGRAM:
                self._counters.add("notes_strange")
            else:
                taken = self._post(api.PeerMessage(number, data))
                self._counters.add("notes_heard" if taken else "notes_dropped")
            read += 1
            if read % READS_PER_TURN == 0:
                gevent.sleep(0)

    def send(self, peer: int | None, data: bytes) -> None:
        """Send to one peer, or to all for `None`; a failed send is counted and not repeated."""
        for to in self._peers if peer is None else self._peers[peer : peer + 1]:
            try:
                self._socket.sendto(data, to)
                self._counters.add("notes_told")
            except OSError as error:
                self._counters.add("notes_untold")
                log.debug("note_untold", peer=format_host_port(to), error=error.strerror)

    def close(self) -> None:
        self._socket.close()
