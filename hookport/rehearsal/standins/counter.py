"""A simulated shared counter: sharded, with a bounded queue, expiring keys and injected faults.

Faults are late, lost or corrupt answers, a split into two copies, and the loss of one shard or of all totals.
"""

from __future__ import annotations

import asyncio
import zlib
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Literal, cast

import hiredis

from hookport.rehearsal.runtime import Environment, OrderedReplies, listen

MAX_TTL_MS = 60_000
MAX_CONNECTIONS = 32  # per limiter
SWEEP_THRESHOLD_KEYS = 1 << 20  # expired keys are deleted when a side holds more keys than this
SNAPSHOT_INTERVAL_S, MAX_SNAPSHOTS = 0.5, 20  # copies of all totals that the ``snapshot`` mode can restore
Mode = Literal["ok", "silent", "late", "noise", "busy", "down", "part"]
NOISE = (b"$5\r\nhello\r\n", b"*1000\r\n", b":12\r\n", b"\x00\xffgarbage\r\n", b"$-1\r\n")


class Connection(asyncio.Protocol):
    """A connection from a limiter."""

    def __init__(self, counter: Counter, limiter: int) -> None:
        self.counter, self.limiter = counter, limiter
        self.parser = hiredis.Reader()
        self.muted = False  # an answer was lost; replies are ordered, so none can follow it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.slots = OrderedReplies(self.write)
        open_count = sum(connection.limiter == self.limiter for connection in self.counter.connections)
        if open_count >= MAX_CONNECTIONS:
            return self.transport.abort()
        self.counter.connections[self] = None

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing() and not self.muted:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        try:
            while (arguments := self.parser.gets()) is not False:
                self.counter.handle_command(self, arguments)
        except hiredis.ProtocolError:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.counter.connections.pop(self, None)


