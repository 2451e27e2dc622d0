"""The front's hands at the servers: tune-ins, layers, endings, probes. One task each, ended by its scope.

What proves that a tune-in never ran is told apart here: a connection that was refused or not had, a request of which
no byte was written, and a 503 that says by its problem type that it was turned away unseen. All else may have run.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from curlewshift.exchange.client import ConnectionBroken, HttpClientConnection, HttpResponse, RequestNotSent, ask, connect
from curlewshift.model import Outcome, Server
from curlewshift.recovery.recovery import ListedSession, Recovery
from curlewshift.retries.session_ends import SessionEnd
from curlewshift.session_core.front_session import TuneIn
from curlewshift.session_core.server_commands import Result, ServerCommand
from curlewshift.session_core.session_core import SessionCore
from curlewshift.signalling.bodies import (
    PROBLEM_TYPE,
    TURNED_AWAY,
    InvalidBody,
    LayerChoice,
    Problem,
    SessionList,
    SessionNames,
    decode,
    encode,
)
from curlewshift.signalling.conditions import refusal
from curlewshift.signalling.fragments import CONTENT_TYPE as FRAGMENT
from curlewshift.signalling.fragments import Fragment
from curlewshift.signalling.loads import HEADER, decode_load
from curlewshift.site.site import host_port
from curlewshift.state.intents import Intents, intent_of
from curlewshift.state.journal import Journal, WriteFailed
from curlewshift.state.setting_up import SEND, setting_up

NS = 1_000_000_000
SDP = "application/sdp"
JSON = [("content-type", "application/json")]
# Idle connections kept to one server, for packages that may be set up again.
MOST_IDLE = 8
# An answer that crosses with the giving up of its tune-in is waited for so long (s).
LATE_ANSWER = 2.0
# For calls on which no viewer waits (s).
PATIENT = 2.0


@dataclass(slots=True)
class Session:
    """Where a session is at its server, and the server's answer for the viewer."""

    path: str
    answer: str
    # of its ICE session, as the server has it, and the client's own credentials
    etag: str = ""
    ufrag: str = ""


@dataclass(frozen=True, slots=True)
class Patch:
    """What a client sends to change its session."""

    body: bytes
    fragment: Fragment
    if_match: str | None


@dataclass(slots=True)
class Reply:
    """A server's words on a patch, or the front's own for it."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes = b""


@dataclass(slots=True)
class Out:
    """A tune-in under way."""

    scope: anyio.CancelScope
    call: HttpClientConnection | None = None
    # its connection has ended, or its answer has been read
    over: anyio.Event = field(default_factory=anyio.Event)


def doubt_mark(key: str) -> str:
    """A key as a server gets to know it: it names a client's request, and does not let anyone use it."""
    return hashlib.sha256(key.encode()).hexdigest()[:32]


