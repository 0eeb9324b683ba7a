"""A toy platform with one destination, and that destination's endpoint, to try a node with.

    python examples/toy_server.py [--fail N]

The platform listens on 127.0.0.1:8500, the endpoint of destination 1 on 127.0.0.1:9001. With `--fail N` every
N-th call ends with an error. Both print the requests that they receive.
"""

import argparse
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count

PLATFORM = ("127.0.0.1", 8500)
ENDPOINT = ("127.0.0.1", 9001)
LIST_MEMBERS = [
    {
        "id": "toy-1",
        "host_port": "{}:{}".format(*ENDPOINT),
        "locality": "here",
        "flavor": "toy",
        "cell": 1,
        "phase": "SERVING",
        "size": 20.0,
        "up_since_ms": 0,
    }
]
ENDPOINT_LIST = json.dumps({"revision": 1, "complete": True, "members": LIST_MEMBERS}).encode()


class Handler(BaseHTTPRequestHandler):
    """Reads and answers requests, for both servers."""

    protocol_version = "HTTP/1.1"

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status: int, body: bytes = b"") -> None:
        self.send_response(status)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Print nothing: each server prints its own lines."""


class Platform(Handler):
    """Serves the endpoint list and receives notices."""

    def do_GET(self) -> None:
        if "watch=1" not in self.path:
            self.reply(200, ENDPOINT_LIST)
            return
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        line = ENDPOINT_LIST
        while True:  # the list, then an empty line as heartbeat every 2 s, until the node disconnects
            try:
                self.wfile.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            except OSError:
                self.close_connection = True
                return
            line = b""
            time.sleep(2.0)

    def do_POST(self) -> None:
        for line in self.read_body().splitlines():
            print("platform: notice", line.decode(), flush=True)
        self.reply(204)


class Endpoint(Handler):
    """Accepts each message, except that every N-th call fails with `--fail N`."""

    calls = count(1)
    fail_every = 0

    def do_POST(self) -> None:
        body, number = self.read_body(), next(self.calls)
        failed = self.fail_every > 0 and number % self.fail_every == 0
        print(
            f"endpoint: call {number}, message {self.headers['X-Request-ID']}, {body!r}:",
            "error" if failed else "taken",
            flush=True,
        )
        # The message's id as the body tells the response from others, so that nodes keep the connection.
        self.reply(*((500, b"") if failed else (200, self.headers["X-Request-ID"].encode())))


def main() -> None:
    parser = argparse.ArgumentParser(description="toy platform and endpoint to try a node with")
    parser.add_argument("--fail", type=int, default=0, metavar="N", help="fail every N-th call")
    Endpoint.fail_every = parser.parse_args().fail
    threading.Thread(target=ThreadingHTTPServer(PLATFORM, Platform).serve_forever, daemon=True).start()
    print("platform on {}:{}, endpoint of destination 1 on {}:{}".format(*PLATFORM, *ENDPOINT), flush=True)
    ThreadingHTTPServer(ENDPOINT, Endpoint).serve_forever()


if __name__ == "__main__":
    main()
