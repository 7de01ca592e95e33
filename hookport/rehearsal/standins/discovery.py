"""Simulated discovery: the true state of the fleet, and one agent per limiter that learns of it late."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from typing import Any, cast

from hookport.rehearsal.runtime import Environment, RowWriter, listen

KEEPALIVE_INTERVAL_S = 2.0  # between the empty lines that keep an idle watch alive
REQUEST = re.compile(rb"GET (/v1/endpoints)(?:\?(\S*))? HTTP/1\.[01]\r\n")
MAX_REQUEST_BYTES = 16_384
MAX_CHANGES = 1000  # a watch further behind than this gets the full list
Entry = dict[str, Any]


class Watcher(asyncio.Protocol):
    """A connection from a limiter to its agent."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.buffer = b""
        self.streaming = False
        self.sent_generation = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.agent.watchers[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.agent.watchers.pop(self, None)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) > MAX_REQUEST_BYTES:
            return self.transport.abort()
        while b"\r\n\r\n" in self.buffer and not self.streaming:
            head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
            found = REQUEST.match(head + b"\r\n")
            if not found:
                self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            parameters = dict(item.partition(b"=")[::2] for item in (found[2] or b"").split(b"&"))
            if parameters.get(b"stream") == b"1":
                index = parameters.get(b"index", b"0")
                self.sent_generation = int(index) if index.isdigit() else 0
                self.streaming = True
                self.transport.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                self.agent.send_changes(self)
            else:
                body = json.dumps(self.agent.full_list()).encode()
                self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def send_line(self, text: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))


