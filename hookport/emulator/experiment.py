"""Experiments: the effect of a setting, a constant or a build on the score, over many days.

A day is one plan at one seed. A TOML file names factors and their levels, days and seeds. Every combination
runs in virtual time, in a process of its own. Levels are compared on the same days and seeds (common random
numbers): the result is the mean of the paired differences against the first level of each factor, with its
95 % confidence interval (Student's t), and the number of pairs needed to detect a difference of 0.005. Each
result is appended to a file as soon as it is known, so an interrupted experiment can continue.
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
MAX_RUNS = 100_000
RELEVANT_GAIN = 0.005  # the smallest difference of scores that an experiment should detect
ROOT = Path(__file__).resolve().parents[2]


class ExperimentError(Exception):
    """An experiment cannot be executed; the message names file, key and what is allowed in one line."""


class Factor(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A value to vary; the other levels are compared with the first.

    Exactly one of ``constant`` (the dotted name of a module's constant), ``plan`` (a plan's key, with dots
    and indexes) and ``build`` (True: the levels are folders of source trees) is set.
    """

    name: Annotated[str, Meta(min_length=1, max_length=40)]
    levels: Annotated[tuple[float | int | str | bool, ...], Meta(min_length=2, max_length=64)]
    constant: str = ""
    plan: str = ""
    build: bool = False


