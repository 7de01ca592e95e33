"""Idempotency of takes: a repeated id gets the reply of the first request and takes no further units.

Records are kept for ``keep_ns``, and at most ``max_ids`` of them. Beyond that the oldest are evicted and
their ids count as new, so a repeat is recognized only until ``max_ids`` later ids have arrived."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

Key = tuple[bytes | None, bytes]  # user and request id: each user has its own ids


@dataclass(slots=True)
class TakeRecord:
    """The request made under one id and its reply.

    ``parameters`` must be the same in a repeat; ``units`` is the amount taken, 0 if the request was refused;
    ``reply`` is None while the request is pending."""

    parameters: tuple[object, ...]
    customer: int
    received_ns: int
    units: float = 0.0
    reply: bytes | None = None
    given_back: bool = False


class Ledger:
    """Records by user and id, in order of arrival. The caller passes the time in."""

    def __init__(self, keep_ns: int, max_ids: int) -> None:
        self.keep_ns, self.max_ids = keep_ns, max_ids
        # Finding the first key of a plain dict skips every deleted entry before it; OrderedDict doesn't.
        self.records: OrderedDict[Key, TakeRecord] = OrderedDict()

    def find(self, now_ns: int, key: Key) -> TakeRecord | None:
        """Return the record of an id, or None if there is none or it has expired."""
        record = self.records.get(key)
        return record if record and now_ns - record.received_ns < self.keep_ns else None

    def add(self, now_ns: int, key: Key, parameters: tuple[object, ...], customer: int) -> TakeRecord:
        """Add a record for a new id, and evict records that expired or exceed the limit."""
        self.records.pop(key, None)
        record = self.records[key] = TakeRecord(parameters, customer, now_ns)
        while True:
            oldest = next(iter(self.records))
            if now_ns - self.records[oldest].received_ns < self.keep_ns and len(self.records) <= self.max_ids:
                return record
            del self.records[oldest]

    def remove(self, key: Key) -> None:
        """Remove the record of a request that took nothing, so that its id can be used again."""
        self.records.pop(key, None)

    def mark_given_back(self, now_ns: int, key: Key) -> TakeRecord | None:
        """Mark the units of an id as given back; None if it took none or they were already given back."""
        record = self.find(now_ns, key)
        if record is None or not record.units or record.given_back:
            return None
        record.given_back = True
        return record
