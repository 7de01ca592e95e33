"""What is believed of the servers: sources, ages, proof, and nothing that drained coming back by an older
word."""

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
    GONE_NS,
    HOLD_NS,
    LEAST_OPEN,
    FleetView,
    Gone,
    Snapshot,
    SnapshotEntry,
    State,
    Update,
)

NOW = 1_800_000_000 * SECOND_NS
DAY = 86_400


def entry(n: int, health: Health = Health.READY, born_ns: int = 0) -> ServerEntry:
    return ServerEntry(b"s-%d" % n, 0, 0, 0, health, 1.0, born_ns)


def place(n: int) -> tuple[str, int]:
    return "10.0.0.1", 6000 + n


def listed(
    *entries: ServerEntry, kind: ListKind = ListKind.FULL
) -> tuple[ServerList, dict[bytes, tuple[str, int]]]:
    return ServerList(kind, entries), {e.server: place(int(e.server[2:])) for e in entries}


def kept(
    age_s: float, *entries: ServerEntry, generation: int = 40, gone: dict[bytes, Gone] | None = None
) -> Snapshot:
    told_ns = NOW - round(age_s * SECOND_NS)
    held = tuple(SnapshotEntry(e, place(int(e.server[2:])), generation, told_ns, told_ns) for e in entries)
    return Snapshot("f", generation, told_ns, held, gone or {})


class Believer:
    """A fleet and what the module makes of its lists."""

    def __init__(self, loss_part: float = 0.0, index: int = 0, limiters: int = 1) -> None:
        self.fleet = FleetView("f", index, limiters, TrustCurve(), 14 * DAY * SECOND_NS, loss_part)
        self.servers: dict[bytes, Server] = {}
        self.now = NOW
        self.lines: list[str] = []

    def take(self, update: Update | None) -> None:
        if update:
            self.lines += update.lines
            if update.server_list:
                apply_server_list(self.servers, update.server_list)

    def start(self, list_kept: Snapshot | None, *known: ServerEntry, generation: int = 0) -> Believer:
        told, places = listed(*known, kind=ListKind.CACHED)
        self.take(self.fleet.start(self.now, list_kept, told, places, generation))
        return self

    def told(self, generation: int, *entries: ServerEntry, kind: ListKind = ListKind.FULL) -> None:
        self.take(self.fleet.told(self.now, generation, *listed(*entries, kind=kind)))

    def ended(self, n: int, outcome: Outcome = Outcome.OK) -> None:
        self.take(self.fleet.record_outcome(self.now, b"s-%d" % n, outcome))

    def wait(self, seconds: float) -> None:
        self.now += round(seconds * SECOND_NS)
        self.take(self.fleet.tick(self.now))

    def trust(self, n: int) -> Trust:
        """What the module may do with a server."""
        server = self.servers.get(b"s-%d" % n)
        return Trust.NONE if server is None or server.entry.health is not Health.READY else server.entry.trust

    def tried(self) -> list[int]:
        return [n for n in range(100) if Trust.NONE < self.trust(n) < Trust.TOLD]


@pytest.mark.parametrize(
    ("age_s", "trust", "answers", "opened"),
    [(1, Trust.TOLD, 0, 0), (30, Trust.CAREFUL, 1, 20), (61, Trust.SAFE, 1, 20), (3600, Trust.SAFE, 2, 7),
     (DAY, Trust.SAFE, 3, 5), (7 * DAY, Trust.SAFE, 4, 3)],
)  # fmt: skip
def test_the_older_the_list_the_less_it_is_trusted(
    age_s: float, trust: Trust, answers: int, opened: int
) -> None:
    believer = Believer().start(kept(age_s, *(entry(n) for n in range(20))))
    assert len(believer.tried()) == opened
    if not answers:
        return
    first = believer.tried()[0]
    for _ in range(answers):
        assert believer.trust(first) is trust
        believer.ended(first)
    assert believer.trust(first) is Trust.TOLD
    assert len(believer.tried()) == min(opened, 19), "the next one on the list is tried in its place"


def test_limiters_that_start_together_begin_at_different_servers() -> None:
    tried = [
        set(Believer(index=i, limiters=4).start(kept(DAY, *(entry(n) for n in range(20)))).tried())
        for i in range(4)
    ]
    assert len(set.union(*tried)) == 20 and sum(map(len, tried)) == 20


def test_what_failed_is_left_alone_for_a_while_that_doubles() -> None:
    believer = Believer().start(kept(3600, *(entry(n) for n in range(2))))
    for wait_s in (1, 2, 4):
        believer.ended(0, Outcome.CONNECT_FAILED)
        assert believer.trust(0) is Trust.NONE
        believer.wait(wait_s - 0.1)
        assert believer.trust(0) is Trust.NONE
        believer.wait(0.2)
        assert believer.trust(0) is Trust.SAFE
    assert believer.fleet.report(believer.now).wrong == 1


