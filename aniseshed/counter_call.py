"""A call to the counter and what is known about its result; the account keeps it until it is resolved."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aniseshed.account import Account


class CallStatus(Enum):
    """What is known about a call.  Its units count once, whatever the order of the status changes."""

    IN_FLIGHT = "out"
    RESOLVED = "ended"  # answered, rejected, or resolved by a later total
    UNCERTAIN = "doubt"  # timed out: the counter may have added it, or may yet do so
    LOST = "lost"  # presumed not added and reported again; an answer may still come


@dataclass(slots=True, eq=False)
class CounterCall:
    """A call to the counter; amounts are in units of the quota.

    It asks for ``units`` and reports ``local_units``, which were charged without asking.
    """

    account: Account
    request_id: int  # -1 if it only reports
    key: int
    units: float
    local_units: float
    call_id: int = 0  # ascending in the order in which this limiter made its calls
    started_ns: int = 0
    digit_amount: float = 0.0  # added to the amount to advance this limiter's sequence digit
    status: CallStatus = CallStatus.IN_FLIGHT

    @property
    def amount(self) -> float:
        return self.units + self.local_units
