"""The health of the counter as one limiter sees it; docs/operating/counter.md says what holds in each state.

Answers that are not numbers count as missing answers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from aniseshed.partition import SECOND_NS

# Time-outs without any answer after which the counter counts as silent.  The daemon abandons a
# silent connection after one.
SILENT_TIMEOUTS = 6.0
MISS_EWMA_WEIGHT = 0.1  # weight of one call's result in the moving average of misses
SLOW_MISS_RATE = 0.5  # miss rate above which the counter counts as slow
# How long a replacement or a recovery is reported: about the lifetime of a customer's total.
RECENT_CHANGE_NS = 10 * SECOND_NS


class CounterState(Enum):
    """The counter's state, as the log and the report show it."""

    HEALTHY = "well"  # answers in time
    SLOW = "slow"  # half of the calls end without an answer in time
    SILENT = "silent"  # calls went unanswered and there was no answer for SILENT_TIMEOUTS time-outs
    REPLACED = "replaced"  # the counter has lost this limiter's heartbeat digit
    SPLIT = "split"  # another limiter is running and its heartbeats do not reach this side of the counter
    RECOVERED = "back"  # answers again after silence or a split, for RECENT_CHANGE_NS


@dataclass(slots=True)
class CounterHealth:
    """The state of the counter as one limiter sees it.  Times are in nanoseconds."""

    timeout_ns: int
    state: CounterState = CounterState.HEALTHY
    since_ns: int = 0
    answered_ns: int = -1  # the last answer in time
    first_miss_ns: int = -1  # the first call since then that ended without an answer; -1: none
    past_silence_ns: int = 0  # length of all silences that have ended
    recovered_ns: int = -(1 << 62)  # when the last of them ended
    miss_rate: float = 0.0  # moving average over the last calls
    replaced_ns: int = -(1 << 62)
    impaired_ns: int = -(1 << 62)  # when it was last silent or split

    def on_result(self, now_ns: int, answered: bool) -> None:
        """A call ended, with a total in time or without."""
        self.miss_rate += MISS_EWMA_WEIGHT * ((not answered) - self.miss_rate)
        if answered:
            if self.is_silent(now_ns):
                self.past_silence_ns, self.recovered_ns = self.total_silence_ns(now_ns), now_ns
            self.answered_ns, self.first_miss_ns = now_ns, -1
        elif self.first_miss_ns < 0:
            self.first_miss_ns = now_ns

    def is_silent(self, now_ns: int) -> bool:
        return self.first_miss_ns >= 0 and now_ns - self.first_miss_ns >= SILENT_TIMEOUTS * self.timeout_ns

    def total_silence_ns(self, now_ns: int) -> int:
        """How long the counter has been silent in all; each silence starts with its first missing answer."""
        return self.past_silence_ns + (now_ns - self.first_miss_ns if self.is_silent(now_ns) else 0)

    def update_state(self, now_ns: int, split: bool) -> bool:
        """Set the state to what is known now and return whether it has changed."""
        if self.is_silent(now_ns):
            state = CounterState.SILENT
        elif split:
            state = CounterState.SPLIT
        elif now_ns - self.replaced_ns < RECENT_CHANGE_NS:
            state = CounterState.REPLACED
        elif self.miss_rate > SLOW_MISS_RATE:
            state = CounterState.SLOW
        else:
            state = (
                CounterState.RECOVERED
                if now_ns - self.impaired_ns < RECENT_CHANGE_NS
                else CounterState.HEALTHY
            )
        if state in (CounterState.SILENT, CounterState.SPLIT):
            self.impaired_ns = now_ns
        changed, self.state = state is not self.state, state
        if changed:
            self.since_ns = now_ns
        return changed
