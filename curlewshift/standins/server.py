"""Stand-in for a media server: WHEP on a loopback socket, a shared link, and injectable faults.

It implements the requests that curlewshift/front/server_pool.py makes: POST /whep/PACKAGE/TITLE?layer=N, POST /session/ID/layer,
DELETE /session/ID, GET /notes, GET /load, GET /sessions and POST /sessions/adopt, and GET /media/UFRAG for viewers in
place of media: a line every half second with the current rung and the delivered share. A session without watchers ends after
`WATCHED_WITHIN`.

A boot is one run of a server process; a life is one run of a front process, so that a restart of a front is a new life.
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
from curlewshift.standins.traffic import ArrivalTimedStream, Traffic

NS = 1_000_000_000
MS = 1_000_000
SDP = "application/sdp"
FINGERPRINT = "sha-256 " + ":".join(["5A"] * 32)
# CPU time of one set-up (s), and the number of set-ups that may wait for a core.
SETUP_WORK = 0.03
MOST_QUEUED = 40
# A session ends after this time (s) without a watcher, and after this time (s) without a connection of its front's life.
WATCHED_WITHIN = 3.0
FRONT_WITHIN = 10.0
# Backlog of the listening socket, unless accepting is paused.
LISTEN_BACKLOG = 1024
JSON_HEADERS = [("content-type", "application/json")]
# Interval of the lines that stand for media (s).
MEDIA_EVERY = 0.5
# Interval of load reports (s), and their maximum relative error.
REPORT_EVERY = 0.3
NOISE = 0.02
# Interval of notes (s); they are sent to all fronts at the same times, at its multiples.
SHORT_EVERY = 1.0
# Entries of past load that late notes are taken from.
MAX_HISTORY = 200
# Delivered share below which a front is notified.
SHORT_UNDER = 0.98


@dataclass(eq=False, slots=True)
class Session:
    """A session at the server; times are ns of the monotonic clock."""

    name: str
    # identifies the session in requests for its media
    ufrag: str
    front: str
    request: str
    package: str
    title: str
    rung: int
    rate: float
    # its actual rate divided by the rate of the ladder
    rate_factor: float
    # the client's ICE user name fragment, and the number of ICE restarts
    client_ufrag: str = ""
    restarts: int = 0
    started_at: int = field(default_factory=time.monotonic_ns)
    watchers: int = 0
    candidates: list = field(default_factory=list)
    unwatched_since: int = field(default_factory=time.monotonic_ns)
    # the id of the viewing that a paid set-up carried, and the answer to it
    viewing: str = ""
    answer: str = ""

    @property
    def etag(self) -> str:
        return f'"{self.name[:6]}.{self.restarts}"'


@dataclass(eq=False, slots=True)
class NotesSubscriber:
    """A front that follows the notes. `ended`: notes of ended sessions that have not been sent yet."""

    front: str
    ended: deque = field(default_factory=deque)
    wakeup: anyio.Event = field(default_factory=anyio.Event)
    open: bool = True
    closed_at: int = 0
    reported_short: bool = False


class MediaServer:
    """One boot of a server. `started_at`: ns of the monotonic clock, an hour ago for a warm one."""

    def __init__(
        self,
        machine: Machine,
        name: str,
        link: LinkModel,
        ladder: dict[str, tuple[float, ...]],
        obligations: Obligations,
        started_at: int,
        rng: Random,
        traffic: Traffic,
        setup_work: float = SETUP_WORK,
    ):
        self.machine, self.name, self.link, self.ladder = machine, name, link, ladder
        self.obligations, self.started_at, self.rng, self.traffic = obligations, started_at, rng, traffic
        self.setup_work = setup_work
        self.boot = f"{rng.getrandbits(32):08x}"
        self.sessions: dict[str, Session] = {}
        # highest fence (fencing token) seen of each fleet-wide task
        self.fences: dict[str, int] = {}
        self.media: dict[str, Session] = {}
        self.subscribers: dict[str, NotesSubscriber] = {}
        self.connections: set[HttpConnection] = set()
        self.cores = anyio.CapacityLimiter(machine.cores)
        self.queued = 0
        self.arrivals: deque[int] = deque()
        self.report = {"link": 0.0, "uplink": 0.0}
        self.history: deque[tuple[int, float, float, float]] = deque(maxlen=MAX_HISTORY)
        self.draining = False
        self.fails_fast = False
        self.loses_answers = ""
        # answers set-ups with a redirect; goes on with set-ups whose client has hung up
        self.redirects = self.ignores_hang_ups = False
        # ends unwatched sessions and sessions of fronts that are gone by itself
        self.tidy = True
        self.notes_late = 0.0
        self.thawed = anyio.Event()
        self.thawed.set()
        self.accepting = anyio.Event()
        self.accepting.set()
        self.fillers: list[socket.socket] = []
        self.overloaded = anyio.Event()
        self.scope = anyio.CancelScope()

    # ---- life cycle

    async def run(self, listener, ready=None) -> None:
        """Serves until it is stopped or fails by overload."""
        self.traffic.seen("boot", server=self.name, boot=self.boot, streams=self.machine.streams, born=self.started_at)
        with self.scope:
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_periodic_tasks)
                tasks.start_soon(self._die_when_overloaded, tasks)
                if ready is not None:
                    ready()
                await self._accept(listener, tasks)
        for connection in list(self.connections):
            connection.reset()
        self.link.asked = 0.0
        self.traffic.seen("dead", server=self.name, boot=self.boot, playing=len(self.sessions))

    def _accepts_fence(self, fence: str, front: str) -> bool:
        """Checks the fence of a request made under a lease: one of an earlier tenure than the latest seen is refused."""
        lease, _, text = fence.partition(";")
        number = int(text) if text.isdecimal() else 0
        accepted = number >= self.fences.get(lease, 0)
        if accepted:
            self.fences[lease] = number
        self.traffic.seen("act", server=self.name, front=front, lease=lease, number=number, accepted=accepted)
        return accepted

    def die(self) -> None:
        """Stops at once and resets all connections."""
        for connection in list(self.connections):
            connection.reset()
        self.scope.cancel()

    def freeze(self) -> None:
        """Accepts connections and requests but sends nothing until `unfreeze`; the sockets stay open."""
        self.thawed = anyio.Event()
        self.traffic.seen("froze", server=self.name, boot=self.boot)

    def unfreeze(self) -> None:
        self.thawed.set()
        self.traffic.seen("thawed", server=self.name, boot=self.boot)

    async def _die_when_overloaded(self, tasks) -> None:
        await self.overloaded.wait()
        self.traffic.seen("fell-over", server=self.name, boot=self.boot)
        self.die()

    async def pause_accepting(self) -> None:
        """Stops accepting and fills the kernel's accept queue, which then has one place. A client that connects has to wait for
        its kernel to send the SYN again, 1 s later at the earliest."""
        self.accepting = anyio.Event()
        self._set_backlog(0)
        # the first is taken by the accept call in progress and held there; the second fills the queue
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", int(self.name.rpartition(":")[2])))
            self.fillers.append(filler)
            await anyio.sleep(0.02)

    def resume_accepting(self) -> None:
        fillers, self.fillers = self.fillers, []
        for filler in fillers:
            filler.close()
        self._set_backlog(LISTEN_BACKLOG)
        self.accepting.set()

    def _set_backlog(self, size: int) -> None:
        try:
            self.listener.extra(SocketAttribute.raw_socket).listen(size)
        except OSError:
            # the server has been stopped meanwhile
            pass

    async def _accept(self, listener, tasks) -> None:
        self.listener = listener
        while True:
            stream = await listener.accept()
            await self.accepting.wait()
            tasks.start_soon(self._connection, stream)

    async def _connection(self, stream) -> None:
        connection = HttpConnection(ArrivalTimedStream(stream), self._serve)
        self.connections.add(connection)
        try:
            await connection.run()
        except (PeerDisconnected, AssertionError):
            pass
        finally:
            self.connections.discard(connection)

    async def _run_periodic_tasks(self) -> None:
        """Updates load reports and the history, and ends unwatched sessions and those of fronts that are gone."""
        last_report = 0.0
        while True:
            now = time.monotonic_ns()
            self._update_demand()
            self.history.append((now, self.link.use(), self.link.uplink.asked() / self.link.uplink.size, self.link.share()))
            if now / NS - last_report >= REPORT_EVERY:
                last_report = now / NS
                noise = self.rng.uniform(1 - NOISE, 1 + NOISE)
                self.report = {
                    "link": self.link.use() * noise,
                    "uplink": self.link.uplink.asked() / self.link.uplink.size * noise,
                }
            if self.thawed.is_set():
                for session in list(self.sessions.values()) if self.tidy else ():
                    if not session.watchers and now - session.unwatched_since > WATCHED_WITHIN * NS:
                        self._end(session, "nobody watches")
                    elif now - max(session.started_at, self._front_last_seen(session.front)) > FRONT_WITHIN * NS:
                        self._end(session, "its front is gone")
            await anyio.sleep(0.1)

    def _front_last_seen(self, front: str) -> int:
        """When this life of a front was last connected to the notes (ns); 0 if never."""
        subscriber = self.subscribers.get(front)
        return 0 if subscriber is None else time.monotonic_ns() if subscriber.open else subscriber.closed_at

    def _update_demand(self) -> None:
        self.link.asked = sum(session.rate * session.rate_factor for session in self.sessions.values())

    # ---- requests

    async def _serve(self, exchange: Exchange) -> None:
        first_byte = exchange.connection.stream.first_byte()
        parts = exchange.path.strip("/").split("/")
        if parts[0] in (PLAYS, PUBLISHES) and len(parts) == 3 and exchange.method == "POST":
            await self._setup(exchange, *parts, first_byte)
            return
        await self.thawed.wait()
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
            await self._list_sessions(exchange)
        elif parts == ["sessions", "adopt"] and exchange.method == "POST":
            await self._adopt(exchange)
        elif parts[0] == "load" and exchange.method == "GET":
            fence = exchange.headers.get("x-fence", "")
            if fence and not self._accepts_fence(fence, exchange.headers.get("x-front", "")):
                await exchange.answer(412, [])
            else:
                await exchange.answer(204, [(HEADER, encode_load(self.report))])
        else:
            await exchange.problem(404, "there is nothing at this path")

    async def _setup(self, exchange: Exchange, protocol: str, package: str, title: str, first_byte: int) -> None:
        headers = exchange.headers
        fields = dict(
            server=self.name,
            boot=self.boot,
            front=headers.get("x-front", ""),
            request=headers.get("x-request-id", ""),
            number=int(headers.get("x-tune-in", "0")),
        )
        layer = int(exchange.query.get("layer", "0"))
        self.traffic.seen("setup", package=package, title=title, rung=layer, first_byte=first_byte, **fields)
        recorded = False

        def record_end(how: str) -> None:
            nonlocal recorded
            if not recorded:
                recorded = True
                self.traffic.seen("setup-over", how=how, **fields)

        exchange.on_disconnect(lambda: record_end("gone"))
        try:
            await self._set_up(exchange, protocol, package, title, layer, fields, record_end)
        finally:
            record_end("dropped")

    async def _set_up(self, exchange, protocol, package, title, layer, fields, record_end) -> None:
        if falls_over(self.arrivals, time.monotonic_ns(), self.started_at, self.machine.streams, self.obligations):
            self.overloaded.set()
        await self.thawed.wait()
        if exchange.connection.gone and not self.ignores_hang_ups:
            raise PeerDisconnected
        rates = self.ladder.get(package)
        try:
            offer = checked_offer(exchange.body.decode("utf-8", "replace"), protocol)
            if rates is None or not 0 <= layer < len(rates):
                raise InvalidDescription(0, "no such package or layer")
        except InvalidDescription as error:
            record_end("bad")
            await exchange.problem(400, str(error))
            return
        if self.redirects:
            record_end("turned-away")
            await exchange.answer(307, [("location", f"http://127.0.0.1:1{exchange.path}")])
            return
        if self.draining or len(self.sessions) + self.queued >= self.machine.streams or self.queued >= MOST_QUEUED:
            record_end("turned-away")
            await exchange.problem(
                503, "it drains" if self.draining else "it is full", TURNED_AWAY, [(HEADER, encode_load(self.report))]
            )
            return
        if self.fails_fast:
            record_end("error")
            await exchange.problem(500, "the set-up failed")
            return
        self.queued += 1
        try:
            async with self.cores:
                self.traffic.seen("ran", **fields)
                await anyio.sleep(self.setup_work / self._warmth())
        finally:
            self.queued -= 1
        await self.thawed.wait()
        if self.loses_answers:
            await self._lose_answer(exchange)
            return
        if exchange.connection.gone and not self.ignores_hang_ups:
            # the client has gone, so no media would ever be watched
            raise PeerDisconnected
        session = Session(
            secrets.token_hex(8),
            secrets.token_hex(4),
            fields["front"],
            fields["request"],
            package,
            title,
            layer,
            rates[layer],
            self.rng.uniform(0.88, 1.12),
            offer.first("ice-ufrag", offer.media[0]),
        )
        self.sessions[session.name] = self.media[session.ufrag] = session
        self._update_demand()
        self.traffic.seen("session", session=session.name, package=package, title=title, rung=layer, **fields)
        record_end("answered")
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
            self._end(session, "its answer was not taken", notify=False)
            raise

    async def _lose_answer(self, exchange: Exchange) -> None:
        """Loses the answer after the work is done: by a reset, or by silence until the other side hangs up."""
        if self.loses_answers == "reset":
            exchange.abort()
            raise PeerDisconnected
        gone = anyio.Event()
        exchange.on_disconnect(gone.set)
        await gone.wait()
        raise PeerDisconnected

    def _warmth(self) -> float:
        return warmth(time.monotonic_ns() - self.started_at, self.obligations.warm_within, self.obligations.start_capacity)

    async def _layer(self, exchange: Exchange, name: str) -> None:
        session = self.sessions.get(name)
        try:
            rung = int(decode(exchange.body, LayerChoice).encoding_id)
        except (InvalidBody, ValueError) as error:
            await exchange.problem(400, str(error))
            return
        if session is None or not 0 <= rung < len(self.ladder[session.package]):
            await exchange.problem(404 if session is None else 400, "no such session or layer")
            return
        session.rung, session.rate = rung, self.ladder[session.package][rung]
        self._update_demand()
        self.traffic.seen("layer", server=self.name, session=name, rung=rung, front=session.front, package=session.package)
        await exchange.answer(204)

    async def _patch(self, exchange: Exchange, name: str) -> None:
        """Adds candidates, or restarts ICE (RFC 9725, 4.3)."""
        session = self.sessions.get(name)
        if session is None:
            await exchange.problem(404, "no such session")
            return
        try:
            fragment = parse_fragment(exchange.body.decode("utf-8", "replace"))
        except InvalidDescription as error:
            await exchange.problem(400, str(error))
            return
        restarts = fragment.restarts(session.client_ufrag)
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
        session.restarts, session.client_ufrag = session.restarts + 1, fragment.ufrag
        await exchange.answer(
            200,
            [("content-type", FRAGMENT), ("etag", session.etag)],
            fragment_text(session.ufrag, secrets.token_hex(12)).encode(),
        )

    async def _delete(self, exchange: Exchange, session: Session | None) -> None:
        """Ends a session for its front, or, with `x-was`, for a front that is gone by the holder of the fleet-wide lease. The
        latter requires that the session still belongs to that front and has no watchers."""
        fence, previous_front = exchange.headers.get("x-fence", ""), exchange.headers.get("x-was", "")
        if fence and not self._accepts_fence(fence, exchange.headers.get("x-front", "")):
            await exchange.answer(412, [])
        elif session is None:
            await exchange.answer(404)
        elif previous_front and (session.front != previous_front or session.watchers):
            await exchange.answer(409, [])
        else:
            self._end(session, "left by a front that is gone" if previous_front else "deleted", notify=False)
            await exchange.answer(200)

    def _orphaned_sessions(self, away: int) -> list[Session]:
        """Sessions without watchers whose front has been away for more than `away` (ns)."""
        now = time.monotonic_ns()
        return [
            session
            for session in self.sessions.values()
            if not session.watchers and now - max(session.started_at, self._front_last_seen(session.front)) > away
        ]

    async def _list_sessions(self, exchange: Exchange) -> None:
        """Lists the sessions of all lives of the requesting front; or, with `away`, the orphaned sessions for the holder of the
        fleet-wide lease."""
        away = exchange.query.get("away", "")
        if away.isdecimal():
            if not self._accepts_fence(exchange.headers.get("x-fence", ""), exchange.headers.get("x-front", "")):
                await exchange.answer(412, [])
                return
            orphaned = [
                SessionRow(f"/session/{session.name}", session.front, session.rung)
                for session in self._orphaned_sessions(int(away) * 1_000_000)
            ]
            await exchange.answer(200, JSON_HEADERS, encode(SessionList(self.boot, orphaned)))
            return
        front = front_of(exchange.query.get("front", ""))
        rows = [
            SessionRow(f"/session/{session.name}", session.front, session.rung, session.viewing, session.etag, session.answer)
            for session in self.sessions.values()
            if front_of(session.front) == front
        ]
        await exchange.answer(200, JSON_HEADERS, encode(SessionList(self.boot, rows)))

    async def _adopt(self, exchange: Exchange) -> None:
        """Transfers sessions of earlier lives of a front to its present life; ended sessions are left out of the answer."""
        life = exchange.headers.get("x-front", "")
        try:
            requested = decode(exchange.body, SessionNames).sessions
        except InvalidBody as error:
            await exchange.problem(400, str(error))
            return
        adopted = []
        for path in requested:
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
                adopted.append(path)
        await exchange.answer(200, JSON_HEADERS, encode(SessionNames(adopted)))

    def _end(self, session: Session, why: str, notify: bool = True) -> None:
        if self.sessions.pop(session.name, None) is None:
            return
        del self.media[session.ufrag]
        self._update_demand()
        self.traffic.seen("session-end", server=self.name, boot=self.boot, session=session.name, why=why)
        subscriber = self.subscribers.get(session.front)
        if notify and subscriber is not None:
            subscriber.ended.append(Note(session=f"/session/{session.name}", why=why))
            subscriber.wakeup.set()

    # ---- media for viewers, notes for fronts

    async def _media(self, exchange: Exchange, ufrag: str) -> None:
        session = self.media.get(ufrag)
        if session is None:
            await exchange.problem(404, "no such session")
            return
        send_chunk = await exchange.start(200, [("content-type", "application/jsonl")])
        session.watchers += 1
        try:
            while session.name in self.sessions:
                if self.thawed.is_set():
                    await send_chunk(b'{"rung":%d,"share":%.3f}\n' % (session.rung, self.link.share()))
                await anyio.sleep(MEDIA_EVERY)
                if exchange.connection.gone:
                    raise PeerDisconnected
        finally:
            session.watchers -= 1
            session.unwatched_since = time.monotonic_ns()

    async def _notes(self, exchange: Exchange) -> None:
        front = exchange.query.get("front", "")
        subscriber = self.subscribers.get(front)
        if subscriber is None or subscriber.open:
            subscriber = self.subscribers[front] = NotesSubscriber(front)
        subscriber.open = True
        send_chunk = await exchange.start(200, [("content-type", CONTENT_TYPE)])
        self.traffic.seen("notes-open", server=self.name, boot=self.boot, front=front)
        exchange.on_disconnect(subscriber.wakeup.set)
        try:
            await send_chunk(_event("hello", Note(boot=self.boot)))
            await self._note_loop(exchange, subscriber, send_chunk)
        finally:
            subscriber.open, subscriber.closed_at = False, time.monotonic_ns()
            self.traffic.seen("notes-end", server=self.name, boot=self.boot, front=front)

    async def _note_loop(self, exchange: Exchange, subscriber: NotesSubscriber, send_chunk) -> None:
        next_short, next_load = _next_multiple(SHORT_EVERY), _next_multiple(self.obligations.told_every / NS)
        while True:
            if exchange.connection.gone:
                raise PeerDisconnected
            await self.thawed.wait()
            while subscriber.ended:
                await send_chunk(_event("ended", subscriber.ended.popleft()))
            now = time.monotonic()
            if now >= next_short:
                next_short = _next_multiple(SHORT_EVERY)
                await self._send_delivered_share(subscriber, send_chunk)
            if now >= next_load:
                next_load = _next_multiple(self.obligations.told_every / NS)
                if self._has_sessions_for(subscriber):
                    _, link, uplink, _ = self._delayed_state()
                    await send_chunk(_event("load", Note(link=link, uplink=uplink if self.obligations.uplinks else None)))
            subscriber.wakeup = anyio.Event()
            exchange.on_disconnect(subscriber.wakeup.set)
            with anyio.move_on_after(max(0.01, min(next_short, next_load) - time.monotonic())):
                await subscriber.wakeup.wait()

    async def _send_delivered_share(self, subscriber: NotesSubscriber, send_chunk) -> None:
        share = self._delayed_state()[3]
        short = share < SHORT_UNDER and self._has_sessions_for(subscriber)
        if short or subscriber.reported_short:
            subscriber.reported_short = short
            await send_chunk(_event("delivered", Note(share=share)))
        else:
            await send_chunk(KEEP_ALIVE)

    def _has_sessions_for(self, subscriber: NotesSubscriber) -> bool:
        return any(session.front == subscriber.front for session in self.sessions.values())

    def _delayed_state(self) -> tuple[int, float, float, float]:
        """The state that notes report: that of `told_late`, plus the injected delay, ago."""
        return as_of(self.history, time.monotonic_ns() - self.obligations.told_late - int(self.notes_late * NS))


def front_of(life: str) -> str:
    """Name of a front, from the name of one of its lives."""
    return life.rpartition(".")[0] or life


def _next_multiple(every: float) -> float:
    """The next multiple of `every` (s) on the monotonic clock, which all processes share."""
    return (time.monotonic() // every + 1) * every


def _event(kind: str, note: Note) -> bytes:
    return encode_event(Event(kind, encode(note).decode()))
