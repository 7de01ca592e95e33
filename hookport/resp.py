"""Client requests in RESP2: parses commands, encodes forwarded ones, and formats replies."""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

import hiredis

from aniseshed.interface import Idempotency, Request, RequestMode, Settings
from hookport import resp_reader
from hookport.config import NameIndex
from hookport.resp_reader import Message

# Servers may return larger values than clients may send: some have 400 KB.
MAX_SERVER_VALUE_BYTES = 1 << 20
MAX_WAIT_DEADLINES = 2  # a client waits at most this many times the deadline of its traffic class
CUSTOMER_LIMIT = 1 << 33  # exclusive upper limit of customer numbers
FIELDS_CACHE_SIZE = 1024
ERROR_CACHE_SIZE = 64
REQUEST_ID = re.compile(rb"[0-9A-Za-z_-]{1,64}").fullmatch
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
WAIT = re.compile(rb"(|.*,)d=([0-9]{1,9})(|,.*)", re.S).fullmatch
UNITS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch
REQUEST_VERBS = (b"SVC.QUERY", b"SVC.SUBMIT")
OK, PONG = b"+OK\r\n", b"+PONG\r\n"


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


@lru_cache(ERROR_CACHE_SIZE)  # replies that many connections hold at once share their memory
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
        if len(field_list) > 1024 or len(texts[-1]) > resp_reader.MAX_VALUE_BYTES:
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
