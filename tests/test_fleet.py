"""Full size: hundreds of limiters, each seeing a sliver of the traffic, bounded in all."""

import random
from dataclasses import replace

from helpers import MS, SAFE, SECOND, SETTINGS, START, Bench, entry

from aniseshed import interface as api

LIMITERS = 120
SMALL = replace(SETTINGS.plans[0], rate=20.0, burst=40.0)
FLEET = replace(SETTINGS, limiters=LIMITERS, plans=(SMALL,))


def fleet(settings: api.Settings = FLEET, limiters: int = LIMITERS, servers: int = 20) -> list[Bench]:
    return [Bench(replace(settings, index=i), servers=servers, seed=i) for i in range(limiters)]


class Counter:
    """The shared counter's double: numbers by name, answered in the order of the calls."""

    def __init__(self) -> None:
        self.numbers: dict[int, float] = {}
        self.calls = 0

    def answer(self, bench: Bench) -> None:
        while bench.pending_calls:
            call = bench.pending_calls[0]
            self.calls += 1
            self.numbers[call.key] = self.numbers.get(call.key, 0.0) + call.amount
            bench.answer_call(self.numbers[call.key])


def passed(benches: list[Bench]) -> float:
    return float(sum(len(bench.attempts) for bench in benches))


def test_all_limiters_of_a_heavy_customer_pass_little_beyond_its_quota() -> None:
    # Guards against each of a large set taking ahead what its slice cannot hold: 120 slices of a third.
    benches, counter, chance = fleet(), Counter(), random.Random(1)
    seconds, each = 6, 2.0
    for _ in range(seconds * 40):  # 80 units a second, four times the rate
        for bench in benches:
            bench.advance(25 * MS)
        bench = chance.choice(benches)
        rid = bench.request(units=each, set_size=float(LIMITERS))
        counter.answer(bench)
        if bench.was_sent(rid):
            bench.end_attempt(rid)
    quota = SMALL.burst + SMALL.rate * seconds
    assert 0.5 * quota < passed(benches) * each < 1.7 * quota


def test_the_fleets_calls_are_bounded_while_the_counter_is_full() -> None:
    # Guards against a counter so crowded that it answers nobody.
    benches = fleet(limiters=10)
    late = 0
    for step in range(400):
        for bench in benches:
            bench.advance(25 * MS)
            bench.request(customer=step, units=2.0, set_size=float(LIMITERS))
            late += len(bench.pending_calls) if step >= 200 else 0
            while bench.pending_calls:
                bench.answer_call(0.0, api.Outcome.FULL)
    assert late < 10 * 5 * 3  # ten limiters, five seconds: a few calls a second each while nobody is heard


def test_first_attempts_of_all_limiters_at_a_cold_server_are_bounded() -> None:
    # Guards against each limiter's first attempt being harmless and their sum pushing a cold server over.
    benches = fleet(replace(FLEET, has_counter=False), servers=60)
    cold = entry(61, started_ns=START)
    for bench in benches:
        bench.handle(api.ServerList(api.ListKind.DELTA, (cold,)))
        for n in range(3):
            bench.request(customer=n, set_size=float(LIMITERS))
    sends = [send.server for bench in benches for send in bench.sent.values()]
    assert len(sends) > LIMITERS and sends.count(cold.server) < LIMITERS / 4


def test_limiters_begin_with_a_limit_that_the_servers_bear_together() -> None:
    # Guards against some hundred limiters with as many attempts out each as there are servers.
    settings = replace(FLEET, has_counter=False, plans=(replace(SMALL, rate=1e6, burst=1e6),))
    benches = fleet(settings)
    for _ in range(100):
        for bench in benches:
            bench.request()
            bench.advance(20 * MS)
    assert passed(benches) < 20 * 20  # twenty servers that never answer: no more than twenty out at each


def test_a_server_full_for_one_plan_still_serves_the_other() -> None:
    plans = (SETTINGS.plans[0], replace(SETTINGS.plans[0], price=2.0))
    bench = Bench(replace(SETTINGS, plans=plans), servers=1)
    turned = bench.request(customer=1)
    bench.end_attempt(turned, api.Outcome.FULL)
    assert isinstance(bench.final_answers[turned], api.Refuse)  # no tour of servers: there is no other
    assert not bench.was_sent(bench.request(customer=1))
    assert bench.was_sent(bench.request(customer=2, plan=1))
    bench.advance(3 * SECOND)
    assert bench.was_sent(bench.request(customer=1))


def test_full_answers_do_not_cut_the_limit() -> None:
    bench = Bench()
    before = bench.limiter.concurrency_limit
    for n in range(20):
        bench.end_attempt(bench.request(customer=n), api.Outcome.FULL)
    assert bench.limiter.concurrency_limit >= before


