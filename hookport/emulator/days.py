"""Random days: plans drawn from the users' incident record, one for each seed.

A day has a fleet, two to four limiters, desks that ask 0.4 to 1.1 times what the fleet can do, and up to
five troubles, in half of the days all within a few seconds of one another. What recurs in the record: bursts
of 1.4 to 2.3 times, up to a fifth of the servers killed or 3.4 to 8.4 times slower, desks that move on,
discovery and counter in trouble, links that fall silent one by one, limiters restarted under load. A day is
a plan like any other: it can be written, kept, and played in any depth.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any

import tomli_w

from hookport.rehearsal import draw
from hookport.rehearsal import plan as plans

Table = dict[str, Any]
MOST_TROUBLES = 5
CLOSE_S = 4.0  # within which the troubles of a hard day begin
# What a quota may be passed by, of what it lets in: as it is (a small plan's slices hold one request), and
# more for each trouble that hides spends.
QUOTA_OVER = 0.25
HIDES = {"limiter": 0.08, "counter": 0.15, "link": 0.08}
SPLITS = 0.45  # two halves of a counter lend one quota until they are told apart


class Chance:
    """Draws of one day by name: what one of them gives does not hang on which were made before it."""

    def __init__(self, seed: int, *names: object) -> None:
        self.seed, self.names = seed, names

    def of(self, *names: object) -> Chance:
        return Chance(self.seed, *self.names, *names)

    def part(self, *names: object) -> float:
        return float(draw.uniform(self.seed, "day", *self.names, *names))

    def between(self, low: float, high: float, *names: object) -> float:
        return round(draw.uniform_between(low, high, self.seed, "day", *self.names, *names), 3)

    def whole(self, low: int, high: int, *names: object) -> int:
        return low + int((high - low + 1) * self.part(*names))

    def one(self, choices: Sequence[Any], *names: object) -> Any:
        return choices[int(len(choices) * self.part(*names))]


def demand_ms(desk: Table, quota: plans.Quota, classes: Sequence[plans.RequestClass]) -> float:
    """Work in core milliseconds a second that one customer of the desk asks for, inside its quota."""
    units = sum(desk["units"]) / 2
    usage = min(1.0, plans.USAGE_BY_MOOD[desk["mood"]])
    safe, claim = classes[0], classes[1]
    work_ms = desk["claims"] * claim.work_ms + (1 - desk["claims"]) * safe.work_ms
    return float(usage * quota.rate / units * work_ms * math.sqrt(units))


def desks(chance: Chance, limiters: int, load_ms: float, length_s: float) -> list[Table]:
    """Desks that ask for so much work together; each has a plan, a mood and a set of limiters."""
    usual = plans.Plan(title="usual", desk=(plans.Desk(name="one", plan="basic", customers=1),))
    many = chance.whole(2, 4, "desks")
    weights = [chance.between(0.2, 1.0, "weight", n) for n in range(many)]
    told = []
    for n, weight in enumerate(weights):
        own = chance.of("desk", n)
        quota = usual.plans[own.one((0, 1, 1, 2, 2), "plan")]
        desk: Table = {
            "name": f"desk-{n}",
            "plan": quota.name,
            "customers": 1,
            "mood": own.one(("calm", "full", "full", "heavy", "spiky"), "mood"),
            "claims": own.between(0.05, 0.4, "claims"),
            "units": [1, own.one((1, 2, 2, 3), "units")],
            "spread": own.whole(min(2, limiters), limiters, "spread"),
        }
        each_ms = demand_ms(desk, quota, usual.classes)
        desk["customers"] = max(1, min(400, round(load_ms * weight / sum(weights) / each_ms)))
        if own.part("once") < 0.1:
            desk["once"] = True
        if own.part("shift") < 0.3:
            desk["shift_at_s"] = own.between(0.2, 0.8, "shift_at") * length_s
        told.append(desk)
    return told


def sides(chance: Chance, limiters: int) -> list[list[int]]:
    cut = chance.whole(1, limiters - 1, "cut")
    return [list(range(cut)), list(range(cut, limiters))]


def counter(chance: Chance, limiters: int) -> Table:
    modes = ("silent", "late", "noise", "busy", "down", "fresh", "split", "split", "snapshot", "part")
    told = {"do": "counter", "mode": chance.one(modes, "mode"), "for_s": chance.between(1, 8, "for")}
    if told["mode"] == "split":
        told["sides"] = sides(chance, limiters)
        if chance.part("flap") < 0.3:
            told |= {
                "flaps": [chance.whole(0, limiters - 1, "who")],
                "flap_s": chance.between(1, 7, "flap_s"),
            }
    return told


def link(chance: Chance, limiters: int, servers: int) -> Table:
    to = chance.one(("server", "server", "counter", "counter", "discovery", "desks"), "to")
    told = {
        "do": "link",
        "limiter": chance.whole(0, limiters - 1, "limiter"),
        "to": to,
        "mode": chance.one(
            ("delay", "silence", "silence", "reset", "trickle", "truncate", "garbage", "refuse"), "mode"
        ),
        "for_s": chance.between(1, 6, "for"),
        "byte": chance.whole(1, 200, "byte"),
        "delay_ms": chance.between(5, 300, "delay"),
    }
    return told | ({"server": chance.whole(0, servers - 1, "server")} if to == "server" else {})


def limiter(chance: Chance, limiters: int) -> Table:
    return {
        "do": "limiter",
        "limiter": chance.whole(0, limiters - 1, "limiter"),
        "signal": chance.one(("KILL", "KILL", "TERM", "TERM", "STOP", "HUP"), "signal"),
        "back_s": chance.between(0.3, 3.0, "back"),
    }


def servers_of(chance: Chance, what: str) -> Table:
    share = chance.between(0.05, 0.2, "share")
    if what == "kill":
        replaced = chance.part("replaced") < 0.4
        return {"do": "kill", "share": share, "back_s": chance.between(1, 8, "back"), "replaced": replaced}
    if what == "slow":
        return {"do": "slow", "share": share, "for_s": chance.between(3, 10, "for")}
    return {
        "do": "drain",
        "share": chance.between(0.05, 0.35, "drained"),
        "for_s": chance.between(2, 8, "for"),
    }


def trouble(chance: Chance, limiters: int, servers: int, peers: bool) -> Table:
    kinds: dict[str, tuple[int, Callable[[], Table]]] = {
        "burst": (
            3,
            lambda: {
                "do": "burst",
                "len_s": chance.between(2, 7, "len"),
                "times": chance.between(1.4, 2.3, "times"),
            },
        ),
        "kill": (3, lambda: servers_of(chance, "kill")),
        "slow": (3, lambda: servers_of(chance, "slow")),
        "drain": (2, lambda: servers_of(chance, "drain")),
        "limiter": (3, lambda: limiter(chance, limiters)),
        "counter": (4, lambda: counter(chance, limiters)),
        "discovery": (
            2,
            lambda: {
                "do": "discovery",
                "mode": chance.one(("silent", "down"), "mode"),
                "for_s": chance.between(2, 10, "for"),
            },
        ),
        "link": (5, lambda: link(chance, limiters, servers)),
        "rude": (
            1,
            lambda: {
                "do": "rude",
                "each_s": chance.between(5, 40, "each"),
                "for_s": chance.between(2, 8, "for"),
            },
        ),
        "peers": (
            1 if peers else 0,
            lambda: {"do": "peers", "for_s": chance.between(1, 8, "for"), "sides": sides(chance, limiters)},
        ),
    }
    names = [name for name, (weight, _) in kinds.items() for _ in range(weight)]
    return kinds[chance.one(names, "kind")][1]()


def allowed_over(troubles: Sequence[Table]) -> float:
    """What the day's quota rule allows: a fixed share, and more for each trouble that hides spends."""
    over = QUOTA_OVER
    for told in troubles:
        over += SPLITS if told.get("mode") == "split" else HIDES.get(told["do"], 0.0)
    return round(over, 2)