class Counter:
    """A map of keys to expiring totals, served over RESP.

    Each key belongs to one of ``shards``; a shard serves ``per_s`` calls per second in order and answers BUSY
    once ``queue_limit`` calls wait. ``answer_lost`` decides for each call whether its answer is lost."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        shards: int = 4,
        per_s: float = 400.0,
        queue_limit: int = 200,
        answer_lost: Callable[[], bool] | None = None,
    ) -> None:
        self.loop, self.per_s, self.queue_limit = loop, per_s, queue_limit
        self.answer_lost = answer_lost or (lambda: False)
        self.shard_free_s = [0.0] * shards  # when each shard will have served its queue
        self.totals: list[dict[bytes, tuple[float, float]]] = [{}, {}]  # per side: total and expiry by key
        self.split = False
        self.limiter_sides: dict[int, int] = {}  # during a split; a limiter not listed is on side 0
        self.snapshots: deque[tuple[float, dict[bytes, tuple[float, float]]]] = deque(maxlen=MAX_SNAPSHOTS)
        self.snapshot_timer: asyncio.TimerHandle | None = None
        self.mode: Mode = "ok"
        self.answer_delay_s = 0.2
        self.calls: list[int] = []
        self.connections: dict[Connection, None] = {}  # in order of opening
        self.ports: list[int] = []
        self.listeners: dict[int, asyncio.Server] = {}

    async def start(self, limiters: int) -> list[int]:
        """Open one listener per limiter; return the ports."""
        self.calls, self.ports = [0] * limiters, [0] * limiters
        for limiter in range(limiters):
            await self.open_listener(limiter)
        return list(self.ports)

    async def open_listener(self, limiter: int) -> int:
        """Listen for one limiter, on its previous port if it has one; return the port."""
        listener, port = await listen(self.loop, lambda: Connection(self, limiter), self.ports[limiter])
        self.listeners[limiter], self.ports[limiter] = listener, port
        return port

    def take_snapshots(self) -> None:
        """Copy the totals every SNAPSHOT_INTERVAL_S; the oldest copy kept is about 10 s old."""
        self.snapshots.append((self.loop.time(), dict(self.totals[0])))
        self.snapshot_timer = self.loop.call_later(SNAPSHOT_INTERVAL_S, self.take_snapshots)

    def find_snapshot(self, age_s: float) -> dict[bytes, tuple[float, float]]:
        """Return the newest copy that is at least ``age_s`` old, else the oldest one."""
        before_s = self.loop.time() - age_s
        old = [totals for at_s, totals in self.snapshots if at_s <= before_s] or [
            t for _, t in self.snapshots
        ][:1]
        return dict(old[-1]) if old else {}

    async def set_mode(
        self, mode: str, answer_delay_s: float = 0.2, age_s: float = 2.0, sides: Sequence[Sequence[int]] = ()
    ) -> None:
        """Change the behaviour.

        ``fresh`` drops all totals and ``snapshot`` restores those of ``age_s`` ago; both abort all
        connections. ``split`` gives the limiters in ``sides[1]`` (by default the odd ones) a separate copy of
        the totals. ``part`` stops one shard while the others continue. Leaving ``down`` reopens the previous
        ports."""
        if mode in ("fresh", "snapshot"):
            self.totals = [{} if mode == "fresh" else self.find_snapshot(age_s), {}]
            for connection in list(self.connections):
                connection.transport.abort()
            return
        if mode == "split":
            self.split, self.totals[1] = True, dict(self.totals[0])
            second = sides[1] if sides else range(1, len(self.ports), 2)
            self.limiter_sides = dict.fromkeys(second, 1)
            return
        self.split = False
        before, self.mode, self.answer_delay_s = self.mode, cast(Mode, mode), answer_delay_s
        if mode == "down":
            self.close()
        elif before == "down":
            self.take_snapshots()
            for limiter in range(len(self.ports)):
                await self.open_listener(limiter)

    def switch_side(self, limiter: int) -> None:
        """Route a limiter to the other side of a split and abort its connections."""
        self.limiter_sides[limiter] = 1 - self.limiter_sides.get(limiter, 0)
        for connection in [connection for connection in self.connections if connection.limiter == limiter]:
            connection.transport.abort()

    async def change_address(self, limiter: int) -> int:
        """Move a limiter's listener to a new port; connections to the old port close after 1.5 s."""
        old = [connection for connection in self.connections if connection.limiter == limiter]
        if listener := self.listeners.pop(limiter, None):
            listener.close()

        def close_old_connections() -> None:
            for connection in old:
                connection.transport.close()

        self.loop.call_later(1.5, close_old_connections)
        self.ports[limiter] = 0
        port = await self.open_listener(limiter)
        if self.mode == "down":  # the new port refuses connections too
            self.listeners.pop(limiter).close()
        return port

    def close(self) -> None:
        for listener in self.listeners.values():
            listener.close()
        self.listeners.clear()
        if self.snapshot_timer:
            self.snapshot_timer.cancel()
        for connection in list(self.connections):
            connection.transport.abort()

    def handle_command(self, connection: Connection, arguments: Any) -> None:
        slot = connection.slots.reserve()
        command = (
            arguments[0].upper()
            if isinstance(arguments, list) and arguments and isinstance(arguments[0], bytes)
            else b""
        )
        if command == b"PING":
            return connection.slots.complete(slot, b"+PONG\r\n")
        if command in (b"CLIENT", b"SELECT"):
            return connection.slots.complete(slot, b"+OK\r\n")
        if command != b"INCRTTL" or len(arguments) != 4 or not 1 <= len(arguments[1]) <= 64:
            return connection.slots.complete(slot, b"-ERR no such call\r\n")
        try:
            amount, ttl_ms = float(arguments[2]), min(MAX_TTL_MS, int(arguments[3]))
        except ValueError:
            return connection.slots.complete(slot, b"-ERR not a number\r\n")
        if not abs(amount) <= 1e9 or ttl_ms < 1:
            return connection.slots.complete(slot, b"-ERR out of range\r\n")
        self.calls[connection.limiter] += 1
        now_s = self.loop.time()
        shard = zlib.crc32(arguments[1]) % len(self.shard_free_s)
        if self.mode == "part" and shard == 0:
            connection.muted = True  # the call is dropped, and ordered replies cannot pass it
            return
        if (self.shard_free_s[shard] - now_s) * self.per_s > self.queue_limit or self.mode == "busy":
            return connection.slots.complete(slot, b"-BUSY\r\n")
        self.shard_free_s[shard] = max(now_s, self.shard_free_s[shard]) + 1 / self.per_s
        self.loop.call_at(
            self.shard_free_s[shard], self.execute, connection, slot, arguments[1], amount, ttl_ms
        )

    def add(self, side: int, key: bytes, amount: float, ttl_ms: int, now_s: float) -> float:
        """Add to a key, which expires ``ttl_ms`` after its first call, and return the total."""
        totals = self.totals[side]
        total, expires_s = totals.get(key, (0.0, -1.0))
        if expires_s <= now_s:
            total, expires_s = 0.0, now_s + ttl_ms / 1000
            if len(totals) > SWEEP_THRESHOLD_KEYS:
                for old in [key for key, (_, end_s) in totals.items() if end_s <= now_s]:
                    del totals[old]
        totals[key] = (total + amount, expires_s)
        return total + amount

    def execute(
        self, connection: Connection, slot: list[bytes | None], key: bytes, amount: float, ttl_ms: int
    ) -> None:
        side = self.limiter_sides.get(connection.limiter, 0) if self.split else 0
        total = b"%.7g" % self.add(side, key, amount, ttl_ms, self.loop.time())
        answer = b"$%d\r\n%s\r\n" % (len(total), total)
        if self.mode == "noise":
            answer = NOISE[Environment.clock_ns() // 1000 % len(NOISE)]
        if self.mode == "silent" or self.answer_lost():
            connection.muted = True
        if self.mode == "late":
            self.loop.call_later(self.answer_delay_s, connection.slots.complete, slot, answer)
        else:
            connection.slots.complete(slot, answer)
