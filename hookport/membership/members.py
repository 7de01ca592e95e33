"""Connects the fleet view to the daemon: discovery's lists pass through it to the policy, and the
list is saved on disk.

If the option ``membership`` is off, the daemon hands discovery's lists to the policy directly.  If
it is on, ``MembershipManager`` stands between the two.  ``FleetView`` makes all decisions, and no request
waits for the disk: a thread writes it, one write at a time."""

from __future__ import annotations

import asyncio
import functools
import logging
import random
from collections.abc import Callable
from typing import Protocol

from aniseshed.interface import ListKind, Outcome, ServerList, Trust
from hookport.config import Address, NameIndex
from hookport.membership import messages, snapshot_codec
from hookport.membership.curve import DEFAULT_POINTS, SECOND_NS, TrustCurve, TrustPoint
from hookport.membership.fleet import FleetView, ListSource, Update
from hookport.membership.snapshot_file import SnapshotFile
from hookport.options import Membership

log = logging.getLogger("hookport.membership")

TICK_S = 0.25  # time between two ticks while trust can change with time; else four times as long
PROBE_INTERVAL_S = 1.0  # minimum time between two probes of one server
MAX_PROBES = 4  # in flight at one time
REPORT_INTERVAL_S = 1.0  # minimum time between two reports to the other limiters
QUERY_INTERVAL_S = 5.0  # mean time between two queries to the other limiters while discovery is unavailable
MAX_SAVE_BACKOFF = 12  # longest delay before a failed save is repeated, as a multiple of write_s


class Daemon(Protocol):
    """What the manager needs of the daemon: ``apply_server_list`` hands a list to the policy."""

    def apply_server_list(self, server_list: ServerList, addresses: dict[bytes, Address]) -> None: ...
    def send_to_peers(self, peer: int | None, payload: bytes) -> None: ...
    def probe(self, server: bytes, on_result: Callable[[bool], None]) -> None: ...


class DiscoveryState(Protocol):
    """What the manager needs of discovery: the generation of its list, and when its watch last sent
    something, by the clock of the event loop."""

    generation: int
    last_line_s: float


