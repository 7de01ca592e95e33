"""The history of a rehearsal run: JSON lines on one clock, and the referee's only input.

The first line is the head (plan, seed, limits of the judge), the last one the end with the number of lines
between them; a file without the end was cut off.  Every other line has ``e`` (the kind of event) and ``t``
(nanoseconds of CLOCK_MONOTONIC since the start of the run; all processes of a machine share this clock):

=========  ========================================================================================
due        a customer's request is due: n (its number), c (class), q (plan), u (units), cu (customer);
           t is the scheduled time, late the delay in ms with which the test harness started it
ask        a client has written an attempt completely: id, n, k (attempt, from 0), l (limiter), p (its
           process), d (ms that the client waits)
ans        how that attempt ended at the client: id, n, k, how (value, busy, error, closed, timeout),
           v (value), ms (retry-after); an attempt that was never written has ``how`` unsent and no ask
extra      bytes from limiter l that answer no request: l
arrive     a server has received a complete command: id, s (server), l, f (time of its first byte), w (work,
           ms), a (number of the server attempt)
turned     the server rejected attempt a without executing it
effect     a claim took effect at the server: id, s, a
reply      the server wrote a value v for attempt a: id
syntax     a server received a command in a form that no client sent: l, s, why
up, down   server s started (born, cores, speed, cold) or stopped (why)
fell       a cold server collapsed under overload
told       limiter l was sent the state of server s (started at born) at t; arrived is false if the limiter
           was not listening
limiter    limiter l: what (ready, kill, term, hup, stop, cont, exit with code, gone if unexpected), p
usage      limiter l: cpu_s and rss_mb so far
counts     limiter l: total number of its calls at the counter
words      limiter l: datagrams sent, size in bytes of the largest, datagrams received in its busiest second
rude       a client sent a malformed request: ok (it got an error or a close in time), served; l (limiter, if
           known)
fault      an event of the plan's timeline: text
excuse     until ``until``, requests that limiter l leaves unanswered are attributed to a fault of the plan;
           with ``garbled`` also unsolicited bytes and corrupted values
lag        an event loop of the test harness was blocked: who, ms
=========  ========================================================================================
"""

from __future__ import annotations

import heapq
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

FORMAT_VERSION = 1
BUFFER_BYTES = 1 << 16
Row = dict[str, Any]

FIELDS: dict[str, tuple[tuple[str, type | tuple[type, ...]], ...]] = {
    "due": (("n", int), ("c", int), ("q", int), ("u", int), ("cu", int), ("late", (int, float))),
    "ask": (("id", str), ("n", int), ("k", int), ("l", int), ("p", int), ("d", int)),
    "ans": (("id", str), ("n", int), ("k", int), ("how", str)),
    "extra": (("l", int),),
    "arrive": (("id", str), ("s", str), ("l", int), ("f", int), ("w", (int, float)), ("a", int)),
    "turned": (("id", str), ("a", int)),
    "effect": (("id", str), ("s", str), ("a", int)),
    "reply": (("id", str), ("v", str), ("a", int)),
    "syntax": (("l", int), ("s", str), ("why", str)),
    "up": (("s", str), ("born", int), ("cores", int), ("speed", (int, float)), ("cold", bool), ("i", int)),
    "down": (("s", str), ("why", str), ("i", int)),
    "fell": (("s", str),),
    "told": (("l", int), ("s", str), ("state", str), ("born", int), ("arrived", bool)),
    "limiter": (("l", int), ("what", str)),
    "usage": (("l", int), ("cpu_s", (int, float)), ("rss_mb", (int, float))),
    "counts": (("l", int), ("calls", int)),
    "words": (("l", int), ("sent", int), ("largest", int), ("busiest", int)),
    "rude": (("ok", bool), ("served", bool)),
    "fault": (("text", str),),
    "excuse": (("l", int), ("until", int)),
    "lag": (("who", str), ("ms", (int, float))),
}  # fmt: skip


class HistoryError(Exception):
    """A history that cannot be judged; the message is one line with file, line, fault and remedy."""


class Recorder:
    """Writes one process's part of a history, with the times that the rows carry."""

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self.file: BinaryIO = open(path, "wb", buffering=BUFFER_BYTES)  # noqa: SIM115 - closed by close()
        self.encoder = msgspec.json.Encoder()
        self.line_count = 0

    def record(self, row: Row) -> None:
        self.file.write(self.encoder.encode(row) + b"\n")
        self.line_count += 1

    def close(self) -> None:
        self.file.close()


