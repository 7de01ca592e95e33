"""Detects which limiters reach the same counter as this one, by heartbeats through the counter.

Derivation: docs/design/counter-lost.md.

A counter that splits in two grants the whole quota on both sides.  So each limiter advances its digit of one
shared total once per heartbeat interval.  A limiter whose digit stands still has stopped or is on the other
side of a split; a datagram from it shows that it is running.  Where limiters may not exchange datagrams, it
is always treated as split off: that may refuse too much, but never grants too much.

One total holds the base 4 digits of ``GROUP_SIZE`` consecutive limiters, which the seven decimal digits of a
total represent exactly.  A digit goes 0, 1, 2, 3, 1, 2, 3 ... and is not advanced again before the last
advance is confirmed or ruled out, so it never carries into the next one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

SECOND_NS = 1_000_000_000
# One call per second and limiter is about one in a hundred of its counter calls.
HEARTBEAT_INTERVAL_NS = SECOND_NS
# Lifetime of a heartbeat key.  Counters keep a key for at most 60 s.
EPOCH_NS = 30 * SECOND_NS
# Reads without an advance after which a limiter counts as absent.  One may be missing by chance: a lost call,
# or a call out of step with this limiter's own.
ABSENT_HEARTBEATS = 3.0
# Reads for which a limiter that was absent must have answered again before it counts; see update_split.
RETURN_HEARTBEATS = 2 * ABSENT_HEARTBEATS
# The same once no limiter of the group is absent: then no other side is left that could count on it.
HEALED_HEARTBEATS = 2.0
# Losses within this time count as one: a limiter that corrects a lost digit may borrow from another's.
SAME_LOSS_NS = 2 * HEARTBEAT_INTERVAL_NS
# Two losses within this time mean that this limiter alternates between both sides of a split.  The other
# limiters notice slower changes by themselves.
REPEATED_LOSS_NS = 7 * SECOND_NS
# How long a limiter that alternates between sides leaves its digit alone and only reads.
READ_ONLY_NS = 15 * SECOND_NS
GROUP_SIZE = 8
DIGIT_BASE = 4
# Low bits of a counter key that hold the customer (heartbeats use the highest numbers); the others hold the
# time window.
CUSTOMER_BITS = 33
MAX_CUSTOMER = (1 << CUSTOMER_BITS) - 1


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """One heartbeat call: ``amount`` advances this limiter's digit, or is 0 and only reads the total."""

    key: int
    amount: float


