"""Every decision of aniseshed; its types, events and actions are in aniseshed/interface.py.

What a customer's slice, a SmoothBursty, cannot pass is asked of the counter, then held or refused; the books
of its quota are in aniseshed/account.py."""

from __future__ import annotations

import math
import random
import zlib
from collections import deque
from collections.abc import Callable

from aniseshed import interface as api
from aniseshed.account import CALLS_SAVED, Account, CallPacer, SmoothBursty
from aniseshed.bound import bounds
from aniseshed.counter_call import CallStatus, CounterCall
from aniseshed.counter_health import CounterHealth
from aniseshed.exhausted_quotas import TOLD_A_SECOND, WORDS_SAVED, ExhaustedQuotas
from aniseshed.interface import Ask, Group, Health, ListKind, Outcome, Repeat, Trust
from aniseshed.partition import BEAT_NS, EPOCH_NS, GROUP, SECOND_NS, Heartbeat, PartitionDetector
from aniseshed.sequence_digits import assign_digit
from aniseshed.state import Attempt, Level, Server, Work, apply_list

LATE_CALLS = 500  # remembered after their time-out: what a silent second leaves, a few hundred bytes each
COUNTER_WAITS = 3.0  # counter time-outs that a client must have left for a question
HOLD_AIM = 0.4  # of the aim: the longest hold that still leaves time to be served
IDLE_WINDOWS = 2.0  # windows without traffic after which a bucket is full anyway and forgotten
GAIN = 0.1  # weight of one answer in the running means: about ten answers to believe a change
OVERDUE = 3.0  # an attempt out for this many usual times says by itself that its server is slow
CANDIDATES = 8  # servers that a limiter keeps to: few enough to know them by its own answers
FULL_AIM = 2.0  # aims for which a server is passed over by a plan's class that it was full for
EJECT_FAILS = 2  # failures in a row that eject a server: one may be chance
EJECT_TIMEOUTS = 4.0  # connect time-outs that an ejection lasts; then one attempt at a time
EJECT_MOST = 0.5  # of the fleet at most ejected: if more fail, the fault is not theirs
TRY_AIM = 0.3  # of the aim: the longest wait for a server that has yet to prove itself
PACE = 0.5  # of the multiple at which a cold server falls: all limiters stay this far below it
WATCH_AGAIN = 0.2  # of the time in which discovery must be asked, to twice that: when to ask again
LATE_AIM = 0.75  # of the aim: an answer later than this counts as late, while there is time to react
LATE_SHARE = 0.15  # of late answers that shows congestion: more than the tail of the work itself
LATE_GAIN = 0.05  # weight of one answer in that share: a few late ones in a row are chance
CUT = 0.75  # what a cut leaves of the limit; once for the attempts sent since the last cut
FIRST_OUT = 3.0  # attempts out at a server, over all limiters, that it is first thought to bear
RAISE_AT = 0.5  # of the limit: out more than this, answers in time raise it
RAISE = 0.08  # added to the limit for each answer in time after a cut, and no more than one a round
CHEAP_LIMIT = 0.5  # of the limit that the cheapest request may use, so that dear ones find room
RETRY_RATIO = 0.15  # further attempts for each first one, so that retries never double a load
RETRY_DEPOSIT = 10.0  # and this many may be saved up for a sudden failure
MOST_TAUGHT = 64  # customers told again after a replacement without being asked: the busiest of a window
WORD = b"here"  # to the other limiters, once a beat
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Limiter:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.now_ns, self.actions = 0, list[api.Action]()
        self.token, self.limiters = 0, max(1, settings.limiters)
        self.customers: dict[int, Account] = {}
        self.servers: dict[bytes, Server] = {}
        self.ring, self.ejected = list[Server](), set[Server]()
        self.work: dict[int, Work] = {}
        self.flights: dict[tuple[int, int], Attempt] = {}
        self.timers: dict[int, tuple[Callable[..., object], Work | bool | None]] = {}
        self.questions: dict[int, CounterCall] = {}  # by number of the call: out, or may be answered late
        self.untaught: list[Account] = []  # customers whose counts may have begun again
        self.beats: dict[int, Heartbeat] = {}  # of the roll, out, by number of the call
        self.last_call, self.start_ns = 0, -1
        self.weather = CounterHealth(settings.counter_timeout_ns)
        self.roll = PartitionDetector(settings.index, self.limiters, 0, settings.may_tell)
        self.spent = ExhaustedQuotas(SmoothBursty(0, TOLD_A_SECOND / self.limiters, WORDS_SAVED, 1.0))
        self.pace = CallPacer(self.limiters, settings.counter_timeout_ns)
        self.usual_ns = [0.0] * len(settings.classes)  # of one unit's answer
        self.longest_ns = [0] * len(settings.classes)
        self.young: list[deque[Attempt]] = [deque() for _ in settings.classes]
        self.limit, self.late, self.cut_ns, self.value = 0.0, 0.0, 0, 0.0
        self.retry_tokens, self.answers, self.answers_ns = RETRY_DEPOSIT, 0.0, 0
        self.out = Level(max((kind.aim_ns for kind in settings.classes), default=SECOND_NS))
        self.handlers: dict[type, Callable[..., None]] = {
            api.Request: self.on_request, api.AttemptEnded: self.on_ended, api.TimerFired: self.on_timer,
            api.Counted: self.on_counted, api.HungUp: self.end, api.ServerList: self.on_list,
            api.StreamBegun: self.end, api.PeerMessage: self.on_word,
            api.GivenBack: self.on_given_back}  # fmt: skip

    def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
        """The actions that answer one event."""
        self.now_ns, self.actions = now_ns, []
        if self.start_ns < 0:
            self.start_ns = self.roll.start_ns = self.weather.since_ns = now_ns
            if self.settings.has_counter and self.limiters > 1:
                self.timer(self.random.random() * BEAT_NS, self.on_beat, True)
        if handler := self.handlers.get(type(event)):
            handler(event)
        return self.actions

    def timer(self, delay_ns: float, call: Callable[..., object], work: Work | bool | None = None) -> None:
        self.token = (self.token + 1) & 0xFFFFFFFF
        self.timers[self.token] = (call, work)
        self.actions.append(api.SetTimer(max(0, round(delay_ns)), self.token))

    def on_timer(self, event: api.TimerFired) -> None:
        call, work = self.timers.pop(event.token, (None, None))
        if call and work is True:
            call()
        elif call and work is None:
            self.actions.append(api.Watch(True))
        elif call and isinstance(work, Work) and self.work.get(work.request.request_id) is work:
            call(work)

    def on_request(self, request: api.Request) -> None:
        index, now_ns = request.traffic_class, self.now_ns
        if index >= len(self.settings.classes) or request.plan >= len(self.settings.plans):
            return self.actions.append(api.Refuse(request.request_id, 0))
        kind, plan = self.settings.classes[index], self.settings.plans[request.plan]
        units = request.units if 0 < request.units < math.inf else 1.0
        # A repeat comes with what is left of the deadline: guards against work for what is late already.
        cut = request.repeated and request.patience_ns < self.longest_ns[index]
        passed_ns = max(0, kind.deadline_ns - request.patience_ns) * cut
        self.longest_ns[index] = max(self.longest_ns[index], request.patience_ns)
        aim_ns = now_ns + min(kind.aim_ns - passed_ns, request.patience_ns)
        customer = self.customer_of(request, plan)
        work = self.work[request.request_id] = Work(request, kind, plan, units, customer, aim_ns)
        full = plan.max_open and customer.open_attempts >= max(1, int(plan.max_open / customer.set_size))
        value = work.kind.worth * plan.price * units
        self.value += GAIN * (value - self.value) if self.value else value
        work.rank = min(1.0, value / self.value)
        # Guards against work that cannot end in the time its client has. One at a time is sent all the same:
        # nothing else could tell that its class has become faster.
        refused = full or self.pressed(work) or (aim_ns <= now_ns and not kind.late_worth)
        refused = refused or bool(self.young[index]) and self.usual_ns[index] * units > request.patience_ns
        if request.ask is Ask.PEEK:
            self.peek(work, refused)
        elif refused:
            self.refuse(work, kind.aim_ns)
        elif plan.rate <= 0 or plan.burst <= 0:
            self.send(work)
        else:
            self.admit(work, customer)

    def peek(self, work: Work, refused: bool) -> None:
        """What a take would come to by this limiter's own account; it asks nobody and takes nothing."""
        del self.work[work.request.request_id]
        left = max(0.0, work.customer.refill(self.now_ns)) if work.plan.rate > 0 else math.inf
        short_ns = max(0.0, work.units - left) / max(work.customer.rate, 1e-9) * SECOND_NS
        wait_ns = round(max(short_ns, work.kind.aim_ns if refused else 0))
        self.actions.append(api.Verdict(work.request.request_id, not wait_ns, min(left, 1e15), wait_ns))

    def on_given_back(self, event: api.GivenBack) -> None:
        if customer := self.customers.get(event.customer):
            customer.refund(self.now_ns, event.units, False)

    def admit(self, work: Work, customer: Account) -> None:
        """The ordinary path: the slice, then the counter, then the ticket."""
        customer.bucket.resync(self.now_ns)
        if silent := self.weather.is_silent(self.now_ns):
            customer.cap_slice(self.now_ns)
        # Guards against slices and grants together passing the quota: of a spent one, a slice is nothing.
        short = customer.total is not None and customer.refill(self.now_ns) < work.units
        timely = work.request.patience_ns > COUNTER_WAITS * self.settings.counter_timeout_ns
        call = timely and not short and self.may_call(1 + (CALLS_SAVED - 1) * (1 - work.rank))
        # Guards against all limiters of a large set taking ahead at once what none of their slices can hold.
        sliver = customer.bucket.max_permits < work.units
        told = sliver and not silent and self.spent.remaining_ns(self.now_ns, customer.name)
        work.asking = True
        short = short and not silent  # then the slice alone decides
        if customer.bucket.next_free_ticket_ns <= self.now_ns and not (short or (sliver and call) or told):
            self.charge(work)
            self.send(work)
        elif call:
            self.count(customer, work.request.request_id, work.units)
        else:
            self.hold(work)

    def customer_of(self, request: api.Request, plan: api.Plan) -> Account:
        customer = self.customers.pop(request.customer, None)
        if customer is None:
            now_ns, size = self.now_ns, min(max(1.0, request.set_size), self.limiters)
            quota, ceiling = (plan.rate, plan.burst), (plan.ceiling_rate, plan.ceiling_burst)
            self.roll.enabled = self.roll.enabled or size <= GROUP
            digit = assign_digit(self.settings.index, self.limiters, round(size))
            customer = Account.create(
                now_ns, request.customer, size, quota, ceiling, digit, now_ns - self.start_ns, self.weather
            )
            for old in list(self.customers.values()):  # in order of last use
                if (
                    old.open_calls
                    or old.open_attempts
                    or now_ns - old.last_used_ns < IDLE_WINDOWS * old.window_ns
                ):
                    break
                del self.customers[old.name]
        self.customers[request.customer] = customer
        customer.last_used_ns = self.now_ns
        part = self.roll.quota_share(round(request.set_start), round(customer.set_size))
        if part != customer.quota_share:
            customer.rescale(self.now_ns, part)
        return customer

    def may_call(self, saved: float) -> bool:
        return self.settings.has_counter and self.pace.is_free(self.now_ns, saved)

    def count(self, customer: Account, request_id: int, units: float) -> None:
        """Call the counter with these units and all local spends since the last call."""
        self.last_call = call = self.last_call + 1
        question = self.questions[call] = customer.start_call(self.now_ns, request_id, units, call)
        self.pace.on_call()
        amount = question.amount + question.digit_amount
        self.actions.append(api.Count(question.key, amount, customer.window_ns, call))

    def charge(self, work: Work) -> None:
        """Take a request's units from the slice, and tell the counter if that is much of what is left."""
        customer, work.charged, work.from_slice = work.customer, work.units, True
        customer.bucket.reserve(work.units)
        customer.charge(self.now_ns, work.units)
        if customer.is_report_due() and self.may_call(CALLS_SAVED / 2):
            self.count(customer, -1, 0.0)

    def give_back(self, work: Work) -> None:
        """What was charged for a request of which nothing was sent belongs to its customer again."""
        units, work.charged = work.charged, 0.0
        if units and not work.attempts:
            work.customer.refund(self.now_ns, units, work.from_slice)

    def on_beat(self) -> None:
        """Answer the roll, tell the peers that this limiter lives, and look at the state of the counter."""
        self.timer(BEAT_NS, self.on_beat, True)
        # A silent counter is asked whether it is back.
        if self.roll.enabled or self.weather.is_silent(self.now_ns):
            beat = self.roll.next_heartbeat(self.now_ns)
            self.last_call = call = self.last_call + 1
            self.beats = {call: beat, **{old: b for old, b in self.beats.items() if b is self.roll.pending}}
            self.actions.append(api.Count(beat.key, beat.amount, 2 * EPOCH_NS, call))
        if self.settings.may_tell and self.roll.enabled:
            self.actions += [api.Tell(other, WORD) for other in self.roll.recipients()]
        if self.weather.update_state(self.now_ns, bool(self.roll.split)):
            self.actions.append(api.Log(self.report().line()))

    def begin_to_teach(self) -> None:
        """After silence or a replacement: what the counter does not know of this limiter's customers."""
        teaching = bool(self.untaught)
        lately = [
            c
            for c in self.customers.values()
            if c.has_reported_in_window(self.now_ns) or c.unreported >= c.min_report_units
        ]
        self.untaught = lately[-MOST_TAUGHT:]
        if not teaching:
            self.teach()

    def teach(self) -> None:
        """Tell a counter that began again what it has lost, the customers of last use first.

        At the pace of calls and at most one a gap: guards against recovery flooding what it is to save."""
        if not self.untaught:
            return
        customer = self.untaught.pop()
        news = (
            customer.answered_ns < self.weather.replaced_ns
            or customer.unreported >= customer.min_report_units
        )
        if news and not customer.open_calls and self.may_call(1.0):
            self.count(customer, -1, 0.0)
        self.timer(self.pace.interval_ns * self.random.uniform(1, 2), self.teach, True)

    def call_ended(self, heard: bool) -> None:
        back = heard and self.weather.is_silent(self.now_ns)
        self.weather.on_result(self.now_ns, heard)
        if back:
            self.pace.on_recovered(self.now_ns)
            self.begin_to_teach()

    def on_word(self, event: api.PeerMessage) -> None:
        if event.payload == WORD:
            self.roll.on_message(self.now_ns, event.sender)
        else:
            self.spent.on_message(self.now_ns, event.payload)

    def report(self) -> api.Report:
        """The state of the counter, since when, and the bound on the overrun of each plan's customers."""
        told = bounds(self.settings, self.limiters, self.weather)
        return api.Report(self.weather.state, self.weather.since_ns, told, tuple(sorted(self.roll.split)))

    def tell_spent(self, work: Work) -> None:
        """Tell the others of a large set that the counter refused what their slices cannot hold either."""
        rank = work.plan.rate * work.plan.price / max(p.rate * p.price for p in self.settings.plans)
        customer = work.customer
        if customer.set_size <= GROUP or customer.bucket.max_permits >= work.units or customer.balance >= 1:
            return
        if word := self.spent.on_refused(self.now_ns, customer.name, rank):
            self.actions.append(api.Tell(None, word))

    def on_counted(self, event: api.Counted) -> None:
        if beat := self.beats.pop(event.call, None):
            heard = event.outcome is Outcome.OK and math.isfinite(event.total)
            self.call_ended(heard)
            if heard and self.roll.on_answer(self.now_ns, beat, event.total):
                self.weather.replaced_ns = self.now_ns
                self.begin_to_teach()
            elif event.outcome in NEVER_RAN:
                self.roll.on_rejected(beat)
            return
        if (question := self.questions.pop(event.call, None)) is None:
            return
        customer, work = question.account, self.work.get(question.request_id)
        heard = event.outcome is Outcome.OK and math.isfinite(event.total)
        waits = work is not None and work.asking and question.status is CallStatus.IN_FLIGHT
        doubted, handed = bool(customer.uncertain_calls), customer.carried_over
        if question.status is CallStatus.IN_FLIGHT:
            self.pace.on_result(event.outcome is Outcome.OK)
            self.call_ended(heard)
        if heard and customer.on_answer(self.now_ns, question, event.total):
            if work and waits:
                work.charged, work.from_slice, waits = question.units, False, False
                self.send(work)
            else:
                customer.refund(self.now_ns, question.units, False)  # the client has gone meanwhile
        elif event.outcome in NEVER_RAN:
            customer.on_rejected(question)
        elif not heard and question.status is CallStatus.IN_FLIGHT:
            customer.on_timeout(self.now_ns, question)
            self.questions[event.call] = question  # its answer may come late
            oldest = next(iter(self.questions))
            if len(self.questions) > LATE_CALLS and self.questions[oldest].status is not CallStatus.IN_FLIGHT:
                del self.questions[oldest]
        elif heard and work and question.status is CallStatus.RESOLVED and self.settings.may_tell:
            self.tell_spent(work)
        # Guards against ending with a debt untold that the others take for handed on.
        doubted = doubted or customer.carried_over > handed
        again = customer.has_refund_to_report() or (doubted and customer.is_report_due())
        if heard and again and self.may_call(1.0):
            self.count(customer, -1, 0.0)
        if work and waits:
            self.hold(work)

    def hold(self, work: Work) -> None:
        """Without a grant: wait for the ticket if deadline and aim allow, else refuse at once."""
        customer, work.asking = work.customer, False
        if work.plan.over_worth > work.plan.over_cost and not self.pressed(work, CHEAP_LIMIT):
            return self.send(work)  # beyond the quota it earns more than it costs, and there is room
        customer.bucket.resync(self.now_ns)
        wait_ns = customer.bucket.next_free_ticket_ns - self.now_ns
        if customer.total is not None and not self.weather.is_silent(self.now_ns):
            short = work.units - customer.refill(self.now_ns)
            wait_ns = max(wait_ns, round(short / customer.rate * SECOND_NS))
        if customer.bucket.max_permits < work.units and not self.weather.is_silent(self.now_ns):
            wait_ns = max(wait_ns, self.spent.remaining_ns(self.now_ns, customer.name))
        if wait_ns > HOLD_AIM * (work.aim_ns - self.now_ns):
            return self.refuse(work, wait_ns)
        self.charge(work)  # told now, so that nobody grants it meanwhile
        self.timer(wait_ns, self.send, work)

    def refuse(self, work: Work, wait_ns: int) -> None:
        """The final answer without success: a refusal only where a repeat is harmless."""
        request_id, kind = work.request.request_id, work.kind
        del self.work[request_id]
        self.give_back(work)
        harmless = kind.repeat is Repeat.SAFE or (kind.repeat is Repeat.KEYED and kind.group is Group.ALL)
        refusable = harmless or not any(a.may_have_run for a in work.attempts)
        advice_ns = min(max(0, wait_ns), self.settings.max_retry_after_ns) if self.settings.may_advise else 0
        self.actions.append(api.Refuse(request_id, advice_ns) if refusable else api.Fail(request_id))

    def on_list(self, event: api.ServerList) -> None:
        if event.kind is ListKind.FAILED and self.settings.subscribe:  # fires without work: subscribe
            self.timer(self.settings.ask_within_ns * WATCH_AGAIN * self.random.uniform(1, 2), self.again)
        if event.kind is ListKind.CACHED and self.settings.subscribe:
            self.actions.append(api.Watch(True))
        apply_list(self.servers, event)
        # Walked by each limiter from its own place: few servers each, equally many limiters at each.
        order = sorted(self.servers, key=zlib.crc32)
        first = self.settings.index * len(order) // self.limiters
        around = (self.servers[key] for key in order[first:] + order[:first])
        self.ring = [server for server in around if server.entry.trust]
        self.limit = self.limit or FIRST_OUT * len(self.servers) / self.limiters

    def share(self, server: Server) -> float:
        """Slow start: the part of its capacity that a server is sure to have."""
        age = (self.now_ns - server.born_ns) / max(1, self.settings.cold_ns)
        if server.born_ns <= 0 or age >= 1:
            return 1.0
        return self.settings.cold_from + (1 - self.settings.cold_from) * max(0.0, age)

    def pressed(self, work: Work, part: float = 1.0) -> bool:
        """Guards against congestive collapse, whatever its cause: is the limit spent, for this worth?"""
        for kind, young in zip(self.settings.classes, self.young, strict=True):
            while young and young[0].sent_ns + LATE_AIM * kind.aim_ns <= self.now_ns:
                if (attempt := young.popleft()).out:
                    self.sample(True, attempt.sent_ns)
        limit = self.limit * part * (CHEAP_LIMIT + (1 - CHEAP_LIMIT) * work.rank)
        return self.out.mean(self.now_ns) >= limit or len(self.flights) >= limit + 2 * math.sqrt(limit) + 1

    def sample(self, late: bool, sent_ns: int) -> None:
        """Move the limit: up while it is used and answers are in time, down by a part when they are not."""
        self.late += LATE_GAIN * (late - self.late)
        out = self.out.mean(self.now_ns)
        if late and self.late > LATE_SHARE and sent_ns > self.cut_ns:
            self.limit = max(len(self.servers) / self.limiters, CUT * min(self.limit, out))
            self.cut_ns, self.late = self.now_ns, LATE_SHARE / 2
        elif not late and out >= RAISE_AT * self.limit:
            self.limit += min(RAISE, 1 / self.limit)

    def pick(self, tried: list[Server], request: api.Request) -> Server | None:
        """The least loaded by own outstanding work and recent slowness, over what it can take."""
        best, best_cost, seen = None, math.inf, 0
        spare, spare_cost = None, math.inf
        safe = self.settings.classes[request.traffic_class].repeat is Repeat.SAFE
        self.ejected = {server for server in self.ejected if server.eject_until_ns > self.now_ns}
        trust = len(self.ejected) <= EJECT_MOST * len(self.servers)
        for server in self.ring:
            out = trust and (server.eject_until_ns > self.now_ns or (server.trial and server.out))
            full = server.full_until_ns.get((request.plan, request.traffic_class), 0) > self.now_ns
            if server.entry.health is not Health.READY or server in tried or out or full:
                continue
            # Guards against a burst, or a claim, on what may be no server or another one by now.
            trusted = server.entry.trust
            if trusted is not Trust.TOLD and (server.out or (trusted is Trust.SAFE and not safe)):
                continue
            # Slow start of who may be cold: each answer makes room for one more, so its own speed sets the
            # pace.
            if server.entry.presumed_ns and len(server.out) > server.answered:
                continue
            share = self.share(server)
            weight = server.entry.weight if server.entry.weight > 0 else 1.0
            cost = (len(server.out) + 1) * server.slow / (weight * share) * self.random.uniform(0.99, 1.01)
            if share < 1 and (self.now_ns < server.pace_ns or (server.out and not self.answers)):
                if not server.out and cost < spare_cost:
                    spare, spare_cost = server, cost
                continue
            if cost < best_cost:
                best, best_cost = server, cost
            if (seen := seen + 1) >= CANDIDATES:
                break
        # Guards against a fleet that is cold, or may be, being asked by nobody: one attempt at a time goes at
        # the server's own pace, however little that is.
        return best or spare

    def send(self, work: Work) -> None:
        """The first attempt, within this limiter's part of a ceiling."""
        ceiling, takes, work.asking = work.customer.ceiling, work.request.ask is Ask.TAKE, False
        self.retry_tokens = min(RETRY_DEPOSIT, self.retry_tokens + RETRY_RATIO * (not takes))
        server = None if takes else self.pick([], work.request)
        ceiling.resync(self.now_ns)
        if ceiling.stored_permits < work.units or (server is None and not takes):
            return self.refuse(work, work.kind.aim_ns)
        ceiling.reserve(work.units)
        if server:
            return self.attempt(work, server)
        left = max(0.0, work.customer.refill(self.now_ns)) if work.plan.rate > 0 else 1e15
        del self.work[work.request.request_id]
        self.actions.append(api.Verdict(work.request.request_id, True, left, 0))

    def attempt(self, work: Work, server: Server) -> None:
        request_id, index, number = work.request.request_id, work.request.traffic_class, len(work.attempts)
        share = self.share(server)
        if share < 1 and self.answers:
            # Guards against pushing a cold server over: paced to its share of what a warm one answered.
            rate = self.answers * SECOND_NS / self.settings.cold_ns / min(CANDIDATES, len(self.servers))
            pace_ns = SECOND_NS / max(rate * share * self.settings.fall_multiple * PACE, 0.01)
            server.pace_ns = max(server.pace_ns, self.now_ns) + round(pace_ns)
        attempt = Attempt(server, work.customer, index, work.request.plan, work.units, self.now_ns)
        self.out.step(self.now_ns, 1)
        self.flights[(request_id, number)] = server.out[(request_id, number)] = attempt
        work.attempts.append(attempt)
        self.young[index].append(attempt)
        work.customer.open_attempts += 1
        # Guards against a request waiting for its life at an address where nobody may be: it has time for
        # another.
        doubted = server.entry.trust is not Trust.TOLD and work.kind.repeat is Repeat.SAFE
        until_ns = self.now_ns + round(TRY_AIM * work.kind.aim_ns) if doubted else 0
        self.actions.append(api.Send(request_id, server.entry.server, until_ns))

    def again(self, work: Work) -> bool:
        """One more attempt, where class, budget and time allow; while busy, none: it displaces another."""
        kind, ran = work.kind, [a for a in work.attempts if a.may_have_run]
        dropped_ns = kind.window_ns if kind.repeat is Repeat.KEYED and kind.group is Group.ALL else 0
        twice = kind.repeat is not Repeat.SAFE and any(self.now_ns >= a.sent_ns + dropped_ns for a in ran)
        late = self.now_ns >= work.aim_ns and not kind.late_worth
        spent = len(work.attempts) >= self.settings.max_attempts or self.retry_tokens < 1
        server = self.pick([a.server for a in work.attempts], work.request)
        if late or spent or twice or server is None or self.out.mean(self.now_ns) >= CHEAP_LIMIT * self.limit:
            return False
        self.retry_tokens -= 1
        self.attempt(work, server)
        return True

    def end(self, event: api.HungUp | api.StreamBegun | api.AttemptEnded) -> None:
        """The request is over: forget it and wait for none of its other attempts."""
        work = self.work.pop(event.request_id, None)
        if work:
            self.give_back(work)
        own = None if isinstance(event, api.HungUp) else event.attempt
        for number, attempt in enumerate(work.attempts if work else ()):
            if attempt.out and number != own and self.settings.may_cancel:
                self.actions.append(api.Cancel(event.request_id, number))

    def on_ended(self, event: api.AttemptEnded) -> None:
        if (attempt := self.flights.pop((event.request_id, event.attempt), None)) is None:
            return
        self.out.step(self.now_ns, -1)
        attempt.out, attempt.may_have_run = False, event.outcome not in NEVER_RAN
        attempt.server.out.pop((event.request_id, event.attempt), None)
        in_time = event.elapsed_ns <= LATE_AIM * self.settings.classes[attempt.index].aim_ns
        # Full says nothing of others: servers may turn one plan or class away though they have room.
        if event.outcome is Outcome.OK and in_time:
            self.sample(False, attempt.sent_ns)
        self.observe(attempt, event)
        attempt.customer.open_attempts -= 1
        if event.outcome is Outcome.OK and event.settled_units:  # bucket and count get the difference
            more = event.settled_units - attempt.units
            attempt.customer.bucket.resync(self.now_ns)
            attempt.customer.bucket.reserve(more)
            attempt.customer.charge(self.now_ns, more)
        work = self.work.get(event.request_id)
        if event.concluded or event.outcome is Outcome.OK:
            self.end(event)
        elif work is not None and not any(a.out for a in work.attempts) and not self.again(work):
            self.refuse(work, 0)

    def observe(self, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Learn from how an attempt ended; a failure is no fast answer, a slow one counts bounded."""
        server, usual = attempt.server, self.usual_ns[attempt.index]
        if event.outcome is Outcome.OK:
            took_ns = event.elapsed_ns / attempt.units
            self.usual_ns[attempt.index] = usual + GAIN * (took_ns - usual) if usual else took_ns
            ratio = min(took_ns / max(1.0, self.usual_ns[attempt.index]), OVERDUE)
            server.slow += GAIN * (ratio - server.slow)
            passed = (self.now_ns - self.answers_ns) / max(1, self.settings.cold_ns)
            self.answers, self.answers_ns = self.answers * math.exp(-passed) + 1, self.now_ns
            server.fails, server.trial, server.answered = 0, False, server.answered + 1
        elif event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR):
            server.fails += 1
            if server.fails >= EJECT_FAILS:
                server.eject_until_ns = self.now_ns + round(EJECT_TIMEOUTS * self.settings.connect_timeout_ns)
                server.trial = True
                self.ejected.add(server)
        elif event.outcome is Outcome.FULL:
            aim_ns = self.settings.classes[attempt.index].aim_ns
            server.full_until_ns[attempt.plan, attempt.index] = self.now_ns + round(FULL_AIM * aim_ns)
