"""What one limiter believes of each server: merged from sources of different rank and age, never by arrival.

Sources, from the highest rank: discovery's watch while it lives; its last word after it has gone; the list
that this limiter kept on disk; the list in the configuration.  A lower one never speaks against a higher one,
and what was heard to drain or to be gone does not come back by an older word.  Other limiters may take trust
away and never give any.

Every server has one trust (``interface.Trust``), which the module keeps to.  Told by the living watch, it is
TOLD. Else the age of what vouches for it decides (``curve``): young enough, it is as good as told; older, it
has to prove itself by good answers; and of those that have to, only a part of the list is tried at one time,
from a place on the list that is this limiter's own, so that limiters that start together do not all fall on
the same few.  What failed is left alone for a while that doubles.

A server that was not heard of for a while may have started again in that while, and nobody can say so: it
counts as cold since this limiter's own start (``presumed_ns``), and again since an attempt at it broke while
nobody could tell.

Times are Unix nanoseconds, handed in.  Nothing here does I/O, reads a clock, or draws a number.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum

from aniseshed.interface import Health, ListKind, Outcome, ServerEntry, ServerList, Trust
from hookport.membership.curve import SECOND_NS, TrustCurve

Address = tuple[str, int]

LEAST_OPEN = 2  # tried at one time, however old the list: one that hangs must not hold up the rest
PROOF_NS = 600 * SECOND_NS  # for which an answer proves a server that nobody vouches for any more
SHUT_NS = (
    SECOND_NS,
    60 * SECOND_NS,
)  # after a failure nothing is sent for this long, doubled up to the second
GONE_NS = 3600 * SECOND_NS  # for which a server that was deleted is remembered
MOST_GONE = 4096
HOLD_NS = 600 * SECOND_NS  # for which a list with an older generation brings back nothing that drained
MOST_SERVERS = 10_000  # of a list that is not told by discovery
SMALL = 256  # servers: beyond that trust is settled by the tick
FAILED = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR)
BROKEN = (Outcome.CONNECT_FAILED, Outcome.RESET)


class Source(IntEnum):
    """Who vouches for a server; the higher rank wins."""

    CONFIGURATION = 1
    KEPT = 2
    DISCOVERY = 3


class State(Enum):
    """Where the whole list comes from at present."""

    NONE = "none"  # nobody has named a server
    CONFIGURATION = "configuration"
    KEPT = "kept"
    LAST_WORD = "last-word"  # discovery's, which is silent now
    TOLD = "told"  # discovery's, which lives


@dataclass(slots=True)
class Belief:
    """One server.  ``entry`` is as it was told; trust and presumption are added when it is handed on."""

    entry: ServerEntry
    place: Address
    source: Source
    generation: int
    told_ns: int  # when its source vouched for it
    heard_ns: int = 0  # the last good answer to this limiter, in any of its lives
    answers: int = 0  # good answers in this life, since the last failure
    fails: int = 0  # in a row
    shut_ns: int = 0  # nothing is sent before then
    asked: bool = False
    absent_ns: int = 0  # since when a whole list that is doubted lacks it
    warned: bool = False  # another limiter says that it drains or is gone
    presumed_ns: int = 0
    trust: Trust = Trust.NONE


@dataclass(frozen=True, slots=True)
class Gone:
    """A server that was told to be gone, or to drain: ``born_ns`` is the start of the life that it ended."""

    told_ns: int
    generation: int
    born_ns: int


@dataclass(frozen=True, slots=True)
class SnapshotEntry:
    """One server of a snapshot: ``confirmed_ns`` is when a source last confirmed it, ``answered_ns`` when it
    last answered."""

    entry: ServerEntry
    address: Address
    generation: int
    confirmed_ns: int
    answered_ns: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A list as it is kept: whose fleet it is, its generation, when it was written, its servers, and who has
    gone."""

    fleet: str
    generation: int
    saved_ns: int
    servers: tuple[SnapshotEntry, ...]
    gone: Mapping[bytes, Gone]


@dataclass(frozen=True, slots=True)
class Report:
    """How far the list is trusted.

    ``age_s``: of the oldest word that a server which is not told by the living watch rests on, 0 if there is
    none; ``trusted``, ``tried``, ``withheld``, ``draining``: servers by what they get; ``asked``: servers
    that were asked before discovery spoke, ``wrong``: those of them that failed and never answered well."""

    state: State
    age_s: float
    trusted: int
    tried: int
    withheld: int
    draining: int
    asked: int
    wrong: int

    def line(self) -> str:
        """The report as one line for the log."""
        return (
            f"servers source={self.state.value} age_s={self.age_s:.1f} trusted={self.trusted} "
            f"tried={self.tried} withheld={self.withheld} draining={self.draining} "
            f"asked={self.asked} wrong={self.wrong}"
        )


