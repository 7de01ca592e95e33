"""Stand-ins for the cases of the second review: desk servers, discovery's agent, the counter, clients, and
the platform that starts the limiters with the commands of the deploy file.

Everything here uses the standard library only, loopback addresses, free ports and a temporary folder.  The
stand-ins follow PROTOCOL-hookport.md and DEPLOY-hookport.md; each case puts its disruption in by itself."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_RUN_S = 110.0


class CannotRun(Exception):
    """The case could not be played; the exit status is 2."""


class Record:
    """The lines of record.txt, with the time since the start of the case in seconds."""

    def __init__(self, folder: Path) -> None:
        self.start_s = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="ascii", errors="replace")  # noqa: SIM115
        self.line(f"trouble={int(TROUBLE)} started={time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime())}")

    def now(self) -> float:
        return time.monotonic() - self.start_s

    def line(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Ports that nothing uses now; all sockets are held open until the last one is known."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
            sock.bind(("127.0.0.1", 0))
            ports.append(sock.getsockname()[1])
        return ports


def encode(*parts: bytes | str) -> bytes:
    items = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items)


async def read_message(reader: asyncio.StreamReader) -> Any:
    """One RESP2 message: bytes or None, a list, or a simple line as ``(kind, text)``."""
    line = await reader.readuntil(b"\r\n")
    kind, text = line[:1], line[1:-2]
    if kind == b"*":
        return [await read_message(reader) for _ in range(int(text))]
    if kind == b"$":
        if int(text) < 0:
            return None
        return (await reader.readexactly(int(text) + 2))[:-2]
    return kind, text


def settings(index: int, limiters: int) -> dict[str, Any]:
    """The settings of WIRE-hookport.md's example, which are those of the site, for one limiter."""
    ms, s = 1_000_000, 1_000_000_000

    def plan(name: str, rate: float, store: float, value: float, cost: float) -> dict[str, Any]:
        return {"ceilingBurst": 0.0, "ceilingSlack": 0.0, "excessCost": cost, "hardRate": 0.0, "maxOut": 0,
                "name": name, "overWorth": 0.0, "perSecond": rate, "storeSize": store,
                "valueFactor": value}  # fmt: skip

    def lane(name: str, effect: str, target: float, give_up: float, value: float) -> dict[str, Any]:
        return {"dedupWindow": 5 * s, "giveUp": int(give_up * s), "group": "all", "idempotency": effect,
                "lateWorth": 0.0, "name": name, "stream": False, "target": int(target * s),
                "value": value}  # fmt: skip

    return {
        "bounds": {"connIdle": 30 * s, "connectTimeout": 250 * ms, "cpuUsPerRequest": 0.0,
                   "cpuUsPerS": 500000, "maxRetryAfter": s, "mayCancel": True, "mayDuplicate": True,
                   "mostTries": 4, "openCap": 20000, "peerMessages": True, "probes": True,
                   "retryAfter": True, "streamsPerConn": 100},
        "clients": {"marksRetry": True},
        "discovery": "automatic",
        "family": "gate",
        "familyInfo": {"countLimit": 30 * ms, "counterPrice": 0.02, "hasCounter": True, "largest": 4,
                       "peerIntake": 40.0, "settles": False, "usePeriod": 0},
        "feedback": {"how": "off", "names": []},
        "hostTypes": ["small-2core"],
        "lanes": [lane("search", "pure", 0.75, 3.0, 2.0), lane("claim", "side_effect", 1.5, 4.0, 5.0)],
        "layers": ["property-servers"],
        "prices": {"connection": 0.0, "crossZone": 0.005, "discovery": 0.0, "handshake": 0.0,
                   "lateFail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.02, "probe": 0.01,
                   "waste": 0.05},
        "rules": {"cold": 17 * s, "coldFrom": 0.2, "fallMultiple": 3.0, "graceToAnswer": 8 * ms,
                  "mustAskIn": 10 * s, "overloadFor": 1500 * ms, "stopSendingWithin": 250 * ms},
        "scoringMix": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
        "selfIndex": index,
        "siblings": limiters,
        "step": 2 * ms,
        "tier": 0,
        "tiersOfService": [plan("basic", 1.0, 4.0, 0.88, 0.5), plan("standard", 4.6, 19.0, 1.2, 0.8),
                           plan("premium", 24.0, 48.0, 1.8, 1.0)],
        "weightKind": "nominal",
        "zone": index % 3,
        "zones": ["hall-a", "hall-b", "hall-c"],
    }  # fmt: skip


