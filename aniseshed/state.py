"""What a limiter remembers; plain records, every decision about them is in policy.py."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from aniseshed import interface as api
from aniseshed.account import Account


@dataclass(slots=True)
class Level:
    """A number that goes up and down, and its mean over about span_ns."""

    span_ns: int
    now: int = 0
    average: float = 0.0
    since_ns: int = 0

    def mean(self, now_ns: int) -> float:
        self.average += (self.now - self.average) * -math.expm1((self.since_ns - now_ns) / self.span_ns)
        self.since_ns = now_ns
        return self.average

    def step(self, now_ns: int, by: int) -> None:
        self.mean(now_ns)
        self.now += by


@dataclass(slots=True, eq=False)
class Server:
    """What this limiter has seen of one server."""

    entry: api.ServerEntry
    born_ns: int
    out: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    slow: float = 1.0
    fails: int = 0
    answered: int = 0  # since its present life is presumed to have begun
    eject_until_ns: int = 0
    pace_ns: int = 0
    full_until_ns: dict[tuple[int, int], int] = field(default_factory=dict)  # by plan and class
    trial: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, kept until its end is told, whether or not its request still lives."""

    server: Server
    customer: Account
    index: int
    plan: int
    units: float
    sent_ns: int
    out: bool = True
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class Work:
    """A request that is owed an answer."""

    request: api.Request
    kind: api.TrafficClass
    plan: api.Plan
    units: float
    customer: Account
    aim_ns: int
    rank: float = 1.0  # of its worth among what is asked, 1 from the mean upwards
    asking: bool = False
    charged: float = 0.0  # units taken for it from the quota; they go back if nothing is ever sent
    from_slice: bool = False  # and from the slice
    attempts: list[Attempt] = field(default_factory=list)


def apply_list(servers: dict[bytes, Server], event: api.ServerList) -> None:
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
            servers[entry.server] = Server(entry, entry.born_ns)
        else:
            if entry.presumed_ns != server.entry.presumed_ns:
                server.answered = 0
            server.entry, server.born_ns = entry, max(entry.born_ns, server.born_ns)
