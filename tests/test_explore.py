"""Random days, the search for days that break a rule, and shrinking; days that once failed must now pass."""

from __future__ import annotations

import signal
import subprocess
import sys
import tomllib
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from hookport.emulator import days, explore, shrink
from hookport.emulator.parallel import run_parallel
from hookport.rehearsal import plan as plans

CORPUS = sorted((Path(__file__).parent / "corpus").glob("*.toml"))
Table = dict[str, Any]


@pytest.mark.parametrize("path", CORPUS, ids=lambda path: path.stem)
def test_day_that_once_broke_a_rule_passes(path: Path) -> None:
    table = tomllib.loads(path.read_text())
    seed = int(table["title"].split(":")[0].removeprefix("seed "))
    result = explore.run_day(table, seed)
    assert result.kinds == (), result.first_breach


# Days


def test_every_day_is_a_valid_plan_repeatable_and_equal_after_writing_to_a_file() -> None:
    seen = set()
    for seed in range(300):
        table = days.plan_table(seed)
        assert table == days.plan_table(seed)
        assert plans.parse(days.to_toml(table), "day") == plans.build(table, "day")
        seen |= {fault["do"] for fault in table["fault"]} | {f.get("mode") for f in table["fault"]}
    assert set(plans.FAULT_TAGS) | {"split", "snapshot", "silence", "garbage"} <= seen


def test_quota_tolerance_grows_with_faults_that_hide_spent_units() -> None:
    without_hiding, split = (
        days.quota_tolerance([{"do": "kill"}]),
        days.quota_tolerance([{"do": "counter", "mode": "split"}]),
    )
    assert without_hiding == days.BASE_QUOTA_TOLERANCE < days.quota_tolerance([{"do": "limiter"}]) < split


# Shrinking


def valid_failing(fails: Any) -> shrink.FailureTest:
    """Return a test for batches of candidates: valid plans for which ``fails`` is true."""

    def run_batch(candidates: Sequence[Table]) -> list[bool]:
        results = []
        for table in candidates:
            try:
                plans.build(table, "candidate")
            except plans.PlanError:
                results.append(False)
            else:
                results.append(fails(table))
        return results

    return run_batch


@pytest.mark.parametrize("batch_size", [1, 7])
def test_day_shrinks_to_the_one_fault_that_fails(batch_size: int) -> None:
    seed = next(
        seed
        for seed in range(999)
        if {"link", "limiter"} <= {f["do"] for f in days.plan_table(seed)["fault"]}
    )

    def fails(table: Table) -> bool:
        links = [fault for fault in table["fault"] if fault["do"] == "link"]
        return bool(links) and sum(desk["customers"] for desk in table["desk"]) >= 3

    table = days.plan_table(seed)
    shrunk, tried = shrink.shrink(table, valid_failing(fails), 5000, batch_size)
    assert fails(shrunk) and tried < 5000
    assert [fault["do"] for fault in shrunk["fault"]] == ["link"] and len(shrunk["desk"]) == 1
    assert shrunk["desk"][0]["customers"] == 3 and shrunk["length_s"] < table["length_s"]
    assert shrink.count_keys(shrunk) < shrink.count_keys(table) / 2 and plans.build(shrunk, "small")
    assert all(
        not any(valid_failing(fails)([c])) for step in shrink.STEPS[1:] for c in step(shrunk)
    )  # no smaller candidate fails
    assert (shrunk, tried) == shrink.shrink(table, valid_failing(fails), 5000, batch_size)


def test_shrinking_result_does_not_depend_on_the_batch_size() -> None:
    faults = [{"do": "drain", "servers": [n], "at_s": 1.0} for n in range(4)]
    table = tiny_day(1, fault=faults)
    run_batch = valid_failing(lambda t: bool(t.get("fault")))
    results = [shrink.shrink(table, run_batch, 5000, jobs)[0] for jobs in (1, 2, 7)]
    assert results[0] == results[1] == results[2] and len(results[0]["fault"]) == 1


