"""Trust in a server by the age of the information about it: a table with interpolation between its rows.

``open_part`` and ``answers`` are interpolated over the logarithm of the age, because a fleet changes about as
much in its second minute as in its second hour.  So one more second of age never lowers trust much, except
where ``claims`` ends: a boolean has to change at a fixed age."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

SECOND_NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class TrustPoint:
    """The rules for servers whose information has a given age.

    ``age_s``: seconds since a source last confirmed the server; ``open_part``: the share of the list, from 0
    to 1, that may be on trial at one time, that is, get requests before it has proved itself; ``answers``:
    the number of successful answers that prove a server, 0 if it needs none; ``claims``: whether a server on
    trial may get requests that are not safe to repeat."""

    age_s: float
    open_part: float
    answers: float
    claims: bool


# docs/design/kept-list.md gives the reasons for each row.
DEFAULT_POINTS = (
    TrustPoint(5, 1.0, 0, True),
    TrustPoint(60, 1.0, 1, True),
    TrustPoint(600, 0.5, 1, False),
    TrustPoint(3_600, 0.35, 2, False),
    TrustPoint(86_400, 0.25, 3, False),
    TrustPoint(604_800, 0.15, 4, False),
)


class TrustCurve:
    """A table of points in order of age; an invalid one raises ValueError with the row and the reason."""

    def __init__(self, points: Sequence[TrustPoint] = DEFAULT_POINTS) -> None:
        if not points:
            raise ValueError("the trust table is empty: at least one row is required")
        for n, point in enumerate(points):
            if (
                not 0 < point.open_part <= 1
                or not 0 <= point.answers <= 100
                or not 0 < point.age_s < math.inf
            ):
                raise ValueError(
                    f"row {n}: age_s must be above 0 and finite, open_part above 0 and at most 1, "
                    f"answers from 0 to 100, but the row is {point}"
                )
        for n, (younger, older) in enumerate(zip(points, points[1:], strict=False), 1):
            if older.age_s <= younger.age_s:
                raise ValueError(
                    f"row {n}: age_s {older.age_s:g} must be greater than {younger.age_s:g} of the row before"
                )
            if (
                older.open_part > younger.open_part
                or older.answers < younger.answers
                or older.claims > younger.claims
            ):
                raise ValueError(
                    f"row {n}: an older list must not be trusted more than one of {younger.age_s:g} s"
                )
        self.points = tuple(points)

    def at(self, age_ns: int) -> TrustPoint:
        """The rules at an age in nanoseconds.

        A negative age comes from a wrong clock and is treated as the greatest age of the table."""
        points, age_s = self.points, age_ns / SECOND_NS
        if age_s < 0 or age_s >= points[-1].age_s:
            return points[-1]
        if age_s <= points[0].age_s:
            return points[0]
        n = next(n for n, point in enumerate(points) if point.age_s >= age_s)
        younger, older = points[n - 1], points[n]
        fraction = math.log(age_s / younger.age_s) / math.log(older.age_s / younger.age_s)
        return TrustPoint(
            age_s,
            younger.open_part + fraction * (older.open_part - younger.open_part),
            math.ceil(younger.answers + fraction * (older.answers - younger.answers) - 1e-9),
            older.claims,  # the stricter of the two rows, so that interpolation never permits a claim
        )
