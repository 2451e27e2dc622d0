"""A media server's stand-in: WHEP on a loopback socket, a link that is shared, and all the ways to go wrong.

It speaks what curlewshift/front/server_pool.py asks of a server: POST /whep/PACKAGE/TITLE?layer=N, POST /session/ID/layer,
DELETE /session/ID, GET /notes, GET /load, GET /sessions and POST /sessions/adopt, and GET /media/UFRAG for viewers, which stands
for the media itself: a line every half second with the rung in force and the share delivered. A session that nobody watches ends
by itself.
"""

from __future__ import annotations

import secrets
import socket
import time
from collections import deque
from dataclasses import dataclass, field
from random import Random

import anyio
from anyio.abc import SocketAttribute

from curlewshift.exchange.server import Exchange, HttpConnection, PeerDisconnected
from curlewshift.signalling.bodies import (
    TURNED_AWAY,
    InvalidBody,
    LayerChoice,
    Note,
    SessionList,
    SessionNames,
    SessionRow,
    decode,
    encode,
)
from curlewshift.signalling.conditions import refusal
from curlewshift.signalling.events import CONTENT_TYPE, KEEP_ALIVE, Event, encode_event
from curlewshift.signalling.fragments import CONTENT_TYPE as FRAGMENT
from curlewshift.signalling.fragments import fragment_text, parse_fragment
from curlewshift.signalling.loads import HEADER, encode_load
from curlewshift.signalling.sdp import PLAYS, PUBLISHES, InvalidDescription, answer_text, checked_offer
from curlewshift.site.site import Machine, Obligations
from curlewshift.standins.physics import LinkModel, as_of, falls_over, warmth
from curlewshift.standins.traffic import Arrivals, Traffic

NS = 1_000_000_000
MS = 1_000_000
SDP = "application/sdp"
FINGERPRINT = "sha-256 " + ":".join(["5A"] * 32)
# The work of one set-up on one core (s), and set-ups that may wait for a core.
SETUP_WORK = 0.03
MOST_QUEUED = 40
# A session without a watcher for so long is over, and so are those of a front that is not heard of (s): no life of it.
WATCHED_WITHIN = 3.0
FRONT_WITHIN = 10.0
# Connections that wait to be accepted, where it does not accept late.
QUEUE = 1024
JSON = [("content-type", "application/json")]
MEDIA_EVERY = 0.5
# Load reports are renewed so often (s), and are off by so much.
REPORT_EVERY = 0.3
NOISE = 0.02
# Notes go to fronts at the same moments, so that they hear together (s).
SHORT_EVERY = 1.0
HISTORY = 200
SHORT_UNDER = 0.98


@dataclass(eq=False, slots=True)
class Session:
    name: str
    # what the media is asked for by
    ufrag: str
    front: str
    request: str
    package: str
    title: str
    rung: int
    rate: float
    # its true rate over that of the ladder
    truth: float
    # the client's credentials, and how many ICE sessions there were
    theirs: str = ""
    restarts: int = 0
    began: int = field(default_factory=time.monotonic_ns)
    watchers: int = 0
    candidates: list = field(default_factory=list)
    unwatched_since: int = field(default_factory=time.monotonic_ns)
    # the mark that a paid set-up came with, and what it was answered
    viewing: str = ""
    answer: str = ""

    @property
    def etag(self) -> str:
        return f'"{self.name[:6]}.{self.restarts}"'


@dataclass(eq=False, slots=True)
class Listener:
    """A front that follows the notes. `ended` are the notes it has not been sent yet."""

    front: str
    ended: deque = field(default_factory=deque)
    news: anyio.Event = field(default_factory=anyio.Event)
    open: bool = True
    closed_at: int = 0
    was_short: bool = False


