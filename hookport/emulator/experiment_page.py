"""What an experiment came to: a table, CSV, and one HTML page that needs no network."""

from __future__ import annotations

import csv
import html
import io
from collections.abc import Sequence

import matplotlib

matplotlib.use("svg")
import matplotlib.pyplot as plt  # noqa: E402

from hookport.emulator.experiment import TELL, Effect, Experiment, Run, cells, chosen_days, named  # noqa: E402

STYLE = """body{font:15px/1.5 system-ui,sans-serif;margin:2em auto;max-width:60em;padding:0 1em}
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}"""
HEADS = (
    "combination",
    "against the first",
    "95 %",
    "pairs",
    f"to tell {TELL:g}",
    "loses most on",
    "broke a rule",
)


def rows(told: Experiment, found: Sequence[Effect]) -> list[tuple[str, ...]]:
    """The effects as text, the best first."""
    return [
        (
            named(told, effect.cell),
            f"{effect.gain.mean:+.4f}" + (" *" if effect.gain.is_significant else ""),
            "" if effect.gain.half_width is None else f"± {effect.gain.half_width:.4f}",
            str(effect.gain.seeds),
            str(effect.needed) if effect.needed else "",
            f"{effect.worst[0]} ({effect.worst[1]:+.3f})",
            str(effect.broke),
        )
        for effect in sorted(found, key=lambda effect: -effect.gain.mean)
    ]


def markdown(told: Experiment, runs: Sequence[Run], found: Sequence[Effect]) -> str:
    """One table; a star stands at what stands out of the noise."""
    lines = [
        f"# {told.title}",
        "",
        summary(told, runs),
        "",
        "| " + " | ".join(HEADS) + " |",
        "|" + " --- |" * len(HEADS),
    ]
    lines += ["| " + " | ".join(row) + " |" for row in rows(told, found)]
    return "\n".join(lines) + "\n"


def summary(told: Experiment, runs: Sequence[Run]) -> str:
    """What was played, in words."""
    base = cells(told)[0]
    scores = [run.score for run in runs if run.cell == base and not run.error]
    failed = sum(bool(run.error) for run in runs)
    mean = sum(scores) / len(scores) if scores else 0.0
    first = ", ".join(f"{factor.name} {factor.levels[0]}" for factor in told.factor)
    note = f"; {failed} runs ended in an error and are left out" if failed else ""
    return (
        f"{len(runs)} runs over {len(list(chosen_days(told)))} days. The first combination ({first}) scores "
        f"{mean:.4f} on the mean{note}."
    )


def as_csv(told: Experiment, runs: Sequence[Run]) -> str:
    """Every run as a line: the levels, the day, the seed, the score and the figures beside it."""
    figures = sorted({name for run in runs for name in run.figures})
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow([*(f.name for f in told.factor), "day", "seed", "score", *figures, "broken", "error"])
    for run in sorted(runs, key=lambda run: run.key):
        levels = [f.levels[n] for f, n in zip(told.factor, run.cell, strict=True)]
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


def svg(figure: plt.Figure) -> str:  # type: ignore[name-defined]
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    return out.getvalue()[out.getvalue().index("<svg") :]


def curves(told: Experiment, found: Sequence[Effect]) -> list[str]:
    """For each factor alone: the difference by level, with its band."""
    plots = []
    for n, factor in enumerate(told.factor):
        alone = {
            e.cell[n]: e for e in found if e.cell[n] and not any(x for i, x in enumerate(e.cell) if i != n)
        }
        if not alone:
            continue
        points = [(factor.levels[0], 0.0, 0.0)] + [
            (factor.levels[level], effect.gain.mean, effect.gain.half_width or 0.0)
            for level, effect in sorted(alone.items())
        ]
        numeric = all(
            isinstance(level, int | float) and not isinstance(level, bool) for level, _, _ in points
        )
        if numeric:
            points.sort()
        at = [level if numeric else i for i, (level, _, _) in enumerate(points)]
        figure, axes = plt.subplots(figsize=(5, 2.6))
        mean, half = [p[1] for p in points], [p[2] for p in points]
        axes.fill_between(
            at,
            [m - h for m, h in zip(mean, half, strict=True)],
            [m + h for m, h in zip(mean, half, strict=True)],
            alpha=0.25,
        )
        axes.plot(at, mean, marker="o")
        axes.axhline(0, color="gray", linewidth=0.8)
        axes.set(title=factor.name, ylabel="score, against the first")
        if not numeric:
            axes.set_xticks(at, [str(level) for level, _, _ in points])
        plots.append(svg(figure))
    return plots


def heat(told: Experiment, found: Sequence[Effect]) -> list[str]:
    """Of a grid of two factors: the difference at each pair of levels."""
    if len(told.factor) != 2 or told.design != "grid":
        return []
    across, down = told.factor
    by_cell = {effect.cell: effect.gain.mean for effect in found} | {(0, 0): 0.0}
    grid = [
        [by_cell.get((a, d), float("nan")) for a in range(len(across.levels))]
        for d in range(len(down.levels))
    ]
    figure, axes = plt.subplots(figsize=(5, 3.5))
    most = max((abs(effect.gain.mean) for effect in found), default=1.0) or 1.0
    image = axes.imshow(grid, cmap="RdYlGn", vmin=-most, vmax=most, aspect="auto")
    axes.set_xticks(range(len(across.levels)), [str(level) for level in across.levels])
    axes.set_yticks(range(len(down.levels)), [str(level) for level in down.levels])
    axes.set(xlabel=across.name, ylabel=down.name, title="score, against the first of both")
    figure.colorbar(image)
    return [svg(figure)]


def ranked(told: Experiment, runs: Sequence[Run]) -> str:
    """The days of the first combination by what they lose of a full score, the worst first."""
    base = cells(told)[0]
    scores = sorted(
        (run.score, f"{run.day} {run.seed}") for run in runs if run.cell == base and not run.error
    )[:40]
    figure, axes = plt.subplots(figsize=(8, 0.6 + 0.17 * len(scores)))
    axes.barh([name for _, name in scores], [1 - score for score, _ in scores])
    axes.invert_yaxis()
    axes.tick_params(axis="y", labelsize=7)
    axes.set(title="days by what is lost", xlabel="1 - score")
    return svg(figure)


def page(told: Experiment, runs: Sequence[Run], found: Sequence[Effect]) -> str:
    """The whole report as one page, plots among it."""
    head = "".join(f"<th>{html.escape(name)}</th>" for name in HEADS)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(text)}</td>" for text in row) + "</tr>"
        for row in rows(told, found)
    )
    plots = [*curves(told, found), *heat(told, found), ranked(told, runs)]
    title, words = html.escape(told.title), html.escape(summary(told, runs))
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title><style>{STYLE}</style>'
        f"<h1>{title}</h1><p>{words} A star stands at what stands out of the noise.</p>"
        f"<table><tr>{head}</tr>{body}</table>{''.join(plots)}</html>\n"
    )
