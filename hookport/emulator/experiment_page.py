"""The report of an experiment: a Markdown table, CSV, and one self-contained HTML page."""

from __future__ import annotations

import csv
import html
import io
from collections.abc import Sequence

import matplotlib

matplotlib.use("svg")
import matplotlib.pyplot as plt  # noqa: E402

from hookport.emulator.experiment import (  # noqa: E402
    RELEVANT_GAIN,
    Effect,
    Experiment,
    Run,
    cell_label,
    cells,
    days_with_seeds,
)

STYLE = """body{font:15px/1.5 system-ui,sans-serif;margin:2em auto;max-width:60em;padding:0 1em}
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}"""
COLUMN_TITLES = (
    "combination",
    "against the first",
    "95 %",
    "pairs",
    f"to tell {RELEVANT_GAIN:g}",
    "loses most on",
    "broke a rule",
)


def table_rows(spec: Experiment, effects: Sequence[Effect]) -> list[tuple[str, ...]]:
    """Return the effects as table rows of text, the largest gain first."""
    return [
        (
            cell_label(spec, effect.cell),
            f"{effect.gain.mean:+.4f}" + (" *" if effect.gain.is_significant else ""),
            "" if effect.gain.half_width is None else f"± {effect.gain.half_width:.4f}",
            str(effect.gain.seeds),
            str(effect.needed) if effect.needed else "",
            f"{effect.worst[0]} ({effect.worst[1]:+.3f})",
            str(effect.broke),
        )
        for effect in sorted(effects, key=lambda effect: -effect.gain.mean)
    ]


def markdown(spec: Experiment, runs: Sequence[Run], effects: Sequence[Effect]) -> str:
    """Return the report as a Markdown table; a star marks significant differences."""
    lines = [
        f"# {spec.title}",
        "",
        summarize(spec, runs),
        "",
        "| " + " | ".join(COLUMN_TITLES) + " |",
        "|" + " --- |" * len(COLUMN_TITLES),
    ]
    lines += ["| " + " | ".join(row) + " |" for row in table_rows(spec, effects)]
    return "\n".join(lines) + "\n"


def summarize(spec: Experiment, runs: Sequence[Run]) -> str:
    """Return a sentence on the runs and on the score of the first combination."""
    base_cell = cells(spec)[0]
    scores = [run.score for run in runs if run.cell == base_cell and not run.error]
    failed = sum(bool(run.error) for run in runs)
    mean = sum(scores) / len(scores) if scores else 0.0
    first = ", ".join(f"{factor.name} {factor.levels[0]}" for factor in spec.factor)
    failure_note = f"; {failed} runs failed and are left out" if failed else ""
    return (
        f"{len(runs)} runs over {len(list(days_with_seeds(spec)))} days. The first combination ({first}) has "
        f"the mean score {mean:.4f}{failure_note}."
    )


def as_csv(spec: Experiment, runs: Sequence[Run]) -> str:
    """Return all runs as CSV: levels, day, seed, score and the other figures."""
    figures = sorted({name for run in runs for name in run.figures})
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow([*(f.name for f in spec.factor), "day", "seed", "score", *figures, "broken", "error"])
    for run in sorted(runs, key=lambda run: run.key):
        levels = [f.levels[n] for f, n in zip(spec.factor, run.cell, strict=True)]
        writer.writerow(
            [
                *levels,
                run.day,
                run.seed,
                run.score,
                *(run.figures.get(name, "") for name in figures),
                " ".join(run.broken),
                run.error,
            ]
        )
    return out.getvalue()


def to_svg(figure: plt.Figure) -> str:  # type: ignore[name-defined]
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    return out.getvalue()[out.getvalue().index("<svg") :]


