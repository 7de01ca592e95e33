"""Simulated restarts of all limiters, with saved server lists of all ages.

    python benchmarks/kept_list.py [SEEDS] [LOAD] [--csv FILE] [--plot FILE]

Compares four modes: discovery is available; discovery is down and trust in the saved list depends on its age
(mode ``kept``); discovery is down and the saved list is fully trusted (mode ``as-told``); no list at all.
Runs each age and mode with ``SEEDS`` (25) seeds at ``LOAD`` (0.6 of the fleet's capacity) in virtual time, on
all cores, and prints a Markdown table of means, with the worst seed of mode ``kept``.  The plot needs
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

AGE_LABELS = {
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
    """Run every age, mode and seed, and report progress on standard error."""
    scenarios = [
        RestartScenario(age, seed, mode, load=load)
        for age in AGES_S
        for mode in MODES
        for seed in range(seeds)
    ]
    runs: Runs = defaultdict(list)
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        pending = {pool.submit(simulate_restart, scenario): scenario for scenario in scenarios}
        for done, future in enumerate(as_completed(pending), 1):
            scenario = pending[future]
            runs[scenario.age_s, scenario.mode].append(future.result())
            if done % max(1, len(scenarios) // 20) == 0:
                print(f"{done} of {len(scenarios)} scenarios", file=sys.stderr, flush=True)
    return runs


def mean(results: Iterable[RestartResult], field: str) -> float:
    return statistics.fmean(getattr(result, field) for result in results)


def print_table(runs: Runs) -> None:
    columns = (
        "age",
        "first answer",
        "in time, first 10 s: discovery, kept, as told",
        "first 30 s: discovery, kept (worst), as told",
        "attempts wasted: kept, as told",
        "claims to unproved servers: kept, as told",
        "attempts at drained servers",
        "overloaded servers: kept, as told",
    )
    print("| " + " | ".join(columns) + " |")
    print("| --- " * 8 + "|")
    for age in AGES_S:
        discovery, kept, as_told = (runs[age, mode] for mode in ("discovery", "kept", "as-told"))
        worst = min(result.share_30s for result in kept)
        first = mean(kept, "first_s")
        print(
            f"| {AGE_LABELS[age]} | {first * 1000:.0f} ms "
            f"| {mean(discovery, 'share_10s'):.3f}, {mean(kept, 'share_10s'):.3f}, "
            f"{mean(as_told, 'share_10s'):.3f} "
            f"| {mean(discovery, 'share_30s'):.3f}, {mean(kept, 'share_30s'):.3f} ({worst:.3f}), "
            f"{mean(as_told, 'share_30s'):.3f} "
            f"| {mean(kept, 'wasted'):.1f}, {mean(as_told, 'wasted'):.1f} "
            f"| {sum(d.unproved for d in kept)}, {sum(d.unproved for d in as_told)} "
            f"| {sum(d.drained for d in kept)} | {sum(d.fell for d in kept)}, "
            f"{sum(d.fell for d in as_told)} |"
        )


def write_csv(runs: Runs, path: str) -> None:
    with open(path, "w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["age_s", "mode", *RestartResult.__slots__])
        for (age, mode), results in sorted(runs.items()):
            for result in results:
                values = (getattr(result, name) for name in RestartResult.__slots__)
                writer.writerow([age, mode, *("" if v == math.inf else v for v in values)])


def plot(runs: Runs, path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 3.6))
    for mode, label in (
        ("discovery", "discovery available"),
        ("kept", "saved list, trust by age"),
        ("as-told", "saved list, fully trusted"),
    ):
        shares = [[result.share_10s for result in runs[age, mode]] for age in AGES_S]
        axes.plot(AGES_S, [statistics.fmean(s) for s in shares], marker="o", label=label)
        axes.fill_between(AGES_S, [min(s) for s in shares], [max(s) for s in shares], alpha=0.15)
    axes.set(xscale="log", ylim=(0.5, 1.01), xlabel="age of the list", ylabel="served in time, first 10 s")
    axes.set_xticks(AGES_S, [AGE_LABELS[age] for age in AGES_S])
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
    args = parser.parse_args()
    runs = run(args.seeds, args.load)
    print_table(runs)
    if args.csv:
        write_csv(runs, args.csv)
    if args.plot:
        plot(runs, args.plot)


if __name__ == "__main__":
    main()
