"""A server in virtual time: cores, a waiting room, a cold start, and the ways in which an address can be
wrong."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from aniseshed.interface import Outcome
from hookport.emulator.clock import SECOND, Clock

FALL_SLACK = 4.0  # mean works that chance alone may send beyond a cold server's budget


class Behaviour(Enum):
    """What lives at an address."""

    SERVES = "serves"
    DRAINS = "drains"  # turns everything away
    REFUSES = "refuses"  # nothing listens
    SILENT = "silent"  # a connection never comes up
    NOISE = "noise"  # something else, that answers what cannot be read


@dataclass(frozen=True, slots=True)
class Model:
    """How servers work: ``work_s`` is the mean of one request on one core of a warm server, in seconds."""

    cores: int = 2
    queue: int = 24
    work_s: float = 0.05
    cold_from: float = 0.25
    cold_s: float = 8.0
    fall_multiple: float = 3.0
    fall_s: float = 1.5
    connect_s: float = 0.25  # time-out of a connection that never comes up
    link_s: float = 0.0005  # one way


@dataclass(slots=True)
class Job:
    limiter: int
    safe: bool
    work_s: float
    ended: Callable[[Outcome], None]
    over: bool = False


class Server:
    """One address.  ``born_ns`` is the start of what lives there now, 0 for long ago."""

    def __init__(self, clock: Clock, model: Model, behaviour: Behaviour, born_ns: int = 0) -> None:
        self.clock, self.model, self.behaviour, self.born_ns = clock, model, behaviour, born_ns
        self.waiting: deque[Job] = deque()
        self.running = 0
        self.recent: deque[tuple[int, float]] = deque()
        self.fell = False
        self.arrived: Counter[tuple[int, bool]] = Counter()  # by limiter and whether safe to repeat
        self.answered: Counter[int] = Counter()  # good answers by limiter
        self.unproved = 0  # requests not safe to repeat, of a limiter that had no good answer from here yet

    def warm(self) -> float:
        """The present part of its capacity."""
        age = (self.clock.now_ns - self.born_ns) / SECOND / self.model.cold_s
        return 1.0 if not self.born_ns else min(1.0, self.model.cold_from + (1 - self.model.cold_from) * age)

    def arrive(self, limiter: int, safe: bool, work_s: float, ended: Callable[[Outcome], None]) -> Job:
        """An attempt sets out; ``ended`` is told once how it ended, when that is known to the limiter."""
        job, model = Job(limiter, safe, work_s, ended), self.model
        wait_s = model.connect_s if self.behaviour is Behaviour.SILENT else model.link_s
        self.clock.after(wait_s * SECOND, self.begin, job)
        return job

    def begin(self, job: Job) -> None:
        if self.behaviour in (Behaviour.REFUSES, Behaviour.SILENT):
            return self.end(job, Outcome.CONNECT_FAILED, 0.0)
        self.arrived[job.limiter, job.safe] += 1
        self.unproved += not job.safe and not self.answered[job.limiter]
        if self.behaviour is Behaviour.NOISE:
            return self.end(job, Outcome.RESET)
        if self.pressed(job.work_s):
            self.fell, self.behaviour = True, Behaviour.REFUSES
            return self.end(job, Outcome.RESET)
        if self.behaviour is Behaviour.DRAINS or len(self.waiting) >= self.model.queue:
            return self.end(job, Outcome.FULL)
        self.waiting.append(job)
        self.work()

    def pressed(self, work_s: float) -> bool:
        """Whether a cold server has got more than its budget within one window: it falls over for good."""
        model, now_ns = self.model, self.clock.now_ns
        if self.warm() >= 1:
            return False
        self.recent.append((now_ns, work_s))
        while self.recent[0][0] < now_ns - model.fall_s * SECOND:
            self.recent.popleft()
        budget_s = model.fall_multiple * model.cores * self.warm() * model.fall_s
        return sum(work for _, work in self.recent) > budget_s + FALL_SLACK * model.work_s

    def work(self) -> None:
        while self.waiting and self.running < self.model.cores:
            job = self.waiting.popleft()
            if job.over:
                continue  # given up while it waited
            self.running += 1
            self.clock.after(job.work_s / self.warm() * SECOND, self.done, job)

    def done(self, job: Job) -> None:
        self.running -= 1
        if self.behaviour in (Behaviour.SERVES, Behaviour.DRAINS):
            if not job.over:
                self.answered[job.limiter] += 1
            self.end(job, Outcome.OK)
            self.work()
        else:
            self.end(job, Outcome.RESET)

    def end(self, job: Job, outcome: Outcome, back_s: float | None = None) -> None:
        if not job.over:
            job.over = True
            wait_s = self.model.link_s if back_s is None else back_s
            self.clock.after(wait_s * SECOND, job.ended, outcome)
