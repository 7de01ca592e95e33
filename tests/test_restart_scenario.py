"""Whole mornings on kept lists, in virtual time: what the servers themselves count."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hookport.emulator import RestartResult, RestartScenario, simulate_restart

SHORT = RestartScenario(60, 1, servers=6, load=0.5, length_s=6.0)


@pytest.mark.parametrize("age_s", [1, 600, 3_600, 86_400, 604_800])
def test_no_drained_server_gets_work_and_no_claim_an_unproved_one_of_an_old_list(age_s: float) -> None:
    for seed in range(6):
        dawn = simulate_restart(replace(SHORT, age_s=age_s, seed=seed))
        assert not dawn.drained and not dawn.fell, seed
        assert age_s < 60 or not dawn.unproved, seed
        assert dawn.first_s < 3


def test_a_list_of_a_minute_is_nearly_as_good_as_discovery_and_none_serves_nobody() -> None:
    kept, told, none = (simulate_restart(replace(SHORT, mode=mode)) for mode in ("kept", "discovery", "none"))
    assert kept.share_10s > told.share_10s - 0.03
    assert none.share_30s == 0 and none.attempts == 0


def test_what_takes_every_list_at_its_word_sends_claims_where_they_may_not_go() -> None:
    """The measure can fail: the same morning without the beliefs."""
    assert simulate_restart(replace(SHORT, age_s=86_400, mode="as-told")).unproved > 0


def test_all_limiters_that_start_among_cold_servers_push_none_over() -> None:
    for seed in range(4):
        dawn = simulate_restart(replace(SHORT, restarted=1.0, load=0.9, seed=seed))
        assert not dawn.fell and dawn.share_10s > 0.4


def test_a_seed_is_a_verdict() -> None:
    assert simulate_restart(SHORT) == simulate_restart(SHORT) != simulate_restart(replace(SHORT, seed=2))
    assert isinstance(simulate_restart(SHORT), RestartResult)
