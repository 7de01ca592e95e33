"""The beliefs put into the daemon: discovery's word goes through them to the module, and they are kept on
disk.

Off, the daemon hands lists of discovery to the module as they come.  On, ``MembershipManager`` stands between
the two.  It decides nothing (``FleetView`` does) and holds no request up: the disk is written by a thread,
one write at a time."""

from __future__ import annotations

import asyncio
import functools
import logging
import random
from collections.abc import Callable
from typing import Protocol

from aniseshed.interface import ListKind, Outcome, ServerList, Trust
from hookport.config import Address, Names
from hookport.membership import messages, snapshot_codec
from hookport.membership.curve import DEFAULT_POINTS, SECOND_NS, TrustCurve, TrustPoint
from hookport.membership.fleet import FleetView, State, Update
from hookport.membership.snapshot_file import SnapshotFile
from hookport.options import Membership

log = logging.getLogger("hookport.membership")

TICK_S = 0.25  # while time alone can change what is trusted
PROBE_S = 1.0  # between two probes of one server
PROBES = 4  # out at one time
WORD_S = 1.0  # between two datagrams of this kind at least
ASK_S = 5.0  # between two questions to the others, while discovery says nothing
RETRY_MOST = 12  # times write_s: how far writes that fail are spaced


class Door(Protocol):
    """What the daemon offers: ``apply_server_list`` hands a list on, the others say and look."""

    def apply_server_list(self, told: ServerList, places: dict[bytes, Address]) -> None: ...
    def send_to_peers(self, peer: int | None, payload: bytes) -> None: ...
    def probe(self, server: bytes, ended: Callable[[bool], None]) -> None: ...


class Watched(Protocol):
    """What is asked of discovery."""

    generation: int
    heard_s: float


