"""A limiter in virtual time: the policy, with server models in place of the daemon's sockets."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from aniseshed import interface as api
from aniseshed.policy import Limiter
from hookport.emulator.clock import MS_NS, SECOND_NS, Clock
from hookport.emulator.servers import Job, Server
from hookport.membership.fleet import Address, FleetView, Update

TICK_INTERVAL_NS = 250 * MS_NS


class Answer(Enum):
    """How a request ended for its client."""

    VALUE = "value"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class OpenRequest:
    """A request without an answer yet, with its number of attempts so far."""

    work_s: float
    safe: bool
    deadline_ns: int
    on_answer: Callable[[Answer], None]
    attempts: int = 0


class SimulatedLimiter:
    """One limiter. ``fleet`` tracks how far each server is trusted; None uses every server list unchecked."""

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
        self.handling = False
        self.addresses_by_server: dict[bytes, Address] = {}
        self.open_requests: dict[int, OpenRequest] = {}
        self.jobs: dict[tuple[int, int], tuple[Job, bytes, int]] = {}
        self.next_id = 0
        self.attempts = self.wasted_attempts = 0
        self.attempts_by_server: dict[bytes, int] = {}
        if fleet:
            clock.schedule(TICK_INTERVAL_NS, self.tick)

    # Server lists

    def apply_server_list(
        self, server_list: api.ServerList, addresses_by_server: Mapping[bytes, Address]
    ) -> None:
        self.addresses_by_server.update(addresses_by_server)
        self.handle(server_list)

    def apply_update(self, update: Update | None) -> None:
        if update and update.server_list:
            self.apply_server_list(update.server_list, update.addresses)

    def tick(self) -> None:
        if self.fleet:
            self.apply_update(self.fleet.tick(self.clock.now_ns))
            self.clock.schedule(TICK_INTERVAL_NS, self.tick)

    # Requests

    def submit(self, request: api.Request, work_s: float, on_answer: Callable[[Answer], None]) -> None:
        """Handle a client's request, which gets exactly one answer; its request id is set here."""
        self.next_id += 1
        traffic_class = self.settings.classes[request.traffic_class]
        safe = traffic_class.idempotency is api.Idempotency.SAFE
        deadline_ns = self.clock.now_ns + request.timeout_ns
        self.open_requests[self.next_id] = OpenRequest(work_s, safe, deadline_ns, on_answer)
        self.clock.schedule(request.timeout_ns, self.on_deadline, self.next_id)
        self.handle(replace(request, request_id=self.next_id))

    def handle(self, event: api.Event) -> None:
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.limiter.handle(self.clock.now_ns, self.events.popleft()):
                self.execute(action)
        self.handling = False

    def execute(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.send(action)
        elif isinstance(action, api.Refuse):
            self.finish_request(action.request_id, Answer.REFUSED)
        elif isinstance(action, api.Fail):
            self.finish_request(action.request_id, Answer.FAILED)
        elif isinstance(action, api.SetTimer):
            self.clock.schedule(action.delay_ns, self.handle, api.TimerFired(action.token))
        elif isinstance(action, api.Cancel):
            self.end_attempt((action.request_id, action.attempt), api.Outcome.CANCELLED)
        elif isinstance(action, api.Count):
            raise ValueError("the simulated limiter has no counter: settings.has_counter must be false")

    def finish_request(self, request_id: int, answer: Answer) -> None:
        if open_request := self.open_requests.pop(request_id, None):
            open_request.on_answer(answer)

    def send(self, action: api.Send) -> None:
        open_request = self.open_requests[action.request_id]
        key = (action.request_id, open_request.attempts)
        open_request.attempts += 1
        self.attempts += 1
        self.attempts_by_server[action.server] = self.attempts_by_server.get(action.server, 0) + 1
        server = self.addresses[self.addresses_by_server[action.server]]
        job = server.arrive(
            self.settings.index,
            open_request.safe,
            open_request.work_s,
            lambda outcome: self.on_attempt_ended(key, outcome),
        )
        self.jobs[key] = job, action.server, self.clock.now_ns
        if action.deadline_ns:
            self.clock.schedule(
                action.deadline_ns - self.clock.now_ns, self.end_attempt, key, api.Outcome.TIMEOUT
            )

    def on_attempt_ended(self, key: tuple[int, int], outcome: api.Outcome) -> None:
        if key not in self.jobs:
            return
        job, server, sent_ns = self.jobs.pop(key)
        if outcome is api.Outcome.OK:
            self.finish_request(key[0], Answer.VALUE)
        elif outcome is not api.Outcome.CANCELLED:
            self.wasted_attempts += 1
        elapsed_ns = self.clock.now_ns - sent_ns
        self.handle(
            api.AttemptEnded(*key, server, outcome, elapsed_ns, key[0] not in self.open_requests, 0, 0, ())
        )
        if self.fleet:
            self.apply_update(self.fleet.record_outcome(self.clock.now_ns, server, outcome))

    def end_attempt(self, key: tuple[int, int], outcome: api.Outcome) -> None:
        if key in self.jobs:
            self.jobs[key][0].finished = True
            self.on_attempt_ended(key, outcome)

    def on_deadline(self, request_id: int) -> None:
        """End the attempts as timed out, and the request as failed unless the policy answers it."""
        open_request = self.open_requests.get(request_id)
        for number in range(open_request.attempts if open_request else 0):
            self.end_attempt((request_id, number), api.Outcome.TIMEOUT)
        if request_id in self.open_requests:
            self.finish_request(request_id, Answer.FAILED)
            self.handle(api.HungUp(request_id))


def make_settings(index: int, limiters: int, warm_up_s: float, cold_capacity_share: float) -> api.Settings:
    """Return settings with two request classes, search and claim, and a quota too large to limit anything."""
    search = api.TrafficClass(
        target_ns=750 * MS_NS, deadline_ns=3 * SECOND_NS, value=2.0, late_value=0.0,
        idempotency=api.Idempotency.SAFE, dedup_scope=api.DedupScope.ALL, dedup_window_ns=0, stream=False,
        target_stretch=0.0,
    )  # fmt: skip
    claim = replace(
        search,
        target_ns=1500 * MS_NS,
        deadline_ns=4 * SECOND_NS,
        value=5.0,
        idempotency=api.Idempotency.UNSAFE,
    )
    plan = api.Plan(1e6, 1e6, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
    return api.Settings(
        index=index, limiters=limiters, zone=0, classes=(search, claim), plans=(plan,), largest_units=4,
        settles_usage=False, has_counter=False, counter_timeout_ns=30 * MS_NS, max_attempts=4,
        max_pending=20_000,
        may_probe=False, may_cancel=True, may_duplicate=False, may_send_retry_after=True,
        may_message_peers=False, max_retry_after_ns=SECOND_NS, connect_timeout_ns=250 * MS_NS,
        subscribe=False, resubscribe_within_ns=10 * SECOND_NS, drain_grace_ns=250 * MS_NS,
        cold_capacity_share=cold_capacity_share, warm_up_ns=round(warm_up_s * SECOND_NS),
        overload_multiple=3.0, overload_ns=1500 * MS_NS, report_fields=(),
    )  # fmt: skip
