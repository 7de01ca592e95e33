"""The file format of a snapshot of the server list: one header line, then JSON in discovery's form.

    hookport-kept 1 CRC LENGTH
    {"fleet": ..., "generation": ..., "saved_ns": ..., "servers": [...], "gone": {...}}

``CRC`` is the CRC-32 (zlib's) of the JSON in 8 hex digits and ``LENGTH`` the size of the JSON in bytes.  A
snapshot is used whole or not at all, because a missing entry could be that of a draining server.
Zones and machine types are stored by name, since a new configuration may change their positions."""

from __future__ import annotations

import json
import re
import zlib
from collections.abc import Mapping
from typing import Any

from aniseshed.interface import Health
from hookport.config import NameIndex
from hookport.discovery import HEALTH_BY_LIFECYCLE, parse_entry
from hookport.membership.fleet import MAX_SERVERS, MAX_TOMBSTONES, Snapshot, SnapshotEntry, Tombstone

FORMAT_VERSION = 1
MAX_FILE_BYTES = 16 << 20  # larger files are rejected
HEADER = re.compile(rb"hookport-kept (\d{1,9}) ([0-9a-f]{8}) (\d{1,9})\n")
MAX_INTEGER = 1 << 62  # maximum of generations and of times in nanoseconds
LIFECYCLE_BY_HEALTH = {health: name for name, health in HEALTH_BY_LIFECYCLE.items()}


class SnapshotError(Exception):
    """A file that cannot be used as a snapshot; the text names the reason."""


def encode(snapshot: Snapshot, names: NameIndex) -> bytes:
    """The contents of the file for a snapshot."""
    zones, kinds = ({at: name for name, at in each.items()} for each in (names.zones, names.host_types))
    document = {
        "fleet": snapshot.fleet,
        "generation": snapshot.generation,
        "saved_ns": snapshot.saved_ns,
        "servers": [encode_entry(saved, zones, kinds) for saved in snapshot.servers],
        "gone": {
            server.decode(): [tombstone.recorded_ns, tombstone.generation, tombstone.started_ns]
            for server, tombstone in snapshot.tombstones.items()
        },
    }
    body = json.dumps(document, separators=(",", ":")).encode() + b"\n"
    return b"hookport-kept %d %08x %d\n" % (FORMAT_VERSION, zlib.crc32(body), len(body)) + body


def encode_entry(saved: SnapshotEntry, zones: Mapping[int, str], kinds: Mapping[int, str]) -> dict[str, Any]:
    entry = saved.entry
    return {
        "instanceId": entry.server.decode(),
        "hostPort": f"{saved.address[0]}:{saved.address[1]}",
        "zone": zones.get(entry.zone, ""),
        "machineType": kinds.get(entry.kind, ""),
        "cell": entry.cell,
        "lifecycle": LIFECYCLE_BY_HEALTH[entry.health],
        "weight": entry.weight,
        "startedAtMs": entry.started_ns // 1_000_000,
        "generation": saved.generation,
        "toldNs": saved.confirmed_ns,
        "heardNs": saved.answered_ns,
    }


def decode(data: bytes, names: NameIndex) -> Snapshot:
    """A snapshot from the contents of a file; raises SnapshotError unless the file is complete and valid."""
    header = HEADER.match(data)
    if header is None:
        raise SnapshotError(
            "the file is empty" if not data else "the file does not begin with the header of a saved list"
        )
    version, crc, length = int(header[1]), int(header[2], 16), int(header[3])
    if version != FORMAT_VERSION:
        raise SnapshotError(
            f"the file has format version {version}, this program reads version {FORMAT_VERSION}"
        )
    body = data[header.end() :]
    if len(body) != length:
        raise SnapshotError(f"the file has {len(body)} of {length} bytes: it was not written completely")
    if zlib.crc32(body) != crc:
        raise SnapshotError("the file's checksum is wrong: it was damaged after it was written")
    try:
        document = json.loads(body)
        servers = tuple(decode_entry(row, names) for row in document["servers"])
        tombstones = {
            server.encode(): Tombstone(parse_time_ns(at), parse_integer(generation), parse_time_ns(started))
            for server, (at, generation, started) in document["gone"].items()
        }
        if len(servers) > MAX_SERVERS or len(tombstones) > MAX_TOMBSTONES + MAX_SERVERS:
            raise ValueError(f"too many entries: {len(servers)} servers, {len(tombstones)} gone")
        return Snapshot(
            str(document["fleet"]),
            parse_integer(document["generation"]),
            parse_time_ns(document["saved_ns"]),
            servers,
            tombstones,
        )
    except Exception as error:
        raise SnapshotError(f"the file has no valid server list: {type(error).__name__}: {error}") from error


def decode_entry(row: dict[str, Any], names: NameIndex) -> SnapshotEntry:
    entry, address = parse_entry(row, names)
    if entry.health is Health.GONE:
        raise ValueError(f"server {entry.server!r:.40} is deleted and must not be among the servers")
    return SnapshotEntry(
        entry,
        address,
        parse_integer(row["generation"]),
        parse_time_ns(row["toldNs"]),
        parse_time_ns(row["heardNs"]),
    )


def parse_integer(value: object) -> int:
    """Check an integer from 0 to MAX_INTEGER; raises ValueError."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"not an integer from 0 to 2^62: {value!r:.40}")
    return value


parse_time_ns = parse_integer  # Unix time in nanoseconds
