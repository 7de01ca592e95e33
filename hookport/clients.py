"""Clients: the listener, answers in the order of the commands on a connection, and the shutdown."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, cast

from hookport import resp
from hookport.config import Address

if TYPE_CHECKING:
    from hookport.limits import LimitCommands, Session

log = logging.getLogger("hookport.clients")

BACKLOG = 1024
MOST_WORDS = 8  # of a command: none has more than five
MOST_PIPELINED = 64  # unanswered commands of one connection, beyond which it is not read
MOST_REFUSED = 16  # commands that cannot be used, on a connection that also brought good ones
MOST_UNREAD = 1 << 20  # bytes of answers that a client has not read, beyond which it is dropped
STILL_COMING_S = 0.5  # after SIGTERM new connections come for 0.4 s
LOOK_S = 0.25  # how often connections that have waited long enough are looked for
IDLE_PART = 0.35  # of the connections at most that stand between requests: clients need places for theirs
SETTLED_S = 0.1  # after which a connection may make room: a new one's first command comes sooner
TOLD_S = 5.0  # how often the log tells how many were closed, and why


class PendingReply:
    """The place of one command's answer among those of its connection."""

    __slots__ = ("connection", "gone", "reply")

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.reply: bytes | None = None
        self.gone: Callable[[], None] | None = None  # called when the client has gone away

    def complete(self, reply: bytes) -> None:
        self.reply, self.gone = reply, None
        self.connection.flush()


class Row:
    """Connections that wait for one thing, the longest first, and for how long they may."""

    __slots__ = ("members", "wait_s", "why")

    def __init__(self, wait_s: float, why: str) -> None:
        self.wait_s, self.why = wait_s, why
        self.members: dict[Connection, float] = {}  # and since when

    def longest(self, since_s: float) -> Connection | None:
        """The one that has waited longest, if since then at least."""
        first = next(iter(self.members), None)
        return first if first and self.members[first] <= since_s else None


class Connection(asyncio.Protocol):
    """One client connection, which carries requests of many customers."""

    __slots__ = (
        "pending_replies", "clients", "done", "ended", "parsing", "reader", "refused", "row", "session",
        "stopped_reading", "accepted_count", "transport", "write_paused",
    )  # fmt: skip

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = resp.Reader(MOST_WORDS)
        self.pending_replies: deque[PendingReply] = deque()
        self.row: Row | None = None  # of those that wait for this client
        self.session: Session | None = None  # where the front for limit commands is on
        self.stopped_reading = False
        self.write_paused = False
        self.parsing = False
        self.ended = False
        self.done, self.accepted_count, self.refused = 0, 0, 0  # commands, requests, what could not be used

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.clients.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self.clients.forget(self)
        for answer in self.pending_replies:
            if answer.gone:
                answer.gone()
        self.pending_replies.clear()

    def data_received(self, data: bytes) -> None:
        if not self.ended:
            self.reader.feed(data)
            self.parse()

    def parse(self) -> None:
        """Take the commands that are whole, as many as may be unanswered."""
        if self.parsing:
            return
        self.parsing = True
        before = self.done
        try:
            while not self.ended and len(self.pending_replies) < MOST_PIPELINED and not self.write_paused:
                if (words := self.reader.gets()) is False:
                    break
                self.done += 1
                self.command(words)
        except resp.StreamError as error:
            self.close_with_error(str(error))
        finally:
            self.parsing = False
        if not self.ended:
            self.throttle()
            self.wait(self.done > before)

    def close_with_error(self, why: str) -> None:
        """Guards against a client that cannot be understood or does not go on: one error line, then a
        close, whatever else waits on this connection, which fails at once."""
        self.clients.closed[why] += 1
        answers, self.ended = list(self.pending_replies), True
        self.send_reply(resp.error(why))
        for answer in answers:
            if gone := answer.gone:
                answer.complete(resp.error("failed: the connection is closed"))
                gone()
        self.close_when_answered()

    def command(self, words: resp.Message) -> None:
        if not isinstance(words, list) or not words or not isinstance(words[0], bytes):
            return self.reject_command("a command is an array of bulk strings")
        verb = words[0].upper()
        if verb in (b"SVC.QUERY", b"SVC.SUBMIT"):
            answer = PendingReply(self)
            self.pending_replies.append(answer)
            try:
                self.clients.take(words, answer)
                self.accepted_count += 1
            except resp.CommandError as error:
                self.pending_replies.remove(answer)
                self.reject_command(str(error))
        elif (front := self.clients.front) and front.handle_command(self, verb, words):
            pass
        elif verb == b"PING":
            self.send_reply(resp.PONG if len(words) == 1 else resp.error("wrong number of arguments"))
        elif verb in (b"CLIENT", b"SELECT"):
            self.send_reply(resp.OK)
        else:
            self.send_reply(resp.error("unknown command"))

    def reject_command(self, why: str) -> None:
        """Guards against a client that only sends what cannot be used keeping a descriptor, or the core."""
        self.refused += 1
        if not self.accepted_count or self.refused > MOST_REFUSED:
            return self.close_with_error(why)
        self.send_reply(resp.error(why))

    def send_reply(self, reply: bytes) -> None:
        answer = PendingReply(self)
        self.pending_replies.append(answer)
        answer.complete(reply)

    def flush(self) -> None:
        """Write the answers whose turn it is."""
        answers, ready = self.pending_replies, []
        while answers and (reply := answers[0].reply) is not None:
            answers.popleft()
            ready.append(reply)
        if not ready or self.transport.is_closing():
            return
        self.transport.write(ready[0] if len(ready) == 1 else b"".join(ready))
        if self.write_paused and self.transport.get_write_buffer_size() > MOST_UNREAD:
            log.warning("dropping a client that does not read its answers")
            return self.transport.abort()
        if self.ended or (self.clients.closing and not answers):
            self.close_when_answered()
        elif not self.parsing:
            if self.reader.has_unparsed_data():
                self.parse()  # what was left unread while too much was unanswered
            else:
                self.throttle()
                self.wait(False)

    def throttle(self) -> None:
        """Guards against memory filled by one client: while it is behind, it is not read."""
        stop = self.ended or self.write_paused or len(self.pending_replies) >= MOST_PIPELINED
        if stop != self.stopped_reading and not self.transport.is_closing():
            self.stopped_reading = stop
            (self.transport.pause_reading if stop else self.transport.resume_reading)()

    def pause_writing(self) -> None:
        self.write_paused = True
        self.throttle()
        self.wait(True)

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.ended:
            return self.close_when_answered()
        self.wait(True)
        self.parse()

    def wait(self, anew: bool) -> None:
        """Stand in the row of what the client is to do next, with the whole time if it did something."""
        clients, row = self.clients, None
        if self.write_paused or self.ended:
            row = clients.unread
        elif not self.done:
            row = clients.silent
        elif len(self.pending_replies) < MOST_PIPELINED and self.reader.has_unparsed_data():
            row = clients.unsaid
        elif not self.pending_replies:
            row = clients.idle if self.accepted_count else clients.greeted
        if row is not self.row or anew:
            self.leave()
            if row:
                row.members[self] = clients.loop.time()
            self.row = row
            if row is clients.idle:
                clients.trim()

    def leave(self) -> None:
        if self.row:
            self.row.members.pop(self, None)
            self.row = None

    def close_when_answered(self) -> None:
        """Take nothing more; close once all that was taken is answered and written."""
        self.ended = True
        if not self.pending_replies:
            self.transport.close()
        else:
            self.throttle()
        self.wait(False)


