"""CPU time of limit commands compared with a PING and a forwarded request, 32 pipelined on one connection.

    python benchmarks/limit_commands.py [COMMANDS]

Starts one limiter with limit commands enabled and a stub server in this process, sends ``COMMANDS`` (20,000)
of each kind in turn, three rounds, and prints the limiter process's CPU time per command in microseconds
(user and system, from psutil), the minimum of the rounds. If the packages limits and throttled-py are
installed, their in-process checks are measured too."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import hiredis
import psutil

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from world import World, serve  # noqa: E402

PIPELINE_DEPTH = 32
FIELDS = b"c=lookup,t=team,d=3000,units=1,spread=1,first=0"


def pack(*args: bytes) -> bytes:
    packed: bytes = hiredis.pack_command(args)  # type: ignore[arg-type,no-untyped-call]
    return packed


def encode_command(kind: str, n: int) -> bytes:
    customer = b"%016x" % (n % 100)
    if kind == "PING":
        return pack(b"PING")
    if kind == "SVC.QUERY":
        return pack(b"SVC.QUERY", customer, b"%s-%d" % (os.urandom(4).hex().encode(), n), FIELDS)
    return pack(kind.encode(), customer, b"%s-%d" % (os.urandom(4).hex().encode(), n), FIELDS)


async def exchange(
    port: int, kind: str, count: int, cpu_time_us: Callable[[], float]
) -> tuple[float, list[Any]]:
    """Send about ``count`` commands; return the CPU time used for each, in microseconds, and the replies.

    ``cpu_time_us`` returns the CPU time that the limiter has used so far."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    batches = [
        b"".join(encode_command(kind, at + n) for n in range(PIPELINE_DEPTH))
        for at in range(0, count, PIPELINE_DEPTH)
    ]
    parser, replies = hiredis.Reader(), list[Any]()
    before_us = cpu_time_us()
    for batch in batches:
        writer.write(batch)
        expected = len(replies) + PIPELINE_DEPTH
        while len(replies) < expected:
            parser.feed(await reader.read(1 << 16))
            while (reply := parser.gets()) is not False:
                replies.append(reply)
    used_us = cpu_time_us() - before_us
    writer.close()
    return used_us / len(replies), replies


async def cpu_per_command_us(port: int, process: psutil.Process, kind: str, count: int) -> float:
    """Send ``count`` commands and return the limiter's CPU time for each, in microseconds."""

    def cpu_time_us() -> float:
        times = process.cpu_times()
        return float(times.user + times.system) * 1e6

    return (await exchange(port, kind, count, cpu_time_us))[0]


def in_process_limiters() -> Iterator[tuple[str, Callable[[], object]]]:
    """Yield name and check function of each in-process limiter that is installed."""
    try:
        import limits
        from limits.storage import MemoryStorage
        from limits.strategies import FixedWindowRateLimiter

        strategy = FixedWindowRateLimiter(MemoryStorage())
        item = limits.parse("1000000/second")
        yield "limits, fixed window, in process", lambda: strategy.hit(item, "key")
    except ImportError:
        print("limits is not installed: skipped", file=sys.stderr)
    try:
        import throttled

        throttle = throttled.Throttled(
            key="key", using="gcra", quota=throttled.rate_limiter.per_sec(1_000_000, burst=1_000_000),
            store=throttled.store.MemoryStore(),
        )  # fmt: skip
        yield "throttled-py, GCRA, in process", throttle.limit
    except ImportError:
        print("throttled-py is not installed: skipped", file=sys.stderr)


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
            lowest_us = dict.fromkeys(kinds, float("inf"))
            for round_index in range(3):
                for kind in kinds:
                    print(f"round {round_index + 1}: {kind}", file=sys.stderr)
                    lowest_us[kind] = min(
                        lowest_us[kind], await cpu_per_command_us(world.port, process, kind, count)
                    )
    print("| command | CPU, µs | relative to PING |\n| --- | --- | --- |")
    for kind in kinds:
        print(f"| {kind} | {lowest_us[kind]:.1f} | {lowest_us[kind] / lowest_us['PING']:.1f} |")
    for name, check in in_process_limiters():
        started_s = time.process_time()
        for _ in range(count):
            check()
        print(f"| {name} | {(time.process_time() - started_s) / count * 1e6:.1f} | |")


if __name__ == "__main__":
    asyncio.run(main())
