"""Client of the discovery service: keeps the server list up to date through a streaming HTTP watch."""

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

# Discovery sends an empty line every 2 s; a watch that misses two of them is considered dead.
SILENCE_TIMEOUT_S = 5.0
# Discovery's agent is on the same machine, and what it has counts as told: the delay must be a small part of
# the grace of a drain, however long discovery was away.
RECONNECT_DELAY_S = 0.1
MAX_LINE_BYTES = 8 << 20  # limit for one JSON object, also if it spans several lines
MAX_REPORTED_PROBLEMS = 1024  # distinct problems with entries that are logged, each once
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

HEALTH_BY_LIFECYCLE = {"SERVING": Health.READY, "DRAINING": Health.DRAINING, "DELETED": Health.GONE}

OnServerList = Callable[[ServerList, dict[bytes, Address]], None]


def parse_entry(
    fields: dict[str, Any], names: NameIndex, warn: Callable[[str], None] = log.warning
) -> tuple[ServerEntry, Address]:
    """Parse one entry of the list and pass values that had to be replaced to ``warn``.

    Raises ConfigError, ValueError, TypeError, KeyError, AttributeError or OverflowError if it is unusable."""
    server = fields["instanceId"].encode()
    weight = float(fields.get("weight", 1.0))
    if not 0 < weight < math.inf:
        warn(f"server {fields['instanceId']} has weight {weight}, which is not positive and finite: using 1")
    if fields["lifecycle"] not in HEALTH_BY_LIFECYCLE:
        raise ValueError(f"unknown lifecycle {fields['lifecycle']!r}")
    entry = ServerEntry(
        server=server,
        zone=names.zones.get(fields.get("zone", ""), 0),
        kind=names.host_types.get(fields.get("machineType", ""), 0),
        cell=int(fields.get("cell", 0)),
        health=HEALTH_BY_LIFECYCLE[fields["lifecycle"]],
        weight=weight if 0 < weight < math.inf else 1.0,
        started_ns=int(fields.get("startedAtMs", 0)) * 1_000_000,
    )
    return entry, parse_address(fields.get("hostPort"), "hostPort")


