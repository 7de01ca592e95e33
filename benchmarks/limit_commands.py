"""CPU of limit commands beside a PING and a forwarded request, pipelined 32 deep on one connection.

    python benchmarks/limit_commands.py [COMMANDS]

Starts one limiter with limit commands on and a stub server in this process, sends ``COMMANDS`` (20,000) of
each kind in turn, three rounds, and prints the limiter's own CPU a command in microseconds (user and system,
psutil), the least of the rounds.  With the packages limits and throttled-py installed, their in-process takes
stand beside them."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import hiredis
import psutil

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from world import World, serve  # noqa: E402

DEEP = 32
FIELDS = b"c=lookup,t=team,d=3000,units=1,spread=1,first=0"


def pack(*words: bytes) -> bytes:
    packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type,no-untyped-call]
    return packed


def commands(kind: str, n: int) -> bytes:
    customer = b"%016x" % (n % 100)
    if kind == "PING":
        return pack(b"PING")
    if kind == "SVC.QUERY":
        return pack(b"SVC.QUERY", customer, b"%s-%d" % (os.urandom(4).hex().encode(), n), FIELDS)
    return pack(kind.encode(), customer, b"%s-%d" % (os.urandom(4).hex().encode(), n), FIELDS)


async def spend(port: int, process: psutil.Process, kind: str, count: int) -> float:
    """Microseconds of the limiter's CPU a command."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    batches = [b"".join(commands(kind, at + n) for n in range(DEEP)) for at in range(0, count, DEEP)]
    parser = hiredis.Reader()
    before = process.cpu_times()
    for batch in batches:
        writer.write(batch)
        left = DEEP
        while left:
            parser.feed(await reader.read(1 << 16))
            while parser.gets() is not False:
                left -= 1
    after = process.cpu_times()
    writer.close()
    return (after.user + after.system - before.user - before.system) / (len(batches) * DEEP) * 1e6


def in_process() -> Iterator[tuple[str, Callable[[], object]]]:
    try:
        import limits
        from limits.storage import MemoryStorage
        from limits.strategies import FixedWindowRateLimiter

        strategy = FixedWindowRateLimiter(MemoryStorage())
        item = limits.parse("1000000/second")
        yield "limits, fixed window, in process", lambda: strategy.hit(item, "key")
    except ImportError:
        print("limits is not installed: left out", file=sys.stderr)
    try:
        import throttled

        throttle = throttled.Throttled(
            key="key", using="gcra", quota=throttled.rate_limiter.per_sec(1_000_000, burst=1_000_000),
            store=throttled.store.MemoryStore(),
        )  # fmt: skip
        yield "throttled-py, GCRA, in process", throttle.limit
    except ImportError:
        print("throttled-py is not installed: left out", file=sys.stderr)


async def main() -> None:
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    with tempfile.TemporaryDirectory() as folder:
        options = Path(folder) / "options.json"
        options.write_text(json.dumps({"limits": {}}))
        os.environ["HOOKPORT_OPTIONS"] = str(options)
        async with World(serve, perSecond=1e6, storeSize=1e6) as world:
            await world.spawn(folder)
            assert world.process
            process = psutil.Process(world.process.pid)
            kinds = ("PING", "LIMIT.PEEK", "LIMIT.TAKE", "SVC.QUERY")
            best = dict.fromkeys(kinds, float("inf"))
            for number in range(3):
                for kind in kinds:
                    print(f"round {number + 1}: {kind}", file=sys.stderr)
                    best[kind] = min(best[kind], await spend(world.port, process, kind, count))
    print("| what | µs of CPU | PINGs |\n| --- | --- | --- |")
    for kind in kinds:
        print(f"| {kind} | {best[kind]:.1f} | {best[kind] / best['PING']:.1f} |")
    for name, call in in_process():
        began = time.process_time()
        for _ in range(count):
            call()
        print(f"| {name} | {(time.process_time() - began) / count * 1e6:.1f} | |")


if __name__ == "__main__":
    asyncio.run(main())