def test_a_server_may_have_restarted_unheard_and_counts_as_cold_until_a_list_says_otherwise() -> None:
    believer = Believer().start(kept(1, entry(0)))
    assert believer.servers[b"s-0"].entry.presumed_start_ns == NOW
    believer.wait(5)
    believer.ended(0, Outcome.RESET)
    believer.wait(2)
    assert believer.servers[b"s-0"].entry.presumed_start_ns == NOW + 5 * SECOND_NS
    believer.told(41, entry(0))
    assert believer.servers[b"s-0"].entry.presumed_start_ns == 0 and believer.trust(0) is Trust.TOLD


def test_a_list_from_the_future_has_no_age_and_is_the_oldest() -> None:
    believer = Believer().start(kept(-3600, *(entry(n) for n in range(20))))
    assert len(believer.tried()) == 3 and believer.trust(believer.tried()[0]) is Trust.SAFE


def test_of_two_names_of_one_address_the_later_word_counts() -> None:
    young = kept(10, entry(1)).servers[0]
    old = replace(kept(3600, entry(2)).servers[0], address=young.address)
    believer = Believer().start(Snapshot("f", 40, NOW, (young, old), {}))
    assert believer.trust(2) is Trust.NONE and believer.trust(1) is Trust.CAREFUL
    assert "share an address" in believer.lines[0]


def test_the_configuration_brings_back_nothing_that_the_kept_list_heard_drain() -> None:
    gone = {b"s-2": Gone(NOW - 20 * SECOND_NS, 39, 0)}
    believer = Believer().start(kept(10, entry(1, Health.DRAINING), gone=gone), entry(1), entry(2), entry(3))
    assert believer.trust(1) is believer.trust(2) is Trust.NONE
    assert believer.trust(3) is Trust.SAFE, "of unknown age: the oldest"


def test_a_later_generation_of_the_configuration_wins_over_the_kept_list() -> None:
    old = kept(10, entry(1), entry(2), entry(3))
    believer = Believer().start(old, entry(1), entry(2, Health.DRAINING), entry(4), generation=41)
    assert believer.trust(1) is believer.trust(4) is Trust.CAREFUL
    assert believer.trust(2) is believer.trust(3) is Trust.NONE


def test_discovery_that_comes_back_older_brings_nothing_back_until_its_word_is_younger() -> None:
    believer = Believer().start(kept(10, entry(1, Health.DRAINING), entry(2)))
    believer.told(30, entry(1), entry(2), entry(3))
    assert believer.trust(1) is Trust.NONE and believer.trust(2) is believer.trust(3) is Trust.TOLD
    assert any("generation 30, 40 was known" in line for line in believer.lines)
    believer.told(31, entry(1), kind=ListKind.DELTA)
    assert believer.trust(1) is Trust.NONE
    believer.told(32, entry(1, born_ns=NOW + SECOND_NS), kind=ListKind.DELTA)
    assert believer.trust(1) is Trust.TOLD, "a later start is another life"
    believer.told(33, entry(2, Health.DRAINING), kind=ListKind.DELTA)
    believer.told(33, entry(2), kind=ListKind.DELTA)
    assert believer.trust(2) is Trust.NONE
    believer.wait(HOLD_NS / SECOND_NS)
    believer.told(33, entry(2), kind=ListKind.DELTA)
    assert believer.trust(2) is Trust.TOLD, "it may have begun to count anew"


def test_a_move_to_another_discovery_makes_numbers_of_the_old_one_meaningless() -> None:
    believer = Believer().start(kept(10, entry(1, Health.DRAINING), entry(2)))
    believer.fleet.moved("g")
    believer.told(900, entry(1), entry(2))
    assert believer.trust(1) is Trust.NONE and believer.trust(2) is Trust.TOLD
    assert believer.fleet.kept(NOW).fleet == "g"


def test_a_list_that_lacks_many_servers_is_doubted_where_that_is_set_and_drains_hold_at_once() -> None:
    everyone = [entry(n) for n in range(10)]
    trusting, doubting = Believer(), Believer(loss_part=0.5)
    for believer in (trusting, doubting):
        believer.start(None)
        believer.told(5, *everyone)
        believer.take(believer.fleet.lost(believer.now, believer.now))
        believer.wait(1)
        believer.told(6)
    assert [trusting.trust(n) for n in range(10)] == [Trust.NONE] * 10
    assert [doubting.trust(n) for n in range(10)] == [Trust.SAFE] * 10
    doubting.told(7, entry(3, Health.GONE), entry(4, Health.DRAINING), kind=ListKind.DELTA)
    assert doubting.trust(3) is doubting.trust(4) is Trust.NONE
    assert not any(h.entry.server == b"s-5" for h in doubting.fleet.kept(doubting.now).servers)
    doubting.told(8, entry(5), kind=ListKind.DELTA)
    doubting.wait(61)
    assert doubting.trust(5) is Trust.TOLD and doubting.trust(6) is Trust.NONE


