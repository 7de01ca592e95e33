"""Plans: what a rehearsal is told, as TOML, checked in full before anything starts.

Times in a plan are in seconds (``_s``) or milliseconds (``_ms``); work is in milliseconds of one core of a
server of speed 1; rates are in units a second.  Whatever cannot be played raises PlanError, one line that
names the file, the key and what would do.
"""

from __future__ import annotations

import difflib
import os
import re
import tomllib
from collections.abc import Iterator
from importlib import resources
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0, le=1e6)]
NotNegative = Annotated[float, Meta(ge=0, le=1e6)]
Count = Annotated[int, Meta(ge=0, le=100_000)]
Name = Annotated[str, Meta(pattern="^[a-z][a-z0-9_-]{0,31}$")]
MAX_REQUEST_RATE = 20_000  # requests a second, of all desks together: what no one machine plays
USAGE_BY_MOOD = {"calm": 0.35, "full": 0.9, "heavy": 1.7, "spiky": 0.7}  # of the plan's rate


class PlanError(Exception):
    """A plan that cannot be played: file, key and what would do, in one line."""


class FleetSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The desk servers and how they do their work."""

    servers: Annotated[int, Meta(ge=1, le=200)] = 10
    cores: Annotated[int, Meta(ge=1, le=64)] = 2
    speed: tuple[Positive, Positive] = (0.8, 1.2)  # each server's is drawn between these
    queue_per_core: Count = 12  # waiting room; beyond it a request is turned away unseen
    cold_from: Share = 0.25  # of its capacity, with which a server starts
    cold_s: Positive = 8.0  # until it has all of it
    fall_multiple: Positive = 3.0  # times its present capacity, sent for fall_s: a cold server falls over
    fall_s: Positive = 1.5
    cancel: Literal["none", "queued", "all"] = "queued"  # what a closed connection stops
    connections: Annotated[int, Meta(ge=1, le=10_000)] = 400
    idle_s: Positive = 30.0
    error_share: Share = 0.0  # of requests that end in -ERR failed, with or without an effect
    delete_s: tuple[NotNegative, NotNegative] = (1.0, 3.0)  # until discovery knows that a server has died
    zones: Annotated[int, Meta(ge=1, le=8)] = 3


class LimiterSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The limiters under rehearsal: real processes."""

    count: Annotated[int, Meta(ge=1, le=32)] = 3
    memory_mb: Annotated[int, Meta(ge=16, le=65_536)] = 192
    sockets: Annotated[int, Meta(ge=64, le=65_536)] = 1024
    attempts: Annotated[int, Meta(ge=1, le=16)] = 4
    drain_ms: Positive = 250.0
    base_port: Annotated[int, Meta(ge=0, le=65_000)] = 0  # 0: free ports are looked for
    # the list of servers in the configuration of one that starts again
    known: Literal["last", "none"] = "last"
    kept_list: bool = False  # whether they keep the list on a disk that outlives them


class CounterSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The shared counter."""

    present: bool = True
    timeout_ms: Positive = 30.0
    parts: Annotated[int, Meta(ge=1, le=64)] = 4
    per_s: Positive = 400.0  # calls that each part serves a second, in turn
    line: Annotated[int, Meta(ge=1, le=100_000)] = 200  # calls that wait for a part at most
    lost_share: Share = 0.0  # of answers that never come, though the amount was added


class PeerSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Datagrams between limiters: at most 256 bytes, late, some lost."""

    allowed: bool = False
    loss: Share = 0.02
    delay_ms: tuple[NotNegative, NotNegative] = (1.0, 20.0)  # of each, drawn between these
    per_s: Annotated[int, Meta(ge=1, le=10_000)] = 40  # that may come to a limiter in a second


class DiscoverySettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Discovery: one agent for each limiter, each late in its own way."""

    delay_s: tuple[NotNegative, NotNegative] = (0.05, 0.6)
    told_within_s: Positive = 6.0  # after which a change counts as told though nobody listened


class RequestClass(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One class of requests."""

    name: Name
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    repeat: Literal["safe", "unsafe"] = "safe"
    work_ms: Positive = 40.0
    cv: Annotated[float, Meta(ge=0, le=5)] = 0.6  # coefficient of variation of the work


class Quota(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One plan of the customers, with its quota over all limiters."""

    name: Name
    rate: Positive
    burst: Positive
    price: Positive = 1.0
    over_cost: Share = 0.8  # of its worth, charged for a try sent on beyond the quota
    ceiling_rate: NotNegative = 0.0
    ceiling_burst: NotNegative = 0.0


class Desk(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A partner desk: customers of one plan that behave alike."""

    name: Name
    plan: str
    customers: Annotated[int, Meta(ge=1, le=100_000)]
    mood: Literal["calm", "full", "heavy", "spiky"] = "full"
    usage: NotNegative = 0.0  # of the plan's rate; 0 takes what the mood stands for
    claims: Share = 0.2  # of requests, of the classes that may not be repeated
    units: tuple[Annotated[int, Meta(ge=1, le=100)], Annotated[int, Meta(ge=1, le=100)]] = (1, 2)
    spread: Annotated[int, Meta(ge=1, le=32)] = 2
    first: Annotated[int, Meta(ge=0, le=31)] | None = None  # None: dealt round by customer
    once: bool = False  # each request is of a customer never seen before
    shift_at_s: NotNegative | None = None  # from then on by the next limiters
    shift_by: Annotated[int, Meta(ge=1, le=31)] = 1


class LoadBurst(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A while in which all desks ask more."""

    at_s: NotNegative
    len_s: Positive
    times: Positive


class ArrivalSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """When requests come."""

    shape: Literal["steady", "wave", "ramp"] = "steady"
    swing: Share = 0.15
    burst: tuple[LoadBurst, ...] = ()


class ClientSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How clients retry."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    backoff_ms: Positive = 100.0  # doubled at each try, with full jitter
    honour: Share = 0.8  # of refusals with advice after which a client stays away as told
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.7  # of the deadline, after which a try is given up
    marks: bool = True
    dribble: Share = 0.0  # of requests that come in pieces
    notice_s: tuple[NotNegative, NotNegative] = (0.8, 3.0)  # until the front sees a dead limiter


class Trigger(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An event at a server that sets off a fault: a cause, where a time would be a hope."""

    event: Literal["claim-received", "claim-begun", "claim-effect"]
    server: Annotated[int, Meta(ge=0, le=199)] | None = None  # None: any
    after_s: NotNegative = 0.0  # the first such event from then on


class FaultBase(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="do"):
    """When it begins: at a time, or when something happens."""

    at_s: NotNegative | None = None
    when: Trigger | None = None


class KillFault(FaultBase, tag="kill", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Servers die at once and come back cold after back_s, or never."""

    servers: tuple[Annotated[int, Meta(ge=0, le=199)], ...] = ()
    share: Share = 0.0
    back_s: Positive | None = 8.0
    replaced: bool = False  # what comes back has a new id, at the same address


class SlowFault(FaultBase, tag="slow", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Servers take several times as long."""

    servers: tuple[Annotated[int, Meta(ge=0, le=199)], ...] = ()
    share: Share = 0.0
    times: tuple[Positive, Positive] = (3.4, 8.4)
    for_s: Positive = 10.0


class DrainFault(FaultBase, tag="drain", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Servers are announced as draining, go on with what they have, and come back cold after for_s."""

    servers: tuple[Annotated[int, Meta(ge=0, le=199)], ...] = ()
    share: Share = 0.0
    for_s: Positive = 6.0


class LimiterFault(FaultBase, tag="limiter", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A limiter gets a signal: KILL and TERM are followed by a new start, HUP by new addresses."""

    limiter: Annotated[int, Meta(ge=0, le=31)]
    signal: Literal["KILL", "TERM", "HUP", "STOP"]
    back_s: Positive = 1.0  # STOP: until it goes on; else until it starts again


Sides = tuple[tuple[Annotated[int, Meta(ge=0, le=31)], ...], ...]


class CounterFault(FaultBase, tag="counter", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The counter fails."""

    mode: Literal["silent", "late", "noise", "busy", "down", "fresh", "split", "snapshot", "part"]
    for_s: Positive = 5.0
    late_ms: Positive = 200.0
    age_s: Annotated[float, Meta(gt=0, le=10)] = 2.0  # of the snapshot that takes the counter's place
    sides: Sides = ()  # of a split: the limiters on each; () parts even from odd
    flaps: tuple[Annotated[int, Meta(ge=0, le=31)], ...] = ()  # limiters that change sides, time and again
    flap_s: Positive = 7.0  # for which they stay on one


class PeersFault(FaultBase, tag="peers", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Datagrams between limiters go nowhere, or only within sides."""

    sides: Sides = ()  # (): from nobody to anybody
    for_s: Positive = 5.0


class DiscoveryFault(FaultBase, tag="discovery", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Discovery says nothing, or refuses connections."""

    mode: Literal["silent", "down"] = "silent"
    for_s: Positive = 10.0
    limiter: Annotated[int, Meta(ge=0, le=31)] | None = None


class LinkFault(FaultBase, tag="link", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A proxy between a limiter and a server, the counter, discovery or its desks does harm."""

    limiter: Annotated[int, Meta(ge=0, le=31)]
    to: Literal["server", "counter", "discovery", "desks"]
    server: Annotated[int, Meta(ge=0, le=199)] | None = None
    mode: Literal["delay", "silence", "reset", "trickle", "truncate", "garbage", "refuse"]
    delay_ms: NotNegative = 100.0
    byte: Annotated[int, Meta(ge=0, le=1 << 20)] = 40  # of each connection's answers, at which it is cut
    for_s: Positive = 5.0


class BadClientsFault(FaultBase, tag="rude", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Clients that send what cannot be read, or say nothing."""

    each_s: Positive = 20.0  # connections a second
    for_s: Positive = 10.0


Fault = (
    KillFault
    | SlowFault
    | DrainFault
    | LimiterFault
    | CounterFault
    | PeersFault
    | DiscoveryFault
    | LinkFault
    | BadClientsFault
)
FAULT_TAGS = ("kill", "slow", "drain", "limiter", "counter", "peers", "discovery", "link", "rude")


class JudgeSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What the referee allows and how the score is mixed."""

    whole: Share = 0.55
    worst_window: Share = 0.2
    worst_plan: Share = 0.25
    quota_over: NotNegative = 0.15  # units sent on beyond the quotas, of all units that they let in
    grace_ms: NotNegative = 50.0  # added to each time limit of the rules
    late_ms: Positive = 50.0  # a request that left this late was late by the kit's own fault
    late_share: Share = 0.02  # of requests so late that make a run void
    held_ms: Positive = 400.0  # the longest that a loop of the kit's own may be held
    memory_growth_mb: Positive = 24.0  # from the first third to the last, of each limiter


class Plan(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A whole plan."""

    title: Annotated[str, Meta(min_length=1, max_length=120)]
    length_s: Annotated[float, Meta(ge=2, le=3600)] = 60.0
    fleet: FleetSettings = FleetSettings()
    limiters: LimiterSettings = LimiterSettings()
    counter: CounterSettings = CounterSettings()
    peers: PeerSettings = PeerSettings()
    discovery: DiscoverySettings = DiscoverySettings()
    arrivals: ArrivalSettings = ArrivalSettings()
    clients: ClientSettings = ClientSettings()
    judge: JudgeSettings = JudgeSettings()
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)] = (
        RequestClass(name="search", aim_ms=750, deadline_ms=3000, worth=2, repeat="safe", work_ms=40),
        RequestClass(name="claim", aim_ms=1500, deadline_ms=4000, worth=5, repeat="unsafe", work_ms=60),
    )
    plans: Annotated[tuple[Quota, ...], Meta(min_length=1)] = (
        Quota(name="basic", rate=1, burst=4, price=0.88, over_cost=0.5),
        Quota(name="standard", rate=4.6, burst=19, price=1.2, over_cost=0.8),
        Quota(name="premium", rate=25, burst=47, price=1.8, over_cost=1.0),
    )
    desk: Annotated[tuple[Desk, ...], Meta(min_length=1)]
    fault: tuple[Fault, ...] = ()

    @property
    def max_deadline_s(self) -> float:
        """The longest time for which a client waits, in seconds."""
        return max(kind.deadline_ms for kind in self.classes) / 1000


def bundled_names() -> list[str]:
    """The bundled plans."""
    folder = resources.files("hookport.rehearsal") / "plans"
    return sorted(item.name.removesuffix(".toml") for item in folder.iterdir() if item.name.endswith(".toml"))


def load(which: str) -> Plan:
    """A bundled plan by its name, or a file by its path; raises PlanError."""
    if which in bundled_names():
        text = (resources.files("hookport.rehearsal") / "plans" / f"{which}.toml").read_text()
        return parse(text, which)
    if not os.path.exists(which):
        close = difflib.get_close_matches(which, bundled_names(), 1)
        hint = f"; did you mean {close[0]}?" if close else ""
        raise PlanError(
            f"{which}: no such plan: name a TOML file or one of {', '.join(bundled_names())}{hint}"
        )
    try:
        with open(which, "rb") as file:
            text = file.read().decode()
    except OSError as error:
        raise PlanError(f"{which}: cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise PlanError(f"{which}: byte {error.start}: not UTF-8: save it as UTF-8 text") from error
    return parse(text, which)


def parse(text: str, file: str) -> Plan:
    """Check a plan's text; raises PlanError that names the file, the key and what would do."""
    try:
        told = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PlanError(f"{file}: not TOML: {error}") from error
    return build(told, file)


def build(told: Any, file: str) -> Plan:
    """The plan of a parsed table; raises PlanError."""
    try:
        plan = msgspec.convert(told, Plan)
    except msgspec.ValidationError as error:
        raise PlanError(f"{file}: {format_validation_error(str(error))}") from error
    for key, why in find_problems(plan):
        raise PlanError(f"{file}: {key}: {why}")
    return plan


FAULT_TYPES: tuple[type[Struct], ...] = (
    KillFault,
    SlowFault,
    DrainFault,
    LimiterFault,
    CounterFault,
    DiscoveryFault,
    LinkFault,
    BadClientsFault,
)
SECTION_TYPES: dict[str, tuple[type[Struct], ...]] = {
    "fleet": (FleetSettings,),
    "limiters": (LimiterSettings,),
    "counter": (CounterSettings,),
    "discovery": (DiscoverySettings,),
    "arrivals": (ArrivalSettings, LoadBurst),
    "clients": (ClientSettings,),
    "judge": (JudgeSettings,),
    "classes": (RequestClass,),
    "plans": (Quota,),
    "desk": (Desk,),
    "fault": (*FAULT_TYPES, Trigger),
}


def known_keys(place: str) -> list[str]:
    """The keys that the table of a place may have, to guess at what a wrong one meant."""
    kinds = SECTION_TYPES.get(re.split(r"[.\[]", place)[0], (Plan,))
    return sorted({field for kind in kinds for field in kind.__struct_fields__})


def format_validation_error(text: str) -> str:
    """msgspec's message with the place first and, where a word is wrong, those that would do."""
    what, _, place = text.partition(" - at `$")
    place = place.rstrip("`").lstrip(".") or "the plan"
    if found := re.search(r"unknown field `(.+?)`", what):
        close = difflib.get_close_matches(found[1], known_keys(place), 1)
        where = found[1] if place == "the plan" else f"{place}.{found[1]}"
        return f"{where}: unknown key" + (f"; did you mean {close[0]}?" if close else "; take it out")
    if found := re.search(r"missing required field `(.+?)`", what):
        where = found[1] if place == "the plan" else f"{place}.{found[1]}"
        return f"{where}: is missing; add {found[1]} = ..."
    if place.endswith(".do"):
        return f"{place}: {what}; one of {', '.join(FAULT_TAGS)} would do"
    return f"{place}: {what}"


def find_problems(plan: Plan) -> Iterator[tuple[str, str]]:
    """What no single key can tell: each with its place and what would do."""
    limiters, servers = plan.limiters.count, plan.fleet.servers
    for place, low, high in (
        ("fleet.speed", *plan.fleet.speed),
        ("fleet.delete_s", *plan.fleet.delete_s),
        ("discovery.delay_s", *plan.discovery.delay_s),
        ("clients.notice_s", *plan.clients.notice_s),
    ):
        if low > high:
            yield place, f"the range runs from {low:g} down to {high:g}; write the smaller first"
    for key, group in (
        ("classes", [item.name for item in plan.classes]),
        ("plans", [item.name for item in plan.plans]),
        ("desk", [item.name for item in plan.desk]),
    ):
        for n, name in enumerate(group):
            if name in group[:n]:
                yield f"{key}[{n}].name", f"{name!r} stands twice; give each its own name"
    for n, kind in enumerate(plan.classes):
        if kind.aim_ms > kind.deadline_ms:
            yield f"classes[{n}].aim_ms", f"{kind.aim_ms:g} is past the deadline of {kind.deadline_ms:g} ms"
    for n, quota in enumerate(plan.plans):
        if quota.ceiling_rate and not quota.ceiling_burst:
            yield f"plans[{n}].ceiling_burst", "a ceiling_rate needs a ceiling_burst above 0"
    quotas = {quota.name: quota for quota in plan.plans}
    safe = [kind for kind in plan.classes if kind.repeat == "safe"]
    rate = 0.0
    for n, desk in enumerate(plan.desk):
        at = f"desk[{n}]"
        if desk.plan not in quotas:
            yield f"{at}.plan", f"no plan {desk.plan!r}; there is {', '.join(quotas)}"
            continue
        if desk.spread > limiters:
            yield f"{at}.spread", f"{desk.spread} is more than the {limiters} limiters there are"
        if desk.first is not None and desk.first >= limiters:
            yield f"{at}.first", f"there is no limiter {desk.first}; the last is {limiters - 1}"
        if desk.units[0] > desk.units[1]:
            yield f"{at}.units", f"the range runs from {desk.units[0]} down to {desk.units[1]}"
        if desk.units[1] > quotas[desk.plan].burst:
            yield f"{at}.units", f"{desk.units[1]} never fits the burst of {quotas[desk.plan].burst:g}"
        if desk.claims < 1 and not safe or desk.claims > 0 and len(safe) == len(plan.classes):
            yield f"{at}.claims", "no class of that kind; claims = 0 or 1 would do, or add the class"
        if desk.shift_at_s is not None and desk.shift_at_s >= plan.length_s:
            yield f"{at}.shift_at_s", f"is past the end at {plan.length_s:g} s"
        usage = desk.usage or USAGE_BY_MOOD[desk.mood]
        rate += usage * quotas[desk.plan].rate * desk.customers / (sum(desk.units) / 2)
    if rate > MAX_REQUEST_RATE:
        yield "desk", f"they ask {rate:.0f} times a second together; {MAX_REQUEST_RATE} at most can be played"
    for n, burst in enumerate(plan.arrivals.burst):
        if burst.at_s >= plan.length_s:
            yield f"arrivals.burst[{n}].at_s", f"{burst.at_s:g} is past the end at {plan.length_s:g} s"
    for n, fault in enumerate(plan.fault):
        at = f"fault[{n}]"
        if (fault.at_s is None) == (fault.when is None):
            yield f"{at}.at_s", "a fault begins either at_s or when = { event = ... }; write one of them"
        if fault.at_s is not None and fault.at_s >= plan.length_s:
            yield f"{at}.at_s", f"{fault.at_s:g} is past the end at {plan.length_s:g} s"
        if isinstance(fault, KillFault | SlowFault | DrainFault):
            if bool(fault.servers) == bool(fault.share) and fault.when is None:
                yield f"{at}.servers", "name servers = [...] or a share, one of them"
            if any(s >= servers for s in fault.servers):
                yield f"{at}.servers", f"there is no server {max(fault.servers)}; the last is {servers - 1}"
        if isinstance(fault, SlowFault) and fault.times[0] > fault.times[1]:
            yield f"{at}.times", f"the range runs from {fault.times[0]:g} down to {fault.times[1]:g}"
        if fault.when and fault.when.server is not None and fault.when.server >= servers:
            yield f"{at}.when.server", f"there is no server {fault.when.server}; the last is {servers - 1}"
        if isinstance(fault, LimiterFault | LinkFault) and fault.limiter >= limiters:
            yield f"{at}.limiter", f"there is no limiter {fault.limiter}; the last is {limiters - 1}"
        if isinstance(fault, DiscoveryFault) and fault.limiter is not None and fault.limiter >= limiters:
            yield f"{at}.limiter", f"there is no limiter {fault.limiter}; the last is {limiters - 1}"
        if isinstance(fault, CounterFault) and not plan.counter.present:
            yield f"{at}.do", "there is no counter: counter.present = true, or take the fault out"
        if isinstance(fault, CounterFault | PeersFault):
            yield from find_side_problems(fault, at, limiters)
        if isinstance(fault, PeersFault) and not plan.peers.allowed:
            yield f"{at}.do", "limiters send no datagrams: peers.allowed = true, or take the fault out"
        if isinstance(fault, LinkFault):
            if fault.to == "server" and (fault.server is None or fault.server >= servers):
                yield f"{at}.server", f"name one of the servers 0 to {servers - 1}"
            if fault.to == "counter" and not plan.counter.present:
                yield f"{at}.to", "there is no counter: counter.present = true, or take the fault out"
    if abs(plan.judge.whole + plan.judge.worst_window + plan.judge.worst_plan - 1) > 1e-6:
        yield "judge.whole", "whole, worst_window and worst_plan are parts of the score: they add up to 1"


def find_side_problems(fault: CounterFault | PeersFault, at: str, limiters: int) -> Iterator[tuple[str, str]]:
    """What is wrong with the sides that a fault names."""
    listed = [limiter for side in fault.sides for limiter in side]
    if fault.sides and sorted(listed) != list(range(limiters)):
        yield f"{at}.sides", f"each of the limiters 0 to {limiters - 1} is on one side, named once"
    if not isinstance(fault, CounterFault):
        return
    if fault.sides and len(fault.sides) != 2:
        yield f"{at}.sides", f"a counter splits in two halves, not {len(fault.sides)}"
    if (fault.sides or fault.flaps) and fault.mode != "split":
        yield f"{at}.mode", f"sides and flaps are of a split; with mode {fault.mode!r} take them out"
    if any(limiter >= limiters for limiter in fault.flaps):
        yield f"{at}.flaps", f"there is no limiter {max(fault.flaps)}; the last is {limiters - 1}"


def scaled(plan: Plan, length_s: float) -> Plan:
    """The same plan in another length: all times of its timeline move with it, what is in the world stays."""
    part = length_s / plan.length_s
    told = msgspec.to_builtins(plan)

    def move(item: dict[str, Any]) -> None:
        for key in ("at_s", "len_s", "for_s", "back_s", "shift_at_s", "after_s", "flap_s"):
            if item.get(key) is not None:
                item[key] = item[key] * part
        if isinstance(item.get("when"), dict):
            move(item["when"])

    for item in (*told["fault"], *told["desk"], *told["arrivals"]["burst"]):
        move(item)
    told["length_s"] = length_s
    return build(told, f"{plan.title} in {length_s:g} s")


def limiter_settings(plan: Plan, index: int) -> dict[str, Any]:
    """What limiter number ``index`` is told of the deployment, in the platform's names and nanoseconds."""
    ms, second = 1_000_000, 1_000_000_000
    largest = max(desk.units[1] for desk in plan.desk)
    return {
        "family": "gate",
        "tier": 0,
        "layers": ["servers"],
        "selfIndex": index,
        "siblings": plan.limiters.count,
        "zone": index % plan.fleet.zones,
        "zones": [f"hall-{n}" for n in range(plan.fleet.zones)],
        "hostTypes": ["desk"],
        "weightKind": "nominal",
        "discovery": "automatic",
        "step": 2 * ms,
        "lanes": [
            {
                "name": kind.name,
                "target": round(kind.aim_ms * ms),
                "giveUp": round(kind.deadline_ms * ms),
                "value": kind.worth,
                "lateWorth": 0.0,
                "idempotency": "pure" if kind.repeat == "safe" else "side_effect",
                "group": "all",
                "dedupWindow": 5 * second,
                "stream": False,
            }
            for kind in plan.classes
        ],
        "tiersOfService": [
            {
                "name": quota.name,
                "perSecond": quota.rate,
                "storeSize": quota.burst,
                "maxOut": 0,
                "hardRate": quota.ceiling_rate,
                "ceilingBurst": quota.ceiling_burst,
                "ceilingSlack": 0.0,
                "valueFactor": quota.price,
                "overWorth": 0.0,
                "excessCost": quota.over_cost,
            }
            for quota in plan.plans
        ],
        "familyInfo": {
            "hasCounter": plan.counter.present,
            "countLimit": round(plan.counter.timeout_ms * ms),
            "counterPrice": 0.02,
            "largest": largest,
            "peerIntake": float(plan.peers.per_s if plan.peers.allowed else 0),
            "settles": False,
            "usePeriod": 0,
        },
        "feedback": {"how": "off", "names": []},
        "clients": {"marksRetry": plan.clients.marks},
        "bounds": {
            "connIdle": round(plan.fleet.idle_s * second),
            "connectTimeout": 250 * ms,
            "maxRetryAfter": second,
            "mayCancel": True,
            "mayDuplicate": False,
            "mostTries": plan.limiters.attempts,
            "openCap": 20_000,
            "peerMessages": plan.peers.allowed,
            "probes": False,
            "retryAfter": True,
            "streamsPerConn": 100,
        },
        "rules": {
            "cold": round(plan.fleet.cold_s * second),
            "coldFrom": plan.fleet.cold_from,
            "fallMultiple": plan.fleet.fall_multiple,
            "overloadFor": round(plan.fleet.fall_s * second),
            "graceToAnswer": 8 * ms,
            "mustAskIn": 10 * second,
            "stopSendingWithin": round(plan.limiters.drain_ms * ms),
        },
    }


def limiter_config(
    plan: Plan, seed: int, number: int, host: str, port: int, places: dict[str, Any]
) -> dict[str, Any]:
    """The configuration of limiter ``number``, in the platform's form; ``places`` as ``World.start`` told
    them."""
    limits = plan.limiters
    told = {
        "name": f"n{number}",
        "listen": f"{host}:{port}",
        "discovery": f"{host}:{places['discovery'][number]}",
        "counter": f"{host}:{places['counter'][number]}",
        "seed": f"{(seed * 1000 + number * 10 + 1) % (1 << 63):x}",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "known": places["known"][number],
        "settings": limiter_settings(plan, number),
    }
    if plan.peers.allowed:
        told |= {"peer_listen": places["peers"][number][number], "peers": places["peers"][number]}
    return told
