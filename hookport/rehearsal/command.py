"""``hookport rehearse``: play a plan, compare two, judge a kept history, try the referee on broken limiters.

Exit status: 0 all rules kept, 1 a rule was broken, 2 bad input or an evening that could not be played,
3 a run that does not count because the machine was too busy, 130 interrupted.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import shlex
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Coroutine, Sequence
from pathlib import Path
from typing import Any

from rich.console import Console

from hookport.rehearsal import compare, history, judgement, show, trace
from hookport.rehearsal import plan as plans
from hookport.rehearsal.page import page
from hookport.rehearsal.play import DAEMON, PLAIN, RIVAL, Play, PlayError, Reaper

KEPT, BROKEN, BAD_INPUT, VOID, INTERRUPTED = 0, 1, 2, 3, 130
SIDE_BY_SIDE_CORES = 6  # from this many on, the plain policy's evening is played at the same time
REFRESH_S = 0.25


class Words(argparse.ArgumentParser):
    """One clear line instead of a page of usage."""

    def error(self, message: str) -> Any:
        print(f"{self.prog}: {message} (--help says more)", file=sys.stderr)
        raise SystemExit(BAD_INPUT)


def whole(low: int, high: int) -> Any:
    def read(text: str) -> int:
        if not text.lstrip("-").isdigit() or not low <= int(text) <= high:
            raise argparse.ArgumentTypeError(f"{text!r} is not a whole number from {low} to {high}")
        return int(text)

    return read


def seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 2 <= value <= 3600:
        raise argparse.ArgumentTypeError(f"{text!r} is not a length from 2 to 3600 seconds")
    return value


def parser() -> Words:
    words = Words(prog="hookport rehearse", description=__doc__,
                  formatter_class=argparse.RawDescriptionHelpFormatter)  # fmt: skip
    words.add_argument("plan", nargs="?", help="a bundled plan or a TOML file; or judge, or mutants")
    words.add_argument("rest", nargs="*", help=argparse.SUPPRESS)
    words.add_argument("--list", action="store_true", help="the bundled plans")
    words.add_argument("--seed", type=whole(0, 1 << 31), default=1, help="of all draws (1)")
    words.add_argument("--seeds", type=whole(1, 100), default=4, help="with --against: how many (4)")
    words.add_argument("--length", type=seconds, help="play the plan in this many seconds instead")
    words.add_argument("--limiter", help="a command to play in place of this daemon")
    words.add_argument("--in", dest="depth", choices=("real", "whole"), default="real",
                       help="real: processes and sockets; whole: the same code in virtual time")  # fmt: skip
    words.add_argument("--no-plain", action="store_true", help="do not play the plain policy beside it")
    words.add_argument("--rival", action="store_true",
                       help="play a stronger policy beside it: slices, least load")  # fmt: skip
    words.add_argument("--against", metavar="OTHER", help="another plan, or another limiter's command")
    words.add_argument("--trace", metavar="REQUEST", action="append", default=[],
                       help="tell the story of a request, by its number or a try's id")  # fmt: skip
    words.add_argument("--json", metavar="FILE", help="write the judgement there")
    words.add_argument("--html", metavar="FILE", help="write the report there")
    words.add_argument("--history", metavar="FILE", help="keep the history there")
    words.add_argument("--short", action="store_true", help="with mutants: a few of them")
    words.add_argument("--only", help="with mutants: these, by name, with commas")
    words.add_argument("--jobs", type=whole(1, 64), default=0, help="with mutants: so many at once")
    return words


async def play(
    plan: plans.Plan, seed: int, command: Sequence[str], kept: Path, live: show.Live, name: str
) -> judgement.Judgement:
    """One evening, played and judged."""
    progress = live.add(name, plan.length_s)
    try:
        await Play(plan, seed, command, progress).run(kept)
        progress.stage = "judging"
        return await asyncio.to_thread(judgement.judge_file, kept)
    finally:
        live.drop(name)


@contextlib.asynccontextmanager
async def showing() -> AsyncIterator[show.Live]:
    """Progress on standard error, kept fresh."""

    async def refresh(live: show.Live) -> None:
        while True:
            live.refresh()
            await asyncio.sleep(REFRESH_S)

    with show.Live(Console(stderr=True)) as live:
        ticker = asyncio.create_task(refresh(live))
        try:
            yield live
        finally:
            ticker.cancel()


@contextlib.asynccontextmanager
async def keeping() -> AsyncIterator[Path]:
    """A folder for histories, which goes with the command, also when that is killed."""
    reaper = Reaper()
    await reaper.start()
    with tempfile.TemporaryDirectory(prefix="hookport-rehearsal-") as folder:
        reaper.tell("dir", folder)
        try:
            yield Path(folder)
        finally:
            await reaper.close()


def run(call: Coroutine[Any, Any, int]) -> int:
    """Run to the end; SIGINT, SIGTERM and SIGHUP end everything in good order."""

    async def guarded() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        return await call

    try:
        return asyncio.run(guarded())
    except (asyncio.CancelledError, KeyboardInterrupt):
        print("hookport rehearse: interrupted; everything that was started has ended", file=sys.stderr)
        return INTERRUPTED


def status(judged: judgement.Judgement) -> int:
    return {"kept": KEPT, "broken": BROKEN, "void": VOID}[judged.verdict]


def limiter_command(text: str | None) -> tuple[str, ...]:
    """The words of a limiter's command; PlanError if its program is not there."""
    if text is None:
        return DAEMON
    try:
        words = tuple(shlex.split(text))
    except ValueError as error:
        raise plans.PlanError(f"--limiter: {text}: {error}; close the quote") from error
    if not words or shutil.which(words[0]) is None:
        raise plans.PlanError(f"--limiter: there is no program {words[0] if words else ''!r} to start")
    return words


