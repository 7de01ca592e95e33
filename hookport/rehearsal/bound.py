"""The most that any policy can earn inside the quotas: what a score is measured against.

One gateway that lets in who comes first is no bound: clients try again, so a policy serves what that gateway
would have refused, and may keep a customer's room for its more precious requests. Here each customer's
requests are a fluid, offered for as long as they can be answered in time, and the precious ones come first.

A request that is due at ``t`` earns only if it is sent on between ``t`` and ``t + aim``. In any stretch of
time ``d`` a customer may send ``burst + rate * d`` units, so of what is due in it at most ``burst + rate *
(d + aim)`` can earn. These limits, one for each stretch, are an intersecting-submodular function, so what
can be let in is a polymatroid (Edmonds, "Submodular Functions, Matroids, and Certain Polyhedra", 1970), and
letting in as much as fits by falling worth is the best there is. Servers are taken to be fast and endless:
what their faults cost stays in the score.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

SECOND = 1_000_000_000


class Offer(NamedTuple):
    """One request of a customer: when it is due in nanoseconds, its units, and what one unit is worth."""

    at_ns: int
    units: float
    worth: float


def max_units(offers: list[Offer], rate: float, burst: float) -> list[float]:
    """Of each offer, in order of time, the units that the best policy lets in; ``rate`` is a second's.

    ``burst`` is all that may go at once, the refill of the time to answer in among it."""
    let_in = [0.0] * len(offers)
    refilled = [rate * offer.at_ns / SECOND for offer in offers]
    for worth in sorted({offer.worth for offer in offers}, reverse=True):
        later = [0.0] * len(offers)  # the least of refill less what is let in, from each offer on
        total, least = sum(let_in), math.inf
        for n in range(len(offers) - 1, -1, -1):
            least = min(least, refilled[n] - total)
            later[n] = least
            total -= let_in[n]
        before = added = 0.0  # let in before this offer, of all worths, and what of it is of this worth
        sooner = -math.inf  # the most of refill less what was let in before, up to this offer
        for n, offer in enumerate(offers):
            sooner = max(sooner, refilled[n] - before)
            if offer.worth == worth:
                fits = burst + later[n] - added - sooner
                let_in[n] = max(0.0, min(offer.units, fits))
                added += let_in[n]
            before += let_in[n]
    return let_in


def max_shares(
    requests: Iterable[tuple[int, int, Offer]], quotas: dict[int, tuple[float, float]], aim_s: float
) -> dict[int, float]:
    """By request: the share of it that the best policy lets in, from 0 to 1.

    ``requests`` are (number, customer, offer) in order of time; ``quotas`` each customer's rate in units a
    second and its burst; ``aim_s`` the longest time in which an answer earns."""
    by_customer: dict[int, list[tuple[int, Offer]]] = defaultdict(list)
    for number, customer, offer in requests:
        by_customer[customer].append((number, offer))
    shares = {}
    for customer, group in by_customer.items():
        rate, burst = quotas[customer]
        offers = [offer for _, offer in group]
        for (number, offer), units in zip(group, max_units(offers, rate, burst + rate * aim_s), strict=True):
            shares[number] = units / offer.units
    return shares
