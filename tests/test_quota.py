"""The bucket by the source's worked examples, and the counter's ways to fail."""

from dataclasses import replace

from helpers import MS, SECOND, SETTINGS, START, Bench

from aniseshed import interface as api
from aniseshed.account import SmoothBursty


def spend_slice(bench: Bench) -> None:
    """Take what one of two limiters holds, with the counter answering."""
    for _ in range(11):
        bench.request()
    bench.answer_all_calls()


def test_the_sources_two_threads() -> None:
    # Two permits a second, none stored at ...748: thread 1 takes 2 at ...248 and does not wait.
    base = 1553918495748
    bucket = SmoothBursty(base * MS, 2.0, 2.0, 0.0)
    now = (base + 500) * MS
    bucket.resync(now)
    assert bucket.reserve(2) == now
    assert bucket.next_free_ticket_ns == 1553918496748 * MS
    bucket.resync(now)
    assert bucket.reserve(2) == 1553918496748 * MS  # thread 2 waits for what thread 1 took ahead
    assert bucket.next_free_ticket_ns == 1553918497748 * MS


def test_a_steady_taker_gets_one_ticket_an_interval() -> None:
    bucket = SmoothBursty(0, 5.0, 5.0, 0.0)
    assert [bucket.reserve(1) for _ in range(4)] == [n * SECOND // 5 for n in range(4)]


def test_stored_permits_are_clamped_and_go_first() -> None:
    bucket = SmoothBursty(0, 2.0, 3.0, 0.0)
    bucket.resync(60 * SECOND)
    assert bucket.stored_permits == 3
    assert bucket.reserve(5) == 60 * SECOND
    assert bucket.next_free_ticket_ns == 61 * SECOND


def test_unseen_customer_starts_with_a_full_slice() -> None:
    bench = Bench(replace(SETTINGS, has_counter=False))
    rids = [bench.request(units=2.0) for _ in range(7)]
    assert [bench.was_sent(r) for r in rids] == [True] * 6 + [False]  # the sixth is taken ahead


def test_beyond_the_slice_waits_for_its_ticket_without_a_counter() -> None:
    bench = Bench(replace(SETTINGS, has_counter=False))
    for _ in range(11):
        bench.request()
    held = bench.request()
    assert not bench.was_sent(held) and held not in bench.final_answers
    bench.advance(250 * MS)
    assert bench.was_sent(held)


def test_refused_at_once_with_the_wait_when_the_aim_does_not_allow_it() -> None:
    bench = Bench(replace(SETTINGS, has_counter=False))
    bench.request(units=4.0)
    for _ in range(4):
        bench.request(units=3.0)
    last = bench.request()
    final = bench.final_answers[last]
    assert isinstance(final, api.Refuse) and final.retry_after_ns > 0


def test_the_counter_passes_what_the_slice_cannot_and_takes_nothing_from_it() -> None:
    bench = Bench()
    spend_slice(bench)
    ticket = bench.limiter.accounts[1].bucket.next_free_ticket_ns
    asked = bench.request()
    assert bench.counter_calls[-1].amount >= 1 and not bench.was_sent(asked)
    bench.answer_call(sum(c.amount for c in bench.counter_calls))
    assert bench.was_sent(asked)
    assert bench.limiter.accounts[1].bucket.next_free_ticket_ns == ticket


def test_units_are_taken_back_when_the_total_does_not_fit() -> None:
    bench = Bench()
    spend_slice(bench)
    bench.advance(20 * MS)
    bench.answer_all_calls()
    asked = bench.request()
    bench.answer_call(500.0)
    assert bench.counter_calls[-1].amount == -1.0
    assert not bench.was_sent(asked)


def test_a_silent_counter_leaves_the_slice_alone_and_is_not_pestered() -> None:
    bench = Bench()
    for _ in range(11):
        bench.request()
    held = bench.request()
    calls = []
    for _ in range(20):
        while bench.pending_calls:
            bench.answer_call(0.0, api.Outcome.TIMEOUT)
        before = len(bench.counter_calls)
        for _ in range(20):
            bench.request()
        bench.advance(50 * MS)
        calls.append(len(bench.counter_calls) - before)
    assert max(calls[5:]) <= 4
    assert bench.was_sent(held)


def test_an_unanswered_question_ends_in_holding_or_refusal() -> None:
    bench = Bench()
    spend_slice(bench)
    bench.advance(20 * MS)
    asked = bench.request()
    while bench.pending_calls:
        bench.answer_call(0.0, api.Outcome.TIMEOUT)
    bench.advance(SECOND)
    assert bench.was_sent(asked) or asked in bench.final_answers


def test_a_full_counter_added_nothing_so_local_spends_are_told_again() -> None:
    bench = Bench()
    for _ in range(6):
        bench.request()
    told = bench.counter_calls[0].amount
    bench.answer_call(0.0, api.Outcome.FULL)
    assert bench.limiter.accounts[1].unreported >= told


def test_a_forgetful_counter_is_a_new_life_not_a_refund() -> None:
    bench = Bench()
    for _ in range(8):
        bench.request()
    bench.answer_all_calls()
    room = bench.limiter.accounts[1].balance
    told = len(bench.counter_calls)
    while len(bench.counter_calls) == told:
        bench.request()
    bench.answer_call(bench.counter_calls[-1].amount)  # all that went before is forgotten
    assert bench.limiter.accounts[1].balance < room


def test_a_customer_seen_seldom_here_is_not_believed_spent() -> None:
    # Others spent at under the rate for seconds: the store is full, whatever the sum of it.
    bench = Bench()
    for _ in range(3):
        bench.request()
    bench.answer_all_calls()
    bench.advance(4 * SECOND)
    for _ in range(3):
        bench.request()
    bench.answer_call(sum(c.amount for c in bench.counter_calls) + 30.0)
    assert bench.limiter.accounts[1].balance > 10


def test_idle_customers_age_out() -> None:
    bench = Bench(replace(SETTINGS, has_counter=False))
    bench.end_attempt(bench.request(customer=1))
    bench.advance(200 * SECOND)
    bench.request(customer=2)
    assert 1 not in bench.limiter.accounts


def test_settled_units_adjust_the_bucket() -> None:
    bench = Bench(replace(SETTINGS, has_counter=False, settles_usage=True))
    rid = bench.request(units=2.0)
    bench.end_attempt(rid, settled_units=6)
    assert abs(bench.limiter.accounts[1].bucket.stored_permits - 4.0) < 1e-6


def test_each_limiter_keeps_to_its_part_of_a_ceiling() -> None:
    plan = replace(SETTINGS.plans[0], ceiling_rate=10.0, ceiling_burst=20.0)
    bench = Bench(replace(SETTINGS, plans=(plan,), has_counter=False))
    first = bench.request()
    assert isinstance(bench.final_answers[first], api.Refuse)  # a start does not know what was spent
    bench.advance(2 * SECOND)
    sent = sum(bench.was_sent(bench.request()) for _ in range(30))
    assert sent <= 10


def test_a_cap_on_attempts_out_is_kept_in_parts() -> None:
    plan = replace(SETTINGS.plans[0], max_in_flight=4)
    bench = Bench(replace(SETTINGS, plans=(plan,)))
    assert [bench.was_sent(bench.request()) for _ in range(3)] == [True, True, False]


def test_a_late_repeat_is_refused_without_spending() -> None:
    bench = Bench()
    bench.request()
    late = bench.request(is_retry=True, timeout_ns=SECOND)
    assert isinstance(bench.final_answers[late], api.Refuse)
    assert bench.now_ns == START