def check_writable(*paths: str | None) -> None:
    """Guards against an evening whose result cannot be written."""
    for path in paths:
        if path:
            folder = Path(path).absolute().parent
            if not folder.is_dir() or not os.access(folder, os.W_OK) or Path(path).is_dir():
                raise plans.PlanError(f"{path}: cannot be written there; name a file in a folder that exists")


def story(console: Console, args: argparse.Namespace, judged: judgement.Judgement) -> None:
    """What was asked for by --trace; raises TraceError."""
    for which in args.trace:
        rows = trace.rows_of(judged.rows, int(judged.head["seed"]), which)
        console.print(f"request {which}:", *trace.lines(rows), sep="\n  ", highlight=False, soft_wrap=True)


def write(args: argparse.Namespace, columns: Sequence[tuple[str, judgement.Judgement]]) -> None:
    if args.json:
        told = {**columns[0][1].told(), "beside": {name: j.told() for name, j in columns[1:]}}
        Path(args.json).write_bytes(judgement.dump(told))
    if args.html:
        Path(args.html).write_text(page(columns))


async def rehearse(args: argparse.Namespace, plan: plans.Plan, command: Sequence[str]) -> int:
    console = Console()
    async with keeping() as kept, showing() as live:
        own = Path(args.history) if args.history else kept / "history.jsonl"
        calls = [play(plan, args.seed, command, own, live, "hookport")]
        if not args.no_plain:
            other = kept / "plain.jsonl"
            calls.append(play(plan, args.seed, PLAIN, other, live, "plain"))
        if args.rival:
            calls.append(play(plan, args.seed, RIVAL, kept / "rival.jsonl", live, "rival"))
        try:
            if (os.cpu_count() or 1) >= SIDE_BY_SIDE_CORES:
                async with asyncio.TaskGroup() as group:
                    tasks = [group.create_task(call) for call in calls]
                judged = [task.result() for task in tasks]
            else:
                judged = [await call for call in calls]
        except ExceptionGroup as errors:
            raise errors.exceptions[0] from None
    names = ["hookport", *["plain policy"] * (not args.no_plain), *["rival"] * args.rival]
    columns = list(zip(names, judged, strict=True))
    console.print(show.table(columns))
    show.breaches(console, "hookport", judged[0])
    write(args, columns)
    story(console, args, judged[0])
    return status(judged[0])


