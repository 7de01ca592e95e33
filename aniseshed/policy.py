"""Every decision of aniseshed; its types, events and actions are in aniseshed/interface.py.

What a customer's slice, a SmoothBursty, cannot pass is asked of the counter, then held or refused; the books
of its quota are in aniseshed/account.py."""

from __future__ import annotations

import math
import random
import zlib
from collections import deque
from collections.abc import Callable

from aniseshed import interface as api
from aniseshed.account import CALL_BURST, Account, CallPacer, SmoothBursty
from aniseshed.bound import bounds
from aniseshed.counter_call import CallStatus, CounterCall
from aniseshed.counter_health import CounterHealth
from aniseshed.exhausted_quotas import MESSAGE_BURST, MESSAGES_PER_SECOND, ExhaustedQuotas
from aniseshed.interface import DedupScope, Health, Idempotency, ListKind, Outcome, RequestMode, Trust
from aniseshed.partition import (
    EPOCH_NS,
    GROUP_SIZE,
    HEARTBEAT_INTERVAL_NS,
    SECOND_NS,
    Heartbeat,
    PartitionDetector,
)
from aniseshed.sequence_digits import assign_digit
from aniseshed.state import Attempt, PendingRequest, Server, TimeAverage, apply_server_list

MAX_LATE_CALLS = 500  # timed-out counter calls kept in case a late answer comes; a few hundred bytes each
MIN_COUNTER_TIMEOUTS_LEFT = 3.0  # The counter is asked only if the client still waits this many time-outs.
MAX_QUOTA_WAIT_SHARE = 0.4  # of the latency target; a longer wait for quota leaves no time to be served
ACCOUNT_IDLE_WINDOWS = 2.0  # An account idle for this many windows has a full bucket and is dropped.
EWMA_WEIGHT = 0.1  # of one answer in the running means, so about ten answers establish a change
MAX_LATENCY_RATIO = 3.0  # A slower answer counts as this multiple of the mean latency.
MAX_CANDIDATES = 8  # servers per limiter, few enough to learn each one's latency from its own answers
FULL_BACKOFF_TARGETS = 2.0  # latency targets for which a plan and class skip a server that was full for them
EJECT_FAILURES = 2  # consecutive failures that eject a server; a single one may be chance
EJECTION_CONNECT_TIMEOUTS = 4.0  # length of an ejection; afterwards one attempt at a time
MAX_EJECTED_SHARE = 0.5  # of the servers; if more fail, the fault is not theirs and none is skipped
UNPROVEN_TIMEOUT_SHARE = 0.3  # of the latency target; the time limit of an attempt at an unproven server
COLD_PACE_SHARE = 0.5  # of the rate that overloads a cold server, which all limiters share
RESUBSCRIBE_SHARE = 0.2  # of the time allowed to resubscribe; the delay is one to two times this share
LATE_TARGET_SHARE = 0.75  # of the latency target; later answers count as late while there is time to react
CONGESTION_LATE_SHARE = 0.15  # share of late answers that shows congestion; above the tail of the work itself
LATE_EWMA_WEIGHT = 0.05  # of one answer in the share of late ones; a few late answers in a row are chance
DECREASE_FACTOR = 0.75  # multiplies the limit, once for all attempts sent since the last decrease
INITIAL_LIMIT_PER_SERVER = 3.0  # attempts in flight per server, over all limiters together
MIN_USE_TO_INCREASE = 0.5  # of the limit; below this use, answers in time do not raise it
INCREASE_PER_ANSWER = 0.08  # added per answer in time, at most 1 for each round of `limit` answers
LOWEST_VALUE_LIMIT_SHARE = 0.5  # of the limit; the rest is kept for requests of a higher value
RETRY_RATIO = 0.15  # retries allowed per first attempt, so that retries never double the load
MAX_RETRY_TOKENS = 10.0  # retries that may be saved up for a sudden failure
MAX_RESYNCED_ACCOUNTS = 64  # sent again after the counter was replaced: the most recently used of a window
HEARTBEAT_PAYLOAD = b"here"  # datagram to the other limiters, once per heartbeat
NEVER_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Limiter:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.now_ns, self.actions = 0, list[api.Action]()
        self.timer_token, self.limiters = 0, max(1, settings.limiters)
        self.accounts: dict[int, Account] = {}
        self.servers: dict[bytes, Server] = {}
        self.ring, self.ejected = list[Server](), set[Server]()
        self.pending: dict[int, PendingRequest] = {}
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.timers: dict[int, tuple[Callable[..., object], PendingRequest | bool | None]] = {}
        self.counter_calls: dict[int, CounterCall] = {}  # by number of the call: out, or may be answered late
        self.unsynced: list[Account] = []  # customers whose counts may have begun again
        self.heartbeats: dict[int, Heartbeat] = {}  # of the roll, out, by number of the call
        self.last_call_id, self.start_ns = 0, -1
        self.weather = CounterHealth(settings.counter_timeout_ns)
        self.roll = PartitionDetector(settings.index, self.limiters, 0, settings.may_message_peers)
        self.spent = ExhaustedQuotas(SmoothBursty(0, MESSAGES_PER_SECOND / self.limiters, MESSAGE_BURST, 1.0))
        self.pace = CallPacer(self.limiters, settings.counter_timeout_ns)
        self.unit_latency_ns = [0.0] * len(settings.classes)  # of one unit's answer
        self.max_timeout_ns = [0] * len(settings.classes)
        self.recent_attempts: list[deque[Attempt]] = [deque() for _ in settings.classes]
        self.concurrency_limit, self.late_share, self.decreased_ns, self.mean_value = 0.0, 0.0, 0, 0.0
        self.retry_tokens, self.recent_answers, self.recent_answers_ns = MAX_RETRY_TOKENS, 0.0, 0
        self.concurrency = TimeAverage(max((kind.target_ns for kind in settings.classes), default=SECOND_NS))
        self.handlers: dict[type, Callable[..., None]] = {
            api.Request: self.on_request, api.AttemptEnded: self.on_attempt_ended,
            api.TimerFired: self.on_timer, api.Counted: self.on_counted, api.HungUp: self.finish,
            api.ServerList: self.on_server_list, api.StreamBegun: self.finish,
            api.PeerMessage: self.on_peer_message, api.UnitsReturned: self.on_units_returned}  # fmt: skip

    def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
        """The actions that answer one event."""
        self.now_ns, self.actions = now_ns, []
        if self.start_ns < 0:
            self.start_ns = self.roll.start_ns = self.weather.since_ns = now_ns
            if self.settings.has_counter and self.limiters > 1:
                self.set_timer(self.random.random() * HEARTBEAT_INTERVAL_NS, self.on_heartbeat, True)
        if handler := self.handlers.get(type(event)):
            handler(event)
        return self.actions

    def set_timer(
        self, delay_ns: float, call: Callable[..., object], work: PendingRequest | bool | None = None
    ) -> None:
        self.timer_token = (self.timer_token + 1) & 0xFFFFFFFF
        self.timers[self.timer_token] = (call, work)
        self.actions.append(api.SetTimer(max(0, round(delay_ns)), self.timer_token))

    def on_timer(self, event: api.TimerFired) -> None:
        call, work = self.timers.pop(event.token, (None, None))
        if call and work is True:
            call()
        elif call and work is None:
            self.actions.append(api.Watch(True))
        elif call and isinstance(work, PendingRequest) and self.pending.get(work.request.request_id) is work:
            call(work)

    def on_request(self, request: api.Request) -> None:
        index, now_ns = request.traffic_class, self.now_ns
        if index >= len(self.settings.classes) or request.plan >= len(self.settings.plans):
            return self.actions.append(api.Refuse(request.request_id, 0))
        kind, plan = self.settings.classes[index], self.settings.plans[request.plan]
        units = request.units if 0 < request.units < math.inf else 1.0
        # A repeat comes with what is left of the deadline: guards against work for what is late already.
        cut = request.is_retry and request.timeout_ns < self.max_timeout_ns[index]
        passed_ns = max(0, kind.deadline_ns - request.timeout_ns) * cut
        self.max_timeout_ns[index] = max(self.max_timeout_ns[index], request.timeout_ns)
        aim_ns = now_ns + min(kind.target_ns - passed_ns, request.timeout_ns)
        customer = self.account_for(request, plan)
        work = self.pending[request.request_id] = PendingRequest(request, kind, plan, units, customer, aim_ns)
        full = plan.max_in_flight and customer.open_attempts >= max(
            1, int(plan.max_in_flight / customer.set_size)
        )
        value = work.traffic_class.value * plan.price * units
        self.mean_value += EWMA_WEIGHT * (value - self.mean_value) if self.mean_value else value
        work.value_rank = min(1.0, value / self.mean_value)
        # Guards against work that cannot end in the time its client has. One at a time is sent all the same:
        # nothing else could tell that its class has become faster.
        refused = full or self.over_limit(work) or (aim_ns <= now_ns and not kind.late_value)
        refused = (
            refused
            or bool(self.recent_attempts[index])
            and self.unit_latency_ns[index] * units > request.timeout_ns
        )
        if request.mode is RequestMode.PEEK:
            self.peek(work, refused)
        elif refused:
            self.refuse(work, kind.target_ns)
        elif plan.rate <= 0 or plan.burst <= 0:
            self.send_first_attempt(work)
        else:
            self.admit(work, customer)

    def peek(self, work: PendingRequest, refused: bool) -> None:
        """What a take would come to by this limiter's own account; it asks nobody and takes nothing."""
        del self.pending[work.request.request_id]
        left = max(0.0, work.account.refill(self.now_ns)) if work.plan.rate > 0 else math.inf
        short_ns = max(0.0, work.units - left) / max(work.account.rate, 1e-9) * SECOND_NS
        wait_ns = round(max(short_ns, work.traffic_class.target_ns if refused else 0))
        self.actions.append(api.QuotaAnswer(work.request.request_id, not wait_ns, min(left, 1e15), wait_ns))

    def on_units_returned(self, event: api.UnitsReturned) -> None:
        if customer := self.accounts.get(event.customer):
            customer.refund(self.now_ns, event.units, False)

    def admit(self, work: PendingRequest, customer: Account) -> None:
        """The ordinary path: the slice, then the counter, then the ticket."""
        customer.bucket.resync(self.now_ns)
        if silent := self.weather.is_silent(self.now_ns):
            customer.cap_slice(self.now_ns)
        # Guards against slices and grants together passing the quota: of a spent one, a slice is nothing.
        short = customer.total is not None and customer.refill(self.now_ns) < work.units
        timely = work.request.timeout_ns > MIN_COUNTER_TIMEOUTS_LEFT * self.settings.counter_timeout_ns
        call = timely and not short and self.may_call_counter(1 + (CALL_BURST - 1) * (1 - work.value_rank))
        # Guards against all limiters of a large set taking ahead at once what none of their slices can hold.
        sliver = customer.bucket.max_permits < work.units
        told = sliver and not silent and self.spent.remaining_ns(self.now_ns, customer.name)
        work.awaiting_counter = True
        short = short and not silent  # then the slice alone decides
        if customer.bucket.next_free_ticket_ns <= self.now_ns and not (short or (sliver and call) or told):
            self.charge(work)
            self.send_first_attempt(work)
        elif call:
            self.call_counter(customer, work.request.request_id, work.units)
        else:
            self.wait_or_refuse(work)

    def account_for(self, request: api.Request, plan: api.Plan) -> Account:
        customer = self.accounts.pop(request.customer, None)
        if customer is None:
            now_ns, size = self.now_ns, min(max(1.0, request.set_size), self.limiters)
            quota, ceiling = (plan.rate, plan.burst), (plan.ceiling_rate, plan.ceiling_burst)
            self.roll.enabled = self.roll.enabled or size <= GROUP_SIZE
            digit = assign_digit(self.settings.index, self.limiters, round(size))
            customer = Account.create(
                now_ns, request.customer, size, quota, ceiling, digit, now_ns - self.start_ns, self.weather
            )
            for old in list(self.accounts.values()):  # in order of last use
                if (
                    old.open_calls
                    or old.open_attempts
                    or now_ns - old.last_used_ns < ACCOUNT_IDLE_WINDOWS * old.window_ns
                ):
                    break
                del self.accounts[old.name]
        self.accounts[request.customer] = customer
        customer.last_used_ns = self.now_ns
        part = self.roll.quota_share(round(request.set_start), round(customer.set_size))
        if part != customer.quota_share:
            customer.rescale(self.now_ns, part)
        return customer

    def may_call_counter(self, saved: float) -> bool:
        return self.settings.has_counter and self.pace.is_free(self.now_ns, saved)

    def call_counter(self, customer: Account, request_id: int, units: float) -> None:
        """Call the counter with these units and all local spends since the last call."""
        self.last_call_id = call = self.last_call_id + 1
        question = self.counter_calls[call] = customer.start_call(self.now_ns, request_id, units, call)
        self.pace.on_call()
        amount = question.amount + question.digit_amount
        self.actions.append(api.Count(question.key, amount, customer.window_ns, call))

    def charge(self, work: PendingRequest) -> None:
        """Take a request's units from the slice, and tell the counter if that is much of what is left."""
        customer, work.charged_units, work.charged_to_slice = work.account, work.units, True
        customer.bucket.reserve(work.units)
        customer.charge(self.now_ns, work.units)
        if customer.is_report_due() and self.may_call_counter(CALL_BURST / 2):
            self.call_counter(customer, -1, 0.0)

    def refund(self, work: PendingRequest) -> None:
        """What was charged for a request of which nothing was sent belongs to its customer again."""
        units, work.charged_units = work.charged_units, 0.0
        if units and not work.attempts:
            work.account.refund(self.now_ns, units, work.charged_to_slice)

    def on_heartbeat(self) -> None:
        """Answer the roll, tell the peers that this limiter lives, and look at the state of the counter."""
        self.set_timer(HEARTBEAT_INTERVAL_NS, self.on_heartbeat, True)
        # A silent counter is asked whether it is back.
        if self.roll.enabled or self.weather.is_silent(self.now_ns):
            beat = self.roll.next_heartbeat(self.now_ns)
            self.last_call_id = call = self.last_call_id + 1
            self.heartbeats = {
                call: beat,
                **{old: b for old, b in self.heartbeats.items() if b is self.roll.pending},
            }
            self.actions.append(api.Count(beat.key, beat.amount, 2 * EPOCH_NS, call))
        if self.settings.may_message_peers and self.roll.enabled:
            self.actions += [api.Tell(other, HEARTBEAT_PAYLOAD) for other in self.roll.recipients()]
        if self.weather.update_state(self.now_ns, bool(self.roll.split)):
            self.actions.append(api.Log(self.report().to_log_line()))

    def start_resync(self) -> None:
        """After silence or a replacement: what the counter does not know of this limiter's customers."""
        teaching = bool(self.unsynced)
        lately = [
            c
            for c in self.accounts.values()
            if c.has_reported_in_window(self.now_ns) or c.unreported >= c.min_report_units
        ]
        self.unsynced = lately[-MAX_RESYNCED_ACCOUNTS:]
        if not teaching:
            self.resync_next()

    def resync_next(self) -> None:
        """Tell a counter that began again what it has lost, the customers of last use first.

        At the pace of calls and at most one a gap: guards against recovery flooding what it is to save."""
        if not self.unsynced:
            return
        customer = self.unsynced.pop()
        news = (
            customer.answered_ns < self.weather.replaced_ns
            or customer.unreported >= customer.min_report_units
        )
        if news and not customer.open_calls and self.may_call_counter(1.0):
            self.call_counter(customer, -1, 0.0)
        self.set_timer(self.pace.interval_ns * self.random.uniform(1, 2), self.resync_next, True)

    def on_counter_result(self, heard: bool) -> None:
        back = heard and self.weather.is_silent(self.now_ns)
        self.weather.on_result(self.now_ns, heard)
        if back:
            self.pace.on_recovered(self.now_ns)
            self.start_resync()

    def on_peer_message(self, event: api.PeerMessage) -> None:
        if event.payload == HEARTBEAT_PAYLOAD:
            self.roll.on_message(self.now_ns, event.sender)
        else:
            self.spent.on_message(self.now_ns, event.payload)

    def report(self) -> api.CounterReport:
        """The state of the counter, since when, and the bound on the overrun of each plan's customers."""
        told = bounds(self.settings, self.limiters, self.weather)
        return api.CounterReport(
            self.weather.state, self.weather.since_ns, told, tuple(sorted(self.roll.split))
        )

    def announce_exhausted(self, work: PendingRequest) -> None:
        """Tell the others of a large set that the counter refused what their slices cannot hold either."""
        rank = work.plan.rate * work.plan.price / max(p.rate * p.price for p in self.settings.plans)
        customer = work.account
        if (
            customer.set_size <= GROUP_SIZE
            or customer.bucket.max_permits >= work.units
            or customer.balance >= 1
        ):
            return
        if word := self.spent.on_refused(self.now_ns, customer.name, rank):
            self.actions.append(api.Tell(None, word))

    def on_counted(self, event: api.Counted) -> None:
        if beat := self.heartbeats.pop(event.call_id, None):
            heard = event.outcome is Outcome.OK and math.isfinite(event.total)
            self.on_counter_result(heard)
            if heard and self.roll.on_answer(self.now_ns, beat, event.total):
                self.weather.replaced_ns = self.now_ns
                self.start_resync()
            elif event.outcome in NEVER_EXECUTED:
                self.roll.on_rejected(beat)
            return
        if (question := self.counter_calls.pop(event.call_id, None)) is None:
            return
        customer, work = question.account, self.pending.get(question.request_id)
        heard = event.outcome is Outcome.OK and math.isfinite(event.total)
        waits = work is not None and work.awaiting_counter and question.status is CallStatus.IN_FLIGHT
        doubted, handed = bool(customer.uncertain_calls), customer.carried_over
        if question.status is CallStatus.IN_FLIGHT:
            self.pace.on_result(event.outcome is Outcome.OK)
            self.on_counter_result(heard)
        if heard and customer.on_answer(self.now_ns, question, event.total):
            if work and waits:
                work.charged_units, work.charged_to_slice, waits = question.units, False, False
                self.send_first_attempt(work)
            else:
                customer.refund(self.now_ns, question.units, False)  # the client has gone meanwhile
        elif event.outcome in NEVER_EXECUTED:
            customer.on_rejected(question)
        elif not heard and question.status is CallStatus.IN_FLIGHT:
            customer.on_timeout(self.now_ns, question)
            self.counter_calls[event.call_id] = question  # its answer may come late
            oldest = next(iter(self.counter_calls))
            if (
                len(self.counter_calls) > MAX_LATE_CALLS
                and self.counter_calls[oldest].status is not CallStatus.IN_FLIGHT
            ):
                del self.counter_calls[oldest]
        elif heard and work and question.status is CallStatus.RESOLVED and self.settings.may_message_peers:
            self.announce_exhausted(work)
        # Guards against ending with a debt untold that the others take for handed on.
        doubted = doubted or customer.carried_over > handed
        again = customer.has_refund_to_report() or (doubted and customer.is_report_due())
        if heard and again and self.may_call_counter(1.0):
            self.call_counter(customer, -1, 0.0)
        if work and waits:
            self.wait_or_refuse(work)

    def wait_or_refuse(self, work: PendingRequest) -> None:
        """Without a grant: wait for the ticket if deadline and aim allow, else refuse at once."""
        customer, work.awaiting_counter = work.account, False
        if work.plan.over_quota_value > work.plan.over_quota_cost and not self.over_limit(
            work, LOWEST_VALUE_LIMIT_SHARE
        ):
            return self.send_first_attempt(
                work
            )  # beyond the quota it earns more than it costs, and there is room
        customer.bucket.resync(self.now_ns)
        wait_ns = customer.bucket.next_free_ticket_ns - self.now_ns
        if customer.total is not None and not self.weather.is_silent(self.now_ns):
            short = work.units - customer.refill(self.now_ns)
            wait_ns = max(wait_ns, round(short / customer.rate * SECOND_NS))
        if customer.bucket.max_permits < work.units and not self.weather.is_silent(self.now_ns):
            wait_ns = max(wait_ns, self.spent.remaining_ns(self.now_ns, customer.name))
        if wait_ns > MAX_QUOTA_WAIT_SHARE * (work.target_at_ns - self.now_ns):
            return self.refuse(work, wait_ns)
        self.charge(work)  # told now, so that nobody grants it meanwhile
        self.set_timer(wait_ns, self.send_first_attempt, work)

    def refuse(self, work: PendingRequest, wait_ns: int) -> None:
        """The final answer without success: a refusal only where a repeat is harmless."""
        request_id, kind = work.request.request_id, work.traffic_class
        del self.pending[request_id]
        self.refund(work)
        harmless = kind.idempotency is Idempotency.SAFE or (
            kind.idempotency is Idempotency.KEYED and kind.dedup_scope is DedupScope.ALL
        )
        refusable = harmless or not any(a.may_have_run for a in work.attempts)
        advice_ns = (
            min(max(0, wait_ns), self.settings.max_retry_after_ns)
            if self.settings.may_send_retry_after
            else 0
        )
        self.actions.append(api.Refuse(request_id, advice_ns) if refusable else api.Fail(request_id))

    def on_server_list(self, event: api.ServerList) -> None:
        if event.kind is ListKind.FAILED and self.settings.subscribe:  # fires without work: subscribe
            self.set_timer(
                self.settings.resubscribe_within_ns * RESUBSCRIBE_SHARE * self.random.uniform(1, 2),
                self.retry,
            )
        if event.kind is ListKind.CACHED and self.settings.subscribe:
            self.actions.append(api.Watch(True))
        apply_server_list(self.servers, event)
        # Walked by each limiter from its own place: few servers each, equally many limiters at each.
        order = sorted(self.servers, key=zlib.crc32)
        first = self.settings.index * len(order) // self.limiters
        around = (self.servers[key] for key in order[first:] + order[:first])
        self.ring = [server for server in around if server.entry.trust]
        self.concurrency_limit = (
            self.concurrency_limit or INITIAL_LIMIT_PER_SERVER * len(self.servers) / self.limiters
        )

    def capacity_share(self, server: Server) -> float:
        """Slow start: the part of its capacity that a server is sure to have."""
        age = (self.now_ns - server.started_ns) / max(1, self.settings.warm_up_ns)
        if server.started_ns <= 0 or age >= 1:
            return 1.0
        return self.settings.cold_capacity_share + (1 - self.settings.cold_capacity_share) * max(0.0, age)

    def over_limit(self, work: PendingRequest, part: float = 1.0) -> bool:
        """Guards against congestive collapse, whatever its cause: is the limit spent, for this worth?"""
        for kind, young in zip(self.settings.classes, self.recent_attempts, strict=True):
            while young and young[0].sent_ns + LATE_TARGET_SHARE * kind.target_ns <= self.now_ns:
                if (attempt := young.popleft()).in_flight:
                    self.adjust_limit(True, attempt.sent_ns)
        limit = (
            self.concurrency_limit
            * part
            * (LOWEST_VALUE_LIMIT_SHARE + (1 - LOWEST_VALUE_LIMIT_SHARE) * work.value_rank)
        )
        return (
            self.concurrency.mean(self.now_ns) >= limit
            or len(self.in_flight) >= limit + 2 * math.sqrt(limit) + 1
        )

    def adjust_limit(self, late: bool, sent_ns: int) -> None:
        """Move the limit: up while it is used and answers are in time, down by a part when they are not."""
        self.late_share += LATE_EWMA_WEIGHT * (late - self.late_share)
        out = self.concurrency.mean(self.now_ns)
        if late and self.late_share > CONGESTION_LATE_SHARE and sent_ns > self.decreased_ns:
            self.concurrency_limit = max(
                len(self.servers) / self.limiters, DECREASE_FACTOR * min(self.concurrency_limit, out)
            )
            self.decreased_ns, self.late_share = self.now_ns, CONGESTION_LATE_SHARE / 2
        elif not late and out >= MIN_USE_TO_INCREASE * self.concurrency_limit:
            self.concurrency_limit += min(INCREASE_PER_ANSWER, 1 / self.concurrency_limit)

    def pick_server(self, tried: list[Server], request: api.Request) -> Server | None:
        """The least loaded by own outstanding work and recent slowness, over what it can take."""
        best, best_cost, seen = None, math.inf, 0
        spare, spare_cost = None, math.inf
        safe = self.settings.classes[request.traffic_class].idempotency is Idempotency.SAFE
        self.ejected = {server for server in self.ejected if server.ejected_until_ns > self.now_ns}
        trust = len(self.ejected) <= MAX_EJECTED_SHARE * len(self.servers)
        for server in self.ring:
            out = trust and (
                server.ejected_until_ns > self.now_ns or (server.on_probation and server.in_flight)
            )
            full = server.full_until_ns.get((request.plan, request.traffic_class), 0) > self.now_ns
            if server.entry.health is not Health.READY or server in tried or out or full:
                continue
            # Guards against a burst, or a claim, on what may be no server or another one by now.
            trusted = server.entry.trust
            if trusted is not Trust.TOLD and (server.in_flight or (trusted is Trust.SAFE and not safe)):
                continue
            # Slow start of who may be cold: each answer makes room for one more, so its own speed sets the
            # pace.
            if server.entry.presumed_start_ns and len(server.in_flight) > server.answers:
                continue
            share = self.capacity_share(server)
            weight = server.entry.weight if server.entry.weight > 0 else 1.0
            cost = (
                (len(server.in_flight) + 1)
                * server.slowness
                / (weight * share)
                * self.random.uniform(0.99, 1.01)
            )
            if share < 1 and (
                self.now_ns < server.next_attempt_ns or (server.in_flight and not self.recent_answers)
            ):
                if not server.in_flight and cost < spare_cost:
                    spare, spare_cost = server, cost
                continue
            if cost < best_cost:
                best, best_cost = server, cost
            if (seen := seen + 1) >= MAX_CANDIDATES:
                break
        # Guards against a fleet that is cold, or may be, being asked by nobody: one attempt at a time goes at
        # the server's own pace, however little that is.
        return best or spare

    def send_first_attempt(self, work: PendingRequest) -> None:
        """The first attempt, within this limiter's part of a ceiling."""
        ceiling, takes, work.awaiting_counter = (
            work.account.ceiling,
            work.request.mode is RequestMode.TAKE,
            False,
        )
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_RATIO * (not takes))
        server = None if takes else self.pick_server([], work.request)
        ceiling.resync(self.now_ns)
        if ceiling.stored_permits < work.units or (server is None and not takes):
            return self.refuse(work, work.traffic_class.target_ns)
        ceiling.reserve(work.units)
        if server:
            return self.start_attempt(work, server)
        left = max(0.0, work.account.refill(self.now_ns)) if work.plan.rate > 0 else 1e15
        del self.pending[work.request.request_id]
        self.actions.append(api.QuotaAnswer(work.request.request_id, True, left, 0))

    def start_attempt(self, work: PendingRequest, server: Server) -> None:
        request_id, index, number = work.request.request_id, work.request.traffic_class, len(work.attempts)
        share = self.capacity_share(server)
        if share < 1 and self.recent_answers:
            # Guards against pushing a cold server over: paced to its share of what a warm one answered.
            rate = (
                self.recent_answers
                * SECOND_NS
                / self.settings.warm_up_ns
                / min(MAX_CANDIDATES, len(self.servers))
            )
            pace_ns = SECOND_NS / max(rate * share * self.settings.overload_multiple * COLD_PACE_SHARE, 0.01)
            server.next_attempt_ns = max(server.next_attempt_ns, self.now_ns) + round(pace_ns)
        attempt = Attempt(server, work.account, index, work.request.plan, work.units, self.now_ns)
        self.concurrency.add(self.now_ns, 1)
        self.in_flight[(request_id, number)] = server.in_flight[(request_id, number)] = attempt
        work.attempts.append(attempt)
        self.recent_attempts[index].append(attempt)
        work.account.open_attempts += 1
        # Guards against a request waiting for its life at an address where nobody may be: it has time for
        # another.
        doubted = server.entry.trust is not Trust.TOLD and work.traffic_class.idempotency is Idempotency.SAFE
        until_ns = (
            self.now_ns + round(UNPROVEN_TIMEOUT_SHARE * work.traffic_class.target_ns) if doubted else 0
        )
        self.actions.append(api.Send(request_id, server.entry.server, until_ns))

    def retry(self, work: PendingRequest) -> bool:
        """One more attempt, where class, budget and time allow; while busy, none: it displaces another."""
        kind, ran = work.traffic_class, [a for a in work.attempts if a.may_have_run]
        dropped_ns = (
            kind.dedup_window_ns
            if kind.idempotency is Idempotency.KEYED and kind.dedup_scope is DedupScope.ALL
            else 0
        )
        twice = kind.idempotency is not Idempotency.SAFE and any(
            self.now_ns >= a.sent_ns + dropped_ns for a in ran
        )
        late = self.now_ns >= work.target_at_ns and not kind.late_value
        spent = len(work.attempts) >= self.settings.max_attempts or self.retry_tokens < 1
        server = self.pick_server([a.server for a in work.attempts], work.request)
        if (
            late
            or spent
            or twice
            or server is None
            or self.concurrency.mean(self.now_ns) >= LOWEST_VALUE_LIMIT_SHARE * self.concurrency_limit
        ):
            return False
        self.retry_tokens -= 1
        self.start_attempt(work, server)
        return True

    def finish(self, event: api.HungUp | api.StreamBegun | api.AttemptEnded) -> None:
        """The request is over: forget it and wait for none of its other attempts."""
        work = self.pending.pop(event.request_id, None)
        if work:
            self.refund(work)
        own = None if isinstance(event, api.HungUp) else event.attempt
        for number, attempt in enumerate(work.attempts if work else ()):
            if attempt.in_flight and number != own and self.settings.may_cancel:
                self.actions.append(api.Cancel(event.request_id, number))

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        if (attempt := self.in_flight.pop((event.request_id, event.attempt), None)) is None:
            return
        self.concurrency.add(self.now_ns, -1)
        attempt.in_flight, attempt.may_have_run = False, event.outcome not in NEVER_EXECUTED
        attempt.server.in_flight.pop((event.request_id, event.attempt), None)
        in_time = event.elapsed_ns <= LATE_TARGET_SHARE * self.settings.classes[attempt.class_index].target_ns
        # Full says nothing of others: servers may turn one plan or class away though they have room.
        if event.outcome is Outcome.OK and in_time:
            self.adjust_limit(False, attempt.sent_ns)
        self.record_outcome(attempt, event)
        attempt.account.open_attempts -= 1
        if event.outcome is Outcome.OK and event.settled_units:  # bucket and count get the difference
            more = event.settled_units - attempt.units
            attempt.account.bucket.resync(self.now_ns)
            attempt.account.bucket.reserve(more)
            attempt.account.charge(self.now_ns, more)
        work = self.pending.get(event.request_id)
        if event.concluded or event.outcome is Outcome.OK:
            self.finish(event)
        elif work is not None and not any(a.in_flight for a in work.attempts) and not self.retry(work):
            self.refuse(work, 0)

    def record_outcome(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Learn from how an attempt ended; a failure is no fast answer, a slow one counts bounded."""
        server, usual = attempt.server, self.unit_latency_ns[attempt.class_index]
        if event.outcome is Outcome.OK:
            took_ns = event.elapsed_ns / attempt.units
            self.unit_latency_ns[attempt.class_index] = (
                usual + EWMA_WEIGHT * (took_ns - usual) if usual else took_ns
            )
            ratio = min(took_ns / max(1.0, self.unit_latency_ns[attempt.class_index]), MAX_LATENCY_RATIO)
            server.slowness += EWMA_WEIGHT * (ratio - server.slowness)
            passed = (self.now_ns - self.recent_answers_ns) / max(1, self.settings.warm_up_ns)
            self.recent_answers, self.recent_answers_ns = (
                self.recent_answers * math.exp(-passed) + 1,
                self.now_ns,
            )
            server.consecutive_failures, server.on_probation, server.answers = 0, False, server.answers + 1
        elif event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR):
            server.consecutive_failures += 1
            if server.consecutive_failures >= EJECT_FAILURES:
                server.ejected_until_ns = self.now_ns + round(
                    EJECTION_CONNECT_TIMEOUTS * self.settings.connect_timeout_ns
                )
                server.on_probation = True
                self.ejected.add(server)
        elif event.outcome is Outcome.FULL:
            aim_ns = self.settings.classes[attempt.class_index].target_ns
            server.full_until_ns[attempt.plan_index, attempt.class_index] = self.now_ns + round(
                FULL_BACKOFF_TARGETS * aim_ns
            )
