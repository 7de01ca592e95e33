"""RESP2 codec: parses client commands, encodes forwarded commands, and formats replies."""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Literal

import hiredis

from aniseshed.interface import Idempotency, Request, RequestMode, Settings
from hookport.config import NameIndex

MAX_VALUE_BYTES = 64 * 1024
# Servers may return larger values than clients may send: some have 400 KB.
MAX_SERVER_VALUE_BYTES = 1 << 20
MAX_LINE_BYTES = 512  # also limits the header of a bulk string or an array
MAX_WAIT_DEADLINES = 2  # a client waits at most this many times the deadline of its traffic class
CUSTOMER_LIMIT = 1 << 33  # exclusive upper limit of customer numbers
FIELDS_CACHE_SIZE = 1024
REQUEST_ID = re.compile(rb"[0-9A-Za-z_-]{1,64}").fullmatch
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
WAIT = re.compile(rb"(|.*,)d=([0-9]{1,9})(|,.*)", re.S).fullmatch
UNITS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch
HEADER = re.compile(rb"([*$:+-])([^\r\n]{0,%d})\r\n" % MAX_LINE_BYTES).match
LENGTH = re.compile(rb"[0-9]{1,9}|-1").fullmatch
REQUEST_VERBS = (b"SVC.QUERY", b"SVC.SUBMIT")
OK, PONG = b"+OK\r\n", b"+PONG\r\n"


class StreamError(Exception):
    """The stream is not valid RESP2 or exceeds a limit; the bytes that follow cannot be parsed."""


@dataclass(slots=True, frozen=True)
class SimpleElement:
    """A simple string, an error or an integer; ``kind`` is its type byte (``+``, ``-`` or ``:``)."""

    kind: bytes
    text: bytes


Element = bytes | SimpleElement | None
Message = Element | list[Element]


