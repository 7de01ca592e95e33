"""``hookport explore``: run random days in virtual time, and shrink each day that breaks a rule.

Each day is drawn from a seed (or one plan is run at many seeds); days run in parallel on all cores. A day
that breaks a rule is shrunk to a smaller plan that still breaks it, written to a file, and printed with the
command that reproduces it. Of the days with the same kind of failure (the same rule, or the same error) one
is shrunk. Exit status: 0 no rule was broken, 1 a rule was broken, 2 bad input, 130 interrupted; what was
found before an interruption is written and printed.
"""

from __future__ import annotations

import argparse
import logging
import os
import signal
import statistics
import sys
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from hookport.emulator import days, shrink, whole
from hookport.emulator.parallel import interruptible, run_parallel
from hookport.rehearsal import judgement, mutants
from hookport.rehearsal import plan as plans

RULES_KEPT, RULE_BROKEN, BAD_INPUT, INTERRUPTED = 0, 1, 2, 130
MAX_SHRINK_CANDIDATES = 150  # candidates that are run to shrink one finding
LOG_INTERVAL_S = 10.0
log = logging.getLogger("hookport.explore")


@dataclass(slots=True, frozen=True)
class DayResult:
    """The result of one day.

    ``kinds`` are the rules that it broke or the error in which it ended, empty if it passed. ``first_breach``
    describes the first breach. ``score`` is 0 if the day ended in an error.
    """

    kinds: tuple[str, ...]
    first_breach: str
    score: float
    elapsed_s: float


def run_day(table: shrink.Table, seed: int) -> DayResult:
    """Run a day, given as a plan's table, in virtual time; raises PlanError if the plan is invalid."""
    plan = plans.build(table, str(table.get("title", "day")))
    start_s = time.monotonic()
    try:
        judged, _ = whole.play_and_judge(plan, seed)
    except (whole.SpinError, whole.StallError, whole.WholeError) as error:
        # The kind must not contain the numbers in the text, which differ between errors of the same kind.
        kind = str(error).split(":")[0] if isinstance(error, whole.WholeError) else type(error).__name__
        return DayResult((f"error {kind}",), str(error), 0.0, time.monotonic() - start_s)
    elapsed_s = time.monotonic() - start_s
    kinds = ("void",) if judged.void else tuple(judged.broken)
    return DayResult(kinds, judged.void or describe_first_breach(judged), judged.score.score, elapsed_s)


def describe_first_breach(judged: judgement.Judgement) -> str:
    if not judged.breaches:
        return ""
    breach = judged.breaches[0]
    return f"{breach.at_ns / 1e9:.1f} s: {breach.rule}: {breach.text}"


def still_fails(table: shrink.Table, seed: int, kind: str) -> bool:
    """Return whether a candidate is a valid plan and still fails with this kind."""
    try:
        return kind in run_day(table, seed).kinds
    except plans.PlanError:
        return False


def initialize_worker(name: str | None) -> None:
    """Set up a process of the pool, with the named mutant if there is one."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent handles Ctrl-C and lets running days finish
    logging.getLogger("hookport").setLevel(logging.CRITICAL)
    if name:
        mutants.MUTANTS[name].apply()


@dataclass(slots=True)
class Finding:
    """A kind of failure and the smallest day found that shows it."""

    kind: str
    seed: int
    first_breach: str
    table: shrink.Table
    candidates_tried: int = 0  # while shrinking
    path: Path | None = None


@dataclass(slots=True)
class ExploreResult:
    """The results of all days."""

    scores: list[float] = field(default_factory=list)
    findings: dict[str, Finding] = field(default_factory=dict)  # for each kind the one with the lowest seed
    seeds_by_kind: dict[str, list[int]] = field(default_factory=dict)
    elapsed_s: float = 0.0


def days_with_seeds(
    plan: plans.Plan | None, first_seed: int, count: int, length_s: float
) -> Iterator[tuple[shrink.Table, int]]:
    """Yield days with their seeds, in order of the seeds: random days, or the same plan for each seed."""
    table: shrink.Table = msgspec.to_builtins(plan) if plan else {}
    for seed in range(first_seed, first_seed + count):
        yield (table or days.plan_table(seed, length_s)), seed


def explore(
    seeded_days: Iterable[tuple[shrink.Table, int]],
    count: int,
    pool: ProcessPoolExecutor,
    jobs: int,
    should_stop: Callable[[float], bool],
) -> ExploreResult:
    """Run the days until all are done, or ``should_stop``, called with the elapsed seconds, returns true."""
    result, start_s, reported_s = ExploreResult(), time.monotonic(), 0.0
    log.info("days=%d jobs=%d", count, jobs)
    for (table, seed), day_result in run_parallel(
        pool, run_day, seeded_days, jobs, lambda: should_stop(time.monotonic() - start_s)
    ):
        add_result(result, seed, table, day_result)
        result.elapsed_s = time.monotonic() - start_s
        if result.elapsed_s - reported_s >= LOG_INTERVAL_S:
            reported_s = result.elapsed_s
            broken = sum(map(len, result.seeds_by_kind.values()))
            log.info("days=%d of=%d took_s=%.0f broken=%d", len(result.scores), count, reported_s, broken)
    return result


def add_result(result: ExploreResult, seed: int, table: shrink.Table, day_result: DayResult) -> None:
    result.scores.append(day_result.score)
    for kind in day_result.kinds:
        result.seeds_by_kind.setdefault(kind, []).append(seed)
        finding = result.findings.get(kind)
        if finding is None:
            log.info("found kind=%r seed=%d first=%r", kind, seed, day_result.first_breach)
        if finding is None or seed < finding.seed:  # days finish in any order
            result.findings[kind] = Finding(kind, seed, day_result.first_breach, table)


def shrink_finding(
    finding: Finding, pool: ProcessPoolExecutor, jobs: int, max_candidates: int, interrupted: threading.Event
) -> None:
    """Shrink the finding's day, until nothing smaller fails, the limit is reached or it is interrupted."""

    def fails(candidates: Sequence[shrink.Table]) -> list[bool]:
        if interrupted.is_set():
            return [False] * len(candidates)
        futures = [pool.submit(still_fails, table, finding.seed, finding.kind) for table in candidates]
        return [future.result() for future in futures]

    old_size = shrink.count_keys(finding.table)
    finding.table, finding.candidates_tried = shrink.shrink(finding.table, fails, max_candidates, jobs)
    log.info(
        "shrunk kind=%r seed=%d values=%d from=%d played=%d",
        finding.kind,
        finding.seed,
        shrink.count_keys(finding.table),
        old_size,
        finding.candidates_tried,
    )


