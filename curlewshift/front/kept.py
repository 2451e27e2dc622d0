"""The last server list, kept over a restart. What is read back is stale by its nature and is told as such."""

from __future__ import annotations

import os
from pathlib import Path

import anyio
import msgspec

from curlewshift.signalling.bodies import InvalidBody, ListNews, ListRow, decode, encode

# Between writings of what peers have told (s).
SHARED_EVERY = 2.0


class KeptList:
    """Written by a thread and never more than once at a time: a disk that stalls once kept a front from answering
    for half a second, with all that waited at its door."""

    def __init__(self, path: Path, log):
        self.path, self.log = path, log
        self.rows: dict[str, ListRow] = {}
        self.news: ListNews | None = None
        self.changed = anyio.Event()

    def read(self) -> list[ListRow]:
        """Empty if there is none, or none that can be read: a front can start without."""
        try:
            news = decode(self.path.read_bytes(), ListNews)
        except (OSError, InvalidBody):
            return []
        self.rows = {row.server: row for row in news.servers}
        return news.servers

    def take(self, news: ListNews, full: bool) -> None:
        if full:
            self.rows = {}
        for row in news.servers:
            if row.state == "off":
                self.rows.pop(row.server, None)
            else:
                self.rows[row.server] = row
        self.news = ListNews(news.epoch, news.generation, list(self.rows.values()))
        self.changed.set()

    async def run(self) -> None:
        """Writes the newest list whenever there is one; those that a slow disk missed are not written at all."""
        while True:
            await self.changed.wait()
            self.changed = anyio.Event()
            try:
                await anyio.to_thread.run_sync(self._write, encode(self.news), abandon_on_cancel=True)
            except OSError as wrong:
                self.log.warning("list-not-kept", cause=str(wrong))

    def _write(self, raw: bytes) -> None:
        into_place(self.path, raw)


def into_place(path: Path, raw: bytes) -> None:
    """Written beside and moved into place: a front killed in the middle leaves what was there before."""
    beside = path.with_suffix(".new")
    beside.write_bytes(raw)
    os.replace(beside, path)


class SharedRows(msgspec.Struct):
    """`wall` is the Unix time (ns) at which it was written; rows as in sharing/sharing.py."""

    wall: int
    counts: list[tuple[str, float, int]]
    seen: list[tuple[str, str, int, int, float, float, int]]


class KeptShared:
    """Counts and judgements of the peers over a restart, written every few seconds. A clock set back makes it void."""

    def __init__(self, path: Path, sharing, wall, log):
        self.path, self.sharing, self.wall, self.log = path, sharing, wall, log

    def read(self) -> int:
        """How many rows were taken over; none from a file that is missing, unreadable or of the future."""
        try:
            rows = msgspec.json.decode(self.path.read_bytes(), type=SharedRows)
        except (OSError, msgspec.DecodeError):
            return 0
        away = self.wall() - rows.wall
        if away < 0:
            return 0
        self.sharing.restore({"counts": rows.counts, "seen": rows.seen}, away)
        return len(rows.counts) + len(rows.seen)

    async def run(self) -> None:
        while True:
            await anyio.sleep(SHARED_EVERY)
            raw = msgspec.json.encode(SharedRows(self.wall(), **self.sharing.snapshot()))
            try:
                await anyio.to_thread.run_sync(into_place, self.path, raw, abandon_on_cancel=True)
            except OSError as wrong:
                self.log.warning("shared-not-kept", cause=str(wrong))
