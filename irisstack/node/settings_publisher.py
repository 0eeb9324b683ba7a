"""Publishing a settings document: read, checked as a node checks it, and written in one transaction.

For the command line. A node itself never writes.
"""

import json
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from irisstack.dynamic_settings import etcd
from irisstack.dynamic_settings.budget import ByteBudget
from irisstack.dynamic_settings.events import FailureKind
from irisstack.dynamic_settings.items import DocumentTooLargeError, StreamItems
from irisstack.dynamic_settings.pages import SnapshotPages
from irisstack.node.config import Config, HostPort, format_host_port
from irisstack.node.live_settings import LiveSettings
from irisstack.node.member_call import CallError, MemberCall
from irisstack.node.service import RESERVED_DESCRIPTORS
from irisstack.settings import SettingsError

MAX_CHANGES = 127
"""Of one publication: a transaction of etcd's holds 128 conditions, and one guards the whole range."""
UNLIMITED_BYTES_PER_S = 1e12

AnswerType = TypeVar("AnswerType")


class PublishError(Exception):
    """The document was not published, or may not have been; the text says which."""


@dataclass(slots=True, frozen=True)
class PublishedDocument:
    """What lies below the prefix at one revision."""

    revision: int
    values: Mapping[bytes, bytes]
    """As they lie there, by their whole keys."""
    changed_at: Mapping[bytes, int]
    """The revision of each key's last change."""
    items: StreamItems


class SettingsPublisher:
    """Reads and writes the document of one cluster."""

    def __init__(self, members: Sequence[HostPort], prefix: str) -> None:
        self._members = members
        self._prefix = prefix.encode()

    def read(self) -> PublishedDocument:
        """What is published now; raises `PublishError`."""
        pages = SnapshotPages(self._prefix)
        values: dict[bytes, bytes] = {}
        changed_at: dict[bytes, int] = {}
        complete = False
        while not complete:
            answer = self._ask_any(pages)
            try:
                complete = pages.add_page(answer)
            except (etcd.GatewayError, DocumentTooLargeError) as error:
                raise PublishError(str(error)) from None
            values.update({item.key: item.value for item in answer.items})
            changed_at.update({item.key: item.mod_revision for item in answer.items})
        return PublishedDocument(pages.revision, values, changed_at, pages.items)

    def publish(self, before: PublishedDocument, items: Mapping[str, Any]) -> int | None:
        """Make the document hold these items and no others; returns the revision, `None` if it does already.

        Raises `PublishError`, also if the document has changed since it was read.
        """
        request = self._request(before, items)
        if not request.puts and not request.deletes:
            return None
        if len(request.puts) + len(request.deletes) > MAX_CHANGES:
            raise PublishError(f"{MAX_CHANGES} changes at most go into one revision")
        answer = self._write(request)
        if not answer.succeeded:
            raise PublishError(f"changed by another since revision {before.revision}; nothing is written")
        return answer.header.revision

    def _request(self, before: PublishedDocument, items: Mapping[str, Any]) -> etcd.TxnRequest:
        wanted = {self._prefix + path.encode(): _text(value) for path, value in items.items()}
        puts = {key: value for key, value in wanted.items() if not _same(before.values.get(key), value)}
        deletes = [key for key in before.values if key not in wanted]
        changed = [key for key in before.values if key in puts or key in deletes]
        return etcd.TxnRequest(
            self._prefix,
            etcd.prefix_range_end(self._prefix),
            before.revision,
            {key: before.changed_at[key] for key in changed},
            puts,
            deletes,
        )

    def _ask_any(self, pages: SnapshotPages) -> etcd.RangeResponse:
        """A page from the first member that gives it."""
        failures: list[str] = []
        for member in self._members:
            try:
                return _call(member, lambda call: call.ask_range(pages.next_request()))
            except CallError as error:
                failures.append(f"{format_host_port(member)}: {error}")
        raise PublishError("no member answers: " + "; ".join(failures))

    def _write(self, request: etcd.TxnRequest) -> etcd.TxnResponse:
        """Write by the first member that is reached; after any other failure it may have been written."""
        for member in self._members:
            try:
                return _call(member, lambda call: call.ask_txn(request))
            except CallError as error:
                if error.kind is not FailureKind.UNREACHABLE:
                    raise PublishError(
                        f"it may have been written: {format_host_port(member)}: {error}"
                    ) from None
        raise PublishError("no member is reached; nothing is written")


def check_document(config: Config, items: Mapping[str, Any], before: PublishedDocument | None = None) -> None:
    """Check a document as a node of this configuration does; raises `SettingsError`.

    With what is published now it is also checked whether one may follow the other.
    """
    source = config.dynamic_settings
    if source is None:
        raise SettingsError("dynamic_settings: is due in the node's file")
    most_calls = config.sockets - config.sockets // 3 - RESERVED_DESCRIPTORS
    live = LiveSettings(source.base, config.peers, most_calls)
    if before is not None and not before.items.problem():
        live.in_force = live.check(before.items.values())
    proposed = StreamItems(source.prefix.encode())
    try:
        for path, value in items.items():
            key = source.prefix.encode() + path.encode()
            proposed.put(etcd.KeyValue(key, _text(value), 0))
    except DocumentTooLargeError as error:
        raise SettingsError(str(error)) from None
    if problem := proposed.problem():
        raise SettingsError(problem)
    live.check(proposed.values())


def _call(member: HostPort, ask: Callable[[MemberCall], AnswerType]) -> AnswerType:
    """One call without a limit of bytes a second."""
    call = MemberCall(member, ByteBudget(UNLIMITED_BYTES_PER_S, time.monotonic()))
    try:
        return ask(call)
    finally:
        call.close()


def _same(held: bytes | None, wanted: bytes) -> bool:
    """Whether both are the same JSON value, however they are written."""
    if held is None:
        return False
    try:
        return _text(json.loads(held)) == wanted
    except ValueError:
        return False


def _text(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()
