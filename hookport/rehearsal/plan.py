"""Rehearsal plans: TOML files that are validated completely before anything starts.

Times in a plan are in seconds (``_s``) or milliseconds (``_ms``), work is in milliseconds of one core of a
server of speed 1, rates are in units per second. An invalid plan raises PlanError: one line with the file,
the key and what is allowed.
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
MAX_REQUEST_RATE = 20_000  # Requests per second of all desks together; one machine cannot generate more.
USAGE_BY_MOOD = {"calm": 0.35, "full": 0.9, "heavy": 1.7, "spiky": 0.7}  # share of the quota's rate


class PlanError(Exception):
    """An invalid plan; the message is one line with the file, the key and what is allowed."""


class FleetSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The desk servers: their number, capacity and failure model."""

    servers: Annotated[int, Meta(ge=1, le=200)] = 10
    cores: Annotated[int, Meta(ge=1, le=64)] = 2
    speed: tuple[Positive, Positive] = (0.8, 1.2)  # range from which the speed of each server is drawn
    queue_per_core: Count = 12  # a server with a full queue rejects requests without running them
    cold_from: Share = 0.25  # share of its capacity that a server has when it starts
    cold_s: Positive = 8.0  # warm-up time until a server has its full capacity
    # A cold server fails when it is sent this multiple of its present capacity for fall_s.
    fall_multiple: Positive = 3.0
    fall_s: Positive = 1.5
    cancel: Literal["none", "queued", "all"] = (
        "queued"  # requests that a server cancels when their connection closes
    )
    connections: Annotated[int, Meta(ge=1, le=10_000)] = 400
    idle_s: Positive = 30.0
    error_share: Share = 0.0  # share of requests answered -ERR failed, with or without an effect
    delete_s: tuple[NotNegative, NotNegative] = (1.0, 3.0)  # time until discovery sees that a server died
    zones: Annotated[int, Meta(ge=1, le=8)] = 3


class LimiterSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The limiters under test, each a process of its own."""

    count: Annotated[int, Meta(ge=1, le=32)] = 3
    memory_mb: Annotated[int, Meta(ge=16, le=65_536)] = 192
    sockets: Annotated[int, Meta(ge=64, le=65_536)] = 1024
    attempts: Annotated[int, Meta(ge=1, le=16)] = 4
    drain_ms: Positive = 250.0
    base_port: Annotated[int, Meta(ge=0, le=65_000)] = 0  # 0: any free ports
    # The server list in the configuration of a limiter that is restarted.
    known: Literal["last", "none"] = "last"
    kept_list: bool = False  # whether limiters save the server list to disk, where a restart finds it


class CounterSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The shared counter."""

    present: bool = True
    timeout_ms: Positive = 30.0
    parts: Annotated[int, Meta(ge=1, le=64)] = 4
    per_s: Positive = 400.0  # calls per second of each part, which serves them one after another
    line: Annotated[int, Meta(ge=1, le=100_000)] = 200  # maximum number of calls waiting for a part
    lost_share: Share = 0.0  # share of calls whose amount is added but whose answer is lost


class PeerSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Datagrams between limiters: at most 256 bytes, delayed, some lost."""

    allowed: bool = False
    loss: Share = 0.02
    delay_ms: tuple[NotNegative, NotNegative] = (1.0, 20.0)  # range from which each delay is drawn
    per_s: Annotated[int, Meta(ge=1, le=10_000)] = 40  # datagrams per second that a limiter accepts


class DiscoverySettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Discovery: one agent per limiter, each with a delay of its own."""

    delay_s: tuple[NotNegative, NotNegative] = (0.05, 0.6)
    # After this time the limiter is taken to know a change even if it was not subscribed.
    told_within_s: Positive = 6.0


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
    """One plan of customers, with its quota summed over all limiters."""

    name: Name
    rate: Positive
    burst: Positive
    price: Positive = 1.0
    over_cost: Share = 0.8  # share of the request's worth that is charged for an attempt beyond the quota
    ceiling_rate: NotNegative = 0.0
    ceiling_burst: NotNegative = 0.0


