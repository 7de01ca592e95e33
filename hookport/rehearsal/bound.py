"""The maximum value that any policy can earn within the quotas: the reference for a score.

A gateway that admits requests in order of arrival is no upper bound: clients retry, so a policy serves
requests that this gateway would have refused, and it may reserve a customer's quota for its more valuable
requests. Here each customer's requests are treated as divisible, offered for as long as they can be answered
in time, and the valuable ones are admitted first.

A request that is due at ``t`` earns only if it is forwarded between ``t`` and ``t + target``. In any interval
of length ``d`` a customer may send ``burst + rate * d`` units, so of the requests due in it at most
``burst + rate * (d + target)`` units can earn. These limits, one for each interval, are an
intersecting-submodular function, so the admissible amounts form a polymatroid (Edmonds, "Submodular
Functions, Matroids, and Certain Polyhedra", 1970), and admitting as much as fits in order of decreasing value
is optimal. Servers are assumed to be fast and without capacity limit, so the cost of their faults remains
in the score.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

SECOND_NS = 1_000_000_000


class Offer(NamedTuple):
    """One request of a customer: its due time in nanoseconds, its units, and the value of one unit."""

    at_ns: int
    units: float
    value: float


def max_units(offers: list[Offer], rate: float, burst: float) -> list[float]:
    """Return for each offer the units that an optimal policy admits.

    ``offers`` are in order of time. ``rate`` is in units per second. ``burst`` is the number of units that
    may be sent at once, including the refill during the target latency."""
    admitted = [0.0] * len(offers)
    refilled = [rate * offer.at_ns / SECOND_NS for offer in offers]
    for value in sorted({offer.value for offer in offers}, reverse=True):
        min_slack_from = [0.0] * len(offers)  # lowest refill minus units admitted, from each offer on
        total, lowest = sum(admitted), math.inf
        for n in range(len(offers) - 1, -1, -1):
            lowest = min(lowest, refilled[n] - total)
            min_slack_from[n] = lowest
            total -= admitted[n]
        # Units admitted before this offer, in all and of this value.
        admitted_before = admitted_of_value = 0.0
        max_slack_until = -math.inf  # highest refill minus units admitted before, up to this offer
        for n, offer in enumerate(offers):
            max_slack_until = max(max_slack_until, refilled[n] - admitted_before)
            if offer.value == value:
                available = burst + min_slack_from[n] - admitted_of_value - max_slack_until
                admitted[n] = max(0.0, min(offer.units, available))
                admitted_of_value += admitted[n]
            admitted_before += admitted[n]
    return admitted


def max_shares(
    requests: Iterable[tuple[int, int, Offer]], quotas: dict[int, tuple[float, float]], target_s: float
) -> dict[int, float]:
    """Return the share of each request, from 0 to 1, that an optimal policy admits.

    ``requests`` are (number, customer, offer) in order of time; ``quotas`` has each customer's rate in units
    per second and its burst; ``target_s`` is the longest latency at which an answer earns its value."""
    by_customer: dict[int, list[tuple[int, Offer]]] = defaultdict(list)
    for number, customer, offer in requests:
        by_customer[customer].append((number, offer))
    shares = {}
    for customer, group in by_customer.items():
        rate, burst = quotas[customer]
        offers = [offer for _, offer in group]
        for (number, offer), units in zip(
            group, max_units(offers, rate, burst + rate * target_s), strict=True
        ):
            shares[number] = units / offer.units
    return shares
