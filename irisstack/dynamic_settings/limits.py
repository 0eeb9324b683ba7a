"""Limits of a settings document's size, so that a node that reads all of it still does so in time."""

MAX_DOCUMENT_BYTES = 128 * 1024
"""Largest document, with each item counted by `item_size`.

In base64 it takes 174,763 bytes, which is 16.6 s at the 10,524 bytes a second that a budget of 11,000 earns.
"""
ITEM_OVERHEAD_BYTES = 112
"""What the gateway's JSON adds to the path and value of each item, converted to bytes before base64."""


def item_size(path_bytes: int, value_bytes: int) -> int:
    """The bytes that an item adds to a document's size."""
    return path_bytes + value_bytes + ITEM_OVERHEAD_BYTES
