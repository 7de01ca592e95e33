"""The report as one self-contained HTML page without scripts or external resources."""

from __future__ import annotations

import html
from collections import defaultdict
from collections.abc import Iterable, Sequence

from hookport.rehearsal.history import Row
from hookport.rehearsal.judgement import Judgement
from hookport.rehearsal.score import OUTCOMES, rate_series

WIDTH, LEFT_MARGIN, RIGHT_MARGIN = 1100, 110, 20  # pixels
CURVE_HEIGHT, LANE_HEIGHT = 220, 16  # pixels
SECOND_NS = 1_000_000_000
COLORS = {
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


def escape(value: object) -> str:
    return html.escape(str(value))


class Chart:
    """The time axis that the charts of a page share."""

    def __init__(self, length_s: float) -> None:
        self.length_s = length_s

    def x(self, at_s: float) -> float:
        """Return the x coordinate in pixels of a time in seconds."""
        at_s = min(max(at_s, 0.0), self.length_s)
        return round(LEFT_MARGIN + at_s / self.length_s * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN), 1)

    def axis(self, y: float) -> str:
        step_s = next((s for s in (1, 2, 5, 10, 20, 60, 120) if self.length_s / s <= 14), 300)
        ticks = "".join(
            f'<text x="{self.x(at)}" y="{y + 14}" text-anchor="middle">{at} s</text>'
            for at in range(0, int(self.length_s) + 1, step_s)
        )
        return (
            f'<line x1="{LEFT_MARGIN}" x2="{WIDTH - RIGHT_MARGIN}" y1="{y}" y2="{y}" stroke="#999"/>{ticks}'
        )

    def fault_marks(self, faults: Iterable[Row], height: float) -> str:
        """Draw the faults, numbered as in the list below the charts."""
        parts = []
        for number, row in enumerate(faults, 1):
            x = self.x(row["t"] / SECOND_NS)
            parts.append(
                f'<g><title>{escape(row["text"])}</title><line x1="{x}" x2="{x}" y1="14" y2="{height}" '
                f'stroke="#b91c1c" stroke-dasharray="2 3" opacity=".6"/>'
                f'<text x="{x}" y="11" text-anchor="middle">{number}</text></g>'
            )
        return "".join(parts)


def svg(height: float, body: str, label: str) -> str:
    return (
        f'<svg viewBox="0 0 {WIDTH} {height}" width="100%" role="img" '
        f'aria-label="{escape(label)}">{body}</svg>'
    )


def curve_chart(judgement: Judgement, chart: Chart, faults: Sequence[Row]) -> str:
    lines = rate_series(judgement.plan, judgement.rows)
    top = max(1.0, *lines["offered"])
    bottom = CURVE_HEIGHT - 20

    def y(value: float) -> float:
        return round(bottom - value / top * (bottom - 20), 1)

    parts = [chart.axis(bottom), chart.fault_marks(faults, bottom)]
    for share in (0.5, 1.0):
        parts.append(
            f'<text x="{LEFT_MARGIN - 6}" y="{y(top * share) + 4}" text-anchor="end">'
            f"{top * share:.0f}/s</text>"
        )
    for name, values in lines.items():
        if any(values):
            points = " ".join(f"{chart.x(n)},{y(value)}" for n, value in enumerate(values[:-1]))
            parts.append(
                f'<polyline fill="none" stroke="{COLORS[name]}" stroke-width="1.5" points="{points}">'
                f"<title>{name}</title></polyline>"
            )
    return svg(CURVE_HEIGHT, "".join(parts), "requests per second by outcome")


def heat_strip(chart: Chart, times: Iterable[float], y: float, color: str) -> str:
    """One cell per second, darker for more events."""
    seconds: dict[int, int] = defaultdict(int)
    for at_s in times:
        seconds[int(at_s)] += 1
    top = max(seconds.values(), default=1)
    width = max(0.8, (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) / chart.length_s)
    return "".join(
        f'<rect x="{chart.x(n)}" y="{y}" width="{width:.1f}" height="{LANE_HEIGHT - 3}" fill="{color}" '
        f'opacity="{0.1 + 0.8 * count / top:.2f}"/>'
        for n, count in sorted(seconds.items())
        if 0 <= n < chart.length_s
    )


def span_rect(chart: Chart, begin_s: float, end_s: float, y: float, color: str, why: str) -> str:
    width = max(1.0, chart.x(end_s) - chart.x(begin_s))
    return (
        f'<rect x="{chart.x(begin_s)}" y="{y}" width="{width:.1f}" height="{LANE_HEIGHT - 3}" fill="{color}">'
        f"<title>{escape(why)}</title></rect>"
    )


