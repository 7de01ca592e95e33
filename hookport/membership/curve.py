"""How far a server is trusted by the age of what vouches for it: a table, and what lies between its rows.

Between two rows the part and the answers follow the logarithm of the age: what happens to a fleet in the
second minute weighs as much as what happens in its second hour.  So a list that is one second older is never
worth much less, except where claims end: that is a promise, and a promise has an edge."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

SECOND_NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class TrustPoint:
    """What holds at one age.

    ``age_s``: seconds since somebody vouched for the server; ``open_part``: of the list, from 0 to 1, that is
    tried at one time before it has proved itself; ``answers``: good answers that prove a server, 0 if it
    needs none; ``claims``: whether a server may get requests that are not safe to repeat before it has proved
    itself."""

    age_s: float
    open_part: float
    answers: float
    claims: bool


# Reasons, row by row: docs/design/kept-list.md.
DEFAULT = (
    TrustPoint(5, 1.0, 0, True),
    TrustPoint(60, 1.0, 1, True),
    TrustPoint(600, 0.5, 1, False),
    TrustPoint(3_600, 0.35, 2, False),
    TrustPoint(86_400, 0.25, 3, False),
    TrustPoint(604_800, 0.15, 4, False),
)


class TrustCurve:
    """A table of points, by age; raises ValueError with what is wrong in it."""

    def __init__(self, points: Sequence[TrustPoint] = DEFAULT) -> None:
        if not points:
            raise ValueError("the table is empty: it needs a row at least")
        for n, point in enumerate(points):
            if (
                not 0 < point.open_part <= 1
                or not 0 <= point.answers <= 100
                or not 0 < point.age_s < math.inf
            ):
                raise ValueError(
                    f"row {n}: age_s above 0, open_part above 0 and up to 1, answers from 0 to 100: {point}"
                )
        for n, (young, old) in enumerate(zip(points, points[1:], strict=False), 1):
            if old.age_s <= young.age_s:
                raise ValueError(f"row {n}: age_s {old.age_s:g} does not come after {young.age_s:g}")
            if old.open_part > young.open_part or old.answers < young.answers or old.claims > young.claims:
                raise ValueError(f"row {n}: an older list would be trusted further than at {young.age_s:g} s")
        self.points = tuple(points)

    def at(self, age_ns: int) -> TrustPoint:
        """What holds at an age in nanoseconds; one below 0 comes from a clock that was wrong, and is the
        oldest."""
        points, age_s = self.points, age_ns / SECOND_NS
        if age_s < 0 or age_s >= points[-1].age_s:
            return points[-1]
        if age_s <= points[0].age_s:
            return points[0]
        n = next(n for n, point in enumerate(points) if point.age_s >= age_s)
        young, old = points[n - 1], points[n]
        way = math.log(age_s / young.age_s) / math.log(old.age_s / young.age_s)
        return TrustPoint(
            age_s,
            young.open_part + way * (old.open_part - young.open_part),
            math.ceil(young.answers + way * (old.answers - young.answers) - 1e-9),
            old.claims,  # the stricter: no claim is let through by an age that lies between
        )
