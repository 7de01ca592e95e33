"""The score: the value answered within the target latency, divided by the maximum that any policy can earn.

``bound.py`` computes that maximum: no policy can exceed it within the quotas, so a ``whole`` score of 1 is
the best possible. A client attempt that was forwarded beyond the quota earns nothing and costs the share of
its value that its plan states. Whether a request was ``refused inside`` or ``refused beyond`` the quota is
decided by a single gateway that sees all requests, admits them in order of arrival, and knows no retries.
"""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from typing import Any

from hookport.rehearsal import bound, referee
from hookport.rehearsal.history import Row
from hookport.rehearsal.plan import Plan

SECOND_NS = 1_000_000_000
MS_NS = 1_000_000
WINDOW_S = 10  # length of the windows; the worst one is part of the score
SERIES_STEP_S = 1  # resolution of the charts of requests per second
OUTCOMES = ("served", "late", "refused inside", "refused beyond", "failed", "unanswered", "never sent")


@dataclass(slots=True)
class Score:
    """The figures of one run. Shares are of value unless noted otherwise.

    ``score`` is the weighted sum of ``whole``, ``worst_window`` and ``worst_plan``."""

    score: float = 0.0
    whole: float = 0.0
    worst_window: float = 0.0
    worst_window_at_s: int = 0
    worst_plan: float = 0.0
    plans: dict[str, float] = field(default_factory=dict)
    requests: int = 0
    tries: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)  # number of requests by outcome
    beyond_units: float = 0.0  # forwarded beyond the quotas, as a share of those within
    beyond_plans: dict[str, float] = field(default_factory=dict)  # beyond_units by plan
    wasted_work: float = 0.0  # share of the accepted work that led to no answer
    counter_calls: float = 0.0  # per client attempt
    datagrams: float = 0.0  # between limiters, sent by each per second
    refused_with_room: float = 0.0  # share of refused attempts with over half of the burst left
    debts: dict[str, float] = field(default_factory=dict)  # in units, by plan: see largest_debts
    cpu_ms: float = 0.0  # of all limiters, per client attempt
    limiter_cpu_ms: list[float] = field(default_factory=list)  # of each limiter, per attempt that it received
    peak_mb: list[float] = field(default_factory=list)  # peak memory of each limiter
    latency_ms: dict[str, dict[str, float]] = field(default_factory=dict)  # p50 and p99 by class
    lag_ms: float = 0.0  # longest time for which the test harness was blocked
    late_p99_ms: float = 0.0  # delay with which the test harness sent requests

    def to_dict(self) -> dict[str, Any]:
        return asdict(self)


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile by the nearest-rank method; 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def request_value(plan: Plan, due: Row) -> float:
    return plan.classes[due["c"]].worth * plan.plans[due["q"]].price * float(due["u"])


@dataclass(slots=True)
class RequestOutcome:
    """How a request ended, over all its client attempts."""

    due: Row
    within_quota: bool
    name: str  # one of OUTCOMES
    latency_ns: int = 0


def request_outcomes(history: referee.HistoryIndex) -> list[RequestOutcome]:
    """Return each request's outcome, in order of the due times."""
    buckets: dict[int, referee.TokenBucket] = {}
    attempts: dict[int, list[Row]] = defaultdict(list)
    for row in history.rows["ans"]:
        attempts[row["n"]].append(row)
    result = []
    for due in sorted(history.requests.values(), key=lambda row: (row["t"], row["n"])):
        within_quota = referee.bucket_for(buckets, history.plan, due).take(due["t"], due["u"])
        rows = attempts.get(due["n"], [])
        served = [row for row in rows if row["how"] == "value"]
        request_class = history.plan.classes[due["c"]]
        if served:
            latency_ns = served[0]["t"] - due["t"]
            outcome = "served" if latency_ns <= request_class.aim_ms * MS_NS else "late"
            result.append(RequestOutcome(due, within_quota, outcome, latency_ns))
            continue
        last_how = rows[-1]["how"] if rows else "none"
        refused = "refused inside" if within_quota else "refused beyond"
        outcomes_by_how = {"busy": refused, "error": "failed", "unsent": "never sent"}
        result.append(RequestOutcome(due, within_quota, outcomes_by_how.get(last_how, "unanswered")))
    return result


