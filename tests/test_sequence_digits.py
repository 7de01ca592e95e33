"""Sequence digits in totals: which unanswered calls were added is read from the total, not guessed."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from helpers import MS, SETTINGS, START, Bench

from aniseshed import interface as api
from aniseshed.account import Account, CallStatus, CounterCall
from aniseshed.sequence_digits import MAX_DIGITS, SequenceDigits, assign_digit

QUOTA, NO_CEILING = (10.0, 20.0), (0.0, 0.0)
LONG_UPTIME_NS = 10**12


def new_account(position: int = 0, size: float = 2.0, uptime_ns: int = LONG_UPTIME_NS) -> Account:
    return Account.create(START, 1, size, QUOTA, NO_CEILING, (position, 2), uptime_ns)


@pytest.mark.parametrize("burst", [0.7, 6.0, 34.0, 165.0, 5e4])
@pytest.mark.parametrize("size", range(1, MAX_DIGITS + 1))
def test_every_limiter_reads_its_own_digit_whatever_the_others_wrote(burst: float, size: int) -> None:
    """Rounding in a total of seven digits, or of three decimals, could change a digit."""
    rng = random.Random(size)
    layouts = [SequenceDigits.for_burst(burst, position, size) for position in range(size)]
    for _ in range(200):
        values = [rng.randrange(layouts[0].base) for _ in layouts]  # type: ignore[union-attr]
        amount = layouts[0].quantum * rng.randint(-2, 2 + int(2 * burst / layouts[0].quantum))  # type: ignore[union-attr]
        total = amount + sum(m.weight * value for m, value in zip(layouts, values, strict=True))  # type: ignore[union-attr]
        for digits in (f"{total:.7g}", f"{total:.3f}"):
            read = [m.decode(float(digits)) for m in layouts]  # type: ignore[union-attr]
            assert read == [(amount, value) for value in values]


@pytest.mark.parametrize("burst", [34.0, 165.0, 5e4])
@pytest.mark.parametrize("size", [2, 3, 4])
def test_digits_tell_limiters_that_knew_the_customer_from_new_ones(burst: float, size: int) -> None:
    """Taken for one that knew the customer, a new limiter would make the others leave out their debt.

    The first limiter is new.  A limiter's own digit is no evidence, so each reads those of the others, for
    three advances.
    """
    layouts = [m for position in range(size) if (m := SequenceDigits.for_burst(burst, position, size))]
    assert {m.base for m in layouts} == {4}
    digits = [0] * size
    for _ in range(3):
        digits = [m.next_digit(digits[n], known_before=n > 0) for n, m in enumerate(layouts)]
        for count in range(1, size + 1):
            present = list(zip(layouts, digits, strict=True))[:count]
            total = 5 * layouts[0].quantum + sum(m.weight * digit for m, digit in present)
            assert [m.others_knew(total, digit) for m, digit in present] == [count > 1] + [count > 2] * (
                count - 1
            )


@pytest.mark.parametrize("limiters", range(1, 25))
def test_consecutive_limiters_have_different_digits_wherever_the_set_begins(limiters: int) -> None:
    """Two limiters of one set on the same digit would change each other's."""
    for size in range(1, limiters + 1):
        digits = [assign_digit(index, limiters, size) for index in range(limiters)]
        assert len({count for _, count in digits}) == 1 and digits[0][1] < 2 * size
        for start in range(limiters):
            row = [digits[(start + n) % limiters] for n in range(size)]
            assert len(set(row)) == size and all(0 <= digit < count for digit, count in row)


def test_totals_stay_readable_after_a_desk_moves_to_the_next_set() -> None:
    """Two limiters with one digit took each other's advances for a reset total of a healthy counter."""
    benches = [Bench(replace(SETTINGS, index=index, limiters=3)) for index in range(3)]
    totals: Counter[int] = Counter()
    for turn in range(400):
        moved = turn >= 200
        for member in range(2):
            bench = benches[(member + moved) % 3]
            bench.request(7, set_start=float(moved))
            while bench.pending_calls:
                call = bench.pending_calls[0]
                totals[call.key] += call.amount  # type: ignore[assignment]
                bench.answer_call(totals[call.key])
        for bench in benches:
            bench.advance(50 * MS)
            for request_id, attempt in list(bench.limiter.in_flight):
                bench.end_attempt(request_id, attempt=attempt)
    accounts = [bench.limiter.accounts[7] for bench in benches]
    assert all(a.digit is not None for a in accounts)
    assert all(a.reset_ns < 0 for a in accounts)  # no limiter took the total for a reset one
    assert all(abs(a.imbalance()) < 1e-6 for a in accounts)


def test_digits_are_not_read_beyond_the_precision_of_a_total() -> None:
    """A digit read from rounding errors would resolve calls wrongly."""
    layout = SequenceDigits.for_burst(20.0, 0, 2)
    assert layout and layout.decode(1e6) == (1e6, None)
    assert layout.decode(5.0 + layout.step / 2)[1] is None
    assert SequenceDigits.for_burst(20.0, 0, MAX_DIGITS + 1) is None
    outside = SequenceDigits.for_burst(20.0, 5, 2)
    assert outside and outside.weight == 0.0 and outside.decode(4.0) == (4.0, None)


class SimulatedTotal:
    """The counter's total; a call that is not passed to ``add`` has been dropped."""

    def __init__(self) -> None:
        self.total = 0.0

    def add(self, call: CounterCall) -> float:
        self.total += call.amount + call.digit_amount
        return self.total


