"""State files that survive a restart: the last server list, and what peers have reported.

A list that is read back is outdated, and is passed to the session core as stale.
"""

from __future__ import annotations

import os
from pathlib import Path

import anyio
import msgspec

from curlewshift.signalling.bodies import InvalidBody, ListNews, ListRow, decode, encode

# Between writes of the peers' counts and observations.
SHARED_WRITE_INTERVAL_S = 2.0


class StoredList:
    """The server list on disk, written by a thread with at most one write at a time.

    A stalled disk once kept a front from answering for half a second, and with it all requests that were waiting.
    """

    def __init__(self, path: Path, log):
        self.path, self.log = path, log
        self.rows: dict[str, ListRow] = {}
        self.update: ListNews | None = None
        self.changed = anyio.Event()

    def read(self) -> list[ListRow]:
        """The rows of the stored list; empty if it is missing or unreadable, as a front can start without it."""
        try:
            update = decode(self.path.read_bytes(), ListNews)
        except (OSError, InvalidBody):
            return []
        self.rows = {row.server: row for row in update.servers}
        return update.servers

    def store(self, update: ListNews, full: bool) -> None:
        if full:
            self.rows = {}
        for row in update.servers:
            if row.state == "off":
                self.rows.pop(row.server, None)
            else:
                self.rows[row.server] = row
        self.update = ListNews(update.epoch, update.generation, list(self.rows.values()))
        self.changed.set()

    async def run(self) -> None:
        """Writes the list whenever it has changed; versions superseded during a slow write are skipped."""
        while True:
            await self.changed.wait()
            self.changed = anyio.Event()
            try:
                await anyio.to_thread.run_sync(self._write, encode(self.update), abandon_on_cancel=True)
            except OSError as error:
                self.log.warning("list-not-kept", cause=str(error))

    def _write(self, raw: bytes) -> None:
        write_atomically(self.path, raw)


def write_atomically(path: Path, raw: bytes) -> None:
    """Writes a temporary file and renames it: a front killed during the write leaves the previous file."""
    temporary = path.with_suffix(".new")
    temporary.write_bytes(raw)
    os.replace(temporary, path)


class SharedRows(msgspec.Struct):
    """The file's content. `wall` is the Unix time (ns) of the write; the rows are those of sharing/sharing.py."""

    wall: int
    counts: list[tuple[str, float, int]]
    seen: list[tuple[str, str, int, int, float, float, int]]


class StoredSharing:
    """The peers' counts and server observations on disk, written every `SHARED_WRITE_INTERVAL_S`.

    A file that is dated in the future, because the clock was set back, is ignored.
    """

    def __init__(self, path: Path, sharing, wall, log):
        self.path, self.sharing, self.wall, self.log = path, sharing, wall, log

    def read(self) -> int:
        """Restores the stored rows and returns their number: 0 if the file is missing, unreadable or dated in the future."""
        try:
            rows = msgspec.json.decode(self.path.read_bytes(), type=SharedRows)
        except (OSError, msgspec.DecodeError):
            return 0
        age = self.wall() - rows.wall
        if age < 0:
            return 0
        self.sharing.restore({"counts": rows.counts, "seen": rows.seen}, age)
        return len(rows.counts) + len(rows.seen)

    async def run(self) -> None:
        while True:
            await anyio.sleep(SHARED_WRITE_INTERVAL_S)
            raw = msgspec.json.encode(SharedRows(self.wall(), **self.sharing.snapshot()))
            try:
                await anyio.to_thread.run_sync(write_atomically, self.path, raw, abandon_on_cancel=True)
            except OSError as error:
                self.log.warning("shared-not-kept", cause=str(error))
