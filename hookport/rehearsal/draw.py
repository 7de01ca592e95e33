"""Random draws of a rehearsal, all of them functions of the seed.

A draw depends on the seed and on the names that identify its purpose, never on earlier draws. So request 17
has the same amount of work whichever server runs it, in whatever order requests come, and also on a
busy machine.
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
SEED_MULTIPLIER = 0x632BE59BD9B4E019  # separates the ids of different seeds
MAX_REQUESTS = 1 << 28  # an id that decodes to this number or more is not of this seed


def uniform(seed: int, *names: object) -> float:
    """A number in [0, 1) that is determined by the seed and the names."""
    text = repr((seed, names)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=7).digest()) / (1 << 56)


def uniform_between(low: float, high: float, seed: int, *names: object) -> float:
    return low + (high - low) * uniform(seed, *names)


def lognormal(mean: float, cv: float, seed: int, *names: object) -> float:
    """A lognormal value of the given mean and coefficient of variation, limited to 20 times the mean."""
    if cv <= 0:
        return mean
    sigma = math.sqrt(math.log1p(cv * cv))
    radius = math.sqrt(-2 * math.log(1 - uniform(seed, "radius", *names)))
    normal = radius * math.cos(2 * math.pi * uniform(seed, "angle", *names))
    return min(20 * mean, mean * math.exp(sigma * normal - sigma * sigma / 2))


class Arrival(NamedTuple):
    """One request of a customer, with everything that its attempts have in common."""

    number: int  # from 0, in order of time
    at_ns: int  # since the start of the run
    customer: int
    quota_index: int  # position in Plan.plans
    class_index: int  # position in Plan.classes
    units: int
    spread: int
    first: int


def request_id(seed: int, number: int, attempt: int) -> str:
    """The id of a client's attempt: 16 hex digits that look random, different for each attempt."""
    return f"{((number << 8 | attempt) + seed * SEED_MULTIPLIER) * ID_MULTIPLIER % ID_RANGE:016x}"


def decode_request_id(seed: int, id: str) -> tuple[int, int] | None:
    """The numbers of the request and the attempt of an id, or None if the id is not of this seed."""
    try:
        plain = int(id, 16) * ID_INVERSE % ID_RANGE - seed * SEED_MULTIPLIER
    except ValueError:
        return None
    number, attempt = divmod(plain % ID_RANGE, 256)
    return (number, attempt) if number < MAX_REQUESTS else None


def work_ms(plan: plans.Plan, seed: int, class_index: int, units: int, number: int) -> float:
    """The work of request ``number`` in milliseconds of one core of speed 1.

    It grows with the square root of the units."""
    request_class = plan.classes[class_index]
    return lognormal(request_class.work_ms, request_class.cv, seed, "work", number) * math.sqrt(units)


def load_factor(plan: plans.Plan, at_s: float) -> float:
    """The request rate at a time of the run, as a multiple of the usual rate."""
    shape, swing, progress = plan.arrivals.shape, plan.arrivals.swing, at_s / plan.length_s
    factor = 1.0
    if shape == "wave":
        factor = 1 + swing * math.sin(4 * math.pi * progress)
    elif shape == "ramp":
        factor = 1 + swing * (2 * progress - 1)
    for burst in plan.arrivals.burst:
        if burst.at_s <= at_s < burst.at_s + burst.len_s:
            factor *= burst.times
    return factor