def test_the_watch_that_ends_leaves_a_last_word_that_ages() -> None:
    believer = Believer().start(None)
    believer.told(5, entry(0), entry(1))
    believer.ended(0)
    believer.take(believer.fleet.lost(believer.now, believer.now))
    assert believer.fleet.state is State.LAST_WORD and believer.trust(1) is Trust.TOLD
    believer.wait(30)
    assert believer.trust(0) is Trust.TOLD and believer.trust(1) is Trust.CAREFUL
    believer.take(believer.fleet.alive(believer.now))
    assert believer.trust(1) is Trust.TOLD and believer.fleet.state is State.TOLD


def test_another_limiter_takes_trust_away_and_gives_none() -> None:
    believer = Believer().start(kept(10, entry(1), entry(2)))
    said = messages.decode_report(messages.encode_report([b"s-1", b"s-9"]))
    digests = {s: messages.server_digest(s) for s in believer.fleet.beliefs}
    believer.take(believer.fleet.warned(believer.now, said, digests))
    assert (
        believer.trust(1) is Trust.NONE
        and believer.trust(2) is Trust.CAREFUL
        and b"s-9" not in believer.servers
    )
    believer.ended(1)
    assert believer.trust(1) is Trust.NONE, "an answer that crossed the word proves nothing"
    believer.told(41, entry(1), entry(2))
    assert believer.trust(1) is Trust.TOLD
    assert believer.fleet.warned(believer.now, said, digests) is None, "the living watch knows better"


def test_words_fit_a_datagram_and_garbage_says_nothing() -> None:
    many = messages.encode_report(b"s-%d" % n for n in range(1000))
    assert len(many) <= messages.MAX_DATAGRAM_BYTES and messages.decode_report(many)[
        0
    ] == messages.server_digest(b"s-0")
    assert messages.encode_report([]) == b""
    for bad in (many[:-1], many + b"x" * 8, b"here", b"F?", b"", b"\xff" * 300):
        assert messages.decode_report(bad) == []


@pytest.mark.parametrize(
    ("points", "why"),
    [([], "empty"), ([TrustPoint(0, 1, 0, True)], "row 0"), ([TrustPoint(1, 0, 0, True)], "row 0"),
     ([TrustPoint(1, 1, 0, True), TrustPoint(1, 1, 0, True)], "row 1: age_s 1 must be greater than 1 of"),
     ([TrustPoint(1, 0.5, 0, True), TrustPoint(2, 1, 0, True)], "row 1: an older list must not be trusted"),
     ([TrustPoint(1, 1, 2, True), TrustPoint(2, 1, 1, True)], "row 1: an older list must not be trusted"),
     ([TrustPoint(1, 1, 0, False), TrustPoint(2, 1, 0, True)], "row 1: an older list must not be trusted")],
)  # fmt: skip
def test_a_table_that_trusts_the_older_more_is_turned_away(points: list[TrustPoint], why: str) -> None:
    with pytest.raises(ValueError, match=why):
        TrustCurve(points)


def test_between_the_rows_of_the_table_trust_never_rises() -> None:
    curve, before = TrustCurve(), TrustCurve().at(0)
    for step in range(1, 4000):
        point = curve.at(round(1.004**step * SECOND_NS / 10))
        assert point.open_part <= before.open_part and point.answers >= before.answers
        assert point.claims <= before.claims
        assert before.open_part - point.open_part < 0.01, "no cliff"
        before = point


def test_a_fresh_list_is_as_good_as_told_until_a_server_fails() -> None:
    believer = Believer().start(kept(1, entry(0), entry(1)))
    believer.ended(0, Outcome.CONNECT_FAILED)
    assert believer.trust(0) is Trust.NONE and believer.trust(1) is Trust.TOLD


def test_a_proof_lasts_for_ten_minutes() -> None:
    believer = Believer().start(kept(10, entry(0)))
    believer.ended(0)
    believer.ended(0)
    believer.wait(599)
    assert believer.trust(0) is Trust.TOLD
    believer.wait(2)
    assert believer.trust(0) is Trust.SAFE


def test_a_later_word_on_the_dead_counts_whatever_older_lists_say_of_them() -> None:
    believer = Believer().start(
        kept(10, gone={b"s-1": Gone(NOW, 50, 0), b"s-2": Gone(NOW, 50, 0)}, generation=50)
    )
    believer.told(40, entry(1, Health.GONE), entry(2, Health.DRAINING), kind=ListKind.DELTA)
    believer.told(41, entry(1), entry(2))
    assert believer.trust(1) is believer.trust(2) is Trust.NONE


