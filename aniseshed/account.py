"""A customer's quota as one limiter sees it: slice, belief of the whole store, word to the counter.

The counter keeps one number for a customer and a window of time: the sum of what all limiters told it.

- *Who tells what.*  Units are told once, by the limiter that charged them, with a question or later. Those
  asked for and not granted, or charged for a request of which nothing was sent, are taken back.
- *A new window* begins at zero, though the store does not.  The first limiter to call hands on what is
  missing from the store by its own account.  Others must not take that twice (``expected``).
- *Silence.*  A call that timed out is in doubt until an answer comes: its own, late, or the next total of
  its name, whose mark tells whether it was added (``aniseshed/sequence_digits.py``).  What was not added is
  told again.

Every unit is accounted for: ``told + unreported + out`` is ``charged + handed + forgotten`` after every step.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from aniseshed.counter_call import Fate, Question
from aniseshed.counter_health import Weather
from aniseshed.partition import NAME_BITS, SECOND_NS
from aniseshed.sequence_digits import Marks

WINDOW_BURSTS = 2.5  # life of a count, in times to refill the burst: long against what its end loses
LONGEST_LIFE_NS = 60 * SECOND_NS  # no counter keeps a name longer
ROOM_FLOOR = -0.5  # of the burst: the most that tries beyond the quota leave as a debt
REPORT_SHARE = 0.12  # of a slice of the room left: local spends as large are told unasked
GHOST_NS = SECOND_NS  # in which a call taken for lost may yet be added: two marks would make a carry
FALL_BASE, FALL_SHARE = 4.0, 0.1  # units, and of a burst: asked for and refused at each of a few others
TEACH_NS = 2 * SECOND_NS  # within which all limiters tell a count that began again what it has lost
ROUNDING = 0.01  # of a unit: totals come with seven digits
CALLS_A_TIMEOUT = 20.0  # calls that the counter is first thought to serve in one of its time-outs, for all
CALL_FASTER, CALL_SLOWER = 0.97, 1.3  # times the gap between calls, for an answer, for a miss
CALL_RANGE = 8.0  # how far the gap may go from the first guess, and how far misses in a row slow it
CALLS_SAVED = 4.0  # calls that a quiet while leaves for a busy one; telling local spends leaves half of them


class SmoothBursty:
    """Guava's bucket: stored permits go first, the shortfall is taken ahead and the next one waits."""

    def __init__(self, now_ns: int, rate: float, burst: float, stored: float) -> None:
        self.stored_permits, self.max_permits = stored, burst
        self.stable_interval_ns, self.next_free_ticket_ns = SECOND_NS / rate, now_ns

    def resync(self, now_ns: int) -> None:
        if now_ns > self.next_free_ticket_ns:
            fresh = (now_ns - self.next_free_ticket_ns) / self.stable_interval_ns
            self.stored_permits = min(self.max_permits, self.stored_permits + fresh)
            self.next_free_ticket_ns = now_ns

    def reserve(self, permits: float) -> int:
        """Take permits (settling may give some back: below 0); the ticket at which they are free."""
        ticket_ns, spend = self.next_free_ticket_ns, min(permits, self.stored_permits)
        self.stored_permits = min(self.max_permits, self.stored_permits - spend)
        self.next_free_ticket_ns += round((permits - spend) * self.stable_interval_ns)
        return ticket_ns


class Pace:
    """Guards against a counter so crowded or slow that it answers nobody: each limiter paces its calls by
    what it sees.  Could refuse where a slow counter would still have answered."""

    def __init__(self, limiters: int, timeout_ns: int) -> None:
        self.gap_ns = self.first_ns = max(1, limiters * timeout_ns / CALLS_A_TIMEOUT)
        self.calls = SmoothBursty(0, SECOND_NS / self.gap_ns, CALLS_SAVED, CALLS_SAVED)
        self.misses = 0  # in a row

    def free(self, now_ns: int, saved: float) -> bool:
        """Whether a call may go now that leaves all but ``saved`` of those saved up."""
        self.calls.resync(now_ns)
        return self.calls.next_free_ticket_ns <= now_ns and self.calls.stored_permits >= saved

    def call(self) -> None:
        self.calls.reserve(1.0)

    def ended(self, heard: bool) -> None:
        """An answer speeds up a little, the first miss of a row slows down, and each further one more."""
        change = CALL_FASTER if heard else CALL_SLOWER if not self.misses else 1.0
        self.gap_ns = min(max(self.gap_ns * change, self.first_ns / CALL_RANGE), self.first_ns * CALL_RANGE)
        # Guards against an overflow in a long outage.
        self.misses = 0 if heard else min(self.misses + 1, int(CALL_RANGE))
        self.calls.stable_interval_ns = self.gap_ns * min(2.0**self.misses, CALL_RANGE)

    def back(self, now_ns: int) -> None:
        """The counter answers again: guards against waiting out a gap that only its silence had made."""
        self.misses, self.calls.stable_interval_ns = 0, self.gap_ns
        self.calls.next_free_ticket_ns = min(self.calls.next_free_ticket_ns, now_ns + round(self.gap_ns))


