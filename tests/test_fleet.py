"""Deployments of hundreds of limiters, each with a small part of the traffic: bounds on their sum."""

import random
from dataclasses import replace

from helpers import MS, SAFE, SECOND, SETTINGS, START, Bench, entry

from aniseshed import interface as api

LIMITERS = 120
SMALL = replace(SETTINGS.plans[0], rate=20.0, burst=40.0)
FLEET = replace(SETTINGS, limiters=LIMITERS, plans=(SMALL,))


def make_limiters(settings: api.Settings = FLEET, limiters: int = LIMITERS, servers: int = 20) -> list[Bench]:
    return [Bench(replace(settings, index=i), servers=servers, seed=i) for i in range(limiters)]


class Counter:
    """Test double of the shared counter: totals by key; calls are answered in their order."""

    def __init__(self) -> None:
        self.totals: dict[int, float] = {}
        self.calls = 0

    def answer(self, bench: Bench) -> None:
        while bench.pending_calls:
            call = bench.pending_calls[0]
            self.calls += 1
            self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount
            bench.answer_call(self.totals[call.key])


def sent_attempts(benches: list[Bench]) -> float:
    return float(sum(len(bench.attempts) for bench in benches))


def test_limiters_together_send_little_beyond_the_quota_of_a_heavy_customer() -> None:
    # Each of 120 limiters has a slice of a third of a unit. If each of them overdraws its slice by one
    # request at once, their sum exceeds the quota.
    benches, counter, rng = make_limiters(), Counter(), random.Random(1)
    seconds, units = 6, 2.0
    for _ in range(seconds * 40):  # 80 units a second, four times the rate
        for bench in benches:
            bench.advance(25 * MS)
        bench = rng.choice(benches)
        request_id = bench.request(units=units, set_size=float(LIMITERS))
        counter.answer(bench)
        if bench.was_sent(request_id):
            bench.end_attempt(request_id)
    quota = SMALL.burst + SMALL.rate * seconds
    assert 0.5 * quota < sent_attempts(benches) * units < 1.7 * quota


def test_counter_calls_of_all_limiters_are_bounded_while_the_counter_is_full() -> None:
    # Without pacing, an overloaded counter would answer no limiter.
    benches = make_limiters(limiters=10)
    late = 0
    for step in range(400):
        for bench in benches:
            bench.advance(25 * MS)
            bench.request(customer=step, units=2.0, set_size=float(LIMITERS))
            late += len(bench.pending_calls) if step >= 200 else 0
            while bench.pending_calls:
                bench.answer_call(0.0, api.Outcome.FULL)
    assert late < 10 * 5 * 3  # Ten limiters, five seconds: a few calls per second each without answers.


def test_first_attempts_of_all_limiters_at_a_cold_server_are_bounded_in_sum() -> None:
    # One first attempt is harmless, but those of all limiters together would crash a cold server.
    benches = make_limiters(replace(FLEET, has_counter=False), servers=60)
    cold = entry(61, started_ns=START)
    for bench in benches:
        bench.handle(api.ServerList(api.ListKind.DELTA, (cold,)))
        for n in range(3):
            bench.request(customer=n, set_size=float(LIMITERS))
    sends = [send.server for bench in benches for send in bench.sent.values()]
    assert len(sends) > LIMITERS and sends.count(cold.server) < LIMITERS / 4


def test_initial_limits_of_all_limiters_do_not_overload_the_servers() -> None:
    # An initial limit of one attempt per server at each of a hundred limiters would overload the servers.
    settings = replace(FLEET, has_counter=False, plans=(replace(SMALL, rate=1e6, burst=1e6),))
    benches = make_limiters(settings)
    for _ in range(100):
        for bench in benches:
            bench.request()
            bench.advance(20 * MS)
    # Twenty servers that never answer get at most twenty attempts in flight each.
    assert sent_attempts(benches) < 20 * 20


def test_a_server_that_is_full_for_one_plan_still_serves_another() -> None:
    plans = (SETTINGS.plans[0], replace(SETTINGS.plans[0], price=2.0))
    bench = Bench(replace(SETTINGS, plans=plans), servers=1)
    rejected = bench.request(customer=1)
    bench.end_attempt(rejected, api.Outcome.FULL)
    assert isinstance(bench.final_answers[rejected], api.Refuse)  # There is no other server to try.
    assert not bench.was_sent(bench.request(customer=1))
    assert bench.was_sent(bench.request(customer=2, plan=1))
    bench.advance(3 * SECOND)
    assert bench.was_sent(bench.request(customer=1))


def test_full_answers_do_not_decrease_the_limit() -> None:
    bench = Bench()
    before = bench.limiter.concurrency_limit
    for n in range(20):
        bench.end_attempt(bench.request(customer=n), api.Outcome.FULL)
    assert bench.limiter.concurrency_limit >= before


