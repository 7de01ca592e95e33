"""The partner desks' process: clients with deadlines and retries, behind a front that deals them out.

Arrivals are drawn ahead and do not wait for answers.  Each connection carries one request at a time, so
whatever comes without one is told as ``extra``.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any, cast

import hiredis
import msgspec

from hookport.rehearsal import draw
from hookport.rehearsal import plan as plans
from hookport.rehearsal.history import Recorder
from hookport.rehearsal.loops import Lag, Orders, Place, work

CROSSING_S = 0.1  # a close sooner than this after the request may have crossed it, unread
RUDE_WAIT_S = 3.0
IDLE_S = 8.0  # for which a client keeps a connection
BODY = b"x" * 64
RUDE = (
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"*4000000000\r\n",
    b"*-7\r\n",
    b"$99999999999\r\n",
    b"\x00\xff\xfe\r\n\r\n",
    b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000001\r\n$4\r\nrude\r\n$9\r\nc=no,d=ab\r\n",
    b"*1\r\n$9\r\nSVC.QUERY\r\n",
    b"*2\r\n$9\r\nSVC.QUERY\r\n",
    b"",
    b"*4\r\n$9\r\nSVC.QUERY\r\n$500000000\r\n" + b"y" * 300_000,
    b"*1\r\n$4\r\nEVIL\r\n" * 200,
)


class Try:
    """One try of a request, on its way."""

    __slots__ = (
        "again", "arrival", "id", "limiter", "number", "over", "payload", "sent_s", "timer", "wait_ms",
    )  # fmt: skip

    def __init__(self, arrival: draw.Arrival, number: int, id: str, limiter: int, wait_ms: int) -> None:
        self.arrival, self.number, self.id, self.limiter, self.wait_ms = arrival, number, id, limiter, wait_ms
        self.payload = b""
        self.sent_s = 0.0
        self.again = False  # sent once more after a close that crossed it
        self.over = False
        self.timer: asyncio.TimerHandle | None = None


class Link(asyncio.Protocol):
    """A client's connection to a limiter."""

    def __init__(self, desks: Desks, limiter: int) -> None:
        self.desks, self.limiter, self.process = desks, limiter, desks.processes[limiter]
        self.reader = hiredis.Reader()
        self.current: Try | None = None
        self.used = 0
        self.idle_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            while (reply := self.reader.gets()) is not False:
                current, self.current = self.current, None
                if current is None:
                    self.desks.extra(self)
                else:
                    self.desks.answered(self, current, reply)
        except hiredis.ProtocolError:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        current, self.current = self.current, None
        self.desks.lost(self, current)


