"""Marks in totals: which unanswered calls have been added is read, not guessed."""

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


def new_account(position: int = 0, size: float = 2.0, lived_ns: int = LONG_UPTIME_NS) -> Account:
    return Account.create(START, 1, size, QUOTA, NO_CEILING, (position, 2), lived_ns)


@pytest.mark.parametrize("burst", [0.7, 6.0, 34.0, 165.0, 5e4])
@pytest.mark.parametrize("size", range(1, MAX_DIGITS + 1))
def test_every_limiter_reads_its_own_bit_whatever_the_others_wrote(burst: float, size: int) -> None:
    chance = random.Random(size)
    marks = [SequenceDigits.for_burst(burst, position, size) for position in range(size)]
    for _ in range(200):
        bits = [chance.randrange(marks[0].base) for _ in marks]  # type: ignore[union-attr]
        body = marks[0].quantum * chance.randint(-2, 2 + int(2 * burst / marks[0].quantum))  # type: ignore[union-attr]
        total = body + sum(m.weight * bit for m, bit in zip(marks, bits, strict=True))  # type: ignore[union-attr]
        for digits in (f"{total:.7g}", f"{total:.3f}"):
            read = [m.decode(float(digits)) for m in marks]  # type: ignore[union-attr]
            assert read == [(body, bit) for bit in bits]


@pytest.mark.parametrize("burst", [34.0, 165.0, 5e4])
@pytest.mark.parametrize("size", [2, 3, 4])
def test_a_mark_tells_who_knew_the_customer_before_from_who_is_new(burst: float, size: int) -> None:
    """The first is new.  One's own mark says nothing: each reads what the others left, for three turns."""
    marks = [m for position in range(size) if (m := SequenceDigits.for_burst(burst, position, size))]
    assert {m.base for m in marks} == {4}
    digits = [0] * size
    for _ in range(3):
        digits = [m.next_digit(digits[n], known_before=n > 0) for n, m in enumerate(marks)]
        for here in range(1, size + 1):
            present = list(zip(marks, digits, strict=True))[:here]
            total = 5 * marks[0].quantum + sum(m.weight * digit for m, digit in present)
            assert [m.others_knew(total, digit) for m, digit in present] == [here > 1] + [here > 2] * (
                here - 1
            )


@pytest.mark.parametrize("limiters", range(1, 25))
def test_limiters_in_a_row_have_digits_of_their_own_wherever_the_row_begins(limiters: int) -> None:
    for size in range(1, limiters + 1):
        digits = [assign_digit(index, limiters, size) for index in range(limiters)]
        assert len({many for _, many in digits}) == 1 and digits[0][1] < 2 * size
        for start in range(limiters):
            row = [digits[(start + n) % limiters] for n in range(size)]
            assert len(set(row)) == size and all(0 <= digit < many for digit, many in row)


def test_a_desk_that_moves_to_the_next_set_leaves_totals_readable() -> None:
    """Two limiters on one digit took each other for a count that began again, though the counter was well."""
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
            for asked, number in list(bench.limiter.in_flight):
                bench.end_attempt(asked, attempt=number)
    accounts = [bench.limiter.accounts[7] for bench in benches]
    assert all(a.digit is not None for a in accounts)
    assert all(a.reset_ns < 0 for a in accounts)  # nobody took the count for one that began again
    assert all(abs(a.imbalance()) < 1e-6 for a in accounts)


def test_what_the_digits_do_not_reach_is_not_read() -> None:
    marks = SequenceDigits.for_burst(20.0, 0, 2)
    assert marks and marks.decode(1e6) == (1e6, None)
    assert marks.decode(5.0 + marks.step / 2)[1] is None
    assert SequenceDigits.for_burst(20.0, 0, MAX_DIGITS + 1) is None
    outside = SequenceDigits.for_burst(20.0, 5, 2)
    assert outside and outside.weight == 0.0 and outside.decode(4.0) == (4.0, None)


class SimulatedTotal:
    """A count that can swallow calls."""

    def __init__(self) -> None:
        self.total = 0.0

    def add(self, question: CounterCall) -> float:
        self.total += question.amount + question.digit_amount
        return self.total


def test_a_swallowed_call_is_told_again_with_the_next_one() -> None:
    count, one = SimulatedTotal(), new_account()
    one.charge(START, 3.0)
    swallowed = one.start_call(START, -1, 0.0, 1)
    one.on_timeout(START, swallowed)
    second = one.start_call(START, -1, 0.0, 2)
    one.on_answer(START, second, count.add(second))
    assert swallowed.status is CallStatus.LOST and one.unreported == 3.0
    third = one.start_call(START, -1, 0.0, 3)
    one.on_answer(START, third, count.add(third))
    assert count.total // 1 == 3 and abs(one.imbalance()) < 1e-9


