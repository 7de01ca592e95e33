"""Simulates a restart of all limiters during a discovery outage, from a saved server list of a given age.

The fleet has changed since the list was saved, as much as is likely in that time: a rolling update replaces
every server once a day, and each server crashes and restarts every few days. Most replacements listen on the
old address under a new id. On the other addresses connections are refused or time out, or another service
answers. Some servers of the list were draining when it was saved: they must get no requests, whatever listens
on their addresses now."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from aniseshed.interface import Health, ListKind, Request, ServerEntry, ServerList
from hookport.emulator.clock import MS_NS, SECOND_NS, Clock
from hookport.emulator.servers import Behaviour, Server, ServerModel
from hookport.emulator.simulated_limiter import Answer, SimulatedLimiter, make_settings
from hookport.membership.curve import TrustCurve
from hookport.membership.fleet import Address, FleetView, Snapshot, SnapshotEntry

START_NS = 1_800_000_000 * SECOND_NS
AGES_S = (1, 10, 60, 600, 3_600, 28_800, 86_400, 604_800)
MODES = ("discovery", "kept", "as-told", "none")
DAY_S = 86_400.0
FORGET_S = 14 * DAY_S  # saved servers that discovery confirmed longer ago are dropped


@dataclass(frozen=True, slots=True)
class RestartScenario:
    """The parameters of a restart.

    ``age_s`` is the age of the saved list. ``mode`` is the source of the list: ``discovery`` (the current
    list, from a working discovery), ``kept`` (the saved list, with a trust in each server), ``as-told`` (the
    saved list, trusted fully) or ``none``. ``load`` is a share of the fleet's capacity, ``claim_share`` the
    share of requests that are claims. ``address_kept_share`` is the probability that a replacement listens on
    the address of the server that it replaces, ``mean_crash_days`` the mean time between crashes of a server,
    after which it restarts, and ``restarted_share`` the share of the servers that restarted within the last
    second before the limiters did, which no limiter could notice.
    """

    age_s: float
    seed: int
    mode: str = "kept"
    servers: int = 10
    limiters: int = 3
    load: float = 0.6
    claim_share: float = 0.2
    address_kept_share: float = 0.85
    mean_crash_days: float = 2.0
    restarted_share: float = 0.0
    length_s: float = 30.0


@dataclass(slots=True)
class RestartResult:
    """The measurements of one restart.

    ``share_10s`` and ``share_30s`` are the shares of the requests of the first 10 and 30 s that were answered
    within their target; ``first_s`` is the time to the first successful answer, infinite if there was none.
    ``drained`` counts attempts at servers that the list has as draining, ``unproved`` claims sent to a server
    that had not answered the limiter before, ``fell`` cold servers that failed under overload.
    """

    first_s: float
    share_10s: float
    share_30s: float
    attempts: int
    wasted: int
    drained: int
    unproved: int
    fell: int


def draw_server_state(
    rng: random.Random, scenario: RestartScenario, clock: Clock, model: ServerModel
) -> tuple[Behaviour, int, bool]:
    """Draw what listens on a server's address after ``age_s``.

    Returns its behaviour, when it started (0: long ago), and whether it is still the same server.
    """
    if rng.random() < min(1.0, scenario.age_s / DAY_S):
        if rng.random() < scenario.address_kept_share:
            # The replacement started at some time since the list was saved, or within the last day.
            started_ns = clock.now_ns - round(rng.uniform(0, min(scenario.age_s, DAY_S)) * SECOND_NS)
            return Behaviour.SERVES, started_ns, False
        behaviour = rng.choice((Behaviour.REFUSES, Behaviour.REFUSES, Behaviour.SILENT, Behaviour.NOISE))
        return behaviour, 0, False
    if rng.random() < scenario.restarted_share:
        return Behaviour.SERVES, clock.now_ns - round(rng.random() * SECOND_NS), True
    uptime_s = rng.expovariate(1 / (scenario.mean_crash_days * DAY_S))
    return (
        Behaviour.SERVES,
        clock.now_ns - round(uptime_s * SECOND_NS) if uptime_s < scenario.age_s else 0,
        True,
    )


def simulate_restart(scenario: RestartScenario) -> RestartResult:
    """Simulate one restart; equal scenarios give equal results."""
    rng, clock, model = random.Random(scenario.seed), Clock(START_NS), ServerModel()
    addresses: dict[Address, Server] = {}
    entries, actual_servers = list[SnapshotEntry](), list[tuple[ServerEntry, Address]]()
    snapshot_ns = START_NS - round(scenario.age_s * SECOND_NS)
    draining = set(rng.sample(range(scenario.servers), max(1, scenario.servers // 10)))
    for n in range(scenario.servers):
        address = (f"10.0.0.{n % 250}", 6379 + n // 250)
        id = b"s-%08x" % rng.getrandbits(32)
        health = Health.DRAINING if n in draining else Health.READY
        behaviour, started_ns, same_server = draw_server_state(rng, scenario, clock, model)
        if n in draining:  # it has stopped since then; another server may use its address
            behaviour, same_server = (
                rng.choice((Behaviour.SERVES, Behaviour.DRAINS, Behaviour.REFUSES)),
                False,
            )
        addresses[address] = Server(clock, model, behaviour, started_ns)
        entry = ServerEntry(id, 0, 0, 0, health, 1.0, 0)
        entries.append(SnapshotEntry(entry, address, 40, snapshot_ns, snapshot_ns))
        if behaviour is Behaviour.SERVES:
            started_ms = started_ns // MS_NS * MS_NS
            current = replace(
                entry, server=id if same_server else id + b"-new", health=Health.READY, started_ns=started_ms
            )
            actual_servers.append((current, address))
        elif n not in draining:  # its replacement has another address, which only discovery knows
            address = (f"10.0.1.{n % 250}", 6379 + n // 250)
            addresses[address] = Server(clock, model, Behaviour.SERVES)
            actual_servers.append((replace(entry, server=id + b"-new"), address))
    limiters = [
        start_limiter(scenario, n, clock, model, addresses, entries, actual_servers)
        for n in range(scenario.limiters)
    ]
    return simulate_requests(
        scenario, rng, clock, model, limiters, addresses, {entries[n].entry.server for n in draining}
    )


def start_limiter(scenario: RestartScenario, index: int, clock: Clock, model: ServerModel,
                  addresses: dict[Address, Server], entries: list[SnapshotEntry],
                  actual_servers: list[tuple[ServerEntry, Address]]) -> SimulatedLimiter:  # fmt: skip
    """Create a limiter and give it its first server list, according to the scenario's mode."""
    fleet = (
        FleetView("dawn", index, scenario.limiters, TrustCurve(), round(FORGET_S * SECOND_NS))
        if scenario.mode == "kept"
        else None
    )
    limiter_settings = make_settings(index, scenario.limiters, model.warm_up_s, model.cold_capacity_share)
    limiter = SimulatedLimiter(clock, limiter_settings, scenario.seed * 100 + index, addresses, fleet)
    if fleet:
        snapshot = Snapshot("dawn", 40, entries[0].confirmed_ns, tuple(entries), {})
        limiter.apply_update(fleet.start(clock.now_ns, snapshot, ServerList(ListKind.CACHED, ()), {}))
    elif scenario.mode == "as-told":
        limiter.apply_server_list(
            ServerList(ListKind.CACHED, tuple(item.entry for item in entries)),
            {item.entry.server: item.address for item in entries},
        )
    elif scenario.mode == "discovery":
        limiter.apply_server_list(
            ServerList(ListKind.FULL, tuple(entry for entry, _ in actual_servers)),
            {entry.server: address for entry, address in actual_servers},
        )
    else:
        limiter.apply_server_list(ServerList(ListKind.CACHED, ()), {})
    return limiter


