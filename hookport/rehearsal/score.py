"""The score: worth answered within the aim over the most that any policy could have earned.

That most is told by ``bound.py``: nothing inside the quotas can pass it, so a whole score of 1 is the best
there is. A try that was sent on beyond the quota earns nothing and costs the part of its worth that its plan
states. How requests ended (``refused inside``, ``refused beyond``) is told beside one gateway that sees all
requests, lets in who comes first, and knows no retries.
"""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from typing import Any

from hookport.rehearsal import bound, referee
from hookport.rehearsal.history import Row
from hookport.rehearsal.plan import Plan

SECOND = 1_000_000_000
MS = 1_000_000
WINDOW_S = 10
SERIES_STEP_S = 1
OUTCOMES = ("served", "late", "refused inside", "refused beyond", "failed", "unanswered", "never sent")


@dataclass(slots=True)
class Score:
    """Shares are of worth unless told otherwise; ``score`` mixes whole, worst window and worst plan."""

    score: float = 0.0
    whole: float = 0.0
    worst_window: float = 0.0
    worst_window_at_s: int = 0
    worst_plan: float = 0.0
    plans: dict[str, float] = field(default_factory=dict)
    requests: int = 0
    tries: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)  # of requests, by how they ended
    beyond_units: float = 0.0  # sent on beyond the quotas, of those sent on inside them
    beyond_plans: dict[str, float] = field(default_factory=dict)  # the same by plan
    wasted_work: float = 0.0  # of the work that servers took, what served no answer
    counter_calls: float = 0.0  # a try
    datagrams: float = 0.0  # between limiters, sent by each in a second
    refused_with_room: float = 0.0  # of refused tries, those with half of the burst and more unused
    debts: dict[str, float] = field(default_factory=dict)  # by plan: see largest_debts
    cpu_ms: float = 0.0  # of the limiters, a try
    limiter_cpu_ms: list[float] = field(default_factory=list)  # of each, a try of its own
    peak_mb: list[float] = field(default_factory=list)  # of each limiter
    latency_ms: dict[str, dict[str, float]] = field(default_factory=dict)  # by class: p50, p99
    lag_ms: float = 0.0  # the longest that the kit itself was held
    late_p99_ms: float = 0.0  # by which the kit's requests left late

    def to_dict(self) -> dict[str, Any]:
        return asdict(self)


def quantile(values: list[float], part: float) -> float:
    """A quantile by the nearest rank; 0 of nothing."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def worth(plan: Plan, due: Row) -> float:
    return plan.classes[due["c"]].worth * plan.plans[due["q"]].price * float(due["u"])


@dataclass(slots=True)
class End:
    """How a request ended, over all its tries."""

    due: Row
    inside: bool
    outcome: str
    latency_ns: int = 0


def ends(told: referee.Index) -> list[End]:
    """Each request's end, in order of when it was due."""
    buckets: dict[int, referee.TokenBucket] = {}
    tries: dict[int, list[Row]] = defaultdict(list)
    for row in told.rows["ans"]:
        tries[row["n"]].append(row)
    result = []
    for due in sorted(told.due.values(), key=lambda row: (row["t"], row["n"])):
        inside = referee.bucket_for(buckets, told.plan, due).take(due["t"], due["u"])
        rows = tries.get(due["n"], [])
        served = [row for row in rows if row["how"] == "value"]
        kind = told.plan.classes[due["c"]]
        if served:
            latency_ns = served[0]["t"] - due["t"]
            outcome = "served" if latency_ns <= kind.aim_ms * MS else "late"
            result.append(End(due, inside, outcome, latency_ns))
            continue
        last = rows[-1]["how"] if rows else "none"
        refused = "refused inside" if inside else "refused beyond"
        named = {"busy": refused, "error": "failed", "unsent": "never sent"}
        result.append(End(due, inside, named.get(last, "unanswered")))
    return result


def earned(told: referee.Index) -> dict[int, float]:
    """The worth that each request earned, less what its tries beyond the quota cost."""
    plan, result = told.plan, defaultdict[int, float](float)
    for id, ask in told.asks.items():
        due, ans = told.due.get(ask["n"]), told.answers.get(id)
        if due is None:
            continue
        if told.inside.get(id) is False:
            result[ask["n"]] -= worth(plan, due) * plan.plans[due["q"]].over_cost
        elif ans and ans["how"] == "value" and ans["t"] - due["t"] <= plan.classes[due["c"]].aim_ms * MS:
            result[ask["n"]] += worth(plan, due)
    return result


def most_earned(told: referee.Index) -> dict[int, float]:
    """By request, the worth that the best policy earns of it."""
    plan, requests, quotas = told.plan, [], {}
    for due in sorted(told.due.values(), key=lambda row: (row["t"], row["n"])):
        each = worth(plan, due) / due["u"]
        requests.append((due["n"], due["cu"], bound.Offer(due["t"], due["u"], each)))
        quotas[due["cu"]] = (plan.plans[due["q"]].rate, plan.plans[due["q"]].burst)
    aim_s = max(kind.aim_ms for kind in plan.classes) / 1000
    shares = bound.max_shares(requests, quotas, aim_s)
    return {n: share * worth(plan, told.due[n]) for n, share in shares.items()}


def ratio(part: float, whole: float) -> float:
    return part / whole if whole > 0 else 0.0


