"""The rules of the limiter: retries, server selection, ejection, overload and invalid input."""

import math
import random
from dataclasses import replace

from helpers import KEYED, MS, SECOND, SETTINGS, Bench, entry

from aniseshed import interface as api
from aniseshed.policy import Limiter

UNSAFE_CLASS, KEYED_CLASS = 1, 2
UNLIMITED_QUOTA = replace(SETTINGS, plans=(replace(SETTINGS.plans[0], rate=1000.0, burst=2000.0),))


def test_an_unsafe_request_that_may_have_run_is_failed_not_sent_again() -> None:
    bench = Bench()
    request_id = bench.request(class_index=UNSAFE_CLASS)
    bench.end_attempt(request_id, api.Outcome.RESET)
    assert bench.attempts[request_id] == 1
    assert isinstance(bench.final_answers[request_id], api.Fail)


def test_an_unsafe_request_that_never_ran_goes_to_another_server() -> None:
    bench = Bench()
    request_id = bench.request(class_index=UNSAFE_CLASS)
    bench.end_attempt(request_id, api.Outcome.CONNECT_FAILED)
    assert bench.attempts[request_id] == 2
    assert bench.sent[(request_id, 0)].server != bench.sent[(request_id, 1)].server


def test_a_keyed_request_is_not_repeated_after_the_deduplication_window() -> None:
    bench = Bench()
    request_id = bench.request(class_index=KEYED_CLASS)
    bench.now_ns += SECOND // 2
    bench.end_attempt(request_id, api.Outcome.RESET)
    assert bench.attempts[request_id] == 1


def test_a_keyed_request_deduplicated_only_within_a_cell_is_failed_not_refused() -> None:
    traffic_class = replace(KEYED, dedup_scope=api.DedupScope.CELL)
    bench = Bench(replace(SETTINGS, classes=(traffic_class,)))
    request_id = bench.request()
    bench.end_attempt(request_id, api.Outcome.RESET)
    assert bench.attempts[request_id] == 1 and isinstance(bench.final_answers[request_id], api.Fail)


def test_a_slow_attempt_is_not_duplicated_where_duplicates_are_forbidden() -> None:
    bench = Bench(replace(SETTINGS, may_duplicate=False))
    request_id = bench.request()
    bench.advance(2 * SECOND)
    assert bench.attempts[request_id] == 1


def test_a_draining_or_removed_server_gets_no_new_request() -> None:
    bench = Bench(UNLIMITED_QUOTA, servers=2)
    bench.handle(
        api.ServerList(api.ListKind.DELTA, (entry(1, api.Health.DRAINING), entry(2, api.Health.GONE)))
    )
    request_id = bench.request()
    assert isinstance(bench.final_answers[request_id], api.Refuse)
    bench.handle(api.ServerList(api.ListKind.FULL, (entry(3),)))
    request_id = bench.request()
    assert bench.sent[(request_id, 0)].server == entry(3).server


def send_rounds(bench: Bench, count: int) -> None:
    """Send rounds of twelve concurrent requests and answer them all, so that every server is used."""
    for _ in range(count):
        request_ids = [bench.request(customer=n) for n in range(12)]
        bench.advance(100 * MS)
        for request_id in request_ids:
            if bench.was_sent(request_id):
                bench.end_attempt(request_id)


def test_a_cold_server_gets_no_more_than_its_share() -> None:
    bench = Bench(UNLIMITED_QUOTA, servers=2)
    send_rounds(bench, 50)
    before = len(bench.sent)
    bench.handle(api.ServerList(api.ListKind.DELTA, (entry(9, started_ns=bench.now_ns),)))
    send_rounds(bench, 50)
    after = [send.server for send in list(bench.sent.values())[before:]]
    assert 0 < after.count(entry(9).server) < len(after) / 3 / 2  # An even share would be a third.


def test_servers_that_all_restarted_are_not_flooded_by_a_limiter_without_measurements() -> None:
    bench = Bench(UNLIMITED_QUOTA, servers=0)
    bench.handle(
        api.ServerList(api.ListKind.CACHED, tuple(entry(n, started_ns=bench.now_ns) for n in (1, 2, 3)))
    )
    assert sum(bench.was_sent(bench.request()) for _ in range(20)) <= 3


