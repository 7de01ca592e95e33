"""When the bytes of a stream arrived: a command's time counts from its last byte, also if it had to wait."""

from __future__ import annotations

from collections import deque

RESOLUTION_S = 0.005  # keeps the number of records small while a client writes slowly


class ArrivalTimes:
    """The arrival of each chunk that may hold the end of a command not handled yet."""

    __slots__ = ("chunks", "received_bytes")

    def __init__(self) -> None:
        self.received_bytes = 0
        self.chunks: deque[tuple[int, float]] = deque()  # bytes received with the chunk, and when

    def add(self, size_bytes: int, now_s: float) -> None:
        """Record the arrival of a chunk; one that follows at once counts as arrived with the one before."""
        self.received_bytes += size_bytes
        if self.chunks and now_s - self.chunks[-1][1] < RESOLUTION_S:
            now_s = self.chunks.pop()[1]
        self.chunks.append((self.received_bytes, now_s))

    def last_byte_s(self, unparsed_bytes: int) -> float:
        """When the last byte before the ``unparsed_bytes`` arrived; chunks before it are forgotten."""
        end = self.received_bytes - unparsed_bytes
        while self.chunks[0][0] < end:
            self.chunks.popleft()
        return self.chunks[0][1]

    def forget(self) -> None:
        """Forget all chunks: the next command ends in one that is still to come."""
        self.chunks.clear()
