"""The gateway's answers as HTTP bytes, for members on sockets and members in virtual time alike."""

from irisstack.lab.sockets import http
from irisstack.lab.standins import etcd, etcd_json
from irisstack.lab.standins.etcd_cluster import Member

JSON_HEADERS = {"Content-Type": "application/json"}
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM_END = b"0\r\n\r\n"
METHOD_NOT_ALLOWED = 405


def handle_request(member: Member, method: str, path: str, body: bytes) -> bytes:
    """The whole answer to a request that is no watch."""
    if method != "POST":
        return http.reply(METHOD_NOT_ALLOWED)
    status, response_body = member.handle_request(path, body)
    return http.reply(status, JSON_HEADERS, response_body)


def error_response(error: etcd.EtcdError) -> bytes:
    """The whole answer to a request that is refused before a stream begins."""
    status, body = etcd_json.encode_error(error)
    return http.reply(status, JSON_HEADERS, body)


def encode_chunk(data: bytes) -> bytes:
    """One piece of a stream's body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
