"""A snapshot of the keys below the prefix, assembled from pages read at one revision."""

from irisstack.dynamic_settings.etcd import (
    ErrorKind,
    GatewayError,
    KeyValue,
    RangeRequest,
    RangeResponse,
    key_after,
    prefix_range_end,
)
from irisstack.dynamic_settings.items import StreamItems

MAX_PAGE_KEYS = 64
"""Most keys in one page."""


class SnapshotPages:
    """The pages received so far; the first page determines the revision of the others."""

    def __init__(self, prefix: bytes) -> None:
        self._prefix = prefix
        self._next_key = prefix
        self.items = StreamItems(prefix)
        self.revision = 0
        """The revision of every page; 0 before the first one."""
        self.cluster_id = 0
        self.requested_at = 0.0
        """When the first page was requested; the snapshot was current at that time."""

    def next_request(self) -> RangeRequest:
        """The request for the next page."""
        return RangeRequest(
            self._next_key, prefix_range_end(self._prefix), revision=self.revision, limit=MAX_PAGE_KEYS
        )

    def add_page(self, response: RangeResponse) -> bool:
        """Add a page; returns whether it was the last one.

        Raises `GatewayError` for a page that is inconsistent with the request, and `DocumentTooLargeError`.
        """
        if not self.revision:
            self.revision = response.header.revision
            self.cluster_id = response.header.cluster_id
        if response.header.cluster_id != self.cluster_id:
            raise GatewayError(ErrorKind.MALFORMED, "page of another cluster than the first page's")
        last_key = b""
        for item in response.items:
            self._validate_item(item, last_key)
            last_key = item.key
            self.items.put(item)
        if response.more:
            if not last_key:
                raise GatewayError(ErrorKind.MALFORMED, "empty page that announces more pages")
            self._next_key = key_after(last_key)
            return False
        return True

    def _validate_item(self, item: KeyValue, last_key: bytes) -> None:
        if not item.key.startswith(self._prefix) or item.key < self._next_key or item.key <= last_key:
            raise GatewayError(ErrorKind.MALFORMED, "page with keys outside the requested range")
        if not 0 < item.mod_revision <= self.revision:
            raise GatewayError(ErrorKind.MALFORMED, "page with a change of a later revision than its own")