def make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="hookport explore", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("plan", nargs="?", help="run this plan at many seeds instead of random days")
    parser.add_argument("--seed", type=int, default=1, help="the first seed (default: 1)")
    parser.add_argument("--days", type=int, default=100, help="number of days (default: 100)")
    parser.add_argument(
        "--minutes", type=float, default=60.0, help="start no new day after so many minutes (default: 60)"
    )
    parser.add_argument(
        "--length", type=float, default=24.0, help="length of a random day in seconds (default: 24)"
    )
    parser.add_argument(
        "--jobs",
        type=int,
        default=os.cpu_count() or 1,
        help="days to run in parallel (default: number of cores)",
    )
    parser.add_argument(
        "--keep", metavar="FOLDER", default=".", help="folder for the shrunk plans (default: current folder)"
    )
    parser.add_argument(
        "--shrink",
        type=int,
        default=MAX_SHRINK_CANDIDATES,
        help="candidates to run for each finding (default: 150)",
    )
    parser.add_argument("--mutant", help="run this broken limiter, to check that the search finds it")
    return parser


def load_plan(args: argparse.Namespace) -> plans.Plan | None:
    """Check the arguments and return the plan, if one is named.

    Raises PlanError or WholeError if the arguments or the plan cannot be used."""
    for name, value, minimum in (
        ("days", args.days, 1),
        ("jobs", args.jobs, 1),
        ("shrink", args.shrink, 0),
        ("seed", args.seed, 0),
        ("length", args.length, 4),
        ("minutes", args.minutes, 0),
    ):
        if value < minimum:
            raise plans.PlanError(f"--{name}: {value:g} is less than {minimum}")
    if args.mutant and args.mutant not in mutants.MUTANTS:
        raise plans.PlanError(
            f"--mutant: unknown mutant {args.mutant!r}; one of {', '.join(mutants.MUTANTS)}"
        )
    if not Path(args.keep).is_dir() or not os.access(args.keep, os.W_OK):
        raise plans.PlanError(f"--keep: {args.keep} is not a writable folder; create it first")
    plan = plans.load(args.plan) if args.plan else None
    if plan:
        whole.check_supported(plan)
    return plan


def print_result(result: ExploreResult, args: argparse.Namespace) -> int:
    scores = sorted(result.scores)
    if scores:
        print(
            f"{len(scores)} days in {result.elapsed_s:.0f} s; score: min {scores[0]:.3f}, "
            f"median {statistics.median(scores):.3f}, max {scores[-1]:.3f}"
        )
    for kind, finding in result.findings.items():
        seeds = result.seeds_by_kind[kind]
        seed_list = ", ".join(map(str, sorted(seeds)[:12])) + (" ..." if len(seeds) > 12 else "")
        print(f"{kind}: {len(seeds)} of {len(scores)} days (seeds {seed_list})")
        print(f"  first breach: {finding.first_breach}")
        print(f"  reproduce: hookport rehearse {finding.path} --in whole --seed {finding.seed}")
    if not result.findings:
        print("no rule was broken")
    return RULE_BROKEN if result.findings else RULES_KEPT


def main(arguments: Sequence[str]) -> int:
    args = make_parser().parse_args(list(arguments))
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(name)s %(message)s")
    try:
        plan = load_plan(args)
    except (plans.PlanError, whole.WholeError) as error:
        print(f"hookport explore: {error}", file=sys.stderr)
        return BAD_INPUT
    with (
        interruptible() as interrupted,
        ProcessPoolExecutor(args.jobs, initializer=initialize_worker, initargs=(args.mutant,)) as pool,
    ):
        seeded_days = days_with_seeds(plan, args.seed, args.days, args.length)

        def should_stop(elapsed_s: float) -> bool:
            return interrupted.is_set() or elapsed_s >= args.minutes * 60

        result = explore(seeded_days, args.days, pool, args.jobs, should_stop)
        for finding in result.findings.values():
            shrink_finding(finding, pool, args.jobs, args.shrink, interrupted)
            finding.path = Path(args.keep) / f"{finding.kind.replace(' ', '-')}-{finding.seed}.toml"
            finding.path.write_text(days.to_toml(finding.table))
    status = print_result(result, args)
    return INTERRUPTED if interrupted.is_set() else status
