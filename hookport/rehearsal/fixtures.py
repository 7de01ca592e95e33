"""Pytest fixtures of the test harness; load them with ``pytest_plugins = ["hookport.rehearsal.fixtures"]``.

``rehearse``       run a plan (a bundled name, a path or a Plan) with the daemon or another command and return
                   its Judgement; a run that is void because the machine was too busy is repeated once
``broken_limiter`` the command that starts the mutant of a given name
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Protocol

import pytest

from hookport.rehearsal.judgement import Judgement, judge_file
from hookport.rehearsal.plan import Plan, load
from hookport.rehearsal.play import DAEMON, Play

MAX_RUNS = 2


class Rehearse(Protocol):
    """The type of the ``rehearse`` fixture."""

    def __call__(self, plan: Plan | str, seed: int = 1, command: Sequence[str] = DAEMON) -> Judgement: ...


@pytest.fixture
def rehearse(tmp_path: Path) -> Rehearse:
    def play(plan: Plan | str, seed: int = 1, command: Sequence[str] = DAEMON) -> Judgement:
        loaded_plan = load(plan) if isinstance(plan, str) else plan
        for attempt in range(MAX_RUNS):
            history = tmp_path / f"history-{attempt}.jsonl"

            async def run(history: Path = history) -> None:
                await Play(loaded_plan, seed, command).run(history)

            asyncio.run(run())
            judgement = judge_file(history)
            if not judgement.void:
                break
        return judgement

    return play


@pytest.fixture
def broken_limiter() -> Callable[[str], tuple[str, ...]]:
    return lambda name: (sys.executable, "-m", "hookport.rehearsal.mutants", name)
