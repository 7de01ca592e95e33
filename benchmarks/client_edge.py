"""Peak memory of a limiter and the longest wait of its sound clients while bad clients press on it.

    python benchmarks/client_edge.py [--tree DIR] [SCENARIO ...]

For each scenario, starts a limiter from ``DIR`` (this repository) with a limit of 192 MB and 1,024
descriptors, stub servers that take 50 ms for a request, and a process of bad clients. Beside them one sound
client sends PING every 50 ms, and ten new ones a second send a claim each. Prints the limiter's peak memory,
the longest wait for PONG, and how many claims were served, refused, and not answered in time."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import os
import re
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import hiredis

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from world import VALUE, Client, Stub, World, query, submit  # noqa: E402

MEMORY_LIMIT_MB = 192
CLIENTS = 600  # of the 615 connections that 1,024 descriptors allow
ATTACK_S = 6.0
NEW_NAMES_S = 30.0  # several times as long as a customer is remembered
PLAN = {"perSecond": 1.0, "storeSize": 4.0}  # of each customer, as small as the smallest of a site
SERVER_S = 0.05
CLAIM_WAIT_MS = 3000
LONG_ANSWER = b"*3\r\n$400000\r\n" + b"v" * 400_000 + b"\r\n$-1\r\n$-1\r\n"
FIELDS = b"c=order,t=team,d=3000,units=1,spread=1,first=0"


def encode(*arguments: bytes) -> bytes:
    packed: bytes = hiredis.pack_command(arguments)  # type: ignore[arg-type,no-untyped-call,unused-ignore]
    return packed


def claim(client: int, number: int, body_bytes: int) -> bytes:
    customer, request_id = b"%016x" % (client % 1000), b"%d-%d-%d" % (os.getpid(), client, number)
    return encode(b"SVC.SUBMIT", customer, request_id, FIELDS, b"b" * body_bytes)


def connect(port: int, count: int) -> list[socket.socket]:
    return [socket.create_connection(("127.0.0.1", port), timeout=5.0) for _ in range(count)]


def send_what_fits(socks: list[socket.socket], payloads: Iterator[bytes], until_s: float) -> None:
    """Send to each client its payload, as far as the limiter takes it, and keep the connections open."""
    unsent = {sock: memoryview(payload) for sock, payload in zip(socks, payloads, strict=False)}
    for sock in socks:
        sock.setblocking(False)
    while unsent and time.monotonic() < until_s:
        for sock, data in list(unsent.items()):
            try:
                unsent[sock] = data[sock.send(data[: 1 << 18]) :]
            except BlockingIOError:
                continue
            except OSError:
                unsent[sock] = data[:0]
            if not unsent[sock]:
                del unsent[sock]
        time.sleep(0.001)
    time.sleep(max(0.0, until_s - time.monotonic()))


def stop_half_way(port: int, until_s: float) -> None:
    """Many clients send half of a command with seven long arguments, and wait."""
    half = b"*8\r\n" + (b"$65536\r\n" + b"x" * 65536 + b"\r\n") * 7
    send_what_fits(connect(port, CLIENTS), itertools.repeat(half), until_s)


def stop_within_a_claim(port: int, until_s: float) -> None:
    """Many clients send a claim of 64 KB without its last byte, and wait."""
    send_what_fits(connect(port, CLIENTS), (claim(n, 0, 65_000)[:-1] for n in range(CLIENTS)), until_s)


def write_slowly(port: int, until_s: float) -> None:
    """Many clients write a claim of 64 KB in pieces of 1 KB, each behind the other."""
    socks, data = connect(port, CLIENTS), claim(0, 0, 65_000)
    for start in itertools.cycle(range(0, len(data), 1024)):
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.send(data[start : start + 1024])
        if time.monotonic() > until_s:
            return


def heads_of_short_fields(port: int, until_s: float) -> None:
    """Many clients announce commands of very many short fields, and send the fields."""
    payload = b"*100000\r\n" + b"$1\r\na\r\n" * 60_000
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError):
            send_what_fits(connect(port, CLIENTS), itertools.repeat(payload), time.monotonic() + 1.0)


def pipeline_long_claims(port: int, until_s: float) -> None:
    """Many clients send twelve claims of 64 KB at once each, and read the answers."""
    socks = connect(port, CLIENTS)
    payloads = (b"".join(claim(n, i, 64_000) for i in range(12)) for n in range(CLIENTS))
    send_what_fits(socks, payloads, until_s)


def read_no_answers(port: int, until_s: float) -> None:
    """Many clients send requests with answers of 400 KB, and read none."""
    socks = connect(port, CLIENTS)
    payloads = (b"".join(claim(n, i, 10) for i in range(20)) for n in range(CLIENTS))
    send_what_fits(socks, payloads, until_s)


def trickle(port: int, until_s: float) -> None:
    """Twenty clients send most of a long command at once, and the rest byte by byte at full speed."""
    socks, head = connect(port, 20), b"*8\r\n" + (b"$65536\r\n" + b"x" * 65536 + b"\r\n") * 6 + b"$65536\r\n"
    for sock in socks:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            sock.sendall(head)
    while time.monotonic() < until_s:
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.send(b"x")


def flood(port: int, until_s: float, payload: Callable[[int], bytes]) -> None:
    """Send payloads on one connection at full speed, reading the answers; connect anew when it is closed."""
    number = 0
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)) as sock:
            sock.setblocking(False)
            data = b""
            while time.monotonic() < until_s:
                number += not data
                data = data or payload(number)
                with contextlib.suppress(BlockingIOError):
                    data = data[sock.send(data) :]
                with contextlib.suppress(BlockingIOError):
                    if not sock.recv(1 << 18):
                        break


def flood_unsound(port: int, until_s: float) -> None:
    """One client sends requests without arguments at full speed, on ever new connections."""
    data = encode(b"SVC.QUERY") * 3000
    flood(port, until_s, lambda _: data)


def flood_small(port: int, until_s: float) -> None:
    """One client sends PING at full speed on one connection."""
    data = encode(b"PING") * 3000
    flood(port, until_s, lambda _: data)


def flood_new_names(port: int, until_s: float) -> None:
    """One client sends valid requests of ever new customers at full speed on one connection."""

    def batch(number: int) -> bytes:
        first = number * 200
        fields = FIELDS.replace(b"order", b"lookup")
        return b"".join(
            encode(b"SVC.QUERY", b"%016x" % n, b"%d-q%d" % (os.getpid(), n), fields)
            for n in range(first, first + 200)
        )

    flood(port, until_s, batch)


def flood_unsound_behind_sound(port: int, until_s: float) -> None:
    """One client alternates a valid request with sixteen unusable ones under new names."""

    def batch(number: int) -> bytes:
        return claim(number, number, 10) + b"".join(
            encode(b"SVC.SUBMIT", b"%016x" % n, b"%d-u%d" % (number, n), FIELDS, b"body", b"more")
            for n in range(16)
        )

    flood(port, until_s, batch)


@dataclass
class Scenario:
    """What the bad clients do for how long, and what the servers answer to them."""

    attack: Callable[[int, float], None]
    seconds: float
    answer: bytes = VALUE


SCENARIOS = {
    attack.__name__: Scenario(
        attack,
        NEW_NAMES_S if attack is flood_new_names else ATTACK_S,
        LONG_ANSWER if attack is read_no_answers else VALUE,
    )
    for attack in (
        stop_half_way, stop_within_a_claim, write_slowly, heads_of_short_fields, pipeline_long_claims,
        trickle, read_no_answers, flood_unsound, flood_small, flood_new_names, flood_unsound_behind_sound,
    )
}  # fmt: skip


class SoundClients:
    """Two clients with a connection each, and what they got."""

    def __init__(self, world: World) -> None:
        self.world, self.longest_s, self.results = world, 0.0, Counter[str]()

    async def connect(self) -> Client:
        return await self.world.client()

    async def ping(self) -> None:
        client = await self.connect()
        for number in itertools.count():
            started_s = time.monotonic()
            try:
                await client.ask(*query(10**9 + number)) if number == 0 else await client.ask(b"PING")
            except (EOFError, OSError):
                client = await self.connect()
            if number:
                self.longest_s = max(self.longest_s, time.monotonic() - started_s)
            await asyncio.sleep(0.05)

    async def send_claims(self) -> None:
        for number in itertools.count():
            task = asyncio.create_task(self.send_claim(2 * 10**9 + number))
            await asyncio.sleep(0.1)
            del task

    async def send_claim(self, number: int) -> None:
        try:
            client = await self.connect()
            customer = number % 1000
            async with asyncio.timeout(CLAIM_WAIT_MS / 1000 + 0.5):
                answer = await client.ask(b"SVC.SUBMIT", b"%016x" % (10**6 + customer), *submit(number)[2:])
            client.writer.close()
        except (EOFError, OSError, TimeoutError) as error:
            self.results["closed" if isinstance(error, EOFError) else "not answered"] += 1
            return
        self.results["served" if isinstance(answer, bytes) else str(answer).split()[0]] += 1


def peak_memory_mb(pid: int) -> float:
    """The largest resident memory of a process so far."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(found[1]) / 1024 if found else 0.0


