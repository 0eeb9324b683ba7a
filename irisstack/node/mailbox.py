"""What all mailboxes have in common."""

from typing import Any

from gevent.queue import Queue


def enlarge(mailbox: "Queue[Any]", capacity: int) -> None:
    """Let a mailbox hold so many items. It never shrinks: what was under way before may still come."""
    # gevent's stubs leave out that it can be set.
    mailbox.maxsize = max(mailbox.maxsize or 0, capacity)  # type: ignore[misc]
