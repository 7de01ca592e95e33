"""Idempotency of takes: a repeated id gets the reply of the first request and takes no further units.

Records are kept for ``keep_ns``, and at most ``most`` of them. Beyond that the oldest are evicted and
their ids count as new, so a repeat is recognized only until ``most`` later ids have arrived."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

Key = tuple[bytes | None, bytes]  # user and request id: each user has its own ids


@dataclass(slots=True)
class TakeRecord:
    """The request made under one id and its reply.

    ``about`` holds the request's parameters, which a repeat must match; ``units`` is the amount taken, 0 if
    the request was refused; ``answer`` is None while the request is pending."""

    about: tuple[object, ...]
    customer: int
    at_ns: int
    units: float = 0.0
    answer: bytes | None = None
    given_back: bool = False


class Ledger:
    """Records by user and id, in order of arrival. The caller passes the time in."""

    def __init__(self, keep_ns: int, most: int) -> None:
        self.keep_ns, self.most = keep_ns, most
        # Finding the first key of a plain dict skips every deleted entry before it; OrderedDict doesn't.
        self.taken: OrderedDict[Key, TakeRecord] = OrderedDict()

    def find(self, now_ns: int, key: Key) -> TakeRecord | None:
        """Return the record of an id, or None if there is none or it has expired."""
        taken = self.taken.get(key)
        return taken if taken and now_ns - taken.at_ns < self.keep_ns else None

    def open(self, now_ns: int, key: Key, about: tuple[object, ...], customer: int) -> TakeRecord:
        """Add a record for a new id, and evict records that expired or exceed the limit."""
        self.taken.pop(key, None)
        taken = self.taken[key] = TakeRecord(about, customer, now_ns)
        while True:
            oldest = next(iter(self.taken))
            if now_ns - self.taken[oldest].at_ns < self.keep_ns and len(self.taken) <= self.most:
                return taken
            del self.taken[oldest]

    def drop(self, key: Key) -> None:
        """Remove the record of a request that took nothing, so that its id can be used again."""
        self.taken.pop(key, None)

    def give_back(self, now_ns: int, key: Key) -> TakeRecord | None:
        """Mark the units of an id as given back; None if it took none or they were already given back."""
        taken = self.find(now_ns, key)
        if taken is None or not taken.units or taken.given_back:
            return None
        taken.given_back = True
        return taken
