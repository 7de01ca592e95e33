"""Code shared by the processes of the test harness: host, clocks, ports, loop lag, worker pipes, replies."""

from __future__ import annotations

import asyncio
import functools
import json
import random
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, ClassVar

import uvloop

LAG_CHECK_INTERVAL_S = 0.02
MIN_RECORDED_LAG_MS = 25.0  # Longer delays of a loop are recorded in the history.
# Both are below the range from which the kernel takes the ports of outgoing connections.
LOWEST_PORT, HIGHEST_PORT = 12_000, 31_000
RowWriter = Callable[[dict[str, Any]], None]


class Environment:
    """The loopback address, the clocks and the ports of this process.

    Each run has a loopback address of its own, so that runs on one machine do not reach each other: the port
    of a killed server is free for a while, and another run that bound it would receive what limiters still
    send there."""

    host = "127.0.0.1"
    clock_ns: ClassVar[Callable[[], int]] = staticmethod(time.monotonic_ns)  # the clock of histories
    unix_ns: ClassVar[Callable[[], int]] = staticmethod(time.time_ns)
    allocate_port: ClassVar[Callable[[], int] | None] = None  # set where no other process can take the port
    used_ports: ClassVar[set[int]] = set()  # ports handed out before; none is given to another listener


def random_loopback_host() -> str:
    """A random address of 127.0.0.0/8, which no other run is likely to use."""
    rng = random.SystemRandom()
    return f"127.{rng.randint(16, 223)}.{rng.randint(0, 255)}.{rng.randint(1, 254)}"


def free_ports(host: str) -> Iterator[int]:
    """Ports of ``host`` on which nothing listens now, each at most once in this process.

    Raises OSError when there are no more."""
    port_count = HIGHEST_PORT - LOWEST_PORT
    start = random.SystemRandom().randrange(port_count)
    for offset in range(port_count):
        port = LOWEST_PORT + (start + offset) % port_count
        if port in Environment.used_ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                continue
        Environment.used_ports.add(port)
        yield port
    raise OSError(f"no free port on {host}")


async def listen(
    loop: asyncio.AbstractEventLoop, factory: Callable[[], asyncio.BaseProtocol], port: int = 0
) -> tuple[asyncio.Server, int]:
    """Listen on this process's address and return the server with its port.

    With port 0 a free port is allocated, which can be closed and listened on again later."""
    port = port or (Environment.allocate_port() if Environment.allocate_port else 0)
    if port:
        return await loop.create_server(factory, Environment.host, port, backlog=1024), port
    for candidate in free_ports(Environment.host):
        try:
            return await loop.create_server(factory, Environment.host, candidate, backlog=1024), candidate
        except OSError:
            continue  # bound by another process since it was probed
    raise OSError(f"no free port on {Environment.host}")


class LagMonitor:
    """Records delays of this process's event loop, so that they are not counted against the limiters."""

    def __init__(self, loop: asyncio.AbstractEventLoop, process_name: str, write_row: RowWriter) -> None:
        self.loop, self.process_name, self.write_row = loop, process_name, write_row
        self.last_check_s = loop.time()
        self.timer = loop.call_later(LAG_CHECK_INTERVAL_S, self.check)

    def check(self) -> None:
        now_s = self.loop.time()
        lag_ms = (now_s - self.last_check_s - LAG_CHECK_INTERVAL_S) * 1000
        if lag_ms > MIN_RECORDED_LAG_MS:
            self.write_row(
                {"e": "lag", "t": Environment.clock_ns(), "who": self.process_name, "ms": round(lag_ms, 1)}
            )
        self.last_check_s = now_s
        self.timer = self.loop.call_later(LAG_CHECK_INTERVAL_S, self.check)

    def close(self) -> None:
        self.timer.cancel()


class WorkerPipe:
    """A worker's end of its pipes, one JSON object a line.

    Orders come on standard input, events go to standard output; the worker ends with its input."""

    def __init__(self) -> None:
        self.output = sys.stdout.buffer

    def send_event(self, **event: Any) -> None:
        self.output.write(json.dumps(event).encode() + b"\n")
        self.output.flush()

    async def read_orders(self, handle_order: Callable[[dict[str, Any]], Awaitable[bool]]) -> None:
        """Handle orders until ``handle_order`` returns False or the orchestrator closes the pipe."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=1 << 24)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            if not await handle_order(json.loads(line)):
                return


def run_worker(name: str, handle_order: Callable[[WorkerPipe, dict[str, Any]], Awaitable[bool]]) -> int:
    """Run a worker process until ``handle_order`` returns False; an exception is sent as an event first."""

    async def serve() -> None:
        pipe = WorkerPipe()
        try:
            await pipe.read_orders(functools.partial(handle_order, pipe))
        except Exception as error:
            pipe.send_event(ev="failed", why=f"{name}: {type(error).__name__}: {error}")
            raise

    uvloop.run(serve())
    return 0


class OrderedReplies:
    """Writes the replies of one connection in the order of its commands, whenever each becomes known."""

    __slots__ = ("pending", "write")

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self.write = write
        self.pending: list[list[bytes | None]] = []

    def reserve(self) -> list[bytes | None]:
        """A slot for the reply to the command that was just read."""
        slot: list[bytes | None] = [None]
        self.pending.append(slot)
        return slot

    def complete(self, slot: list[bytes | None], reply: bytes) -> None:
        """Set the reply of a slot and write every reply that no earlier command holds back."""
        slot[0] = reply
        while self.pending and (first := self.pending[0][0]) is not None:
            del self.pending[0]
            self.write(first)
