"""The report as one self-contained HTML page: no script, no font, no picture from elsewhere."""

from __future__ import annotations

import html
from collections import defaultdict
from collections.abc import Iterable, Sequence

from hookport.rehearsal.history import Row
from hookport.rehearsal.judgement import Judgement
from hookport.rehearsal.score import OUTCOMES, rate_series

WIDTH, LEFT_MARGIN, RIGHT_MARGIN = 1100, 110, 20  # pixels
CURVE_HEIGHT, LANE_HEIGHT = 220, 16
SECOND = 1_000_000_000
INKS = {
    "offered": "#888", "served": "#1a7f37", "late": "#b8860b", "refused inside": "#c2410c",
    "refused beyond": "#6b8fb5", "failed": "#b91c1c", "unanswered": "#7e22ce", "never sent": "#111",
}  # fmt: skip
STYLE = """
body{font:14px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1120px;color:#1f2328;background:#fff}
h1{font-size:22px}h2{font-size:16px;margin-top:2em}table{border-collapse:collapse}
td,th{padding:2px 12px 2px 0;text-align:right;border-bottom:1px solid #e5e7eb}td:first-child,th:first-child{text-align:left}
.bad{color:#b91c1c;font-weight:600}.good{color:#1a7f37;font-weight:600}svg text{font:11px system-ui,sans-serif;fill:#444}
.key span{display:inline-block;margin-right:1.2em}.key i{display:inline-block;width:1em;height:3px;margin-right:.4em;vertical-align:middle}
li{margin:.15em 0}
"""  # noqa: E501


def text(value: object) -> str:
    return html.escape(str(value))


class Chart:
    """Places seconds on a common axis."""

    def __init__(self, length_s: float) -> None:
        self.length_s = length_s

    def x(self, at_s: float) -> float:
        at_s = min(max(at_s, 0.0), self.length_s)
        return round(LEFT_MARGIN + at_s / self.length_s * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN), 1)

    def axis(self, y: float) -> str:
        step = next((s for s in (1, 2, 5, 10, 20, 60, 120) if self.length_s / s <= 14), 300)
        ticks = "".join(
            f'<text x="{self.x(at)}" y="{y + 14}" text-anchor="middle">{at} s</text>'
            for at in range(0, int(self.length_s) + 1, step)
        )
        return (
            f'<line x1="{LEFT_MARGIN}" x2="{WIDTH - RIGHT_MARGIN}" y1="{y}" y2="{y}" stroke="#999"/>{ticks}'
        )

    def marks(self, faults: Iterable[Row], height: float) -> str:
        """The faults, numbered as in the list below the chart."""
        parts = []
        for number, row in enumerate(faults, 1):
            x = self.x(row["t"] / SECOND)
            parts.append(
                f'<g><title>{text(row["text"])}</title><line x1="{x}" x2="{x}" y1="14" y2="{height}" '
                f'stroke="#b91c1c" stroke-dasharray="2 3" opacity=".6"/>'
                f'<text x="{x}" y="11" text-anchor="middle">{number}</text></g>'
            )
        return "".join(parts)


def svg(height: float, body: str, label: str) -> str:
    return (
        f'<svg viewBox="0 0 {WIDTH} {height}" width="100%" role="img" aria-label="{text(label)}">{body}</svg>'
    )


def curve_chart(judgement: Judgement, chart: Chart, faults: Sequence[Row]) -> str:
    lines = rate_series(judgement.plan, judgement.rows)
    top = max(1.0, *lines["offered"])
    bottom = CURVE_HEIGHT - 20

    def y(value: float) -> float:
        return round(bottom - value / top * (bottom - 20), 1)

    parts = [chart.axis(bottom), chart.marks(faults, bottom)]
    for part in (0.5, 1.0):
        parts.append(
            f'<text x="{LEFT_MARGIN - 6}" y="{y(top * part) + 4}" text-anchor="end">{top * part:.0f}/s</text>'
        )
    for name, values in lines.items():
        if any(values):
            points = " ".join(f"{chart.x(n)},{y(value)}" for n, value in enumerate(values[:-1]))
            parts.append(
                f'<polyline fill="none" stroke="{INKS[name]}" stroke-width="1.5" points="{points}">'
                f"<title>{name}</title></polyline>"
            )
    return svg(CURVE_HEIGHT, "".join(parts), "requests a second, by how they ended")


def heat(chart: Chart, times: Iterable[float], y: float, ink: str) -> str:
    """One cell a second, darker where more came."""
    seconds: dict[int, int] = defaultdict(int)
    for at_s in times:
        seconds[int(at_s)] += 1
    top = max(seconds.values(), default=1)
    width = max(0.8, (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) / chart.length_s)
    return "".join(
        f'<rect x="{chart.x(n)}" y="{y}" width="{width:.1f}" height="{LANE_HEIGHT - 3}" fill="{ink}" '
        f'opacity="{0.1 + 0.8 * count / top:.2f}"/>'
        for n, count in sorted(seconds.items())
        if 0 <= n < chart.length_s
    )


def span(chart: Chart, begin_s: float, end_s: float, y: float, ink: str, why: str) -> str:
    width = max(1.0, chart.x(end_s) - chart.x(begin_s))
    return (
        f'<rect x="{chart.x(begin_s)}" y="{y}" width="{width:.1f}" height="{LANE_HEIGHT - 3}" fill="{ink}">'
        f"<title>{text(why)}</title></rect>"
    )


