"""Datagrams between limiters: each sees the others under addresses of its own; late, lost, counted, cut.

For each ordered pair of limiters there is one socket. Limiter ``i`` sends to socket ``(i, j)`` what is for
``j``, and what comes back from there is from ``j``: so a limiter that believes a sender's address believes
the kit's, as behind any network that rewrites addresses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from hookport.rehearsal.loops import Place

MAX_DATAGRAM_BYTES = 256  # bytes of a datagram; what is larger is dropped and counted
RandomSource = Callable[[str, int], float]  # a number from 0 to 1 for the n-th datagram


class RelaySocket(asyncio.DatagramProtocol):
    """The socket at which ``sender`` reaches ``receiver``."""

    def __init__(self, relay: DatagramRelay, sender: int, receiver: int) -> None:
        self.relay, self.sender, self.receiver = relay, sender, receiver

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if addr[1] == self.relay.ports[self.sender]:
            self.relay.forward(self.sender, self.receiver, data)

    def error_received(self, exc: Exception) -> None:
        self.relay.refused += 1  # the limiter is down: nobody is owed a datagram


class DatagramRelay:
    """Carries datagrams between limiters.

    ``loss`` is the share that is lost, ``delay_s`` the range of delays in seconds, ``drawn`` the chance, by
    purpose and number.  ``sent``, ``largest`` and ``busiest`` count by sender and receiver for the judge:
    datagrams sent, bytes of the largest one, and datagrams that came to a receiver in its busiest second."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        loss_share: float,
        delay_s: tuple[float, float],
        random: RandomSource,
    ) -> None:
        self.loop, self.loss_share, self.delay_s, self.random = loop, loss_share, delay_s, random
        self.ports: list[int] = []  # at which limiters listen
        self.sockets: dict[tuple[int, int], RelaySocket] = {}
        self.partitions: tuple[frozenset[int], ...] = ()  # no datagram goes from one of them to another
        self.datagram_count = self.refused = 0
        self.sent: list[int] = []
        self.largest_bytes: list[int] = []
        self.busiest_second: list[int] = []
        self.current_second: list[tuple[int, int]] = []

    async def start(self, ports: list[int]) -> list[list[str]]:
        """Open the doors; for each limiter the addresses of all by index, its own among them."""
        self.ports, count = ports, len(ports)
        self.sent, self.largest_bytes, self.busiest_second = [0] * count, [0] * count, [0] * count
        self.current_second = [(0, 0)] * count
        addresses = [[f"{Place.host}:{ports[n]}"] * count for n in range(count)]
        for sender in range(count):
            for receiver in range(count):
                if sender != receiver:
                    socket = RelaySocket(self, sender, receiver)
                    await self.loop.create_datagram_endpoint(lambda socket=socket: socket, (Place.host, 0))  # type: ignore[misc]
                    self.sockets[sender, receiver] = socket
                    _, port = socket.transport.get_extra_info("sockname")
                    addresses[sender][receiver] = f"{Place.host}:{port}"
        return addresses

    def is_partitioned(self, first: int, second: int) -> bool:
        """Whether a cut runs between two limiters; one that is on no side is cut off from all."""
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
        socket = self.sockets[receiver, sender]  # at which the receiver sees this sender
        if not socket.transport.is_closing():
            socket.transport.sendto(data, (Place.host, self.ports[receiver]))

    def close(self) -> None:
        for socket in self.sockets.values():
            socket.transport.close()
