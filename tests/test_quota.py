"""The token bucket by worked examples of SmoothBursty, and quotas when the counter fails."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import replace

from helpers import MS, SECOND, SETTINGS, START, Bench

from aniseshed import interface as api
from aniseshed.account import Account, SmoothBursty


def spend_slice(bench: Bench) -> None:
    """Use up the slice of one of two limiters while the counter answers."""
    for _ in range(11):
        bench.request()
    bench.answer_all_calls()


def test_a_shortfall_is_paid_by_the_next_caller() -> None:
    """A published example of SmoothBursty with two threads.

    Two permits per second, none stored at ...748: thread 1 takes 2 at ...248 and does not wait.
    """
    base_ms = 1553918495748
    bucket = SmoothBursty(base_ms * MS, 2.0, 2.0, 0.0)
    now_ns = (base_ms + 500) * MS
    bucket.resync(now_ns)
    assert bucket.reserve(2) == now_ns
    assert bucket.next_free_ticket_ns == 1553918496748 * MS
    bucket.resync(now_ns)
    assert bucket.reserve(2) == 1553918496748 * MS  # thread 2 waits for what thread 1 took in advance
    assert bucket.next_free_ticket_ns == 1553918497748 * MS


def test_a_steady_caller_gets_one_ticket_per_interval() -> None:
    """Tickets must be spaced by the rate once no permits are stored."""
    bucket = SmoothBursty(0, 5.0, 5.0, 0.0)
    assert [bucket.reserve(1) for _ in range(4)] == [n * SECOND // 5 for n in range(4)]


def test_stored_permits_are_bounded_and_used_first() -> None:
    """After a long pause only a burst is stored; the rest of a larger request is taken in advance."""
    bucket = SmoothBursty(0, 2.0, 3.0, 0.0)
    bucket.resync(60 * SECOND)
    assert bucket.stored_permits == 3
    assert bucket.reserve(5) == 60 * SECOND
    assert bucket.next_free_ticket_ns == 61 * SECOND


def test_a_customer_not_seen_before_starts_with_a_full_slice() -> None:
    """A restarted limiter would otherwise refuse all customers at first."""
    bench = Bench(replace(SETTINGS, has_counter=False))
    request_ids = [bench.request(units=2.0) for _ in range(7)]
    assert [bench.was_sent(r) for r in request_ids] == [True] * 6 + [False]  # the sixth is taken in advance


def test_without_a_counter_a_request_beyond_the_slice_waits_for_its_ticket() -> None:
    """It is sent late, neither at once nor never."""
    bench = Bench(replace(SETTINGS, has_counter=False))
    for _ in range(11):
        bench.request()
    waiting_id = bench.request()
    assert not bench.was_sent(waiting_id) and waiting_id not in bench.final_answers
    bench.advance(250 * MS)
    assert bench.was_sent(waiting_id)


def test_a_wait_longer_than_the_latency_target_allows_is_refused_at_once() -> None:
    """The refusal says how long to wait; holding the request would only answer it too late."""
    bench = Bench(replace(SETTINGS, has_counter=False))
    bench.request(units=4.0)
    for _ in range(4):
        bench.request(units=3.0)
    last = bench.request()
    final = bench.final_answers[last]
    assert isinstance(final, api.Refuse) and final.retry_after_ns > 0


def test_the_counter_grants_what_the_slice_cannot_and_takes_nothing_from_it() -> None:
    """Charged to the slice as well, a granted request would be paid twice."""
    bench = Bench()
    spend_slice(bench)
    ticket = bench.limiter.accounts[1].bucket.next_free_ticket_ns
    request_id = bench.request()
    assert bench.counter_calls[-1].amount >= 1 and not bench.was_sent(request_id)
    bench.answer_call(sum(c.amount for c in bench.counter_calls))
    assert bench.was_sent(request_id)
    assert bench.limiter.accounts[1].bucket.next_free_ticket_ns == ticket


def test_units_are_taken_back_when_the_total_exceeds_the_quota() -> None:
    """Units asked for and not granted would otherwise stay in the total."""
    bench = Bench()
    spend_slice(bench)
    bench.advance(20 * MS)
    bench.answer_all_calls()
    request_id = bench.request()
    bench.answer_call(500.0)
    assert bench.counter_calls[-1].amount == -1.0
    assert not bench.was_sent(request_id)


def test_a_silent_counter_leaves_the_slice_usable_and_gets_few_calls() -> None:
    """Calls at full rate would keep an overloaded counter from recovering."""
    bench = Bench()
    for _ in range(11):
        bench.request()
    waiting_id = bench.request()
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
    assert bench.was_sent(waiting_id)


def test_a_request_whose_counter_call_times_out_is_sent_or_refused() -> None:
    """It must not stay open without an answer."""
    bench = Bench()
    spend_slice(bench)
    bench.advance(20 * MS)
    request_id = bench.request()
    while bench.pending_calls:
        bench.answer_call(0.0, api.Outcome.TIMEOUT)
    bench.advance(SECOND)
    assert bench.was_sent(request_id) or request_id in bench.final_answers


def test_local_units_of_a_rejected_call_are_reported_again() -> None:
    """A counter that rejects a call has added nothing, so the units would be lost."""
    bench = Bench()
    for _ in range(6):
        bench.request()
    reported = bench.counter_calls[0].amount
    bench.answer_call(0.0, api.Outcome.FULL)
    assert bench.limiter.accounts[1].unreported >= reported


def test_a_reset_total_is_not_taken_for_a_refund() -> None:
    """Taken for one, a counter that lost its totals would grant a second burst."""
    bench = Bench()
    for _ in range(8):
        bench.request()
    bench.answer_all_calls()
    balance = bench.limiter.accounts[1].balance
    calls = len(bench.counter_calls)
    while len(bench.counter_calls) == calls:
        bench.request()
    bench.answer_call(bench.counter_calls[-1].amount)  # a total with nothing added before
    assert bench.limiter.accounts[1].balance < balance


def test_a_customer_with_few_requests_at_this_limiter_does_not_seem_exhausted() -> None:
    """Others spent less than the rate for seconds, so the balance is full however large the total is."""
    bench = Bench()
    for _ in range(3):
        bench.request()
    bench.answer_all_calls()
    bench.advance(4 * SECOND)
    for _ in range(3):
        bench.request()
    bench.answer_call(sum(c.amount for c in bench.counter_calls) + 30.0)
    assert bench.limiter.accounts[1].balance > 10


def test_accounts_of_idle_customers_are_dropped() -> None:
    """Otherwise memory grows with every customer ever seen."""
    bench = Bench(replace(SETTINGS, has_counter=False))
    bench.end_attempt(bench.request(customer=1))
    bench.advance(200 * SECOND)
    bench.request(customer=2)
    assert 1 not in bench.limiter.accounts


class CountingAccounts(OrderedDict[int, Account]):
    """Accounts that count how many of them are visited by iteration."""

    visited = 0

    def values(self) -> Iterator[Account]:  # type: ignore[override]
        for account in super().values():
            self.visited += 1
            yield account


def test_new_customer_costs_the_same_however_many_are_known() -> None:
    """With a search through all accounts for each new one, a flood of new customers makes a limiter hang."""
    bench = Bench(replace(SETTINGS, has_counter=False))
    accounts = bench.limiter.accounts = CountingAccounts()
    for customer in range(500):
        bench.end_attempt(bench.request(customer=customer))
    accounts.visited = 0
    bench.request(customer=500)
    assert len(accounts) == 501 and accounts.visited <= 1


def test_no_account_is_kept_for_a_customer_to_whom_nothing_was_charged() -> None:
    """Otherwise a flood of new customers takes memory although all of it is refused."""
    bench = Bench(replace(SETTINGS, has_counter=False))
    bench.request(customer=0, mode=api.RequestMode.PEEK)
    assert not bench.limiter.accounts
    requests = [bench.request(customer=customer) for customer in range(1, 200)]
    sent = [request_id for request_id in requests if bench.was_sent(request_id)]
    assert 0 < len(sent) < len(requests) and len(bench.limiter.accounts) == len(sent)


def test_settled_units_adjust_the_bucket() -> None:
    """The difference to the units charged at first must be charged when the usage is known."""
    bench = Bench(replace(SETTINGS, has_counter=False, settles_usage=True))
    request_id = bench.request(units=2.0)
    bench.end_attempt(request_id, settled_units=6)
    assert abs(bench.limiter.accounts[1].bucket.stored_permits - 4.0) < 1e-6


def test_each_limiter_keeps_to_its_share_of_a_ceiling() -> None:
    """Limiters share no state for the ceiling, so each could allow all of it."""
    plan = replace(SETTINGS.plans[0], ceiling_rate=10.0, ceiling_burst=20.0)
    bench = Bench(replace(SETTINGS, plans=(plan,), has_counter=False))
    first = bench.request()
    assert isinstance(bench.final_answers[first], api.Refuse)  # after a start it is unknown what was spent
    bench.advance(2 * SECOND)
    sent = sum(bench.was_sent(bench.request()) for _ in range(30))
    assert sent <= 10


def test_each_limiter_keeps_to_its_share_of_the_attempts_in_flight() -> None:
    """Limiters do not know each other's attempts, so each could allow the whole number."""
    plan = replace(SETTINGS.plans[0], max_in_flight=4)
    bench = Bench(replace(SETTINGS, plans=(plan,)))
    assert [bench.was_sent(bench.request()) for _ in range(3)] == [True, True, False]


def test_a_late_retry_is_refused_at_once() -> None:
    """Its deadline leaves too little time, so a server's work for it would be wasted."""
    bench = Bench()
    bench.request()
    late = bench.request(is_retry=True, timeout_ns=SECOND)
    assert isinstance(bench.final_answers[late], api.Refuse)
    assert bench.now_ns == START
