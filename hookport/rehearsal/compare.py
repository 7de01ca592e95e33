"""Compares two builds or two settings on the same seeds: the mean of the paired differences and its interval.

The half width is that of the two-sided 95 % confidence interval by Student's t on the pairs (Student, "The
Probable Error of a Mean", 1908); a single pair has no interval and gives no verdict.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

# 0.975 quantile of Student's t by degrees of freedom, from 1. Beyond the table the last entry is used, which
# makes the interval slightly too wide.
T_975 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
         2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
         2.045, 2.042)  # fmt: skip


@dataclass(frozen=True, slots=True)
class PairedDifference:
    """Mean difference A - B over some seeds; ``half_width`` is None for a single pair."""

    mean: float
    half_width: float | None
    seeds: int

    @property
    def is_significant(self) -> bool:
        return self.half_width is not None and abs(self.mean) > self.half_width

    @property
    def verdict(self) -> str:
        if self.half_width is None:
            return "no verdict: one pair gives no confidence interval"
        if not self.is_significant:
            return "no significant difference"
        return "A is better" if self.mean > 0 else "B is better"

    def __str__(self) -> str:
        interval = "" if self.half_width is None else f" ± {self.half_width:.3f}"
        return f"{self.mean:+.3f}{interval} over {self.seeds} seed{'s' * (self.seeds != 1)}: {self.verdict}"


def paired_difference(a: Sequence[float], b: Sequence[float]) -> PairedDifference:
    """Compare results of the same seeds pair by pair; raises ValueError if the lengths differ or are 0."""
    if len(a) != len(b) or not a:
        raise ValueError(f"cannot pair {len(a)} results with {len(b)}")
    differences = [x - y for x, y in zip(a, b, strict=True)]
    mean = statistics.fmean(differences)
    if len(differences) < 2:
        return PairedDifference(mean, None, len(differences))
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return PairedDifference(mean, T_975[min(len(differences) - 2, len(T_975) - 1)] * error, len(differences))
