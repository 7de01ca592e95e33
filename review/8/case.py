"""Where lists are asked for, a silent watch is opened anew too late, and work goes to draining servers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

import rig  # noqa: E402

TOLD_AFTER_S = 6.0  # what a silent watch misses counts as told at the latest that long after it fell silent
GRACE_S = 0.25 + 0.05  # stopSendingWithin, and each time limit is 50 ms longer


def ask_for_lists(settings: dict) -> None:
    settings["discovery"] = "subscribe"


async def case(record: rig.Record) -> int:
    servers, agent, counter = await rig.start_fleet(record)
    platform = rig.Platform(record)
    platform.change_settings = ask_for_lists
    try:
        await platform.start_all(agent, counter)
        clients = rig.Clients(record, platform)
        traffic = asyncio.create_task(clients.traffic(67, [0, 1, 2]))
        await asyncio.sleep(1.0)
        await agent.after_empty_line()
        silent_s = record.now()
        if rig.TROUBLE:
            agent.break_watches()
        await asyncio.sleep(0.3)
        draining = servers[:2]
        await agent.change(*(server.entry("DRAINING") for server in draining))
        told_s = silent_s + TOLD_AFTER_S if rig.TROUBLE else record.now()
        await asyncio.sleep(12.0)
        traffic.cancel()
        await asyncio.sleep(3.0)
        late = [
            receipt for server in draining for receipt in server.received if receipt.at_s > told_s + GRACE_S
        ]
        for receipt in late:
            record.line(f"broken: {receipt.id} was sent to {receipt.server} {receipt.at_s - silent_s:.3f} s after "
                        f"the watches fell silent")  # fmt: skip
        record.line(
            f"{len(late)} requests were sent to draining servers after they counted as told, and the grace"
        )
        record.line(f"answers to the clients: {dict(clients.results)}")
        return rig.BROKEN if late else rig.HELD
    finally:
        platform.close()


rig.play(FOLDER, case)
