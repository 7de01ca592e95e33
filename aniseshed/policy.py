"""The decision logic of a limiter; its events and actions are defined in aniseshed/interface.py.

Each limiter holds a slice of every customer's quota in a SmoothBursty. For a request beyond the slice it asks
the shared counter; without a grant the request waits for a permit or is refused. The accounting of a quota is
in aniseshed/account.py."""

from __future__ import annotations

import math
import random
import zlib
from collections import OrderedDict, deque
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

MAX_LATE_CALLS = 500  # Timed-out counter calls remembered for a late answer; a few hundred bytes each.
MIN_COUNTER_TIMEOUTS_LEFT = 3.0  # The counter is asked only if the client still waits this many time-outs.
MAX_QUOTA_WAIT_SHARE = 0.4  # Share of the latency target; a longer wait for quota leaves no time to serve.
ACCOUNT_IDLE_WINDOWS = 2.0  # An account idle for this many windows has a full bucket and is dropped.
EWMA_WEIGHT = 0.1  # Weight of one answer in the running means: about ten answers establish a change.
MAX_LATENCY_RATIO = 3.0  # Cap on an answer's latency over the mean; this ratio alone shows a slow server.
MAX_CANDIDATES = 8  # Servers per limiter, few enough to learn each one's latency from its own answers.
FULL_BACKOFF_TARGETS = 2.0  # Latency targets for which a plan and class skip a server that was full for them.
EJECT_FAILURES = 2  # Consecutive failures that eject a server; a single one may be chance.
EJECTION_CONNECT_TIMEOUTS = 4.0  # Length of an ejection; then one attempt at a time is sent.
MAX_EJECTED_SHARE = 0.5  # Share of the servers; if more fail, the fault is elsewhere and none is skipped.
UNPROVEN_TIMEOUT_SHARE = 0.3  # Share of the latency target that an attempt at an unproven server may take.
# Share of the overload multiple that crashes a cold server, so that all limiters together stay below it.
COLD_PACE_SHARE = 0.5
RESUBSCRIBE_SHARE = 0.2  # Share of the time allowed to resubscribe; the delay is one to two times this.
LATE_TARGET_SHARE = 0.75  # Share of the latency target; later answers count as late, in time to react.
CONGESTION_LATE_SHARE = 0.15  # Share of late answers that shows congestion; the work's own tail causes less.
LATE_EWMA_WEIGHT = 0.05  # Weight of one answer in the share of late ones; a few late in a row may be chance.
DECREASE_FACTOR = 0.75  # Multiplies the limit, once for all attempts sent since the last decrease.
INITIAL_LIMIT_PER_SERVER = 3.0  # Attempts in flight per server, over all limiters together.
MIN_USE_TO_INCREASE = 0.5  # Share of the limit; below this use, answers in time do not raise it.
INCREASE_PER_ANSWER = 0.08  # Added per answer in time, at most 1 for each round of `limit` answers.
LOWEST_VALUE_LIMIT_SHARE = 0.5  # Share of the limit; the rest is reserved for requests of a higher value.
RETRY_RATIO = 0.15  # Retries allowed per first attempt, so that retries never double the load.
MAX_RETRY_TOKENS = 10.0  # Retries that may be saved up for a sudden failure.
MAX_RESYNCED_ACCOUNTS = 64  # Most recently used accounts, reported again after the counter was replaced.
HEARTBEAT_PAYLOAD = b"here"  # Datagram to the other limiters, sent once per heartbeat.
NEVER_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Limiter:
    """Admits requests, picks their servers and decides about retries; it does no I/O and has no clock.

    All state changes in ``handle``, which takes an event and returns the actions that answer it."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.now_ns, self.actions = 0, list[api.Action]()
        self.timer_token, self.limiters = 0, max(1, settings.limiters)
        # By customer, from the least recently used.  An OrderedDict finds its first key at once; a plain dict
        # searches past all that were deleted before it.
        self.accounts: OrderedDict[int, Account] = OrderedDict()
        self.servers: dict[bytes, Server] = {}
        self.server_order, self.ejected = list[Server](), set[Server]()
        self.pending: dict[int, PendingRequest] = {}
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.timers: dict[int, tuple[Callable[..., object], PendingRequest | bool | None]] = {}
        # By call id: calls in flight, and timed-out ones whose answer may come late.
        self.counter_calls: dict[int, CounterCall] = {}
        self.unsynced: list[Account] = []  # accounts whose shared counts may have been reset
        self.heartbeats: dict[int, Heartbeat] = {}  # in flight, by call id
        self.last_call_id, self.start_ns = 0, -1
        self.counter_health = CounterHealth(settings.counter_timeout_ns)
        self.partition_detector = PartitionDetector(
            settings.index, self.limiters, 0, settings.may_message_peers
        )
        self.exhausted_quotas = ExhaustedQuotas(
            SmoothBursty(0, MESSAGES_PER_SECOND / self.limiters, MESSAGE_BURST, 1.0)
        )
        self.call_pacer = CallPacer(self.limiters, settings.counter_timeout_ns)
        self.unit_latency_ns = [0.0] * len(settings.classes)  # running mean per unit, by class
        self.max_timeout_ns = [0] * len(settings.classes)  # longest seen, by class
        # By class: attempts that were sent too recently to be late.
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
        """Process one event and return the resulting actions; ``now_ns`` must not decrease."""
        self.now_ns, self.actions = now_ns, []
        if self.start_ns < 0:
            self.start_ns = self.partition_detector.start_ns = self.counter_health.since_ns = now_ns
            if self.settings.has_counter and self.limiters > 1:
                self.set_timer(self.random.random() * HEARTBEAT_INTERVAL_NS, self.on_heartbeat, True)
        if handler := self.handlers.get(type(event)):
            handler(event)
        return self.actions

    def set_timer(
        self, delay_ns: float, callback: Callable[..., object], pending: PendingRequest | bool | None = None
    ) -> None:
        """Set a timer that calls ``callback``, with ``pending`` if that request still has no final answer.

        ``pending`` is True for a callback without arguments. If it is None, the timer subscribes to the
        server list and ``callback`` is not called."""
        self.timer_token = (self.timer_token + 1) & 0xFFFFFFFF
        self.timers[self.timer_token] = (callback, pending)
        self.actions.append(api.SetTimer(max(0, round(delay_ns)), self.timer_token))

    def on_timer(self, event: api.TimerFired) -> None:
        callback, pending = self.timers.pop(event.token, (None, None))
        if callback and pending is True:
            callback()
        elif callback and pending is None:
            self.actions.append(api.Watch(True))
        elif (
            callback
            and isinstance(pending, PendingRequest)
            and self.pending.get(pending.request.request_id) is pending
        ):
            callback(pending)

    def on_request(self, request: api.Request) -> None:
        class_index, now_ns = request.traffic_class, self.now_ns
        if class_index >= len(self.settings.classes) or request.plan >= len(self.settings.plans):
            return self.actions.append(api.Refuse(request.request_id, 0))
        traffic_class, plan = self.settings.classes[class_index], self.settings.plans[request.plan]
        units = request.units if 0 < request.units < math.inf else 1.0
        # A client's retry has only the rest of its deadline, so its latency target is shortened by the time
        # that has passed. Otherwise work would be spent on answers that are late already.
        shortened = request.is_retry and request.timeout_ns < self.max_timeout_ns[class_index]
        elapsed_ns = max(0, traffic_class.deadline_ns - request.timeout_ns) * shortened
        self.max_timeout_ns[class_index] = max(self.max_timeout_ns[class_index], request.timeout_ns)
        target_at_ns = now_ns + min(traffic_class.target_ns - elapsed_ns, request.timeout_ns)
        account = self.account_for(request, plan)
        pending = self.pending[request.request_id] = PendingRequest(
            request, traffic_class, plan, units, account, target_at_ns
        )
        full = plan.max_in_flight and account.open_attempts >= max(
            1, int(plan.max_in_flight / account.set_size)
        )
        value = pending.traffic_class.value * plan.price * units
        self.mean_value += EWMA_WEIGHT * (value - self.mean_value) if self.mean_value else value
        pending.value_rank = min(1.0, value / self.mean_value)
        # A request that is not expected to finish within its timeout is refused while there is a recent
        # attempt of its class. Without one it is sent, since only an attempt can show that the class has
        # become faster.
        refused = (
            full or self.over_limit(pending) or (target_at_ns <= now_ns and not traffic_class.late_value)
        )
        refused = (
            refused
            or bool(self.recent_attempts[class_index])
            and self.unit_latency_ns[class_index] * max(1.0, units) > request.timeout_ns
        )
        if request.mode is RequestMode.PEEK:
            self.peek(pending, refused)
        elif refused:
            self.refuse(pending, traffic_class.target_ns)
        elif plan.rate <= 0 or plan.burst <= 0:
            self.send_first_attempt(pending)
        else:
            self.admit(pending, account)
        if account.is_unused():
            del self.accounts[request.customer]  # its memory would be held for nothing

    def peek(self, pending: PendingRequest, refused: bool) -> None:
        """Answer whether a take would be granted, by this limiter's own estimate, without a counter call."""
        del self.pending[pending.request.request_id]
        remaining = max(0.0, pending.account.refill(self.now_ns)) if pending.plan.rate > 0 else math.inf
        refill_ns = max(0.0, pending.units - remaining) / max(pending.account.rate, 1e-9) * SECOND_NS
        wait_ns = round(max(refill_ns, pending.traffic_class.target_ns if refused else 0))
        self.actions.append(
            api.QuotaAnswer(pending.request.request_id, not wait_ns, min(remaining, 1e15), wait_ns)
        )

    def on_units_returned(self, event: api.UnitsReturned) -> None:
        if account := self.accounts.get(event.customer):
            account.refund(self.now_ns, event.units, False)

    def admit(self, pending: PendingRequest, account: Account) -> None:
        """Send a request if the slice or the counter grants its units, else let it wait for a permit."""
        account.bucket.resync(self.now_ns)
        if silent := self.counter_health.is_silent(self.now_ns):
            account.cap_slice(self.now_ns)
        # The slice is not used when the whole quota is known to be spent, since slices and grants together
        # would exceed it.
        insufficient = account.total is not None and account.refill(self.now_ns) < pending.units
        has_time = pending.request.timeout_ns > MIN_COUNTER_TIMEOUTS_LEFT * self.settings.counter_timeout_ns
        may_call = (
            has_time
            and not insufficient
            and self.may_call_counter(1 + (CALL_BURST - 1) * (1 - pending.value_rank))
        )
        # In a large set a slice may be smaller than one request. Then all limiters together could overdraw
        # their slices at once, so the counter decides, or the notice of another limiter that the quota is
        # exhausted.
        slice_too_small = account.bucket.max_permits < pending.units
        known_exhausted = (
            slice_too_small and not silent and self.exhausted_quotas.remaining_ns(self.now_ns, account.name)
        )
        pending.awaiting_counter = True
        insufficient = insufficient and not silent  # While the counter is silent only the slice decides.
        if account.bucket.next_free_ticket_ns <= self.now_ns and not (
            insufficient or (slice_too_small and may_call) or known_exhausted
        ):
            self.charge(pending)
            self.send_first_attempt(pending)
        elif may_call:
            self.call_counter(account, pending.request.request_id, pending.units)
        else:
            self.wait_or_refuse(pending)

    def account_for(self, request: api.Request, plan: api.Plan) -> Account:
        """The account of the request's customer; for a new one, idle accounts are dropped."""
        if account := self.accounts.get(request.customer):
            self.accounts.move_to_end(request.customer)
        else:
            self.drop_idle_accounts()
            account = self.accounts[request.customer] = self.create_account(request, plan)
        account.last_used_ns = self.now_ns
        quota_share = self.partition_detector.quota_share(round(request.set_start), round(account.set_size))
        if quota_share != account.quota_share:
            account.rescale(self.now_ns, quota_share)
        return account

    def create_account(self, request: api.Request, plan: api.Plan) -> Account:
        set_size = min(max(1.0, request.set_size), self.limiters)
        self.partition_detector.enabled = self.partition_detector.enabled or set_size <= GROUP_SIZE
        return Account.create(
            self.now_ns,
            request.customer,
            set_size,
            (plan.rate, plan.burst),
            (plan.ceiling_rate, plan.ceiling_burst),
            assign_digit(self.settings.index, self.limiters, round(set_size)),
            self.now_ns - self.start_ns,
            self.counter_health,
        )

    def drop_idle_accounts(self) -> None:
        """Drop the least recently used accounts, up to the first that is still needed."""
        while self.accounts:
            oldest = next(iter(self.accounts.values()))
            idle_ns = self.now_ns - oldest.last_used_ns
            if oldest.open_calls or oldest.open_attempts or idle_ns < ACCOUNT_IDLE_WINDOWS * oldest.window_ns:
                return
            self.accounts.popitem(last=False)

    def may_call_counter(self, min_saved_calls: float) -> bool:
        """Whether the counter may be called now, with at least this many calls saved up by the pacing."""
        return self.settings.has_counter and self.call_pacer.is_free(self.now_ns, min_saved_calls)

    def call_counter(self, account: Account, request_id: int, units: float) -> None:
        """Call the counter for these units, and report all units spent locally since the last call."""
        self.last_call_id = call_id = self.last_call_id + 1
        counter_call = self.counter_calls[call_id] = account.start_call(
            self.now_ns, request_id, units, call_id
        )
        self.call_pacer.on_call()
        amount = counter_call.amount + counter_call.digit_amount
        self.actions.append(api.Count(counter_call.key, amount, account.window_ns, call_id))

    def charge(self, pending: PendingRequest) -> None:
        """Take a request's units from the slice, and report them if they are a large part of the balance."""
        account, pending.charged_units, pending.charged_to_slice = pending.account, pending.units, True
        account.bucket.reserve(pending.units)
        account.charge(self.now_ns, pending.units)
        if account.is_report_due() and self.may_call_counter(CALL_BURST / 2):
            self.call_counter(account, -1, 0.0)

    def refund(self, pending: PendingRequest) -> None:
        """Return the units charged for a request if no attempt was sent."""
        units, pending.charged_units = pending.charged_units, 0.0
        if units and not pending.attempts:
            pending.account.refund(self.now_ns, units, pending.charged_to_slice)

    def on_heartbeat(self) -> None:
        """Send the heartbeats to the counter and to the peers, and update the state of the counter."""
        self.set_timer(HEARTBEAT_INTERVAL_NS, self.on_heartbeat, True)
        # While the counter is silent, the heartbeat probes whether it has recovered.
        if self.partition_detector.enabled or self.counter_health.is_silent(self.now_ns):
            heartbeat = self.partition_detector.next_heartbeat(self.now_ns)
            self.last_call_id = call_id = self.last_call_id + 1
            self.heartbeats = {
                call_id: heartbeat,
                **{
                    other_id: other
                    for other_id, other in self.heartbeats.items()
                    if other is self.partition_detector.pending
                },
            }
            self.actions.append(api.Count(heartbeat.key, heartbeat.amount, 2 * EPOCH_NS, call_id))
        if self.settings.may_message_peers and self.partition_detector.enabled:
            self.actions += [
                api.Tell(peer, HEARTBEAT_PAYLOAD) for peer in self.partition_detector.recipients()
            ]
        if self.counter_health.update_state(self.now_ns, bool(self.partition_detector.split)):
            self.actions.append(api.Log(self.report().to_log_line()))

    def start_resync(self) -> None:
        """Collect the accounts whose units the counter may lack after a silence or a replacement."""
        resyncing = bool(self.unsynced)
        reported = [
            account
            for account in self.accounts.values()
            if account.has_reported_in_window(self.now_ns) or account.unreported >= account.min_report_units
        ]
        self.unsynced = reported[-MAX_RESYNCED_ACCOUNTS:]
        if not resyncing:
            self.resync_next()

    def resync_next(self) -> None:
        """Report one account to a counter that lost its state, the most recently used first.

        At most one call is made per interval of the call pacing, so that recovery does not overload the
        counter."""
        if not self.unsynced:
            return
        account = self.unsynced.pop()
        is_unsynced = (
            account.answered_ns < self.counter_health.replaced_ns
            or account.unreported >= account.min_report_units
        )
        if is_unsynced and not account.open_calls and self.may_call_counter(1.0):
            self.call_counter(account, -1, 0.0)
        self.set_timer(self.call_pacer.interval_ns * self.random.uniform(1, 2), self.resync_next, True)

    def on_counter_result(self, answered: bool) -> None:
        """Update the state of the counter after a call; start to resync when it has recovered."""
        recovered = answered and self.counter_health.is_silent(self.now_ns)
        self.counter_health.on_result(self.now_ns, answered)
        if recovered:
            self.call_pacer.on_recovered(self.now_ns)
            self.start_resync()

    def on_peer_message(self, event: api.PeerMessage) -> None:
        if event.payload == HEARTBEAT_PAYLOAD:
            self.partition_detector.on_message(self.now_ns, event.sender)
        else:
            self.exhausted_quotas.on_message(self.now_ns, event.payload)

    def report(self) -> api.CounterReport:
        """The state of the counter and the bound on the overrun of each plan's customers."""
        bound_units = bounds(self.settings, self.limiters, self.counter_health)
        return api.CounterReport(
            self.counter_health.state,
            self.counter_health.since_ns,
            bound_units,
            tuple(sorted(self.partition_detector.split)),
        )

    def announce_exhausted(self, pending: PendingRequest) -> None:
        """Notify the other limiters of a large set that a customer's quota is exhausted.

        Their slices are smaller than one request as well, so each of them would overdraw its slice."""
        value_rank = (
            pending.plan.rate * pending.plan.price / max(p.rate * p.price for p in self.settings.plans)
        )
        account = pending.account
        if (
            account.set_size <= GROUP_SIZE
            or account.bucket.max_permits >= pending.units
            or account.balance >= 1
        ):
            return
        if payload := self.exhausted_quotas.on_refused(self.now_ns, account.name, value_rank):
            self.actions.append(api.Tell(None, payload))

    def on_counted(self, event: api.Counted) -> None:
        if heartbeat := self.heartbeats.pop(event.call_id, None):
            answered = event.outcome is Outcome.OK and math.isfinite(event.total)
            self.on_counter_result(answered)
            if answered and self.partition_detector.on_answer(self.now_ns, heartbeat, event.total):
                self.counter_health.replaced_ns = self.now_ns
                self.start_resync()
            elif event.outcome in NEVER_EXECUTED:
                self.partition_detector.on_rejected(heartbeat)
            return
        if (counter_call := self.counter_calls.pop(event.call_id, None)) is None:
            return
        account, pending = counter_call.account, self.pending.get(counter_call.request_id)
        answered = event.outcome is Outcome.OK and math.isfinite(event.total)
        waiting = (
            pending is not None and pending.awaiting_counter and counter_call.status is CallStatus.IN_FLIGHT
        )
        had_uncertain, carried_over = bool(account.uncertain_calls), account.carried_over
        if counter_call.status is CallStatus.IN_FLIGHT:
            self.call_pacer.on_result(event.outcome is Outcome.OK)
            self.on_counter_result(answered)
        if answered and account.on_answer(self.now_ns, counter_call, event.total):
            if pending and waiting:
                pending.charged_units, pending.charged_to_slice, waiting = counter_call.units, False, False
                self.send_first_attempt(pending)
            else:
                # The client disconnected in the meantime.
                account.refund(self.now_ns, counter_call.units, False)
        elif event.outcome in NEVER_EXECUTED:
            account.on_rejected(counter_call)
        elif not answered and counter_call.status is CallStatus.IN_FLIGHT:
            account.on_timeout(self.now_ns, counter_call)
            self.counter_calls[event.call_id] = counter_call  # Its answer may come late.
            oldest = next(iter(self.counter_calls))
            if (
                len(self.counter_calls) > MAX_LATE_CALLS
                and self.counter_calls[oldest].status is not CallStatus.IN_FLIGHT
            ):
                del self.counter_calls[oldest]
        elif (
            answered
            and pending
            and counter_call.status is CallStatus.RESOLVED
            and self.settings.may_message_peers
        ):
            self.announce_exhausted(pending)
        # A debt that was carried over must be reported, since the other limiters rely on it.
        had_uncertain = had_uncertain or account.carried_over > carried_over
        report_again = account.has_refund_to_report() or (had_uncertain and account.is_report_due())
        if answered and report_again and self.may_call_counter(1.0):
            self.call_counter(account, -1, 0.0)
        if pending and waiting:
            self.wait_or_refuse(pending)

    def wait_or_refuse(self, pending: PendingRequest) -> None:
        """Without a grant: wait for the next permit if the latency target allows it, else refuse."""
        account, pending.awaiting_counter = pending.account, False
        if pending.plan.over_quota_value > pending.plan.over_quota_cost and not self.over_limit(
            pending, LOWEST_VALUE_LIMIT_SHARE
        ):
            # Beyond the quota it earns more than it costs, and there is capacity.
            return self.send_first_attempt(pending)
        account.bucket.resync(self.now_ns)
        wait_ns = account.bucket.next_free_ticket_ns - self.now_ns
        if account.total is not None and not self.counter_health.is_silent(self.now_ns):
            missing_units = pending.units - account.refill(self.now_ns)
            wait_ns = max(wait_ns, round(missing_units / account.rate * SECOND_NS))
        if account.bucket.max_permits < pending.units and not self.counter_health.is_silent(self.now_ns):
            wait_ns = max(wait_ns, self.exhausted_quotas.remaining_ns(self.now_ns, account.name))
        if wait_ns > MAX_QUOTA_WAIT_SHARE * (pending.target_at_ns - self.now_ns):
            return self.refuse(pending, wait_ns)
        self.charge(pending)  # charged now, so that the units are not granted again meanwhile
        self.set_timer(wait_ns, self.send_first_attempt, pending)

    def refuse(self, pending: PendingRequest, wait_ns: int) -> None:
        """Give the final answer without success: Refuse if repeating the request is harmless, else Fail."""
        request_id, traffic_class = pending.request.request_id, pending.traffic_class
        del self.pending[request_id]
        self.refund(pending)
        harmless = traffic_class.idempotency is Idempotency.SAFE or (
            traffic_class.idempotency is Idempotency.KEYED and traffic_class.dedup_scope is DedupScope.ALL
        )
        may_refuse = harmless or not any(a.may_have_run for a in pending.attempts)
        retry_after_ns = (
            min(max(0, wait_ns), self.settings.max_retry_after_ns)
            if self.settings.may_send_retry_after
            else 0
        )
        self.actions.append(api.Refuse(request_id, retry_after_ns) if may_refuse else api.Fail(request_id))

    def on_server_list(self, event: api.ServerList) -> None:
        if event.kind is ListKind.FAILED and self.settings.subscribe:
            # A timer without a request subscribes again.
            self.set_timer(
                self.settings.resubscribe_within_ns * RESUBSCRIBE_SHARE * self.random.uniform(1, 2),
                self.retry,
            )
        if event.kind is ListKind.CACHED and self.settings.subscribe:
            self.actions.append(api.Watch(True))
        apply_server_list(self.servers, event)
        self.ejected.intersection_update(self.servers.values())
        # Each limiter walks the servers in a fixed order from its own offset, so that it uses few servers and
        # every server is used by about as many limiters.
        keys = sorted(self.servers, key=zlib.crc32)
        start = self.settings.index * len(keys) // self.limiters
        servers = (self.servers[key] for key in keys[start:] + keys[:start])
        self.server_order = [server for server in servers if server.entry.trust]
        self.concurrency_limit = (
            self.concurrency_limit or INITIAL_LIMIT_PER_SERVER * len(self.servers) / self.limiters
        )

    def capacity_share(self, server: Server) -> float:
        """The share of its full capacity that a server has while it warms up (slow start)."""
        age = (self.now_ns - server.started_ns) / max(1, self.settings.warm_up_ns)
        if server.started_ns <= 0 or age >= 1:
            return 1.0
        return self.settings.cold_capacity_share + (1 - self.settings.cold_capacity_share) * max(0.0, age)

    def over_limit(self, pending: PendingRequest, limit_share: float = 1.0) -> bool:
        """Whether the concurrency limit for a request of this value is reached; prevents congestion collapse.

        Requests of a low value may use only a share of the limit."""
        for traffic_class, attempts in zip(self.settings.classes, self.recent_attempts, strict=True):
            while (
                attempts and attempts[0].sent_ns + LATE_TARGET_SHARE * traffic_class.target_ns <= self.now_ns
            ):
                if (attempt := attempts.popleft()).in_flight:
                    self.adjust_limit(True, attempt.sent_ns)
        limit = (
            self.concurrency_limit
            * limit_share
            * (LOWEST_VALUE_LIMIT_SHARE + (1 - LOWEST_VALUE_LIMIT_SHARE) * pending.value_rank)
        )
        return (
            self.concurrency.mean(self.now_ns) >= limit
            or len(self.in_flight) >= limit + 2 * math.sqrt(limit) + 1
        )

    def adjust_limit(self, late: bool, sent_ns: int) -> None:
        """Adapt the concurrency limit by additive increase and multiplicative decrease.

        It grows with answers in time while it is in use, and shrinks when too many answers are late."""
        self.late_share += LATE_EWMA_WEIGHT * (late - self.late_share)
        mean_in_flight = self.concurrency.mean(self.now_ns)
        if late and self.late_share > CONGESTION_LATE_SHARE and sent_ns > self.decreased_ns:
            self.concurrency_limit = max(
                len(self.servers) / self.limiters,
                DECREASE_FACTOR * min(self.concurrency_limit, mean_in_flight),
            )
            self.decreased_ns, self.late_share = self.now_ns, CONGESTION_LATE_SHARE / 2
        elif not late and mean_in_flight >= MIN_USE_TO_INCREASE * self.concurrency_limit:
            self.concurrency_limit += min(INCREASE_PER_ANSWER, 1 / self.concurrency_limit)

    def pick_server(self, tried: list[Server], request: api.Request) -> Server | None:
        """The available server with the least load and latency, relative to its capacity."""
        best, best_cost, candidates = None, math.inf, 0
        fallback, fallback_cost = None, math.inf
        is_safe = self.settings.classes[request.traffic_class].idempotency is Idempotency.SAFE
        self.ejected = {server for server in self.ejected if server.ejected_until_ns > self.now_ns}
        ejection_enabled = len(self.ejected) <= MAX_EJECTED_SHARE * len(self.servers)
        for server in self.server_order:
            ejected = ejection_enabled and (
                server.ejected_until_ns > self.now_ns or (server.on_probation and server.in_flight)
            )
            full = server.full_until_ns.get((request.plan, request.traffic_class), 0) > self.now_ns
            if server.entry.health is not Health.READY or server in tried or ejected or full:
                continue
            # The address may be unused or belong to another server by now, so it gets one attempt at a time,
            # and unsafe requests only if it is trusted enough.
            trust = server.entry.trust
            if trust is not Trust.TOLD and (server.in_flight or (trust is Trust.SAFE and not is_safe)):
                continue
            # Slow start of a server that may have restarted: each answer allows one more attempt in flight,
            # so the server's own speed sets the pace.
            if server.entry.presumed_start_ns and len(server.in_flight) > server.answers:
                continue
            capacity_share = self.capacity_share(server)
            weight = server.entry.weight if server.entry.weight > 0 else 1.0
            cost = (
                (len(server.in_flight) + 1)
                * server.slowness
                / (weight * capacity_share)
                * self.random.uniform(0.99, 1.01)
            )
            if capacity_share < 1 and (
                self.now_ns < server.next_attempt_ns or (server.in_flight and not self.recent_answers)
            ):
                if not server.in_flight and cost < fallback_cost:
                    fallback, fallback_cost = server, cost
                continue
            if cost < best_cost:
                best, best_cost = server, cost
            if (candidates := candidates + 1) >= MAX_CANDIDATES:
                break
        # If all servers are cold or may be, one attempt at a time is sent to an idle one. Otherwise no server
        # would ever warm up.
        return best or fallback

    def send_first_attempt(self, pending: PendingRequest) -> None:
        """Send the first attempt, or grant a take, if this limiter's share of the ceiling allows it."""
        ceiling, is_take, pending.awaiting_counter = (
            pending.account.ceiling,
            pending.request.mode is RequestMode.TAKE,
            False,
        )
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_RATIO * (not is_take))
        server = None if is_take else self.pick_server([], pending.request)
        ceiling.resync(self.now_ns)
        if ceiling.stored_permits < pending.units or (server is None and not is_take):
            return self.refuse(pending, pending.traffic_class.target_ns)
        ceiling.reserve(pending.units)
        if server:
            return self.start_attempt(pending, server)
        remaining = max(0.0, pending.account.refill(self.now_ns)) if pending.plan.rate > 0 else 1e15
        del self.pending[pending.request.request_id]
        self.actions.append(api.QuotaAnswer(pending.request.request_id, True, remaining, 0))

    def start_attempt(self, pending: PendingRequest, server: Server, write_by_ns: int = 0) -> None:
        """Send an attempt to a server, if it can be written by a time, and record it as in flight."""
        request_id, class_index, number = (
            pending.request.request_id,
            pending.request.traffic_class,
            len(pending.attempts),
        )
        capacity_share = self.capacity_share(server)
        if capacity_share < 1 and self.recent_answers:
            # A cold server would be overloaded by the rate of a warm one, so it gets only its share of that
            # rate.
            rate = (
                self.recent_answers
                * SECOND_NS
                / self.settings.warm_up_ns
                / min(MAX_CANDIDATES, len(self.servers))
            )
            interval_ns = SECOND_NS / max(
                rate * capacity_share * self.settings.overload_multiple * COLD_PACE_SHARE, 0.01
            )
            server.next_attempt_ns = max(server.next_attempt_ns, self.now_ns) + round(interval_ns)
        attempt = Attempt(
            server, pending.account, class_index, pending.request.plan, pending.units, self.now_ns
        )
        self.concurrency.add(self.now_ns, 1)
        self.in_flight[(request_id, number)] = server.in_flight[(request_id, number)] = attempt
        pending.attempts.append(attempt)
        self.recent_attempts[class_index].append(attempt)
        pending.account.open_attempts += 1
        # There may be no server at an unproven address, so the attempt is limited to leave time for another.
        unproven = (
            server.entry.trust is not Trust.TOLD and pending.traffic_class.idempotency is Idempotency.SAFE
        )
        deadline_ns = (
            self.now_ns + round(UNPROVEN_TIMEOUT_SHARE * pending.traffic_class.target_ns) if unproven else 0
        )
        self.actions.append(api.Send(request_id, server.entry.server, deadline_ns, write_by_ns))

    def retry(self, pending: PendingRequest) -> bool:
        """Start another attempt if class, retry budget and latency target allow it; return whether it
        started.

        Under load there are no retries, since each would displace another request."""
        traffic_class, write_by_ns = pending.traffic_class, self.repeat_by_ns(pending)
        may_run_twice = write_by_ns is not None and self.now_ns >= write_by_ns
        late = self.now_ns >= pending.target_at_ns and not traffic_class.late_value
        exhausted = len(pending.attempts) >= self.settings.max_attempts or self.retry_tokens < 1
        server = self.pick_server([a.server for a in pending.attempts], pending.request)
        if (
            late
            or exhausted
            or may_run_twice
            or server is None
            or self.concurrency.mean(self.now_ns) >= LOWEST_VALUE_LIMIT_SHARE * self.concurrency_limit
        ):
            return False
        self.retry_tokens -= 1
        self.start_attempt(pending, server, write_by_ns or 0)
        return True

    def repeat_by_ns(self, pending: PendingRequest) -> int | None:
        """The time from which another attempt might execute the request again; None if that does no harm.

        Servers forget a keyed request a while after the first attempt that may have been executed."""
        traffic_class, executed = pending.traffic_class, [a for a in pending.attempts if a.may_have_run]
        if traffic_class.idempotency is Idempotency.SAFE or not executed:
            return None
        is_deduplicated = (
            traffic_class.idempotency is Idempotency.KEYED and traffic_class.dedup_scope is DedupScope.ALL
        )
        dedup_window_ns = traffic_class.dedup_window_ns if is_deduplicated else 0
        return min(a.sent_ns for a in executed) + dedup_window_ns

    def finish(self, event: api.HungUp | api.StreamBegun | api.AttemptEnded) -> None:
        """Remove a request that needs no answer any more, and cancel its other attempts."""
        pending = self.pending.pop(event.request_id, None)
        if pending:
            self.refund(pending)
        ended_attempt = None if isinstance(event, api.HungUp) else event.attempt
        for number, attempt in enumerate(pending.attempts if pending else ()):
            if attempt.in_flight and number != ended_attempt and self.settings.may_cancel:
                self.actions.append(api.Cancel(event.request_id, number))

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        if (attempt := self.in_flight.pop((event.request_id, event.attempt), None)) is None:
            return
        self.concurrency.add(self.now_ns, -1)
        attempt.in_flight, attempt.may_have_run = False, event.outcome not in NEVER_EXECUTED
        attempt.server.in_flight.pop((event.request_id, event.attempt), None)
        in_time = event.elapsed_ns <= LATE_TARGET_SHARE * self.settings.classes[attempt.class_index].target_ns
        # FULL is not counted: a server may reject one plan or class while it has capacity for others.
        if event.outcome is Outcome.OK and in_time:
            self.adjust_limit(False, attempt.sent_ns)
        self.record_outcome(attempt, event)
        attempt.account.open_attempts -= 1
        if event.outcome is Outcome.OK and event.settled_units:
            # Charge the difference to the bucket and the counter.
            difference = event.settled_units - attempt.units
            attempt.account.bucket.resync(self.now_ns)
            attempt.account.bucket.reserve(difference)
            attempt.account.charge(self.now_ns, difference)
        pending = self.pending.get(event.request_id)
        if event.concluded or event.outcome is Outcome.OK:
            self.finish(event)
        elif (
            pending is not None and not any(a.in_flight for a in pending.attempts) and not self.retry(pending)
        ):
            self.refuse(pending, 0)

    def record_outcome(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Update the statistics of a server. Failures do not count as fast answers; slowness is bounded."""
        server, mean_ns = attempt.server, self.unit_latency_ns[attempt.class_index]
        if event.outcome is Outcome.OK:
            # Less than a unit takes no less time: a tiny amount would make its class look slow.
            unit_ns = event.elapsed_ns / max(1.0, attempt.units)
            self.unit_latency_ns[attempt.class_index] = (
                mean_ns + EWMA_WEIGHT * (unit_ns - mean_ns) if mean_ns else unit_ns
            )
            ratio = min(unit_ns / max(1.0, self.unit_latency_ns[attempt.class_index]), MAX_LATENCY_RATIO)
            server.slowness += EWMA_WEIGHT * (ratio - server.slowness)
            elapsed = (self.now_ns - self.recent_answers_ns) / max(1, self.settings.warm_up_ns)
            self.recent_answers, self.recent_answers_ns = (
                self.recent_answers * math.exp(-elapsed) + 1,
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
                if self.servers.get(server.entry.server) is server:
                    self.ejected.add(server)
        elif event.outcome is Outcome.FULL:
            target_ns = self.settings.classes[attempt.class_index].target_ns
            server.full_until_ns[attempt.plan_index, attempt.class_index] = self.now_ns + round(
                FULL_BACKOFF_TARGETS * target_ns
            )
