"""UDP datagrams between the limiters: small, lossy, and rate-limited on receipt."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import cast

from hookport.config import Address

log = logging.getLogger("hookport.peers")

MAX_DATAGRAM_BYTES = 256
MAX_RECEIVED_PER_SECOND = 40  # datagrams in excess are dropped


class Peers(asyncio.DatagramProtocol):
    """Sends datagrams to the other limiters, which are addressed by index, and receives theirs.

    ``on_message`` is called with the sender's index and the payload. Datagrams from unknown addresses and
    those that are too large are dropped."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        addresses: Sequence[Address],
        broadcast_address: Address | None,
        own_index: int,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        self.loop, self.addresses, self.broadcast_address, self.own_index, self.on_message = (
            loop,
            addresses,
            broadcast_address,
            own_index,
            on_message,
        )
        # Of two peers with one address, the first is used.
        self.index_by_address = {addresses[index]: index for index in reversed(range(len(addresses)))}
        self.transport: asyncio.DatagramTransport | None = None
        self.current_second, self.received_count = 0, 0

    async def start(self, listen: Address) -> Address:
        """Bind the socket; return the bound address, with the actual port if it was 0."""
        transport, _ = await self.loop.create_datagram_endpoint(lambda: self, listen)
        self.transport = transport
        return cast(Address, transport.get_extra_info("sockname")[:2])

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send to one limiter, or to all others if ``peer`` is None.

        Raises ValueError if the payload is too large."""
        if self.transport is None or self.transport.is_closing():
            return
        if len(payload) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"the datagram has {len(payload)} bytes; {MAX_DATAGRAM_BYTES} at most")
        if peer is not None:
            targets = [self.addresses[peer]]
        elif self.broadcast_address:
            targets = [self.broadcast_address]
        else:
            targets = [address for index, address in enumerate(self.addresses) if index != self.own_index]
        for address in targets:
            self.transport.sendto(payload, address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = self.index_by_address.get((addr[0], addr[1]))
        if int(self.loop.time()) != self.current_second:
            self.current_second, self.received_count = int(self.loop.time()), 0
        self.received_count += 1
        if (
            sender is not None
            and sender != self.own_index
            and len(data) <= MAX_DATAGRAM_BYTES
            and self.received_count <= MAX_RECEIVED_PER_SECOND
        ):
            self.on_message(sender, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore refused datagrams: the peer is down, and delivery is not guaranteed anyway."""
        log.debug("a datagram was refused: %s", exc)

    def close(self) -> None:
        if self.transport:
            self.transport.close()
