"""Bad clients that send much at once and go make a limiter hang, and sound clients get no answer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

import rig  # noqa: E402

BAD_CLIENTS = 300
COMMANDS = 6000  # of each bad client: 19 bytes each, 114 KB in all
PER_SECOND = 67.0  # requests of sound clients to all three limiters
GIVE_UP_MS = {"search": 3000, "claim": 4000}
LATE_S = 0.5 + 0.05  # "up to half a second after its time it only earns nothing", and the 50 ms of sockets
OWN_LAG_S = 0.25  # if the stand-ins themselves are held up for longer, the run means nothing


def send_much_and_go(port: int) -> int:
    """Each bad client sends requests that lack all arguments, and closes its connection."""
    data = rig.encode("SVC.QUERY") * COMMANDS
    socks = []
    for _ in range(BAD_CLIENTS):
        with contextlib.suppress(OSError):
            sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
            socks.append(sock)
    for sock in socks:
        with contextlib.suppress(OSError):
            sock.sendall(data)
    for sock in socks:
        sock.close()
    return len(socks)


class SoundClients:
    """Clients that send one request at a time on a connection and wait for its time and a little more."""

    def __init__(self, record: rig.Record, platform: rig.Platform) -> None:
        self.record, self.clients = record, rig.Clients(record, platform)
        self.random = random.Random(20)
        self.answered, self.lost = [0, 0, 0], [list[str](), list[str](), list[str]()]
        self.tasks: list[asyncio.Task[None]] = []

    async def one(self, number: int) -> None:
        limiter, kind = number % 3, "search" if number % 9 < 5 else "claim"
        # A try is given up after 50 to 100% of the class's give-up time.
        wait_ms = round(GIVE_UP_MS[kind] * self.random.uniform(0.5, 1.0))
        id = f"{kind}-{number:05d}"
        sent_s = self.record.now()
        self.record.line(f"client sends {id} to n{limiter}, d={wait_ms}")
        command = rig.request(kind, 5000 + number % 200, id, "standard", wait_ms)
        answer = await self.clients.ask(limiter, command, id, wait_ms, LATE_S)
        took_s = self.record.now() - sent_s
        if answer is None:
            self.lost[limiter].append(id)
            self.record.line(f"broken: {id} got no answer from n{limiter} in {took_s:.2f} s, d={wait_ms}")
        else:
            self.answered[limiter] += 1
            self.record.line(f"client got for {id} after {took_s:.3f} s: {rig.describe(answer)}")

    async def run(self, for_s: float) -> None:
        for number in range(round(PER_SECOND * for_s)):
            self.tasks.append(asyncio.create_task(self.one(number)))
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*self.tasks)


class Watcher:
    """How long a limiter takes to answer PING, and how late the stand-ins' own timers are."""

    def __init__(self, record: rig.Record, port: int) -> None:
        self.record, self.port = record, port
        self.longest_s = self.own_lag_s = 0.0

    async def ping(self) -> None:
        while True:
            sent_s = self.record.now()
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(rig.encode("PING"))
                await reader.readuntil(b"\r\n")
                writer.close()
            self.longest_s = max(self.longest_s, self.record.now() - sent_s)
            await asyncio.sleep(0.2)

    async def measure_lag(self) -> None:
        while True:
            due_s = self.record.now() + 0.02
            await asyncio.sleep(0.02)
            self.own_lag_s = max(self.own_lag_s, self.record.now() - due_s)


async def case(record: rig.Record) -> int:
    servers, agent, counter = await rig.start_fleet(record, work_ms=90)
    platform = rig.Platform(record)
    try:
        await platform.start_all(agent, counter)
        watcher, sound = Watcher(record, platform.ports[0]), SoundClients(record, platform)
        watchers = [asyncio.create_task(watcher.ping()), asyncio.create_task(watcher.measure_lag())]
        traffic = asyncio.create_task(sound.run(16.0))
        await asyncio.sleep(3.0)
        if rig.TROUBLE:
            record.line(f"{BAD_CLIENTS} bad clients send {COMMANDS} commands each to n0, and go")
            connected = await asyncio.to_thread(send_much_and_go, platform.ports[0])
            record.line(f"{connected} bad clients have sent all and have gone")
        await traffic
        for task in watchers:
            task.cancel()
        record.line(f"n0 took {watcher.longest_s:.2f} s at most to answer PING; the stand-ins were "
                    f"{watcher.own_lag_s:.3f} s late at most")  # fmt: skip
        for limiter in range(3):
            record.line(f"n{limiter}: {sound.answered[limiter]} requests of sound clients answered, "
                        f"{len(sound.lost[limiter])} lost")  # fmt: skip
        if watcher.own_lag_s > OWN_LAG_S:
            raise rig.CannotRun(f"the stand-ins were held up for {watcher.own_lag_s:.2f} s")
        if sound.lost[1] or sound.lost[2]:
            raise rig.CannotRun(
                "requests were lost at limiters that met no bad client: the machine is too busy"
            )
        return rig.BROKEN if sound.lost[0] else rig.HELD
    finally:
        platform.close()


rig.play(FOLDER, case)
