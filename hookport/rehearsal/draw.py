"""Draws: everything that chance decides in a rehearsal, from the seed alone, ahead of time.

A draw is a function of the seed and of what it is for, never of what was drawn before it: how long request
17 works at a server is the same whichever server takes it, in whatever order, on however busy a machine.
"""

from __future__ import annotations

import hashlib
import heapq
import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from hookport.rehearsal import plan as plans

SECOND_NS = 1_000_000_000
ID_RANGE = 1 << 64
# Multiplying by an odd number permutes the 64-bit integers, so that ids are distinct and can be decoded.
ID_MULTIPLIER = 0x9E3779B97F4A7C15
ID_INVERSE = pow(ID_MULTIPLIER, -1, ID_RANGE)
SEED_MULTIPLIER = 0x632BE59BD9B4E019
MAX_REQUESTS = 1 << 28


def uniform(seed: int, *names: object) -> float:
    """A number from 0 up to 1 that belongs to the seed and these names."""
    text = repr((seed, names)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=7).digest()) / (1 << 56)


def uniform_between(low: float, high: float, seed: int, *names: object) -> float:
    return low + (high - low) * uniform(seed, *names)


def lognormal(mean: float, cv: float, seed: int, *names: object) -> float:
    """A lognormal draw with that mean and coefficient of variation, at most 20 times the mean."""
    if cv <= 0:
        return mean
    spread = math.sqrt(math.log1p(cv * cv))
    radius = math.sqrt(-2 * math.log(1 - uniform(seed, "radius", *names)))
    normal = radius * math.cos(2 * math.pi * uniform(seed, "angle", *names))
    return min(20 * mean, mean * math.exp(spread * normal - spread * spread / 2))


class Arrival(NamedTuple):
    """One request of a customer, before any try of it."""

    number: int  # from 0, in order of time
    at_ns: int  # since the start of the evening
    customer: int
    quota_index: int  # position in the plan's plans
    class_index: int  # position in its classes
    units: int
    spread: int
    first: int


def request_id(seed: int, number: int, attempt: int) -> str:
    """The id of a client's try: 16 hex digits that look like chance, new with each try."""
    return f"{((number << 8 | attempt) + seed * SEED_MULTIPLIER) * ID_MULTIPLIER % ID_RANGE:016x}"


def decode_request_id(seed: int, id: str) -> tuple[int, int] | None:
    """The number of the request and of the try that have this id, or None if it is no id of this seed."""
    try:
        mixed = int(id, 16) * ID_INVERSE % ID_RANGE - seed * SEED_MULTIPLIER
    except ValueError:
        return None
    number, attempt = divmod(mixed % ID_RANGE, 256)
    return (number, attempt) if number < MAX_REQUESTS else None


def work_ms(plan: plans.Plan, seed: int, kind: int, units: int, number: int) -> float:
    """The work of a request, in milliseconds of one core of speed 1; it grows with the root of its units."""
    told = plan.classes[kind]
    return lognormal(told.work_ms, told.cv, seed, "work", number) * math.sqrt(units)


def load_at(plan: plans.Plan, at_s: float) -> float:
    """How many times the usual rate is asked at that time."""
    shape, swing, part = plan.arrivals.shape, plan.arrivals.swing, at_s / plan.length_s
    factor = 1.0
    if shape == "wave":
        factor = 1 + swing * math.sin(4 * math.pi * part)
    elif shape == "ramp":
        factor = 1 + swing * (2 * part - 1)
    for burst in plan.arrivals.burst:
        if burst.at_s <= at_s < burst.at_s + burst.len_s:
            factor *= burst.times
    return factor


def customer_arrivals(
    plan: plans.Plan, seed: int, desk_number: int, member: int
) -> Iterator[tuple[float, int]]:
    """Times in seconds and units of one customer's requests, in order."""
    desk = plan.desk[desk_number]
    quota = next(q for q in plan.plans if q.name == desk.plan)
    chance = random.Random(f"{seed}/{desk.name}/{member}")
    mean_units = sum(desk.units) / 2
    rate = (desk.usage or plans.USAGE_BY_MOOD[desk.mood]) * quota.rate / mean_units
    peak = (1 + plan.arrivals.swing) * math.prod(max(1.0, b.times) for b in plan.arrivals.burst)
    spiky = desk.mood == "spiky"
    size = max(2.0, 0.6 * quota.burst / mean_units) if spiky else 1.0
    at = 0.0
    while True:
        at += chance.expovariate(rate * peak / size)
        if at >= plan.length_s:
            return
        if chance.random() * peak > load_at(plan, at):
            continue
        many = 1 + min(int(chance.expovariate(1 / size)), int(4 * size)) if spiky else 1
        moment = at
        for _ in range(many):
            if moment < plan.length_s:
                yield moment, chance.randint(*desk.units)
            moment += chance.expovariate(20.0)  # within a spike: some 50 ms apart


def arrivals(plan: plans.Plan, seed: int) -> list[Arrival]:
    """All requests of the evening, in order of time."""
    limiters = plan.limiters.count
    safe = [n for n, kind in enumerate(plan.classes) if kind.repeat == "safe"]
    unsafe = [n for n, kind in enumerate(plan.classes) if kind.repeat != "safe"]
    rows: list[tuple[float, int, int, int, int]] = []
    for number, desk in enumerate(plan.desk):
        for member in range(desk.customers):
            for turn, (at_s, units) in enumerate(customer_arrivals(plan, seed, number, member)):
                heapq.heappush(rows, (at_s, number, member, turn, units))
    told: list[Arrival] = []
    while rows:
        at_s, number, member, turn, units = heapq.heappop(rows)
        desk = plan.desk[number]
        chance = uniform(seed, "class", desk.name, member, turn)
        group = unsafe if chance < desk.claims else safe
        kind = group[int(uniform(seed, "kind", desk.name, member, turn) * len(group))]
        first = member % limiters if desk.first is None else desk.first
        if desk.shift_at_s is not None and at_s >= desk.shift_at_s:
            first = (first + desk.shift_by) % limiters
        who = f"{seed}/{desk.name}/{member}" + (f"/{turn}" if desk.once else "")
        digest = hashlib.blake2b(who.encode(), digest_size=5).digest()
        customer = int.from_bytes(digest) % (1 << 33)
        quota = next(n for n, q in enumerate(plan.plans) if q.name == desk.plan)
        at_ns = round(at_s * SECOND_NS)
        told.append(Arrival(len(told), at_ns, customer, quota, kind, units, desk.spread, first))
    return told


def digest(told: list[Arrival]) -> str:
    """What two schedules share only if they are alike to the last digit."""
    summed = hashlib.sha256()
    for arrival in told:
        summed.update(b"%d,%d,%d,%d,%d,%d,%d,%d\n" % arrival)
    return summed.hexdigest()[:16]


def fault_targets(
    plan: plans.Plan, seed: int, number: int, servers: tuple[int, ...], share: float
) -> list[int]:
    """The servers that a fault falls on: those named, or a share drawn by the seed.

    Servers that an earlier fault of the plan drew by share are passed over as long as others are left."""
    if servers:
        return list(servers)
    taken: set[int] = set()
    for n, fault in enumerate(plan.fault[: number + 1]):
        if (
            not isinstance(fault, plans.KillFault | plans.SlowFault | plans.DrainFault)
            or fault.servers
            or not fault.share
        ):
            continue
        order = sorted(range(plan.fleet.servers), key=lambda s: (s in taken, uniform(seed, "fault", n, s)))
        found = order[: max(1, int(fault.share * plan.fleet.servers))]
        if n == number:
            return sorted(found)
        taken.update(found)
    return []
