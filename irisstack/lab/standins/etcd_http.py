"""HTTP responses of the gateway as bytes, for members on sockets and for members in virtual time."""

from irisstack.lab.sockets import http
from irisstack.lab.standins import etcd, etcd_json
from irisstack.lab.standins.etcd_cluster import Member

JSON_HEADERS = {"Content-Type": "application/json"}
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM_END = b"0\r\n\r\n"
METHOD_NOT_ALLOWED = 405


def handle_request(member: Member, method: str, path: str, body: bytes) -> bytes:
    """The complete HTTP response to any request other than a watch."""
    if method != "POST":
        return http.reply(METHOD_NOT_ALLOWED)
    status, response_body = member.handle_request(path, body)
    return http.reply(status, JSON_HEADERS, response_body)


def error_response(error: etcd.EtcdError) -> bytes:
    """The complete HTTP response to a request that is rejected before a stream begins."""
    status, body = etcd_json.encode_error(error)
    return http.reply(status, JSON_HEADERS, body)


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked HTTP body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
