"""Traces one request through a history: all rows about it, in order of time."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from hookport.rehearsal import draw
from hookport.rehearsal.history import Row


class TraceError(Exception):
    """The request was not found; the message is one line."""


def rows_of_request(rows: Iterable[Row], seed: int, request: str) -> list[Row]:
    """Return the rows of a request, given its number or the id of one of its attempts; raises TraceError.

    Faults, and events of the servers and limiters involved, are included while the request was open."""
    history = list(rows)
    number = int(request) if request.isdigit() and len(request) < 16 else None
    if number is None:
        decoded = draw.decode_request_id(seed, request)
        if decoded is None:
            raise TraceError(f"--trace: {request}: not a request number or an attempt id of seed {seed}")
        number = decoded[0]
    ids = {row["id"] for row in history if row["e"] == "ask" and row["n"] == number}
    request_rows = [row for row in history if row.get("n") == number or row.get("id") in ids]
    if not request_rows:
        raise TraceError(f"--trace: {request}: no such request in this history")
    from_ns, until_ns = min(row["t"] for row in request_rows), max(row["t"] for row in request_rows)
    servers_and_limiters = (
        {row["s"] for row in request_rows if "s" in row},
        {row["l"] for row in request_rows if "l" in row},
    )
    attempts = {row["a"] for row in request_rows if "a" in row}
    related = [
        row
        for row in history
        if from_ns <= row["t"] <= until_ns
        and (
            row["e"] == "fault"
            or (row["e"] in ("down", "up", "fell", "told") and row["s"] in servers_and_limiters[0])
            or (row["e"] in ("limiter", "excuse") and row["l"] in servers_and_limiters[1])
            or (row["e"] == "turned" and row["a"] in attempts)
        )
        and row not in request_rows
    ]
    return sorted(request_rows + related, key=lambda row: int(row["t"]))


def format_rows(rows: Iterable[Row]) -> Iterator[str]:
    """Format each row as a line: seconds since the start of the run, kind of event, and its fields."""
    for row in rows:
        fields = " ".join(f"{key}={value}" for key, value in row.items() if key not in ("e", "t", "f"))
        yield f"{row['t'] / 1e9:10.6f} s  {row['e']:8}{fields}"
