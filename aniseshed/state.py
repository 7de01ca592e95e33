"""What a limiter remembers; plain records, every decision about them is in policy.py."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from aniseshed import interface as api
from aniseshed.account import Account


@dataclass(slots=True)
class TimeAverage:
    """A number that goes up and down, and its mean over about span_ns."""

    window_ns: int
    current: int = 0
    average: float = 0.0
    updated_ns: int = 0

    def mean(self, now_ns: int) -> float:
        self.average += (self.current - self.average) * -math.expm1(
            (self.updated_ns - now_ns) / self.window_ns
        )
        self.updated_ns = now_ns
        return self.average

    def add(self, now_ns: int, by: int) -> None:
        self.mean(now_ns)
        self.current += by


@dataclass(slots=True, eq=False)
class Server:
    """What this limiter has seen of one server."""

    entry: api.ServerEntry
    started_ns: int
    in_flight: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    slowness: float = 1.0
    consecutive_failures: int = 0
    answers: int = 0  # since its present life is presumed to have begun
    ejected_until_ns: int = 0
    next_attempt_ns: int = 0
    full_until_ns: dict[tuple[int, int], int] = field(default_factory=dict)  # by plan and class
    on_probation: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, kept until its end is told, whether or not its request still lives."""

    server: Server
    account: Account
    class_index: int
    plan_index: int
    units: float
    sent_ns: int
    in_flight: bool = True
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed an answer."""

    request: api.Request
    traffic_class: api.TrafficClass
    plan: api.Plan
    units: float
    account: Account
    target_at_ns: int
    value_rank: float = 1.0  # of its worth among what is asked, 1 from the mean upwards
    awaiting_counter: bool = False
    charged_units: float = 0.0  # units taken for it from the quota; they go back if nothing is ever sent
    charged_to_slice: bool = False  # and from the slice
    attempts: list[Attempt] = field(default_factory=list)


def apply_server_list(servers: dict[bytes, Server], event: api.ServerList) -> None:
    """Keep what is known of the servers in step with what discovery says."""
    if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
        told = {entry.server for entry in event.entries}
        for key in [key for key in servers if key not in told]:
            del servers[key]
    for entry in event.entries:
        server = servers.get(entry.server)
        if entry.health is api.Health.GONE:
            servers.pop(entry.server, None)
            continue
        if server is None:
            servers[entry.server] = Server(entry, entry.started_ns)
        else:
            if entry.presumed_start_ns != server.entry.presumed_start_ns:
                server.answers = 0
            server.entry, server.started_ns = entry, max(entry.started_ns, server.started_ns)
