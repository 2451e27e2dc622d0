"""Carries out what of an experiment is not done yet, spread over processes, and keeps each run as it ends."""

from __future__ import annotations

import os
import subprocess
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

from curlewshift.experiments.experiment import Experiment, Run
from curlewshift.experiments.one_run import carry_out
from curlewshift.experiments.store import RunStore

ROOT = Path(__file__).resolve().parents[2]


def revision() -> str:
    """Of the program, with a mark where files differ from it; runs of different programs are never mixed."""
    told = subprocess.run(["git", "-C", str(ROOT), "describe", "--always", "--dirty"], capture_output=True, text=True)
    return told.stdout.strip() or "unknown"


def carry_on(
    experiment: Experiment,
    store: RunStore,
    of: str,
    workers: int = 0,
    progress: Callable[[int, int], None] = lambda done, all_of_them: None,
) -> dict[Run, dict]:
    """All runs, those of before included. A run that fails by a fault of the program raises it; what was done is kept."""
    wanted = experiment.runs()
    done = store.done(experiment.name, of)
    left = [run for run in wanted if run not in done]
    progress(len(wanted) - len(left), len(wanted))
    if not left:
        return done
    with ProcessPoolExecutor(workers or max(1, (os.cpu_count() or 2) - 1)) as pool:
        begun = {pool.submit(carry_out, experiment, run): run for run in left}
        try:
            for number, ended in enumerate(as_completed(begun), len(wanted) - len(left) + 1):
                figures = ended.result()
                store.keep(experiment.name, of, begun[ended], figures)
                done[begun[ended]] = figures
                progress(number, len(wanted))
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return done
