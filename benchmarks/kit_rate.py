"""The request rate that the test harness sustains before its own delays distort a run.

    python benchmarks/kit_rate.py [--servers] [RATE ...]

The limiters are replaced by a stub that answers at once, so that only the test harness is measured: clients,
history and judgement. With --servers they are six plain limiters that forward every request, so that the
simulated servers work too. Printed for each rate: the requests sent per second, the delay of their sending
(p50 and p99, ms), the longest delay of an event loop of the harness, and whether the run would be valid.
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


def make_plan(rate: int, servers: bool) -> plans.Plan:
    customer_count = 100
    if servers:
        search = plans.RequestClass(name="search", aim_ms=750, deadline_ms=3000, work_ms=2)
        fleet = plans.FleetSettings(servers=20, cores=8, connections=10_000)
        limiters = plans.LimiterSettings(count=6, sockets=4096)
        quota = plans.Quota(name="any", rate=rate / customer_count * 10, burst=rate)
        desk = plans.Desk(
            name="all", plan="any", customers=customer_count, usage=0.1, units=(1, 1), spread=6, claims=0
        )
        return plans.Plan(title=f"{rate} a second", length_s=LENGTH_S, plans=(quota,), desk=(desk,),
                          classes=(search,), fleet=fleet, limiters=limiters)  # fmt: skip
    quota = plans.Quota(name="any", rate=rate / customer_count * 10, burst=rate)
    desk = plans.Desk(name="all", plan="any", customers=customer_count, usage=0.1, units=(1, 1), spread=3)
    return plans.Plan(title=f"{rate} a second", length_s=LENGTH_S, plans=(quota,), desk=(desk,))


async def measure(rate: int, servers: bool) -> tuple[str, bool]:
    with tempfile.TemporaryDirectory() as folder:
        history_path = Path(folder) / "history"
        plan = make_plan(rate, servers)
        await Play(plan, 1, PLAIN if servers else STUB).run(history_path)
        started_s = time.monotonic()
        head, rows = history.read(history_path)
        plan = msgspec.convert(head["plan"], plans.Plan)
        reason = void_reason(plan, rows)
        read_s = time.monotonic() - started_s
    delays_ms = [row["late"] for row in rows if row["e"] == "due"]
    times: dict[str, list[int]] = {}
    for row in rows:
        if row["e"] in ("ask", "ans"):
            times.setdefault(row["id"], []).append(row["t"])
    latencies_ms = [(t[1] - t[0]) / 1e6 for t in times.values() if len(t) == 2]
    max_lag_ms = max((row["ms"] for row in rows if row["e"] == "lag"), default=0.0)
    answered = sum(row["e"] == "ans" and row["how"] == "value" for row in rows)
    text = (
        f"{len(delays_ms) / LENGTH_S:7.0f}/s  answered {answered / max(1, len(delays_ms)):6.1%}  "
        f"late p50 {quantile(delays_ms, 0.5):5.1f} p99 {quantile(delays_ms, 0.99):6.1f} ms  "
        f"blocked {max_lag_ms:5.0f} ms  "
        f"answer p50 {quantile(latencies_ms, 0.5):5.1f} p99 {quantile(latencies_ms, 0.99):6.1f} ms  "
        f"read in {read_s:.1f} s  {'void: ' + reason if reason else 'valid'}"
    )
    return text, not reason


def main() -> int:
    best_rate, servers = 0, "--servers" in sys.argv
    for rate in [int(argument) for argument in sys.argv[1:] if argument.isdigit()] or RATES:
        text, valid = asyncio.run(measure(rate, servers))
        print(text, flush=True)
        best_rate = max(best_rate, rate if valid else 0)
    print(f"the test harness sustains {best_rate} requests per second")
    return 0


if __name__ == "__main__":
    sys.exit(main())
