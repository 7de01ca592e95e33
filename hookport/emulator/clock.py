"""Virtual time: what is due next happens next, and time is what it was due at.

Two things due at one instant happen in the order in which they were asked for: no order of a set or an
address leaks into a run."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MS = 1_000_000
SECOND = 1_000_000_000


class Clock:
    """Nanoseconds, from ``now_ns`` on."""

    def __init__(self, now_ns: int) -> None:
        self.now_ns, self.serial = now_ns, 0
        self.due: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []

    def after(self, delay_ns: float, call: Callable[..., object], *arguments: Any) -> None:
        """Call after a delay in nanoseconds, at once if it is below 0."""
        self.serial += 1
        at_ns = self.now_ns + max(0, round(delay_ns))
        heapq.heappush(self.due, (at_ns, self.serial, call, arguments))

    def run(self, until_ns: int) -> int:
        """All that is due by then; returns how many things happened."""
        happened = 0
        while self.due and self.due[0][0] <= until_ns:
            self.now_ns, _, call, arguments = heapq.heappop(self.due)
            call(*arguments)
            happened += 1
        self.now_ns = max(self.now_ns, until_ns)
        return happened