class Receipt:
    """One request that has come whole to a server."""

    def __init__(self, at_s: float, server: str, verb: str, id: str, fields: str) -> None:
        self.at_s, self.server, self.verb, self.id, self.fields = at_s, server, verb, id, fields
        self.done_s = 0.0


class Server:
    """A desk server with two cores.  It answers the requests of a connection in their order."""

    def __init__(self, name: str, record: Record, work_ms: float = 100.0, value_bytes: int = 64) -> None:
        self.name, self.record, self.work_ms, self.value = name, record, work_ms, b"v" * value_bytes
        self.slower = 1.0
        self.cores = asyncio.Semaphore(2)
        self.received: list[Receipt] = []
        self.port = 0
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepted = 0
        # May replace the answer to a request: returns the bytes, None for the usual answer.
        self.on_request: Callable[[Receipt], Any] | None = None

    async def start(self) -> None:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self) -> None:
        assert self.listener
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            self.accepted += 1
            reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 20)
            self.spawn(self.serve(reader, writer))

    def spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connections_come_late(self, for_s: float) -> None:
        """For a while the line of new connections is full: those that come now come up a second later.

        The system drops what does not fit into the line, and the other side's system tries again."""
        assert self.listener and self.accepting
        self.accepting.cancel()
        self.listener.listen(1)
        for _ in range(4):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.fillers.append(filler)
        self.record.line(f"{self.name}: new connections come up late from now on")
        await asyncio.sleep(for_s)
        for filler in self.fillers:
            filler.close()
        self.listener.listen(128)
        self.accepting = asyncio.create_task(self.accept())
        self.record.line(f"{self.name}: the line of new connections moves again")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answers: asyncio.Queue[asyncio.Task[bytes]] = asyncio.Queue()
        sender = asyncio.create_task(self.send_answers(writer, answers))
        try:
            while True:
                message = await read_message(reader)
                answers.put_nowait(asyncio.create_task(self.answer(message, time.monotonic())))
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            sender.cancel()
            writer.close()

    async def send_answers(
        self, writer: asyncio.StreamWriter, answers: asyncio.Queue[asyncio.Task[bytes]]
    ) -> None:
        while True:
            data = await (await answers.get())
            if data == b"RESET":
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                writer.transport.abort()
                return
            with contextlib.suppress(OSError):
                writer.write(data)
                await writer.drain()

    async def answer(self, message: Any, at_s: float) -> bytes:
        verb = message[0].upper()
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if verb not in (b"SVC.QUERY", b"SVC.SUBMIT"):
            return b"-ERR unknown\r\n"
        receipt = Receipt(
            at_s - self.record.start_s, self.name, verb.decode(), message[2].decode(), message[3].decode()
        )
        self.received.append(receipt)
        self.record.line(f"{self.name} got {receipt.verb} {receipt.id} {receipt.fields}")
        async with self.cores:
            await asyncio.sleep(self.work_ms * self.slower / 1000)
        receipt.done_s = self.record.now()
        if self.on_request:
            replaced = self.on_request(receipt)
            if asyncio.iscoroutine(replaced):
                replaced = await replaced
            if replaced is not None:
                self.record.line(f"{self.name} ran {receipt.id}, answers {replaced[:20]!r}")
                return replaced
        self.record.line(f"{self.name} ran {receipt.id}, answers a value of {len(self.value)} bytes")
        return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(self.value), self.value)

    def entry(self, lifecycle: str = "SERVING", started_ms: int = 0) -> dict[str, Any]:
        return {"instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "hall-a",
                "machineType": "small-2core", "cell": 1, "lifecycle": lifecycle, "weight": 1.0,
                "startedAtMs": started_ms}  # fmt: skip


