"""Client connections: the listener, the limit on connections, their time-outs, and the shutdown."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, cast

from hookport import resp_reader
from hookport.client_connection import Connection, PendingReply
from hookport.config import Address
from hookport.hangup_monitor import HangupMonitor
from hookport.input_scheduler import InputScheduler
from hookport.memory_budget import MemoryBudget
from hookport.socket_inspector import SocketInspector
from hookport.wait_queue import WaitQueue

if TYPE_CHECKING:
    from hookport.limits import LimitCommands

log = logging.getLogger("hookport.clients")

BACKLOG = 1024
ACCEPT_AFTER_SIGTERM_S = 0.5  # new connections still arrive for 0.4 s after SIGTERM
TIMEOUT_CHECK_INTERVAL_S = 0.25
# Largest share of the allowed connections that may be idle between requests; other clients need the rest.
MAX_IDLE_SHARE = 0.35
# A connection may be evicted once it has been in its state for this long; the first command of a new
# connection arrives sooner.
EVICTION_GRACE_S = 0.1
CLOSE_LOG_INTERVAL_S = 5.0  # minimum time between two log lines about closed connections


class Clients:
    """The listener and its connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_request: Callable[[Sequence[object], PendingReply], None],
        is_request: Callable[[resp_reader.Message], bool],
        max_connections: int,
        sockets: SocketInspector,
        memory_limit_bytes: int,
    ) -> None:
        """``on_request`` handles a request or raises CommandError; ``is_request`` tells which it would do."""
        self.loop, self.on_request, self.is_request, self.sockets = loop, on_request, is_request, sockets
        self.max_connections = max_connections
        self.memory = MemoryBudget(memory_limit_bytes, max_connections)
        # One buffer for all connections: what a read brings is copied before the next one.
        self.receive_buffer = memoryview(bytearray(self.memory.read_bytes))
        self.memory_check: asyncio.Handle | None = None
        self.scheduler = InputScheduler(loop)
        self.hangup_monitor = HangupMonitor(loop, sockets)
        self.connections: dict[Connection, None] = {}
        self.no_command = WaitQueue(2.0, "no command in time")  # for the first command
        self.partial_command = WaitQueue(2.0, "no command in time")  # for the rest of a command
        self.no_request = WaitQueue(3.0, "idle")  # for the first request, after a command like PING
        self.idle = WaitQueue(15.0, "idle")  # for the next request
        self.unread_replies = WaitQueue(5.0, "replies not read")
        self.close_counts: Counter[str] = Counter()  # closed connections by reason, since the last log line
        self.logged_s = 0.0
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.draining = False
        self.done = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.limit_commands: LimitCommands | None = None  # None: not enabled by the options

    async def listen(self, address: Address) -> Address:
        """Start to accept connections; return the bound address, with the actual port if it was 0."""
        self.server = await self.loop.create_server(
            lambda: Connection(self), *address, family=socket.AF_INET, backlog=BACKLOG
        )
        return cast(Address, self.server.sockets[0].getsockname())

    def add_connection(self, connection: Connection) -> None:
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            self.make_room(connection)
        connection.update_queue(True)
        if self.timeout_timer is None:
            self.timeout_timer = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self.check_timeouts)

    def make_room(self, newest: Connection) -> None:
        """Close one connection so that descriptors do not run out.

        Those that never sent a request go first; if none can be evicted, the newest one is closed."""
        now_s = self.loop.time()
        grace_s = now_s - EVICTION_GRACE_S
        for queue, entered_by_s in (
            (self.no_command, grace_s), (self.no_request, grace_s),
            (self.idle, now_s - self.no_command.timeout_s), (self.no_request, now_s), (self.idle, grace_s),
        ):  # fmt: skip
            if victim := queue.oldest(entered_by_s):
                break
        else:
            victim = newest
        self.close_counts["connection limit reached"] += 1
        victim.close_when_answered()

    def evict_idle(self) -> None:
        """Close the longest idle connection if idle ones take up too many of the allowed connections."""
        crowded = len(self.idle.entered_s) > MAX_IDLE_SHARE * self.max_connections
        if crowded:
            self.close_idle(self.idle, self.loop.time() - EVICTION_GRACE_S, "evicted while idle", 1)

    def close_idle(self, queue: WaitQueue, entered_by_s: float, reason: str, limit: int) -> None:
        """Close up to ``limit`` connections that entered a queue of idle ones by that time.

        One whose client has just sent something is idle no more, and waits for the loop to read it."""
        while limit and (oldest := queue.oldest(entered_by_s)):
            if oldest.has_unread_data():
                queue.enter(oldest, self.loop.time())
                continue
            self.close_counts[reason] += 1
            oldest.close_when_answered()
            limit -= 1

    def on_memory_exceeded(self) -> None:
        """Free memory as soon as the current event is handled."""
        if self.memory_check is None:
            self.memory_check = self.loop.call_soon(self.free_memory)

    def free_memory(self) -> None:
        """Let the connections that hold most give way, until all together hold no more than they may.

        Complete commands that wait are not given up: they are refused when their turn comes."""
        self.memory_check = None
        for connection in sorted(self.connections, key=lambda connection: -connection.held_bytes):
            if not self.memory.is_exceeded():
                return
            connection.give_up_memory()

    def check_timeouts(self) -> None:
        """Close connections that are silent, stop within a command, stay idle, or do not read replies."""
        now_s = self.loop.time()
        for queue in (self.no_command, self.partial_command):
            while oldest := queue.oldest(now_s - queue.timeout_s):
                oldest.close_with_error(queue.reason)
        for queue in (self.no_request, self.idle):
            self.close_idle(queue, now_s - queue.timeout_s, queue.reason, len(queue.entered_s))
        while oldest := self.unread_replies.oldest(now_s - self.unread_replies.timeout_s):
            oldest.leave_queue()
            self.close_counts[self.unread_replies.reason] += 1
            oldest.transport.abort()
        if self.close_counts and now_s - self.logged_s > CLOSE_LOG_INTERVAL_S:
            log.warning(
                "closed connections: %s",
                ", ".join(f"{count} {reason}" for reason, count in self.close_counts.most_common()),
            )
            self.close_counts.clear()
            self.logged_s = now_s
        self.timeout_timer = (
            self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self.check_timeouts)
            if self.connections or self.close_counts
            else None
        )

    def remove_connection(self, connection: Connection) -> None:
        connection.leave_queue()
        self.scheduler.remove(connection)
        self.hangup_monitor.remove(connection)
        self.connections.pop(connection, None)
        if self.draining and not self.connections:
            self.done.set()

    def shut_down(self) -> None:
        """Accept connections for a short while after SIGTERM, then drain; ``done`` is set at the end."""
        log.info("shutting down")
        self.loop.call_later(ACCEPT_AFTER_SIGTERM_S, self.drain)

    def drain(self) -> None:
        """Stop accepting; each connection closes once all that its client has sent is answered."""
        self.draining = True
        if self.server:
            self.server.close()
        if not self.connections:
            self.done.set()
        for connection in list(self.connections):
            connection.proceed(False)

    def close(self) -> None:
        self.scheduler.close()
        self.hangup_monitor.close()
        if self.memory_check:
            self.memory_check.cancel()
        if self.timeout_timer:
            self.timeout_timer.cancel()
