"""Turns a client's request into the message that it submits."""

import re
import time
from collections.abc import Collection

from irisstack import interface as api
from irisstack.node import http
from irisstack.node.decider import Client, Submission

MAX_HEADER_VALUE = 256
"""Maximum characters of an id or key in a header."""
SUBMISSION_HEADERS = (
    "idempotency-key",
    "x-consignee",
    "x-priority-class",
    "x-request-id",
    "x-retried",
    "x-tenant-id",
    "x-timeout",
)
"""The headers of a submission that are read."""
SECONDS_PATTERN = re.compile(r"[0-9]+(\.[0-9]*)?")
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")


class MalformedRequest(Exception):
    """A request that is valid HTTP but has a missing or invalid header."""


class SubmissionParser:
    """Checks requests against the classes and tenants in which new messages are accepted."""

    def __init__(self) -> None:
        self._classes: dict[str, int] = {}
        self._message_classes: tuple[api.MessageClass, ...] = ()
        self._tenants: dict[str, int] = {}

    def update_settings(
        self, settings: api.Settings, classes: Collection[str], tenants: Collection[str]
    ) -> None:
        """Accept new messages of these classes and tenants only; `settings` gives their positions."""
        self._classes = {
            message_class.name: i
            for i, message_class in enumerate(settings.classes)
            if message_class.name in classes
        }
        self._message_classes = settings.classes
        self._tenants = {
            tenant.name: i for i, tenant in enumerate(settings.tenants) if tenant.name in tenants
        }

    def offers(self, name: str) -> bool:
        """Whether new messages are accepted in the class of this name."""
        return name in self._classes

    def parse(self, request: http.Message, name: str, client: Client) -> Submission:
        """The message that a request submits to the class `name` of its path.

        Raises `MalformedRequest`.
        """
        if request.headers.get("x-priority-class", name) != name:
            raise MalformedRequest("X-Priority-Class: not the class that the path names")
        index = self._classes[name]
        key = _header_word(request, "Idempotency-Key")
        if self._message_classes[index].effect is api.Effect.KEYED and not key:
            raise MalformedRequest("Idempotency-Key: due in this class")
        id_ = _header_word(request, "X-Request-ID")
        if not id_:
            raise MalformedRequest("X-Request-ID: due")
        tenant = request.headers.get("x-tenant-id", "")
        if tenant and self._tenants and tenant not in self._tenants:
            raise MalformedRequest("X-Tenant-Id: unknown")
        retried = request.headers.get("x-retried", "")
        timeout = min(_timeout_seconds(request), self._message_classes[index].deadline)
        return Submission(
            client,
            id_,
            key,
            index,
            self._tenants.get(tenant, 0),
            _destination(request),
            time.monotonic() + timeout,
            retried == "1",
            retried == "again",
            bytes(request.body),
        )


def _header_word(request: http.Message, name: str) -> str:
    """The value of a header, empty if absent.

    It is forwarded unchanged, also as one word in a line of a batch call, so it must not contain spaces.
    """
    text = request.headers.get(name.lower(), "")
    if len(text) > MAX_HEADER_VALUE or not text.isascii() or any(c <= " " or c == "\x7f" for c in text):
        raise MalformedRequest(f"{name}: one word of at most {MAX_HEADER_VALUE} printable characters is due")
    return text


def _timeout_seconds(request: http.Message) -> float:
    text = request.headers.get("x-timeout", "")
    if not SECONDS_PATTERN.fullmatch(text):
        raise MalformedRequest("X-Timeout: seconds are due")
    return float(text)


def _destination(request: http.Message) -> int:
    for item in request.headers.get("x-consignee", "").split(","):
        name, _, value = item.strip().partition("=")
        if name == "dest" and NUMBER_PATTERN.fullmatch(value):
            return int(value)
    raise MalformedRequest("X-Consignee: dest=NUMBER is due")
