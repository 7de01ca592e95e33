"""A limiter in virtual time: the decision module in its seat, with models where the daemon has sockets."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from aniseshed import interface as api
from aniseshed.policy import Limiter
from hookport.emulator.clock import MS, SECOND, Clock
from hookport.emulator.servers import Job, Server
from hookport.membership.fleet import Address, FleetView, Update

TICK_NS = 250 * MS


class Answer(Enum):
    """The one end of a request."""

    VALUE = "value"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Asked:
    work_s: float
    safe: bool
    ends_ns: int
    answered: Callable[[Answer], None]
    attempts: int = 0


class SimulatedLimiter:
    """One limiter.  ``fleet`` is what it believes of the servers; None takes every list at its word."""

    def __init__(
        self,
        clock: Clock,
        settings: api.Settings,
        seed: int,
        addresses: Mapping[Address, Server],
        fleet: FleetView | None,
    ) -> None:
        self.clock, self.settings, self.addresses, self.fleet = clock, settings, addresses, fleet
        self.limiter = Limiter(settings, seed)
        self.events: deque[api.Event] = deque()
        self.busy = False
        self.places: dict[bytes, Address] = {}
        self.open: dict[int, Asked] = {}
        self.jobs: dict[tuple[int, int], tuple[Job, bytes, int]] = {}
        self.next_id = 0
        self.attempts = self.wasted = 0
        self.sent_to: dict[bytes, int] = {}
        if fleet:
            clock.after(TICK_NS, self.tick)

    # Lists

    def listed(self, told: api.ServerList, places: Mapping[bytes, Address]) -> None:
        self.places.update(places)
        self.feed(told)

    def out(self, update: Update | None) -> None:
        if update and update.server_list:
            self.listed(update.server_list, update.addresses)

    def tick(self) -> None:
        if self.fleet:
            self.out(self.fleet.tick(self.clock.now_ns))
            self.clock.after(TICK_NS, self.tick)

    # Requests

    def ask(self, request: api.Request, work_s: float, answered: Callable[[Answer], None]) -> None:
        """A client's try, which gets one answer; its id is set here."""
        self.next_id += 1
        kind = self.settings.classes[request.traffic_class]
        safe = kind.idempotency is api.Idempotency.SAFE
        ends_ns = self.clock.now_ns + request.timeout_ns
        self.open[self.next_id] = Asked(work_s, safe, ends_ns, answered)
        self.clock.after(request.timeout_ns, self.overdue, self.next_id)
        self.feed(replace(request, request_id=self.next_id))

    def feed(self, event: api.Event) -> None:
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        while self.events:
            for action in self.limiter.handle(self.clock.now_ns, self.events.popleft()):
                self.do(action)
        self.busy = False

    def do(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.send(action)
        elif isinstance(action, api.Refuse):
            self.answer(action.request_id, Answer.REFUSED)
        elif isinstance(action, api.Fail):
            self.answer(action.request_id, Answer.FAILED)
        elif isinstance(action, api.SetTimer):
            self.clock.after(action.delay_ns, self.feed, api.TimerFired(action.token))
        elif isinstance(action, api.Cancel):
            self.give_up((action.request_id, action.attempt), api.Outcome.CANCELLED)
        elif isinstance(action, api.Count):
            raise ValueError("this model has no counter: settings.has_counter must be false")

    def answer(self, request_id: int, how: Answer) -> None:
        if asked := self.open.pop(request_id, None):
            asked.answered(how)

    def send(self, action: api.Send) -> None:
        asked = self.open[action.request_id]
        key = (action.request_id, asked.attempts)
        asked.attempts += 1
        self.attempts += 1
        self.sent_to[action.server] = self.sent_to.get(action.server, 0) + 1
        server = self.addresses[self.places[action.server]]
        job = server.arrive(self.settings.index, asked.safe, asked.work_s, lambda o: self.ended(key, o))
        self.jobs[key] = job, action.server, self.clock.now_ns
        if action.deadline_ns:
            self.clock.after(action.deadline_ns - self.clock.now_ns, self.give_up, key, api.Outcome.TIMEOUT)

    def ended(self, key: tuple[int, int], outcome: api.Outcome) -> None:
        if key not in self.jobs:
            return
        job, server, sent_ns = self.jobs.pop(key)
        if outcome is api.Outcome.OK:
            self.answer(key[0], Answer.VALUE)
        elif outcome is not api.Outcome.CANCELLED:
            self.wasted += 1
        elapsed_ns = self.clock.now_ns - sent_ns
        self.feed(api.AttemptEnded(*key, server, outcome, elapsed_ns, key[0] not in self.open, 0, 0, ()))
        if self.fleet:
            self.out(self.fleet.record_outcome(self.clock.now_ns, server, outcome))

    def give_up(self, key: tuple[int, int], outcome: api.Outcome) -> None:
        if key in self.jobs:
            self.jobs[key][0].over = True
            self.ended(key, outcome)

    def overdue(self, request_id: int) -> None:
        """No time is left: attempts end as timed out, and the module has the last word."""
        asked = self.open.get(request_id)
        for number in range(asked.attempts if asked else 0):
            self.give_up((request_id, number), api.Outcome.TIMEOUT)
        if request_id in self.open:
            self.answer(request_id, Answer.FAILED)
            self.feed(api.HungUp(request_id))


def settings(index: int, limiters: int, cold_s: float, cold_from: float) -> api.Settings:
    """A deployment of two classes, searches and claims, in which quotas do not bind."""
    search = api.TrafficClass(
        target_ns=750 * MS, deadline_ns=3 * SECOND, value=2.0, late_value=0.0,
        idempotency=api.Idempotency.SAFE, dedup_scope=api.DedupScope.ALL, dedup_window_ns=0, stream=False,
        target_stretch=0.0,
    )  # fmt: skip
    claim = replace(
        search, target_ns=1500 * MS, deadline_ns=4 * SECOND, value=5.0, idempotency=api.Idempotency.UNSAFE
    )
    plan = api.Plan(1e6, 1e6, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
    return api.Settings(
        index=index, limiters=limiters, zone=0, classes=(search, claim), plans=(plan,), largest_units=4,
        settles_usage=False, has_counter=False, counter_timeout_ns=30 * MS, max_attempts=4,
        max_pending=20_000,
        may_probe=False, may_cancel=True, may_duplicate=False, may_send_retry_after=True,
        may_message_peers=False, max_retry_after_ns=SECOND, connect_timeout_ns=250 * MS, subscribe=False,
        resubscribe_within_ns=10 * SECOND, drain_grace_ns=250 * MS, cold_capacity_share=cold_from,
        warm_up_ns=round(cold_s * SECOND), overload_multiple=3.0, overload_ns=1500 * MS, report_fields=(),
    )  # fmt: skip