def simulate_requests(scenario: RestartScenario, rng: random.Random, clock: Clock, model: ServerModel,
                      limiters: list[SimulatedLimiter], addresses: dict[Address, Server],
                      draining: set[bytes]) -> RestartResult:  # fmt: skip
    """Send requests from the start on and return the measurements."""
    rate = scenario.load * scenario.servers * model.cores / model.work_s
    good_by_window = {10: 0, 30: 0}
    requests_by_window = {10: 0, 30: 0}
    answer_times_ns = list[int]()

    def send_request() -> None:
        is_claim = rng.random() < scenario.claim_share
        sent_ns, work_s = clock.now_ns, model.work_s * rng.lognormvariate(-0.16, 0.57)
        traffic_class = limiters[0].settings.classes[is_claim]

        def on_answer(answer: Answer) -> None:
            if answer is not Answer.VALUE:
                return
            answer_times_ns.append(clock.now_ns)
            for window_s in good_by_window:
                good_by_window[window_s] += (
                    sent_ns < START_NS + window_s * SECOND_NS
                    and clock.now_ns - sent_ns <= traffic_class.target_ns
                )

        for window_s in requests_by_window:
            requests_by_window[window_s] += sent_ns < START_NS + window_s * SECOND_NS
        request = Request(0, int(is_claim), 0, rng.getrandbits(20), traffic_class.deadline_ns, 1.0,
                          float(scenario.limiters), 0.0, False)  # fmt: skip
        rng.choice(limiters).submit(request, work_s, on_answer)
        if clock.now_ns < START_NS + scenario.length_s * SECOND_NS:
            clock.schedule(rng.expovariate(rate) * SECOND_NS, send_request)

    clock.schedule(0, send_request)
    clock.run(START_NS + round((scenario.length_s + 5) * SECOND_NS))
    return RestartResult(
        first_s=(min(answer_times_ns) - START_NS) / SECOND_NS if answer_times_ns else float("inf"),
        share_10s=good_by_window[10] / max(1, requests_by_window[10]),
        share_30s=good_by_window[30] / max(1, requests_by_window[30]),
        attempts=sum(limiter.attempts for limiter in limiters),
        wasted=sum(limiter.wasted_attempts for limiter in limiters),
        drained=sum(limiter.attempts_by_server.get(server, 0) for limiter in limiters for server in draining),
        unproved=sum(server.unproven_claims for server in addresses.values()),
        fell=sum(server.has_failed for server in addresses.values()),
    )