def parse_entries(
    instances: list[Any], names: NameIndex, warn: Callable[[str], None]
) -> dict[bytes, tuple[ServerEntry, Address]]:
    """Parse all entries, keyed by server; those that are unusable are reported to ``warn`` and skipped."""
    parsed = dict[bytes, tuple[ServerEntry, Address]]()
    server_at = dict[Address, ServerEntry]()
    for index, fields in enumerate(instances):
        try:
            entry, address = parse_entry(fields, names, warn)
        except (ConfigError, ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
            warn(f"instances[{index}] is left out: {type(error).__name__}: {error}")
            continue
        if (
            entry.health is Health.READY
            and (previous := server_at.get(address))
            and previous.server != entry.server
        ):
            # An address belongs to one process: the server that started last has replaced the other.
            older, newer = sorted((previous, entry), key=lambda server: server.started_ns)
            both = f"{older.server.decode()} and {newer.server.decode()}"
            warn(f"{both} are both at {address[0]}:{address[1]}: the one that started last is used")
            parsed.pop(older.server, None)
            if older is entry:
                continue
        if entry.health is Health.READY:
            server_at[address] = entry
        parsed[entry.server] = entry, address
    return parsed


def parse_list(
    document: Any, names: NameIndex, full_kind: ListKind, warn: Callable[[str], None] = log.warning
) -> tuple[int, ServerList, dict[bytes, Address]]:
    """Parse a list in discovery's JSON form; returns its generation, the list and the addresses by server.

    ``full_kind`` is the kind of a list that is not a delta. An unusable entry is reported to ``warn`` in one
    line and skipped. Raises ValueError if the document is not a list of servers."""
    try:
        generation, reset, instances = int(document["generation"]), document["reset"], document["instances"]
        if not isinstance(instances, list):
            raise TypeError("instances is not a list")
    except (ValueError, TypeError, KeyError) as error:
        raise ValueError(f"not a server list: {type(error).__name__}: {error}") from error
    parsed = parse_entries(instances, names, warn)
    addresses = {server: address for server, (_, address) in parsed.items()}
    entries = tuple(entry for entry, _ in parsed.values())
    return generation, ServerList(full_kind if reset else ListKind.DELTA, entries), addresses


class Watch(asyncio.Protocol):
    """One watch connection; calls ``on_line`` for each object or empty line and ``on_closed`` once."""

    def __init__(
        self, host: str, generation: int, on_line: Callable[[bytes], None], on_closed: Callable[[], None]
    ):
        self.http = h11.Connection(h11.CLIENT)
        self.host, self.generation, self.on_line, self.on_closed = host, generation, on_line, on_closed
        self.unfinished_line, self.pending_lines, self.nesting_depth = b"", list[bytes](), 0

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
                    raise ValueError(f"unexpected HTTP status {event.status_code}")
                if isinstance(event, h11.Data):
                    self.feed(bytes(event.data))
                if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    return self.transport.close()
        except (h11.RemoteProtocolError, ValueError) as error:
            log.warning("closing the watch: %s", error)
            self.transport.abort()

    def feed(self, data: bytes) -> None:
        *lines, self.unfinished_line = (self.unfinished_line + data).split(b"\n")
        for line in lines:
            self.handle_line(line.strip())
        if len(self.unfinished_line) + sum(map(len, self.pending_lines)) > MAX_LINE_BYTES:
            raise ValueError("a line or an object exceeds the maximum size")

    def handle_line(self, line: bytes) -> None:
        """Pass on each complete JSON object as one line, also if it is indented and spans several."""
        if self.pending_lines and not line:
            raise ValueError("incomplete JSON object")
        without_strings = JSON_STRING.sub(b"", line)
        self.nesting_depth += sum(map(without_strings.count, (b"{", b"["))) - sum(
            map(without_strings.count, (b"}", b"]"))
        )
        if self.nesting_depth > 0:
            return self.pending_lines.append(line)
        self.nesting_depth, pending_lines, self.pending_lines = 0, self.pending_lines, []
        self.on_line(b"".join((*pending_lines, line)))

    def connection_lost(self, exc: Exception | None) -> None:
        self.on_closed()


class Discovery:
    """Keeps one watch open, and passes server lists and failures to ``on_list``."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        names: NameIndex,
        on_list: OnServerList,
        connect_timeout_s: float,
        auto_reconnect: bool,
        on_activity: Callable[[], None] | None = None,
        jitter: Callable[[float], float] = float,
    ) -> None:
        self.loop, self.address, self.names, self.on_list = loop, address, names, on_list
        self.connect_timeout_s = connect_timeout_s
        self.auto_reconnect = (
            auto_reconnect  # if False, the policy decides when a watch that ended is reopened
        )
        # on_activity is called for each line; jitter varies the reconnect delay between limiters.
        self.on_activity, self.jitter = on_activity, jitter
        self.last_line_s = 0.0  # loop time at which the last line arrived
        self.reported_problems = set[str]()
        self.generation = 0
        self.watch: Watch | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def start(self, known_list: dict[str, Any], full_list: bool = False) -> None:
        """Pass on the configuration's list, which may be outdated, and open the watch.

        The watch requests the changes since that list, or the full list if ``full_list`` is set."""
        try:
            self.generation, server_list, addresses = parse_list(
                known_list, self.names, ListKind.CACHED, self.report_problem
            )
        except ValueError as error:
            log.warning("ignoring the server list in the configuration: %s", error)
            server_list, addresses = ServerList(ListKind.CACHED, ()), {}
        self.on_list(ServerList(ListKind.CACHED, server_list.entries), addresses)
        if full_list:
            self.generation = 0
        if self.auto_reconnect:
            self.subscribe(True)

    def report_problem(self, problem: str) -> None:
        """Log a problem with an entry once, as every full list repeats it."""
        if problem not in self.reported_problems and len(self.reported_problems) < MAX_REPORTED_PROBLEMS:
            self.reported_problems.add(problem)
            log.warning("server list: %s", problem)

    def change_address(self, address: Address) -> None:
        """Switch to another address; the current list stays in use until the new watch sends a full list."""
        if address == self.address:
            return
        log.info("switching from %s:%d to %s:%d", *self.address, *address)
        watching = self.auto_reconnect or self.watch is not None
        self.address = address
        self.generation = 0  # generations of another service are not comparable
        if watching:
            self.subscribe(True)

    def subscribe(self, active: bool) -> None:
        """Close the watch, and open a new one if ``active``."""
        self.close()
        if active:
            self.connecting = self.loop.create_task(self.connect())

    async def connect(self) -> None:
        host = f"{self.address[0]}:{self.address[1]}"
        watch = Watch(host, self.generation, self.on_line, lambda: self.on_watch_closed(watch))
        self.watch = watch
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError) as error:
            log.warning("cannot connect: %s", error or "timed out")
            return self.on_watch_closed(watch)
        self.restart_silence_timer()

    def restart_silence_timer(self) -> None:
        """Restart the silence timer: a dead watch would otherwise look like a list that does not change."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(SILENCE_TIMEOUT_S, self.on_silence)

    def on_silence(self) -> None:
        """Open a silent watch anew at once: what it misses counts as told soon after it fell silent."""
        log.warning("watch silent for %.1f s, reconnecting", SILENCE_TIMEOUT_S)
        self.drop_watch()
        if self.auto_reconnect:
            self.on_list(ServerList(ListKind.FAILED, ()), {})
        self.subscribe(True)

    def on_line(self, line: bytes) -> None:
        self.restart_silence_timer()
        self.last_line_s = self.loop.time()
        if line:
            generation, server_list, addresses = self.parse_line(line)
            self.generation = generation
            self.on_list(server_list, addresses)
        if self.on_activity:
            self.on_activity()

    def parse_line(self, line: bytes) -> tuple[int, ServerList, dict[bytes, Address]]:
        try:
            return parse_list(json.loads(line), self.names, ListKind.FULL, self.report_problem)
        except ValueError:
            self.generation = 0  # the changes in this line are lost: the next watch requests the full list
            raise

    def on_watch_closed(self, watch: Watch) -> None:
        if self.watch is not watch:
            return
        self.drop_watch()
        if self.auto_reconnect:
            self.timer = self.loop.call_later(self.jitter(RECONNECT_DELAY_S), self.subscribe, True)
        self.on_list(ServerList(ListKind.FAILED, ()), {})

    def drop_watch(self) -> None:
        """Close a watch that broke off; an object that is incomplete on it is lost."""
        if self.watch and self.watch.pending_lines:
            self.generation = 0  # the next watch requests the full list
        self.close()

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        if self.connecting:
            self.connecting.cancel()
        watch, self.watch = self.watch, None
        if watch and hasattr(watch, "transport"):
            watch.transport.abort()
