"""A TCP proxy that injects the faults of a network, a failing machine or a misbehaving peer."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Literal, cast

from hookport.rehearsal.runtime import Environment, listen
from hookport.rehearsal.standins.server import LINGER_RESET

Mode = Literal["pass", "delay", "silence", "reset", "trickle", "truncate", "garbage", "refuse"]
TRICKLE_S = 0.01  # between bytes
NOISE = b"$3\r\n\xff\x00!\r\n+noise\r\n"


def reset(transport: asyncio.Transport) -> None:
    """Close with a TCP reset instead of an orderly shutdown."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


class ProxyConnection(asyncio.Protocol):
    """One connection of a proxied pair; forwards its data to the other as the proxy's mode demands."""

    def __init__(self, proxy: Proxy, peer: ProxyConnection | None = None) -> None:
        self.proxy, self.peer = proxy, peer
        self.transport: asyncio.Transport | None = None
        self.buffered: list[bytes] = []  # received before the peer connected
        self.passed_bytes = 0  # forwarded from this connection to its peer
        self.is_target_side = peer is not None  # connected to the target; its data are replies
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.proxy.connections[self] = None
        if self.peer is None:
            if self.proxy.mode == "refuse":
                return reset(self.transport)
            self.proxy.loop.create_task(self.proxy.connect_target(self))
        else:
            self.peer.peer = self
            for data in self.peer.buffered:
                self.peer.forward(data)
            self.peer.buffered.clear()
            if self.peer.closed:
                self.transport.close()

    def data_received(self, data: bytes) -> None:
        if self.peer is None:
            self.buffered.append(data)
        elif self.proxy.mode != "silence":
            self.forward(data)

    def forward(self, data: bytes) -> None:
        """Forward data to the peer; faults apply to replies only, except delay and silence."""
        proxy = self.proxy
        peer = self.peer
        if peer is None or peer.transport is None or peer.transport.is_closing():
            return
        mode = proxy.mode if self.is_target_side or proxy.mode == "delay" else "pass"
        before, self.passed_bytes = self.passed_bytes, self.passed_bytes + len(data)
        if mode == "delay":
            proxy.loop.call_later(proxy.delay_s, peer.write, data)
        elif mode in ("reset", "truncate") and self.passed_bytes > proxy.cut_after_bytes:
            peer.write(data[: max(0, proxy.cut_after_bytes - before)])
            if mode == "reset":
                reset(peer.transport)
            else:
                peer.transport.close()
        elif mode == "trickle":
            for n in range(len(data)):
                proxy.loop.call_later(n * TRICKLE_S, peer.write, data[n : n + 1])
        elif mode == "garbage":
            peer.write(data + NOISE)
        else:
            peer.write(data)

    def write(self, data: bytes) -> None:
        if data and self.transport and not self.transport.is_closing():
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.proxy.connections.pop(self, None)
        peer = self.peer
        # A machine that is cut off sends neither FIN nor RST.
        if peer and peer.transport and self.proxy.mode != "silence":
            if isinstance(exc, ConnectionResetError):
                reset(peer.transport)
            elif self.proxy.mode == "delay":
                self.proxy.loop.call_later(self.proxy.delay_s, peer.transport.close)
            else:
                peer.transport.close()


class Proxy:
    """Listens in place of a target; ``set_mode`` sets the fault for open and new connections.

    ``target`` returns the target's port. In modes ``reset`` and ``truncate`` a connection ends after
    ``cut_after_bytes`` bytes of replies, counted from ``set_mode``."""

    def __init__(self, loop: asyncio.AbstractEventLoop, target: Callable[[], int]) -> None:
        self.loop, self.target = loop, target
        self.mode: Mode = "pass"
        self.delay_s, self.cut_after_bytes = 0.1, 40
        self.connections: dict[ProxyConnection, None] = {}  # in order of arrival
        self.listener: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> int:
        self.listener, self.port = await listen(self.loop, lambda: ProxyConnection(self), port)
        return self.port

    async def connect_target(self, client_side: ProxyConnection) -> None:
        try:
            await self.loop.create_connection(
                lambda: ProxyConnection(self, client_side), Environment.host, self.target()
            )
        except OSError:
            if client_side.transport:
                reset(client_side.transport)

    def set_mode(self, mode: str, delay_s: float = 0.1, cut_after_bytes: int = 40) -> None:
        """Inject this fault from now on; leaving ``silence`` resets the connections that were open."""
        before, self.mode = self.mode, cast(Mode, mode)
        self.delay_s, self.cut_after_bytes = delay_s, cut_after_bytes
        for connection in list(self.connections):
            connection.passed_bytes = 0
            if before == "silence" and mode != "silence" and connection.transport:
                reset(connection.transport)

    def close(self) -> None:
        if self.listener:
            self.listener.close()
        for connection in list(self.connections):
            if connection.transport:
                connection.transport.abort()
