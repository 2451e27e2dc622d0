"""Completed runs, in SQLite: a run is stored completely or not at all, and is not repeated."""

from __future__ import annotations

import json
import sqlite3
from pathlib import Path

from curlewshift.experiments.experiment import Run


class StoreLocked(Exception):
    """Another process has the store open for writing."""


class RunStore:
    """One process writes; others may read at the same time. `revision`, stored with each run, is that of the program."""

    def __init__(self, path: Path, write: bool = True):
        self.db = sqlite3.connect(path, timeout=5.0, isolation_level=None)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute(
            "CREATE TABLE IF NOT EXISTS runs (experiment TEXT, revision TEXT, levels TEXT, seed INTEGER, "
            "figures TEXT, PRIMARY KEY (experiment, revision, levels, seed))"
        )
        self.lock = None
        if write:
            # two writers of one store would repeat each other's runs
            self.lock = sqlite3.connect(f"{path}.lock", timeout=0.0, isolation_level=None)
            try:
                self.lock.execute("BEGIN EXCLUSIVE")
            except sqlite3.OperationalError:
                self.db.close()
                raise StoreLocked(f"another process writes {path}") from None

    def save(self, experiment: str, revision: str, run: Run, figures: dict) -> None:
        """Stores the figures of a run."""
        self.db.execute(
            "INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?)",
            (experiment, revision, json.dumps(run.levels), run.seed, json.dumps(figures)),
        )

    def done(self, experiment: str, revision: str) -> dict[Run, dict]:
        """Figures of the stored runs of an experiment at a revision."""
        rows = self.db.execute(
            "SELECT levels, seed, figures FROM runs WHERE experiment = ? AND revision = ?", (experiment, revision)
        )
        return {
            Run(tuple(tuple(pair) for pair in json.loads(levels)), seed): json.loads(figures) for levels, seed, figures in rows
        }

    def revisions(self, experiment: str) -> list[str]:
        """Revisions with stored runs of an experiment, newest last."""
        return [
            row[0]
            for row in self.db.execute(
                "SELECT revision FROM runs WHERE experiment = ? GROUP BY revision ORDER BY MAX(rowid)", (experiment,)
            )
        ]

    def close(self) -> None:
        self.db.close()
        if self.lock is not None:
            self.lock.close()