class Reader:
    """Incremental parser for simple elements, bulk strings, and flat arrays of these.

    Memory and CPU grow with the bytes received, never with an announced length. hiredis allocates an array as
    long as its header says, and freeing the array of ``*1000000000`` takes a second of CPU."""

    __slots__ = ("position", "buffer", "max_value_bytes", "max_elements")

    def __init__(self, max_elements: int, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        self.buffer, self.position = b"", 0
        self.max_elements, self.max_value_bytes = max_elements, max_value_bytes

    def feed(self, data: bytes) -> None:
        self.buffer, self.position = (
            (self.buffer[self.position :] + data if self.has_unparsed_data() else data),
            0,
        )

    def has_unparsed_data(self) -> bool:
        return self.position < len(self.buffer)

    def unparsed_bytes(self) -> int:
        return len(self.buffer) - self.position

    def gets(self) -> Message | Literal[False]:
        """Return the next message, or False if it is not complete yet. Raises StreamError."""
        if not self.has_unparsed_data() or (header := self.parse_header(self.position)) is None:
            return False
        kind, text, position = header
        if kind != b"*":
            message: Message
            if (element := self.parse_element(kind, text, position)) is None:
                return False
            message, position = element
            return self.consume(message, position)
        if (count := parse_length(text)) > self.max_elements:
            raise StreamError("an array that is too long")
        items: list[Element] = []
        for _ in range(count):
            if (header := self.parse_header(position)) is None or (
                element := self.parse_element(*header)
            ) is None:
                return False
            item, position = element
            items.append(item)
        return self.consume(items if count >= 0 else None, position)

    def consume(self, message: Message, position: int) -> Message:
        """Advance to ``position`` and return ``message``."""
        if position < len(self.buffer):
            self.position = position
        else:
            self.buffer, self.position = b"", 0  # an idle connection holds no memory for its last message
        return message

    def parse_header(self, position: int) -> tuple[bytes, bytes, int] | None:
        """Return type byte, text and end of the line at ``position``, or None if it is incomplete."""
        if found := HEADER(self.buffer, position):
            return found[1], found[2], found.end()
        remaining = len(self.buffer) - position
        if remaining and (
            self.buffer[position] not in b"*$:+-"
            or remaining > MAX_LINE_BYTES + 2
            or b"\n" in self.buffer[position:]
        ):
            raise StreamError("a line of no known form")
        return None

    def parse_element(self, kind: bytes, text: bytes, position: int) -> tuple[Element, int] | None:
        """Return the element with that header and its end; None if it is incomplete.

        ``position`` is the end of the header."""
        if kind == b"*":
            raise StreamError("an array in an array")
        if kind != b"$":
            return SimpleElement(kind, text), position
        if (size := parse_length(text)) < 0:
            return None, position
        if size > self.max_value_bytes:
            raise StreamError("a value that is too long")
        end = position + size
        if self.buffer[end : end + 2] == b"\r\n":
            return self.buffer[position:end], end + 2
        if len(self.buffer) >= end + 2:
            raise StreamError("a value that does not end where it should")
        return None


def parse_length(text: bytes) -> int:
    if not LENGTH(text):
        raise StreamError("a length that is none")
    return int(text)


class CommandError(Exception):
    """The command is malformed; the text is sent to the client as the error message."""


@dataclass(slots=True, frozen=True)
class Fields:
    """The parsed ``name=value`` list of a request, without the wait ``d``."""

    class_index: int
    plan: int
    units: float
    set_size: float
    set_start: float
    is_retry: bool


@dataclass(slots=True)
class Command:
    """A client's request: its arguments as received and their parsed values."""

    arguments: Sequence[bytes]
    text_before_wait: bytes  # the parts of the field list before and after ``d=...``
    text_after_wait: bytes
    customer: int
    wait_ms: int
    fields: Fields

    @property
    def request_id(self) -> bytes:
        return self.arguments[2]

    def to_event(self, request_id: int, timeout_ns: int, mode: RequestMode = RequestMode.FORWARD) -> Request:
        """The Request event for the limiter; ``request_id`` is the daemon's number, not the client's id."""
        fields = self.fields
        return Request(
            request_id=request_id,
            traffic_class=fields.class_index,
            plan=fields.plan,
            customer=self.customer,
            timeout_ns=timeout_ns,
            units=fields.units,
            set_size=fields.set_size,
            set_start=fields.set_start,
            is_retry=fields.is_retry,
            mode=mode,
        )

    def forward(self, wait_ms: int) -> bytes:
        """Encode the command for a server, with ``d`` replaced by how long the limiter waits."""
        verb, customer, request_id, _, *body = self.arguments
        field_list = b"%sd=%d%s" % (self.text_before_wait, wait_ms, self.text_after_wait)
        return encode_command((verb, customer, request_id, field_list, *body))


def encode_command(arguments: tuple[bytes, ...]) -> bytes:
    encoded: bytes = hiredis.pack_command(arguments)  # type: ignore[arg-type,no-untyped-call,unused-ignore]
    return encoded


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(value), value)


def error(text: str) -> bytes:
    return b"-ERR %s\r\n" % text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")[:120]


