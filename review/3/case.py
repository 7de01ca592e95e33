"""A planned restart while a client has sent many commands at once: is each of them answered?"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Client, Server, World, encode, kind_of, main, request  # noqa: E402

FOLDER = Path(__file__).resolve().parent
COMMANDS = 100  # that the client sends at once
SEND_AFTER_SIGTERM_S = 0.4
KILL_AFTER_SIGTERM_S = 3.7  # the longest deadline, 3 s at most, and 0.7 s


class SteadyServer(Server):
    def work_s(self, command: list[bytes]) -> float:
        return 0.28 if command[0] == b"SVC.SUBMIT" else 0.1  # inside 150 to 280 ms and 71 to 120 ms


async def case(trouble: bool) -> int:
    async with World(FOLDER, server=SteadyServer) as world:
        record, limiter = world.record, world.limiters[0]
        client = await Client.connect(limiter)
        for n in range(3):  # an ordinary client, whose connection is in use
            reply = await client.ask(request("search", 0xA0 + n))
            record(f"client got {kind_of(reply)}")
            if kind_of(reply) != "served":
                return 2
        # A claim, and behind it searches of other customers.
        commands = [
            request("search" if n else "claim", 0xB4D65000 + n, first=n % 2) for n in range(COMMANDS)
        ]
        if trouble:
            limiter.signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        killing = loop.call_later(KILL_AFTER_SIGTERM_S, limiter.signal, signal.SIGKILL) if trouble else None
        await asyncio.sleep(SEND_AFTER_SIGTERM_S)
        sent_s = record.now()
        client.writer.write(b"".join(encode(*command) for command in commands))
        await client.writer.drain()
        record(f"client sent {COMMANDS} commands at once on its connection")
        answers, ended = 0, ""
        try:
            while answers < COMMANDS:
                reply = await asyncio.wait_for(client.answer(), 8)
                record(f"client got {kind_of(reply)} for command {answers} {commands[answers][2].decode()}")
                answers += 1
        except EOFError:
            ended = "with an orderly end, so all its bytes had been read"
        except ConnectionError:
            ended = "with a reset"
        if killing:
            killing.cancel()
        lost = COMMANDS - answers
        text = f"{answers} of {COMMANDS} commands were answered"
        if ended:
            text += f"; the connection ended {record.now() - sent_s:.3f} s after they were sent, {ended}"
        record(text)
        for command in commands[answers:]:
            record(f"never answered: {command[0].decode()} {command[2].decode()}")
        print(text)
    # A reset may cross requests that were not read; the client sends those once more. An orderly end does not.
    return 1 if lost and "orderly" in ended else 0


main(case, FOLDER)
