"""A virtual clock that runs callbacks in order of their due time and jumps from one to the next.

Callbacks due at the same time run in the order in which they were scheduled, so neither the iteration order
of a set nor a memory address affects a run."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MS_NS = 1_000_000
SECOND_NS = 1_000_000_000


class Clock:
    """An event queue and its time in nanoseconds, which starts at ``now_ns``."""

    def __init__(self, now_ns: int) -> None:
        self.now_ns, self.serial = now_ns, 0
        self.queue: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []

    def schedule(self, delay_ns: float, callback: Callable[..., object], *arguments: Any) -> None:
        """Call ``callback`` after ``delay_ns``; a negative delay counts as 0."""
        self.serial += 1
        at_ns = self.now_ns + max(0, round(delay_ns))
        heapq.heappush(self.queue, (at_ns, self.serial, callback, arguments))

    def run(self, until_ns: int) -> int:
        """Run all callbacks due up to ``until_ns`` and return their number."""
        count = 0
        while self.queue and self.queue[0][0] <= until_ns:
            self.now_ns, _, callback, arguments = heapq.heappop(self.queue)
            callback(*arguments)
            count += 1
        self.now_ns = max(self.now_ns, until_ns)
        return count
