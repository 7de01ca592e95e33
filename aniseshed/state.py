"""Records of a limiter's state. They are plain data; the decisions about them are made in policy.py."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from aniseshed import interface as api
from aniseshed.account import Account


@dataclass(slots=True)
class TimeAverage:
    """A level and its exponentially weighted mean over time, with the time constant ``window_ns``."""

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

    def add(self, now_ns: int, change: int) -> None:
        self.mean(now_ns)
        self.current += change


@dataclass(slots=True, eq=False)
class Server:
    """What this limiter knows about one server.

    ``slowness`` is the running mean of its latencies relative to the mean of all servers. After an ejection
    it is ``on_probation`` until it answers, and gets one attempt at a time."""

    entry: api.ServerEntry
    started_ns: int
    in_flight: dict[tuple[int, int], Attempt] = field(default_factory=dict)
    slowness: float = 1.0
    consecutive_failures: int = 0
    answers: int = 0  # since its last presumed start
    ejected_until_ns: int = 0
    next_attempt_ns: int = 0
    full_until_ns: dict[tuple[int, int], int] = field(default_factory=dict)  # by plan index and class index
    on_probation: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, kept until its end is reported, even if its request has been answered before."""

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
    """A request without a final answer yet.

    ``target_at_ns`` is the time until which an answer has its full value. ``value_rank`` is the request's
    value relative to the running mean of all requests, at most 1."""

    request: api.Request
    traffic_class: api.TrafficClass
    plan: api.Plan
    units: float
    account: Account
    target_at_ns: int
    value_rank: float = 1.0
    awaiting_counter: bool = False
    charged_units: float = 0.0  # taken from the quota; refunded if no attempt is ever sent
    charged_to_slice: bool = False  # They were also taken from this limiter's slice.
    attempts: list[Attempt] = field(default_factory=list)


def apply_server_list(servers: dict[bytes, Server], event: api.ServerList) -> None:
    """Apply a server list: remove the servers that are gone, add new ones and update the others."""
    if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
        listed = {entry.server for entry in event.entries}
        for key in [key for key in servers if key not in listed]:
            del servers[key]
    for entry in event.entries:
        server = servers.get(entry.server)
        if entry.health is api.Health.GONE:
            servers.pop(entry.server, None)
            continue
        if server is None or entry.started_ns > server.started_ns:
            # A restarted server is another process: it has nothing in flight, and nothing is known of it.
            servers[entry.server] = Server(entry, entry.started_ns)
        else:
            if entry.presumed_start_ns != server.entry.presumed_start_ns:
                server.answers = 0
            server.entry = entry
