"""Restarts of all limiters from saved server lists, in virtual time, measured at the servers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hookport.emulator import RestartResult, RestartScenario, simulate_restart

SHORT_SCENARIO = RestartScenario(60, 1, servers=6, load=0.5, length_s=6.0)


@pytest.mark.parametrize("age_s", [1, 600, 3_600, 86_400, 604_800])
def test_draining_servers_get_no_requests_and_unproven_servers_of_an_old_list_no_claims(age_s: float) -> None:
    for seed in range(6):
        result = simulate_restart(replace(SHORT_SCENARIO, age_s=age_s, seed=seed))
        assert not result.drained and not result.fell, seed
        assert age_s < 60 or not result.unproved, seed
        assert result.first_s < 3


def test_list_of_one_minute_serves_nearly_as_well_as_discovery_and_no_list_serves_nothing() -> None:
    saved, current, none = (
        simulate_restart(replace(SHORT_SCENARIO, mode=mode)) for mode in ("kept", "discovery", "none")
    )
    assert saved.share_10s > current.share_10s - 0.03
    assert none.share_30s == 0 and none.attempts == 0


def test_without_trust_in_servers_claims_reach_unproven_servers() -> None:
    """Checks the measurement itself: without trust in servers the same restart must show such claims."""
    assert simulate_restart(replace(SHORT_SCENARIO, age_s=86_400, mode="as-told")).unproved > 0


def test_limiters_that_restart_with_all_servers_overload_no_cold_server() -> None:
    for seed in range(4):
        result = simulate_restart(replace(SHORT_SCENARIO, restarted_share=1.0, load=0.9, seed=seed))
        assert not result.fell and result.share_10s > 0.4


def test_same_seed_gives_the_same_result() -> None:
    assert (
        simulate_restart(SHORT_SCENARIO)
        == simulate_restart(SHORT_SCENARIO)
        != simulate_restart(replace(SHORT_SCENARIO, seed=2))
    )
    assert isinstance(simulate_restart(SHORT_SCENARIO), RestartResult)
