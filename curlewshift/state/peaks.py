"""The calendar of announced peaks (announced demand peaks) in SQLite, flushed before an announcement is confirmed.

Called by the front from a thread. A confirmed change survives a kill at any moment; a change that was not confirmed is
either stored completely or not at all. A damaged file is renamed and reported, and the calendar starts empty: an operator
can announce again, whereas a front that does not start serves nobody.
"""

from __future__ import annotations

import os
import sqlite3
from pathlib import Path

from curlewshift.peaks.calendar import Peak

COLUMNS = ("name", "package", "starts", "ends", "rate", "most", "lasts", "who", "why")
VERSION = 1


class PeakStore:
    """`damage` describes a damaged file that was replaced on opening, empty if there was none."""

    def __init__(self, path: Path):
        self.path = path
        self.damage = ""
        try:
            self._open()
        except sqlite3.DatabaseError as error:
            damaged = path.with_name(f"{path.name}.damaged")
            for suffix in ("", "-wal", "-shm"):
                if Path(f"{path}{suffix}").exists():
                    os.replace(f"{path}{suffix}", f"{damaged}{suffix}")
            self.damage = f"{path} is damaged ({error}); it was put aside as {damaged.name}"
            self._open()

    def _open(self) -> None:
        self.db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        try:
            # a commit returns only after it is on disk
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            check_result = self.db.execute("PRAGMA quick_check").fetchone()[0]
            if check_result != "ok":
                raise sqlite3.DatabaseError(check_result)
            version = self.db.execute("PRAGMA user_version").fetchone()[0]
            if version > VERSION:
                raise sqlite3.DatabaseError(f"written by a later version ({version})")
            self.db.execute(
                "CREATE TABLE IF NOT EXISTS peaks (name TEXT PRIMARY KEY, package TEXT, starts INTEGER, "
                "ends INTEGER, rate REAL, most REAL, lasts INTEGER, who TEXT, why TEXT)"
            )
            self.db.execute("CREATE TABLE IF NOT EXISTS changes (at INTEGER, what TEXT, name TEXT, who TEXT, why TEXT)")
            self.db.execute(f"PRAGMA user_version={VERSION}")
        except sqlite3.DatabaseError:
            self.db.close()
            raise

    def read(self) -> list[Peak]:
        rows = self.db.execute(f"SELECT {', '.join(COLUMNS)} FROM peaks ORDER BY starts, name")
        return [Peak(**dict(zip(COLUMNS, row))) for row in rows]

    def announced(self, peak: Peak, at: int) -> None:
        """Stores a peak. Raises `sqlite3.Error` if that failed."""
        with self._transaction():
            self.db.execute(
                f"INSERT INTO peaks ({', '.join(COLUMNS)}) VALUES ({', '.join('?' * len(COLUMNS))})",
                [getattr(peak, column) for column in COLUMNS],
            )
            self.db.execute("INSERT INTO changes VALUES (?, 'announced', ?, ?, ?)", (at, peak.name, peak.who, peak.why))

    def cancelled(self, name: str, at: int, who: str, why: str) -> None:
        """Removes a peak. Raises `sqlite3.Error` if that failed."""
        with self._transaction():
            self.db.execute("DELETE FROM peaks WHERE name = ?", (name,))
            self.db.execute("INSERT INTO changes VALUES (?, 'cancelled', ?, ?, ?)", (at, name, who, why))

    def changes(self) -> list[tuple]:
        """The history of announcements and cancellations: (at, what, name, who, why)."""
        return self.db.execute("SELECT at, what, name, who, why FROM changes ORDER BY rowid").fetchall()

    def _transaction(self):
        self.db.execute("BEGIN IMMEDIATE")
        return self.db

    def close(self) -> None:
        self.db.close()
