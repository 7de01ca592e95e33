"""What was answered under which id: the same id asked again gets the same answer, and takes nothing more.

Held for ``keep_ns`` and for ``most`` ids.  When they are more, the oldest go first, and their ids are new
again: the promise then lasts for as long as ``most`` ids take to come."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

Key = tuple[bytes | None, bytes]  # a user and an id: nobody's ids are another's


@dataclass(slots=True)
class Taken:
    """What an id was asked for, and what was answered.

    ``about`` tells a repeat from another question; ``units`` are those that were taken, 0 if it was refused;
    ``answer`` is None while it is open."""

    about: tuple[object, ...]
    customer: int
    at_ns: int
    units: float = 0.0
    answer: bytes | None = None
    given_back: bool = False


class Ledger:
    """Ids in the order in which they came.  Times in nanoseconds, handed in."""

    def __init__(self, keep_ns: int, most: int) -> None:
        self.keep_ns, self.most = keep_ns, most
        # Guards against a walk over what has gone: the first of a plain dict lies behind all deleted ones.
        self.taken: OrderedDict[Key, Taken] = OrderedDict()

    def find(self, now_ns: int, key: Key) -> Taken | None:
        """What is known under an id."""
        taken = self.taken.get(key)
        return taken if taken and now_ns - taken.at_ns < self.keep_ns else None

    def open(self, now_ns: int, key: Key, about: tuple[object, ...], customer: int) -> Taken:
        """A question under a new id."""
        self.taken.pop(key, None)
        taken = self.taken[key] = Taken(about, customer, now_ns)
        while True:
            oldest = next(iter(self.taken))
            if now_ns - self.taken[oldest].at_ns < self.keep_ns and len(self.taken) <= self.most:
                return taken
            del self.taken[oldest]

    def drop(self, key: Key) -> None:
        """Nothing was answered, and nothing taken."""
        self.taken.pop(key, None)

    def give_back(self, now_ns: int, key: Key) -> Taken | None:
        """Mark what was taken as unused; None if nothing was, or it was given back before."""
        taken = self.find(now_ns, key)
        if taken is None or not taken.units or taken.given_back:
            return None
        taken.given_back = True
        return taken
