"""Runs a plan of the test harness in one process and in virtual time (``--in whole``).

The daemon's code and the harness's simulated servers, counter and discovery, desks, fault proxy and datagrams
are the same as in real time; only time and transport are replaced (``loop.py``, ``network.py``). The result
depends on plan, seed and code only: the same three give the same history, byte for byte.

Not simulated: CPU and memory use of the daemons (a callback takes no time, and the referee's rule on memory
has no samples to check), the delay of signals, and differences between uvloop and asyncio. This module
replaces the orchestrator of ``rehearsal/play.py`` and controls the limiters in the same way.
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
from hookport.rehearsal.play import (
    EMPTY_SERVER_LIST,
    END_MARGIN_S,
    PLANNED_STOP_NOTICE_S,
    START_DELAY_S,
    Progress,
    shutdown_timeout_s,
)
from hookport.rehearsal.runtime import Environment
from hookport.rehearsal.world import World

__all__ = [
    "VirtualRun", "SpinError", "StallError", "WholeError", "digest", "encoded", "play_and_judge", "play",
    "virtual_loop",
]  # fmt: skip
HOST = "127.0.0.1"
UNIX_START_NS = 1_790_000_000 * 1_000_000_000  # Unix time at zero of the loop's clock, plus up to MAX_PHASE_S
# The longest window of the counter. The seed draws where in a run the window boundaries fall.
MAX_PHASE_S = 60.0
POLL_INTERVAL_S = 0.1
SETTLE_S = 0.05  # wait after the end, so that the last answers are recorded


class WholeError(Exception):
    """The plan cannot be run in virtual time, or the run failed; the message is one line."""


class MemoryRecorder:
    """Replaces a history recorder: keeps the rows in memory."""

    def __init__(self) -> None:
        self.rows: list[Row] = []

    def record(self, row: Row) -> None:
        self.rows.append(row)


class LimiterSlot:
    """One limiter, across all restarts of its process."""

    def __init__(self, number: int, config: dict[str, Any]) -> None:
        self.number, self.config = number, config
        self.starts = 0  # number of starts of its process so far
        self.process: SimulatedProcess | None = None
        self.node: Node | None = None
        self.exited: asyncio.Event = asyncio.Event()  # the current process has shut down gracefully
        self.stopping = False


def check_supported(plan: plans.Plan) -> None:
    """Raise WholeError if the plan needs what virtual time does not simulate."""
    if plan.limiters.kept_list:
        raise WholeError("limiters.kept_list: there is no disk in virtual time; run this plan in real time")


class VirtualRun:
    """One run of a plan, from the first listener to the history."""

    def __init__(
        self,
        plan: plans.Plan,
        seed: int,
        loop: VirtualLoop,
        progress: Progress,
        on_progress: Callable[[], None],
    ) -> None:
        check_supported(plan)
        self.plan, self.seed, self.loop, self.progress, self.on_progress = (
            plan,
            seed,
            loop,
            progress,
            on_progress,
        )
        self.network = loop.network
        self.recorder = MemoryRecorder()
        self.limiters: list[LimiterSlot] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.failures: list[str] = []
        self.start_ns = 0
        self.digest = ""

    def record_event(self, event: str, slot: LimiterSlot, **fields: Any) -> None:
        self.recorder.record({"t": Environment.clock_ns(), "e": "limiter", "l": slot.number, "what": event,
                              "p": slot.starts, **fields})  # fmt: skip

    async def execute(self) -> list[Row]:
        plan, count = self.plan, self.plan.limiters.count
        ports = [self.network.allocate_port() for _ in range(count)]
        peer_ports = [self.network.allocate_port() for _ in range(count)] if plan.peers.allowed else []
        self.world = World(plan, self.seed, self.recorder, self.on_world_event)  # type: ignore[arg-type]
        addresses = await self.world.start(ports, peer_ports)
        for number, port in enumerate(ports):
            config = plans.limiter_config(plan, self.seed, number, HOST, port, addresses)
            self.limiters.append(LimiterSlot(number, config))
        for slot in self.limiters:
            await self.start_limiter(slot)
        self.desks = Desks(plan, self.seed, self.recorder, addresses["fronts"])  # type: ignore[arg-type]
        self.digest = draw.digest(self.desks.arrivals)
        self.start_ns = Environment.clock_ns() + round(START_DELAY_S * 1e9)
        self.world.schedule_faults(self.start_ns)
        self.desks.start(self.start_ns)
        await self.wait_until_done()
        await self.finish()
        return self.history()

    async def wait_until_done(self) -> None:
        """Wait until all requests are answered or overdue."""
        plan = self.plan
        latest_end_ns = self.start_ns + round((plan.length_s + plan.max_deadline_s + END_MARGIN_S) * 1e9)
        earliest_end_ns = self.start_ns + round((plan.length_s + END_MARGIN_S) * 1e9)
        while (now_ns := Environment.clock_ns()) < latest_end_ns:
            desks = self.desks
            if (
                now_ns > earliest_end_ns
                and not desks.open_due_ns
                and desks.next_arrival == len(desks.arrivals)
            ):
                return
            progress = self.progress
            progress.stage, progress.elapsed_s = "playing", max(0.0, (now_ns - self.start_ns) / 1e9)
            progress.requests, progress.served, progress.refused = desks.asked, desks.served, desks.refused
            self.on_progress()
            if self.failures:
                raise WholeError(self.failures[0])
            await asyncio.sleep(POLL_INTERVAL_S)

    async def finish(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        running = [slot for slot in self.limiters if slot.node and not slot.stopping]
        for slot in running:
            slot.stopping = True
            self.record_event("term", slot)
        await asyncio.gather(*(self.stop_limiter(slot, 0.0) for slot in running))
        self.desks.stop()
        await asyncio.sleep(SETTLE_S)
        self.world.close()
        if self.failures:
            raise WholeError(self.failures[0])

    def history(self) -> list[Row]:
        """Return the rows in order of time, relative to the start of the run."""
        rows = sorted(self.recorder.rows, key=lambda row: int(row["t"]))
        return [rebase(row, self.start_ns) for row in rows]

    # Limiters

    async def start_limiter(self, slot: LimiterSlot) -> None:
        slot.starts += 1
        slot.process, slot.exited, slot.stopping = (
            SimulatedProcess(f"n{slot.number}.{slot.starts}"),
            asyncio.Event(),
            False,
        )
        config = parse_config(slot.config, {})
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESS.set, slot.process)
        node = slot.node = context.run(
            Node, config, self.loop, Environment.clock_ns, Environment.unix_ns, self.network
        )
        started = asyncio.Event()
        self.loop.create_task(self.run_limiter(slot, node, started), context=context).add_done_callback(
            self.on_task_done
        )
        await started.wait()
        if self.failures:
            raise WholeError(f"limiter {slot.number} cannot start: {self.failures[0]}")
        self.record_event("ready", slot)

    async def run_limiter(self, slot: LimiterSlot, node: Node, started: asyncio.Event) -> None:
        """Run a limiter until it has shut down, as ``hookport.daemon`` does."""
        try:
            await node.start()
        except OSError as error:
            self.failures.append(str(error))
        finally:
            started.set()
        await node.clients.done.wait()
        node.close()
        slot.exited.set()

    def call_in_process(self, slot: LimiterSlot, function: Callable[..., object], *args: Any) -> None:
        """Call a function in the limiter's process, as a signal handler would."""
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESS.set, slot.process)
        self.loop.call_soon(function, *args, context=context)

    def start_task(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.failures.append(f"{type(error).__name__}: {error}")

    def on_world_event(self, **event: Any) -> None:
        """Handle an event of the world's timeline."""
        if event["ev"] == "limiter":
            self.start_task(self.send_signal(self.limiters[event["l"]], event))
        elif event["ev"] == "fault":
            self.progress.last_event = event["text"]
        elif event["ev"] == "failed":
            self.failures.append(event["why"])

    async def send_signal(self, slot: LimiterSlot, event: dict[str, Any]) -> None:
        signal, process, node = event["signal"], slot.process, slot.node
        if process is None or node is None or slot.stopping:
            return
        if signal == "HUP":
            for name in ("discovery", "counter"):
                slot.config[name] = f"{HOST}:{event[name]}"
            self.record_event("hup", slot)
            self.call_in_process(slot, node.reconfigure, parse_config(slot.config, {}))
            return
        if signal == "STOP":
            self.record_event("stop", slot)
            until_ns = Environment.clock_ns() + round((event["back_s"] + 1) * 1e9)
            self.recorder.record(
                {"t": Environment.clock_ns(), "e": "excuse", "l": slot.number, "until": until_ns}
            )
            process.stopped_until_s = self.loop.time() + event["back_s"]
            await asyncio.sleep(event["back_s"])
            self.record_event("cont", slot)
            return
        slot.stopping = True
        if signal == "TERM":
            self.record_event("term", slot)
            await self.stop_limiter(slot, PLANNED_STOP_NOTICE_S)
        else:
            self.record_event("kill", slot)
            self.network.kill(process)
            self.desks.set_limiter_state(slot.number, False, slot.starts, False)
        await asyncio.sleep(event["back_s"])
        agent = self.world.agents[slot.number]
        starts_without_list = self.plan.limiters.known == "none"
        slot.config["known"] = EMPTY_SERVER_LIST if starts_without_list else agent.known_list(notified=True)
        await self.start_limiter(slot)
        self.desks.set_limiter_state(slot.number, True, slot.starts, True)

    async def stop_limiter(self, slot: LimiterSlot, notice_s: float) -> None:
        assert slot.node and slot.process
        self.call_in_process(slot, slot.node.shut_down)
        self.loop.call_later(notice_s, self.desks.set_limiter_state, slot.number, False, slot.starts, True)
        try:
            async with asyncio.timeout(shutdown_timeout_s(self.plan)):
                await slot.exited.wait()
            self.record_event("exit", slot, code=0)
            slot.process.terminated = True
        except TimeoutError:
            self.record_event("overdue", slot)
            self.network.kill(slot.process)


def unix_ns(loop: VirtualLoop, phase_ns: int) -> int:
    return UNIX_START_NS + phase_ns + loop.now_ns()


@contextmanager
def virtual_loop(seed: int) -> Iterator[VirtualLoop]:
    """Create a loop with a network; within the block the harness uses their clocks and ports."""
    saved_environment = Environment.host, Environment.clock_ns, Environment.unix_ns, Environment.allocate_port
    loop = VirtualLoop()
    loop.network = Network(loop, seed)
    Environment.host, Environment.allocate_port = HOST, loop.network.allocate_port
    phase_ns = round(draw.uniform_between(0.0, MAX_PHASE_S, seed, "phase") * 1e9)
    Environment.clock_ns, Environment.unix_ns = loop.now_ns, functools.partial(unix_ns, loop, phase_ns)
    logger = logging.getLogger("hookport")
    null_handler = logging.NullHandler()
    logger.addHandler(null_handler)
    try:
        yield loop
    finally:
        logger.removeHandler(null_handler)
        Environment.host, Environment.clock_ns, Environment.unix_ns, Environment.allocate_port = (
            saved_environment
        )
        asyncio.set_event_loop(None)
        loop.close()


def play(
    plan: plans.Plan,
    seed: int,
    progress: Progress | None = None,
    on_progress: Callable[[], None] = lambda: None,
) -> tuple[Row, list[Row]]:
    """Run a plan; return the head and the rows of its history.

    ``on_progress`` is called whenever ``progress`` has changed. Raises WholeError, and SpinError or
    StallError if time cannot advance.
    """
    with virtual_loop(seed) as loop:
        unhandled: list[str] = []

        def on_unhandled(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
            error = context.get("exception")
            if error is not None and not isinstance(error, asyncio.CancelledError):
                unhandled.append(f"{type(error).__name__}: {error} ({context.get('message')})")

        loop.set_exception_handler(on_unhandled)
        run = VirtualRun(plan, seed, loop, progress or Progress(), on_progress)
        try:
            rows = loop.run_until_complete(run.execute())
        except ConfigError as error:
            raise WholeError(str(error)) from error
        if unhandled:
            raise WholeError(f"unhandled exception: {unhandled[0]}")
    head = {"e": "head", "t": 0, "form": FORMAT_VERSION, "plan": msgspec.to_builtins(plan), "seed": seed,
            "digest": run.digest, "command": "whole depth"}  # fmt: skip
    return head, rows


def encoded(head: Row, rows: list[Row]) -> bytes:
    """Return the history in the format of ``history.read``: one JSON object per line."""
    encode = msgspec.json.Encoder().encode
    end = {"e": "end", "t": 0, "lines": len(rows)}
    return b"".join(encode(row) + b"\n" for row in (head, *rows, end))


def digest(rows: list[Row]) -> str:
    """Return a digest of the rows, to compare histories."""
    return hashlib.sha256(encoded({}, rows)).hexdigest()[:16]


def play_and_judge(
    plan: plans.Plan,
    seed: int,
    history: Path | None = None,
    progress: Progress | None = None,
    on_progress: Callable[[], None] = lambda: None,
) -> tuple[judgement.Judgement, str]:
    """Run a plan, judge it, and return the judgement and the digest.

    The history is written if a path is given.
    """
    head, rows = play(plan, seed, progress, on_progress)
    if history:
        history.write_bytes(encoded(head, rows))
    return judgement.judge(head, rows), digest(rows)
