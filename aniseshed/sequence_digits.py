"""Marks: how a limiter reads from a total which of its own unanswered calls have been added.

Below the least amount that is ever counted (the ``quantum``) each limiter of a customer's set has one digit
of the total to itself, which every call that it marks turns, and no second marked call goes out before the
first is resolved: the alternating bit of Bartlett, Scantlebury and Wilkinson (CACM 12(5), 1969), read back
from a sum, whichever call brought the total (docs/design/counter-lost.md).

Exactness: a total has seven decimal digits (a relative error of 5e-7), a float of the simulator's wire 24
bits, some counters three decimals. The grid is ``span * 2**-18``, the span a power of two of four bursts or
more, and 2**-9 at the least. Up to two spans the rounding error stays under 0.3 of a step; beyond that, or
off the grid, nothing is read.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

LEAST_STEP = 2.0**-9  # of a unit: three decimals tell it
OFF_GRID = 0.3  # of a step: more than rounding leaves, so the counter's digits do not reach
GRID_BITS = 18  # of a span: two spans are 19 bits, five fewer than a float32 has
SPAN_BURSTS = 4.0  # a window counts at most what it starts with and refills, 3.5 bursts, inside the quota
MOST_LIMITERS = 8  # digits: more would make the quantum as large as what is counted
FINEST = 32.0  # quanta that a burst has at the least, or digits of base 4 give way to bits


def assign_digit(index: int, limiters: int, size: int) -> tuple[int, int]:
    """Which digit is limiter ``index``'s, and how many there are: any ``size`` limiters in a row differ.

    Counted within blocks of ``size`` limiters or some more (a colouring of the power of a cycle), wherever a
    customer's set begins: guards against two limiters on one digit after a desk has moved to a next set."""
    blocks = max(1, limiters // max(1, size))
    first = -(-(index * blocks // limiters) * limiters // blocks)
    return index - first, -(-limiters // blocks)


@dataclass(slots=True, frozen=True)
class SequenceDigits:
    """The grid of one customer's totals.

    ``weight`` is one of this limiter's digit and ``quantum`` the least amount counted, both in units of the
    quota and powers of two; ``base`` that of the digits; up to twice the ``span``, either side of 0 and in
    units, a total is read surely."""

    step: float
    weight: float
    quantum: float
    span: float
    base: int

    @classmethod
    def for_burst(cls, burst: float, position: int, size: int) -> SequenceDigits | None:
        """The grid for ``size`` digits; None where there is no room.

        ``position`` is this limiter's digit, from 0; one outside has none."""
        if not 1 <= size <= MOST_LIMITERS or not 0 < burst < math.inf:
            return None
        span = 2.0 ** math.ceil(math.log2(SPAN_BURSTS * burst))
        step = max(LEAST_STEP, span * 2.0**-GRID_BITS)
        base = 4 if step * 4.0**size <= burst / FINEST else 2
        weight = step * float(base) ** position if 0 <= position < size else 0.0
        return cls(step, weight, step * float(base) ** size, span, base)

    def next_digit(self, digit: int, knows: bool) -> int:
        """What a marked call turns a digit to: 1, 0, 1 ... with base 2.

        With base 4 it is 1, 2, 1 ...: a count that began at zero differs from any that was marked.  It is
        3, 0, 3 ... of a limiter that has heard of the customer in no window before, or had just started."""
        if self.base == 2 or digit == 3:
            return 1 - digit if self.base == 2 else 0
        return 3 - digit if digit else 1 if knows else 3

    def others_knew(self, total: float, digit: int) -> bool:
        """Whether another limiter's mark shows one that knew the customer before; base 2 cannot tell."""
        steps = round((total - digit * self.weight) / self.step) % round(self.quantum / self.step)
        return self.base == 2 or any(steps >> 2 * place & 3 in (1, 2) for place in range(MOST_LIMITERS))

    def round_up(self, units: float) -> float:
        """The least multiple of the quantum that holds these units."""
        return math.ceil(units / self.quantum - 1e-6) * self.quantum

    def decode(self, total: float) -> tuple[float, int | None]:
        """A total without marks, in units, and this limiter's digit; None where the total is too coarse."""
        steps = round(total / self.step)
        if abs(total) > 2 * self.span or abs(total / self.step - steps) > OFF_GRID:
            return total, None
        marks = steps % round(self.quantum / self.step)
        digit = int(marks * self.step // self.weight) % self.base if self.weight else None
        return (steps - marks) * self.step, digit
