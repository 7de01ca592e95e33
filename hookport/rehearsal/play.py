"""One evening: starts the world, the limiters and the desks, keeps them to the plan, ends all of them.

The processes are: this one, ``world`` (servers, counter, discovery, faults), ``desks`` (clients), one for
each limiter, and a reaper that ends the others if this one is killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import resource
import shlex
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import psutil

from hookport.rehearsal import plan as plans
from hookport.rehearsal.history import Recorder, merge
from hookport.rehearsal.runtime import free_ports, random_loopback_host

READY_TIMEOUT_S = 30.0  # for a process to be ready
START_DELAY_S = 0.6  # between the last process being ready and the evening's start
END_MARGIN_S = 0.5  # after the last deadline
MAX_SHUTDOWN_S = 3.0  # after SIGTERM, or the longest deadline if that is shorter
SHUTDOWN_MARGIN_S = 0.7  # and this much more
PLANNED_STOP_NOTICE_S = 0.3  # after SIGTERM, for which new connections go on coming
USAGE_INTERVAL_S = 0.5
RELAUNCH_ATTEMPTS = 4  # in a row, of a limiter that ends before it is ready
PR_SET_PDEATHSIG = 1
SPARE_DESCRIPTORS = 200
LOG_TAIL_LINES = 6  # lines of a process's log that an error shows
DAEMON = (sys.executable, "-m", "hookport")
PLAIN = (sys.executable, "-m", "hookport.rehearsal.plain")
RIVAL = (sys.executable, "-m", "hookport.rehearsal.rival")


# The list of servers in the configuration of a limiter that is told of none.
EMPTY_SERVER_LIST: dict[str, Any] = {"generation": 0, "reset": True, "instances": []}


class PlayError(Exception):
    """The evening could not be played; the text names the cause."""


@dataclass(slots=True)
class Progress:
    """How far an evening is; ``note`` is the last thing that happened."""

    stage: str = "starting"
    elapsed_s: float = 0.0
    requests: int = 0
    served: int = 0
    refused: int = 0
    last_event: str = ""


def shutdown_timeout_s(plan: plans.Plan) -> float:
    """Seconds after SIGTERM until SIGKILL, no sooner than the platform's."""
    return min(plan.max_deadline_s, MAX_SHUTDOWN_S) + SHUTDOWN_MARGIN_S


def descriptors_needed(plan: plans.Plan) -> int:
    """Descriptors that the busiest of the kit's processes may need."""
    listeners = plan.limiters.count * (plan.fleet.servers + 3)
    return listeners + plan.limiters.count * plan.limiters.sockets // 2 + SPARE_DESCRIPTORS


def raise_descriptor_limit(plan: plans.Plan) -> None:
    """Raise the soft limit on descriptors to what the plan needs; PlayError if the hard one forbids it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    need = descriptors_needed(plan)
    if hard != resource.RLIM_INFINITY and need > hard:
        raise PlayError(
            f"the plan needs {need} descriptors, {hard} are allowed: raise 'ulimit -n', "
            "or lower fleet.servers, limiters.count or limiters.sockets"
        )
    if soft != resource.RLIM_INFINITY and need > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))


def kill_with_parent(parent: int) -> Callable[[], None]:
    """For a child before it starts: the kernel kills it when its parent dies, however that happens."""

    def hold() -> None:
        with contextlib.suppress(OSError, AttributeError):  # not Linux: the reaper alone has to do
            ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:
            os._exit(1)

    return hold


class Reaper:
    """Tells the reaper's process what to end if this one is killed."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hookport.rehearsal.reaper", stdin=asyncio.subprocess.PIPE
        )

    def send(self, word: str, value: object) -> None:
        if self.process and self.process.stdin and not self.process.stdin.is_closing():
            self.process.stdin.write(f"{word} {value}\n".encode())

    async def close(self) -> None:
        if self.process and self.process.stdin:
            self.process.stdin.close()
            await self.process.wait()


