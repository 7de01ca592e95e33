"""Drawn days, the search on them, and shrinking: what broke once is played again, in the whole depth."""

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
def test_what_exploring_found_once_is_well(path: Path) -> None:
    told = tomllib.loads(path.read_text())
    seed = int(told["title"].split(":")[0].removeprefix("seed "))
    played = explore.play(told, seed)
    assert played.kinds == (), played.first


# Days


def test_every_day_is_a_plan_and_the_same_one_each_time_and_as_a_file() -> None:
    seen = set()
    for seed in range(300):
        told = days.table(seed)
        assert told == days.table(seed)
        assert plans.parse(days.written(told), "day") == plans.build(told, "day")
        seen |= {fault["do"] for fault in told["fault"]} | {f.get("mode") for f in told["fault"]}
    assert set(plans.FAULT_TAGS) | {"split", "snapshot", "silence", "garbage"} <= seen


def test_what_a_quota_may_be_passed_by_grows_with_what_hides_spends() -> None:
    calm, split = days.allowed_over([{"do": "kill"}]), days.allowed_over([{"do": "counter", "mode": "split"}])
    assert calm == days.QUOTA_OVER < days.allowed_over([{"do": "limiter"}]) < split


# Shrinking


def all_of(breaks: Any) -> shrink.Breaks:
    """Candidates that are plans at all, and that ``breaks``."""

    def ask(candidates: Sequence[Table]) -> list[bool]:
        verdicts = []
        for told in candidates:
            try:
                plans.build(told, "candidate")
            except plans.PlanError:
                verdicts.append(False)
            else:
                verdicts.append(breaks(told))
        return verdicts

    return ask


@pytest.mark.parametrize("at_once", [1, 7])
def test_a_day_shrinks_to_the_one_trouble_that_breaks_it(at_once: int) -> None:
    seed = next(
        seed for seed in range(999) if {"link", "limiter"} <= {f["do"] for f in days.table(seed)["fault"]}
    )

    def breaks(told: Table) -> bool:
        links = [fault for fault in told["fault"] if fault["do"] == "link"]
        return bool(links) and sum(desk["customers"] for desk in told["desk"]) >= 3

    told = days.table(seed)
    small, asked = shrink.shrink(told, all_of(breaks), 5000, at_once)
    assert breaks(small) and asked < 5000
    assert [fault["do"] for fault in small["fault"]] == ["link"] and len(small["desk"]) == 1
    assert small["desk"][0]["customers"] == 3 and small["length_s"] < told["length_s"]
    assert shrink.weight(small) < shrink.weight(told) / 2 and plans.build(small, "small")
    assert all(
        not any(all_of(breaks)([c])) for step in shrink.STEPS[1:] for c in step(small)
    )  # nothing less does
    assert (small, asked) == shrink.shrink(told, all_of(breaks), 5000, at_once)


def test_what_remains_does_not_hang_on_how_many_are_asked_at_once() -> None:
    faults = [{"do": "drain", "servers": [n], "at_s": 1.0} for n in range(4)]
    told = tiny(1, fault=faults)
    ask = all_of(lambda t: bool(t.get("fault")))
    results = [shrink.shrink(told, ask, 5000, jobs)[0] for jobs in (1, 2, 7)]
    assert results[0] == results[1] == results[2] and len(results[0]["fault"]) == 1


def test_shrinking_stops_at_its_most_and_leaves_a_day_that_nothing_less_breaks() -> None:
    told = days.table(3)
    assert shrink.shrink(told, lambda candidates: [False] * len(candidates), 10, 4) == (told, 10)


# The search


def tiny(seed: int, **more: Any) -> Table:
    desk = {"name": "one", "plan": "premium", "customers": 3, "units": [1, 2]}
    return {
        "title": f"tiny {seed}",
        "length_s": 4.0,
        "fleet": {"servers": 3},
        "desk": [desk],
        "fault": [],
        **more,
    }


def test_a_broken_limiter_is_found_shrunk_written_and_found_again(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    greedy = {"name": "one", "plan": "premium", "customers": 2, "usage": 4.0, "units": [1, 2]}
    monkeypatch.setattr(days, "table", lambda seed, length_s: tiny(seed, desk=[greedy]))
    words = ["--days", "3", "--jobs", "2", "--keep", str(tmp_path), "--shrink", "12"]
    words += ["--mutant", "lets-all-in"]
    assert explore.main(words) == explore.BROKEN
    out = capsys.readouterr().out
    (found,) = tmp_path.glob("quota-*.toml")
    assert "quota: " in out and f"hookport rehearse {found} --in whole --seed 1" in out
    told = tomllib.loads(found.read_text())
    assert shrink.weight(told) < shrink.weight(days.table(1, 4.0))
    with ProcessPoolExecutor(1, initializer=explore.harmed, initargs=("lets-all-in",)) as pool:
        assert "quota" in pool.submit(explore.play, told, 1).result().kinds
    assert explore.play(told, 1).kinds == ()


def test_an_interruption_lets_what_is_in_play_end_and_tells_it(tmp_path: Path) -> None:
    words = [sys.executable, "-m", "hookport", "explore", "--days", "9999", "--jobs", "2", "--length", "4"]
    words += ["--keep", str(tmp_path)]
    explorer = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    assert explorer.stderr and b"days=9999 jobs=2" in explorer.stderr.readline()  # it plays
    explorer.send_signal(signal.SIGINT)
    out, err = explorer.communicate(timeout=60)
    assert explorer.returncode == explore.INTERRUPTED, err
    assert b"Traceback" not in err and (b"no rule was broken" in out or b"again: " in out)


def test_none_is_begun_after_a_stop_and_all_that_was_begun_is_told() -> None:
    begun: list[int] = []

    def call(n: int) -> int:
        begun.append(n)
        return n * n

    with ThreadPoolExecutor(2) as pool:
        told = list(run_parallel(pool, call, ((n,) for n in range(99)), 2, lambda: len(begun) >= 5))
    assert 5 <= len(begun) <= 7 and sorted(told) == [((n,), n * n) for n in sorted(begun)]


def test_an_error_in_the_code_is_a_finding_and_not_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(*_: object) -> None:
        raise KeyError(7)

    monkeypatch.setattr("hookport.node.Node.attempt_ended", fails)
    played = explore.play(tiny(1), 1)
    assert played.kinds == ("error an exception that no code caught",) and "KeyError: 7" in played.first


@pytest.mark.parametrize(
    ("words", "what"),
    [
        (["--days", "0"], "--days: 0 is less than 1"),
        (["--mutant", "nobody"], "--mutant: no mutant 'nobody'"),
        (["--keep", "/nowhere"], "--keep: /nowhere is no folder"),
        (["evning"], "did you mean evening?"),
        (["dawn"], "limiters.kept_list"),
    ],
)
def test_bad_words_are_one_line(words: list[str], what: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert explore.main(words) == explore.BAD_INPUT
    told = capsys.readouterr().err
    assert what in told and told.count("\n") == 1
