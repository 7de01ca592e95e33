"""``hookport experiment FILE``: execute an experiment on all cores and write its report.

FOLDER gets ``runs.jsonl`` (each result as soon as it is known), ``report.md``, ``runs.csv`` and
``report.html``. With the same folder an interrupted experiment continues. Exit status: 0 completed, 2 bad
input, 130 interrupted (the report covers the runs completed by then).
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

COMPLETED, BAD_INPUT, INTERRUPTED = 0, 2, 130
LOG_INTERVAL_S = 10.0
REPORT_PACKAGES = ("matplotlib",)
SCORE_FIGURES = (  # fields of a score that each run records with it
    "whole", "worst_window", "worst_plan", "beyond_units", "refused_with_room", "counter_calls",
    "wasted_work",
)  # fmt: skip
JUDGE_SCRIPT = "import sys;from hookport.emulator.experiment_command import judge_run;judge_run(sys.argv[1])"
log = logging.getLogger("hookport.experiment")


def judge_run(path: str) -> None:
    """Judge a history and print the result fields of a run as JSON; executed in a process of its own."""
    from hookport.rehearsal import judgement

    judged = judgement.judge_file(path)
    score = judged.score
    figures = {name: getattr(score, name) for name in SCORE_FIGURES}
    summary = {"score": score.score, "figures": figures, "broken": judged.broken, "error": judged.void}
    sys.stdout.buffer.write(msgspec.json.encode(summary))


def play_run(spec: Experiment, run: Run, source_digests: dict[Path, str]) -> Run:
    """Execute a run with its build and judge it with this one; an error is stored in the result."""
    build = experiment.build_folder(spec, run.cell)
    result = msgspec.structs.replace(run, code=source_digests[build])
    try:
        table = experiment.plan_table(spec, run.day, run.seed, run.cell)
    except plans.PlanError as error:
        return msgspec.structs.replace(result, error=str(error))
    constants = experiment.constant_values(spec, run.cell)
    other_names = {name: renamed_constants.other_names(name) for name in constants}
    job = {"plan": table, "seed": run.seed, "constants": constants, "other_names": other_names}
    with tempfile.NamedTemporaryFile(prefix="hookport-experiment-", suffix=".jsonl") as history_file:
        command = [sys.executable, experiment_run.__file__, str(build)]
        run_process = subprocess.run(
            command,
            input=msgspec.json.encode(job),
            stdout=history_file,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )
        if run_process.returncode:
            lines = run_process.stderr.decode(errors="replace").strip().splitlines()
            return msgspec.structs.replace(
                result, error=lines[-1] if lines else f"status {run_process.returncode}"
            )
        judge_process = subprocess.run(
            [sys.executable, "-c", JUDGE_SCRIPT, history_file.name],
            capture_output=True,
            start_new_session=True,
        )
    if judge_process.returncode:
        raise ExperimentError(
            f"judging the run of {run.day} {run.seed} failed: {judge_process.stderr.decode()[-400:]}"
        )
    summary: dict[str, Any] = msgspec.json.decode(judge_process.stdout)
    return msgspec.structs.replace(
        result,
        score=summary["score"],
        figures=summary["figures"],
        broken=tuple(summary["broken"]),
        error=summary["error"],
    )


def load_runs(path: Path, spec: Experiment, source_digests: dict[Path, str]) -> list[Run]:
    """Read the runs of an earlier, interrupted execution; an incomplete last line is dropped.

    Raises ExperimentError if the file belongs to another experiment or to other sources.
    """
    if not path.exists():
        return []
    head, _, body = path.read_bytes().partition(b"\n")
    if head and head != msgspec.json.encode(spec):
        raise ExperimentError(
            f"{path}: contains runs of another experiment; choose another folder with --out"
        )
    runs = []
    for n, line in enumerate(body.splitlines(keepends=True), 2):
        if not line.endswith(b"\n"):
            log.info("incomplete line=%d run_again=yes", n)
            break
        try:
            run = msgspec.json.decode(line, type=Run)
        except msgspec.DecodeError as error:
            raise ExperimentError(
                f"{path}: line {n}: {error}; delete the line to execute its run again"
            ) from error
        if run.code != source_digests[experiment.build_folder(spec, run.cell)]:
            raise ExperimentError(
                f"{path}: line {n}: executed with other sources; choose another folder with --out"
            )
        runs.append(run)
    contents = b"".join([head + b"\n", *(msgspec.json.encode(run) + b"\n" for run in runs)])
    path.write_bytes(contents if head else b"")
    return runs


def run_experiment(spec: Experiment, folder: Path, jobs: int) -> tuple[list[Run], bool]:
    """Execute the runs that are missing; return all runs, and whether it was interrupted."""
    source_digests = {
        build: experiment.source_digest(build)
        for build in {experiment.build_folder(spec, c) for c in experiment.cells(spec)}
    }
    path = folder / "runs.jsonl"
    runs = load_runs(path, spec, source_digests)
    done_keys = {run.key for run in runs}
    # Day by day, so that the runs of an interrupted experiment can be compared in pairs.
    pending_runs = [
        Run(cell=c, day=day, seed=seed)
        for day, seed in experiment.days_with_seeds(spec)
        for c in experiment.cells(spec)
        if (c, day, seed) not in done_keys
    ]
    log.info("runs=%d kept=%d jobs=%d", len(pending_runs) + len(runs), len(runs), jobs)
    start_s, logged_s = time.monotonic(), 0.0
    with interruptible() as interrupted, open(path, "ab") as out, ThreadPoolExecutor(jobs) as pool:
        if not path.stat().st_size:
            out.write(msgspec.json.encode(spec) + b"\n")
        arguments = ((spec, run, source_digests) for run in pending_runs)
        for done, (_, run) in enumerate(run_parallel(pool, play_run, arguments, jobs, interrupted.is_set), 1):
            runs.append(run)
            out.write(msgspec.json.encode(run) + b"\n")
            out.flush()
            elapsed_s = time.monotonic() - start_s
            if elapsed_s - logged_s >= LOG_INTERVAL_S:
                logged_s = elapsed_s
                remaining_s = elapsed_s / done * (len(pending_runs) - done)
                log.info(
                    "runs=%d of=%d took_s=%.0f left_s=%.0f", done, len(pending_runs), elapsed_s, remaining_s
                )
    return runs, interrupted.is_set()


def write_report(spec: Experiment, runs: Sequence[Run], folder: Path) -> str:
    """Write the report files and return the report as Markdown."""
    from hookport.emulator import experiment_page as page

    effects = experiment.compute_effects(spec, runs)
    text = page.markdown(spec, runs, effects)
    (folder / "report.md").write_text(text)
    (folder / "runs.csv").write_text(page.as_csv(spec, runs))
    (folder / "report.html").write_text(page.render_page(spec, runs, effects))
    return text


def main(arguments: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="hookport experiment", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("file", help="the experiment file, in TOML")
    parser.add_argument(
        "--out", metavar="FOLDER", help="folder for the results (default: FILE without .toml)"
    )
    parser.add_argument(
        "--jobs",
        type=int,
        default=os.cpu_count() or 1,
        help="runs to execute in parallel (default: number of cores)",
    )
    args = parser.parse_args(list(arguments))
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(name)s %(message)s")
    try:
        for package in REPORT_PACKAGES:  # checked before the runs, which may take hours
            if importlib.util.find_spec(package) is None:
                raise ExperimentError(
                    f"the report needs the package {package}: pip install 'hookport[experiments]'"
                )
        spec = experiment.load(args.file)
        if args.jobs < 1:
            raise ExperimentError(f"--jobs: {args.jobs} is less than 1")
        folder = Path(args.out or Path(args.file).with_suffix(""))
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise ExperimentError(f"--out: {folder}: {error.strerror}") from error
        runs, interrupted = run_experiment(spec, folder, args.jobs)
        print(write_report(spec, runs, folder), end="")
    except ExperimentError as error:
        print(f"hookport experiment: {error}", file=sys.stderr)
        return BAD_INPUT
    print(f"report: {folder / 'report.html'}")
    return INTERRUPTED if interrupted else COMPLETED
