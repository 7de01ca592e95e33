"""The referee: judges a history by the rules, without any knowledge of the limiter that produced it.

The rules, with the names under which breaches are reported:

answer    each accepted request gets exactly one final answer before the client gives up, and a value is one
          that a server produced for this request
effect    no claim takes effect twice, and none that may have been executed is sent again or refused
drain     no new request to a server later than the grace time after it was reported as draining or gone
cold      no cold server is overloaded by limiters that had been informed of its start
ceiling   no customer exceeds the ceiling of its plan
quota     the units forwarded beyond the quotas of all limiters together stay within the plan's stated error
protocol  servers get commands in the form in which clients sent them
process   no limiter exits unexpectedly, or later than the platform allows
memory    no limiter's memory grows without bound
rude      clients that send malformed requests get an error or a close

The rules are judged by what was observed: ``arrive`` is a complete command at a server, ``told`` is what a
discovery agent wrote to a limiter.  Claims that may have been executed are distinguished from claims
that were executed twice.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from hookport.rehearsal.history import Row
from hookport.rehearsal.plan import Plan
from hookport.rehearsal.standins.server import OVERLOAD_SLACK_JOBS

SECOND_NS = 1_000_000_000
MS_NS = 1_000_000
# How long a client that sends malformed requests waits for an error or a close.
BAD_CLIENT_TIMEOUT_NS = 3000 * MS_NS
# Share of these clients that may get neither, since the machine may be busy.
MAX_UNANSWERED_BAD_CLIENT_SHARE = 0.05
# An overload of a cold server is a breach if at least this share of its work came from limiters that had been
# informed of its start.
MIN_INFORMED_WORK_SHARE = 2 / 3
# A kill this soon after the last byte of a request may have come before the limiter accepted the request.
KILL_RACE_NS = 150 * MS_NS
# Factor on sums of the same numbers that were added in another order.
ROUNDING_TOLERANCE = 1 - 1e-6
MAX_DATAGRAM_BYTES = 256  # between limiters
MAX_SHOWN_BREACHES = 5  # breaches of one rule that are listed individually
RULES = ("answer", "effect", "drain", "cold", "ceiling", "quota", "protocol", "process", "memory", "rude")


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach: its rule, its time (ns since the start of the run) and what was observed."""

    rule: str
    at_ns: int
    text: str


class TokenBucket:
    """The exact quota of one customer: starts full, refills at ``rate`` units a second, holds ``burst``."""

    __slots__ = ("at_ns", "burst", "rate", "tokens")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.tokens, self.at_ns = burst, 0

    def take(self, now_ns: int, units: float) -> bool:
        """Take the units if enough tokens are available; returns whether they were taken."""
        self.refill(now_ns)
        if self.tokens + 1e-9 < units:
            return False
        self.tokens -= units
        return True

    def take_with_debt(self, now_ns: int, units: float) -> float:
        """Take the units even if the tokens go below 0; returns the debt, negative while tokens remain."""
        self.tokens = self.refill(now_ns) - units
        return -self.tokens

    def refill(self, now_ns: int) -> float:
        """Add the tokens of the time that has passed; returns the tokens available."""
        self.tokens = min(self.burst, self.tokens + self.rate * max(0, now_ns - self.at_ns) / SECOND_NS)
        self.at_ns = max(self.at_ns, now_ns)
        return self.tokens


def bucket_for(buckets: dict[int, TokenBucket], plan: Plan, due: Row) -> TokenBucket:
    """Return the token bucket of a request's customer; it is created at the first call."""
    quota = plan.plans[due["q"]]
    return buckets.setdefault(due["cu"], TokenBucket(quota.rate, quota.burst))


@dataclass(slots=True)
class HistoryIndex:
    """A history indexed for the rules."""

    plan: Plan
    rows: dict[str, list[Row]] = field(default_factory=lambda: defaultdict(list))
    requests: dict[int, Row] = field(default_factory=dict)  # due rows by request number
    client_attempts: dict[str, Row] = field(default_factory=dict)  # ask rows by id, the latest one
    answers: dict[str, Row] = field(default_factory=dict)  # ans rows by id
    arrivals: dict[str, list[Row]] = field(default_factory=lambda: defaultdict(list))  # arrive rows by id
    rejected: dict[int, Row] = field(default_factory=dict)  # turned rows by server attempt
    within_quota: dict[str, bool] = field(default_factory=dict)  # by id, whether forwarded within the quota


