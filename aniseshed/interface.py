"""The data types between a limiter process and its decision logic: settings, events and actions.

The module holds plain records without logic. Times are integer nanoseconds, a server is identified by an
opaque byte string, and classes, plans, zones and kinds are indexes into the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aniseshed.counter_health import CounterState


class Idempotency(Enum):
    """Whether a request that may have been executed can be sent again.

    SAFE requests always can, KEYED ones while servers drop duplicates by key, UNSAFE ones never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """Which servers recognise and drop a duplicate of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Health(IntEnum):
    """State of a server according to the server list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """Kind of a server list.

    DELTA holds the changed servers only, FULL and CACHED hold all of them; CACHED was read from a local copy.
    FAILED means that discovery failed, and has no entries."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Trust(IntEnum):
    """Confidence that the listed server is still the one at its address; set outside of this package.

    Below TOLD a server gets one attempt at a time from this limiter until it has answered and its trust is
    raised. ``hookport kept`` prints the members' names."""

    NONE = 0  # No requests are sent to the server.
    SAFE = 1  # Only requests that are safe to repeat are sent.
    CAREFUL = 2  # Any request may be sent.
    TOLD = 3  # Discovery confirmed the server, or equally good evidence did.


class RequestMode(IntEnum):
    """Whether a request is forwarded to a server or only checked against its quota."""

    FORWARD = 0
    TAKE = 1  # Takes the units from the quota without sending anything.
    PEEK = 2  # Reports what TAKE would answer without taking units.


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended.

    FULL is a rejection by a server or the counter that had no capacity, NOT_SENT means that nothing was
    sent."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8


@dataclass(slots=True, frozen=True)
class TrafficClass:
    """One class of requests.

    ``target_ns`` is the latency within which an answer has its full ``value``. Between it and ``deadline_ns``
    an answer is worth ``late_value``. Servers drop duplicates of a keyed request for ``dedup_window_ns``."""

    target_ns: int
    deadline_ns: int
    value: float
    late_value: float
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window_ns: int
    stream: bool
    # The target is extended by the request's own work, which is unknown before the answer. Decisions use the
    # plain target.
    target_stretch: float


@dataclass(slots=True, frozen=True)
class Plan:
    """One plan's quota, which applies to each customer over all limiters together.

    Rates are in units per second, bursts in units. Exceeding the ceiling is never allowed. ``price`` scales
    the value of a request. A request beyond the quota earns ``over_quota_value`` and costs
    ``over_quota_cost``."""

    rate: float
    burst: float
    max_in_flight: int
    ceiling_rate: float
    ceiling_burst: float
    price: float
    over_quota_value: float
    over_quota_cost: float


@dataclass(slots=True, frozen=True)
class Settings:
    """Configuration of a limiter, fixed for its lifetime.

    Limits, capabilities and server behaviour of the deployment: a server that has just started has
    ``cold_capacity_share`` of its capacity and reaches all of it within ``warm_up_ns``. It crashes if it gets
    ``overload_multiple`` times its present capacity over ``overload_ns``."""

    index: int
    limiters: int
    zone: int
    classes: tuple[TrafficClass, ...]
    plans: tuple[Plan, ...]
    largest_units: int
    settles_usage: bool
    has_counter: bool
    counter_timeout_ns: int
    max_attempts: int
    max_pending: int
    may_probe: bool
    may_cancel: bool
    may_duplicate: bool
    may_send_retry_after: bool
    may_message_peers: bool  # Limiters may exchange datagrams.
    max_retry_after_ns: int
    connect_timeout_ns: int
    subscribe: bool
    resubscribe_within_ns: int
    drain_grace_ns: int
    cold_capacity_share: float
    warm_up_ns: int
    overload_multiple: float
    overload_ns: int
    report_fields: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One entry of a server list; ``started_ns`` is 0 if the server started long ago.

    ``presumed_start_ns`` is the time of a possible restart that no list has reported but that cannot be ruled
    out, 0 if there is none. From then on the server gets one attempt in flight, and one more for each answer,
    until a list reports that it has not restarted."""

    server: bytes
    zone: int
    kind: int
    cell: int
    health: Health
    weight: float
    started_ns: int
    trust: Trust = Trust.TOLD
    presumed_start_ns: int = 0


@dataclass(slots=True, frozen=True)
class ServerList:
    """A server list from discovery, or the best known list while discovery is unavailable."""

    kind: ListKind
    entries: tuple[ServerEntry, ...]


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request, which must get one final answer within ``timeout_ns``.

    The customer's requests arrive at ``set_size`` limiters, which begin at index ``set_start``. ``is_retry``
    is set if the client sends the request again."""

    request_id: int
    traffic_class: int
    plan: int
    customer: int
    timeout_ns: int
    units: float
    set_size: float
    set_start: float
    is_retry: bool
    mode: RequestMode = RequestMode.FORWARD


