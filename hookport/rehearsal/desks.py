"""Worker process with the clients of the partner desks: deadlines, retries, and a load balancer in front.

The load is open: arrival times are drawn in advance and don't depend on replies. Each connection carries one
request at a time, so a reply that arrives when none is in flight is recorded as ``extra``.
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
from hookport.rehearsal.runtime import Environment, LagMonitor, WorkerPipe, run_worker

CLOSE_RACE_S = 0.1  # if a connection closes this soon after a request, the request may not have been read
MALFORMED_REPLY_TIMEOUT_S = 3.0  # a malformed request must get an error or a close within this time
IDLE_TIMEOUT_S = 8.0  # clients close connections that were unused for longer
BODY = b"x" * 64
MALFORMED_REQUESTS = (
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


class Attempt:
    """One attempt at a request; ``number`` is 0 for the first and counts the retries."""

    __slots__ = (
        "resent", "arrival", "id", "limiter", "number", "finished", "payload", "sent_s", "timer", "wait_ms",
    )  # fmt: skip

    def __init__(self, arrival: draw.Arrival, number: int, id: str, limiter: int, wait_ms: int) -> None:
        self.arrival, self.number, self.id, self.limiter, self.wait_ms = arrival, number, id, limiter, wait_ms
        self.payload = b""
        self.sent_s = 0.0
        self.resent = False  # sent again because the connection closed before it was read
        self.finished = False
        self.timer: asyncio.TimerHandle | None = None


class ClientConnection(asyncio.Protocol):
    """A connection from a client to a limiter, with at most one attempt in flight."""

    def __init__(self, desks: Desks, limiter: int) -> None:
        self.desks, self.limiter, self.incarnation = desks, limiter, desks.incarnations[limiter]
        self.parser = hiredis.Reader()
        self.current: Attempt | None = None
        self.sent_count = 0
        self.idle_since_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        try:
            while (reply := self.parser.gets()) is not False:
                current, self.current = self.current, None
                if current is None:
                    self.desks.on_unexpected_reply(self)
                else:
                    self.desks.on_reply(self, current, reply)
        except hiredis.ProtocolError:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        current, self.current = self.current, None
        self.desks.on_connection_lost(self, current)


class Desks:
    """All clients of one run and the load balancer in front of the limiters."""

    def __init__(self, plan: plans.Plan, seed: int, recorder: Recorder, ports: list[int]) -> None:
        self.plan, self.seed, self.ports = plan, seed, ports
        self.write_row = recorder.record
        self.loop = asyncio.get_running_loop()
        self.arrivals = draw.arrivals(plan, seed)
        self.next_arrival = 0
        self.incarnations = [1] * plan.limiters.count  # of each limiter: how often it was started
        self.believed_up = [True] * plan.limiters.count  # the load balancer's view of each limiter
        self.idle_connections: list[list[ClientConnection]] = [[] for _ in ports]
        self.connections: dict[ClientConnection, None] = {}  # in order of arrival
        self.open_due_ns: dict[int, int] = {}  # due time of each unfinished request, by arrival number
        self.class_names = [request_class.name.encode() for request_class in plan.classes]
        self.quota_names = [quota.name.encode() for quota in plan.plans]
        self.asked, self.served, self.refused = 0, 0, 0
        self.stopped = False
        self.tasks: set[asyncio.Task[None]] = set()

    # Arrivals

    def start(self, start_ns: int) -> None:
        self.start_ns = start_ns
        # The start time on the loop's clock.
        self.start_s = (start_ns - Environment.clock_ns()) / 1e9 + self.loop.time()
        self.start_due_requests()
        for fault in self.plan.fault:
            if isinstance(fault, plans.BadClientsFault):
                at_s = self.start_s + (fault.at_s or 0.0)
                for n in range(int(fault.for_s * fault.each_s)):
                    self.loop.call_at(at_s + n / fault.each_s, self.start_malformed_request, n)

    def start_due_requests(self) -> None:
        """Start all requests that are due and set a timer for the next one."""
        now_ns = Environment.clock_ns() - self.start_ns
        while self.next_arrival < len(self.arrivals) and not self.stopped:
            arrival = self.arrivals[self.next_arrival]
            if arrival.at_ns > now_ns:
                self.loop.call_later(max(0.0, (arrival.at_ns - now_ns) / 1e9), self.start_due_requests)
                return
            self.next_arrival += 1
            self.open_due_ns[arrival.number] = self.start_ns + arrival.at_ns
            self.asked += 1
            self.write_row({"e": "due", "t": self.start_ns + arrival.at_ns, "n": arrival.number,
                            "c": arrival.class_index, "q": arrival.quota_index, "u": arrival.units,
                            "cu": arrival.customer,
                            "late": round((now_ns - arrival.at_ns) / 1e6, 2)})  # fmt: skip
            self.start_attempt(arrival, 0)

    # Attempts

    def pick_limiter(self, arrival: draw.Arrival, number: int) -> int:
        """Choose one of the customer's limiters that is believed to be up, or any of them if none is."""
        limiters = self.plan.limiters.count
        members = [(arrival.first + n) % limiters for n in range(arrival.spread)]
        candidates = [n for n in members if self.believed_up[n]] or members
        return candidates[int(draw.uniform(self.seed, "front", arrival.number, number) * len(candidates))]

    def start_attempt(self, arrival: draw.Arrival, number: int) -> None:
        request_class = self.plan.classes[arrival.class_index]
        elapsed_ms = (Environment.clock_ns() - self.open_due_ns[arrival.number]) / 1e6
        remaining_ms = request_class.deadline_ms - elapsed_ms
        wait_ms = int(min(remaining_ms, self.plan.clients.try_share * request_class.deadline_ms))
        if wait_ms < 2 or self.stopped:
            self.open_due_ns.pop(arrival.number, None)
            return
        limiter = self.pick_limiter(arrival, number)
        id = draw.request_id(self.seed, arrival.number, number)
        attempt = Attempt(arrival, number, id, limiter, wait_ms)
        attempt.payload = self.encode(attempt)
        self.dispatch(attempt)

    def encode(self, attempt: Attempt) -> bytes:
        arrival = attempt.arrival
        unsafe = self.plan.classes[arrival.class_index].repeat != "safe"
        fields = b"c=%s,t=%s,d=%d,units=%d,spread=%d,first=%d%s" % (
            self.class_names[arrival.class_index], self.quota_names[arrival.quota_index], attempt.wait_ms,
            arrival.units, arrival.spread, arrival.first,
            b",r=1" if attempt.number and self.plan.clients.marks else b"",
        )  # fmt: skip
        command = b"SVC.SUBMIT" if unsafe else b"SVC.QUERY"
        arguments = (
            command,
            b"%016x" % arrival.customer,
            attempt.id.encode(),
            fields,
            *((BODY,) if unsafe else ()),
        )
        packed: bytes = hiredis.pack_command(arguments)  # type: ignore[no-untyped-call,unused-ignore]
        return packed

    def dispatch(self, attempt: Attempt) -> None:
        idle_connections = self.idle_connections[attempt.limiter]
        now_s = self.loop.time()
        while idle_connections and not attempt.resent:
            connection = idle_connections.pop()
            if connection.transport.is_closing():
                continue
            if now_s - connection.idle_since_s > IDLE_TIMEOUT_S:
                connection.transport.close()
                continue
            return self.send(connection, attempt)
        task = self.loop.create_task(self.connect(attempt))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, attempt: Attempt) -> None:
        connection = ClientConnection(self, attempt.limiter)
        try:
            async with asyncio.timeout(attempt.wait_ms / 1000):
                await self.loop.create_connection(
                    lambda: connection, Environment.host, self.ports[attempt.limiter]
                )
        except (OSError, TimeoutError):
            if attempt.resent:  # the first connection closed unread and a new one cannot be opened
                return self.finish_attempt(attempt, "closed")
            return self.finish_attempt(attempt, "unsent")
        self.connections[connection] = None
        self.send(connection, attempt)

    def send(self, connection: ClientConnection, attempt: Attempt) -> None:
        connection.current, connection.sent_count = attempt, connection.sent_count + 1
        dribble = self.plan.clients.dribble
        if dribble and draw.uniform(self.seed, "dribble", attempt.id) < dribble:
            third = len(attempt.payload) // 3
            for n, data in enumerate((attempt.payload[:third], attempt.payload[third : 2 * third])):
                self.loop.call_later(0.005 * n, self.write_part, connection, attempt, data, False)
            self.loop.call_later(
                0.015, self.write_part, connection, attempt, attempt.payload[2 * third :], True
            )
        else:
            self.write_part(connection, attempt, attempt.payload, True)

    def write_part(self, connection: ClientConnection, attempt: Attempt, data: bytes, last: bool) -> None:
        if connection.current is not attempt or connection.transport.is_closing():
            return
        connection.transport.write(data)
        if not last:
            return
        attempt.sent_s = self.loop.time()
        self.write_row({"e": "ask", "t": Environment.clock_ns(), "id": attempt.id,
                        "n": attempt.arrival.number, "k": attempt.number, "l": attempt.limiter,
                        "p": connection.incarnation, "d": attempt.wait_ms})  # fmt: skip
        wait_s = (attempt.wait_ms + self.plan.judge.grace_ms + 10) / 1000
        if attempt.timer:
            attempt.timer.cancel()
        attempt.timer = self.loop.call_later(wait_s, self.on_timeout, connection, attempt)

    def on_timeout(self, connection: ClientConnection, attempt: Attempt) -> None:
        connection.current = None
        self.finish_attempt(attempt, "timeout")
        connection.transport.abort()

    def on_reply(self, connection: ClientConnection, attempt: Attempt, reply: Any) -> None:
        connection.idle_since_s = self.loop.time()
        if not connection.transport.is_closing():
            self.idle_connections[connection.limiter].append(connection)
        if isinstance(reply, list) and reply:
            reply = reply[0]
        if isinstance(reply, bytes):
            return self.finish_attempt(attempt, "value", value=reply.decode("utf-8", "replace")[:200])
        text = str(reply) if isinstance(reply, hiredis.ReplyError) else ""
        code, _, retry_after = text.partition(" ")
        if code == "BUSY":
            return self.finish_attempt(
                attempt, "busy", retry_after_ms=int(retry_after) if retry_after.isdigit() else 0
            )
        self.finish_attempt(attempt, "error")

    def on_connection_lost(self, connection: ClientConnection, attempt: Attempt | None) -> None:
        self.connections.pop(connection, None)
        if connection in self.idle_connections[connection.limiter]:
            self.idle_connections[connection.limiter].remove(connection)
        if attempt is None or attempt.finished:
            return
        may_have_crossed = self.loop.time() - attempt.sent_s < CLOSE_RACE_S if attempt.sent_s else True
        same_incarnation = connection.incarnation == self.incarnations[connection.limiter]
        if attempt.timer:
            attempt.timer.cancel()
        if (
            connection.sent_count > 1
            and may_have_crossed
            and same_incarnation
            and not attempt.resent
            and not connection.parser.has_data()
        ):
            # The limiter may close an idle connection while a request is on its way: send it once more.
            attempt.resent = True
            return self.dispatch(attempt)
        self.finish_attempt(attempt, "closed" if attempt.sent_s else "unsent")

    def on_unexpected_reply(self, connection: ClientConnection) -> None:
        """Record a reply without a request, unless it is an error line and the limiter closes right after."""
        self.loop.call_later(0.05, self.record_unexpected_reply, connection)

    def record_unexpected_reply(self, connection: ClientConnection) -> None:
        if not connection.transport.is_closing():
            self.write_row({"e": "extra", "t": Environment.clock_ns(), "l": connection.limiter})
            connection.transport.abort()

    def finish_attempt(
        self, attempt: Attempt, outcome: str, value: str = "", retry_after_ms: int = 0
    ) -> None:
        """Record the outcome; retry if the request cannot have run or is safe to repeat."""
        if attempt.finished:
            return
        attempt.finished = True
        if attempt.timer:
            attempt.timer.cancel()
        arrival, clients = attempt.arrival, self.plan.clients
        row: dict[str, Any] = {"e": "ans", "t": Environment.clock_ns(), "id": attempt.id, "n": arrival.number,
                               "k": attempt.number, "how": outcome}  # fmt: skip
        if value:
            row["v"] = value
        if retry_after_ms:
            row["ms"] = retry_after_ms
        self.write_row(row)
        self.served += outcome == "value"
        self.refused += outcome == "busy"
        may_retry = outcome in ("busy", "unsent") or self.plan.classes[arrival.class_index].repeat == "safe"
        if outcome == "value" or not may_retry or attempt.number >= clients.retries:
            self.open_due_ns.pop(arrival.number, None)
            return
        jitter = draw.uniform(self.seed, "backoff", attempt.id)
        wait_s = clients.backoff_ms * 2**attempt.number * jitter / 1000
        if (
            outcome == "busy"
            and retry_after_ms
            and draw.uniform(self.seed, "honour", attempt.id) < clients.honour
        ):
            wait_s = max(wait_s, retry_after_ms / 1000)
        self.loop.call_later(wait_s, self.start_attempt, arrival, attempt.number + 1)

    # Limiter states

    def set_limiter_state(self, number: int, up: bool, incarnation: int, planned: bool) -> None:
        if up:
            self.incarnations[number] = incarnation
            self.believed_up[number] = True
            return
        low, high = self.plan.clients.notice_s
        notice_s = (
            0.0
            if planned
            else draw.uniform_between(low, high, self.seed, "front-notice", number, incarnation)
        )

        def notice() -> None:
            if self.incarnations[number] == incarnation:
                self.believed_up[number] = False

        self.loop.call_later(notice_s, notice)

    # Malformed requests

    def start_malformed_request(self, number: int) -> None:
        task = self.loop.create_task(self.send_malformed_request(number))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_malformed_request(self, number: int) -> None:
        """Send a malformed request and record whether an error line or a close follows in time."""
        limiter = number % len(self.ports)
        text = MALFORMED_REQUESTS[number % len(MALFORMED_REQUESTS)]
        try:
            reader, writer = await asyncio.open_connection(Environment.host, self.ports[limiter])
        except OSError:
            return  # the limiter is down, so no reply is due
        served, ok = False, False
        try:
            writer.write(text)
            async with asyncio.timeout(MALFORMED_REPLY_TIMEOUT_S):
                data = await reader.read(1 << 16)
            ok = not data or data.startswith(b"-")
            served = data.startswith((b"$", b"*"))
        except TimeoutError:
            pass  # recorded below as not ok
        except OSError:
            ok = True  # a reset counts as a close
        finally:
            writer.transport.abort()
        self.write_row({"e": "rude", "t": Environment.clock_ns(), "l": limiter, "ok": ok, "served": served})

    def stop(self) -> None:
        self.stopped = True
        for connection in list(self.connections):
            connection.transport.abort()


