"""One limiter's view of the desk servers, merged from several sources by rank and age, not by the order in
which they arrive.

Sources, from the highest rank: discovery while its watch is up; the last list of discovery after the watch
has ended; the list that this limiter saved on disk; the list in the configuration.  A source never overrides
one of a higher rank, and older information never brings back a server that was reported to drain or to be
gone.  Other limiters can reduce trust, never raise it.

Each server has one level of trust (``interface.Trust``), which the policy applies.  A server that the live
watch has reported is TOLD.  Otherwise the age of its last confirmation decides (``curve``): if it is recent
enough, the server counts as TOLD; if not, the server has to prove itself by successful answers.  Of the
servers that need proof only a part is on trial at one time, starting at a position on the list that differs
between limiters, so that limiters that start together do not all try the same few.  A server that fails gets
no requests for a time that doubles with each consecutive failure.

A server may have restarted unnoticed while no source reported on it.  It is therefore treated as cold since
this limiter's own start (``presumed_start_ns``), and again since a connection to it broke while no source
could report a restart.

Times are Unix nanoseconds passed in by the caller.  Nothing here does I/O, reads a clock or draws random
numbers.
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

MIN_ON_TRIAL = 2  # Servers on trial at one time, however old the list: one that hangs must not block others.
PROOF_VALID_NS = 600 * SECOND_NS  # How long an answer proves a server that no source confirms any more.
# Time without attempts at a server after a failure: the first, and the maximum that doubling reaches.
BACKOFF_NS = (
    SECOND_NS,
    60 * SECOND_NS,
)
TOMBSTONE_TTL_NS = 3600 * SECOND_NS  # How long a deleted server is remembered.
MAX_TOMBSTONES = 4096
STALE_LIST_HOLD_NS = 600 * SECOND_NS  # How long an entry of an older generation cannot undo a drain.
MAX_SERVERS = 10_000  # Maximum length of a list that does not come from discovery.
SMALL_FLEET = 256  # In a fleet of more servers, trust is evaluated by the tick, not after each answer.
FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR)
CONNECTION_FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET)


class EntrySource(IntEnum):
    """Where the information about one server comes from; a higher value is a higher rank."""

    CONFIGURATION = 1
    SNAPSHOT = 2
    DISCOVERY = 3


class ListSource(Enum):
    """Where the whole list comes from at present; the values are written to the log."""

    NONE = "none"  # there is no list
    CONFIGURATION = "configuration"
    SNAPSHOT = "kept"
    LOST_DISCOVERY = "last-word"  # the last list of discovery, whose watch has ended
    LIVE_DISCOVERY = "told"  # discovery, whose watch is up


@dataclass(slots=True)
class ServerRecord:
    """What is known about one server.  ``entry`` is as its source reported it: trust and presumed start are
    added when it is published."""

    entry: ServerEntry
    address: Address
    source: EntrySource
    generation: int
    confirmed_ns: int  # when its source confirmed it
    answered_ns: int = 0  # its last successful answer to this limiter, also before a restart of the limiter
    answers: int = 0  # successful answers since this limiter started and since the last failure
    failures: int = 0  # consecutive
    blocked_until_ns: int = 0  # No requests are sent before this time.
    contacted: bool = False  # an attempt or a probe ended while no watch was up
    missing_since_ns: int = 0  # when a doubted full list first lacked it, 0 if none does
    reported_by_peer: bool = False  # another limiter reports that it drains or is gone
    presumed_start_ns: int = 0
    trust: Trust = Trust.NONE


@dataclass(frozen=True, slots=True)
class Tombstone:
    """A server that was reported to be gone or to drain.  ``started_ns`` is the start of the instance that
    ended: a later start is another instance."""

    recorded_ns: int
    generation: int
    started_ns: int


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
    """The list as it is saved on disk: the fleet's name, the generation of discovery's list, when it was
    saved, the servers, and those that are gone."""

    fleet: str
    generation: int
    saved_ns: int
    servers: tuple[SnapshotEntry, ...]
    tombstones: Mapping[bytes, Tombstone]


@dataclass(frozen=True, slots=True)
class TrustReport:
    """How far the list is trusted.

    ``age_s``: the age of the oldest confirmation of a ready server that the live watch has not reported, 0 if
    there is none; ``trusted``, ``tried``, ``withheld``: ready servers that are fully trusted, on trial, and
    without requests; ``draining``: all others; ``asked``: servers contacted while discovery was unavailable;
    ``wrong``: those of them that failed without a successful answer since."""

    source: ListSource
    age_s: float
    trusted: int
    tried: int
    withheld: int
    draining: int
    asked: int
    wrong: int

    def to_log_line(self) -> str:
        """The report as one line for the log."""
        return (
            f"servers source={self.source.value} age_s={self.age_s:.1f} trusted={self.trusted} "
            f"tried={self.tried} withheld={self.withheld} draining={self.draining} "
            f"asked={self.asked} wrong={self.wrong}"
        )


@dataclass(slots=True)
class Update:
    """The result of an event: a list for the policy with the servers' addresses, if anything
    changed for it, and lines for the log."""

    server_list: ServerList | None = None
    addresses: dict[bytes, Address] = field(default_factory=dict)
    log_lines: list[str] = field(default_factory=list)


class FleetView:
    """One limiter's view of the servers.

    ``index`` is this limiter's number among ``limiters``.  A server that no source confirmed for
    ``forget_ns`` is not taken from a snapshot.  ``loss_part``: if the watch has just come back and a full
    list lacks more than this part of the ready servers, the list is doubted for ``doubt_ns``; 0 accepts every
    list."""

    def __init__(
        self,
        fleet_name: str,
        index: int,
        limiters: int,
        curve: TrustCurve,
        forget_ns: int,
        loss_part: float = 0.0,
        doubt_ns: int = 60 * SECOND_NS,
    ) -> None:
        self.fleet_name, self.index, self.limiters, self.curve = fleet_name, index, max(1, limiters), curve
        self.forget_ns, self.loss_part, self.doubt_ns = forget_ns, loss_part, doubt_ns
        self.servers: dict[bytes, ServerRecord] = {}
        self.tombstones: dict[bytes, Tombstone] = {}
        self.live = False  # the watch is up, and the list comes from it
        self.has_full_list = False  # the present discovery has sent a full list
        self.generation = 0
        self.watch_confirmed_ns = 0  # when the watch last reported that nothing else has changed
        self.watch_resumed_ns = 0  # when the watch last came up
        self.unannounced: set[bytes] = set()  # drained or gone, and not yet reported to the other limiters
        self.source = ListSource.NONE
        self.published: dict[bytes, ServerEntry] = {}  # as last passed to the policy
        self.trial_order: list[bytes] = []  # all servers, starting at this limiter's position on the list

    # Sources

    def start(
        self,
        now_ns: int,
        snapshot: Snapshot | None,
        configured: ServerList,
        addresses: Mapping[bytes, Address],
        generation: int = 0,
    ) -> Update:
        """Start with the snapshot and with the configuration's list, which has no timestamp.

        Where they differ, the one of the later generation wins.  If that is the configuration, its list is at
        least as recent as the snapshot; if not, its age is unknown and counts as the greatest.  A server that
        either reports as draining is draining."""
        newer, configured_ns = False, 0
        if snapshot:
            self.tombstones = {
                s: t for s, t in snapshot.tombstones.items() if now_ns - t.recorded_ns < TOMBSTONE_TTL_NS
            }
            self.generation, newer = snapshot.generation, generation > snapshot.generation > 0
            configured_ns = snapshot.saved_ns if newer else 0
            for saved in snapshot.servers[:MAX_SERVERS]:
                if saved.entry.health is not Health.GONE and now_ns - saved.confirmed_ns < self.forget_ns:
                    history = saved.generation, saved.confirmed_ns, saved.answered_ns
                    self.servers[saved.entry.server] = ServerRecord(
                        saved.entry, saved.address, EntrySource.SNAPSHOT, *history
                    )
        if newer:
            listed = {entry.server for entry in configured.entries}
            for server in [s for s in self.servers if s not in listed]:
                self.record_gone(now_ns, server, generation)
        for entry in configured.entries[:MAX_SERVERS]:
            known = self.servers.get(entry.server)
            if entry.health is Health.GONE:
                self.servers.pop(entry.server, None)
            elif known and entry.health is Health.DRAINING:
                known.entry = replace(known.entry, health=Health.DRAINING)
            elif (known is None or newer) and self.may_return(entry, -1, configured_ns):
                history = generation, configured_ns, known.answered_ns if known else 0
                self.servers[entry.server] = ServerRecord(
                    entry, addresses[entry.server], EntrySource.CONFIGURATION, *history
                )
        log_lines = self.drop_shared_addresses()
        for record in self.servers.values():
            record.presumed_start_ns = now_ns
        update = self.publish(now_ns, log_lines)
        entries = update.server_list.entries if update.server_list else ()
        return Update(ServerList(ListKind.CACHED, entries), update.addresses, update.log_lines)

    def drop_shared_addresses(self) -> list[str]:
        """Of the servers at one address keep the one from the source of the highest rank, and of those the
        one confirmed last: the address may have passed to another server since the other information."""
        by_address: dict[Address, ServerRecord] = {}
        dropped = 0
        for record in sorted(self.servers.values(), key=lambda r: (r.source, r.confirmed_ns, r.answered_ns)):
            if (other := by_address.get(record.address)) is not None:
                del self.servers[other.entry.server]
                dropped += 1
            by_address[record.address] = record
        return (
            [f"{dropped} servers are not used: a higher-ranked or newer entry has the same address"]
            if dropped
            else []
        )

    def may_return(self, entry: ServerEntry, generation: int, reported_ns: int) -> bool:
        """Whether an entry may bring back a server that was reported to drain or to be gone.

        A later start is another instance and may.  Otherwise the entry must be newer than that report: by its
        generation, or by ``STALE_LIST_HOLD_NS``, in case discovery has restarted its generations.  With
        ``generation`` -1 only the time of the entry counts."""
        removals = [self.tombstones[entry.server]] if entry.server in self.tombstones else []
        record = self.servers.get(entry.server)
        if record and record.entry.health is not Health.READY:
            removals.append(Tombstone(record.confirmed_ns, record.generation, record.entry.started_ns))
        for removal in removals:
            restarted = entry.started_ns > max(removal.started_ns, removal.recorded_ns)
            newer = generation > removal.generation or reported_ns - removal.recorded_ns >= STALE_LIST_HOLD_NS
            if not restarted and not (newer if generation >= 0 else reported_ns > removal.recorded_ns):
                return False
        return True

    def apply_discovery_list(
        self, now_ns: int, generation: int, server_list: ServerList, addresses: Mapping[bytes, Address]
    ) -> Update:
        """Apply a list of discovery: all servers (FULL) or what changed (DELTA)."""
        log_lines, full = list[str](), server_list.kind is not ListKind.DELTA
        if not self.live:
            self.watch_resumed_ns = now_ns
        older = generation < self.generation
        if older:
            log_lines.append(f"discovery returned with generation {generation}, older than "
                             f"{self.generation}: servers that drained since then stay excluded")  # fmt: skip
        if not self.has_full_list and not full:
            log_lines.append("discovery sent changes before any full list: other servers remain unconfirmed")
        ready = {
            s for s, r in self.servers.items() if r.entry.health is Health.READY and not r.missing_since_ns
        }
        rejected = list[bytes]()
        for entry in server_list.entries:
            if entry.health is Health.READY and not self.may_return(entry, generation, now_ns):
                rejected.append(entry.server)
                continue
            self.apply_entry(now_ns, generation, entry, addresses[entry.server])
        if rejected:
            log_lines.append(
                f"{len(rejected)} servers stay excluded: the list is older than the report "
                "that they drain or are gone"
            )
        if full:
            listed = {entry.server for entry in server_list.entries}
            missing = [s for s in self.servers if s not in listed]
            lost = len(ready.intersection(missing))
            just_resumed = older or now_ns - self.watch_resumed_ns < self.doubt_ns
            if self.loss_part and ready and just_resumed and lost > self.loss_part * len(ready):
                log_lines.append(f"a full list lacks {lost} of {len(ready)} ready servers: doubted for "
                                 f"{self.doubt_ns // SECOND_NS} s, in which the missing servers get only "
                                 f"requests that are safe to repeat")  # fmt: skip
                for server in missing:
                    record = self.servers[server]
                    if server in ready:
                        record.missing_since_ns = record.missing_since_ns or now_ns
                    elif not record.missing_since_ns:
                        self.record_gone(now_ns, server, generation)
            else:
                for server in missing:
                    self.record_gone(now_ns, server, generation)
            self.has_full_list = True
        self.live, self.generation = self.has_full_list, generation
        self.watch_confirmed_ns = now_ns
        self.expire_tombstones(now_ns)
        return self.publish(now_ns, log_lines)

    def apply_entry(self, now_ns: int, generation: int, entry: ServerEntry, address: Address) -> None:
        """Apply one entry of a list of discovery."""
        server = entry.server
        if entry.health is Health.GONE:
            return self.record_gone(now_ns, server, generation)
        record = self.servers.get(server)
        if record is None or record.address != address or record.entry.started_ns != entry.started_ns:
            answered_ns = record.answered_ns if record and record.address == address else 0
            record = ServerRecord(entry, address, EntrySource.DISCOVERY, generation, now_ns, answered_ns)
            self.servers[server] = record
        elif entry.health is Health.DRAINING and record.entry.health is Health.READY:
            self.unannounced.add(server)
        record.entry, record.source, record.generation, record.confirmed_ns = (
            entry,
            EntrySource.DISCOVERY,
            generation,
            now_ns,
        )
        (
            record.presumed_start_ns,
            record.blocked_until_ns,
            record.missing_since_ns,
            record.reported_by_peer,
        ) = (
            0,
            0,
            0,
            False,
        )
        if entry.health is Health.READY:
            self.tombstones.pop(server, None)

    def record_gone(self, now_ns: int, server: bytes, generation: int) -> None:
        """Remove a server that discovery reports as deleted or that its full list lacks."""
        if record := self.servers.pop(server, None):
            # The list may be older than the report of a drain: the later generation of the two must stay.
            self.tombstones[server] = Tombstone(
                now_ns, max(generation, record.generation), record.entry.started_ns
            )
            self.unannounced.add(server)
        else:
            old = self.tombstones.get(server, Tombstone(0, 0, 0))
            self.tombstones[server] = Tombstone(now_ns, max(generation, old.generation), old.started_ns)

    def expire_tombstones(self, now_ns: int) -> None:
        """Bound the memory for servers that are gone: drop expired ones, and the oldest beyond the limit."""
        for server in [s for s, t in self.tombstones.items() if now_ns - t.recorded_ns >= TOMBSTONE_TTL_NS]:
            del self.tombstones[server]
        for server in list(self.tombstones)[: max(0, len(self.tombstones) - MAX_TOMBSTONES)]:
            del self.tombstones[server]

    def watch_active(self, now_ns: int) -> Update | None:
        """The watch has sent something: servers that it does not mention are unchanged."""
        self.watch_confirmed_ns = now_ns
        if self.live or not self.has_full_list:
            return None
        self.live, self.watch_resumed_ns = True, now_ns
        return self.publish(now_ns, [])

    def watch_lost(self, now_ns: int, last_data_ns: int) -> Update:
        """The watch has ended; ``last_data_ns`` is when it last sent something."""
        if self.live:
            self.watch_confirmed_ns = min(now_ns, max(last_data_ns, 0))
        self.live = False
        return self.publish(now_ns, [])

    def change_discovery(self, fleet_name: str) -> None:
        """Switch to another discovery, whose generations cannot be compared with those of the old one; the
        servers stay until it has sent a list."""
        self.fleet_name, self.live, self.has_full_list, self.generation = fleet_name, False, False, 0
        # No generation of the new discovery may bring back a server that drained under the old one: only time
        # may.
        self.tombstones = {s: replace(t, generation=1 << 62) for s, t in self.tombstones.items()}
        for record in self.servers.values():
            record.generation = 1 << 62

    def apply_peer_report(
        self, now_ns: int, drained: Iterable[bytes], digests: Mapping[bytes, bytes]
    ) -> Update | None:
        """Another limiter reports servers that drain or are gone, by their digests; ``digests`` has that of
        each known server.

        The report counts only while no live watch confirms the servers."""
        if self.live:
            return None
        reported, changed = set(drained), False
        for server, record in self.servers.items():
            if (
                digests.get(server) in reported
                and record.entry.health is Health.READY
                and not record.reported_by_peer
            ):
                record.reported_by_peer = changed = True
        return self.publish(now_ns, []) if changed else None

    # Proof

    def record_outcome(self, now_ns: int, server: bytes, outcome: Outcome) -> Update | None:
        """Count the end of an attempt or a probe of a server."""
        record = self.servers.get(server)
        if record is None:
            return None
        if outcome is Outcome.OK:
            record.answered_ns, record.failures = now_ns, 0
            record.answers += 1
            if self.live:
                return None
            record.contacted = True
            return self.publish_if_small(now_ns) if record.trust < Trust.TOLD else None
        if self.live or outcome not in FAILURES:
            return None
        record.contacted = True
        if record.trust < Trust.TOLD or outcome in CONNECTION_FAILURES:
            # Errors and timeouts of a server that has proved itself are left to the policy.
            record.answers = 0
            record.failures += 1
            record.blocked_until_ns = now_ns + min(
                BACKOFF_NS[0] << min(record.failures - 1, 20), BACKOFF_NS[1]
            )
        if outcome in CONNECTION_FAILURES:
            record.presumed_start_ns = now_ns  # it may have restarted, and no source can report that
        return self.publish_if_small(now_ns)

    def publish_if_small(self, now_ns: int) -> Update | None:
        """Publish at once in a small fleet; in a large one the next tick does, because evaluating all servers
        after each answer would cost too much."""
        return self.publish(now_ns, []) if len(self.servers) <= SMALL_FLEET else None

    def tick(self, now_ns: int) -> Update | None:
        """Update what depends on time: ages, ends of back-off, and doubted lists whose time is over."""
        doubted = [
            s
            for s, r in self.servers.items()
            if r.missing_since_ns and now_ns - r.missing_since_ns >= self.doubt_ns
        ]
        for server in doubted:
            self.record_gone(now_ns, server, self.generation)
        if self.live and not doubted and not any(r.missing_since_ns for r in self.servers.values()):
            return None
        return self.publish(now_ns, [])

    @property
    def needs_tick(self) -> bool:
        """Whether the passing of time alone can change anything."""
        return not self.live or any(r.missing_since_ns for r in self.servers.values())

    # Trust

    def confirmed_ns(self, record: ServerRecord) -> int:
        """When a server was last confirmed by its source."""
        if record.source is EntrySource.DISCOVERY:
            return max(record.confirmed_ns, self.watch_confirmed_ns)
        return record.confirmed_ns

    def evaluate_trust(self, now_ns: int) -> None:
        """Set the trust of every server, and the source of the whole list."""
        if len(self.trial_order) != len(self.servers) or any(s not in self.servers for s in self.trial_order):
            order = sorted(self.servers, key=zlib.crc32)
            first = self.index * len(order) // self.limiters
            self.trial_order = order[first:] + order[:first]
        on_trial, ready = 0, sum(r.entry.health is Health.READY for r in self.servers.values())
        for server in self.trial_order:
            record = self.servers[server]
            if record.missing_since_ns:
                record.trust = Trust.SAFE
            elif record.entry.health is not Health.READY or record.reported_by_peer:
                record.trust = Trust.NONE
            elif self.live and record.source is EntrySource.DISCOVERY:
                record.trust = Trust.TOLD
            else:
                point = self.curve.at(now_ns - self.confirmed_ns(record))
                proved = record.answers >= point.answers and now_ns - record.answered_ns < PROOF_VALID_NS
                if not point.answers and record.blocked_until_ns <= now_ns or point.answers and proved:
                    record.trust = Trust.TOLD
                elif record.blocked_until_ns > now_ns or on_trial >= max(
                    MIN_ON_TRIAL, math.ceil(point.open_part * ready)
                ):
                    record.trust = Trust.NONE
                else:
                    record.trust = Trust.CAREFUL if point.claims else Trust.SAFE
                    on_trial += 1
        if self.live:
            self.source = ListSource.LIVE_DISCOVERY
        else:
            rank = max((r.source for r in self.servers.values()), default=None)
            self.source = {
                None: ListSource.NONE,
                EntrySource.CONFIGURATION: ListSource.CONFIGURATION,
                EntrySource.SNAPSHOT: ListSource.SNAPSHOT,
                EntrySource.DISCOVERY: ListSource.LOST_DISCOVERY,
            }[rank]

    def published_entry(self, record: ServerRecord) -> ServerEntry:
        """The entry as the policy gets it."""
        health = Health.DRAINING if record.reported_by_peer else record.entry.health
        presumed_start_ns = (
            0 if self.live and record.source is EntrySource.DISCOVERY else record.presumed_start_ns
        )
        return replace(record.entry, health=health, trust=record.trust, presumed_start_ns=presumed_start_ns)

    def publish(self, now_ns: int, log_lines: list[str]) -> Update:
        """Evaluate trust, and return the entries that differ from what the policy has."""
        before = self.source
        self.evaluate_trust(now_ns)
        entries = list[ServerEntry]()
        for server in [s for s in self.published if s not in self.servers]:
            entries.append(replace(self.published.pop(server), health=Health.GONE))
        for server, record in self.servers.items():
            if (entry := self.published_entry(record)) != self.published.get(server):
                self.published[server] = entry
                entries.append(entry)
        if self.source is not before:
            log_lines.append(self.report(now_ns).to_log_line())
        addresses = {e.server: self.servers[e.server].address for e in entries if e.server in self.servers}
        return Update(ServerList(ListKind.DELTA, tuple(entries)) if entries else None, addresses, log_lines)

    # Snapshot and reports

    def snapshot(self, now_ns: int) -> Snapshot:
        """The list to be saved; servers that a doubted list lacks are left out, since discovery did not list
        them."""
        self.expire_tombstones(now_ns)
        servers = tuple(
            SnapshotEntry(
                r.entry,
                r.address,
                r.generation,
                now_ns if self.live else self.confirmed_ns(r),
                r.answered_ns,
            )
            for r in self.servers.values()
            if not r.missing_since_ns
        )
        return Snapshot(self.fleet_name, self.generation, now_ns, servers, dict(self.tombstones))

    def report(self, now_ns: int) -> TrustReport:
        """How far the list is trusted at this moment."""
        ready = [
            r for r in self.servers.values() if r.entry.health is Health.READY and not r.reported_by_peer
        ]
        ages = [
            now_ns - self.confirmed_ns(r)
            for r in ready
            if not (self.live and r.source is EntrySource.DISCOVERY)
        ]
        contacted = [r for r in self.servers.values() if r.contacted]
        return TrustReport(
            source=self.source,
            age_s=max(ages, default=0) / SECOND_NS,
            trusted=sum(r.trust is Trust.TOLD for r in ready),
            tried=sum(Trust.NONE < r.trust < Trust.TOLD for r in ready),
            withheld=sum(r.trust is Trust.NONE for r in ready),
            draining=len(self.servers) - len(ready),
            asked=len(contacted),
            wrong=sum(not r.answers and r.failures > 0 for r in contacted),
        )

    def drained_servers(self, now_ns: int) -> list[bytes]:
        """Servers that drain or are gone by this limiter's own list, to be reported to others, the latest
        first."""
        reported = {s: t.recorded_ns for s, t in self.tombstones.items()}
        reported |= {s: r.confirmed_ns for s, r in self.servers.items() if r.entry.health is Health.DRAINING}
        return sorted(
            (s for s, at in reported.items() if now_ns - at < TOMBSTONE_TTL_NS), key=lambda s: -reported[s]
        )
