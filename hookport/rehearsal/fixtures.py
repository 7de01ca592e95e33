"""Pytest fixtures over the kit; load them with ``pytest_plugins = ["hookport.rehearsal.fixtures"]``.

``rehearse``       play a plan (a bundled name, a path or a Plan) with the daemon or another command and
                   return its Judgement; what the machine was too busy for is played once more
``broken_limiter`` the command of one of the kit's mutants
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

TRIES = 2


class Rehearse(Protocol):
    def __call__(self, plan: Plan | str, seed: int = 1, command: Sequence[str] = DAEMON) -> Judgement: ...


@pytest.fixture
def rehearse(tmp_path: Path) -> Rehearse:
    def play(plan: Plan | str, seed: int = 1, command: Sequence[str] = DAEMON) -> Judgement:
        told = load(plan) if isinstance(plan, str) else plan
        for turn in range(TRIES):
            kept = tmp_path / f"history-{turn}.jsonl"

            async def evening(kept: Path = kept) -> None:
                await Play(told, seed, command).run(kept)

            asyncio.run(evening())
            judged = judge_file(kept)
            if not judged.void:
                break
        return judged

    return play


@pytest.fixture
def broken_limiter() -> Callable[[str], tuple[str, ...]]:
    return lambda name: (sys.executable, "-m", "hookport.rehearsal.mutants", name)
