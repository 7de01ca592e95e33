"""RESP2: what clients ask, what goes on to servers, and the answers' forms."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import hiredis

from aniseshed.interface import Repeat, TrafficClass
from hookport.config import Names

LARGEST_VALUE = 64 * 1024
LARGEST_MESSAGE = 512 * 1024  # bytes that may wait for the end of a message: some reads' worth
LONGEST_WAIT_MS = 3_600_000
OK, PONG = b"+OK\r\n", b"+PONG\r\n"
BROKEN = (hiredis.HiredisError, MemoryError)  # what the parser raises on a stream that is no RESP


class CommandError(Exception):
    """The command is malformed; the text is for the client."""


@dataclass(slots=True, frozen=True)
class Command:
    """A client's request, as written and as understood."""

    words: Sequence[bytes]
    before: bytes  # of the list of names and values: what stands before and after the wait
    after: bytes
    index: int
    plan: int
    customer: int
    wait_ms: int
    units: float
    spread: float
    first: float
    repeated: bool

    def forward(self, wait_ms: int) -> bytes:
        """The same for a server, with how long the limiter will wait."""
        verb, customer, request_id, _, *body = self.words
        fields = b"%sd=%d%s" % (self.before, wait_ms, self.after)
        return pack((verb, customer, request_id, fields, *body))


def pack(words: tuple[bytes, ...]) -> bytes:
    packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type,no-untyped-call,unused-ignore]
    return packed


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(value), value)


def error(text: str) -> bytes:
    return b"-ERR %s\r\n" % text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")[:120]


def busy(retry_after_ns: int) -> bytes:
    return b"-BUSY %d\r\n" % -(-retry_after_ns // 1_000_000) if retry_after_ns > 0 else b"-BUSY\r\n"


def number(fields: dict[bytes, bytes], name: bytes, default: float, least: float) -> float:
    try:
        value = float(fields[name]) if name in fields else default
    except ValueError:
        raise CommandError(f"{name.decode()} is not a number") from None
    if not math.isfinite(value) or value < least:
        raise CommandError(f"{name.decode()} is out of range")
    return value


def parse(words: Sequence[object], names: Names, classes: Sequence[TrafficClass]) -> Command:
    """Read SVC.QUERY and SVC.SUBMIT; anything a server would not take raises CommandError."""
    texts = [word for word in words if isinstance(word, bytes)]
    submit = texts[0].upper() == b"SVC.SUBMIT"
    if len(texts) != len(words) or len(texts) != 4 + submit:
        raise CommandError("wrong number of arguments")
    _, customer, request_id, listed = texts[:4]
    try:
        key = int(customer, 16) if len(customer) == 16 and customer.isalnum() else -1
    except ValueError:
        key = -1
    if not 0 <= key < 1 << 33:
        raise CommandError("the customer is not 16 hex digits below 2^33")
    if not 0 < len(request_id) <= 64 or len(listed) > 1024 or len(texts[-1]) > LARGEST_VALUE:
        raise CommandError("an argument is too long or empty")
    fields: dict[bytes, bytes] = {}
    for item in listed.split(b","):
        name, equals, value = item.partition(b"=")
        if not equals or name in fields:
            raise CommandError("the list is not names and values")
        fields[name] = value
    index, plan = names.classes.get(fields.get(b"c", b"")), names.plans.get(fields.get(b"t", b""))
    if index is None or plan is None:
        raise CommandError("unknown class or plan")
    if submit == (classes[index].repeat is Repeat.SAFE):
        raise CommandError("wrong command for the class")
    wait = fields.get(b"d", b"")
    if not wait.isdigit() or not 0 < int(wait[:9]) <= LONGEST_WAIT_MS or len(wait) > 9:
        raise CommandError("d is not a number of milliseconds")
    before, _, after = (b"," + listed).partition(b",d=" + wait)
    return Command(
        words=texts,
        before=(before + b",")[1:],
        after=after,
        index=index,
        plan=plan,
        customer=key,
        wait_ms=int(wait),
        units=number(fields, b"units", 1.0, 0.0),
        spread=number(fields, b"spread", 1.0, 1.0),
        first=number(fields, b"first", 0.0, 0.0),
        repeated=fields.get(b"r") == b"1",
    )
