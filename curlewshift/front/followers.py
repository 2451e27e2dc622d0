"""The event streams that the front follows: the server list, and the notes of each server. Each resumes after a break."""

from __future__ import annotations

from random import Random

import anyio

from curlewshift.exchange.client import ConnectionBroken, HttpClientConnection, RequestNotSent, connect
from curlewshift.front.stored_state import StoredList
from curlewshift.model import Server
from curlewshift.session_core.server_list import ServerEntry
from curlewshift.session_core.session_core import SessionCore
from curlewshift.signalling.bodies import InvalidBody, ListNews, ListRow, Note, decode
from curlewshift.signalling.events import Event, EventReader, EventTooLong
from curlewshift.site.site import host_port

MS = 1_000_000
# Between attempts to connect to a peer that does not answer; doubled from the first up to the maximum.
FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
CONNECT_TIMEOUT_S = 2.0
# A stream that sends nothing for this long, not even a keep-alive, is closed and requested again.
SILENCE_TIMEOUT_S = 10.0


def server_entry_of(row: ListRow) -> ServerEntry:
    """A row of the list in the form of the session core's server list."""
    return ServerEntry(row.server, row.state, row.started_ms * MS, row.zone, row.rack, row.link, row.streams, row.shelf)


class EventStream:
    """One stream of server-sent events that reconnects after breaks."""

    def __init__(self, host: str, port: int, target: str, rng: Random, tls=None):
        self.host, self.port, self.target, self.rng, self.tls = host, port, target, rng, tls
        self.last_id: str | None = None
        self.refused = False
        self.connection: HttpClientConnection | None = None

    async def events(self):
        """Yields each `Event`, and None whenever an open stream has broken or the connection was refused; `refused` tells the two
        apart."""
        delay = FIRST_RETRY_DELAY_S
        while True:
            opened = False
            try:
                self.connection = await connect(self.host, self.port, CONNECT_TIMEOUT_S, self.tls)
                try:
                    async for event in self._read(self.connection):
                        opened, self.refused, delay = True, False, FIRST_RETRY_DELAY_S
                        yield event
                finally:
                    await self.connection.close()
            except RequestNotSent:
                self.refused = True
            except (ConnectionBroken, EventTooLong, TimeoutError):
                self.refused = False
            if opened or self.refused:
                yield None
            await anyio.sleep(delay * self.rng.uniform(0.5, 1.0))
            delay = min(MAX_RETRY_DELAY_S, delay * 2)

    def restart(self) -> None:
        """Closes the connection and requests the stream from its beginning, without a last event id."""
        self.last_id = None
        if self.connection is not None:
            self.connection.break_connection()

    async def _read(self, connection: HttpClientConnection):
        headers = [("accept", "text/event-stream")]
        if self.last_id is not None:
            headers.append(("last-event-id", self.last_id))
        with anyio.fail_after(SILENCE_TIMEOUT_S):
            response = await connection.begin("GET", self.target, headers)
        if response.status != 200:
            raise ConnectionBroken(f"answered {response.status}")
        reader, chunks = EventReader(), connection.pieces()
        while True:
            with anyio.fail_after(SILENCE_TIMEOUT_S):
                try:
                    data = await anext(chunks)
                except StopAsyncIteration:
                    return
            for event in reader.feed(data):
                self.last_id = reader.last_id
                yield event


class ListFollower:
    """Passes the server list to the session core. `on_update(epoch, generation, update)`, if set, is called with what was read
    here; `update` is None for a full list."""

    def __init__(
        self,
        session_core: SessionCore,
        host: str,
        port: int,
        name: str,
        stored_list: StoredList | None,
        rng: Random,
        log,
        on_list_changed,
    ):
        self.session_core, self.stored_list, self.log, self.on_list_changed = session_core, stored_list, log, on_list_changed
        self.stream = EventStream(host, port, f"/list?front={name}", rng)
        self.on_update = None
        self.reads_list = anyio.Event()
        self.reads_list.set()
        self.reading = anyio.CancelScope()

    async def run(self) -> None:
        while True:
            await self.reads_list.wait()
            with anyio.CancelScope() as self.reading:
                async for event in self.stream.events():
                    if event is None:
                        self.log.info("list-broke", cause="refused" if self.stream.refused else "ended")
                        continue
                    self._handle_event(event)

    def read_itself(self, reads_list: bool) -> None:
        """Sets whether this front reads the list itself; otherwise another front passes updates on. Reading resumes where it
        stopped."""
        if reads_list:
            self.reads_list.set()
        elif self.reads_list.is_set():
            self.reads_list = anyio.Event()
            self.reading.cancel()

    def _handle_event(self, event: Event) -> None:
        try:
            update = decode(event.data, ListNews)
        except InvalidBody as error:
            self.log.warning("list-unreadable", cause=str(error))
            self.stream.restart()
            return
        self.log.info("list", what=event.kind, generation=update.generation, servers=len(update.servers))
        full = event.kind == "full"
        self.take_news(update, full)
        if self.on_update is not None:
            self.on_update(update.epoch, update.generation, None if full else update)

    def take_news(self, update: ListNews, full: bool) -> None:
        """Applies an update that was read from the list here or by another front."""
        rows = [server_entry_of(row) for row in update.servers]
        if full:
            self.session_core.list_full(update.epoch, update.generation, rows)
        else:
            self.session_core.list_change(update.epoch, update.since, update.generation, rows)
        if self.stored_list is not None:
            self.stored_list.store(update, full)
        self.on_list_changed()


class NotesFollower:
    """Follows the notes of one server. The first note names the server's boot (one run of its process); a new boot means that
    none of its sessions play any more."""

    def __init__(
        self, session_core: SessionCore, server: Server, front: str, rng: Random, log, front_session_of, tls=None, on_boot=None
    ):
        self.on_boot = on_boot
        self.session_core, self.server, self.log, self.front_session_of = session_core, server, log, front_session_of
        self.stream = EventStream(*host_port(server.name), f"/notes?front={front}", rng, tls)
        self.boot = ""
        self.disconnected = False

    async def run(self) -> None:
        async for event in self.stream.events():
            if event is None:
                self._stream_broke()
            else:
                self._handle_event(event)

    def _stream_broke(self) -> None:
        if self.boot and not self.disconnected:
            self.disconnected = True
            self.log.info("notes-broke", server=self.server.name, playing=len(self.server.link.playing))
            self.session_core.notes_broke(self.server)
        if self.stream.refused and self.server.link.playing:
            # nothing listens there any more: the process has ended, and its sessions with it
            self.log.info("server-gone", server=self.server.name, playing=len(self.server.link.playing))
            self.session_core.server_lost(self.server)

    def _handle_event(self, event: Event) -> None:
        try:
            note = decode(event.data, Note)
        except InvalidBody as error:
            self.log.warning("note-unreadable", server=self.server.name, cause=str(error))
            return
        if event.kind == "hello":
            if self.boot and note.boot != self.boot:
                self.log.info("server-restarted", server=self.server.name)
                self.session_core.restarted(self.server)
            self.boot, self.disconnected = note.boot, False
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