class MembershipManager:
    """``now_ns`` is the module's clock, in Unix nanoseconds; ``index`` of ``limiters`` is this limiter."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        options: Membership,
        name: str,
        names: Names,
        fleet: str,
        index: int,
        limiters: int,
        door: Door,
        now_ns: Callable[[], int],
        may_probe: bool,
        seed: int,
        file: SnapshotFile | None = None,
    ) -> None:
        self.loop, self.options, self.names, self.door, self.now_ns = loop, options, names, door, now_ns
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
        self.discovery: Watched | None = None
        self.digests: dict[bytes, bytes] = {}
        self.probes: dict[bytes, float] = {}  # by server: when it was probed last
        self.probing = 0
        self.word_s = self.ask_s = self.again_s = 0.0
        self.writing: asyncio.Future[None] | None = None
        self.dirty, self.saved_s, self.failures = False, 0.0, 0
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    # From discovery

    def receive_list(self, told: ServerList, places: dict[bytes, Address]) -> None:
        """In the place of the daemon's own ``apply_server_list``."""
        now_ns = self.now_ns()
        generation = self.discovery.generation if self.discovery else 0
        if told.kind is ListKind.CACHED:
            kept, wrong = self.file.load(self.names, self.fleet.fleet)
            for line in wrong:
                log.warning("%s", line)
            if kept and kept.saved_ns > now_ns:
                log.warning("the kept list was written %.0f s from now: a clock is wrong, its age is unknown",
                            (kept.saved_ns - now_ns) / SECOND_NS)  # fmt: skip
            self.out(self.fleet.start(now_ns, kept, told, places, generation))
            return self.turn()
        if told.kind is ListKind.FAILED:
            silent_s = self.loop.time() - self.discovery.heard_s if self.discovery else 0.0
            self.out(self.fleet.lost(now_ns, now_ns - round(silent_s * SECOND_NS)))
            return self.door.apply_server_list(told, places)
        self.out(self.fleet.told(now_ns, generation, told, places))
        self.dirty = True
        self.spread_word()

    def watch_active(self) -> None:
        """The watch spoke."""
        if update := self.fleet.alive(self.now_ns()):
            self.out(update)

    def change_discovery(self, fleet: str) -> None:
        self.fleet.moved(self.options.fleet or fleet)

    def jittered_wait_s(self, wait_s: float) -> float:
        """How long to wait before discovery is asked again: spread, so that limiters do not ask as one."""
        return wait_s * self.random.uniform(0.5, 1.5)

    # From servers

    def record_outcome(self, server: bytes, outcome: Outcome) -> None:
        if update := self.fleet.record_outcome(self.now_ns(), server, outcome):
            self.out(update)

    def probe(self) -> None:
        """Look at servers that have yet to prove themselves, where the settings allow it."""
        now_s = self.loop.time()
        for server, belief in list(self.fleet.beliefs.items()):
            unproved = Trust.NONE < belief.trust < Trust.TOLD and not belief.absent_ns
            if not unproved or self.probing >= PROBES or now_s - self.probes.get(server, -PROBE_S) < PROBE_S:
                continue
            self.probes[server] = now_s
            self.probing += 1
            self.door.probe(server, functools.partial(self.probed, server))

    def probed(self, server: bytes, well: bool) -> None:
        self.probing -= 1
        if not self.closed:
            self.record_outcome(server, Outcome.OK if well else Outcome.CONNECT_FAILED)

    # Between limiters

    def receive_message(self, payload: bytes) -> None:
        """A datagram of this kind came."""
        now_s = self.loop.time()
        if payload == messages.QUERY:
            if now_s - self.word_s >= WORD_S and (
                report := messages.encode_report(self.fleet.drained(self.now_ns()))
            ):
                self.word_s = now_s
                self.door.send_to_peers(None, report)
            return
        if drained := messages.decode_report(payload):
            self.digests = {s: self.digests.get(s) or messages.server_digest(s) for s in self.fleet.beliefs}
            if update := self.fleet.warned(self.now_ns(), drained, self.digests):
                log.warning("other limiters say that %d servers drain or have gone",
                            sum(b.warned for b in self.fleet.beliefs.values()))  # fmt: skip
                self.out(update)

    def spread_word(self) -> None:
        """Tell the others what has drained since the last word."""
        if self.fleet.news and self.loop.time() - self.word_s >= WORD_S:
            self.word_s = self.loop.time()
            said = messages.encode_report(sorted(self.fleet.news))
            self.fleet.news.clear()
            self.door.send_to_peers(None, said)

    # Time

    def turn(self) -> None:
        """Once a tick: what time changes, probes, words, and the disk."""
        if self.closed:
            return
        now_s = self.loop.time()
        if self.fleet.restless:
            if update := self.fleet.tick(self.now_ns()):
                self.out(update)
            if self.may_probe:
                self.probe()
            if self.fleet.state in (State.KEPT, State.CONFIGURATION) and now_s >= self.ask_s:
                self.ask_s = now_s + self.jittered_wait_s(ASK_S)
                self.door.send_to_peers(None, messages.QUERY)
        self.spread_word()
        if now_s >= self.again_s and (self.dirty or now_s - self.saved_s >= self.options.refresh_s):
            self.save()
        self.timer = self.loop.call_later(TICK_S if self.fleet.restless else 4 * TICK_S, self.turn)

    def out(self, update: Update) -> None:
        for line in update.lines:
            log.info("%s", line)
        if update.server_list:
            self.door.apply_server_list(update.server_list, update.addresses)

    def status_line(self) -> str:
        """How far the servers are trusted, for the log."""
        return self.fleet.report(self.now_ns()).line()

    # The disk

    def save(self) -> None:
        """Write the list, unless a write is out already or there is nothing that discovery ever vouched
        for."""
        if self.writing or not self.fleet.taken:
            return
        self.dirty = False
        data = snapshot_codec.encode(self.fleet.kept(self.now_ns()), self.names)
        self.again_s = self.loop.time() + self.options.write_s
        self.writing = self.loop.run_in_executor(None, self.file.save, data)
        self.writing.add_done_callback(self.saved)

    def saved(self, writing: asyncio.Future[None]) -> None:
        self.writing = None
        error = None if writing.cancelled() else writing.exception()
        if error is None:
            if self.failures:
                log.info("the list is kept again")
            self.saved_s, self.failures = self.loop.time(), 0
            return
        self.failures += 1
        if self.failures == 1:
            log.error("the list is no longer kept: %s", error)
        self.dirty = True
        self.again_s = self.loop.time() + self.options.write_s * min(2**self.failures, RETRY_MOST)

    def close(self) -> None:
        self.closed = True
        if self.timer:
            self.timer.cancel()