def timeline_chart(judgement: Judgement, chart: Chart) -> str:
    """One lane per limiter and server: its load, and when it was down or cold."""
    rows, plan = judgement.rows, judgement.plan
    by_index: dict[int, list[Row]] = defaultdict(list)
    index_by_id: dict[str, int] = {}
    for row in rows:
        if row["e"] in ("up", "down"):
            by_index[row["i"]].append(row)
            index_by_id[row["s"]] = row["i"]
    arrivals: dict[int, list[float]] = defaultdict(list)
    attempts: dict[int, list[float]] = defaultdict(list)
    limiter_rows: dict[int, list[Row]] = defaultdict(list)
    for row in rows:
        if row["e"] == "arrive":
            arrivals[index_by_id.get(row["s"], -1)].append(row["t"] / SECOND_NS)
        elif row["e"] == "ask":
            attempts[row["l"]].append(row["t"] / SECOND_NS)
        elif row["e"] == "limiter":
            limiter_rows[row["l"]].append(row)
    parts, y = [], 4.0
    for limiter in range(plan.limiters.count):
        parts.append(f'<text x="4" y="{y + 11}">limiter {limiter}</text>')
        parts.append(heat_strip(chart, attempts[limiter], y, "#6d28d9"))
        down_s: float | None = None
        for row in limiter_rows[limiter]:
            at_s = row["t"] / SECOND_NS
            if row["what"] in ("kill", "exit", "gone", "overdue", "stop"):
                down_s = at_s
            elif row["what"] in ("ready", "cont") and down_s is not None:
                parts.append(span_rect(chart, down_s, at_s, y, "#b91c1c", "down"))
                down_s = None
        y += LANE_HEIGHT
    y += 6
    for index in sorted(by_index):
        parts.append(f'<text x="4" y="{y + 11}">server {index}</text>')
        parts.append(heat_strip(chart, arrivals[index], y, "#0f766e"))
        down_s = None
        for row in by_index[index]:
            at_s = row["t"] / SECOND_NS
            if row["e"] == "down":
                down_s = at_s
            elif row["cold"]:
                parts.append(span_rect(chart, down_s or at_s, at_s, y, "#b91c1c", "down"))
                end_s = at_s + plan.fleet.cold_s
                bar = span_rect(chart, at_s, end_s, y + LANE_HEIGHT - 6, "#0ea5e9", "cold")
                parts.append(bar.replace(f'height="{LANE_HEIGHT - 3}"', 'height="3"'))
                down_s = None
        if down_s is not None and down_s < plan.length_s:
            parts.append(span_rect(chart, down_s, plan.length_s, y, "#b91c1c", "down"))
        y += LANE_HEIGHT
    return svg(y + 20, "".join(parts) + chart.axis(y), "limiters and servers over the run")


def figure_table(columns: Sequence[tuple[str, Judgement]]) -> str:
    rows: list[tuple[str, list[str]]] = []

    def add(name: str, values: Iterable[str]) -> None:
        rows.append((name, list(values)))

    judgements = [judgement for _, judgement in columns]
    add("score", ("void" if j.void else f"{j.score.score:.3f}" for j in judgements))
    add("whole evening", (f"{j.score.whole:.3f}" for j in judgements))
    add(
        "worst 10 s", (f"{j.score.worst_window:.3f} (from {j.score.worst_window_at_s} s)" for j in judgements)
    )
    add("worst plan", (f"{j.score.worst_plan:.3f}" for j in judgements))
    add("requests", (str(j.score.requests) for j in judgements))
    for name in OUTCOMES:
        add(name, (str(j.score.outcomes[name]) for j in judgements))
    add("sent on beyond quotas", (f"{j.score.beyond_units:.1%}" for j in judgements))
    add("work wasted", (f"{j.score.wasted_work:.1%}" for j in judgements))
    add("counter calls a try", (f"{j.score.counter_calls:.2f}" for j in judgements))
    add("CPU a try", (f"{j.score.cpu_ms:.2f} ms" for j in judgements))
    add("peak memory", (f"{max(j.score.peak_mb, default=0):.0f} MB" for j in judgements))
    head = "".join(f"<th>{escape(name)}</th>" for name, _ in columns)
    body = "".join(
        f"<tr><td>{escape(name)}</td>{''.join(f'<td>{escape(value)}</td>' for value in values)}</tr>"
        for name, values in rows
    )
    return f"<table><tr><th></th>{head}</tr>{body}</table>"


def render_page(columns: Sequence[tuple[str, Judgement]]) -> str:
    """Render the report on the first column's run; the other columns are shown for comparison."""
    judgement = columns[0][1]
    chart = Chart(judgement.plan.length_s)
    faults = [row for row in judgement.rows if row["e"] == "fault"]
    verdict = {"kept": '<span class="good">all rules kept</span>', "void": f'<span class="bad">void: '
               f'{escape(judgement.void)}</span>', "broken": '<span class="bad">broken: '
               f'{escape(", ".join(judgement.broken))}</span>'}[judgement.verdict]  # fmt: skip
    legend = "".join(
        f'<span><i style="background:{color}"></i>{name}</span>' for name, color in COLORS.items()
    )
    events = "".join(f"<li>{row['t'] / SECOND_NS:.1f} s: {escape(row['text'])}</li>" for row in faults)
    breach_items = "".join(
        f"<li>{b.at_ns / SECOND_NS:.3f} s: <b>{escape(b.rule)}</b>: {escape(b.text)}</li>"
        for b in judgement.breaches[:100]
    )
    title = escape(f"{judgement.plan.title}, seed {judgement.head['seed']}")
    breaches = f"<h2>Breaches ({len(judgement.breaches)})</h2><ol>{breach_items}</ol>" if breach_items else ""
    return (
        f'<!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><title>{title}</title>'
        f"<style>{STYLE}</style></head><body><h1>{title}</h1><p>{verdict}</p>{figure_table(columns)}"
        f"<h2>Requests a second</h2><p class='key'>{legend}</p>{curve_chart(judgement, chart, faults)}"
        "<h2>Limiters and servers</h2><p>Darker: more events. Red: down. Blue below a lane: cold.</p>"
        f"{timeline_chart(judgement, chart)}<h2>What happened</h2><ol>{events}</ol>{breaches}</body></html>\n"
    )