def busy(retry_after_ns: int) -> bytes:
    """The ``-BUSY`` error, with the retry delay in milliseconds, rounded up, if it is above 0."""
    return b"-BUSY %d\r\n" % -(-retry_after_ns // 1_000_000) if retry_after_ns > 0 else b"-BUSY\r\n"


def parse_units(text: bytes, max_units: float) -> float:
    """Parse ``units``.

    Without the upper bound, a huge amount would move the customer's next ticket into the distant future."""
    units = float(text) if UNITS(text) else 0.0
    if not 0 < units <= max_units:
        raise CommandError("units is not a number above 0, or more than a request takes")
    return units


def parse_whole_number(fields: dict[bytes, bytes], name: bytes, minimum: int, maximum: int) -> float:
    """Parse an integer field; a missing field is ``minimum``."""
    text = fields.get(name, b"%d" % minimum)
    if not text.isdigit() or len(text) > 9 or not minimum <= int(text) <= maximum:
        raise CommandError(f"{name.decode()} is not a whole number from {minimum} to {maximum}")
    return float(text)


class RequestParser:
    """Parses SVC.QUERY and SVC.SUBMIT; raises CommandError for anything that a server would not accept."""

    def __init__(self, names: NameIndex, settings: Settings) -> None:
        self.names, self.classes = names, settings.classes
        self.limiters, self.max_units = max(1, settings.limiters), settings.largest_units or math.inf
        # Most lists differ only in the wait, so caching the other fields saves most of the parsing work.
        self.cached_fields = lru_cache(FIELDS_CACHE_SIZE)(self.parse_fields)

    def accepts(self, message: Message) -> bool:
        """Whether a message is a request in a form that a server would accept."""
        if not isinstance(message, list) or not message or not isinstance(message[0], bytes):
            return False
        try:
            if message[0].upper() in REQUEST_VERBS:
                self.parse(message)
                return True
        except CommandError:
            pass
        return False

    def parse(self, items: Sequence[object]) -> Command:
        texts = [item for item in items if isinstance(item, bytes)]
        submit = texts[0].upper() == b"SVC.SUBMIT"
        if len(texts) != len(items) or len(texts) != 4 + submit:
            raise CommandError("wrong number of arguments")
        return self.parse_arguments(texts, submit)

    def parse_limit_request(self, arguments: Sequence[bytes]) -> Command:
        """Parse a limit command, which has the same list for every class; ``wait_ms`` is 0 without ``d``."""
        if len(arguments) != 4:
            raise CommandError("wrong number of arguments")
        return self.parse_arguments(arguments, None)

    def parse_arguments(self, texts: Sequence[bytes], submit: bool | None) -> Command:
        """Parse the arguments; ``submit`` is None for a limit command."""
        _, customer, request_id, field_list = texts[:4]
        number = int(customer, 16) if CUSTOMER(customer) else CUSTOMER_LIMIT
        if number >= CUSTOMER_LIMIT:
            raise CommandError("the customer is not 16 hex digits below 2^33")
        if not REQUEST_ID(request_id):
            raise CommandError("the id is not 1 to 64 letters, digits, - or _")
        if len(field_list) > 1024 or len(texts[-1]) > MAX_VALUE_BYTES:
            raise CommandError("an argument is too long")
        if not (split := WAIT(field_list)) and submit is None:
            return Command(texts, field_list, b"", number, 0, self.cached_fields(submit, field_list))
        if not split:
            raise CommandError("d is not a number of milliseconds")
        wait_ms, before, after = int(split[2]), split[1], split[3]
        fields = self.cached_fields(submit, before + after[1:] if after else before[:-1])
        if not 0 < wait_ms * 1_000_000 <= MAX_WAIT_DEADLINES * self.classes[fields.class_index].deadline_ns:
            raise CommandError("d is not a time for which a client of that class waits")
        return Command(texts, before, after, number, wait_ms, fields)

    def parse_fields(self, submit: bool | None, field_list: bytes) -> Fields:
        fields: dict[bytes, bytes] = {}
        for item in field_list.split(b","):
            name, equals, value = item.partition(b"=")
            if not equals or name in fields or name == b"d":
                raise CommandError("the list is not names and values")
            fields[name] = value
        class_index = self.names.classes.get(fields.get(b"c", b""))
        plan = self.names.plans.get(fields.get(b"t", b""))
        if class_index is None or plan is None:
            raise CommandError("unknown class or plan")
        if submit == (self.classes[class_index].idempotency is Idempotency.SAFE):
            raise CommandError("wrong command for the class")
        return Fields(
            class_index=class_index,
            plan=plan,
            units=parse_units(fields.get(b"units", b"1"), self.max_units),
            set_size=parse_whole_number(fields, b"spread", 1, self.limiters),
            set_start=parse_whole_number(fields, b"first", 0, self.limiters - 1),
            is_retry=fields.get(b"r") == b"1",
        )
