"""The follower's decisions: what to ask of which member, what to take, what to refuse. No clock, no I/O."""

CONNECT_TIMEOUT_S = 1.5
"""Seconds until a connection that does not come about counts as failed."""
ANSWER_TIMEOUT_S = 2.0
"""Seconds that a member may keep the node waiting for one answer, the node's own pauses left out."""