def build_index(plan: Plan, rows: list[Row]) -> HistoryIndex:
    """Index a history; its rows must be in order of time."""
    history = HistoryIndex(plan)
    for row in rows:
        history.rows[row["e"]].append(row)
    for row in history.rows["due"]:
        history.requests[row["n"]] = row
    for row in history.rows["ask"]:
        history.client_attempts[row["id"]] = row
    for row in history.rows["ans"]:
        history.answers[row["id"]] = row
    for row in history.rows["arrive"]:
        history.arrivals[row["id"]].append(row)
    for row in history.rows["turned"]:
        history.rejected[row["a"]] = row
    history.within_quota = find_within_quota(history)
    return history


def request_for(history: HistoryIndex, id: str) -> Row | None:
    """Return the due row of the request that a client attempt belongs to, None if unknown."""
    ask = history.client_attempts.get(id)
    return history.requests.get(ask["n"]) if ask else None


def first_arrivals(history: HistoryIndex) -> Iterator[tuple[Row, Row]]:
    """Yield each client attempt's first complete arrival at a server, and its request, in order of time."""
    seen: set[str] = set()
    for row in history.rows["arrive"]:
        if row["id"] not in seen and (due := request_for(history, row["id"])):
            seen.add(row["id"])
            yield row, due


def find_within_quota(history: HistoryIndex) -> dict[str, bool]:
    """By id, whether one gateway that sees all requests would find the attempt within the quota."""
    buckets: dict[int, TokenBucket] = {}
    within_quota: dict[str, bool] = {}
    for row, due in first_arrivals(history):
        within_quota[row["id"]] = bucket_for(buckets, history.plan, due).take(row["t"], due["u"])
    return within_quota


def units_by_plan(history: HistoryIndex) -> dict[int, list[float]]:
    """Units of first arrivals by plan index: a pair of those beyond the quota and those within it."""
    units: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for row, due in first_arrivals(history):
        units[due["q"]][history.within_quota[row["id"]]] += due["u"]
    return units


def judge(plan: Plan, rows: list[Row]) -> list[Breach]:
    """Return all breaches, in order of time."""
    history = build_index(plan, rows)
    checks: tuple[Callable[[HistoryIndex], Iterator[Breach]], ...] = (
        check_answers, check_effects, check_drains, check_cold_starts, check_ceilings, check_quotas,
        check_protocol, check_processes, check_memory, check_bad_clients,
    )  # fmt: skip
    return sorted((breach for check in checks for breach in check(history)), key=lambda breach: breach.at_ns)


def excuse_check(history: HistoryIndex) -> Callable[[Row, int], bool]:
    """Return a check whether a fault of the plan explains a missing answer: a killed or cut off limiter."""
    spans: dict[int, list[tuple[int, int, int]]] = defaultdict(list)  # from, until, process (0: any)
    for row in history.rows["limiter"]:
        if row["what"] in ("kill", "gone"):
            spans[row["l"]].append((row["t"] - KILL_RACE_NS, 1 << 62, row.get("p", 0)))
    for row in history.rows["excuse"]:
        spans[row["l"]].append((row["t"] - KILL_RACE_NS, row["until"], 0))

    def check(ask: Row, ended_ns: int) -> bool:
        for begin, until, process in spans[ask["l"]]:
            if process in (0, ask["p"]) and ask["t"] < until and ended_ns >= begin:
                return True
        return False

    return check


