"""Stand-ins for the cases of this review: desk servers, discovery agent, shared counter, clients, and the
platform that starts limiters with the command of the deploy file.

They follow the protocol pages: a server answers in the order of the commands of a connection, runs what it has
begun to the end even if the limiter has gone, and turns work away when its waiting room is full.  Standard
library only.  All addresses are on 127.0.0.1, and all ports are free ones.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
SECOND = 1000 * MS


class Record:
    """The record of a run: one line for each thing sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w")
        self.start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self) -> None:
        self.file.close()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def encode(*arguments: bytes) -> bytes:
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in arguments)


class Parser:
    """Reads RESP2 messages from a stream: bytes, None, lists, and (kind, text) for simple elements."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> None:
        self.data += data

    def next(self):
        """The next message, or ``...`` if it is not complete."""
        message, end = self._read(0)
        if message is not ...:
            del self.data[:end]
        return message

    def _read(self, at: int):
        line_end = self.data.find(b"\r\n", at)
        if line_end < 0:
            return ..., at
        kind, text, at = chr(self.data[at]), bytes(self.data[at + 1 : line_end]), line_end + 2
        if kind == "$":
            size = int(text)
            if size < 0:
                return None, at
            if len(self.data) < at + size + 2:
                return ..., at
            return bytes(self.data[at : at + size]), at + size + 2
        if kind == "*":
            items = []
            for _ in range(int(text)):
                item, at = self._read(at)
                if item is ...:
                    return ..., at
                items.append(item)
            return items, at
        return (kind, text.decode()), at


class Server:
    """A desk server: ``slots`` requests in work, a waiting room, answers in the order of the commands.

    Its answer to a request is the array of the protocol page; the value names the request and the customer."""

    SLOTS, ROOM = 12, 20

    def __init__(self, name: str, record: Record, seed: int = 0) -> None:
        self.name, self.record, self.random = name, record, random.Random(f"{name}/{seed}")
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.waiting = 0
        self.began: list[tuple[float, str, str]] = []  # when, verb, id
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, lifecycle: str = "SERVING") -> dict:
        return {
            "instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": "hall-a",
            "machineType": "small-2core", "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip

    def work_s(self, command: list[bytes]) -> float:
        """How long a request is worked on: the means of the users' page, with some spread."""
        mean = 0.2 if command[0] == b"SVC.SUBMIT" else 0.09
        return mean * self.random.uniform(0.7, 1.4)

    def value(self, command: list[bytes]) -> bytes:
        return b"done %s for %s" % (command[2], command[1])

    def answer(self, command: list[bytes]) -> bytes:
        value = self.value(command)
        return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser, answers = Parser(), asyncio.Queue()
        self.writers.add(writer)
        sender = asyncio.ensure_future(self.send_answers(answers, writer))
        try:
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (command := parser.next()) is not ...:
                    answers.put_nowait(asyncio.ensure_future(self.handle(command)))
        except OSError:
            pass
        finally:
            sender.cancel()
            self.writers.discard(writer)
            writer.close()

    async def send_answers(self, answers: asyncio.Queue, writer: asyncio.StreamWriter) -> None:
        while True:
            reply = await (await answers.get())
            if reply:
                await self.write(reply, writer)

    async def write(self, reply: bytes, writer: asyncio.StreamWriter) -> None:
        if not writer.transport.is_closing():
            writer.write(reply)

    async def handle(self, command: list[bytes]) -> bytes:
        verb = command[0].upper()
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if verb not in (b"SVC.QUERY", b"SVC.SUBMIT"):
            return b"-ERR unknown command\r\n"
        if self.waiting >= self.ROOM:
            return b"-BUSY\r\n"
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            ident = command[2].decode()
            self.began.append((time.monotonic(), verb.decode(), ident))
            self.record(f"server {self.name} began {verb.decode()} {ident} {command[3].decode()}")
            await asyncio.sleep(self.work_s(command))
            self.record(f"server {self.name} ended {ident}")
        return self.answer(command)


class Counter:
    """The shared counter."""

    def __init__(self) -> None:
        self.totals: dict[bytes, tuple[float, float]] = {}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = Parser()
        try:
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (command := parser.next()) is not ...:
                    await asyncio.sleep(0.0015)
                    writer.write(self.handle(command))
        except OSError:
            pass
        finally:
            writer.close()

    def handle(self, command: list[bytes]) -> bytes:
        verb = command[0].upper()
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb != b"INCRTTL":
            return b"+OK\r\n"
        _, name, amount, life_ms = command
        total, ends = self.totals.get(name, (0.0, 0.0))
        if ends <= time.monotonic():
            total, ends = 0.0, time.monotonic() + min(60_000, int(life_ms)) / 1000
        total += float(amount)
        self.totals[name] = total, ends
        text = b"%.7g" % total
        return b"$%d\r\n%s\r\n" % (len(text), text)


