"""Discovery: the list of servers, kept by one watch over HTTP that is opened again when it ends."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable
from typing import Any, cast

import h11

from aniseshed.interface import Health, ListKind, ServerEntry, ServerList
from hookport.config import Address, Names, address

log = logging.getLogger("hookport.discovery")

SILENCE_S = 5.0  # an empty line comes every 2 s: a watch that misses two is dead
AGAIN_S = (0.1, 2.0)  # wait before the next watch, doubled at each failure in a row
LONGEST_LINE = 8 << 20

HEALTHS = {"SERVING": Health.READY, "DRAINING": Health.DRAINING, "DELETED": Health.GONE}

Told = Callable[[ServerList, dict[bytes, Address]], None]


def read_entry(told: dict[str, Any], names: Names) -> tuple[ServerEntry, Address]:
    server = told["instanceId"].encode()
    weight = float(told.get("weight", 1.0))
    entry = ServerEntry(
        server=server,
        zone=names.zones.get(told.get("zone", ""), 0),
        kind=names.kinds.get(told.get("machineType", ""), 0),
        cell=int(told.get("cell", 0)),
        health=HEALTHS[told["lifecycle"]],
        weight=weight if math.isfinite(weight) else 1.0,
        born_ns=int(told.get("startedAtMs", 0)) * 1_000_000,
    )
    return entry, address(told.get("hostPort"), "hostPort")


def read_list(told: Any, names: Names, whole: ListKind) -> tuple[int, ServerList, dict[bytes, Address]]:
    """A version, its list and the addresses; raises ValueError on what is no list."""
    try:
        rows = [read_entry(row, names) for row in told["instances"]]
        kind = whole if told["reset"] else ListKind.DELTA
        places = {entry.server: place for entry, place in rows}
        return int(told["generation"]), ServerList(kind, tuple(entry for entry, _ in rows)), places
    except Exception as error:
        raise ValueError(f"no list of servers: {type(error).__name__}: {error}") from error


class Watch(asyncio.Protocol):
    """One watch; whatever ends it is told to ``ended`` once."""

    def __init__(self, host: str, generation: int, line: Callable[[bytes], None], ended: Callable[[], None]):
        self.http = h11.Connection(h11.CLIENT)
        self.host, self.generation, self.line, self.ended = host, generation, line, ended
        self.partial = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        target = f"/v1/endpoints?stream=1&index={self.generation}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self.host)])
        self.transport.write((self.http.send(request) or b"") + (self.http.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        try:
            self.http.receive_data(data)
            while not isinstance(event := self.http.next_event(), type) and event is not None:
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise ValueError(f"status {event.status_code}")
                if isinstance(event, h11.Data):
                    self.read(bytes(event.data))
                if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    return self.transport.close()
        except (h11.RemoteProtocolError, ValueError) as error:
            log.warning("closing the watch: %s", error)
            self.transport.abort()

    def read(self, data: bytes) -> None:
        *lines, self.partial = (self.partial + data).split(b"\n")
        for line in lines:
            self.line(line.strip())
        if len(self.partial) > LONGEST_LINE:
            raise ValueError("a line without end")

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended()


class Discovery:
    """Keeps one watch open and tells lists and failures."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        place: Address,
        names: Names,
        told: Told,
        connect_timeout_s: float,
        follow: bool,
        alive: Callable[[], None] | None = None,
        spread: Callable[[float], float] = float,
    ) -> None:
        self.loop, self.place, self.names, self.told = loop, place, names, told
        self.connect_timeout_s = connect_timeout_s
        self.follow = follow  # whether a watch that ended is opened again unasked
        self.alive, self.spread = alive, spread  # told of every line; makes waits differ between limiters
        self.heard_s = 0.0  # when the watch last spoke
        self.generation = 0
        self.watch: Watch | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.again_s = AGAIN_S[0]

    def start(self, known: dict[str, Any], whole: bool = False) -> None:
        """Begin with the list from the configuration, which may be old.

        The watch then asks for what changed after it, or for the ``whole`` list."""
        try:
            self.generation, listed, places = read_list(known, self.names, ListKind.CACHED)
        except ValueError as error:
            log.warning("the known list cannot be used: %s", error)
            listed, places = ServerList(ListKind.CACHED, ()), {}
        self.told(ServerList(ListKind.CACHED, listed.entries), places)
        if whole:
            self.generation = 0
        if self.follow:
            self.subscribe(True)

    def move(self, place: Address) -> None:
        """A new configuration: what is known stays in force until the new place tells its whole list."""
        if place == self.place:
            return
        log.info("moving from %s:%d to %s:%d", *self.place, *place)
        wanted = self.follow or self.watch is not None
        self.place, self.again_s = place, AGAIN_S[0]
        self.generation = 0  # the new place may count its versions in another way
        if wanted:
            self.subscribe(True)

    def subscribe(self, active: bool) -> None:
        self.close()
        if active:
            self.opening = self.loop.create_task(self.open())

    async def open(self) -> None:
        host = f"{self.place[0]}:{self.place[1]}"
        watch = Watch(host, self.generation, self.line, lambda: self.lost(watch))
        self.watch = watch
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: watch, *self.place)
        except (OSError, TimeoutError) as error:
            log.warning("no connection: %s", error or "timed out")
            return self.lost(watch)
        self.heard()

    def heard(self) -> None:
        """Guards against a watch that is silent, which looks like a list that does not change."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(SILENCE_S, self.silent)

    def silent(self) -> None:
        log.warning("the watch is silent")
        if self.watch:
            self.watch.transport.abort()

    def line(self, line: bytes) -> None:
        self.heard()
        self.heard_s, self.again_s = self.loop.time(), AGAIN_S[0]
        if line:
            generation, listed, places = self.read(line)
            self.generation = generation
            self.told(listed, places)
        if self.alive:
            self.alive()

    def read(self, line: bytes) -> tuple[int, ServerList, dict[bytes, Address]]:
        try:
            return read_list(json.loads(line), self.names, ListKind.FULL)
        except ValueError:
            self.generation = 0  # what changed may be lost: the next watch begins with the whole list
            raise

    def lost(self, watch: Watch) -> None:
        if self.watch is not watch:
            return
        self.close()
        if self.follow:
            self.timer = self.loop.call_later(self.spread(self.again_s), self.subscribe, True)
            self.again_s = min(2 * self.again_s, AGAIN_S[1])
        self.told(ServerList(ListKind.FAILED, ()), {})

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        if self.opening:
            self.opening.cancel()
        watch, self.watch = self.watch, None
        if watch and hasattr(watch, "transport"):
            watch.transport.abort()