class MediaServer:
    """One life of one machine. `born` is nanoseconds of the monotonic clock, long ago for a warm one."""

    def __init__(
        self,
        machine: Machine,
        name: str,
        link: LinkModel,
        ladder: dict[str, tuple[float, ...]],
        obligations: Obligations,
        born: int,
        rng: Random,
        traffic: Traffic,
        setup_work: float = SETUP_WORK,
    ):
        self.machine, self.name, self.link, self.ladder = machine, name, link, ladder
        self.obligations, self.born, self.rng, self.traffic = obligations, born, rng, traffic
        self.setup_work = setup_work
        self.boot = f"{rng.getrandbits(32):08x}"
        self.sessions: dict[str, Session] = {}
        # the highest number that each fleet-wide task has come with
        self.fences: dict[str, int] = {}
        self.media: dict[str, Session] = {}
        self.listeners: dict[str, Listener] = {}
        self.connections: set[HttpConnection] = set()
        self.cores = anyio.CapacityLimiter(machine.cores)
        self.queued = 0
        self.arrivals: deque[int] = deque()
        self.report = {"link": 0.0, "uplink": 0.0}
        self.history: deque[tuple[int, float, float, float]] = deque(maxlen=HISTORY)
        self.draining = False
        self.fails_fast = False
        self.loses_answers = ""
        # it points elsewhere; it goes on for those who have hung up
        self.redirects = self.stubborn = False
        # it ends by itself what nobody watches and what fronts that are gone have left
        self.tidy = True
        self.notes_late = 0.0
        self.thaw = anyio.Event()
        self.thaw.set()
        self.accepts = anyio.Event()
        self.accepts.set()
        self.fillers: list[socket.socket] = []
        self.fallen = anyio.Event()
        self.scope = anyio.CancelScope()

    # ---- its life

    async def run(self, listener, ready=None) -> None:
        """Serves until it dies or falls over."""
        self.traffic.seen("boot", server=self.name, boot=self.boot, streams=self.machine.streams, born=self.born)
        with self.scope:
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(self._live)
                tasks.start_soon(self._fall, tasks)
                if ready is not None:
                    ready()
                await self._accept(listener, tasks)
        for connection in list(self.connections):
            connection.reset()
        self.link.asked = 0.0
        self.traffic.seen("dead", server=self.name, boot=self.boot, playing=len(self.sessions))

    def _passes(self, fence: str, front: str) -> bool:
        """An act on a lease comes with the number of its tenure; one that is under way from an earlier tenure is too late."""
        lease, _, text = fence.partition(";")
        number = int(text) if text.isdecimal() else 0
        passes = number >= self.fences.get(lease, 0)
        if passes:
            self.fences[lease] = number
        self.traffic.seen("act", server=self.name, front=front, lease=lease, number=number, accepted=passes)
        return passes

    def die(self) -> None:
        """At once, with a reset to everyone."""
        for connection in list(self.connections):
            connection.reset()
        self.scope.cancel()

    def freeze(self) -> None:
        """Accepts and never answers: its sockets stay, and nothing comes out of them."""
        self.thaw = anyio.Event()
        self.traffic.seen("froze", server=self.name, boot=self.boot)

    def unfreeze(self) -> None:
        self.thaw.set()
        self.traffic.seen("thawed", server=self.name, boot=self.boot)

    async def _fall(self, tasks) -> None:
        await self.fallen.wait()
        self.traffic.seen("fell-over", server=self.name, boot=self.boot)
        self.die()

    async def accept_late(self) -> None:
        """Nobody takes connections out of the kernel's queue, which has one place, and that is taken: who dials waits for the
        kernel to ask again, a second later at the soonest."""
        self.accepts = anyio.Event()
        self._queue(0)
        # the first is accepted by the turn that is under way, and kept waiting; the second stays in the queue
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", int(self.name.rpartition(":")[2])))
            self.fillers.append(filler)
            await anyio.sleep(0.02)

    def accept_again(self) -> None:
        fillers, self.fillers = self.fillers, []
        for filler in fillers:
            filler.close()
        self._queue(QUEUE)
        self.accepts.set()

    def _queue(self, places: int) -> None:
        try:
            self.listener.extra(SocketAttribute.raw_socket).listen(places)
        except OSError:
            # it has died meanwhile
            pass

    async def _accept(self, listener, tasks) -> None:
        self.listener = listener
        while True:
            stream = await listener.accept()
            await self.accepts.wait()
            tasks.start_soon(self._connection, stream)

    async def _connection(self, stream) -> None:
        connection = HttpConnection(Arrivals(stream), self._serve)
        self.connections.add(connection)
        try:
            await connection.run()
        except (PeerDisconnected, AssertionError):
            pass
        finally:
            self.connections.discard(connection)

    async def _live(self) -> None:
        """What happens by itself: reports, what is short, sessions that nobody watches, fronts that are gone."""
        last_report = 0.0
        while True:
            now = time.monotonic_ns()
            self._reckon()
            self.history.append((now, self.link.use(), self.link.uplink.asked() / self.link.uplink.size, self.link.share()))
            if now / NS - last_report >= REPORT_EVERY:
                last_report = now / NS
                noise = self.rng.uniform(1 - NOISE, 1 + NOISE)
                self.report = {
                    "link": self.link.use() * noise,
                    "uplink": self.link.uplink.asked() / self.link.uplink.size * noise,
                }
            if self.thaw.is_set():
                for session in list(self.sessions.values()) if self.tidy else ():
                    if not session.watchers and now - session.unwatched_since > WATCHED_WITHIN * NS:
                        self._end(session, "nobody watches")
                    elif now - max(session.began, self._heard_of(session.front)) > FRONT_WITHIN * NS:
                        self._end(session, "its front is gone")
            await anyio.sleep(0.1)

    def _heard_of(self, front: str) -> int:
        """When the life of a front that asked for something was there last."""
        listener = self.listeners.get(front)
        return 0 if listener is None else time.monotonic_ns() if listener.open else listener.closed_at

    def _reckon(self) -> None:
        self.link.asked = sum(session.rate * session.truth for session in self.sessions.values())

    # ---- requests

    async def _serve(self, exchange: Exchange) -> None:
        first_byte = exchange.connection.stream.first_byte()
        parts = exchange.path.strip("/").split("/")
        if parts[0] in (PLAYS, PUBLISHES) and len(parts) == 3 and exchange.method == "POST":
            await self._setup(exchange, *parts, first_byte)
            return
        await self.thaw.wait()
        if parts[0] == "notes" and exchange.method == "GET":
            await self._notes(exchange)
        elif parts[0] == "media" and len(parts) == 2 and exchange.method == "GET":
            await self._media(exchange, parts[1])
        elif parts[0] == "session" and len(parts) == 2 and exchange.method == "DELETE":
            await self._delete(exchange, self.sessions.get(parts[1]))
        elif parts[0] == "session" and len(parts) == 2 and exchange.method == "PATCH":
            await self._patch(exchange, parts[1])
        elif parts[0] == "session" and len(parts) == 3 and exchange.method == "POST":
            await self._layer(exchange, parts[1])
        elif parts == ["sessions"] and exchange.method == "GET":
            await self._tell_sessions(exchange)
        elif parts == ["sessions", "adopt"] and exchange.method == "POST":
            await self._adopt(exchange)
        elif parts[0] == "load" and exchange.method == "GET":
            fence = exchange.headers.get("x-fence", "")
            if fence and not self._passes(fence, exchange.headers.get("x-front", "")):
                await exchange.answer(412, [])
            else:
                await exchange.answer(204, [(HEADER, encode_load(self.report))])
        else:
            await exchange.problem(404, "there is nothing at this path")

    async def _setup(self, exchange: Exchange, way: str, package: str, title: str, first_byte: int) -> None:
        headers = exchange.headers
        facts = dict(
            server=self.name,
            boot=self.boot,
            front=headers.get("x-front", ""),
            request=headers.get("x-request-id", ""),
            number=int(headers.get("x-tune-in", "0")),
        )
        layer = int(exchange.query.get("layer", "0"))
        self.traffic.seen("setup", package=package, title=title, rung=layer, first_byte=first_byte, **facts)
        closed = False

        def over(how: str) -> None:
            nonlocal closed
            if not closed:
                closed = True
                self.traffic.seen("setup-over", how=how, **facts)

        exchange.on_disconnect(lambda: over("gone"))
        try:
            await self._set_up(exchange, way, package, title, layer, facts, over)
        finally:
            over("dropped")

    async def _set_up(self, exchange, way, package, title, layer, facts, over) -> None:
        if falls_over(self.arrivals, time.monotonic_ns(), self.born, self.machine.streams, self.obligations):
            self.fallen.set()
        await self.thaw.wait()
        if exchange.connection.gone and not self.stubborn:
            raise PeerDisconnected
        rates = self.ladder.get(package)
        try:
            offer = checked_offer(exchange.body.decode("utf-8", "replace"), way)
            if rates is None or not 0 <= layer < len(rates):
                raise InvalidDescription(0, "no such package or layer")
        except InvalidDescription as wrong:
            over("bad")
            await exchange.problem(400, str(wrong))
            return
        if self.redirects:
            over("turned-away")
            await exchange.answer(307, [("location", f"http://127.0.0.1:1{exchange.path}")])
            return
        if self.draining or len(self.sessions) + self.queued >= self.machine.streams or self.queued >= MOST_QUEUED:
            over("turned-away")
            await exchange.problem(
                503, "it drains" if self.draining else "it is full", TURNED_AWAY, [(HEADER, encode_load(self.report))]
            )
            return
        if self.fails_fast:
            over("error")
            await exchange.problem(500, "the set-up failed")
            return
        self.queued += 1
        try:
            async with self.cores:
                self.traffic.seen("ran", **facts)
                await anyio.sleep(self.setup_work / self._warmth())
        finally:
            self.queued -= 1
        await self.thaw.wait()
        if self.loses_answers:
            await self._lose(exchange)
            return
        if exchange.connection.gone and not self.stubborn:
            # whoever asked has gone: no media will ever flow
            raise PeerDisconnected
        session = Session(
            secrets.token_hex(8),
            secrets.token_hex(4),
            facts["front"],
            facts["request"],
            package,
            title,
            layer,
            rates[layer],
            self.rng.uniform(0.88, 1.12),
            offer.first("ice-ufrag", offer.media[0]),
        )
        self.sessions[session.name] = self.media[session.ufrag] = session
        self._reckon()
        self.traffic.seen("session", session=session.name, package=package, title=title, rung=layer, **facts)
        over("answered")
        answer = answer_text(
            offer, session.ufrag, secrets.token_hex(12), FINGERPRINT, self.machine.host, int(self.name.rpartition(":")[2])
        )
        session.viewing = exchange.headers.get("x-viewing", "")
        session.answer = answer if session.viewing else ""
        try:
            await exchange.answer(
                201,
                [
                    ("content-type", SDP),
                    ("location", f"/session/{session.name}"),
                    ("etag", session.etag),
                    (HEADER, encode_load(self.report)),
                ],
                answer.encode(),
            )
        except PeerDisconnected:
            self._end(session, "its answer was not taken", tell=False)
            raise

    async def _lose(self, exchange: Exchange) -> None:
        """The work is done and the answer gets lost: by a reset, or by silence until the other side has enough."""
        if self.loses_answers == "reset":
            exchange.abort()
            raise PeerDisconnected
        gone = anyio.Event()
        exchange.on_disconnect(gone.set)
        await gone.wait()
        raise PeerDisconnected

    def _warmth(self) -> float:
        return warmth(time.monotonic_ns() - self.born, self.obligations.warm_within, self.obligations.start_capacity)

    async def _layer(self, exchange: Exchange, name: str) -> None:
        session = self.sessions.get(name)
        try:
            rung = int(decode(exchange.body, LayerChoice).encoding_id)
        except (InvalidBody, ValueError) as wrong:
            await exchange.problem(400, str(wrong))
            return
        if session is None or not 0 <= rung < len(self.ladder[session.package]):
            await exchange.problem(404 if session is None else 400, "no such session or layer")
            return
        session.rung, session.rate = rung, self.ladder[session.package][rung]
        self._reckon()
        self.traffic.seen("layer", server=self.name, session=name, rung=rung, front=session.front, package=session.package)
        await exchange.answer(204)

    async def _patch(self, exchange: Exchange, name: str) -> None:
        """Candidates, or another ICE session (RFC 9725, 4.3)."""
        session = self.sessions.get(name)
        if session is None:
            await exchange.problem(404, "no such session")
            return
        try:
            fragment = parse_fragment(exchange.body.decode("utf-8", "replace"))
        except InvalidDescription as wrong:
            await exchange.problem(400, str(wrong))
            return
        restarts = fragment.restarts(session.theirs)
        status = refusal(exchange.headers.get("if-match"), session.etag, restarts)
        if status is not None:
            await exchange.problem(status, "the condition does not hold", headers=[("etag", session.etag)])
            return
        added = [candidate for part in fragment.parts for candidate in part.candidates]
        session.candidates = added if restarts else session.candidates + added
        self.traffic.seen("patch", server=self.name, session=name, restarts=restarts, candidates=len(added))
        if not restarts:
            await exchange.answer(204)
            return
        session.restarts, session.theirs = session.restarts + 1, fragment.ufrag
        await exchange.answer(
            200,
            [("content-type", FRAGMENT), ("etag", session.etag)],
            fragment_text(session.ufrag, secrets.token_hex(12)).encode(),
        )

    async def _delete(self, exchange: Exchange, session: Session | None) -> None:
        """Ended by its front, or for one that is gone by who may do so for all: then it has to be that one's still."""
        fence, was = exchange.headers.get("x-fence", ""), exchange.headers.get("x-was", "")
        if fence and not self._passes(fence, exchange.headers.get("x-front", "")):
            await exchange.answer(412, [])
        elif session is None:
            await exchange.answer(404)
        elif was and (session.front != was or session.watchers):
            await exchange.answer(409, [])
        else:
            self._end(session, "left by a front that is gone" if was else "deleted", tell=False)
            await exchange.answer(200)

    def _left_behind(self, away: int) -> list[Session]:
        """Sessions whose front has not been there for so long (ns), and that nobody watches."""
        now = time.monotonic_ns()
        return [
            session
            for session in self.sessions.values()
            if not session.watchers and now - max(session.began, self._heard_of(session.front)) > away
        ]

    async def _tell_sessions(self, exchange: Exchange) -> None:
        """What plays here for any life of the front that asks; or, to who may act for all, what fronts that are gone left."""
        away = exchange.query.get("away", "")
        if away.isdecimal():
            if not self._passes(exchange.headers.get("x-fence", ""), exchange.headers.get("x-front", "")):
                await exchange.answer(412, [])
                return
            left = [
                SessionRow(f"/session/{session.name}", session.front, session.rung)
                for session in self._left_behind(int(away) * 1_000_000)
            ]
            await exchange.answer(200, JSON, encode(SessionList(self.boot, left)))
            return
        front = front_of(exchange.query.get("front", ""))
        rows = [
            SessionRow(f"/session/{session.name}", session.front, session.rung, session.viewing, session.etag, session.answer)
            for session in self.sessions.values()
            if front_of(session.front) == front
        ]
        await exchange.answer(200, JSON, encode(SessionList(self.boot, rows)))

    async def _adopt(self, exchange: Exchange) -> None:
        """What earlier lives of a front asked for is its present life's from now on; what has ended is left out."""
        life = exchange.headers.get("x-front", "")
        try:
            wanted = decode(exchange.body, SessionNames).sessions
        except InvalidBody as wrong:
            await exchange.problem(400, str(wrong))
            return
        taken = []
        for path in wanted:
            session = self.sessions.get(path.removeprefix("/session/"))
            if session is not None and front_of(session.front) == front_of(life):
                self.traffic.seen(
                    "adopted",
                    server=self.name,
                    boot=self.boot,
                    session=session.name,
                    front=life,
                    before=session.front,
                    package=session.package,
                    title=session.title,
                )
                session.front = life
                taken.append(path)
        await exchange.answer(200, JSON, encode(SessionNames(taken)))

    def _end(self, session: Session, why: str, tell: bool = True) -> None:
        if self.sessions.pop(session.name, None) is None:
            return
        del self.media[session.ufrag]
        self._reckon()
        self.traffic.seen("session-end", server=self.name, boot=self.boot, session=session.name, why=why)
        listener = self.listeners.get(session.front)
        if tell and listener is not None:
            listener.ended.append(Note(session=f"/session/{session.name}", why=why))
            listener.news.set()

    # ---- what viewers and fronts listen to

    async def _media(self, exchange: Exchange, ufrag: str) -> None:
        session = self.media.get(ufrag)
        if session is None:
            await exchange.problem(404, "no such session")
            return
        piece = await exchange.start(200, [("content-type", "application/jsonl")])
        session.watchers += 1
        try:
            while session.name in self.sessions:
                if self.thaw.is_set():
                    await piece(b'{"rung":%d,"share":%.3f}\n' % (session.rung, self.link.share()))
                await anyio.sleep(MEDIA_EVERY)
                if exchange.connection.gone:
                    raise PeerDisconnected
        finally:
            session.watchers -= 1
            session.unwatched_since = time.monotonic_ns()

    async def _notes(self, exchange: Exchange) -> None:
        front = exchange.query.get("front", "")
        listener = self.listeners.get(front)
        if listener is None or listener.open:
            listener = self.listeners[front] = Listener(front)
        listener.open = True
        piece = await exchange.start(200, [("content-type", CONTENT_TYPE)])
        self.traffic.seen("notes-open", server=self.name, boot=self.boot, front=front)
        exchange.on_disconnect(listener.news.set)
        try:
            await piece(_event("hello", Note(boot=self.boot)))
            await self._note_loop(exchange, listener, piece)
        finally:
            listener.open, listener.closed_at = False, time.monotonic_ns()
            self.traffic.seen("notes-end", server=self.name, boot=self.boot, front=front)

    async def _note_loop(self, exchange: Exchange, listener: Listener, piece) -> None:
        next_short, next_load = _next(SHORT_EVERY), _next(self.obligations.told_every / NS)
        while True:
            if exchange.connection.gone:
                raise PeerDisconnected
            await self.thaw.wait()
            while listener.ended:
                await piece(_event("ended", listener.ended.popleft()))
            now = time.monotonic()
            if now >= next_short:
                next_short = _next(SHORT_EVERY)
                await self._tell_short(listener, piece)
            if now >= next_load:
                next_load = _next(self.obligations.told_every / NS)
                if self._plays_for(listener):
                    _, link, uplink, _ = self._then()
                    await piece(_event("load", Note(link=link, uplink=uplink if self.obligations.uplinks else None)))
            listener.news = anyio.Event()
            exchange.on_disconnect(listener.news.set)
            with anyio.move_on_after(max(0.01, min(next_short, next_load) - time.monotonic())):
                await listener.news.wait()

    async def _tell_short(self, listener: Listener, piece) -> None:
        share = self._then()[3]
        short = share < SHORT_UNDER and self._plays_for(listener)
        if short or listener.was_short:
            listener.was_short = short
            await piece(_event("delivered", Note(share=share)))
        else:
            await piece(KEEP_ALIVE)

    def _plays_for(self, listener: Listener) -> bool:
        return any(session.front == listener.front for session in self.sessions.values())

    def _then(self) -> tuple[int, float, float, float]:
        """How it was as long ago as notes are late."""
        return as_of(self.history, time.monotonic_ns() - self.obligations.told_late - int(self.notes_late * NS))


def front_of(life: str) -> str:
    """A front's name, of the name of one of its lives."""
    return life.rpartition(".")[0] or life


def _next(every: float) -> float:
    """The next moment, on the clock that all share, that is a multiple of this."""
    return (time.monotonic() // every + 1) * every


def _event(kind: str, note: Note) -> bytes:
    return encode_event(Event(kind, encode(note).decode()))
