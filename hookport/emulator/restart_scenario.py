"""A morning on which all limiters start again while discovery says nothing, on a list of some age.

The fleet has changed since the list was kept, as much as its age makes likely: a roll replaces every server
once a day, and a server starts again by itself once in some days.  Most replacements come up at the old
address under a new id; at the others there is nothing, a black hole, or something that is no desk server.
Some servers of the list were draining when it was kept: whatever lives at their addresses now, they were told
to get nothing."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from aniseshed.interface import Health, ListKind, Request, ServerEntry, ServerList
from hookport.emulator.clock import MS, SECOND, Clock
from hookport.emulator.servers import Behaviour, Model, Server
from hookport.emulator.simulated_limiter import Answer, SimulatedLimiter, settings
from hookport.membership.curve import TrustCurve
from hookport.membership.fleet import Address, FleetView, Snapshot, SnapshotEntry

START_NS = 1_800_000_000 * SECOND
AGES_S = (1, 10, 60, 600, 3_600, 28_800, 86_400, 604_800)
MODES = ("discovery", "kept", "as-told", "none")
DAY_S = 86_400.0
FORGET_S = 14 * DAY_S


@dataclass(frozen=True, slots=True)
class RestartScenario:
    """What is drawn: ``load`` is a part of the fleet's capacity, ``stays`` the chance that a replaced
    server's address is its successor's, ``crash_days`` the mean time between a server's own restarts,
    ``restarted`` the part of the servers that started again within a second before the limiters did,
    unheard."""

    age_s: float
    seed: int
    mode: str = "kept"
    servers: int = 10
    limiters: int = 3
    load: float = 0.6
    claims: float = 0.2
    stays: float = 0.85
    crash_days: float = 2.0
    restarted: float = 0.0
    length_s: float = 30.0


@dataclass(slots=True)
class RestartResult:
    """What came of it.  Shares are of requests asked in the first 10 and 30 s; ``first_s`` is the time to the
    first good answer, infinite if there was none.  ``drained`` counts attempts at servers that the list tells
    as draining, ``unproved`` claims that came to a server which had not answered that limiter yet, ``fell``
    cold servers that were pushed over."""

    first_s: float
    share_10s: float
    share_30s: float
    attempts: int
    wasted: int
    drained: int
    unproved: int
    fell: int


def changed(
    chance: random.Random, told: RestartScenario, clock: Clock, model: Model
) -> tuple[Behaviour, int, bool]:
    """What lives at a server's address after ``age_s``, since when, and whether it is the same server
    still."""
    if chance.random() < min(1.0, told.age_s / DAY_S):
        if chance.random() < told.stays:
            # The newest life of the address began at some time since the list, or within the last day.
            born_ns = clock.now_ns - round(chance.uniform(0, min(told.age_s, DAY_S)) * SECOND)
            return Behaviour.SERVES, born_ns, False
        odd = chance.choice((Behaviour.REFUSES, Behaviour.REFUSES, Behaviour.SILENT, Behaviour.NOISE))
        return odd, 0, False
    if chance.random() < told.restarted:
        return Behaviour.SERVES, clock.now_ns - round(chance.random() * SECOND), True
    since_s = chance.expovariate(1 / (told.crash_days * DAY_S))
    return Behaviour.SERVES, clock.now_ns - round(since_s * SECOND) if since_s < told.age_s else 0, True


def simulate_restart(told: RestartScenario) -> RestartResult:
    """One morning; the same for the same ``Morning``."""
    chance, clock, model = random.Random(told.seed), Clock(START_NS), Model()
    addresses: dict[Address, Server] = {}
    held, truth = list[SnapshotEntry](), list[tuple[ServerEntry, Address]]()
    listed_ns = START_NS - round(told.age_s * SECOND)
    draining = set(chance.sample(range(told.servers), max(1, told.servers // 10)))
    for n in range(told.servers):
        place = (f"10.0.0.{n % 250}", 6379 + n // 250)
        id = b"s-%08x" % chance.getrandbits(32)
        health = Health.DRAINING if n in draining else Health.READY
        behaviour, born_ns, same = changed(chance, told, clock, model)
        if n in draining:  # it has gone since; its address may be another's by now
            behaviour, same = chance.choice((Behaviour.SERVES, Behaviour.DRAINS, Behaviour.REFUSES)), False
        addresses[place] = Server(clock, model, behaviour, born_ns)
        entry = ServerEntry(id, 0, 0, 0, health, 1.0, 0)
        held.append(SnapshotEntry(entry, place, 40, listed_ns, listed_ns))
        if behaviour is Behaviour.SERVES:
            born_ms = born_ns // MS * MS
            now = replace(entry, server=id if same else id + b"-new", health=Health.READY, started_ns=born_ms)
            truth.append((now, place))
        elif n not in draining:  # its successor came up elsewhere: only discovery knows
            place = (f"10.0.1.{n % 250}", 6379 + n // 250)
            addresses[place] = Server(clock, model, Behaviour.SERVES)
            truth.append((replace(entry, server=id + b"-new"), place))
    seats = [seat(told, n, clock, model, addresses, held, truth) for n in range(told.limiters)]
    return morning(told, chance, clock, model, seats, addresses, {held[n].entry.server for n in draining})


def seat(told: RestartScenario, index: int, clock: Clock, model: Model, addresses: dict[Address, Server],
         held: list[SnapshotEntry],
         truth: list[tuple[ServerEntry, Address]]) -> SimulatedLimiter:  # fmt: skip
    """A limiter that starts now."""
    fleet = (
        FleetView("dawn", index, told.limiters, TrustCurve(), round(FORGET_S * SECOND))
        if told.mode == "kept"
        else None
    )
    made = settings(index, told.limiters, model.cold_s, model.cold_from)
    seat = SimulatedLimiter(clock, made, told.seed * 100 + index, addresses, fleet)
    if fleet:
        kept = Snapshot("dawn", 40, held[0].confirmed_ns, tuple(held), {})
        seat.out(fleet.start(clock.now_ns, kept, ServerList(ListKind.CACHED, ()), {}))
    elif told.mode == "as-told":
        seat.listed(
            ServerList(ListKind.CACHED, tuple(h.entry for h in held)),
            {h.entry.server: h.address for h in held},
        )
    elif told.mode == "discovery":
        seat.listed(ServerList(ListKind.FULL, tuple(e for e, _ in truth)), {e.server: p for e, p in truth})
    else:
        seat.listed(ServerList(ListKind.CACHED, ()), {})
    return seat


def morning(told: RestartScenario, chance: random.Random, clock: Clock, model: Model,
            seats: list[SimulatedLimiter], addresses: dict[Address, Server],
            draining: set[bytes]) -> RestartResult:  # fmt: skip
    """Ask from the first moment on, and count."""
    rate = told.load * told.servers * model.cores / model.work_s
    good = {10: 0, 30: 0}
    asked = {10: 0, 30: 0}
    first_ns = list[int]()

    def ask() -> None:
        claim = chance.random() < told.claims
        began_ns, work_s = clock.now_ns, model.work_s * chance.lognormvariate(-0.16, 0.57)
        kind = seats[0].settings.classes[claim]

        def answered(how: Answer) -> None:
            if how is not Answer.VALUE:
                return
            first_ns.append(clock.now_ns)
            for span in good:
                good[span] += (
                    began_ns < START_NS + span * SECOND and clock.now_ns - began_ns <= kind.target_ns
                )

        for span in asked:
            asked[span] += began_ns < START_NS + span * SECOND
        request = Request(0, int(claim), 0, chance.getrandbits(20), kind.deadline_ns, 1.0,
                          float(told.limiters), 0.0, False)  # fmt: skip
        chance.choice(seats).ask(request, work_s, answered)
        if clock.now_ns < START_NS + told.length_s * SECOND:
            clock.after(chance.expovariate(rate) * SECOND, ask)

    clock.after(0, ask)
    clock.run(START_NS + round((told.length_s + 5) * SECOND))
    return RestartResult(
        first_s=(min(first_ns) - START_NS) / SECOND if first_ns else float("inf"),
        share_10s=good[10] / max(1, asked[10]),
        share_30s=good[30] / max(1, asked[30]),
        attempts=sum(seat.attempts for seat in seats),
        wasted=sum(seat.wasted for seat in seats),
        drained=sum(seat.sent_to.get(server, 0) for seat in seats for server in draining),
        unproved=sum(server.unproved for server in addresses.values()),
        fell=sum(server.fell for server in addresses.values()),
    )
