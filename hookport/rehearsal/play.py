"""The orchestrator of a run: starts the world, the limiters and the desks, follows the plan, stops them all.

The processes are this one, ``world`` (servers, counter, discovery, faults), ``desks`` (clients), one for each
limiter, and a reaper that kills the others if this one is killed.
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

READY_TIMEOUT_S = 30.0  # Time for a process to become ready, or a worker to answer.
START_DELAY_S = 0.6  # Time from the last process being ready to the start of the plan's timeline.
END_MARGIN_S = 0.5  # Time after the last deadline for which the run waits for replies.
# A limiter has from SIGTERM until the longest deadline, at most MAX_SHUTDOWN_S, and the margin more to exit.
MAX_SHUTDOWN_S = 3.0
SHUTDOWN_MARGIN_S = 0.7
PLANNED_STOP_NOTICE_S = 0.3  # Time after SIGTERM until clients open no more connections to the limiter.
USAGE_INTERVAL_S = 0.5
RELAUNCH_ATTEMPTS = 4  # Consecutive starts of a limiter that exits before it is ready.
PR_SET_PDEATHSIG = 1
SPARE_DESCRIPTORS = 200
LOG_TAIL_LINES = 6  # Lines of a process's log that an error message contains.
DAEMON = (sys.executable, "-m", "hookport")
PLAIN = (sys.executable, "-m", "hookport.rehearsal.plain")
RIVAL = (sys.executable, "-m", "hookport.rehearsal.rival")


# The server list in the configuration of a limiter that starts without one.
EMPTY_SERVER_LIST: dict[str, Any] = {"generation": 0, "reset": True, "instances": []}


class PlayError(Exception):
    """The run could not be completed; the message names the cause."""


@dataclass(slots=True)
class Progress:
    """The progress of a run, for display."""

    stage: str = "starting"
    elapsed_s: float = 0.0
    requests: int = 0
    served: int = 0
    refused: int = 0
    last_event: str = ""


def shutdown_timeout_s(plan: plans.Plan) -> float:
    """Time from SIGTERM to SIGKILL, at least as long as the platform waits."""
    return min(plan.max_deadline_s, MAX_SHUTDOWN_S) + SHUTDOWN_MARGIN_S


def descriptors_needed(plan: plans.Plan) -> int:
    """The maximum number of file descriptors that one process of the test harness may need."""
    listeners = plan.limiters.count * (plan.fleet.servers + 3)
    return listeners + plan.limiters.count * plan.limiters.sockets // 2 + SPARE_DESCRIPTORS


def raise_descriptor_limit(plan: plans.Plan) -> None:
    """Raise the soft limit on open files to what the plan needs.

    Raises PlayError if the hard limit is lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = descriptors_needed(plan)
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise PlayError(
            f"the plan needs {needed} descriptors, {hard} are allowed; raise 'ulimit -n', "
            "or lower fleet.servers, limiters.count or limiters.sockets"
        )
    if soft != resource.RLIM_INFINITY and needed > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


def kill_with_parent(parent: int) -> Callable[[], None]:
    """A ``preexec_fn`` that makes the kernel kill the child when its parent dies for whatever reason."""

    def set_death_signal() -> None:
        with contextlib.suppress(OSError, AttributeError):  # other systems than Linux rely on the reaper
            ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:
            os._exit(1)

    return set_death_signal


