"""Some bad clients send many searches at once: do the requests of sound clients get their final answer?"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Client, Limiter, World, encode, kind_of, main, request  # noqa: E402

FOLDER = Path(__file__).resolve().parent
LENGTH_S = 24.0
RATE = 67.0  # requests a second of the sound clients, of the users' page
CUSTOMERS = 60
GIVE_UP_MS = {"search": 3000, "claim": 4000}
GRACE_S = 0.55  # "up to half a second after its time", and the 50 ms that sockets have
BAD_AT_S = 6.0
BAD_CLIENTS, BAD_COMMANDS = 30, 1000
BAD_WAIT_S = 3.5  # the time of their requests and half a second; then they close
MAX_LAG_S = 0.25  # of the stand-ins: with more, the run shows nothing


async def case(trouble: bool) -> int:
    rng = random.Random(33)
    async with World(FOLDER) as world:
        record, start = world.record, time.monotonic()
        idle: dict[Limiter, list[Client]] = {limiter: [] for limiter in world.limiters}
        counts = {"served": 0, "refused": 0, "failed": 0, "sent again": 0}
        lost: dict[str, int] = {limiter.name: 0 for limiter in world.limiters}
        lag_s = ping_s = 0.0

        async def ask(limiter: Limiter, command: list[bytes], d_ms: int) -> None:
            ident = command[2].decode()
            for attempt in range(2):
                client = None
                try:
                    client = idle[limiter].pop() if idle[limiter] else await Client.connect(limiter)
                    record(f"sound client sent {command[0].decode()} {ident} d={d_ms} to {limiter.name}")
                    reply = await asyncio.wait_for(client.ask(command), d_ms / 1000 + GRACE_S)
                    break
                except TimeoutError:
                    lost[limiter.name] += 1
                    record(f"sound client has no answer for {ident} {GRACE_S} s after its time  LOST")
                    client.writer.transport.abort()
                    return
                except (EOFError, ConnectionError):
                    # The limiter closed the connection between requests: once more on a new one.
                    idle[limiter].clear()
                    counts["sent again"] += not attempt
            else:
                lost[limiter.name] += 1
                return record(f"sound client saw two connections end with no answer for {ident}  LOST")
            idle[limiter].append(client)
            counts[kind_of(reply)] += 1
            record(f"sound client got for {ident}: {kind_of(reply)}")

        async def bad_client(number: int, data: bytes) -> None:
            client = await Client.connect(world.limiters[0])
            record(f"bad client {number} sent {BAD_COMMANDS} searches at once, {len(data)} bytes")
            client.writer.write(data)
            answered = refused = 0
            try:
                async with asyncio.timeout(BAD_WAIT_S):
                    while piece := await client.reader.read(1 << 16):
                        refused += piece.count(b"-")
                        answered += piece.count(b"-") + piece.count(b"$")
            except (TimeoutError, ConnectionError):
                pass
            record(f"bad client {number} got {answered} answers, {refused} of them errors, and closed")
            client.writer.transport.abort()

        async def ping() -> None:
            """How long does the limiter with the bad clients take to answer a PING?"""
            nonlocal ping_s
            client = await Client.connect(world.limiters[0])
            while True:
                asked = time.monotonic()
                try:
                    await client.ask([b"PING"])
                except (EOFError, ConnectionError):
                    client = await Client.connect(world.limiters[0])
                finally:
                    ping_s = max(ping_s, time.monotonic() - asked)
                await asyncio.sleep(0.1)

        async def watch_lag() -> None:
            nonlocal lag_s
            while True:
                due = time.monotonic() + 0.02
                await asyncio.sleep(0.02)
                lag_s = max(lag_s, time.monotonic() - due)

        # Each customer of the bad clients asks once, inside the quota of its plan.
        bursts = [
            b"".join(
                encode(*request("search", 0x100000000 + rng.getrandbits(31), "basic"))
                for _ in range(BAD_COMMANDS)
            )
            for _ in range(BAD_CLIENTS)
        ]
        start = time.monotonic()
        observers = [asyncio.ensure_future(ping()), asyncio.ensure_future(watch_lag())]
        tasks, sent_bad = set(), not trouble

        def run(coroutine) -> None:
            task = asyncio.ensure_future(coroutine)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        while time.monotonic() < start + LENGTH_S:
            await asyncio.sleep(rng.expovariate(RATE))
            customer = rng.randrange(CUSTOMERS)
            limiter = world.limiters[(customer + rng.randrange(2)) % 3]
            kind = "search" if rng.random() < 0.56 else "claim"
            d_ms = round(GIVE_UP_MS[kind] * rng.uniform(0.5, 1.0))
            command = request(kind, 0xB4D65000 + customer, first=customer % 3, d=d_ms)
            run(ask(limiter, command, d_ms))
            if not sent_bad and time.monotonic() > start + BAD_AT_S:
                sent_bad = True
                for number, data in enumerate(bursts):
                    run(bad_client(number, data))
        if tasks:
            await asyncio.wait(tasks, timeout=8)
        for observer in observers:
            observer.cancel()
        await asyncio.gather(*observers, return_exceptions=True)
        ended = [limiter.name for limiter in world.limiters if limiter.process.returncode is not None]
        text = (
            f"sound requests: {counts}, lost {lost}; longest PING {ping_s:.2f} s; "
            f"lag of the stand-ins {lag_s:.2f} s; limiters ended: {ended}"
        )
        record(text)
        print(text)
    if not counts["served"] or lag_s > MAX_LAG_S:
        return 2
    return 1 if sum(lost.values()) else 0


main(case, FOLDER)
