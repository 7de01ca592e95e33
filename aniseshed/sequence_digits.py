"""Sequence digits: how a limiter reads from a total which of its own unanswered calls have been added.

Below the smallest amount that is ever counted (the ``quantum``) each limiter of a customer's set owns one
digit of the total.  A call may advance that digit, and no second call does so before the first is resolved:
the alternating bit of Bartlett, Scantlebury and Wilkinson (CACM 12(5), 1969), read back from a sum, whichever
call brought the total (docs/design/counter-lost.md).

Exactness: a total has seven decimal digits (a relative error of 5e-7), a float on the simulator's wire has 24
bits, and some counters keep three decimals.  The grid is ``span * 2**-18``, with the span a power of two of
at least four bursts, and never finer than 2**-9.  Up to two spans the rounding error stays under 0.3 of a
step; beyond that, or off the grid, no digit is read.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MIN_STEP = 2.0**-9  # in units; a counter that keeps three decimals still represents it
# Distance from the grid, in steps, beyond which no digit is read: rounding alone causes less, so the counter
# is not precise enough.
MAX_OFFSET_STEPS = 0.3
# Bits of the grid in one span.  Two spans take 19 bits, five fewer than a float32 has.
GRID_BITS = 18
# Span in bursts.  A window counts at most what it starts with and what refills, 3.5 bursts inside the quota.
SPAN_BURSTS = 4.0
# Digits in a total.  With more, the quantum would be as large as the amounts that are counted.
MAX_DIGITS = 8
# Quanta in a burst below which digits of base 4 give way to digits of base 2.
MIN_QUANTA_PER_BURST = 32.0


def assign_digit(index: int, limiters: int, size: int) -> tuple[int, int]:
    """The position of limiter ``index``'s digit and the number of digits.

    Any ``size`` consecutive limiters have different digits, wherever a customer's set begins, because digits
    are counted within blocks of ``size`` limiters or a few more (a colouring of the power of a cycle).
    Otherwise two limiters would share a digit after a desk has moved to a neighbouring set.
    """
    blocks = max(1, limiters // max(1, size))
    first = -(-(index * blocks // limiters) * limiters // blocks)
    return index - first, -(-limiters // blocks)


@dataclass(slots=True, frozen=True)
class SequenceDigits:
    """The digits of one customer's totals, as one limiter writes and reads them.

    ``step`` is the spacing of the grid.  ``weight`` is the value of 1 in this limiter's digit (0 if it has
    none) and ``quantum`` the smallest amount counted, both in units of the quota and powers of two.  ``base``
    is the base of the digits.  A total of up to twice the ``span``, in units, on either side of 0 is read
    reliably.
    """

    step: float
    weight: float
    quantum: float
    span: float
    base: int

    @classmethod
    def for_burst(cls, burst: float, position: int, size: int) -> SequenceDigits | None:
        """The layout of ``size`` digits; None if they do not fit into a total.

        ``position`` is that of this limiter's digit, from 0; a limiter with a position outside has no digit.
        """
        if not 1 <= size <= MAX_DIGITS or not 0 < burst < math.inf:
            return None
        span = 2.0 ** math.ceil(math.log2(SPAN_BURSTS * burst))
        step = max(MIN_STEP, span * 2.0**-GRID_BITS)
        base = 4 if step * 4.0**size <= burst / MIN_QUANTA_PER_BURST else 2
        weight = step * float(base) ** position if 0 <= position < size else 0.0
        return cls(step, weight, step * float(base) ** size, span, base)

    def next_digit(self, digit: int, known_before: bool) -> int:
        """The value that a call advances a digit to: with base 2, 1, 0, 1 ...

        With base 4 it is 1, 2, 1 ..., so that a total that began at zero differs from any with an advanced
        digit.  It is 3, 0, 3 ... for a limiter that has just started, or that had no call for the customer
        in an earlier window.
        """
        if self.base == 2 or digit == 3:
            return 1 - digit if self.base == 2 else 0
        return 3 - digit if digit else 1 if known_before else 3

    def others_knew(self, total: float, digit: int) -> bool:
        """Whether another limiter's digit shows that it knew the customer before the current window.

        Base 2 cannot tell; then it is assumed.
        """
        steps = round((total - digit * self.weight) / self.step) % round(self.quantum / self.step)
        return self.base == 2 or any(steps >> 2 * position & 3 in (1, 2) for position in range(MAX_DIGITS))

    def round_up(self, units: float) -> float:
        """The smallest multiple of the quantum that holds these units."""
        return math.ceil(units / self.quantum - 1e-6) * self.quantum

    def decode(self, total: float) -> tuple[float, int | None]:
        """A total without its digits, in units, and this limiter's digit.

        If the total is too large or off the grid, the digit is None and the total is returned unchanged.
        """
        steps = round(total / self.step)
        if abs(total) > 2 * self.span or abs(total / self.step - steps) > MAX_OFFSET_STEPS:
            return total, None
        digits = steps % round(self.quantum / self.step)
        digit = int(digits * self.step // self.weight) % self.base if self.weight else None
        return (steps - digits) * self.step, digit
