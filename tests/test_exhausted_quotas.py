"""Word between limiters of customers that the counter has just refused."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SECOND, START, Bench
from test_thin_traffic import FLEET, LIMITERS

from aniseshed import interface as api
from aniseshed.account import SmoothBursty
from aniseshed.exhausted_quotas import (
    MAX_REMEMBERED_CUSTOMERS,
    MESSAGE_BURST,
    MESSAGE_LIFETIME_NS,
    MESSAGE_TYPE,
    ExhaustedQuotas,
)

FLEET_WITH_MESSAGES = replace(FLEET, may_message_peers=True)
BASIC, PREMIUM = 0, 2


def message(customer: int) -> bytes:
    return MESSAGE_TYPE + customer.to_bytes(5, "big")


def request_answered(bench: Bench, total: float | None = None, **request: object) -> int:
    """One request, its calls answered: with ``total``, or as if nobody else spent."""
    request_id = bench.request(**{"set_size": 150.0, "plan": PREMIUM, **request})  # type: ignore[arg-type]
    while bench.pending_calls:
        bench.answer_call(bench.pending_calls[0].amount if total is None else total)
    if bench.was_sent(request_id):
        bench.end_attempt(request_id)
    return request_id


def without_calls(settings: api.Settings = FLEET_WITH_MESSAGES) -> Bench:
    """A limiter that has none of its calls left."""
    bench = Bench(settings, servers=LIMITERS)
    for n in range(10):
        request_answered(bench, customer=10_000 + n)
    return bench


def exhausted_messages(bench: Bench) -> list[bytes]:
    return [tell.payload for tell in bench.peer_messages if tell.payload.startswith(MESSAGE_TYPE)]


def test_who_was_refused_by_the_counter_is_told_of_once_while_it_holds() -> None:
    bench = Bench(FLEET_WITH_MESSAGES, servers=LIMITERS)
    bench.advance(10 * SECOND)
    refused = request_answered(bench, 500.0, customer=7)
    assert not bench.was_sent(refused) and refused in bench.final_answers
    assert exhausted_messages(bench) == [message(7)] and all(
        tell.peer is None for tell in bench.peer_messages
    )
    request_answered(bench, 500.0, customer=7)
    assert exhausted_messages(bench) == [message(7)], "all have heard it"
    bench.advance(10 * SECOND)
    request_answered(bench, 900.0, customer=7)
    assert exhausted_messages(bench) == [message(7)] * 2


def test_what_another_told_is_not_told_again() -> None:
    bench = Bench(FLEET_WITH_MESSAGES, servers=LIMITERS)
    bench.advance(60 * SECOND)
    bench.handle(api.PeerMessage(3, message(7)))
    assert not bench.was_sent(request_answered(bench, 500.0, customer=7))
    assert not exhausted_messages(bench)


def test_nothing_is_told_where_datagrams_are_not_allowed() -> None:
    bench = Bench(FLEET, servers=LIMITERS)
    bench.advance(10 * SECOND)
    assert not bench.was_sent(request_answered(bench, 500.0, customer=7))
    assert not exhausted_messages(bench)


@pytest.mark.parametrize(
    ("plan", "set_size", "told"), [(BASIC, 8.0, 0), (PREMIUM, 12.0, 0), (BASIC, 12.0, 1)]
)
def test_only_large_sets_whose_slices_hold_less_than_the_request_are_told(
    plan: int, set_size: float, told: int
) -> None:
    bench = Bench(FLEET_WITH_MESSAGES, servers=LIMITERS)
    bench.advance(60 * SECOND)
    request_answered(bench, customer=7, plan=plan, set_size=set_size)
    bench.limiter.accounts[7].bucket.reserve(40.0)  # others of its requests took the slice ahead
    asked = bench.request(customer=7, plan=plan, set_size=set_size)
    assert bench.pending_calls and not bench.was_sent(asked)
    while bench.pending_calls:
        bench.answer_call(500.0)
    assert asked in bench.final_answers and len(exhausted_messages(bench)) == told


def test_who_hears_leaves_the_customer_to_the_counter_until_the_word_ends() -> None:
    bench = without_calls()
    bench.handle(api.PeerMessage(3, message(7)))
    refused, other = request_answered(bench, customer=7), request_answered(bench, customer=8)
    final = bench.final_answers[refused]
    assert isinstance(final, api.Refuse) and 0 < final.retry_after_ns <= MESSAGE_LIFETIME_NS
    assert bench.was_sent(other), "nobody told of this one"
    calls = len(bench.counter_calls)
    bench.advance(SECOND)
    assert bench.was_sent(request_answered(bench, customer=7)), (
        "a call is free again, and the counter grants it"
    )
    assert len(bench.counter_calls) > calls
    late = without_calls()
    late.handle(api.PeerMessage(3, message(7)))
    late.advance(MESSAGE_LIFETIME_NS)
    for n in range(10):
        request_answered(late, customer=20_000 + n)
    assert late.was_sent(request_answered(late, customer=7))


def test_a_slice_that_holds_the_request_is_the_customers_own() -> None:
    bench = without_calls()
    bench.handle(api.PeerMessage(3, message(7)))
    assert bench.was_sent(request_answered(bench, customer=7, set_size=2.0))


def test_while_the_counter_is_silent_the_slice_alone_decides() -> None:
    bench = without_calls()
    bench.handle(api.PeerMessage(3, message(7)))
    bench.limiter.weather.first_miss_ns = bench.now_ns - SECOND
    assert bench.limiter.weather.is_silent(bench.now_ns)
    assert bench.was_sent(request_answered(bench, customer=7))


def test_the_plan_that_loses_most_is_told_of_first() -> None:
    spent = ExhaustedQuotas(SmoothBursty(START, 0.1, MESSAGE_BURST, 1.0))
    assert spent.on_refused(START, 1, 0.04) is None, "the cheapest wait until all words are saved"
    assert spent.on_refused(START, 2, 1.0) == message(2)
    assert spent.on_refused(START, 3, 1.0) is None, "one in ten seconds"
    assert spent.on_refused(START + 40 * SECOND, 1, 0.04) == message(1)


def test_noise_is_passed_over_and_what_is_known_stays_bounded() -> None:
    spent = ExhaustedQuotas(SmoothBursty(START, 0.1, MESSAGE_BURST, 1.0))
    for payload in (b"", b"S", b"S1234", b"S123456", b"here!!", bytes(6), message(7)[::-1]):
        spent.on_message(START, payload)
    assert not spent.expires_ns
    for customer in range(MAX_REMEMBERED_CUSTOMERS + 100):
        spent.on_message(START, message(customer))
    assert len(spent.expires_ns) == MAX_REMEMBERED_CUSTOMERS and spent.remaining_ns(START, 0) == 0
    for n in range(MAX_REMEMBERED_CUSTOMERS):
        spent.on_message(START + MESSAGE_LIFETIME_NS + n, message(MAX_REMEMBERED_CUSTOMERS + 100 + n % 2))
    assert len(spent.expires_ns) <= 3
