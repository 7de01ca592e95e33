"""RESP2: what clients ask, what goes on to servers, and the answers' forms."""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

import hiredis

from aniseshed.interface import Repeat, TrafficClass
from hookport.config import Names

LARGEST_VALUE = 64 * 1024
LARGEST_MESSAGE = 512 * 1024  # bytes that may wait for the end of a message: some reads' worth
LONGEST_WAIT_MS = 3_600_000
MOST_CUSTOMERS = 1 << 33
FIELDS_KEPT = 4096
REQUEST_ID = re.compile(rb"[0-9A-Za-z_-]{1,64}").fullmatch
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
WAIT = re.compile(rb"(|.*,)d=([0-9]{1,9})(|,.*)", re.S).fullmatch
OK, PONG = b"+OK\r\n", b"+PONG\r\n"
BROKEN = (hiredis.HiredisError, MemoryError)  # what the parser raises on a stream that is no RESP


class CommandError(Exception):
    """The command is malformed; the text is for the client."""


@dataclass(slots=True, frozen=True)
class Fields:
    """The list of names and values, but for the wait."""

    index: int
    plan: int
    units: float
    spread: float
    first: float
    repeated: bool


@dataclass(slots=True)
class Command:
    """A client's request, as written and as understood."""

    words: Sequence[bytes]
    before: bytes  # of the list: what stands before and after the wait
    after: bytes
    customer: int
    wait_ms: int
    fields: Fields

    def forward(self, wait_ms: int) -> bytes:
        """The same for a server, with how long the limiter will wait."""
        verb, customer, request_id, _, *body = self.words
        listed = b"%sd=%d%s" % (self.before, wait_ms, self.after)
        return pack((verb, customer, request_id, listed, *body))


def pack(words: tuple[bytes, ...]) -> bytes:
    packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type,no-untyped-call,unused-ignore]
    return packed


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(value), value)


def error(text: str) -> bytes:
    return b"-ERR %s\r\n" % text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")[:120]


def busy(retry_after_ns: int) -> bytes:
    return b"-BUSY %d\r\n" % -(-retry_after_ns // 1_000_000) if retry_after_ns > 0 else b"-BUSY\r\n"


def units_of(text: bytes) -> float:
    try:
        units = float(text)
    except ValueError:
        units = math.nan
    if not 0 < units < math.inf:
        raise CommandError("units is not a number above 0")
    return units


def whole(fields: dict[bytes, bytes], name: bytes, least: int) -> float:
    """A whole number; one that is not told is the least."""
    text = fields.get(name, b"%d" % least)
    if not text.isdigit() or len(text) > 9 or int(text) < least:
        raise CommandError(f"{name.decode()} is not a whole number from {least}")
    return float(text)


class Grammar:
    """Reads SVC.QUERY and SVC.SUBMIT; anything that a server would not take raises CommandError."""

    def __init__(self, names: Names, classes: Sequence[TrafficClass]) -> None:
        self.names, self.classes = names, classes
        # Few lists differ by more than the wait: what they mean is looked up, which saves most of the work.
        self.fields = lru_cache(FIELDS_KEPT)(self.read_fields)

    def parse(self, words: Sequence[object]) -> Command:
        texts = [word for word in words if isinstance(word, bytes)]
        submit = texts[0].upper() == b"SVC.SUBMIT"
        if len(texts) != len(words) or len(texts) != 4 + submit:
            raise CommandError("wrong number of arguments")
        _, customer, request_id, listed = texts[:4]
        key = int(customer, 16) if CUSTOMER(customer) else MOST_CUSTOMERS
        if key >= MOST_CUSTOMERS:
            raise CommandError("the customer is not 16 hex digits below 2^33")
        if not REQUEST_ID(request_id):
            raise CommandError("the id is not 1 to 64 letters, digits, - or _")
        if len(listed) > 1024 or len(texts[-1]) > LARGEST_VALUE:
            raise CommandError("an argument is too long")
        if not (split := WAIT(listed)) or not 0 < (wait_ms := int(split[2])) <= LONGEST_WAIT_MS:
            raise CommandError("d is not a number of milliseconds")
        before, after = split[1], split[3]
        fields = self.fields(submit, before + after[1:] if after else before[:-1])
        return Command(texts, before, after, key, wait_ms, fields)

    def read_fields(self, submit: bool, listed: bytes) -> Fields:
        fields: dict[bytes, bytes] = {}
        for item in listed.split(b","):
            name, equals, value = item.partition(b"=")
            if not equals or name in fields or name == b"d":
                raise CommandError("the list is not names and values")
            fields[name] = value
        index = self.names.classes.get(fields.get(b"c", b""))
        plan = self.names.plans.get(fields.get(b"t", b""))
        if index is None or plan is None:
            raise CommandError("unknown class or plan")
        if submit == (self.classes[index].repeat is Repeat.SAFE):
            raise CommandError("wrong command for the class")
        return Fields(
            index=index,
            plan=plan,
            units=units_of(fields.get(b"units", b"1")),
            spread=whole(fields, b"spread", 1),
            first=whole(fields, b"first", 0),
            repeated=fields.get(b"r") == b"1",
        )