def test_work_that_cannot_end_in_the_clients_time_is_not_begun() -> None:
    bench = Bench()
    for n in range(20):
        bench.end_attempt(bench.request(customer=n), elapsed_ns=400 * MS)
    assert isinstance(bench.final_answers[bench.request(customer=50, timeout_ns=200 * MS)], api.Refuse)
    assert bench.was_sent(bench.request(customer=51, timeout_ns=SECOND))


def test_the_first_caller_of_a_window_hands_on_what_is_missing() -> None:
    bench = Bench()
    bench.advance(4900 * MS)
    bench.request(units=4.0)
    bench.answer_call(64.0)  # others have spent most of the burst at the window's very end
    bench.advance(200 * MS)  # into the next window
    bench.request(units=4.0)
    bench.answer_call(bench.pending_calls[0].amount)  # nobody else has called yet
    assert bench.limiter.accounts[1].carried_over > 10 and bench.pending_calls[0].amount > 10  # at once


def test_hundreds_of_servers_and_absurd_sets_raise_nothing() -> None:
    bench = Bench(replace(FLEET, index=119), servers=250)
    for size in (0.0, -3.0, 1e9):
        for n in range(50):
            bench.request(customer=n, set_size=size)
    assert bench.sent


def test_a_counter_that_is_down_for_long_raises_nothing() -> None:
    # Guards against a backoff computed from an unbounded number of misses.
    bench = Bench()
    for n in range(3000):
        rid = bench.request(customer=n, units=12.0)
        while bench.pending_calls:
            bench.answer_call(0.0, api.Outcome.TIMEOUT)
        bench.advance(400 * MS)
        if bench.was_sent(rid):
            bench.end_attempt(rid)
    assert len(bench.counter_calls) > 1100


def listed(*entries: api.ServerEntry) -> api.ServerList:
    return api.ServerList(api.ListKind.DELTA, entries)


def doubted(trust: api.Trust, presumed_ns: int = 0, servers: int = 1) -> Bench:
    """A limiter whose list says how far its servers are trusted."""
    bench = Bench(replace(SETTINGS, limiters=1, has_counter=False), servers=0)
    bench.handle(
        listed(
            *(replace(entry(n), trust=trust, presumed_start_ns=presumed_ns) for n in range(1, servers + 1))
        )
    )
    return bench


def test_a_server_that_has_to_prove_itself_gets_one_attempt_at_a_time_and_claims_only_if_careful() -> None:
    for trust, kinds in ((api.Trust.SAFE, (0,)), (api.Trust.CAREFUL, (0, 1)), (api.Trust.NONE, ())):
        for kind in (0, 1):
            bench = doubted(trust)
            first, second = bench.request(class_index=kind), bench.request(customer=2)
            assert bench.was_sent(first) is (kind in kinds)
            assert bench.was_sent(second) is (kind not in kinds and trust is api.Trust.SAFE)


def test_a_search_waits_for_a_doubted_server_only_a_part_of_its_aim() -> None:
    bench = doubted(api.Trust.CAREFUL)
    assert 0 < bench.sent[bench.request(), 0].deadline_ns - bench.now_ns < SAFE.target_ns / 2
    bench = doubted(api.Trust.CAREFUL)
    assert bench.sent[bench.request(class_index=1), 0].deadline_ns == 0, (
        "a claim that may have run has nowhere else to go"
    )


def test_a_server_that_may_be_cold_gets_one_more_at_a_time_for_each_answer() -> None:
    bench = doubted(api.Trust.TOLD, presumed_ns=START)
    for allowed in (1, 2, 3):
        asked = [bench.request(customer=n) for n in range(6)]
        sent = [n for n in asked if bench.was_sent(n)]
        assert len(sent) == allowed
        bench.end_attempt(sent[0])
        for n in sent[1:]:
            bench.end_attempt(n, api.Outcome.FULL)
        bench.advance(3 * SECOND)
    bench.handle(listed(replace(entry(1), presumed_start_ns=START + 1)))
    asked = [bench.request(customer=n) for n in range(6)]
    assert sum(map(bench.was_sent, asked)) == 1, "it may have started again"
    bench.handle(listed(entry(1)))
    assert sum(bench.was_sent(bench.request(customer=n)) for n in range(6)) > 1, "a list says that it has not"


def test_a_fleet_that_is_all_cold_is_served_one_attempt_at_a_time() -> None:
    bench = doubted(api.Trust.TOLD)
    bench.handle(listed(entry(1, started_ns=START)))
    for n in range(20):
        request = bench.request(customer=n)
        assert bench.was_sent(request) and not bench.was_sent(bench.request(customer=n + 100))
        bench.end_attempt(request)
