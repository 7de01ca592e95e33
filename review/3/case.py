"""Many bad clients send much at once and stop in the middle of a request: does the limiter keep its memory?"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Client, World, kind_of, main, request  # noqa: E402

FOLDER = Path(__file__).resolve().parent
BAD_CLIENTS = 450  # of the 1,024 descriptors that a limiter may hold
LENGTH_S = 12.0
RATE = 60.0
VALUE = b"$65536\r\n" + b"x" * 65536 + b"\r\n"  # values hold at most 64 KiB
# A command that is never finished: seven values and the beginning of an eighth.
UNFINISHED = b"*8\r\n" + 7 * VALUE + b"$65536\r\n" + b"x" * 60000


def resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status") as file:
        return next((int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS")), 0.0)


async def case(trouble: bool) -> int:
    rng = random.Random(33)
    async with World(FOLDER) as world:
        record, victim = world.record, world.limiters[0]
        assert victim.process
        limit_mb = victim.config["limits"]["memory_mb"]
        peak_mb, killed = 0.0, False

        async def platform() -> None:
            """Over memory_mb the limiter is killed."""
            nonlocal peak_mb, killed
            while not killed:
                if victim.process.returncode is not None:
                    killed = True
                    return record(f"limiter {victim.name} ended by itself, status {victim.process.returncode}")
                now_mb = resident_mb(victim.process.pid)
                if now_mb > peak_mb + 10:
                    record(f"limiter {victim.name} holds {now_mb:.0f} MB")
                    peak_mb = now_mb
                peak_mb = max(peak_mb, now_mb)
                if now_mb > limit_mb:
                    killed = True
                    record(f"limiter {victim.name} holds {now_mb:.1f} MB, over {limit_mb} MB: killed")
                    victim.signal(signal.SIGKILL)
                await asyncio.sleep(0.01)

        counts: dict[str, int] = {}

        async def ask(limiter, command: list[bytes]) -> None:
            try:
                client = await Client.connect(limiter)
                kind = kind_of(await asyncio.wait_for(client.ask(command), 6))
                client.writer.close()
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                kind = f"no answer ({type(error).__name__})"
            record(f"client got {kind} for {command[2].decode()} from {limiter.name}")
            counts[kind] = counts.get(kind, 0) + 1

        async def bad_client() -> None:
            try:
                reader, writer = await asyncio.open_connection(victim.host, victim.port)
                writer.write(UNFINISHED)
                await asyncio.wait_for(reader.read(100), 6)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass

        watching = asyncio.ensure_future(platform())
        tasks, start, bad_sent = set(), time.monotonic(), False
        while time.monotonic() < start + LENGTH_S and not killed:
            if trouble and not bad_sent and time.monotonic() > start + 3:
                bad_sent = True
                record(f"{BAD_CLIENTS} bad clients send {len(UNFINISHED)} bytes each to {victim.name} and stop")
                tasks.update(asyncio.ensure_future(bad_client()) for _ in range(BAD_CLIENTS))
            await asyncio.sleep(rng.expovariate(RATE))
            customer = rng.randrange(60)
            command = request(rng.choice(("search", "claim")), 0xB4D65000 + customer, first=customer % 3)
            tasks.add(asyncio.ensure_future(ask(world.limiters[(customer + rng.randrange(2)) % 3], command)))
        await asyncio.wait(tasks, timeout=8)
        watching.cancel()
        text = f"peak {peak_mb:.1f} MB of {limit_mb} MB; {'killed' if killed else 'not killed'}; clients: {counts}"
        record(text)
        print(text)
    return 1 if killed else 0


main(case, FOLDER)
