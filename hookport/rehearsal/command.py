"""``hookport rehearse``: play a plan, compare two, judge a saved history, or test the referee with mutants.

Exit status: 0 all rules kept, 1 a rule was broken, 2 bad input or a run that could not be played, 3 a run
that is void because the machine was too busy, 130 interrupted.
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
from hookport.rehearsal.page import render_page
from hookport.rehearsal.play import DAEMON, PLAIN, RIVAL, Play, PlayError, Reaper

RULES_KEPT, RULE_BROKEN, BAD_INPUT, VOID, INTERRUPTED = 0, 1, 2, 3, 130
MIN_PARALLEL_CORES = 6  # from this many CPU cores on, the compared policies are played at the same time
REFRESH_S = 0.25  # interval of the progress display


class OneLineErrorParser(argparse.ArgumentParser):
    """An argument parser that reports an error as one line, without the usage text."""

    def error(self, message: str) -> Any:
        print(f"{self.prog}: {message} (see --help)", file=sys.stderr)
        raise SystemExit(BAD_INPUT)


def whole_number(low: int, high: int) -> Any:
    """Return an argparse type for whole numbers from low to high."""

    def parse(text: str) -> int:
        if not text.lstrip("-").isdigit() or not low <= int(text) <= high:
            raise argparse.ArgumentTypeError(f"{text!r} is not a whole number from {low} to {high}")
        return int(text)

    return parse


def parse_length_s(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 2 <= value <= 3600:
        raise argparse.ArgumentTypeError(f"{text!r} is not a length from 2 to 3600 seconds")
    return value


def build_parser() -> OneLineErrorParser:
    parser = OneLineErrorParser(
        prog="hookport rehearse", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("plan", nargs="?", help="a bundled plan, a TOML file, judge or mutants")
    parser.add_argument("rest", nargs="*", help=argparse.SUPPRESS)
    parser.add_argument("--list", action="store_true", help="list the bundled plans")
    parser.add_argument("--seed", type=whole_number(0, 1 << 31), default=1, help="random seed (default 1)")
    parser.add_argument(
        "--seeds", type=whole_number(1, 100), default=4, help="with --against: number of seeds (default 4)"
    )
    parser.add_argument("--length", type=parse_length_s, help="scale the plan to this many seconds")
    parser.add_argument("--limiter", help="command of a limiter to play instead of this daemon")
    parser.add_argument("--in", dest="depth", choices=("real", "whole"), default="real",
                        help="real: processes and sockets; whole: the same code in virtual time")  # fmt: skip
    parser.add_argument("--no-plain", action="store_true", help="do not play the plain policy for comparison")
    parser.add_argument("--rival", action="store_true",
                        help="also play a stronger policy: quota slices, least loaded server")  # fmt: skip
    parser.add_argument(
        "--against", metavar="OTHER", help="another plan, or another limiter's command, to compare with"
    )
    parser.add_argument("--trace", metavar="REQUEST", action="append", default=[],
                        help="print all events of a request, by its number or an attempt's id")  # fmt: skip
    parser.add_argument("--json", metavar="FILE", help="write the judgement to this file")
    parser.add_argument("--html", metavar="FILE", help="write the report to this file")
    parser.add_argument("--history", metavar="FILE", help="keep the history in this file")
    parser.add_argument("--short", action="store_true", help="with mutants: only a few of them")
    parser.add_argument("--only", help="with mutants: names of mutants, separated by commas")
    parser.add_argument(
        "--jobs", type=whole_number(1, 64), default=0, help="with mutants: number of parallel runs"
    )
    return parser


async def play(
    plan: plans.Plan,
    seed: int,
    command: Sequence[str],
    history_file: Path,
    display: show.ProgressDisplay,
    name: str,
) -> judgement.Judgement:
    """Play a run and judge its history."""
    progress = display.add(name, plan.length_s)
    try:
        await Play(plan, seed, command, progress).run(history_file)
        progress.stage = "judging"
        return await asyncio.to_thread(judgement.judge_file, history_file)
    finally:
        display.drop(name)


@contextlib.asynccontextmanager
async def live_progress() -> AsyncIterator[show.ProgressDisplay]:
    """Show progress on standard error and refresh it periodically."""

    async def refresh(display: show.ProgressDisplay) -> None:
        while True:
            display.refresh()
            await asyncio.sleep(REFRESH_S)

    with show.ProgressDisplay(Console(stderr=True)) as display:
        ticker = asyncio.create_task(refresh(display))
        try:
            yield display
        finally:
            ticker.cancel()


@contextlib.asynccontextmanager
async def temporary_folder() -> AsyncIterator[Path]:
    """A temporary folder for histories; it is deleted when the command ends, even if it is killed."""
    reaper = Reaper()
    await reaper.start()
    with tempfile.TemporaryDirectory(prefix="hookport-rehearsal-") as folder:
        reaper.send("dir", folder)
        try:
            yield Path(folder)
        finally:
            await reaper.close()


def run(call: Coroutine[Any, Any, int]) -> int:
    """Run to the end; SIGINT, SIGTERM and SIGHUP cancel the run and stop all its processes."""

    async def run_until_signal() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        return await call

    try:
        return asyncio.run(run_until_signal())
    except (asyncio.CancelledError, KeyboardInterrupt):
        print("hookport rehearse: interrupted; all started processes have ended", file=sys.stderr)
        return INTERRUPTED


def exit_status(judged: judgement.Judgement) -> int:
    return {"kept": RULES_KEPT, "broken": RULE_BROKEN, "void": VOID}[judged.verdict]


def limiter_command(text: str | None) -> tuple[str, ...]:
    """Split a limiter's command line; raises PlanError if its program does not exist."""
    if text is None:
        return DAEMON
    try:
        arguments = tuple(shlex.split(text))
    except ValueError as error:
        raise plans.PlanError(f"--limiter: {text}: {error}; close the quote") from error
    if not arguments or shutil.which(arguments[0]) is None:
        raise plans.PlanError(
            f"--limiter: there is no program {arguments[0] if arguments else ''!r} to start"
        )
    return arguments