class Clients:
    """The listener and its connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        take: Callable[[Sequence[object], PendingReply], None],
        most: int,
    ) -> None:
        self.loop, self.take, self.most = loop, take, most
        self.connections: dict[Connection, None] = {}
        self.silent = Row(2.0, "no command in time")  # a first command
        self.unsaid = Row(2.0, "no command in time")  # the rest of one
        self.greeted = Row(3.0, "idle")  # a request, after something like PING
        self.idle = Row(15.0, "idle")  # the next request
        self.unread = Row(5.0, "answers not read")
        self.closed: Counter[str] = Counter()  # connections, by reason, since it was last told
        self.told_s = 0.0
        self.looker: asyncio.TimerHandle | None = None
        self.closing = False
        self.done = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.front: LimitCommands | None = None  # answers commands of its own, where the options switch it on

    async def listen(self, address: Address) -> Address:
        """Start to accept; returns the address, with the port that a zero was made into."""
        self.server = await self.loop.create_server(
            lambda: Connection(self), *address, family=socket.AF_INET, backlog=BACKLOG
        )
        return cast(Address, self.server.sockets[0].getsockname())

    def admit(self, connection: Connection) -> None:
        self.connections[connection] = None
        if len(self.connections) > self.most:
            self.make_room(connection)
        connection.wait(True)
        if self.looker is None:
            self.looker = self.loop.call_later(LOOK_S, self.look)

    def make_room(self, newest: Connection) -> None:
        """Guards against running out of descriptors: who never asked for anything goes first."""
        now_s = self.loop.time()
        settled_s = now_s - SETTLED_S
        for row, since_s in (
            (self.silent, settled_s), (self.greeted, settled_s), (self.idle, now_s - self.silent.wait_s),
            (self.greeted, now_s), (self.idle, settled_s),
        ):  # fmt: skip
            if victim := row.longest(since_s):
                break
        else:
            victim = newest
        self.closed["no room"] += 1
        victim.close_when_answered()

    def trim(self) -> None:
        """Guards against connections kept after one request holding the places others need for theirs."""
        crowded = len(self.idle.members) > IDLE_PART * self.most
        if crowded and (late := self.idle.longest(self.loop.time() - SETTLED_S)):
            self.closed["idle in another's place"] += 1
            late.close_when_answered()

    def look(self) -> None:
        """Guards against connections that say nothing, stop half-way or do not read: each has its time."""
        now_s = self.loop.time()
        for row in (self.silent, self.unsaid):
            while late := row.longest(now_s - row.wait_s):
                late.close_with_error(row.why)
        for row in (self.greeted, self.idle):
            while late := row.longest(now_s - row.wait_s):
                self.closed[row.why] += 1
                late.close_when_answered()
        while late := self.unread.longest(now_s - self.unread.wait_s):
            late.leave()
            self.closed[self.unread.why] += 1
            late.transport.abort()
        if self.closed and now_s - self.told_s > TOLD_S:
            log.warning("closed: %s", ", ".join(f"{n} {why}" for why, n in self.closed.most_common()))
            self.closed.clear()
            self.told_s = now_s
        self.looker = self.loop.call_later(LOOK_S, self.look) if self.connections or self.closed else None

    def forget(self, connection: Connection) -> None:
        connection.leave()
        self.connections.pop(connection, None)
        if self.closing and not self.connections:
            self.done.set()

    def shut_down(self) -> None:
        """SIGTERM: connections come for a while yet; then answer what is held, and end."""
        log.info("shutting down")
        self.loop.call_later(STILL_COMING_S, self.drain)

    def drain(self) -> None:
        self.closing = True
        if self.server:
            self.server.close()
        if not self.connections:
            self.done.set()
        for connection in list(self.connections):
            if not connection.pending_replies:
                connection.close_when_answered()

    def close(self) -> None:
        if self.looker:
            self.looker.cancel()
