"""The *whole* depth: an evening of the rehearsal kit in one process and in virtual time.

The daemon's code, the kit's stand-ins, desks, fault proxy and datagrams are those of the real evening; time
and transport alone are replaced (``loop.py``, ``network.py``). What happens is a function of plan, seed and
code: the same three give the same history, byte for byte.

What is not here: the daemons' use of CPU and memory (a callback takes no time, so the referee's rule on
memory has nothing to judge), the signals' own delay, and whatever uvloop does otherwise than asyncio. It
stands in for the orchestrator of ``rehearsal/play.py`` and does to a limiter what that does.
"""

from __future__ import annotations

import asyncio
import contextvars
import functools
import hashlib
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from hookport.config import ConfigError, parse_config
from hookport.emulator.loop import CURRENT_PROCESS, SimulatedProcess, SpinError, StallError, VirtualLoop
from hookport.emulator.network import Network
from hookport.node import Node
from hookport.rehearsal import draw, judgement
from hookport.rehearsal import plan as plans
from hookport.rehearsal.desks import Desks
from hookport.rehearsal.history import FORMAT_VERSION, Row, rebase
from hookport.rehearsal.loops import Place
from hookport.rehearsal.play import AFTER_S, LEAD_S, NO_LIST, PLANNED_S, Progress, end_within_s
from hookport.rehearsal.world import World

__all__ = [
    "Evening", "SpinError", "StallError", "WholeError", "digest", "encoded", "play_and_judge", "play",
    "virtual",
]  # fmt: skip
HOST = "127.0.0.1"
UNIX_NS = 1_790_000_000 * 1_000_000_000  # of the evening's clock at its zero, and up to PHASE_S more
PHASE_S = 60.0  # the longest life of a count: where its edges fall in an evening is up to the seed
LOOK_S = 0.1
SETTLE_S = 0.05  # after the end, for the last answers to be noted


class WholeError(Exception):
    """The evening cannot be played in this depth, or something in it broke; one line that says what."""


class Rows:
    """In the place of a recorder: the history stays in memory."""

    def __init__(self) -> None:
        self.rows: list[Row] = []

    def record(self, row: Row) -> None:
        self.rows.append(row)


class Seat:
    """One limiter, over all its lives."""

    def __init__(self, number: int, told: dict[str, Any]) -> None:
        self.number, self.told = number, told
        self.count = 0  # of lives so far
        self.process: SimulatedProcess | None = None
        self.node: Node | None = None
        self.done: asyncio.Event = asyncio.Event()  # the present life has ended in good order
        self.stopping = False


def refuse(plan: plans.Plan) -> None:
    """Raise WholeError for what this depth does not play."""
    if plan.limiters.kept_list:
        raise WholeError("limiters.kept_list: the whole depth has no disk; play this plan in real time")