def check_answers(history: HistoryIndex) -> Iterator[Breach]:
    """Rule answer: one final answer in time, with a value that a server produced for this request."""
    grace_ns = round(history.plan.judge.grace_ms * MS_NS)
    produced = {(row["id"], row["v"]) for row in history.rows["reply"]}
    excuse = excuse_check(history)
    ends_ns = max((row["t"] for row in history.rows["ans"]), default=0)
    garbled_spans = [row for row in history.rows["excuse"] if row.get("garbled")]

    def garbled(limiter: int, at_ns: int) -> bool:
        """Whether the plan itself corrupted the bytes sent to the desks at that time."""
        return any(row["l"] == limiter and row["t"] <= at_ns <= row["until"] for row in garbled_spans)

    for id, ask in history.client_attempts.items():
        ans = history.answers.get(id)
        limit_ns = ask["t"] + ask["d"] * MS_NS + grace_ns
        if ans is None:
            if limit_ns < ends_ns and not excuse(ask, limit_ns):
                yield Breach("answer", limit_ns, f"request {id} at limiter {ask['l']} never ended")
            continue
        how = ans["how"]
        if how in ("closed", "timeout"):
            if not excuse(ask, ans["t"]):
                what = "had its connection closed" if how == "closed" else "was not answered"
                yield Breach("answer", ans["t"], f"request {id} {what} by limiter {ask['l']}")
        elif ans["t"] > limit_ns and not excuse(ask, limit_ns):
            text = f"request {id} was answered after {(ans['t'] - ask['t']) / MS_NS:.0f} of {ask['d']} ms"
            yield Breach("answer", ans["t"], text)
        if how == "value" and (id, ans.get("v")) not in produced and not garbled(ask["l"], ans["t"]):
            yield Breach("answer", ans["t"], f"request {id} got a value that no server made for it")
    for row in history.rows["extra"]:
        if not garbled(row["l"], row["t"]):
            yield Breach("answer", row["t"], f"limiter {row['l']} sent an unsolicited or a second answer")


def check_effects(history: HistoryIndex) -> Iterator[Breach]:
    """Rule effect, over all client attempts of a request.

    A claim that was executed twice is one breach, sending or refusing a claim that may have run another."""
    executions: dict[int, list[Row]] = defaultdict(list)
    for row in history.rows["effect"]:
        if ask := history.client_attempts.get(row["id"]):
            executions[ask["n"]].append(row)
    for number, rows in executions.items():
        if len(rows) > 1:
            ids = {row["id"] for row in rows}
            how = f"under {len(ids)} ids" if len(ids) > 1 else f"under the id {rows[0]['id']}"
            servers = " and ".join(row["s"] for row in rows)
            text = f"claim {number} took effect {len(rows)} times {how}: {servers}"
            yield Breach("effect", rows[1]["t"], text)
    for id, rows in history.arrivals.items():
        due = request_for(history, id)
        if due is None or history.plan.classes[due["c"]].repeat == "safe":
            continue
        possible = [row for row in rows if row["a"] not in history.rejected]
        for row in rows:
            before = [other for other in possible if other["t"] < row["t"]]
            if before:
                text = f"claim {id} was sent again, to {row['s']}, but it may have run at {before[0]['s']}"
                yield Breach("effect", row["t"], text)
        ans = history.answers.get(id)
        if ans and ans["how"] == "busy" and possible:
            text = f"claim {id} was refused but it may have run at {possible[0]['s']}"
            yield Breach("effect", ans["t"], text)


def check_drains(history: HistoryIndex) -> Iterator[Breach]:
    """Rule drain: a request counts as sent from its first byte."""
    limit_ns = round((history.plan.limiters.drain_ms + history.plan.judge.grace_ms) * MS_NS)
    states: dict[tuple[int, str], list[Row]] = defaultdict(list)
    for row in history.rows["told"]:
        states[row["l"], row["s"]].append(row)
    for row in history.rows["arrive"]:
        reports = [report for report in states.get((row["l"], row["s"]), ()) if report["t"] <= row["f"]]
        if reports and reports[-1]["state"] != "SERVING":
            first = reports[-1]
            for earlier in reversed(reports):  # draining, then gone: the first one counts
                if earlier["state"] == "SERVING":
                    break
                first = earlier
            if row["f"] > first["t"] + limit_ns:
                late_ms, state = (row["f"] - first["t"]) / MS_NS, first["state"].lower()
                text = (
                    f"limiter {row['l']} sent to {row['s']} {late_ms:.0f} ms after it was reported as {state}"
                )
                yield Breach("drain", row["f"], text)


