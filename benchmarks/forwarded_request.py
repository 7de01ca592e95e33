"""CPU time of a forwarded request beside a PING, 32 pipelined on one connection.

    python benchmarks/forwarded_request.py [--tree DIR] [--rounds N] [COMMANDS]

Starts one limiter from ``DIR`` (this repository) and 16 stub servers in this process. After a round that is
not counted, sends ``COMMANDS`` (10,000) of each kind in each round and prints the limiter's CPU time per
command in microseconds (of its thread, from the system's scheduler), the minimum and the median of the
rounds, and the share of the requests that were forwarded."""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "benchmarks")]

from limit_commands import exchange  # noqa: E402
from world import World, serve  # noqa: E402

KINDS = ("PING", "SVC.QUERY")
SERVERS = 16


def cpu_time_us(pid: int) -> float:
    """The CPU time that a process's main thread has used."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1000


async def measure(port: int, pid: int, kind: str, count: int) -> tuple[float, float]:
    """Return the CPU time per command in microseconds, and the share of commands that were not refused."""
    used_us, replies = await exchange(port, kind, count, lambda: cpu_time_us(pid))
    return used_us, sum(isinstance(reply, bytes) for reply in replies) / len(replies)


async def main(count: int, rounds: int) -> None:
    async with World(*[serve] * SERVERS, perSecond=1e6, storeSize=1e6) as world:
        with tempfile.TemporaryDirectory() as folder:
            await world.spawn(folder)
            assert world.process
            pid = world.process.pid
            results: dict[str, list[tuple[float, float]]] = {kind: [] for kind in KINDS}
            for round_index in range(rounds + 1):
                for kind in KINDS:
                    result = await measure(world.port, pid, kind, count)
                    if round_index > 0:
                        results[kind].append(result)
    for kind, measured in results.items():
        values, shares = zip(*measured, strict=True)
        print(f"{kind}: minimum {min(values):.1f} µs, median {statistics.median(values):.1f} µs of "
              f"{' '.join(f'{value:.1f}' for value in values)}; {min(shares):.3f} served")  # fmt: skip


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("count", type=int, nargs="?", default=10_000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--tree", default=str(ROOT))
    arguments = parser.parse_args()
    os.chdir(arguments.tree)  # the limiter is started with ``python -m hookport`` there
    asyncio.run(main(arguments.count, arguments.rounds))