def test_who_was_gone_before_a_move_stays_gone() -> None:
    believer = Believer().start(kept(10, gone={b"s-1": Gone(NOW, 39, 0)}))
    believer.fleet.moved("g")
    believer.told(900, entry(1))
    assert believer.trust(1) is Trust.NONE


def test_an_older_configuration_may_still_say_that_a_server_drains() -> None:
    believer = Believer().start(kept(10, entry(1)), entry(1, Health.DRAINING), generation=3)
    assert believer.trust(1) is Trust.NONE


class Beliefs(RuleBasedStateMachine):
    """All orders of lists, losses, words, answers and time, against what each server was last told to be."""

    @initialize(age_s=st.floats(0.1, 10 * DAY), size=st.integers(0, 8), loss=st.sampled_from([0.0, 0.4]))
    def begin(self, age_s: float, size: int, loss: float) -> None:
        self.believer = Believer(loss)
        self.out: dict[int, tuple[int, int]] = {}  # told to drain or gone: generation and time
        self.generation = 40
        drains = {n for n in range(size) if n % 4 == 3}
        told = [entry(n, Health.DRAINING if n in drains else Health.READY) for n in range(size)]
        self.believer.start(kept(age_s, *told), *(entry(n) for n in range(8)))
        told_ns = NOW - round(age_s * SECOND_NS)
        self.out = {n: (40, told_ns) for n in drains}

    @rule(
        step=st.integers(-3, 3),
        rows=st.dictionaries(st.integers(0, 9), st.sampled_from(Health), max_size=6),
        whole=st.booleans(),
    )
    def told(self, step: int, rows: dict[int, Health], whole: bool) -> None:
        self.generation = max(1, self.generation + step)
        believer = self.believer
        entries = [entry(n, h) for n, h in rows.items() if not (whole and h is Health.GONE)]
        doubted = {n for n in range(10) if believer.trust(n) > Trust.NONE}
        believer.told(self.generation, *entries, kind=ListKind.FULL if whole else ListKind.DELTA)
        for n, health in rows.items():
            if health is not Health.READY and not (whole and health is Health.GONE):
                self.out[n] = (self.generation, believer.now)
            elif health is Health.READY and n in self.out:
                generation, at = self.out[n]
                if self.generation > generation or believer.now - at >= HOLD_NS:
                    del self.out[n]
        if whole and not believer.fleet.loss_part:
            for n in set(range(10)) - {int(e.server[2:]) for e in entries}:
                if n in doubted:
                    self.out[n] = (self.generation, believer.now)

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
    def ended(self, n: int, outcome: Outcome) -> None:
        self.believer.ended(n, outcome)

    @rule()
    def lost(self) -> None:
        self.believer.take(self.believer.fleet.lost(self.believer.now, self.believer.now - SECOND_NS))

    @rule()
    def alive(self) -> None:
        self.believer.take(self.believer.fleet.alive(self.believer.now))

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0, 60.0, 601.0]))
    def wait(self, seconds: float) -> None:
        self.believer.wait(seconds)
        self.believer.fleet.kept(self.believer.now)

    @invariant()
    def nothing_that_drained_is_sent_to(self) -> None:
        if hasattr(self, "believer"):
            for n in self.out:
                assert self.believer.trust(n) is Trust.NONE, f"s-{n}"

    @invariant()
    def trust_is_earned(self) -> None:
        if not hasattr(self, "believer"):
            return
        fleet, now = self.believer.fleet, self.believer.now
        tried = self.believer.tried()
        for server, belief in fleet.beliefs.items():
            trust = self.believer.trust(int(server[2:]))
            if fleet.live or belief.absent_ns:
                continue
            age_s = (now - fleet.vouched_ns(belief)) / SECOND_NS
            if trust is Trust.CAREFUL:
                assert age_s <= DEFAULT_POINTS[1].age_s
            if trust is Trust.TOLD and age_s > DEFAULT_POINTS[0].age_s:
                assert belief.answers >= 1 and belief.heard_ns > 0
        if not fleet.live and not any(b.absent_ns for b in fleet.beliefs.values()):
            assert len(tried) <= max(LEAST_OPEN, len(fleet.beliefs))

    @invariant()
    def the_module_has_what_is_believed(self) -> None:
        if hasattr(self, "believer"):
            assert {s: x.entry for s, x in self.believer.servers.items()} == self.believer.fleet.handed

    @invariant()
    def memory_of_the_dead_is_bounded(self) -> None:
        if hasattr(self, "believer"):
            now = self.believer.now
            assert all(now - g.told_ns < GONE_NS for g in self.believer.fleet.gone.values())


Beliefs.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
TestBeliefs = Beliefs.TestCase
