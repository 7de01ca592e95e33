"""Messages between limiters about customers whose quota the counter has found exhausted."""

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
    """Make one request and answer its counter calls with ``total``, or as if no other limiter had spent."""
    request_id = bench.request(**{"set_size": 150.0, "plan": PREMIUM, **request})  # type: ignore[arg-type]
    while bench.pending_calls:
        bench.answer_call(bench.pending_calls[0].amount if total is None else total)
    if bench.was_sent(request_id):
        bench.end_attempt(request_id)
    return request_id


def without_calls(settings: api.Settings = FLEET_WITH_MESSAGES) -> Bench:
    """A limiter that has used up the counter calls it had saved."""
    bench = Bench(settings, servers=LIMITERS)
    for n in range(10):
        request_answered(bench, customer=10_000 + n)
    return bench


def exhausted_messages(bench: Bench) -> list[bytes]:
    return [tell.payload for tell in bench.peer_messages if tell.payload.startswith(MESSAGE_TYPE)]


def test_an_exhausted_quota_is_announced_once_while_the_message_holds() -> None:
    """Each refusal would otherwise send a datagram to every limiter."""
    bench = Bench(FLEET_WITH_MESSAGES, servers=LIMITERS)
    bench.advance(10 * SECOND)
    refused = request_answered(bench, 500.0, customer=7)
    assert not bench.was_sent(refused) and refused in bench.final_answers
    assert exhausted_messages(bench) == [message(7)] and all(
        tell.peer is None for tell in bench.peer_messages
    )
    request_answered(bench, 500.0, customer=7)
    assert exhausted_messages(bench) == [message(7)], "all limiters know it"
    bench.advance(10 * SECOND)
    request_answered(bench, 900.0, customer=7)
    assert exhausted_messages(bench) == [message(7)] * 2


def test_what_another_limiter_announced_is_not_announced_again() -> None:
    """In a large group every limiter would send its own message about the same customer."""
    bench = Bench(FLEET_WITH_MESSAGES, servers=LIMITERS)
    bench.advance(60 * SECOND)
    bench.handle(api.PeerMessage(3, message(7)))
    assert not bench.was_sent(request_answered(bench, 500.0, customer=7))
    assert not exhausted_messages(bench)


def test_nothing_is_announced_where_datagrams_are_not_allowed() -> None:
    """Limiters may be configured to exchange no datagrams."""
    bench = Bench(FLEET, servers=LIMITERS)
    bench.advance(10 * SECOND)
    assert not bench.was_sent(request_answered(bench, 500.0, customer=7))
    assert not exhausted_messages(bench)


@pytest.mark.parametrize(
    ("plan", "set_size", "messages"), [(BASIC, 8.0, 0), (PREMIUM, 12.0, 0), (BASIC, 12.0, 1)]
)
def test_quotas_are_announced_only_for_large_sets_with_slices_smaller_than_the_request(
    plan: int, set_size: float, messages: int
) -> None:
    """Elsewhere the slices keep the quota by themselves and a message would only refuse more."""
    bench = Bench(FLEET_WITH_MESSAGES, servers=LIMITERS)
    bench.advance(60 * SECOND)
    request_answered(bench, customer=7, plan=plan, set_size=set_size)
    bench.limiter.accounts[7].bucket.reserve(40.0)  # earlier requests used the slice up in advance
    request_id = bench.request(customer=7, plan=plan, set_size=set_size)
    assert bench.pending_calls and not bench.was_sent(request_id)
    while bench.pending_calls:
        bench.answer_call(500.0)
    assert request_id in bench.final_answers and len(exhausted_messages(bench)) == messages


def test_after_a_message_only_the_counter_grants_until_the_message_expires() -> None:
    """Without a free counter call a limiter would let the customer in by its own slice."""
    bench = without_calls()
    bench.handle(api.PeerMessage(3, message(7)))
    refused, other = request_answered(bench, customer=7), request_answered(bench, customer=8)
    final = bench.final_answers[refused]
    assert isinstance(final, api.Refuse) and 0 < final.retry_after_ns <= MESSAGE_LIFETIME_NS
    assert bench.was_sent(other), "there was no message about this customer"
    calls = len(bench.counter_calls)
    bench.advance(SECOND)
    assert bench.was_sent(request_answered(bench, customer=7)), "a call is available again"
    assert len(bench.counter_calls) > calls
    late = without_calls()
    late.handle(api.PeerMessage(3, message(7)))
    late.advance(MESSAGE_LIFETIME_NS)
    for n in range(10):
        request_answered(late, customer=20_000 + n)
    assert late.was_sent(request_answered(late, customer=7))


def test_a_message_does_not_apply_to_a_slice_that_holds_the_request() -> None:
    """Such a slice keeps its part of the quota without the counter."""
    bench = without_calls()
    bench.handle(api.PeerMessage(3, message(7)))
    assert bench.was_sent(request_answered(bench, customer=7, set_size=2.0))


def test_while_the_counter_is_silent_only_the_slice_decides() -> None:
    """Left to a counter that does not answer, the customer would be refused everywhere."""
    bench = without_calls()
    bench.handle(api.PeerMessage(3, message(7)))
    bench.limiter.counter_health.first_miss_ns = bench.now_ns - SECOND
    assert bench.limiter.counter_health.is_silent(bench.now_ns)
    assert bench.was_sent(request_answered(bench, customer=7))


def test_the_plan_that_loses_most_is_announced_first() -> None:
    """Messages are limited in rate; those about cheap plans must not use up the saved ones."""
    exhausted = ExhaustedQuotas(SmoothBursty(START, 0.1, MESSAGE_BURST, 1.0))
    assert exhausted.on_refused(START, 1, 0.04) is None, (
        "the cheapest plan waits until all messages are saved up"
    )
    assert exhausted.on_refused(START, 2, 1.0) == message(2)
    assert exhausted.on_refused(START, 3, 1.0) is None, "one message in ten seconds"
    assert exhausted.on_refused(START + 40 * SECOND, 1, 0.04) == message(1)


def test_malformed_messages_are_ignored_and_the_memory_is_bounded() -> None:
    """Datagrams come from the network: they must neither fail nor grow the table without limit."""
    exhausted = ExhaustedQuotas(SmoothBursty(START, 0.1, MESSAGE_BURST, 1.0))
    for payload in (b"", b"S", b"S1234", b"S123456", b"here!!", bytes(6), message(7)[::-1]):
        exhausted.on_message(START, payload)
    assert not exhausted.expires_ns
    for customer in range(MAX_REMEMBERED_CUSTOMERS + 100):
        exhausted.on_message(START, message(customer))
    assert len(exhausted.expires_ns) == MAX_REMEMBERED_CUSTOMERS and exhausted.remaining_ns(START, 0) == 0
    for n in range(MAX_REMEMBERED_CUSTOMERS):
        exhausted.on_message(START + MESSAGE_LIFETIME_NS + n, message(MAX_REMEMBERED_CUSTOMERS + 100 + n % 2))
    assert len(exhausted.expires_ns) <= 3
