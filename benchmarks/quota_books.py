"""How close a group of limiters comes to one gateway that sees every request, for one customer.

    python benchmarks/quota_books.py [SECONDS]

Two to four limiters and a counter that answers at once run in virtual time.  The customer's requests (one
unit each, Poisson) shift between the limiters every 3 to 8 s.  For each plan and usage it prints how much is
sent of what an exact token bucket would allow, what is sent beyond the quota, the refusals, those with more
than half of the quota left, and the counter calls per request.
"""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent  # runs from a source tree, installed or not
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from quota_model import Tally, simulate  # noqa: E402

PLANS = {"basic": (1.0, 4.0), "standard": (4.6, 19.0), "premium": (25.0, 47.0)}
SEEDS = 3


def main() -> int:
    length_s = int(sys.argv[1]) if len(sys.argv) > 1 else 120
    print("plan      usage limiters    kept  beyond  refused  of them with half left    calls/request")
    for name, plan in PLANS.items():
        for usage in (0.7, 1.0, 1.7):
            for limiters in (2, 3, 4):
                tally = Tally()
                for seed in range(SEEDS):
                    simulate(tally, plan, usage, limiters, seed, length_s)
                print(
                    f"{name:9} {usage:5.1f} {limiters:8d}  {tally.within_quota / tally.exact_allowed:6.3f}  "
                    f"{tally.beyond_quota / tally.within_quota:6.1%}  {tally.refused:7d}  "
                    f"{tally.refused_half_full:22d}  "
                    f"{tally.counter_calls / tally.requests:15.2f}",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
