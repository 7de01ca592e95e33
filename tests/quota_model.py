"""A group of limiters and one customer whose requests shift between them, in simulated time.

The measure is the exact bucket of one gateway that sees every request; the counter answers at once.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from helpers import MS, SECOND, SETTINGS, START, Bench

from aniseshed import interface as api


class ExactBucket:
    """The token bucket of one gateway that sees every request."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.balance, self.updated_ns = rate, burst, burst, START

    def take(self, now_ns: int) -> bool:
        if self.balance_at(now_ns) < 1:
            return False
        self.balance -= 1
        return True

    def balance_at(self, now_ns: int) -> float:
        self.balance = min(self.burst, self.balance + self.rate * (now_ns - self.updated_ns) / SECOND)
        self.updated_ns = now_ns
        return self.balance


@dataclass
class Tally:
    """Numbers of requests and counter calls, over all simulations that share it."""

    requests: int = 0
    exact_allowed: int = 0  # requests that the exact bucket would allow
    within_quota: int = 0
    beyond_quota: int = 0
    refused: int = 0
    refused_half_full: int = 0  # with more than half of the quota left
    counter_calls: int = 0


def simulate(
    tally: Tally, plan: tuple[float, float], usage: float, limiters: int, seed: int, length_s: int
) -> None:
    rng = random.Random(seed)
    quota = replace(SETTINGS.plans[0], rate=plan[0], burst=plan[1])
    settings = replace(SETTINGS, limiters=limiters, plans=(quota,), counter_timeout_ns=30 * MS)
    benches = [Bench(replace(settings, index=n), seed=seed + n) for n in range(limiters)]
    totals: dict[int, tuple[float, int]] = {}
    exact_bucket, sent_bucket = ExactBucket(*plan), ExactBucket(*plan)
    now_ns, next_shift_ns = START, START
    weights = [1.0] * limiters
    open_requests: list[tuple[Bench, int]] = []

    def add(call: api.Count) -> float:
        total, expires_ns = totals.get(call.key, (0.0, 0))
        if expires_ns <= now_ns:
            total, expires_ns = 0.0, now_ns + call.lifetime_ns
        totals[call.key] = (total + call.amount, expires_ns)
        return total + call.amount

    def answer_calls() -> None:
        for bench in benches:
            bench.advance(now_ns - bench.now_ns)
            while bench.pending_calls:
                tally.counter_calls += 1
                bench.answer_call(add(bench.pending_calls[0]))

    while now_ns < START + length_s * SECOND:
        now_ns += round(rng.expovariate(usage * plan[0]) * SECOND)
        if now_ns > next_shift_ns:
            weights = [rng.random() ** 2 + 0.02 for _ in benches]
            next_shift_ns = now_ns + round(rng.uniform(3, 8) * SECOND)
        answer_calls()
        bench = rng.choices(benches, weights)[0]
        tally.requests += 1
        tally.exact_allowed += exact_bucket.take(now_ns)
        open_requests.append((bench, bench.request(set_size=float(limiters))))
        answer_calls()
        unfinished = []
        for bench, request_id in open_requests:
            if bench.was_sent(request_id):
                if (request_id, 0) in bench.limiter.in_flight:
                    bench.end_attempt(request_id)
                if sent_bucket.take(now_ns):
                    tally.within_quota += 1
                else:
                    tally.beyond_quota += 1
            elif request_id in bench.final_answers:
                tally.refused += 1
                tally.refused_half_full += sent_bucket.balance_at(now_ns) > plan[1] / 2
            else:
                unfinished.append((bench, request_id))
        open_requests = unfinished
