"""What the front listens to: the server list, and the notes of each server. Each resumes where it broke off."""

from __future__ import annotations

from random import Random

import anyio

from curlewshift.exchange.client import ConnectionBroken, HttpClientConnection, RequestNotSent, connect
from curlewshift.front.kept import KeptList
from curlewshift.model import Server
from curlewshift.session_core.server_list import ServerEntry
from curlewshift.session_core.session_core import SessionCore
from curlewshift.signalling.bodies import InvalidBody, ListNews, ListRow, Note, decode
from curlewshift.signalling.events import Event, EventReader, EventTooLong
from curlewshift.site.site import host_port

MS = 1_000_000
# Between tries to reach what does not answer (s): first, and at most.
FIRST_PAUSE = 0.2
LONGEST_PAUSE = 2.0
CONNECT_WITHIN = 2.0
# A stream that says nothing for so long, not even that it lives, is given up and asked for again (s).
QUIET_FOR = 10.0


def row_of(row: ListRow) -> ServerEntry:
    """A row of the list as the roster wants it."""
    return ServerEntry(row.server, row.state, row.started_ms * MS, row.zone, row.rack, row.link, row.streams, row.shelf)


class Stream:
    """One server-sent event stream, kept up over breaks. `on_open` and `on_event` are called as it goes."""

    def __init__(self, host: str, port: int, target: str, rng: Random, tls=None):
        self.host, self.port, self.target, self.rng, self.tls = host, port, target, rng, tls
        self.last_id: str | None = None
        self.refused = False
        self.call: HttpClientConnection | None = None

    async def events(self):
        """Yields `Event`, and None each time the stream has broken or could not be had; `refused` tells which."""
        pause = FIRST_PAUSE
        while True:
            opened = False
            try:
                self.call = await connect(self.host, self.port, CONNECT_WITHIN, self.tls)
                try:
                    async for event in self._read(self.call):
                        opened, self.refused, pause = True, False, FIRST_PAUSE
                        yield event
                finally:
                    await self.call.close()
            except RequestNotSent:
                self.refused = True
            except (ConnectionBroken, EventTooLong, TimeoutError):
                self.refused = False
            if opened or self.refused:
                yield None
            await anyio.sleep(pause * self.rng.uniform(0.5, 1.0))
            pause = min(LONGEST_PAUSE, pause * 2)

    def afresh(self) -> None:
        """Break off, and begin again without what was had."""
        self.last_id = None
        if self.call is not None:
            self.call.break_connection()

    async def _read(self, call: HttpClientConnection):
        headers = [("accept", "text/event-stream")]
        if self.last_id is not None:
            headers.append(("last-event-id", self.last_id))
        with anyio.fail_after(QUIET_FOR):
            answered = await call.begin("GET", self.target, headers)
        if answered.status != 200:
            raise ConnectionBroken(f"answered {answered.status}")
        reader, pieces = EventReader(), call.pieces()
        while True:
            with anyio.fail_after(QUIET_FOR):
                try:
                    data = await anext(pieces)
                except StopAsyncIteration:
                    return
            for event in reader.feed(data):
                self.last_id = reader.last_id
                yield event


class ListFollower:
    """`on_news(epoch, generation, news)`, if set, hears of what was read here."""

    def __init__(
        self, session_core: SessionCore, host: str, port: int, name: str, kept: KeptList | None, rng: Random, log, on_list
    ):
        self.session_core, self.kept, self.log, self.on_list = session_core, kept, log, on_list
        self.stream = Stream(host, port, f"/list?front={name}", rng)
        self.on_news = None
        self.itself = anyio.Event()
        self.itself.set()
        self.reading = anyio.CancelScope()

    async def run(self) -> None:
        while True:
            await self.itself.wait()
            with anyio.CancelScope() as self.reading:
                async for event in self.stream.events():
                    if event is None:
                        self.log.info("list-broke", cause="refused" if self.stream.refused else "ended")
                        continue
                    self._take(event)

    def read_itself(self, itself: bool) -> None:
        """Whether this front reads the list; if not, somebody else tells it the news. It goes on from where it was."""
        if itself:
            self.itself.set()
        elif self.itself.is_set():
            self.itself = anyio.Event()
            self.reading.cancel()

    def _take(self, event: Event) -> None:
        try:
            news = decode(event.data, ListNews)
        except InvalidBody as wrong:
            self.log.warning("list-unreadable", cause=str(wrong))
            self.stream.afresh()
            return
        self.log.info("list", what=event.kind, generation=news.generation, servers=len(news.servers))
        full = event.kind == "full"
        self.take_news(news, full)
        if self.on_news is not None:
            self.on_news(news.epoch, news.generation, None if full else news)

    def take_news(self, news: ListNews, full: bool) -> None:
        """Of the list itself, or as another front read it."""
        rows = [row_of(row) for row in news.servers]
        if full:
            self.session_core.list_full(news.epoch, news.generation, rows)
        else:
            self.session_core.list_change(news.epoch, news.since, news.generation, rows)
        if self.kept is not None:
            self.kept.take(news, full)
        self.on_list()


class NotesFollower:
    """The notes of one server. Which of its lives speaks, it says first; another one means that nothing plays."""

    def __init__(
        self, session_core: SessionCore, server: Server, front: str, rng: Random, log, front_session_of, tls=None, on_boot=None
    ):
        self.on_boot = on_boot
        self.session_core, self.server, self.log, self.front_session_of = session_core, server, log, front_session_of
        self.stream = Stream(*host_port(server.name), f"/notes?front={front}", rng, tls)
        self.boot = ""
        self.broke = False

    async def run(self) -> None:
        async for event in self.stream.events():
            if event is None:
                self._broke()
            else:
                self._take(event)

    def _broke(self) -> None:
        if self.boot and not self.broke:
            self.broke = True
            self.log.info("notes-broke", server=self.server.name, playing=len(self.server.link.playing))
            self.session_core.notes_broke(self.server)
        if self.stream.refused and self.server.link.playing:
            # nobody listens there any more: the process is gone, and what it played with it
            self.log.info("server-gone", server=self.server.name, playing=len(self.server.link.playing))
            self.session_core.server_lost(self.server)

    def _take(self, event: Event) -> None:
        try:
            note = decode(event.data, Note)
        except InvalidBody as wrong:
            self.log.warning("note-unreadable", server=self.server.name, cause=str(wrong))
            return
        if event.kind == "hello":
            if self.boot and note.boot != self.boot:
                self.log.info("server-restarted", server=self.server.name)
                self.session_core.restarted(self.server)
            self.boot, self.broke = note.boot, False
            if self.on_boot is not None:
                self.on_boot(self.server.name, note.boot)
        elif event.kind == "delivered":
            self.session_core.delivered(self.server, note.share)
        elif event.kind == "load":
            report = {"link": note.link, "uplink": note.uplink}
            self.session_core.told(self.server, {name: value for name, value in report.items() if value is not None})
        elif event.kind == "ended":
            front_session = self.front_session_of(self.server, note.session)
            if front_session is not None:
                self.log.info("ended", viewing=front_session.viewing.name, server=self.server.name, cause=note.why)
                self.session_core.lost(front_session)