def customer_arrivals(
    plan: plans.Plan, seed: int, desk_index: int, customer_index: int
) -> Iterator[tuple[float, int]]:
    """The requests of one customer in order of time, as pairs of time in seconds and units."""
    desk = plan.desk[desk_index]
    quota = next(q for q in plan.plans if q.name == desk.plan)
    rng = random.Random(f"{seed}/{desk.name}/{customer_index}")
    mean_units = sum(desk.units) / 2
    rate = (desk.usage or plans.USAGE_BY_MOOD[desk.mood]) * quota.rate / mean_units
    max_factor = (1 + plan.arrivals.swing) * math.prod(max(1.0, b.times) for b in plan.arrivals.burst)
    spiky = desk.mood == "spiky"
    mean_spike_size = max(2.0, 0.6 * quota.burst / mean_units) if spiky else 1.0
    at_s = 0.0
    while True:
        at_s += rng.expovariate(rate * max_factor / mean_spike_size)
        if at_s >= plan.length_s:
            return
        if rng.random() * max_factor > load_factor(plan, at_s):
            continue
        spike_size = (
            1 + min(int(rng.expovariate(1 / mean_spike_size)), int(4 * mean_spike_size)) if spiky else 1
        )
        request_at_s = at_s
        for _ in range(spike_size):
            if request_at_s < plan.length_s:
                yield request_at_s, rng.randint(*desk.units)
            request_at_s += rng.expovariate(20.0)  # requests of a spike are 50 ms apart on average


def arrivals(plan: plans.Plan, seed: int) -> list[Arrival]:
    """All requests of the run, in order of time."""
    limiters = plan.limiters.count
    safe_classes = [n for n, item in enumerate(plan.classes) if item.repeat == "safe"]
    unsafe_classes = [n for n, item in enumerate(plan.classes) if item.repeat != "safe"]
    heap: list[tuple[float, int, int, int, int]] = []
    for desk_index, desk in enumerate(plan.desk):
        for customer_index in range(desk.customers):
            for request_index, (at_s, units) in enumerate(
                customer_arrivals(plan, seed, desk_index, customer_index)
            ):
                heapq.heappush(heap, (at_s, desk_index, customer_index, request_index, units))
    schedule: list[Arrival] = []
    while heap:
        at_s, desk_index, customer_index, request_index, units = heapq.heappop(heap)
        desk = plan.desk[desk_index]
        draw = uniform(seed, "class", desk.name, customer_index, request_index)
        candidates = unsafe_classes if draw < desk.claims else safe_classes
        class_index = candidates[
            int(uniform(seed, "kind", desk.name, customer_index, request_index) * len(candidates))
        ]
        first = customer_index % limiters if desk.first is None else desk.first
        if desk.shift_at_s is not None and at_s >= desk.shift_at_s:
            first = (first + desk.shift_by) % limiters
        customer_key = f"{seed}/{desk.name}/{customer_index}" + (f"/{request_index}" if desk.once else "")
        digest = hashlib.blake2b(customer_key.encode(), digest_size=5).digest()
        customer = int.from_bytes(digest) % (1 << 33)
        quota_index = next(n for n, q in enumerate(plan.plans) if q.name == desk.plan)
        at_ns = round(at_s * SECOND_NS)
        schedule.append(
            Arrival(len(schedule), at_ns, customer, quota_index, class_index, units, desk.spread, first)
        )
    return schedule


def digest(schedule: list[Arrival]) -> str:
    """A digest of a schedule; equal digests mean equal schedules."""
    sha256 = hashlib.sha256()
    for arrival in schedule:
        sha256.update(b"%d,%d,%d,%d,%d,%d,%d,%d\n" % arrival)
    return sha256.hexdigest()[:16]


def fault_targets(
    plan: plans.Plan, seed: int, number: int, servers: tuple[int, ...], share: float
) -> list[int]:
    """The servers of fault ``number``: those that it names, or a drawn share of all.

    A share avoids the servers that earlier faults of the plan drew, as long as there are others."""
    if servers:
        return list(servers)
    already_drawn: set[int] = set()
    for n, fault in enumerate(plan.fault[: number + 1]):
        if (
            not isinstance(fault, plans.KillFault | plans.SlowFault | plans.DrainFault)
            or fault.servers
            or not fault.share
        ):
            continue
        order = sorted(
            range(plan.fleet.servers), key=lambda s: (s in already_drawn, uniform(seed, "fault", n, s))
        )
        drawn = order[: max(1, int(fault.share * plan.fleet.servers))]
        if n == number:
            return sorted(drawn)
        already_drawn.update(drawn)
    return []
