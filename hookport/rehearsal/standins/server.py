"""A simulated desk server: cores, a bounded queue, slow start after a restart, overload, recorded effects.

It opens one listener per limiter, so that the history shows which limiter sent an attempt. Work is simulated
with timers and uses no CPU: a limiter sees only when replies arrive and which ones are lost.
"""

from __future__ import annotations

import asyncio
import functools
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal, cast

import hiredis

from hookport.rehearsal.runtime import Environment, OrderedReplies, RowWriter, listen

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a zero timeout: close() sends a TCP reset
# Tolerated work above the overload budget, in jobs of mean length, because arrivals are random.
OVERLOAD_SLACK_JOBS = 4.0
EventHook = Callable[[str, "Server", "Job"], None]


@dataclass(frozen=True)
class Model:
    """Capacity and limits of a server. Work is measured in seconds of one core of speed 1."""

    cores: int = 2
    speed: float = 1.0
    queue_capacity: int = 24
    cold_capacity_share: float = 0.25
    warm_up_s: float = 8.0
    overload_multiple: float = 3.0
    overload_window_s: float = 1.5
    cancel: Literal["none", "queued", "all"] = "queued"
    max_connections: int = 400
    idle_timeout_s: float = 30.0
    error_share: float = 0.0
    mean_work_s: float = 0.05

    def capacity(self, age_s: float) -> float:
        """Return the work done per second ``age_s`` after a cold start; it grows linearly to full speed."""
        warm = min(
            1.0, self.cold_capacity_share + (1 - self.cold_capacity_share) * max(0.0, age_s) / self.warm_up_s
        )
        return self.cores * self.speed * warm


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """What the plan defines for a request: its work, whether it has side effects, whether it fails."""

    work_s: float
    unsafe: bool
    fails: bool


class Job:
    """One attempt that a server has accepted, from arrival to reply."""

    __slots__ = ("attempt_id", "connection", "id", "limiter", "slot", "state", "timer", "spec")

    def __init__(
        self, attempt_id: int, id: str, spec: RequestSpec, connection: Connection, slot: list[bytes | None]
    ):
        self.attempt_id, self.id, self.spec = attempt_id, id, spec
        self.connection, self.slot, self.limiter = connection, slot, connection.limiter
        self.state: Literal["waiting", "running", "over"] = "waiting"
        self.timer: asyncio.TimerHandle | None = None


