"""A call to the counter, as the books of an account keep it; a plain record."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aniseshed.account import Account


class CallStatus(Enum):
    """What has become of a call: what it told counts once whichever way it goes from one to the next."""

    IN_FLIGHT = "out"
    RESOLVED = "ended"  # answered, turned away, or resolved
    UNCERTAIN = "doubt"  # unanswered in time; it may have been added, or may yet be
    LOST = "lost"  # told again, for all that is known; an answer may still come


@dataclass(slots=True, eq=False)
class CounterCall:
    """A call to the counter: units asked for, and local spends told with it; both in units of the quota."""

    account: Account
    request_id: int  # -1 if it only tells
    key: int
    units: float
    local_units: float
    call_id: int = 0  # its number at this limiter, in the order in which calls were made
    started_ns: int = 0
    digit_amount: float = 0.0  # added with it, to turn this limiter's digit of the total
    status: CallStatus = CallStatus.IN_FLIGHT

    @property
    def amount(self) -> float:
        return self.units + self.local_units