def check_cold_starts(history: HistoryIndex) -> Iterator[Breach]:
    """Rule cold: recomputes each window's work from starts and arrivals and compares it with the budget."""
    fleet = history.plan.fleet
    mean_ms = sum(request_class.work_ms for request_class in history.plan.classes) / len(history.plan.classes)
    window_ns = round(fleet.fall_s * SECOND_NS)
    informed_ns: dict[tuple[int, str, int], int] = {}  # when a limiter was informed of a start
    for row in history.rows["told"]:
        informed_ns.setdefault((row["l"], row["s"], row["born"]), row["t"])
    starts: dict[str, list[Row]] = defaultdict(list)
    for row in history.rows["up"]:
        starts[row["s"]].append(row)
    arrivals: dict[str, list[Row]] = defaultdict(list)
    for row in history.rows["arrive"]:
        arrivals[row["s"]].append(row)
    for server, ups in starts.items():
        for n, up in enumerate(ups):
            if not up["cold"]:
                continue
            until_ns = up["t"] + round(fleet.cold_s * SECOND_NS)
            if n + 1 < len(ups):
                until_ns = min(until_ns, ups[n + 1]["t"])
            window: deque[Row] = deque()
            window_work_ms = 0.0
            for row in arrivals[server]:
                if not up["t"] <= row["t"] < until_ns:
                    continue
                window.append(row)
                window_work_ms += row["w"]
                while window[0]["t"] < row["t"] - window_ns:
                    window_work_ms -= window.popleft()["w"]
                warm_up_share = (row["t"] - up["t"]) / SECOND_NS / fleet.cold_s
                capacity_share = min(1.0, fleet.cold_from + (1 - fleet.cold_from) * warm_up_share)
                budget_ms = (
                    fleet.fall_multiple * up["cores"] * up["speed"] * capacity_share * fleet.fall_s * 1000
                )
                if window_work_ms <= ROUNDING_TOLERANCE * (budget_ms + OVERLOAD_SLACK_JOBS * mean_ms):
                    continue
                informed_work_ms = sum(
                    other["w"] for other in window
                    if informed_ns.get((other["l"], server, up["born"]), 1 << 62) <= other["t"]
                )  # fmt: skip
                if informed_work_ms >= MIN_INFORMED_WORK_SHARE * window_work_ms:
                    yield Breach(
                        "cold", row["t"], f"cold server {server} got {window_work_ms:.0f} ms of work in "
                        f"{fleet.fall_s:g} s, its budget was {budget_ms:.0f} ms"
                    )  # fmt: skip
                break


def check_ceilings(history: HistoryIndex) -> Iterator[Breach]:
    """Rule ceiling: each client attempt's first arrival counts, whether or not it is within the quota."""
    buckets: dict[int, TokenBucket] = {}
    for row, due in first_arrivals(history):
        quota = history.plan.plans[due["q"]]
        if quota.ceiling_rate <= 0:
            continue
        bucket = buckets.setdefault(due["cu"], TokenBucket(quota.ceiling_rate, quota.ceiling_burst))
        bucket.refill(row["t"])
        bucket.tokens -= due["u"]
        if bucket.tokens < -1e-6:
            text = f"customer {due['cu']:x} is {-bucket.tokens:.1f} units above its ceiling"
            yield Breach("ceiling", row["t"], text)


def check_quotas(history: HistoryIndex) -> Iterator[Breach]:
    """Rule quota: over all limiters together, within the error that the plan states."""
    beyond, within = (sum(pair[n] for pair in units_by_plan(history).values()) for n in (0, 1))
    last_ns = max((row["t"] for row in history.rows["arrive"]), default=0)
    allowed = history.plan.judge.quota_over
    if within and beyond > allowed * within:
        text = f"{beyond:.0f} units were forwarded beyond the quotas, {beyond / within:.1%} of those within; "
        yield Breach("quota", last_ns, text + f"{allowed:.1%} are allowed")


