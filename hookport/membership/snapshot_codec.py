"""The kept list as bytes: one line that vouches for the rest, then JSON in discovery's form.

    hookport-kept 1 CRC LENGTH
    {"fleet": ..., "generation": ..., "saved_ns": ..., "servers": [...], "gone": {...}}

``CRC`` is the CRC-32 (zlib's) of the JSON in 8 hex digits and ``LENGTH`` its bytes.  A list is used whole or
not at all: one server fewer than was written could be one that drains.  Names of zones and kinds are kept,
not their positions, which a new configuration may move."""

from __future__ import annotations

import json
import re
import zlib
from collections.abc import Mapping
from typing import Any

from aniseshed.interface import Health
from hookport.config import Names
from hookport.discovery import HEALTHS, read_entry
from hookport.membership.fleet import MOST_GONE, MOST_SERVERS, Gone, Snapshot, SnapshotEntry

VERSION = 1
LARGEST = 16 << 20  # bytes of a file that is read at all
HEAD = re.compile(rb"hookport-kept (\d{1,9}) ([0-9a-f]{8}) (\d{1,9})\n")
LATEST_NS = 1 << 62
STATES = {health: name for name, health in HEALTHS.items()}


class KeptError(Exception):
    """A file that cannot be used; the text says why, and what would do."""


def write(kept: Snapshot, names: Names) -> bytes:
    """The bytes of a list."""
    zones, kinds = ({at: name for name, at in each.items()} for each in (names.zones, names.kinds))
    told = {
        "fleet": kept.fleet,
        "generation": kept.generation,
        "saved_ns": kept.saved_ns,
        "servers": [row(held, zones, kinds) for held in kept.servers],
        "gone": {
            server.decode(): [gone.told_ns, gone.generation, gone.born_ns]
            for server, gone in kept.gone.items()
        },
    }
    body = json.dumps(told, separators=(",", ":")).encode() + b"\n"
    return b"hookport-kept %d %08x %d\n" % (VERSION, zlib.crc32(body), len(body)) + body


def row(held: SnapshotEntry, zones: Mapping[int, str], kinds: Mapping[int, str]) -> dict[str, Any]:
    entry = held.entry
    return {
        "instanceId": entry.server.decode(),
        "hostPort": f"{held.address[0]}:{held.address[1]}",
        "zone": zones.get(entry.zone, ""),
        "machineType": kinds.get(entry.kind, ""),
        "cell": entry.cell,
        "lifecycle": STATES[entry.health],
        "weight": entry.weight,
        "startedAtMs": entry.started_ns // 1_000_000,
        "generation": held.generation,
        "toldNs": held.confirmed_ns,
        "heardNs": held.answered_ns,
    }


def read(data: bytes, names: Names) -> Snapshot:
    """A list from its bytes; raises KeptError on whatever is not one whole list as it was written."""
    head = HEAD.match(data)
    if head is None:
        raise KeptError("it is empty" if not data else "it does not begin as a kept list does")
    version, crc, length = int(head[1]), int(head[2], 16), int(head[3])
    if version != VERSION:
        raise KeptError(f"it has version {version}, this program reads {VERSION}")
    body = data[head.end() :]
    if len(body) != length:
        raise KeptError(f"it has {len(body)} of {length} bytes: it was not written to its end")
    if zlib.crc32(body) != crc:
        raise KeptError("its checksum is wrong: it was damaged after it was written")
    try:
        told = json.loads(body)
        servers = tuple(held(each, names) for each in told["servers"])
        gone = {
            server.encode(): Gone(moment(at), number(generation), moment(born))
            for server, (at, generation, born) in told["gone"].items()
        }
        if len(servers) > MOST_SERVERS or len(gone) > MOST_GONE + MOST_SERVERS:
            raise ValueError(f"{len(servers)} servers, {len(gone)} gone")
        return Snapshot(
            str(told["fleet"]), number(told["generation"]), moment(told["saved_ns"]), servers, gone
        )
    except Exception as error:
        raise KeptError(f"it holds no list of servers: {type(error).__name__}: {error}") from error


def held(told: dict[str, Any], names: Names) -> SnapshotEntry:
    entry, place = read_entry(told, names)
    if entry.health is Health.GONE:
        raise ValueError(f"{entry.server!r:.40} is gone: only servers are listed")
    return SnapshotEntry(
        entry, place, number(told["generation"]), moment(told["toldNs"]), moment(told["heardNs"])
    )


def number(told: object) -> int:
    if not isinstance(told, int) or isinstance(told, bool) or not 0 <= told <= LATEST_NS:
        raise ValueError(f"no count: {told!r:.40}")
    return told


moment = number  # Unix nanoseconds
