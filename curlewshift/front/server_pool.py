"""The front's requests to media servers: tune-ins, layer changes, session ends, probes. One task each, cancelled by its scope.

This module decides what proves that a tune-in never ran: a connection that was refused or not made, a request of which no byte
was written, and a 503 whose problem type says that the server turned it away unprocessed. Anything else may have run.
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
JSON_HEADERS = [("content-type", "application/json")]
# Idle connections kept per server, for packages whose set-up may be repeated.
MAX_IDLE_CONNECTIONS = 8
# How long to wait for an answer that was already on its way when its tune-in was withdrawn.
LATE_ANSWER_TIMEOUT_S = 2.0
# For requests that no viewer waits for.
CALL_TIMEOUT_S = 2.0


@dataclass(slots=True)
class Session:
    """The path of a session at its server, and the server's SDP answer for the viewer."""

    path: str
    answer: str
    # entity tag of its ICE session at the server, and the client's own ICE user name fragment
    etag: str = ""
    ufrag: str = ""


@dataclass(frozen=True, slots=True)
class Patch:
    """A client's request to change its session."""

    body: bytes
    fragment: Fragment
    if_match: str | None


@dataclass(slots=True)
class Reply:
    """The answer to a patch, from the server or from the front itself."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes = b""


@dataclass(slots=True)
class OutgoingTuneIn:
    """A tune-in in progress."""

    scope: anyio.CancelScope
    connection: HttpClientConnection | None = None
    # set when its connection has ended or its answer has been read
    closed: anyio.Event = field(default_factory=anyio.Event)


def key_digest(key: str) -> str:
    """A hash of an idempotency key for servers: it identifies the client's request without giving anyone the use of the key."""
    return hashlib.sha256(key.encode()).hexdigest()[:32]