@dataclass(slots=True)
class Update:
    """What changed: a list for the module with the servers' addresses, if any, and lines for the log."""

    server_list: ServerList | None = None
    addresses: dict[bytes, Address] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)


class FleetView:
    """The beliefs of one limiter.

    ``place`` and ``limiters`` are its number in the tier and how many there are.  ``loss_part``: a whole list
    of a discovery that has just come back, and that lacks more than this part of the servers, is doubted for
    ``doubt_ns``; 0 takes every list at its word."""

    def __init__(
        self,
        fleet: str,
        place: int,
        limiters: int,
        curve: TrustCurve,
        forget_ns: int,
        loss_part: float = 0.0,
        doubt_ns: int = 60 * SECOND_NS,
    ) -> None:
        self.fleet, self.place, self.limiters, self.curve = fleet, place, max(1, limiters), curve
        self.forget_ns, self.loss_part, self.doubt_ns = forget_ns, loss_part, doubt_ns
        self.beliefs: dict[bytes, Belief] = {}
        self.gone: dict[bytes, Gone] = {}
        self.live = False  # the watch speaks, and the list is of this discovery
        self.taken = False  # a list of the present discovery has been taken
        self.generation = 0
        self.confirmed_ns = 0  # the watch's last word that nothing else has changed
        self.back_ns = 0  # when the watch last began to speak
        self.news: set[bytes] = set()  # drained or gone, and not yet told to the other limiters
        self.state = State.NONE
        self.handed: dict[bytes, ServerEntry] = {}  # what the module has
        self.order: list[bytes] = []  # of all servers, from this limiter's own place on the list

    # Sources

    def start(
        self,
        now_ns: int,
        kept: Snapshot | None,
        listed: ServerList,
        places: Mapping[bytes, Address],
        generation: int = 0,
    ) -> Update:
        """Begin with the list kept on disk and the one of the configuration, which tells no age.

        Of the two the one with the later generation wins where they differ; the configuration's is then at
        least as young as the kept one, and else of unknown age, which is the oldest.  Drains count from
        either."""
        newer, listed_ns = False, 0
        if kept:
            self.gone = {s: g for s, g in kept.gone.items() if now_ns - g.told_ns < GONE_NS}
            self.generation, newer = kept.generation, generation > kept.generation > 0
            listed_ns = kept.saved_ns if newer else 0
            for held in kept.servers[:MOST_SERVERS]:
                if held.entry.health is not Health.GONE and now_ns - held.confirmed_ns < self.forget_ns:
                    told = held.generation, held.confirmed_ns, held.answered_ns
                    self.beliefs[held.entry.server] = Belief(held.entry, held.address, Source.KEPT, *told)
        if newer:
            named = {entry.server for entry in listed.entries}
            for server in [s for s in self.beliefs if s not in named]:
                self.bury(now_ns, server, generation)
        for entry in listed.entries[:MOST_SERVERS]:
            known = self.beliefs.get(entry.server)
            if entry.health is Health.GONE:
                self.beliefs.pop(entry.server, None)
            elif known and entry.health is Health.DRAINING:
                known.entry = replace(known.entry, health=Health.DRAINING)
            elif (known is None or newer) and self.may_return(entry, -1, listed_ns):
                told = generation, listed_ns, known.heard_ns if known else 0
                self.beliefs[entry.server] = Belief(entry, places[entry.server], Source.CONFIGURATION, *told)
        lines = self.part_addresses()
        for belief in self.beliefs.values():
            belief.presumed_ns = now_ns
        update = self.changed(now_ns, lines)
        entries = update.server_list.entries if update.server_list else ()
        return Update(ServerList(ListKind.CACHED, entries), update.addresses, update.lines)

    def part_addresses(self) -> list[str]:
        """Guards against two names of one address, one of which is another server's by now: the later word
        wins."""
        by_place: dict[Address, Belief] = {}
        dropped = 0
        for belief in sorted(self.beliefs.values(), key=lambda b: (b.source, b.told_ns, b.heard_ns)):
            if (other := by_place.get(belief.place)) is not None:
                del self.beliefs[other.entry.server]
                dropped += 1
            by_place[belief.place] = belief
        return [f"{dropped} servers share an address with one named later: not used"] if dropped else []

    def may_return(self, entry: ServerEntry, generation: int, told_ns: int) -> bool:
        """Whether a word may bring back what was heard to drain or to be gone.

        A later start is another life.  Else the word must be younger: by generation, or after ``HOLD_NS``, in
        case discovery has begun to count anew.  ``generation`` -1: only the time of the word counts."""
        against = [self.gone[entry.server]] if entry.server in self.gone else []
        belief = self.beliefs.get(entry.server)
        if belief and belief.entry.health is not Health.READY:
            against.append(Gone(belief.told_ns, belief.generation, belief.entry.started_ns))
        for gone in against:
            another_life = entry.started_ns > max(gone.born_ns, gone.told_ns)
            younger = generation > gone.generation or told_ns - gone.told_ns >= HOLD_NS
            if not another_life and not (younger if generation >= 0 else told_ns > gone.told_ns):
                return False
        return True

    def told(
        self, now_ns: int, generation: int, listed: ServerList, places: Mapping[bytes, Address]
    ) -> Update:
        """A list of discovery: the whole (FULL) or what changed (DELTA)."""
        lines, whole = list[str](), listed.kind is not ListKind.DELTA
        if not self.live:
            self.back_ns = now_ns
        older = generation < self.generation
        if older:
            lines.append(f"discovery is back with generation {generation}, {self.generation} was known: "
                         f"what drained since does not return by it")  # fmt: skip
        if not self.taken and not whole:
            lines.append("discovery told changes of a list that it never told: the rest is not vouched for")
        ready = {s for s, b in self.beliefs.items() if b.entry.health is Health.READY and not b.absent_ns}
        refused = list[bytes]()
        for entry in listed.entries:
            if entry.health is Health.READY and not self.may_return(entry, generation, now_ns):
                refused.append(entry.server)
                continue
            self.take(now_ns, generation, entry, places[entry.server])
        if refused:
            lines.append(
                f"{len(refused)} servers that drained or went stay out: the list is older than that word"
            )
        if whole:
            named = {entry.server for entry in listed.entries}
            missing = [s for s in self.beliefs if s not in named]
            lost = len(ready.intersection(missing))
            just_back = older or now_ns - self.back_ns < self.doubt_ns
            if self.loss_part and ready and just_back and lost > self.loss_part * len(ready):
                lines.append(f"a whole list lacks {lost} of {len(ready)} servers: doubted for "
                             f"{self.doubt_ns // SECOND_NS} s, they get searches alone")  # fmt: skip
                for server in missing:
                    belief = self.beliefs[server]
                    if server in ready:
                        belief.absent_ns = belief.absent_ns or now_ns
                    elif not belief.absent_ns:
                        self.bury(now_ns, server, generation)
            else:
                for server in missing:
                    self.bury(now_ns, server, generation)
            self.taken = True
        self.live, self.generation = self.taken, generation
        self.confirmed_ns = now_ns
        self.trim(now_ns)
        return self.changed(now_ns, lines)

    def take(self, now_ns: int, generation: int, entry: ServerEntry, place: Address) -> None:
        """One server's line of discovery's list."""
        server = entry.server
        if entry.health is Health.GONE:
            return self.bury(now_ns, server, generation)
        belief = self.beliefs.get(server)
        if belief is None or belief.place != place or belief.entry.started_ns != entry.started_ns:
            heard_ns = belief.heard_ns if belief and belief.place == place else 0
            belief = Belief(entry, place, Source.DISCOVERY, generation, now_ns, heard_ns)
            self.beliefs[server] = belief
        elif entry.health is Health.DRAINING and belief.entry.health is Health.READY:
            self.news.add(server)
        belief.entry, belief.source, belief.generation, belief.told_ns = (
            entry,
            Source.DISCOVERY,
            generation,
            now_ns,
        )
        belief.presumed_ns, belief.shut_ns, belief.absent_ns, belief.warned = 0, 0, 0, False
        if entry.health is Health.READY:
            self.gone.pop(server, None)

    def bury(self, now_ns: int, server: bytes, generation: int) -> None:
        """Discovery says, or its whole list shows, that a server is gone."""
        if belief := self.beliefs.pop(server, None):
            # Guards against a list that is older than the word on a drain wiping out that word's generation.
            self.gone[server] = Gone(now_ns, max(generation, belief.generation), belief.entry.started_ns)
            self.news.add(server)
        else:
            old = self.gone.get(server, Gone(0, 0, 0))
            self.gone[server] = Gone(now_ns, max(generation, old.generation), old.born_ns)

    def trim(self, now_ns: int) -> None:
        """Guards against a memory of the dead without end: the oldest go first."""
        for server in [s for s, g in self.gone.items() if now_ns - g.told_ns >= GONE_NS]:
            del self.gone[server]
        for server in list(self.gone)[: max(0, len(self.gone) - MOST_GONE)]:
            del self.gone[server]

    def alive(self, now_ns: int) -> Update | None:
        """The watch spoke: whatever it did not mention is as it was."""
        self.confirmed_ns = now_ns
        if self.live or not self.taken:
            return None
        self.live, self.back_ns = True, now_ns
        return self.changed(now_ns, [])

    def lost(self, now_ns: int, heard_ns: int) -> Update:
        """The watch has ended; ``heard_ns`` is when it last spoke."""
        if self.live:
            self.confirmed_ns = min(now_ns, max(heard_ns, 0))
        self.live = False
        return self.changed(now_ns, [])

    def moved(self, fleet: str) -> None:
        """Another discovery: its numbers cannot be compared, and what is known stays until it has spoken."""
        self.fleet, self.live, self.taken, self.generation = fleet, False, False, 0
        # The numbers of the old one mean nothing to the new: only time may bring back what drained there.
        self.gone = {s: replace(g, generation=1 << 62) for s, g in self.gone.items()}
        for belief in self.beliefs.values():
            belief.generation = 1 << 62

    def warned(self, now_ns: int, drained: Iterable[bytes], digest: Mapping[bytes, bytes]) -> Update | None:
        """Digests of servers that another limiter heard to drain or to be gone; ``digest`` is that of each
        server.

        It counts only where no living watch vouches for the server, and until one does."""
        if self.live:
            return None
        said, changed = set(drained), False
        for server, belief in self.beliefs.items():
            if digest.get(server) in said and belief.entry.health is Health.READY and not belief.warned:
                belief.warned = changed = True
        return self.changed(now_ns, []) if changed else None

    # Proof

    def record_outcome(self, now_ns: int, server: bytes, outcome: Outcome) -> Update | None:
        """An attempt at a server, or a probe, ended."""
        belief = self.beliefs.get(server)
        if belief is None:
            return None
        if outcome is Outcome.OK:
            belief.heard_ns, belief.fails = now_ns, 0
            belief.answers += 1
            if self.live:
                return None
            belief.asked = True
            return self.rejudged(now_ns) if belief.trust < Trust.TOLD else None
        if self.live or outcome not in FAILED:
            return None
        belief.asked = True
        if belief.trust < Trust.TOLD or outcome in BROKEN:
            # An error or a time-out of a server that has proved itself is the module's to deal with.
            belief.answers = 0
            belief.fails += 1
            belief.shut_ns = now_ns + min(SHUT_NS[0] << min(belief.fails - 1, 20), SHUT_NS[1])
        if outcome in BROKEN:
            belief.presumed_ns = now_ns  # it may have started again, and nobody can say so
        return self.rejudged(now_ns)

    def rejudged(self, now_ns: int) -> Update | None:
        """Guards against walking a large fleet at each answer: there the next tick does it."""
        return self.changed(now_ns, []) if len(self.beliefs) <= SMALL else None

    def tick(self, now_ns: int) -> Update | None:
        """Time has passed: trust that ages, what was shut for a while, doubts that have run out."""
        doubted = [
            s for s, b in self.beliefs.items() if b.absent_ns and now_ns - b.absent_ns >= self.doubt_ns
        ]
        for server in doubted:
            self.bury(now_ns, server, self.generation)
        if self.live and not doubted and not any(b.absent_ns for b in self.beliefs.values()):
            return None
        return self.changed(now_ns, [])

    @property
    def restless(self) -> bool:
        """Whether time alone can change anything."""
        return not self.live or any(b.absent_ns for b in self.beliefs.values())

    # Trust

    def vouched_ns(self, belief: Belief) -> int:
        """When somebody who would have known last vouched for a server."""
        if belief.source is Source.DISCOVERY:
            return max(belief.told_ns, self.confirmed_ns)
        return belief.told_ns

    def judge(self, now_ns: int) -> None:
        """Settle the trust of every server."""
        if len(self.order) != len(self.beliefs) or any(s not in self.beliefs for s in self.order):
            order = sorted(self.beliefs, key=zlib.crc32)
            first = self.place * len(order) // self.limiters
            self.order = order[first:] + order[:first]
        opened, ready = 0, sum(b.entry.health is Health.READY for b in self.beliefs.values())
        for server in self.order:
            belief = self.beliefs[server]
            if belief.absent_ns:
                belief.trust = Trust.SAFE
            elif belief.entry.health is not Health.READY or belief.warned:
                belief.trust = Trust.NONE
            elif self.live and belief.source is Source.DISCOVERY:
                belief.trust = Trust.TOLD
            else:
                point = self.curve.at(now_ns - self.vouched_ns(belief))
                proof = belief.answers >= point.answers and now_ns - belief.heard_ns < PROOF_NS
                if not point.answers and belief.shut_ns <= now_ns or point.answers and proof:
                    belief.trust = Trust.TOLD
                elif belief.shut_ns > now_ns or opened >= max(LEAST_OPEN, math.ceil(point.open_part * ready)):
                    belief.trust = Trust.NONE
                else:
                    belief.trust = Trust.CAREFUL if point.claims else Trust.SAFE
                    opened += 1
        if self.live:
            self.state = State.TOLD
        else:
            rank = max((b.source for b in self.beliefs.values()), default=None)
            self.state = {
                None: State.NONE,
                Source.CONFIGURATION: State.CONFIGURATION,
                Source.KEPT: State.KEPT,
                Source.DISCOVERY: State.LAST_WORD,
            }[rank]

    def hand(self, belief: Belief) -> ServerEntry:
        """The entry as the module gets it."""
        health = Health.DRAINING if belief.warned else belief.entry.health
        presumed_ns = 0 if self.live and belief.source is Source.DISCOVERY else belief.presumed_ns
        return replace(belief.entry, health=health, trust=belief.trust, presumed_start_ns=presumed_ns)

    def changed(self, now_ns: int, lines: list[str]) -> Update:
        """Judge all anew, and hand on what differs from what the module has."""
        before = self.state
        self.judge(now_ns)
        entries = list[ServerEntry]()
        for server in [s for s in self.handed if s not in self.beliefs]:
            entries.append(replace(self.handed.pop(server), health=Health.GONE))
        for server, belief in self.beliefs.items():
            if (entry := self.hand(belief)) != self.handed.get(server):
                self.handed[server] = entry
                entries.append(entry)
        if self.state is not before:
            lines.append(self.report(now_ns).line())
        places = {e.server: self.beliefs[e.server].place for e in entries if e.server in self.beliefs}
        return Update(ServerList(ListKind.DELTA, tuple(entries)) if entries else None, places, lines)

    # What is kept, and told

    def kept(self, now_ns: int) -> Snapshot:
        """The list as it is to be kept; doubted servers are left out, as discovery did not name them."""
        self.trim(now_ns)
        servers = tuple(
            SnapshotEntry(
                b.entry, b.place, b.generation, now_ns if self.live else self.vouched_ns(b), b.heard_ns
            )
            for b in self.beliefs.values()
            if not b.absent_ns
        )
        return Snapshot(self.fleet, self.generation, now_ns, servers, dict(self.gone))

    def report(self, now_ns: int) -> Report:
        """How far the list is trusted at this moment."""
        ready = [b for b in self.beliefs.values() if b.entry.health is Health.READY and not b.warned]
        ages = [
            now_ns - self.vouched_ns(b) for b in ready if not (self.live and b.source is Source.DISCOVERY)
        ]
        asked = [b for b in self.beliefs.values() if b.asked]
        return Report(
            state=self.state,
            age_s=max(ages, default=0) / SECOND_NS,
            trusted=sum(b.trust is Trust.TOLD for b in ready),
            tried=sum(Trust.NONE < b.trust < Trust.TOLD for b in ready),
            withheld=sum(b.trust is Trust.NONE for b in ready),
            draining=len(self.beliefs) - len(ready),
            asked=len(asked),
            wrong=sum(not b.answers and b.fails > 0 for b in asked),
        )

    def drained(self, now_ns: int) -> list[bytes]:
        """Servers that drain or have gone, by this limiter's own list: what it may tell others, youngest
        first."""
        told = {s: g.told_ns for s, g in self.gone.items()}
        told |= {s: b.told_ns for s, b in self.beliefs.items() if b.entry.health is Health.DRAINING}
        return sorted((s for s, at in told.items() if now_ns - at < GONE_NS), key=lambda s: -told[s])
