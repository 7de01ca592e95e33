"""How soon drawn days show a broken limiter: what the search for failures is worth.

    python benchmarks/explore_mutants.py [DAYS]

For each broken limiter of the rehearsal kit that virtual time can show: the first of DAYS (24) drawn days on
which it breaks its rule, and the machine time until then, on all cores. Left out are those that change what
only a process has: its signals, its memory, its end. The exit status is 1 if one is not found.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor, as_completed

from hookport.emulator import days, explore
from hookport.rehearsal import mutants

NOT_HERE = {"ends-at-hup", "ignores-term", "lost-at-term", "crashes", "leaks"}


def found(name: str, most: int) -> tuple[str, int, float, str]:
    """The seed of the first day that shows it (0: none), the seconds played, all rules broken by then."""
    explore.initialize_worker(name)
    took_s, broken = 0.0, set[str]()
    for seed in range(1, most + 1):
        played = explore.play(days.plan_table(seed, 16.0), seed)
        took_s += played.elapsed_s
        broken.update(played.kinds)
        if mutants.MUTANTS[name].rule in played.kinds:
            return name, seed, took_s, ", ".join(sorted(broken))
    return name, 0, took_s, ", ".join(sorted(broken))


def main() -> int:
    most = int(sys.argv[1]) if len(sys.argv) > 1 else 24
    names = [name for name in mutants.MUTANTS if name not in NOT_HERE]
    missed = 0
    print("broken limiter   must break  days  seconds  broke by then")
    with ProcessPoolExecutor(max_tasks_per_child=1) as pool:
        for job in as_completed([pool.submit(found, name, most) for name in names]):
            name, seed, took_s, broken = job.result()
            missed += not seed
            told = f"{seed:4d}" if seed else f">{most:3d}"
            print(f"{name:15}  {mutants.MUTANTS[name].rule:10}  {told}  {took_s:7.1f}  {broken}", flush=True)
    return missed > 0


if __name__ == "__main__":
    sys.exit(main())
