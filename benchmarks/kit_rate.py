"""How many requests a second the rehearsal kit drives before it runs late itself.

    python benchmarks/kit_rate.py [--servers] [RATE ...]

The limiters are replaced by a stub that answers at once, so that what is measured is the kit: clients,
front, history and judgement.  With --servers they are the plain policy's, six of them, which send all on, so
that the stand-in servers work too.  For each rate: requests asked, the lateness of their leaving (p50 and
p99, ms), the longest that a loop of the kit was held, and whether the run would have counted.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))  # runs from a source tree, installed or not

import msgspec  # noqa: E402

from hookport.rehearsal import PLAIN, Play, history  # noqa: E402
from hookport.rehearsal import plan as plans  # noqa: E402
from hookport.rehearsal.referee import void_reason  # noqa: E402
from hookport.rehearsal.score import quantile  # noqa: E402

LENGTH_S = 8.0
RATES = (1000, 2000, 3000, 4000, 5000, 6000)
STUB = (*PLAIN, "--stub")


def plan_of(rate: int, servers: bool) -> plans.Plan:
    customers = 100
    if servers:
        search = plans.RequestClass(name="search", aim_ms=750, deadline_ms=3000, work_ms=2)
        fleet = plans.FleetSettings(servers=20, cores=8, connections=10_000)
        limits = plans.LimiterSettings(count=6, sockets=4096)
        quota = plans.Quota(name="any", rate=rate / customers * 10, burst=rate)
        desk = plans.Desk(
            name="all", plan="any", customers=customers, usage=0.1, units=(1, 1), spread=6, claims=0
        )
        return plans.Plan(title=f"{rate} a second", length_s=LENGTH_S, plans=(quota,), desk=(desk,),
                          classes=(search,), fleet=fleet, limiters=limits)  # fmt: skip
    quota = plans.Quota(name="any", rate=rate / customers * 10, burst=rate)
    desk = plans.Desk(name="all", plan="any", customers=customers, usage=0.1, units=(1, 1), spread=3)
    return plans.Plan(title=f"{rate} a second", length_s=LENGTH_S, plans=(quota,), desk=(desk,))


async def measure(rate: int, servers: bool) -> tuple[str, bool]:
    with tempfile.TemporaryDirectory() as folder:
        kept = Path(folder) / "history"
        plan = plan_of(rate, servers)
        await Play(plan, 1, PLAIN if servers else STUB).run(kept)
        began = time.monotonic()
        head, rows = history.read(kept)
        plan = msgspec.convert(head["plan"], plans.Plan)
        why = void_reason(plan, rows)
        read_s = time.monotonic() - began
    late = [row["late"] for row in rows if row["e"] == "due"]
    times: dict[str, list[int]] = {}
    for row in rows:
        if row["e"] in ("ask", "ans"):
            times.setdefault(row["id"], []).append(row["t"])
    took = [(t[1] - t[0]) / 1e6 for t in times.values() if len(t) == 2]
    held = max((row["ms"] for row in rows if row["e"] == "lag"), default=0.0)
    answered = sum(row["e"] == "ans" and row["how"] == "value" for row in rows)
    text = (
        f"{len(late) / LENGTH_S:7.0f}/s  answered {answered / max(1, len(late)):6.1%}  "
        f"late p50 {quantile(late, 0.5):5.1f} p99 {quantile(late, 0.99):6.1f} ms  held {held:5.0f} ms  "
        f"answer p50 {quantile(took, 0.5):5.1f} p99 {quantile(took, 0.99):6.1f} ms  "
        f"read in {read_s:.1f} s  {'void: ' + why if why else 'counts'}"
    )
    return text, not why


def main() -> int:
    best, servers = 0, "--servers" in sys.argv
    for rate in [int(word) for word in sys.argv[1:] if word.isdigit()] or RATES:
        text, counts = asyncio.run(measure(rate, servers))
        print(text, flush=True)
        best = max(best, rate if counts else 0)
    print(f"the kit drives {best} requests a second in time")
    return 0


if __name__ == "__main__":
    sys.exit(main())
