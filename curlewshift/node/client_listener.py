"""The door towards viewers: connections, and the sessions that were asked for on them. It decides nothing.

A session belongs to no connection once it stands, so sessions are known by their ids here, and what ends one may go out
on any connection on which viewers have been answered. A request that waits for its answer hangs on its connection.
"""

from __future__ import annotations

import re
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from curlewshift.exchange.accepting import Patient
from curlewshift.node import rtsp
from curlewshift.node.buffered_connection import BufferedConnection, Intake, Listener, PendingWrite
from curlewshift.node.trace import trail_of
from curlewshift.session_core.front_session import Answer, FrontSession, Kind, Request
from curlewshift.session_core.session_core import InvalidRequest

MS = 1_000_000
NS = 1_000_000_000
# A viewer has begun its first message this long after it has connected, and goes on with one that it has begun after this
# at the latest (ns). One that comes in pieces is whole after the longest of the three, and the first of a connection so
# long after that was made: the page gives bad clients three seconds to be told off in.
BEGUN_WITHIN = 3 * NS // 2
PAUSE_WITHIN = NS
WHOLE_WITHIN = 5 * NS // 2
SWEEP = 0.1
# An answer is this long on its way to its viewer at the most; after that it would find nobody (ns).
WAY_BACK = 10 * MS
# A kernel resets a connection whose program has closed it with something unread, or that is given something after the close. So a
# reset so long after an answer says that the client has not read it (ns); one that follows a close in peace comes within (s):
RESET_WITHIN, RESET_FOLLOWS_WITHIN = NS, 0.05
# A request that is past its time by so much has been forgotten by whoever should have answered (ns).
OVERDUE = NS // 10
# Releases that wait for a connection to go out on; more are dropped, oldest first.
MOST_PENDING = 5000
# Sessions torn down that nobody here knew: a hand-over that comes after its own end must not stand. So many are kept.
MOST_TORN_DOWN = 2000

SESSION = re.compile(r"[0-9a-f]{16}")
TITLE = re.compile(r"rtsp://media/([0-9a-f]{16})")
WAIT = re.compile(r"[0-9]{1,9}")
NUMBER = re.compile(r"[0-9]{1,15}(?:\.[0-9]{1,9})?")
CAUSE = re.compile(r"(?:.*;)? *cause=([0-9]{1,3})")
AT = re.compile(r"s-[0-9a-f]{8}")
MOST_DESCRIPTION = 8 * 1024
# The cause that a client is told whose answer was taken for unread: its session was cut.
UNREAD_CAUSE = 41
# Trying again is harmless after 453 and 503, and is not after the others.
NO_ROOM, LEAVING, FAILED, BAD = 453, 503, 500, 400


class RequestError(Exception):
    """Why a request cannot be taken as it stands."""

    def __init__(self, why: str, status: int = BAD, named: bool = True):
        super().__init__(why)
        self.status, self.named = status, named


@dataclass(eq=False, slots=True)
class Asked:
    """One session by its viewer's id: asked for, or standing."""

    name: str
    connection: ClientConnection | None
    request: Request | None = None
    front_session: FrontSession | None = None


@dataclass(eq=False, slots=True)
class Owed(PendingWrite):
    """A release that its viewer has yet to be told; `handed` once its first byte has left."""

    name: str
    cause: int
    connection: ClientConnection | None = None
    handed: bool = False

    def leaves(self) -> bool:
        """Not on a connection that its viewer has closed, though nobody has read that yet: then it goes out on another."""
        if self.connection is not None and self.connection.wire.peer_closed():
            self.connection = None
            return False
        return True


