"""A model of a desk server in virtual time: cores, a queue, a cold start, and the ways in which an address of
an old list can be wrong."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from aniseshed.interface import Outcome
from hookport.emulator.clock import SECOND_NS, Clock

# A cold server's budget may be exceeded by this many requests of mean work: random arrivals alone do that.
OVERLOAD_SLACK_JOBS = 4.0


class Behaviour(Enum):
    """What answers at an address."""

    SERVES = "serves"
    DRAINS = "drains"  # rejects all requests
    REFUSES = "refuses"  # refuses connections, as without a listener
    SILENT = "silent"  # connecting times out
    NOISE = "noise"  # another service, whose answers cannot be parsed


@dataclass(frozen=True, slots=True)
class ServerModel:
    """Capacity of the servers; ``work_s`` is the mean work of a request in seconds on one core of a warm
    server.

    A cold server starts with ``cold_capacity_share`` of its capacity and is warm after ``warm_up_s``. It
    fails if the work that arrives within ``overload_window_s`` exceeds ``overload_multiple`` times its
    capacity.
    """

    cores: int = 2
    queue_capacity: int = 24
    work_s: float = 0.05
    cold_capacity_share: float = 0.25
    warm_up_s: float = 8.0
    overload_multiple: float = 3.0
    overload_window_s: float = 1.5
    connect_timeout_s: float = 0.25  # after which connecting to a silent address fails
    link_delay_s: float = 0.0005  # one-way delay


@dataclass(slots=True)
class Job:
    """One attempt at a server; ``on_ended`` is called once with its outcome."""

    limiter: int
    safe: bool
    work_s: float
    on_ended: Callable[[Outcome], None]
    finished: bool = False


class Server:
    """What listens at one address. ``started_ns`` is when it started, 0 if it has long been warm."""

    def __init__(self, clock: Clock, model: ServerModel, behaviour: Behaviour, started_ns: int = 0) -> None:
        self.clock, self.model, self.behaviour, self.started_ns = clock, model, behaviour, started_ns
        self.queue: deque[Job] = deque()
        self.busy_cores = 0
        self.recent_work: deque[tuple[int, float]] = deque()
        self.has_failed = False
        self.arrivals: Counter[tuple[int, bool]] = Counter()  # by limiter, and whether safe to repeat
        self.answers: Counter[int] = Counter()  # successful answers by limiter
        self.unproven_claims = 0  # from a limiter that had no successful answer from here before

    def warm_share(self) -> float:
        """Return the share of its full capacity that the server has now."""
        warm_up_progress = (self.clock.now_ns - self.started_ns) / SECOND_NS / self.model.warm_up_s
        return (
            1.0
            if not self.started_ns
            else min(
                1.0, self.model.cold_capacity_share + (1 - self.model.cold_capacity_share) * warm_up_progress
            )
        )

    def arrive(self, limiter: int, safe: bool, work_s: float, on_ended: Callable[[Outcome], None]) -> Job:
        """Send an attempt; ``on_ended`` is called with its outcome when the limiter would see it."""
        job, model = Job(limiter, safe, work_s, on_ended), self.model
        delay_s = model.connect_timeout_s if self.behaviour is Behaviour.SILENT else model.link_delay_s
        self.clock.schedule(delay_s * SECOND_NS, self.on_arrival, job)
        return job

    def on_arrival(self, job: Job) -> None:
        if self.behaviour in (Behaviour.REFUSES, Behaviour.SILENT):
            return self.finish(job, Outcome.CONNECT_FAILED, 0.0)
        self.arrivals[job.limiter, job.safe] += 1
        self.unproven_claims += not job.safe and not self.answers[job.limiter]
        if self.behaviour is Behaviour.NOISE:
            return self.finish(job, Outcome.RESET)
        if self.is_overloaded(job.work_s):
            self.has_failed, self.behaviour = True, Behaviour.REFUSES
            return self.finish(job, Outcome.RESET)
        if self.behaviour is Behaviour.DRAINS or len(self.queue) >= self.model.queue_capacity:
            return self.finish(job, Outcome.FULL)
        self.queue.append(job)
        self.start_jobs()

    def is_overloaded(self, work_s: float) -> bool:
        """Return whether a cold server got more work in one window than its budget, and so fails for good."""
        model, now_ns = self.model, self.clock.now_ns
        if self.warm_share() >= 1:
            return False
        self.recent_work.append((now_ns, work_s))
        while self.recent_work[0][0] < now_ns - model.overload_window_s * SECOND_NS:
            self.recent_work.popleft()
        budget_s = model.overload_multiple * model.cores * self.warm_share() * model.overload_window_s
        return sum(work for _, work in self.recent_work) > budget_s + OVERLOAD_SLACK_JOBS * model.work_s

    def start_jobs(self) -> None:
        while self.queue and self.busy_cores < self.model.cores:
            job = self.queue.popleft()
            if job.finished:
                continue  # the limiter gave up while it waited in the queue
            self.busy_cores += 1
            self.clock.schedule(job.work_s / self.warm_share() * SECOND_NS, self.on_work_done, job)

    def on_work_done(self, job: Job) -> None:
        self.busy_cores -= 1
        if self.behaviour in (Behaviour.SERVES, Behaviour.DRAINS):
            if not job.finished:
                self.answers[job.limiter] += 1
            self.finish(job, Outcome.OK)
            self.start_jobs()
        else:
            self.finish(job, Outcome.RESET)

    def finish(self, job: Job, outcome: Outcome, return_delay_s: float | None = None) -> None:
        if not job.finished:
            job.finished = True
            delay_s = self.model.link_delay_s if return_delay_s is None else return_delay_s
            self.clock.schedule(delay_s * SECOND_NS, job.on_ended, outcome)