class Desks:
    """All clients of one evening."""

    def __init__(self, plan: plans.Plan, seed: int, recorder: Recorder, ports: list[int]) -> None:
        self.plan, self.seed, self.ports = plan, seed, ports
        self.note = recorder.record
        self.loop = asyncio.get_running_loop()
        self.arrivals = draw.arrivals(plan, seed)
        self.next = 0
        self.processes = [1] * plan.limiters.count  # which life of each limiter the clients reach
        self.believed = [True] * plan.limiters.count  # what the front believes
        self.idle: list[list[Link]] = [[] for _ in ports]
        self.links: dict[Link, None] = {}  # in the order of their coming
        self.first_ns: dict[int, int] = {}  # of open requests: when they were due
        self.classes = [kind.name.encode() for kind in plan.classes]
        self.quotas = [quota.name.encode() for quota in plan.plans]
        self.asked, self.served, self.refused = 0, 0, 0
        self.stopped = False
        self.tasks: set[asyncio.Task[None]] = set()

    # Arrivals

    def begin(self, start_ns: int) -> None:
        self.start_ns = start_ns
        # The loop's clock at the start.
        self.shift_s = (start_ns - Place.clock_ns()) / 1e9 + self.loop.time()
        self.turn()
        for fault in self.plan.fault:
            if isinstance(fault, plans.Rude):
                at_s = self.shift_s + (fault.at_s or 0.0)
                for n in range(int(fault.for_s * fault.each_s)):
                    self.loop.call_at(at_s + n / fault.each_s, self.rude, n)

    def turn(self) -> None:
        """Start all requests that are due, then wait for the next."""
        now_ns = Place.clock_ns() - self.start_ns
        while self.next < len(self.arrivals) and not self.stopped:
            arrival = self.arrivals[self.next]
            if arrival.at_ns > now_ns:
                self.loop.call_later(max(0.0, (arrival.at_ns - now_ns) / 1e9), self.turn)
                return
            self.next += 1
            self.first_ns[arrival.number] = self.start_ns + arrival.at_ns
            self.asked += 1
            self.note({"e": "due", "t": self.start_ns + arrival.at_ns, "n": arrival.number, "c": arrival.kind,
                       "q": arrival.quota, "u": arrival.units, "cu": arrival.customer,
                       "late": round((now_ns - arrival.at_ns) / 1e6, 2)})  # fmt: skip
            self.try_(arrival, 0)

    # Tries

    def pick(self, arrival: draw.Arrival, number: int) -> int:
        """The front: one of the customer's set that it believes to live, or any of the set."""
        limiters = self.plan.limiters.count
        members = [(arrival.first + n) % limiters for n in range(arrival.spread)]
        living = [n for n in members if self.believed[n]] or members
        return living[int(draw.uniform(self.seed, "front", arrival.number, number) * len(living))]

    def try_(self, arrival: draw.Arrival, number: int) -> None:
        kind = self.plan.classes[arrival.kind]
        passed_ms = (Place.clock_ns() - self.first_ns[arrival.number]) / 1e6
        left_ms = kind.deadline_ms - passed_ms
        wait_ms = int(min(left_ms, self.plan.clients.try_share * kind.deadline_ms))
        if wait_ms < 2 or self.stopped:
            self.first_ns.pop(arrival.number, None)
            return
        limiter = self.pick(arrival, number)
        id = draw.request_id(self.seed, arrival.number, number)
        one = Try(arrival, number, id, limiter, wait_ms)
        one.payload = self.words(one)
        self.place(one)

    def words(self, one: Try) -> bytes:
        arrival = one.arrival
        unsafe = self.plan.classes[arrival.kind].repeat != "safe"
        listed = b"c=%s,t=%s,d=%d,units=%d,spread=%d,first=%d%s" % (
            self.classes[arrival.kind], self.quotas[arrival.quota], one.wait_ms, arrival.units,
            arrival.spread, arrival.first, b",r=1" if one.number and self.plan.clients.marks else b"",
        )  # fmt: skip
        verb = b"SVC.SUBMIT" if unsafe else b"SVC.QUERY"
        words = (verb, b"%016x" % arrival.customer, one.id.encode(), listed, *((BODY,) if unsafe else ()))
        packed: bytes = hiredis.pack_command(words)  # type: ignore[no-untyped-call,unused-ignore]
        return packed

    def place(self, one: Try) -> None:
        idle = self.idle[one.limiter]
        now_s = self.loop.time()
        while idle and not one.again:
            link = idle.pop()
            if link.transport.is_closing():
                continue
            if now_s - link.idle_s > IDLE_S:
                link.transport.close()
                continue
            return self.send(link, one)
        task = self.loop.create_task(self.open(one))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self, one: Try) -> None:
        link = Link(self, one.limiter)
        try:
            async with asyncio.timeout(one.wait_ms / 1000):
                await self.loop.create_connection(lambda: link, Place.host, self.ports[one.limiter])
        except (OSError, TimeoutError):
            if one.again:  # what it was sent on first has closed unread, and nobody is there now
                return self.ended(one, "closed")
            return self.ended(one, "unsent")
        self.links[link] = None
        self.send(link, one)

    def send(self, link: Link, one: Try) -> None:
        link.current, link.used = one, link.used + 1
        dribble = self.plan.clients.dribble
        if dribble and draw.uniform(self.seed, "dribble", one.id) < dribble:
            third = len(one.payload) // 3
            for n, part in enumerate((one.payload[:third], one.payload[third : 2 * third])):
                self.loop.call_later(0.005 * n, self.piece, link, one, part, False)
            self.loop.call_later(0.015, self.piece, link, one, one.payload[2 * third :], True)
        else:
            self.piece(link, one, one.payload, True)

    def piece(self, link: Link, one: Try, part: bytes, last: bool) -> None:
        if link.current is not one or link.transport.is_closing():
            return
        link.transport.write(part)
        if not last:
            return
        one.sent_s = self.loop.time()
        self.note({"e": "ask", "t": Place.clock_ns(), "id": one.id, "n": one.arrival.number,
                   "k": one.number, "l": one.limiter, "p": link.process, "d": one.wait_ms})  # fmt: skip
        wait_s = (one.wait_ms + self.plan.judge.grace_ms + 10) / 1000
        if one.timer:
            one.timer.cancel()
        one.timer = self.loop.call_later(wait_s, self.late, link, one)

    def late(self, link: Link, one: Try) -> None:
        link.current = None
        self.ended(one, "timeout")
        link.transport.abort()

    def answered(self, link: Link, one: Try, reply: Any) -> None:
        link.idle_s = self.loop.time()
        if not link.transport.is_closing():
            self.idle[link.limiter].append(link)
        if isinstance(reply, list) and reply:
            reply = reply[0]
        if isinstance(reply, bytes):
            return self.ended(one, "value", value=reply.decode("utf-8", "replace")[:200])
        text = str(reply) if isinstance(reply, hiredis.ReplyError) else ""
        word, _, advice = text.partition(" ")
        if word == "BUSY":
            return self.ended(one, "busy", advice_ms=int(advice) if advice.isdigit() else 0)
        self.ended(one, "error")

    def lost(self, link: Link, one: Try | None) -> None:
        self.links.pop(link, None)
        if link in self.idle[link.limiter]:
            self.idle[link.limiter].remove(link)
        if one is None or one.over:
            return
        soon = self.loop.time() - one.sent_s < CROSSING_S if one.sent_s else True
        same = link.process == self.processes[link.limiter]
        if one.timer:
            one.timer.cancel()
        if link.used > 1 and soon and same and not one.again and not link.reader.has_data():
            one.again = True  # the limiter may close between requests; if that crosses one, it goes once more
            return self.place(one)
        self.ended(one, "closed" if one.sent_s else "unsent")

    def extra(self, link: Link) -> None:
        """A message that answers nothing; an error line ahead of a close, between requests, is none."""
        self.loop.call_later(0.05, self.judge_extra, link)

    def judge_extra(self, link: Link) -> None:
        if not link.transport.is_closing():
            self.note({"e": "extra", "t": Place.clock_ns(), "l": link.limiter})
            link.transport.abort()

    def ended(self, one: Try, how: str, value: str = "", advice_ms: int = 0) -> None:
        """The end of a try; what comes then depends on what is known of it."""
        if one.over:
            return
        one.over = True
        if one.timer:
            one.timer.cancel()
        arrival, clients = one.arrival, self.plan.clients
        row: dict[str, Any] = {"e": "ans", "t": Place.clock_ns(), "id": one.id, "n": arrival.number,
                               "k": one.number, "how": how}  # fmt: skip
        if value:
            row["v"] = value
        if advice_ms:
            row["ms"] = advice_ms
        self.note(row)
        self.served += how == "value"
        self.refused += how == "busy"
        harmless = how in ("busy", "unsent") or self.plan.classes[arrival.kind].repeat == "safe"
        if how == "value" or not harmless or one.number >= clients.retries:
            self.first_ns.pop(arrival.number, None)
            return
        chance = draw.uniform(self.seed, "backoff", one.id)
        wait_s = clients.backoff_ms * 2**one.number * chance / 1000
        if how == "busy" and advice_ms and draw.uniform(self.seed, "honour", one.id) < clients.honour:
            wait_s = max(wait_s, advice_ms / 1000)
        self.loop.call_later(wait_s, self.try_, arrival, one.number + 1)

    # What the front learns

    def limiter(self, number: int, up: bool, process: int, planned: bool) -> None:
        if up:
            self.processes[number] = process
            self.believed[number] = True
            return
        low, high = self.plan.clients.notice_s
        notice_s = 0.0 if planned else draw.between(low, high, self.seed, "front-notice", number, process)

        def notice() -> None:
            if self.processes[number] == process:
                self.believed[number] = False

        self.loop.call_later(notice_s, notice)

    # Bad clients

    def rude(self, number: int) -> None:
        task = self.loop.create_task(self.be_rude(number))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def be_rude(self, number: int) -> None:
        """Send what cannot be read; an error line or a close is owed within 3 s."""
        limiter = number % len(self.ports)
        text = RUDE[number % len(RUDE)]
        try:
            reader, writer = await asyncio.open_connection(Place.host, self.ports[limiter])
        except OSError:
            return  # a limiter that is down owes nothing
        served, ok = False, False
        try:
            writer.write(text)
            async with asyncio.timeout(RUDE_WAIT_S):
                data = await reader.read(1 << 16)
            ok = not data or data.startswith(b"-")
            served = data.startswith((b"$", b"*"))
        except TimeoutError:
            pass  # told below as not ok
        except OSError:
            ok = True  # a reset is a close
        finally:
            writer.transport.abort()
        self.note({"e": "rude", "t": Place.clock_ns(), "l": limiter, "ok": ok, "served": served})

    def stop(self) -> None:
        self.stopped = True
        for link in list(self.links):
            link.transport.abort()


