"""Saved histories: a valid file is read back, a damaged one gives a one-line error with its place."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hookport.rehearsal import command, history
from hookport.rehearsal import plan as plans

PLAN = msgspec.to_builtins(plans.load("calm"))
LINES: list[dict[str, Any]] = [
    {"e": "head", "t": 0, "form": 1, "plan": PLAN, "seed": 1, "digest": "x", "command": "c"},
    {"e": "due", "t": 5, "n": 0, "c": 0, "q": 0, "u": 1, "cu": 7, "late": 0.1},
    {"e": "ask", "t": 6, "id": "a", "n": 0, "k": 0, "l": 0, "p": 1, "d": 900},
    {"e": "ans", "t": 9, "id": "a", "n": 0, "k": 0, "how": "busy", "ms": 10},
    {"e": "end", "t": 0, "lines": 3},
]


def text(lines: list[Any]) -> bytes:
    return b"".join(json.dumps(line).encode() + b"\n" for line in lines)


def changed(number: int, **fields: Any) -> bytes:
    return text([{**line, **fields} if n == number else line for n, line in enumerate(LINES)])


def without(number: int, name: str) -> bytes:
    return text([{k: v for k, v in line.items() if n != number or k != name} for n, line in enumerate(LINES)])


GOOD = text(LINES)
DAMAGED = [
    (b"", "line 1: the file is empty"),
    (b"\n", "line 1: not JSON"),
    (b"\x00\xff\n", "line 1: not JSON"),
    (b"[]\n", "line 1: not a JSON object"),
    (GOOD[:-10], "line 5: not JSON"),
    (text(LINES[:-1]), "line 5: the end is missing"),
    (text(LINES[:1]), "line 2: the end is missing"),
    (GOOD[: GOOD.index(b'"how"')], "the file was cut off here"),
    (text([*LINES[:2], *LINES[3:]]), "line 4: lines: the end announces 3 lines, the file has 2;"),
    (text([*LINES, LINES[1]]), "line 5: data after the end"),
    (GOOD + GOOD, "data after the end"),
    (text(LINES[1:]), "line 1: e: a history begins with its head, not with 'due'"),
    (changed(0, form=2), "line 1: form: unknown version 2;"),
    (changed(0, seed="1"), "line 1: seed: missing from the head or not a whole number"),
    (without(0, "plan"), "line 1: plan: missing from the head"),
    (changed(0, plan={}), "line 1: plan: title: is missing"),
    (changed(0, plan={**PLAN, "length_s": -1}), "line 1: plan: length_s: Expected `float` >= 2"),
    (changed(1, e="do"), "line 2: e: 'do' is not a kind of line"),
    (without(1, "e"), "line 2: e: None is not a kind of line"),
    (changed(1, t="5"), "line 2: t: '5' is not a time"),
    (changed(1, t=True), "line 2: t: True is not a time"),
    (changed(1, n="0"), "line 2: n: '0' has the wrong type for a line of kind due"),
    (without(1, "cu"), "line 2: cu: missing from a line of kind due"),
    (changed(1, late=None), "line 2: late: None has the wrong type"),
    (changed(1, u=True), "line 2: u: True has the wrong type"),
    (without(2, "id"), "line 3: id: missing"),
    (changed(2, d=1.5), "line 3: d: 1.5 has the wrong type"),
    (changed(3, how=None), "line 4: how: None has the wrong type"),
    (changed(1, q=17), "its lines are inconsistent"),
    (changed(1, c=-9), "its lines are inconsistent"),
]


@pytest.mark.parametrize(("content", "message"), DAMAGED)
def test_a_damaged_history_gives_one_error_line_with_its_place(
    content: bytes, message: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "broken.jsonl"
    path.write_bytes(content)
    assert command.main(["judge", str(path)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and str(path) in lines[0] and message in lines[0]


def test_a_missing_history_file_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main(["judge", str(tmp_path / "no.jsonl")]) == 2
    assert "cannot be read: No such file" in capsys.readouterr().err


def test_a_truncated_history_is_always_rejected(tmp_path: Path) -> None:
    """A history cut off at any byte of its second half must never be judged as if it were complete."""
    path = tmp_path / "cut.jsonl"
    for size in range(len(GOOD) - 300, len(GOOD) - 1):
        path.write_bytes(GOOD[:size])
        with pytest.raises(history.HistoryError):
            history.read(path)
    path.write_bytes(GOOD)
    assert len(history.read(path)[1]) == 3


def test_merge_sorts_parts_by_time_and_makes_times_relative_to_the_start(tmp_path: Path) -> None:
    for name, times in (("a", (150, 130)), ("b", (140, 120))):
        recorder = history.Recorder(tmp_path / name)
        for t in times:
            recorder.record({"e": "fault", "t": t, "text": name})
        recorder.close()
    head = {"plan": PLAN, "seed": 1}
    history.merge(head, [tmp_path / "a", tmp_path / "b"], 100, tmp_path / "all")
    read_head, rows = history.read(tmp_path / "all")
    assert [row["t"] for row in rows] == [20, 30, 40, 50]
    assert read_head["seed"] == 1
