"""Experiments: what a setting, a constant or a build is worth, over many days, with its noise.

A file in TOML names factors and their levels, days and seeds; every combination is played in the whole
depth, in a process of its own. Levels are compared on the same days and seeds (common random numbers), so
what is told is the mean of paired differences against the first level of each factor, with the interval
that holds it 95 times in 100 (Student's t) and the pairs that would be needed to tell 0.005. Each result is
a line of a file as soon as it is there: an experiment that was interrupted goes on where it was.
"""

from __future__ import annotations

import hashlib
import importlib
import itertools
import math
import random
import statistics
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from hookport.emulator import days, renamed_constants
from hookport.rehearsal import compare
from hookport.rehearsal import plan as plans

Table = dict[str, Any]
MOST_RUNS = 100_000
TELL = 0.005  # a difference of scores that is worth telling apart
ROOT = Path(__file__).resolve().parents[2]


class ExperimentError(Exception):
    """An experiment that cannot be played: file, key and what would do, in one line."""


class Factor(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What is varied; the first level is what others are compared with.

    One of ``constant`` (a module's constant by its full name), ``plan`` (a plan's key, with dots and
    indexes) and ``build`` (True: the levels are folders of source trees)."""

    name: Annotated[str, Meta(min_length=1, max_length=40)]
    levels: Annotated[tuple[float | int | str | bool, ...], Meta(min_length=2, max_length=64)]
    constant: str = ""
    plan: str = ""
    build: bool = False


class Experiment(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A whole experiment.

    ``design``: ``each`` varies one factor at a time from the first levels, ``grid`` plays all combinations,
    ``random`` draws ``samples`` of them. ``days`` are the seeds of drawn days, from the first to the last."""

    title: Annotated[str, Meta(min_length=1, max_length=120)]
    factor: Annotated[tuple[Factor, ...], Meta(min_length=1, max_length=32)]
    plans: tuple[str, ...] = ()
    days: tuple[Annotated[int, Meta(ge=0)], Annotated[int, Meta(ge=0)]] | None = None
    seeds: tuple[Annotated[int, Meta(ge=0)], Annotated[int, Meta(ge=0)]] = (1, 4)  # of the plans
    length_s: Annotated[float, Meta(ge=4, le=600)] = 24.0  # of drawn days; plans keep their own
    design: Literal["each", "grid", "random"] = "each"
    samples: Annotated[int, Meta(ge=2, le=10_000)] = 20
    seed: Annotated[int, Meta(ge=0)] = 1  # of the random design


Cell = tuple[int, ...]  # a level of each factor, by its position


class Run(Struct, frozen=True, kw_only=True):
    """One day under one combination; ``day`` names it, ``seed`` is that of its draws."""

    cell: Cell
    day: str
    seed: int
    code: str = ""  # what the sources were: see code_of
    score: float = 0.0
    figures: dict[str, float] = {}
    broken: tuple[str, ...] = ()
    error: str = ""

    @property
    def key(self) -> tuple[Cell, str, int]:
        return self.cell, self.day, self.seed


def load(path: str) -> Experiment:
    """Read and check an experiment; raises ExperimentError."""
    try:
        told = msgspec.toml.decode(Path(path).read_bytes(), type=Experiment)
    except OSError as error:
        raise ExperimentError(f"{path}: cannot be read: {error.strerror}") from error
    except msgspec.ValidationError as error:
        raise ExperimentError(f"{path}: {plans.format_validation_error(str(error))}") from error
    except (msgspec.DecodeError, ValueError) as error:
        raise ExperimentError(f"{path}: not TOML: {error}") from error
    for place, why in problems(told):
        raise ExperimentError(f"{path}: {place}: {why}")
    return told


def problems(told: Experiment) -> Iterator[tuple[str, str]]:
    """What no single key can tell, each with its place and what would do."""
    names = [factor.name for factor in told.factor]
    for n, factor in enumerate(told.factor):
        at = f"factor[{n}]"
        if factor.name in names[:n]:
            yield f"{at}.name", f"{factor.name!r} stands twice; give each its own name"
        if bool(factor.constant) + bool(factor.plan) + factor.build != 1:
            yield at, "write one of constant = ..., plan = ... and build = true"
        if len(set(map(repr, factor.levels))) < len(factor.levels):
            yield f"{at}.levels", "a level stands twice; take one out"
        if factor.constant:
            yield from constant_problems(factor, at)
        if factor.build:
            for folder in factor.levels:
                if not (Path(str(folder)) / "aniseshed" / "policy.py").is_file():
                    yield f"{at}.levels", f"{folder}: no source tree with aniseshed/policy.py"
    if not told.plans and not told.days:
        yield "plans", "name plans, or days = [first, last], or both"
    for place, pair in (("days", told.days), ("seeds", told.seeds)):
        if pair and pair[0] > pair[1]:
            yield place, f"the range runs from {pair[0]} down to {pair[1]}; write the smaller first"
    for name in told.plans:
        try:
            plan = plans.load(name)
        except plans.PlanError as error:
            yield "plans", str(error)
            continue
        for n, factor in enumerate(told.factor):
            for level in factor.levels if factor.plan else ():
                try:
                    with_key(msgspec.to_builtins(plan), factor.plan, level, name)
                except plans.PlanError as error:
                    yield f"factor[{n}].plan", str(error)
    if (many := len(cells(told)) * len(list(chosen_days(told)))) > MOST_RUNS:
        yield "design", f'{many} runs; {MOST_RUNS} at most: fewer levels, days or seeds, or design = "random"'


def constant_problems(factor: Factor, at: str) -> Iterator[tuple[str, str]]:
    for candidate in (factor.constant, *renamed_constants.other_names(factor.constant)):
        module, _, name = candidate.rpartition(".")
        try:
            value = getattr(importlib.import_module(module), name)
        except (ImportError, AttributeError, ValueError):
            continue
        break
    else:
        yield (
            f"{at}.constant",
            f"{factor.constant}: no such constant; write it like aniseshed.policy.MAX_QUOTA_WAIT_SHARE",
        )
        return
    if not isinstance(value, int | float):
        yield f"{at}.constant", f"{factor.constant} is no number but {type(value).__name__}"
    for level in factor.levels:
        if not isinstance(level, int | float):
            yield f"{at}.levels", f"{level!r} is no number, as {factor.constant} is"


def with_key(told: Table, key: str, value: Any, name: str) -> Table:
    """A plan's table with another value at a key like ``clients.retries`` or ``fault.0.for_s``; checked."""
    inner: Any = told
    *path, last = key.split(".")
    for part in path:
        try:
            inner = inner[int(part)] if isinstance(inner, list | tuple) else inner[part]
        except (KeyError, IndexError, ValueError):
            raise plans.PlanError(f"{name}: {key}: there is no {part!r} there") from None
    if isinstance(inner, list | tuple):
        first = f"{key.rsplit('.', 1)[0]}.0"
        raise plans.PlanError(f"{name}: {key}: name a key of one of its items, like those of {first}")
    inner[last] = value
    plans.build(told, name)
    return told


def cells(told: Experiment) -> list[Cell]:
    """The combinations to play, that of the first levels first."""
    sizes = [len(factor.levels) for factor in told.factor]
    base = tuple(0 for _ in sizes)
    if told.design == "each":
        return [base] + [
            tuple(level if i == n else 0 for i in range(len(sizes)))
            for n, size in enumerate(sizes)
            for level in range(1, size)
        ]
    if told.design == "grid":
        return list(itertools.product(*map(range, sizes)))
    chance = random.Random(told.seed)  # Mersenne Twister: the same draws on every machine
    drawn = dict.fromkeys([base])
    for _ in range(20 * told.samples):
        if len(drawn) >= min(told.samples, math.prod(sizes)):
            break
        drawn[tuple(chance.randrange(size) for size in sizes)] = None
    return list(drawn)


def chosen_days(told: Experiment) -> Iterator[tuple[str, int]]:
    """Each day by name with the seed of its draws."""
    for name in told.plans:
        for seed in range(told.seeds[0], told.seeds[1] + 1):
            yield name, seed
    if told.days:
        for seed in range(told.days[0], told.days[1] + 1):
            yield "drawn", seed


def plan_of(told: Experiment, day: str, seed: int, cell: Cell) -> Table:
    """The plan's table of a run; raises PlanError."""
    table = days.table(seed, told.length_s) if day == "drawn" else msgspec.to_builtins(plans.load(day))
    for factor, level in zip(told.factor, cell, strict=True):
        if factor.plan:
            table = with_key(table, factor.plan, factor.levels[level], day)
    return table


def constants_of(told: Experiment, cell: Cell) -> dict[str, Any]:
    """The constants that a combination sets, by full name; numbers, as ``constant_problems`` has seen to."""
    return {f.constant: f.levels[n] for f, n in zip(told.factor, cell, strict=True) if f.constant}


def build_of(told: Experiment, cell: Cell) -> Path:
    for factor, level in zip(told.factor, cell, strict=True):
        if factor.build:
            return Path(str(factor.levels[level])).resolve()
    return ROOT


def code_of(folder: Path) -> str:
    """What two source trees share only if the daemon and its module are alike to the last byte."""
    summed = hashlib.sha256()
    for path in sorted([*(folder / "aniseshed").rglob("*.py"), *(folder / "hookport").rglob("*.py")]):
        summed.update(str(path.relative_to(folder)).encode() + b"\0" + path.read_bytes() + b"\0")
    return summed.hexdigest()[:16]


# What came of it


class Effect(Struct, frozen=True, kw_only=True):
    """One combination against that of the first levels, on the same days and seeds.

    ``gain`` is the mean of the paired differences with its interval; ``needed`` the pairs that would tell
    TELL, by the spread seen; ``worst`` the day on which it loses most, by how much."""

    cell: Cell
    gain: compare.PairedDifference
    needed: int
    worst: tuple[str, float]
    broke: int  # days on which it broke a rule


def effects(told: Experiment, runs: Sequence[Run], metric: str = "score") -> list[Effect]:
    """Each combination against the first, over the days that both have played without an error."""
    by_key = {run.key: run for run in runs if not run.error}
    base, *others = cells(told)
    result = []
    for cell in others:
        both = [day for day in chosen_days(told) if (cell, *day) in by_key and (base, *day) in by_key]
        if not both:
            continue
        own = [value_of(by_key[cell, day, seed], metric) for day, seed in both]
        first = [value_of(by_key[base, day, seed], metric) for day, seed in both]
        gains = [a - b for a, b in zip(own, first, strict=True)]
        spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
        least = min(range(len(gains)), key=gains.__getitem__)
        result.append(
            Effect(
                cell=cell,
                gain=compare.paired_difference(own, first),
                needed=math.ceil((1.96 * spread / TELL) ** 2),
                worst=("{} {}".format(*both[least]), gains[least]),
                broke=sum(bool(run.broken) for run in runs if run.cell == cell),
            )
        )
    return result


def value_of(run: Run, metric: str) -> float:
    return run.score if metric == "score" else run.figures[metric]


def named(told: Experiment, cell: Cell) -> str:
    """A combination by what differs from the first levels."""
    parts = [f"{f.name} {f.levels[n]}" for f, n in zip(told.factor, cell, strict=True) if n]
    return ", ".join(parts) or "all as first"
