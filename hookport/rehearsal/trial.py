"""The trial of the referee: every broken limiter is caught under its rule, and the true daemon under none."""

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

CORES_PER_RUN = 2  # of the machine, for each evening at a time
MAX_ATTEMPTS = 2  # a run that the machine was too busy for is played again
TRUE = "the daemon"


@dataclass(slots=True)
class Caught:
    """What the referee said of one limiter; ``rule`` is what it should say, empty for the true daemon."""

    name: str
    rule: str
    broken: dict[str, int]
    void: str
    first: str = ""

    @property
    def right(self) -> bool:
        if self.void:
            return False
        return self.rule in self.broken if self.rule else not self.broken


def chosen(only: str | None, short: bool) -> list[str]:
    """The mutants to try; raises PlanError for a name that is none."""
    if not only:
        return list(mutants.SHORT if short else mutants.MUTANTS)
    names = list(dict.fromkeys(name.strip() for name in only.split(",") if name.strip()))
    for name in names:
        if name not in mutants.MUTANTS:
            raise plans.PlanError(f"--only: no mutant {name!r}; there is {', '.join(mutants.MUTANTS)}")
    return names


async def trial(
    names: Sequence[str], plan: plans.Plan, seed: int, jobs: int, console: Console
) -> list[Caught]:
    """Play the true daemon and the mutants, some at a time."""
    gate = asyncio.Semaphore(jobs)

    async def one(name: str) -> Caught:
        words = DAEMON if name == TRUE else (sys.executable, "-m", "hookport.rehearsal.mutants", name)
        rule = "" if name == TRUE else mutants.MUTANTS[name].rule
        caught = Caught(name, rule, {}, "not played")
        for _ in range(MAX_ATTEMPTS):
            try:
                async with gate:
                    judged = await commands.play(plan, seed, words, kept / f"{name}.jsonl", live, name)
            except PlayError as error:
                caught = Caught(name, rule, {}, f"not played: {error}")
                continue
            caught = found(name, rule, judged)
            if not caught.void:
                break
        told = ", ".join(f"{rule} {count}" for rule, count in caught.broken.items()) or "nothing"
        console.print(f"{'ok ' if caught.right else 'BAD'} {name}: {caught.void or told}", highlight=False)
        return caught

    async with commands.keeping() as kept, commands.showing() as live:
        try:
            async with asyncio.TaskGroup() as group:
                tasks = [group.create_task(one(name)) for name in (TRUE, *names)]
        except ExceptionGroup as errors:
            raise errors.exceptions[0] from None
        return [task.result() for task in tasks]


def found(name: str, rule: str, judged: judgement.Judgement) -> Caught:
    of_rule = [b for b in judged.breaches if not rule or b.rule == rule]
    first = f"{of_rule[0].at_ns / 1e9:.1f} s: {of_rule[0].text}" if of_rule else ""
    return Caught(name, rule, dict(judged.breach_counts()), judged.void, first)


async def command(args: argparse.Namespace) -> int:
    """``hookport rehearse mutants``: 0 if all are caught under their rule and the daemon under none."""
    names = chosen(args.only, args.short)
    plan = commands.loaded("gauntlet", args.length)
    jobs = args.jobs or max(1, (os.cpu_count() or 1) // CORES_PER_RUN)
    console = Console()
    results = await trial(names, plan, args.seed, jobs, console)
    told = Table(title=f"{plan.title}, seed {args.seed}", title_justify="left")
    for head in ("limiter", "must break", "broke", "first breach of its rule"):
        told.add_column(head)
    for caught in results:
        broke = ", ".join(f"{rule} {count}" for rule, count in caught.broken.items()) or "nothing"
        told.add_row(caught.name, caught.rule or "nothing", caught.void or broke, caught.first)
    console.print(told)
    bad = [caught.name for caught in results if not caught.right]
    if bad:
        console.print(f"not as it should be: {', '.join(bad)}", highlight=False)
        return commands.RULE_BROKEN
    console.print(f"the daemon keeps all rules; {len(names)} broken limiters are caught", highlight=False)
    return commands.RULES_KEPT
