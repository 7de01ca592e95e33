"""Servers: their addresses, warm connections, attempts and how those ended."""

from __future__ import annotations

import asyncio
import logging
import re
import select
from collections.abc import Callable
from typing import cast

from aniseshed.interface import Outcome
from hookport import resp
from hookport.config import Address

Place = tuple[Address, int]  # where a server is, and since when it runs there

log = logging.getLogger("hookport.servers")

IDLE_PART = 0.5  # of the time for which a server keeps an idle connection: ours are closed well before
REST_S = 0.005  # after an answer, for what may come behind it, before its connection is used again
STALL_S = 0.25  # for more of an answer that has begun
ELEMENTS = 3  # of an answer: the value, figures on use, a load report
POLL = select.poll()  # one thread, one socket at a time
REPORT = re.compile(rb"(|[a-z_]+=[0-9.eE+-]+(,[a-z_]+=[0-9.eE+-]+)*)").fullmatch


class Attempt:
    """One command on its way to a server; ``link`` is None until it has a connection."""

    __slots__ = ("link", "number", "opening", "payload", "request_id", "sent_ns", "server", "until")

    def __init__(self, request_id: int, number: int, server: bytes, payload: bytes, sent_ns: int) -> None:
        self.request_id, self.number, self.server = request_id, number, server
        self.payload, self.sent_ns = payload, sent_ns
        self.link: Link | None = None
        self.opening: asyncio.Task[None] | None = None
        self.until: asyncio.TimerHandle | None = None


class Link(asyncio.Protocol):
    """A connection to a server; it carries one attempt at a time."""

    def __init__(self, servers: Servers, server: bytes, place: Place) -> None:
        self.servers, self.server, self.place = servers, server, place
        self.attempt: Attempt | None = None
        self.reader = resp.Reader(ELEMENTS, resp.MAX_SERVER_VALUE_BYTES)
        self.stall: asyncio.TimerHandle | None = None
        self.heard_s = 0.0  # when a part of an answer came last
        self.written = False  # whether the attempt's last byte has gone to the network
        self.idle_s = 0.0  # since when it is idle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of zero a write goes out at once, and what could not go out is told by pause_writing.
        self.transport.set_write_buffer_limits(high=0)

    def start(self, attempt: Attempt) -> None:
        self.attempt, attempt.link = attempt, self
        self.transport.write(attempt.payload)
        # Guards against taking a buffered or failed write for a sent one: such an attempt never ran.
        self.written = not self.transport.is_closing() and self.transport.get_write_buffer_size() == 0

    def resume_writing(self) -> None:
        self.written = not self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            log.warning("%s sent %d bytes unasked", self.server.decode(), len(data))
            return self.transport.abort()
        try:
            self.reader.feed(data)
            if (reply := self.reader.gets()) is False:
                self.heard_s = self.servers.loop.time()
                if self.stall is None:
                    self.stall = self.servers.loop.call_later(STALL_S, self.stalled)
                return
            outcome, value = read(reply)
        except resp.StreamError as error:
            return self.garbage(str(error))
        attempt, self.attempt = self.attempt, None
        self.calm()
        if self.reader.has_unparsed_data() or not self.written:
            log.warning("%s sent more than an answer", self.server.decode())
            self.transport.abort()
        else:
            self.servers.rest(self)
        self.servers.finish(attempt, outcome, value)

    def garbage(self, why: str) -> None:
        """Guards against an answer that cannot be read: the attempt may have run, the connection is lost."""
        log.warning("%s: %s", self.server.decode(), why)
        self.transport.abort()

    def stalled(self) -> None:
        """Guards against an answer that stops short holding its request until there is no time left."""
        wait_s = self.heard_s + STALL_S - self.servers.loop.time()
        if wait_s > 0:
            self.stall = self.servers.loop.call_later(wait_s, self.stalled)
        else:
            self.garbage("half an answer")

    def calm(self) -> None:
        if self.stall:
            self.stall.cancel()
            self.stall = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.calm()
        self.servers.lost(self)
        if attempt := self.attempt:
            self.attempt = None
            self.servers.finish(attempt, Outcome.RESET if self.written else Outcome.CONNECT_FAILED, b"")


def read(reply: resp.Message) -> tuple[Outcome, bytes]:
    """What an answer tells; only one that is just as agreed says that nothing ran."""
    if isinstance(reply, list) and len(reply) == ELEMENTS and isinstance(reply[0], bytes):
        return Outcome.OK, reply[0]  # what cannot be read of use and load harms no value
    if isinstance(reply, resp.SimpleElement) and reply.kind == b"-":
        word, _, rest = reply.text.partition(b" ")
        if word == b"BUSY" and REPORT(rest):
            return Outcome.FULL, b""
        if word == b"ERR":
            return Outcome.ERROR, b""
    raise resp.StreamError("an answer of no known form")


def unread(transport: asyncio.Transport) -> bool:
    """Whether a socket has something to read, or its other end has closed."""
    number = transport.get_extra_info("socket").fileno()
    POLL.register(number, select.POLLIN)
    told = POLL.poll(0)
    POLL.unregister(number)
    return bool(told)


