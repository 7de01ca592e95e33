"""Test fixture on loopback sockets: a limiter and the scripted servers, counter and discovery it talks to."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from dataclasses import replace
from typing import Any

from hookport.config import Config, parse_config
from hookport.node import Node
from hookport.options import Options
from hookport.rehearsal.scripted import (
    VALUE,
    Client,
    Discovery,
    Handler,
    Stub,
    hold_submits,
    never_reply,
    reply_when_released,
    reply_with,
    reset,
    serve,
    until,
    within_timeout,
)
from hookport.servers import Attempt, Endpoint, Servers

__all__ = [
    "VALUE", "Client", "Discovery", "Handler", "Stub", "World", "hold_connections", "hold_submits",
    "instance", "list_update", "never_reply", "query", "replies_until_close", "reply_when_released",
    "reply_with", "reset", "serve", "settings", "submit", "until", "within_timeout",
]  # fmt: skip

MS = 1_000_000


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


def instance(name: str, port: int, state: str = "SERVING", started_ms: int = 0) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


def list_update(generation: int, *rows: dict[str, Any], full: bool = False) -> bytes:
    return json.dumps({"generation": generation, "reset": full, "instances": list(rows)}).encode()


class World:
    """A limiter and everything it talks to; one scripted server for each handler.

    ``start`` runs the limiter in the test's own loop, as ``node``; ``spawn`` runs it as a process."""

    def __init__(self, *handlers: Handler, count: Handler | None = None, **plan: float) -> None:
        self.stubs = [Stub(handler) for handler in handlers]
        self.counter, self.plan = Stub(count or reply_with(b"$1\r\n1\r\n")), plan
        self.discovery = Discovery()
        self.clients: list[Client] = []
        self.options: Options | None = None
        self.known = True  # whether the configuration's "known" list names the servers
        self.node: Node | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.log = b""

    async def __aenter__(self) -> World:
        for stub in (*self.stubs, self.counter):
            await stub.start()
        await self.discovery.start()
        return self

    def configuration(self) -> dict[str, Any]:
        instances = [instance(f"s-{n}", stub.port) for n, stub in enumerate(self.stubs) if self.known]
        return {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "counter": f"127.0.0.1:{self.counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": json.loads(list_update(1, *instances, full=True)),
            "settings": settings(**self.plan),
        }

    async def start(self) -> World:
        config: Config = replace(parse_config(self.configuration(), {}), options=self.options)
        self.node = Node(config, asyncio.get_running_loop())
        await self.node.start()
        assert self.node.clients.server
        self.port = self.node.clients.server.sockets[0].getsockname()[1]
        return self

    async def spawn(self, folder: os.PathLike[str]) -> World:
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(self.configuration(), file)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hookport",
            env={**os.environ, "PROXY_CONFIG": path},
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self.process.stderr
        while b" serves on " not in (line := await within_timeout(self.process.stderr.readline())):
            assert line, "the limiter exited before it served"
        self.port = int(line.rsplit(b":", 1)[1])
        return self

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        self.clients.append(client)
        return client

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
        for client in self.clients:
            if not client.writer.transport.is_closing():
                client.writer.transport.abort()
        for listener in (*self.stubs, self.counter, self.discovery):
            listener.server.close()
        for writer in [w for s in (*self.stubs, self.counter) for w in s.writers] + self.discovery.watches:
            writer.transport.abort()
        await asyncio.sleep(0)  # lets the transports end before the loop does


def hold_connections(servers: Servers, prompt: int = 0) -> asyncio.Event:
    """New connections to servers after the first ``prompt`` come up only when the returned event is set."""
    may_open, opened = asyncio.Event(), 0
    open_connection = servers.open_connection

    async def open_later(attempt: Attempt, endpoint: Endpoint) -> None:
        nonlocal opened
        opened += 1
        if opened > prompt:
            await may_open.wait()
        await open_connection(attempt, endpoint)

    servers.open_connection = open_later  # type: ignore[method-assign]
    return may_open


async def replies_until_close(client: Client) -> list[str]:
    """All replies until the limiter closes the connection."""
    replies = []
    while True:
        try:
            replies.append(str(await client.answer()))
        except EOFError:
            return replies


def query(number: int = 1, wait_ms: int = 3000, customer: int = 7, extra: bytes = b"") -> tuple[bytes, ...]:
    fields = b"c=lookup,t=team,d=%d,units=1,spread=1,first=0%s" % (wait_ms, extra)
    return (b"SVC.QUERY", b"%016x" % customer, b"%016x" % number, fields)


def submit(number: int = 1, wait_ms: int = 3000, body: bytes = b"body") -> tuple[bytes, ...]:
    return (
        b"SVC.SUBMIT",
        *query(number, wait_ms)[1:3],
        query(number, wait_ms)[3].replace(b"lookup", b"order"),
        body,
    )
