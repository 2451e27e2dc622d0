"""The last server list, kept over a restart. What is read back is stale by its nature and is told as such."""

from __future__ import annotations

import os
from pathlib import Path

from curlewshift.signalling.bodies import BadBody, ListNews, ListRow, decode, encode


class KeptList:
    def __init__(self, path: Path):
        self.path = path
        self.rows: dict[str, ListRow] = {}

    def read(self) -> list[ListRow]:
        """Empty if there is none, or none that can be read: a front can start without."""
        try:
            news = decode(self.path.read_bytes(), ListNews)
        except (OSError, BadBody):
            return []
        self.rows = {row.server: row for row in news.servers}
        return news.servers

    def take(self, news: ListNews, full: bool) -> None:
        """Written beside and moved into place: a front killed in the middle leaves the list before."""
        if full:
            self.rows = {}
        for row in news.servers:
            if row.state == "off":
                self.rows.pop(row.server, None)
            else:
                self.rows[row.server] = row
        beside = self.path.with_suffix(".new")
        beside.write_bytes(encode(ListNews(news.epoch, news.generation, list(self.rows.values()))))
        os.replace(beside, self.path)
