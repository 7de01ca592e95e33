"""The referee on handwritten histories: each rule finds its breach and ignores what only resembles one."""

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


class HistoryBuilder:
    """Builds a history row by row; times are in seconds."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.attempt = 0

    def add(self, at_s: float, kind: str, **fields: Any) -> "HistoryBuilder":
        self.rows.append({"e": kind, "t": round(at_s * S), **fields})
        return self

    def due(
        self, at_s: float, n: int = 0, c: int = CLAIM, q: int = 0, u: int = 1, cu: int = 7
    ) -> "HistoryBuilder":
        return self.add(at_s, "due", n=n, c=c, q=q, u=u, cu=cu, late=0.5)

    def ask(
        self, at_s: float, id: str = "a", n: int = 0, k: int = 0, at: int = 0, p: int = 1
    ) -> "HistoryBuilder":
        return self.add(at_s, "ask", id=id, n=n, k=k, l=at, p=p, d=1000)

    def ans(
        self, at_s: float, id: str = "a", how: str = "value", v: str = "v", n: int = 0
    ) -> "HistoryBuilder":
        return self.add(at_s, "ans", id=id, n=n, k=0, how=how, **({"v": v} if how == "value" else {}))

    def arrive(
        self, at_s: float, id: str = "a", s: str = "s1", at: int = 0, w: float = 50.0
    ) -> "HistoryBuilder":
        self.attempt += 1
        return self.add(at_s, "arrive", id=id, s=s, l=at, f=round(at_s * S), w=w, a=self.attempt)

    def turned(self, at_s: float, id: str = "a") -> "HistoryBuilder":
        return self.add(at_s, "turned", id=id, a=self.attempt)

    def effect(self, at_s: float, id: str = "a", s: str = "s1") -> "HistoryBuilder":
        return self.add(at_s, "effect", id=id, s=s, a=self.attempt)

    def reply(self, at_s: float, id: str = "a", v: str = "v") -> "HistoryBuilder":
        return self.add(at_s, "reply", id=id, v=v, a=self.attempt)

    def report(self, at_s: float, state: str, s: str = "s1", at: int = 0, born: int = 0) -> "HistoryBuilder":
        return self.add(at_s, "told", l=at, s=s, state=state, born=born, arrived=True)

    def served(self, at_s: float, id: str, n: int, at: int = 0, q: int = 0) -> "HistoryBuilder":
        """A search with all its rows, from due to answer."""
        self.due(at_s, n=n, c=SEARCH, q=q).ask(at_s, id=id, n=n, at=at).arrive(at_s + 0.01, id=id, at=at)
        return self.reply(at_s + 0.05, id=id, v=id).ans(at_s + 0.06, id=id, v=id, n=n)

    def broken_rules(self) -> list[str]:
        rows = sorted(self.rows, key=lambda row: int(row["t"]))
        return [breach.rule for breach in referee.judge(PLAN, rows)]

    def breach_texts(self) -> str:
        return "\n".join(b.text for b in referee.judge(PLAN, sorted(self.rows, key=lambda r: int(r["t"]))))


def claim_asked() -> HistoryBuilder:
    return HistoryBuilder().due(1.0).ask(1.0)


def test_a_served_claim_breaks_no_rule() -> None:
    assert claim_asked().arrive(1.01).effect(1.1).reply(1.1).ans(1.12).broken_rules() == []


# Rule: answer


def test_a_closed_connection_or_a_timeout_breaks_the_answer_rule() -> None:
    assert claim_asked().ans(1.2, how="closed").broken_rules() == ["answer"]
    assert claim_asked().ans(2.06, how="timeout").broken_rules() == ["answer"]


def test_an_answer_after_the_deadline_is_a_breach_and_one_within_the_grace_is_not() -> None:
    assert claim_asked().ans(2.2, how="error").broken_rules() == ["answer"]
    assert claim_asked().ans(2.04, how="error").broken_rules() == []


def test_a_request_without_any_outcome_is_a_breach() -> None:
    history = claim_asked().due(9.0, n=1).ask(9.0, id="b", n=1).ans(9.1, id="b", n=1, how="busy")
    assert history.broken_rules() == ["answer"]


def test_a_kill_excuses_only_requests_of_the_killed_process() -> None:
    history = claim_asked().add(1.1, "limiter", l=0, what="kill", p=1).ans(1.1, how="closed")
    assert history.broken_rules() == []
    other = claim_asked().add(1.1, "limiter", l=1, what="kill", p=1).ans(1.1, how="closed")
    assert other.broken_rules() == ["answer"]
    before = (
        HistoryBuilder()
        .add(0.2, "limiter", l=0, what="kill", p=1)
        .add(0.3, "limiter", l=0, what="ready", p=2)
    )
    assert before.due(1.0).ask(1.0, p=2).ans(1.1, how="closed").broken_rules() == ["answer"]


def test_corruption_by_the_plan_is_not_blamed_on_the_limiter() -> None:
    garbled = HistoryBuilder().add(1.0, "excuse", l=0, until=3 * S, garbled=True).add(2.0, "extra", l=0)
    assert garbled.broken_rules() == []
    assert garbled.add(2.0, "extra", l=1).broken_rules() == ["answer"]
    assert HistoryBuilder().add(1.0, "excuse", l=0, until=3 * S).add(2.0, "extra", l=0).broken_rules() == [
        "answer"
    ]
    for until_s, rules in ((3, []), (1, ["answer"])):
        corrupted = HistoryBuilder().add(0.5, "excuse", l=0, until=until_s * S, garbled=True)
        corrupted.due(1.0).ask(1.0).arrive(1.01).effect(1.05).reply(1.1).ans(1.2, v="v$3")
        assert corrupted.broken_rules() == rules


def test_an_exit_after_sigterm_does_not_excuse_a_lost_request() -> None:
    history = claim_asked().add(1.1, "limiter", l=0, what="term", p=1)
    history.add(1.2, "limiter", l=0, what="exit", p=1, code=0)
    assert history.ans(1.2, how="closed").broken_rules() == ["answer"]


def test_a_value_that_no_server_made_for_the_request_is_a_breach() -> None:
    history = claim_asked().arrive(1.01).effect(1.1).reply(1.1, v="mine").ans(1.2, v="another's")
    assert "no server made" in history.breach_texts() and history.broken_rules() == ["answer"]


def test_an_unsolicited_answer_is_a_breach() -> None:
    assert HistoryBuilder().add(1.0, "extra", l=2).broken_rules() == ["answer"]


# Rule: effect


def test_two_effects_under_one_id_are_reported_as_executed_twice() -> None:
    history = claim_asked().arrive(1.01).effect(1.1).arrive(1.2, s="s2").effect(1.3, s="s2")
    history.reply(1.3).ans(1.31)
    assert history.broken_rules() == ["effect", "effect"]
    assert (
        "took effect 2 times under the id a" in history.breach_texts()
        and "sent again" in history.breach_texts()
    )


def test_a_claim_sent_again_after_a_server_died_may_have_run_even_if_it_did_not() -> None:
    history = claim_asked().arrive(1.01).add(1.05, "down", s="s1", why="killed", i=1).arrive(1.2, s="s2")
    history.effect(1.3, s="s2").reply(1.3).ans(1.31)
    assert history.broken_rules() == ["effect"] and "may have run at s1" in history.breach_texts()


def test_a_claim_may_be_sent_again_after_a_server_rejected_it() -> None:
    history = (
        claim_asked().arrive(1.01).turned(1.02).arrive(1.03, s="s2").effect(1.1, s="s2").reply(1.1).ans(1.11)
    )
    assert history.broken_rules() == []


def test_a_search_may_be_sent_again() -> None:
    history = (
        HistoryBuilder().due(1.0, c=SEARCH).ask(1.0).arrive(1.01).arrive(1.3, s="s2").reply(1.4).ans(1.41)
    )
    assert history.broken_rules() == []


def test_a_claim_refused_although_it_may_have_run_is_a_breach() -> None:
    assert claim_asked().arrive(1.01).ans(1.3, how="busy").broken_rules() == ["effect"]
    assert claim_asked().arrive(1.01).turned(1.02).ans(1.3, how="busy").broken_rules() == []
    assert claim_asked().arrive(1.01).ans(1.3, how="error").broken_rules() == []


def test_a_client_retry_under_a_new_id_that_runs_again_is_reported_with_both_ids() -> None:
    history = claim_asked().arrive(1.01).effect(1.1).ans(1.2, how="busy").ask(1.4, id="b", k=1)
    history.arrive(1.41, id="b").effect(1.5, id="b").reply(1.5, id="b").ans(1.51, id="b")
    assert "under 2 ids" in history.breach_texts()


def test_an_effect_after_its_limiter_was_killed_counts_once() -> None:
    history = claim_asked().arrive(1.01).add(1.05, "limiter", l=0, what="kill", p=1).ans(1.05, how="closed")
    assert history.effect(1.1).broken_rules() == []


# Rule: drain


@pytest.mark.parametrize(("sent_s", "broken"), [(5.2, []), (5.29, []), (5.31, ["drain"]), (7.0, ["drain"])])
def test_requests_to_a_draining_server_are_allowed_only_within_the_grace(
    sent_s: float, broken: list[str]
) -> None:
    history = HistoryBuilder().report(1.0, "SERVING").report(5.0, "DRAINING").served(sent_s - 0.01, "x", 1)
    assert history.broken_rules() == broken


def test_a_deletion_after_draining_gives_no_new_grace_and_a_return_to_serving_ends_the_drain() -> None:
    history = HistoryBuilder().report(5.0, "DRAINING").report(6.0, "DELETED").served(6.1, "x", 1)
    assert history.broken_rules() == ["drain"]
    assert (
        HistoryBuilder()
        .report(5.0, "DRAINING")
        .report(6.0, "SERVING", born=9)
        .served(6.1, "x", 1)
        .broken_rules()
        == []
    )


def test_a_drain_reported_to_another_limiter_does_not_count() -> None:
    assert HistoryBuilder().report(5.0, "DRAINING", at=1).served(7.0, "x", 1, at=0).broken_rules() == []


# Rule: cold


def overload(informed_s: float | None) -> HistoryBuilder:
    history = HistoryBuilder().add(2.0, "up", s="s1", born=55, cores=2, speed=1.0, cold=True, i=1)
    if informed_s is not None:
        history.report(informed_s, "SERVING", born=55)
    for n in range(60):
        history.due(3.0 + n / 100, n=n, c=SEARCH, cu=n).ask(3.0 + n / 100, id=f"i{n}", n=n)
        history.arrive(3.0 + n / 100, id=f"i{n}", w=100.0)
        history.ans(3.2 + n / 100, id=f"i{n}", n=n, how="error")
    return history


def test_overloading_a_cold_server_is_a_breach_only_for_informed_limiters() -> None:
    assert overload(informed_s=2.5).broken_rules() == ["cold"]
    assert overload(informed_s=None).broken_rules() == []
    # Informed of the start when nearly everything had been sent.
    assert overload(informed_s=3.55).broken_rules() == []


def test_a_cold_server_within_its_budget_is_no_breach() -> None:
    history = overload(informed_s=2.5)
    first = {f"i{n}" for n in range(20)}
    history.rows = [row for row in history.rows if row["e"] in ("up", "told", "due") or row["id"] in first]
    assert history.broken_rules() == []


# Rules: ceiling, quota, protocol, process, memory, rude


def test_the_ceiling_counts_each_first_arrival() -> None:
    history = HistoryBuilder()
    for n in range(7):
        history.served(1.0 + n / 100, f"i{n}", n, q=1)
    assert set(history.broken_rules()) == {"ceiling"}


def test_quotas_apply_to_all_limiters_together() -> None:
    history = HistoryBuilder()
    for n in range(4):
        history.served(1.0 + n / 100, f"i{n}", n, at=n % 3)
    assert history.broken_rules() == []
    for n in range(4, 8):
        history.served(1.0 + n / 100, f"i{n}", n, at=n % 3)
    assert history.broken_rules() == ["quota"]


def test_unknown_request_ids_bad_syntax_and_too_many_or_large_datagrams_break_the_protocol() -> None:
    assert HistoryBuilder().arrive(1.0, id="strange").broken_rules() == ["protocol"]
    assert HistoryBuilder().add(1.0, "syntax", l=0, s="s1", why="x").broken_rules() == ["protocol"]
    assert HistoryBuilder().add(9.0, "words", l=0, sent=9, largest=256, busiest=40).broken_rules() == []
    assert HistoryBuilder().add(9.0, "words", l=0, sent=9, largest=257, busiest=40).broken_rules() == [
        "protocol"
    ]
    assert HistoryBuilder().add(9.0, "words", l=0, sent=9, largest=256, busiest=41).broken_rules() == [
        "protocol"
    ]


def test_limiters_that_exit_unexpectedly_too_late_or_with_an_error_are_breaches() -> None:
    assert HistoryBuilder().add(1.0, "limiter", l=0, what="gone", p=1, code=3).broken_rules() == ["process"]
    assert HistoryBuilder().add(1.0, "limiter", l=0, what="overdue", p=1).broken_rules() == ["process"]
    assert HistoryBuilder().add(1.0, "limiter", l=0, what="exit", p=1, code=1).broken_rules() == ["process"]
    assert HistoryBuilder().add(1.0, "limiter", l=0, what="exit", p=1, code=0).broken_rules() == []


def rules_for_memory(mb: Any) -> list[str]:
    history = HistoryBuilder()
    for n in range(30):
        history.add(float(n), "usage", l=0, p=1, cpu_s=0.1, rss_mb=mb(n))
    return history.broken_rules()


def test_steady_memory_growth_is_a_breach_and_growth_at_the_start_is_not() -> None:
    assert rules_for_memory(lambda n: 30.0 + 4 * n) == ["memory"]
    assert rules_for_memory(lambda n: 30.0 + min(n, 9) * 10) == []  # growth at the start is no leak


def test_bad_clients_must_get_an_error_or_a_close_and_never_a_value() -> None:
    history = HistoryBuilder()
    for n in range(20):
        history.add(float(n), "rude", ok=n > 2, served=False)
    assert history.broken_rules() == ["rude"]
    cut_off = HistoryBuilder().add(0.5, "excuse", l=1, until=4 * S)
    for n in range(10):
        cut_off.add(3.0 + n / 100, "rude", l=1, ok=False, served=False)
    assert cut_off.broken_rules() == []  # the plan itself cut the connection
    assert cut_off.add(3.5, "rude", l=0, ok=False, served=False).broken_rules() == ["rude"]
    assert HistoryBuilder().add(1.0, "rude", ok=True, served=True).broken_rules() == ["answer"]


# Void, score, compare


def test_a_run_in_which_the_harness_was_late_or_blocked_is_void() -> None:
    late = [{"e": "due", "t": n, "late": 80.0 if n < 5 else 1.0} for n in range(100)]
    assert "5.0% of the requests" in referee.void_reason(PLAN, late)
    punctual = [{"e": "due", "t": n, "late": 1.0} for n in range(100)]
    assert referee.void_reason(PLAN, punctual) == ""
    blocked = {"e": "lag", "t": 1, "who": "world", "ms": 900}
    assert "world was blocked for 900 ms" in referee.void_reason(PLAN, [*punctual, blocked])
    assert referee.void_reason(PLAN, []) == "no request was due"


def test_the_score_is_the_value_in_time_over_the_maximum_that_any_policy_can_earn() -> None:
    history = HistoryBuilder()
    for n in range(4):
        history.served(1.0 + n / 100, f"i{n}", n)
    history.due(1.5, n=4, c=SEARCH).ask(1.5, id="i4", n=4).ans(1.51, id="i4", n=4, how="busy")
    rows = sorted(history.rows, key=lambda row: int(row["t"]))
    result = score.score(PLAN, rows)
    # The fifth request was beyond the quota; a policy that delayed it for half a second would have served it
    # in time.
    assert result.whole == pytest.approx(0.8) and result.outcomes["refused beyond"] == 1
    late = [dict(row, t=row["t"] + 2 * S) if row["e"] == "ans" and row["id"] == "i0" else row for row in rows]
    result = score.score(PLAN, sorted(late, key=lambda row: int(row["t"])))
    assert result.whole == pytest.approx(0.6) and result.outcomes["late"] == 1


def test_an_attempt_forwarded_beyond_the_quota_costs_its_share() -> None:
    history = HistoryBuilder()
    for n in range(5):
        history.served(1.0 + n / 100, f"i{n}", n)
    result = score.score(PLAN, sorted(history.rows, key=lambda row: int(row["t"])))
    # Four within the quota; the fifth costs 0.8 of its value.
    assert result.whole == pytest.approx((4 - 0.8) / 5)
    assert result.beyond_units == pytest.approx(1 / 4)


def test_several_pairs_give_an_interval_and_one_pair_gives_no_verdict() -> None:
    clear = compare.paired_difference([0.90, 0.92, 0.91, 0.93], [0.85, 0.86, 0.86, 0.87])
    assert clear.verdict == "A is better" and str(clear).startswith("+0.055 ± 0.009 over 4 seeds")
    noisy = compare.paired_difference([0.90, 0.80, 0.95], [0.85, 0.90, 0.90])
    assert noisy.verdict == "no significant difference"
    assert compare.paired_difference([0.9], [0.5]).verdict.startswith("no verdict")
    with pytest.raises(ValueError, match="cannot pair 2 results with 1"):
        compare.paired_difference([1, 2], [1])


def test_the_worst_window_of_a_run_shorter_than_a_window_is_the_whole_run() -> None:
    plan = plans.scaled(PLAN, 4.0)
    history = HistoryBuilder()
    for n in range(3):
        history.served(1.0 + n / 100, f"i{n}", n)
    result = score.score(plan, sorted(history.rows, key=lambda row: int(row["t"])))
    assert result.worst_window == result.whole == pytest.approx(1.0)


def test_debts_are_per_customer_and_a_refusal_with_over_half_unused_counts_as_with_room() -> None:
    history = HistoryBuilder()
    for n in range(6):  # burst of 4 at 1 unit per second: two units too many
        history.due(1.0, n=n, u=1).ask(1.0, id=f"a{n}", n=n).arrive(1.0, id=f"a{n}").ans(1.1, id=f"a{n}", n=n)
    history.due(1.5, n=6).ask(1.5, id="a6", n=6).ans(1.6, id="a6", how="busy", n=6)
    history.due(9.0, n=7).ask(9.0, id="a7", n=7).ans(9.1, id="a7", how="busy", n=7)
    result = score.score(PLAN, sorted(history.rows, key=lambda row: row["t"]))
    assert result.debts == {"basic": 2.0} and result.refused_with_room == 0.5
