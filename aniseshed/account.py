"""A customer's quota as one limiter sees it: slice, belief of the whole store, word to the counter.

The counter keeps one number for a customer and a window of time: the sum of what all limiters told it.

- *Who tells what.*  Units are told once, by the limiter that charged them, with a question or later. Those
  asked for and not granted, or charged for a request of which nothing was sent, are taken back.
- *A new window* begins at zero, though the store does not.  The first limiter to call hands on what is
  missing from the store by its own account.  Others must not take that twice (``expected``).
- *Silence.*  A call that timed out is in doubt until an answer comes: its own, late, or the next total of
  its name, whose mark tells whether it was added (``aniseshed/sequence_digits.py``).  What was not added is
  told again.

Every unit is accounted for: ``reported + unreported + in_flight`` is
``charged + carried_over + expired`` after every step.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from aniseshed.counter_call import CallStatus, CounterCall
from aniseshed.counter_health import CounterHealth
from aniseshed.partition import CUSTOMER_BITS, SECOND_NS
from aniseshed.sequence_digits import SequenceDigits

# Lifetime of a total, in times that the burst takes to refill.  Long, because each end of a window loses what
# was not reported by then.
WINDOW_BURSTS = 2.5
MAX_WINDOW_NS = 60 * SECOND_NS  # no counter keeps a key longer
# Lowest balance, in bursts: the largest debt that requests beyond the quota can leave.
MIN_BALANCE_BURSTS = -0.5
# Local charges are reported by a call of their own once they reach this share of the limiter's slice of the
# remaining balance.
REPORT_SHARE = 0.12
# How long a call that is presumed lost may still be added.  In that time no other call advances the digit:
# two advances at once would carry into the next digit.
LATE_CALL_NS = SECOND_NS
# The most that a total decreases as others take back units: asked for and refused at each of a few limiters.
# In units, and in bursts.
TOTAL_DECREASE_UNITS, TOTAL_DECREASE_BURSTS = 4.0, 0.1
# Time within which all limiters report again what a reset total has lost.
RESYNC_NS = 2 * SECOND_NS
ROUNDING_UNITS = 0.01  # totals come with seven digits
# Initial estimate of the calls, by all limiters together, that the counter serves within one time-out.
CALLS_PER_TIMEOUT = 20.0
# Factors of the interval between calls for an answer and for a miss.
CALL_INTERVAL_DECREASE, CALL_INTERVAL_INCREASE = 0.97, 1.3
# Largest factor by which the interval departs from its initial value, and by which misses in a row extend it.
MAX_INTERVAL_FACTOR = 8.0
# Calls that a quiet period saves up for a busy one.  Reports of local charges leave half of them.
CALL_BURST = 4.0


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


class CallPacer:
    """Guards against a counter so crowded or slow that it answers nobody: each limiter paces its calls by
    what it sees.  Could refuse where a slow counter would still have answered."""

    def __init__(self, limiters: int, timeout_ns: int) -> None:
        self.interval_ns = self.initial_interval_ns = max(1, limiters * timeout_ns / CALLS_PER_TIMEOUT)
        self.tokens = SmoothBursty(0, SECOND_NS / self.interval_ns, CALL_BURST, CALL_BURST)
        self.consecutive_misses = 0  # in a row

    def is_free(self, now_ns: int, saved: float) -> bool:
        """Whether a call may go now that leaves all but ``saved`` of those saved up."""
        self.tokens.resync(now_ns)
        return self.tokens.next_free_ticket_ns <= now_ns and self.tokens.stored_permits >= saved

    def on_call(self) -> None:
        self.tokens.reserve(1.0)

    def on_result(self, heard: bool) -> None:
        """An answer speeds up a little, the first miss of a row slows down, and each further one more."""
        change = (
            CALL_INTERVAL_DECREASE
            if heard
            else CALL_INTERVAL_INCREASE
            if not self.consecutive_misses
            else 1.0
        )
        self.interval_ns = min(
            max(self.interval_ns * change, self.initial_interval_ns / MAX_INTERVAL_FACTOR),
            self.initial_interval_ns * MAX_INTERVAL_FACTOR,
        )
        # Guards against an overflow in a long outage.
        self.consecutive_misses = 0 if heard else min(self.consecutive_misses + 1, int(MAX_INTERVAL_FACTOR))
        self.tokens.stable_interval_ns = self.interval_ns * min(
            2.0**self.consecutive_misses, MAX_INTERVAL_FACTOR
        )

    def on_recovered(self, now_ns: int) -> None:
        """The counter answers again: guards against waiting out a gap that only its silence had made."""
        self.consecutive_misses, self.tokens.stable_interval_ns = 0, self.interval_ns
        self.tokens.next_free_ticket_ns = min(
            self.tokens.next_free_ticket_ns, now_ns + round(self.interval_ns)
        )


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
    balance: float  # what the whole quota is believed to hold
    balance_ns: int
    last_used_ns: int
    overflow: float = math.inf  # refill that found no place since the last answer
    total: float | None = None  # of the count at the last answer
    own_units: float = 0.0  # what this limiter added in the count's present life
    total_window: int = 0  # of the last answer
    call_window: int = 0  # of the last question
    expected_debt: float = 0.0  # of the debt that another hands on in this window: it is in the room already
    unreported: float = 0.0
    counter_health: CounterHealth | None = None  # of the counter, one for all accounts of a limiter
    silence_ns: int = 0  # of the counter, up to the last refill
    withheld_refill: float = 0.0  # refill of that time which others may have spent
    slice_capped_ns: int = -1  # the silence in which the slice was cut to its part of the room
    digits: SequenceDigits | None = None
    digit: int | None = None  # this limiter's, in the count as last seen; None: not known
    digit_call: CounterCall | None = None  # the one call that turns the digit and is not resolved
    uncertain_calls: list[CounterCall] = field(default_factory=list)  # of the present name, by number
    known_before: bool = False  # it asked of the customer before the present window
    others_knew: bool = True  # so did another limiter, which has marked the present count
    total_lost: bool = False  # the mark shows that the count has lost what was added
    quota_share: float = 1.0  # of the quota that belongs to this side of a split counter
    split_healed: bool = False  # a split has healed: totals of the other side are no news
    answered_ns: int = 0  # the last total
    reset_ns: int = -(1 << 62)  # when a count was last found to have begun again
    replaced_ns: int = -(1 << 62)  # the last replacement, as the roll told it, that this account knows of
    late_digit_call: CounterCall | None = None  # the last marked call taken for lost: it may yet be added
    early_units: float = 0.0  # of this limiter's units in a count of which no total has been learnt
    answered_call_id: int = 0  # the latest call whose answer came
    open_attempts: int = 0  # attempts out
    open_calls: int = 0  # questions out
    reported: float = field(default=0.0)  # the books: see imbalance()
    in_flight: float = 0.0
    charged: float = 0.0
    carried_over: float = 0.0
    expired: float = 0.0

    @classmethod
    def create(
        cls,
        now_ns: int,
        name: int,
        set_size: float,
        quota: tuple[float, float],
        ceiling: tuple[float, float],
        place: tuple[int, int] = (-1, 1),
        lived_ns: int = 0,
        weather: CounterHealth | None = None,
    ) -> Account:
        """An unseen customer: full, by its slice and by belief.

        Quota and ceiling are rate and burst; a rate of 0 is none.  The slice of a ceiling starts empty:
        a start forgets what was spent.  ``place`` is this limiter's digit of the marks and their number,
        ``lived_ns`` how long it has run: one that lives longer than a window has no mark of its own in it."""
        rate, burst = quota if min(quota) > 0 else (1.0, 1.0)
        part = (ceiling[0] / set_size, ceiling[1] / set_size, 0.0)
        if ceiling[0] <= 0:
            part = (1.0, math.inf, math.inf)
        window_ns = min(round(WINDOW_BURSTS * burst / rate * SECOND_NS), MAX_WINDOW_NS)
        return cls(
            name=name,
            counter_health=weather,
            silence_ns=weather.total_silence_ns(now_ns) if weather else 0,
            digits=SequenceDigits.for_burst(burst, *place),
            digit=0 if lived_ns > window_ns else None,
            rate=rate,
            burst=burst,
            set_size=set_size,
            bucket=SmoothBursty(now_ns, rate / set_size, burst / set_size, burst / set_size),
            ceiling=SmoothBursty(now_ns, *part),
            window_ns=window_ns,
            balance=burst,
            balance_ns=now_ns,
            last_used_ns=now_ns,
        )

    def counter_key(self, now_ns: int) -> int:
        """The name of the present window's count; all limiters come to the same by their clocks."""
        return (self.name + (now_ns // self.window_ns << CUSTOMER_BITS)) % (1 << 64)

    def refill(self, now_ns: int) -> float:
        passed_ns = now_ns - self.balance_ns
        if self.counter_health:
            # Guards against a burst for each limiter when the counter is back: while it was silent the others
            # spent their slices unseen.
            silence_ns = self.counter_health.total_silence_ns(now_ns)
            unsure_ns = round((silence_ns - self.silence_ns) * (1 - 1 / self.set_size))
            passed_ns, self.silence_ns = passed_ns - unsure_ns, silence_ns
            self.withheld_refill = min(self.burst, self.withheld_refill + self.rate * unsure_ns / SECOND_NS)
        full = self.balance + self.rate * passed_ns / SECOND_NS
        self.balance, self.balance_ns = min(self.burst, full), now_ns
        self.overflow += full - self.balance
        return self.balance

    def spend(self, now_ns: int, units: float) -> None:
        """Take units from the room, or put them back if below 0; a debt has a floor."""
        self.balance = min(self.burst, max(self.refill(now_ns) - units, MIN_BALANCE_BURSTS * self.burst))

    def charge(self, now_ns: int, units: float) -> None:
        """Units that this limiter spends by itself; the counter is told later."""
        self.spend(now_ns, units)
        self.unreported += units
        self.charged += units

    def refund(self, now_ns: int, units: float, from_slice: bool) -> None:
        """Units that were charged and never used."""
        self.charge(now_ns, -units)
        if from_slice:
            self.bucket.reserve(-units)

    @property
    def max_total_decrease(self) -> float:
        """Units that others may take back between two totals; one that falls further is an older one."""
        return TOTAL_DECREASE_UNITS + TOTAL_DECREASE_BURSTS * self.burst

    def has_reported_in_window(self, now_ns: int) -> bool:
        """Whether this limiter has told the present count something."""
        return self.own_units > 0 and self.total_window == now_ns // self.window_ns

    def has_refund_to_report(self) -> bool:
        """Units that were asked and not granted stand in everyone's way."""
        return self.unreported <= -self.min_report_units

    @property
    def min_report_units(self) -> float:
        """The least amount that is worth a call, in units: less is what rounding leaves."""
        return self.digits.quantum if self.digits else ROUNDING_UNITS

    def is_report_due(self) -> bool:
        """Unreported spends are an error in everyone's view: it is kept to a part of the room left."""
        return self.unreported >= max(self.min_report_units, REPORT_SHARE * self.balance / self.set_size)

    def start_call(self, now_ns: int, request_id: int, units: float, call: int = 0) -> CounterCall:
        """A question for these units, which tells all local spends since the last one."""
        window = now_ns // self.window_ns
        if window != self.call_window:
            self.start_window(now_ns, window)
        local = self.unreported
        if self.digits:  # guards against a fraction of a unit being read as somebody's mark
            local = self.digits.round_up(units + local) - units
        self.unreported -= local
        self.in_flight += local
        self.open_calls += 1
        question = CounterCall(self, request_id, self.counter_key(now_ns), units, local, call, now_ns)
        if self.late_digit_call and now_ns - self.late_digit_call.started_ns > LATE_CALL_NS:
            self.late_digit_call = None
        if self.digits and self.digit_call is self.late_digit_call is None and self.digit is not None:
            turn = self.digits.next_digit(self.digit, self.known_before) - self.digit
            question.digit_amount, self.digit_call = self.digits.weight * turn, question
        return question

    def start_window(self, now_ns: int, window: int) -> None:
        """Keep to the window: nothing is taken back from another, nothing told that has long refilled."""
        for question in self.uncertain_calls:
            self.on_added(now_ns, question)
        if self.call_window and self.digits and self.digits.weight:
            self.digit = 0  # it was here before this window began: no mark of its own can stand in it
        owed = min(max(0.0, self.unreported), max(0.0, self.burst - self.refill(now_ns)))
        self.expired += owed - self.unreported
        self.known_before, self.unreported, self.call_window = self.call_window > 0, owed, window
        self.uncertain_calls, self.digit_call, self.late_digit_call, self.early_units = (
            [],
            None,
            None,
            0.0,
        )

    def on_answer(self, now_ns: int, question: CounterCall, total: float) -> bool:
        """An answer; whether it grants what was asked.  The units are charged if it does."""
        current, fate = question.key == self.counter_key(now_ns), question.status
        if fate in (CallStatus.LOST, CallStatus.RESOLVED):
            if fate is CallStatus.LOST and current:
                self.on_late_addition(now_ns, question)
            return False
        if fate is CallStatus.UNCERTAIN:
            self.uncertain_calls.remove(question)
        self.finish_call(question)
        self.reported += question.amount
        if current and question.call_id < self.answered_call_id:
            # Out of turn, from another connection: a later total has shown it already, as if it were others'.
            self.own_units += question.amount
            self.spend(now_ns, -question.amount)
        elif current:
            self.update_from_total(now_ns, self.resolve_uncertain(now_ns, question, total), question)
        if current and fate is CallStatus.IN_FLIGHT and question.units > 0 and self.balance >= question.units:
            self.spend(now_ns, question.units)
            self.charged += question.units
            return True
        self.reverse_ungranted(now_ns, question)
        return False

    def on_late_addition(self, now_ns: int, question: CounterCall) -> None:
        """What was told again as lost stands twice: the totals since then showed it as if it were others'."""
        question.status = CallStatus.RESOLVED
        self.reported += question.amount
        self.unreported -= question.amount
        self.own_units += question.amount
        self.spend(now_ns, -question.amount)

    def resolve_uncertain(self, now_ns: int, question: CounterCall, total: float) -> float:
        """What the mark in a total tells of the calls in doubt; returns the total without marks."""
        body, digit = self.digits.decode(total) if self.digits else (total, None)
        known, marked, ghost, self.answered_call_id = (
            self.digit,
            self.digit_call,
            self.late_digit_call,
            question.call_id,
        )
        self.digit = digit
        if self.digits and digit is not None:
            self.others_knew = self.digits.others_knew(total, digit)
        if self.digits is None or digit is None or known is None:
            self.digit_call = None if marked is question else marked
        else:
            turned = digit == self.digits.next_digit(known, self.known_before)
            if marked and (marked is question or digit != known):
                self.total_lost, self.digit_call = not turned, None
                if turned and marked.status is CallStatus.UNCERTAIN:
                    self.uncertain_calls.remove(marked)
                    self.on_added(now_ns, marked)
            elif marked is None and turned and ghost:
                self.late_digit_call = None
                if ghost.status is CallStatus.LOST:
                    self.on_late_addition(now_ns, ghost)
            elif marked is None:
                self.total_lost = digit != known and not (known == 0 and self.digits.base == 2)
        for doubt in self.uncertain_calls:  # guards against overrun: what is not seen is told again
            self.on_lost(doubt)
        self.uncertain_calls.clear()
        return body

    def on_added(self, now_ns: int, question: CounterCall) -> None:
        """A call in doubt has been added."""
        self.in_flight -= question.local_units
        self.reported += question.amount
        question.status = CallStatus.RESOLVED
        self.reverse_ungranted(now_ns, question)
        if question.key == self.counter_key(now_ns):
            if self.total is not None and self.total_window == now_ns // self.window_ns:
                self.total += question.amount
                self.own_units += question.amount
            else:
                self.early_units += question.amount

    def on_lost(self, question: CounterCall) -> None:
        """A call in doubt has not been added: what it told is to be told again."""
        question.status = CallStatus.LOST
        self.in_flight -= question.local_units
        self.unreported += question.local_units
        if self.digit_call is question:
            self.digit_call, self.late_digit_call = None, question

    def reverse_ungranted(self, now_ns: int, question: CounterCall) -> None:
        """Units that were added and not granted: they are taken from the window in which they stand."""
        if question.key == self.counter_key(now_ns):
            self.unreported -= question.units
        else:
            self.expired += question.units  # with their window

    def on_rejected(self, question: CounterCall) -> None:
        """The counter turned the call away, or never got it; it may say so late."""
        if question.status is CallStatus.UNCERTAIN:
            self.uncertain_calls.remove(question)
            self.on_lost(question)
        elif question.status is CallStatus.IN_FLIGHT:
            self.finish_call(question)
            self.unreported += question.local_units
        if question in (self.digit_call, self.late_digit_call):  # no mark of it can show any more
            self.digit_call = None if self.digit_call is question else self.digit_call
            self.late_digit_call = None if self.late_digit_call is question else self.late_digit_call

    def on_timeout(self, now_ns: int, question: CounterCall) -> None:
        """No answer in time: it may have been added."""
        if question.status is not CallStatus.IN_FLIGHT:
            return
        self.open_calls -= 1
        question.status = CallStatus.UNCERTAIN
        if question.key == self.counter_key(now_ns):
            self.uncertain_calls.append(question)
        else:
            self.on_added(now_ns, question)  # its window is over, and what it told with it

    def finish_call(self, question: CounterCall) -> None:
        self.open_calls -= question.status is CallStatus.IN_FLIGHT
        self.in_flight -= question.local_units
        question.status = CallStatus.RESOLVED

    def update_from_total(self, now_ns: int, total: float, question: CounterCall) -> None:
        """Take from the room what others added since the last answer, or since the window began."""
        added, window = question.amount, now_ns // self.window_ns
        elapsed_s = now_ns % self.window_ns / SECOND_NS
        room = self.refill(now_ns)
        # A new window or lost counts, one case for both.
        lost = self.total_lost or total < self.own_units + added - ROUNDING_UNITS
        if self.total is not None and self.total_window == window:
            lost = lost or total - self.total - added < -self.max_total_decrease
        self.total_lost = False
        if self.counter_health and self.counter_health.replaced_ns > self.replaced_ns:
            self.replaced_ns = self.counter_health.replaced_ns
            lost = lost or self.answered_ns < self.replaced_ns
        if now_ns - self.reset_ns > RESYNC_NS and self.reset_ns > self.answered_ns - RESYNC_NS:
            self.expected_debt = 0.0  # whoever had something to tell again has told it: the rest is news
        if lost and self.total is not None and self.total_window == window:
            self.recover_lost_total(now_ns, total - added, self.total)
        elif self.total is None or self.total_window != window:
            # What is missing from the store by this limiter's own account, but for what it tells just now.
            debt = max(0.0, self.burst - room - max(0.0, question.local_units))
            known, self.expected_debt = self.total is not None, 0.0
            if known and (not self.others_knew or total <= added + self.early_units + ROUNDING_UNITS):
                # The first to call that knows it hands it on, or each window would grant a burst anew.
                self.unreported += debt
                self.carried_over += debt
            elif known and self.total_window + 1 == window:
                self.expected_debt = debt
            self.total_window, self.total, self.own_units, self.early_units = (
                window,
                self.early_units,
                self.early_units,
                0.0,
            )
            self.overflow = min(self.overflow, self.rate * elapsed_s)
        self.split_healed = False
        self.answered_ns = now_ns
        if (
            self.withheld_refill
            and self.counter_health
            and now_ns - self.counter_health.recovered_ns > RESYNC_NS
        ):
            self.balance, self.withheld_refill = min(self.burst, self.balance + self.withheld_refill), 0.0
        others = total - (self.total or 0.0) - added
        self.total, self.own_units = total, self.own_units + added
        # Guards against taking twice what this limiter knew of when the window began.
        again = min(self.expected_debt, max(0.0, others))
        self.expected_debt -= again
        others -= again
        # Guards against believing a customer seldom seen here to be spent: others took the spilled first.
        self.spend(now_ns, max(0.0, others - self.overflow) if others > 0 else others)
        self.overflow = 0.0

    def recover_lost_total(self, now_ns: int, stands: float, knew: float) -> None:
        """A count that lost units in the middle of its window: each limiter tells its own share again.

        ``stands`` is what others are seen to have in it, ``knew`` the total that this limiter knew: what is
        seen to be missing is told.  What others tell again was taken from the room before (``expected``).  On
        another side of a split counter nothing is told: it never owed this limiter's part.  What others spent
        since this limiter heard last is nowhere to be read: they are taken to have spent their slices."""
        missing = min(1.0, max(0.0, 1.0 - stands / knew)) if knew > 0 else 1.0
        apart = self.quota_share < 1.0 or self.split_healed
        again = 0.0 if apart else missing * max(0.0, self.own_units)
        self.unreported += again
        self.carried_over += again
        unseen = (
            0.0 if apart else self.rate * (1 - 1 / self.set_size) * (now_ns - self.answered_ns) / SECOND_NS
        )
        unseen = min(unseen, max(0.0, self.refill(now_ns)))
        self.spend(now_ns, unseen)
        self.expected_debt = max(0.0, stands) if apart else max(0.0, knew - self.own_units) + unseen
        self.total = self.own_units = self.early_units = 0.0
        self.reset_ns = now_ns

    def rescale(self, now_ns: int, part: float) -> None:
        """Keep to this side's part of rate and burst, or go back to the whole.

        What is in the store is divided when a side shrinks.  When it grows again nothing is added: what the
        others had left is theirs until it has refilled, so that coming back is no second burst."""
        room, change = self.refill(now_ns), part / self.quota_share
        self.rate, self.burst = self.rate * change, self.burst * change
        if change < 1:
            self.balance = min(room, self.burst) if room < 0 else room * change
        self.split_healed, self.quota_share = change > 1, part

    def cap_slice(self, now_ns: int) -> None:
        """When the counter falls silent the slice is all: it holds no more than its part of the room then.

        Guards against a slice that stood full while grants spent what all slices share."""
        if self.counter_health is None or self.slice_capped_ns == self.counter_health.first_miss_ns:
            return
        self.slice_capped_ns = self.counter_health.first_miss_ns
        share = max(0.0, self.refill(now_ns)) / self.set_size
        self.bucket.stored_permits = min(self.bucket.stored_permits, share)

    def imbalance(self) -> float:
        """How far the books are from balanced, in units: 0 but for rounding."""
        return (
            self.reported + self.unreported + self.in_flight - self.charged - self.carried_over - self.expired
        )