def test_a_failing_server_is_ejected_but_never_most_servers() -> None:
    bench = Bench(UNLIMITED_QUOTA, servers=4)
    failing_server = entry(1).server
    for _ in range(60):
        request_id = bench.request(class_index=UNSAFE_CLASS)
        failing = bench.sent[(request_id, 0)].server == failing_server
        bench.end_attempt(
            request_id,
            api.Outcome.ERROR if failing else api.Outcome.OK,
            elapsed_ns=MS if failing else 20 * MS,
        )
    assert sum(s.server == failing_server for s in bench.sent.values()) <= 4
    for _ in range(40):
        request_id = bench.request(class_index=UNSAFE_CLASS)
        if bench.was_sent(request_id):
            bench.end_attempt(request_id, api.Outcome.ERROR)
    assert bench.was_sent(bench.request(class_index=UNSAFE_CLASS))


def test_requests_are_refused_early_under_overload_and_accepted_again_after_it() -> None:
    bench = Bench(UNLIMITED_QUOTA, servers=2)
    open_ids: list[int] = []
    refused = 0
    for n in range(400):
        request_id = bench.request(customer=n % 50)
        if bench.was_sent(request_id):
            open_ids.append(request_id)
        else:
            refused += 1
        bench.advance(10 * MS)
    assert refused > 200  # Nothing is answered, so the limit refuses instead of queueing.
    for request_id in open_ids:
        for attempt in range(bench.attempts[request_id]):
            if request_id not in bench.final_answers:
                bench.end_attempt(request_id, attempt=attempt, elapsed_ns=SECOND)
    bench.advance(2 * SECOND)
    assert bench.was_sent(bench.request(customer=1))


def test_a_request_with_a_short_timeout_does_not_wait_longer_for_the_counter() -> None:
    bench = Bench()
    for _ in range(11):
        bench.request()
    request_id = bench.request(timeout_ns=10 * MS)
    bench.advance(10 * MS)
    assert request_id in bench.final_answers or bench.was_sent(request_id)


def test_a_limiter_subscribes_again_after_discovery_failed() -> None:
    limiter = Limiter(replace(SETTINGS, subscribe=True), 1)
    assert api.Watch(True) in limiter.handle(0, api.ServerList(api.ListKind.CACHED, ()))
    (timer,) = limiter.handle(1, api.ServerList(api.ListKind.FAILED, ()))
    assert isinstance(timer, api.SetTimer) and timer.delay_ns <= SETTINGS.resubscribe_within_ns
    assert limiter.handle(2, api.TimerFired(timer.token)) == [api.Watch(True)]


def test_late_repeated_and_unknown_events_are_ignored() -> None:
    bench = Bench()
    request_id = bench.request()
    bench.end_attempt(request_id)
    assert bench.end_attempt(request_id) == []
    assert bench.handle(api.HungUp(request_id)) == []
    assert bench.handle(api.HungUp(99)) == []
    assert bench.handle(api.TimerFired(12345)) == []
    assert bench.handle(api.Counted(77, api.Outcome.OK, 3.0, 1)) == []
    assert bench.handle(api.Probed(b"nobody", api.Outcome.OK, 1, (math.nan,))) == []
    assert bench.handle(api.PeerMessage(3, b"hello")) == []
    assert bench.handle(api.StreamBegun(99, b"nobody", 0, 1)) == []


def test_invalid_numbers_in_requests_lists_and_plans_raise_no_error() -> None:
    plan = replace(SETTINGS.plans[0], rate=0.0, burst=0.0)
    bench = Bench(replace(SETTINGS, plans=(plan, SETTINGS.plans[0])))
    bench.handle(api.ServerList(api.ListKind.DELTA, (replace(entry(1), weight=math.nan),)))
    for units, size in ((math.nan, math.nan), (0.0, 0.0), (math.inf, math.inf), (-1.0, -5.0)):
        for plan_number in (0, 1, 9):
            bench.request(units=units, set_size=size, plan=plan_number)
    bench.request(class_index=9)
    bench.answer_call(math.nan)
    bench.handle(api.ServerList(api.ListKind.FULL, ()))
    bench.request()


