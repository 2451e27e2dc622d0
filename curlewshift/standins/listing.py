"""Stand-in for the server list: reports with a delay, by server-sent events, which server processes run."""

from __future__ import annotations

import time
from collections import deque
from random import Random

import anyio

from curlewshift.exchange.server import Exchange, PeerDisconnected
from curlewshift.signalling.bodies import ListNews, ListRow, encode
from curlewshift.signalling.events import CONTENT_TYPE, KEEP_ALIVE, Event, encode_event
from curlewshift.standins.traffic import Traffic

# Range of the delay (s) with which a change is reported, drawn for each change.
LATE = (0.3, 1.0)
# Changes kept for fronts that reconnect; one that has missed more gets the full list.
MAX_KEPT_CHANGES = 30
# Longest time without an event; a keep-alive comment is sent then.
KEEP_ALIVE_INTERVAL_S = 2.0


class ServerList:
    """A server list that fronts follow at GET /list; `stuck` holds its changes back."""

    def __init__(self, rng: Random, traffic: Traffic):
        self.rng, self.traffic = rng, traffic
        self.epoch = f"{rng.getrandbits(32):08x}"
        self.generation = 0
        self.rows: dict[str, ListRow] = {}
        self.changes: deque[tuple[int, list[ListRow]]] = deque(maxlen=MAX_KEPT_CHANGES)
        self.pending: deque[tuple[float, ListRow]] = deque()
        self.changed = anyio.Event()
        self.stuck = False

    def begin(self, rows: list[ListRow]) -> None:
        """Sets the initial rows."""
        self.rows = {row.server: row for row in rows}

    def schedule_change(self, row: ListRow) -> None:
        """Queues a change; changes are published after a delay, in order."""
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
        self.changed.set()
        self.changed = anyio.Event()

    async def serve(self, exchange: Exchange) -> None:
        if exchange.path != "/list" or exchange.method != "GET":
            await exchange.problem(404, "the list is at /list")
            return
        front = exchange.query.get("front", "")
        send_chunk = await exchange.start(200, [("content-type", CONTENT_TYPE)])
        at = self._resume_generation(exchange.headers.get("last-event-id", ""))
        while not exchange.connection.gone:
            changed = self.changed
            if at is None:
                at = self.generation
                await self._send(send_chunk, front, "full", ListNews(self.epoch, at, list(self.rows.values())))
            while at < self.generation:
                following = [(number, rows) for number, rows in self.changes if number > at]
                number, rows = following[0]
                await self._send(send_chunk, front, "change", ListNews(self.epoch, number, rows, since=number - 1))
                at = number
            with anyio.move_on_after(KEEP_ALIVE_INTERVAL_S):
                await changed.wait()
            if changed is self.changed and not self.stuck:
                await send_chunk(KEEP_ALIVE)
        raise PeerDisconnected

    def _resume_generation(self, last: str) -> int | None:
        """The generation that a reconnecting front already has; None if it needs the full list."""
        epoch, _, number = last.partition(":")
        oldest = self.changes[0][0] - 1 if self.changes else self.generation
        if epoch != self.epoch or not number.isdigit() or not oldest <= int(number) <= self.generation:
            return None
        return int(number)

    async def _send(self, send_chunk, front: str, kind: str, update: ListNews) -> None:
        await send_chunk(encode_event(Event(kind, encode(update).decode(), f"{update.epoch}:{update.generation}")))
        # recorded after sending, as the front cannot be notified before that
        for row in update.servers:
            self.traffic.seen("told", front=front, server=row.server, state=row.state, started=row.started_ms)
        if kind == "full":
            self.traffic.seen("told-all", front=front, servers=[row.server for row in update.servers])
