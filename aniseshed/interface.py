"""The words between a limiter and its decisions: settings, events and actions.

Nothing here decides anything.  Times are integer nanoseconds, a server is an opaque byte string,
classes, plans, zones and kinds are positions in the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aniseshed.counter_health import CounterState


class Repeat(Enum):
    """Whether a request that may have run can be sent again."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Health(IntEnum):
    """What the server list says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """How a server list is to be read; FAILED carries no entries."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Trust(IntEnum):
    """How far a server list is to be believed of one server; what decides it is not in this package.

    Below TOLD a server gets one attempt at a time from this limiter, until it has proved itself."""

    NONE = 0  # nothing is sent there
    SAFE = 1  # requests that are safe to repeat
    CAREFUL = 2  # any request
    TOLD = 3  # as told by discovery, or as good


class Ask(IntEnum):
    """What a request wants: to be sent on, or a verdict on its quota."""

    SEND = 0
    TAKE = 1  # the units are taken, nothing is sent
    PEEK = 2  # what a take would come to; nothing is taken


class Outcome(IntEnum):
    """How an attempt, a probe or a counter call ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


@dataclass(slots=True, frozen=True)
class TrafficClass:
    """One class of requests."""

    aim_ns: int
    deadline_ns: int
    worth: float
    late_worth: float
    repeat: Repeat
    group: Group
    window_ns: int
    stream: bool
    aim_stretch: (
        float  # by the request's own work, which nobody knows before its answer: the plain aim decides
    )


@dataclass(slots=True, frozen=True)
class Plan:
    """One plan's quota, which holds for each customer over all limiters together."""

    rate: float
    burst: float
    max_open: int
    ceiling_rate: float
    ceiling_burst: float
    price: float
    over_worth: float
    over_cost: float


@dataclass(slots=True, frozen=True)
class Settings:
    """What a limiter is told at its start."""

    index: int
    limiters: int
    zone: int
    classes: tuple[TrafficClass, ...]
    plans: tuple[Plan, ...]
    largest_units: int
    settles: bool
    has_counter: bool
    counter_timeout_ns: int
    max_attempts: int
    max_held: int
    may_probe: bool
    may_cancel: bool
    may_duplicate: bool
    may_advise: bool
    may_tell: bool  # datagrams between limiters
    max_retry_after_ns: int
    connect_timeout_ns: int
    subscribe: bool
    ask_within_ns: int
    drain_grace_ns: int
    cold_from: float
    cold_ns: int
    fall_multiple: float
    fall_ns: int
    report_fields: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One line of a server list; born_ns is 0 for a start long past.

    ``presumed_ns`` is a start that nobody told of and nobody can rule out, 0 if there is none: from then on
    the server gets one attempt at a time, and one more for each answer, until a list says otherwise."""

    server: bytes
    zone: int
    kind: int
    cell: int
    health: Health
    weight: float
    born_ns: int
    trust: Trust = Trust.TOLD
    presumed_ns: int = 0


@dataclass(slots=True, frozen=True)
class ServerList:
    """What discovery says, or what is believed in its absence."""

    kind: ListKind
    entries: tuple[ServerEntry, ...]


@dataclass(slots=True, frozen=True)
class Request:
    """A client's try; this limiter now owes it one final answer within patience_ns."""

    request_id: int
    traffic_class: int
    plan: int
    customer: int
    patience_ns: int
    units: float
    set_size: float
    set_start: float
    repeated: bool
    ask: Ask = Ask.SEND


@dataclass(slots=True, frozen=True)
class StreamBegun:
    """The answer has begun to flow and belongs to the client."""

    request_id: int
    server: bytes
    attempt: int
    elapsed_ns: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The one end of an attempt; concluded says that the request needs no answer any more."""

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
class GivenBack:
    """Units of a customer that a take was granted and that nobody used."""

    customer: int
    units: float


@dataclass(slots=True, frozen=True)
class HungUp:
    """The client has gone; nothing is owed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier has run down."""

    token: int


@dataclass(slots=True, frozen=True)
class Probed:
    """The end of a probe."""

    server: bytes
    outcome: Outcome
    elapsed_ns: int
    report: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Bytes from another limiter."""

    sender: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class Counted:
    """How a counter call ended; total holds with OK only.

    A call that ended as TIMEOUT may end once more, when its answer comes late.  ``call`` is that of the
    Count; ``total`` is in units of the quota, with marks (see marks.py)."""

    name: int
    outcome: Outcome
    total: float
    elapsed_ns: int
    call: int = 0


Event = (
    ServerList
    | Request
    | GivenBack
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
    """Start an attempt; until_ns 0 leaves it to the client's patience."""

    request_id: int
    server: bytes
    until_ns: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: it never ran or a repeat is harmless; retry_after_ns 0 gives no advice."""

    request_id: int
    retry_after_ns: int


@dataclass(slots=True, frozen=True)
class Verdict:
    """Final answer to a take that was granted, or to a peek.

    ``left`` are the units that the whole quota still holds by this limiter's account, ``wait_ns`` is when to
    come back, 0 if it fits now."""

    request_id: int
    fits: bool
    left: float
    wait_ns: int


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer that says nothing of what has run."""

    request_id: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Wait no longer for one attempt."""

    request_id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired after delay_ns."""

    delay_ns: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Look whether a server answers."""

    server: bytes


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: bytes


@dataclass(slots=True, frozen=True)
class Tell:
    """Send bytes to one limiter, or to all when peer is None."""

    peer: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Count:
    """Add amount to a shared number, which lives lifetime_ns from its first call.

    ``call`` numbers the calls of one limiter from 1, in the order in which they are made."""

    name: int
    amount: float
    lifetime_ns: int
    call: int = 0


@dataclass(slots=True, frozen=True)
class Report:
    """What operators are told of the counter: its state (see ``weather.py``), ``since_ns`` on the module's
    clock, the bound in units beyond one customer's quota since the change, by position of the plan."""

    state: CounterState
    since_ns: int
    bound_units: tuple[float, ...]
    away: tuple[int, ...]  # indexes of the limiters on another side

    def line(self) -> str:
        """The report as one line."""
        bounds = " ".join(f"{units:.1f}" for units in self.bound_units)
        away = ",".join(map(str, self.away)) or "none"
        return f"counter state={self.state.value} since_ns={self.since_ns} bound_units={bounds} away={away}"


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to changes of the server list, or stop."""

    active: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    """Ask once for the whole server list."""


Action = (
    Send
    | Refuse
    | Verdict
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
