"""Runs a plan at many seeds in virtual time and prints the distribution of its figures.

    python benchmarks/evenings.py PLAN [SEEDS]

It runs on all cores, with 40 seeds by default. The seed also shifts the boundaries of the counter's windows,
so faults hit them in every phase. Prints for each figure the mean, the median, the 95th percentile towards
the worse side, and the worst value with its seed; then the runs that broke a rule, by seed. The exit status
is 1 if one did."""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed

from hookport.emulator import whole
from hookport.rehearsal import plan as plans

LOWEST_IS_WORST = {"score"}


def run_seed(name: str, seed: int) -> tuple[int, dict[str, float], list[str]]:
    judged, _ = whole.play_and_judge(plans.load(name), seed)
    score = judged.score
    figures = {
        "score": score.score,
        "beyond_units": score.beyond_units,
        "refused_with_room": score.refused_with_room,
        "counter_calls": score.counter_calls,
        **{f"debt {name} (units)": debt for name, debt in score.debts.items()},
    }
    return seed, figures, [breach.text for breach in judged.breaches] + [judged.void] * bool(judged.void)


def main() -> int:
    name, seeds = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 40
    results = []
    with ProcessPoolExecutor() as pool:
        for future in as_completed([pool.submit(run_seed, name, seed) for seed in range(1, seeds + 1)]):
            results.append(future.result())
            print(f"{len(results)} of {seeds} runs", end="\r", file=sys.stderr, flush=True)
    results.sort()
    title = f"{name}, {seeds} seeds"
    print(f"{title:30}      mean    median       p95     worst  seed")
    for figure in results[0][1]:
        values = {seed: figures.get(figure, 0.0) for seed, figures, _ in results}
        lowest_is_worst = figure in LOWEST_IS_WORST
        worst = (min if lowest_is_worst else max)(values, key=lambda seed: values[seed])
        ordered = sorted(values.values(), reverse=lowest_is_worst)
        print(
            f"{figure:30}  {statistics.mean(ordered):8.3f}  {statistics.median(ordered):8.3f}  "
            f"{ordered[int(0.95 * (len(ordered) - 1))]:8.3f}  "
            f"{values[worst]:8.3f}  {worst:4d}"
        )
    for seed, _, breaches in results:
        if breaches:
            print(f"seed {seed}: {breaches[0]}" + (f", and {len(breaches) - 1} more" if breaches[1:] else ""))
    return any(breaches for _, _, breaches in results)


if __name__ == "__main__":
    sys.exit(main())