class Discovery:
    """The discovery agent: a watch gets the whole list first, then changes, and an empty line every 2 s."""

    def __init__(self, servers: list[Server]) -> None:
        self.servers, self.generation = servers, 41
        self.watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole(self) -> dict:
        return {"generation": self.generation, "reset": True, "instances": [s.entry() for s in self.servers]}

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            self.line(writer, json.dumps(self.whole()).encode())
            self.watches.add(writer)
            while not writer.transport.is_closing():
                await asyncio.sleep(2)
                self.line(writer, b"")
        except (OSError, EOFError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    @staticmethod
    def line(writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))


def settings(index: int, limiters: int) -> dict:
    """The settings of accra-main, as the wire page shows them."""
    plan = {"ceilingBurst": 0.0, "ceilingSlack": 0.0, "hardRate": 0.0, "maxOut": 0, "overWorth": 0.0}
    lane = {"dedupWindow": 5 * SECOND, "group": "all", "lateWorth": 0.0, "stream": False}
    return {
        "bounds": {
            "connIdle": 30 * SECOND, "connectTimeout": 250 * MS, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
            "maxRetryAfter": SECOND, "mayCancel": True, "mayDuplicate": True, "mostTries": 4, "openCap": 20000,
            "peerMessages": True, "probes": True, "retryAfter": True, "streamsPerConn": 100,
        },
        "clients": {"marksRetry": True},
        "discovery": "automatic",
        "family": "gate",
        "familyInfo": {
            "countLimit": 30 * MS, "counterPrice": 0.02, "hasCounter": True, "largest": 4, "peerIntake": 40.0,
            "settles": False, "usePeriod": 0,
        },
        "feedback": {"how": "off", "names": []},
        "hostTypes": ["small-2core"],
        "lanes": [
            {**lane, "name": "search", "idempotency": "pure", "target": 750 * MS, "giveUp": 3 * SECOND,
             "value": 2.0},
            {**lane, "name": "claim", "idempotency": "side_effect", "target": 1500 * MS, "giveUp": 4 * SECOND,
             "value": 5.0},
        ],
        "layers": ["property-servers"],
        "prices": {"crossZone": 0.005, "lateFail": 0.08, "peer": 0.02, "probe": 0.01, "waste": 0.05},
        "rules": {
            "cold": 17 * SECOND, "coldFrom": 0.2, "fallMultiple": 3.0, "graceToAnswer": 8 * MS,
            "mustAskIn": 10 * SECOND, "overloadFor": 1500 * MS, "stopSendingWithin": 250 * MS,
        },
        "scoringMix": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
        "selfIndex": index,
        "siblings": limiters,
        "step": 2 * MS,
        "tier": 0,
        "tiersOfService": [
            {**plan, "name": "basic", "perSecond": 1.0, "storeSize": 4.0, "valueFactor": 0.88, "excessCost": 0.5},
            {**plan, "name": "standard", "perSecond": 4.6, "storeSize": 19.0, "valueFactor": 1.2,
             "excessCost": 0.8},
            {**plan, "name": "premium", "perSecond": 25.0, "storeSize": 47.0, "valueFactor": 1.8,
             "excessCost": 1.0},
        ],
        "weightKind": "nominal",
        "zone": index % 3,
        "zones": ["hall-a", "hall-b", "hall-c"],
    }  # fmt: skip


