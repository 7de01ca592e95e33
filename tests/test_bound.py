"""The upper bound of what a policy can earn: no policy exceeds it, and some policy reaches it."""

from __future__ import annotations

import itertools
import random

import pytest

from hookport.rehearsal.bound import SECOND_NS, Offer, max_shares, max_units
from hookport.rehearsal.referee import TokenBucket


def total_value(offers: list[Offer], shares: list[float]) -> float:
    return sum(offer.value * units for offer, units in zip(offers, shares, strict=True))


def within_limit(offers: list[Offer], units: list[float], rate: float, burst: float) -> bool:
    """Whether the units keep the quota in every interval from one offer to another."""
    return all(
        sum(units[first : last + 1])
        <= burst + rate * (offers[last].at_ns - offers[first].at_ns) / SECOND_NS + 1e-6
        for first in range(len(offers))
        for last in range(first, len(offers))
    )


@pytest.mark.parametrize("seed", range(60))
def test_no_choice_of_whole_requests_earns_more_and_the_admitted_units_keep_the_quota(seed: int) -> None:
    rng = random.Random(seed)
    rate, burst = rng.uniform(0.5, 3), rng.uniform(2, 5)
    at, offers = 0, []
    for _ in range(9):
        at += round(rng.expovariate(2) * SECOND_NS)
        offers.append(Offer(at, rng.randint(1, 2), rng.choice([2.0, 2.0, 5.0])))
    admitted = max_units(offers, rate, burst)
    assert within_limit(offers, admitted, rate, burst)
    best = 0.0
    for taken in itertools.product((0, 1), repeat=len(offers)):
        units = [offer.units * take for offer, take in zip(offers, taken, strict=True)]
        if within_limit(offers, units, rate, burst):
            best = max(best, total_value(offers, units))
    assert best <= total_value(offers, admitted) + 1e-6


@pytest.mark.parametrize("seed", range(20))
def test_the_bound_is_reached_when_only_whole_requests_are_admitted(seed: int) -> None:
    """With single units, whole seconds and a whole burst only whole requests are admitted, so the bound is
    exact."""
    rng = random.Random(seed)
    offers = [Offer(rng.randint(0, 6) * SECOND_NS, 1.0, rng.choice([1.0, 2.0, 5.0])) for _ in range(10)]
    offers.sort()
    admitted = max_units(offers, 1.0, 2.0)
    assert set(admitted) <= {0.0, 1.0} and within_limit(offers, admitted, 1.0, 2.0) and 0 < sum(admitted) < 10


@pytest.mark.parametrize("seed", range(20))
def test_a_policy_in_order_of_arrival_that_waits_for_quota_does_not_exceed_the_bound(seed: int) -> None:
    """One token bucket, served in order, each request as soon as possible and within the target latency."""
    rng = random.Random(seed)
    rate, burst, target_s = 4.0, 6.0, 0.75
    offers = sorted(Offer(round(rng.uniform(0, 20) * SECOND_NS), rng.randint(1, 3), 1.0) for _ in range(120))
    bucket, served, now = TokenBucket(rate, burst), 0.0, 0
    for offer in offers:
        now = max(now, offer.at_ns)
        missing = offer.units - bucket.refill(now)
        at = now + max(0, round(missing / rate * SECOND_NS) + 1)
        if at <= offer.at_ns + target_s * SECOND_NS:
            now = at
            served += offer.units * bucket.take(at, offer.units)
    numbered = [(n, 7, offer) for n, offer in enumerate(offers)]
    shares = max_shares(numbered, {7: (rate, burst)}, target_s)
    assert served <= sum(offer.units * shares[n] for n, offer in enumerate(offers)) + 1e-6
    assert sum(offer.units * share for offer, share in zip(offers, shares.values(), strict=True)) <= (
        burst + rate * (20 + target_s) + 1e-6
    )


def test_valuable_requests_are_admitted_first_and_customers_have_separate_quotas() -> None:
    cheap, valuable = Offer(0, 2.0, 1.0), Offer(SECOND_NS, 2.0, 9.0)
    assert max_units([cheap, valuable], 1.0, 2.0) == [1.0, 2.0]
    shares = max_shares([(1, 7, cheap), (2, 8, cheap)], {7: (1.0, 2.0), 8: (1.0, 1.0)}, 0.0)
    assert shares == {1: 1.0, 2: 0.5}
