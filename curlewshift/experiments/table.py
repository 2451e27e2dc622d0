"""Results of an experiment: medians with confidence intervals, and differences paired over seeds."""

from __future__ import annotations

from dataclasses import dataclass

import numpy

from curlewshift.experiments.experiment import Experiment, Run

BOOTSTRAP_RESAMPLES = 2000
CONFIDENCE_PERCENTILES = (2.5, 97.5)


@dataclass(slots=True)
class Cell:
    """One combination of levels and one measure.

    `invalid_runs` counts runs that broke a rule or did not end. They are left out of the figures, and a cell with any of them
    is not a valid result. `difference` is the difference to the baseline's level, paired over seeds, with its interval.
    """

    levels: tuple[tuple[str, str], ...]
    measure: str
    seeds: int
    median: float
    low: float
    high: float
    invalid_runs: int
    difference: tuple[float, float, float] | None = None


def interval(values: list[float], seed: int = 1) -> tuple[float, float, float]:
    """Median and its 95% bootstrap interval (percentile method, Efron 1979)."""
    array = numpy.asarray(values, float)
    if not len(array):
        return (0.0, 0.0, 0.0)
    draws = numpy.random.Generator(numpy.random.PCG64(seed)).integers(0, len(array), (BOOTSTRAP_RESAMPLES, len(array)))
    low, high = numpy.percentile(numpy.median(array[draws], axis=1), CONFIDENCE_PERCENTILES)
    return float(numpy.median(array)), float(low), float(high)


def cells(experiment: Experiment, done: dict[Run, dict]) -> list[Cell]:
    """A cell for each combination of levels that was run and each measure, in the order of the experiment's runs."""
    by_levels: dict[tuple, dict[int, dict]] = {}
    for run, figures in done.items():
        by_levels.setdefault(run.levels, {})[run.seed] = figures
    order = {run.levels: number for number, run in enumerate(experiment.runs())}
    result = []
    for levels in sorted((levels for levels in by_levels if levels in order), key=order.get):
        runs = by_levels[levels]
        valid = {seed: figures for seed, figures in runs.items() if "wrong" not in figures}
        invalid_runs = len(runs) - len(valid)
        baseline_runs = by_levels.get((*levels[:-1], (levels[-1][0], experiment.baseline)), {}) if experiment.baseline else {}
        for measure in experiment.measures:
            values = [figures[measure] for figures in valid.values() if measure in figures]
            pairs = [
                figures[measure] - baseline_runs[seed][measure]
                for seed, figures in valid.items()
                if seed in baseline_runs and "wrong" not in baseline_runs[seed] and measure in figures
            ]
            difference = interval(pairs) if pairs and levels[-1][1] != experiment.baseline else None
            result.append(Cell(levels, measure, len(values), *interval(values), invalid_runs, difference))
    return result