class Limiter:
    """One limiter process, started by ``/bin/sh -c`` with the ``run`` command of the deploy file."""

    def __init__(self, name: str, config: dict, folder: Path, record: Record) -> None:
        self.name, self.config, self.folder, self.record = name, config, folder, record
        self.host, port = config["listen"].split(":")
        self.port = int(port)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        scratch = self.folder / f"{self.name}-tmp"
        scratch.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={
                "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(scratch),
                "PROXY_NAME": self.name, "PROXY_LISTEN": self.config["listen"],
                "PROXY_DISCOVERY": self.config["discovery"], "PROXY_CONFIG": str(path),
            },
        )  # fmt: skip
        self.record(f"platform started limiter {self.name} pid {self.process.pid}")
        deadline = time.monotonic() + 30
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(encode(b"PING"))
                pong = await asyncio.wait_for(reader.read(7), 5)
                writer.close()
                if pong == b"+PONG\r\n":
                    return self.record(f"limiter {self.name} answered PING")
            except (OSError, asyncio.TimeoutError):
                pass
            if self.process.returncode is not None or time.monotonic() > deadline:
                raise RuntimeError(f"limiter {self.name} did not become ready")
            await asyncio.sleep(0.05)

    def signal(self, number: int) -> None:
        if self.process and self.process.returncode is None:
            self.record(f"platform sent {signal.Signals(number).name} to limiter {self.name}")
            self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class World:
    """A small deployment: servers, discovery, counter and limiters."""

    def __init__(self, folder: Path, limiters: int = 3, servers: int = 10, server: type = Server) -> None:
        self.record = Record(folder)
        self.scratch = tempfile.TemporaryDirectory(prefix="hookport-review-")
        self.servers = [server(f"s-{n:08x}", self.record) for n in range(servers)]
        self.counter, self.discovery = Counter(), Discovery(self.servers)
        self.limiters: list[Limiter] = []
        self.count = limiters

    def adjust(self, settings: dict) -> dict:
        return settings

    async def __aenter__(self) -> World:
        for server in self.servers:
            await server.start()
        await self.counter.start()
        await self.discovery.start()
        peers = [f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(self.count)]
        for n in range(self.count):
            config = {
                "name": f"n{n}", "listen": f"127.0.0.1:{free_port()}",
                "discovery": f"127.0.0.1:{self.discovery.port}", "seed": f"{0x8C1F30D27A5BE964 + n:016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": peers[n], "peers": peers, "counter": f"127.0.0.1:{self.counter.port}",
                "known": self.discovery.whole(), "settings": self.adjust(settings(n, self.count)),
            }  # fmt: skip
            self.limiters.append(Limiter(f"n{n}", config, Path(self.scratch.name), self.record))
        try:
            await asyncio.gather(*(limiter.start() for limiter in self.limiters))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for limiter in self.limiters:
            await limiter.stop()
        if os.environ.get("KEEP_LOGS"):
            for limiter in self.limiters:
                sys.stderr.write(f"--- {limiter.name}\n" + (limiter.folder / f"{limiter.name}.log").read_text())
        self.record.close()
        self.scratch.cleanup()


_serial = [0]
_prefix = random.SystemRandom().getrandbits(40)


def new_id() -> bytes:
    _serial[0] += 1
    return b"%010x%06x" % (_prefix, _serial[0])


def request(kind: str, customer: int, plan: str = "premium", d: int | None = None, units: int = 1,
            spread: int = 2, first: int = 0, body: bytes = b"item") -> list[bytes]:  # fmt: skip
    d = d if d is not None else (3000 if kind == "search" else 4000)
    fields = b"c=%s,t=%s,d=%d,units=%d,spread=%d,first=%d" % (
        kind.encode(), plan.encode(), d, units, spread, first,
    )  # fmt: skip
    verb = b"SVC.QUERY" if kind == "search" else b"SVC.SUBMIT"
    return [verb, b"%016x" % customer, new_id(), fields] + ([body] if kind == "claim" else [])


def kind_of(reply) -> str:
    """served, refused or failed, as the protocol page tells them apart."""
    if isinstance(reply, bytes) or isinstance(reply, list) and reply and isinstance(reply[0], bytes):
        return "served"
    if isinstance(reply, tuple) and reply[0] == "-" and reply[1].split(" ")[0] == "BUSY":
        return "refused"
    return "failed"


class Client:
    """One client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, Parser()

    @classmethod
    async def connect(cls, limiter: Limiter) -> Client:
        return cls(*await asyncio.open_connection(limiter.host, limiter.port))

    async def answer(self):
        """The next reply; EOFError if the connection ends, ConnectionError if it is reset."""
        while (reply := self.parser.next()) is ...:
            data = await self.reader.read(1 << 16)
            if not data:
                raise EOFError
            self.parser.feed(data)
        return reply

    async def ask(self, command: list[bytes]):
        self.writer.write(encode(*command))
        return await self.answer()


def main(case, folder: Path) -> None:
    """Run a case; exit 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def limited() -> int:
        return await asyncio.wait_for(case(os.environ.get("TROUBLE") != "0"), 110)

    async def quiet() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(lambda loop, context: None)  # cancelled connections
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)  # the limiters are ended on the way out
        return await limited()

    try:
        status = asyncio.run(quiet())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        status = 2
    sys.exit(status)
