"""``hookport explore``: play drawn days until a rule breaks, and shrink each such day to the least that does.

Days are drawn by seed (or one plan is played at many seeds) and played in the whole depth on all cores. A
breach is shrunk, written as a plan, and told with the command that plays it again. Of breaches of one kind
(the same rule, or the same error) one is shrunk. Exit status: 0 nothing broke, 1 something did, 2 bad input,
130 interrupted; what was found until then is written and told.
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

KEPT, BROKEN, BAD_INPUT, INTERRUPTED = 0, 1, 2, 130
SHRINK_MOST = 150  # candidates for each finding
TOLD_EACH_S = 10.0
log = logging.getLogger("hookport.explore")


@dataclass(slots=True, frozen=True)
class Played:
    """What one day came to.

    ``kinds`` are the rules it broke or the error it ended in, empty if all is well; ``first`` says the first
    breach in words, ``score`` is that of the day, 0 where it had none."""

    kinds: tuple[str, ...]
    first: str
    score: float
    took_s: float


def play(told: shrink.Table, seed: int) -> Played:
    """Play a day, given as a plan's table, in the whole depth; raises PlanError for what is no plan."""
    plan = plans.build(told, str(told.get("title", "day")))
    began_s = time.monotonic()
    try:
        judged, _ = whole.play_and_judge(plan, seed)
    except (whole.SpinError, whole.StallError, whole.WholeError) as error:
        # What two errors of one kind share is the kind and where it came from, not the numbers in the text.
        kind = str(error).split(":")[0] if isinstance(error, whole.WholeError) else type(error).__name__
        return Played((f"error {kind}",), str(error), 0.0, time.monotonic() - began_s)
    took_s = time.monotonic() - began_s
    kinds = ("void",) if judged.void else tuple(judged.broken)
    return Played(kinds, judged.void or first_of(judged), judged.score.score, took_s)


def first_of(judged: judgement.Judgement) -> str:
    if not judged.breaches:
        return ""
    breach = judged.breaches[0]
    return f"{breach.at_ns / 1e9:.1f} s: {breach.rule}: {breach.text}"


def still(told: shrink.Table, seed: int, kind: str) -> bool:
    """Whether a candidate still breaks in that way."""
    try:
        return kind in play(told, seed).kinds
    except plans.PlanError:
        return False


def harmed(name: str | None) -> None:
    """In a process of the pool: be that broken limiter."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the parent's: it lets days in play end
    logging.getLogger("hookport").setLevel(logging.CRITICAL)
    if name:
        mutants.MUTANTS[name].apply()


@dataclass(slots=True)
class Finding:
    """A breach, and the smallest day that shows it."""

    kind: str
    seed: int
    first: str
    told: shrink.Table
    asked: int = 0  # candidates that shrinking played
    path: Path | None = None


@dataclass(slots=True)
class Explored:
    """What came of it all."""

    scores: list[float] = field(default_factory=list)
    findings: dict[str, Finding] = field(default_factory=dict)  # of each kind that of the lowest seed
    seen: dict[str, list[int]] = field(default_factory=dict)  # seeds by kind
    took_s: float = 0.0


def tables(
    plan: plans.Plan | None, first: int, count: int, length_s: float
) -> Iterator[tuple[shrink.Table, int]]:
    """The days with their seeds, in order of these: drawn, or one plan time and again."""
    told: shrink.Table = msgspec.to_builtins(plan) if plan else {}
    for seed in range(first, first + count):
        yield (told or days.table(seed, length_s)), seed


def explore(
    told: Iterable[tuple[shrink.Table, int]],
    count: int,
    pool: ProcessPoolExecutor,
    jobs: int,
    stop: Callable[[float], bool],
) -> Explored:
    """Play days until they are over or ``stop``, asked with the seconds since the beginning, says so."""
    result, began_s, told_s = Explored(), time.monotonic(), 0.0
    log.info("days=%d jobs=%d", count, jobs)
    for (table, seed), played in run_parallel(
        pool, play, told, jobs, lambda: stop(time.monotonic() - began_s)
    ):
        taken(result, seed, table, played)
        result.took_s = time.monotonic() - began_s
        if result.took_s - told_s >= TOLD_EACH_S:
            told_s = result.took_s
            broken = sum(map(len, result.seen.values()))
            log.info("days=%d of=%d took_s=%.0f broken=%d", len(result.scores), count, told_s, broken)
    return result


def taken(result: Explored, seed: int, table: shrink.Table, played: Played) -> None:
    result.scores.append(played.score)
    for kind in played.kinds:
        result.seen.setdefault(kind, []).append(seed)
        known = result.findings.get(kind)
        if known is None:
            log.info("found kind=%r seed=%d first=%r", kind, seed, played.first)
        if known is None or seed < known.seed:  # whichever process was faster
            result.findings[kind] = Finding(kind, seed, played.first, table)


def shrunk(
    finding: Finding, pool: ProcessPoolExecutor, jobs: int, most: int, stopped: threading.Event
) -> None:
    """Bring the finding's day down to the least that breaks in the same way, or as far as it got."""

    def breaks(candidates: Sequence[shrink.Table]) -> list[bool]:
        if stopped.is_set():
            return [False] * len(candidates)
        asked = [pool.submit(still, told, finding.seed, finding.kind) for told in candidates]
        return [future.result() for future in asked]

    before = shrink.weight(finding.told)
    finding.told, finding.asked = shrink.shrink(finding.told, breaks, most, jobs)
    log.info(
        "shrunk kind=%r seed=%d values=%d from=%d played=%d",
        finding.kind,
        finding.seed,
        shrink.weight(finding.told),
        before,
        finding.asked,
    )