def rebase(row: Row, start_ns: int) -> Row:
    """Make the row's times relative to the start of the run; changes the row in place and returns it."""
    for key in ("t", "f", "until"):
        if key in row:
            row[key] -= start_ns
    return row


def merge(head: Row, parts: Iterable[Path], start_ns: int, path: Path) -> None:
    """Merge the parts of all processes by time into one history whose clock starts at ``start_ns``."""
    decoder = msgspec.json.Decoder(dict[str, Any])

    def sorted_rows(part: Path) -> list[tuple[int, int, Row]]:
        result = []
        with open(part, "rb") as file:
            for n, line in enumerate(file):
                row = rebase(decoder.decode(line), start_ns)
                result.append((row["t"], n, row))
        result.sort(key=lambda item: item[:2])
        return result

    out = Recorder(path)
    out.record({"e": "head", "t": 0, "form": FORMAT_VERSION, **head})
    for _, _, row in heapq.merge(*(sorted_rows(part) for part in parts), key=lambda item: item[0]):
        out.record(row)
    out.record({"e": "end", "t": 0, "lines": out.line_count - 1})
    out.close()


def check_row(row: Row, place: str) -> None:
    """Raise HistoryError unless the row has all fields of its kind, with the right types."""
    kind = row.get("e")
    if not isinstance(kind, str) or kind not in FIELDS:
        raise HistoryError(f"{place}: e: {kind!r} is not a kind of line; expected one of {', '.join(FIELDS)}")
    if type(row.get("t")) is not int:
        raise HistoryError(f"{place}: t: {row.get('t')!r} is not a time; expected whole nanoseconds")
    for name, expected in FIELDS[kind]:
        if name not in row:
            raise HistoryError(f"{place}: {name}: missing from a line of kind {kind}")
        value = row[name]
        if not isinstance(value, expected) or (isinstance(value, bool) and expected is not bool):
            raise HistoryError(f"{place}: {name}: {value!r:.40} has the wrong type for a line of kind {kind}")


def read(path: str | os.PathLike[str]) -> tuple[Row, list[Row]]:
    """Read and check a saved history; returns its head and its rows, raises HistoryError."""
    decoder = msgspec.json.Decoder()
    head: Row | None = None
    rows: list[Row] = []
    try:
        with open(path, "rb") as file:
            for number, line in enumerate(file, 1):
                place = f"{path}: line {number}"
                try:
                    row = decoder.decode(line)
                except (msgspec.DecodeError, UnicodeDecodeError) as error:
                    cut = "" if line.endswith(b"\n") else "; the file was cut off here"
                    raise HistoryError(f"{place}: not JSON ({error}){cut}") from error
                if not isinstance(row, dict):
                    raise HistoryError(f"{place}: not a JSON object")
                if head is None:
                    head = read_head(row, place)
                elif row.get("e") == "end":
                    if row.get("lines") != len(rows):
                        raise HistoryError(
                            f"{place}: lines: the end announces {row.get('lines')!r} lines, "
                            f"the file has {len(rows)}; lines were lost or added: "
                            "use the file as it was written"
                        )
                    if file.read(1):
                        raise HistoryError(f"{place}: data after the end: two histories in one file?")
                    return head, rows
                else:
                    check_row(row, place)
                    rows.append(row)
    except OSError as error:
        raise HistoryError(f"{path}: cannot be read: {error.strerror}") from error
    if head is None:
        raise HistoryError(f"{path}: line 1: the file is empty; a history begins with its head")
    raise HistoryError(
        f"{path}: line {len(rows) + 2}: the end is missing: the file was cut off; "
        "repeat the run or use the complete file"
    )


def read_head(row: Row, place: str) -> Row:
    if row.get("e") != "head":
        raise HistoryError(f"{place}: e: a history begins with its head, not with {row.get('e')!r}")
    if row.get("form") != FORMAT_VERSION:
        raise HistoryError(
            f"{place}: form: unknown version {row.get('form')!r}; this build reads version {FORMAT_VERSION}"
        )
    if not isinstance(row.get("plan"), dict):
        raise HistoryError(f"{place}: plan: missing from the head")
    if type(row.get("seed")) is not int:
        raise HistoryError(f"{place}: seed: missing from the head or not a whole number")
    return row


def rows_of_kind(rows: Iterable[Row], *kinds: str) -> Iterator[Row]:
    return (row for row in rows if row["e"] in kinds)
