"""One limiter's view of the servers: sources, ages and proof, and that no older information brings back a
server that drained."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from aniseshed.interface import Health, ListKind, Outcome, ServerEntry, ServerList, Trust
from aniseshed.state import Server, apply_server_list
from hookport.membership import messages
from hookport.membership.curve import DEFAULT_POINTS, SECOND_NS, TrustCurve, TrustPoint
from hookport.membership.fleet import (
    MIN_ON_TRIAL,
    STALE_LIST_HOLD_NS,
    TOMBSTONE_TTL_NS,
    FleetView,
    ListSource,
    Snapshot,
    SnapshotEntry,
    Tombstone,
    Update,
)

NOW = 1_800_000_000 * SECOND_NS
DAY = 86_400


def entry(n: int, health: Health = Health.READY, started_ns: int = 0) -> ServerEntry:
    return ServerEntry(b"s-%d" % n, 0, 0, 0, health, 1.0, started_ns)


def address(n: int) -> tuple[str, int]:
    return "10.0.0.1", 6000 + n


def server_list(
    *entries: ServerEntry, kind: ListKind = ListKind.FULL
) -> tuple[ServerList, dict[bytes, tuple[str, int]]]:
    return ServerList(kind, entries), {e.server: address(int(e.server[2:])) for e in entries}


def snapshot(
    age_s: float,
    *entries: ServerEntry,
    generation: int = 40,
    tombstones: dict[bytes, Tombstone] | None = None,
) -> Snapshot:
    saved_ns = NOW - round(age_s * SECOND_NS)
    servers = tuple(
        SnapshotEntry(e, address(int(e.server[2:])), generation, saved_ns, saved_ns) for e in entries
    )
    return Snapshot("f", generation, saved_ns, servers, tombstones or {})


class Harness:
    """A fleet view, and the servers that the policy has after its updates."""

    def __init__(self, loss_part: float = 0.0, index: int = 0, limiters: int = 1) -> None:
        self.fleet = FleetView("f", index, limiters, TrustCurve(), 14 * DAY * SECOND_NS, loss_part)
        self.servers: dict[bytes, Server] = {}
        self.now = NOW
        self.log_lines: list[str] = []

    def apply(self, update: Update | None) -> None:
        if update:
            self.log_lines += update.log_lines
            if update.server_list:
                apply_server_list(self.servers, update.server_list)

    def start(self, saved: Snapshot | None, *configured: ServerEntry, generation: int = 0) -> Harness:
        listed, addresses = server_list(*configured, kind=ListKind.CACHED)
        self.apply(self.fleet.start(self.now, saved, listed, addresses, generation))
        return self

    def receive(self, generation: int, *entries: ServerEntry, kind: ListKind = ListKind.FULL) -> None:
        self.apply(self.fleet.apply_discovery_list(self.now, generation, *server_list(*entries, kind=kind)))

    def record_outcome(self, n: int, outcome: Outcome = Outcome.OK) -> None:
        self.apply(self.fleet.record_outcome(self.now, b"s-%d" % n, outcome))

    def wait(self, seconds: float) -> None:
        self.now += round(seconds * SECOND_NS)
        self.apply(self.fleet.tick(self.now))

    def trust(self, n: int) -> Trust:
        """The trust that the policy applies to a server."""
        server = self.servers.get(b"s-%d" % n)
        return Trust.NONE if server is None or server.entry.health is not Health.READY else server.entry.trust

    def on_trial(self) -> list[int]:
        return [n for n in range(100) if Trust.NONE < self.trust(n) < Trust.TOLD]


@pytest.mark.parametrize(
    ("age_s", "trust", "answers", "on_trial"),
    [(1, Trust.TOLD, 0, 0), (30, Trust.CAREFUL, 1, 20), (61, Trust.SAFE, 1, 20), (3600, Trust.SAFE, 2, 7),
     (DAY, Trust.SAFE, 3, 5), (7 * DAY, Trust.SAFE, 4, 3)],
)  # fmt: skip
def test_an_older_snapshot_is_trusted_less_and_needs_more_answers_as_proof(
    age_s: float, trust: Trust, answers: int, on_trial: int
) -> None:
    harness = Harness().start(snapshot(age_s, *(entry(n) for n in range(20))))
    assert len(harness.on_trial()) == on_trial
    if not answers:
        return
    first = harness.on_trial()[0]
    for _ in range(answers):
        assert harness.trust(first) is trust
        harness.record_outcome(first)
    assert harness.trust(first) is Trust.TOLD
    assert len(harness.on_trial()) == min(on_trial, 19), "the next server on the list is tried in its place"


def test_limiters_that_start_together_begin_at_different_servers() -> None:
    on_trial = [
        set(Harness(index=i, limiters=4).start(snapshot(DAY, *(entry(n) for n in range(20)))).on_trial())
        for i in range(4)
    ]
    assert len(set.union(*on_trial)) == 20 and sum(map(len, on_trial)) == 20


def test_after_failures_a_server_gets_nothing_for_a_time_that_doubles() -> None:
    harness = Harness().start(snapshot(3600, *(entry(n) for n in range(2))))
    for wait_s in (1, 2, 4):
        harness.record_outcome(0, Outcome.CONNECT_FAILED)
        assert harness.trust(0) is Trust.NONE
        harness.wait(wait_s - 0.1)
        assert harness.trust(0) is Trust.NONE
        harness.wait(0.2)
        assert harness.trust(0) is Trust.SAFE
    assert harness.fleet.report(harness.now).wrong == 1


def test_a_server_that_may_have_restarted_unnoticed_is_cold_until_discovery_lists_it() -> None:
    harness = Harness().start(snapshot(1, entry(0)))
    assert harness.servers[b"s-0"].entry.presumed_start_ns == NOW
    harness.wait(5)
    harness.record_outcome(0, Outcome.RESET)
    harness.wait(2)
    assert harness.servers[b"s-0"].entry.presumed_start_ns == NOW + 5 * SECOND_NS
    harness.receive(41, entry(0))
    assert harness.servers[b"s-0"].entry.presumed_start_ns == 0 and harness.trust(0) is Trust.TOLD


def test_a_snapshot_from_the_future_is_trusted_as_little_as_the_oldest() -> None:
    harness = Harness().start(snapshot(-3600, *(entry(n) for n in range(20))))
    assert len(harness.on_trial()) == 3 and harness.trust(harness.on_trial()[0]) is Trust.SAFE


def test_of_two_servers_at_one_address_only_the_one_confirmed_last_is_used() -> None:
    recent = snapshot(10, entry(1)).servers[0]
    old = replace(snapshot(3600, entry(2)).servers[0], address=recent.address)
    harness = Harness().start(Snapshot("f", 40, NOW, (recent, old), {}))
    assert harness.trust(2) is Trust.NONE and harness.trust(1) is Trust.CAREFUL
    assert "a higher-ranked or newer entry has the same address" in harness.log_lines[0]


def test_the_configuration_does_not_bring_back_servers_that_drain_by_the_snapshot() -> None:
    tombstones = {b"s-2": Tombstone(NOW - 20 * SECOND_NS, 39, 0)}
    harness = Harness().start(
        snapshot(10, entry(1, Health.DRAINING), tombstones=tombstones), entry(1), entry(2), entry(3)
    )
    assert harness.trust(1) is harness.trust(2) is Trust.NONE
    assert harness.trust(3) is Trust.SAFE, "an unknown age counts as the greatest"


def test_a_configuration_of_a_later_generation_overrides_the_snapshot() -> None:
    saved = snapshot(10, entry(1), entry(2), entry(3))
    harness = Harness().start(saved, entry(1), entry(2, Health.DRAINING), entry(4), generation=41)
    assert harness.trust(1) is harness.trust(4) is Trust.CAREFUL
    assert harness.trust(2) is harness.trust(3) is Trust.NONE


def test_discovery_that_returns_with_an_older_generation_brings_back_no_drained_server() -> None:
    """Unless the server restarted, the generation passes that of the drain, or enough time has gone by."""
    harness = Harness().start(snapshot(10, entry(1, Health.DRAINING), entry(2)))
    harness.receive(30, entry(1), entry(2), entry(3))
    assert harness.trust(1) is Trust.NONE and harness.trust(2) is harness.trust(3) is Trust.TOLD
    assert any("generation 30, older than 40" in line for line in harness.log_lines)
    harness.receive(31, entry(1), kind=ListKind.DELTA)
    assert harness.trust(1) is Trust.NONE
    harness.receive(32, entry(1, started_ns=NOW + SECOND_NS), kind=ListKind.DELTA)
    assert harness.trust(1) is Trust.TOLD, "a later start is another instance"
    harness.receive(33, entry(2, Health.DRAINING), kind=ListKind.DELTA)
    harness.receive(33, entry(2), kind=ListKind.DELTA)
    assert harness.trust(2) is Trust.NONE
    harness.wait(STALE_LIST_HOLD_NS / SECOND_NS)
    harness.receive(33, entry(2), kind=ListKind.DELTA)
    assert harness.trust(2) is Trust.TOLD, "discovery may have restarted its generations"


def test_generations_of_another_discovery_do_not_bring_back_drained_servers() -> None:
    harness = Harness().start(snapshot(10, entry(1, Health.DRAINING), entry(2)))
    harness.fleet.change_discovery("g")
    harness.receive(900, entry(1), entry(2))
    assert harness.trust(1) is Trust.NONE and harness.trust(2) is Trust.TOLD
    assert harness.fleet.snapshot(NOW).fleet == "g"


def test_a_full_list_that_lacks_many_servers_is_doubted_if_configured_but_drains_apply_at_once() -> None:
    everyone = [entry(n) for n in range(10)]
    accepting, doubting = Harness(), Harness(loss_part=0.5)
    for harness in (accepting, doubting):
        harness.start(None)
        harness.receive(5, *everyone)
        harness.apply(harness.fleet.watch_lost(harness.now, harness.now))
        harness.wait(1)
        harness.receive(6)
    assert [accepting.trust(n) for n in range(10)] == [Trust.NONE] * 10
    assert [doubting.trust(n) for n in range(10)] == [Trust.SAFE] * 10
    doubting.receive(7, entry(3, Health.GONE), entry(4, Health.DRAINING), kind=ListKind.DELTA)
    assert doubting.trust(3) is doubting.trust(4) is Trust.NONE
    assert not any(s.entry.server == b"s-5" for s in doubting.fleet.snapshot(doubting.now).servers)
    doubting.receive(8, entry(5), kind=ListKind.DELTA)
    doubting.wait(61)
    assert doubting.trust(5) is Trust.TOLD and doubting.trust(6) is Trust.NONE


def test_after_the_watch_ends_the_last_list_ages_until_the_watch_is_back() -> None:
    harness = Harness().start(None)
    harness.receive(5, entry(0), entry(1))
    harness.record_outcome(0)
    harness.apply(harness.fleet.watch_lost(harness.now, harness.now))
    assert harness.fleet.source is ListSource.LOST_DISCOVERY and harness.trust(1) is Trust.TOLD
    harness.wait(30)
    assert harness.trust(0) is Trust.TOLD and harness.trust(1) is Trust.CAREFUL
    harness.apply(harness.fleet.watch_active(harness.now))
    assert harness.trust(1) is Trust.TOLD and harness.fleet.source is ListSource.LIVE_DISCOVERY


def test_a_report_of_another_limiter_reduces_trust_and_never_raises_it() -> None:
    harness = Harness().start(snapshot(10, entry(1), entry(2)))
    drained = messages.decode_report(messages.encode_report([b"s-1", b"s-9"]))
    digests = {s: messages.server_digest(s) for s in harness.fleet.servers}
    harness.apply(harness.fleet.apply_peer_report(harness.now, drained, digests))
    assert (
        harness.trust(1) is Trust.NONE and harness.trust(2) is Trust.CAREFUL and b"s-9" not in harness.servers
    )
    harness.record_outcome(1)
    assert harness.trust(1) is Trust.NONE, "an answer that crossed the report proves nothing"
    harness.receive(41, entry(1), entry(2))
    assert harness.trust(1) is Trust.TOLD
    assert harness.fleet.apply_peer_report(harness.now, drained, digests) is None, (
        "the live watch counts more"
    )


def test_a_report_fits_one_datagram_and_invalid_datagrams_are_ignored() -> None:
    many = messages.encode_report(b"s-%d" % n for n in range(1000))
    assert len(many) <= messages.MAX_DATAGRAM_BYTES and messages.decode_report(many)[
        0
    ] == messages.server_digest(b"s-0")
    assert messages.encode_report([]) == b""
    for invalid in (many[:-1], many + b"x" * 8, b"here", b"F?", b"", b"\xff" * 300):
        assert messages.decode_report(invalid) == []


@pytest.mark.parametrize(
    ("points", "reason"),
    [([], "empty"), ([TrustPoint(0, 1, 0, True)], "row 0"), ([TrustPoint(1, 0, 0, True)], "row 0"),
     ([TrustPoint(1, 1, 0, True), TrustPoint(1, 1, 0, True)], "row 1: age_s 1 must be greater than 1 of"),
     ([TrustPoint(1, 0.5, 0, True), TrustPoint(2, 1, 0, True)], "row 1: an older list must not be trusted"),
     ([TrustPoint(1, 1, 2, True), TrustPoint(2, 1, 1, True)], "row 1: an older list must not be trusted"),
     ([TrustPoint(1, 1, 0, False), TrustPoint(2, 1, 0, True)], "row 1: an older list must not be trusted")],
)  # fmt: skip
def test_a_table_that_is_invalid_or_trusts_an_older_list_more_is_rejected(
    points: list[TrustPoint], reason: str
) -> None:
    with pytest.raises(ValueError, match=reason):
        TrustCurve(points)


def test_trust_never_rises_with_age_between_the_rows_of_the_table() -> None:
    curve, before = TrustCurve(), TrustCurve().at(0)
    for step in range(1, 4000):
        point = curve.at(round(1.004**step * SECOND_NS / 10))
        assert point.open_part <= before.open_part and point.answers >= before.answers
        assert point.claims <= before.claims
        assert before.open_part - point.open_part < 0.01, "the open part drops sharply"
        before = point


def test_a_server_of_a_recent_snapshot_is_trusted_until_it_fails() -> None:
    harness = Harness().start(snapshot(1, entry(0), entry(1)))
    harness.record_outcome(0, Outcome.CONNECT_FAILED)
    assert harness.trust(0) is Trust.NONE and harness.trust(1) is Trust.TOLD


def test_an_answer_counts_as_proof_for_ten_minutes() -> None:
    harness = Harness().start(snapshot(10, entry(0)))
    harness.record_outcome(0)
    harness.record_outcome(0)
    harness.wait(599)
    assert harness.trust(0) is Trust.TOLD
    harness.wait(2)
    assert harness.trust(0) is Trust.SAFE


def test_an_older_list_does_not_lower_the_generation_at_which_a_server_was_deleted() -> None:
    """Otherwise the next list, still older than the deletion, would bring the server back."""
    harness = Harness().start(
        snapshot(10, tombstones={b"s-1": Tombstone(NOW, 50, 0), b"s-2": Tombstone(NOW, 50, 0)}, generation=50)
    )
    harness.receive(40, entry(1, Health.GONE), entry(2, Health.DRAINING), kind=ListKind.DELTA)
    harness.receive(41, entry(1), entry(2))
    assert harness.trust(1) is harness.trust(2) is Trust.NONE


def test_a_server_deleted_before_a_change_of_discovery_stays_deleted() -> None:
    harness = Harness().start(snapshot(10, tombstones={b"s-1": Tombstone(NOW, 39, 0)}))
    harness.fleet.change_discovery("g")
    harness.receive(900, entry(1))
    assert harness.trust(1) is Trust.NONE


def test_a_drain_in_a_configuration_of_an_older_generation_counts() -> None:
    harness = Harness().start(snapshot(10, entry(1)), entry(1, Health.DRAINING), generation=3)
    assert harness.trust(1) is Trust.NONE


class FleetViewMachine(RuleBasedStateMachine):
    """Random sequences of lists, lost watches, outcomes and waits, checked against a model that remembers
    which servers were last reported to drain or to be gone."""

    @initialize(age_s=st.floats(0.1, 10 * DAY), size=st.integers(0, 8), loss=st.sampled_from([0.0, 0.4]))
    def begin(self, age_s: float, size: int, loss: float) -> None:
        self.harness = Harness(loss)
        self.removed: dict[int, tuple[int, int]] = {}  # draining or gone: generation and time of the report
        self.generation = 40
        draining = {n for n in range(size) if n % 4 == 3}
        saved = [entry(n, Health.DRAINING if n in draining else Health.READY) for n in range(size)]
        self.harness.start(snapshot(age_s, *saved), *(entry(n) for n in range(8)))
        saved_ns = NOW - round(age_s * SECOND_NS)
        self.removed = {n: (40, saved_ns) for n in draining}

    @rule(
        step=st.integers(-3, 3),
        rows=st.dictionaries(st.integers(0, 9), st.sampled_from(Health), max_size=6),
        full=st.booleans(),
    )
    def receive(self, step: int, rows: dict[int, Health], full: bool) -> None:
        self.generation = max(1, self.generation + step)
        harness = self.harness
        entries = [entry(n, h) for n, h in rows.items() if not (full and h is Health.GONE)]
        trusted = {n for n in range(10) if harness.trust(n) > Trust.NONE}
        harness.receive(self.generation, *entries, kind=ListKind.FULL if full else ListKind.DELTA)
        for n, health in rows.items():
            if health is not Health.READY and not (full and health is Health.GONE):
                self.removed[n] = (self.generation, harness.now)
            elif health is Health.READY and n in self.removed:
                generation, at = self.removed[n]
                if self.generation > generation or harness.now - at >= STALE_LIST_HOLD_NS:
                    del self.removed[n]
        if full and not harness.fleet.loss_part:
            for n in set(range(10)) - {int(e.server[2:]) for e in entries}:
                if n in trusted:
                    self.removed[n] = (self.generation, harness.now)

    @rule(
        n=st.integers(0, 9),
        outcome=st.sampled_from(
            [
                Outcome.OK,
                Outcome.OK,
                Outcome.RESET,
                Outcome.FULL,
                Outcome.CONNECT_FAILED,
                Outcome.ERROR,
                Outcome.TIMEOUT,
            ]
        ),
    )
    def record_outcome(self, n: int, outcome: Outcome) -> None:
        self.harness.record_outcome(n, outcome)

    @rule()
    def watch_lost(self) -> None:
        self.harness.apply(self.harness.fleet.watch_lost(self.harness.now, self.harness.now - SECOND_NS))

    @rule()
    def watch_active(self) -> None:
        self.harness.apply(self.harness.fleet.watch_active(self.harness.now))

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0, 60.0, 601.0]))
    def wait(self, seconds: float) -> None:
        self.harness.wait(seconds)
        self.harness.fleet.snapshot(self.harness.now)

    @invariant()
    def no_requests_for_drained_servers(self) -> None:
        if hasattr(self, "harness"):
            for n in self.removed:
                assert self.harness.trust(n) is Trust.NONE, f"s-{n}"

    @invariant()
    def unconfirmed_servers_are_trusted_only_after_proof(self) -> None:
        if not hasattr(self, "harness"):
            return
        fleet, now = self.harness.fleet, self.harness.now
        on_trial = self.harness.on_trial()
        for server, record in fleet.servers.items():
            trust = self.harness.trust(int(server[2:]))
            if fleet.live or record.missing_since_ns:
                continue
            age_s = (now - fleet.confirmed_ns(record)) / SECOND_NS
            if trust is Trust.CAREFUL:
                assert age_s <= DEFAULT_POINTS[1].age_s
            if trust is Trust.TOLD and age_s > DEFAULT_POINTS[0].age_s:
                assert record.answers >= 1 and record.answered_ns > 0
        if not fleet.live and not any(r.missing_since_ns for r in fleet.servers.values()):
            assert len(on_trial) <= max(MIN_ON_TRIAL, len(fleet.servers))

    @invariant()
    def the_policy_has_the_published_entries(self) -> None:
        if hasattr(self, "harness"):
            assert {s: x.entry for s, x in self.harness.servers.items()} == self.harness.fleet.published

    @invariant()
    def tombstones_expire(self) -> None:
        if hasattr(self, "harness"):
            now = self.harness.now
            assert all(now - t.recorded_ns < TOMBSTONE_TTL_NS for t in self.harness.fleet.tombstones.values())


FleetViewMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
TestFleetView = FleetViewMachine.TestCase
