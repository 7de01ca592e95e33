"""Runs limiter instances for the simulator: frames of events come in, frames of actions go out.

Started as ``python -m aniseshed.drill``; reads standard input until it ends.
"""

from __future__ import annotations

import struct
import sys
from collections import deque
from dataclasses import replace
from typing import BinaryIO

from aniseshed import interface as api
from aniseshed import wire
from aniseshed.policy import Limiter

MAX_FRAME_BYTES = 1 << 30  # A longer frame is treated as a malformed stream.


class Adapter:
    """Holds the limiter instances by number and processes one batch of records at a time."""

    def __init__(self) -> None:
        self.instances: dict[int, Limiter] = {}
        # Counter calls in flight by instance and counter key. Answers come in the order of the calls.
        self.calls: dict[tuple[int, int], deque[int]] = {}
        self.pages: dict[int, tuple[api.ServerEntry, ...]] = {}

    def answer(self, batch: bytes) -> bytes:
        """Process a batch and return the reply, both without the length field."""
        view = memoryview(batch)
        records, now_ns = wire.BATCH_HEAD.unpack_from(view)
        out: list[bytes] = []
        offset = wire.BATCH_HEAD.size
        for _ in range(records):
            code, size = wire.RECORD_HEAD.unpack_from(view, offset)
            offset += wire.RECORD_HEAD.size
            if offset + size > len(view):
                raise wire.WireError("record extends beyond the end of its frame")
            self.record(now_ns, code, view[offset : offset + size], out)
            offset += size
        body = b"".join(out)
        return wire.REPLY_HEAD.pack(len(body) + wire.FRAME_SIZE.size, len(out)) + body

    def record(self, now_ns: int, code: int, data: memoryview, out: list[bytes]) -> None:
        """Process one record and append the resulting actions to ``out``; unknown codes are ignored."""
        if code == wire.SERVER_LIST_RECORD:
            page, entries = wire.read_list(data)
            self.pages[page] = entries
            return
        if code == wire.START_RECORD:
            instance, seed, length = wire.START_HEAD.unpack_from(data)
            start = wire.START_HEAD.size
            try:
                settings = wire.read_settings(bytes(data[start : start + length]))
                self.instances[instance] = Limiter(settings, seed)
            except Exception as error:  # reported to the simulator as a failure of this instance
                out.append(wire.encode_failure(instance, f"{type(error).__name__}: {error}"))
            return
        if code == wire.LIST_CHANGED_RECORD:
            instance, page, _, mode = wire.LIST_CHANGED.unpack_from(data)
            kind = wire.LIST_KIND_BY_CODE.get(mode)
            if kind is None:
                return
            event: api.Event = api.ServerList(
                kind, () if kind is api.ListKind.FAILED else self.pages.get(page, ())
            )
        elif code == wire.CRASH_RECORD:
            crashed = wire.INSTANCE.unpack_from(data)[0]
            self.instances.pop(crashed, None)
            self.calls = {key: calls for key, calls in self.calls.items() if key[0] != crashed}
            return
        else:
            reader = wire.READERS.get(code)
            if reader is None:
                return
            instance = wire.INSTANCE.unpack_from(data)[0]
            event = reader(data)
        limiter = self.instances.get(instance)
        if limiter is None:
            return
        if isinstance(event, api.Counted) and (calls := self.calls.get((instance, event.key))):
            event = replace(event, call_id=calls.popleft())
            if not calls:
                del self.calls[instance, event.key]
        try:
            for action in limiter.handle(now_ns, event):
                if isinstance(action, api.Count):
                    self.calls.setdefault((instance, action.key), deque()).append(action.call_id)
                out.append(wire.WRITERS[type(action)](instance, action))
        except Exception as error:  # The simulator ends the run with this text.
            traceback = error.__traceback__
            while traceback is not None and traceback.tb_next is not None:
                traceback = traceback.tb_next
            line = traceback.tb_lineno if traceback is not None else 0
            out.append(wire.encode_failure(instance, f"{type(error).__name__} at line {line}: {error}"))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Process batches until the input ends; raises WireError for a malformed frame."""
    adapter = Adapter()
    while head := source.read(wire.FRAME_SIZE.size):
        if len(head) < wire.FRAME_SIZE.size:
            raise wire.WireError("input ended inside the length field of a frame")
        (size,) = wire.FRAME_SIZE.unpack(head)
        if not wire.BATCH_HEAD.size <= size <= MAX_FRAME_BYTES:
            raise wire.WireError(f"frame length {size} is not allowed for a batch")
        batch = source.read(size)
        if len(batch) < size:
            raise wire.WireError("input ended inside a frame")
        sink.write(adapter.answer(batch))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, struct.error) as error:
        print(f"aniseshed.drill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
