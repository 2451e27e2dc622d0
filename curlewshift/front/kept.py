"""The last server list, kept over a restart. What is read back is stale by its nature and is told as such."""

from __future__ import annotations

import os
from pathlib import Path

import anyio

from curlewshift.signalling.bodies import BadBody, ListNews, ListRow, decode, encode


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
        except (OSError, BadBody):
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
        """Written beside and moved into place: a front killed in the middle leaves the list before."""
        beside = self.path.with_suffix(".new")
        beside.write_bytes(raw)
        os.replace(beside, self.path)
