"""What the operating system knows about a connection beyond what its protocol has been told."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

CLOSED_EVENTS = select.POLLERR | select.POLLHUP | select.POLLNVAL  # reported whatever is asked for


class SocketInspector(Protocol):
    """Looks at the sockets of transports; a simulated network has its own."""

    def has_unread_data(self, transport: asyncio.Transport) -> bool:
        """Whether there is data to read, or the peer has closed the connection."""

    def is_closed_by_peer(self, transport: asyncio.Transport) -> bool:
        """Whether the peer has closed the connection or its sending side, also behind unread data."""


class SystemSocketInspector:
    """The inspector of real sockets."""

    def __init__(self) -> None:
        self.poller = select.poll()  # one socket is registered at a time

    def has_unread_data(self, transport: asyncio.Transport) -> bool:
        return self.has_event(transport, select.POLLIN)

    def is_closed_by_peer(self, transport: asyncio.Transport) -> bool:
        return self.has_event(transport, select.POLLRDHUP)

    def has_event(self, transport: asyncio.Transport, event: int) -> bool:
        """Whether an event of a kind, an error or a hang-up is pending on the transport's socket."""
        descriptor = transport.get_extra_info("socket").fileno()
        if descriptor < 0:
            return True  # closed in the meantime
        self.poller.register(descriptor, event)
        found = self.poller.poll(0)
        self.poller.unregister(descriptor)
        return any(events & (event | CLOSED_EVENTS) for _, events in found)
