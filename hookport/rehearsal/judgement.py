"""The judgement of a run: the breaches, whether the run is valid, and the score; can be written as JSON."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from hookport.rehearsal import history, referee
from hookport.rehearsal import plan as plans
from hookport.rehearsal.score import Score, score


@dataclass(slots=True)
class Judgement:
    """The result of judging one history; the same history always gives the same judgement."""

    plan: plans.Plan
    head: history.Row
    rows: list[history.Row]
    breaches: list[referee.Breach]
    void: str  # why the run is invalid; empty if it is valid
    score: Score

    @property
    def broken(self) -> list[str]:
        """The names of the broken rules, in the order of RULES."""
        return sorted({breach.rule for breach in self.breaches}, key=referee.RULES.index)

    @property
    def verdict(self) -> str:
        """One of ``void``, ``broken`` and ``kept``."""
        if self.void:
            return "void"
        return "broken" if self.breaches else "kept"

    def to_dict(self) -> dict[str, Any]:
        """Return built-in types, for JSON."""
        return {
            "title": self.plan.title,
            "seed": self.head["seed"],
            "digest": self.head.get("digest", ""),
            "limiter": self.head.get("command", ""),
            "verdict": self.verdict,
            "void": self.void,
            "broken": self.broken,
            "breaches": [
                {"rule": b.rule, "at_s": round(b.at_ns / 1e9, 3), "text": b.text} for b in self.breaches
            ],
            "score": self.score.to_dict(),
        }

    def breach_counts(self) -> Counter[str]:
        return Counter(breach.rule for breach in self.breaches)


def judge(head: history.Row, rows: list[history.Row], file: str = "the history") -> Judgement:
    """Judge a history; raises PlanError if its head holds no valid plan."""
    plan = plans.build(head["plan"], f"{file}: line 1: plan")
    breaches = referee.judge(plan, rows)
    return Judgement(plan, head, rows, breaches, referee.void_reason(plan, rows), score(plan, rows))


def judge_file(path: Path | str) -> Judgement:
    """Judge a saved history; raises HistoryError or PlanError with the place and the remedy."""
    head, rows = history.read(path)
    try:
        return judge(head, rows, str(path))
    except (KeyError, IndexError, TypeError) as error:
        raise history.HistoryError(
            f"{path}: its lines are inconsistent ({type(error).__name__}: {error}): "
            "use the file as it was written"
        ) from error


def dump(value: object) -> bytes:
    return msgspec.json.format(msgspec.json.encode(value), indent=2) + b"\n"