async def play(name: str, scenario: Scenario, folder: str) -> None:
    async def answer_later(stub: Stub, arguments: list[bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(SERVER_S)
        writer.write(VALUE if arguments[2].startswith(b"0") else scenario.answer)

    async with World(*[answer_later] * 20, **PLAN) as world:
        await world.spawn(folder)
        assert world.process
        asyncio.get_running_loop().create_task(drain(world.process.stderr))
        sound = SoundClients(world)
        tasks = [asyncio.create_task(sound.ping()), asyncio.create_task(sound.send_claims())]
        await asyncio.sleep(1.0)
        before_mb = peak_memory_mb(world.process.pid)
        attacker = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "--attack", name, "--port", str(world.port), cwd=ROOT
        )
        await attacker.wait()
        await asyncio.sleep(1.0)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(CLAIM_WAIT_MS / 1000 + 0.6)
        peak_mb = peak_memory_mb(world.process.pid)
        results = ", ".join(f"{count} {kind}" for kind, count in sorted(sound.results.items()))
        longest_ms = sound.longest_s * 1000
        print(f"| {name} | {before_mb:.0f} | {peak_mb:.0f} | {longest_ms:.0f} | {results} |", flush=True)


async def drain(stream: asyncio.StreamReader | None) -> None:
    while stream and await stream.read(1 << 16):
        pass


async def main(names: list[str]) -> None:
    print(f"| scenario | MB before | peak MB (limit {MEMORY_LIMIT_MB}) | longest PING, ms | claims |")
    print("| --- | --- | --- | --- | --- |")
    for name in names:
        with tempfile.TemporaryDirectory() as folder:
            await play(name, SCENARIOS[name], folder)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--tree", default=str(ROOT))
    parser.add_argument("--attack")
    parser.add_argument("--port", type=int)
    arguments = parser.parse_args()
    if arguments.attack:
        scenario = SCENARIOS[arguments.attack]
        scenario.attack(arguments.port, time.monotonic() + scenario.seconds)
    else:
        os.chdir(arguments.tree)  # the limiter is started with ``python -m hookport`` there
        asyncio.run(main(arguments.scenarios))