async def against(args: argparse.Namespace, plan: plans.Plan, command: Sequence[str]) -> int:
    """Two plans, or two limiters, on the same seeds."""
    console = Console()
    other_plan, other_command = plan, tuple(command)
    if args.against in plans.names() or args.against.endswith(".toml"):
        other_plan = loaded(args.against, args.length)
    else:
        other_command = limiter_command(args.against)
    pairs: list[tuple[float, float]] = []
    broken: set[str] = set()
    async with keeping() as kept, showing() as live:
        for seed in range(args.seed, args.seed + args.seeds):
            files = kept / f"{seed}-a.jsonl", kept / f"{seed}-b.jsonl"
            sides = ((plan, command, files[0], "A"), (other_plan, other_command, files[1], "B"))
            try:
                async with asyncio.TaskGroup() as group:
                    tasks = [
                        group.create_task(play(told, seed, words, file, live, f"{name}, seed {seed}"))
                        for told, words, file, name in sides
                    ]
            except ExceptionGroup as errors:
                raise errors.exceptions[0] from None
            one, two = (task.result() for task in tasks)
            for file in files:
                file.unlink()
            note = one.void or two.void
            left_out = f"  void, left out: {note}" if note else ""
            told = f"seed {seed}: A {one.score.score:.3f}  B {two.score.score:.3f}{left_out}"
            console.print(told, highlight=False)
            for name, judged in (("A", one), ("B", two)):
                show.breaches(console, f"{name}, seed {seed}", judged)
                broken.update(f"{name}: {rule}" for rule in judged.broken)
            if not note:
                pairs.append((one.score.score, two.score.score))
    if not pairs:
        console.print("no pair counts: the machine was too busy on every seed", highlight=False)
        return VOID
    result = compare.paired(*zip(*pairs, strict=True))
    console.print(f"A - B: {result}", highlight=False)
    if args.json:
        summary = {"pairs": pairs, "mean": result.mean, "half_width": result.half, "seeds": result.seeds,
                "verdict": result.verdict, "broken": sorted(broken)}  # fmt: skip
        Path(args.json).write_bytes(judgement.dump(summary))
    return BROKEN if broken else KEPT


def loaded(name: str, length_s: float | None) -> plans.Plan:
    plan = plans.load(name)
    return plans.scaled(plan, length_s) if length_s else plan


def in_virtual_time(args: argparse.Namespace, plan: plans.Plan) -> int:
    """The evening in virtual time, by itself; the same digest every time."""
    from hookport.emulator import whole as depth  # only here: the real evening needs none of it

    if args.limiter or args.against:
        raise plans.PlanError("--in whole plays this daemon's own code: leave --limiter and --against out")
    console = Console()
    began_s = time.monotonic()
    try:
        with show.Live(Console(stderr=True)) as live:
            progress = live.add("whole", plan.length_s)
            kept = Path(args.history) if args.history else None
            judged, digest = depth.play_and_judge(plan, args.seed, kept, progress, live.refresh)
    except (depth.WholeError, depth.SpinError, depth.StallError) as error:
        raise PlayError(f"{error}; again with: hookport rehearse {args.plan} --in whole --seed {args.seed}"
                        + (f" --length {args.length:g}" if args.length else "")) from error  # fmt: skip
    took_s = time.monotonic() - began_s
    columns = [("whole depth", judged)]
    console.print(show.table(columns))
    show.breaches(console, "hookport", judged)
    speed = plan.length_s / took_s
    console.print(f"history {digest}; {took_s:.1f} s, {speed:.1f} times real time", highlight=False)
    write(args, columns)
    story(console, args, judged)
    return status(judged)


def judge(args: argparse.Namespace) -> int:
    if len(args.rest) != 1:
        raise plans.PlanError("judge: name one history, as --history wrote it")
    judged = judgement.judge_file(args.rest[0])
    console = Console()
    columns = [(str(judged.head.get("command", "limiter"))[:40], judged)]
    console.print(show.table(columns))
    show.breaches(console, columns[0][0], judged)
    write(args, columns)
    story(console, args, judged)
    return status(judged)


def main(arguments: Sequence[str]) -> int:
    args = parser().parse_args(list(arguments))
    try:
        check_writable(args.json, args.html, args.history)
        if args.list:
            for name in plans.names():
                plan = plans.load(name)
                print(f"{name:<9} {plan.length_s:4.0f} s  {plan.title}")
            return KEPT
        if not args.plan:
            raise plans.PlanError(f"name a plan: {', '.join(plans.names())}, or a TOML file (--list)")
        if args.plan == "judge":
            return judge(args)
        if args.plan == "mutants":
            from hookport.rehearsal import trial

            return run(trial.command(args))
        if args.rest:
            raise plans.PlanError(f"{args.rest[0]}: one plan at a time")
        plan, command = loaded(args.plan, args.length), limiter_command(args.limiter)
        if args.depth == "whole":
            return in_virtual_time(args, plan)
        return run((against if args.against else rehearse)(args, plan, command))
    except (plans.PlanError, history.HistoryError, trace.TraceError, PlayError) as error:
        print(f"hookport rehearse: {error}", file=sys.stderr)
        return BAD_INPUT
    except BrokenPipeError:
        with contextlib.suppress(OSError):
            sys.stdout.close()
        return BAD_INPUT