def run_random_events(seed: int) -> tuple[Bench, list[list[api.Action]]]:
    """Feed random events; the harness asserts that no request gets two final answers."""
    rng = random.Random(seed)
    bench = Bench(replace(SETTINGS, may_duplicate=seed % 2 == 0), servers=5, seed=seed)
    actions: list[list[api.Action]] = []
    deadlines: dict[int, int] = {}
    closed: set[int] = set()
    for _ in range(1500):
        draw = rng.random()
        open_attempts = [k for k in bench.sent if k not in ended_attempts(bench)]
        if draw < 0.4:
            units = rng.choice((1.0, 4.0))
            request_id = bench.request(customer=rng.randrange(5), class_index=rng.randrange(3), units=units)
            deadlines[request_id] = bench.now_ns + 3 * SECOND
        elif draw < 0.7 and open_attempts:
            request_id, attempt = rng.choice(open_attempts)
            outcome = rng.choice(list(api.Outcome))
            ended_attempts(bench).add((request_id, attempt))
            actions.append(bench.end_attempt(request_id, outcome, attempt, elapsed_ns=rng.randrange(SECOND)))
            if outcome is api.Outcome.OK:
                closed.add(request_id)
        elif draw < 0.8:
            while bench.pending_calls:
                actions.append(bench.answer_call(rng.uniform(0, 60), rng.choice(list(api.Outcome))))
        elif draw < 0.85:
            health = rng.choice(list(api.Health))
            started_ns = rng.choice((0, bench.now_ns))
            bench.handle(
                api.ServerList(api.ListKind.DELTA, (entry(rng.randrange(1, 6), health, started_ns),))
            )
        else:
            while bench.pending_calls:
                actions.append(bench.answer_call(0.0, api.Outcome.TIMEOUT))
            bench.advance(rng.randrange(200 * MS))
        for key in [
            k for k in bench.sent if k not in ended_attempts(bench) and bench.now_ns >= deadlines[k[0]]
        ]:
            ended_attempts(bench).add(key)
            actions.append(bench.end_attempt(key[0], api.Outcome.TIMEOUT, key[1], elapsed_ns=3 * SECOND))
    while bench.pending_calls:
        bench.answer_call(0.0, api.Outcome.TIMEOUT)
    bench.advance(10 * SECOND)
    for key in [k for k in bench.sent if k not in ended_attempts(bench)]:
        ended_attempts(bench).add(key)
        bench.end_attempt(key[0], api.Outcome.TIMEOUT, key[1], elapsed_ns=3 * SECOND)
    for request_id in deadlines:
        assert request_id in bench.final_answers or request_id in closed, "request without a final answer"
    return bench, actions


def ended_attempts(bench: Bench) -> set[tuple[int, int]]:
    return bench.__dict__.setdefault("ended", set())  # type: ignore[no-any-return]


def test_random_events_keep_the_rules_and_are_reproducible() -> None:
    for seed in range(6):
        bench, actions = run_random_events(seed)
        assert actions == run_random_events(seed)[1]
        for request_id, final in bench.final_answers.items():
            assert bench.attempts.get(request_id, 0) <= SETTINGS.max_attempts
            assert isinstance(final, api.Refuse | api.Fail)
        assert not bench.limiter.pending and not bench.limiter.in_flight


def test_request_of_a_tiny_amount_does_not_have_others_of_its_class_refused() -> None:
    """Guards against one request that makes its class look so slow that all others are refused."""
    bench = Bench()
    for _ in range(5):
        bench.end_attempt(bench.request(), elapsed_ns=20 * MS)
    bench.end_attempt(bench.request(units=1e-9), elapsed_ns=20 * MS)
    assert bench.limiter.unit_latency_ns[0] <= 20 * MS * 1.001
    assert max(server.slowness for server in bench.limiter.servers.values()) < 1.1
    held, other = bench.request(), bench.request()
    assert bench.was_sent(held) and bench.was_sent(other)
