"""At a planned restart a limiter closes a connection on which whole requests wait, and they get no answer."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

import rig  # noqa: E402

SHORT_REQUESTS, LONG_REQUESTS = 90, 30
LONG_BODY_BYTES = 60_000  # values hold 64 KiB at most
WAIT_MS = 3900
HANGING = 5  # of ten servers: a quarter to a half of them
KILL_AFTER_S = 3.0 + 0.7  # SIGKILL comes no sooner after SIGTERM
CROSSED_S = 1.0  # a request that was written so shortly before the end of its connection may have crossed it


async def case(record: rig.Record) -> int:
    servers, agent, counter = await rig.start_fleet(record)
    platform = rig.Platform(record)
    try:
        await platform.start_all(agent, counter)
        clients = rig.Clients(record, platform)
        traffic = asyncio.create_task(clients.traffic(40, [1, 2]))
        await asyncio.sleep(1.0)
        if rig.TROUBLE:
            record.line(f"{HANGING} of {len(servers)} servers hang from now on")
            for server in servers[:HANGING]:
                server.on_request = hang

        # One client connection carries claims of many partner desks, sent at once.
        reader, writer = await asyncio.open_connection("127.0.0.1", platform.ports[0], limit=1 << 20)
        ids = [f"claim-{number:04d}" for number in range(SHORT_REQUESTS + LONG_REQUESTS)]
        for number, id in enumerate(ids):
            body = b"b" * (64 if number < SHORT_REQUESTS else LONG_BODY_BYTES)
            writer.write(rig.request("claim", 900 + number, id, "standard", WAIT_MS, body=body))
        await writer.drain()
        while writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.001)
        written_s = record.now()
        record.line(f"the client has written {len(ids)} claims whole, the last byte of the last one too")

        process = platform.processes[0]
        if rig.TROUBLE:
            process.send_signal(signal.SIGTERM)
            record.line("n0 gets SIGTERM")
            asyncio.get_running_loop().call_later(KILL_AFTER_S, kill, record, process)
        answers = 0
        try:
            async with asyncio.timeout(WAIT_MS / 1000 + 4.0):
                while answers < len(ids):
                    answer = await rig.read_message(reader)
                    record.line(f"client got for {ids[answers]}: {rig.describe(answer)}")
                    answers += 1
            ended = "all are answered"
        except TimeoutError:
            ended = "time is up"
        except (OSError, EOFError) as error:
            ended = f"n0 has ended the connection: {type(error).__name__}"
        ended_s = record.now()
        record.line(f"{answers} of {len(ids)} claims are answered; {ended}, {ended_s - written_s:.3f} s after the "
                    f"last one was written; n0 {'runs' if process.returncode is None else 'has ended'}")  # fmt: skip
        lost = ids[answers:] if ended_s - written_s > CROSSED_S else []
        for id in lost[:1]:
            try:
                await asyncio.open_connection("127.0.0.1", platform.ports[0])
                record.line(f"the client could send {id} once more on a new connection to n0")
            except OSError as error:
                record.line(f"the client cannot send {id} once more to n0: {error}")
        for id in lost:
            record.line(f"broken: {id} was taken and has got no answer")
        traffic.cancel()
        await asyncio.sleep(1.0)
        record.line(f"{len(lost)} of {len(ids)} claims were lost")
        return rig.BROKEN if lost else rig.HELD
    finally:
        platform.close()


async def hang(receipt: rig.Receipt) -> None:
    await asyncio.Event().wait()


def kill(record: rig.Record, process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        record.line("n0 gets SIGKILL")
        process.kill()


rig.play(FOLDER, case)