class ClientConnection:
    """One connection from viewers."""

    def __init__(self, wire: BufferedConnection, now: int, number: int):
        """`number` is its name in the log."""
        self.number = number
        self.wire, self.intake = wire, Intake(rtsp.Reader(), rtsp.Malformed, now)
        self.waiting: dict[str, Asked] = {}
        # viewings asked for here that stand: their ends are told here, and their viewers' next requests come here
        self.standing = 0
        # those of them that were answered last, and the releases that were told here last, with the times
        self.answered: deque[tuple[int, Asked]] = deque()
        self.told: deque[tuple[int, Owed]] = deque()
        # called once what is there to be read has been read
        self.after_reading: list[Callable[[], None]] = []
        # what comes on it cannot be read any more: it goes once all that is open on it is answered
        self.spoilt = False
        self.opened_at = now
        # a whole message has been read
        self.spoke = False
        # a viewing was answered here, or a test: whoever is there follows the protocol
        self.good = False
        self.rested_at = now / NS

    # for the gate, see curlewshift/limits/descriptors.py

    @property
    def at_work(self) -> bool:
        """Asked for something, or with an answer on its way, or with something to be read first."""
        return bool(self.waiting) or bool(self.wire.waiting) or self.wire.unread()

    @property
    def asking(self) -> bool:
        """Part of a request has come."""
        return self.intake.partial and not self.spoilt

    @property
    def spared(self) -> bool:
        """What stands here is told of here: after a crowd that asks once and stays nobody else may be left to tell it to."""
        return self.standing > 0

    def drop(self) -> None:
        self.wire.drop()

    def spoil(self) -> None:
        """Nothing more can be read on it. What was asked before is answered all the same."""
        self.spoilt = True
        self.end_if_done()

    def end_if_done(self) -> None:
        if self.spoilt and not self.waiting:
            self.wire.end()


