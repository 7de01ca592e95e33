"""A simulated network in virtual time, behind asyncio's transports.

It simulates: a random delay of each segment, in order within a connection; writes that are split at any byte;
flow control, with a receive window beyond which the writer's buffer fills and its protocol is paused; peers
that close, reset, or are killed with unread data; addresses without a listener. Datagrams are delayed
and may be reordered.

Unlike a real network it cannot lose packets for so long that TCP gives up (the fault proxy of the test
harness simulates that, as it does on real sockets), run out of descriptors or ports, or reorder a close with
data.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable
from typing import Any, cast

from hookport.emulator.loop import CURRENT_PROCESS, SimulatedProcess, VirtualLoop

Address = tuple[str, int]
MIN_DELAY_S, MAX_DELAY_S = 60e-6, 250e-6  # one-way delay between processes of one machine
SPLIT_WRITE_SHARE = 0.03  # share of the writes that arrive in two segments
MAX_SPLIT_DELAY_S = 0.5e-3  # longest time between these two segments
RECEIVE_WINDOW_BYTES = 1 << 18  # maximum in flight and unread, in each direction of a connection
FIRST_PORT = 20_000


class SocketInfo:
    """The part of the socket interface that callers use: its address, and SO_LINGER to close with a reset."""

    def __init__(self, name: Address) -> None:
        self.name, self.reset_on_close = name, False

    def getsockname(self) -> Address:
        return self.name

    def setsockopt(self, level: int, option: int, value: object) -> None:
        """Treat any option as SO_LINGER, the only one that callers set: closing then sends a reset."""
        self.reset_on_close = True


class StreamTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self, network: Network, local: Address, remote: Address, context: contextvars.Context
    ) -> None:
        super().__init__({"sockname": local, "peername": remote, "socket": SocketInfo(local)})
        self.network, self.loop, self.context = network, network.loop, context
        self.peer: StreamTransport | None = None
        self.protocol: asyncio.Protocol | None = None
        self.closing = self.closed = self.reading_paused = self.writing_paused = False
        self.buffer: list[bytes] = []  # written, but beyond the receive window
        self.inbox: list[bytes] = []  # received, but not yet passed to the protocol
        self.in_flight_bytes = 0  # bytes that the peer has not read
        self.last_arrival_s = 0.0  # when the last segment arrives
        self.high_water_bytes = 1 << 16
        # How the peer closed, reported once all data is read; False while it has not.
        self.remote_close: Exception | None | bool = False

    @property
    def process(self) -> SimulatedProcess | None:
        return self.context.get(CURRENT_PROCESS)

    def schedule(self, delay_s: float, callback: Callable[..., object], *args: Any) -> None:
        """Call ``callback`` in this end's process, never before an earlier call of this method."""
        self.last_arrival_s = max(self.last_arrival_s, self.loop.now_s + delay_s)
        self.loop.call_at(self.last_arrival_s, callback, *args, context=self.context)

    # Writing

    def write(self, data: Any) -> None:
        if self.closing or not data:
            return
        self.buffer.append(bytes(data))
        self.flush()
        buffered_bytes = self.get_write_buffer_size()
        if buffered_bytes > self.high_water_bytes and not self.writing_paused and self.protocol:
            self.writing_paused = True
            self.protocol.pause_writing()

    def flush(self) -> None:
        peer = self.peer
        while self.buffer and peer and self.in_flight_bytes < RECEIVE_WINDOW_BYTES:
            data = self.buffer.pop(0)
            window_bytes = RECEIVE_WINDOW_BYTES - self.in_flight_bytes
            if len(data) > window_bytes:
                self.buffer.insert(0, data[window_bytes:])
                data = data[:window_bytes]
            self.in_flight_bytes += len(data)
            for delay_s, segment in self.network.split_write(data):
                peer.schedule(delay_s, peer.receive, segment)
        if self.writing_paused and not self.buffer:
            self.writing_paused = False
            if self.protocol and not self.closed:
                self.protocol.resume_writing()
        if self.closing and not self.buffer and not self.closed:
            self.finish(None, None)

    def get_write_buffer_size(self) -> int:
        return sum(map(len, self.buffer))

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high_water_bytes = 1 << 16 if high is None else high

    # Reading

    def receive(self, data: bytes) -> None:
        if self.closed or self.closing:
            if self.peer:  # data for a closed socket is answered by a reset
                self.peer.schedule(
                    self.network.delay_s(),
                    self.peer.on_connection_lost,
                    ConnectionResetError("reset by peer"),
                )
            return
        self.inbox.append(data)
        self.deliver_received()

    def deliver_received(self) -> None:
        while self.inbox and not self.reading_paused and not self.closing and not self.closed:
            data = self.inbox.pop(0)
            if self.peer:
                self.peer.in_flight_bytes -= len(data)
                if self.peer.buffer:  # in the peer's context: it may belong to another process
                    self.loop.call_soon(self.peer.flush, context=self.peer.context)
            if self.protocol:
                self.protocol.data_received(data)
        if self.remote_close is not False and not self.inbox and not self.closed:
            self.on_connection_lost(cast("Exception | None", self.remote_close))

    def pause_reading(self) -> None:
        self.reading_paused = True

    def resume_reading(self) -> None:
        self.reading_paused = False
        self.loop.call_soon(self.deliver_received, context=self.context)

    # Ending

    def is_closing(self) -> bool:
        return self.closing or self.closed

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            if not self.buffer:
                self.finish(None, None)

    def abort(self) -> None:
        self.buffer.clear()
        self.closing = True
        is_reset = self.get_extra_info("socket").reset_on_close or self.inbox
        self.finish(None, ConnectionResetError("reset by peer") if is_reset else None)

    def finish(self, local_error: Exception | None, remote_error: Exception | None) -> None:
        """Close this end; the peer is notified after all data in flight."""
        if self.closed:
            return
        self.closed = True
        self.network.open_transports.pop(self, None)
        self.loop.call_soon(self.notify_protocol, local_error, context=self.context)
        if self.peer:
            self.peer.schedule(self.network.delay_s(), self.peer.on_peer_closed, remote_error)

    def on_peer_closed(self, error: Exception | None) -> None:
        if self.closed:
            return
        if error is None and self.inbox:
            self.remote_close = None  # data received before the close is read first
        else:
            self.on_connection_lost(error)

    def on_connection_lost(self, error: Exception | None) -> None:
        """Close this end because the peer is gone, and notify the protocol."""
        if not self.closed:
            self.closed = self.closing = True
            self.network.open_transports.pop(self, None)
            self.notify_protocol(error)

    def notify_protocol(self, error: Exception | None) -> None:
        protocol, self.protocol = self.protocol, None
        if protocol:
            protocol.connection_lost(error)