class Servers:
    """The pool of connections; it reports each attempt's one end."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ended: Callable[[Attempt, Outcome, bytes], None],
        connect_timeout_s: float,
        idle_s: float,
        most: int,
        unread: Callable[[asyncio.Transport], bool],
    ) -> None:
        self.loop, self.ended, self.most, self.unread = loop, ended, most, unread
        self.connect_timeout_s, self.idle_s = connect_timeout_s, idle_s * IDLE_PART
        self.places: dict[bytes, Place] = {}
        self.draining: set[bytes] = set()
        self.links: dict[Link, None] = {}
        self.idle: dict[bytes, list[Link]] = {}  # warmest last
        self.opening: dict[Attempt, None] = {}
        self.sweeper: asyncio.TimerHandle | None = None
        self.probes: set[asyncio.Task[bool]] = set()

    def learn(self, server: bytes, address: Address, born_ns: int) -> None:
        """Guards against a request on a connection to where, or to what, the server was before."""
        place = address, born_ns
        if self.places.get(server) != place:
            self.cool(server)
        self.places[server] = place
        self.draining.discard(server)

    def remove_server(self, server: bytes) -> None:
        self.places.pop(server, None)
        self.stop_sending(server)
        self.draining.discard(server)

    def cool(self, server: bytes) -> None:
        """Close the warm connections."""
        for link in self.idle.pop(server, ()):
            link.transport.abort()

    def stop_sending(self, server: bytes) -> None:
        """Guards against a late connection carrying a new attempt to a server that drains or is gone."""
        self.draining.add(server)
        self.cool(server)
        for attempt in [a for a in self.opening if a.server == server]:
            self.give_up(attempt, Outcome.CONNECT_FAILED)

    def send(self, attempt: Attempt) -> None:
        if link := self.warm(attempt.server):
            return link.start(attempt)
        place = self.places.get(attempt.server)
        if place is None or not self.room():
            return self.finish(attempt, Outcome.CONNECT_FAILED, b"")
        self.opening[attempt] = None
        attempt.opening = self.loop.create_task(self.open(attempt, place))

    def warm(self, server: bytes) -> Link | None:
        """The connection that rested last but has rested for long enough, and said nothing since."""
        idle, now_s = self.idle.get(server, []), self.loop.time()
        for at in range(len(idle) - 1, -1, -1):
            link = idle[at]
            if link.idle_s + REST_S > now_s:
                continue
            del idle[at]
            fresh = link.idle_s + self.idle_s > now_s and not link.transport.is_closing()
            if fresh and not self.unread(link.transport):
                return link  # nothing lies behind its answer that the next one would be taken for
            link.transport.abort()
        return None

    def room(self) -> bool:
        """Guards against running out of descriptors: the longest idle connection makes room."""
        if len(self.links) + len(self.opening) < self.most:
            return True
        coldest = min((i[0] for i in self.idle.values() if i), key=lambda link: link.idle_s, default=None)
        if coldest:
            self.idle[coldest.server].remove(coldest)
            coldest.transport.abort()
        return coldest is not None

    def probe(self, server: bytes, ended: Callable[[bool], None]) -> None:
        """Ask a server for a PONG on a connection of its own; ``ended`` is told once whether it came in
        time."""
        place = self.places.get(server)
        if place is None or not self.room():
            return ended(False)
        task = self.loop.create_task(self.look(place[0]))
        self.probes.add(task)

        def over(task: asyncio.Task[bool]) -> None:
            self.probes.discard(task)
            ended(not task.cancelled() and task.result())

        task.add_done_callback(over)

    async def look(self, address: Address) -> bool:
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

    async def open(self, attempt: Attempt, place: Place) -> None:
        link = Link(self, attempt.server, place)
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: link, *place[0])
        except (OSError, TimeoutError):
            if attempt in self.opening:
                self.give_up(attempt, Outcome.CONNECT_FAILED)
            return
        self.links[link] = None
        if attempt in self.opening:
            del self.opening[attempt]
            link.start(attempt)
        else:
            self.rest(link)

    def finish(self, attempt: Attempt, outcome: Outcome, value: bytes) -> None:
        attempt.link = None
        if attempt.until:
            attempt.until.cancel()
        self.ended(attempt, outcome, value)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """Wait no longer; what was never written whole has never run."""
        if attempt in self.opening:
            del self.opening[attempt]
            if attempt.opening:
                attempt.opening.cancel()
            never_ran = True
        elif link := attempt.link:
            link.attempt, never_ran = None, not link.written
            link.transport.abort()
        else:
            return
        if outcome is Outcome.TIMEOUT:
            # Guards against a machine that vanished without a word taking a request on each warm connection;
            # a new one shows in time that it is gone, and that nothing ran.
            self.cool(attempt.server)
            outcome = Outcome.CONNECT_FAILED if never_ran else outcome
        self.finish(attempt, outcome, b"")

    def rest(self, link: Link) -> None:
        """Keep a connection for the next attempt, unless its server has drained, gone or moved meanwhile."""
        if self.places.get(link.server) != link.place or link.server in self.draining:
            return link.transport.abort()
        link.idle_s = self.loop.time()
        self.idle.setdefault(link.server, []).append(link)
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(self.idle_s, self.sweep)

    def sweep(self) -> None:
        """Close what has been idle for long; runs only while something is idle."""
        before = self.loop.time() - self.idle_s
        for links in self.idle.values():
            while links and links[0].idle_s <= before:
                links.pop(0).transport.abort()
        self.idle = {server: links for server, links in self.idle.items() if links}
        self.sweeper = self.loop.call_later(self.idle_s / 4, self.sweep) if self.idle else None

    def lost(self, link: Link) -> None:
        self.links.pop(link, None)
        if link in (idle := self.idle.get(link.server, [])):
            idle.remove(link)

    def close(self) -> None:
        if self.sweeper:
            self.sweeper.cancel()
        for attempt in list(self.opening):
            if attempt.opening:
                attempt.opening.cancel()
        for probe in self.probes:
            probe.cancel()
        for link in list(self.links):
            link.transport.abort()
