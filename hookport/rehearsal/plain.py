"""A minimal limiter as the baseline for scores: admits every request and picks a server at random.

It follows the protocol rules and takes the daemon's configuration, so it can be started in the daemon's place
as ``python -m hookport.rehearsal.plain``. With ``--stub`` it replies without any server, to measure the
overhead of the test harness alone.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, cast

import hiredis
import uvloop

REPLY_MARGIN_S = 0.025  # a timeout is reported this long before the client's deadline
DRAIN_DELAY_S = 1.0  # from SIGTERM until idle connections are closed


class Upstream(asyncio.Protocol):
    """One request to a server, on its own connection."""

    def __init__(self, client: ClientConnection, slot: list[bytes | None], payload: bytes) -> None:
        self.client, self.slot, self.payload = client, slot, payload
        self.parser = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.payload)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            reply = self.parser.gets()
        except hiredis.ProtocolError:
            return self.transport.abort()
        if reply is False:
            return
        value = reply[0] if isinstance(reply, list) and reply else None
        if isinstance(value, bytes):
            self.client.reply(self.slot, b"$%d\r\n%s\r\n" % (len(value), value))
        elif isinstance(reply, hiredis.ReplyError) and str(reply).startswith("BUSY"):
            self.client.reply(self.slot, b"-BUSY\r\n")
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.client.reply(self.slot, b"-ERR failed\r\n")


class ClientConnection(asyncio.Protocol):
    """A connection from a client; replies are written in the order of the commands."""

    def __init__(self, limiter: PlainLimiter) -> None:
        self.limiter = limiter
        self.parser = hiredis.Reader()
        self.slots: list[list[bytes | None]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.limiter.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.limiter.connections.discard(self)

    def reply(self, slot: list[bytes | None], reply: bytes) -> None:
        """Set the reply of a command unless it has one, and write all replies that are next in order."""
        if slot[0] is not None:
            return
        slot[0] = reply
        while self.slots and (ready := self.slots[0][0]) is not None:
            del self.slots[0]
            if not self.transport.is_closing():
                self.transport.write(ready)
        if self.limiter.closing and not self.slots:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            while (arguments := self.parser.gets()) is not False:
                slot: list[bytes | None] = [None]
                self.slots.append(slot)
                if (
                    isinstance(arguments, list)
                    and arguments
                    and arguments[0] in (b"SVC.QUERY", b"SVC.SUBMIT")
                ):
                    self.limiter.handle_request(self, arguments, slot)
                elif arguments == [b"PING"]:
                    self.reply(slot, b"+PONG\r\n")
                else:
                    self.reply(slot, b"-ERR unknown command\r\n")
        except hiredis.ProtocolError:
            self.transport.write(b"-ERR protocol\r\n")
            self.transport.close()


class ForwardedRequest(NamedTuple):
    """A request to forward: where its reply goes, the bytes for the server, and the client's timeout."""

    connection: ClientConnection
    slot: list[bytes | None]
    payload: bytes
    arguments: list[bytes]
    fields: dict[str, str]
    wait_s: float


class PlainLimiter:
    """The limiter process: client connections, the server list, and forwarding."""

    def __init__(self, config: dict[str, Any], stub: bool) -> None:
        self.config, self.stub = config, stub
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(str(config.get("seed")))
        self.addresses: dict[str, tuple[str, int]] = {}
        self.connections: set[ClientConnection] = set()
        self.closing = False
        self.done = asyncio.Event()
        self.classes = {lane["name"]: lane for lane in config["settings"]["lanes"]}
        self.apply_list(config["known"])

    def apply_list(self, update: dict[str, Any]) -> None:
        if update["reset"]:
            self.addresses.clear()
        for row in update["instances"]:
            host, _, port = row["hostPort"].rpartition(":")
            self.addresses.pop(row["instanceId"], None)
            if row["lifecycle"] == "SERVING":
                self.addresses[row["instanceId"]] = (host, int(port))

    async def watch(self) -> None:
        """Follow discovery's changes; reconnect whenever a watch ends."""
        while True:
            try:
                host, _, port = self.config["discovery"].rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
                writer.write(b"GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n")
                await reader.readuntil(b"\r\n\r\n")
                while size := int(await reader.readline(), 16):
                    text = (await reader.readexactly(size + 2)).strip()
                    if text:
                        self.apply_list(json.loads(text))
            except (OSError, ValueError, EOFError) as error:
                print(f"plain: the discovery watch ended: {error}", file=sys.stderr)
            await asyncio.sleep(0.1)

    def handle_request(
        self, connection: ClientConnection, arguments: list[bytes], slot: list[bytes | None]
    ) -> None:
        if self.stub:
            return connection.reply(slot, b"$4\r\nstub\r\n")
        fields = dict(item.partition("=")[::2] for item in arguments[3].decode("latin-1").split(","))
        wait_s = int(fields["d"]) / 1000 if fields.get("d", "").isdigit() else 0.0
        if not wait_s or fields.get("c") not in self.classes:
            return connection.reply(slot, b"-ERR the list is not names and values\r\n")
        if not self.addresses:
            return connection.reply(slot, b"-BUSY\r\n")
        self.loop.call_later(
            max(0.001, wait_s - REPLY_MARGIN_S), connection.reply, slot, b"-ERR timed out\r\n"
        )
        payload: bytes = hiredis.pack_command(tuple(arguments))  # type: ignore[arg-type,no-untyped-call,unused-ignore]
        self.start(ForwardedRequest(connection, slot, payload, arguments, fields, wait_s))

    def start(self, request: ForwardedRequest) -> None:
        """Forward a request to a random server."""
        address = self.addresses[self.random.choice(sorted(self.addresses))]
        self.spawn(self.forward(Upstream(request.connection, request.slot, request.payload), address))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def forward(self, upstream: Upstream, address: tuple[str, int]) -> None:
        try:
            async with asyncio.timeout(0.25):
                await self.loop.create_connection(lambda: upstream, *address)
        except (OSError, TimeoutError):
            upstream.client.reply(upstream.slot, b"-BUSY\r\n")

    def shut_down(self) -> None:
        def drain() -> None:
            self.closing = True
            self.server.close()
            for connection in list(self.connections):
                if not connection.slots:
                    connection.transport.close()
            self.finish_when_closed()

        self.loop.call_later(DRAIN_DELAY_S, drain)

    def finish_when_closed(self) -> None:
        if self.connections:
            self.loop.call_later(0.02, self.finish_when_closed)
        else:
            self.done.set()

    def reload(self) -> None:
        try:
            with open(os.environ["PROXY_CONFIG"], "rb") as file:
                self.config["discovery"] = json.load(file)["discovery"]
        except (OSError, ValueError, KeyError) as error:
            print(f"plain: keeping the old configuration: {error}", file=sys.stderr)

    async def serve(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self.loop.add_signal_handler(signal.SIGTERM, self.shut_down)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        host, _, port = self.config["listen"].rpartition(":")
        self.server = await self.loop.create_server(
            lambda: ClientConnection(self), host, int(port), backlog=1024
        )
        watch_task = self.loop.create_task(self.watch())
        await self.done.wait()
        watch_task.cancel()


async def run(make: Callable[[dict[str, Any]], PlainLimiter]) -> None:
    """Read the configuration, build the limiter with ``make`` and serve until it has shut down."""
    with open(os.environ["PROXY_CONFIG"], "rb") as file:
        config = json.load(file)
    await make(config).serve()


def main() -> int:
    started = time.monotonic()
    uvloop.run(run(lambda config: PlainLimiter(config, "--stub" in sys.argv)))
    print(f"plain: served for {time.monotonic() - started:.1f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
