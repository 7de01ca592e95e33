"""Tests the referee: each mutant must be caught by its rule, and the unchanged daemon by none."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from collections.abc import Sequence
from dataclasses import dataclass

from rich.console import Console
from rich.table import Table

from hookport.rehearsal import command as commands
from hookport.rehearsal import judgement, mutants
from hookport.rehearsal import plan as plans
from hookport.rehearsal.play import DAEMON, PlayError

CORES_PER_RUN = 2  # CPU cores of the machine for each run that is played at the same time
MAX_ATTEMPTS = 2  # a run that is void because the machine was too busy is repeated
DAEMON_NAME = "the daemon"


@dataclass(slots=True)
class TrialResult:
    """What the referee found in one limiter's run.

    ``rule`` is the rule that must be broken, empty for the unchanged daemon; ``broken`` counts the breaches
    by rule."""

    name: str
    rule: str
    broken: dict[str, int]
    void: str
    first: str = ""

    @property
    def as_expected(self) -> bool:
        if self.void:
            return False
        return self.rule in self.broken if self.rule else not self.broken


def selected_mutants(only: str | None, short: bool) -> list[str]:
    """Return the mutants to try; raises PlanError for an unknown name."""
    if not only:
        return list(mutants.QUICK_MUTANTS if short else mutants.MUTANTS)
    names = list(dict.fromkeys(name.strip() for name in only.split(",") if name.strip()))
    for name in names:
        if name not in mutants.MUTANTS:
            raise plans.PlanError(f"--only: no mutant {name!r}; one of {', '.join(mutants.MUTANTS)}")
    return names


async def run_trials(
    names: Sequence[str], plan: plans.Plan, seed: int, jobs: int, console: Console
) -> list[TrialResult]:
    """Play the unchanged daemon and the mutants, at most ``jobs`` at a time."""
    limit = asyncio.Semaphore(jobs)

    async def try_limiter(name: str) -> TrialResult:
        command_line = (
            DAEMON if name == DAEMON_NAME else (sys.executable, "-m", "hookport.rehearsal.mutants", name)
        )
        rule = "" if name == DAEMON_NAME else mutants.MUTANTS[name].rule
        result = TrialResult(name, rule, {}, "not played")
        for _ in range(MAX_ATTEMPTS):
            try:
                async with limit:
                    judged = await commands.play(
                        plan, seed, command_line, folder / f"{name}.jsonl", display, name
                    )
            except PlayError as error:
                result = TrialResult(name, rule, {}, f"not played: {error}")
                continue
            result = to_result(name, rule, judged)
            if not result.void:
                break
        broken = ", ".join(f"{rule} {count}" for rule, count in result.broken.items()) or "nothing"
        console.print(
            f"{'ok ' if result.as_expected else 'BAD'} {name}: {result.void or broken}", highlight=False
        )
        return result

    async with commands.temporary_folder() as folder, commands.live_progress() as display:
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(try_limiter(name)) for name in (DAEMON_NAME, *names)]
        except ExceptionGroup as errors:
            raise errors.exceptions[0] from None
        return [task.result() for task in tasks]


def to_result(name: str, rule: str, judged: judgement.Judgement) -> TrialResult:
    breaches = [b for b in judged.breaches if not rule or b.rule == rule]
    first = f"{breaches[0].at_ns / 1e9:.1f} s: {breaches[0].text}" if breaches else ""
    return TrialResult(name, rule, dict(judged.breach_counts()), judged.void, first)


async def command(args: argparse.Namespace) -> int:
    """Run ``hookport rehearse mutants``; returns RULES_KEPT if the referee found exactly what it should."""
    names = selected_mutants(args.only, args.short)
    plan = commands.load_plan("gauntlet", args.length)
    jobs = args.jobs or max(1, (os.cpu_count() or 1) // CORES_PER_RUN)
    console = Console()
    results = await run_trials(names, plan, args.seed, jobs, console)
    table = Table(title=f"{plan.title}, seed {args.seed}", title_justify="left")
    for heading in ("limiter", "must break", "broke", "first breach of its rule"):
        table.add_column(heading)
    for result in results:
        broke = ", ".join(f"{rule} {count}" for rule, count in result.broken.items()) or "nothing"
        table.add_row(result.name, result.rule or "nothing", result.void or broke, result.first)
    console.print(table)
    unexpected = [result.name for result in results if not result.as_expected]
    if unexpected:
        console.print(f"unexpected results: {', '.join(unexpected)}", highlight=False)
        return commands.RULE_BROKEN
    console.print(f"the daemon keeps all rules; {len(names)} broken limiters are caught", highlight=False)
    return commands.RULES_KEPT
