"""Finds out that a client has closed its connection while the connection is not read.

Reading reports the end of a connection behind all data that was sent before it.  While commands wait and
reading is paused, that may be seconds later, and requests would be sent on for a client that has gone.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from hookport.socket_inspector import SocketInspector

CHECK_INTERVAL_S = 0.05


class MonitoredConnection(Protocol):
    """A connection that is not read."""

    transport: asyncio.Transport

    def abandon(self) -> None:
        """Drop the connection and what waits on it, as its client has gone."""


class HangupMonitor:
    """Checks the connections that are not read at a fixed interval, as long as there are any."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sockets: SocketInspector) -> None:
        self.loop, self.sockets = loop, sockets
        self.connections: dict[MonitoredConnection, None] = {}
        self.timer: asyncio.TimerHandle | None = None

    def add(self, connection: MonitoredConnection) -> None:
        """Check a connection from now on."""
        self.connections[connection] = None
        if self.timer is None:
            self.timer = self.loop.call_later(CHECK_INTERVAL_S, self.check)

    def remove(self, connection: MonitoredConnection) -> None:
        """Check a connection no more, as it is read again or has ended."""
        self.connections.pop(connection, None)

    def check(self) -> None:
        """Abandon the connections whose clients have gone."""
        for connection in list(self.connections):
            if self.sockets.is_closed_by_peer(connection.transport):
                self.remove(connection)
                connection.abandon()
        self.timer = self.loop.call_later(CHECK_INTERVAL_S, self.check) if self.connections else None

    def close(self) -> None:
        """Stop checking."""
        self.connections.clear()
        if self.timer:
            self.timer.cancel()
            self.timer = None
