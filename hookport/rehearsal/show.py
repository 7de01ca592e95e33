"""A rehearsal in the terminal: a live line of progress, and the table of what came of it."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Sequence
from functools import partial
from types import TracebackType

from rich.console import Console
from rich.progress import BarColumn, Progress, TaskID, TextColumn
from rich.table import Table

from hookport.rehearsal.judgement import Judgement
from hookport.rehearsal.play import Progress as Passed
from hookport.rehearsal.referee import MAX_SHOWN_BREACHES

LOG_INTERVAL_S = 10.0  # where the output is no terminal, a line this often


class Live:
    """Shows how far evenings are; on a terminal in place, elsewhere a line now and then."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.rows: dict[str, tuple[TaskID, Passed, float]] = {}
        self.bars = Progress(
            TextColumn("{task.description:<10}"), BarColumn(30), TextColumn("{task.fields[told]}"),
            console=console, transient=True, refresh_per_second=4,
        )  # fmt: skip
        self.told_s = time.monotonic()

    def __enter__(self) -> Live:
        if self.console.is_terminal:
            self.bars.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.bars.stop()

    def add(self, name: str, length_s: float) -> Passed:
        passed = Passed()
        self.rows[name] = (self.bars.add_task(name, total=length_s, told="starting"), passed, length_s)
        return passed

    def drop(self, name: str) -> None:
        self.bars.remove_task(self.rows.pop(name)[0])

    def refresh(self) -> None:
        due = time.monotonic() - self.told_s >= LOG_INTERVAL_S
        for name, (task, passed, length_s) in list(self.rows.items()):
            text = (
                f"{passed.stage} {min(passed.passed_s, length_s):3.0f}/{length_s:.0f} s  asked {passed.asked}"
                f"  served {passed.served}  refused {passed.refused}  {passed.note}"
            )
            self.bars.update(task, completed=min(passed.passed_s, length_s), told=text)
            if due and not self.console.is_terminal:
                print(f"{name}: {text}", file=sys.stderr, flush=True)
        if due:
            self.told_s = time.monotonic()


def plan_figure(name: str, judged: Judgement) -> str:
    return f"{judged.score.plans.get(name, 0.0):.3f}"


def beyond_figure(name: str, judged: Judgement) -> str:
    return f"{judged.score.beyond_plans.get(name, 0.0):.1%}"


def debt_figure(name: str, judged: Judgement) -> str:
    return f"{judged.score.debts.get(name, 0.0):.1f} units"


def outcome_figure(name: str, judged: Judgement) -> str:
    return str(judged.score.outcomes[name])


def latency_figure(name: str, judged: Judgement) -> str:
    told = judged.score.latency_ms.get(name, {"p50": 0.0, "p99": 0.0})
    return f"{told['p50']:.0f} / {told['p99']:.0f} ms"


def table(columns: Sequence[tuple[str, Judgement]]) -> Table:
    """One column for each evening, one row for each figure."""
    told = Table(title=columns[0][1].plan.title, title_justify="left", header_style="bold")
    told.add_column("")
    for name, _ in columns:
        told.add_column(name, justify="right")

    def row(name: str, figure: Callable[[Judgement], str]) -> None:
        told.add_row(name, *(figure(judgement) for _, judgement in columns))

    row("score", lambda j: "void" if j.void else f"{j.score.score:.3f}")
    row("  whole evening", lambda j: f"{j.score.whole:.3f}")
    row("  worst 10 s", lambda j: f"{j.score.worst_window:.3f} at {j.score.worst_window_at_s} s")
    row("  worst plan", lambda j: f"{j.score.worst_plan:.3f}")
    for quota in columns[0][1].plan.plans:
        row(f"    {quota.name}", partial(plan_figure, quota.name))
    row("rules", lambda j: "all kept" if not j.breaches else "broken: " + ", ".join(j.broken))
    row("requests (tries)", lambda j: f"{j.score.requests} ({j.score.tries})")
    for name in columns[0][1].score.outcomes:
        row(f"  {name}", partial(outcome_figure, name))
    row("sent on beyond quotas", lambda j: f"{j.score.beyond_units:.1%} of units")
    for quota in columns[0][1].plan.plans:
        row(f"    {quota.name}", partial(beyond_figure, quota.name))
    for quota in columns[0][1].plan.plans:
        row(f"  most, one {quota.name} customer", partial(debt_figure, quota.name))
    row("work wasted", lambda j: f"{j.score.wasted_work:.1%}")
    for kind in columns[0][1].plan.classes:
        row(f"{kind.name} p50 / p99", partial(latency_figure, kind.name))
    row("counter calls a try", lambda j: f"{j.score.counter_calls:.2f}")
    row("refused with half unused", lambda j: f"{j.score.refused_with_room:.1%} of refusals")
    if columns[0][1].plan.peers.allowed:
        row("datagrams a limiter", lambda j: f"{j.score.datagrams:.1f} a second")
    row("CPU a try", lambda j: f"{j.score.cpu_ms:.2f} ms")
    row("peak memory", lambda j: f"{max(j.score.peak_mb, default=0):.0f} MB")
    row("kit late (p99) / held", lambda j: f"{j.score.late_p99_ms:.0f} / {j.score.lag_ms:.0f} ms")
    return told


def breaches(console: Console, name: str, judgement: Judgement) -> None:
    """The first breaches of each rule, and how many there were."""
    if judgement.void:
        console.print(f"[bold]{name}: void[/]: {judgement.void}", highlight=False)
    for rule, count in judgement.breach_counts().items():
        console.print(f"{name}: rule [bold]{rule}[/] broken {count} times", highlight=False)
        for breach in [b for b in judgement.breaches if b.rule == rule][:MAX_SHOWN_BREACHES]:
            console.print(f"  {breach.at_ns / 1e9:8.3f} s  {breach.text}", highlight=False, markup=False)
