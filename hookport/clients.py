"""Clients: the listener, answers in the order of the commands on a connection, and the shutdown."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

import hiredis

from hookport import resp
from hookport.config import Address

log = logging.getLogger("hookport.clients")

BACKLOG = 1024
MOST_PIPELINED = 64  # unanswered commands of one connection, beyond which it is not read
MOST_UNREAD = 1 << 20  # bytes of answers that a client has not read, beyond which it is dropped
STILL_COMING_S = 0.5  # after SIGTERM new connections come for 0.4 s


class Answer:
    """The place of one command's answer among those of its connection."""

    __slots__ = ("connection", "gone", "reply")

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.reply: bytes | None = None
        self.gone: Callable[[], None] | None = None  # called when the client has gone away

    def give(self, reply: bytes) -> None:
        self.reply, self.gone = reply, None
        self.connection.flush()


class Connection(asyncio.Protocol):
    """One client connection, which carries requests of many customers."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.reader = hiredis.Reader()
        self.unparsed = 0
        self.answers: deque[Answer] = deque()
        self.stopped_reading = False
        self.write_paused = False
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.clients.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        self.clients.forget(self)
        for answer in self.answers:
            if answer.gone:
                answer.gone()
        self.answers.clear()

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return
        try:
            self.reader.feed(data)
            self.unparsed += len(data)
            while (message := self.reader.gets()) is not False:
                self.unparsed = len(data)
                self.command(message)
            if not self.reader.has_data():
                self.unparsed = 0
        except resp.BROKEN as error:
            return self.break_off(f"no RESP: {error}")
        if self.unparsed > resp.LARGEST_MESSAGE:
            return self.break_off("a command without end")
        self.throttle()

    def break_off(self, why: str) -> None:
        """Guards against a stream that is no RESP: what was asked before it is still answered."""
        log.warning("closing a client connection: %s", why)
        self.push(resp.error("Protocol error"))
        self.finish()

    def command(self, words: object) -> None:
        if self.ended:
            return
        if not isinstance(words, list) or not words or not isinstance(words[0], bytes):
            return self.push(resp.error("a command is an array of bulk strings"))
        verb = words[0].upper()
        if verb in (b"SVC.QUERY", b"SVC.SUBMIT"):
            answer = Answer(self)
            self.answers.append(answer)
            try:
                self.clients.take(words, answer)
            except resp.CommandError as error:
                answer.give(resp.error(str(error)))
        elif verb == b"PING":
            self.push(resp.PONG if len(words) == 1 else resp.error("wrong number of arguments"))
        elif verb in (b"CLIENT", b"SELECT"):
            self.push(resp.OK)
        else:
            self.push(resp.error("unknown command"))

    def push(self, reply: bytes) -> None:
        answer = Answer(self)
        self.answers.append(answer)
        answer.give(reply)

    def flush(self) -> None:
        """Write the answers whose turn it is."""
        answers, ready = self.answers, []
        while answers and (reply := answers[0].reply) is not None:
            answers.popleft()
            ready.append(reply)
        if not ready or self.transport.is_closing():
            return
        self.transport.write(ready[0] if len(ready) == 1 else b"".join(ready))
        if self.write_paused and self.transport.get_write_buffer_size() > MOST_UNREAD:
            log.warning("dropping a client that does not read its answers")
            return self.transport.abort()
        if not answers and (self.ended or self.clients.closing):
            self.finish()
        elif self.stopped_reading:
            self.throttle()

    def throttle(self) -> None:
        """Guards against memory filled by one client: while it is behind, it is not read."""
        stop = self.write_paused or len(self.answers) >= MOST_PIPELINED
        if stop != self.stopped_reading and not self.transport.is_closing():
            self.stopped_reading = stop
            (self.transport.pause_reading if stop else self.transport.resume_reading)()

    def pause_writing(self) -> None:
        self.write_paused = True
        self.throttle()

    def resume_writing(self) -> None:
        self.write_paused = False
        self.throttle()

    def finish(self) -> None:
        """Take nothing more; close once all that was taken is answered and written."""
        self.ended = True
        if not self.answers:
            self.transport.close()


class Clients:
    """The listener and its connections."""

    def __init__(self, take: Callable[[list[object], Answer], None], most: int) -> None:
        self.take, self.most = take, most
        self.connections: dict[Connection, None] = {}
        self.closing = False
        self.done = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Start to accept; returns the address, with the port that a zero was made into."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Connection(self), *address, family=socket.AF_INET, backlog=BACKLOG
        )
        return cast(Address, self.server.sockets[0].getsockname())

    def admit(self, connection: Connection) -> None:
        """Guards against running out of descriptors: the oldest connection between requests makes room."""
        if len(self.connections) >= self.most:
            idle = next((c for c in self.connections if not c.answers and not c.ended), connection)
            log.warning("too many client connections: closing one")
            idle.finish()
        self.connections[connection] = None

    def forget(self, connection: Connection) -> None:
        self.connections.pop(connection, None)
        if self.closing and not self.connections:
            self.done.set()

    def shut_down(self) -> None:
        """SIGTERM: connections come for a while yet; then answer what is held, and end."""
        log.info("shutting down")
        asyncio.get_running_loop().call_later(STILL_COMING_S, self.drain)

    def drain(self) -> None:
        self.closing = True
        if self.server:
            self.server.close()
        if not self.connections:
            self.done.set()
        for connection in list(self.connections):
            if not connection.answers:
                connection.finish()