def parser() -> argparse.ArgumentParser:
    words = argparse.ArgumentParser(
        prog="hookport explore", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    words.add_argument("plan", nargs="?", help="play this plan at many seeds, in place of drawn days")
    words.add_argument("--seed", type=int, default=1, help="the first (1)")
    words.add_argument("--days", type=int, default=100, help="how many (100)")
    words.add_argument("--minutes", type=float, default=60.0, help="no new day after so long (60)")
    words.add_argument("--length", type=float, default=24.0, help="of a drawn day, in seconds (24)")
    words.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="days at a time (all cores)")
    words.add_argument("--keep", metavar="FOLDER", default=".", help="where findings are written (here)")
    words.add_argument("--shrink", type=int, default=SHRINK_MOST, help="days played for each finding (150)")
    words.add_argument("--mutant", help="play this broken limiter: a check of the search itself")
    return words


def checked(args: argparse.Namespace) -> plans.Plan | None:
    """The plan, if one is named; raises PlanError for what cannot be explored."""
    for name, value, least in (
        ("days", args.days, 1),
        ("jobs", args.jobs, 1),
        ("shrink", args.shrink, 0),
        ("seed", args.seed, 0),
        ("length", args.length, 4),
        ("minutes", args.minutes, 0),
    ):
        if value < least:
            raise plans.PlanError(f"--{name}: {value:g} is less than {least}")
    if args.mutant and args.mutant not in mutants.MUTANTS:
        raise plans.PlanError(f"--mutant: no mutant {args.mutant!r}; there is {', '.join(mutants.MUTANTS)}")
    if not Path(args.keep).is_dir() or not os.access(args.keep, os.W_OK):
        raise plans.PlanError(f"--keep: {args.keep} is no folder that can be written to; make it first")
    plan = plans.load(args.plan) if args.plan else None
    if plan:
        whole.refuse(plan)
    return plan


def tell(result: Explored, args: argparse.Namespace) -> int:
    scores = sorted(result.scores)
    if scores:
        print(
            f"{len(scores)} days in {result.took_s:.0f} s; score: least {scores[0]:.3f}, "
            f"median {statistics.median(scores):.3f}, most {scores[-1]:.3f}"
        )
    for kind, finding in result.findings.items():
        seeds = result.seen[kind]
        named = ", ".join(map(str, sorted(seeds)[:12])) + (" ..." if len(seeds) > 12 else "")
        print(f"{kind}: {len(seeds)} of {len(scores)} days (seeds {named})")
        print(f"  first: {finding.first}")
        print(f"  again: hookport rehearse {finding.path} --in whole --seed {finding.seed}")
    if not result.findings:
        print("no rule was broken")
    return BROKEN if result.findings else KEPT


def main(arguments: Sequence[str]) -> int:
    args = parser().parse_args(list(arguments))
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(name)s %(message)s")
    try:
        plan = checked(args)
    except (plans.PlanError, whole.WholeError) as error:
        print(f"hookport explore: {error}", file=sys.stderr)
        return BAD_INPUT
    with (
        interruptible() as stopped,
        ProcessPoolExecutor(args.jobs, initializer=harmed, initargs=(args.mutant,)) as pool,
    ):
        told = tables(plan, args.seed, args.days, args.length)

        def stop(passed_s: float) -> bool:
            return stopped.is_set() or passed_s >= args.minutes * 60

        result = explore(told, args.days, pool, args.jobs, stop)
        for finding in result.findings.values():
            shrunk(finding, pool, args.jobs, args.shrink, stopped)
            finding.path = Path(args.keep) / f"{finding.kind.replace(' ', '-')}-{finding.seed}.toml"
            finding.path.write_text(days.written(finding.told))
    status = tell(result, args)
    return INTERRUPTED if stopped.is_set() else status
