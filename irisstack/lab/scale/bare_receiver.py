"""A process that reads datagrams with gevent and drops them: what any such receiver costs on a machine."""

import subprocess
import sys

from gevent import socket

from irisstack.lab.ports import HOST
from irisstack.lab.scale.node_process import end_with_parent, processor_s

MOST_BYTES = 257


class BareReceiver:
    """The process as a context manager; it reads from the first datagram on."""

    def __init__(self) -> None:
        self.address = (HOST, 0)  # its port is known once it has started
        self._process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> "BareReceiver":
        self._process = subprocess.Popen(
            [sys.executable, "-m", "irisstack.lab.scale.bare_receiver"],
            stdout=subprocess.PIPE,
            preexec_fn=end_with_parent,
        )
        assert self._process.stdout is not None
        self.address = (HOST, int(self._process.stdout.readline()))
        return self

    def __exit__(self, *_: object) -> None:
        if self._process is not None:
            self._process.kill()
            self._process.communicate()

    def processor_s(self) -> float:
        """Seconds of processor time that the process has used."""
        assert self._process is not None, "a receiver that was started"
        return processor_s(self._process.pid)


def receive() -> None:
    """Print the port, then read and drop datagrams until the process is ended."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((HOST, 0))
        print(sock.getsockname()[1], flush=True)
        while True:
            sock.recvfrom(MOST_BYTES)


if __name__ == "__main__":
    receive()