def earned_value(history: referee.HistoryIndex) -> dict[int, float]:
    """Return the value that each request earned, less the cost of its attempts beyond the quota."""
    plan, result = history.plan, defaultdict[int, float](float)
    for id, ask in history.client_attempts.items():
        due, ans = history.requests.get(ask["n"]), history.answers.get(id)
        if due is None:
            continue
        if history.within_quota.get(id) is False:
            result[ask["n"]] -= request_value(plan, due) * plan.plans[due["q"]].over_cost
        elif ans and ans["how"] == "value" and ans["t"] - due["t"] <= plan.classes[due["c"]].aim_ms * MS_NS:
            result[ask["n"]] += request_value(plan, due)
    return result


def max_earnable(history: referee.HistoryIndex) -> dict[int, float]:
    """Return the value that an optimal policy earns from each request, by request number."""
    plan, requests, quotas = history.plan, [], {}
    for due in sorted(history.requests.values(), key=lambda row: (row["t"], row["n"])):
        unit_value = request_value(plan, due) / due["u"]
        requests.append((due["n"], due["cu"], bound.Offer(due["t"], due["u"], unit_value)))
        quotas[due["cu"]] = (plan.plans[due["q"]].rate, plan.plans[due["q"]].burst)
    target_s = max(request_class.aim_ms for request_class in plan.classes) / 1000
    shares = bound.max_shares(requests, quotas, target_s)
    return {n: share * request_value(plan, history.requests[n]) for n, share in shares.items()}


def ratio(part: float, total: float) -> float:
    return part / total if total > 0 else 0.0


