"""Random days: plans drawn from a seed, modelled on the incidents that users recorded.

A day has a fleet, two to four limiters, desks whose load is 0.4 to 1.1 times the fleet's capacity, and up to
five faults, in half of the days all within a few seconds. The faults are those that recur in the incident
record: bursts of 1.4 to 2.3 times the load, up to a fifth of the servers killed or 3.4 to 8.4 times slower,
desks that switch to other limiters, outages of discovery and counter, single links that fall silent, limiters
restarted under load. A day is an ordinary plan: it can be written to a file and run in real or virtual time.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any

import tomli_w

from hookport.rehearsal import draw
from hookport.rehearsal import plan as plans

Table = dict[str, Any]
MAX_FAULTS = 5
FAULT_CLUSTER_S = 4.0  # on a day with clustered faults all of them begin within this time
# The excess over a quota that a day's quota rule tolerates, as a share of the admitted units: a base, because
# a slice of a small quota holds one request, and more for each fault that hides spent units from the other
# limiters.
BASE_QUOTA_TOLERANCE = 0.25
TOLERANCE_BY_FAULT = {"limiter": 0.08, "counter": 0.15, "link": 0.08}
SPLIT_TOLERANCE = 0.45  # both halves of a split counter grant the same quota until the split is detected


class SeededDraws:
    """Named random draws of one day: the value depends on seed and name, not on the draws made before."""

    def __init__(self, seed: int, *names: object) -> None:
        self.seed, self.names = seed, names

    def child(self, *names: object) -> SeededDraws:
        return SeededDraws(self.seed, *self.names, *names)

    def fraction(self, *names: object) -> float:
        return float(draw.uniform(self.seed, "day", *self.names, *names))

    def uniform(self, low: float, high: float, *names: object) -> float:
        return round(draw.uniform_between(low, high, self.seed, "day", *self.names, *names), 3)

    def integer(self, low: int, high: int, *names: object) -> int:
        return low + int((high - low + 1) * self.fraction(*names))

    def choice(self, choices: Sequence[Any], *names: object) -> Any:
        return choices[int(len(choices) * self.fraction(*names))]


def customer_load_ms(desk: Table, quota: plans.Quota, classes: Sequence[plans.RequestClass]) -> float:
    """Return the load of one customer of the desk within its quota, in core milliseconds per second."""
    units = sum(desk["units"]) / 2
    usage = min(1.0, plans.USAGE_BY_MOOD[desk["mood"]])
    safe, claim = classes[0], classes[1]
    work_ms = desk["claims"] * claim.work_ms + (1 - desk["claims"]) * safe.work_ms
    return float(usage * quota.rate / units * work_ms * math.sqrt(units))


def draw_desks(draws: SeededDraws, limiters: int, load_ms: float, length_s: float) -> list[Table]:
    """Draw desks whose total load is about ``load_ms`` core milliseconds per second."""
    default_plan = plans.Plan(title="usual", desk=(plans.Desk(name="one", plan="basic", customers=1),))
    count = draws.integer(2, 4, "desks")
    weights = [draws.uniform(0.2, 1.0, "weight", n) for n in range(count)]
    desks = []
    for n, weight in enumerate(weights):
        own_draws = draws.child("desk", n)
        quota = default_plan.plans[own_draws.choice((0, 1, 1, 2, 2), "plan")]
        desk: Table = {
            "name": f"desk-{n}",
            "plan": quota.name,
            "customers": 1,
            "mood": own_draws.choice(("calm", "full", "full", "heavy", "spiky"), "mood"),
            "claims": own_draws.uniform(0.05, 0.4, "claims"),
            "units": [1, own_draws.choice((1, 2, 2, 3), "units")],
            "spread": own_draws.integer(min(2, limiters), limiters, "spread"),
        }
        customer_ms = customer_load_ms(desk, quota, default_plan.classes)
        desk["customers"] = max(1, min(400, round(load_ms * weight / sum(weights) / customer_ms)))
        if own_draws.fraction("once") < 0.1:
            desk["once"] = True
        if own_draws.fraction("shift") < 0.3:
            desk["shift_at_s"] = own_draws.uniform(0.2, 0.8, "shift_at") * length_s
        desks.append(desk)
    return desks


def draw_sides(draws: SeededDraws, limiters: int) -> list[list[int]]:
    cut = draws.integer(1, limiters - 1, "cut")
    return [list(range(cut)), list(range(cut, limiters))]


def draw_counter_fault(draws: SeededDraws, limiters: int) -> Table:
    modes = ("silent", "late", "noise", "busy", "down", "fresh", "split", "split", "snapshot", "part")
    fault = {"do": "counter", "mode": draws.choice(modes, "mode"), "for_s": draws.uniform(1, 8, "for")}
    if fault["mode"] == "split":
        fault["sides"] = draw_sides(draws, limiters)
        if draws.fraction("flap") < 0.3:
            fault |= {
                "flaps": [draws.integer(0, limiters - 1, "who")],
                "flap_s": draws.uniform(1, 7, "flap_s"),
            }
    return fault


def draw_link_fault(draws: SeededDraws, limiters: int, servers: int) -> Table:
    to = draws.choice(("server", "server", "counter", "counter", "discovery", "desks"), "to")
    fault = {
        "do": "link",
        "limiter": draws.integer(0, limiters - 1, "limiter"),
        "to": to,
        "mode": draws.choice(
            ("delay", "silence", "silence", "reset", "trickle", "truncate", "garbage", "refuse"), "mode"
        ),
        "for_s": draws.uniform(1, 6, "for"),
        "byte": draws.integer(1, 200, "byte"),
        "delay_ms": draws.uniform(5, 300, "delay"),
    }
    return fault | ({"server": draws.integer(0, servers - 1, "server")} if to == "server" else {})


def draw_limiter_fault(draws: SeededDraws, limiters: int) -> Table:
    return {
        "do": "limiter",
        "limiter": draws.integer(0, limiters - 1, "limiter"),
        "signal": draws.choice(("KILL", "KILL", "TERM", "TERM", "STOP", "HUP"), "signal"),
        "back_s": draws.uniform(0.3, 3.0, "back"),
    }


def draw_server_fault(draws: SeededDraws, kind: str) -> Table:
    share = draws.uniform(0.05, 0.2, "share")
    if kind == "kill":
        replaced = draws.fraction("replaced") < 0.4
        return {"do": "kill", "share": share, "back_s": draws.uniform(1, 8, "back"), "replaced": replaced}
    if kind == "slow":
        return {"do": "slow", "share": share, "for_s": draws.uniform(3, 10, "for")}
    return {
        "do": "drain",
        "share": draws.uniform(0.05, 0.35, "drained"),
        "for_s": draws.uniform(2, 8, "for"),
    }


def draw_fault(draws: SeededDraws, limiters: int, servers: int, peers: bool) -> Table:
    fault_kinds: dict[str, tuple[int, Callable[[], Table]]] = {
        "burst": (
            3,
            lambda: {
                "do": "burst",
                "len_s": draws.uniform(2, 7, "len"),
                "times": draws.uniform(1.4, 2.3, "times"),
            },
        ),
        "kill": (3, lambda: draw_server_fault(draws, "kill")),
        "slow": (3, lambda: draw_server_fault(draws, "slow")),
        "drain": (2, lambda: draw_server_fault(draws, "drain")),
        "limiter": (3, lambda: draw_limiter_fault(draws, limiters)),
        "counter": (4, lambda: draw_counter_fault(draws, limiters)),
        "discovery": (
            2,
            lambda: {
                "do": "discovery",
                "mode": draws.choice(("silent", "down"), "mode"),
                "for_s": draws.uniform(2, 10, "for"),
            },
        ),
        "link": (5, lambda: draw_link_fault(draws, limiters, servers)),
        "rude": (
            1,
            lambda: {
                "do": "rude",
                "each_s": draws.uniform(5, 40, "each"),
                "for_s": draws.uniform(2, 8, "for"),
            },
        ),
        "peers": (
            1 if peers else 0,
            lambda: {
                "do": "peers",
                "for_s": draws.uniform(1, 8, "for"),
                "sides": draw_sides(draws, limiters),
            },
        ),
    }
    names = [name for name, (weight, _) in fault_kinds.items() for _ in range(weight)]
    return fault_kinds[draws.choice(names, "kind")][1]()


def quota_tolerance(faults: Sequence[Table]) -> float:
    """Return the share by which the quota rule of a day with these faults lets a quota be exceeded."""
    tolerance = BASE_QUOTA_TOLERANCE
    for fault in faults:
        tolerance += (
            SPLIT_TOLERANCE if fault.get("mode") == "split" else TOLERANCE_BY_FAULT.get(fault["do"], 0.0)
        )
    return round(tolerance, 2)


def plan_table(seed: int, length_s: float = 24.0) -> Table:
    """Draw the day of a seed, ``length_s`` seconds long, as a plan's table."""
    draws = SeededDraws(seed)
    limiters, servers, cores = (
        draws.integer(2, 4, "limiters"),
        draws.integer(5, 14, "servers"),
        draws.integer(1, 2, "cores"),
    )
    peers = draws.fraction("peers") < 0.5
    load = draws.uniform(0.4, 1.1, "load")
    load_ms = load * servers * cores * 1000
    count = min(MAX_FAULTS, draws.integer(0, MAX_FAULTS + 1, "troubles"))
    clustered, cluster_start_s = draws.fraction("close") < 0.5, draws.uniform(0.1, 0.6, "from") * length_s
    faults = []
    for n in range(count):
        own_draws = draws.child("trouble", n)
        fault = draw_fault(own_draws, limiters, servers, peers)
        low, high = (
            (cluster_start_s, cluster_start_s + FAULT_CLUSTER_S)
            if clustered
            else (0.05 * length_s, 0.85 * length_s)
        )
        faults.append(fault | {"at_s": own_draws.uniform(low, high, "at")})
    bursts = [{k: v for k, v in fault.items() if k != "do"} for fault in faults if fault["do"] == "burst"]
    return {
        "title": f"drawn day {seed}: load {load:.2f}, {count} trouble{'s' * (count != 1)}",
        "length_s": length_s,
        "fleet": {
            "servers": servers,
            "cores": cores,
            "queue_per_core": draws.integer(4, 16, "queue"),
            "error_share": draws.choice((0.0, 0.0, 0.0, 0.02), "errors"),
            "zones": draws.integer(1, 3, "zones"),
            "cold_s": draws.uniform(3, 10, "cold"),
        },
        "limiters": {"count": limiters},
        "counter": {
            "parts": draws.integer(1, 4, "parts"),
            "timeout_ms": draws.choice((15.0, 30.0, 60.0), "timeout"),
            "lost_share": draws.choice((0.0, 0.0, 0.0, 0.02), "lost"),
        },
        "peers": {"allowed": peers, "loss": draws.uniform(0.0, 0.1, "loss")},
        "arrivals": {"shape": draws.choice(("steady", "wave", "ramp"), "shape"), "burst": bursts},
        "clients": {
            "retries": draws.integer(0, 4, "retries"),
            "backoff_ms": draws.uniform(30, 200, "backoff"),
            "honour": draws.choice((0.0, 0.8, 1.0), "honour"),
            "dribble": draws.choice((0.0, 0.0, 0.05), "dribble"),
        },
        "judge": {"quota_over": quota_tolerance(faults)},
        "desk": draw_desks(draws, limiters, load_ms, length_s),
        "fault": [fault for fault in faults if fault["do"] != "burst"],
    }


def to_toml(table: Table) -> str:
    """Return a plan's table as TOML.

    TOML has no null, so keys without a value are left out, which means the same.
    """

    def without_nulls(item: Any) -> Any:
        if isinstance(item, dict):
            return {key: without_nulls(value) for key, value in item.items() if value is not None}
        return [without_nulls(value) for value in item] if isinstance(item, list | tuple) else item

    return tomli_w.dumps(without_nulls(table))