class Agent:
    """The discovery agent of one limiter: applies changes after a delay, sends nothing while silent.

    ``address`` returns the address at which this limiter reaches a server. A limiter counts as notified of a
    change once it is written to a watch, at the latest ``assume_notified_after_s`` after the agent got it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limiter: int,
        delay_s: float,
        address: Callable[[Entry], str],
        write_row: RowWriter,
        assume_notified_after_s: float = 6.0,
    ) -> None:
        self.loop, self.limiter, self.delay_s = loop, limiter, delay_s
        self.address, self.write_row, self.assume_notified_after_s = (
            address,
            write_row,
            assume_notified_after_s,
        )
        self.entries: dict[str, Entry] = {}
        self.changes: list[tuple[int, Entry]] = []  # generation and entry, oldest first
        self.generation = 1
        self.silent = False
        self.pending: list[tuple[int, list[Entry]]] = []  # received while silent
        self.notified: dict[str, tuple[str, int]] = {}  # last lifecycle and start time recorded, by server
        self.watchers: dict[Watcher, None] = {}  # in order of arrival
        self.listener: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> int:
        self.listener, self.port = await listen(self.loop, lambda: Watcher(self), port)
        self.keepalive_timer = self.loop.call_later(KEEPALIVE_INTERVAL_S, self.send_keepalives)
        return self.port

    def stop_listening(self) -> bool:
        """Refuse new connections; return whether the agent was listening before."""
        if listener := self.listener:
            listener.close()
            self.keepalive_timer.cancel()
        self.listener = None
        return listener is not None

    def close(self) -> None:
        self.stop_listening()
        for watcher in list(self.watchers):
            watcher.transport.abort()

    async def change_address(self) -> int:
        """Move to a new port; a closed agent stays closed. The old connections close after 1.5 s."""
        old, was_listening = list(self.watchers), self.stop_listening()

        def close_old_connections() -> None:
            for watcher in old:
                watcher.transport.close()

        self.loop.call_later(1.5, close_old_connections)
        port = await self.start()
        if not was_listening:
            self.stop_listening()
        return port

    def send_keepalives(self) -> None:
        if not self.silent:
            for watcher in self.watchers:
                if watcher.streaming:
                    watcher.send_line(b"")
        self.keepalive_timer = self.loop.call_later(KEEPALIVE_INTERVAL_S, self.send_keepalives)

    # Changes from discovery

    def receive(self, generation: int, entries: list[Entry]) -> None:
        """Apply a change of the fleet after this agent's delay."""
        self.loop.call_later(self.delay_s, self.apply, generation, entries)

    def apply(self, generation: int, entries: list[Entry]) -> None:
        if self.silent:
            self.pending.append((generation, entries))
            return
        self.generation = max(self.generation, generation)
        for entry in entries:
            if entry["lifecycle"] == "DELETED":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
            self.changes.append((generation, entry))
        del self.changes[:-MAX_CHANGES]
        for watcher in list(self.watchers):
            if watcher.streaming:
                self.send_changes(watcher)
        # A limiter that doesn't read its watch must still stop sending to a draining server.
        self.loop.call_later(self.assume_notified_after_s, self.assume_notified, entries)

    def set_silent(self, silent: bool) -> None:
        self.silent = silent
        if not silent:
            pending, self.pending = self.pending, []
            for generation, entries in pending:
                self.apply(generation, entries)
            for watcher in list(self.watchers):
                if watcher.streaming:
                    self.send_changes(watcher)

    # Responses to the limiter

    def with_address(self, entry: Entry) -> Entry:
        return {**entry, "hostPort": self.address(entry)}

    def full_list(self) -> dict[str, Any]:
        rows = [self.with_address(entry) for entry in self.entries.values()]
        if not self.silent:
            self.record_notified(rows, True)
        return {"generation": self.generation, "reset": True, "instances": rows}

    def send_changes(self, watcher: Watcher) -> None:
        """Send a watch the changes since its generation, or the full list if those are no longer kept."""
        if self.silent or watcher.sent_generation == self.generation:
            return
        oldest = self.changes[0][0] if self.changes else self.generation
        if (
            watcher.sent_generation == 0
            or watcher.sent_generation < oldest - 1
            or watcher.sent_generation > self.generation
        ):
            update = self.full_list()
        else:
            rows = [
                self.with_address(entry)
                for generation, entry in self.changes
                if generation > watcher.sent_generation
            ]
            update = {"generation": self.generation, "reset": False, "instances": rows}
            self.record_notified(rows, True)
        watcher.sent_generation = self.generation
        watcher.send_line(json.dumps(update, separators=(",", ":")).encode())

    def record_notified(self, rows: list[Entry], arrived: bool) -> None:
        for row in rows:
            state, started_ms = row["lifecycle"], row["startedAtMs"]
            if self.notified.get(row["instanceId"]) != (state, started_ms):
                self.notified[row["instanceId"]] = (state, started_ms)
                self.write_row({"e": "told", "t": Environment.clock_ns(), "l": self.limiter,
                                "s": row["instanceId"], "state": state, "born": started_ms,
                                "arrived": arrived})  # fmt: skip

    def assume_notified(self, entries: list[Entry]) -> None:
        for entry in entries:
            current = self.entries.get(entry["instanceId"])
            is_current = current is entry or (current is None and entry["lifecycle"] == "DELETED")
            if is_current and not self.silent:
                self.record_notified([entry], False)

    def known_list(self, notified: bool = False) -> dict[str, Any]:
        """Return the list for the limiter's configuration; ``notified`` if the limiter starts with it now."""
        rows = [self.with_address(entry) for entry in self.entries.values()]
        if notified:
            self.record_notified(rows, True)
        return {"generation": self.generation, "reset": True, "instances": rows}


class Fleet:
    """The true state of the servers; sends each change to every agent."""

    def __init__(self) -> None:
        self.generation = 1
        self.entries: dict[str, Entry] = {}
        self.agents: list[Agent] = []

    def add(self, *entries: Entry) -> None:
        """Add servers that every agent knows from the start."""
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            for agent in self.agents:
                agent.entries[entry["instanceId"]] = entry

    def change(self, id: str, **fields: Any) -> None:
        """Update fields of a server's entry; lifecycle DELETED removes the entry."""
        entry = {**self.entries.get(id, {}), "instanceId": id, **fields}
        self.generation += 1
        if entry["lifecycle"] == "DELETED":
            self.entries.pop(id, None)
        else:
            self.entries[id] = entry
        for agent in self.agents:
            agent.receive(self.generation, [entry])