def test_shrinking_stops_at_its_limit_and_returns_the_day_if_no_candidate_fails() -> None:
    table = days.plan_table(3)
    assert shrink.shrink(table, lambda candidates: [False] * len(candidates), 10, 4) == (table, 10)


# The search


def tiny_day(seed: int, **overrides: Any) -> Table:
    desk = {"name": "one", "plan": "premium", "customers": 3, "units": [1, 2]}
    return {
        "title": f"tiny {seed}",
        "length_s": 4.0,
        "fleet": {"servers": 3},
        "desk": [desk],
        "fault": [],
        **overrides,
    }


def test_broken_limiter_is_found_shrunk_written_and_reproduced(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    over_quota_desk = {"name": "one", "plan": "premium", "customers": 2, "usage": 4.0, "units": [1, 2]}
    monkeypatch.setattr(days, "plan_table", lambda seed, length_s: tiny_day(seed, desk=[over_quota_desk]))
    args = ["--days", "3", "--jobs", "2", "--keep", str(tmp_path), "--shrink", "12"]
    args += ["--mutant", "lets-all-in"]
    assert explore.main(args) == explore.RULE_BROKEN
    output = capsys.readouterr().out
    (found,) = tmp_path.glob("quota-*.toml")
    assert "quota: " in output and f"hookport rehearse {found} --in whole --seed 1" in output
    table = tomllib.loads(found.read_text())
    assert shrink.count_keys(table) < shrink.count_keys(days.plan_table(1, 4.0))
    with ProcessPoolExecutor(1, initializer=explore.initialize_worker, initargs=("lets-all-in",)) as pool:
        assert "quota" in pool.submit(explore.run_day, table, 1).result().kinds
    assert explore.run_day(table, 1).kinds == ()


def test_interruption_finishes_running_days_and_prints_the_result(tmp_path: Path) -> None:
    argv = [sys.executable, "-m", "hookport", "explore", "--days", "9999", "--jobs", "2", "--length", "4"]
    argv += ["--keep", str(tmp_path)]
    explorer = subprocess.Popen(argv, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    assert explorer.stderr and b"days=9999 jobs=2" in explorer.stderr.readline()  # it is running
    explorer.send_signal(signal.SIGINT)
    out, err = explorer.communicate(timeout=60)
    assert explorer.returncode == explore.INTERRUPTED, err
    assert b"Traceback" not in err and (b"no rule was broken" in out or b"reproduce: " in out)


def test_after_a_stop_no_call_starts_and_all_started_calls_are_returned() -> None:
    started: list[int] = []

    def square(n: int) -> int:
        started.append(n)
        return n * n

    with ThreadPoolExecutor(2) as pool:
        results = list(run_parallel(pool, square, ((n,) for n in range(99)), 2, lambda: len(started) >= 5))
    assert 5 <= len(started) <= 7 and sorted(results) == [((n,), n * n) for n in sorted(started)]


def test_exception_in_the_daemon_is_a_finding_and_does_not_end_the_search(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def raise_key_error(*_: object) -> None:
        raise KeyError(7)

    monkeypatch.setattr("hookport.node.Node.attempt_ended", raise_key_error)
    result = explore.run_day(tiny_day(1), 1)
    assert result.kinds == ("error unhandled exception",) and "KeyError: 7" in result.first_breach


@pytest.mark.parametrize(
    ("args", "message"),
    [
        (["--days", "0"], "--days: 0 is less than 1"),
        (["--mutant", "nobody"], "--mutant: unknown mutant 'nobody'"),
        (["--keep", "/nowhere"], "--keep: /nowhere is not a writable folder"),
        (["evning"], "did you mean evening?"),
        (["dawn"], "limiters.kept_list"),
    ],
)
def test_invalid_arguments_are_rejected_in_one_line(
    args: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert explore.main(args) == explore.BAD_INPUT
    error_output = capsys.readouterr().err
    assert message in error_output and error_output.count("\n") == 1
