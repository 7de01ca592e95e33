"""The counter: pipelined calls, each with exactly one end in time, and perhaps a late answer after it.

One connection is in service. One that owes an answer and says nothing for as long as a call may wait is
left: new calls go out on a new one, and the old one stays open for a while, since a late answer still tells
whether its call was added. If the new one is no better, the counter itself is slow or silent, and each
further change waits twice as long."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable
from typing import cast

from aniseshed.interface import Outcome
from hookport import resp
from hookport.config import Address

log = logging.getLogger("hookport.counter")

LONGEST_TOTAL = 64  # bytes
STUCK_WAITS = 1.0  # time-outs for which a connection may owe an answer and say nothing before it is left
STUCK_S = 1.0  # what that grows to while no new connection brings an answer: the counter itself is silent
TICK_S = 0.002  # the loop's timers and its clock agree to two ticks of a millisecond
LATE_S = 2.0  # for which a connection that was left may still bring late answers
MOST_LEFT = 3  # such connections: the counter holds 32 of a limiter


class Call:
    __slots__ = ("name", "number", "sent_s", "timer", "words")

    def __init__(self, name: int, number: int, words: bytes, sent_s: float) -> None:
        self.name, self.number, self.words, self.sent_s = name, number, words, sent_s
        self.timer: asyncio.TimerHandle | None = None  # None once the call has ended


class Line(asyncio.Protocol):
    """One connection and the calls that are out on it, also those past their time-out."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.out: deque[Call] = deque()
        self.heard_s = 0.0  # when an answer came last
        self.reader = resp.Reader(0, LONGEST_TOTAL)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # writes go out at once

    def write(self, call: Call) -> None:
        self.out.append(call)
        self.transport.write(call.words)

    def data_received(self, data: bytes) -> None:
        self.heard_s = self.counter.loop.time()
        if self.counter.line is self:
            self.counter.stuck_s = self.counter.least_stuck_s
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                outcome, total = read(reply)
                if not self.out:
                    return self.drop("an answer to no call")
                self.counter.end(self.out.popleft(), outcome, total)
        except resp.StreamError as error:
            return self.drop(str(error))
        if not self.out and self.counter.line is not self:
            self.transport.close()  # all that it owed has come

    def drop(self, why: str) -> None:
        log.warning("closing the connection: %s", why)
        self.transport.abort()
        self.connection_lost(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """What was out may have been added."""
        if self.counter.line is self:
            self.counter.line = None
        if self in self.counter.left:
            self.counter.left.remove(self)
        while self.out:
            self.counter.end(self.out.popleft(), Outcome.TIMEOUT)


class Counter:
    """Calls to the counter; each is reported once, in the order in which they were made."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        timeout_s: float,
        connect_timeout_s: float,
        ended: Callable[[Call, Outcome, float], None],
    ) -> None:
        self.loop, self.address, self.ended = loop, address, ended
        self.timeout_s, self.connect_timeout_s = timeout_s, connect_timeout_s
        self.line: Line | None = None
        self.left: list[Line] = []  # connections that may still bring late answers
        self.opening: asyncio.Task[None] | None = None
        self.waiting: deque[Call] = deque()  # for a connection
        self.least_stuck_s = self.stuck_s = min(STUCK_S, STUCK_WAITS * timeout_s)

    def call(self, name: int, amount: float, lifetime_ns: int, number: int = 0) -> None:
        life_ms = max(1, -(-lifetime_ns // 1_000_000))
        words = resp.encode_command((b"INCRTTL", b"%d" % name, f"{amount:.9f}".encode(), b"%d" % life_ms))
        call = Call(name, number, words, self.loop.time())
        call.timer = self.loop.call_later(self.timeout_s, self.give_up, call)
        self.check()
        line = self.line
        if line and not line.transport.is_closing():
            line.write(call)
        else:
            self.waiting.append(call)
            self.connect()

    def check(self) -> None:
        """Guards against waiting on a connection whose other end has vanished without a word."""
        if (line := self.line) and line.out:
            silent_s = self.loop.time() - max(line.heard_s, line.out[0].sent_s)
            if silent_s >= self.stuck_s - TICK_S:
                self.stuck_s = min(STUCK_S, 2 * self.stuck_s)
                self.leave(line)

    def leave(self, line: Line) -> None:
        """New calls go out on a new connection; what this one still owes may come late."""
        log.info("leaving a connection that owes %d answers", len(line.out))
        self.line = None
        self.left.append(line)
        self.loop.call_later(LATE_S, self.drop_left, line)
        if len(self.left) > MOST_LEFT:
            self.drop_left(self.left[0])
        self.connect()

    def drop_left(self, line: Line) -> None:
        if line in self.left:
            line.drop("no late answer either")

    def move(self, address: Address) -> None:
        """A new configuration: what is out ends now, as it may have been added at the old address.

        Guards against answers out of turn: were it waited for, calls of one name could be answered at the
        new address before those at the old one."""
        if address == self.address:
            return
        log.info("moving from %s:%d to %s:%d", *self.address, *address)
        self.address = address
        if self.opening:
            self.opening.cancel()
            self.opening = None
        for line in [*self.left, *([self.line] if self.line else [])]:
            line.drop("the counter has moved")
        self.connect()

    def connect(self) -> None:
        if self.opening is None:
            self.opening = self.loop.create_task(self.open())

    async def open(self) -> None:
        line = Line(self)
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: line, *self.address)
        except (OSError, TimeoutError) as error:
            log.warning("no connection: %s", error or "timed out")
            self.opening = None
            while self.waiting:
                self.end(self.waiting.popleft(), Outcome.CONNECT_FAILED)
            return
        self.opening, self.line = None, line
        while self.waiting:
            line.write(self.waiting.popleft())

    def end(self, call: Call, outcome: Outcome, total: float = 0.0) -> None:
        """Guards against a late answer being given to another caller: an ended call takes its own."""
        if call.timer:
            call.timer.cancel()
            call.timer = None
            self.ended(call, outcome, total)
        elif outcome in (Outcome.OK, Outcome.FULL):
            self.ended(call, outcome, total)  # late

    def give_up(self, call: Call) -> None:
        """Unanswered in time: what never reached a connection was not added."""
        unsent = call in self.waiting
        if unsent:
            self.waiting.remove(call)
        elif self.line and self.line.reader.has_unparsed_data():
            # Guards against waiting out one call after another behind an answer that never comes to its end.
            return self.line.drop("half an answer")
        self.end(call, Outcome.CONNECT_FAILED if unsent else Outcome.TIMEOUT)
        self.check()

    def close(self) -> None:
        if self.opening:
            self.opening.cancel()
        for line in [*self.left, *([self.line] if self.line else [])]:
            line.transport.abort()


def read(reply: resp.Message) -> tuple[Outcome, float]:
    """A total, or that nothing was added; after anything else it may have been."""
    if (
        isinstance(reply, resp.SimpleElement)
        and reply.kind == b"-"
        and reply.text.split(b" ")[0] in (b"BUSY", b"ERR")
    ):
        return Outcome.FULL, 0.0
    try:
        total = float(reply) if isinstance(reply, bytes) else math.nan
    except ValueError:
        total = math.nan
    if not math.isfinite(total):
        raise resp.StreamError("an answer of no known form")
    return Outcome.OK, total
