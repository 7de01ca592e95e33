"""Terminal output of a rehearsal: live progress, the table of results and the breaches."""

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
from hookport.rehearsal.play import Progress as RunProgress
from hookport.rehearsal.referee import MAX_SHOWN_BREACHES

LOG_INTERVAL_S = 10.0  # interval of the progress lines if the output is not a terminal


class ProgressDisplay:
    """Shows the progress of runs: bars on a terminal, else a line every LOG_INTERVAL_S seconds."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.rows: dict[str, tuple[TaskID, RunProgress, float]] = {}
        self.bars = Progress(
            TextColumn("{task.description:<10}"), BarColumn(30), TextColumn("{task.fields[status]}"),
            console=console, transient=True, refresh_per_second=4,
        )  # fmt: skip
        self.shown_s = time.monotonic()

    def __enter__(self) -> ProgressDisplay:
        if self.console.is_terminal:
            self.bars.start()
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.bars.stop()

    def add(self, name: str, length_s: float) -> RunProgress:
        progress = RunProgress()
        self.rows[name] = (self.bars.add_task(name, total=length_s, status="starting"), progress, length_s)
        return progress

    def drop(self, name: str) -> None:
        self.bars.remove_task(self.rows.pop(name)[0])

    def refresh(self) -> None:
        is_due = time.monotonic() - self.shown_s >= LOG_INTERVAL_S
        for name, (task, progress, length_s) in list(self.rows.items()):
            text = (
                f"{progress.stage} {min(progress.elapsed_s, length_s):3.0f}/{length_s:.0f} s"
                f"  requests {progress.requests}  served {progress.served}"
                f"  refused {progress.refused}  {progress.last_event}"
            )
            self.bars.update(task, completed=min(progress.elapsed_s, length_s), status=text)
            if is_due and not self.console.is_terminal:
                print(f"{name}: {text}", file=sys.stderr, flush=True)
        if is_due:
            self.shown_s = time.monotonic()


def format_plan_score(name: str, judgement: Judgement) -> str:
    return f"{judgement.score.plans.get(name, 0.0):.3f}"


def format_beyond_quota(name: str, judgement: Judgement) -> str:
    return f"{judgement.score.beyond_plans.get(name, 0.0):.1%}"


def format_debt(name: str, judgement: Judgement) -> str:
    return f"{judgement.score.debts.get(name, 0.0):.1f} units"


def format_outcome(name: str, judgement: Judgement) -> str:
    return str(judgement.score.outcomes[name])


def format_latency(name: str, judgement: Judgement) -> str:
    latency = judgement.score.latency_ms.get(name, {"p50": 0.0, "p99": 0.0})
    return f"{latency['p50']:.0f} / {latency['p99']:.0f} ms"


def score_table(columns: Sequence[tuple[str, Judgement]]) -> Table:
    """Return a table with one column per run and one row per figure."""
    table = Table(title=columns[0][1].plan.title, title_justify="left", header_style="bold")
    table.add_column("")
    for name, _ in columns:
        table.add_column(name, justify="right")

    def row(name: str, figure: Callable[[Judgement], str]) -> None:
        table.add_row(name, *(figure(judgement) for _, judgement in columns))

    row("score", lambda j: "void" if j.void else f"{j.score.score:.3f}")
    row("  whole run", lambda j: f"{j.score.whole:.3f}")
    row("  worst 10 s", lambda j: f"{j.score.worst_window:.3f} at {j.score.worst_window_at_s} s")
    row("  worst plan", lambda j: f"{j.score.worst_plan:.3f}")
    for quota in columns[0][1].plan.plans:
        row(f"    {quota.name}", partial(format_plan_score, quota.name))
    row("rules", lambda j: "all kept" if not j.breaches else "broken: " + ", ".join(j.broken))
    row("requests (attempts)", lambda j: f"{j.score.requests} ({j.score.tries})")
    for name in columns[0][1].score.outcomes:
        row(f"  {name}", partial(format_outcome, name))
    row("forwarded beyond quotas", lambda j: f"{j.score.beyond_units:.1%} of units")
    for quota in columns[0][1].plan.plans:
        row(f"    {quota.name}", partial(format_beyond_quota, quota.name))
    for quota in columns[0][1].plan.plans:
        row(f"  largest debt, {quota.name} customer", partial(format_debt, quota.name))
    row("wasted work", lambda j: f"{j.score.wasted_work:.1%}")
    for request_class in columns[0][1].plan.classes:
        row(f"{request_class.name} p50 / p99", partial(format_latency, request_class.name))
    row("counter calls per attempt", lambda j: f"{j.score.counter_calls:.2f}")
    row("refused with half unused", lambda j: f"{j.score.refused_with_room:.1%} of refusals")
    if columns[0][1].plan.peers.allowed:
        row("datagrams per limiter", lambda j: f"{j.score.datagrams:.1f} per second")
    row("CPU per attempt", lambda j: f"{j.score.cpu_ms:.2f} ms")
    row("peak memory", lambda j: f"{max(j.score.peak_mb, default=0):.0f} MB")
    row("harness late (p99) / blocked", lambda j: f"{j.score.late_p99_ms:.0f} / {j.score.lag_ms:.0f} ms")
    return table


def print_breaches(console: Console, name: str, judgement: Judgement) -> None:
    """Print the number of breaches of each rule, and the first of them."""
    if judgement.void:
        console.print(f"[bold]{name}: void[/]: {judgement.void}", highlight=False)
    for rule, count in judgement.breach_counts().items():
        console.print(f"{name}: rule [bold]{rule}[/] broken {count} times", highlight=False)
        for breach in [b for b in judgement.breaches if b.rule == rule][:MAX_SHOWN_BREACHES]:
            console.print(f"  {breach.at_ns / 1e9:8.3f} s  {breach.text}", highlight=False, markup=False)
