"""The server list's stand-in: it knows whether processes run, and says so late, by server-sent events."""

from __future__ import annotations

import time
from collections import deque
from random import Random

import anyio

from curlewshift.exchange.server import Exchange, PeerDisconnected
from curlewshift.signalling.bodies import ListNews, ListRow, encode
from curlewshift.signalling.events import CONTENT_TYPE, KEEP_ALIVE, Event, encode_event
from curlewshift.standins.traffic import Traffic

# So late is what has changed (s), drawn anew for each change.
LATE = (0.3, 1.0)
# Changes kept for those that come back; who was away for longer gets the full list.
KEPT = 30
ALIVE_EVERY = 2.0


class ServerList:
    def __init__(self, rng: Random, traffic: Traffic):
        self.rng, self.traffic = rng, traffic
        self.epoch = f"{rng.getrandbits(32):08x}"
        self.generation = 0
        self.rows: dict[str, ListRow] = {}
        self.changes: deque[tuple[int, list[ListRow]]] = deque(maxlen=KEPT)
        self.pending: deque[tuple[float, ListRow]] = deque()
        self.news = anyio.Event()
        self.stuck = False

    def begin(self, rows: list[ListRow]) -> None:
        """What is known from the start."""
        self.rows = {row.server: row for row in rows}

    def knows(self, row: ListRow) -> None:
        """It has happened; it will be told later, and in order."""
        due = time.monotonic() + self.rng.uniform(*LATE)
        if self.pending:
            due = max(due, self.pending[-1][0])
        self.pending.append((due, row))

    async def run(self) -> None:
        while True:
            await anyio.sleep(0.05)
            due = []
            while self.pending and not self.stuck and self.pending[0][0] <= time.monotonic():
                due.append(self.pending.popleft()[1])
            if due:
                self._publish(due)

    def _publish(self, rows: list[ListRow]) -> None:
        self.generation += 1
        for row in rows:
            if row.state == "off":
                self.rows.pop(row.server, None)
            else:
                self.rows[row.server] = row
        self.changes.append((self.generation, rows))
        self.news.set()
        self.news = anyio.Event()

    async def serve(self, exchange: Exchange) -> None:
        if exchange.path != "/list" or exchange.method != "GET":
            await exchange.problem(404, "the list is at /list")
            return
        front = exchange.query.get("front", "")
        piece = await exchange.start(200, [("content-type", CONTENT_TYPE)])
        at = self._resumed(exchange.headers.get("last-event-id", ""))
        while not exchange.connection.gone:
            news = self.news
            if at is None:
                at = self.generation
                await self._send(piece, front, "full", ListNews(self.epoch, at, list(self.rows.values())))
            while at < self.generation:
                following = [(number, rows) for number, rows in self.changes if number > at]
                number, rows = following[0]
                await self._send(piece, front, "change", ListNews(self.epoch, number, rows, since=number - 1))
                at = number
            with anyio.move_on_after(ALIVE_EVERY):
                await news.wait()
            if news is self.news and not self.stuck:
                await piece(KEEP_ALIVE)
        raise PeerDisconnected

    def _resumed(self, last: str) -> int | None:
        """The generation that a front already has; None if it has to get all of it."""
        epoch, _, number = last.partition(":")
        oldest = self.changes[0][0] - 1 if self.changes else self.generation
        if epoch != self.epoch or not number.isdigit() or not oldest <= int(number) <= self.generation:
            return None
        return int(number)

    async def _send(self, piece, front: str, kind: str, news: ListNews) -> None:
        await piece(encode_event(Event(kind, encode(news).decode(), f"{news.epoch}:{news.generation}")))
        # noted once it has gone out: a front is told no earlier than that
        for row in news.servers:
            self.traffic.seen("told", front=front, server=row.server, state=row.state, started=row.started_ms)
        if kind == "full":
            self.traffic.seen("told-all", front=front, servers=[row.server for row in news.servers])