def test_a_call_that_was_added_and_not_answered_is_not_told_twice() -> None:
    count, one = SimulatedTotal(), new_account()
    one.charge(START, 3.0)
    added = one.start_call(START, 7, 2.0, 1)  # two units asked for, which nobody is granted
    count.add(added)
    one.on_timeout(START, added)
    second = one.start_call(START, -1, 0.0, 2)
    room = one.balance
    one.on_answer(START, second, count.add(second))
    assert added.status is CallStatus.RESOLVED and one.unreported == -2.0 and one.balance == room
    third = one.start_call(START, -1, 0.0, 3)
    one.on_answer(START, third, count.add(third))
    assert count.total // 1 == 3 and abs(one.imbalance()) < 1e-9


def test_a_late_answer_ends_the_doubt_and_grants_nothing() -> None:
    count, one = SimulatedTotal(), new_account()
    one.charge(START, 1.0)
    call = one.start_call(START, 7, 2.0, 1)
    one.on_timeout(START, call)
    assert not one.on_answer(START, call, count.add(call))
    assert (
        not one.uncertain_calls
        and one.unreported == -2.0
        and one.total == 3.0
        and abs(one.imbalance()) < 1e-9
    )


def test_what_was_told_again_and_comes_late_after_all_is_taken_back() -> None:
    count, one = SimulatedTotal(), new_account()
    one.charge(START, 3.0)
    slow = one.start_call(START, -1, 0.0, 1)
    one.on_timeout(START, slow)
    second = one.start_call(START, -1, 0.0, 2)
    one.on_answer(START, second, count.add(second))  # the slow one is not in it: lost
    third = one.start_call(START, -1, 0.0, 3)
    count.add(slow)  # it arrives in between
    one.on_answer(START, third, count.add(third))
    fourth = one.start_call(START, -1, 0.0, 4)
    one.on_answer(START, fourth, count.add(fourth))
    assert count.total // 1 == 3 and abs(one.imbalance()) < 1e-9 and one.unreported == 0.0


def test_a_mark_that_is_gone_tells_of_a_count_that_was_lost() -> None:
    """Others have filled a fresh count beyond the old total: only the mark shows that it is another."""
    count, one = SimulatedTotal(), new_account()
    one.charge(START, 4.0)
    first = one.start_call(START, -1, 0.0, 1)
    one.on_answer(START, first, count.add(first))
    count.total = 10.0  # a fresh one, told of others' spending alone
    room = one.refill(START)
    second = one.start_call(START, -1, 0.0, 2)
    one.on_answer(START, second, count.add(second))
    assert one.own_units == 0.0 and one.balance < room - 9  # all of it is news


def test_a_restarted_limiter_reads_the_mark_that_it_left_behind() -> None:
    count, one = SimulatedTotal(), new_account()
    one.charge(START, 4.0)
    first = one.start_call(START, -1, 0.0, 1)
    one.on_answer(START, first, count.add(first))
    again = new_account(lived_ns=0)
    assert again.digit is None
    call = again.start_call(START, -1, 0.0, 1)
    assert call.digit_amount == 0.0
    again.on_answer(START, call, count.add(call))
    assert again.digit == 3 and again.balance == pytest.approx(16.0)


def test_the_module_tells_a_swallowed_call_again() -> None:
    bench = Bench()
    for _ in range(6):
        bench.request()
    bench.answer_call(0.0, api.Outcome.TIMEOUT)
    bench.advance(SETTINGS.counter_timeout_ns)
    bench.request(units=4.0)
    bench.answer_call(bench.counter_calls[-1].amount)  # a total that lacks the first call
    customer = bench.limiter.accounts[1]
    assert customer.unreported + sum(c.amount for c in bench.counter_calls[1:]) == pytest.approx(
        10.0, abs=0.1
    )


def test_calls_remembered_after_their_time_out_are_bounded() -> None:
    bench = Bench()
    for _ in range(3000):
        bench.end_attempt(bench.request(customer=bench.next_request_id, units=4.0))
        while bench.pending_calls:
            bench.answer_call(0.0, api.Outcome.TIMEOUT)
        bench.advance(SETTINGS.counter_timeout_ns * 20)
    assert len(bench.counter_calls) > 600 and len(bench.limiter.counter_calls) <= 501
