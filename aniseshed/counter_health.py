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


class State(Enum):
    WELL = "well"  # answers in time
    SLOW = "slow"  # half of the calls end without one
    SILENT = "silent"  # no answer for SILENT_WAITS time-outs, and calls that went without
    REPLACED = "replaced"  # this limiter's digit of the roll is gone
    SPLIT = "split"  # a limiter lives and does not answer the roll
    BACK = "back"  # answers again after silence or a split, for a window


@dataclass(slots=True)
class Weather:
    """The state of the counter as one limiter sees it.  Times in nanoseconds."""

    timeout_ns: int
    state: State = State.WELL
    since_ns: int = 0
    heard_ns: int = -1  # the last answer in time
    unheard_ns: int = -1  # the first call since then that ended without one
    past_silence_ns: int = 0  # all silences that have ended
    back_ns: int = -(1 << 62)  # when the last one did
    misses: float = 0.0  # share of the last calls
    replaced_ns: int = -(1 << 62)
    troubled_ns: int = -(1 << 62)  # when it was last silent or split

    def ended(self, now_ns: int, heard: bool) -> None:
        """A call ended, in time with a total or not."""
        self.misses += GAIN * ((not heard) - self.misses)
        if heard:
            if self.silent(now_ns):
                self.past_silence_ns, self.back_ns = self.silence_ns(now_ns), now_ns
            self.heard_ns, self.unheard_ns = now_ns, -1
        elif self.unheard_ns < 0:
            self.unheard_ns = now_ns

    def silent(self, now_ns: int) -> bool:
        return self.unheard_ns >= 0 and now_ns - self.unheard_ns >= SILENT_WAITS * self.timeout_ns

    def silence_ns(self, now_ns: int) -> int:
        """For how long the counter has been silent in all; a silence counts from its first missing answer."""
        return self.past_silence_ns + (now_ns - self.unheard_ns if self.silent(now_ns) else 0)

    def look(self, now_ns: int, split: bool) -> bool:
        """Settle the state by what is known now; whether it has changed."""
        if self.silent(now_ns):
            state = State.SILENT
        elif split:
            state = State.SPLIT
        elif now_ns - self.replaced_ns < SETTLE_NS:
            state = State.REPLACED
        elif self.misses > SLOW_SHARE:
            state = State.SLOW
        else:
            state = State.BACK if now_ns - self.troubled_ns < SETTLE_NS else State.WELL
        if state in (State.SILENT, State.SPLIT):
            self.troubled_ns = now_ns
        changed, self.state = state is not self.state, state
        if changed:
            self.since_ns = now_ns
        return changed