def check_writable(*paths: str | None) -> None:
    """Raise PlanError unless the result files can be written, before a run whose result would be lost."""
    for path in paths:
        if path:
            folder = Path(path).absolute().parent
            if not folder.is_dir() or not os.access(folder, os.W_OK) or Path(path).is_dir():
                raise plans.PlanError(
                    f"{path}: cannot be written; name a file in an existing, writable folder"
                )


def print_traces(console: Console, args: argparse.Namespace, judged: judgement.Judgement) -> None:
    """Print the requests named by --trace; raises TraceError."""
    for request in args.trace:
        rows = trace.rows_of_request(judged.rows, int(judged.head["seed"]), request)
        console.print(
            f"request {request}:", *trace.format_rows(rows), sep="\n  ", highlight=False, soft_wrap=True
        )


def write_reports(args: argparse.Namespace, columns: Sequence[tuple[str, judgement.Judgement]]) -> None:
    if args.json:
        report = {**columns[0][1].to_dict(), "beside": {name: j.to_dict() for name, j in columns[1:]}}
        Path(args.json).write_bytes(judgement.dump(report))
    if args.html:
        Path(args.html).write_text(render_page(columns))


async def rehearse(args: argparse.Namespace, plan: plans.Plan, command: Sequence[str]) -> int:
    console = Console()
    async with temporary_folder() as folder, live_progress() as display:
        history_file = Path(args.history) if args.history else folder / "history.jsonl"
        calls = [play(plan, args.seed, command, history_file, display, "hookport")]
        if not args.no_plain:
            plain_file = folder / "plain.jsonl"
            calls.append(play(plan, args.seed, PLAIN, plain_file, display, "plain"))
        if args.rival:
            calls.append(play(plan, args.seed, RIVAL, folder / "rival.jsonl", display, "rival"))
        try:
            if (os.cpu_count() or 1) >= MIN_PARALLEL_CORES:
                async with asyncio.TaskGroup() as group:
                    tasks = [group.create_task(call) for call in calls]
                judged = [task.result() for task in tasks]
            else:
                judged = [await call for call in calls]
        except ExceptionGroup as errors:
            raise errors.exceptions[0] from None
    names = ["hookport", *["plain policy"] * (not args.no_plain), *["rival"] * args.rival]
    columns = list(zip(names, judged, strict=True))
    console.print(show.score_table(columns))
    show.print_breaches(console, "hookport", judged[0])
    write_reports(args, columns)
    print_traces(console, args, judged[0])
    return exit_status(judged[0])


