"""``hookport kept FILE``: shows a saved server list, its age, and how far a limiter that starts now would
trust it."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Sequence

from aniseshed.interface import Health, ListKind, ServerList
from hookport.config import NameIndex
from hookport.membership import snapshot_codec
from hookport.membership.curve import SECOND_NS, TrustCurve
from hookport.membership.fleet import FleetView
from hookport.membership.snapshot_file import LocalFileSystem

NO_NAMES = NameIndex({}, {}, {}, {})  # zones and machine types are not shown
NEVER_FORGET_NS = 1 << 62  # entries of any age are shown


def main(arguments: Sequence[str]) -> int:
    """Show a saved server list as JSON lines: one for the whole list, then one for each server.  Exits with 2
    if the file cannot be used."""
    parser = argparse.ArgumentParser(prog="hookport kept", description=main.__doc__)
    parser.add_argument(
        "file", help="the saved list: the path given in the options, or that path with .old appended"
    )
    args = parser.parse_args(arguments)
    try:
        snapshot = snapshot_codec.decode(LocalFileSystem().read(args.file), NO_NAMES)
    except (OSError, snapshot_codec.SnapshotError) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        print(
            f"hookport kept: {args.file}: {reason}; remove the file to start without a saved list",
            file=sys.stderr,
        )
        return 2
    now_ns, curve = time.time_ns(), TrustCurve()
    fleet = FleetView(snapshot.fleet, 0, 1, curve, NEVER_FORGET_NS)
    fleet.start(now_ns, snapshot, ServerList(ListKind.CACHED, ()), {})
    summary = {
        "fleet": snapshot.fleet,
        "generation": snapshot.generation,
        "age_s": round((now_ns - snapshot.saved_ns) / SECOND_NS, 1),
        "servers": len(snapshot.servers),
        "gone": len(snapshot.tombstones),
    }
    print(json.dumps(summary))
    for saved in snapshot.servers:
        point = curve.at(now_ns - saved.confirmed_ns)
        row = {
            "server": saved.entry.server.decode(),
            "address": f"{saved.address[0]}:{saved.address[1]}",
            "state": saved.entry.health.name.lower(),
            "told_s_ago": round((now_ns - saved.confirmed_ns) / SECOND_NS, 1),
            "answered_s_ago": round((now_ns - saved.answered_ns) / SECOND_NS, 1)
            if saved.answered_ns
            else None,
        }
        if saved.entry.health is Health.READY:
            row["trust"] = fleet.servers[saved.entry.server].trust.name.lower()
            row["answers_to_prove"] = point.answers
            row["claims_unproved"] = point.claims
        print(json.dumps(row))
    return 0
