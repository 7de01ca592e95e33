"""Each rule with the case that would break it, and bad input."""

import math
import random
from dataclasses import replace

from helpers import KEYED, MS, SECOND, SETTINGS, Bench, entry

from aniseshed import interface as api
from aniseshed.policy import Limiter

UNSAFE, KEY = 1, 2
LOOSE = replace(SETTINGS, plans=(replace(SETTINGS.plans[0], rate=1000.0, burst=2000.0),))


def test_an_unsafe_request_that_may_have_run_is_failed_not_sent_again() -> None:
    bench = Bench()
    rid = bench.request(class_index=UNSAFE)
    bench.end_attempt(rid, api.Outcome.RESET)
    assert bench.attempts[rid] == 1
    assert isinstance(bench.final_answers[rid], api.Fail)


def test_an_unsafe_request_that_never_ran_goes_to_another_server() -> None:
    bench = Bench()
    rid = bench.request(class_index=UNSAFE)
    bench.end_attempt(rid, api.Outcome.CONNECT_FAILED)
    assert bench.attempts[rid] == 2
    assert bench.sent[(rid, 0)].server != bench.sent[(rid, 1)].server


def test_a_keyed_request_is_not_repeated_after_its_window() -> None:
    bench = Bench()
    rid = bench.request(class_index=KEY)
    bench.now_ns += SECOND // 2
    bench.end_attempt(rid, api.Outcome.RESET)
    assert bench.attempts[rid] == 1


def test_a_keyed_request_of_a_small_group_is_failed_not_refused() -> None:
    kind = replace(KEYED, dedup_scope=api.DedupScope.CELL)
    bench = Bench(replace(SETTINGS, classes=(kind,)))
    rid = bench.request()
    bench.end_attempt(rid, api.Outcome.RESET)
    assert bench.attempts[rid] == 1 and isinstance(bench.final_answers[rid], api.Fail)


def test_never_two_attempts_out_where_copies_are_forbidden() -> None:
    bench = Bench(replace(SETTINGS, may_duplicate=False))
    rid = bench.request()
    bench.advance(2 * SECOND)
    assert bench.attempts[rid] == 1


def test_nothing_new_to_draining_or_gone_servers() -> None:
    bench = Bench(LOOSE, servers=2)
    bench.handle(
        api.ServerList(api.ListKind.DELTA, (entry(1, api.Health.DRAINING), entry(2, api.Health.GONE)))
    )
    rid = bench.request()
    assert isinstance(bench.final_answers[rid], api.Refuse)
    bench.handle(api.ServerList(api.ListKind.FULL, (entry(3),)))
    rid = bench.request()
    assert bench.sent[(rid, 0)].server == entry(3).server


def rounds(bench: Bench, many: int) -> None:
    """Rounds of twelve requests at once, all answered: enough to reach every server."""
    for _ in range(many):
        rids = [bench.request(customer=n) for n in range(12)]
        bench.advance(100 * MS)
        for rid in rids:
            if bench.was_sent(rid):
                bench.end_attempt(rid)


def test_a_cold_server_gets_its_share_only() -> None:
    bench = Bench(LOOSE, servers=2)
    rounds(bench, 50)
    before = len(bench.sent)
    bench.handle(api.ServerList(api.ListKind.DELTA, (entry(9, started_ns=bench.now_ns),)))
    rounds(bench, 50)
    after = [send.server for send in list(bench.sent.values())[before:]]
    assert 0 < after.count(entry(9).server) < len(after) / 3 / 2  # an even part would be a third


def test_a_fleet_restarted_cold_is_not_flooded_by_a_limiter_that_knows_nothing() -> None:
    bench = Bench(LOOSE, servers=0)
    bench.handle(
        api.ServerList(api.ListKind.CACHED, tuple(entry(n, started_ns=bench.now_ns) for n in (1, 2, 3)))
    )
    assert sum(bench.was_sent(bench.request()) for _ in range(20)) <= 3


def test_a_failing_server_is_ejected_but_never_most_of_them() -> None:
    bench = Bench(LOOSE, servers=4)
    bad = entry(1).server
    for _ in range(60):
        rid = bench.request(class_index=UNSAFE)
        failing = bench.sent[(rid, 0)].server == bad
        bench.end_attempt(
            rid, api.Outcome.ERROR if failing else api.Outcome.OK, elapsed_ns=MS if failing else 20 * MS
        )
    assert sum(s.server == bad for s in bench.sent.values()) <= 4
    for _ in range(40):
        rid = bench.request(class_index=UNSAFE)
        if bench.was_sent(rid):
            bench.end_attempt(rid, api.Outcome.ERROR)
    assert bench.was_sent(bench.request(class_index=UNSAFE))


def test_overload_is_refused_early_and_heals() -> None:
    bench = Bench(LOOSE, servers=2)
    open_ids: list[int] = []
    refused = 0
    for n in range(400):
        rid = bench.request(customer=n % 50)
        if bench.was_sent(rid):
            open_ids.append(rid)
        else:
            refused += 1
        bench.advance(10 * MS)
    assert refused > 200  # nothing is answered: the limit closes instead of piling up
    for rid in open_ids:
        for attempt in range(bench.attempts[rid]):
            if rid not in bench.final_answers:
                bench.end_attempt(rid, attempt=attempt, elapsed_ns=SECOND)
    bench.advance(2 * SECOND)
    assert bench.was_sent(bench.request(customer=1))


