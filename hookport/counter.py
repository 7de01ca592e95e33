"""Client of the shared counter: pipelined calls, each of which ends exactly once in time, and possibly again
when its answer arrives late.

One connection takes new calls. If it owes an answer and delivers nothing for as long as a call may wait, it
is abandoned: new calls go to a new connection, and the old one stays open for a while, because a late answer
still shows whether its call was added. If the new connection delivers nothing either, the counter itself is
slow or silent, and each further replacement waits twice as long."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from typing import cast

from aniseshed.interface import Outcome
from hookport import resp, resp_reader
from hookport.config import Address

log = logging.getLogger("hookport.counter")

MAX_TOTAL_BYTES = 64
STALL_TIMEOUTS = 1.0  # a connection is stalled after this many call time-outs without a due answer
# Upper limit of the stall time, which doubles while no new connection delivers an answer: then the counter
# itself is silent.
MAX_STALL_S = 1.0
CLOCK_TOLERANCE_S = 0.002  # the loop's timers and its clock agree to within two ticks of a millisecond
LATE_ANSWER_S = 2.0  # an abandoned connection stays open this long for late answers
MAX_ABANDONED = 3  # abandoned connections; the counter accepts 32 connections from one limiter


class Call:
    """One call, identified by ``call_id`` among the calls of this limiter."""

    __slots__ = ("key", "call_id", "sent_s", "timer", "payload")

    def __init__(self, key: int, call_id: int, payload: bytes, sent_s: float) -> None:
        self.key, self.call_id, self.payload, self.sent_s = key, call_id, payload, sent_s
        self.timer: asyncio.TimerHandle | None = None  # None once the call has ended


class CounterConnection(asyncio.Protocol):
    """One connection and its unanswered calls, including those that have timed out."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.in_flight: deque[Call] = deque()
        self.last_answer_s = 0.0
        self.reader = resp_reader.Reader(0, MAX_TOTAL_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # with a limit of 0, write() sends at once

    def send(self, call: Call) -> None:
        self.in_flight.append(call)
        self.transport.write(call.payload)

    def data_received(self, data: bytes) -> None:
        self.last_answer_s = self.counter.loop.time()
        if self.counter.connection is self:
            self.counter.stall_s = self.counter.min_stall_s
        try:
            self.reader.feed(data)
            while (message := self.reader.gets()) is not False:
                outcome, total = parse_total(message)
                if not self.in_flight:
                    return self.drop("an answer without a call")
                self.counter.end_call(self.in_flight.popleft(), outcome, total)
        except resp_reader.StreamError as error:
            return self.drop(str(error))
        if not self.in_flight and self.counter.connection is not self:
            self.transport.close()  # abandoned, and all its answers have arrived

    def drop(self, reason: str) -> None:
        log.warning("closing the connection: %s", reason)
        self.transport.abort()
        self.connection_lost(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the unanswered calls as timed out: each may have been added."""
        if self.counter.connection is self:
            self.counter.connection = None
        if self in self.counter.abandoned:
            self.counter.abandoned.remove(self)
        while self.in_flight:
            self.counter.end_call(self.in_flight.popleft(), Outcome.TIMEOUT)


class Counter:
    """Sends calls to the counter and reports their ends to ``on_end``, in the order of the calls.

    A call that timed out is reported a second time if its answer arrives late."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        timeout_s: float,
        connect_timeout_s: float,
        on_end: Callable[[Call, Outcome, float], None],
    ) -> None:
        self.loop, self.address, self.on_end = loop, address, on_end
        self.timeout_s, self.connect_timeout_s = timeout_s, connect_timeout_s
        self.connection: CounterConnection | None = None
        self.abandoned: list[CounterConnection] = []  # they may still deliver late answers
        self.connect_task: asyncio.Task[None] | None = None
        self.queued: deque[Call] = deque()  # calls that wait for a connection
        self.min_stall_s = self.stall_s = min(MAX_STALL_S, STALL_TIMEOUTS * timeout_s)

    def call(self, key: int, amount: float, lifetime_ns: int, call_id: int = 0) -> None:
        """Add ``amount`` to the count ``key``, which expires ``lifetime_ns`` after its first call."""
        lifetime_ms = max(1, -(-lifetime_ns // 1_000_000))
        payload = resp.encode_command(
            (b"INCRTTL", b"%d" % key, f"{amount:.9f}".encode(), b"%d" % lifetime_ms)
        )
        call = Call(key, call_id, payload, self.loop.time())
        call.timer = self.loop.call_later(self.timeout_s, self.time_out, call)
        self.check_stall()
        connection = self.connection
        if connection and not connection.transport.is_closing():
            connection.send(call)
        else:
            self.queued.append(call)
            self.connect()

    def check_stall(self) -> None:
        """Abandon a connection that owes an answer and delivers nothing: its peer may be gone."""
        if (connection := self.connection) and connection.in_flight:
            silent_s = self.loop.time() - max(connection.last_answer_s, connection.in_flight[0].sent_s)
            if silent_s >= self.stall_s - CLOCK_TOLERANCE_S:
                self.stall_s = min(MAX_STALL_S, 2 * self.stall_s)
                self.abandon(connection)

    def abandon(self, connection: CounterConnection) -> None:
        """Send new calls on a new connection; this one stays open for late answers."""
        log.info("abandoning a connection with %d unanswered calls", len(connection.in_flight))
        self.connection = None
        self.abandoned.append(connection)
        self.loop.call_later(LATE_ANSWER_S, self.drop_abandoned, connection)
        if len(self.abandoned) > MAX_ABANDONED:
            self.drop_abandoned(self.abandoned[0])
        self.connect()

    def drop_abandoned(self, connection: CounterConnection) -> None:
        if connection in self.abandoned:
            connection.drop("its late answers did not arrive in time")

    def change_address(self, address: Address) -> None:
        """Use a new address; calls in flight end at once as timed out, since the old counter may have added
        them.

        If they were waited for, a call at the new address could be answered before an earlier call of the
        same key at the old one."""
        if address == self.address:
            return
        log.info("address changed from %s:%d to %s:%d", *self.address, *address)
        self.address = address
        if self.connect_task:
            self.connect_task.cancel()
            self.connect_task = None
        for connection in [*self.abandoned, *([self.connection] if self.connection else [])]:
            connection.drop("the address of the counter has changed")
        self.connect()

    def connect(self) -> None:
        if self.connect_task is None:
            self.connect_task = self.loop.create_task(self.open_connection())

    async def open_connection(self) -> None:
        connection = CounterConnection(self)
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError) as error:
            log.warning("cannot connect: %s", error or "timed out")
            self.connect_task = None
            while self.queued:
                self.end_call(self.queued.popleft(), Outcome.CONNECT_FAILED)
            return
        self.connect_task, self.connection = None, connection
        while self.queued:
            connection.send(self.queued.popleft())

    def end_call(self, call: Call, outcome: Outcome, total: float = 0.0) -> None:
        """Report the end of a call.

        A timed-out call keeps its place in the connection's queue until its answer arrives; otherwise its
        late answer would be taken for that of the next call."""
        if call.timer:
            call.timer.cancel()
            call.timer = None
            self.on_end(call, outcome, total)
        elif outcome in (Outcome.OK, Outcome.FULL):
            self.on_end(call, outcome, total)  # late

    def time_out(self, call: Call) -> None:
        """End a call that was not answered in time; one that was never sent was certainly not added."""
        unsent = call in self.queued
        if unsent:
            self.queued.remove(call)
        elif self.connection and self.connection.reader.has_unparsed_data():
            # An answer has stopped half-way: every call behind it would wait for its full time-out.
            return self.connection.drop("incomplete answer")
        self.end_call(call, Outcome.CONNECT_FAILED if unsent else Outcome.TIMEOUT)
        self.check_stall()

    def close(self) -> None:
        if self.connect_task:
            self.connect_task.cancel()
        for connection in [*self.abandoned, *([self.connection] if self.connection else [])]:
            connection.transport.abort()


def parse_total(message: resp_reader.Message) -> tuple[Outcome, float]:
    """Return OK and the total, or FULL if nothing was added.

    Raises StreamError for any other answer: the call may have been added."""
    if (
        isinstance(message, resp_reader.SimpleElement)
        and message.kind == b"-"
        and message.text.split(b" ")[0] in (b"BUSY", b"ERR")
    ):
        return Outcome.FULL, 0.0
    try:
        total = float(message) if isinstance(message, bytes) else math.nan
    except ValueError:
        total = math.nan
    if not math.isfinite(total):
        raise resp_reader.StreamError("an unexpected answer")
    return Outcome.OK, total
