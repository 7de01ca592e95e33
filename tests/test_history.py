"""Kept histories: a good one is read back, a broken one is one line with its place."""

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
BROKEN = [
    (b"", "line 1: the file is empty"),
    (b"\n", "line 1: not JSON"),
    (b"\x00\xff\n", "line 1: not JSON"),
    (b"[]\n", "line 1: not an object"),
    (GOOD[:-10], "line 5: not JSON"),
    (text(LINES[:-1]), "line 5: the end is missing"),
    (text(LINES[:1]), "line 2: the end is missing"),
    (GOOD[: GOOD.index(b'"how"')], "the file was cut off here"),
    (text([*LINES[:2], *LINES[3:]]), "line 4: lines: 3 are announced, 2 are there"),
    (text([*LINES, LINES[1]]), "line 5: more follows behind the end"),
    (GOOD + GOOD, "more follows behind the end"),
    (text(LINES[1:]), "line 1: e: a history begins with its head, not with 'due'"),
    (changed(0, form=2), "line 1: form: 2 is not known"),
    (changed(0, seed="1"), "line 1: seed: is missing from the head, or no whole number"),
    (without(0, "plan"), "line 1: plan: is missing"),
    (changed(0, plan={}), "line 1: plan: title: is missing"),
    (changed(0, plan={**PLAN, "length_s": -1}), "line 1: plan: length_s: Expected `float` >= 2"),
    (changed(1, e="do"), "line 2: e: 'do' is no kind of line"),
    (without(1, "e"), "line 2: e: None is no kind of line"),
    (changed(1, t="5"), "line 2: t: '5' is no time"),
    (changed(1, t=True), "line 2: t: True is no time"),
    (changed(1, n="0"), "line 2: n: '0' is not what a line of kind due has there"),
    (without(1, "cu"), "line 2: cu: is missing from a line of kind due"),
    (changed(1, late=None), "line 2: late: None is not"),
    (changed(1, u=True), "line 2: u: True is not"),
    (without(2, "id"), "line 3: id: is missing"),
    (changed(2, d=1.5), "line 3: d: 1.5 is not"),
    (changed(3, how=None), "line 4: how: None is not"),
    (changed(1, q=17), "its lines do not belong together"),
    (changed(1, c=-9), "its lines do not belong together"),
]


@pytest.mark.parametrize(("content", "told"), BROKEN)
def test_a_broken_history_is_one_line_with_its_place(
    content: bytes, told: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "broken.jsonl"
    path.write_bytes(content)
    assert command.main(["judge", str(path)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and str(path) in lines[0] and told in lines[0]


def test_a_file_that_is_not_there_is_told(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main(["judge", str(tmp_path / "no.jsonl")]) == 2
    assert "cannot be read: No such file" in capsys.readouterr().err


def test_every_cut_of_a_history_is_noticed(tmp_path: Path) -> None:
    """Cut at every byte of its second half: never judged as if it were whole."""
    path = tmp_path / "cut.jsonl"
    for size in range(len(GOOD) - 300, len(GOOD) - 1):
        path.write_bytes(GOOD[:size])
        with pytest.raises(history.HistoryError):
            history.read(path)
    path.write_bytes(GOOD)
    assert len(history.read(path)[1]) == 3


def test_parts_are_merged_by_time_and_moved_to_the_start(tmp_path: Path) -> None:
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
