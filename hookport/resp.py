"""RESP2: what clients ask, what goes on to servers, and the answers' forms."""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Literal

import hiredis

from aniseshed.interface import Idempotency, Request, RequestMode, Settings
from hookport.config import Names

LARGEST_VALUE = 64 * 1024
LARGEST_ANSWER = 1 << 20  # servers' values may be larger than what clients send: some have 400 KB
LONGEST_LINE = 512  # bytes of a line, or of a length
LONGEST_WAITS = 2  # times its class's deadline: no client waits longer
MOST_CUSTOMERS = 1 << 33
FIELDS_KEPT = 1024
REQUEST_ID = re.compile(rb"[0-9A-Za-z_-]{1,64}").fullmatch
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
WAIT = re.compile(rb"(|.*,)d=([0-9]{1,9})(|,.*)", re.S).fullmatch
UNITS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch
HEAD = re.compile(rb"([*$:+-])([^\r\n]{0,%d})\r\n" % LONGEST_LINE).match
LENGTH = re.compile(rb"[0-9]{1,9}|-1").fullmatch
OK, PONG = b"+OK\r\n", b"+PONG\r\n"


class StreamError(Exception):
    """The stream is no RESP2 as it is spoken here; nothing behind this place can be read."""


@dataclass(slots=True, frozen=True)
class Line:
    """A line that is no value: ``kind`` is its first byte, as a minus for an error."""

    kind: bytes
    text: bytes


Element = bytes | Line | None
Reply = Element | list[Element]


class Reader:
    """Messages from a stream of bytes: lines, bulk strings, and flat arrays of these.

    Guards against what a length announces costing anything before its bytes are there: hiredis makes an
    array as long as its header says, and one of ``*1000000000`` takes a second of CPU to be let go."""

    __slots__ = ("at", "data", "largest", "most")

    def __init__(self, most: int, largest: int = LARGEST_VALUE) -> None:
        self.data, self.at = b"", 0
        self.most, self.largest = most, largest  # elements in an array, bytes in a value

    def feed(self, data: bytes) -> None:
        self.data, self.at = (self.data[self.at :] + data if self.waiting() else data), 0

    def waiting(self) -> bool:
        """Whether something is left that was not handed out."""
        return self.at < len(self.data)

    def gets(self) -> Reply | Literal[False]:
        """The next message, or False until it is whole; raises StreamError."""
        if not self.waiting() or (head := self.head(self.at)) is None:
            return False
        kind, text, at = head
        if kind != b"*":
            reply: Reply
            if (element := self.element(kind, text, at)) is None:
                return False
            reply, at = element
            return self.whole(reply, at)
        if (count := length(text)) > self.most:
            raise StreamError("an array that is too long")
        items: list[Element] = []
        for _ in range(count):
            if (head := self.head(at)) is None or (element := self.element(*head)) is None:
                return False
            item, at = element
            items.append(item)
        return self.whole(items if count >= 0 else None, at)

    def whole(self, reply: Reply, at: int) -> Reply:
        if at < len(self.data):
            self.at = at
        else:
            self.data, self.at = b"", 0  # an idle connection keeps nothing of what it last said
        return reply

    def head(self, at: int) -> tuple[bytes, bytes, int] | None:
        """The kind and the text of the line that begins there, and where the next byte is."""
        if found := HEAD(self.data, at):
            return found[1], found[2], found.end()
        left = len(self.data) - at
        if left and (self.data[at] not in b"*$:+-" or left > LONGEST_LINE + 2 or b"\n" in self.data[at:]):
            raise StreamError("a line of no known form")
        return None

    def element(self, kind: bytes, text: bytes, at: int) -> tuple[Element, int] | None:
        """What that line begins, and where the next byte is."""
        if kind == b"*":
            raise StreamError("an array in an array")
        if kind != b"$":
            return Line(kind, text), at
        if (size := length(text)) < 0:
            return None, at
        if size > self.largest:
            raise StreamError("a value that is too long")
        end = at + size
        if self.data[end : end + 2] == b"\r\n":
            return self.data[at:end], end + 2
        if len(self.data) >= end + 2:
            raise StreamError("a value that does not end where it should")
        return None