class DesksWorker:
    """Executes the orders that the orchestrator sends to this process."""

    desks: Desks
    recorder: Recorder
    lag: LagMonitor
    progress_task: asyncio.Task[None]

    async def handle_order(self, pipe: WorkerPipe, order: dict[str, Any]) -> bool:
        if order["op"] == "start":
            Environment.host = order["host"]
            plan = msgspec.convert(order["plan"], plans.Plan)
            self.recorder = Recorder(order["part"])
            self.desks = Desks(plan, order["seed"], self.recorder, order["ports"])
            self.lag = LagMonitor(self.desks.loop, "desks", self.desks.write_row)
            arrivals = self.desks.arrivals
            pipe.send_event(ev="ready", requests=len(arrivals), digest=draw.digest(arrivals))
        elif order["op"] == "go":
            self.desks.start(order["start_ns"])
            self.progress_task = asyncio.get_running_loop().create_task(
                report_progress(self.desks, pipe.send_event)
            )
        elif order["op"] == "limiter":
            self.desks.set_limiter_state(order["l"], order["up"], order["p"], order["planned"])
        elif order["op"] == "end":
            self.progress_task.cancel()
            self.lag.close()
            self.desks.stop()
            await asyncio.sleep(0.05)
            self.recorder.close()
            pipe.send_event(ev="ended")
            return False
        return True


async def report_progress(desks: Desks, send_event: Callable[..., None]) -> None:
    """Report progress twice a second, including the number of unfinished requests."""
    while True:
        await asyncio.sleep(0.5)
        send_event(ev="beat", asked=desks.asked, served=desks.served, refused=desks.refused,
                   open=len(desks.open_due_ns) + len(desks.arrivals) - desks.next_arrival)  # fmt: skip


if __name__ == "__main__":
    sys.exit(run_worker("desks", DesksWorker().handle_order))
