"""``hookport kept FILE``: what a kept list says, how old it is, and how far a limiter that starts now would
trust it."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Sequence

from aniseshed.interface import Health, ListKind, ServerList
from hookport.config import Names
from hookport.membership import snapshot_codec
from hookport.membership.curve import SECOND_NS, TrustCurve
from hookport.membership.fleet import FleetView
from hookport.membership.snapshot_file import LocalFileSystem

NOBODY = Names({}, {}, {}, {})
ALL_NS = 1 << 62


def main(arguments: Sequence[str]) -> int:
    """Show a kept list as JSON lines: one for the whole, one for each server; exit status 2 if it is none."""
    parser = argparse.ArgumentParser(prog="hookport kept", description=main.__doc__)
    parser.add_argument("file", help="the list: the path of the options, or the same with .old behind it")
    told = parser.parse_args(arguments)
    try:
        kept = snapshot_codec.decode(LocalFileSystem().read(told.file), NOBODY)
    except (OSError, snapshot_codec.SnapshotError) as error:
        why = error.strerror if isinstance(error, OSError) else error
        print(f"hookport kept: {told.file}: {why}; remove it to start without it", file=sys.stderr)
        return 2
    now_ns, curve = time.time_ns(), TrustCurve()
    fleet = FleetView(kept.fleet, 0, 1, curve, ALL_NS)
    fleet.start(now_ns, kept, ServerList(ListKind.CACHED, ()), {})
    whole = {
        "fleet": kept.fleet,
        "generation": kept.generation,
        "age_s": round((now_ns - kept.saved_ns) / SECOND_NS, 1),
        "servers": len(kept.servers),
        "gone": len(kept.gone),
    }
    print(json.dumps(whole))
    for held in kept.servers:
        point = curve.at(now_ns - held.confirmed_ns)
        row = {
            "server": held.entry.server.decode(),
            "address": f"{held.address[0]}:{held.address[1]}",
            "state": held.entry.health.name.lower(),
            "told_s_ago": round((now_ns - held.confirmed_ns) / SECOND_NS, 1),
            "answered_s_ago": round((now_ns - held.answered_ns) / SECOND_NS, 1) if held.answered_ns else None,
        }
        if held.entry.health is Health.READY:
            row["trust"] = fleet.beliefs[held.entry.server].trust.name.lower()
            row["answers_to_prove"] = point.answers
            row["claims_unproved"] = point.claims
        print(json.dumps(row))
    return 0
