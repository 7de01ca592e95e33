"""A client sends many requests at once and goes; attempts for it still begin when it has gone."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

import rig  # noqa: E402

REQUESTS = 100
BODY_BYTES = 8 * 1024
WORK_MS = 250.0  # a claim's mean work is 150 to 280 ms
BEGIN_WITHIN_S = 0.1 + 0.05  # after the close; each time limit is 50 ms longer


def send_and_go(record: rig.Record, port: int, name: str) -> float:
    """One client sends its requests at once and closes the connection; returns when it has closed it."""
    sock = rig.socket.create_connection(("127.0.0.1", port))
    data = b"".join(
        rig.request("claim", 100 + n, f"{name}-{n:05d}", "standard", 3900, body=b"b" * BODY_BYTES)
        for n in range(REQUESTS)
    )
    sock.sendall(data)
    if rig.TROUBLE:
        sock.close()
        record.line(f"client {name} has sent {REQUESTS} claims, {len(data)} bytes, and has gone")
    else:
        KEPT.append(sock)
        record.line(f"client {name} has sent {REQUESTS} claims, {len(data)} bytes, and stays")
    return record.now()


KEPT: list[rig.socket.socket] = []


async def read_answers(sock: rig.socket.socket) -> None:
    """A client that stays reads its answers."""
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    while await loop.sock_recv(sock, 65536):
        pass


async def case(record: rig.Record) -> int:
    servers, agent, counter = await rig.start_fleet(record, work_ms=WORK_MS)
    platform = rig.Platform(record)
    try:
        await platform.start_all(agent, counter)
        clients = rig.Clients(record, platform)
        traffic = asyncio.create_task(clients.traffic(40, [0, 1, 2]))
        await asyncio.sleep(2.0)
        gone_s = {}
        for limiter in range(3):
            name = f"gone{limiter}"
            gone_s[name] = await asyncio.to_thread(send_and_go, record, platform.ports[limiter], name)
        readers = [asyncio.create_task(read_answers(sock)) for sock in KEPT]
        await asyncio.sleep(8.0)
        traffic.cancel()
        await asyncio.sleep(2.0)
        for task in readers:
            task.cancel()
        received = [receipt for server in servers for receipt in server.received if receipt.id[:5] in gone_s]
        late = [r for r in received if rig.TROUBLE and r.at_s > gone_s[r.id[:5]] + BEGIN_WITHIN_S]
        for receipt in late:
            record.line(f"broken: the attempt {receipt.id} at {receipt.server} began "
                        f"{receipt.at_s - gone_s[receipt.id[:5]]:.3f} s after its client had gone")  # fmt: skip
        record.line(f"{len(received)} attempts for the three clients, {len(late)} of them too late")
        record.line(f"answers to the other clients: {dict(clients.results)}")
        return rig.BROKEN if late else rig.HELD
    finally:
        platform.close()


rig.play(FOLDER, case)
