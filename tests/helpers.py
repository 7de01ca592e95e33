"""Settings for tests and a harness that drives one limiter through its public interface."""

from __future__ import annotations

from dataclasses import replace

from aniseshed import interface as api
from aniseshed.partition import MAX_CUSTOMER
from aniseshed.policy import Limiter

SECOND = 1_000_000_000
MS = 1_000_000
MAX_GROUPS = 64  # Upper bound on the groups of limiters in a test, to recognize heartbeat keys.
TINY = """
title = "a short one"
length_s = 3.0
[fleet]
servers = 3
[limiters]
count = 2
[[desk]]
name = "one"
plan = "premium"
customers = 2
"""  # a rehearsal plan with two limiters and two customers for three seconds

SAFE = api.TrafficClass(
    target_ns=SECOND,
    deadline_ns=3 * SECOND,
    value=1.0,
    late_value=0.0,
    idempotency=api.Idempotency.SAFE,
    dedup_scope=api.DedupScope.ALL,
    dedup_window_ns=0,
    stream=False,
    target_stretch=0.0,
)
UNSAFE = replace(SAFE, idempotency=api.Idempotency.UNSAFE)
KEYED = replace(SAFE, idempotency=api.Idempotency.KEYED, dedup_window_ns=SECOND // 2)
PLAN = api.Plan(
    rate=10.0,
    burst=20.0,
    max_in_flight=0,
    ceiling_rate=0.0,
    ceiling_burst=0.0,
    price=1.0,
    over_quota_value=0.0,
    over_quota_cost=1.0,
)
SETTINGS = api.Settings(
    index=0,
    limiters=2,
    zone=0,
    classes=(SAFE, UNSAFE, KEYED),
    plans=(PLAN,),
    largest_units=4,
    settles_usage=False,
    has_counter=True,
    counter_timeout_ns=50 * MS,
    max_attempts=3,
    max_pending=1000,
    may_probe=True,
    may_cancel=True,
    may_duplicate=True,
    may_send_retry_after=True,
    may_message_peers=False,
    max_retry_after_ns=SECOND,
    connect_timeout_ns=250 * MS,
    subscribe=False,
    resubscribe_within_ns=10 * SECOND,
    drain_grace_ns=SECOND,
    cold_capacity_share=0.25,
    warm_up_ns=15 * SECOND,
    overload_multiple=3.0,
    overload_ns=SECOND,
    report_fields=(),
)
START = 1000 * SECOND


def entry(number: int, health: api.Health = api.Health.READY, started_ns: int = 0) -> api.ServerEntry:
    return api.ServerEntry(bytes([10, 0, 0, number, 35, 40]), 0, 0, 0, health, 1.0, started_ns)


class Bench:
    """Passes events to one limiter and records its actions; time advances only on request."""

    def __init__(self, settings: api.Settings = SETTINGS, servers: int = 20, seed: int = 1) -> None:
        self.limiter = Limiter(settings, seed)
        self.now_ns = START
        self.sent: dict[tuple[int, int], api.Send] = {}
        self.attempts: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.final_answers: dict[int, api.Action] = {}
        self.counter_calls: list[api.Count] = []
        self.pending_calls: list[api.Count] = []
        self.heartbeats: list[api.Count] = []
        self.peer_messages: list[api.Tell] = []
        self.next_request_id = 1
        self.handle(api.ServerList(api.ListKind.CACHED, tuple(entry(n) for n in range(1, servers + 1))))

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.limiter.handle(self.now_ns, event)
        for action in actions:
            if isinstance(action, api.Send):
                number = self.attempts.get(action.request_id, 0)
                self.attempts[action.request_id] = number + 1
                self.sent[(action.request_id, number)] = action
            elif isinstance(action, api.SetTimer):
                self.timers.append((self.now_ns + action.delay_ns, action.token))
            elif isinstance(action, api.Refuse | api.Fail | api.QuotaAnswer):
                assert action.request_id not in self.final_answers, "two final answers to one request"
                self.final_answers[action.request_id] = action
            elif isinstance(action, api.Count) and action.key & MAX_CUSTOMER > MAX_CUSTOMER - MAX_GROUPS:
                self.heartbeats.append(action)
            elif isinstance(action, api.Count):
                self.counter_calls.append(action)
                self.pending_calls.append(action)
            elif isinstance(action, api.Tell):
                self.peer_messages.append(action)
        return actions

    def request(
        self, customer: int = 1, class_index: int = 0, units: float = 1.0, **overrides: object
    ) -> int:
        fields: dict[str, object] = dict(
            request_id=self.next_request_id,
            traffic_class=class_index,
            plan=0,
            customer=customer,
            timeout_ns=3 * SECOND,
            units=units,
            set_size=2.0,
            set_start=0.0,
            is_retry=False,
        )
        fields.update(overrides)
        self.next_request_id += 1
        self.handle(api.Request(**fields))  # type: ignore[arg-type]
        return self.next_request_id - 1

    def end_attempt(
        self,
        request_id: int,
        outcome: api.Outcome = api.Outcome.OK,
        attempt: int = 0,
        elapsed_ns: int = 20 * MS,
        settled_units: int = 0,
    ) -> list[api.Action]:
        server = self.sent[(request_id, attempt)].server
        concluded = outcome is api.Outcome.OK
        return self.handle(
            api.AttemptEnded(
                request_id, attempt, server, outcome, elapsed_ns, concluded, 0, settled_units, ()
            )
        )

    def answer_call(self, total: float, outcome: api.Outcome = api.Outcome.OK) -> list[api.Action]:
        """Answer the oldest pending counter call."""
        call = self.pending_calls.pop(0)
        return self.handle(api.Counted(call.key, outcome, total, 2 * MS, call.call_id))

    def answer_all_calls(self) -> None:
        """Answer all counter calls for customer 1 as if no other limiter spent."""
        while self.pending_calls:
            self.answer_call(sum(c.amount for c in self.counter_calls))

    def advance(self, duration_ns: int) -> None:
        """Advance the clock and fire the timers that expire, in order."""
        end_ns = self.now_ns + duration_ns
        while due := sorted(t for t in self.timers if t[0] <= end_ns):
            due_ns, token = due[0]
            self.timers.remove((due_ns, token))
            self.now_ns = max(self.now_ns, due_ns)
            self.handle(api.TimerFired(token))
        self.now_ns = end_ns

    def was_sent(self, request_id: int) -> bool:
        return request_id in self.attempts