def score(plan: Plan, rows: list[Row]) -> Score:
    """Compute the score of a history."""
    history = referee.build_index(plan, rows)
    outcomes, earned, earnable = request_outcomes(history), earned_value(history), max_earnable(history)
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    by_plan: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    whole = [0.0, 0.0]
    for outcome in outcomes:
        maximum = earnable[outcome.due["n"]]
        gain = earned.get(outcome.due["n"], 0.0)
        for pair in (whole, windows[outcome.due["t"] // (WINDOW_S * SECOND_NS)], by_plan[outcome.due["q"]]):
            pair[0] += gain
            pair[1] += maximum
    result = Score(requests=len(history.requests), tries=len(history.client_attempts))
    result.whole = ratio(*whole)
    # An optimal policy may serve in one window what the run served in the next: the share is capped at 1.
    shares_by_window = {
        n: min(1.0, ratio(*pair)) for n, pair in windows.items() if (n + 0.5) * WINDOW_S <= plan.length_s
    }
    if shares_by_window:
        worst = min(shares_by_window, key=lambda n: shares_by_window[n])
        result.worst_window, result.worst_window_at_s = shares_by_window[worst], worst * WINDOW_S
    else:
        result.worst_window = result.whole  # the run is too short for a window
    result.plans = {plan.plans[n].name: ratio(*pair) for n, pair in sorted(by_plan.items())}
    result.worst_plan = min(result.plans.values(), default=0.0)
    weights = plan.judge
    result.score = (weights.whole * result.whole + weights.worst_window * result.worst_window
                    + weights.worst_plan * result.worst_plan)  # fmt: skip
    counts = Counter(outcome.name for outcome in outcomes)
    result.outcomes = {name: counts.get(name, 0) for name in OUTCOMES}
    add_figures(history, outcomes, result)
    return result


def add_figures(history: referee.HistoryIndex, outcomes: list[RequestOutcome], result: Score) -> None:
    """Fill in the figures that are reported in addition to the score."""
    plan = history.plan
    units = referee.units_by_plan(history)
    beyond, within = (sum(pair[n] for pair in units.values()) for n in (0, 1))
    result.beyond_units = ratio(beyond, within)
    result.beyond_plans = {plan.plans[n].name: ratio(*pair) for n, pair in sorted(units.items())}
    replies = {row["a"]: row["v"] for row in history.rows["reply"]}
    received = {row.get("v") for row in history.rows["ans"] if row["how"] == "value"}
    accepted = [row for row in history.rows["arrive"] if row["a"] not in history.rejected]
    useful = sum(row["w"] for row in accepted if replies.get(row["a"]) in received)
    result.wasted_work = 1 - ratio(useful, sum(row["w"] for row in accepted)) if accepted else 0.0
    calls = sum(row["calls"] for row in history.rows["counts"])
    result.counter_calls = ratio(calls, result.tries)
    result.datagrams = sum(row["sent"] for row in history.rows["words"]) / plan.limiters.count / plan.length_s
    result.refused_with_room = refused_with_room(history)
    result.debts = {plan.plans[n].name: units for n, units in sorted(largest_debts(history).items())}
    attempts_by_limiter = Counter(row["l"] for row in history.rows["ask"])
    for limiter in range(plan.limiters.count):
        usage = [row for row in history.rows["usage"] if row["l"] == limiter]
        # The CPU time up to the first sample is that of starting the process, not of requests.
        cpu_s = usage[-1]["cpu_s"] - usage[0]["cpu_s"] if usage else 0.0
        result.limiter_cpu_ms.append(ratio(cpu_s * 1000, attempts_by_limiter[limiter]))
        result.peak_mb.append(max((row["rss_mb"] for row in usage), default=0.0))
    total_ms = sum(ms * attempts_by_limiter[n] for n, ms in enumerate(result.limiter_cpu_ms))
    result.cpu_ms = ratio(total_ms, sum(attempts_by_limiter.values()))
    for n, request_class in enumerate(plan.classes):
        latencies_ms = [
            outcome.latency_ns / MS_NS for outcome in outcomes if outcome.latency_ns and outcome.due["c"] == n
        ]
        if latencies_ms:
            result.latency_ms[request_class.name] = {
                "p50": statistics.median(latencies_ms),
                "p99": quantile(latencies_ms, 0.99),
            }
    result.lag_ms = max((row["ms"] for row in history.rows["lag"]), default=0.0)
    result.late_p99_ms = quantile([row["late"] for row in history.rows["due"]], 0.99)


def largest_debts(history: referee.HistoryIndex) -> dict[int, float]:
    """By plan index, the largest excess in units of a customer's forwarded requests over
    ``burst + rate * time`` in any interval: the largest debt of a token bucket without a lower limit."""
    buckets: dict[int, referee.TokenBucket] = {}
    largest: dict[int, float] = defaultdict(float)
    for row, due in referee.first_arrivals(history):
        debt = referee.bucket_for(buckets, history.plan, due).take_with_debt(row["t"], due["u"])
        largest[due["q"]] = max(largest[due["q"]], debt)
    return largest


def refused_with_room(history: referee.HistoryIndex) -> float:
    """The share of refused attempts while the customer's exact token bucket was more than half full."""
    refusals = [(row["t"], 1, row) for row in history.rows["ans"] if row["how"] == "busy"]
    forwarded = [(row["t"], 0, due) for row, due in referee.first_arrivals(history)]
    buckets: dict[int, referee.TokenBucket] = {}
    with_room = 0
    for at_ns, refused, row in sorted(refusals + forwarded, key=lambda item: item[:2]):
        due = history.requests.get(row["n"])
        if due is None:
            continue
        bucket = referee.bucket_for(buckets, history.plan, due)
        if refused:
            with_room += bucket.refill(at_ns) > bucket.burst / 2
        else:
            bucket.take(at_ns, due["u"])
    return ratio(with_room, len(refusals))


def rate_series(plan: Plan, rows: list[Row]) -> dict[str, list[float]]:
    """Return the requests per second over the run, by due time: offered, and by outcome."""
    history = referee.build_index(plan, rows)
    steps = int(plan.length_s / SERIES_STEP_S) + 1
    series: dict[str, list[float]] = {name: [0.0] * steps for name in ("offered", *OUTCOMES)}
    for outcome in request_outcomes(history):
        step = min(steps - 1, max(0, outcome.due["t"] // (SERIES_STEP_S * SECOND_NS)))
        series["offered"][step] += 1 / SERIES_STEP_S
        series[outcome.name][step] += 1 / SERIES_STEP_S
    return series
