"""The roll call: which limiters talk to the same counter as this one (docs/design/counter-lost.md).

A counter that splits grants the whole quota on both sides. So each limiter turns its digit of one number once
a beat. One whose digit stands still is gone, or on the other side: a word from it by datagram tells, and
where limiters may not send any, it is taken for split: that refuses too much, never too little.

One number holds the digits, of base 4, of ``GROUP`` limiters in a row: exact in the seven digits of a total.
They go 0, 1, 2, 3, 1, and none is turned again before the last turn is resolved, so none carries."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

SECOND_NS = 1_000_000_000
BEAT_NS = SECOND_NS  # one call a second and limiter: one in a hundred at the rates of today
EPOCH_NS = 30 * SECOND_NS  # life of a name; counters keep one for 60 s at most
ABSENT_BEATS = 3.0  # without an answer to the roll: one lost call or one out of step is chance
RETURN_BEATS = 2 * ABSENT_BEATS  # for which one that was away has answered again before it counts: see settle
HEALED_BEATS = 2.0  # for which, where nobody is missed any more: no side is left that could count on it
ONE_LOSS_NS = 2 * BEAT_NS  # one loss: whoever finds its digit gone may borrow from another's
LOST_AGAIN_NS = 7 * SECOND_NS  # two losses within this: slower changes of side are seen by the others
QUIET_NS = 15 * SECOND_NS  # for which a limiter that goes from side to side answers no roll
GROUP = 8
BASE = 4
NAME_BITS = 33  # of a count's name that tell the customer (the roll takes the highest); the others: when
TOP_CUSTOMER = (1 << NAME_BITS) - 1


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """One call of the roll: ``amount`` turns this limiter's digit, or is 0 and only reads."""

    key: int
    amount: float


