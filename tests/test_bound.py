"""The most that a policy can earn: nothing passes it, and something reaches it."""

from __future__ import annotations

import itertools
import random

import pytest

from hookport.rehearsal.bound import SECOND, Offer, max_shares, max_units
from hookport.rehearsal.referee import TokenBucket


def earned(offers: list[Offer], shares: list[float]) -> float:
    return sum(offer.worth * units for offer, units in zip(offers, shares, strict=True))


def fits(offers: list[Offer], units: list[float], rate: float, burst: float) -> bool:
    """Every stretch of time, from one offer to another."""
    return all(
        sum(units[first : last + 1])
        <= burst + rate * (offers[last].at_ns - offers[first].at_ns) / SECOND + 1e-6
        for first in range(len(offers))
        for last in range(first, len(offers))
    )


@pytest.mark.parametrize("seed", range(60))
def test_no_choice_of_whole_requests_earns_more_and_what_it_lets_in_fits(seed: int) -> None:
    chance = random.Random(seed)
    rate, burst = chance.uniform(0.5, 3), chance.uniform(2, 5)
    at, offers = 0, []
    for _ in range(9):
        at += round(chance.expovariate(2) * SECOND)
        offers.append(Offer(at, chance.randint(1, 2), chance.choice([2.0, 2.0, 5.0])))
    let_in = max_units(offers, rate, burst)
    assert fits(offers, let_in, rate, burst)
    best = 0.0
    for taken in itertools.product((0, 1), repeat=len(offers)):
        units = [offer.units * take for offer, take in zip(offers, taken, strict=True)]
        if fits(offers, units, rate, burst):
            best = max(best, earned(offers, units))
    assert best <= earned(offers, let_in) + 1e-6


@pytest.mark.parametrize("seed", range(20))
def test_where_nothing_is_broken_off_some_choice_earns_as_much(seed: int) -> None:
    """Single units, whole seconds and a whole burst: the fluid lets in whole requests, so the bound is
    exact."""
    chance = random.Random(seed)
    offers = [Offer(chance.randint(0, 6) * SECOND, 1.0, chance.choice([1.0, 2.0, 5.0])) for _ in range(10)]
    offers.sort()
    let_in = max_units(offers, 1.0, 2.0)
    assert set(let_in) <= {0.0, 1.0} and fits(offers, let_in, 1.0, 2.0) and 0 < sum(let_in) < 10


@pytest.mark.parametrize("seed", range(20))
def test_whoever_lets_in_who_comes_first_or_waits_for_room_earns_no_more(seed: int) -> None:
    """One store served in order, each request as soon as there is room and at the latest after the aim."""
    chance = random.Random(seed)
    rate, burst, aim_s = 4.0, 6.0, 0.75
    offers = sorted(
        Offer(round(chance.uniform(0, 20) * SECOND), chance.randint(1, 3), 1.0) for _ in range(120)
    )
    store, got, now = TokenBucket(rate, burst), 0.0, 0
    for offer in offers:
        now = max(now, offer.at_ns)
        short = offer.units - store.refill(now)
        at = now + max(0, round(short / rate * SECOND) + 1)
        if at <= offer.at_ns + aim_s * SECOND:
            now = at
            got += offer.units * store.take(at, offer.units)
    numbered = [(n, 7, offer) for n, offer in enumerate(offers)]
    shares = max_shares(numbered, {7: (rate, burst)}, aim_s)
    assert got <= sum(offer.units * shares[n] for n, offer in enumerate(offers)) + 1e-6
    assert sum(offer.units * share for offer, share in zip(offers, shares.values(), strict=True)) <= (
        burst + rate * (20 + aim_s) + 1e-6
    )


def test_what_is_precious_comes_first_and_customers_share_nothing() -> None:
    cheap, dear = Offer(0, 2.0, 1.0), Offer(SECOND, 2.0, 9.0)
    assert max_units([cheap, dear], 1.0, 2.0) == [1.0, 2.0]
    shares = max_shares([(1, 7, cheap), (2, 8, cheap)], {7: (1.0, 2.0), 8: (1.0, 1.0)}, 0.0)
    assert shares == {1: 1.0, 2: 0.5}
