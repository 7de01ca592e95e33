"""The referee on histories written by hand: each rule bites, and what only looks like a breach does not."""

from typing import Any

import pytest

from hookport.rehearsal import compare, referee, score
from hookport.rehearsal import plan as plans

S, MS = 1_000_000_000, 1_000_000
PLAN = plans.parse(
    """
title = "by hand"
length_s = 20.0
[fleet]
cold_s = 8.0
[[plans]]
name = "basic"
rate = 1.0
burst = 4.0
[[plans]]
name = "capped"
rate = 10.0
burst = 100.0
ceiling_rate = 1.0
ceiling_burst = 5.0
[[desk]]
name = "one"
plan = "basic"
customers = 1
""",
    "by hand",
)
SEARCH, CLAIM = 0, 1
Row = dict[str, Any]


class Story:
    """Writes a history line by line; times are in seconds."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.attempt = 0

    def add(self, at_s: float, kind: str, **fields: Any) -> "Story":
        self.rows.append({"e": kind, "t": round(at_s * S), **fields})
        return self

    def due(self, at_s: float, n: int = 0, c: int = CLAIM, q: int = 0, u: int = 1, cu: int = 7) -> "Story":
        return self.add(at_s, "due", n=n, c=c, q=q, u=u, cu=cu, late=0.5)

    def ask(self, at_s: float, id: str = "a", n: int = 0, k: int = 0, at: int = 0, p: int = 1) -> "Story":
        return self.add(at_s, "ask", id=id, n=n, k=k, l=at, p=p, d=1000)

    def ans(self, at_s: float, id: str = "a", how: str = "value", v: str = "v", n: int = 0) -> "Story":
        return self.add(at_s, "ans", id=id, n=n, k=0, how=how, **({"v": v} if how == "value" else {}))

    def arrive(self, at_s: float, id: str = "a", s: str = "s1", at: int = 0, w: float = 50.0) -> "Story":
        self.attempt += 1
        return self.add(at_s, "arrive", id=id, s=s, l=at, f=round(at_s * S), w=w, a=self.attempt)

    def turned(self, at_s: float, id: str = "a") -> "Story":
        return self.add(at_s, "turned", id=id, a=self.attempt)

    def effect(self, at_s: float, id: str = "a", s: str = "s1") -> "Story":
        return self.add(at_s, "effect", id=id, s=s, a=self.attempt)

    def reply(self, at_s: float, id: str = "a", v: str = "v") -> "Story":
        return self.add(at_s, "reply", id=id, v=v, a=self.attempt)

    def told(self, at_s: float, state: str, s: str = "s1", at: int = 0, born: int = 0) -> "Story":
        return self.add(at_s, "told", l=at, s=s, state=state, born=born, arrived=True)

    def served(self, at_s: float, id: str, n: int, at: int = 0, q: int = 0) -> "Story":
        """A whole search that is served."""
        self.due(at_s, n=n, c=SEARCH, q=q).ask(at_s, id=id, n=n, at=at).arrive(at_s + 0.01, id=id, at=at)
        return self.reply(at_s + 0.05, id=id, v=id).ans(at_s + 0.06, id=id, v=id, n=n)

    def judged(self) -> list[str]:
        rows = sorted(self.rows, key=lambda row: int(row["t"]))
        return [breach.rule for breach in referee.judge(PLAN, rows)]

    def texts(self) -> str:
        return "\n".join(b.text for b in referee.judge(PLAN, sorted(self.rows, key=lambda r: int(r["t"]))))


def claim() -> Story:
    return Story().due(1.0).ask(1.0)


def test_a_served_claim_breaks_nothing() -> None:
    assert claim().arrive(1.01).effect(1.1).reply(1.1).ans(1.12).judged() == []


# Rule: answer


def test_a_closed_connection_and_silence_lose_a_request() -> None:
    assert claim().ans(1.2, how="closed").judged() == ["answer"]
    assert claim().ans(2.06, how="timeout").judged() == ["answer"]


def test_an_answer_after_the_deadline_is_late_and_one_within_the_grace_is_not() -> None:
    assert claim().ans(2.2, how="error").judged() == ["answer"]
    assert claim().ans(2.04, how="error").judged() == []


def test_a_request_without_any_end_is_lost() -> None:
    story = claim().due(9.0, n=1).ask(9.0, id="b", n=1).ans(9.1, id="b", n=1, how="busy")
    assert story.judged() == ["answer"]


def test_a_killed_limiter_is_excused_for_its_own_process_only() -> None:
    story = claim().add(1.1, "limiter", l=0, what="kill", p=1).ans(1.1, how="closed")
    assert story.judged() == []
    other = claim().add(1.1, "limiter", l=1, what="kill", p=1).ans(1.1, how="closed")
    assert other.judged() == ["answer"]
    before = Story().add(0.2, "limiter", l=0, what="kill", p=1).add(0.3, "limiter", l=0, what="ready", p=2)
    assert before.due(1.0).ask(1.0, p=2).ans(1.1, how="closed").judged() == ["answer"]


def test_noise_that_the_plan_makes_is_not_the_limiters() -> None:
    noise = Story().add(1.0, "excuse", l=0, until=3 * S, garbled=True).add(2.0, "extra", l=0)
    assert noise.judged() == []
    assert noise.add(2.0, "extra", l=1).judged() == ["answer"]
    assert Story().add(1.0, "excuse", l=0, until=3 * S).add(2.0, "extra", l=0).judged() == ["answer"]
    for until_s, rules in ((3, []), (1, ["answer"])):
        spoilt = Story().add(0.5, "excuse", l=0, until=until_s * S, garbled=True)
        spoilt.due(1.0).ask(1.0).arrive(1.01).effect(1.05).reply(1.1).ans(1.2, v="v$3")
        assert spoilt.judged() == rules


def test_an_end_after_sigterm_is_no_excuse() -> None:
    story = claim().add(1.1, "limiter", l=0, what="term", p=1)
    story.add(1.2, "limiter", l=0, what="exit", p=1, code=0)
    assert story.ans(1.2, how="closed").judged() == ["answer"]


def test_a_value_must_be_one_that_a_server_made_for_that_request() -> None:
    story = claim().arrive(1.01).effect(1.1).reply(1.1, v="mine").ans(1.2, v="another's")
    assert "no server made" in story.texts() and story.judged() == ["answer"]


def test_an_answer_to_nothing_is_a_second_one() -> None:
    assert Story().add(1.0, "extra", l=2).judged() == ["answer"]


# Rule: effect


def test_two_effects_under_one_id_ran_twice() -> None:
    story = claim().arrive(1.01).effect(1.1).arrive(1.2, s="s2").effect(1.3, s="s2")
    story.reply(1.3).ans(1.31)
    assert story.judged() == ["effect", "effect"]
    assert "took effect 2 times under the id a" in story.texts() and "sent again" in story.texts()


def test_sent_again_after_a_death_may_have_run_though_it_did_not() -> None:
    story = claim().arrive(1.01).add(1.05, "down", s="s1", why="killed", i=1).arrive(1.2, s="s2")
    story.effect(1.3, s="s2").reply(1.3).ans(1.31)
    assert story.judged() == ["effect"] and "may have run at s1" in story.texts()


def test_sent_again_after_a_refusal_is_as_it_should_be() -> None:
    story = claim().arrive(1.01).turned(1.02).arrive(1.03, s="s2").effect(1.1, s="s2").reply(1.1).ans(1.11)
    assert story.judged() == []


def test_a_search_may_go_again() -> None:
    story = Story().due(1.0, c=SEARCH).ask(1.0).arrive(1.01).arrive(1.3, s="s2").reply(1.4).ans(1.41)
    assert story.judged() == []


def test_refused_when_it_may_have_run() -> None:
    assert claim().arrive(1.01).ans(1.3, how="busy").judged() == ["effect"]
    assert claim().arrive(1.01).turned(1.02).ans(1.3, how="busy").judged() == []
    assert claim().arrive(1.01).ans(1.3, how="error").judged() == []


def test_a_retry_under_a_new_id_that_runs_again_is_told_as_such() -> None:
    story = claim().arrive(1.01).effect(1.1).ans(1.2, how="busy").ask(1.4, id="b", k=1)
    story.arrive(1.41, id="b").effect(1.5, id="b").reply(1.5, id="b").ans(1.51, id="b")
    assert "under 2 ids" in story.texts()


def test_the_effect_of_a_limiter_that_died_in_between_ran_once() -> None:
    story = claim().arrive(1.01).add(1.05, "limiter", l=0, what="kill", p=1).ans(1.05, how="closed")
    assert story.effect(1.1).judged() == []


# Rule: drain


@pytest.mark.parametrize(("sent_s", "broken"), [(5.2, []), (5.29, []), (5.31, ["drain"]), (7.0, ["drain"])])
def test_a_drain_holds_within_its_grace(sent_s: float, broken: list[str]) -> None:
    story = Story().told(1.0, "SERVING").told(5.0, "DRAINING").served(sent_s - 0.01, "x", 1)
    assert story.judged() == broken


def test_gone_after_draining_gives_no_new_grace_and_a_return_ends_it() -> None:
    story = Story().told(5.0, "DRAINING").told(6.0, "DELETED").served(6.1, "x", 1)
    assert story.judged() == ["drain"]
    assert Story().told(5.0, "DRAINING").told(6.0, "SERVING", born=9).served(6.1, "x", 1).judged() == []


def test_what_another_limiter_was_told_does_not_bind() -> None:
    assert Story().told(5.0, "DRAINING", at=1).served(7.0, "x", 1, at=0).judged() == []


# Rule: cold


def flood(told_s: float | None) -> Story:
    story = Story().add(2.0, "up", s="s1", born=55, cores=2, speed=1.0, cold=True, i=1)
    if told_s is not None:
        story.told(told_s, "SERVING", born=55)
    for n in range(60):
        story.due(3.0 + n / 100, n=n, c=SEARCH, cu=n).ask(3.0 + n / 100, id=f"i{n}", n=n)
        story.arrive(3.0 + n / 100, id=f"i{n}", w=100.0)
        story.ans(3.2 + n / 100, id=f"i{n}", n=n, how="error")
    return story


def test_a_cold_server_pushed_over_by_those_who_knew() -> None:
    assert flood(told_s=2.5).judged() == ["cold"]
    assert flood(told_s=None).judged() == []
    assert flood(told_s=3.55).judged() == []  # told of its start when nearly all had been sent


def test_a_cold_server_that_gets_its_share_does_not_fall() -> None:
    story = flood(told_s=2.5)
    first = {f"i{n}" for n in range(20)}
    story.rows = [row for row in story.rows if row["e"] in ("up", "told", "due") or row["id"] in first]
    assert story.judged() == []


# Rules: ceiling, quota, protocol, process, memory, rude


def test_the_ceiling_counts_every_first_send() -> None:
    story = Story()
    for n in range(7):
        story.served(1.0 + n / 100, f"i{n}", n, q=1)
    assert set(story.judged()) == {"ceiling"}


def test_quotas_hold_over_all_limiters_together() -> None:
    story = Story()
    for n in range(4):
        story.served(1.0 + n / 100, f"i{n}", n, at=n % 3)
    assert story.judged() == []
    for n in range(4, 8):
        story.served(1.0 + n / 100, f"i{n}", n, at=n % 3)
    assert story.judged() == ["quota"]


def test_an_id_that_no_client_asked_and_a_bad_form() -> None:
    assert Story().arrive(1.0, id="strange").judged() == ["protocol"]
    assert Story().add(1.0, "syntax", l=0, s="s1", why="x").judged() == ["protocol"]
    assert Story().add(9.0, "words", l=0, sent=9, largest=256, busiest=40).judged() == []
    assert Story().add(9.0, "words", l=0, sent=9, largest=257, busiest=40).judged() == ["protocol"]
    assert Story().add(9.0, "words", l=0, sent=9, largest=256, busiest=41).judged() == ["protocol"]


def test_limiters_that_end_unasked_or_too_late() -> None:
    assert Story().add(1.0, "limiter", l=0, what="gone", p=1, code=3).judged() == ["process"]
    assert Story().add(1.0, "limiter", l=0, what="overdue", p=1).judged() == ["process"]
    assert Story().add(1.0, "limiter", l=0, what="exit", p=1, code=1).judged() == ["process"]
    assert Story().add(1.0, "limiter", l=0, what="exit", p=1, code=0).judged() == []


def usage(mb: Any) -> list[str]:
    story = Story()
    for n in range(30):
        story.add(float(n), "usage", l=0, p=1, cpu_s=0.1, rss_mb=mb(n))
    return story.judged()


def test_memory_that_grows_without_end() -> None:
    assert usage(lambda n: 30.0 + 4 * n) == ["memory"]
    assert usage(lambda n: 30.0 + min(n, 9) * 10) == []  # a start is no leak


def test_bad_clients_are_owed_a_word_and_never_a_value() -> None:
    story = Story()
    for n in range(20):
        story.add(float(n), "rude", ok=n > 2, served=False)
    assert story.judged() == ["rude"]
    silenced = Story().add(0.5, "excuse", l=1, until=4 * S)
    for n in range(10):
        silenced.add(3.0 + n / 100, "rude", l=1, ok=False, served=False)
    assert silenced.judged() == []  # the plan itself cut them off
    assert silenced.add(3.5, "rude", l=0, ok=False, served=False).judged() == ["rude"]
    assert Story().add(1.0, "rude", ok=True, served=True).judged() == ["answer"]


# Void, score, compare


def test_a_run_that_the_kit_was_late_for_is_void() -> None:
    late = [{"e": "due", "t": n, "late": 80.0 if n < 5 else 1.0} for n in range(100)]
    assert "5.0% of the requests" in referee.void_reason(PLAN, late)
    fine = [{"e": "due", "t": n, "late": 1.0} for n in range(100)]
    assert referee.void_reason(PLAN, fine) == ""
    held = {"e": "lag", "t": 1, "who": "world", "ms": 900}
    assert "world was held for 900 ms" in referee.void_reason(PLAN, [*fine, held])
    assert referee.void_reason(PLAN, []) == "no request was due"


def test_the_score_is_worth_in_time_over_the_most_that_any_policy_earns() -> None:
    story = Story()
    for n in range(4):
        story.served(1.0 + n / 100, f"i{n}", n)
    story.due(1.5, n=4, c=SEARCH).ask(1.5, id="i4", n=4).ans(1.51, id="i4", n=4, how="busy")
    rows = sorted(story.rows, key=lambda row: int(row["t"]))
    told = score.score(PLAN, rows)
    # The fifth came beyond the quota, and a policy that held it for half a second would have served it in
    # time.
    assert told.whole == pytest.approx(0.8) and told.outcomes["refused beyond"] == 1
    late = [dict(row, t=row["t"] + 2 * S) if row["e"] == "ans" and row["id"] == "i0" else row for row in rows]
    told = score.score(PLAN, sorted(late, key=lambda row: int(row["t"])))
    assert told.whole == pytest.approx(0.6) and told.outcomes["late"] == 1


def test_a_try_sent_on_beyond_the_quota_costs_its_part() -> None:
    story = Story()
    for n in range(5):
        story.served(1.0 + n / 100, f"i{n}", n)
    told = score.score(PLAN, sorted(story.rows, key=lambda row: int(row["t"])))
    assert told.whole == pytest.approx((4 - 0.8) / 5)  # four inside, the fifth costs 0.8 of its worth
    assert told.beyond_units == pytest.approx(1 / 4)


def test_pairs_tell_the_noise_and_one_pair_tells_nothing() -> None:
    clear = compare.paired_difference([0.90, 0.92, 0.91, 0.93], [0.85, 0.86, 0.86, 0.87])
    assert clear.verdict == "A is better" and str(clear).startswith("+0.055 ± 0.009 over 4 seeds")
    noisy = compare.paired_difference([0.90, 0.80, 0.95], [0.85, 0.90, 0.90])
    assert noisy.verdict == "no difference that stands out of the noise"
    assert compare.paired_difference([0.9], [0.5]).verdict.startswith("no verdict")
    with pytest.raises(ValueError, match="2 results against 1"):
        compare.paired_difference([1, 2], [1])


def test_an_evening_too_short_for_a_window_is_its_own_worst() -> None:
    plan = plans.scaled(PLAN, 4.0)
    story = Story()
    for n in range(3):
        story.served(1.0 + n / 100, f"i{n}", n)
    told = score.score(plan, sorted(story.rows, key=lambda row: int(row["t"])))
    assert told.worst_window == told.whole == pytest.approx(1.0)


def test_a_debt_is_what_one_customer_passed_and_a_refusal_has_room_while_half_is_unused() -> None:
    story = Story()
    for n in range(6):  # of a burst of 4, at 1 a second: two more than there are
        story.due(1.0, n=n, u=1).ask(1.0, id=f"a{n}", n=n).arrive(1.0, id=f"a{n}").ans(1.1, id=f"a{n}", n=n)
    story.due(1.5, n=6).ask(1.5, id="a6", n=6).ans(1.6, id="a6", how="busy", n=6)
    story.due(9.0, n=7).ask(9.0, id="a7", n=7).ans(9.1, id="a7", how="busy", n=7)
    told = score.score(PLAN, sorted(story.rows, key=lambda row: row["t"]))
    assert told.debts == {"basic": 2.0} and told.refused_with_room == 0.5
