"""``hookport experiment FILE``: play an experiment on all cores and write its report.

In FOLDER: ``runs.jsonl`` (each result as soon as it is there), ``report.md``, ``runs.csv``, ``report.html``.
Asked again with the same folder it goes on where it was. Exit status: 0 played, 2 bad input, 130 interrupted
(the report tells what there is by then).
"""

from __future__ import annotations

import argparse
import importlib.util
import logging
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from hookport.emulator import experiment, experiment_run, renamed_constants
from hookport.emulator.experiment import Experiment, ExperimentError, Run
from hookport.emulator.parallel import interruptible, run_parallel
from hookport.rehearsal import plan as plans

PLAYED, BAD_INPUT, INTERRUPTED = 0, 2, 130
TOLD_EACH_S = 10.0
REPORT_NEEDS = ("matplotlib",)
FIGURES = (  # of a score, kept beside it
    "whole", "worst_window", "worst_plan", "beyond_units", "refused_with_room", "counter_calls",
    "wasted_work",
)  # fmt: skip
JUDGE = "import sys;from hookport.emulator.experiment_command import judged_file;judged_file(sys.argv[1])"
log = logging.getLogger("hookport.experiment")


def judged_file(path: str) -> None:
    """In a process of its own: judge a history and print what a run keeps of it."""
    from hookport.rehearsal import judgement

    judged = judgement.judge_file(path)
    score = judged.score
    figures = {name: getattr(score, name) for name in FIGURES}
    told = {"score": score.score, "figures": figures, "broken": judged.broken, "error": judged.void}
    sys.stdout.buffer.write(msgspec.json.encode(told))


def play(told: Experiment, run: Run, codes: dict[Path, str]) -> Run:
    """One run, played by its build and judged by this one; an error is kept in its place."""
    build = experiment.build_of(told, run.cell)
    done = msgspec.structs.replace(run, code=codes[build])
    try:
        table = experiment.plan_of(told, run.day, run.seed, run.cell)
    except plans.PlanError as error:
        return msgspec.structs.replace(done, error=str(error))
    constants = experiment.constants_of(told, run.cell)
    other_names = {name: renamed_constants.other_names(name) for name in constants}
    work = {"plan": table, "seed": run.seed, "constants": constants, "other_names": other_names}
    with tempfile.NamedTemporaryFile(prefix="hookport-experiment-", suffix=".jsonl") as kept:
        words = [sys.executable, experiment_run.__file__, str(build)]
        played = subprocess.run(
            words,
            input=msgspec.json.encode(work),
            stdout=kept,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )
        if played.returncode:
            lines = played.stderr.decode(errors="replace").strip().splitlines()
            return msgspec.structs.replace(done, error=lines[-1] if lines else f"status {played.returncode}")
        asked = subprocess.run(
            [sys.executable, "-c", JUDGE, kept.name], capture_output=True, start_new_session=True
        )
    if asked.returncode:
        raise ExperimentError(f"the judge failed on {run.day} {run.seed}: {asked.stderr.decode()[-400:]}")
    answer: dict[str, Any] = msgspec.json.decode(asked.stdout)
    return msgspec.structs.replace(
        done,
        score=answer["score"],
        figures=answer["figures"],
        broken=tuple(answer["broken"]),
        error=answer["error"],
    )


def kept_runs(path: Path, told: Experiment, codes: dict[Path, str]) -> list[Run]:
    """What an earlier start has left; a last line that was cut is played again.

    Raises ExperimentError where the file is of another experiment or other sources."""
    if not path.exists():
        return []
    head, _, body = path.read_bytes().partition(b"\n")
    if head and head != msgspec.json.encode(told):
        raise ExperimentError(f"{path}: holds runs of another experiment; name another folder with --out")
    runs = []
    for n, line in enumerate(body.splitlines(keepends=True), 2):
        if not line.endswith(b"\n"):
            log.info("cut line=%d played_again=yes", n)
            break
        try:
            run = msgspec.json.decode(line, type=Run)
        except msgspec.DecodeError as error:
            raise ExperimentError(f"{path}: line {n}: {error}; take the line out to play it again") from error
        if run.code != codes[experiment.build_of(told, run.cell)]:
            raise ExperimentError(
                f"{path}: line {n}: played by other sources; name another folder with --out"
            )
        runs.append(run)
    whole = b"".join([head + b"\n", *(msgspec.json.encode(run) + b"\n" for run in runs)])
    path.write_bytes(whole if head else b"")
    return runs