def lanes(judgement: Judgement, chart: Chart) -> str:
    """One lane for each server and limiter: how busy it was, and when it was down or cold."""
    rows, plan = judgement.rows, judgement.plan
    by_index: dict[int, list[Row]] = defaultdict(list)
    place: dict[str, int] = {}
    for row in rows:
        if row["e"] in ("up", "down"):
            by_index[row["i"]].append(row)
            place[row["s"]] = row["i"]
    came: dict[int, list[float]] = defaultdict(list)
    asked: dict[int, list[float]] = defaultdict(list)
    limits: dict[int, list[Row]] = defaultdict(list)
    for row in rows:
        if row["e"] == "arrive":
            came[place.get(row["s"], -1)].append(row["t"] / SECOND)
        elif row["e"] == "ask":
            asked[row["l"]].append(row["t"] / SECOND)
        elif row["e"] == "limiter":
            limits[row["l"]].append(row)
    parts, y = [], 4.0
    for limiter in range(plan.limiters.count):
        parts.append(f'<text x="4" y="{y + 11}">limiter {limiter}</text>')
        parts.append(heat(chart, asked[limiter], y, "#6d28d9"))
        down_s: float | None = None
        for row in limits[limiter]:
            at_s = row["t"] / SECOND
            if row["what"] in ("kill", "exit", "gone", "overdue", "stop"):
                down_s = at_s
            elif row["what"] in ("ready", "cont") and down_s is not None:
                parts.append(span(chart, down_s, at_s, y, "#b91c1c", "down"))
                down_s = None
        y += LANE_HEIGHT
    y += 6
    for index in sorted(by_index):
        parts.append(f'<text x="4" y="{y + 11}">server {index}</text>')
        parts.append(heat(chart, came[index], y, "#0f766e"))
        down_s = None
        for row in by_index[index]:
            at_s = row["t"] / SECOND
            if row["e"] == "down":
                down_s = at_s
            elif row["cold"]:
                parts.append(span(chart, down_s or at_s, at_s, y, "#b91c1c", "down"))
                end_s = at_s + plan.fleet.cold_s
                bar = span(chart, at_s, end_s, y + LANE_HEIGHT - 6, "#0ea5e9", "cold")
                parts.append(bar.replace(f'height="{LANE_HEIGHT - 3}"', 'height="3"'))
                down_s = None
        if down_s is not None and down_s < plan.length_s:
            parts.append(span(chart, down_s, plan.length_s, y, "#b91c1c", "down"))
        y += LANE_HEIGHT
    return svg(y + 20, "".join(parts) + chart.axis(y), "limiters and servers over the evening")


def figures(columns: Sequence[tuple[str, Judgement]]) -> str:
    rows: list[tuple[str, list[str]]] = []

    def add(name: str, values: Iterable[str]) -> None:
        rows.append((name, list(values)))

    all_of = [judgement for _, judgement in columns]
    add("score", ("void" if j.void else f"{j.score.score:.3f}" for j in all_of))
    add("whole evening", (f"{j.score.whole:.3f}" for j in all_of))
    add("worst 10 s", (f"{j.score.worst_window:.3f} (from {j.score.worst_window_at_s} s)" for j in all_of))
    add("worst plan", (f"{j.score.worst_plan:.3f}" for j in all_of))
    add("requests", (str(j.score.requests) for j in all_of))
    for name in OUTCOMES:
        add(name, (str(j.score.outcomes[name]) for j in all_of))
    add("sent on beyond quotas", (f"{j.score.beyond_units:.1%}" for j in all_of))
    add("work wasted", (f"{j.score.wasted_work:.1%}" for j in all_of))
    add("counter calls a try", (f"{j.score.counter_calls:.2f}" for j in all_of))
    add("CPU a try", (f"{j.score.cpu_ms:.2f} ms" for j in all_of))
    add("peak memory", (f"{max(j.score.peak_mb, default=0):.0f} MB" for j in all_of))
    head = "".join(f"<th>{text(name)}</th>" for name, _ in columns)
    body = "".join(
        f"<tr><td>{text(name)}</td>{''.join(f'<td>{text(value)}</td>' for value in values)}</tr>"
        for name, values in rows
    )
    return f"<table><tr><th></th>{head}</tr>{body}</table>"


def render_page(columns: Sequence[tuple[str, Judgement]]) -> str:
    """The page of one evening; the first column is the one it is about, the others stand beside it."""
    judgement = columns[0][1]
    chart = Chart(judgement.plan.length_s)
    faults = [row for row in judgement.rows if row["e"] == "fault"]
    verdict = {"kept": '<span class="good">all rules kept</span>', "void": f'<span class="bad">void: '
               f'{text(judgement.void)}</span>', "broken": '<span class="bad">broken: '
               f'{text(", ".join(judgement.broken))}</span>'}[judgement.verdict]  # fmt: skip
    key = "".join(f'<span><i style="background:{ink}"></i>{name}</span>' for name, ink in INKS.items())
    told = "".join(f"<li>{row['t'] / SECOND:.1f} s: {text(row['text'])}</li>" for row in faults)
    broken = "".join(
        f"<li>{b.at_ns / SECOND:.3f} s: <b>{text(b.rule)}</b>: {text(b.text)}</li>"
        for b in judgement.breaches[:100]
    )
    title = text(f"{judgement.plan.title}, seed {judgement.head['seed']}")
    breaches = f"<h2>Breaches ({len(judgement.breaches)})</h2><ol>{broken}</ol>" if broken else ""
    return (
        f'<!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><title>{title}</title>'
        f"<style>{STYLE}</style></head><body><h1>{title}</h1><p>{verdict}</p>{figures(columns)}"
        f"<h2>Requests a second</h2><p class='key'>{key}</p>{curve_chart(judgement, chart, faults)}"
        "<h2>Limiters and servers</h2><p>Darker: more came. Red: down. Blue below a lane: cold.</p>"
        f"{lanes(judgement, chart)}<h2>What happened</h2><ol>{told}</ol>{breaches}</body></html>\n"
    )