class Connection(asyncio.Protocol):
    """A connection from a limiter."""

    def __init__(self, server: Server, limiter: int) -> None:
        self.server, self.limiter = server, limiter
        self.parser = hiredis.Reader()
        self.first_byte_ns = 0
        self.partial = False
        self.jobs: dict[Job, None] = {}  # in order of arrival
        self.last_used_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.slots = OrderedReplies(self.transport.write)
        self.server.accept(self)

    def data_received(self, data: bytes) -> None:
        now_ns = Environment.clock_ns()
        if not self.partial:
            self.first_byte_ns = now_ns
        self.parser.feed(data)
        try:
            while (arguments := self.parser.gets()) is not False:
                first_byte_ns, self.first_byte_ns = self.first_byte_ns, now_ns
                self.server.handle_command(self, arguments, first_byte_ns, now_ns)
        except hiredis.ProtocolError as error:
            self.server.record_syntax_error(self, str(error))
            return self.transport.close()
        self.partial = self.parser.has_data()

    def reset(self) -> None:
        """Close with a TCP reset, as when the process at this end dies."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.on_connection_lost(self)


class Server:
    """A desk server that can be killed, slowed down, drained and restarted."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        index: int,
        model: Model,
        look_up: Callable[[str], RequestSpec | None],
        write_row: RowWriter,
        hook: EventHook | None = None,
    ) -> None:
        self.loop, self.index, self.model = loop, index, model
        self.look_up, self.write_row, self.hook = look_up, write_row, hook
        self.id, self.incarnation = "", 0
        self.ports: list[int] = []
        self.listeners: list[asyncio.Server] = []
        self.connections: dict[Connection, None] = {}  # in order of arrival
        self.queue: deque[Job] = deque()
        self.running: dict[Job, None] = {}  # in order of arrival
        self.recent_work: deque[tuple[float, float]] = deque()  # overload window: arrival time, work
        self.recent_work_s = 0.0
        self.up, self.cold, self.draining = False, False, False
        self.slowness = 1.0
        self.started_s, self.started_ms, self.attempt_count, self.served = 0.0, 0, 0, 0

    async def start(self, id: str, limiters: int, cold: bool = False) -> None:
        """Start listening, on the ports of the previous start if there was one."""
        self.id, self.incarnation = id, self.incarnation + 1
        old, self.ports = self.ports, []
        for limiter in range(limiters):
            factory = functools.partial(Connection, self, limiter)
            listener, port = await listen(self.loop, factory, old[limiter] if old else 0)
            self.listeners.append(listener)
            self.ports.append(port)
        self.up, self.cold, self.draining = True, cold, False
        started_ns = Environment.clock_ns()
        self.started_s = started_ns / 1e9
        self.started_ms = Environment.unix_ns() // 1_000_000 if cold else 0
        self.recent_work.clear()
        self.recent_work_s = 0.0
        self.write_row({"e": "up", "t": started_ns, "s": id, "i": self.index, "born": self.started_ms,
                        "cores": self.model.cores, "speed": self.model.speed, "cold": cold})  # fmt: skip

    def stop(self, why: str) -> None:
        """Stop like a killed process: reset all connections, drop all jobs, refuse new connections."""
        if not self.up:
            return
        self.up = False
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()
        for job in (*self.running, *self.queue):
            if job.timer:
                job.timer.cancel()
            job.state = "over"
        self.running.clear()
        self.queue.clear()
        for connection in list(self.connections):
            connection.reset()
        self.write_row({"e": "down", "t": Environment.clock_ns(), "s": self.id, "i": self.index, "why": why})

    # Connections

    def accept(self, connection: Connection) -> None:
        if not self.up or len(self.connections) >= self.model.max_connections:
            return connection.reset()
        self.connections[connection] = None
        connection.last_used_s = self.loop.time()
        self.loop.call_later(self.model.idle_timeout_s, self.close_if_idle, connection)

    def close_if_idle(self, connection: Connection) -> None:
        if connection not in self.connections:
            return
        idle_s = self.loop.time() - connection.last_used_s
        if idle_s >= self.model.idle_timeout_s and not connection.jobs:
            connection.transport.close()
        else:
            self.loop.call_later(max(0.1, self.model.idle_timeout_s - idle_s), self.close_if_idle, connection)

    def on_connection_lost(self, connection: Connection) -> None:
        """Cancel the jobs of a closed connection as far as ``Model.cancel`` says."""
        self.connections.pop(connection, None)
        for job in list(connection.jobs):
            is_cancelled = job.state == "waiting" and self.model.cancel != "none"
            if is_cancelled or (job.state == "running" and self.model.cancel == "all"):
                if job.state == "waiting":
                    self.queue.remove(job)
                elif job.timer:
                    job.timer.cancel()
                    self.running.pop(job, None)
                job.state = "over"
        connection.jobs.clear()
        if self.up:
            self.start_jobs()

    # Commands

    def record_syntax_error(self, connection: Connection, why: str) -> None:
        self.write_row({"e": "syntax", "t": Environment.clock_ns(), "l": connection.limiter, "s": self.id,
                        "why": why[:120]})  # fmt: skip

    def handle_command(self, connection: Connection, arguments: Any, first_byte_ns: int, now_ns: int) -> None:
        connection.last_used_s = self.loop.time()
        slot = connection.slots.reserve()
        command = (
            arguments[0].upper()
            if isinstance(arguments, list) and arguments and isinstance(arguments[0], bytes)
            else b""
        )
        if command in (b"SVC.QUERY", b"SVC.SUBMIT"):
            return self.handle_attempt(connection, arguments, slot, first_byte_ns, now_ns)
        replies = {
            b"PING": b"+PONG\r\n",
            b"CLIENT": b"+OK\r\n",
            b"SELECT": b"+OK\r\n",
            b"INFO": b"-NOPERM\r\n",
        }
        connection.slots.complete(slot, replies.get(command, b"-ERR unknown command\r\n"))

    def handle_attempt(
        self,
        connection: Connection,
        arguments: list[bytes],
        slot: list[bytes | None],
        first_byte_ns: int,
        now_ns: int,
    ) -> None:
        submit = arguments[0].upper() == b"SVC.SUBMIT"
        spec = self.look_up(arguments[2].decode("ascii", "replace")) if len(arguments) == 4 + submit else None
        if spec is None or spec.unsafe != submit or b"d=" not in arguments[3]:
            self.record_syntax_error(connection, repr(arguments)[:100])
            return connection.slots.complete(slot, b"-SYNTAX\r\n")
        self.attempt_count += 1
        attempt_id = (self.index << 40) | (self.incarnation << 32) | self.attempt_count
        job = Job(attempt_id, arguments[2].decode(), spec, connection, slot)
        self.write_row({"e": "arrive", "t": now_ns, "f": first_byte_ns, "id": job.id, "s": self.id,
                        "l": connection.limiter, "w": round(spec.work_s * 1000, 3),
                        "a": attempt_id})  # fmt: skip
        if spec.unsafe and self.hook:
            self.hook("claim-received", self, job)
        if not self.up or self.overloads(spec.work_s, now_ns):
            return
        is_full = len(self.running) >= self.model.cores and len(self.queue) >= self.model.queue_capacity
        if is_full or self.draining:
            self.write_row({"e": "turned", "t": Environment.clock_ns(), "id": job.id, "a": attempt_id})
            return connection.slots.complete(slot, b"-BUSY\r\n")
        connection.jobs[job] = None
        self.queue.append(job)
        self.start_jobs()

    def overloads(self, work_s: float, now_ns: int) -> bool:
        """Add work to the overload window; stop a cold server permanently if the window exceeds its budget.

        Uses the timestamps written to the history, so that the referee computes the same sums."""
        now_s = now_ns / 1e9
        if not self.cold or now_s - self.started_s >= self.model.warm_up_s:
            return False
        self.recent_work.append((now_s, work_s))
        self.recent_work_s += work_s
        while self.recent_work[0][0] < now_s - self.model.overload_window_s:
            self.recent_work_s -= self.recent_work.popleft()[1]
        budget_s = (
            self.model.overload_multiple
            * self.model.capacity(now_s - self.started_s)
            * self.model.overload_window_s
        )
        if self.recent_work_s <= budget_s + OVERLOAD_SLACK_JOBS * self.model.mean_work_s:
            return False
        self.write_row({"e": "fell", "t": Environment.clock_ns(), "s": self.id})
        self.stop("fell over")
        return True

    # Work

    def start_jobs(self) -> None:
        while self.queue and len(self.running) < self.model.cores:
            job = self.queue.popleft()
            job.state = "running"
            self.running[job] = None
            age_s = Environment.clock_ns() / 1e9 - self.started_s if self.cold else self.model.warm_up_s
            speed = self.model.capacity(age_s) / self.model.cores
            job.timer = self.loop.call_later(job.spec.work_s * self.slowness / speed, self.finish_job, job)
            if job.spec.unsafe and self.hook:
                self.hook("claim-begun", self, job)
                if not self.up:
                    return

    def finish_job(self, job: Job) -> None:
        self.running.pop(job, None)
        job.state = "over"
        job.connection.jobs.pop(job, None)
        if job.spec.unsafe:
            self.write_row(
                {"e": "effect", "t": Environment.clock_ns(), "id": job.id, "s": self.id, "a": job.attempt_id}
            )
            if self.hook:
                self.hook("claim-effect", self, job)
        if self.up:
            self.send_reply(job)
            self.start_jobs()

    def send_reply(self, job: Job) -> None:
        if job.connection not in self.connections:
            return
        if job.spec.fails:
            return job.connection.slots.complete(job.slot, b"-ERR failed\r\n")
        value = f"{self.id}/{job.id}/{job.attempt_id & 0xFFFFFFFF}"
        self.write_row(
            {"e": "reply", "t": Environment.clock_ns(), "id": job.id, "v": value, "a": job.attempt_id}
        )
        self.served += 1
        text = value.encode()
        job.connection.slots.complete(job.slot, b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(text), text))