class MembershipManager:
    """The membership of one limiter.

    ``now_ns`` is the policy's clock, in Unix nanoseconds; this limiter is number ``index`` of
    ``limiters``; ``fleet`` names the fleet unless the options do."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        options: Membership,
        name: str,
        names: NameIndex,
        fleet: str,
        index: int,
        limiters: int,
        daemon: Daemon,
        now_ns: Callable[[], int],
        may_probe: bool,
        seed: int,
        file: SnapshotFile | None = None,
    ) -> None:
        self.loop, self.options, self.names, self.daemon, self.now_ns = loop, options, names, daemon, now_ns
        self.may_probe, self.random = may_probe, random.Random(seed)
        rows = [TrustPoint(r.age_s, r.open_part, r.answers, r.claims) for r in options.trust]
        self.fleet = FleetView(
            options.fleet or fleet,
            index,
            limiters,
            TrustCurve(rows or DEFAULT_POINTS),
            round(options.forget_s * SECOND_NS),
            options.loss_part,
            round(options.doubt_s * SECOND_NS),
        )
        self.file = file or SnapshotFile(options.path.replace("{name}", name))
        self.discovery: DiscoveryState | None = None
        self.digests: dict[bytes, bytes] = {}
        self.last_probe_s: dict[bytes, float] = {}  # by server
        self.probes_in_flight = 0
        self.last_report_s = self.next_query_s = self.next_save_s = 0.0
        self.pending_save: asyncio.Future[None] | None = None
        self.dirty, self.last_saved_s, self.save_failures = False, 0.0, 0
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    # From discovery

    def receive_list(self, server_list: ServerList, addresses: dict[bytes, Address]) -> None:
        """Handle a list of discovery, which would otherwise go to the daemon's ``apply_server_list``."""
        now_ns = self.now_ns()
        generation = self.discovery.generation if self.discovery else 0
        if server_list.kind is ListKind.CACHED:
            snapshot, problems = self.file.load(self.names, self.fleet.fleet_name)
            for problem in problems:
                log.warning("%s", problem)
            if snapshot and snapshot.saved_ns > now_ns:
                log.warning(
                    "the saved server list was written %.0f s in the future: a clock is wrong, and the age "
                    "of the list is unknown",
                    (snapshot.saved_ns - now_ns) / SECOND_NS,
                )
            self.apply(self.fleet.start(now_ns, snapshot, server_list, addresses, generation))
            return self.tick()
        if server_list.kind is ListKind.FAILED:
            silent_s = self.loop.time() - self.discovery.last_line_s if self.discovery else 0.0
            self.apply(self.fleet.watch_lost(now_ns, now_ns - round(silent_s * SECOND_NS)))
            return self.daemon.apply_server_list(server_list, addresses)
        self.apply(self.fleet.apply_discovery_list(now_ns, generation, server_list, addresses))
        self.dirty = True
        self.report_drained()

    def watch_active(self) -> None:
        """The watch has sent something other than a list."""
        if update := self.fleet.watch_active(self.now_ns()):
            self.apply(update)

    def change_discovery(self, fleet: str) -> None:
        """The configuration names another discovery; ``fleet`` is its fleet unless the options name one."""
        self.fleet.change_discovery(self.options.fleet or fleet)

    def jittered_wait_s(self, wait_s: float) -> float:
        """A wait of 0.5 to 1.5 times ``wait_s``, so that limiters do not reconnect to discovery together."""
        return wait_s * self.random.uniform(0.5, 1.5)

    # From servers

    def record_outcome(self, server: bytes, outcome: Outcome) -> None:
        """An attempt at a server, or a probe, has ended."""
        if update := self.fleet.record_outcome(self.now_ns(), server, outcome):
            self.apply(update)

    def probe(self) -> None:
        """Probe servers that are on trial; only called if the settings permit probes."""
        now_s = self.loop.time()
        for server, record in list(self.fleet.servers.items()):
            on_trial = Trust.NONE < record.trust < Trust.TOLD and not record.missing_since_ns
            if (
                not on_trial
                or self.probes_in_flight >= MAX_PROBES
                or now_s - self.last_probe_s.get(server, -PROBE_INTERVAL_S) < PROBE_INTERVAL_S
            ):
                continue
            self.last_probe_s[server] = now_s
            self.probes_in_flight += 1
            self.daemon.probe(server, functools.partial(self.probe_ended, server))

    def probe_ended(self, server: bytes, succeeded: bool) -> None:
        self.probes_in_flight -= 1
        if not self.closed:
            self.record_outcome(server, Outcome.OK if succeeded else Outcome.CONNECT_FAILED)

    # Between limiters

    def receive_message(self, payload: bytes) -> None:
        """Handle a datagram of ``messages`` from another limiter."""
        now_s = self.loop.time()
        if payload == messages.QUERY:
            if now_s - self.last_report_s >= REPORT_INTERVAL_S and (
                report := messages.encode_report(self.fleet.drained_servers(self.now_ns()))
            ):
                self.last_report_s = now_s
                self.daemon.send_to_peers(None, report)
            return
        if drained := messages.decode_report(payload):
            self.digests = {s: self.digests.get(s) or messages.server_digest(s) for s in self.fleet.servers}
            if update := self.fleet.apply_peer_report(self.now_ns(), drained, self.digests):
                log.warning("other limiters report that %d servers drain or are gone",
                            sum(r.reported_by_peer for r in self.fleet.servers.values()))  # fmt: skip
                self.apply(update)

    def report_drained(self) -> None:
        """Report to the other limiters the servers that have begun to drain or gone since the last report."""
        if self.fleet.unannounced and self.loop.time() - self.last_report_s >= REPORT_INTERVAL_S:
            self.last_report_s = self.loop.time()
            report = messages.encode_report(sorted(self.fleet.unannounced))
            self.fleet.unannounced.clear()
            self.daemon.send_to_peers(None, report)

    # Time

    def tick(self) -> None:
        """Run periodically: age the trust, send probes, queries and reports, and save the list."""
        if self.closed:
            return
        now_s = self.loop.time()
        if self.fleet.needs_tick:
            if update := self.fleet.tick(self.now_ns()):
                self.apply(update)
            if self.may_probe:
                self.probe()
            if (
                self.fleet.source in (ListSource.SNAPSHOT, ListSource.CONFIGURATION)
                and now_s >= self.next_query_s
            ):
                self.next_query_s = now_s + self.jittered_wait_s(QUERY_INTERVAL_S)
                self.daemon.send_to_peers(None, messages.QUERY)
        self.report_drained()
        if now_s >= self.next_save_s and (self.dirty or now_s - self.last_saved_s >= self.options.refresh_s):
            self.save()
        self.timer = self.loop.call_later(TICK_S if self.fleet.needs_tick else 4 * TICK_S, self.tick)

    def apply(self, update: Update) -> None:
        """Write the log lines of an update, and hand its list to the policy."""
        for line in update.log_lines:
            log.info("%s", line)
        if update.server_list:
            self.daemon.apply_server_list(update.server_list, update.addresses)

    def status_line(self) -> str:
        """How far the servers are trusted, for the log."""
        return self.fleet.report(self.now_ns()).to_log_line()

    # The disk

    def save(self) -> None:
        """Start to save the list, unless a save is pending or the present discovery has not sent a full list
        yet."""
        if self.pending_save or not self.fleet.has_full_list:
            return
        self.dirty = False
        data = snapshot_codec.encode(self.fleet.snapshot(self.now_ns()), self.names)
        self.next_save_s = self.loop.time() + self.options.write_s
        self.pending_save = self.loop.run_in_executor(None, self.file.save, data)
        self.pending_save.add_done_callback(self.save_ended)

    def save_ended(self, pending_save: asyncio.Future[None]) -> None:
        self.pending_save = None
        error = None if pending_save.cancelled() else pending_save.exception()
        if error is None:
            if self.save_failures:
                log.info("the server list is saved again")
            self.last_saved_s, self.save_failures = self.loop.time(), 0
            return
        self.save_failures += 1
        if self.save_failures == 1:
            log.error("the server list cannot be saved: %s", error)
        self.dirty = True
        self.next_save_s = self.loop.time() + self.options.write_s * min(
            2**self.save_failures, MAX_SAVE_BACKOFF
        )

    def close(self) -> None:
        self.closed = True
        if self.timer:
            self.timer.cancel()
