"""Connections to the servers: a pool of idle connections, attempts and their outcomes, probes."""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable
from typing import cast

from aniseshed.interface import Outcome
from hookport import resp, resp_reader
from hookport.config import Address
from hookport.socket_inspector import SocketInspector

Endpoint = tuple[Address, int]  # a server's address and start time; a restarted server is another endpoint

log = logging.getLogger("hookport.servers")

MS_NS = 1_000_000
# Share of the servers' own idle time-out after which an idle connection is closed, well before the server
# closes it.
IDLE_TIMEOUT_SHARE = 0.5
# After an answer, before the connection is reused: a server may send a second answer some milliseconds late,
# and nothing in it tells to which request it belongs.
REUSE_DELAY_S = 0.02
STALL_TIMEOUT_S = 0.25  # the longest pause within an answer
ANSWER_ELEMENTS = 3  # the value, usage figures, and a load report
LOAD_REPORT = re.compile(rb"(|[a-z_]+=[0-9.eE+-]+(,[a-z_]+=[0-9.eE+-]+)*)").fullmatch


class Attempt:
    """One command on its way to a server; ``connection`` is None until it has one.

    ``deadline_ns`` is when the limiter stops to wait for the answer. ``write_by_ns`` is the time from which
    the command must not be written any more, by default the deadline."""

    __slots__ = (
        "command", "connection", "connect_task", "deadline_ns", "deadline_timer", "number", "request_id",
        "sent_ns", "server", "write_by_ns", "write_timer",
    )  # fmt: skip

    def __init__(
        self,
        request_id: int,
        number: int,
        server: bytes,
        command: resp.Command,
        sent_ns: int,
        deadline_ns: int,
        write_by_ns: int = 0,
    ) -> None:
        self.request_id, self.number, self.server, self.command = request_id, number, server, command
        self.sent_ns, self.deadline_ns = sent_ns, deadline_ns
        self.write_by_ns = min(write_by_ns or deadline_ns, deadline_ns)
        self.connection: ServerConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None

    def encode(self, now_ns: int) -> bytes:
        """The command as it is written at that time: it says how long the limiter will wait."""
        return self.command.forward(max(1, (self.deadline_ns - now_ns) // MS_NS))

    def is_written(self) -> bool:
        """Whether the whole command was handed to the operating system."""
        return self.connection is not None and self.connection.written


class ServerConnection(asyncio.Protocol):
    """A connection to a server; it carries one attempt at a time."""

    def __init__(self, pool: Servers, server: bytes, endpoint: Endpoint) -> None:
        self.pool, self.server, self.endpoint = pool, server, endpoint
        self.attempt: Attempt | None = None
        self.reader = resp_reader.Reader(
            ANSWER_ELEMENTS, resp.MAX_SERVER_VALUE_BYTES, ANSWER_ELEMENTS * resp.MAX_SERVER_VALUE_BYTES
        )
        self.stall_timer: asyncio.TimerHandle | None = None
        self.last_data_s = 0.0  # when the latest part of an incomplete answer arrived
        self.written = False  # whether the attempt's last byte was handed to the operating system
        self.idle_since_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, write() sends at once, and pause_writing is called if anything is left over.
        self.transport.set_write_buffer_limits(high=0)

    def start(self, attempt: Attempt, now_ns: int) -> None:
        self.attempt, attempt.connection = attempt, self
        self.transport.write(attempt.encode(now_ns))
        # An attempt whose write failed or is still buffered has never been executed.
        self.written = not self.transport.is_closing() and self.transport.get_write_buffer_size() == 0

    def resume_writing(self) -> None:
        self.written = not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            log.warning("%s sent %d unexpected bytes", self.server.decode(), len(data))
            return self.transport.abort()
        try:
            self.reader.feed(data)
            if (message := self.reader.gets()) is False:
                self.last_data_s = self.pool.loop.time()
                if self.stall_timer is None:
                    self.stall_timer = self.pool.loop.call_later(STALL_TIMEOUT_S, self.check_stall)
                return
            outcome, value = parse_answer(message)
        except resp_reader.StreamError as error:
            return self.fail(str(error))
        attempt, self.attempt = self.attempt, None
        self.cancel_stall_timer()
        if self.reader.has_unparsed_data() or not self.written:
            log.warning("%s sent data beyond its answer", self.server.decode())
            self.transport.abort()
        else:
            self.pool.keep_idle(self)
        self.pool.end_attempt(attempt, outcome, value)

    def fail(self, reason: str) -> None:
        """Abort the connection after an invalid answer; its attempt may have been executed."""
        log.warning("%s: %s", self.server.decode(), reason)
        self.transport.abort()

    def check_stall(self) -> None:
        """Fail if an answer has stopped half-way, before its request runs out of time."""
        wait_s = self.last_data_s + STALL_TIMEOUT_S - self.pool.loop.time()
        if wait_s > 0:
            self.stall_timer = self.pool.loop.call_later(wait_s, self.check_stall)
        else:
            self.fail("incomplete answer")

    def cancel_stall_timer(self) -> None:
        if self.stall_timer:
            self.stall_timer.cancel()
            self.stall_timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.cancel_stall_timer()
        self.pool.remove_connection(self)
        if attempt := self.attempt:
            self.attempt = None
            self.pool.end_attempt(attempt, Outcome.RESET if self.written else Outcome.CONNECT_FAILED, b"")


def parse_answer(message: resp_reader.Message) -> tuple[Outcome, bytes]:
    """Return the outcome and the value of an answer.

    Only a well-formed BUSY error means that the request was not executed. Raises StreamError for an answer
    of any other form."""
    if isinstance(message, list) and len(message) == ANSWER_ELEMENTS and isinstance(message[0], bytes):
        return Outcome.OK, message[0]  # the value is valid even if the usage and the load report are not
    if isinstance(message, resp_reader.SimpleElement) and message.kind == b"-":
        code, _, rest = message.text.partition(b" ")
        if code == b"BUSY" and LOAD_REPORT(rest):
            return Outcome.FULL, b""
        if code == b"ERR":
            return Outcome.ERROR, b""
    raise resp_reader.StreamError("an unexpected answer")


class Servers:
    """The connection pool; it reports the end of each attempt exactly once, to ``on_end``."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_end: Callable[[Attempt, Outcome, bytes], None],
        connect_timeout_s: float,
        server_idle_timeout_s: float,
        max_connections: int,
        sockets: SocketInspector,
        now_ns: Callable[[], int],
    ) -> None:
        """``now_ns`` is the clock of the attempts' times."""
        self.loop, self.on_end, self.max_connections, self.sockets = loop, on_end, max_connections, sockets
        self.now_ns = now_ns
        self.connect_timeout_s, self.idle_timeout_s = (
            connect_timeout_s,
            server_idle_timeout_s * IDLE_TIMEOUT_SHARE,
        )
        self.endpoints: dict[bytes, Endpoint] = {}
        self.draining: set[bytes] = set()
        self.connections: dict[ServerConnection, None] = {}
        self.idle: dict[bytes, list[ServerConnection]] = {}  # by server, the most recently used last
        self.server_at: dict[Address, bytes] = {}  # the server that was last told to be at an address
        self.connecting: dict[Attempt, Endpoint] = {}
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.probe_tasks: set[asyncio.Task[bool]] = set()

    def update_server(self, server: bytes, address: Address, started_ns: int) -> None:
        """Add a server, or move it to a new endpoint, which closes the idle connections to the old one."""
        endpoint = address, started_ns
        if self.endpoints.get(server) != endpoint:
            self.close_idle(server)
            self.release_address(server)
        self.endpoints[server] = endpoint
        self.server_at[address] = server
        self.draining.discard(server)

    def remove_server(self, server: bytes) -> None:
        self.release_address(server)
        self.endpoints.pop(server, None)
        self.stop_sending(server)
        self.draining.discard(server)

    def release_address(self, server: bytes) -> None:
        """Forget that a server is at its address, unless another one has taken that."""
        endpoint = self.endpoints.get(server)
        if endpoint and self.server_at.get(endpoint[0]) == server:
            del self.server_at[endpoint[0]]

    def abort_outdated(self) -> None:
        """End the attempts whose connection comes up at an endpoint that their server has no more.

        Another process may be there, and the server itself may have moved or restarted."""
        for attempt, endpoint in list(self.connecting.items()):
            if self.endpoints.get(attempt.server) != endpoint:
                self.abort_attempt(attempt, Outcome.NOT_SENT)

    def close_idle(self, server: bytes) -> None:
        for connection in self.idle.pop(server, ()):
            connection.transport.abort()

    def stop_sending(self, server: bytes) -> None:
        """Send no more attempts to a draining or removed server, not even on connections that open late."""
        self.draining.add(server)
        self.close_idle(server)
        for attempt in [a for a in self.connecting if a.server == server]:
            self.abort_attempt(attempt, Outcome.CONNECT_FAILED)

    def send(self, attempt: Attempt) -> None:
        if connection := self.take_idle(attempt.server):
            return self.write(attempt, connection)
        endpoint = self.endpoints.get(attempt.server)
        if endpoint is None or not self.make_room():
            return self.end_attempt(attempt, Outcome.CONNECT_FAILED, b"")
        self.connecting[attempt] = endpoint
        attempt.connect_task = self.loop.create_task(self.open_connection(attempt, endpoint))

    def take_idle(self, server: bytes) -> ServerConnection | None:
        """Take the most recently used connection that is past the reuse delay and has no unread data."""
        idle, now_s = self.idle.get(server, []), self.loop.time()
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if connection.idle_since_s + REUSE_DELAY_S > now_s:
                continue
            del idle[index]
            usable = (
                connection.idle_since_s + self.idle_timeout_s > now_s
                and not connection.transport.is_closing()
            )
            if usable and not self.sockets.has_unread_data(connection.transport):
                return connection  # no unread bytes could be mistaken for the next answer
            connection.transport.abort()
        return None

    def make_room(self) -> bool:
        """Whether one more connection may be opened; closes the longest idle one at the limit.

        The limit keeps the process from running out of descriptors."""
        if len(self.connections) + len(self.connecting) < self.max_connections:
            return True
        oldest = min(
            (i[0] for i in self.idle.values() if i),
            key=lambda connection: connection.idle_since_s,
            default=None,
        )
        if oldest:
            self.idle[oldest.server].remove(oldest)
            oldest.transport.abort()
        return oldest is not None

    def probe(self, server: bytes, on_result: Callable[[bool], None]) -> None:
        """Send a PING on a new connection; ``on_result`` is called once with whether a PONG came in time."""
        endpoint = self.endpoints.get(server)
        if endpoint is None or not self.make_room():
            return on_result(False)
        task = self.loop.create_task(self.ping(endpoint[0]))
        self.probe_tasks.add(task)

        def report_result(task: asyncio.Task[bool]) -> None:
            self.probe_tasks.discard(task)
            on_result(not task.cancelled() and task.result())

        task.add_done_callback(report_result)

    async def ping(self, address: Address) -> bool:
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write(b"*1\r\n$4\r\nPING\r\n")
                    return await reader.readexactly(7) == b"+PONG\r\n"
                finally:
                    writer.transport.abort()
        except (OSError, EOFError, TimeoutError):
            return False

    async def open_connection(self, attempt: Attempt, endpoint: Endpoint) -> None:
        connection = ServerConnection(self, attempt.server, endpoint)
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: connection, *endpoint[0])
        except (OSError, TimeoutError):
            if attempt in self.connecting:
                self.abort_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        self.connections[connection] = None
        if attempt in self.connecting:
            del self.connecting[attempt]
            self.write(attempt, connection)
        else:
            self.keep_idle(connection)

    def write(self, attempt: Attempt, connection: ServerConnection) -> None:
        """Write an attempt to a connection that is up, unless that has taken too long."""
        now_ns = self.now_ns()
        if now_ns < attempt.write_by_ns:
            return connection.start(attempt, now_ns)
        self.keep_idle(connection)
        self.end_attempt(attempt, Outcome.NOT_SENT, b"")

    def abort_unwritten(self, attempt: Attempt) -> None:
        """End an attempt that was not written whole by its time."""
        if not attempt.is_written():
            self.abort_attempt(attempt, Outcome.NOT_SENT)

    def end_attempt(self, attempt: Attempt, outcome: Outcome, value: bytes) -> None:
        attempt.connection = None
        for timer in (attempt.deadline_timer, attempt.write_timer):
            if timer:
                timer.cancel()
        self.on_end(attempt, outcome, value)

    def abort_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt without its answer; one that was not fully written has never been executed."""
        endpoint: Endpoint | None
        if attempt in self.connecting:
            endpoint = self.connecting.pop(attempt)
            if attempt.connect_task:
                attempt.connect_task.cancel()
            never_executed = True
        elif connection := attempt.connection:
            connection.attempt, never_executed = None, not connection.written
            endpoint = connection.endpoint
            connection.transport.abort()
        else:
            return
        if outcome is Outcome.TIMEOUT:
            # A machine that went down without closing its connections would lose one request on each idle
            # connection; a new connection fails in time, which shows that nothing was executed.
            if self.endpoints.get(attempt.server) == endpoint:
                self.close_idle(attempt.server)
            outcome = Outcome.CONNECT_FAILED if never_executed else outcome
        self.end_attempt(attempt, outcome, b"")

    def keep_idle(self, connection: ServerConnection) -> None:
        """Keep a connection for the next attempt, unless its server drains, is gone or has moved."""
        if self.endpoints.get(connection.server) != connection.endpoint or connection.server in self.draining:
            return connection.transport.abort()
        connection.idle_since_s = self.loop.time()
        self.idle.setdefault(connection.server, []).append(connection)
        if self.sweep_timer is None:
            self.sweep_timer = self.loop.call_later(self.idle_timeout_s, self.sweep)

    def sweep(self) -> None:
        """Close connections past the idle time-out; runs only while there are idle connections."""
        idle_before_s = self.loop.time() - self.idle_timeout_s
        for connections in self.idle.values():
            while connections and connections[0].idle_since_s <= idle_before_s:
                connections.pop(0).transport.abort()
        self.idle = {server: connections for server, connections in self.idle.items() if connections}
        self.sweep_timer = self.loop.call_later(self.idle_timeout_s / 4, self.sweep) if self.idle else None

    def remove_connection(self, connection: ServerConnection) -> None:
        self.connections.pop(connection, None)
        if connection in (idle := self.idle.get(connection.server, [])):
            idle.remove(connection)

    def close(self) -> None:
        if self.sweep_timer:
            self.sweep_timer.cancel()
        for attempt in list(self.connecting):
            if attempt.connect_task:
                attempt.connect_task.cancel()
        for task in self.probe_tasks:
            task.cancel()
        for connection in list(self.connections):
            connection.transport.abort()