def test_a_dropped_call_is_reported_again_with_the_next_one() -> None:
    """The counter never added it, so its units would be missing from the total."""
    simulated, account = SimulatedTotal(), new_account()
    account.charge(START, 3.0)
    dropped = account.start_call(START, -1, 0.0, 1)
    account.on_timeout(START, dropped)
    second = account.start_call(START, -1, 0.0, 2)
    account.on_answer(START, second, simulated.add(second))
    assert dropped.status is CallStatus.LOST and account.unreported == 3.0
    third = account.start_call(START, -1, 0.0, 3)
    account.on_answer(START, third, simulated.add(third))
    assert simulated.total // 1 == 3 and abs(account.imbalance()) < 1e-9


def test_a_call_that_was_added_but_not_answered_is_not_reported_twice() -> None:
    """Its units would count twice, and units asked for would stay in the total."""
    simulated, account = SimulatedTotal(), new_account()
    account.charge(START, 3.0)
    added = account.start_call(START, 7, 2.0, 1)  # asks for two units, which are not granted
    simulated.add(added)
    account.on_timeout(START, added)
    second = account.start_call(START, -1, 0.0, 2)
    balance = account.balance
    account.on_answer(START, second, simulated.add(second))
    assert added.status is CallStatus.RESOLVED and account.unreported == -2.0 and account.balance == balance
    third = account.start_call(START, -1, 0.0, 3)
    account.on_answer(START, third, simulated.add(third))
    assert simulated.total // 1 == 3 and abs(account.imbalance()) < 1e-9


def test_a_late_answer_resolves_its_call_and_grants_nothing() -> None:
    """The request was decided after the time-out, so the units asked for are taken back."""
    simulated, account = SimulatedTotal(), new_account()
    account.charge(START, 1.0)
    call = account.start_call(START, 7, 2.0, 1)
    account.on_timeout(START, call)
    assert not account.on_answer(START, call, simulated.add(call))
    assert (
        not account.uncertain_calls
        and account.unreported == -2.0
        and account.total == 3.0
        and abs(account.imbalance()) < 1e-9
    )


def test_a_call_that_is_added_after_it_was_reported_again_is_taken_back() -> None:
    """Its units would be in the total twice."""
    simulated, account = SimulatedTotal(), new_account()
    account.charge(START, 3.0)
    slow = account.start_call(START, -1, 0.0, 1)
    account.on_timeout(START, slow)
    second = account.start_call(START, -1, 0.0, 2)
    account.on_answer(START, second, simulated.add(second))  # without the slow call: presumed lost
    third = account.start_call(START, -1, 0.0, 3)
    simulated.add(slow)  # it is added late
    account.on_answer(START, third, simulated.add(third))
    fourth = account.start_call(START, -1, 0.0, 4)
    account.on_answer(START, fourth, simulated.add(fourth))
    assert simulated.total // 1 == 3 and abs(account.imbalance()) < 1e-9 and account.unreported == 0.0


def test_a_missing_digit_shows_that_a_total_was_lost() -> None:
    """Others have filled a new total beyond the old one: only the digit shows that it is another total."""
    simulated, account = SimulatedTotal(), new_account()
    account.charge(START, 4.0)
    first = account.start_call(START, -1, 0.0, 1)
    account.on_answer(START, first, simulated.add(first))
    simulated.total = 10.0  # a new total with the units of others alone
    balance = account.refill(START)
    second = account.start_call(START, -1, 0.0, 2)
    account.on_answer(START, second, simulated.add(second))
    assert account.own_units == 0.0 and account.balance < balance - 9  # all of it is new


def test_a_restarted_limiter_reads_its_predecessors_digit() -> None:
    """Advanced from a wrong value, the digit would seem lost to it."""
    simulated, account = SimulatedTotal(), new_account()
    account.charge(START, 4.0)
    first = account.start_call(START, -1, 0.0, 1)
    account.on_answer(START, first, simulated.add(first))
    restarted = new_account(uptime_ns=0)
    assert restarted.digit is None
    call = restarted.start_call(START, -1, 0.0, 1)
    assert call.digit_amount == 0.0
    restarted.on_answer(START, call, simulated.add(call))
    assert restarted.digit == 3 and restarted.balance == pytest.approx(16.0)


def test_a_limiter_reports_a_dropped_call_again() -> None:
    """The same through the public interface: a time-out, then a total without the first call."""
    bench = Bench()
    for _ in range(6):
        bench.request()
    bench.answer_call(0.0, api.Outcome.TIMEOUT)
    bench.advance(SETTINGS.counter_timeout_ns)
    bench.request(units=4.0)
    bench.answer_call(bench.counter_calls[-1].amount)  # a total that lacks the first call
    account = bench.limiter.accounts[1]
    assert account.unreported + sum(c.amount for c in bench.counter_calls[1:]) == pytest.approx(10.0, abs=0.1)


def test_calls_remembered_after_their_time_out_are_bounded() -> None:
    """While a counter never answers, timed-out calls would fill the memory."""
    bench = Bench()
    for _ in range(3000):
        bench.end_attempt(bench.request(customer=bench.next_request_id, units=4.0))
        while bench.pending_calls:
            bench.answer_call(0.0, api.Outcome.TIMEOUT)
        bench.advance(SETTINGS.counter_timeout_ns * 20)
    assert len(bench.counter_calls) > 600 and len(bench.limiter.counter_calls) <= 501