@dataclass(slots=True)
class PartitionDetector:
    """Tracks which limiters of its group are on one limiter's side of the counter.

    Times are in nanoseconds on the limiter's clock.
    """

    index: int
    limiters: int
    start_ns: int
    has_peer_messages: bool  # whether limiters may send one another datagrams
    enabled: bool = False  # whether some customer's set fits into one group; larger sets are never divided
    epoch: int = -1
    digit: int | None = None  # this limiter's digit under the current key; None if unknown
    pending: Heartbeat | None = None  # the unresolved heartbeat that advances the digit
    total: int = 0  # as last read
    reads: int = 0  # answers that showed who advanced
    last_moved: dict[int, int] = field(default_factory=dict)  # limiter -> last read at which its digit moved
    last_missed: dict[int, int] = field(default_factory=dict)  # limiter -> last read at which it was absent
    message_ns: dict[int, int] = field(default_factory=dict)  # limiter -> time of its last datagram
    resumed_ns: dict[int, int] = field(default_factory=dict)  # limiter -> its first datagram after a pause
    split: frozenset[int] = frozenset()  # limiters on another side of the split
    lost_ns: int = -READ_ONLY_NS  # when this limiter's own digit was last found lost
    read_only_until_ns: int = 0

    def __post_init__(self) -> None:
        self.enabled = self.enabled or self.limiters <= GROUP_SIZE

    @property
    def first_index(self) -> int:
        """The lowest index of this limiter's group."""
        return self.index - self.index % GROUP_SIZE

    @property
    def group(self) -> range:
        return range(self.first_index, min(self.limiters, self.first_index + GROUP_SIZE))

    def recipients(self) -> list[int | None]:
        """Limiters to send a datagram to; None stands for all, used where there is only one group."""
        return [o for o in self.group if o != self.index] if self.limiters > GROUP_SIZE else [None]

    def counter_key(self, epoch: int) -> int:
        return (MAX_CUSTOMER - self.index // GROUP_SIZE + (epoch << CUSTOMER_BITS)) % (1 << 64)

    def next_heartbeat(self, now_ns: int) -> Heartbeat:
        """The heartbeat that is due now."""
        epoch = now_ns // EPOCH_NS
        if epoch != self.epoch:
            # Under a new key the digit is 0.  Only in the epoch in which this process started may a
            # predecessor have advanced it.
            self.digit = 0 if self.epoch >= 0 or now_ns - self.start_ns > EPOCH_NS else None
            self.epoch, self.total, self.pending = epoch, 0, None
        if self.digit is None or self.pending or now_ns < self.read_only_until_ns:
            return Heartbeat(self.counter_key(epoch), 0.0)
        # After 3 comes 1: only a new total has a 0.
        step = 1 if self.digit < DIGIT_BASE - 1 else 2 - DIGIT_BASE
        self.pending = Heartbeat(
            self.counter_key(epoch), float(step * DIGIT_BASE ** (self.index - self.first_index))
        )
        return self.pending

    def on_answer(self, now_ns: int, heartbeat: Heartbeat, total: float) -> bool:
        """Read the total that answers a heartbeat; return whether this limiter's digit was lost."""
        if heartbeat.key != self.counter_key(self.epoch) or not abs(total) < DIGIT_BASE**GROUP_SIZE:
            return False
        read = round(total)
        known, own_digit = self.digit, self.digit_of(read, self.index)
        advanced = None if known is None else known % (DIGIT_BASE - 1) + 1
        # An answered advance must be in the total; an unanswered one may be in it or not.
        allowed = (
            (advanced,) if self.pending is heartbeat else (known, advanced) if self.pending else (known,)
        )
        # A total that falls below 0 has lost digits: steps from 3 back to 1 in a new total.  It may stay
        # below 0, which is no further loss.
        lost = read < 0 <= self.total or (known is not None and own_digit not in allowed)
        if lost and (lost_ago_ns := now_ns - self.lost_ns) > SAME_LOSS_NS:
            if lost_ago_ns <= REPEATED_LOSS_NS:
                # Otherwise both sides of a split would count on this limiter.
                self.read_only_until_ns = now_ns + READ_ONLY_NS
            self.lost_ns = now_ns
        self.reads += not lost
        for other in self.group:
            if lost or self.digit_of(read, other) != self.digit_of(self.total, other):
                self.last_moved[other] = self.reads
        self.digit, self.total, self.pending = own_digit, read, None
        self.update_split(now_ns)
        return lost

    def digit_of(self, total: int, limiter: int) -> int:
        return total // int(DIGIT_BASE ** (limiter - self.first_index)) % DIGIT_BASE

    def on_rejected(self, heartbeat: Heartbeat) -> None:
        """The counter rejected the call or never received it, so the digit has not been advanced."""
        if self.pending is heartbeat:
            self.pending = None

    def on_message(self, now_ns: int, sender: int) -> None:
        """A datagram shows that another limiter is running."""
        if 0 <= sender < self.limiters:
            if now_ns - self.message_ns.get(sender, -math.inf) > ABSENT_HEARTBEATS * HEARTBEAT_INTERVAL_NS:
                self.resumed_ns[sender] = now_ns
            self.message_ns[sender] = now_ns

    def update_split(self, now_ns: int) -> None:
        """Decide which limiters are on another side, by answers only: never while the counter is silent.

        A limiter that returns counts as away until the side that it left must have missed it; otherwise two
        sides would both count on its share.  One that has just started sends datagrams before its digit can
        have moved, so it is running only after it has sent them for a while.  One that sends no datagrams
        either has stopped, unless it was away before or two are absent at once: a split may cut off the
        datagrams too.
        """
        wait_ns, away = ABSENT_HEARTBEATS * HEARTBEAT_INTERVAL_NS, list[int]()
        # Counted in reads, not in time: while the counter was silent to this limiter it saw no digit move.
        absent = [
            o
            for o in self.group
            if o != self.index and self.reads - self.last_moved.get(o, 0) > ABSENT_HEARTBEATS
        ]
        vanished = sum(o in self.last_moved for o in absent)  # without those never seen, as after a start
        for other in self.group:
            message_ns, resumed_ns = self.message_ns.get(other, -math.inf), self.resumed_ns.get(other, now_ns)
            running = not self.has_peer_messages or (now_ns - message_ns <= wait_ns <= now_ns - resumed_ns)
            cut_off = other in absent and (running or other in self.split or vanished > 1)
            if other != self.index and (cut_off or now_ns < self.read_only_until_ns):
                self.last_missed[other] = self.reads
            if self.reads - self.last_missed.get(other, -math.inf) <= (
                RETURN_HEARTBEATS if absent else HEALED_HEARTBEATS
            ):
                away.append(other)
        self.split = frozenset(away)

    def quota_share(self, start: int, size: int) -> float:
        """This side's share of the quota of a set of ``size`` limiters from ``start`` on.

        It is 1 where the set is larger than a group.
        """
        if not self.split or size <= 1 or (size > GROUP_SIZE and self.limiters > GROUP_SIZE):
            return 1.0
        away = sum((start + n) % self.limiters in self.split for n in range(size))
        return (size - min(away, size - 1)) / size