def carry_out(told: Experiment, folder: Path, jobs: int) -> tuple[list[Run], bool]:
    """Play what is not there yet; all runs, and whether it was interrupted."""
    codes = {
        build: experiment.code_of(build)
        for build in {experiment.build_of(told, c) for c in experiment.cells(told)}
    }
    path = folder / "runs.jsonl"
    runs = kept_runs(path, told, codes)
    have = {run.key for run in runs}
    # Day by day, so that what is there after an interruption is of pairs.
    todo = [
        Run(cell=c, day=day, seed=seed)
        for day, seed in experiment.chosen_days(told)
        for c in experiment.cells(told)
        if (c, day, seed) not in have
    ]
    log.info("runs=%d kept=%d jobs=%d", len(todo) + len(runs), len(runs), jobs)
    began_s, told_s = time.monotonic(), 0.0
    with interruptible() as stopped, open(path, "ab") as out, ThreadPoolExecutor(jobs) as pool:
        if not path.stat().st_size:
            out.write(msgspec.json.encode(told) + b"\n")
        asked = ((told, run, codes) for run in todo)
        for done, (_, run) in enumerate(run_parallel(pool, play, asked, jobs, stopped.is_set), 1):
            runs.append(run)
            out.write(msgspec.json.encode(run) + b"\n")
            out.flush()
            took_s = time.monotonic() - began_s
            if took_s - told_s >= TOLD_EACH_S:
                told_s = took_s
                left_s = took_s / done * (len(todo) - done)
                log.info("runs=%d of=%d took_s=%.0f left_s=%.0f", done, len(todo), took_s, left_s)
    return runs, stopped.is_set()


def report(told: Experiment, runs: Sequence[Run], folder: Path) -> str:
    """Write the report; its table as Markdown."""
    from hookport.emulator import experiment_page as page

    found = experiment.effects(told, runs)
    text = page.markdown(told, runs, found)
    (folder / "report.md").write_text(text)
    (folder / "runs.csv").write_text(page.as_csv(told, runs))
    (folder / "report.html").write_text(page.page(told, runs, found))
    return text


def main(arguments: Sequence[str]) -> int:
    words = argparse.ArgumentParser(
        prog="hookport experiment", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    words.add_argument("file", help="the experiment, in TOML")
    words.add_argument("--out", metavar="FOLDER", help="where results go (the file's name without .toml)")
    words.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="runs at a time (all cores)")
    args = words.parse_args(list(arguments))
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(name)s %(message)s")
    try:
        for package in REPORT_NEEDS:  # before hours of play, not after them
            if importlib.util.find_spec(package) is None:
                raise ExperimentError(f"it needs the package {package}: pip install 'hookport[experiments]'")
        told = experiment.load(args.file)
        if args.jobs < 1:
            raise ExperimentError(f"--jobs: {args.jobs} is less than 1")
        folder = Path(args.out or Path(args.file).with_suffix(""))
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise ExperimentError(f"--out: {folder}: {error.strerror}") from error
        runs, stopped = carry_out(told, folder, args.jobs)
        print(report(told, runs, folder), end="")
    except ExperimentError as error:
        print(f"hookport experiment: {error}", file=sys.stderr)
        return BAD_INPUT
    print(f"report: {folder / 'report.html'}")
    return INTERRUPTED if stopped else PLAYED
