"""A helper for the mailboxes of all actors."""

from typing import Any

from gevent.queue import Queue


def enlarge(mailbox: "Queue[Any]", capacity: int) -> None:
    """Let a mailbox hold at least `capacity` items.

    It never shrinks, since items counted in an earlier capacity may still arrive.
    """
    # gevent's type stubs declare no setter.
    mailbox.maxsize = max(mailbox.maxsize or 0, capacity)  # type: ignore[misc]