@dataclass(slots=True, frozen=True)
class StreamBegun:
    """The response stream has begun, so no other attempt can answer the client."""

    request_id: int
    server: bytes
    attempt: int
    elapsed_ns: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """End of an attempt, reported exactly once.

    ``concluded`` means that the request needs no answer any more. ``meter`` and ``report`` are the server's
    usage meter and load report, ``settled_units`` the units actually used, or 0."""

    request_id: int
    attempt: int
    server: bytes
    outcome: Outcome
    elapsed_ns: int
    concluded: bool
    meter: int
    settled_units: int
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class UnitsReturned:
    """Units that were granted to a customer by a take and returned unused."""

    customer: int
    units: float


@dataclass(slots=True, frozen=True)
class HungUp:
    """The client disconnected and needs no answer any more."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that was set by SetTimer expired."""

    token: int


@dataclass(slots=True, frozen=True)
class Probed:
    """Result of a probe."""

    server: bytes
    outcome: Outcome
    elapsed_ns: int
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A datagram from another limiter."""

    sender: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class Counted:
    """Result of a counter call; ``total`` is valid with OK only.

    A call that ended as TIMEOUT may be reported once more when its answer comes late. ``call_id`` is that of
    the Count action; ``total`` is in units of the quota and contains the limiters' digits (see
    sequence_digits.py)."""

    key: int
    outcome: Outcome
    total: float
    elapsed_ns: int
    call_id: int = 0


Event = (
    ServerList
    | Request
    | UnitsReturned
    | StreamBegun
    | AttemptEnded
    | HungUp
    | TimerFired
    | Probed
    | PeerMessage
    | Counted
)


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; with ``deadline_ns`` 0 only the timeout of the request limits it.

    From ``write_by_ns`` on the attempt must not be written to the server any more, also if its connection
    comes up late; it ends as NOT_SENT. 0 sets no such time before the deadline."""

    request_id: int
    server: bytes
    deadline_ns: int
    write_by_ns: int = 0


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: the request was not executed, or repeating it is harmless.

    ``retry_after_ns`` advises the client when to try again; 0 gives no advice."""

    request_id: int
    retry_after_ns: int


@dataclass(slots=True, frozen=True)
class QuotaAnswer:
    """Final answer to a granted take, or to a peek.

    ``remaining_units`` is this limiter's estimate of what the whole quota still holds. ``wait_ns`` is the
    time until the request would be allowed, 0 if it is allowed now."""

    request_id: int
    allowed: bool
    remaining_units: float
    wait_ns: int


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer that leaves open whether the request was executed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel one attempt."""

    request_id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a TimerFired event after ``delay_ns``."""

    delay_ns: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe whether a server answers."""

    server: bytes


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: bytes


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a datagram to one limiter, or to all of them if ``peer`` is None."""

    peer: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Count:
    """Add ``amount`` to the shared counter ``key``, which expires ``lifetime_ns`` after its first call.

    ``call_id`` numbers the calls of a limiter from 1 in the order in which they are made."""

    key: int
    amount: float
    lifetime_ns: int
    call_id: int = 0


@dataclass(slots=True, frozen=True)
class CounterReport:
    """State of the shared counter, reported to operators (see ``counter_health.py``).

    The state began at ``since_ns`` on the limiter's clock.
    ``bound_units`` bounds, by plan index, the units beyond one customer's quota that may pass after the
    change of state."""

    state: CounterState
    since_ns: int
    bound_units: tuple[float, ...]
    unreachable: tuple[int, ...]  # indexes of limiters on another side of a counter partition

    def to_log_line(self) -> str:
        """The report as one log line."""
        bounds = " ".join(f"{units:.1f}" for units in self.bound_units)
        away = ",".join(map(str, self.unreachable)) or "none"
        return f"counter state={self.state.value} since_ns={self.since_ns} bound_units={bounds} away={away}"


@dataclass(slots=True, frozen=True)
class Log:
    """Write a log line for operators."""

    text: str


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to changes of the server list, or unsubscribe."""

    active: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    """Request the full server list once."""


Action = (
    Send
    | Refuse
    | QuotaAnswer
    | Fail
    | Cancel
    | SetTimer
    | Probe
    | CloseIdle
    | Tell
    | Count
    | Log
    | Watch
    | Fetch
)