class ClientListener:
    """`node` is told what viewers ask for; see curlewshift/node/node.py. `cells` is how many the list has."""

    def __init__(self, node, gate, log, cells: int, tops: int):
        self.node, self.gate, self.log = node, gate, log
        self.trail = trail_of(node.now, log)
        self.cells, self.tops = cells, tops
        self.opened = 0
        self.asked: dict[str, Asked] = {}
        self.connections: dict[ClientConnection, bool] = {}
        # releases of which nothing has left yet
        self.pending_releases: dict[str, Owed] = {}
        self.torn_down: OrderedDict[str, int] = OrderedDict()
        self.last_good: ClientConnection | None = None

    # ---- connections

    async def serve(self, listener: Listener, tasks) -> None:
        self.tasks, self.listener = tasks, listener
        try:
            await Patient(listener, self.gate).serve(self._run, task_group=tasks)
        finally:
            listener.close()

    async def _run(self, sock) -> None:
        wire = BufferedConnection(sock, self.tasks)
        self.opened += 1
        connection = ClientConnection(wire, self.node.now(), self.opened)
        self.connections[connection] = True
        self.gate.opened(connection)
        try:
            # waiting to be readable again, who sends without end is read in turn with the others
            while data := await wire.receive():
                self._read(connection, data)
            # whoever closes has gone: nothing of his may be begun while this connection is being closed
            self._left(connection)
            await self._end_unread(connection)
        except Exception as fault:
            self.log.error("fault", what="a connection from viewers", cause=repr(fault), exc_info=fault)
        finally:
            self._left(connection)
            await wire.close()
            self.gate.closed(connection)

    def _left(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)
        if self.last_good is connection:
            self.last_good = None
        if connection.waiting:
            self.log.info(
                "client-closed",
                connection=connection.number,
                by_client=connection.wire.ended_by_peer,
                waiting=list(connection.waiting)[:8],
            )
        for asked in list(connection.waiting.values()):
            try:
                self._give_up(asked)
            except Exception as fault:
                # one viewing's, and not that of the others on its connection
                self.log.error("fault", what="a viewer who left", session=asked.name, cause=repr(fault), exc_info=fault)
        connection.after_reading.clear()
        self.trail.ended(connection)
        for owed in self.pending_releases.values():
            if owed.connection is connection:
                owed.connection = None

    async def _end_unread(self, connection: ClientConnection) -> None:
        """Its client has closed it: what it has not read is told elsewhere, and sessions whose answers it has not read are
        over."""
        since = self.node.now() - RESET_WITHIN
        answered = [asked for at, asked in connection.answered if at >= since]
        told = [owed for at, owed in connection.told if at >= since]
        if not (answered or told) or not connection.wire.ended_by_peer or connection.wire.ended_here:
            return
        if not await connection.wire.was_reset(RESET_FOLLOWS_WITHIN):
            return
        for owed in told:
            self.log.info("release-unread", session=owed.name, connection=connection.number)
            self._owe(owed.name, owed.cause, None)
        for asked in answered:
            if self.asked.get(asked.name) is asked:
                self.log.info("answer-unread", session=asked.name, connection=connection.number)
                self._forget(asked)
                self.node.released(asked.front_session, 0)
                self._owe(asked.name, UNREAD_CAUSE, None)

    def _read(self, connection: ClientConnection, data: bytes) -> None:
        if not connection.spoilt:
            now = self.node.now()
            messages, wrong = connection.intake.feed(data, now)
            connection.spoke = connection.spoke or bool(messages)
            if connection.intake.partial:
                # as long as its pieces come it does not rest
                connection.rested_at = now / NS
            for message in messages:
                # a set-up that crosses the close comes again on another connection, the end of a session does not
                if connection.wire.open or message.method == "TEARDOWN":
                    self._take(connection, message, now)
            if wrong is not None:
                self.log.info("malformed", what="viewers", cause=str(wrong))
                connection.wire.send(rtsp.answer(wrong.status, "1", ""))
                connection.spoil()
        then, connection.after_reading = connection.after_reading, []
        for call in then:
            call()

    def read_first(self, name: str, then: Callable[[], None]) -> bool:
        """Whether the viewer who asked for this has sent something, or closed, that nobody has read yet: it may say that he
        has gone. Then `then` is called once it has been read, unless he has."""
        asked = self.asked.get(name)
        if asked is None or asked.connection is None or not asked.connection.wire.unread():
            return False
        asked.connection.after_reading.append(then)
        return True

    async def finish(self, answered_by: float, closed_by: float) -> None:
        """The node's end: who has come is answered, what is queued goes out, and each connection is closed in peace as soon as
        nothing is open on it. Who still waits at `answered_by` is answered then; all is over at `closed_by` (anyio's clock)."""
        try:
            while (sock := self.listener.accept_one()) is not None:
                self.tasks.start_soon(self._run, sock)
        except OSError:
            # no descriptor is left to take them with: the kernel turns them away
            pass
        self.listener.close()
        await anyio.sleep(0)
        while any(connection.wire.open for connection in self.connections) and anyio.current_time() < answered_by:
            for connection in self.connections:
                if not (connection.at_work or connection.asking or self.pending_releases):
                    connection.wire.end()
            await anyio.sleep(0.005)
        self.node.end_waiting()
        for connection in list(self.connections):
            connection.wire.end()
        while self.connections and anyio.current_time() < closed_by:
            await anyio.sleep(0.005)

    def sweep(self) -> None:
        """Connections that say nothing, or half of something, are closed in time."""
        now = self.node.now()
        for connection in list(self.connections):
            since = now - connection.opened_at
            silent = not connection.spoke and since > (WHOLE_WITHIN if connection.intake.partial else BEGUN_WITHIN)
            stuck = connection.intake.stuck(now, WHOLE_WITHIN, PAUSE_WITHIN)
            if (silent or stuck) and not connection.spoilt and not connection.wire.unread():
                connection.spoil()
            connection.end_if_done()
            for asked in list(connection.waiting.values()):
                if asked.request is not None and now > asked.request.expires + OVERDUE:
                    # nothing should come to this; if something does, it is told, and the viewer is not kept waiting for ever
                    self.log.error("unanswered", session=asked.name, cause="its time is over, and nobody has said so")
                    connection.wire.send(rtsp.answer(FAILED, "1", asked.name))
                    self._give_up(asked)
        if self.gate.crowded:
            self.gate.make_room(needed=False)
        if self.pending_releases:
            self._say()

    # ---- messages

    def _take(self, connection: ClientConnection, message: rtsp.Message, now: int) -> None:
        number = message.fields.get("cseq", "1")[:16]
        name = message.fields.get("session", "")
        if message.status:
            return
        try:
            if message.doubled:
                raise RequestError("a field comes twice")
            if not number.isdigit():
                number = "1"
                raise RequestError("no number")
            if message.method == "OPTIONS":
                connection.wire.send(
                    rtsp.answer(200 if self.node.ready else 503, number, name if SESSION.fullmatch(name) else "")
                )
                return
            if not SESSION.fullmatch(name):
                raise RequestError("no session's id")
            if message.method == "SETUP":
                self._set_up(connection, name, message, now)
            elif message.method == "TEARDOWN":
                self._torn_down(connection, name, number, message)
            elif message.method not in ("ANNOUNCE", "REDIRECT", "SET_PARAMETER"):
                raise RequestError(f"nothing is known of {message.method}", 501)
        except (RequestError, InvalidRequest) as wrong:
            self.log.info("wrong", what=message.method, session=name[:16], cause=str(wrong))
            # under an id that is open, or cannot be told, its error could be read as the answer to another
            named = SESSION.fullmatch(name) and not message.doubled and getattr(wrong, "named", True)
            connection.wire.send(rtsp.answer(getattr(wrong, "status", BAD), number, name if named else ""))
        except Exception as fault:
            # one viewing's, and not that of the others on its connection
            self.log.error("fault", what=message.method, session=name[:16], cause=repr(fault), exc_info=fault)
            if message.method == "SETUP" and SESSION.fullmatch(name):
                connection.wire.send(rtsp.answer(FAILED, number, name))

    def _set_up(self, connection: ClientConnection, name: str, message: rtsp.Message, now: int) -> None:
        fields = message.fields
        title = TITLE.fullmatch(message.address)
        if not title:
            raise RequestError("the address names no title", 404)
        legs = _legs(fields.get("x-legs", ""))
        base = _whole(legs, "home", self.cells - 1)
        span = _whole(legs, "copies", self.cells)
        top = _whole(legs, "top", self.tops)
        viewer = legs.get("viewer", "")
        wait, hint = fields.get("x-timer-ms", ""), fields.get("x-length")
        if span < 1 or not SESSION.fullmatch(viewer):
            raise RequestError("no figures of a viewer")
        if not WAIT.fullmatch(wait) or int(wait) == 0:
            raise RequestError("no time to wait")
        if hint is not None and not NUMBER.fullmatch(hint):
            raise RequestError("a length that is no number")
        if not 0 < len(message.body) <= MOST_DESCRIPTION:
            raise RequestError("no description")
        expected = round(float(hint) * MS) if hint is not None else 0
        package, viewer = fields.get("x-cos", ""), int(viewer, 16)
        if "at" in legs:
            connection.good = True
            if name in self.asked or not AT.fullmatch(legs["at"]):
                return
            over = self.node.over_at(name, legs["at"], self.torn_down.pop(name, None))
            if over is None:
                front_session = self.node.plays_at(name, package, title[1], base, span, top, viewer, expected, legs["at"])
                self._stands(Asked(name, connection, front_session=front_session))
            elif over:
                self._owe(name, over, connection)
            return
        if name in self.asked:
            raise RequestError("this session is open already", 455, named=False)
        if self.torn_down.pop(name, None) is not None:
            raise RequestError("its end came first, on another connection", 454)
        asked = self.asked[name] = Asked(name, connection)
        connection.waiting[name] = asked
        self.trail.taken(name, connection)
        try:
            asked.request = self.node.asked(
                name,
                package,
                title[1],
                base,
                span,
                top,
                viewer,
                expected,
                "again" in legs,
                max(MS, int(wait) * MS - WAY_BACK),
                now,
                message.body,
            )
        except BaseException:
            self._forget(asked)
            raise

    def _torn_down(self, connection: ClientConnection, name: str, number: str, message: rtsp.Message) -> None:
        asked = self.asked.get(name)
        found = CAUSE.fullmatch(message.fields.get("reason", ""))
        cause = min(int(found[1]), 127) if found else 0
        if asked is None:
            owed = self.pending_releases.pop(name, None)
            if owed is not None and owed.connection is not None:
                owed.connection.wire.withdraw(owed)
            elif owed is None:
                self.torn_down[name] = cause
                if len(self.torn_down) > MOST_TORN_DOWN:
                    self.torn_down.popitem(last=False)
            raise RequestError("no such session is open", 454)
        connection.wire.send(rtsp.answer(200, number, name))
        if asked.front_session is None:
            self._give_up(asked)
            return
        self._forget(asked)
        self.node.released(asked.front_session, cause)

    def _give_up(self, asked: Asked) -> None:
        self.trail.note(asked.name, "given up")
        self._forget(asked)
        if asked.request is not None:
            self.node.gave_up(asked.request)

    def _forget(self, asked: Asked) -> None:
        self.asked.pop(asked.name, None)
        if asked.connection is not None:
            if asked.connection.waiting.pop(asked.name, None) is not None:
                asked.connection.rested_at = self.node.now() / NS
            elif asked.front_session is not None:
                asked.connection.standing -= 1

    def _stands(self, asked: Asked) -> None:
        self.asked[asked.name] = asked
        asked.connection.standing += 1

    # ---- what goes back

    def answer(self, asked: Asked, answer: Answer, description: bytes = b"") -> None:
        connection = asked.connection
        if self.asked.get(asked.name) is not asked:
            return
        self._forget(asked)
        queued = self.trail.answered(asked.name, asked.request is not None and self.node.now() > asked.request.expires + OVERDUE)
        if answer.kind is Kind.PLAYS:
            asked.front_session = answer.front_session
            self._stands(asked)
            if connection.wire.peer_closed():
                self.node.later(lambda: self._nobody_has(asked))
                return
            connection.wire.send(rtsp.answer(200, "1", asked.name, description), queued)
            connection.good, self.last_good = True, connection
            self._note(connection.answered, asked)
        elif answer.kind is Kind.REFUSED:
            pause = f"X-Pause: {answer.wait // MS}\r\n" if answer.wait else ""
            connection.wire.send(rtsp.answer(LEAVING if self.node.draining else NO_ROOM, "1", asked.name, fields=pause), queued)
        else:
            connection.wire.send(rtsp.answer(FAILED, "1", asked.name), queued)

    def _note(self, recent: deque[tuple[int, object]], what: object) -> None:
        """Keeps what a reset may show to be unread."""
        now = self.node.now()
        while recent and recent[0][0] < now - RESET_WITHIN:
            recent.popleft()
        recent.append((now, what))

    def _nobody_has(self, asked: Asked) -> None:
        """Its client had closed before the answer came, though nobody had read that."""
        if self.asked.get(asked.name) is asked:
            self._forget(asked)
            self.node.released(asked.front_session, 0)

    def release(self, asked: Asked, cause: int | None) -> None:
        """The session is over; no cause for one of which its viewer is to hear nothing."""
        if self.asked.get(asked.name) is asked:
            self._forget(asked)
            if cause is not None:
                self._owe(asked.name, cause, asked.connection)

    def _owe(self, name: str, cause: int, own: ClientConnection | None) -> None:
        self.pending_releases[name] = Owed(name, cause)
        if len(self.pending_releases) > MOST_PENDING:
            del self.pending_releases[next(iter(self.pending_releases))]
        self._say(own)

    def _say(self, own: ClientConnection | None = None) -> None:
        """Releases that are owed go out: on the connection of the set-up, or else on any that has served viewers. They are
        owed until they have left: what waits on a connection that ends goes out on another."""
        for owed in [owed for owed in self.pending_releases.values() if owed.handed]:
            del self.pending_releases[owed.name]
        connection = own if own is not None and own.wire.open else self._good()
        if connection is None:
            return
        for owed in self.pending_releases.values():
            if owed.connection is None or not owed.connection.wire.open:
                owed.connection = connection
                self._note(connection.told, owed)
                connection.wire.send(rtsp.release(owed.name, owed.cause), owed)

    def _good(self) -> ClientConnection | None:
        if self.last_good is None or not self.last_good.wire.open:
            self.last_good = next(
                (connection for connection in reversed(self.connections) if connection.good and connection.wire.open), None
            )
        return self.last_good


def _legs(text: str) -> dict[str, str]:
    legs = {}
    for part in text.split(";"):
        name, colon, value = part.strip().partition(":")
        if not colon or name in legs:
            raise RequestError("figures that cannot be read")
        legs[name] = value
    return legs


def _whole(legs: dict[str, str], name: str, most: int) -> int:
    value = legs.get(name, "")
    if not value.isdigit() or len(value) > 6 or int(value) > most:
        raise RequestError(f"{name} is no number from 0 to {most}")
    return int(value)