def test_a_request_with_hardly_any_time_left_is_still_answered_in_time() -> None:
    # Guards against waiting longer for the counter than the client waits for us.
    bench = Bench()
    for _ in range(11):
        bench.request()
    rid = bench.request(timeout_ns=10 * MS)
    bench.advance(10 * MS)
    assert rid in bench.final_answers or bench.was_sent(rid)


def test_subscribes_and_asks_again_after_a_failure() -> None:
    limiter = Limiter(replace(SETTINGS, subscribe=True), 1)
    assert api.Watch(True) in limiter.handle(0, api.ServerList(api.ListKind.CACHED, ()))
    (timer,) = limiter.handle(1, api.ServerList(api.ListKind.FAILED, ()))
    assert isinstance(timer, api.SetTimer) and timer.delay_ns <= SETTINGS.resubscribe_within_ns
    assert limiter.handle(2, api.TimerFired(timer.token)) == [api.Watch(True)]


def test_late_repeated_and_unknown_events_change_nothing() -> None:
    bench = Bench()
    rid = bench.request()
    bench.end_attempt(rid)
    assert bench.end_attempt(rid) == []
    assert bench.handle(api.HungUp(rid)) == []
    assert bench.handle(api.HungUp(99)) == []
    assert bench.handle(api.TimerFired(12345)) == []
    assert bench.handle(api.Counted(77, api.Outcome.OK, 3.0, 1)) == []
    assert bench.handle(api.Probed(b"nobody", api.Outcome.OK, 1, (math.nan,))) == []
    assert bench.handle(api.PeerMessage(3, b"hello")) == []
    assert bench.handle(api.StreamBegun(99, b"nobody", 0, 1)) == []


def test_absurd_values_raise_nothing() -> None:
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


def random_day(seed: int) -> tuple[Bench, list[list[api.Action]]]:
    """A day of chance events; the helper asserts that nobody gets two final answers."""
    chance = random.Random(seed)
    bench = Bench(replace(SETTINGS, may_duplicate=seed % 2 == 0), servers=5, seed=seed)
    told: list[list[api.Action]] = []
    deadlines: dict[int, int] = {}
    closed: set[int] = set()
    for _ in range(1500):
        roll = chance.random()
        open_attempts = [k for k in bench.sent if k not in ended(bench)]
        if roll < 0.4:
            units = chance.choice((1.0, 4.0))
            rid = bench.request(customer=chance.randrange(5), class_index=chance.randrange(3), units=units)
            deadlines[rid] = bench.now_ns + 3 * SECOND
        elif roll < 0.7 and open_attempts:
            rid, attempt = chance.choice(open_attempts)
            outcome = chance.choice(list(api.Outcome))
            ended(bench).add((rid, attempt))
            told.append(bench.end_attempt(rid, outcome, attempt, elapsed_ns=chance.randrange(SECOND)))
            if outcome is api.Outcome.OK:
                closed.add(rid)
        elif roll < 0.8:
            while bench.pending_calls:
                told.append(bench.answer_call(chance.uniform(0, 60), chance.choice(list(api.Outcome))))
        elif roll < 0.85:
            health = chance.choice(list(api.Health))
            born = chance.choice((0, bench.now_ns))
            bench.handle(api.ServerList(api.ListKind.DELTA, (entry(chance.randrange(1, 6), health, born),)))
        else:
            while bench.pending_calls:
                told.append(bench.answer_call(0.0, api.Outcome.TIMEOUT))
            bench.advance(chance.randrange(200 * MS))
        for key in [k for k in bench.sent if k not in ended(bench) and bench.now_ns >= deadlines[k[0]]]:
            ended(bench).add(key)
            told.append(bench.end_attempt(key[0], api.Outcome.TIMEOUT, key[1], elapsed_ns=3 * SECOND))
    while bench.pending_calls:
        bench.answer_call(0.0, api.Outcome.TIMEOUT)
    bench.advance(10 * SECOND)
    for key in [k for k in bench.sent if k not in ended(bench)]:
        ended(bench).add(key)
        bench.end_attempt(key[0], api.Outcome.TIMEOUT, key[1], elapsed_ns=3 * SECOND)
    for rid in deadlines:
        assert rid in bench.final_answers or rid in closed, "a request without a final answer"
    return bench, told


def ended(bench: Bench) -> set[tuple[int, int]]:
    return bench.__dict__.setdefault("ended", set())  # type: ignore[no-any-return]


def test_chance_events_keep_the_rules_and_are_repeatable() -> None:
    for seed in range(6):
        bench, told = random_day(seed)
        assert told == random_day(seed)[1]
        for rid, final in bench.final_answers.items():
            assert bench.attempts.get(rid, 0) <= SETTINGS.max_attempts
            assert isinstance(final, api.Refuse | api.Fail)
        assert not bench.limiter.pending and not bench.limiter.in_flight
