"""Gossip between nodes: datagrams to and from the peers in the configuration."""

from collections.abc import Callable, Sequence

import gevent
import structlog
from gevent import socket

from irisstack import interface as api
from irisstack.node.config import HostPort, format_host_port
from irisstack.node.counters import Counters

MAX_DATAGRAM = 256
"""Maximum bytes of a datagram; longer ones are dropped."""
READS_PER_TURN = 200
"""Datagrams read before other greenlets run; those that overflow the socket's buffer meanwhile are lost."""
ERROR_PAUSE = 0.01
"""Seconds from a read error to the next read."""

log = structlog.get_logger()


class GossipSocket:
    """A UDP socket at the node's address. Datagrams may be lost, late or duplicated; none is acknowledged."""

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
        """Pass on datagrams from known peers until the socket is closed."""
        read_count = 0
        while True:
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM + 1)
            except OSError as error:  # for example because a peer is down; the socket stays usable
                if self._socket.fileno() < 0:
                    return
                log.debug("gossip_not_received", error=error.strerror)
                gevent.sleep(ERROR_PAUSE)
                continue
            number = self._numbers.get((sender[0], sender[1]))
            if number is None or not 0 < len(data) <= MAX_DATAGRAM:
                self._counters.add("notes_strange")
            else:
                accepted = self._post(api.PeerMessage(number, data))
                self._counters.add("notes_heard" if accepted else "notes_dropped")
            read_count += 1
            if read_count % READS_PER_TURN == 0:
                gevent.sleep(0)

    def send(self, peer: int | None, data: bytes) -> None:
        """Send to one peer, or to all if `None`; a failed send is counted and not retried."""
        for address in self._peers if peer is None else self._peers[peer : peer + 1]:
            try:
                self._socket.sendto(data, address)
                self._counters.add("notes_told")
            except OSError as error:
                self._counters.add("notes_untold")
                log.debug("gossip_not_sent", peer=format_host_port(address), error=error.strerror)

    def close(self) -> None:
        self._socket.close()
