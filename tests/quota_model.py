"""A tier of limiters and one customer whose requests shift between them, in simulated time.

The measure is the exact bucket of one gateway that sees all; the counter answers at once.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from helpers import MS, SECOND, SETTINGS, START, Bench

from aniseshed import interface as api


class Exact:
    """The store of one gateway that sees all."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.store, self.at_ns = rate, burst, burst, START

    def take(self, now_ns: int) -> bool:
        if self.level(now_ns) < 1:
            return False
        self.store -= 1
        return True

    def level(self, now_ns: int) -> float:
        self.store = min(self.burst, self.store + self.rate * (now_ns - self.at_ns) / SECOND)
        self.at_ns = now_ns
        return self.store


@dataclass
class Tally:
    asked: int = 0
    gateway: int = 0  # that the gateway lets in
    inside: int = 0
    beyond: int = 0
    refused: int = 0
    refused_full: int = 0  # with more than half of the store left
    calls: int = 0


def play(
    tally: Tally, plan: tuple[float, float], usage: float, limiters: int, seed: int, length_s: int
) -> None:
    chance = random.Random(seed)
    quota = replace(SETTINGS.plans[0], rate=plan[0], burst=plan[1])
    settings = replace(SETTINGS, limiters=limiters, plans=(quota,), counter_timeout_ns=30 * MS)
    benches = [Bench(replace(settings, index=n), seed=seed + n) for n in range(limiters)]
    counts: dict[int, tuple[float, int]] = {}
    gateway, store = Exact(*plan), Exact(*plan)
    now_ns, shift_ns = START, START
    weights = [1.0] * limiters
    waiting: list[tuple[Bench, int]] = []

    def add(call: api.Count) -> float:
        total, ends_ns = counts.get(call.key, (0.0, 0))
        if ends_ns <= now_ns:
            total, ends_ns = 0.0, now_ns + call.lifetime_ns
        counts[call.key] = (total + call.amount, ends_ns)
        return total + call.amount

    def settle() -> None:
        for bench in benches:
            bench.advance(now_ns - bench.now_ns)
            while bench.pending_calls:
                tally.calls += 1
                bench.answer_call(add(bench.pending_calls[0]))

    while now_ns < START + length_s * SECOND:
        now_ns += round(chance.expovariate(usage * plan[0]) * SECOND)
        if now_ns > shift_ns:
            weights = [chance.random() ** 2 + 0.02 for _ in benches]
            shift_ns = now_ns + round(chance.uniform(3, 8) * SECOND)
        settle()
        bench = chance.choices(benches, weights)[0]
        tally.asked += 1
        tally.gateway += gateway.take(now_ns)
        waiting.append((bench, bench.request(set_size=float(limiters))))
        settle()
        still = []
        for bench, request_id in waiting:
            if bench.was_sent(request_id):
                if (request_id, 0) in bench.limiter.in_flight:
                    bench.end_attempt(request_id)
                if store.take(now_ns):
                    tally.inside += 1
                else:
                    tally.beyond += 1
            elif request_id in bench.final_answers:
                tally.refused += 1
                tally.refused_full += store.level(now_ns) > plan[1] / 2
            else:
                still.append((bench, request_id))
        waiting = still
