"""The memory that client connections may hold together, and how much of it one read may take."""

from __future__ import annotations

MAX_READ_BYTES = 64 * 1024
MIN_READ_BYTES = 4 * 1024
# A connection is read while fewer bytes of commands wait on it: its client's close may lie behind bytes that
# the system has no room for. Requests of a client that sends more are refused until it has caught up.
MAX_WAITING_BYTES = 4 << 20


class MemoryBudget:
    """Counts the bytes that connections hold: commands to be handled, and replies to be read by the client.

    One connection may hold a lot as long as half of the limit is free, and about a read after that."""

    def __init__(self, limit_bytes: int, max_connections: int) -> None:
        self.limit_bytes, self.held_bytes = limit_bytes, 0
        # A connection with one read of waiting commands may be read once more, so that two reads of each
        # connection have to fit into half of the limit.
        share_bytes = limit_bytes // max(1, 4 * max_connections)
        self.read_bytes = max(MIN_READ_BYTES, min(MAX_READ_BYTES, share_bytes))

    def max_waiting_bytes(self) -> int:
        """How many bytes of commands may wait on a connection that is still to be read."""
        return MAX_WAITING_BYTES if 2 * self.held_bytes < self.limit_bytes else self.read_bytes

    def is_exceeded(self) -> bool:
        """Whether connections hold more than they may."""
        return self.held_bytes > self.limit_bytes
