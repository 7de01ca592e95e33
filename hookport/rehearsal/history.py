"""The history of a rehearsal: JSON lines, one clock, and all that the referee may know.

The first line is the head (plan, seed, limits of the judge), the last one the end with the number of lines
between; a file without it was cut off.  Every other line has ``e`` (what happened) and ``t`` (nanoseconds of
CLOCK_MONOTONIC since the evening's start; one clock for all processes of a machine):

=========  ========================================================================================
due        a request of a customer is asked for: n (its number), c (class), q (plan), u (units),
           cu (customer); t is when it was to come, late how many ms later the kit's own loop came to it
ask        a client's try is written whole: id, n, k (try, from 0), l (limiter), p (its process),
           d (ms that it waits)
ans        how that try ended at the client: id, n, k, how (value, busy, error, closed, timeout), v (value),
           ms (advice); a try that was never written has ``how`` unsent and no ask
extra      bytes that answer nothing: l
arrive     a server has a whole command: id, s (server), l, f (its first byte), w (work, ms), a (attempt)
turned     the server turned attempt a away unseen
effect     a claim took effect at the server: id, s, a
reply      the server wrote a value v for attempt a: id
syntax     a server got what no client sent in this form: l, s, why
up, down   server s began to run (born, cores, speed, cold) or stopped (why)
fell       a cold server fell over
told       limiter l was told state of server s (by which born, at t); arrived is false if nobody listened
limiter    limiter l: what (ready, kill, term, hup, stop, cont, exit with code, gone if unasked), p
usage      limiter l: cpu_s and rss_mb so far
counts     limiter l: calls at the counter in all
words      limiter l: datagrams sent, bytes of the largest, how many came to it in its busiest second
rude       a bad client: ok (got an error or a close in time), served; l, the limiter, if it is told
fault      what the timeline did: text
excuse     until ``until``, what limiter l leaves unanswered is the doing of a fault of the plan; so are bytes
           that answer nothing and spoilt values if it is ``garbled``
lag        a loop of the kit's own was held: who, ms
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
    """A history that cannot be judged: file, line and what would do, in one line."""


class Recorder:
    """Writes one process's part of a history; the clock is CLOCK_MONOTONIC less ``start_ns``."""

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self.file: BinaryIO = open(path, "wb", buffering=BUFFER_BYTES)  # noqa: SIM115 - closed by close()
        self.encoder = msgspec.json.Encoder()
        self.lines = 0

    def record(self, row: Row) -> None:
        self.file.write(self.encoder.encode(row) + b"\n")
        self.lines += 1

    def close(self) -> None:
        self.file.close()


def rebase(row: Row, start_ns: int) -> Row:
    """The line with its times told from the evening's start on."""
    for key in ("t", "f", "until"):
        if key in row:
            row[key] -= start_ns
    return row


def merge(head: Row, parts: Iterable[Path], start_ns: int, path: Path) -> None:
    """Join the processes' parts by time into one history whose clock starts at ``start_ns``."""
    decoder = msgspec.json.Decoder(dict[str, Any])

    def rows(part: Path) -> list[tuple[int, int, Row]]:
        told = []
        with open(part, "rb") as file:
            for n, line in enumerate(file):
                row = rebase(decoder.decode(line), start_ns)
                told.append((row["t"], n, row))
        told.sort(key=lambda item: item[:2])
        return told

    out = Recorder(path)
    out.record({"e": "head", "t": 0, "form": FORMAT_VERSION, **head})
    for _, _, row in heapq.merge(*(rows(part) for part in parts), key=lambda item: item[0]):
        out.record(row)
    out.record({"e": "end", "t": 0, "lines": out.lines - 1})
    out.close()


def check(row: Row, at: str) -> None:
    """Raise HistoryError unless a line has the fields of its kind."""
    kind = row.get("e")
    if not isinstance(kind, str) or kind not in FIELDS:
        raise HistoryError(f"{at}: e: {kind!r} is no kind of line; one of {', '.join(FIELDS)} would do")
    if type(row.get("t")) is not int:
        raise HistoryError(f"{at}: t: {row.get('t')!r} is no time; whole nanoseconds would do")
    for name, form in FIELDS[kind]:
        if name not in row:
            raise HistoryError(f"{at}: {name}: is missing from a line of kind {kind}")
        value = row[name]
        if not isinstance(value, form) or (isinstance(value, bool) and form is not bool):
            raise HistoryError(f"{at}: {name}: {value!r:.40} is not what a line of kind {kind} has there")


def read(path: str | os.PathLike[str]) -> tuple[Row, list[Row]]:
    """The head and the lines of a kept history, all checked; raises HistoryError."""
    decoder = msgspec.json.Decoder()
    head: Row | None = None
    rows: list[Row] = []
    try:
        with open(path, "rb") as file:
            for number, line in enumerate(file, 1):
                at = f"{path}: line {number}"
                try:
                    row = decoder.decode(line)
                except (msgspec.DecodeError, UnicodeDecodeError) as error:
                    cut = "" if line.endswith(b"\n") else "; the file was cut off here"
                    raise HistoryError(f"{at}: not JSON ({error}){cut}") from error
                if not isinstance(row, dict):
                    raise HistoryError(f"{at}: not an object of names and values")
                if head is None:
                    head = read_head(row, at)
                elif row.get("e") == "end":
                    if row.get("lines") != len(rows):
                        raise HistoryError(
                            f"{at}: lines: {row.get('lines')!r} are announced, {len(rows)} are there; "
                            "lines were lost or added: take the file as it was written"
                        )
                    if file.read(1):
                        raise HistoryError(f"{at}: more follows behind the end: two histories in one file?")
                    return head, rows
                else:
                    check(row, at)
                    rows.append(row)
    except OSError as error:
        raise HistoryError(f"{path}: cannot be read: {error.strerror}") from error
    if head is None:
        raise HistoryError(f"{path}: line 1: the file is empty; a history begins with its head")
    raise HistoryError(
        f"{path}: line {len(rows) + 2}: the end is missing: the file was cut off; "
        "play it again or take it whole"
    )


def read_head(row: Row, at: str) -> Row:
    if row.get("e") != "head":
        raise HistoryError(f"{at}: e: a history begins with its head, not with {row.get('e')!r}")
    if row.get("form") != FORMAT_VERSION:
        raise HistoryError(
            f"{at}: form: {row.get('form')!r} is not known; this build reads form {FORMAT_VERSION}"
        )
    if not isinstance(row.get("plan"), dict):
        raise HistoryError(f"{at}: plan: is missing from the head")
    if type(row.get("seed")) is not int:
        raise HistoryError(f"{at}: seed: is missing from the head, or no whole number")
    return row


def of_kind(rows: Iterable[Row], *kinds: str) -> Iterator[Row]:
    return (row for row in rows if row["e"] in kinds)