def score(plan: Plan, rows: list[Row]) -> Score:
    """The score of a history."""
    told = referee.index(plan, rows)
    all_ends, gains, most = ends(told), earned(told), most_earned(told)
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    by_plan: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    whole = [0.0, 0.0]
    for end in all_ends:
        asked = most[end.due["n"]]
        gain = gains.get(end.due["n"], 0.0)
        for pair in (whole, windows[end.due["t"] // (WINDOW_S * SECOND)], by_plan[end.due["q"]]):
            pair[0] += gain
            pair[1] += asked
    result = Score(requests=len(told.due), tries=len(told.asks))
    result.whole = ratio(*whole)
    # The best policy may serve in one window what another serves in the next.
    full = {n: min(1.0, ratio(*pair)) for n, pair in windows.items() if (n + 0.5) * WINDOW_S <= plan.length_s}
    if full:
        worst = min(full, key=lambda n: full[n])
        result.worst_window, result.worst_window_at_s = full[worst], worst * WINDOW_S
    else:
        result.worst_window = result.whole  # too short for a window of its own
    result.plans = {plan.plans[n].name: ratio(*pair) for n, pair in sorted(by_plan.items())}
    result.worst_plan = min(result.plans.values(), default=0.0)
    mix = plan.judge
    result.score = (mix.whole * result.whole + mix.worst_window * result.worst_window
                    + mix.worst_plan * result.worst_plan)  # fmt: skip
    counted = Counter(end.outcome for end in all_ends)
    result.outcomes = {name: counted.get(name, 0) for name in OUTCOMES}
    figures(told, all_ends, result)
    return result


def figures(told: referee.Index, all_ends: list[End], result: Score) -> None:
    """What stands beside the score."""
    plan = told.plan
    units = referee.sent_units(told)
    beyond, inside = (sum(pair[n] for pair in units.values()) for n in (0, 1))
    result.beyond_units = ratio(beyond, inside)
    result.beyond_plans = {plan.plans[n].name: ratio(*pair) for n, pair in sorted(units.items())}
    made = {row["a"]: row["v"] for row in told.rows["reply"]}
    got = {row.get("v") for row in told.rows["ans"] if row["how"] == "value"}
    taken = [row for row in told.rows["arrive"] if row["a"] not in told.turned]
    useful = sum(row["w"] for row in taken if made.get(row["a"]) in got)
    result.wasted_work = 1 - ratio(useful, sum(row["w"] for row in taken)) if taken else 0.0
    calls = sum(row["calls"] for row in told.rows["counts"])
    result.counter_calls = ratio(calls, result.tries)
    result.datagrams = sum(row["sent"] for row in told.rows["words"]) / plan.limiters.count / plan.length_s
    result.refused_with_room = refused_with_room(told)
    result.debts = {plan.plans[n].name: units for n, units in sorted(largest_debts(told).items())}
    asked = Counter(row["l"] for row in told.rows["ask"])
    for limiter in range(plan.limiters.count):
        usage = [row for row in told.rows["usage"] if row["l"] == limiter]
        # The start of the process is no cost of a request: the first sample stands for it.
        cpu_s = usage[-1]["cpu_s"] - usage[0]["cpu_s"] if usage else 0.0
        result.limiter_cpu_ms.append(ratio(cpu_s * 1000, asked[limiter]))
        result.peak_mb.append(max((row["rss_mb"] for row in usage), default=0.0))
    total = sum(ms * asked[n] for n, ms in enumerate(result.limiter_cpu_ms))
    result.cpu_ms = ratio(total, sum(asked.values()))
    for n, kind in enumerate(plan.classes):
        times = [end.latency_ns / MS for end in all_ends if end.latency_ns and end.due["c"] == n]
        if times:
            result.latency_ms[kind.name] = {"p50": statistics.median(times), "p99": quantile(times, 0.99)}
    result.lag_ms = max((row["ms"] for row in told.rows["lag"]), default=0.0)
    result.late_p99_ms = quantile([row["late"] for row in told.rows["due"]], 0.99)


def largest_debts(told: referee.Index) -> dict[int, float]:
    """The most units by which any customer's sends passed ``burst + rate * time`` over some stretch, by the
    position of its plan: the largest debt of a store that lends without limit."""
    stores: dict[int, referee.TokenBucket] = {}
    most: dict[int, float] = defaultdict(float)
    for row, due in referee.first_arrivals(told):
        debt = referee.bucket_for(stores, told.plan, due).take_with_debt(row["t"], due["u"])
        most[due["q"]] = max(most[due["q"]], debt)
    return most


def refused_with_room(told: referee.Index) -> float:
    """The share of refused tries at which the customer's exact store held more than half of its burst."""
    refusals = [(row["t"], 1, row) for row in told.rows["ans"] if row["how"] == "busy"]
    sent = [(row["t"], 0, due) for row, due in referee.first_arrivals(told)]
    buckets: dict[int, referee.TokenBucket] = {}
    roomy = 0
    for at_ns, refused, row in sorted(refusals + sent, key=lambda item: item[:2]):
        due = told.due.get(row["n"])
        if due is None:
            continue
        bucket = referee.bucket_for(buckets, told.plan, due)
        if refused:
            roomy += bucket.refill(at_ns) > bucket.burst / 2
        else:
            bucket.take(at_ns, due["u"])
    return ratio(roomy, len(refusals))


def curves(plan: Plan, rows: list[Row]) -> dict[str, list[float]]:
    """Requests a second over the evening, by when they were due: offered, and how they ended."""
    told = referee.index(plan, rows)
    steps = int(plan.length_s / SERIES_STEP_S) + 1
    lines: dict[str, list[float]] = {name: [0.0] * steps for name in ("offered", *OUTCOMES)}
    for end in ends(told):
        step = min(steps - 1, max(0, end.due["t"] // (SERIES_STEP_S * SECOND)))
        lines["offered"][step] += 1 / SERIES_STEP_S
        lines[end.outcome][step] += 1 / SERIES_STEP_S
    return lines