class ServerPool:
    """Sends requests to media servers over pooled connections and reports the results to the session core.

    `name` is the name of this life of the front, `max_connections` the limit per server.
    """

    setup_steps = staticmethod(setting_up)

    def __init__(
        self,
        session_core: SessionCore,
        tasks: TaskGroup,
        name: str,
        max_connections: int,
        log,
        tls=None,
        intents: Intents | None = None,
        journal: Journal | None = None,
        wall=None,
    ):
        self.session_core, self.tasks, self.name, self.log = session_core, tasks, name, log
        self.max_connections, self.tls = max_connections, tls
        # record what must be known after a kill; None without a state folder
        self.intents, self.journal, self.wall = intents, journal, wall
        self.disk_limiter = anyio.CapacityLimiter(1)
        self.in_flight: dict[TuneIn, OutgoingTuneIn] = {}
        self.connection_counts: dict[Server, int] = {}
        self.idle: dict[Server, list[HttpClientConnection]] = {}

    # ---- tune-ins

    def tune_in(self, tune_in: TuneIn) -> None:
        outgoing = self.in_flight[tune_in] = OutgoingTuneIn(anyio.CancelScope())
        request = (
            tune_in.front_session.requests[0].name if tune_in.front_session.requests else str(tune_in.front_session.viewing.name)
        )
        self.tasks.start_soon(self._tune_in, tune_in, outgoing, request)

    def withdraw(self, tune_in: TuneIn) -> bool:
        outgoing = self.in_flight.get(tune_in)
        if outgoing is None:
            return True
        if outgoing.connection is None or not outgoing.connection.request_started:
            outgoing.scope.cancel()
            return False
        # The server sees that nobody waits any more. An answer that is already on its way is still read, because the
        # session that it reports must be ended.
        outgoing.connection.shut_down_sending()
        viewing = tune_in.front_session.viewing
        viewing.unconfirmed = {*viewing.unconfirmed, tune_in.server}
        outgoing.scope.deadline = anyio.current_time() + LATE_ANSWER_TIMEOUT_S
        return True

    async def _tune_in(self, tune_in: TuneIn, outgoing: OutgoingTuneIn, request: str) -> None:
        server = tune_in.server
        reusable = False
        try:
            with outgoing.scope:
                try:
                    # A reused connection may close during the request, which does not prove that it never ran. Paid
                    # set-ups therefore use a new connection.
                    fresh = tune_in.front_session.viewing.package.paid_at_setup
                    connection = outgoing.connection = await self._connection(
                        server, (tune_in.until - self.session_core.now()) / NS, fresh
                    )
                    await self._wait_for_earlier(tune_in)
                    ended = await self._prepare(tune_in)
                    if ended is not None:
                        self._fail(tune_in, ended)
                        return
                    response = await self._send_tune_in(tune_in, connection, request)
                    reusable = self._keep_idle(server, connection)
                    self._handle_response(tune_in, response)
                except RequestNotSent as error:
                    self.log.info("not-reached", server=server.name, viewing=request, cause=str(error))
                    self._fail(tune_in, Outcome.UNREACHED)
                except ConnectionBroken as error:
                    self.log.info("broke", server=server.name, viewing=request, cause=str(error))
                    self.session_core.failed(tune_in, Outcome.BROKEN)
                except Exception as fault:
                    # an unexpected error in one tune-in must not end the front
                    self.log.error("fault", viewing=request, server=server.name, cause=repr(fault), exc_info=fault)
                    self.session_core.failed(tune_in, Outcome.BROKEN)
        finally:
            del self.in_flight[tune_in]
            outgoing.closed.set()
            viewing = tune_in.front_session.viewing
            viewing.unconfirmed = {other for other in viewing.unconfirmed if other is not server}
            if outgoing.connection is not None and not reusable:
                with anyio.CancelScope(shield=True):
                    await self._close_connection(server, outgoing.connection)

    async def _wait_for_earlier(self, tune_in: TuneIn) -> None:
        """Waits until earlier attempts of the viewing at the same server have ended. Separate connections are not ordered: the
        server could see the end of an earlier attempt after the beginning of this one."""
        for other, outgoing in list(self.in_flight.items()):
            if other is not tune_in and other.front_session is tune_in.front_session and other.server is tune_in.server:
                await outgoing.closed.wait()

    async def _connection(self, server: Server, timeout_s: float, fresh: bool = False) -> HttpClientConnection:
        """An idle connection unless `fresh`, otherwise a new one, made within `timeout_s`. Raises `RequestNotSent`."""
        idle = self.idle.get(server)
        while idle and not fresh:
            connection = idle.pop()
            if connection.prepare_next_request():
                return connection
            await self._close_connection(server, connection)
        if self.connection_counts.get(server, 0) >= self.max_connections:
            raise RequestNotSent(f"{self.max_connections} connections to this server are in use")
        self.connection_counts[server] = self.connection_counts.get(server, 0) + 1
        try:
            return await connect(*host_port(server.name), max(0.001, timeout_s), self.tls)
        except BaseException:
            self._uncount(server)
            raise

    async def _send_tune_in(self, tune_in: TuneIn, connection: HttpClientConnection, request: str) -> HttpResponse:
        viewing = tune_in.front_session.viewing
        offer = tune_in.front_session.offer
        held = tune_in.front_session.held
        # identifies a session after a restart if the front was killed before it received the answer
        viewing_header = [("x-viewing", key_digest(held.key))] if held is not None and viewing.package.paid_at_setup else []
        return await connection.ask(
            "POST",
            f"/{offer.protocol}/{viewing.package.name}/{viewing.title}?layer={tune_in.rung}",
            [
                ("content-type", SDP),
                ("x-request-id", request),
                ("x-front", self.name),
                ("x-tune-in", str(tune_in.number)),
                *viewing_header,
            ],
            offer.text.encode() if offer else b"",
        )

    def _handle_response(self, tune_in: TuneIn, response: HttpResponse) -> None:
        report = decode_load(response.headers.get(HEADER, ""))
        if response.status == 201 and response.headers.get("location", "").startswith("/"):
            session = Session(
                response.headers["location"],
                response.body.decode("utf-8", "replace"),
                response.headers.get("etag", ""),
                tune_in.front_session.offer.ufrag,
            )
            self.session_core.played(tune_in, session, report)
            return
        # A redirect has had no effect at the server (RFC 9110, 15.4). It is not followed, because its target may be draining or
        # cold, which only the rules know; they pick another server, as they do when one is full.
        full = response.status in (307, 308) or (response.status == 503 and _problem(response).type == TURNED_AWAY)
        self._fail(tune_in, Outcome.FULL if full else Outcome.ERROR, report)

    async def _prepare(self, tune_in: TuneIn) -> Outcome | None:
        """Performs the steps before the first byte is sent; nothing is awaited after the last check. Returns None if the tune-in
        is to be sent, otherwise how it ended."""
        until = self.wall() + max(0, tune_in.front_session.viewing.expires - self.session_core.now())
        intent = intent_of(tune_in, until) if self.journal is not None else None
        setup_steps = self.setup_steps(self.session_core, tune_in, self.intents, intent)
        try:
            step, record = next(setup_steps)
            while step != SEND:
                recorded = True
                try:
                    await anyio.to_thread.run_sync(self.journal.add, record, True, limiter=self.disk_limiter)
                except WriteFailed as error:
                    self.log.error("intent-not-kept", server=tune_in.server.name, cause=str(error))
                    recorded = False
                step, record = setup_steps.send(recorded)
        except StopIteration as ended:
            return ended.value
        # All requesting clients may have left while the connection was made or the disk was slow. The tune-in is not withdrawn
        # when they leave, because a client that returns with its key joins it, but nothing is sent while no client waits.
        return None if tune_in.front_session.waiting else Outcome.UNSENT

    def _fail(self, tune_in: TuneIn, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        """Records how the tune-in ended and reports it. The record is not flushed: if it is lost in a kill, the answer afterwards
        is only more cautious than necessary."""
        held = tune_in.front_session.held
        if self.journal is not None and held is not None and tune_in.front_session.viewing.package.paid_at_setup:
            record = self.intents.ended(held.key, outcome)
            if record is not None:
                self.tasks.start_soon(self._write_intent_end, record)
        self.session_core.failed(tune_in, outcome, report)

    async def _write_intent_end(self, record: list) -> None:
        try:
            await anyio.to_thread.run_sync(self.journal.add, record, False, limiter=self.disk_limiter)
            if self.intents.stale():
                async with self.disk_limiter:
                    # collected while holding the limiter, so that an intent waiting for it is included
                    self.intents.forget(self.wall())
                    await anyio.to_thread.run_sync(self.journal.rewrite, self.intents.snapshot())
        except WriteFailed as error:
            self.log.warning("end-not-kept", cause=str(error))

    # ---- connections

    def _keep_idle(self, server: Server, connection: HttpClientConnection) -> bool:
        idle = self.idle.setdefault(server, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS or connection.http.our_state is not connection.http.their_state:
            return False
        idle.append(connection)
        return True

    async def _close_connection(self, server: Server, connection: HttpClientConnection) -> None:
        self._uncount(server)
        await connection.close()

    def _uncount(self, server: Server) -> None:
        left = self.connection_counts.pop(server, 1) - 1
        if left > 0:
            self.connection_counts[server] = left

    def forget(self, server: Server) -> None:
        """Closes idle connections to a server that is gone."""
        for connection in self.idle.pop(server, []):
            self.tasks.start_soon(self._close_connection, server, connection)

    async def close(self) -> None:
        """Closes all idle connections."""
        for server in list(self.idle):
            for connection in self.idle.pop(server):
                await self._close_connection(server, connection)

    # ---- requests that no viewer waits for

    def tell(self, command: ServerCommand) -> None:
        viewing = command.front_session.viewing
        self.tasks.start_soon(self._send_command, command, viewing.server, command.front_session.session)

    async def _send_command(self, command: ServerCommand, server: Server, session: Session) -> None:
        if command.rung is not None:
            response = await self._send_request(
                server, "POST", session.path + "/layer", JSON_HEADERS, encode(LayerChoice(str(command.rung)))
            )
        else:
            patch: Patch = command.patch
            restarts = patch.fragment.restarts(session.ufrag)
            status = refusal(patch.if_match, session.etag, restarts)
            if status is not None:
                self.session_core.told_server(command, Result.REFUSED, _local_refusal(status, session))
                return
            response = await self._send_request(
                server, "PATCH", session.path, [("content-type", FRAGMENT), ("if-match", patch.if_match)], patch.body
            )
            if response is not None and response.status == 200:
                session.etag = response.headers.get("etag", session.etag)
                session.ufrag = patch.fragment.ufrag
        if response is None or response.status >= 500:
            self.session_core.told_server(command, Result.UNANSWERED)
            return
        headers = [(name, response.headers[name]) for name in ("content-type", "etag") if name in response.headers]
        done = Result.DONE if response.status < 300 else Result.REFUSED
        self.session_core.told_server(command, done, Reply(response.status, headers, response.body))

    def end_session(self, session_end: SessionEnd) -> None:
        self.tasks.start_soon(self._end_session, session_end)

    async def _end_session(self, session_end: SessionEnd) -> None:
        response = await self._send_request(session_end.server, "DELETE", session_end.session.path)
        self.session_core.session_ended(session_end, response is not None and response.status < 500)

    def probe(self, server: Server, fence: str = "", on_report=None) -> None:
        """Requests the server's load. `fence` (lease and fencing token) is set if the probe is made for all fronts: a server that
        has seen a higher token refuses it, and the report of any other goes to `on_report(server, report)` as well."""
        self.tasks.start_soon(self._probe, server, fence, on_report)

    async def _probe(self, server: Server, fence: str, on_report=None) -> None:
        headers = [("x-front", self.name), *([("x-fence", fence)] if fence else [])]
        try:
            response = await ask(*host_port(server.name), "GET", "/load", headers, within=CALL_TIMEOUT_S, tls=self.tls)
        except RequestNotSent:
            self.session_core.probed(server, Outcome.UNREACHED)
        except ConnectionBroken:
            self.session_core.probed(server, Outcome.BROKEN)
        except TimeoutError:
            self.session_core.probed(server, Outcome.SILENT)
        else:
            if response.status == 412:
                self.log.warning(
                    "fenced", server=server.name, cause=f"a lease holder with a higher fencing token than {fence} has acted there"
                )
                return
            succeeded, report = response.status < 300, decode_load(response.headers.get(HEADER, ""))
            self.session_core.probed(server, Outcome.PLAYED if succeeded else Outcome.ERROR, report)
            if succeeded and on_report is not None:
                on_report(server, report)

    def end_orphans(self, server: Server, away_ns: int, fence: str) -> None:
        """Ends unwatched sessions at the server that belong to fronts which have been absent for `away_ns`."""
        self.tasks.start_soon(self._end_orphans, server, away_ns, fence)

    async def _end_orphans(self, server: Server, away_ns: int, fence: str) -> None:
        response = await self._send_request(server, "GET", f"/sessions?away={away_ns // 1_000_000}", [("x-fence", fence)])
        try:
            if response is None or response.status != 200:
                return
            rows = decode(response.body, SessionList).sessions
        except InvalidBody as error:
            self.log.info("orphans-not-told", server=server.name, cause=str(error))
            return
        for row in rows:
            # the server checks the owner again: a session that was adopted meanwhile stays
            done = await self._send_request(server, "DELETE", row.session, [("x-fence", fence), ("x-was", row.front)])
            if done is not None and done.status == 200:
                self.log.info("orphan-ended", server=server.name, session=row.session, of=row.front)

    # ---- sessions that earlier lives left at servers

    def ask_sessions(self, server: Server, recovery: Recovery) -> None:
        self.tasks.start_soon(self._ask_sessions, server, recovery)

    async def _ask_sessions(self, server: Server, recovery: Recovery) -> None:
        response = await self._send_request(server, "GET", f"/sessions?front={self.name}")
        try:
            if response is None or response.status != 200:
                raise InvalidBody("the server sent no list of sessions")
            session_list = decode(response.body, SessionList)
        except InvalidBody as error:
            self.log.info("sessions-not-told", server=server.name, cause=str(error))
            recovery.unanswered(server)
            return
        recovery.listed(
            server,
            session_list.boot,
            [ListedSession(row.session, row.front, row.rung, row.viewing, row.etag, row.answer) for row in session_list.sessions],
        )

    def adopt(self, server: Server, paths: list[str], recovery: Recovery) -> None:
        self.tasks.start_soon(self._adopt, server, paths, recovery)

    async def _adopt(self, server: Server, paths: list[str], recovery: Recovery) -> None:
        response = await self._send_request(server, "POST", "/sessions/adopt", JSON_HEADERS, encode(SessionNames(paths)))
        try:
            if response is None or response.status != 200:
                raise InvalidBody("the server did not confirm the adoption")
            recovery.adopted(server, decode(response.body, SessionNames).sessions)
        except InvalidBody as error:
            self.log.info("not-adopted", server=server.name, cause=str(error))
            recovery.unanswered(server)

    async def _send_request(
        self, server: Server, method: str, path: str, headers: list[tuple[str, str]] = (), body: bytes = b""
    ) -> HttpResponse | None:
        connection, reusable = None, False
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                connection = await self._connection(server, CALL_TIMEOUT_S)
                response = await connection.ask(method, path, [("x-front", self.name), *headers], body)
            reusable = self._keep_idle(server, connection)
            return response
        except (RequestNotSent, ConnectionBroken, TimeoutError) as error:
            self.log.info("not-told", server=server.name, what=f"{method} {path}", cause=str(error) or "no answer")
            return None
        finally:
            if connection is not None and not reusable:
                with anyio.CancelScope(shield=True):
                    await self._close_connection(server, connection)


def _local_refusal(status: int, session: Session) -> Reply:
    """The answer to a patch that the front refuses itself, without asking the server."""
    detail = {
        428: "a patch needs If-Match with the ETag of the session",
        400: "If-Match is not a list of entity tags",
        412: "the ICE session has changed; its ETag is another one now",
    }[status]
    body = encode(Problem(title="Refused", status=status, detail=detail))
    return Reply(status, [("content-type", PROBLEM_TYPE), *([("etag", session.etag)] if session.etag else [])], body)


def _problem(response: HttpResponse) -> Problem:
    try:
        return decode(response.body, Problem)
    except InvalidBody:
        return Problem(title="", status=response.status)
