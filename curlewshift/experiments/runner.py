"""Executes the missing runs of an experiment in parallel processes and stores each run as it completes."""

from __future__ import annotations

import os
import subprocess
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

from curlewshift.experiments.experiment import Experiment, Run
from curlewshift.experiments.one_run import execute_run
from curlewshift.experiments.store import RunStore

ROOT = Path(__file__).resolve().parents[2]


def current_revision() -> str:
    """Git revision of the program, marked dirty if files differ from it; runs of different revisions are never mixed."""
    described = subprocess.run(["git", "-C", str(ROOT), "describe", "--always", "--dirty"], capture_output=True, text=True)
    return described.stdout.strip() or "unknown"


def run_missing(
    experiment: Experiment,
    store: RunStore,
    revision: str,
    workers: int = 0,
    progress: Callable[[int, int], None] = lambda done, total: None,
) -> dict[Run, dict]:
    """Executes the runs that the store lacks; returns all runs. A bug that fails a run is raised; completed runs stay stored."""
    wanted = experiment.runs()
    done = store.done(experiment.name, revision)
    missing = [run for run in wanted if run not in done]
    progress(len(wanted) - len(missing), len(wanted))
    if not missing:
        return done
    with ProcessPoolExecutor(workers or max(1, (os.cpu_count() or 2) - 1)) as pool:
        futures = {pool.submit(execute_run, experiment, run): run for run in missing}
        try:
            for number, future in enumerate(as_completed(futures), len(wanted) - len(missing) + 1):
                figures = future.result()
                store.save(experiment.name, revision, futures[future], figures)
                done[futures[future]] = figures
                progress(number, len(wanted))
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return done