@dataclass(slots=True, eq=False)
class Account:
    """One customer at one limiter.  Times in nanoseconds, amounts in units, ``rate`` in units a second."""

    name: int
    rate: float
    burst: float
    set_size: float  # limiters over which the customer's requests come
    bucket: SmoothBursty
    ceiling: SmoothBursty
    window_ns: int
    room: float  # what the whole quota is believed to hold
    room_ns: int
    seen_ns: int
    spilled: float = math.inf  # refill that found no place since the last answer
    total: float | None = None  # of the count at the last answer
    mine: float = 0.0  # what this limiter added in the count's present life
    window: int = 0  # of the last answer
    asked_window: int = 0  # of the last question
    expected: float = 0.0  # of the debt that another hands on in this window: it is in the room already
    unreported: float = 0.0
    weather: Weather | None = None  # of the counter, one for all accounts of a limiter
    silence_ns: int = 0  # of the counter, up to the last refill
    withheld: float = 0.0  # refill of that time which others may have spent; theirs to tell when it is back
    leaned_ns: int = -1  # the silence in which the slice was cut to its part of the room
    marks: Marks | None = None
    digit: int | None = None  # this limiter's, in the count as last seen; None: not known
    marked: Question | None = None  # the one call that turns the digit and is not resolved
    doubts: list[Question] = field(default_factory=list)  # of the present name, in the order of calls
    knows: bool = False  # it asked of the customer before the present window
    led: bool = True  # so did another limiter, which has marked the present count
    gone: bool = False  # the mark shows that the count has lost what was added
    part: float = 1.0  # of the quota that belongs to this side of a split counter
    rejoined: bool = False  # a split has healed: totals of the other side are no news
    heard_ns: int = 0  # the last total
    again_ns: int = -(1 << 62)  # when a count was last found to have begun again
    replaced_ns: int = -(1 << 62)  # the last replacement, as the roll told it, that this account knows of
    ghost: Question | None = None  # the last marked call taken for lost: it may yet be added
    before: float = 0.0  # of this limiter's units in a count of which no total has been learnt
    answered: int = 0  # the latest call whose answer came
    open: int = 0  # attempts out
    calls: int = 0  # questions out
    told: float = field(default=0.0)  # the books: see check()
    out: float = 0.0
    charged: float = 0.0
    handed: float = 0.0
    forgotten: float = 0.0

    @classmethod
    def fresh(
        cls,
        now_ns: int,
        name: int,
        set_size: float,
        quota: tuple[float, float],
        ceiling: tuple[float, float],
        place: tuple[int, int] = (-1, 1),
        lived_ns: int = 0,
        weather: Weather | None = None,
    ) -> Account:
        """An unseen customer: full, by its slice and by belief.

        Quota and ceiling are rate and burst; a rate of 0 is none.  The slice of a ceiling starts empty:
        a start forgets what was spent.  ``place`` is this limiter's digit of the marks and their number,
        ``lived_ns`` how long it has run: one that lives longer than a window has no mark of its own in it."""
        rate, burst = quota if min(quota) > 0 else (1.0, 1.0)
        part = (ceiling[0] / set_size, ceiling[1] / set_size, 0.0)
        if ceiling[0] <= 0:
            part = (1.0, math.inf, math.inf)
        window_ns = min(round(WINDOW_BURSTS * burst / rate * SECOND_NS), LONGEST_LIFE_NS)
        return cls(
            name=name,
            weather=weather,
            silence_ns=weather.silence_ns(now_ns) if weather else 0,
            marks=Marks.of(burst, *place),
            digit=0 if lived_ns > window_ns else None,
            rate=rate,
            burst=burst,
            set_size=set_size,
            bucket=SmoothBursty(now_ns, rate / set_size, burst / set_size, burst / set_size),
            ceiling=SmoothBursty(now_ns, *part),
            window_ns=window_ns,
            room=burst,
            room_ns=now_ns,
            seen_ns=now_ns,
        )

    def count_name(self, now_ns: int) -> int:
        """The name of the present window's count; all limiters come to the same by their clocks."""
        return (self.name + (now_ns // self.window_ns << NAME_BITS)) % (1 << 64)

    def refill(self, now_ns: int) -> float:
        passed_ns = now_ns - self.room_ns
        if self.weather:
            # Guards against a burst for each limiter when the counter is back: while it was silent the others
            # spent their slices unseen.
            silence_ns = self.weather.silence_ns(now_ns)
            unsure_ns = round((silence_ns - self.silence_ns) * (1 - 1 / self.set_size))
            passed_ns, self.silence_ns = passed_ns - unsure_ns, silence_ns
            self.withheld = min(self.burst, self.withheld + self.rate * unsure_ns / SECOND_NS)
        full = self.room + self.rate * passed_ns / SECOND_NS
        self.room, self.room_ns = min(self.burst, full), now_ns
        self.spilled += full - self.room
        return self.room

    def spend(self, now_ns: int, units: float) -> None:
        """Take units from the room, or put them back if below 0; a debt has a floor."""
        self.room = min(self.burst, max(self.refill(now_ns) - units, ROOM_FLOOR * self.burst))

    def charge(self, now_ns: int, units: float) -> None:
        """Units that this limiter spends by itself; the counter is told later."""
        self.spend(now_ns, units)
        self.unreported += units
        self.charged += units

    def give_back(self, now_ns: int, units: float, from_slice: bool) -> None:
        """Units that were charged and never used."""
        self.charge(now_ns, -units)
        if from_slice:
            self.bucket.reserve(-units)

    @property
    def most_taken_back(self) -> float:
        """Units that others may take back between two totals; one that falls further is an older one."""
        return FALL_BASE + FALL_SHARE * self.burst

    def told_lately(self, now_ns: int) -> bool:
        """Whether this limiter has told the present count something."""
        return self.mine > 0 and self.window == now_ns // self.window_ns

    def wants_back(self) -> bool:
        """Units that were asked and not granted stand in everyone's way."""
        return self.unreported <= -self.least

    @property
    def least(self) -> float:
        """The least amount that is worth a call, in units: less is what rounding leaves."""
        return self.marks.quantum if self.marks else ROUNDING

    def wants_to_tell(self) -> bool:
        """Unreported spends are an error in everyone's view: it is kept to a part of the room left."""
        return self.unreported >= max(self.least, REPORT_SHARE * self.room / self.set_size)

    def ask(self, now_ns: int, request_id: int, units: float, call: int = 0) -> Question:
        """A question for these units, which tells all local spends since the last one."""
        window = now_ns // self.window_ns
        if window != self.asked_window:
            self.new_window(now_ns, window)
        local = self.unreported
        if self.marks:  # guards against a fraction of a unit being read as somebody's mark
            local = self.marks.round_up(units + local) - units
        self.unreported -= local
        self.out += local
        self.calls += 1
        question = Question(self, request_id, self.count_name(now_ns), units, local, call, now_ns)
        if self.ghost and now_ns - self.ghost.asked_ns > GHOST_NS:
            self.ghost = None
        if self.marks and self.marked is self.ghost is None and self.digit is not None:
            turn = self.marks.next(self.digit, self.knows) - self.digit
            question.mark, self.marked = self.marks.weight * turn, question
        return question

    def new_window(self, now_ns: int, window: int) -> None:
        """Keep to the window: nothing is taken back from another, nothing told that has long refilled."""
        for question in self.doubts:
            self.landed(now_ns, question)
        if self.asked_window and self.marks and self.marks.weight:
            self.digit = 0  # it was here before this window began: no mark of its own can stand in it
        owed = min(max(0.0, self.unreported), max(0.0, self.burst - self.refill(now_ns)))
        self.forgotten += owed - self.unreported
        self.knows, self.unreported, self.asked_window = self.asked_window > 0, owed, window
        self.doubts, self.marked, self.ghost, self.before = [], None, None, 0.0

    def heard(self, now_ns: int, question: Question, total: float) -> bool:
        """An answer; whether it grants what was asked.  The units are charged if it does."""
        current, fate = question.name == self.count_name(now_ns), question.fate
        if fate in (Fate.LOST, Fate.ENDED):
            if fate is Fate.LOST and current:
                self.added_after_all(now_ns, question)
            return False
        if fate is Fate.DOUBT:
            self.doubts.remove(question)
        self.end(question)
        self.told += question.amount
        if current and question.call < self.answered:
            # Out of turn, from another connection: a later total has shown it already, as if it were others'.
            self.mine += question.amount
            self.spend(now_ns, -question.amount)
        elif current:
            self.learn(now_ns, self.resolve(now_ns, question, total), question)
        if current and fate is Fate.OUT and question.units > 0 and self.room >= question.units:
            self.spend(now_ns, question.units)
            self.charged += question.units
            return True
        self.take_back(now_ns, question)
        return False

    def added_after_all(self, now_ns: int, question: Question) -> None:
        """What was told again as lost stands twice: the totals since then showed it as if it were others'."""
        question.fate = Fate.ENDED
        self.told += question.amount
        self.unreported -= question.amount
        self.mine += question.amount
        self.spend(now_ns, -question.amount)

    def resolve(self, now_ns: int, question: Question, total: float) -> float:
        """What the mark in a total tells of the calls in doubt; returns the total without marks."""
        body, digit = self.marks.read(total) if self.marks else (total, None)
        known, marked, ghost, self.answered = self.digit, self.marked, self.ghost, question.call
        self.digit = digit
        if self.marks and digit is not None:
            self.led = self.marks.led(total, digit)
        if self.marks is None or digit is None or known is None:
            self.marked = None if marked is question else marked
        else:
            turned = digit == self.marks.next(known, self.knows)
            if marked and (marked is question or digit != known):
                self.gone, self.marked = not turned, None
                if turned and marked.fate is Fate.DOUBT:
                    self.doubts.remove(marked)
                    self.landed(now_ns, marked)
            elif marked is None and turned and ghost:
                self.ghost = None
                if ghost.fate is Fate.LOST:
                    self.added_after_all(now_ns, ghost)
            elif marked is None:
                self.gone = digit != known and not (known == 0 and self.marks.base == 2)
        for doubt in self.doubts:  # guards against overrun: what is not seen in the total is told again
            self.lost(doubt)
        self.doubts.clear()
        return body

    def landed(self, now_ns: int, question: Question) -> None:
        """A call in doubt has been added."""
        self.out -= question.local
        self.told += question.amount
        question.fate = Fate.ENDED
        self.take_back(now_ns, question)
        if question.name == self.count_name(now_ns):
            if self.total is not None and self.window == now_ns // self.window_ns:
                self.total += question.amount
                self.mine += question.amount
            else:
                self.before += question.amount

    def lost(self, question: Question) -> None:
        """A call in doubt has not been added: what it told is to be told again."""
        question.fate = Fate.LOST
        self.out -= question.local
        self.unreported += question.local
        if self.marked is question:
            self.marked, self.ghost = None, question

    def take_back(self, now_ns: int, question: Question) -> None:
        """Units that were added and not granted: they are taken from the window in which they stand."""
        if question.name == self.count_name(now_ns):
            self.unreported -= question.units
        else:
            self.forgotten += question.units  # with their window

    def not_added(self, question: Question) -> None:
        """The counter turned the call away, or never got it; it may say so late."""
        if question.fate is Fate.DOUBT:
            self.doubts.remove(question)
            self.lost(question)
        elif question.fate is Fate.OUT:
            self.end(question)
            self.unreported += question.local
        if question in (self.marked, self.ghost):  # no mark of it can show any more
            self.marked = None if self.marked is question else self.marked
            self.ghost = None if self.ghost is question else self.ghost

    def missed(self, now_ns: int, question: Question) -> None:
        """No answer in time: it may have been added."""
        if question.fate is not Fate.OUT:
            return
        self.calls -= 1
        question.fate = Fate.DOUBT
        if question.name == self.count_name(now_ns):
            self.doubts.append(question)
        else:
            self.landed(now_ns, question)  # its window is over, and what it told with it

    def end(self, question: Question) -> None:
        self.calls -= question.fate is Fate.OUT
        self.out -= question.local
        question.fate = Fate.ENDED

    def learn(self, now_ns: int, total: float, question: Question) -> None:
        """Take from the room what others added since the last answer, or since the window began."""
        added, window = question.amount, now_ns // self.window_ns
        elapsed_s = now_ns % self.window_ns / SECOND_NS
        room = self.refill(now_ns)
        # A new window or lost counts, one case for both.
        lost = self.gone or total < self.mine + added - ROUNDING
        if self.total is not None and self.window == window:
            lost = lost or total - self.total - added < -self.most_taken_back
        self.gone = False
        if self.weather and self.weather.replaced_ns > self.replaced_ns:
            self.replaced_ns = self.weather.replaced_ns
            lost = lost or self.heard_ns < self.replaced_ns
        if now_ns - self.again_ns > TEACH_NS and self.again_ns > self.heard_ns - TEACH_NS:
            self.expected = 0.0  # whoever had something to tell again has told it: the rest is news
        if lost and self.total is not None and self.window == window:
            self.begin_again(now_ns, total - added, self.total)
        elif self.total is None or self.window != window:
            # What is missing from the store by this limiter's own account, but for what it tells just now.
            debt = max(0.0, self.burst - room - max(0.0, question.local))
            known, self.expected = self.total is not None, 0.0
            if known and (not self.led or total <= added + self.before + ROUNDING):
                # The first to call that knows it hands it on, or each window would grant a burst anew.
                self.unreported += debt
                self.handed += debt
            elif known and self.window + 1 == window:
                self.expected = debt
            self.window, self.total, self.mine, self.before = window, self.before, self.before, 0.0
            self.spilled = min(self.spilled, self.rate * elapsed_s)
        self.rejoined = False
        self.heard_ns = now_ns
        if self.withheld and self.weather and now_ns - self.weather.back_ns > TEACH_NS:
            self.room, self.withheld = min(self.burst, self.room + self.withheld), 0.0
        others = total - (self.total or 0.0) - added
        self.total, self.mine = total, self.mine + added
        # Guards against taking twice what this limiter knew of when the window began.
        again = min(self.expected, max(0.0, others))
        self.expected -= again
        others -= again
        # Guards against believing a customer seldom seen here to be spent: others took the spilled first.
        self.spend(now_ns, max(0.0, others - self.spilled) if others > 0 else others)
        self.spilled = 0.0

    def begin_again(self, now_ns: int, stands: float, knew: float) -> None:
        """A count that lost units in the middle of its window: each limiter tells its own share again.

        ``stands`` is what others are seen to have in it, ``knew`` the total that this limiter knew: what is
        seen to be missing is told.  What others tell again was taken from the room before (``expected``).  On
        another side of a split counter nothing is told: it never owed this limiter's part.  What others spent
        since this limiter heard last is nowhere to be read: they are taken to have spent their slices."""
        missing = min(1.0, max(0.0, 1.0 - stands / knew)) if knew > 0 else 1.0
        apart = self.part < 1.0 or self.rejoined
        again = 0.0 if apart else missing * max(0.0, self.mine)
        self.unreported += again
        self.handed += again
        unseen = 0.0 if apart else self.rate * (1 - 1 / self.set_size) * (now_ns - self.heard_ns) / SECOND_NS
        unseen = min(unseen, max(0.0, self.refill(now_ns)))
        self.spend(now_ns, unseen)
        self.expected = max(0.0, stands) if apart else max(0.0, knew - self.mine) + unseen
        self.total = self.mine = self.before = 0.0
        self.again_ns = now_ns

    def rescale(self, now_ns: int, part: float) -> None:
        """Keep to this side's part of rate and burst, or go back to the whole.

        What is in the store is divided when a side shrinks.  When it grows again nothing is added: what the
        others had left is theirs until it has refilled, so that coming back is no second burst."""
        room, change = self.refill(now_ns), part / self.part
        self.rate, self.burst = self.rate * change, self.burst * change
        if change < 1:
            self.room = min(room, self.burst) if room < 0 else room * change
        self.rejoined, self.part = change > 1, part

    def lean(self, now_ns: int) -> None:
        """When the counter falls silent the slice is all: it holds no more than its part of the room then.

        Guards against a slice that stood full while grants spent what all slices share."""
        if self.weather is None or self.leaned_ns == self.weather.unheard_ns:
            return
        self.leaned_ns = self.weather.unheard_ns
        share = max(0.0, self.refill(now_ns)) / self.set_size
        self.bucket.stored_permits = min(self.bucket.stored_permits, share)

    def check(self) -> float:
        """How far the books are from balanced, in units: 0 but for rounding."""
        return self.told + self.unreported + self.out - self.charged - self.handed - self.forgotten
