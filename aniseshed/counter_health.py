"""The counter's states, told apart from evidence; docs/operating/counter.md has what holds in each.

A counter that lies (noise for numbers) is silent here: what is no number is no answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from aniseshed.partition import SECOND_NS

SILENT_WAITS = 6.0  # time-outs without any answer: a connection that went silent is left after one
GAIN = 0.1  # weight of one call's end in the share of misses
SLOW_SHARE = 0.5
SETTLE_NS = 10 * SECOND_NS  # for which a change is told as replaced or back: about a count's window


class CounterState(Enum):
    HEALTHY = "well"  # answers in time
    SLOW = "slow"  # half of the calls end without one
    SILENT = "silent"  # no answer for SILENT_WAITS time-outs, and calls that went without
    REPLACED = "replaced"  # this limiter's digit of the roll is gone
    SPLIT = "split"  # a limiter lives and does not answer the roll
    RECOVERED = "back"  # answers again after silence or a split, for a window


@dataclass(slots=True)
class CounterHealth:
    """The state of the counter as one limiter sees it.  Times in nanoseconds."""

    timeout_ns: int
    state: CounterState = CounterState.HEALTHY
    since_ns: int = 0
    answered_ns: int = -1  # the last answer in time
    first_miss_ns: int = -1  # the first call since then that ended without one
    past_silence_ns: int = 0  # all silences that have ended
    recovered_ns: int = -(1 << 62)  # when the last one did
    miss_rate: float = 0.0  # share of the last calls
    replaced_ns: int = -(1 << 62)
    impaired_ns: int = -(1 << 62)  # when it was last silent or split

    def on_result(self, now_ns: int, heard: bool) -> None:
        """A call ended, in time with a total or not."""
        self.miss_rate += GAIN * ((not heard) - self.miss_rate)
        if heard:
            if self.is_silent(now_ns):
                self.past_silence_ns, self.recovered_ns = self.total_silence_ns(now_ns), now_ns
            self.answered_ns, self.first_miss_ns = now_ns, -1
        elif self.first_miss_ns < 0:
            self.first_miss_ns = now_ns

    def is_silent(self, now_ns: int) -> bool:
        return self.first_miss_ns >= 0 and now_ns - self.first_miss_ns >= SILENT_WAITS * self.timeout_ns

    def total_silence_ns(self, now_ns: int) -> int:
        """For how long the counter has been silent in all; a silence counts from its first missing answer."""
        return self.past_silence_ns + (now_ns - self.first_miss_ns if self.is_silent(now_ns) else 0)

    def update_state(self, now_ns: int, split: bool) -> bool:
        """Settle the state by what is known now; whether it has changed."""
        if self.is_silent(now_ns):
            state = CounterState.SILENT
        elif split:
            state = CounterState.SPLIT
        elif now_ns - self.replaced_ns < SETTLE_NS:
            state = CounterState.REPLACED
        elif self.miss_rate > SLOW_SHARE:
            state = CounterState.SLOW
        else:
            state = CounterState.RECOVERED if now_ns - self.impaired_ns < SETTLE_NS else CounterState.HEALTHY
        if state in (CounterState.SILENT, CounterState.SPLIT):
            self.impaired_ns = now_ns
        changed, self.state = state is not self.state, state
        if changed:
            self.since_ns = now_ns
        return changed