class Agent:
    """Discovery's agent: whole list and watch.  ``silent`` plays that discovery is down."""

    def __init__(self, record: Record, generation: int = 41) -> None:
        self.record, self.generation = record, generation
        self.entries: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []  # changes by generation
        self.first_generation = generation
        self.silent = False
        self.changed = asyncio.Condition()
        self.broken: set[int] = set()  # numbers of the watches that have fallen silent
        self.empty_line = asyncio.Event()  # set whenever an empty line was sent
        self.watch_count = 0
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def change(self, *entries: dict[str, Any]) -> None:
        """Discovery has changes; the open watches are told, unless the agent is silent."""
        async with self.changed:
            self.generation += 1
            for entry in entries:
                self.history.append((self.generation, entry))
                if entry["lifecycle"] == "DELETED":
                    self.entries.pop(entry["instanceId"], None)
                else:
                    self.entries[entry["instanceId"]] = entry
                self.record.line(f"the agent has generation {self.generation}: "
                                 f"{entry['instanceId']} {entry['lifecycle']}")  # fmt: skip
            self.changed.notify_all()

    async def set_silent(self, silent: bool) -> None:
        async with self.changed:
            self.silent = silent
            self.record.line(f"discovery is {'down: its agent is silent' if silent else 'back'}")
            self.changed.notify_all()

    def break_watches(self) -> None:
        self.broken = set(range(1, self.watch_count + 1))
        self.record.line("all open watches fall silent")

    def full(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split()[1]
            query = dict(part.split("=") for part in target.partition("?")[2].split("&") if "=" in part)
            if "stream" in query:
                await self.watch(reader, writer, int(query.get("index", "0")))
            else:
                await self.wait_until_back()
                body = json.dumps(self.full()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def wait_until_back(self) -> None:
        async with self.changed:
            await self.changed.wait_for(lambda: not self.silent)

    async def watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, index: int) -> None:
        self.watch_count += 1
        number = self.watch_count
        self.record.line(f"watch {number} is opened from index {index}")
        closed = asyncio.create_task(reader.read())
        try:
            task = asyncio.create_task(self.stream(writer, number, index))
            await asyncio.wait([closed, task], return_when=asyncio.FIRST_COMPLETED)
            task.cancel()
            self.record.line(f"watch {number} is closed by the limiter")
        finally:
            closed.cancel()

    async def stream(self, writer: asyncio.StreamWriter, number: int, index: int) -> None:
        def send(data: bytes) -> None:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

        await self.wait_until_back()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        known = index
        document = self.full()
        if self.first_generation <= index <= self.generation:
            document = self.changes(index)
        send(json.dumps(document).encode() + b"\n")
        known = self.generation
        while True:
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(2.0):
                        await self.changed.wait_for(
                            lambda known=known: (
                                self.generation > known and not self.silent and number not in self.broken
                            )
                        )
            if self.silent or number in self.broken:
                continue
            if self.generation > known:
                send(json.dumps(self.changes(known)).encode() + b"\n")
                known = self.generation
            else:
                send(b"\n")
                self.empty_line.set()

    async def after_empty_line(self) -> None:
        """Wait until the watches have just been sent an empty line."""
        self.empty_line.clear()
        await self.empty_line.wait()
        await asyncio.sleep(0.1)

    def changes(self, index: int) -> dict[str, Any]:
        latest = {entry["instanceId"]: entry for generation, entry in self.history if generation > index}
        return {"generation": self.generation, "reset": False, "instances": list(latest.values())}


class CounterStandIn:
    """The count keeper: ``INCRTTL NAME AMOUNT MS``."""

    def __init__(self, record: Record) -> None:
        self.record, self.totals = record, dict[bytes, tuple[float, float]]()
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                verb = message[0].upper()
                if verb == b"INCRTTL":
                    name, amount, life_ms = message[1], float(message[2]), min(60_000, int(message[3]))
                    now_s = time.monotonic()
                    total, ends_s = self.totals.get(name, (0.0, 0.0))
                    if ends_s <= now_s:
                        total, ends_s = 0.0, now_s + life_ms / 1000
                    self.totals[name] = total + amount, ends_s
                    text = b"%.7g" % (total + amount)
                    writer.write(b"$%d\r\n%s\r\n" % (len(text), text))
                elif verb == b"PING":
                    writer.write(b"+PONG\r\n")
                else:
                    writer.write(b"+OK\r\n" if verb in (b"CLIENT", b"SELECT") else b"-ERR no\r\n")
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


async def start_fleet(
    record: Record, count: int = 10, work_ms: float = 100.0
) -> tuple[list[Server], Agent, CounterStandIn]:
    """Desk servers that discovery lists as serving, its agent, and the counter."""
    servers = [Server(f"s-{number:02d}", record, work_ms) for number in range(count)]
    agent, counter = Agent(record), CounterStandIn(record)
    for server in servers:
        await server.start()
    await agent.start()
    await counter.start()
    agent.entries = {server.name: server.entry() for server in servers}
    return servers, agent, counter


class Platform:
    """Starts limiters as the deploy file says, and ends all of them."""

    def __init__(self, record: Record, limiters: int = 3, memory_mb: int = 192, sockets: int = 1024) -> None:
        self.record, self.count, self.memory_mb, self.sockets = record, limiters, memory_mb, sockets
        self.folder = Path(tempfile.mkdtemp(prefix="hookport-review-"))
        self.run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.ports = free_ports(limiters)
        self.peer_ports = free_ports(limiters, socket.SOCK_DGRAM)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.logs: list[Any] = []
        self.peak_mb = 0.0
        # May change the settings of every limiter before they are written.
        self.change_settings: Callable[[dict[str, Any]], None] = lambda settings: None

    def write_config(self, index: int, agent: Agent, counter: CounterStandIn, known: dict[str, Any]) -> Path:
        values = settings(index, self.count)
        self.change_settings(values)
        document = {
            "name": f"n{index}",
            "listen": f"127.0.0.1:{self.ports[index]}",
            "discovery": f"127.0.0.1:{agent.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "peer_listen": f"127.0.0.1:{self.peer_ports[index]}",
            "peers": [f"127.0.0.1:{port}" for port in self.peer_ports],
            "counter": f"127.0.0.1:{counter.port}",
            "known": known,
            "settings": values,
        }
        path = self.folder / f"config-{index}.json"
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(document))
        temporary.replace(path)
        return path

    async def start(
        self, index: int, agent: Agent, counter: CounterStandIn, known: dict[str, Any]
    ) -> asyncio.subprocess.Process:
        """Start one limiter by ``run`` of the deploy file, as its page says."""
        path = self.write_config(index, agent, counter, known)
        private = Path(tempfile.mkdtemp(dir=self.folder))
        log = open(self.folder / f"limiter-{index}.log", "ab")  # noqa: SIM115
        self.logs.append(log)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(private),
            "PROXY_NAME": f"n{index}",
            "PROXY_LISTEN": f"127.0.0.1:{self.ports[index]}",
            "PROXY_DISCOVERY": f"127.0.0.1:{agent.port}",
            "PROXY_CONFIG": str(path),
        }
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)  # fmt: skip
        self.processes[index] = process
        self.record.line(f"limiter n{index} is started")
        return process

    async def ready(self, index: int, within_s: float = 30.0) -> None:
        """Wait until the limiter answers PING with +PONG, as the front does."""
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            process = self.processes[index]
            if process.returncode is not None:
                raise CannotRun(f"limiter n{index} ended with {process.returncode} before it was ready")
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[index])
                    writer.write(encode("PING"))
                    pong = await reader.readuntil(b"\r\n")
                    writer.close()
                    if pong == b"+PONG\r\n":
                        self.record.line(f"limiter n{index} is ready")
                        return
            await asyncio.sleep(0.02)
        raise CannotRun(f"limiter n{index} was not ready in {within_s:.0f} s")

    async def start_all(self, agent: Agent, counter: CounterStandIn) -> None:
        for index in range(self.count):
            await self.start(index, agent, counter, agent.full())
        for index in range(self.count):
            await self.ready(index)

    def memory_mb_used(self, index: int) -> float:
        """The resident memory of a limiter; it has one process, as ``run`` ends in exec."""
        status = Path(f"/proc/{self.processes[index].pid}/status").read_text()
        lines = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
        return int(lines["VmRSS"].split()[0]) / 1024

    async def guard_memory(self, index: int, limit_mb: float) -> None:
        """Kill the limiter when it is over its memory limit, as the platform does."""
        process = self.processes[index]
        while process.returncode is None:
            with contextlib.suppress(OSError, KeyError):
                used_mb = self.memory_mb_used(index)
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb > limit_mb:
                    self.record.line(f"n{index} uses {used_mb:.0f} MB: over {limit_mb:.0f} MB, it is killed")
                    process.kill()
                    await process.wait()
                    return
            await asyncio.sleep(0.005)

    def close(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for log in self.logs:
            log.close()
        for path in sorted(self.folder.glob("limiter-*.log")):
            for line in path.read_text(errors="replace").splitlines()[-15:]:
                self.record.line(f"log of {path.stem}: {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def customer(number: int) -> str:
    return f"{number:016x}"


def request(
    kind: str, customer_number: int, id: str, plan: str, wait_ms: int, units: int = 1, spread: int = 3,
    first: int = 0, body: bytes = b"",
) -> bytes:  # fmt: skip
    """A client's command; ``kind`` is the class."""
    fields = f"c={kind},t={plan},d={wait_ms},units={units},spread={spread},first={first}"
    verb = "SVC.QUERY" if kind == "search" else "SVC.SUBMIT"
    parts: list[bytes | str] = [verb, customer(customer_number), id, fields]
    if kind != "search":
        parts.append(body or b"item")
    return encode(*parts)


class Clients:
    """Sound clients: each connection carries one request at a time and is kept for the next one."""

    def __init__(self, record: Record, platform: Platform) -> None:
        self.record, self.platform = record, platform
        self.idle: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0
        self.results: dict[str, int] = {}

    async def ask(self, limiter: int, command: bytes, id: str, wait_ms: int, late_s: float = 0.5) -> Any:
        """Send one request; the answer, or None if there is none within its time and ``late_s``."""
        idle = self.idle.setdefault(limiter, [])
        for _ in range(2):  # a kept connection may have been closed: then once more on a new one
            kept = bool(idle)
            try:
                reader, writer = (
                    idle.pop()
                    if idle
                    else await asyncio.open_connection("127.0.0.1", self.platform.ports[limiter])
                )
            except OSError:
                self.record.line(f"client cannot connect for {id}")
                return None
            try:
                async with asyncio.timeout(wait_ms / 1000 + late_s):
                    writer.write(command)
                    answer = await read_message(reader)
                idle.append((reader, writer))
                return answer
            except (OSError, EOFError):
                writer.close()
                if not kept:
                    return None
                idle.clear()
            except TimeoutError:
                writer.close()
                return None
        return None

    async def one(self, limiter: int, number: int, kind: str, plan: str, wait_ms: int) -> None:
        id = f"q{number:07d}"
        self.record.line(f"client sends {kind} {id} to n{limiter}")
        command = request(kind, 5000 + number % 200, id, plan, wait_ms)
        answer = await self.ask(limiter, command, id, wait_ms)
        text = describe(answer) if answer is not None else "no answer"
        self.record.line(f"client got for {id}: {text}")
        word = text.split(",")[0].split()[0]
        self.results[word] = self.results.get(word, 0) + 1

    async def traffic(self, per_second: float, limiters: list[int], wait_ms: int = 2900) -> None:
        """Searches and claims of many partner desks, at an even rate, until cancelled."""
        while True:
            self.count += 1
            kind = "search" if self.count % 9 < 5 else "claim"
            task = asyncio.create_task(
                self.one(limiters[self.count % len(limiters)], self.count, kind, "standard", wait_ms)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / per_second)


def describe(answer: Any) -> str:
    if isinstance(answer, bytes):
        return f"served, {len(answer)} bytes"
    if isinstance(answer, tuple):
        return (answer[0] + answer[1]).decode(errors="replace")
    return repr(answer)


def play(folder: Path, case: Callable[[Record], Any]) -> None:
    """Run a case, write its verdict, and exit with its status."""
    record = Record(folder)

    async def limited() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)  # the limiters are ended all the same
        async with asyncio.timeout(MAX_RUN_S):
            return int(await case(record))

    try:
        status = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"the case could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        status = NOT_RUN
    verdict = {HELD: "held", BROKEN: "broken"}.get(status, "not run")
    record.line(f"verdict: {verdict}")
    print(f"verdict: {verdict}")
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
