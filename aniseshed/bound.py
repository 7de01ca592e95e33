"""Upper bounds on the quota overrun in each state of the counter, for reports; no decision uses them."""

from __future__ import annotations

from aniseshed.account import REPORT_SHARE
from aniseshed.counter_health import SILENT_TIMEOUTS, CounterHealth, CounterState
from aniseshed.interface import Settings
from aniseshed.partition import ABSENT_HEARTBEATS, HEARTBEAT_INTERVAL_NS, SECOND_NS


def bounds(settings: Settings, limiters: int, counter_health: CounterHealth) -> tuple[float, ...]:
    """The current bound for a customer of each plan, in units, with all limiters in the customer's set."""
    largest_units = float(max(1, settings.largest_units))
    return tuple(
        bound_units(
            counter_health.state,
            p.rate,
            p.burst,
            limiters,
            largest_units,
            REPORT_SHARE,
            counter_health.timeout_ns,
        )
        for p in settings.plans
    )


def bound_units(
    state: CounterState,
    rate: float,
    burst: float,
    set_size: float,
    largest_units: float,
    report_share: float,
    timeout_ns: int,
) -> float:
    """Units that the limiters of a set may together pass beyond one customer's quota.

    The bound covers the time from a change of state through the next window, in which 2.5 bursts are
    refilled. Each further window may add the bound of the healthy state, and the rate times the difference of
    the limiters' clocks, because at the end of a window they use two totals at once.

    ``rate`` is in units per second, ``burst`` and ``largest_units`` (one request) are in units.
    ``report_share`` is the part of its share of the balance that a limiter spends before it reports,
    ``timeout_ns`` the timeout of a counter call. Derived in docs/design/counter-lost.md."""
    # Units spent by the other limiters and not reported yet.
    unreported = (set_size - 1) * (report_share * burst / set_size + largest_units)
    if state in (CounterState.SILENT, CounterState.SLOW):
        # Each slice may be overdrawn by one request. Until the silence is detected, every limiter refills the
        # whole balance. When the counter is back, a burst may be assumed that another limiter has spent but
        # not reported yet.
        return (
            unreported
            + set_size * largest_units
            + rate * (SILENT_TIMEOUTS + 1) * timeout_ns / SECOND_NS
            + burst
        )
    if state is CounterState.SPLIT:
        # Both sides spend the same balance until the heartbeats show the split; then each keeps to its share.
        return unreported + burst + rate * (ABSENT_HEARTBEATS + 1) * HEARTBEAT_INTERVAL_NS / SECOND_NS
    if state is CounterState.REPLACED:
        # Includes units that only the lost total contained and that a limiter had not read.
        return 2 * unreported + set_size * largest_units
    return unreported
