"""Client connections that wait for the same event, each for a limited time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hookport.client_connection import Connection


class WaitQueue:
    """Connections that wait for the same event, in the order of arrival, and how long they may wait."""

    __slots__ = ("entered_s", "timeout_s", "reason")

    def __init__(self, timeout_s: float, reason: str) -> None:
        self.timeout_s, self.reason = timeout_s, reason
        self.entered_s: dict[Connection, float] = {}

    def enter(self, connection: Connection, now_s: float) -> None:
        """Put a connection at the end of the queue, also if it is in the queue already."""
        self.entered_s.pop(connection, None)
        self.entered_s[connection] = now_s

    def oldest(self, entered_by_s: float) -> Connection | None:
        """The connection that has waited longest, if it entered the queue by that time."""
        first = next(iter(self.entered_s), None)
        return first if first and self.entered_s[first] <= entered_by_s else None
