"""One of hundreds of limiters with little traffic, whose slices hold less than one request."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import replace

import pytest
from helpers import MS, SAFE, SECOND, SETTINGS, START, UNSAFE, Bench

from aniseshed.account import CallPacer
from aniseshed.interface import Counted, Outcome
from aniseshed.partition import PartitionDetector

LIMITERS = 200
SEARCH, CLAIM = 0, 1
PLANS = tuple(
    replace(SETTINGS.plans[0], rate=rate, burst=burst, price=price)
    for rate, burst, price in ((1.0, 5.0, 0.88), (4.4, 20.0, 1.2), (14.0, 33.0, 1.8))
)
FLEET = replace(
    SETTINGS,
    limiters=LIMITERS,
    index=70,
    classes=(
        replace(SAFE, value=2.0),
        replace(UNSAFE, target_ns=2 * SECOND, deadline_ns=6 * SECOND, value=5.0),
    ),
    plans=PLANS,
    counter_timeout_ns=30 * MS,
)


def run_traffic(
    seed: int, length_s: int, rate: float, answer_ms: float, silent: bool
) -> tuple[Counter[int], Counter[int]]:
    """Requests and sent requests by class; nearly every request is a customer's first at this limiter.

    ``rate`` is in requests per second; a unit is answered in ``answer_ms`` on average."""
    rng, bench = random.Random(seed), Bench(FLEET, servers=LIMITERS)
    requested, sent = Counter[int](), Counter[int]()
    answers, waiting = list[tuple[int, int, int]](), dict[int, int]()
    while bench.now_ns < START + length_s * SECOND:
        next_ns = bench.now_ns + round(rng.expovariate(rate) * SECOND)
        while answers and answers[0][0] <= next_ns:
            answered_ns, request_id, took_ns = heapq.heappop(answers)
            bench.advance(answered_ns - bench.now_ns)
            bench.end_attempt(request_id, elapsed_ns=took_ns)
        bench.advance(next_ns - bench.now_ns)
        class_index = CLAIM if rng.random() < 0.44 else SEARCH
        request_id = bench.request(
            traffic_class=class_index,
            plan=rng.randrange(3),
            customer=rng.randrange(10_000),
            units=1.0 + class_index,
            set_size=150.0,
            timeout_ns=FLEET.classes[class_index].deadline_ns,
        )
        requested[class_index] += 1
        waiting[request_id] = class_index
        while bench.pending_calls:
            if silent:
                bench.answer_call(0.0, Outcome.TIMEOUT)
            else:
                bench.answer_call(bench.pending_calls[0].amount)
        for request_id, class_index in list(waiting.items()):
            if bench.was_sent(request_id):
                del waiting[request_id]
                sent[class_index] += 1
                took_ns = round(rng.gammavariate(2, answer_ms * (1 + class_index) / 2) * MS)
                heapq.heappush(answers, (bench.now_ns + took_ns, request_id, took_ns))
    return requested, sent


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_lowest_value_class_is_served_while_answers_are_in_time(seed: int, silent: bool) -> None:
    # Eight requests per second, one or two in flight at a time, all answered well within their targets. A
    # class that is refused while any other request is in flight stays refused, since the few requests in
    # flight never use enough of the limit to raise it.
    requested, sent = run_traffic(seed, 30, 8.0, 130, silent)
    assert sent[SEARCH] > 0.9 * requested[SEARCH] and sent[CLAIM] > 0.9 * requested[CLAIM]


def test_the_limit_still_applies_while_the_counter_is_silent() -> None:
    # Ten times the load, and late answers: the limit decides, and higher values are served first.
    requested, sent = run_traffic(1, 30, 80.0, 2000, True)
    assert (
        sent[SEARCH] < 0.2 * requested[SEARCH]
        and sent[SEARCH] / requested[SEARCH] < sent[CLAIM] / requested[CLAIM]
    )


def test_no_heartbeats_are_sent_while_no_set_fits_into_a_group() -> None:
    bench = Bench(FLEET, servers=LIMITERS)
    bench.request(set_size=150.0)
    bench.advance(5 * SECOND)
    assert not bench.heartbeats and not bench.peer_messages, (
        "200 limiters would each send a call and a datagram per second"
    )
    bench.request(customer=2, set_size=4.0)
    bench.advance(SECOND)
    assert len(bench.heartbeats) == 1


def test_datagrams_go_only_to_the_limiters_of_the_same_group() -> None:
    bench = Bench(replace(FLEET, may_message_peers=True), servers=LIMITERS)
    bench.request(set_size=4.0)
    bench.advance(SECOND)
    assert [tell.peer for tell in bench.peer_messages] == [64, 65, 66, 67, 68, 69, 71]
    three = Bench(replace(FLEET, may_message_peers=True, limiters=3, index=1))
    three.request()
    three.advance(SECOND)
    assert [tell.peer for tell in three.peer_messages] == [None]


def test_a_silent_counter_is_probed_while_no_requests_arrive() -> None:
    bench = Bench(FLEET, servers=LIMITERS)
    for n in range(20):
        bench.request(customer=n, set_size=150.0)
        while bench.pending_calls:
            bench.answer_call(0.0, Outcome.TIMEOUT)
        bench.advance(100 * MS)
    assert bench.limiter.counter_health.is_silent(bench.now_ns)
    bench.advance(2 * SECOND)
    heartbeat = bench.heartbeats[-1]
    bench.handle(Counted(heartbeat.key, Outcome.OK, 0.0, 2 * MS, heartbeat.call_id))
    assert not bench.limiter.counter_health.is_silent(bench.now_ns)
    assert bench.limiter.call_pacer.consecutive_misses == 0, "the next requests may call it again"


def test_a_class_is_tried_again_after_one_slow_answer() -> None:
    # A late first answer would exclude its class for good: without further answers the estimate never
    # changes.
    bench = Bench(FLEET, servers=LIMITERS)

    def claim(n: int, took_ns: int) -> bool:
        request_id = bench.request(
            traffic_class=CLAIM, customer=n, units=2.0, set_size=150.0, timeout_ns=4 * SECOND
        )
        while bench.pending_calls:
            bench.answer_call(bench.pending_calls[0].amount)
        bench.advance(took_ns)
        if sent := bench.was_sent(request_id):
            bench.end_attempt(request_id, elapsed_ns=took_ns)
        bench.advance(2 * SECOND)
        return sent

    assert claim(0, 6 * SECOND)
    assert bench.limiter.unit_latency_ns[CLAIM] * 2 > 4 * SECOND
    results = [claim(n, 300 * MS) for n in range(1, 20)]
    assert sum(results) == 19 and bench.limiter.unit_latency_ns[CLAIM] < SECOND


def test_no_second_request_is_sent_while_a_slow_one_is_in_flight() -> None:
    bench = Bench(FLEET, servers=LIMITERS)
    bench.limiter.unit_latency_ns[SEARCH] = 3.5 * SECOND
    sent = [bench.was_sent(bench.request(customer=n, set_size=1.0)) for n in range(3)]
    assert sent == [True, False, False]


def test_calls_resume_at_once_when_the_counter_recovers() -> None:
    # During a silence each of 200 limiters slows down to one call in up to 19 s.
    pacer, now_ns = CallPacer(LIMITERS, 30 * MS), START
    for _ in range(20):
        pacer.tokens.resync(now_ns)
        pacer.on_call()
        pacer.on_result(False)
        now_ns += 100 * MS
    assert pacer.tokens.next_free_ticket_ns > now_ns + 10 * SECOND
    pacer.on_recovered(now_ns)
    assert pacer.is_free(now_ns + SECOND, 0.0)


def test_a_set_larger_than_a_group_keeps_its_whole_quota_in_a_split() -> None:
    detector = PartitionDetector(0, LIMITERS, START, True, split=frozenset({1, 2}))
    assert detector.quota_share(0, 150) == 1.0 and detector.quota_share(0, 4) == 0.5
