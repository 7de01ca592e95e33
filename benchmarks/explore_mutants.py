"""Measures how many random days ``hookport explore`` needs to detect each broken limiter (mutant).

    python benchmarks/explore_mutants.py [DAYS]

Prints for each mutant the first of DAYS (default: 24) random days on which it breaks its rule, and the
computing time until then. Mutants run in parallel on all cores. Excluded are mutants that virtual time cannot
show, because they concern the process: its signals, memory or exit. The exit status is 1 if one is not
detected.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor, as_completed

from hookport.emulator import days, explore
from hookport.rehearsal import mutants

EXCLUDED = {"ends-at-hup", "ignores-term", "lost-at-term", "crashes", "leaks"}


def search(name: str, max_days: int) -> tuple[str, int, float, str]:
    """Return the name, the first seed that breaks the mutant's rule (0: none), seconds, all broken rules."""
    explore.initialize_worker(name)
    elapsed_s, broken = 0.0, set[str]()
    for seed in range(1, max_days + 1):
        result = explore.run_day(days.plan_table(seed, 16.0), seed)
        elapsed_s += result.elapsed_s
        broken.update(result.kinds)
        if mutants.MUTANTS[name].rule in result.kinds:
            return name, seed, elapsed_s, ", ".join(sorted(broken))
    return name, 0, elapsed_s, ", ".join(sorted(broken))


def main() -> int:
    max_days = int(sys.argv[1]) if len(sys.argv) > 1 else 24
    names = [name for name in mutants.MUTANTS if name not in EXCLUDED]
    missed = 0
    print("mutant           must break  days  seconds  rules broken so far")
    with ProcessPoolExecutor(max_tasks_per_child=1) as pool:
        for future in as_completed([pool.submit(search, name, max_days) for name in names]):
            name, seed, elapsed_s, broken = future.result()
            missed += not seed
            days_text = f"{seed:4d}" if seed else f">{max_days:3d}"
            print(
                f"{name:15}  {mutants.MUTANTS[name].rule:10}  {days_text}  {elapsed_s:7.1f}  {broken}",
                flush=True,
            )
    return missed > 0


if __name__ == "__main__":
    sys.exit(main())
