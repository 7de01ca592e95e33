"""Discovery: the list of servers, kept by one watch over HTTP that is opened again when it ends."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import re
from collections.abc import Callable
from typing import Any, cast

import h11

from aniseshed.interface import Health, ListKind, ServerEntry, ServerList
from hookport.config import Address, ConfigError, NameIndex, parse_address

log = logging.getLogger("hookport.discovery")

SILENCE_TIMEOUT_S = 5.0  # an empty line comes every 2 s: a watch that misses two is dead
AGAIN_S = (0.1, 2.0)  # wait before the next watch, doubled at each failure in a row
LONGEST_LINE = 8 << 20  # bytes, also of an object that comes on several lines
MOST_WRONG = 1024  # different complaints about entries that are told: each once
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

HEALTH_BY_LIFECYCLE = {"SERVING": Health.READY, "DRAINING": Health.DRAINING, "DELETED": Health.GONE}

Told = Callable[[ServerList, dict[bytes, Address]], None]


def parse_entry(
    told: dict[str, Any], names: NameIndex, wrong: Callable[[str], None] = log.warning
) -> tuple[ServerEntry, Address]:
    """One entry; raises ValueError, KeyError or the like on what cannot be used at all."""
    server = told["instanceId"].encode()
    weight = float(told.get("weight", 1.0))
    if not 0 < weight < math.inf:
        wrong(f"server {told['instanceId']} has weight {weight}: taken as 1")
    if told["lifecycle"] not in HEALTH_BY_LIFECYCLE:
        raise ValueError(f"unknown lifecycle {told['lifecycle']!r}")
    entry = ServerEntry(
        server=server,
        zone=names.zones.get(told.get("zone", ""), 0),
        kind=names.host_types.get(told.get("machineType", ""), 0),
        cell=int(told.get("cell", 0)),
        health=HEALTH_BY_LIFECYCLE[told["lifecycle"]],
        weight=weight if 0 < weight < math.inf else 1.0,
        started_ns=int(told.get("startedAtMs", 0)) * 1_000_000,
    )
    return entry, parse_address(told.get("hostPort"), "hostPort")


def parse_entries(
    told: list[Any], names: NameIndex, wrong: Callable[[str], None]
) -> dict[bytes, tuple[ServerEntry, Address]]:
    """The entries that can be used, by server; each of the others is told to ``wrong`` with its place."""
    rows = dict[bytes, tuple[ServerEntry, Address]]()
    serving = dict[Address, ServerEntry]()
    for place, row in enumerate(told):
        try:
            entry, at = parse_entry(row, names, wrong)
        except (ConfigError, ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
            wrong(f"instances[{place}] is left out: {type(error).__name__}: {error}")
            continue
        if entry.health is Health.READY and (other := serving.get(at)) and other.server != entry.server:
            # One process cannot be two servers: who started last is there now.
            older, newer = sorted((other, entry), key=lambda one: one.started_ns)
            both = f"{older.server.decode()} and {newer.server.decode()}"
            wrong(f"{both} are both at {at[0]}:{at[1]}: the one that started last is used")
            rows.pop(older.server, None)
            if older is entry:
                continue
        if entry.health is Health.READY:
            serving[at] = entry
        rows[entry.server] = entry, at
    return rows


def parse_list(
    told: Any, names: NameIndex, whole: ListKind, wrong: Callable[[str], None] = log.warning
) -> tuple[int, ServerList, dict[bytes, Address]]:
    """A version, its list and the addresses; raises ValueError on what is no list.

    An entry that cannot be used is told to ``wrong`` in one line and left out."""
    try:
        generation, reset, instances = int(told["generation"]), told["reset"], told["instances"]
        if not isinstance(instances, list):
            raise TypeError("instances is no list")
    except (ValueError, TypeError, KeyError) as error:
        raise ValueError(f"no list of servers: {type(error).__name__}: {error}") from error
    rows = parse_entries(instances, names, wrong)
    places = {server: place for server, (_, place) in rows.items()}
    entries = tuple(entry for entry, _ in rows.values())
    return generation, ServerList(whole if reset else ListKind.DELTA, entries), places


class Watch(asyncio.Protocol):
    """One watch; whatever ends it is told to ``ended`` once."""

    def __init__(self, host: str, generation: int, line: Callable[[bytes], None], ended: Callable[[], None]):
        self.http = h11.Connection(h11.CLIENT)
        self.host, self.generation, self.line, self.ended = host, generation, line, ended
        self.partial, self.pending, self.depth = b"", list[bytes](), 0

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
            self.gather(line.strip())
        if len(self.partial) + sum(map(len, self.pending)) > LONGEST_LINE:
            raise ValueError("a line without end")

    def gather(self, line: bytes) -> None:
        """Hand on each object whole, also one that comes indented, on many lines."""
        if self.pending and not line:
            raise ValueError("an object that breaks off")
        bare = STRING.sub(b"", line)
        self.depth += sum(map(bare.count, (b"{", b"["))) - sum(map(bare.count, (b"}", b"]")))
        if self.depth > 0:
            return self.pending.append(line)
        self.depth, pending, self.pending = 0, self.pending, []
        self.line(b"".join((*pending, line)))

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended()


class Discovery:
    """Keeps one watch open and tells lists and failures."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        names: NameIndex,
        told: Told,
        connect_timeout_s: float,
        follow: bool,
        alive: Callable[[], None] | None = None,
        jitter: Callable[[float], float] = float,
    ) -> None:
        self.loop, self.address, self.names, self.told = loop, address, names, told
        self.connect_timeout_s = connect_timeout_s
        self.follow = follow  # whether a watch that ended is opened again unasked
        self.alive, self.jitter = alive, jitter  # told of every line; makes waits differ between limiters
        self.last_line_s = 0.0  # when the watch last spoke
        self.complaints = set[str]()
        self.generation = 0
        self.watch: Watch | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.again_s = AGAIN_S[0]

    def start(self, known: dict[str, Any], full_list: bool = False) -> None:
        """Begin with the list from the configuration, which may be old.

        The watch then asks for what changed after it, or for the full list."""
        try:
            self.generation, listed, places = parse_list(known, self.names, ListKind.CACHED, self.wrong)
        except ValueError as error:
            log.warning("the known list cannot be used: %s", error)
            listed, places = ServerList(ListKind.CACHED, ()), {}
        self.told(ServerList(ListKind.CACHED, listed.entries), places)
        if full_list:
            self.generation = 0
        if self.follow:
            self.subscribe(True)

    def wrong(self, complaint: str) -> None:
        """Tell once what is wrong with an entry: it comes again with each whole list."""
        if complaint not in self.complaints and len(self.complaints) < MOST_WRONG:
            self.complaints.add(complaint)
            log.warning("the list of servers: %s", complaint)

    def change_address(self, address: Address) -> None:
        """A new configuration: what is known stays in force until the new place tells its whole list."""
        if address == self.address:
            return
        log.info("moving from %s:%d to %s:%d", *self.address, *address)
        wanted = self.follow or self.watch is not None
        self.address, self.again_s = address, AGAIN_S[0]
        self.generation = 0  # the new place may count its versions in another way
        if wanted:
            self.subscribe(True)

    def subscribe(self, active: bool) -> None:
        self.close()
        if active:
            self.opening = self.loop.create_task(self.open())

    async def open(self) -> None:
        host = f"{self.address[0]}:{self.address[1]}"
        watch = Watch(host, self.generation, self.line, lambda: self.lost(watch))
        self.watch = watch
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError) as error:
            log.warning("no connection: %s", error or "timed out")
            return self.lost(watch)
        self.heard()

    def heard(self) -> None:
        """Guards against a watch that is silent, which looks like a list that does not change."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(SILENCE_TIMEOUT_S, self.silent)

    def silent(self) -> None:
        log.warning("the watch is silent")
        if self.watch:
            self.watch.transport.abort()

    def line(self, line: bytes) -> None:
        self.heard()
        self.last_line_s, self.again_s = self.loop.time(), AGAIN_S[0]
        if line:
            generation, listed, places = self.read(line)
            self.generation = generation
            self.told(listed, places)
        if self.alive:
            self.alive()

    def read(self, line: bytes) -> tuple[int, ServerList, dict[bytes, Address]]:
        try:
            return parse_list(json.loads(line), self.names, ListKind.FULL, self.wrong)
        except ValueError:
            self.generation = 0  # what changed may be lost: the next watch begins with the whole list
            raise

    def lost(self, watch: Watch) -> None:
        if self.watch is not watch:
            return
        if watch.pending:
            self.generation = 0  # what broke off may be lost: the next watch begins with the whole list
        self.close()
        if self.follow:
            self.timer = self.loop.call_later(self.jitter(self.again_s), self.subscribe, True)
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