class ServerPool:
    steps = staticmethod(setting_up)

    def __init__(
        self,
        session_core: SessionCore,
        tasks: TaskGroup,
        name: str,
        most_connections: int,
        log,
        tls=None,
        intents: Intents | None = None,
        journal: Journal | None = None,
        wall=None,
    ):
        self.session_core, self.tasks, self.name, self.log = session_core, tasks, name, log
        self.most_connections, self.tls = most_connections, tls
        # what is to be known after a kill; without a state folder nothing is
        self.intents, self.journal, self.wall = intents, journal, wall
        self.disk = anyio.CapacityLimiter(1)
        self.out: dict[TuneIn, Out] = {}
        self.connections: dict[Server, int] = {}
        self.idle: dict[Server, list[HttpClientConnection]] = {}

    # ---- tune-ins

    def tune_in(self, tune_in: TuneIn) -> None:
        out = self.out[tune_in] = Out(anyio.CancelScope())
        request = (
            tune_in.front_session.requests[0].name if tune_in.front_session.requests else str(tune_in.front_session.viewing.name)
        )
        self.tasks.start_soon(self._tune_in, tune_in, out, request)

    def withdraw(self, tune_in: TuneIn) -> bool:
        out = self.out.get(tune_in)
        if out is None:
            return True
        if out.call is None or not out.call.request_started:
            out.scope.cancel()
            return False
        # The server sees that nobody waits; an answer that is on its way already is still read, as the session that
        # it tells of has to be ended.
        out.call.shut_down_sending()
        viewing = tune_in.front_session.viewing
        viewing.unconfirmed = {*viewing.unconfirmed, tune_in.server}
        out.scope.deadline = anyio.current_time() + LATE_ANSWER
        return True

    async def _tune_in(self, tune_in: TuneIn, out: Out, request: str) -> None:
        server = tune_in.server
        kept = False
        try:
            with out.scope:
                try:
                    # a kept connection may end under the request, which proves nothing: not for what is paid
                    fresh = tune_in.front_session.viewing.package.paid_at_setup
                    call = out.call = await self._connection(server, (tune_in.until - self.session_core.now()) / NS, fresh)
                    await self._after_earlier(tune_in)
                    ended = await self._ready(tune_in)
                    if ended is not None:
                        self._end(tune_in, ended)
                        return
                    answered = await self._ask(tune_in, call, request)
                    kept = self._keep(server, call)
                    self._judge(tune_in, answered)
                except RequestNotSent as wrong:
                    self.log.info("not-reached", server=server.name, viewing=request, cause=str(wrong))
                    self._end(tune_in, Outcome.UNREACHED)
                except ConnectionBroken as wrong:
                    self.log.info("broke", server=server.name, viewing=request, cause=str(wrong))
                    self.session_core.failed(tune_in, Outcome.BROKEN)
                except Exception as fault:
                    # one tune-in that goes wrong in a way on no list must not end the front
                    self.log.error("fault", viewing=request, server=server.name, cause=repr(fault), exc_info=fault)
                    self.session_core.failed(tune_in, Outcome.BROKEN)
        finally:
            del self.out[tune_in]
            out.over.set()
            viewing = tune_in.front_session.viewing
            viewing.unconfirmed = {one for one in viewing.unconfirmed if one is not server}
            if out.call is not None and not kept:
                with anyio.CancelScope(shield=True):
                    await self._drop(server, out.call)

    async def _after_earlier(self, tune_in: TuneIn) -> None:
        """Two connections order nothing: the server may see the end of an earlier attempt after the beginning of this one."""
        for other, out in list(self.out.items()):
            if other is not tune_in and other.front_session is tune_in.front_session and other.server is tune_in.server:
                await out.over.wait()

    async def _connection(self, server: Server, within: float, fresh: bool = False) -> HttpClientConnection:
        """One that is idle, or a new one within so many seconds. Raises `RequestNotSent`."""
        idle = self.idle.get(server)
        while idle and not fresh:
            call = idle.pop()
            if call.prepare_next_request():
                return call
            await self._drop(server, call)
        if self.connections.get(server, 0) >= self.most_connections:
            raise RequestNotSent(f"{self.most_connections} connections to this server are in use")
        self.connections[server] = self.connections.get(server, 0) + 1
        try:
            return await connect(*host_port(server.name), max(0.001, within), self.tls)
        except BaseException:
            self._count_down(server)
            raise

    async def _ask(self, tune_in: TuneIn, call: HttpClientConnection, request: str) -> HttpResponse:
        viewing = tune_in.front_session.viewing
        offer = tune_in.front_session.offer
        held = tune_in.front_session.held
        # by this a session is known again whose answer a killed front never got
        mark = [("x-viewing", doubt_mark(held.key))] if held is not None and viewing.package.paid_at_setup else []
        return await call.ask(
            "POST",
            f"/{offer.protocol}/{viewing.package.name}/{viewing.title}?layer={tune_in.rung}",
            [("content-type", SDP), ("x-request-id", request), ("x-front", self.name), ("x-tune-in", str(tune_in.number)), *mark],
            offer.text.encode() if offer else b"",
        )

    def _judge(self, tune_in: TuneIn, answered: HttpResponse) -> None:
        report = decode_load(answered.headers.get(HEADER, ""))
        if answered.status == 201 and answered.headers.get("location", "").startswith("/"):
            session = Session(
                answered.headers["location"],
                answered.body.decode("utf-8", "replace"),
                answered.headers.get("etag", ""),
                tune_in.front_session.offer.ufrag,
            )
            self.session_core.played(tune_in, session, report)
            return
        # A redirect has done nothing (RFC 9110, 15.4). It is not followed: where it points may be draining or cold,
        # and only the rules know; they pick again, as they do for a server that is full.
        full = answered.status in (307, 308) or (answered.status == 503 and _problem(answered).type == TURNED_AWAY)
        self._end(tune_in, Outcome.FULL if full else Outcome.ERROR, report)

    async def _ready(self, tune_in: TuneIn) -> Outcome | None:
        """Takes the steps before the first byte, with nothing awaited after the last look; how the tune-in ended, if it does not
        go out."""
        until = self.wall() + max(0, tune_in.front_session.viewing.expires - self.session_core.now())
        intent = intent_of(tune_in, until) if self.journal is not None else None
        steps = self.steps(self.session_core, tune_in, self.intents, intent)
        try:
            what, record = next(steps)
            while what != SEND:
                kept = True
                try:
                    await anyio.to_thread.run_sync(self.journal.add, record, True, limiter=self.disk)
                except WriteFailed as wrong:
                    self.log.error("intent-not-kept", server=tune_in.server.name, cause=str(wrong))
                    kept = False
                what, record = steps.send(kept)
        except StopIteration as ended:
            return ended.value
        # All who asked may have left while a connection was made or the disk was slow. It is not withdrawn when they leave, as
        # one who comes again with its key finds it on its way; but nothing begins for nobody.
        return None if tune_in.front_session.waiting else Outcome.UNSENT

    def _end(self, tune_in: TuneIn, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        """Not flushed: a lost end makes the answer after a kill more careful than it need be, and no more."""
        held = tune_in.front_session.held
        if self.journal is not None and held is not None and tune_in.front_session.viewing.package.paid_at_setup:
            record = self.intents.ended(held.key, outcome)
            if record is not None:
                self.tasks.start_soon(self._note, record)
        self.session_core.failed(tune_in, outcome, report)

    async def _note(self, record: list) -> None:
        try:
            await anyio.to_thread.run_sync(self.journal.add, record, False, limiter=self.disk)
            if self.intents.stale():
                async with self.disk:
                    # what is open is asked for with the disk in hand: an intent that waits for it is in there
                    self.intents.forget(self.wall())
                    await anyio.to_thread.run_sync(self.journal.rewrite, self.intents.snapshot())
        except WriteFailed as wrong:
            self.log.warning("end-not-kept", cause=str(wrong))

    # ---- connections

    def _keep(self, server: Server, call: HttpClientConnection) -> bool:
        idle = self.idle.setdefault(server, [])
        if len(idle) >= MOST_IDLE or call.http.our_state is not call.http.their_state:
            return False
        idle.append(call)
        return True

    async def _drop(self, server: Server, call: HttpClientConnection) -> None:
        self._count_down(server)
        await call.close()

    def _count_down(self, server: Server) -> None:
        left = self.connections.pop(server, 1) - 1
        if left > 0:
            self.connections[server] = left

    def forget(self, server: Server) -> None:
        """Lets go of idle connections to a server that is gone."""
        for call in self.idle.pop(server, []):
            self.tasks.start_soon(self._drop, server, call)

    async def close(self) -> None:
        """Lets go of all idle connections."""
        for server in list(self.idle):
            for call in self.idle.pop(server):
                await self._drop(server, call)

    # ---- what no viewer waits for

    def tell(self, command: ServerCommand) -> None:
        viewing = command.front_session.viewing
        self.tasks.start_soon(self._tell, command, viewing.server, command.front_session.session)

    async def _tell(self, command: ServerCommand, server: Server, session: Session) -> None:
        if command.rung is not None:
            answered = await self._call(server, "POST", session.path + "/layer", JSON, encode(LayerChoice(str(command.rung))))
        else:
            patch: Patch = command.patch
            restarts = patch.fragment.restarts(session.ufrag)
            status = refusal(patch.if_match, session.etag, restarts)
            if status is not None:
                self.session_core.told_server(command, Result.REFUSED, _own_words(status, session))
                return
            answered = await self._call(
                server, "PATCH", session.path, [("content-type", FRAGMENT), ("if-match", patch.if_match)], patch.body
            )
            if answered is not None and answered.status == 200:
                session.etag = answered.headers.get("etag", session.etag)
                session.ufrag = patch.fragment.ufrag
        if answered is None or answered.status >= 500:
            self.session_core.told_server(command, Result.UNANSWERED)
            return
        kept = [(name, answered.headers[name]) for name in ("content-type", "etag") if name in answered.headers]
        done = Result.DONE if answered.status < 300 else Result.REFUSED
        self.session_core.told_server(command, done, Reply(answered.status, kept, answered.body))

    def end_session(self, session_end: SessionEnd) -> None:
        self.tasks.start_soon(self._end_session, session_end)

    async def _end_session(self, session_end: SessionEnd) -> None:
        answered = await self._call(session_end.server, "DELETE", session_end.session.path)
        self.session_core.session_ended(session_end, answered is not None and answered.status < 500)

    def probe(self, server: Server, fence: str = "", found=None) -> None:
        """`fence` is lease and number where it is asked for all fronts; a server that knows a higher one refuses it, and what
        it says otherwise goes to `found(server, report)` too."""
        self.tasks.start_soon(self._probe, server, fence, found)

    async def _probe(self, server: Server, fence: str, found=None) -> None:
        headers = [("x-front", self.name), *([("x-fence", fence)] if fence else [])]
        try:
            answered = await ask(*host_port(server.name), "GET", "/load", headers, within=PATIENT, tls=self.tls)
        except RequestNotSent:
            self.session_core.probed(server, Outcome.UNREACHED)
        except ConnectionBroken:
            self.session_core.probed(server, Outcome.BROKEN)
        except TimeoutError:
            self.session_core.probed(server, Outcome.SILENT)
        else:
            if answered.status == 412:
                self.log.warning("fenced", server=server.name, cause=f"a later holder than {fence} has acted there")
                return
            well, report = answered.status < 300, decode_load(answered.headers.get(HEADER, ""))
            self.session_core.probed(server, Outcome.PLAYED if well else Outcome.ERROR, report)
            if well and found is not None:
                found(server, report)

    def end_orphans(self, server: Server, away: int, fence: str) -> None:
        """What plays at the server for fronts that have been away for so long (ns), and that nobody watches, is ended."""
        self.tasks.start_soon(self._end_orphans, server, away, fence)

    async def _end_orphans(self, server: Server, away: int, fence: str) -> None:
        answered = await self._call(server, "GET", f"/sessions?away={away // 1_000_000}", [("x-fence", fence)])
        try:
            if answered is None or answered.status != 200:
                return
            rows = decode(answered.body, SessionList).sessions
        except InvalidBody as wrong:
            self.log.info("orphans-not-told", server=server.name, cause=str(wrong))
            return
        for row in rows:
            # the server looks again whose it is: one that was taken up meanwhile stays
            done = await self._call(server, "DELETE", row.session, [("x-fence", fence), ("x-was", row.front)])
            if done is not None and done.status == 200:
                self.log.info("orphan-ended", server=server.name, session=row.session, of=row.front)

    # ---- what earlier lives left there

    def ask_sessions(self, server: Server, recovery: Recovery) -> None:
        self.tasks.start_soon(self._ask_sessions, server, recovery)

    async def _ask_sessions(self, server: Server, recovery: Recovery) -> None:
        answered = await self._call(server, "GET", f"/sessions?front={self.name}")
        try:
            if answered is None or answered.status != 200:
                raise InvalidBody("no list of sessions")
            told = decode(answered.body, SessionList)
        except InvalidBody as wrong:
            self.log.info("sessions-not-told", server=server.name, cause=str(wrong))
            recovery.unanswered(server)
            return
        recovery.listed(
            server,
            told.boot,
            [ListedSession(row.session, row.front, row.rung, row.viewing, row.etag, row.answer) for row in told.sessions],
        )

    def adopt(self, server: Server, paths: list[str], recovery: Recovery) -> None:
        self.tasks.start_soon(self._adopt, server, paths, recovery)

    async def _adopt(self, server: Server, paths: list[str], recovery: Recovery) -> None:
        answered = await self._call(server, "POST", "/sessions/adopt", JSON, encode(SessionNames(paths)))
        try:
            if answered is None or answered.status != 200:
                raise InvalidBody("not adopted")
            recovery.adopted(server, decode(answered.body, SessionNames).sessions)
        except InvalidBody as wrong:
            self.log.info("not-adopted", server=server.name, cause=str(wrong))
            recovery.unanswered(server)

    async def _call(
        self, server: Server, method: str, path: str, headers: list[tuple[str, str]] = (), body: bytes = b""
    ) -> HttpResponse | None:
        call, kept = None, False
        try:
            with anyio.fail_after(PATIENT):
                call = await self._connection(server, PATIENT)
                answered = await call.ask(method, path, [("x-front", self.name), *headers], body)
            kept = self._keep(server, call)
            return answered
        except (RequestNotSent, ConnectionBroken, TimeoutError) as wrong:
            self.log.info("not-told", server=server.name, what=f"{method} {path}", cause=str(wrong) or "no answer")
            return None
        finally:
            if call is not None and not kept:
                with anyio.CancelScope(shield=True):
                    await self._drop(server, call)


def _own_words(status: int, session: Session) -> Reply:
    """A patch that is refused here: its server need not hear of it."""
    words = {
        428: "a patch needs If-Match with the ETag of the session",
        400: "If-Match is not a list of entity tags",
        412: "the ICE session has changed; its ETag is another one now",
    }[status]
    body = encode(Problem(title="Refused", status=status, detail=words))
    return Reply(status, [("content-type", PROBLEM_TYPE), *([("etag", session.etag)] if session.etag else [])], body)


def _problem(answered: HttpResponse) -> Problem:
    try:
        return decode(answered.body, Problem)
    except InvalidBody:
        return Problem(title="", status=answered.status)