class Listener:
    """The part of ``asyncio.Server`` that callers use."""

    def __init__(self, network: Network, factory: Any, address: Address) -> None:
        self.network, self.factory, self.address = network, factory, address
        self.context = contextvars.copy_context()
        self.sockets = (SocketInfo(address),)

    def close(self) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]


class DatagramEndpoint(asyncio.DatagramTransport):
    """A datagram transport bound to an address."""

    def __init__(self, network: Network, protocol: asyncio.DatagramProtocol, address: Address) -> None:
        super().__init__({"sockname": address, "socket": SocketInfo(address)})
        self.network, self.protocol, self.address = network, protocol, address
        self.context = contextvars.copy_context()
        self.closing = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        if not self.closing:
            self.network.loop.call_later(
                self.network.delay_s(),
                self.network.deliver_datagram,
                self.address,
                (addr[0], addr[1]),
                bytes(data),
            )

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.network.datagram_endpoints.pop(self.address, None)


class Network:
    """All addresses and connections of one run; delays and splits are drawn from ``seed``."""

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop, self.rng = loop, random.Random(seed)
        self.listeners: dict[Address, Listener] = {}
        self.datagram_endpoints: dict[Address, DatagramEndpoint] = {}
        self.open_transports: dict[StreamTransport, None] = {}  # in the order in which they were opened
        self.next_port = FIRST_PORT

    def allocate_port(self) -> int:
        """Return a port that was not used before."""
        self.next_port += 1
        return self.next_port

    def delay_s(self) -> float:
        return self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)

    def split_write(self, data: bytes) -> list[tuple[float, bytes]]:
        """Split a write into segments, each with its delay in seconds."""
        delay_s = self.delay_s()
        if len(data) < 2 or self.rng.random() >= SPLIT_WRITE_SHARE:
            return [(delay_s, data)]
        split_index = self.rng.randrange(1, len(data))
        return [
            (delay_s, data[:split_index]),
            (delay_s + self.rng.uniform(0, MAX_SPLIT_DELAY_S), data[split_index:]),
        ]

    def listen(self, factory: Any, address: Address) -> Listener:
        host, port = address
        address = (host, port or self.allocate_port())
        if address in self.listeners:
            raise OSError(98, f"address already in use: {address}")
        listener = self.listeners[address] = Listener(self, factory, address)
        return listener

    async def connect(self, factory: Any, address: Address) -> tuple[StreamTransport, asyncio.Protocol]:
        """Open a connection; a cancelled attempt closes both ends.

        Raises ConnectionRefusedError if there is no listener at ``address``."""
        await asyncio.sleep(self.delay_s())
        listener = self.listeners.get(address)
        if listener is None:
            await asyncio.sleep(self.delay_s())
            raise ConnectionRefusedError(111, f"nothing listens at {address}")
        local = (address[0], self.allocate_port())
        near = StreamTransport(self, local, address, contextvars.copy_context())
        far = StreamTransport(self, address, local, listener.context.copy())
        near.peer, far.peer = far, near
        self.open_transports[near] = self.open_transports[far] = None
        far.schedule(0.0, self.accept, listener, far)
        try:
            await asyncio.sleep(self.delay_s())
        except asyncio.CancelledError:
            near.finish(None, None)
            raise
        protocol = near.protocol = factory()
        if near.closed:
            raise ConnectionResetError(104, f"reset by {address}")
        protocol.connection_made(near)
        self.loop.call_soon(near.deliver_received, context=near.context)
        return near, protocol

    def accept(self, listener: Listener, far: StreamTransport) -> None:
        far.protocol = listener.factory()
        far.protocol.connection_made(far)
        far.deliver_received()

    def open_datagram_endpoint(
        self, factory: Any, address: Address
    ) -> tuple[DatagramEndpoint, asyncio.DatagramProtocol]:
        host, port = address
        address = (host, port or self.allocate_port())
        if address in self.datagram_endpoints:
            raise OSError(98, f"address already in use: {address}")
        protocol = factory()
        endpoint = self.datagram_endpoints[address] = DatagramEndpoint(self, protocol, address)
        protocol.connection_made(endpoint)
        return endpoint, protocol

    def deliver_datagram(self, sender: Address, receiver: Address, data: bytes) -> None:
        endpoint = self.datagram_endpoints.get(receiver)
        if endpoint:
            self.loop.call_soon(endpoint.protocol.datagram_received, data, sender, context=endpoint.context)
        elif origin := self.datagram_endpoints.get(sender):
            refused = ConnectionRefusedError(111, f"nothing listens at {receiver}")
            self.loop.call_soon(origin.protocol.error_received, refused, context=origin.context)

    def has_unread_data(self, transport: Any) -> bool:
        """Return whether received data was not read yet, or the peer has closed."""
        return bool(transport.inbox) or transport.remote_close is not False

    def is_closed_by_peer(self, transport: Any) -> bool:
        """Return whether the peer has closed, also if received data was not read yet."""
        return transport.remote_close is not False

    def kill(self, process: SimulatedProcess) -> None:
        """End a process as SIGKILL does: close its sockets, with a reset where received data was not read."""
        process.terminated = True
        for listener in [
            item for item in self.listeners.values() if item.context.get(CURRENT_PROCESS) is process
        ]:
            listener.close()
        for endpoint in [
            item for item in self.datagram_endpoints.values() if item.context.get(CURRENT_PROCESS) is process
        ]:
            endpoint.close()
        for transport in [item for item in self.open_transports if item.process is process]:
            transport.abort()
