"""Publishes a settings document: reads it, checks it as a node does and writes it in one transaction.

Used by the command line; a node never writes.
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
"""Changes per publication: an etcd transaction holds 128 conditions, one of which guards the whole range."""
UNLIMITED_BYTES_PER_S = 1e12

ResponseType = TypeVar("ResponseType")


class PublishError(Exception):
    """The document was not published, or may not have been; the message says which."""


@dataclass(slots=True, frozen=True)
class PublishedDocument:
    """The keys below the prefix at one revision."""

    revision: int
    values: Mapping[bytes, bytes]
    """The encoded values by full key."""
    mod_revisions: Mapping[bytes, int]
    """The revision of the last change, by full key."""
    items: StreamItems


class SettingsPublisher:
    """Reads and writes the document of one cluster."""

    def __init__(self, members: Sequence[HostPort], prefix: str) -> None:
        self._members = members
        self._prefix = prefix.encode()

    def read(self) -> PublishedDocument:
        """The published document; raises `PublishError`."""
        pages = SnapshotPages(self._prefix)
        values: dict[bytes, bytes] = {}
        mod_revisions: dict[bytes, int] = {}
        complete = False
        while not complete:
            response = self._request_from_any(pages)
            try:
                complete = pages.add_page(response)
            except (etcd.GatewayError, DocumentTooLargeError) as error:
                raise PublishError(str(error)) from None
            values.update({item.key: item.value for item in response.items})
            mod_revisions.update({item.key: item.mod_revision for item in response.items})
        return PublishedDocument(pages.revision, values, mod_revisions, pages.items)

    def publish(self, published: PublishedDocument, items: Mapping[str, Any]) -> int | None:
        """Replace the document with these items; returns the revision, `None` if there was nothing to change.

        Raises `PublishError`, also if the document has changed since it was read.
        """
        request = self._request(published, items)
        if not request.puts and not request.deletes:
            return None
        if len(request.puts) + len(request.deletes) > MAX_CHANGES:
            raise PublishError(f"one revision can hold at most {MAX_CHANGES} changes")
        response = self._write(request)
        if not response.succeeded:
            raise PublishError(
                f"the document has changed since revision {published.revision}; nothing was written"
            )
        return response.header.revision

    def _request(self, published: PublishedDocument, items: Mapping[str, Any]) -> etcd.TxnRequest:
        desired = {self._prefix + path.encode(): _encode(value) for path, value in items.items()}
        puts = {
            key: value
            for key, value in desired.items()
            if not _is_same_value(published.values.get(key), value)
        }
        deletes = [key for key in published.values if key not in desired]
        changed = [key for key in published.values if key in puts or key in deletes]
        return etcd.TxnRequest(
            self._prefix,
            etcd.prefix_range_end(self._prefix),
            published.revision,
            {key: published.mod_revisions[key] for key in changed},
            puts,
            deletes,
        )

    def _request_from_any(self, pages: SnapshotPages) -> etcd.RangeResponse:
        """Request a page from each member in turn until one answers."""
        failures: list[str] = []
        for member in self._members:
            try:
                return _make_call(member, lambda call: call.request_range(pages.next_request()))
            except CallError as error:
                failures.append(f"{format_host_port(member)}: {error}")
        raise PublishError("no member answered: " + "; ".join(failures))

    def _write(self, request: etcd.TxnRequest) -> etcd.TxnResponse:
        """Write through the first reachable member; after any other failure the outcome is unknown."""
        for member in self._members:
            try:
                return _make_call(member, lambda call: call.request_txn(request))
            except CallError as error:
                if error.kind is not FailureKind.UNREACHABLE:
                    raise PublishError(
                        f"the document may have been written: {format_host_port(member)}: {error}"
                    ) from None
        raise PublishError("no member could be reached; nothing was written")


def check_document(
    config: Config, items: Mapping[str, Any], published: PublishedDocument | None = None
) -> None:
    """Check a document as a node with this configuration does; raises `SettingsError`.

    With `published`, also checks whether the new document may replace it.
    """
    source = config.dynamic_settings
    if source is None:
        raise SettingsError("dynamic_settings: missing in the node's configuration file")
    max_calls = config.sockets - config.sockets // 3 - RESERVED_DESCRIPTORS
    live = LiveSettings(source.base, config.peers, max_calls)
    if published is not None and not published.items.problem():
        live.in_force = live.check(published.items.values())
    proposed = StreamItems(source.prefix.encode())
    try:
        for path, value in items.items():
            key = source.prefix.encode() + path.encode()
            proposed.put(etcd.KeyValue(key, _encode(value), 0))
    except DocumentTooLargeError as error:
        raise SettingsError(str(error)) from None
    if problem := proposed.problem():
        raise SettingsError(problem)
    live.check(proposed.values())


def _make_call(member: HostPort, make_request: Callable[[MemberCall], ResponseType]) -> ResponseType:
    """Make one call without a rate limit."""
    call = MemberCall(member, ByteBudget(UNLIMITED_BYTES_PER_S, time.monotonic()))
    try:
        return make_request(call)
    finally:
        call.close()


def _is_same_value(current: bytes | None, desired: bytes) -> bool:
    """Whether both are the same JSON value, regardless of formatting."""
    if current is None:
        return False
    try:
        return _encode(json.loads(current)) == desired
    except ValueError:
        return False


def _encode(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()