class Work:
    """The orders of the orchestrator to this process."""

    desks: Desks
    recorder: Recorder
    lag: Lag
    beat: asyncio.Task[None]

    async def take(self, orders: Orders, order: dict[str, Any]) -> bool:
        if order["op"] == "start":
            Place.host = order["host"]
            plan = msgspec.convert(order["plan"], plans.Plan)
            self.recorder = Recorder(order["part"])
            self.desks = Desks(plan, order["seed"], self.recorder, order["ports"])
            self.lag = Lag(self.desks.loop, "desks", self.desks.note)
            told = self.desks.arrivals
            orders.tell(ev="ready", requests=len(told), digest=draw.digest(told))
        elif order["op"] == "go":
            self.desks.begin(order["start_ns"])
            self.beat = asyncio.get_running_loop().create_task(beat(self.desks, orders.tell))
        elif order["op"] == "limiter":
            self.desks.limiter(order["l"], order["up"], order["p"], order["planned"])
        elif order["op"] == "end":
            self.beat.cancel()
            self.lag.close()
            self.desks.stop()
            await asyncio.sleep(0.05)
            self.recorder.close()
            orders.tell(ev="ended")
            return False
        return True


async def beat(desks: Desks, tell: Callable[..., None]) -> None:
    """How far it is, twice a second, and when nothing is open any more."""
    while True:
        await asyncio.sleep(0.5)
        tell(ev="beat", asked=desks.asked, served=desks.served, refused=desks.refused,
             open=len(desks.first_ns) + len(desks.arrivals) - desks.next)  # fmt: skip


if __name__ == "__main__":
    sys.exit(work("desks", Work().take))
