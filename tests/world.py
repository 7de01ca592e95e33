"""A small world on loopback sockets for the limiter's tests: servers, counter, discovery and clients."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import hiredis

from hookport.config import Config, read
from hookport.node import Node

MS = 1_000_000
VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
PATIENCE_S = 20.0  # for what is sure to come: only a failed test waits as long

Handler = Callable[["Stub", list[bytes], asyncio.StreamWriter], Awaitable[None]]


def settings(**plan: float) -> dict[str, Any]:
    lane = {"target": 1500 * MS, "giveUp": 3000 * MS, "value": 1.0}
    tier = {"name": "team", "perSecond": 1000.0, "storeSize": 1000.0, "valueFactor": 1.0, **plan}
    return {
        "selfIndex": 0,
        "siblings": 1,
        "zones": ["a"],
        "hostTypes": ["m"],
        "discovery": "automatic",
        "lanes": [
            {**lane, "name": "lookup", "idempotency": "pure"},
            {**lane, "name": "order", "idempotency": "side_effect"},
        ],
        "tiersOfService": [tier],
        "familyInfo": {"hasCounter": True, "countLimit": 30 * MS, "largest": 4},
        "bounds": {
            "mostTries": 4,
            "openCap": 1000,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfter": 1000 * MS,
            "connectTimeout": 250 * MS,
            "connIdle": 30_000 * MS,
        },
        "rules": {"stopSendingWithin": 250 * MS, "cold": 1000 * MS, "coldFrom": 0.2, "fallMultiple": 3.0},
    }


async def soon(event: Awaitable[Any]) -> Any:
    return await asyncio.wait_for(event, PATIENCE_S)


async def until(condition: Callable[[], object]) -> None:
    async def look() -> None:
        while not condition():
            await asyncio.sleep(0.005)

    await soon(look())


class Stub:
    """A RESP listener whose answers a test decides; it remembers what it was told."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.commands: list[list[bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0
        self.release = asyncio.Event()

    async def start(self) -> Stub:
        self.server = await asyncio.start_server(self.talk, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader()
        self.writers.append(writer)
        try:
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    self.commands.append(words)
                    await self.handler(self, words, writer)
        except OSError:
            pass
        finally:
            self.closed += 1
            writer.close()

    def die(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def serve(stub: Stub, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.write(VALUE)


async def hold(stub: Stub, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    await stub.release.wait()
    writer.write(VALUE)


async def never(stub: Stub, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    pass


async def reset(stub: Stub, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def saying(text: bytes) -> Handler:
    async def say(stub: Stub, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(text)

    return say


class Discovery:
    """Answers each watch with what ``lines`` holds and then with what is pushed."""

    def __init__(self) -> None:
        self.requests: list[bytes] = []
        self.watches: list[asyncio.StreamWriter] = []

    async def start(self) -> Discovery:
        self.server = await asyncio.start_server(self.talk, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)

    def push(self, line: bytes) -> None:
        self.watches[-1].write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))


def row(name: str, port: int, state: str = "SERVING", started: int = 0) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started,
    }


def change(generation: int, *rows: dict[str, Any], whole: bool = False) -> bytes:
    return json.dumps({"generation": generation, "reset": whole, "instances": list(rows)}).encode()


class World:
    """Everything that a limiter talks to; ``node`` runs in the test's own loop."""

    def __init__(self, *handlers: Handler, count: Handler | None = None, **plan: float) -> None:
        self.stubs = [Stub(handler) for handler in handlers]
        self.counter, self.plan = Stub(count or saying(b"$1\r\n1\r\n")), plan
        self.discovery = Discovery()
        self.node: Node | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.log = b""

    async def __aenter__(self) -> World:
        for stub in (*self.stubs, self.counter):
            await stub.start()
        await self.discovery.start()
        return self

    def told(self) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "counter": f"127.0.0.1:{self.counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": json.loads(
                change(1, *(row(f"s-{n}", s.port) for n, s in enumerate(self.stubs)), whole=True)
            ),
            "settings": settings(**self.plan),
        }

    async def start(self) -> World:
        config: Config = read(self.told(), {})
        self.node = Node(config, asyncio.get_running_loop())
        await self.node.start()
        assert self.node.clients.server
        self.port = self.node.clients.server.sockets[0].getsockname()[1]
        return self

    async def spawn(self, folder: os.PathLike[str]) -> World:
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(self.told(), file)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hookport",
            env={**os.environ, "PROXY_CONFIG": path},
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self.process.stderr
        while b" serves on " not in (line := await soon(self.process.stderr.readline())):
            assert line, "the limiter ended before it served"
        self.port = int(line.rsplit(b":", 1)[1])
        return self

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def __aexit__(self, *_: object) -> None:
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.node:
            self.node.close()
            if self.node.clients.server:
                self.node.clients.server.close()
            for connection in list(self.node.clients.connections):
                connection.transport.abort()
        for listener in (*self.stubs, self.counter, self.discovery):
            listener.server.close()
        for writer in [w for s in (*self.stubs, self.counter) for w in s.writers] + self.discovery.watches:
            writer.transport.abort()


def query(n: int = 1, wait_ms: int = 3000, customer: int = 7, more: bytes = b"") -> tuple[bytes, ...]:
    fields = b"c=lookup,t=team,d=%d,units=1,spread=1,first=0%s" % (wait_ms, more)
    return (b"SVC.QUERY", b"%016x" % customer, b"%016x" % n, fields)


def submit(n: int = 1, wait_ms: int = 3000, body: bytes = b"body") -> tuple[bytes, ...]:
    return (b"SVC.SUBMIT", *query(n, wait_ms)[1:3], query(n, wait_ms)[3].replace(b"lookup", b"order"), body)


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, hiredis.Reader()

    def send(self, *words: bytes) -> None:
        self.writer.write(hiredis.pack_command(words))

    async def answer(self) -> Any:
        """The next answer, or EOFError when the connection ends."""
        while (reply := self.parser.gets()) is False:
            try:
                data = await soon(self.reader.read(1 << 16))
            except ConnectionError:
                data = b""
            if not data:
                raise EOFError
            self.parser.feed(data)
        return reply

    async def ask(self, *words: bytes) -> Any:
        self.send(*words)
        return await self.answer()