class Desk(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A partner desk: customers of one plan with the same behaviour."""

    name: Name
    plan: str
    customers: Annotated[int, Meta(ge=1, le=100_000)]
    mood: Literal["calm", "full", "heavy", "spiky"] = "full"
    usage: NotNegative = 0.0  # share of the quota's rate; 0: the share that USAGE_BY_MOOD has for the mood
    claims: Share = 0.2  # share of requests of the classes that are not safe to repeat
    units: tuple[Annotated[int, Meta(ge=1, le=100)], Annotated[int, Meta(ge=1, le=100)]] = (1, 2)
    spread: Annotated[int, Meta(ge=1, le=32)] = 2
    first: Annotated[int, Meta(ge=0, le=31)] | None = None  # None: customers are assigned round robin
    once: bool = False  # each request has a new customer id
    shift_at_s: NotNegative | None = None  # from this time on the desk uses other limiters
    shift_by: Annotated[int, Meta(ge=1, le=31)] = 1


class LoadBurst(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An interval in which the request rate of all desks is multiplied."""

    at_s: NotNegative
    len_s: Positive
    times: Positive


class ArrivalSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How the request rate varies over the run."""

    shape: Literal["steady", "wave", "ramp"] = "steady"
    swing: Share = 0.15
    burst: tuple[LoadBurst, ...] = ()


class ClientSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How clients send and retry."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    backoff_ms: Positive = 100.0  # doubled with each retry, with full jitter
    honour: Share = 0.8  # share of refusals with a retry-after time for which the client waits that long
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.7  # timeout of an attempt, as a share of the deadline
    marks: bool = True
    dribble: Share = 0.0  # share of requests that are sent in pieces
    notice_s: tuple[NotNegative, NotNegative] = (0.8, 3.0)  # time until clients avoid a dead limiter


class Trigger(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An event at a server that starts a fault.

    A fault at a fixed time would hit the wanted state only by chance."""

    event: Literal["claim-received", "claim-begun", "claim-effect"]
    server: Annotated[int, Meta(ge=0, le=199)] | None = None  # None: any server
    after_s: NotNegative = 0.0  # earlier events are ignored


class FaultBase(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="do"):
    """A fault begins either at a time or at an event."""

    at_s: NotNegative | None = None
    when: Trigger | None = None


class KillFault(FaultBase, tag="kill", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Servers are killed and come back cold after ``back_s``, or never if that is None."""

    servers: tuple[Annotated[int, Meta(ge=0, le=199)], ...] = ()
    share: Share = 0.0
    back_s: Positive | None = 8.0
    replaced: bool = False  # the server comes back with a new id at the same address


class SlowFault(FaultBase, tag="slow", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Servers take several times as long for their work."""

    servers: tuple[Annotated[int, Meta(ge=0, le=199)], ...] = ()
    share: Share = 0.0
    times: tuple[Positive, Positive] = (3.4, 8.4)
    for_s: Positive = 10.0


class DrainFault(FaultBase, tag="drain", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Servers are listed as draining, finish their requests and come back cold after ``for_s``."""

    servers: tuple[Annotated[int, Meta(ge=0, le=199)], ...] = ()
    share: Share = 0.0
    for_s: Positive = 6.0


class LimiterFault(FaultBase, tag="limiter", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A limiter gets a signal. After KILL and TERM it is restarted; HUP gives it new addresses."""

    limiter: Annotated[int, Meta(ge=0, le=31)]
    signal: Literal["KILL", "TERM", "HUP", "STOP"]
    back_s: Positive = 1.0  # STOP: time until SIGCONT; else time until the restart


Sides = tuple[tuple[Annotated[int, Meta(ge=0, le=31)], ...], ...]


class CounterFault(FaultBase, tag="counter", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The shared counter fails."""

    mode: Literal["silent", "late", "noise", "busy", "down", "fresh", "split", "snapshot", "part"]
    for_s: Positive = 5.0
    late_ms: Positive = 200.0
    age_s: Annotated[float, Meta(gt=0, le=10)] = 2.0  # age of the snapshot to which the counter reverts
    sides: Sides = ()  # split: the limiters of each half; (): even and odd limiters
    flaps: tuple[Annotated[int, Meta(ge=0, le=31)], ...] = ()  # limiters that keep changing halves
    flap_s: Positive = 7.0  # time between two changes


class PeersFault(FaultBase, tag="peers", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Datagrams between limiters are dropped, or delivered only within a side."""

    sides: Sides = ()  # (): all datagrams are dropped
    for_s: Positive = 5.0


class DiscoveryFault(FaultBase, tag="discovery", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Discovery sends nothing, or refuses connections."""

    mode: Literal["silent", "down"] = "silent"
    for_s: Positive = 10.0
    limiter: Annotated[int, Meta(ge=0, le=31)] | None = None


class LinkFault(FaultBase, tag="link", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A proxy disturbs a limiter's connections to a server, the counter or discovery, or from its desks."""

    limiter: Annotated[int, Meta(ge=0, le=31)]
    to: Literal["server", "counter", "discovery", "desks"]
    server: Annotated[int, Meta(ge=0, le=199)] | None = None
    mode: Literal["delay", "silence", "reset", "trickle", "truncate", "garbage", "refuse"]
    delay_ms: NotNegative = 100.0
    byte: Annotated[int, Meta(ge=0, le=1 << 20)] = 40  # position in a connection's replies at which it is cut
    for_s: Positive = 5.0


class BadClientsFault(FaultBase, tag="rude", frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Clients that send malformed requests, or nothing."""

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
    """The tolerances of the referee and the weights of the score."""

    whole: Share = 0.55
    worst_window: Share = 0.2
    worst_plan: Share = 0.25
    quota_over: NotNegative = 0.15  # units forwarded beyond the quotas, as a share of the units within them
    grace_ms: NotNegative = 50.0  # added to each time limit of the rules
    late_ms: Positive = 50.0  # a request sent this late counts as delayed by the test harness
    late_share: Share = 0.02  # share of such late requests that makes a run void
    held_ms: Positive = 400.0  # longest delay of a test harness event loop in a valid run
    memory_growth_mb: Positive = 24.0  # growth of a limiter from the first third of the run to the last


class Plan(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A complete plan."""

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
        """The longest deadline of all request classes, in seconds."""
        return max(item.deadline_ms for item in self.classes) / 1000


def bundled_names() -> list[str]:
    """The names of the bundled plans."""
    folder = resources.files("hookport.rehearsal") / "plans"
    return sorted(item.name.removesuffix(".toml") for item in folder.iterdir() if item.name.endswith(".toml"))


def load(name_or_path: str) -> Plan:
    """Load a bundled plan by its name or a plan file by its path; raises PlanError."""
    if name_or_path in bundled_names():
        text = (resources.files("hookport.rehearsal") / "plans" / f"{name_or_path}.toml").read_text()
        return parse(text, name_or_path)
    if not os.path.exists(name_or_path):
        close = difflib.get_close_matches(name_or_path, bundled_names(), 1)
        hint = f"; did you mean {close[0]}?" if close else ""
        raise PlanError(
            f"{name_or_path}: no such plan; give a TOML file or one of {', '.join(bundled_names())}{hint}"
        )
    try:
        with open(name_or_path, "rb") as file:
            text = file.read().decode()
    except OSError as error:
        raise PlanError(f"{name_or_path}: cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise PlanError(
            f"{name_or_path}: byte {error.start}: not valid UTF-8; save the file as UTF-8 text"
        ) from error
    return parse(text, name_or_path)


def parse(text: str, file: str) -> Plan:
    """Parse and validate the TOML text of a plan; ``file`` names it in a PlanError."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PlanError(f"{file}: not valid TOML: {error}") from error
    return build(table, file)


def build(table: Any, file: str) -> Plan:
    """Validate a parsed TOML table; ``file`` names it in a PlanError."""
    try:
        plan = msgspec.convert(table, Plan)
    except msgspec.ValidationError as error:
        raise PlanError(f"{file}: {format_validation_error(str(error))}") from error
    for key, problem in find_problems(plan):
        raise PlanError(f"{file}: {key}: {problem}")
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


def known_keys(key_path: str) -> list[str]:
    """The keys of the section that ``key_path`` is in, to suggest one for an unknown key."""
    section_types = SECTION_TYPES.get(re.split(r"[.\[]", key_path)[0], (Plan,))
    return sorted({field for section_type in section_types for field in section_type.__struct_fields__})


def format_validation_error(text: str) -> str:
    """msgspec's message with the key path first, and the allowed names where a name is wrong."""
    message, _, key_path = text.partition(" - at `$")
    key_path = key_path.rstrip("`").lstrip(".") or "the plan"
    if found := re.search(r"unknown field `(.+?)`", message):
        close = difflib.get_close_matches(found[1], known_keys(key_path), 1)
        full_key = found[1] if key_path == "the plan" else f"{key_path}.{found[1]}"
        return f"{full_key}: unknown key" + (f"; did you mean {close[0]}?" if close else "; remove it")
    if found := re.search(r"missing required field `(.+?)`", message):
        full_key = found[1] if key_path == "the plan" else f"{key_path}.{found[1]}"
        return f"{full_key}: is missing; add {found[1]} = ..."
    if key_path.endswith(".do"):
        return f"{key_path}: {message}; must be one of {', '.join(FAULT_TAGS)}"
    return f"{key_path}: {message}"


def find_problems(plan: Plan) -> Iterator[tuple[str, str]]:
    """Problems between several keys of a plan, each with the key path and a message."""
    limiters, servers = plan.limiters.count, plan.fleet.servers
    for key, low, high in (
        ("fleet.speed", *plan.fleet.speed),
        ("fleet.delete_s", *plan.fleet.delete_s),
        ("discovery.delay_s", *plan.discovery.delay_s),
        ("clients.notice_s", *plan.clients.notice_s),
    ):
        if low > high:
            yield key, f"the range runs from {low:g} down to {high:g}; write the smaller value first"
    for key, item_names in (
        ("classes", [item.name for item in plan.classes]),
        ("plans", [item.name for item in plan.plans]),
        ("desk", [item.name for item in plan.desk]),
    ):
        for n, name in enumerate(item_names):
            if name in item_names[:n]:
                yield f"{key}[{n}].name", f"duplicate name {name!r}; names must be unique"
    for n, item in enumerate(plan.classes):
        if item.aim_ms > item.deadline_ms:
            yield f"classes[{n}].aim_ms", f"{item.aim_ms:g} is past the deadline of {item.deadline_ms:g} ms"
    for n, quota in enumerate(plan.plans):
        if quota.ceiling_rate and not quota.ceiling_burst:
            yield f"plans[{n}].ceiling_burst", "a ceiling_rate needs a ceiling_burst above 0"
    quotas = {quota.name: quota for quota in plan.plans}
    safe_classes = [item for item in plan.classes if item.repeat == "safe"]
    total_rate = 0.0
    for n, desk in enumerate(plan.desk):
        key = f"desk[{n}]"
        if desk.plan not in quotas:
            yield f"{key}.plan", f"no plan {desk.plan!r}; must be one of {', '.join(quotas)}"
            continue
        if desk.spread > limiters:
            yield f"{key}.spread", f"{desk.spread} is more than the {limiters} limiters of the plan"
        if desk.first is not None and desk.first >= limiters:
            yield f"{key}.first", f"there is no limiter {desk.first}; the last is {limiters - 1}"
        if desk.units[0] > desk.units[1]:
            yield f"{key}.units", f"the range runs from {desk.units[0]} down to {desk.units[1]}"
        if desk.units[1] > quotas[desk.plan].burst:
            yield f"{key}.units", f"{desk.units[1]} is more than the burst of {quotas[desk.plan].burst:g}"
        if desk.claims < 1 and not safe_classes or desk.claims > 0 and len(safe_classes) == len(plan.classes):
            yield (
                f"{key}.claims",
                "the classes are all safe or all unsafe to repeat; set claims to 0 or 1, or add a class",
            )
        if desk.shift_at_s is not None and desk.shift_at_s >= plan.length_s:
            yield f"{key}.shift_at_s", f"is past the end of the plan at {plan.length_s:g} s"
        usage = desk.usage or USAGE_BY_MOOD[desk.mood]
        total_rate += usage * quotas[desk.plan].rate * desk.customers / (sum(desk.units) / 2)
    if total_rate > MAX_REQUEST_RATE:
        yield (
            "desk",
            f"all desks send {total_rate:.0f} requests per second; the maximum is {MAX_REQUEST_RATE}",
        )
    for n, burst in enumerate(plan.arrivals.burst):
        if burst.at_s >= plan.length_s:
            yield (
                f"arrivals.burst[{n}].at_s",
                f"{burst.at_s:g} is past the end of the plan at {plan.length_s:g} s",
            )
    for n, fault in enumerate(plan.fault):
        key = f"fault[{n}]"
        if (fault.at_s is None) == (fault.when is None):
            yield f"{key}.at_s", "a fault needs exactly one of at_s and when = { event = ... }"
        if fault.at_s is not None and fault.at_s >= plan.length_s:
            yield f"{key}.at_s", f"{fault.at_s:g} is past the end of the plan at {plan.length_s:g} s"
        if isinstance(fault, KillFault | SlowFault | DrainFault):
            if bool(fault.servers) == bool(fault.share) and fault.when is None:
                yield f"{key}.servers", "exactly one of servers = [...] and share is needed"
            if any(server >= servers for server in fault.servers):
                yield f"{key}.servers", f"there is no server {max(fault.servers)}; the last is {servers - 1}"
        if isinstance(fault, SlowFault) and fault.times[0] > fault.times[1]:
            yield f"{key}.times", f"the range runs from {fault.times[0]:g} down to {fault.times[1]:g}"
        if fault.when and fault.when.server is not None and fault.when.server >= servers:
            yield f"{key}.when.server", f"there is no server {fault.when.server}; the last is {servers - 1}"
        if isinstance(fault, LimiterFault | LinkFault) and fault.limiter >= limiters:
            yield f"{key}.limiter", f"there is no limiter {fault.limiter}; the last is {limiters - 1}"
        if isinstance(fault, DiscoveryFault) and fault.limiter is not None and fault.limiter >= limiters:
            yield f"{key}.limiter", f"there is no limiter {fault.limiter}; the last is {limiters - 1}"
        if isinstance(fault, CounterFault) and not plan.counter.present:
            yield f"{key}.do", "the plan has no counter; set counter.present = true or remove the fault"
        if isinstance(fault, CounterFault | PeersFault):
            yield from find_side_problems(fault, key, limiters)
        if isinstance(fault, PeersFault) and not plan.peers.allowed:
            yield f"{key}.do", "limiters send no datagrams; set peers.allowed = true or remove the fault"
        if isinstance(fault, LinkFault):
            if fault.to == "server" and (fault.server is None or fault.server >= servers):
                yield f"{key}.server", f"must be one of the servers 0 to {servers - 1}"
            if fault.to == "counter" and not plan.counter.present:
                yield f"{key}.to", "the plan has no counter; set counter.present = true or remove the fault"
    if abs(plan.judge.whole + plan.judge.worst_window + plan.judge.worst_plan - 1) > 1e-6:
        yield (
            "judge.whole",
            "whole, worst_window and worst_plan are weights of the score and must add up to 1",
        )


def find_side_problems(
    fault: CounterFault | PeersFault, key: str, limiters: int
) -> Iterator[tuple[str, str]]:
    """Problems of the sides and flaps of a fault, each with the key path and a message."""
    listed = [limiter for side in fault.sides for limiter in side]
    if fault.sides and sorted(listed) != list(range(limiters)):
        yield f"{key}.sides", f"each of the limiters 0 to {limiters - 1} must be on exactly one side"
    if not isinstance(fault, CounterFault):
        return
    if fault.sides and len(fault.sides) != 2:
        yield f"{key}.sides", f"a counter splits into two halves, not {len(fault.sides)}"
    if (fault.sides or fault.flaps) and fault.mode != "split":
        yield f"{key}.mode", f"only a split has sides and flaps; remove them for mode {fault.mode!r}"
    if any(limiter >= limiters for limiter in fault.flaps):
        yield f"{key}.flaps", f"there is no limiter {max(fault.flaps)}; the last is {limiters - 1}"


def scaled(plan: Plan, length_s: float) -> Plan:
    """The plan with another length: the times of its timeline scale with it, all other settings stay."""
    factor = length_s / plan.length_s
    table = msgspec.to_builtins(plan)

    def scale_times(item: dict[str, Any]) -> None:
        for key in ("at_s", "len_s", "for_s", "back_s", "shift_at_s", "after_s", "flap_s"):
            if item.get(key) is not None:
                item[key] = item[key] * factor
        if isinstance(item.get("when"), dict):
            scale_times(item["when"])

    for item in (*table["fault"], *table["desk"], *table["arrivals"]["burst"]):
        scale_times(item)
    table["length_s"] = length_s
    return build(table, f"{plan.title} in {length_s:g} s")


def limiter_settings(plan: Plan, index: int) -> dict[str, Any]:
    """The deployment settings of limiter ``index``, with the platform's key names and in nanoseconds."""
    ms_ns, second_ns = 1_000_000, 1_000_000_000
    max_units = max(desk.units[1] for desk in plan.desk)
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
        "step": 2 * ms_ns,
        "lanes": [
            {
                "name": request_class.name,
                "target": round(request_class.aim_ms * ms_ns),
                "giveUp": round(request_class.deadline_ms * ms_ns),
                "value": request_class.worth,
                "lateWorth": 0.0,
                "idempotency": "pure" if request_class.repeat == "safe" else "side_effect",
                "group": "all",
                "dedupWindow": 5 * second_ns,
                "stream": False,
            }
            for request_class in plan.classes
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
            "countLimit": round(plan.counter.timeout_ms * ms_ns),
            "counterPrice": 0.02,
            "largest": max_units,
            "peerIntake": float(plan.peers.per_s if plan.peers.allowed else 0),
            "settles": False,
            "usePeriod": 0,
        },
        "feedback": {"how": "off", "names": []},
        "clients": {"marksRetry": plan.clients.marks},
        "bounds": {
            "connIdle": round(plan.fleet.idle_s * second_ns),
            "connectTimeout": 250 * ms_ns,
            "maxRetryAfter": second_ns,
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
            "cold": round(plan.fleet.cold_s * second_ns),
            "coldFrom": plan.fleet.cold_from,
            "fallMultiple": plan.fleet.fall_multiple,
            "overloadFor": round(plan.fleet.fall_s * second_ns),
            "graceToAnswer": 8 * ms_ns,
            "mustAskIn": 10 * second_ns,
            "stopSendingWithin": round(plan.limiters.drain_ms * ms_ns),
        },
    }


def limiter_config(
    plan: Plan, seed: int, number: int, host: str, port: int, addresses: dict[str, Any]
) -> dict[str, Any]:
    """The configuration of limiter ``number`` in the platform's format.

    ``addresses`` is the result of ``World.start``."""
    limiters = plan.limiters
    config = {
        "name": f"n{number}",
        "listen": f"{host}:{port}",
        "discovery": f"{host}:{addresses['discovery'][number]}",
        "counter": f"{host}:{addresses['counter'][number]}",
        "seed": f"{(seed * 1000 + number * 10 + 1) % (1 << 63):x}",
        "limits": {"cores": 1.0, "memory_mb": limiters.memory_mb, "sockets": limiters.sockets},
        "known": addresses["known"][number],
        "settings": limiter_settings(plan, number),
    }
    if plan.peers.allowed:
        config |= {"peer_listen": addresses["peers"][number][number], "peers": addresses["peers"][number]}
    return config