class Worker:
    """A process of the kit's own, with orders to it and events from it as JSON lines."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.process, self.log = name, process, log

    def order(self, **told: Any) -> None:
        if self.process.stdin and not self.process.stdin.is_closing():
            self.process.stdin.write(json.dumps(told).encode() + b"\n")

    async def event(self) -> dict[str, Any]:
        """The next event; PlayError when there is none any more."""
        assert self.process.stdout
        line = await self.process.stdout.readline()
        if not line:
            raise PlayError(f"the {self.name} process ended: {tail(self.log)}")
        told: dict[str, Any] = json.loads(line)
        if told["ev"] == "failed":
            raise PlayError(told["why"])
        return told

    async def wait_for(self, kind: str, wait_s: float = READY_TIMEOUT_S) -> dict[str, Any]:
        try:
            async with asyncio.timeout(wait_s):
                while (told := await self.event())["ev"] != kind:
                    pass
        except TimeoutError:
            raise PlayError(f"the {self.name} process said nothing for {wait_s:g} s") from None
        return told


@dataclass(slots=True)
class Life:
    """One limiter, over all its processes."""

    number: int
    port: int
    config: Path
    log: Path
    process: asyncio.subprocess.Process | None = None
    count: int = 0  # of processes so far
    stopping: bool = False
    ready: bool = False
    cpu_s: float = 0.0  # of processes that have ended
    now_s: float = 0.0  # of the present one
    told: dict[str, Any] = field(default_factory=dict)
    known: asyncio.Event = field(default_factory=asyncio.Event)  # the list of servers for its next start


def tail(path: Path) -> str:
    """The last lines of a log, as one line."""
    try:
        lines = path.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
    except OSError:
        return "no log"
    return " | ".join(line.strip()[:200] for line in lines if line.strip()) or "it said nothing"


class Play:
    """One evening from start to the merged history; ``close`` leaves nothing behind, whatever happened."""

    def __init__(
        self,
        plan: plans.Plan,
        seed: int,
        command: Sequence[str] = DAEMON,
        progress: Progress | None = None,
    ) -> None:
        self.plan, self.seed, self.command = plan, seed, tuple(command)
        self.progress = progress or Progress()
        self.host = random_loopback_host()
        self.folder = Path()
        self.reaper = Reaper()
        self.workers: dict[str, Worker] = {}
        self.lives: list[Life] = []
        self.children: list[asyncio.subprocess.Process] = []
        self.recorder: Recorder | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.start_ns = 0
        self.digest = ""
        self.open = 1

    async def run(self, history: Path) -> None:
        """Play the evening and write its history; raises PlayError."""
        raise_descriptor_limit(self.plan)
        try:
            await self.start()
            await self.evening()
            await self.finish(history)
        except OSError as error:
            raise PlayError(f"{error.strerror or error}") from error
        finally:
            await self.close()

    # Start

    async def start(self) -> None:
        plan = self.plan
        await self.reaper.start()
        self.folder = Path(tempfile.mkdtemp(prefix="hookport-rehearsal-"))
        self.reaper.send("dir", self.folder)
        self.recorder = Recorder(self.folder / "main.part")
        ports = self.limiter_ports()
        free = free_ports(self.host)
        words = [next(free) for _ in ports] if plan.peers.allowed else []
        told_plan = msgspec.to_builtins(plan)
        world = await self.worker("world")
        world.order(op="start", plan=told_plan, seed=self.seed, part=str(self.folder / "world.part"),
                    limiters=ports, words=words, host=self.host)  # fmt: skip
        places = await world.wait_for("ready")
        for number, port in enumerate(ports):
            life = Life(number, port, self.folder / f"n{number}.json", self.folder / f"n{number}.log")
            life.told = plans.limiter_config(plan, self.seed, number, self.host, port, places)
            self.lives.append(life)
        await asyncio.gather(*(self.launch(life) for life in self.lives))
        desks = await self.worker("desks")
        desks.order(op="start", plan=told_plan, seed=self.seed, part=str(self.folder / "desks.part"),
                    ports=places["fronts"], host=self.host)  # fmt: skip
        ready = await desks.wait_for("ready")
        self.digest = ready["digest"]

    def limiter_ports(self) -> list[int]:
        base, count = self.plan.limiters.base_port, self.plan.limiters.count
        if base:
            return list(range(base, base + count))
        free = free_ports(self.host)
        return [next(free) for _ in range(count)]

    async def child(self, *words: str, **more: Any) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            *words, start_new_session=True, preexec_fn=kill_with_parent(os.getpid()), **more
        )
        self.children.append(process)
        self.reaper.send("pid", process.pid)
        return process

    async def worker(self, name: str) -> Worker:
        log = self.folder / f"{name}.log"
        with open(log, "wb") as errors:
            process = await self.child(
                sys.executable, "-m", f"hookport.rehearsal.{name}",
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=errors, limit=1 << 24,
            )  # fmt: skip
        self.workers[name] = Worker(name, process, log)
        return self.workers[name]

    async def launch(self, life: Life) -> None:
        """Start a limiter and wait until it answers PING."""
        life.config.write_text(json.dumps(life.told))
        environ = {**os.environ, "PROXY_CONFIG": str(life.config)}
        for name in ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "HOOKPORT_OPTIONS"):
            environ.pop(name, None)
        if self.plan.limiters.kept_list:
            options = self.folder / "options.json"
            keeps = {"path": f"{self.folder}/{{name}}.kept", "fleet": "rehearsal", "write_s": 0.5}
            options.write_text(json.dumps({"membership": keeps}))
            environ["HOOKPORT_OPTIONS"] = str(options)
        with open(life.log, "ab") as log:
            try:
                life.process = await self.child(
                    *self.command, env=environ, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
                )
            except OSError as error:
                words = shlex.join(self.command)
                raise PlayError(f"limiter {life.number} cannot be started: {words}: {error}") from error
        life.count += 1
        life.stopping, life.ready, life.now_s = False, False, 0.0
        ends = time.monotonic() + READY_TIMEOUT_S
        while not await self.answers(life.port):
            if life.process.returncode is not None:
                raise PlayError(
                    f"limiter {life.number} ended with status {life.process.returncode} before it was ready "
                    f"on {self.host}:{life.port}: {tail(life.log)}"
                )
            if time.monotonic() > ends:
                raise PlayError(
                    f"limiter {life.number} was not ready after {READY_TIMEOUT_S:g} s: {tail(life.log)}"
                )
            await asyncio.sleep(0.02)
        life.ready = True
        self.limiter(life, "ready")

    async def relaunch(self, life: Life) -> None:
        """Start a limiter anew; one that ends before it is ready is tried again, a few times."""
        for left in reversed(range(RELAUNCH_ATTEMPTS)):
            try:
                return await self.launch(life)
            except PlayError:
                code = life.process.returncode if life.process else None
                if not left or code is None:
                    raise
                self.limiter(life, "gone", code=code)
                await asyncio.sleep(0.5)

    async def answers(self, port: int) -> bool:
        """Whether a limiter answers PING; a stranger on its port does not count."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, port)
                try:
                    writer.write(b"*1\r\n$4\r\nPING\r\n")
                    return (await reader.readline()) == b"+PONG\r\n"
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return False

    def limiter(self, life: Life, what: str, **more: Any) -> None:
        self.note({"e": "limiter", "l": life.number, "what": what, "p": life.count, **more})

    def note(self, row: dict[str, Any]) -> None:
        if self.recorder:
            self.recorder.record({"t": time.monotonic_ns(), **row})

    # The evening

    async def evening(self) -> None:
        world, desks = self.workers["world"], self.workers["desks"]
        self.start_ns = time.monotonic_ns() + round(START_DELAY_S * 1e9)
        for worker in (world, desks):
            worker.order(op="go", start_ns=self.start_ns)
        self.progress.stage = "playing"
        for call in (self.follow(world), self.follow(desks), self.sample()):
            self.spawn(call)
        for life in self.lives:
            self.spawn(self.guard(life))
        length_s = self.plan.length_s + self.plan.max_deadline_s + END_MARGIN_S
        ends_ns = self.start_ns + round(length_s * 1e9)
        earliest_ns = self.start_ns + round((self.plan.length_s + END_MARGIN_S) * 1e9)
        while (now_ns := time.monotonic_ns()) < ends_ns and not (now_ns > earliest_ns and not self.open):
            self.progress.elapsed_s = max(0.0, (now_ns - self.start_ns) / 1e9)
            await asyncio.wait({self.failed}, timeout=0.1)
            if self.failed.done():
                self.failed.result()

    def spawn(self, call: Any) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.over)

    def over(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) and not self.failed.done():
            self.failed.set_exception(error)

    async def follow(self, worker: Worker) -> None:
        """Take a worker's events until it has ended."""
        while True:
            told = await worker.event()
            if told["ev"] == "beat":
                self.progress.requests, self.progress.served = told["asked"], told["served"]
                self.progress.refused, self.open = told["refused"], told["open"]
            elif told["ev"] == "fault":
                self.progress.last_event = told["text"]
            elif told["ev"] == "limiter":
                self.spawn(self.signal(self.lives[told["l"]], told))
            elif told["ev"] == "known":
                self.lives[told["l"]].told["known"] = told["known"]
                self.lives[told["l"]].known.set()
            elif told["ev"] == "ended":
                return

    async def signal(self, life: Life, told: dict[str, Any]) -> None:
        """What the timeline does to a limiter."""
        process, what = life.process, told["signal"]
        if process is None or process.returncode is not None or life.stopping:
            return
        if what == "HUP":
            for name in ("discovery", "counter"):
                life.told[name] = f"{self.host}:{told[name]}"
            new = life.config.with_suffix(".new")
            new.write_text(json.dumps(life.told))
            new.replace(life.config)
            self.limiter(life, "hup")
            process.send_signal(signal.SIGHUP)
            return
        if what == "STOP":
            self.limiter(life, "stop")
            until_ns = time.monotonic_ns() + round((told["back_s"] + 1) * 1e9)
            self.note({"e": "excuse", "l": life.number, "until": until_ns})
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(told["back_s"])
            process.send_signal(signal.SIGCONT)
            self.limiter(life, "cont")
            return
        life.stopping = True
        planned = what == "TERM"
        if planned:
            self.limiter(life, "term")
            process.terminate()
            await self.end_in_time(life, process, PLANNED_STOP_NOTICE_S)
        else:
            self.limiter(life, "kill")
            process.kill()
            self.tell_desks(life, False, False)
            await process.wait()
        life.known.clear()
        await asyncio.sleep(told["back_s"])
        if self.plan.limiters.known == "none":
            life.told["known"] = EMPTY_SERVER_LIST
        else:
            self.workers["world"].order(op="known", l=life.number)
            await asyncio.wait_for(life.known.wait(), READY_TIMEOUT_S)
        life.cpu_s += life.now_s
        await self.relaunch(life)
        self.tell_desks(life, True, True)
        self.spawn(self.guard(life))

    async def end_in_time(self, life: Life, process: asyncio.subprocess.Process, planned_s: float) -> None:
        """Wait for the end after SIGTERM, or bring it about."""
        wait_s = shutdown_timeout_s(self.plan)
        asyncio.get_running_loop().call_later(planned_s, self.tell_desks, life, False, True)
        try:
            code = await asyncio.wait_for(process.wait(), wait_s)
            self.limiter(life, "exit", code=code)
        except TimeoutError:
            self.limiter(life, "overdue")
            process.kill()
            await process.wait()

    def tell_desks(self, life: Life, up: bool, planned: bool) -> None:
        if desks := self.workers.get("desks"):
            desks.order(op="limiter", l=life.number, up=up, p=life.count, planned=planned)

    async def guard(self, life: Life) -> None:
        """Note a limiter that ends unasked; it is started again, as the platform would."""
        process = life.process
        if process is None:
            return
        code = await process.wait()
        if life.stopping:
            return
        life.stopping = True
        self.limiter(life, "gone", code=code)
        self.progress.last_event = f"limiter {life.number} ended by itself: {tail(life.log)[:80]}"
        self.tell_desks(life, False, False)
        await asyncio.sleep(1.0)
        life.cpu_s += life.now_s
        await self.relaunch(life)
        self.tell_desks(life, True, True)
        self.spawn(self.guard(life))

    async def sample(self) -> None:
        """CPU and memory of each limiter, with the processes that it started."""
        last_s = time.monotonic()
        while True:
            for life in self.lives:
                if life.process is None or life.process.returncode is not None:
                    continue
                try:
                    root = psutil.Process(life.process.pid)
                    family = [root, *root.children(recursive=True)]
                    times = [p.cpu_times() for p in family]
                    rss = sum(p.memory_info().rss for p in family)
                except psutil.Error:
                    continue  # it ended in between: what it used so far is noted
                life.now_s = sum(t.user + t.system for t in times)
                self.note({"e": "usage", "l": life.number, "cpu_s": round(life.cpu_s + life.now_s, 3),
                           "rss_mb": round(rss / (1 << 20), 2), "p": life.count})  # fmt: skip
            await asyncio.sleep(USAGE_INTERVAL_S)
            now_s = time.monotonic()
            held_ms = (now_s - last_s - USAGE_INTERVAL_S) * 1000
            last_s = now_s
            if held_ms > 150:
                self.note({"e": "lag", "who": "main", "ms": round(held_ms, 1)})

    # The end

    async def finish(self, history: Path) -> None:
        self.progress.stage = "ending"
        for task in list(self.tasks):  # no limiter is started or signalled any more
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        ending = []
        for life in self.lives:
            process = life.process
            if process is None or process.returncode is not None:
                continue
            if not life.ready or life.stopping:  # in the middle of a restart: its end tells nothing
                process.kill()
                continue
            life.stopping = True
            self.limiter(life, "term")
            process.terminate()
            ending.append(self.end_in_time(life, process, 0.0))
        await asyncio.gather(*ending)
        for worker in self.workers.values():
            worker.order(op="end")
        for worker in self.workers.values():
            try:
                await asyncio.wait_for(worker.process.wait(), READY_TIMEOUT_S)
            except TimeoutError:
                raise PlayError(f"the {worker.name} process did not end: {tail(worker.log)}") from None
        if self.recorder:
            self.recorder.close()
        head = {"plan": msgspec.to_builtins(self.plan), "seed": self.seed, "digest": self.digest,
                "command": " ".join(self.command[1:]) or self.command[0]}  # fmt: skip
        parts = [self.folder / f"{name}.part" for name in ("main", "world", "desks")]
        await asyncio.to_thread(merge, head, parts, self.start_ns, history)

    async def close(self) -> None:
        """End and reap all that was started; remove the folder."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.failed.done():
            self.failed.exception()  # told already, or the play ended first
        for process in self.children:
            if process.returncode is None:
                process.kill()
        for process in self.children:
            await process.wait()
            self.reaper.send("done", process.pid)
        if self.recorder:
            self.recorder.close()
        if self.folder != Path():
            shutil.rmtree(self.folder, ignore_errors=True)
        await self.reaper.close()
