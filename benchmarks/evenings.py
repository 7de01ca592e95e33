"""A plan of the rehearsal kit at many seeds, in the whole depth: how its figures spread.

    python benchmarks/evenings.py PLAN [SEEDS]

On all cores, 40 seeds unless told otherwise. Where the edges of the counter's windows fall in an evening is
drawn with the seed, so a trouble meets them in every place. Prints, for each figure, the mean, the median,
the 95th of 100 on the worse side, the worst and its seed; then the evenings that broke a rule, by seed. The
exit status is 1 if one did."""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed

from hookport.emulator import whole
from hookport.rehearsal import plan as plans

WORST_IS_LEAST = {"score"}


def play(name: str, seed: int) -> tuple[int, dict[str, float], list[str]]:
    judged, _ = whole.play_and_judge(plans.load(name), seed)
    score = judged.score
    figures = {
        "score": score.score,
        "beyond_units": score.beyond_units,
        "refused_with_room": score.refused_with_room,
        "counter_calls": score.counter_calls,
        **{f"debt {name} (units)": debt for name, debt in score.debts.items()},
    }
    return seed, figures, [breach.text for breach in judged.breaches] + [judged.void] * bool(judged.void)


def main() -> int:
    name, seeds = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 40
    played = []
    with ProcessPoolExecutor() as pool:
        for job in as_completed([pool.submit(play, name, seed) for seed in range(1, seeds + 1)]):
            played.append(job.result())
            print(f"{len(played)} of {seeds} evenings", end="\r", file=sys.stderr, flush=True)
    played.sort()
    title = f"{name}, {seeds} seeds"
    print(f"{title:30}      mean    median     of 95     worst  seed")
    for figure in played[0][1]:
        values = {seed: figures.get(figure, 0.0) for seed, figures, _ in played}
        least = figure in WORST_IS_LEAST
        worst = (min if least else max)(values, key=lambda seed: values[seed])
        most = sorted(values.values(), reverse=least)
        print(
            f"{figure:30}  {statistics.mean(most):8.3f}  {statistics.median(most):8.3f}  "
            f"{most[int(0.95 * (len(most) - 1))]:8.3f}  "
            f"{values[worst]:8.3f}  {worst:4d}"
        )
    for seed, _, broken in played:
        if broken:
            print(f"seed {seed}: {broken[0]}" + (f", and {len(broken) - 1} more" if broken[1:] else ""))
    return any(broken for _, _, broken in played)


if __name__ == "__main__":
    sys.exit(main())