class Evening:
    """One evening, from its first listener to its history."""

    def __init__(
        self, plan: plans.Plan, seed: int, loop: VirtualLoop, progress: Progress, show: Callable[[], None]
    ) -> None:
        refuse(plan)
        self.plan, self.seed, self.loop, self.progress, self.show = plan, seed, loop, progress, show
        self.network = loop.network
        self.recorder = Rows()
        self.seats: list[Seat] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.failures: list[str] = []
        self.start_ns = 0
        self.digest = ""

    def note(self, what: str, seat: Seat, **more: Any) -> None:
        self.recorder.record({"t": Place.clock_ns(), "e": "limiter", "l": seat.number, "what": what,
                            "p": seat.count, **more})  # fmt: skip

    async def play(self) -> list[Row]:
        plan, count = self.plan, self.plan.limiters.count
        ports = [self.network.allocate_port() for _ in range(count)]
        words = [self.network.allocate_port() for _ in range(count)] if plan.peers.allowed else []
        self.world = World(plan, self.seed, self.recorder, self.told)  # type: ignore[arg-type]
        places = await self.world.start(ports, words)
        for number, port in enumerate(ports):
            told = plans.configuration(plan, self.seed, number, HOST, port, places)
            self.seats.append(Seat(number, told))
        for seat in self.seats:
            await self.launch(seat)
        self.desks = Desks(plan, self.seed, self.recorder, places["fronts"])  # type: ignore[arg-type]
        self.digest = draw.digest(self.desks.arrivals)
        self.start_ns = Place.clock_ns() + round(LEAD_S * 1e9)
        self.world.schedule_faults(self.start_ns)
        self.desks.start(self.start_ns)
        await self.last()
        await self.finish()
        return self.history()

    async def last(self) -> None:
        """Until all is answered or overdue."""
        plan = self.plan
        ends_ns = self.start_ns + round((plan.length_s + plan.longest_s + AFTER_S) * 1e9)
        earliest_ns = self.start_ns + round((plan.length_s + AFTER_S) * 1e9)
        while (now_ns := Place.clock_ns()) < ends_ns:
            desks = self.desks
            if now_ns > earliest_ns and not desks.open_due_ns and desks.next_arrival == len(desks.arrivals):
                return
            progress = self.progress
            progress.stage, progress.passed_s = "playing", max(0.0, (now_ns - self.start_ns) / 1e9)
            progress.asked, progress.served, progress.refused = desks.asked, desks.served, desks.refused
            self.show()
            if self.failures:
                raise WholeError(self.failures[0])
            await asyncio.sleep(LOOK_S)

    async def finish(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        ending = [seat for seat in self.seats if seat.node and not seat.stopping]
        for seat in ending:
            seat.stopping = True
            self.note("term", seat)
        await asyncio.gather(*(self.end_in_time(seat, 0.0) for seat in ending))
        self.desks.stop()
        await asyncio.sleep(SETTLE_S)
        self.world.close()
        if self.failures:
            raise WholeError(self.failures[0])

    def history(self) -> list[Row]:
        """In order of time, from the evening's start on."""
        rows = sorted(self.recorder.rows, key=lambda row: int(row["t"]))
        return [rebase(row, self.start_ns) for row in rows]

    # Limiters

    async def launch(self, seat: Seat) -> None:
        seat.count += 1
        seat.process, seat.done, seat.stopping = (
            SimulatedProcess(f"n{seat.number}.{seat.count}"),
            asyncio.Event(),
            False,
        )
        config = parse_config(seat.told, {})
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESS.set, seat.process)
        node = seat.node = context.run(
            Node, config, self.loop, Place.clock_ns, Place.unix_ns, self.network.has_unread
        )
        started = asyncio.Event()
        self.loop.create_task(self.serve(seat, node, started), context=context).add_done_callback(self.over)
        await started.wait()
        if self.failures:
            raise WholeError(f"limiter {seat.number} cannot start: {self.failures[0]}")
        self.note("ready", seat)

    async def serve(self, seat: Seat, node: Node, started: asyncio.Event) -> None:
        """A limiter's life, as ``hookport.__main__`` has it."""
        try:
            await node.start()
        except OSError as error:
            self.failures.append(str(error))
        finally:
            started.set()
        await node.clients.done.wait()
        node.close()
        seat.done.set()

    def within(self, seat: Seat, call: Callable[..., object], *args: Any) -> None:
        """What a signal handler does: in the limiter's own life."""
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESS.set, seat.process)
        self.loop.call_soon(call, *args, context=context)

    def spawn(self, call: Any) -> None:
        task: asyncio.Task[None] = self.loop.create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.over)

    def over(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.failures.append(f"{type(error).__name__}: {error}")

    def told(self, **event: Any) -> None:
        """What the world's timeline says."""
        if event["ev"] == "limiter":
            self.spawn(self.signal(self.seats[event["l"]], event))
        elif event["ev"] == "fault":
            self.progress.note = event["text"]
        elif event["ev"] == "failed":
            self.failures.append(event["why"])

    async def signal(self, seat: Seat, told: dict[str, Any]) -> None:
        what, process, node = told["signal"], seat.process, seat.node
        if process is None or node is None or seat.stopping:
            return
        if what == "HUP":
            for name in ("discovery", "counter"):
                seat.told[name] = f"{HOST}:{told[name]}"
            self.note("hup", seat)
            self.within(seat, node.reconfigure, parse_config(seat.told, {}))
            return
        if what == "STOP":
            self.note("stop", seat)
            until_ns = Place.clock_ns() + round((told["back_s"] + 1) * 1e9)
            self.recorder.record({"t": Place.clock_ns(), "e": "excuse", "l": seat.number, "until": until_ns})
            process.stopped_until_s = self.loop.time() + told["back_s"]
            await asyncio.sleep(told["back_s"])
            self.note("cont", seat)
            return
        seat.stopping = True
        if what == "TERM":
            self.note("term", seat)
            await self.end_in_time(seat, PLANNED_S)
        else:
            self.note("kill", seat)
            self.network.kill(process)
            self.desks.set_limiter_state(seat.number, False, seat.count, False)
        await asyncio.sleep(told["back_s"])
        agent = self.world.agents[seat.number]
        empty = self.plan.limiters.known == "none"
        seat.told["known"] = NO_LIST if empty else agent.known_list(notified=True)
        await self.launch(seat)
        self.desks.set_limiter_state(seat.number, True, seat.count, True)

    async def end_in_time(self, seat: Seat, planned_s: float) -> None:
        assert seat.node and seat.process
        self.within(seat, seat.node.shut_down)
        self.loop.call_later(planned_s, self.desks.set_limiter_state, seat.number, False, seat.count, True)
        try:
            async with asyncio.timeout(end_within_s(self.plan)):
                await seat.done.wait()
            self.note("exit", seat, code=0)
            seat.process.terminated = True
        except TimeoutError:
            self.note("overdue", seat)
            self.network.kill(seat.process)


def unix_ns(loop: VirtualLoop, phase_ns: int) -> int:
    return UNIX_NS + phase_ns + loop.now_ns()


@contextmanager
def virtual(seed: int) -> Iterator[VirtualLoop]:
    """A loop with a network, and the kit's clocks and ports set to them for as long as it lasts."""
    before = Place.host, Place.clock_ns, Place.unix_ns, Place.port
    loop = VirtualLoop()
    loop.network = Network(loop, seed)
    Place.host, Place.port = HOST, loop.network.allocate_port
    phase_ns = round(draw.between(0.0, PHASE_S, seed, "phase") * 1e9)
    Place.clock_ns, Place.unix_ns = loop.now_ns, functools.partial(unix_ns, loop, phase_ns)
    logger = logging.getLogger("hookport")
    silent = logging.NullHandler()
    logger.addHandler(silent)
    try:
        yield loop
    finally:
        logger.removeHandler(silent)
        Place.host, Place.clock_ns, Place.unix_ns, Place.port = before
        asyncio.set_event_loop(None)
        loop.close()


def play(
    plan: plans.Plan, seed: int, progress: Progress | None = None, show: Callable[[], None] = lambda: None
) -> tuple[Row, list[Row]]:
    """The head and the rows of an evening's history; ``show`` is called whenever ``progress`` has changed.

    Raises WholeError, and SpinError or StallError where time stands still."""
    with virtual(seed) as loop:
        stray: list[str] = []

        def strayed(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
            error = context.get("exception")
            if error is not None and not isinstance(error, asyncio.CancelledError):
                stray.append(f"{type(error).__name__}: {error} ({context.get('message')})")

        loop.set_exception_handler(strayed)
        evening = Evening(plan, seed, loop, progress or Progress(), show)
        try:
            rows = loop.run_until_complete(evening.play())
        except ConfigError as error:
            raise WholeError(str(error)) from error
        if stray:
            raise WholeError(f"unhandled exception: {stray[0]}")
    head = {"e": "head", "t": 0, "form": FORMAT_VERSION, "plan": msgspec.to_builtins(plan), "seed": seed,
            "digest": evening.digest, "command": "whole depth"}  # fmt: skip
    return head, rows


def encoded(head: Row, rows: list[Row]) -> bytes:
    """The history as it is kept: one JSON object a line, as ``history.read`` takes it."""
    encode = msgspec.json.Encoder().encode
    end = {"e": "end", "t": 0, "lines": len(rows)}
    return b"".join(encode(row) + b"\n" for row in (head, *rows, end))


def digest(rows: list[Row]) -> str:
    """What two histories share only if they are alike to the last byte."""
    return hashlib.sha256(encoded({}, rows)).hexdigest()[:16]


def play_and_judge(
    plan: plans.Plan,
    seed: int,
    history: Path | None = None,
    progress: Progress | None = None,
    show: Callable[[], None] = lambda: None,
) -> tuple[judgement.Judgement, str]:
    """An evening played and judged, and its digest; its history is kept if a path is given."""
    head, rows = play(plan, seed, progress, show)
    if history:
        history.write_bytes(encoded(head, rows))
    return judgement.judge(head, rows), digest(rows)
