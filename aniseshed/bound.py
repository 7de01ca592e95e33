"""The overrun that each state of the counter allows: what a limiter states, and decides nothing by."""

from __future__ import annotations

from aniseshed.account import REPORT_SHARE
from aniseshed.counter_health import SILENT_TIMEOUTS, CounterHealth, CounterState
from aniseshed.interface import Settings
from aniseshed.partition import ABSENT_HEARTBEATS, HEARTBEAT_INTERVAL_NS, SECOND_NS


def bounds(settings: Settings, limiters: int, weather: CounterHealth) -> tuple[float, ...]:
    """The bound of each plan's customers now, in units, where a set is as large as the fleet."""
    largest = float(max(1, settings.largest_units))
    return tuple(
        bound_units(weather.state, p.rate, p.burst, limiters, largest, REPORT_SHARE, weather.timeout_ns)
        for p in settings.plans
    )


def bound_units(
    state: CounterState,
    rate: float,
    burst: float,
    size: float,
    largest: float,
    tell_share: float,
    timeout_ns: int,
) -> float:
    """Units that limiters of a set may pass beyond one customer's quota, in all, from a change on and for the
    window (2.5 bursts of refill) after it.  Each further window may add what ``WELL`` allows, and the rate
    times the difference of the limiters' clocks: a window's edge hides as much.

    ``rate`` in units a second, ``burst`` and ``largest`` (one request) in units, ``tell_share`` the part of
    its slice of the room that a limiter spends before it tells, ``timeout_ns`` that of a
    counter call.  Derived in docs/design/counter-lost.md."""
    unseen = (size - 1) * (tell_share * burst / size + largest)  # spent by others and not told yet
    if state in (CounterState.SILENT, CounterState.SLOW):
        # Each slice may take one request ahead, until silence is told the store refills for all, and when the
        # counter is back a burst may be believed in which a limiter that has not spoken yet has spent.
        return unseen + size * largest + rate * (SILENT_TIMEOUTS + 1) * timeout_ns / SECOND_NS + burst
    if state is CounterState.SPLIT:
        # Two sides spend one store until the roll shows it; after that each keeps to its part.
        return unseen + burst + rate * (ABSENT_HEARTBEATS + 1) * HEARTBEAT_INTERVAL_NS / SECOND_NS
    if state is CounterState.REPLACED:
        return 2 * unseen + size * largest  # what the lost count knew and one limiter did not
    return unseen
