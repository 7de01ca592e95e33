"""Mornings on kept lists of all ages, beside a start with discovery, the list taken as told, and no list at
all.

    python benchmarks/kept_list.py [SEEDS] [LOAD] [--csv FILE] [--plot FILE]

Plays ``SEEDS`` (25) mornings of each age and mode at ``LOAD`` (0.6 of the fleet's capacity) in virtual time,
on all cores, and prints a Markdown table of means with the worst seed of the kept list.  The plot needs
matplotlib."""

from __future__ import annotations

import argparse
import csv
import math
import os
import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed

from hookport.emulator import AGES_S, MODES, RestartResult, RestartScenario, simulate_restart

NAMES = {
    1: "1 s",
    10: "10 s",
    60: "1 min",
    600: "10 min",
    3600: "1 h",
    28_800: "8 h",
    86_400: "1 day",
    604_800: "7 days",
}
Runs = dict[tuple[float, str], list[RestartResult]]


def run(seeds: int, load: float) -> Runs:
    """All mornings, with progress on standard error."""
    mornings = [
        RestartScenario(age, seed, mode, load=load)
        for age in AGES_S
        for mode in MODES
        for seed in range(seeds)
    ]
    runs: Runs = defaultdict(list)
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        waiting = {pool.submit(simulate_restart, morning): morning for morning in mornings}
        for done, future in enumerate(as_completed(waiting), 1):
            morning = waiting[future]
            runs[morning.age_s, morning.mode].append(future.result())
            if done % max(1, len(mornings) // 20) == 0:
                print(f"{done} of {len(mornings)} mornings", file=sys.stderr, flush=True)
    return runs


def mean(dawns: Iterable[RestartResult], field: str) -> float:
    return statistics.fmean(getattr(dawn, field) for dawn in dawns)


def table(runs: Runs) -> None:
    columns = (
        "age",
        "first answer",
        "in time, first 10 s: discovery, kept, as told",
        "first 30 s: discovery, kept (worst), as told",
        "attempts wasted: kept, as told",
        "claims to unproved: kept, as told",
        "to drained",
        "fell: kept, as told",
    )
    print("| " + " | ".join(columns) + " |")
    print("| --- " * 8 + "|")
    for age in AGES_S:
        truth, kept, told = (runs[age, mode] for mode in ("discovery", "kept", "as-told"))
        worst = min(dawn.share_30s for dawn in kept)
        first = mean(kept, "first_s")
        print(
            f"| {NAMES[age]} | {first * 1000:.0f} ms "
            f"| {mean(truth, 'share_10s'):.3f}, {mean(kept, 'share_10s'):.3f}, {mean(told, 'share_10s'):.3f} "
            f"| {mean(truth, 'share_30s'):.3f}, {mean(kept, 'share_30s'):.3f} ({worst:.3f}), "
            f"{mean(told, 'share_30s'):.3f} "
            f"| {mean(kept, 'wasted'):.1f}, {mean(told, 'wasted'):.1f} "
            f"| {sum(d.unproved for d in kept)}, {sum(d.unproved for d in told)} "
            f"| {sum(d.drained for d in kept)} | {sum(d.fell for d in kept)}, {sum(d.fell for d in told)} |"
        )


def write_csv(runs: Runs, path: str) -> None:
    with open(path, "w", newline="") as file:
        out = csv.writer(file)
        out.writerow(["age_s", "mode", *RestartResult.__slots__])
        for (age, mode), dawns in sorted(runs.items()):
            for dawn in dawns:
                values = (getattr(dawn, name) for name in RestartResult.__slots__)
                out.writerow([age, mode, *("" if v == math.inf else v for v in values)])


def plot(runs: Runs, path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 3.6))
    for mode, label in (
        ("discovery", "told by discovery"),
        ("kept", "kept list"),
        ("as-told", "list taken as told"),
    ):
        shares = [[dawn.share_10s for dawn in runs[age, mode]] for age in AGES_S]
        axes.plot(AGES_S, [statistics.fmean(s) for s in shares], marker="o", label=label)
        axes.fill_between(AGES_S, [min(s) for s in shares], [max(s) for s in shares], alpha=0.15)
    axes.set(xscale="log", ylim=(0.5, 1.01), xlabel="age of the list", ylabel="served in time, first 10 s")
    axes.set_xticks(AGES_S, [NAMES[age] for age in AGES_S])
    axes.legend(loc="lower left")
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("seeds", nargs="?", type=int, default=25)
    parser.add_argument("load", nargs="?", type=float, default=0.6)
    parser.add_argument("--csv")
    parser.add_argument("--plot")
    told = parser.parse_args()
    runs = run(told.seeds, told.load)
    table(runs)
    if told.csv:
        write_csv(runs, told.csv)
    if told.plot:
        plot(runs, told.plot)


if __name__ == "__main__":
    main()
