"""A customer's quota at one limiter: its slice, an estimate of the whole balance, and its reports.

The counter keeps one total per customer and time window: the sum of what all limiters reported.

- *Reports.*  The limiter that charged units reports them, once: with the next call that asks for units, or
  with a call of its own.  Units asked for and not granted, or charged for a request that was never
  sent, are taken back.
- *A new window* begins with a total of zero, though the balance does not start anew.  The first limiter to
  call carries over what is missing from its own balance.  The others must not subtract that a
  second time (``expected_debt``).
- *Timed-out calls* are uncertain until they are resolved: by their own late answer, or by the next total
  under the same key, whose sequence digit shows whether they were added (``aniseshed/sequence_digits.py``).
  What was not added is reported again.

Every unit is accounted for.  After every step ``reported + unreported + in_flight`` equals
``charged + carried_over + expired``.
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
MAX_WINDOW_NS = 60 * SECOND_NS  # Counters keep a key for at most 60 s.
# Lowest balance, in bursts: the largest debt that requests beyond the quota can leave.
MIN_BALANCE_BURSTS = -0.5
# Local charges are reported by a call of their own once they reach this share of the limiter's slice of the
# remaining balance.
REPORT_SHARE = 0.12
# How long a call that is presumed lost may still be added.  In that time no other call advances the digit:
# two advances at once would carry into the next digit.
LATE_CALL_NS = SECOND_NS
# Largest decrease of a total between two reads, in units and in bursts: a few other limiters take back units
# that they asked for and were refused.
TOTAL_DECREASE_UNITS, TOTAL_DECREASE_BURSTS = 4.0, 0.1
# Time within which all limiters report again what a reset total has lost.
RESYNC_NS = 2 * SECOND_NS
ROUNDING_UNITS = 0.01  # Totals have seven significant digits, so smaller differences may be rounding.
# Initial estimate of the calls, by all limiters together, that the counter serves within one time-out.
CALLS_PER_TIMEOUT = 20.0
# Factors of the interval between calls for an answer and for a miss.
CALL_INTERVAL_DECREASE, CALL_INTERVAL_INCREASE = 0.97, 1.3
# Largest factor by which the interval departs from its initial value, and by which misses in a row extend it.
MAX_INTERVAL_FACTOR = 8.0
# Calls that a quiet period saves up for a busy one.  Reports of local charges leave half of them.
CALL_BURST = 4.0


class SmoothBursty:
    """Guava's token bucket: stored permits are used first; a shortfall is taken in advance from future ones.

    The next caller waits for what was taken in advance.
    """

    def __init__(self, now_ns: int, rate: float, burst: float, stored: float) -> None:
        self.stored_permits, self.max_permits = stored, burst
        self.stable_interval_ns, self.next_free_ticket_ns = SECOND_NS / rate, now_ns

    def resync(self, now_ns: int) -> None:
        if now_ns > self.next_free_ticket_ns:
            new_permits = (now_ns - self.next_free_ticket_ns) / self.stable_interval_ns
            self.stored_permits = min(self.max_permits, self.stored_permits + new_permits)
            self.next_free_ticket_ns = now_ns

    def reserve(self, permits: float) -> int:
        """Take permits and return the ticket: the time in nanoseconds at which they are free.

        A negative number gives permits back, as settling a request may.
        """
        ticket_ns, spend = self.next_free_ticket_ns, min(permits, self.stored_permits)
        self.stored_permits = min(self.max_permits, self.stored_permits - spend)
        self.next_free_ticket_ns += round((permits - spend) * self.stable_interval_ns)
        return ticket_ns


class CallPacer:
    """Limits the rate of one limiter's calls to the counter by how the counter answers.

    Without it, calls could crowd a slow counter until it answers none of them.  It may refuse a call that a
    slow counter would still have answered.
    """

    def __init__(self, limiters: int, timeout_ns: int) -> None:
        self.interval_ns = self.initial_interval_ns = max(1, limiters * timeout_ns / CALLS_PER_TIMEOUT)
        self.tokens = SmoothBursty(0, SECOND_NS / self.interval_ns, CALL_BURST, CALL_BURST)
        self.consecutive_misses = 0

    def is_free(self, now_ns: int, saved: float) -> bool:
        """Whether a call may be made now that needs at least ``saved`` calls saved up."""
        self.tokens.resync(now_ns)
        return self.tokens.next_free_ticket_ns <= now_ns and self.tokens.stored_permits >= saved

    def on_call(self) -> None:
        self.tokens.reserve(1.0)

    def on_result(self, answered: bool) -> None:
        """Adjust the interval between calls.

        An answer shortens it a little.  The first of several misses in a row lengthens it, and each further
        one delays the next call exponentially.
        """
        change = (
            CALL_INTERVAL_DECREASE
            if answered
            else CALL_INTERVAL_INCREASE
            if not self.consecutive_misses
            else 1.0
        )
        self.interval_ns = min(
            max(self.interval_ns * change, self.initial_interval_ns / MAX_INTERVAL_FACTOR),
            self.initial_interval_ns * MAX_INTERVAL_FACTOR,
        )
        # Bounded, because 2 to the number of misses would overflow in a long outage.
        self.consecutive_misses = (
            0 if answered else min(self.consecutive_misses + 1, int(MAX_INTERVAL_FACTOR))
        )
        self.tokens.stable_interval_ns = self.interval_ns * min(
            2.0**self.consecutive_misses, MAX_INTERVAL_FACTOR
        )

    def on_recovered(self, now_ns: int) -> None:
        """The counter answers again: drop the delay that misses added, which only its silence had caused."""
        self.consecutive_misses, self.tokens.stable_interval_ns = 0, self.interval_ns
        self.tokens.next_free_ticket_ns = min(
            self.tokens.next_free_ticket_ns, now_ns + round(self.interval_ns)
        )


@dataclass(slots=True, eq=False)
class Account:
    """One customer's quota at one limiter.

    Times are in nanoseconds, amounts in units, ``rate`` in units per second.
    """

    name: int  # the customer's number
    rate: float
    burst: float
    set_size: float  # limiters over which the customer's requests are spread
    bucket: SmoothBursty  # this limiter's slice of the quota
    ceiling: SmoothBursty  # this limiter's slice of the ceiling
    window_ns: int
    balance: float  # estimate of what the whole quota still holds
    balance_ns: int  # time of the last refill
    last_used_ns: int
    overflow: float = math.inf  # refill beyond the full balance since the last answer
    total: float | None = None  # the counter's total at the last answer
    own_units: float = 0.0  # what this limiter has added to the total since it last began at zero
    total_window: int = 0  # window of the last answer
    call_window: int = 0  # window of the last call
    expected_debt: float = 0.0  # part of the balance's debt that another carries over in this window
    unreported: float = 0.0
    counter_health: CounterHealth | None = None  # shared by all accounts of a limiter
    silence_ns: int = 0  # the counter's total silence at the last refill
    withheld_refill: float = 0.0  # refill during a silence: others may have spent it and not reported it yet
    slice_capped_ns: int = -1  # start of the silence in which the slice was cut to its share of the balance
    digits: SequenceDigits | None = None
    digit: int | None = None  # this limiter's digit in the last total; None if unknown
    digit_call: CounterCall | None = None  # the one unresolved call that advances the digit
    uncertain_calls: list[CounterCall] = field(default_factory=list)  # of the current key, by call id
    known_before: bool = False  # this limiter made a call for the customer before the current window
    others_knew: bool = True  # so did another limiter, which has advanced its digit in the current total
    total_lost: bool = False  # the digit shows that the total has lost what was added
    quota_share: float = 1.0  # share of the quota that belongs to this side of a split counter
    split_healed: bool = False  # a split has healed: what the other side had counted is not new
    answered_ns: int = 0  # time of the last total
    reset_ns: int = -(1 << 62)  # when a total was last found to have started again from zero
    replaced_ns: int = -(1 << 62)  # last replacement seen by the heartbeats that this account has handled
    late_digit_call: CounterCall | None = None  # last digit call presumed lost; it may still be added
    early_units: float = 0.0  # units of this limiter in a total that it has not read yet
    answered_call_id: int = 0  # highest id of a call that was answered
    open_attempts: int = 0
    open_calls: int = 0
    reported: float = field(default=0.0)  # this and the next four: see imbalance()
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
        digit_position: tuple[int, int] = (-1, 1),
        uptime_ns: int = 0,
        counter_health: CounterHealth | None = None,
    ) -> Account:
        """The account of a customer not seen before: full, both its slice and the balance.

        ``quota`` and ``ceiling`` are rate and burst; a rate of 0 means none.  The slice of a ceiling starts
        empty, because a limiter that starts does not know what was spent.  ``digit_position`` is the position
        of this limiter's sequence digit and the number of digits.  ``uptime_ns`` is how long the limiter has
        run: if that is longer than a window, the current total holds no digit of its own.
        """
        rate, burst = quota if min(quota) > 0 else (1.0, 1.0)
        ceiling_slice = (ceiling[0] / set_size, ceiling[1] / set_size, 0.0)
        if ceiling[0] <= 0:
            ceiling_slice = (1.0, math.inf, math.inf)
        window_ns = min(round(WINDOW_BURSTS * burst / rate * SECOND_NS), MAX_WINDOW_NS)
        return cls(
            name=name,
            counter_health=counter_health,
            silence_ns=counter_health.total_silence_ns(now_ns) if counter_health else 0,
            digits=SequenceDigits.for_burst(burst, *digit_position),
            digit=0 if uptime_ns > window_ns else None,
            rate=rate,
            burst=burst,
            set_size=set_size,
            bucket=SmoothBursty(now_ns, rate / set_size, burst / set_size, burst / set_size),
            ceiling=SmoothBursty(now_ns, *ceiling_slice),
            window_ns=window_ns,
            balance=burst,
            balance_ns=now_ns,
            last_used_ns=now_ns,
        )

    def counter_key(self, now_ns: int) -> int:
        """The key of the current window's total; all limiters derive the same one from their clocks."""
        return (self.name + (now_ns // self.window_ns << CUSTOMER_BITS)) % (1 << 64)

    def refill(self, now_ns: int) -> float:
        """Add to the balance what has refilled since the last call, and return it."""
        elapsed_ns = now_ns - self.balance_ns
        if self.counter_health:
            # While the counter is silent the others spend their slices without reporting it.  With their part
            # of the refill in the balance, each limiter could grant a burst once the counter is back.
            silence_ns = self.counter_health.total_silence_ns(now_ns)
            unsure_ns = round((silence_ns - self.silence_ns) * (1 - 1 / self.set_size))
            elapsed_ns, self.silence_ns = elapsed_ns - unsure_ns, silence_ns
            self.withheld_refill = min(self.burst, self.withheld_refill + self.rate * unsure_ns / SECOND_NS)
        full = self.balance + self.rate * elapsed_ns / SECOND_NS
        self.balance, self.balance_ns = min(self.burst, full), now_ns
        self.overflow += full - self.balance
        return self.balance

    def spend(self, now_ns: int, units: float) -> None:
        """Take units from the balance, or put them back if below 0; the debt is bounded."""
        self.balance = min(self.burst, max(self.refill(now_ns) - units, MIN_BALANCE_BURSTS * self.burst))

    def charge(self, now_ns: int, units: float) -> None:
        """Charge units without asking the counter; they are reported later."""
        self.spend(now_ns, units)
        self.unreported += units
        self.charged += units

    def refund(self, now_ns: int, units: float, from_slice: bool) -> None:
        """Give back units that were charged and not used, to the slice too if they came from it."""
        self.charge(now_ns, -units)
        if from_slice:
            self.bucket.reserve(-units)

    def is_unused(self) -> bool:
        """Whether the account is as good as a new one: nothing was charged to it or asked for it.

        One with a ceiling never is, because the slice of a ceiling starts empty."""
        in_use = self.charged or self.call_window or self.open_calls or self.open_attempts
        return not in_use and math.isinf(self.ceiling.stored_permits)

    @property
    def max_total_decrease(self) -> float:
        """Units that others may take back between two totals; one that falls further is an older total."""
        return TOTAL_DECREASE_UNITS + TOTAL_DECREASE_BURSTS * self.burst

    def has_reported_in_window(self, now_ns: int) -> bool:
        """Whether this limiter has added to the current window's total."""
        return self.own_units > 0 and self.total_window == now_ns // self.window_ns

    def has_refund_to_report(self) -> bool:
        """Whether units that were asked for and not granted still count against the customer everywhere."""
        return self.unreported <= -self.min_report_units

    @property
    def min_report_units(self) -> float:
        """The smallest amount that is worth a call: less may come from rounding."""
        return self.digits.quantum if self.digits else ROUNDING_UNITS

    def is_report_due(self) -> bool:
        """Whether the unreported units are too large a part of the remaining balance.

        They are an error in every other limiter's balance.
        """
        return self.unreported >= max(self.min_report_units, REPORT_SHARE * self.balance / self.set_size)

    def start_call(self, now_ns: int, request_id: int, units: float, call_id: int = 0) -> CounterCall:
        """Start a call that asks for these units and reports all local charges since the last call."""
        window = now_ns // self.window_ns
        if window != self.call_window:
            self.start_window(now_ns, window)
        local_units = self.unreported
        if self.digits:  # a fraction of a quantum would be read as somebody's digit
            local_units = self.digits.round_up(units + local_units) - units
        self.unreported -= local_units
        self.in_flight += local_units
        self.open_calls += 1
        call = CounterCall(self, request_id, self.counter_key(now_ns), units, local_units, call_id, now_ns)
        if self.late_digit_call and now_ns - self.late_digit_call.started_ns > LATE_CALL_NS:
            self.late_digit_call = None
        if self.digits and self.digit_call is self.late_digit_call is None and self.digit is not None:
            advance = self.digits.next_digit(self.digit, self.known_before) - self.digit
            call.digit_amount, self.digit_call = self.digits.weight * advance, call
        return call

    def start_window(self, now_ns: int, window: int) -> None:
        """Begin a new window.

        Nothing is taken back from another window's total, and nothing is reported that has refilled since.
        """
        for call in self.uncertain_calls:
            self.on_added(now_ns, call)
        if self.call_window and self.digits and self.digits.weight:
            self.digit = 0  # running before this window began, the limiter has no digit in the new total
        owed = min(max(0.0, self.unreported), max(0.0, self.burst - self.refill(now_ns)))
        self.expired += owed - self.unreported
        self.known_before, self.unreported, self.call_window = self.call_window > 0, owed, window
        self.uncertain_calls, self.digit_call, self.late_digit_call, self.early_units = [], None, None, 0.0

    def on_answer(self, now_ns: int, call: CounterCall, total: float) -> bool:
        """Handle an answer; return whether it grants the units asked for, which are then charged."""
        current, status = call.key == self.counter_key(now_ns), call.status
        if status in (CallStatus.LOST, CallStatus.RESOLVED):
            if status is CallStatus.LOST and current:
                self.on_late_addition(now_ns, call)
            return False
        if status is CallStatus.UNCERTAIN:
            self.uncertain_calls.remove(call)
        self.finish_call(call)
        self.reported += call.amount
        if current and call.call_id < self.answered_call_id:
            # Out of order, from another connection.  A later total contained it already, and it was taken for
            # other limiters' units.
            self.own_units += call.amount
            self.spend(now_ns, -call.amount)
        elif current:
            self.update_from_total(now_ns, self.resolve_uncertain(now_ns, call, total), call)
        if current and status is CallStatus.IN_FLIGHT and call.units > 0 and self.balance >= call.units:
            self.spend(now_ns, call.units)
            self.charged += call.units
            return True
        self.reverse_ungranted(now_ns, call)
        return False

    def on_late_addition(self, now_ns: int, call: CounterCall) -> None:
        """A call presumed lost was added after all, so what it reported is in the total twice.

        The totals since then contained it, and it was taken for other limiters' units.
        """
        call.status = CallStatus.RESOLVED
        self.reported += call.amount
        self.unreported -= call.amount
        self.own_units += call.amount
        self.spend(now_ns, -call.amount)

    def resolve_uncertain(self, now_ns: int, call: CounterCall, total: float) -> float:
        """Resolve the uncertain calls by the digit in a total, and return the total without digits."""
        amount, digit = self.digits.decode(total) if self.digits else (total, None)
        known, digit_call, late_call, self.answered_call_id = (
            self.digit,
            self.digit_call,
            self.late_digit_call,
            call.call_id,
        )
        self.digit = digit
        if self.digits and digit is not None:
            self.others_knew = self.digits.others_knew(total, digit)
        if self.digits is None or digit is None or known is None:
            self.digit_call = None if digit_call is call else digit_call
        else:
            advanced = digit == self.digits.next_digit(known, self.known_before)
            if digit_call and (digit_call is call or digit != known):
                self.total_lost, self.digit_call = not advanced, None
                if advanced and digit_call.status is CallStatus.UNCERTAIN:
                    self.uncertain_calls.remove(digit_call)
                    self.on_added(now_ns, digit_call)
            elif digit_call is None and advanced and late_call:
                self.late_digit_call = None
                if late_call.status is CallStatus.LOST:
                    self.on_late_addition(now_ns, late_call)
            elif digit_call is None:
                self.total_lost = digit != known and not (known == 0 and self.digits.base == 2)
        # What cannot be read from the total is reported again: counting it too often refuses too much, while
        # counting it too rarely would exceed the quota.
        for uncertain in self.uncertain_calls:
            self.on_lost(uncertain)
        self.uncertain_calls.clear()
        return amount

    def on_added(self, now_ns: int, call: CounterCall) -> None:
        """An uncertain call has been added."""
        self.in_flight -= call.local_units
        self.reported += call.amount
        call.status = CallStatus.RESOLVED
        self.reverse_ungranted(now_ns, call)
        if call.key == self.counter_key(now_ns):
            if self.total is not None and self.total_window == now_ns // self.window_ns:
                self.total += call.amount
                self.own_units += call.amount
            else:
                self.early_units += call.amount

    def on_lost(self, call: CounterCall) -> None:
        """An uncertain call has not been added: its local units must be reported again."""
        call.status = CallStatus.LOST
        self.in_flight -= call.local_units
        self.unreported += call.local_units
        if self.digit_call is call:
            self.digit_call, self.late_digit_call = None, call

    def reverse_ungranted(self, now_ns: int, call: CounterCall) -> None:
        """Take back units that were added and not granted, from the window to which they were added."""
        if call.key == self.counter_key(now_ns):
            self.unreported -= call.units
        else:
            self.expired += call.units  # They expired with the window to which they were added.

    def on_rejected(self, call: CounterCall) -> None:
        """The counter rejected the call or never received it; that may become known only after a time-out."""
        if call.status is CallStatus.UNCERTAIN:
            self.uncertain_calls.remove(call)
            self.on_lost(call)
        elif call.status is CallStatus.IN_FLIGHT:
            self.finish_call(call)
            self.unreported += call.local_units
        if call in (self.digit_call, self.late_digit_call):  # it can no longer advance the digit
            self.digit_call = None if self.digit_call is call else self.digit_call
            self.late_digit_call = None if self.late_digit_call is call else self.late_digit_call

    def on_timeout(self, now_ns: int, call: CounterCall) -> None:
        """There was no answer in time: the counter may have added the call."""
        if call.status is not CallStatus.IN_FLIGHT:
            return
        self.open_calls -= 1
        call.status = CallStatus.UNCERTAIN
        if call.key == self.counter_key(now_ns):
            self.uncertain_calls.append(call)
        else:
            self.on_added(now_ns, call)  # its window is over, so nothing can be reported again

    def finish_call(self, call: CounterCall) -> None:
        self.open_calls -= call.status is CallStatus.IN_FLIGHT
        self.in_flight -= call.local_units
        call.status = CallStatus.RESOLVED

    def update_from_total(self, now_ns: int, total: float, call: CounterCall) -> None:
        """Take from the balance what others added since the last answer, or since the window began."""
        added, window = call.amount, now_ns // self.window_ns
        elapsed_s = now_ns % self.window_ns / SECOND_NS
        balance = self.refill(now_ns)
        # A total below this limiter's own units was lost or belongs to a new window; both are handled below.
        lost = self.total_lost or total < self.own_units + added - ROUNDING_UNITS
        if self.total is not None and self.total_window == window:
            lost = lost or total - self.total - added < -self.max_total_decrease
        self.total_lost = False
        if self.counter_health and self.counter_health.replaced_ns > self.replaced_ns:
            self.replaced_ns = self.counter_health.replaced_ns
            lost = lost or self.answered_ns < self.replaced_ns
        if now_ns - self.reset_ns > RESYNC_NS and self.reset_ns > self.answered_ns - RESYNC_NS:
            self.expected_debt = 0.0  # all limiters have reported again what was lost: the rest is new
        if lost and self.total is not None and self.total_window == window:
            self.recover_lost_total(now_ns, total - added, self.total)
        elif self.total is None or self.total_window != window:
            # What is missing from this limiter's balance, without what this call reports.
            debt = max(0.0, self.burst - balance - max(0.0, call.local_units))
            known, self.expected_debt = self.total is not None, 0.0
            if known and (not self.others_knew or total <= added + self.early_units + ROUNDING_UNITS):
                # The first to call that knew the customer before carries the debt over; otherwise each window
                # would grant a new burst.
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
        # The balance already lacks what this limiter knew of when the window began.
        already_counted = min(self.expected_debt, max(0.0, others))
        self.expected_debt -= already_counted
        others -= already_counted
        # Others used the overflow first.  Without it, a customer that this limiter sees only now and then
        # would seem to have exhausted its quota.
        self.spend(now_ns, max(0.0, others - self.overflow) if others > 0 else others)
        self.overflow = 0.0

    def recover_lost_total(self, now_ns: int, remaining: float, known_total: float) -> None:
        """A total has lost units in the middle of its window: each limiter reports its own part again.

        ``remaining`` is what the total still holds of others, ``known_total`` the last one that this limiter
        read; the missing part is reported.  What others report again was taken from the balance before
        (``expected_debt``).  On another side of a split counter nothing is reported, because that side never
        held this limiter's part.  What others spent since this limiter's last answer cannot be read anywhere:
        they are assumed to have spent their slices.
        """
        missing = min(1.0, max(0.0, 1.0 - remaining / known_total)) if known_total > 0 else 1.0
        other_side = self.quota_share < 1.0 or self.split_healed
        report_again = 0.0 if other_side else missing * max(0.0, self.own_units)
        self.unreported += report_again
        self.carried_over += report_again
        unseen = (
            0.0
            if other_side
            else self.rate * (1 - 1 / self.set_size) * (now_ns - self.answered_ns) / SECOND_NS
        )
        unseen = min(unseen, max(0.0, self.refill(now_ns)))
        self.spend(now_ns, unseen)
        self.expected_debt = (
            max(0.0, remaining) if other_side else max(0.0, known_total - self.own_units) + unseen
        )
        self.total = self.own_units = self.early_units = 0.0
        self.reset_ns = now_ns

    def rescale(self, now_ns: int, quota_share: float) -> None:
        """Keep to this side's share of rate and burst, or return to the whole.

        When a side shrinks the balance is divided.  When it grows again nothing is added: what the others had
        left stays theirs until it has refilled, so that a healed split grants no second burst.
        """
        balance, change = self.refill(now_ns), quota_share / self.quota_share
        self.rate, self.burst = self.rate * change, self.burst * change
        if change < 1:
            self.balance = min(balance, self.burst) if balance < 0 else balance * change
        self.split_healed, self.quota_share = change > 1, quota_share

    def cap_slice(self, now_ns: int) -> None:
        """Cut the slice to its share of the balance once the counter has fallen silent.

        From then on only the slice decides.  It could be full although grants by the counter have spent what
        all slices share.
        """
        if self.counter_health is None or self.slice_capped_ns == self.counter_health.first_miss_ns:
            return
        self.slice_capped_ns = self.counter_health.first_miss_ns
        share = max(0.0, self.refill(now_ns)) / self.set_size
        self.bucket.stored_permits = min(self.bucket.stored_permits, share)

    def imbalance(self) -> float:
        """Difference between what was reported and what was charged, in units: 0 except for rounding."""
        return (
            self.reported + self.unreported + self.in_flight - self.charged - self.carried_over - self.expired
        )
