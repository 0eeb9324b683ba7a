"""How large a settings document may be, so that a node which reads all of it still has it in time."""

MAX_DOCUMENT_BYTES = 128 * 1024
"""Most bytes of a document, each item counted as `item_size` does.

In base64 these are 174,763 bytes, 16.6 s at the 10,524 bytes a second that a budget of 11,000 earns.
"""
ITEM_OVERHEAD_BYTES = 112
"""What the gateway writes beside the path and the value of each item, as it counts before base64."""


def item_size(path_bytes: int, value_bytes: int) -> int:
    """What an item takes of a document's size."""
    return path_bytes + value_bytes + ITEM_OVERHEAD_BYTES