def plot_factors(spec: Experiment, effects: Sequence[Effect]) -> list[str]:
    """Plot for each factor that is varied alone the difference by level, with its confidence band."""
    plots = []
    for n, factor in enumerate(spec.factor):
        effect_by_level = {
            e.cell[n]: e for e in effects if e.cell[n] and not any(x for i, x in enumerate(e.cell) if i != n)
        }
        if not effect_by_level:
            continue
        points = [(factor.levels[0], 0.0, 0.0)] + [
            (factor.levels[level], effect.gain.mean, effect.gain.half_width or 0.0)
            for level, effect in sorted(effect_by_level.items())
        ]
        numeric = all(
            isinstance(level, int | float) and not isinstance(level, bool) for level, _, _ in points
        )
        if numeric:
            points.sort()
        positions = [level if numeric else i for i, (level, _, _) in enumerate(points)]
        figure, axes = plt.subplots(figsize=(5, 2.6))
        means, half_widths = [p[1] for p in points], [p[2] for p in points]
        axes.fill_between(
            positions,
            [m - h for m, h in zip(means, half_widths, strict=True)],
            [m + h for m, h in zip(means, half_widths, strict=True)],
            alpha=0.25,
        )
        axes.plot(positions, means, marker="o")
        axes.axhline(0, color="gray", linewidth=0.8)
        axes.set(title=factor.name, ylabel="score, against the first")
        if not numeric:
            axes.set_xticks(positions, [str(level) for level, _, _ in points])
        plots.append(to_svg(figure))
    return plots


def heat_map(spec: Experiment, effects: Sequence[Effect]) -> list[str]:
    """Plot for a grid of two factors the difference at each pair of levels."""
    if len(spec.factor) != 2 or spec.design != "grid":
        return []
    column_factor, row_factor = spec.factor
    gain_by_cell = {effect.cell: effect.gain.mean for effect in effects} | {(0, 0): 0.0}
    grid = [
        [gain_by_cell.get((column, row), float("nan")) for column in range(len(column_factor.levels))]
        for row in range(len(row_factor.levels))
    ]
    figure, axes = plt.subplots(figsize=(5, 3.5))
    max_abs_gain = max((abs(effect.gain.mean) for effect in effects), default=1.0) or 1.0
    image = axes.imshow(grid, cmap="RdYlGn", vmin=-max_abs_gain, vmax=max_abs_gain, aspect="auto")
    axes.set_xticks(range(len(column_factor.levels)), [str(level) for level in column_factor.levels])
    axes.set_yticks(range(len(row_factor.levels)), [str(level) for level in row_factor.levels])
    axes.set(xlabel=column_factor.name, ylabel=row_factor.name, title="score, against the first of both")
    figure.colorbar(image)
    return [to_svg(figure)]


def plot_days(spec: Experiment, runs: Sequence[Run]) -> str:
    """Plot ``1 - score`` for the 40 worst days of the first combination."""
    base_cell = cells(spec)[0]
    scores = sorted(
        (run.score, f"{run.day} {run.seed}") for run in runs if run.cell == base_cell and not run.error
    )[:40]
    figure, axes = plt.subplots(figsize=(8, 0.6 + 0.17 * len(scores)))
    axes.barh([name for _, name in scores], [1 - score for score, _ in scores])
    axes.invert_yaxis()
    axes.tick_params(axis="y", labelsize=7)
    axes.set(title="worst days", xlabel="1 - score")
    return to_svg(figure)


def render_page(spec: Experiment, runs: Sequence[Run], effects: Sequence[Effect]) -> str:
    """Return the report with its plots as one HTML page."""
    header_cells = "".join(f"<th>{html.escape(name)}</th>" for name in COLUMN_TITLES)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(text)}</td>" for text in row) + "</tr>"
        for row in table_rows(spec, effects)
    )
    plots = [*plot_factors(spec, effects), *heat_map(spec, effects), plot_days(spec, runs)]
    title, summary = html.escape(spec.title), html.escape(summarize(spec, runs))
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title><style>{STYLE}</style>'
        f"<h1>{title}</h1><p>{summary} A star marks significant differences.</p>"
        f"<table><tr>{header_cells}</tr>{body}</table>{''.join(plots)}</html>\n"
    )
