"""The adapter: frames to events, actions to frames, instances by number.  It decides nothing.

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

MAX_FRAME_BYTES = 1 << 30  # a length beyond this is taken for a broken stream, not for a batch


class Adapter:
    """Holds the instances and answers one batch at a time."""

    def __init__(self) -> None:
        self.instances: dict[int, Limiter] = {}
        self.calls: dict[tuple[int, int], deque[int]] = {}  # out, by instance and name: answers come in order
        self.pages: dict[int, tuple[api.ServerEntry, ...]] = {}

    def answer(self, batch: bytes) -> bytes:
        """The reply to a batch, both without their length field."""
        view = memoryview(batch)
        records, now_ns = wire.BATCH_HEAD.unpack_from(view)
        out: list[bytes] = []
        at = wire.BATCH_HEAD.size
        for _ in range(records):
            code, size = wire.RECORD_HEAD.unpack_from(view, at)
            at += wire.RECORD_HEAD.size
            if at + size > len(view):
                raise wire.WireError("a record runs past the end of its frame")
            self.record(now_ns, code, view[at : at + size], out)
            at += size
        body = b"".join(out)
        return wire.REPLY_HEAD.pack(len(body) + wire.SIZE.size, len(out)) + body

    def record(self, now_ns: int, code: int, data: memoryview, out: list[bytes]) -> None:
        """Hand one record to where it belongs; unknown codes are passed over."""
        if code == wire.SERVER_LIST_RECORD:
            page, entries = wire.read_list(data)
            self.pages[page] = entries
            return
        if code == wire.START_RECORD:
            instance, seed, length = wire.START_FIXED.unpack_from(data)
            start = wire.START_FIXED.size
            try:
                settings = wire.read_settings(bytes(data[start : start + length]))
                self.instances[instance] = Limiter(settings, seed)
            except Exception as error:  # told on the wire as this instance's failure
                out.append(wire.give_in(instance, f"{type(error).__name__}: {error}"))
            return
        if code == wire.LIST_CHANGED_RECORD:
            instance, page, _, mode = wire.MEMBERSHIP.unpack_from(data)
            kind = wire.LIST_KINDS.get(mode)
            if kind is None:
                return
            event: api.Event = api.ServerList(
                kind, () if kind is api.ListKind.FAILED else self.pages.get(page, ())
            )
        elif code == wire.CRASH_RECORD:
            gone = wire.INSTANCE.unpack_from(data)[0]
            self.instances.pop(gone, None)
            self.calls = {key: calls for key, calls in self.calls.items() if key[0] != gone}
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
        except Exception as error:  # never swallowed: the day ends with this text
            where = error.__traceback__
            while where is not None and where.tb_next is not None:
                where = where.tb_next
            line = where.tb_lineno if where is not None else 0
            out.append(wire.give_in(instance, f"{type(error).__name__} at line {line}: {error}"))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; a broken frame raises WireError."""
    adapter = Adapter()
    while head := source.read(wire.SIZE.size):
        if len(head) < wire.SIZE.size:
            raise wire.WireError("the input ends inside a frame's length")
        (size,) = wire.SIZE.unpack(head)
        if not wire.BATCH_HEAD.size <= size <= MAX_FRAME_BYTES:
            raise wire.WireError(f"a frame of {size} bytes is not a batch")
        batch = source.read(size)
        if len(batch) < size:
            raise wire.WireError("the input ends inside a frame")
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