def table(seed: int, length_s: float = 24.0) -> Table:
    """The day of a seed as the table of a plan, ``length_s`` seconds long."""
    chance = Chance(seed)
    limiters, servers, cores = (
        chance.whole(2, 4, "limiters"),
        chance.whole(5, 14, "servers"),
        chance.whole(1, 2, "cores"),
    )
    peers = chance.part("peers") < 0.5
    load = chance.between(0.4, 1.1, "load")
    load_ms = load * servers * cores * 1000
    many = min(MOST_TROUBLES, chance.whole(0, MOST_TROUBLES + 1, "troubles"))
    close, from_s = chance.part("close") < 0.5, chance.between(0.1, 0.6, "from") * length_s
    troubles = []
    for n in range(many):
        own = chance.of("trouble", n)
        told = trouble(own, limiters, servers, peers)
        low, high = (from_s, from_s + CLOSE_S) if close else (0.05 * length_s, 0.85 * length_s)
        troubles.append(told | {"at_s": own.between(low, high, "at")})
    bursts = [{k: v for k, v in told.items() if k != "do"} for told in troubles if told["do"] == "burst"]
    return {
        "title": f"drawn day {seed}: load {load:.2f}, {many} trouble{'s' * (many != 1)}",
        "length_s": length_s,
        "fleet": {
            "servers": servers,
            "cores": cores,
            "queue_per_core": chance.whole(4, 16, "queue"),
            "error_share": chance.one((0.0, 0.0, 0.0, 0.02), "errors"),
            "zones": chance.whole(1, 3, "zones"),
            "cold_s": chance.between(3, 10, "cold"),
        },
        "limiters": {"count": limiters},
        "counter": {
            "parts": chance.whole(1, 4, "parts"),
            "timeout_ms": chance.one((15.0, 30.0, 60.0), "timeout"),
            "lost_share": chance.one((0.0, 0.0, 0.0, 0.02), "lost"),
        },
        "peers": {"allowed": peers, "loss": chance.between(0.0, 0.1, "loss")},
        "arrivals": {"shape": chance.one(("steady", "wave", "ramp"), "shape"), "burst": bursts},
        "clients": {
            "retries": chance.whole(0, 4, "retries"),
            "backoff_ms": chance.between(30, 200, "backoff"),
            "honour": chance.one((0.0, 0.8, 1.0), "honour"),
            "dribble": chance.one((0.0, 0.0, 0.05), "dribble"),
        },
        "judge": {"quota_over": allowed_over(troubles)},
        "desk": desks(chance, limiters, load_ms, length_s),
        "fault": [told for told in troubles if told["do"] != "burst"],
    }


def written(told: Table) -> str:
    """A plan's table as TOML. That has no null: a key without a value is left out, which means the same."""

    def valued(inner: Any) -> Any:
        if isinstance(inner, dict):
            return {key: valued(value) for key, value in inner.items() if value is not None}
        return [valued(value) for value in inner] if isinstance(inner, list | tuple) else inner

    return tomli_w.dumps(valued(told))