class Reaper:
    """The reaper process, which cleans up if this process is killed."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hookport.rehearsal.reaper", stdin=asyncio.subprocess.PIPE
        )

    def send(self, keyword: str, value: object) -> None:
        """Send a line of the protocol that ``hookport.rehearsal.reaper`` describes."""
        if self.process and self.process.stdin and not self.process.stdin.is_closing():
            self.process.stdin.write(f"{keyword} {value}\n".encode())

    async def close(self) -> None:
        if self.process and self.process.stdin:
            self.process.stdin.close()
            await self.process.wait()


class Worker:
    """The world or the desks process: takes orders and sends events as JSON lines."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log_path: Path) -> None:
        self.name, self.process, self.log_path = name, process, log_path

    def send_order(self, **order: Any) -> None:
        if self.process.stdin and not self.process.stdin.is_closing():
            self.process.stdin.write(json.dumps(order).encode() + b"\n")

    async def next_event(self) -> dict[str, Any]:
        """The next event; raises PlayError if the process has failed or exited."""
        assert self.process.stdout
        line = await self.process.stdout.readline()
        if not line:
            raise PlayError(f"the {self.name} process exited: {log_tail(self.log_path)}")
        event: dict[str, Any] = json.loads(line)
        if event["ev"] == "failed":
            raise PlayError(event["why"])
        return event

    async def wait_for(self, event_name: str, timeout_s: float = READY_TIMEOUT_S) -> dict[str, Any]:
        """The next event of that name; raises PlayError after ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                while (event := await self.next_event())["ev"] != event_name:
                    pass
        except TimeoutError:
            raise PlayError(f"the {self.name} process did not respond within {timeout_s:g} s") from None
        return event


@dataclass(slots=True)
class ManagedLimiter:
    """One limiter with its present process and the figures of its earlier ones."""

    number: int
    port: int
    config_path: Path
    log_path: Path
    process: asyncio.subprocess.Process | None = None
    start_count: int = 0
    stopping: bool = False
    ready: bool = False
    past_cpu_s: float = 0.0  # CPU time of the processes that have exited
    current_cpu_s: float = 0.0  # CPU time of the present process
    config: dict[str, Any] = field(default_factory=dict)
    # Set when the server list for the next start has arrived in ``config``.
    list_received: asyncio.Event = field(default_factory=asyncio.Event)


def log_tail(path: Path) -> str:
    """The last lines of a log file, joined into one."""
    try:
        lines = path.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
    except OSError:
        return "no log file"
    return " | ".join(line.strip()[:200] for line in lines if line.strip()) or "the log is empty"


class Play:
    """One run of a plan, from the start of its processes to the merged history.

    ``run`` stops its processes and removes its files even if it fails or is cancelled."""

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
        self.limiters: list[ManagedLimiter] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.recorder: Recorder | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.start_ns = 0
        self.digest = ""
        self.open_requests = 1

    async def run(self, history: Path) -> None:
        """Run the plan and write its history; raises PlayError."""
        raise_descriptor_limit(self.plan)
        try:
            await self.start()
            await self.run_timeline()
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
        peer_ports = [next(free) for _ in ports] if plan.peers.allowed else []
        plan_table = msgspec.to_builtins(plan)
        world = await self.start_worker("world")
        world.send_order(op="start", plan=plan_table, seed=self.seed, part=str(self.folder / "world.part"),
                         limiters=ports, words=peer_ports, host=self.host)  # fmt: skip
        addresses = await world.wait_for("ready")
        for number, port in enumerate(ports):
            limiter = ManagedLimiter(
                number, port, self.folder / f"n{number}.json", self.folder / f"n{number}.log"
            )
            limiter.config = plans.limiter_config(plan, self.seed, number, self.host, port, addresses)
            self.limiters.append(limiter)
        await asyncio.gather(*(self.start_limiter(limiter) for limiter in self.limiters))
        desks = await self.start_worker("desks")
        desks.send_order(op="start", plan=plan_table, seed=self.seed, part=str(self.folder / "desks.part"),
                         ports=addresses["fronts"], host=self.host)  # fmt: skip
        ready = await desks.wait_for("ready")
        self.digest = ready["digest"]

    def limiter_ports(self) -> list[int]:
        base, count = self.plan.limiters.base_port, self.plan.limiters.count
        if base:
            return list(range(base, base + count))
        free = free_ports(self.host)
        return [next(free) for _ in range(count)]

    async def start_process(self, *command: str, **options: Any) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            *command, start_new_session=True, preexec_fn=kill_with_parent(os.getpid()), **options
        )
        self.processes.append(process)
        self.reaper.send("pid", process.pid)
        return process

    async def start_worker(self, name: str) -> Worker:
        log_path = self.folder / f"{name}.log"
        with open(log_path, "wb") as log:
            process = await self.start_process(
                sys.executable, "-m", f"hookport.rehearsal.{name}",
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=log, limit=1 << 24,
            )  # fmt: skip
        self.workers[name] = Worker(name, process, log_path)
        return self.workers[name]

    async def start_limiter(self, limiter: ManagedLimiter) -> None:
        """Start a limiter and wait until it answers PING."""
        limiter.config_path.write_text(json.dumps(limiter.config))
        environ = {**os.environ, "PROXY_CONFIG": str(limiter.config_path)}
        for name in ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "HOOKPORT_OPTIONS"):
            environ.pop(name, None)
        if self.plan.limiters.kept_list:
            options_path = self.folder / "options.json"
            membership = {"path": f"{self.folder}/{{name}}.kept", "fleet": "rehearsal", "write_s": 0.5}
            options_path.write_text(json.dumps({"membership": membership}))
            environ["HOOKPORT_OPTIONS"] = str(options_path)
        with open(limiter.log_path, "ab") as log:
            try:
                limiter.process = await self.start_process(
                    *self.command, env=environ, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
                )
            except OSError as error:
                command = shlex.join(self.command)
                raise PlayError(f"limiter {limiter.number} cannot be started: {command}: {error}") from error
        limiter.start_count += 1
        limiter.stopping, limiter.ready, limiter.current_cpu_s = False, False, 0.0
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.answers_ping(limiter.port):
            if limiter.process.returncode is not None:
                raise PlayError(
                    f"limiter {limiter.number} ended with status {limiter.process.returncode} "
                    f"before it was ready on {self.host}:{limiter.port}: {log_tail(limiter.log_path)}"
                )
            if time.monotonic() > deadline_s:
                raise PlayError(
                    f"limiter {limiter.number} was not ready after {READY_TIMEOUT_S:g} s: "
                    f"{log_tail(limiter.log_path)}"
                )
            await asyncio.sleep(0.02)
        limiter.ready = True
        self.write_limiter_row(limiter, "ready")

    async def restart_limiter(self, limiter: ManagedLimiter) -> None:
        """Start a limiter again, up to RELAUNCH_ATTEMPTS times if it exits before it is ready."""
        for attempts_left in reversed(range(RELAUNCH_ATTEMPTS)):
            try:
                return await self.start_limiter(limiter)
            except PlayError:
                code = limiter.process.returncode if limiter.process else None
                if not attempts_left or code is None:
                    raise
                self.write_limiter_row(limiter, "gone", code=code)
                await asyncio.sleep(0.5)

    async def answers_ping(self, port: int) -> bool:
        """Whether a limiter answers PING on the port; another program that listens there does not count."""
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

    def write_limiter_row(self, limiter: ManagedLimiter, event: str, **fields: Any) -> None:
        self.write_row(
            {"e": "limiter", "l": limiter.number, "what": event, "p": limiter.start_count, **fields}
        )

    def write_row(self, row: dict[str, Any]) -> None:
        if self.recorder:
            self.recorder.record({"t": time.monotonic_ns(), **row})

    # Timeline

    async def run_timeline(self) -> None:
        world, desks = self.workers["world"], self.workers["desks"]
        self.start_ns = time.monotonic_ns() + round(START_DELAY_S * 1e9)
        for worker in (world, desks):
            worker.send_order(op="go", start_ns=self.start_ns)
        self.progress.stage = "playing"
        for coroutine in (self.handle_events(world), self.handle_events(desks), self.sample_usage()):
            self.spawn_task(coroutine)
        for limiter in self.limiters:
            self.spawn_task(self.watch_exit(limiter))
        length_s = self.plan.length_s + self.plan.max_deadline_s + END_MARGIN_S
        end_ns = self.start_ns + round(length_s * 1e9)
        earliest_end_ns = self.start_ns + round((self.plan.length_s + END_MARGIN_S) * 1e9)
        while (now_ns := time.monotonic_ns()) < end_ns and not (
            now_ns > earliest_end_ns and not self.open_requests
        ):
            self.progress.elapsed_s = max(0.0, (now_ns - self.start_ns) / 1e9)
            await asyncio.wait({self.failure}, timeout=0.1)
            if self.failure.done():
                self.failure.result()

    def spawn_task(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) and not self.failure.done():
            self.failure.set_exception(error)

    async def handle_events(self, worker: Worker) -> None:
        """Handle a worker's events until its ``ended`` event."""
        while True:
            event = await worker.next_event()
            if event["ev"] == "beat":
                self.progress.requests, self.progress.served = event["asked"], event["served"]
                self.progress.refused, self.open_requests = event["refused"], event["open"]
            elif event["ev"] == "fault":
                self.progress.last_event = event["text"]
            elif event["ev"] == "limiter":
                self.spawn_task(self.apply_signal(self.limiters[event["l"]], event))
            elif event["ev"] == "known":
                self.limiters[event["l"]].config["known"] = event["known"]
                self.limiters[event["l"]].list_received.set()
            elif event["ev"] == "ended":
                return

    async def apply_signal(self, limiter: ManagedLimiter, event: dict[str, Any]) -> None:
        """Send a limiter the signal of a fault, and restart it after TERM and KILL."""
        process, signal_name = limiter.process, event["signal"]
        if process is None or process.returncode is not None or limiter.stopping:
            return
        if signal_name == "HUP":
            for name in ("discovery", "counter"):
                limiter.config[name] = f"{self.host}:{event[name]}"
            new_config = limiter.config_path.with_suffix(".new")
            new_config.write_text(json.dumps(limiter.config))
            new_config.replace(limiter.config_path)
            self.write_limiter_row(limiter, "hup")
            process.send_signal(signal.SIGHUP)
            return
        if signal_name == "STOP":
            self.write_limiter_row(limiter, "stop")
            until_ns = time.monotonic_ns() + round((event["back_s"] + 1) * 1e9)
            self.write_row({"e": "excuse", "l": limiter.number, "until": until_ns})
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(event["back_s"])
            process.send_signal(signal.SIGCONT)
            self.write_limiter_row(limiter, "cont")
            return
        limiter.stopping = True
        planned = signal_name == "TERM"
        if planned:
            self.write_limiter_row(limiter, "term")
            process.terminate()
            await self.await_shutdown(limiter, process, PLANNED_STOP_NOTICE_S)
        else:
            self.write_limiter_row(limiter, "kill")
            process.kill()
            self.notify_desks(limiter, False, False)
            await process.wait()
        limiter.list_received.clear()
        await asyncio.sleep(event["back_s"])
        if self.plan.limiters.known == "none":
            limiter.config["known"] = EMPTY_SERVER_LIST
        else:
            self.workers["world"].send_order(op="known", l=limiter.number)
            await asyncio.wait_for(limiter.list_received.wait(), READY_TIMEOUT_S)
        limiter.past_cpu_s += limiter.current_cpu_s
        await self.restart_limiter(limiter)
        self.notify_desks(limiter, True, True)
        self.spawn_task(self.watch_exit(limiter))

    async def await_shutdown(
        self, limiter: ManagedLimiter, process: asyncio.subprocess.Process, notice_s: float
    ) -> None:
        """Wait until a limiter exits after SIGTERM, and kill it if it takes too long.

        The desks stop using it after ``notice_s``."""
        timeout_s = shutdown_timeout_s(self.plan)
        asyncio.get_running_loop().call_later(notice_s, self.notify_desks, limiter, False, True)
        try:
            code = await asyncio.wait_for(process.wait(), timeout_s)
            self.write_limiter_row(limiter, "exit", code=code)
        except TimeoutError:
            self.write_limiter_row(limiter, "overdue")
            process.kill()
            await process.wait()

    def notify_desks(self, limiter: ManagedLimiter, up: bool, planned: bool) -> None:
        if desks := self.workers.get("desks"):
            desks.send_order(op="limiter", l=limiter.number, up=up, p=limiter.start_count, planned=planned)

    async def watch_exit(self, limiter: ManagedLimiter) -> None:
        """Record a limiter that exits without a signal of the plan; restart it, as the platform would."""
        process = limiter.process
        if process is None:
            return
        code = await process.wait()
        if limiter.stopping:
            return
        limiter.stopping = True
        self.write_limiter_row(limiter, "gone", code=code)
        self.progress.last_event = (
            f"limiter {limiter.number} exited unexpectedly: {log_tail(limiter.log_path)[:80]}"
        )
        self.notify_desks(limiter, False, False)
        await asyncio.sleep(1.0)
        limiter.past_cpu_s += limiter.current_cpu_s
        await self.restart_limiter(limiter)
        self.notify_desks(limiter, True, True)
        self.spawn_task(self.watch_exit(limiter))

    async def sample_usage(self) -> None:
        """Record the CPU time and memory of each limiter with its child processes."""
        last_sample_s = time.monotonic()
        while True:
            for limiter in self.limiters:
                if limiter.process is None or limiter.process.returncode is not None:
                    continue
                try:
                    root = psutil.Process(limiter.process.pid)
                    processes = [root, *root.children(recursive=True)]
                    times = [p.cpu_times() for p in processes]
                    rss = sum(p.memory_info().rss for p in processes)
                except psutil.Error:
                    continue  # It exited meanwhile; the last sample remains.
                limiter.current_cpu_s = sum(t.user + t.system for t in times)
                self.write_row({"e": "usage", "l": limiter.number,
                                "cpu_s": round(limiter.past_cpu_s + limiter.current_cpu_s, 3),
                                "rss_mb": round(rss / (1 << 20), 2), "p": limiter.start_count})  # fmt: skip
            await asyncio.sleep(USAGE_INTERVAL_S)
            now_s = time.monotonic()
            lag_ms = (now_s - last_sample_s - USAGE_INTERVAL_S) * 1000
            last_sample_s = now_s
            if lag_ms > 150:
                self.write_row({"e": "lag", "who": "main", "ms": round(lag_ms, 1)})

    # End

    async def finish(self, history: Path) -> None:
        self.progress.stage = "ending"
        for task in list(self.tasks):  # from here on no limiter is started or signalled
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        shutdowns = []
        for limiter in self.limiters:
            process = limiter.process
            if process is None or process.returncode is not None:
                continue
            if not limiter.ready or limiter.stopping:  # it is being restarted, so its exit is not evaluated
                process.kill()
                continue
            limiter.stopping = True
            self.write_limiter_row(limiter, "term")
            process.terminate()
            shutdowns.append(self.await_shutdown(limiter, process, 0.0))
        await asyncio.gather(*shutdowns)
        for worker in self.workers.values():
            worker.send_order(op="end")
        for worker in self.workers.values():
            try:
                await asyncio.wait_for(worker.process.wait(), READY_TIMEOUT_S)
            except TimeoutError:
                raise PlayError(
                    f"the {worker.name} process did not exit: {log_tail(worker.log_path)}"
                ) from None
        if self.recorder:
            self.recorder.close()
        head = {"plan": msgspec.to_builtins(self.plan), "seed": self.seed, "digest": self.digest,
                "command": " ".join(self.command[1:]) or self.command[0]}  # fmt: skip
        part_paths = [self.folder / f"{name}.part" for name in ("main", "world", "desks")]
        await asyncio.to_thread(merge, head, part_paths, self.start_ns, history)

    async def close(self) -> None:
        """Kill the remaining processes, wait for all of them and remove the folder."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.failure.done():
            self.failure.exception()  # reported already; retrieved so that asyncio does not warn
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
            self.reaper.send("done", process.pid)
        if self.recorder:
            self.recorder.close()
        if self.folder != Path():
            shutil.rmtree(self.folder, ignore_errors=True)
        await self.reaper.close()