class Experiment(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An experiment file.

    ``design``: ``each`` varies one factor at a time from the first levels, ``grid`` runs all combinations,
    ``random`` draws ``samples`` of them. ``days`` are the seeds of the random days, first and last. ``seeds``
    are those of the ``plans``, first and last. ``length_s`` is the length of random days; plans have their
    own. ``seed`` is that of the random design.
    """

    title: Annotated[str, Meta(min_length=1, max_length=120)]
    factor: Annotated[tuple[Factor, ...], Meta(min_length=1, max_length=32)]
    plans: tuple[str, ...] = ()
    days: tuple[Annotated[int, Meta(ge=0)], Annotated[int, Meta(ge=0)]] | None = None
    seeds: tuple[Annotated[int, Meta(ge=0)], Annotated[int, Meta(ge=0)]] = (1, 4)
    length_s: Annotated[float, Meta(ge=4, le=600)] = 24.0
    design: Literal["each", "grid", "random"] = "each"
    samples: Annotated[int, Meta(ge=2, le=10_000)] = 20
    seed: Annotated[int, Meta(ge=0)] = 1


Cell = tuple[int, ...]  # a combination of levels: for each factor the index of its level


class Run(Struct, frozen=True, kw_only=True):
    """The result of one day with one combination of levels.

    ``day`` is a plan, or ``drawn`` for a random day; ``code`` is the digest of the sources that ran it.
    """

    cell: Cell
    day: str
    seed: int
    code: str = ""
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
        spec = msgspec.toml.decode(Path(path).read_bytes(), type=Experiment)
    except OSError as error:
        raise ExperimentError(f"{path}: cannot be read: {error.strerror}") from error
    except msgspec.ValidationError as error:
        raise ExperimentError(f"{path}: {plans.format_validation_error(str(error))}") from error
    except (msgspec.DecodeError, ValueError) as error:
        raise ExperimentError(f"{path}: not TOML: {error}") from error
    for key, reason in find_problems(spec):
        raise ExperimentError(f"{path}: {key}: {reason}")
    return spec


def find_problems(spec: Experiment) -> Iterator[tuple[str, str]]:
    """Yield the problems that no single key shows, each with its key and what is allowed."""
    names = [factor.name for factor in spec.factor]
    for n, factor in enumerate(spec.factor):
        key = f"factor[{n}]"
        if factor.name in names[:n]:
            yield f"{key}.name", f"{factor.name!r} is used twice; names must be unique"
        if bool(factor.constant) + bool(factor.plan) + factor.build != 1:
            yield key, "write exactly one of constant = ..., plan = ... and build = true"
        if len(set(map(repr, factor.levels))) < len(factor.levels):
            yield f"{key}.levels", "levels must be unique"
        if factor.constant:
            yield from constant_problems(factor, key)
        if factor.build:
            for folder in factor.levels:
                if not (Path(str(folder)) / "aniseshed" / "policy.py").is_file():
                    yield f"{key}.levels", f"{folder}: not a source tree, aniseshed/policy.py is missing"
    if not spec.plans and not spec.days:
        yield "plans", "write plans = [...], days = [first, last], or both"
    for key, pair in (("days", spec.days), ("seeds", spec.seeds)):
        if pair and pair[0] > pair[1]:
            yield key, f"the range goes from {pair[0]} down to {pair[1]}; write the smaller number first"
    for name in spec.plans:
        try:
            plan = plans.load(name)
        except plans.PlanError as error:
            yield "plans", str(error)
            continue
        for n, factor in enumerate(spec.factor):
            for level in factor.levels if factor.plan else ():
                try:
                    set_plan_key(msgspec.to_builtins(plan), factor.plan, level, name)
                except plans.PlanError as error:
                    yield f"factor[{n}].plan", str(error)
    if (run_count := len(cells(spec)) * len(list(days_with_seeds(spec)))) > MAX_RUNS:
        yield (
            "design",
            f'{run_count} runs; at most {MAX_RUNS}: use fewer levels, days or seeds, or design = "random"',
        )


def constant_problems(factor: Factor, key: str) -> Iterator[tuple[str, str]]:
    for candidate in (factor.constant, *renamed_constants.other_names(factor.constant)):
        module, _, name = candidate.rpartition(".")
        try:
            value = getattr(importlib.import_module(module), name)
        except (ImportError, AttributeError, ValueError):
            continue
        break
    else:
        yield (
            f"{key}.constant",
            f"{factor.constant}: no such constant; write a name like aniseshed.policy.MAX_QUOTA_WAIT_SHARE",
        )
        return
    if not isinstance(value, int | float):
        yield f"{key}.constant", f"{factor.constant} is not a number but {type(value).__name__}"
    for level in factor.levels:
        if not isinstance(level, int | float):
            yield f"{key}.levels", f"{level!r} is not a number, unlike {factor.constant}"


def set_plan_key(table: Table, key: str, value: Any, name: str) -> Table:
    """Set a key such as ``clients.retries`` or ``fault.0.for_s`` in a plan's table and return the table.

    Raises PlanError if there is no such key, or if the plan is then invalid.
    """
    container: Any = table
    *path, last = key.split(".")
    for path_key in path:
        try:
            container = (
                container[int(path_key)] if isinstance(container, list | tuple) else container[path_key]
            )
        except (KeyError, IndexError, ValueError):
            raise plans.PlanError(f"{name}: {key}: no such key: {path_key!r}") from None
    if isinstance(container, list | tuple):
        example = f"{key.rsplit('.', 1)[0]}.0"
        raise plans.PlanError(
            f"{name}: {key}: this is a list; name a key of one of its items, such as {example}"
        )
    container[last] = value
    plans.build(table, name)
    return table


def cells(spec: Experiment) -> list[Cell]:
    """Return the combinations to run, beginning with that of the first levels."""
    sizes = [len(factor.levels) for factor in spec.factor]
    base_cell = tuple(0 for _ in sizes)
    if spec.design == "each":
        return [base_cell] + [
            tuple(level if i == n else 0 for i in range(len(sizes)))
            for n, size in enumerate(sizes)
            for level in range(1, size)
        ]
    if spec.design == "grid":
        return list(itertools.product(*map(range, sizes)))
    rng = random.Random(spec.seed)  # Mersenne Twister: the same draws on every machine
    drawn = dict.fromkeys([base_cell])
    for _ in range(20 * spec.samples):
        if len(drawn) >= min(spec.samples, math.prod(sizes)):
            break
        drawn[tuple(rng.randrange(size) for size in sizes)] = None
    return list(drawn)


def days_with_seeds(spec: Experiment) -> Iterator[tuple[str, int]]:
    """Yield each day as its plan, or ``drawn`` for a random day, with its seed."""
    for name in spec.plans:
        for seed in range(spec.seeds[0], spec.seeds[1] + 1):
            yield name, seed
    if spec.days:
        for seed in range(spec.days[0], spec.days[1] + 1):
            yield "drawn", seed


def plan_table(spec: Experiment, day: str, seed: int, cell: Cell) -> Table:
    """Return the plan of a run as a table; raises PlanError if it is invalid."""
    table = days.plan_table(seed, spec.length_s) if day == "drawn" else msgspec.to_builtins(plans.load(day))
    for factor, level in zip(spec.factor, cell, strict=True):
        if factor.plan:
            table = set_plan_key(table, factor.plan, factor.levels[level], day)
    return table


def constant_values(spec: Experiment, cell: Cell) -> dict[str, Any]:
    """Return the values of the constants that a combination sets, by dotted name."""
    return {f.constant: f.levels[n] for f, n in zip(spec.factor, cell, strict=True) if f.constant}


def build_folder(spec: Experiment, cell: Cell) -> Path:
    for factor, level in zip(spec.factor, cell, strict=True):
        if factor.build:
            return Path(str(factor.levels[level])).resolve()
    return ROOT


def source_digest(folder: Path) -> str:
    """Return a digest of all Python files of the daemon and the limiter's policy in a source tree."""
    digest = hashlib.sha256()
    for path in sorted([*(folder / "aniseshed").rglob("*.py"), *(folder / "hookport").rglob("*.py")]):
        digest.update(str(path.relative_to(folder)).encode() + b"\0" + path.read_bytes() + b"\0")
    return digest.hexdigest()[:16]


# Results


class Effect(Struct, frozen=True, kw_only=True):
    """The difference between one combination and that of the first levels, on the same days and seeds.

    ``gain`` is the mean of the paired differences with its confidence interval. ``needed`` is the number of
    pairs that would detect RELEVANT_GAIN at the observed standard deviation. ``worst`` is the day with the
    lowest difference, and the difference. ``broke`` is the number of days on which a rule was broken.
    """

    cell: Cell
    gain: compare.PairedDifference
    needed: int
    worst: tuple[str, float]
    broke: int


def compute_effects(spec: Experiment, runs: Sequence[Run], metric: str = "score") -> list[Effect]:
    """Compare each combination with the first, over the days that both completed without an error."""
    by_key = {run.key: run for run in runs if not run.error}
    base_cell, *others = cells(spec)
    result = []
    for cell in others:
        shared_days = [
            day for day in days_with_seeds(spec) if (cell, *day) in by_key and (base_cell, *day) in by_key
        ]
        if not shared_days:
            continue
        cell_values = [metric_value(by_key[cell, day, seed], metric) for day, seed in shared_days]
        base_values = [metric_value(by_key[base_cell, day, seed], metric) for day, seed in shared_days]
        gains = [a - b for a, b in zip(cell_values, base_values, strict=True)]
        standard_deviation = statistics.stdev(gains) if len(gains) > 1 else 0.0
        worst_index = min(range(len(gains)), key=gains.__getitem__)
        result.append(
            Effect(
                cell=cell,
                gain=compare.paired_difference(cell_values, base_values),
                needed=math.ceil((1.96 * standard_deviation / RELEVANT_GAIN) ** 2),
                worst=("{} {}".format(*shared_days[worst_index]), gains[worst_index]),
                broke=sum(bool(run.broken) for run in runs if run.cell == cell),
            )
        )
    return result


def metric_value(run: Run, metric: str) -> float:
    return run.score if metric == "score" else run.figures[metric]


def cell_label(spec: Experiment, cell: Cell) -> str:
    """Describe a combination by the levels that differ from the first ones."""
    parts = [f"{f.name} {f.levels[n]}" for f, n in zip(spec.factor, cell, strict=True) if n]
    return ", ".join(parts) or "all first levels"
