"""Two builds or two settings on the same seeds: the mean of the paired differences, with its noise.

The half width is that of the two-sided 95 % interval by Student's t on the pairs (Student, "The Probable
Error of a Mean", 1908); a single pair has none and gives no verdict.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

# Quantile 0.975 of Student's t by degrees of freedom; beyond the table the last serves, a little too wide.
T_975 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
         2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
         2.045, 2.042)  # fmt: skip


@dataclass(frozen=True, slots=True)
class PairedDifference:
    """A against B over some seeds; ``half_width`` is None where one pair cannot tell the noise."""

    mean: float
    half_width: float | None
    seeds: int

    @property
    def is_significant(self) -> bool:
        return self.half_width is not None and abs(self.mean) > self.half_width

    @property
    def verdict(self) -> str:
        if self.half_width is None:
            return "no verdict: one pair does not tell the noise"
        if not self.is_significant:
            return "no difference that stands out of the noise"
        return "A is better" if self.mean > 0 else "B is better"

    def __str__(self) -> str:
        half = "" if self.half_width is None else f" ± {self.half_width:.3f}"
        return f"{self.mean:+.3f}{half} over {self.seeds} seed{'s' * (self.seeds != 1)}: {self.verdict}"


def paired_difference(a: Sequence[float], b: Sequence[float]) -> PairedDifference:
    """Compare results of the same seeds, pair by pair; raises ValueError if they do not pair up."""
    if len(a) != len(b) or not a:
        raise ValueError(f"{len(a)} results against {len(b)} do not make pairs")
    differences = [x - y for x, y in zip(a, b, strict=True)]
    mean = statistics.fmean(differences)
    if len(differences) < 2:
        return PairedDifference(mean, None, len(differences))
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return PairedDifference(mean, T_975[min(len(differences) - 2, len(T_975) - 1)] * error, len(differences))