@dataclass(slots=True)
class PartitionDetector:
    """What one limiter knows of who is where.  Times in nanoseconds on the module's clock."""

    index: int
    limiters: int
    start_ns: int
    has_peer_messages: bool  # whether limiters may send one another datagrams
    enabled: bool = False  # a set came by that is no larger than a group: else it tells nobody anything
    epoch: int = -1
    digit: int | None = None  # of this limiter in the present name; None: not known
    pending: Heartbeat | None = None  # that turned it and is not resolved
    total: int = 0  # as last read
    reads: int = 0  # answers that told who moved
    last_moved: dict[int, int] = field(default_factory=dict)  # limiters whose digit moved: at which read last
    last_missed: dict[int, int] = field(default_factory=dict)  # limiters found away: at which read last
    message_ns: dict[int, int] = field(default_factory=dict)  # limiters that sent word: when
    resumed_ns: dict[int, int] = field(default_factory=dict)  # and when they first did so after a silence
    split: frozenset[int] = frozenset()  # limiters on another side
    lost_ns: int = -QUIET_NS  # when its own digit was last found gone
    read_only_until_ns: int = 0  # until when it only reads

    def __post_init__(self) -> None:
        self.enabled = self.enabled or self.limiters <= GROUP

    @property
    def first_index(self) -> int:
        """The lowest index of this limiter's group."""
        return self.index - self.index % GROUP

    @property
    def group(self) -> range:
        return range(self.first_index, min(self.limiters, self.first_index + GROUP))

    def recipients(self) -> list[int | None]:
        """Whom to send word: all at once where one group is all, else those who have a use for it."""
        return [o for o in self.group if o != self.index] if self.limiters > GROUP else [None]

    def counter_key(self, epoch: int) -> int:
        return (TOP_CUSTOMER - self.index // GROUP + (epoch << NAME_BITS)) % (1 << 64)

    def next_heartbeat(self, now_ns: int) -> Heartbeat:
        """The call that is due now."""
        epoch = now_ns // EPOCH_NS
        if epoch != self.epoch:
            # Nobody has turned a digit of a new name, but a predecessor of this process in its first.
            self.digit = 0 if self.epoch >= 0 or now_ns - self.start_ns > EPOCH_NS else None
            self.epoch, self.total, self.pending = epoch, 0, None
        if self.digit is None or self.pending or now_ns < self.read_only_until_ns:
            return Heartbeat(self.counter_key(epoch), 0.0)
        step = 1 if self.digit < BASE - 1 else 2 - BASE  # 0 is for fresh numbers alone
        self.pending = Heartbeat(
            self.counter_key(epoch), float(step * BASE ** (self.index - self.first_index))
        )
        return self.pending

    def on_answer(self, now_ns: int, beat: Heartbeat, total: float) -> bool:
        """An answer; whether it shows that what this limiter had added is gone."""
        if beat.key != self.counter_key(self.epoch) or not abs(total) < BASE**GROUP:
            return False
        read = round(total)
        known, mine = self.digit, self.digit_of(read, self.index)
        turned = None if known is None else known % (BASE - 1) + 1
        # A turn that brought no answer stands in the total or not; one that did must.
        right = (turned,) if self.pending is beat else (known, turned) if self.pending else (known,)
        # Newly below 0: turns back in a fresh number.  It may stay there, which is no further loss.
        lost = read < 0 <= self.total or (known is not None and mine not in right)
        if lost and (lost_ago_ns := now_ns - self.lost_ns) > ONE_LOSS_NS:
            if lost_ago_ns <= LOST_AGAIN_NS:
                self.read_only_until_ns = now_ns + QUIET_NS  # guards against being counted on both sides
            self.lost_ns = now_ns
        self.reads += not lost
        for other in self.group:
            if lost or self.digit_of(read, other) != self.digit_of(self.total, other):
                self.last_moved[other] = self.reads
        self.digit, self.total, self.pending = mine, read, None
        self.update_split(now_ns)
        return lost

    def digit_of(self, total: int, limiter: int) -> int:
        return total // int(BASE ** (limiter - self.first_index)) % BASE

    def on_rejected(self, beat: Heartbeat) -> None:
        """The counter turned the call away, or never got it."""
        if self.pending is beat:
            self.pending = None

    def on_message(self, now_ns: int, sender: int) -> None:
        """A datagram of another limiter: it lives."""
        if 0 <= sender < self.limiters:
            if now_ns - self.message_ns.get(sender, -math.inf) > ABSENT_BEATS * BEAT_NS:
                self.resumed_ns[sender] = now_ns
            self.message_ns[sender] = now_ns

    def update_split(self, now_ns: int) -> None:
        """Who is on another side: judged only by answers, never while the counter itself is silent.

        One that returns counts as away until the side that it left must have missed it: guards against two
        sides that both count on its part.  One that has just started sends word before it can have answered.
        One that sends no word either is dead: but not one that was away, or where two are gone at once."""
        wait_ns, away = ABSENT_BEATS * BEAT_NS, list[int]()
        # In reads, not in time: while the counter was silent to this limiter nobody could be seen.
        gone = [
            o for o in self.group if o != self.index and self.reads - self.last_moved.get(o, 0) > ABSENT_BEATS
        ]
        vanished = sum(o in self.last_moved for o in gone)  # and not just never heard of, as at a start
        for other in self.group:
            told_ns, woke_ns = self.message_ns.get(other, -math.inf), self.resumed_ns.get(other, now_ns)
            lives = not self.has_peer_messages or (now_ns - told_ns <= wait_ns <= now_ns - woke_ns)
            cut_off = other in gone and (lives or other in self.split or vanished > 1)
            if other != self.index and (cut_off or now_ns < self.read_only_until_ns):
                self.last_missed[other] = self.reads
            if self.reads - self.last_missed.get(other, -math.inf) <= (
                RETURN_BEATS if gone else HEALED_BEATS
            ):
                away.append(other)
        self.split = frozenset(away)

    def quota_share(self, start: int, size: int) -> float:
        """Of a set's quota, the part of the limiters on this side; 1 where the set is more than a group."""
        if not self.split or size <= 1 or (size > GROUP and self.limiters > GROUP):
            return 1.0
        away = sum((start + n) % self.limiters in self.split for n in range(size))
        return (size - min(away, size - 1)) / size