def check_protocol(history: HistoryIndex) -> Iterator[Breach]:
    for row in history.rows["syntax"]:
        yield Breach("protocol", row["t"], f"limiter {row['l']} sent {row['s']} {row['why']}")
    for row in history.rows["arrive"]:
        if row["id"] not in history.client_attempts:
            text = f"limiter {row['l']} sent the request id {row['id']}, which no client used"
            yield Breach("protocol", row["t"], text)
    for row in history.rows["words"]:
        if row["largest"] > MAX_DATAGRAM_BYTES:
            text = (
                f"limiter {row['l']} sent a datagram of {row['largest']} bytes, "
                f"the maximum is {MAX_DATAGRAM_BYTES}"
            )
            yield Breach("protocol", row["t"], text)
        if row["busiest"] > history.plan.peers.per_s:
            max_per_s = history.plan.peers.per_s
            text = (
                f"{row['busiest']} datagrams reached limiter {row['l']} within a second, "
                f"the maximum is {max_per_s}"
            )
            yield Breach("protocol", row["t"], text)


def check_processes(history: HistoryIndex) -> Iterator[Breach]:
    for row in history.rows["limiter"]:
        if row["what"] == "gone":
            yield Breach(
                "process", row["t"], f"limiter {row['l']} exited unexpectedly, status {row.get('code')}"
            )
        elif row["what"] == "overdue":
            yield Breach("process", row["t"], f"limiter {row['l']} did not exit in time after SIGTERM")
        elif row["what"] == "exit" and row.get("code") != 0:
            yield Breach("process", row["t"], f"limiter {row['l']} exited with status {row.get('code')}")


def check_memory(history: HistoryIndex) -> Iterator[Breach]:
    """Rule memory: growth of a process's mean memory from the second to the last third of its samples."""
    samples: dict[tuple[int, int], list[Row]] = defaultdict(list)
    for row in history.rows["usage"]:
        samples[row["l"], row.get("p", 1)].append(row)
    for (limiter, _), rows in samples.items():
        third = len(rows) // 3
        if third < 3:
            continue
        middle_mb = sum(row["rss_mb"] for row in rows[third : 2 * third]) / third
        last_mb = sum(row["rss_mb"] for row in rows[-third:]) / third
        if last_mb - middle_mb > history.plan.judge.memory_growth_mb:
            text = f"limiter {limiter} grew from {middle_mb:.0f} to {last_mb:.0f} MB"
            yield Breach("memory", rows[-1]["t"], text)


def check_bad_clients(history: HistoryIndex) -> Iterator[Breach]:
    rows = history.rows["rude"]
    for row in rows:
        if row["served"]:
            yield Breach("answer", row["t"], "a bad client got a value")
    excuse = excuse_check(history)

    def could_reach(row: Row) -> bool:
        """Whether the client could reach its limiter; a cut by a fault of the plan is excused."""
        ask = {"l": row.get("l", -1), "p": 0, "t": row["t"] - BAD_CLIENT_TIMEOUT_NS}
        return not excuse(ask, row["t"])

    unanswered = [row for row in rows if not row["ok"] and could_reach(row)]
    if rows and len(unanswered) > MAX_UNANSWERED_BAD_CLIENT_SHARE * len(rows):
        text = f"{len(unanswered)} of {len(rows)} bad clients got neither an error nor a close in time"
        yield Breach("rude", unanswered[-1]["t"], text)


def void_reason(plan: Plan, rows: list[Row]) -> str:
    """Why the run is invalid because the test harness itself was too late; empty if it is valid."""
    lateness = [row["late"] for row in rows if row["e"] == "due"]
    late_count = sum(ms > plan.judge.late_ms for ms in lateness)
    if not lateness:
        return "no request was due"
    if late_count > plan.judge.late_share * len(lateness):
        share = late_count / len(lateness)
        late = f"more than {plan.judge.late_ms:g} ms late"
        return f"{share:.1%} of the requests were sent {late}: the machine was too busy"
    longest_lag = max((row for row in rows if row["e"] == "lag"), key=lambda row: row["ms"], default=None)
    if longest_lag and longest_lag["ms"] > plan.judge.held_ms:
        return (
            f"the harness process {longest_lag['who']} was blocked for {longest_lag['ms']:.0f} ms: "
            "the machine was too busy"
        )
    return ""
