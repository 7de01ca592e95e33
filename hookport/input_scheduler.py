"""Shares the daemon's time between the client connections that have commands to handle.

Connections take turns of a few commands each, in the order in which they became ready.  After a few turns the
event loop reads and writes the other sockets and runs the timers that are due.  So a client that sends
thousands of commands at once delays the others by a turn, not by all of its commands.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Protocol

COMMANDS_PER_TURN = 4  # at most; fewer while many connections wait
TURNS_PER_LOOP_ITERATION = 8  # of the queue, and as many of connections that have just received data


class CommandSource(Protocol):
    """A connection that has received commands."""

    def handle_commands(self, max_commands: int) -> None:
        """Handle up to ``max_commands`` commands; queue again if more may be ready."""


class InputScheduler:
    """A round-robin queue of the connections whose commands wait to be handled."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        # An ordered set.  Finding the first key of a plain dict skips every deleted entry before it.
        self.ready: OrderedDict[CommandSource, None] = OrderedDict()
        self.next_run: asyncio.Handle | None = None
        self.immediate_turns, self.immediate_turns_s = 0, 0.0  # turns without queueing, and their loop time

    def take_immediate_turn(self) -> bool:
        """Whether a connection with new data may have its turn at once, as no other is waiting.

        The loop reads all sockets that are ready before it runs anything else, so the number of these turns
        is limited for each loop time, which changes with the iterations."""
        now_s = self.loop.time()
        if now_s != self.immediate_turns_s:
            self.immediate_turns, self.immediate_turns_s = 0, now_s
        self.immediate_turns += 1
        return not self.ready and self.immediate_turns <= TURNS_PER_LOOP_ITERATION

    def add(self, source: CommandSource) -> None:
        """Queue a connection for a turn, unless it is queued already."""
        self.ready.setdefault(source)
        if self.next_run is None:
            self.next_run = self.loop.call_soon(self.run)

    def remove(self, source: CommandSource) -> None:
        """Forget a connection that was lost."""
        self.ready.pop(source, None)

    def run(self) -> None:
        """Give a number of turns, and leave the rest for the next iteration of the loop.

        The more connections wait, the shorter the turns, so that a single command waits for few of each other
        connection."""
        remaining_commands = COMMANDS_PER_TURN * TURNS_PER_LOOP_ITERATION
        max_commands = max(1, min(COMMANDS_PER_TURN, remaining_commands // max(1, len(self.ready))))
        try:
            while self.ready and remaining_commands > 0:
                source, _ = self.ready.popitem(last=False)
                source.handle_commands(max_commands)
                remaining_commands -= max_commands
        finally:
            self.next_run = self.loop.call_soon(self.run) if self.ready else None

    def close(self) -> None:
        """Handle no more commands."""
        self.ready.clear()
        if self.next_run:
            self.next_run.cancel()
            self.next_run = None