def length(text: bytes) -> int:
    if not LENGTH(text):
        raise StreamError("a length that is none")
    return int(text)


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

    @property
    def request_id(self) -> bytes:
        return self.words[2]

    def request(self, request_id: int, patience_ns: int, ask: RequestMode = RequestMode.FORWARD) -> Request:
        """The event that tells the module of it."""
        fields = self.fields
        return Request(
            request_id=request_id,
            traffic_class=fields.index,
            plan=fields.plan,
            customer=self.customer,
            timeout_ns=patience_ns,
            units=fields.units,
            set_size=fields.spread,
            set_start=fields.first,
            is_retry=fields.repeated,
            mode=ask,
        )

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


def units_of(text: bytes, most: float) -> float:
    """Guards against amounts that would put a customer's next ticket out of reach."""
    units = float(text) if UNITS(text) else 0.0
    if not 0 < units <= most:
        raise CommandError("units is not a number above 0, or more than a request takes")
    return units


def whole(fields: dict[bytes, bytes], name: bytes, least: int, most: int) -> float:
    """A whole number; one that is not told is the least."""
    text = fields.get(name, b"%d" % least)
    if not text.isdigit() or len(text) > 9 or not least <= int(text) <= most:
        raise CommandError(f"{name.decode()} is not a whole number from {least} to {most}")
    return float(text)


class Grammar:
    """Reads SVC.QUERY and SVC.SUBMIT; anything that a server would not take raises CommandError."""

    def __init__(self, names: Names, settings: Settings) -> None:
        self.names, self.classes = names, settings.classes
        self.limiters, self.most_units = max(1, settings.limiters), settings.largest_units or math.inf
        # Few lists differ by more than the wait: what they mean is looked up, which saves most of the work.
        self.fields = lru_cache(FIELDS_KEPT)(self.read_fields)

    def parse(self, words: Sequence[object]) -> Command:
        texts = [word for word in words if isinstance(word, bytes)]
        submit = texts[0].upper() == b"SVC.SUBMIT"
        if len(texts) != len(words) or len(texts) != 4 + submit:
            raise CommandError("wrong number of arguments")
        return self.read(texts, submit)

    def ask(self, words: Sequence[bytes]) -> Command:
        """A question about a quota: the same of any class; without ``d`` its ``wait_ms`` is 0."""
        if len(words) != 4:
            raise CommandError("wrong number of arguments")
        return self.read(words, None)

    def read(self, texts: Sequence[bytes], submit: bool | None) -> Command:
        _, customer, request_id, listed = texts[:4]
        key = int(customer, 16) if CUSTOMER(customer) else MOST_CUSTOMERS
        if key >= MOST_CUSTOMERS:
            raise CommandError("the customer is not 16 hex digits below 2^33")
        if not REQUEST_ID(request_id):
            raise CommandError("the id is not 1 to 64 letters, digits, - or _")
        if len(listed) > 1024 or len(texts[-1]) > LARGEST_VALUE:
            raise CommandError("an argument is too long")
        if not (split := WAIT(listed)) and submit is None:
            return Command(texts, listed, b"", key, 0, self.fields(submit, listed))
        if not split:
            raise CommandError("d is not a number of milliseconds")
        wait_ms, before, after = int(split[2]), split[1], split[3]
        fields = self.fields(submit, before + after[1:] if after else before[:-1])
        if not 0 < wait_ms * 1_000_000 <= LONGEST_WAITS * self.classes[fields.index].deadline_ns:
            raise CommandError("d is not a time for which a client of that class waits")
        return Command(texts, before, after, key, wait_ms, fields)

    def read_fields(self, submit: bool | None, listed: bytes) -> Fields:
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
        if submit == (self.classes[index].idempotency is Idempotency.SAFE):
            raise CommandError("wrong command for the class")
        return Fields(
            index=index,
            plan=plan,
            units=units_of(fields.get(b"units", b"1"), self.most_units),
            spread=whole(fields, b"spread", 1, self.limiters),
            first=whole(fields, b"first", 0, self.limiters - 1),
            repeated=fields.get(b"r") == b"1",
        )
