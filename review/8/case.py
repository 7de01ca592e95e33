"""A keyed claim is sent again after the servers have forgotten it, because its connection came up late."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

import rig  # noqa: E402

WINDOW_S = 1.0  # dedupWindow of the claims: a shorter window for repeats
SLACK_S = 0.05 + 0.15  # each time limit is 50 ms longer; windows allow for a limiter that is held up
LONG_CLAIM_S = 0.9  # work of the claims in question
QUIET_S = 21.0  # long enough for the limiters to close their idle connections (half of connIdle and a sweep)


def keyed_claims(settings: dict) -> None:
    """Claims are keyed here; all servers drop repeats for WINDOW_S.  Connections may take 1.5 s."""
    claim = settings["lanes"][1]
    claim["idempotency"], claim["group"], claim["dedupWindow"] = "token", "all", int(WINDOW_S * 1e9)
    settings["bounds"]["connectTimeout"] = 1_500_000_000


async def case(record: rig.Record) -> int:
    servers, agent, counter = await rig.start_fleet(record)
    platform = rig.Platform(record)
    platform.change_settings = keyed_claims
    try:
        await platform.start_all(agent, counter)
        clients = rig.Clients(record, platform)
        traffic = asyncio.create_task(clients.traffic(67, [0, 1, 2]))
        await asyncio.sleep(3.0)
        traffic.cancel()
        prompt = sum(server.accepted for server in servers)
        record.line(f"quiet time begins; {prompt} connections to servers have come up promptly")
        if prompt < 3 * 3:
            raise rig.CannotRun("too few connections came up: three late ones would be more than a third")
        await asyncio.sleep(QUIET_S)

        # Each limiter gets one claim with much work.  Its first server runs it and then answers an error.
        first: dict[str, rig.Receipt] = {}
        ran: dict[str, list[rig.Receipt]] = {}

        async def answer_claim(receipt: rig.Receipt) -> bytes | None:
            if not receipt.id.startswith("claim-"):
                return None
            if receipt.id not in first:
                first[receipt.id] = receipt
                ran[receipt.id] = [receipt]
                await asyncio.sleep(max(0.0, receipt.at_s + LONG_CLAIM_S - record.now()))
                return b"-ERR failed\r\n"
            if receipt.at_s - first[receipt.id].at_s < WINDOW_S:
                record.line(f"the group of servers still knows {receipt.id}: not run again")
            else:
                record.line(f"the group of servers has forgotten {receipt.id}: it has run twice")
                ran[receipt.id].append(receipt)
            return None

        for server in servers:
            server.on_request = answer_claim
        tasks = []
        for limiter in range(3):
            id = f"claim-{limiter}"
            command = rig.request("claim", 70 + limiter, id, "standard", 3900)
            record.line(f"client sends claim {id} to n{limiter}")
            tasks.append(asyncio.create_task(clients.ask(limiter, command, id, 3900)))
        while len(first) < 3:
            await asyncio.sleep(0.005)
        if rig.TROUBLE:
            for server in servers:
                server.spawn(server.connections_come_late(LONG_CLAIM_S + 0.4))
        for limiter, answer in enumerate(await asyncio.gather(*tasks)):
            record.line(f"client got for claim-{limiter}: {rig.describe(answer) if answer else 'no answer'}")

        prompt_ids = [
            other.id
            for server in servers
            for other in server.received
            if other.id in first and LONG_CLAIM_S <= other.at_s - first[other.id].at_s < LONG_CLAIM_S + 0.3
        ]
        if rig.TROUBLE and prompt_ids:
            raise rig.CannotRun(f"connections do not come up late on this system: {prompt_ids}")
        broken = 0
        for id, receipt in sorted(first.items()):
            sends = [other for server in servers for other in server.received if other.id == id]
            for other in sends:
                after_s = other.at_s - receipt.at_s
                if after_s > WINDOW_S + SLACK_S:
                    broken += 1
                    record.line(f"broken: {id} was sent to {other.server} {after_s:.3f} s after {receipt.server} "
                                f"got it; the window is {WINDOW_S} s, and it ran {len(ran[id])} times")  # fmt: skip
        record.line(f"{broken} of 3 claims were sent again after the window")
        return rig.BROKEN if broken else rig.HELD
    finally:
        platform.close()


rig.play(FOLDER, case)
