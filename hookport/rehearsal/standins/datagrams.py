"""A relay for datagrams between limiters, with delay, loss, partitions and counts of the traffic.

There is one socket per ordered pair of limiters. Limiter ``i`` sends datagrams for ``j`` to socket ``(i, j)``
and receives those from ``j`` from the same socket, so it sees a rewritten source address, as behind NAT.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from hookport.rehearsal.runtime import Environment

MAX_DATAGRAM_BYTES = 256  # a larger datagram is counted and dropped
RandomSource = Callable[[str, int], float]  # (purpose, datagram number): a number from 0 to 1


class RelaySocket(asyncio.DatagramProtocol):
    """The socket at which ``sender`` reaches ``receiver``; ignores datagrams from any other port."""

    def __init__(self, relay: DatagramRelay, sender: int, receiver: int) -> None:
        self.relay, self.sender, self.receiver = relay, sender, receiver

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if addr[1] == self.relay.ports[self.sender]:
            self.relay.forward(self.sender, self.receiver, data)

    def error_received(self, exc: Exception) -> None:
        self.relay.refused += 1  # the limiter is down; the datagram is lost


class DatagramRelay:
    """Relays datagrams between limiters.

    ``loss_share`` is the share lost, ``delay_s`` the minimum and maximum delay, ``random`` the source of
    random numbers. Counted for the referee: datagrams ``sent`` and ``largest_bytes`` per sender, and per
    receiver the datagrams delivered in its ``busiest_second``."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        loss_share: float,
        delay_s: tuple[float, float],
        random: RandomSource,
    ) -> None:
        self.loop, self.loss_share, self.delay_s, self.random = loop, loss_share, delay_s, random
        self.ports: list[int] = []  # where the limiters listen
        self.sockets: dict[tuple[int, int], RelaySocket] = {}
        self.partitions: tuple[frozenset[int], ...] = ()  # datagrams pass only within one of these groups
        self.datagram_count = self.refused = 0
        self.sent: list[int] = []
        self.largest_bytes: list[int] = []
        self.busiest_second: list[int] = []
        self.current_second: list[tuple[int, int]] = []

    async def start(self, ports: list[int]) -> list[list[str]]:
        """Open the sockets; return, per limiter, the address of each limiter by index (its own included)."""
        self.ports, count = ports, len(ports)
        self.sent, self.largest_bytes, self.busiest_second = [0] * count, [0] * count, [0] * count
        self.current_second = [(0, 0)] * count
        addresses = [[f"{Environment.host}:{ports[n]}"] * count for n in range(count)]
        for sender in range(count):
            for receiver in range(count):
                if sender != receiver:
                    socket = RelaySocket(self, sender, receiver)
                    await self.loop.create_datagram_endpoint(
                        lambda socket=socket: socket,  # type: ignore[misc]
                        (Environment.host, 0),
                    )
                    self.sockets[sender, receiver] = socket
                    _, port = socket.transport.get_extra_info("sockname")
                    addresses[sender][receiver] = f"{Environment.host}:{port}"
        return addresses

    def is_partitioned(self, first: int, second: int) -> bool:
        """Return whether two limiters are in different partitions; one that is in none reaches no other."""
        return bool(self.partitions) and not any(first in side and second in side for side in self.partitions)

    def forward(self, sender: int, receiver: int, data: bytes) -> None:
        self.datagram_count += 1
        self.sent[sender] += 1
        self.largest_bytes[sender] = max(self.largest_bytes[sender], len(data))
        lost = self.loss_share > 0 and self.random("lost", self.datagram_count) < self.loss_share
        if lost or len(data) > MAX_DATAGRAM_BYTES or self.is_partitioned(sender, receiver):
            return
        min_s, max_s = self.delay_s
        wait_s = min_s + (max_s - min_s) * self.random("late", self.datagram_count)
        self.loop.call_later(wait_s, self.deliver, sender, receiver, data)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        now = int(self.loop.time())
        second, received = self.current_second[receiver]
        self.current_second[receiver] = (now, received + 1 if now == second else 1)
        self.busiest_second[receiver] = max(self.busiest_second[receiver], self.current_second[receiver][1])
        socket = self.sockets[receiver, sender]  # the receiver sees this sender at this socket
        if not socket.transport.is_closing():
            socket.transport.sendto(data, (Environment.host, self.ports[receiver]))

    def close(self) -> None:
        for socket in self.sockets.values():
            socket.transport.close()
