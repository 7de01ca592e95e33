"""Settings and a small world for the tests: everything goes through the public interface."""

from __future__ import annotations

from dataclasses import replace

from aniseshed import interface as api
from aniseshed.partition import TOP_CUSTOMER
from aniseshed.policy import Limiter

SECOND = 1_000_000_000
MS = 1_000_000
FIRST_GROUPS = 64  # of limiters in the roll: more than any test has
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
"""  # a plan of the rehearsal kit: two limiters, two customers, three seconds

SAFE = api.TrafficClass(
    aim_ns=SECOND,
    deadline_ns=3 * SECOND,
    worth=1.0,
    late_worth=0.0,
    repeat=api.Repeat.SAFE,
    group=api.Group.ALL,
    window_ns=0,
    stream=False,
    aim_stretch=0.0,
)
UNSAFE = replace(SAFE, repeat=api.Repeat.UNSAFE)
KEYED = replace(SAFE, repeat=api.Repeat.KEYED, window_ns=SECOND // 2)
PLAN = api.Plan(
    rate=10.0,
    burst=20.0,
    max_open=0,
    ceiling_rate=0.0,
    ceiling_burst=0.0,
    price=1.0,
    over_worth=0.0,
    over_cost=1.0,
)
SETTINGS = api.Settings(
    index=0,
    limiters=2,
    zone=0,
    classes=(SAFE, UNSAFE, KEYED),
    plans=(PLAN,),
    largest_units=4,
    settles=False,
    has_counter=True,
    counter_timeout_ns=50 * MS,
    max_attempts=3,
    max_held=1000,
    may_probe=True,
    may_cancel=True,
    may_duplicate=True,
    may_advise=True,
    may_tell=False,
    max_retry_after_ns=SECOND,
    connect_timeout_ns=250 * MS,
    subscribe=False,
    ask_within_ns=10 * SECOND,
    drain_grace_ns=SECOND,
    cold_from=0.25,
    cold_ns=15 * SECOND,
    fall_multiple=3.0,
    fall_ns=SECOND,
    report_fields=(),
)
START = 1000 * SECOND


def entry(number: int, health: api.Health = api.Health.READY, born_ns: int = 0) -> api.ServerEntry:
    return api.ServerEntry(bytes([10, 0, 0, number, 35, 40]), 0, 0, 0, health, 1.0, born_ns)


class Bench:
    """Feeds one limiter and remembers what it did; time moves only when told."""

    def __init__(self, settings: api.Settings = SETTINGS, servers: int = 20, seed: int = 1) -> None:
        self.limiter = Limiter(settings, seed)
        self.now = START
        self.sent: dict[tuple[int, int], api.Send] = {}
        self.attempts: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.finals: dict[int, api.Action] = {}
        self.counts: list[api.Count] = []
        self.unanswered: list[api.Count] = []
        self.beats: list[api.Count] = []
        self.told: list[api.Tell] = []
        self.next_id = 1
        self.feed(api.ServerList(api.ListKind.CACHED, tuple(entry(n) for n in range(1, servers + 1))))

    def feed(self, event: api.Event) -> list[api.Action]:
        actions = self.limiter.handle(self.now, event)
        for action in actions:
            if isinstance(action, api.Send):
                number = self.attempts.get(action.request_id, 0)
                self.attempts[action.request_id] = number + 1
                self.sent[(action.request_id, number)] = action
            elif isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay_ns, action.token))
            elif isinstance(action, api.Refuse | api.Fail | api.Verdict):
                assert action.request_id not in self.finals, "two final answers"
                self.finals[action.request_id] = action
            elif isinstance(action, api.Count) and action.name & TOP_CUSTOMER > TOP_CUSTOMER - FIRST_GROUPS:
                self.beats.append(action)  # of the roll
            elif isinstance(action, api.Count):
                self.counts.append(action)
                self.unanswered.append(action)
            elif isinstance(action, api.Tell):
                self.told.append(action)
        return actions

    def ask(self, customer: int = 1, kind: int = 0, units: float = 1.0, **more: object) -> int:
        fields: dict[str, object] = dict(
            request_id=self.next_id,
            traffic_class=kind,
            plan=0,
            customer=customer,
            patience_ns=3 * SECOND,
            units=units,
            set_size=2.0,
            set_start=0.0,
            repeated=False,
        )
        fields.update(more)
        self.next_id += 1
        self.feed(api.Request(**fields))  # type: ignore[arg-type]
        return self.next_id - 1

    def end(
        self,
        request_id: int,
        outcome: api.Outcome = api.Outcome.OK,
        attempt: int = 0,
        took_ns: int = 20 * MS,
        settled: int = 0,
    ) -> list[api.Action]:
        server = self.sent[(request_id, attempt)].server
        concluded = outcome is api.Outcome.OK
        return self.feed(
            api.AttemptEnded(request_id, attempt, server, outcome, took_ns, concluded, 0, settled, ())
        )

    def counted(self, total: float, outcome: api.Outcome = api.Outcome.OK) -> list[api.Action]:
        """Answer the oldest call that is still out."""
        call = self.unanswered.pop(0)
        return self.feed(api.Counted(call.name, outcome, total, 2 * MS, call.call))

    def answer_counts(self) -> None:
        """Answer all calls for customer 1 as if nobody else spent."""
        while self.unanswered:
            self.counted(sum(c.amount for c in self.counts))

    def advance(self, by_ns: int) -> None:
        """Move on, firing what falls due in order."""
        end = self.now + by_ns
        while due := sorted(t for t in self.timers if t[0] <= end):
            at, token = due[0]
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.feed(api.TimerFired(token))
        self.now = end

    def was_sent(self, request_id: int) -> bool:
        return request_id in self.attempts
