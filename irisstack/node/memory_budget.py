"""Divides the memory that the settings allow among the parts of the node whose size others decide. Pure."""

from dataclasses import dataclass

CLIENT_BYTES = 24_000
"""Memory of one client's connection, without the request that it holds."""
CLIENTS_SHARE = 1 / 3
"""Shares of what is free once the node has started. The rest is for calls, responses and fragmentation."""
INPUT_SHARE = 1 / 6
MESSAGES_SHARE = 1 / 4
MIN_FREE_BYTES = 8_000_000
"""What is divided if less is free: a node that is over its limit at its start still serves some clients."""
UNKNOWN_RESIDENT_BYTES = 40_000_000
"""Resident memory that is assumed where the system does not tell it."""


@dataclass(slots=True, frozen=True)
class MemoryBudget:
    """Limits by memory; each part also has limits of its own."""

    max_clients: int
    """Connections of clients."""
    input_bytes: int
    """Requests that are not complete, or complete and not answered, of all clients together."""
    message_bytes: int
    """Accepted messages."""


def divide_memory(limit_bytes: int, resident_bytes: int) -> MemoryBudget:
    """The budget of a node with this limit, of which `resident_bytes` are in use (0 if that is not known)."""
    free_bytes = max(MIN_FREE_BYTES, limit_bytes - (resident_bytes or UNKNOWN_RESIDENT_BYTES))
    return MemoryBudget(
        max_clients=int(CLIENTS_SHARE * free_bytes / CLIENT_BYTES),
        input_bytes=int(INPUT_SHARE * free_bytes),
        message_bytes=int(MESSAGES_SHARE * free_bytes),
    )
