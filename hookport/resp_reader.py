"""Incremental RESP2 parser for the streams of clients, servers and the counter."""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass
from typing import Literal

MAX_VALUE_BYTES = 64 * 1024
MAX_COMMAND_BYTES = MAX_VALUE_BYTES + 4 * 1024  # a request has one long argument, its body
MAX_LINE_BYTES = 512  # also limits the header of a bulk string or an array
MIN_CHUNK_BYTES = 4 * 1024  # smaller chunks are joined, so that their number stays small
REFILL_BYTES = 64 * 1024  # taken from the chunks at a time
HEADER = re.compile(rb"([*$:+-])([^\r\n]{0,%d})\r\n" % MAX_LINE_BYTES).match
LENGTH = re.compile(rb"[0-9]{1,9}|-1").fullmatch


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

    Memory and CPU grow with the bytes received, never with an announced length or the number of reads.
    hiredis allocates an array as long as its header says, and freeing the array of ``*1000000000`` takes a
    second of CPU. A message longer than ``max_message_bytes`` is an error once its headers say so."""

    __slots__ = (
        "buffer", "chunks", "chunks_bytes", "max_elements", "max_message_bytes", "max_value_bytes",
        "position", "required_bytes",
    )  # fmt: skip

    def __init__(
        self,
        max_elements: int,
        max_value_bytes: int = MAX_VALUE_BYTES,
        max_message_bytes: int = MAX_COMMAND_BYTES,
    ) -> None:
        self.max_elements, self.max_value_bytes = max_elements, max_value_bytes
        self.max_message_bytes = max_message_bytes
        self.chunks: deque[bytes] = deque()  # received, but not yet in the buffer
        self.clear()

    def clear(self) -> None:
        """Forget what was received and not returned."""
        self.buffer, self.position = b"", 0
        self.chunks.clear()
        self.chunks_bytes = 0
        self.required_bytes = 1  # Of the next message; with fewer, it is known to be incomplete.

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        if self.position == len(self.buffer):
            self.buffer, self.position = data, 0
            return
        self.chunks_bytes += len(data)
        if self.chunks and len(self.chunks[-1]) < MIN_CHUNK_BYTES:
            data = self.chunks.pop() + data
        self.chunks.append(data)

    def has_unparsed_data(self) -> bool:
        """Whether bytes wait that belong to no message returned so far."""
        return self.position < len(self.buffer)

    def unparsed_bytes(self) -> int:
        """The number of bytes after the last message that was returned."""
        return len(self.buffer) - self.position + self.chunks_bytes

    def held_bytes(self) -> int:
        """The number of bytes in memory, with those of messages that were returned."""
        return len(self.buffer) + self.chunks_bytes

    def gets(self) -> Message | Literal[False]:
        """Return the next message, or False if it is not complete yet. Raises StreamError."""
        if len(self.buffer) - self.position + self.chunks_bytes < self.required_bytes:
            return False
        if (header := self.parse_header(self.position)) is None:
            return self.refill() and self.gets()
        kind, text, position = header
        if kind != b"*":
            message: Message
            if (element := self.parse_element(kind, text, position)) is None:
                return self.refill() and self.gets()
            message, position = element
            return self.consume(message, position)
        if (count := parse_length(text)) > self.max_elements:
            raise StreamError("an array that is too long")
        items: list[Element] = []
        for _ in range(count):
            if (header := self.parse_header(position)) is None or (
                element := self.parse_element(*header)
            ) is None:
                return self.refill() and self.gets()
            item, position = element
            items.append(item)
        return self.consume(items if count >= 0 else None, position)

    def refill(self) -> bool:
        """Move chunks into the buffer, behind the next message's beginning; return whether there were any."""
        if not self.chunks:
            return False
        parts, size_bytes = [self.buffer[self.position :]], 0
        wanted_bytes = max(REFILL_BYTES, self.required_bytes)
        while self.chunks and size_bytes < wanted_bytes:
            parts.append(self.chunks.popleft())
            size_bytes += len(parts[-1])
        self.chunks_bytes -= size_bytes
        self.buffer, self.position = b"".join(parts), 0
        return True

    def consume(self, message: Message, position: int) -> Message:
        """Advance to ``position`` and return ``message``."""
        self.required_bytes = 1
        if position < len(self.buffer):
            self.position = position
            return message
        # An idle connection holds no memory for its last message.
        self.buffer, self.position = b"", 0
        self.refill()
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
        if end + 2 - self.position > self.max_message_bytes:
            raise StreamError("a message that is too long")
        if self.buffer[end : end + 2] == b"\r\n":
            return self.buffer[position:end], end + 2
        if len(self.buffer) >= end + 2:
            raise StreamError("a value that does not end where it should")
        self.required_bytes = end + 2 - self.position
        return None


def parse_length(text: bytes) -> int:
    """Parse the length in a header. Raises StreamError."""
    if not LENGTH(text):
        raise StreamError("a length that is none")
    return int(text)
