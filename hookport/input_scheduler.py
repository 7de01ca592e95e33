"""Shares the daemon's time between the client connections that have commands to handle.

Connections take turns of a few commands each, in the order in which they became ready, and the event loop
reads and writes all sockets and runs the due timers after a few turns.  So a client that sends thousands of
commands at once delays the others by one turn, not by all of its commands.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Protocol

COMMANDS_PER_TURN = 4
TURNS_PER_LOOP_ITERATION = 8


class CommandSource(Protocol):
    """A connection that has received commands."""

    def handle_commands(self, max_commands: int) -> bool:
        """Handle up to ``max_commands`` commands; return whether more may be ready."""


class InputScheduler:
    """A round-robin queue of the connections whose commands wait to be handled."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        # An ordered set: the first key of a plain dict is slow to find once many before it were deleted.
        self.ready: OrderedDict[CommandSource, None] = OrderedDict()
        self.next_run: asyncio.Handle | None = None

    def on_data(self, source: CommandSource) -> None:
        """Give a connection that received data its first turn, at once if no other one is waiting."""
        if self.ready or source.handle_commands(COMMANDS_PER_TURN):
            self.add(source)

    def add(self, source: CommandSource) -> None:
        """Queue a connection for a turn, unless it is queued already."""
        self.ready.setdefault(source)
        if self.next_run is None:
            self.next_run = self.loop.call_soon(self.run)

    def remove(self, source: CommandSource) -> None:
        """Forget a connection that was lost."""
        self.ready.pop(source, None)

    def run(self) -> None:
        """Give a few connections a turn each, and leave the rest for the next iteration of the loop."""
        self.next_run = None
        for _ in range(min(TURNS_PER_LOOP_ITERATION, len(self.ready))):
            source, _ = self.ready.popitem(last=False)
            if source.handle_commands(COMMANDS_PER_TURN):
                self.add(source)
        if self.ready and self.next_run is None:
            self.next_run = self.loop.call_soon(self.run)

    def close(self) -> None:
        """Handle no more commands."""
        self.ready.clear()
        if self.next_run:
            self.next_run.cancel()
            self.next_run = None