def test_a_request_that_cannot_finish_within_its_timeout_is_refused() -> None:
    bench = Bench()
    for n in range(20):
        bench.end_attempt(bench.request(customer=n), elapsed_ns=400 * MS)
    assert isinstance(bench.final_answers[bench.request(customer=50, timeout_ns=200 * MS)], api.Refuse)
    assert bench.was_sent(bench.request(customer=51, timeout_ns=SECOND))


def test_the_first_call_of_a_window_reports_the_debt_of_the_last_one() -> None:
    bench = Bench()
    bench.advance(4900 * MS)
    bench.request(units=4.0)
    bench.answer_call(64.0)  # Others have spent most of the burst just before the end of the window.
    bench.advance(200 * MS)  # into the next window
    bench.request(units=4.0)
    bench.answer_call(bench.pending_calls[0].amount)  # No other limiter has called yet.
    # The debt is carried over and reported at once.
    assert bench.limiter.accounts[1].carried_over > 10 and bench.pending_calls[0].amount > 10


def test_hundreds_of_servers_and_invalid_set_sizes_raise_no_error() -> None:
    bench = Bench(replace(FLEET, index=119), servers=250)
    for size in (0.0, -3.0, 1e9):
        for n in range(50):
            bench.request(customer=n, set_size=size)
    assert bench.sent


def test_a_long_counter_outage_raises_no_error() -> None:
    # A backoff that grows with an unbounded number of misses would overflow.
    bench = Bench()
    for n in range(3000):
        request_id = bench.request(customer=n, units=12.0)
        while bench.pending_calls:
            bench.answer_call(0.0, api.Outcome.TIMEOUT)
        bench.advance(400 * MS)
        if bench.was_sent(request_id):
            bench.end_attempt(request_id)
    assert len(bench.counter_calls) > 1100


def changed_servers(*entries: api.ServerEntry) -> api.ServerList:
    return api.ServerList(api.ListKind.DELTA, entries)


def limiter_with_trust(trust: api.Trust, presumed_start_ns: int = 0, servers: int = 1) -> Bench:
    """A limiter whose server list holds servers with the given trust."""
    bench = Bench(replace(SETTINGS, limiters=1, has_counter=False), servers=0)
    bench.handle(
        changed_servers(
            *(
                replace(entry(n), trust=trust, presumed_start_ns=presumed_start_ns)
                for n in range(1, servers + 1)
            )
        )
    )
    return bench


def test_an_unproven_server_gets_one_attempt_at_a_time_and_claims_only_with_careful_trust() -> None:
    for trust, kinds in ((api.Trust.SAFE, (0,)), (api.Trust.CAREFUL, (0, 1)), (api.Trust.NONE, ())):
        for kind in (0, 1):
            bench = limiter_with_trust(trust)
            first, second = bench.request(class_index=kind), bench.request(customer=2)
            assert bench.was_sent(first) is (kind in kinds)
            assert bench.was_sent(second) is (kind not in kinds and trust is api.Trust.SAFE)


def test_a_search_waits_for_an_unproven_server_only_for_a_part_of_its_target() -> None:
    bench = limiter_with_trust(api.Trust.CAREFUL)
    assert 0 < bench.sent[bench.request(), 0].deadline_ns - bench.now_ns < SAFE.target_ns / 2
    bench = limiter_with_trust(api.Trust.CAREFUL)
    assert bench.sent[bench.request(class_index=1), 0].deadline_ns == 0, (
        "a claim that may have been executed cannot be sent to another server"
    )


def test_a_server_that_may_be_cold_gets_one_more_attempt_in_flight_for_each_answer() -> None:
    bench = limiter_with_trust(api.Trust.TOLD, presumed_start_ns=START)
    for allowed in (1, 2, 3):
        requests = [bench.request(customer=n) for n in range(6)]
        sent = [n for n in requests if bench.was_sent(n)]
        assert len(sent) == allowed
        bench.end_attempt(sent[0])
        for n in sent[1:]:
            bench.end_attempt(n, api.Outcome.FULL)
        bench.advance(3 * SECOND)
    bench.handle(changed_servers(replace(entry(1), presumed_start_ns=START + 1)))
    requests = [bench.request(customer=n) for n in range(6)]
    assert sum(map(bench.was_sent, requests)) == 1, "the server may have restarted again"
    bench.handle(changed_servers(entry(1)))
    assert sum(bench.was_sent(bench.request(customer=n)) for n in range(6)) > 1, (
        "a list reports that it has not restarted"
    )


def test_servers_that_are_all_cold_get_one_attempt_at_a_time() -> None:
    bench = limiter_with_trust(api.Trust.TOLD)
    bench.handle(changed_servers(entry(1, started_ns=START)))
    for n in range(20):
        request = bench.request(customer=n)
        assert bench.was_sent(request) and not bench.was_sent(bench.request(customer=n + 100))
        bench.end_attempt(request)