async def against(args: argparse.Namespace, plan: plans.Plan, command: Sequence[str]) -> int:
    """Compare two plans, or two limiters, on the same seeds."""
    console = Console()
    other_plan, other_command = plan, tuple(command)
    if args.against in plans.bundled_names() or args.against.endswith(".toml"):
        other_plan = load_plan(args.against, args.length)
    else:
        other_command = limiter_command(args.against)
    pairs: list[tuple[float, float]] = []
    broken: set[str] = set()
    async with temporary_folder() as folder, live_progress() as display:
        for seed in range(args.seed, args.seed + args.seeds):
            files = folder / f"{seed}-a.jsonl", folder / f"{seed}-b.jsonl"
            sides = ((plan, command, files[0], "A"), (other_plan, other_command, files[1], "B"))
            try:
                async with asyncio.TaskGroup() as group:
                    tasks = [
                        group.create_task(
                            play(side_plan, seed, side_command, file, display, f"{name}, seed {seed}")
                        )
                        for side_plan, side_command, file, name in sides
                    ]
            except ExceptionGroup as errors:
                raise errors.exceptions[0] from None
            first, second = (task.result() for task in tasks)
            for file in files:
                file.unlink()
            void_reason = first.void or second.void
            suffix = f"  void, left out: {void_reason}" if void_reason else ""
            line = f"seed {seed}: A {first.score.score:.3f}  B {second.score.score:.3f}{suffix}"
            console.print(line, highlight=False)
            for name, judged in (("A", first), ("B", second)):
                show.print_breaches(console, f"{name}, seed {seed}", judged)
                broken.update(f"{name}: {rule}" for rule in judged.broken)
            if not void_reason:
                pairs.append((first.score.score, second.score.score))
    if not pairs:
        console.print("no valid pair: the machine was too busy on every seed", highlight=False)
        return VOID
    result = compare.paired_difference(*zip(*pairs, strict=True))
    console.print(f"A - B: {result}", highlight=False)
    if args.json:
        summary = {
            "pairs": pairs, "mean": result.mean, "half_width": result.half_width, "seeds": result.seeds,
            "verdict": result.verdict, "broken": sorted(broken),
        }  # fmt: skip
        Path(args.json).write_bytes(judgement.dump(summary))
    return RULE_BROKEN if broken else RULES_KEPT


def load_plan(name: str, length_s: float | None) -> plans.Plan:
    plan = plans.load(name)
    return plans.scaled(plan, length_s) if length_s else plan


def rehearse_in_virtual_time(args: argparse.Namespace, plan: plans.Plan) -> int:
    """Play the run in virtual time; the same plan and seed always give the same digest."""
    from hookport.emulator import whole as emulator  # imported here: only runs in virtual time need it

    if args.limiter or args.against:
        raise plans.PlanError("--in whole plays this daemon's own code: leave --limiter and --against out")
    console = Console()
    started_s = time.monotonic()
    try:
        with show.ProgressDisplay(Console(stderr=True)) as display:
            progress = display.add("whole", plan.length_s)
            history_file = Path(args.history) if args.history else None
            judged, digest = emulator.play_and_judge(plan, args.seed, history_file, progress, display.refresh)
    except (emulator.WholeError, emulator.SpinError, emulator.StallError) as error:
        raise PlayError(f"{error}; to repeat: hookport rehearse {args.plan} --in whole --seed {args.seed}"
                        + (f" --length {args.length:g}" if args.length else "")) from error  # fmt: skip
    elapsed_s = time.monotonic() - started_s
    columns = [("virtual time", judged)]
    console.print(show.score_table(columns))
    show.print_breaches(console, "hookport", judged)
    speed = plan.length_s / elapsed_s
    console.print(f"history {digest}; {elapsed_s:.1f} s, {speed:.1f} times real time", highlight=False)
    write_reports(args, columns)
    print_traces(console, args, judged)
    return exit_status(judged)


def judge(args: argparse.Namespace) -> int:
    if len(args.rest) != 1:
        raise plans.PlanError("judge: name one history file, as written by --history")
    judged = judgement.judge_file(args.rest[0])
    console = Console()
    columns = [(str(judged.head.get("command", "limiter"))[:40], judged)]
    console.print(show.score_table(columns))
    show.print_breaches(console, columns[0][0], judged)
    write_reports(args, columns)
    print_traces(console, args, judged)
    return exit_status(judged)


def main(arguments: Sequence[str]) -> int:
    args = build_parser().parse_args(list(arguments))
    try:
        check_writable(args.json, args.html, args.history)
        if args.list:
            for name in plans.bundled_names():
                plan = plans.load(name)
                print(f"{name:<9} {plan.length_s:4.0f} s  {plan.title}")
            return RULES_KEPT
        if not args.plan:
            raise plans.PlanError(f"name a plan: {', '.join(plans.bundled_names())}, or a TOML file (--list)")
        if args.plan == "judge":
            return judge(args)
        if args.plan == "mutants":
            from hookport.rehearsal import trial

            return run(trial.command(args))
        if args.rest:
            raise plans.PlanError(f"{args.rest[0]}: one plan at a time")
        plan, command = load_plan(args.plan, args.length), limiter_command(args.limiter)
        if args.depth == "whole":
            return rehearse_in_virtual_time(args, plan)
        return run((against if args.against else rehearse)(args, plan, command))
    except (plans.PlanError, history.HistoryError, trace.TraceError, PlayError) as error:
        print(f"hookport rehearse: {error}", file=sys.stderr)
        return BAD_INPUT
    except BrokenPipeError:
        with contextlib.suppress(OSError):
            sys.stdout.close()
        return BAD_INPUT
