"""Experiments: checks of the file, execution, continuation after an interruption, and the report."""

from __future__ import annotations

import csv
import html.parser
import importlib
import io
import json
import random
import re
import shutil
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
from helpers import TINY

from hookport.emulator import experiment, experiment_command, experiment_run, renamed_constants
from hookport.emulator import experiment_page as page
from hookport.emulator.experiment import Experiment, ExperimentError, Factor, Run
from hookport.emulator.renamed_constants import RENAMED_CONSTANTS

PLAN = TINY + 'mood = "heavy"\n'


def write_experiment(folder: Path, text: str, plan: str = PLAN) -> Path:
    (folder / "tiny.toml").write_text(plan)
    file = folder / "e.toml"
    file.write_text(text.replace("TINY", str(folder / "tiny.toml")))
    return file


TWO_FACTORS = """
title = "two"
plans = ["TINY"]
seeds = [1, 3]
[[factor]]
name = "hold"
constant = "aniseshed.policy.MAX_QUOTA_WAIT_SHARE"
levels = [LEVEL, 0.0]
[[factor]]
name = "retries"
plan = "clients.retries"
levels = [2, 0]
"""


def test_experiment_runs_writes_its_report_and_continues_after_an_interruption(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    from aniseshed import policy

    file = write_experiment(tmp_path, TWO_FACTORS.replace("LEVEL", str(policy.MAX_QUOTA_WAIT_SHARE)))
    out = tmp_path / "out"
    assert (
        experiment_command.main([str(file), "--out", str(out), "--jobs", "4"]) == experiment_command.COMPLETED
    )
    output = capsys.readouterr().out
    assert "| hold 0.0 | " in output and "| retries 0 | " in output
    rows = list(csv.DictReader(io.StringIO((out / "runs.csv").read_text())))
    assert len(rows) == 9 and all(not row["error"] and float(row["score"]) > 0.3 for row in rows)
    by_level = {(row["hold"], row["retries"], row["seed"]): row["score"] for row in rows}
    first = str(policy.MAX_QUOTA_WAIT_SHARE)
    assert any(
        by_level[first, "2", seed] != by_level["0.0", "2", seed] for seed in "123"
    )  # the constant was set
    assert any(by_level[first, "2", seed] != by_level[first, "0", seed] for seed in "123")
    html.parser.HTMLParser().feed(text := (out / "report.html").read_text())
    assert text.count("<svg") == 3 and "<script" not in text

    # If the file ends in the middle of a line, as after a power cut, only complete lines are kept.
    first_contents = (out / "runs.jsonl").read_bytes()
    lines = first_contents.splitlines(keepends=True)
    (out / "runs.jsonl").write_bytes(b"".join(lines[:6]) + lines[6][:20])
    assert (
        experiment_command.main([str(file), "--out", str(out), "--jobs", "4"]) == experiment_command.COMPLETED
    )
    second_contents = (out / "runs.jsonl").read_bytes()
    assert second_contents.startswith(b"".join(lines[:6]))
    assert sorted(second_contents.splitlines()) == sorted(
        first_contents.splitlines()
    )  # exactly the same scores

    # Runs of another experiment or of other sources are not mixed into the results.
    other = write_experiment(tmp_path, TWO_FACTORS.replace("LEVEL", "0.123"))
    assert experiment_command.main([str(other), "--out", str(out)]) == experiment_command.BAD_INPUT
    assert "another experiment" in capsys.readouterr().err
    file = write_experiment(tmp_path, TWO_FACTORS.replace("LEVEL", first))
    changed = [json.loads(line) for line in lines[1:]]
    changed[0]["code"] = "0" * 16
    (out / "runs.jsonl").write_bytes(lines[0] + b"".join(json.dumps(run).encode() + b"\n" for run in changed))
    assert experiment_command.main([str(file), "--out", str(out)]) == experiment_command.BAD_INPUT
    assert "line 2: executed with other sources" in capsys.readouterr().err


def test_build_factor_runs_the_other_source_tree(tmp_path: Path) -> None:
    """A source tree whose policy refuses every request must score 0."""
    build = tmp_path / "build"
    for package in ("aniseshed", "hookport"):
        shutil.copytree(experiment.ROOT / package, build / package)
    policy = build / "aniseshed" / "policy.py"
    policy.write_text(
        policy.read_text().replace("full or self.over_limit(", "True or full or self.over_limit(")
    )
    text = 'title = "b"\nplans = ["TINY"]\nseeds = [1, 1]\n[[factor]]\nname = "b"\nbuild = true\n'
    text += f'levels = ["{experiment.ROOT}", "{build}"]\n'
    spec = experiment.load(str(write_experiment(tmp_path, text)))
    runs, _ = experiment_command.run_experiment(spec, tmp_path, 2)
    by_cell = {run.cell: run for run in runs}
    assert by_cell[0,].score > 0.3 and by_cell[1,].score == 0 and not by_cell[1,].error
    assert by_cell[0,].code != by_cell[1,].code


RETRIES = 'plan = "clients.retries"'


@pytest.mark.parametrize(
    ("head", "factor", "message"),
    [
        ("title = 3", "", "title: Expected `str`, got `int`"),
        ("factr = 1", RETRIES, "factr: unknown key"),
        ("title = 'x", RETRIES, "not TOML"),
        ("days = [1, 2]", "", "factor[0]: write exactly one of constant"),
        ("days = [1, 2]", "constant = 'aniseshed.policy.NO'", "no such constant"),
        ("days = [1, 2]", "constant = 'aniseshed.policy.HEARTBEAT_PAYLOAD'", "is not a number"),
        ("days = [1, 2]", "build = true", "not a source tree"),
        ("days = [4, 2]", RETRIES, "from 4 down to 2"),
        ("plans = ['evning']", RETRIES, "evening?"),
        ("plans = ['calm']", "plan = 'clients.retry'", "clients.retry"),
        ("plans = ['calm']", "plan = 'desk.9.spread'", "no such key: '9'"),
        ("", RETRIES, "write plans = [...], days"),
    ],
)
def test_invalid_experiment_is_rejected_in_one_line_with_the_key(
    head: str, factor: str, message: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "e.toml"
    title = "" if "title" in head else "title = 'x'"
    file.write_text(f"{title}\n{head}\n[[factor]]\nname = 'a'\nlevels = [1, 2]\n{factor}\n")
    assert experiment_command.main([str(file)]) == experiment_command.BAD_INPUT
    error_output = capsys.readouterr().err
    assert message in error_output and error_output.count("\n") == 1 and not (tmp_path / "e").exists()


def make_experiment(design: str = "each", **overrides: Any) -> Experiment:
    factor = [{"name": name, "plan": "clients.retries", "levels": [0, 1, 2]} for name in "ab"]
    table = {"title": "t", "days": [1, 40], "design": design, "factor": factor, **overrides}
    return msgspec.convert(table, Experiment)


def test_designs() -> None:
    assert experiment.cells(make_experiment()) == [(0, 0), (1, 0), (2, 0), (0, 1), (0, 2)]
    assert len(set(experiment.cells(make_experiment("grid")))) == 9
    drawn = experiment.cells(make_experiment("random", samples=5))
    assert len(drawn) == 5 == len(set(drawn)) and drawn[0] == (0, 0)
    assert (
        drawn
        == experiment.cells(make_experiment("random", samples=5))
        != experiment.cells(make_experiment("random", samples=5, seed=2))
    )
    assert len(experiment.cells(make_experiment("random", samples=500))) == 9


def test_effects_are_paired_with_correct_intervals_and_leave_errors_out() -> None:
    """The true gain lies in the 95 % interval as often as it should, though days differ by far more."""
    spec, covered = make_experiment(), 0
    for repetition in range(200):
        rng = random.Random(repetition)
        runs = []
        for seed in range(1, 41):
            day_score = rng.uniform(0.2, 0.9)
            for c in experiment.cells(spec):
                gain = 0.01 * (c == (1, 0))
                error = "lost" if (c, seed) == ((1, 0), 1) else ""
                score = 0.0 if error else day_score + gain + rng.gauss(0, 0.005)
                runs.append(Run(cell=c, day="drawn", seed=seed, score=score, error=error))
        effect = next(e for e in experiment.compute_effects(spec, runs) if e.cell == (1, 0))
        assert (
            effect.gain.half_width is not None
            and effect.gain.half_width < 0.005
            and effect.gain.is_significant
        )
        covered += abs(effect.gain.mean - 0.01) <= effect.gain.half_width
    assert 180 <= covered <= 199
    assert effect.gain.seeds == 39 and 4 < effect.needed < 14


def test_grid_of_two_factors_has_a_heat_map() -> None:
    spec = make_experiment("grid")
    keys = [(c, n) for c in experiment.cells(spec) for n in (1, 2)]
    runs = [Run(cell=c, day="drawn", seed=n, score=0.1 * sum(c) + n / 100) for c, n in keys]
    effects = experiment.compute_effects(spec, runs)
    assert len(page.heat_map(spec, effects)) == 1 and page.render_page(spec, runs, effects).count("<svg") == 4


def test_constant_is_also_set_in_modules_that_imported_it() -> None:
    code = (
        "import sys; sys.path.insert(0, sys.argv[1])\n"
        "from aniseshed import partition, policy\n"
        "from hookport.emulator import experiment_run\n"
        "experiment_run.set_constant('aniseshed.partition.HEARTBEAT_INTERVAL_NS', 77)\n"
        "print(policy.HEARTBEAT_INTERVAL_NS, partition.HEARTBEAT_INTERVAL_NS)\n"
    )
    command = [sys.executable, "-c", code, str(experiment.ROOT)]
    assert subprocess.run(command, capture_output=True, text=True, check=True).stdout == "77 77\n"
    with pytest.raises(experiment_run.RunError, match="no such constant"):
        experiment_run.set_constant("aniseshed.partition.NOTHING", 1)


FORMER, PRESENT = "aniseshed.policy.HOLD_AIM", "aniseshed.policy.MAX_QUOTA_WAIT_SHARE"


def constant(name: str) -> Any:
    """The value of a constant in this build, None if there is no such constant."""
    module, _, attribute = name.rpartition(".")
    try:
        return getattr(importlib.import_module(module), attribute, None)
    except ImportError:
        return None


@pytest.mark.parametrize(("former", "present"), RENAMED_CONSTANTS.items())
def test_a_former_name_of_a_constant_is_accepted(former: str, present: str) -> None:
    """An experiment file written before a rename would be rejected, or would set another constant."""
    assert isinstance(constant(present), int | float)
    assert constant(former) is None, "the former name now means something else"
    assert present not in RENAMED_CONSTANTS, "a table row must lead to the present name at once"
    assert renamed_constants.other_names(former)[0] == present
    assert former in renamed_constants.other_names(present)
    factor = Factor(name="a", levels=(1, 2), constant=former)
    assert list(experiment.constant_problems(factor, "factor[0]")) == []


def test_a_constant_without_a_rename_has_no_other_names() -> None:
    assert renamed_constants.other_names("aniseshed.policy.RETRY_RATIO") == []


def test_a_former_name_sets_the_constant_of_this_build() -> None:
    code = (
        "import sys; sys.path.insert(0, sys.argv[1])\n"
        "from aniseshed import policy\n"
        "from hookport.emulator import experiment_run\n"
        f"experiment_run.set_constant('{FORMER}', 77, ['{PRESENT}'])\n"
        "print(policy.MAX_QUOTA_WAIT_SHARE, hasattr(policy, 'HOLD_AIM'))\n"
    )
    command = [sys.executable, "-c", code, str(experiment.ROOT)]
    assert subprocess.run(command, capture_output=True, text=True, check=True).stdout == "77 False\n"
    with pytest.raises(experiment_run.RunError, match="policy.NO: this build has no such constant"):
        experiment_run.set_constant("aniseshed.policy.NO", 1, ["aniseshed.no_module.NO"])


@pytest.mark.parametrize("name", [FORMER, PRESENT])
def test_a_renamed_constant_is_set_in_builds_that_know_only_its_other_name(name: str, tmp_path: Path) -> None:
    """Either name must set the constant, in this build and in one that knows only the former name."""
    older = tmp_path / "older"
    for package in ("aniseshed", "hookport"):
        shutil.copytree(experiment.ROOT / package, older / package)
    policy = older / "aniseshed" / "policy.py"
    policy.write_text(re.sub(r"\bMAX_QUOTA_WAIT_SHARE\b", "HOLD_AIM", policy.read_text()))
    file = write_experiment(
        tmp_path,
        'title = "b"\nplans = ["TINY"]\nseeds = [1, 3]\ndesign = "grid"\n'
        f'[[factor]]\nname = "b"\nbuild = true\nlevels = ["{experiment.ROOT}", "{older}"]\n'
        f'[[factor]]\nname = "c"\nconstant = "{name}"\nlevels = [{constant(PRESENT)}, 0.0]\n',
    )
    runs, _ = experiment_command.run_experiment(experiment.load(str(file)), tmp_path, 4)
    assert len(runs) == 12 and not any(run.error for run in runs)
    score = {run.key: run.score for run in runs}
    assert all(score[(0, n), day, seed] == score[(1, n), day, seed] for (_, n), day, seed in score)
    assert any(
        score[(1, 0), day, seed] != score[(1, 1), day, seed] for _, day, seed in score
    )  # the constant was set
    head = json.loads((tmp_path / "runs.jsonl").read_bytes().splitlines()[0])
    assert head["factor"][1]["constant"] == name, "the file must hold the experiment as it was written"


def test_failed_run_is_recorded_and_the_others_continue(tmp_path: Path) -> None:
    spec = experiment.load(str(write_experiment(tmp_path, TWO_FACTORS.replace("LEVEL", "0.6"))))
    (tmp_path / "tiny.toml").write_text(PLAN.replace("[limiters]", "[limiters]\nkept_list = true"))
    runs, _ = experiment_command.run_experiment(spec, tmp_path, 4)
    assert {run.error != "" for run in runs} == {True} and "kept_list" in runs[0].error
    with pytest.raises(ExperimentError, match="cannot be read"):
        experiment.load(str(tmp_path / "nothing.toml"))


def test_missing_report_package_is_reported_before_any_run(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(experiment_command, "REPORT_PACKAGES", ("matplotlib", "no_such_package"))
    file = write_experiment(tmp_path, TWO_FACTORS.replace("LEVEL", "0.6"))
    assert experiment_command.main([str(file)]) == experiment_command.BAD_INPUT
    assert "no_such_package: pip install 'hookport[experiments]'" in capsys.readouterr().err
    assert not (tmp_path / "e").exists()
