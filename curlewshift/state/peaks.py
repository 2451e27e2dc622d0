"""The calendar of announced peaks on disk: SQLite, flushed before an announcement is confirmed.

Called by the front from a thread. What was confirmed is there after a kill at any moment; what was not confirmed is
either there whole or not at all. A file that is damaged is set aside and named, and the calendar begins empty: an
operator can announce again, a front that does not start helps nobody.
"""

from __future__ import annotations

import os
import sqlite3
from pathlib import Path

from curlewshift.peaks.calendar import Peak

COLUMNS = ("name", "package", "starts", "ends", "rate", "most", "lasts", "who", "why")
VERSION = 1


class PeakStore:
    def __init__(self, path: Path):
        self.path = path
        self.damage = ""
        try:
            self._open()
        except sqlite3.DatabaseError as wrong:
            aside = path.with_name(f"{path.name}.damaged")
            for end in ("", "-wal", "-shm"):
                if Path(f"{path}{end}").exists():
                    os.replace(f"{path}{end}", f"{aside}{end}")
            self.damage = f"{path} is damaged ({wrong}); it was put aside as {aside.name}"
            self._open()

    def _open(self) -> None:
        self.db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        try:
            # every commit is on the disk before it returns
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            found = self.db.execute("PRAGMA quick_check").fetchone()[0]
            if found != "ok":
                raise sqlite3.DatabaseError(found)
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
        """Raises `sqlite3.Error` if it could not be kept."""
        with self._whole():
            self.db.execute(
                f"INSERT INTO peaks ({', '.join(COLUMNS)}) VALUES ({', '.join('?' * len(COLUMNS))})",
                [getattr(peak, column) for column in COLUMNS],
            )
            self.db.execute("INSERT INTO changes VALUES (?, 'announced', ?, ?, ?)", (at, peak.name, peak.who, peak.why))

    def cancelled(self, name: str, at: int, who: str, why: str) -> None:
        """Raises `sqlite3.Error` if it could not be kept."""
        with self._whole():
            self.db.execute("DELETE FROM peaks WHERE name = ?", (name,))
            self.db.execute("INSERT INTO changes VALUES (?, 'cancelled', ?, ?, ?)", (at, name, who, why))

    def changes(self) -> list[tuple]:
        """Who announced and cancelled what, when and why: (at, what, name, who, why)."""
        return self.db.execute("SELECT at, what, name, who, why FROM changes ORDER BY rowid").fetchall()

    def _whole(self):
        self.db.execute("BEGIN IMMEDIATE")
        return self.db

    def close(self) -> None:
        self.db.close()
