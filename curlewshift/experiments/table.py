"""What came of an experiment: medians with confidence intervals, and differences paired over seeds."""

from __future__ import annotations

from dataclasses import dataclass

import numpy

from curlewshift.experiments.experiment import Experiment, Run

DRAWS = 2000
WITHIN = (2.5, 97.5)


@dataclass(slots=True)
class Cell:
    """One combination of levels and one measure. `wrong` counts runs that broke a rule or did not end: with any of
    those its figure counts for nothing. `against` is the difference to the baseline's level, paired over seeds."""

    levels: tuple[tuple[str, str], ...]
    measure: str
    seeds: int
    median: float
    low: float
    high: float
    wrong: int
    against: tuple[float, float, float] | None = None


def interval(values: list[float], seed: int = 1) -> tuple[float, float, float]:
    """Median and its bootstrap interval of 95% (Efron 1979, percentiles)."""
    array = numpy.asarray(values, float)
    if not len(array):
        return (0.0, 0.0, 0.0)
    draws = numpy.random.Generator(numpy.random.PCG64(seed)).integers(0, len(array), (DRAWS, len(array)))
    low, high = numpy.percentile(numpy.median(array[draws], axis=1), WITHIN)
    return float(numpy.median(array)), float(low), float(high)


def cells(experiment: Experiment, done: dict[Run, dict]) -> list[Cell]:
    by_levels: dict[tuple, dict[int, dict]] = {}
    for run, figures in done.items():
        by_levels.setdefault(run.levels, {})[run.seed] = figures
    order = {run.levels: number for number, run in enumerate(experiment.runs())}
    found = []
    for levels in sorted((one for one in by_levels if one in order), key=order.get):
        runs = by_levels[levels]
        sound = {seed: figures for seed, figures in runs.items() if "wrong" not in figures}
        wrong = len(runs) - len(sound)
        base = by_levels.get((*levels[:-1], (levels[-1][0], experiment.baseline)), {}) if experiment.baseline else {}
        for measure in experiment.measures:
            values = [figures[measure] for figures in sound.values() if measure in figures]
            pairs = [
                figures[measure] - base[seed][measure]
                for seed, figures in sound.items()
                if seed in base and "wrong" not in base[seed] and measure in figures
            ]
            against = interval(pairs) if pairs and levels[-1][1] != experiment.baseline else None
            found.append(Cell(levels, measure, len(values), *interval(values), wrong, against))
    return found
