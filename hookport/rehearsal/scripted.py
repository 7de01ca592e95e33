"""Scripted servers and clients for tests that run in the limiter's event loop.

Unlike the simulated systems in ``standins``, they have no behaviour of their own. A test passes a handler
that is called for each command and writes the exact bytes of the reply: ``serve``, ``reply_when_released``,
``hold_submits``, ``never_reply``, ``reset`` and ``reply_with(...)`` are the common ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import hiredis

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
TIMEOUT_S = 20.0  # for events that must happen: only a failing test waits this long

Handler = Callable[["Stub", list[bytes], asyncio.StreamWriter], Awaitable[None]]


async def within_timeout(awaitable: Awaitable[Any]) -> Any:
    return await asyncio.wait_for(awaitable, TIMEOUT_S)


async def until(condition: Callable[[], object]) -> None:
    async def poll() -> None:
        while not condition():
            await asyncio.sleep(0.005)

    await within_timeout(poll())


class Stub:
    """A RESP server that records commands and passes each to the handler, which writes the reply."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.commands: list[list[bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0
        self.release = asyncio.Event()

    async def start(self) -> Stub:
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        self.writers.append(writer)
        try:
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (arguments := parser.gets()) is not False:
                    self.commands.append(arguments)
                    await self.handler(self, arguments, writer)
        except OSError:
            pass
        finally:
            self.closed += 1
            writer.close()

    def kill(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def serve(stub: Stub, arguments: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.write(VALUE)


async def reply_when_released(stub: Stub, arguments: list[bytes], writer: asyncio.StreamWriter) -> None:
    await stub.release.wait()
    writer.write(VALUE)


async def hold_submits(stub: Stub, arguments: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Reply to SVC.SUBMIT when released, and to any other command at once."""
    if arguments[0] == b"SVC.SUBMIT":
        await stub.release.wait()
    writer.write(VALUE)


async def never_reply(stub: Stub, arguments: list[bytes], writer: asyncio.StreamWriter) -> None:
    pass


async def reset(stub: Stub, arguments: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def reply_with(text: bytes) -> Handler:
    async def reply(stub: Stub, arguments: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(text)

    return reply


class Discovery:
    """A discovery server: accepts watches and sends the lines that a test pushes to the newest one."""

    def __init__(self) -> None:
        self.requests: list[bytes] = []
        self.watches: list[asyncio.StreamWriter] = []

    async def start(self) -> Discovery:
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)

    def push(self, line: bytes) -> None:
        self.watches[-1].write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))


class Client:
    """A RESP client on an open connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, hiredis.Reader()

    def send(self, *arguments: bytes) -> None:
        self.writer.write(hiredis.pack_command(arguments))  # type: ignore[arg-type,no-untyped-call,unused-ignore]

    async def answer(self) -> Any:
        """Return the next reply; raise EOFError if the connection ends first."""
        while (reply := self.parser.gets()) is False:
            try:
                data = await within_timeout(self.reader.read(1 << 16))
            except ConnectionError:
                data = b""
            if not data:
                raise EOFError
            self.parser.feed(data)
        return reply

    async def ask(self, *arguments: bytes) -> Any:
        self.send(*arguments)
        return await self.answer()
