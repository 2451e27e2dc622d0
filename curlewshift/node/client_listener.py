"""RTSP server for viewers: their connections, and the sessions requested on them. It makes no placement decisions.

An established session belongs to no connection, so sessions are looked up by id, and the release of one may be sent on any
connection from viewers. A request that waits for its answer is bound to its connection.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import anyio

from curlewshift.exchange.accepting import PausingListener
from curlewshift.node import rtsp
from curlewshift.node.buffered_connection import BufferedConnection, Listener, PendingWrite
from curlewshift.node.client_connection import ClientConnection, ClientSession, Evidence, PendingClientRelease
from curlewshift.node.client_releases import ClientReleases
from curlewshift.node.client_requests import (
    SERVER_NAME,
    SESSION,
    STATUS_BAD_REQUEST,
    STATUS_DRAINING,
    STATUS_FAILED,
    STATUS_NO_ROOM,
    RequestError,
    SetUp,
    SetUpBounds,
    cause_of,
    parse_set_up,
)
from curlewshift.node.set_up_limits import has_place
from curlewshift.node.trace import make_tracer
from curlewshift.session_core.front_session import Answer, AnswerKind
from curlewshift.session_core.session_core import InvalidRequest

MS = 1_000_000
NS = 1_000_000_000
# Time-outs of input (ns): a viewer begins its first message this long after it has connected at the latest, sends the next bytes
# of an incomplete message within the second, and completes a message within the third; the first message of a connection is
# complete within the third after the connection was made. Faulty clients must get an error within three seconds.
FIRST_MESSAGE_TIMEOUT_NS = 3 * NS // 2
PAUSE_TIMEOUT_NS = NS
MESSAGE_TIMEOUT_NS = 5 * NS // 2
SWEEP_INTERVAL_S = 0.1
# Read from one client in one iteration of the event loop: the greatest size of a message. A client that sends without pause is
# read in turn with the others.
READ_SIZE_BYTES = 16 * 1024
# After an orderly close of the client's, a reset is waited for this long (s).
RESET_WAIT_S = 0.05
# A request that is past its deadline by this much will not be answered by the session core any more (ns).
OVERDUE_AFTER_NS = NS // 10
# Limit on remembered TEARDOWNs of unknown sessions: a hand-over that arrives after its own TEARDOWN must not be accepted.
MAX_TORN_DOWN = 2000

# The cause of the TEARDOWN sent to a client that did not read its answer: its session was cut.
UNREAD_ANSWER_CAUSE = 41


class ClientListener:
    """Passes the viewers' requests to `node`, see curlewshift/node/node.py.

    `cells` is the number of cells in the settings, `tops` the highest rung; both bound the values that a request may have.
    """

    def __init__(self, node, gate, log, cells: int, tops: int):
        self.node, self.gate, self.log = node, gate, log
        self.tracer = make_tracer(node.now, log)
        self.bounds = SetUpBounds(cells, tops)
        self.opened = 0
        self.sessions: dict[str, ClientSession] = {}
        self.connections: dict[ClientConnection, bool] = {}
        self.releases = ClientReleases(self.connections, node.now, log)
        self.torn_down: OrderedDict[str, int] = OrderedDict()

    @property
    def pending_releases(self) -> dict[str, PendingClientRelease]:
        """Releases of which no byte has been sent yet."""
        return self.releases.pending

    # ---- connections

    async def serve(self, listener: Listener, tasks) -> None:
        """Accepts connections until the listener is closed."""
        self.tasks, self.listener = tasks, listener
        try:
            await PausingListener(listener, self.gate).serve(self._run, task_group=tasks)
        finally:
            listener.close()

    async def _run(self, sock) -> None:
        transport = BufferedConnection(sock, self.tasks, READ_SIZE_BYTES)
        self.opened += 1
        connection = ClientConnection(transport, self.node.now(), self.opened)
        self.connections[connection] = True
        self.gate.opened(connection)
        try:
            # each receive waits for readability first
            while data := await transport.receive():
                self._read(connection, data)
            # the client has left: none of its requests may be started while this connection is being closed
            self._connection_ended(connection)
            await self._end_unread_sessions(connection)
        except Exception as fault:
            self.log.error("fault", what="viewer connection", cause=repr(fault), exc_info=fault)
        finally:
            self._connection_ended(connection)
            await transport.close()
            self.gate.closed(connection)

    def _connection_ended(self, connection: ClientConnection) -> None:
        """Cancels the open requests of a connection that has ended; its pending releases are sent on others."""
        if self.connections.pop(connection, None):
            self._log_drop(connection)
        if connection.waiting:
            self.log.info(
                "client-closed",
                connection=connection.number,
                by_client=connection.transport.ended_by_peer,
                waiting=list(connection.waiting)[:8],
            )
        for client_session in list(connection.waiting.values()):
            try:
                self._cancel(client_session)
            except Exception as fault:
                # costs this session only, not the others on its connection
                self.log.error(
                    "fault", what="cancelling a request", session=client_session.name, cause=repr(fault), exc_info=fault
                )
        connection.after_reading.clear()
        self.tracer.connection_ended(connection)
        self.releases.connection_ended(connection)

    def _log_drop(self, connection: ClientConnection) -> None:
        """Logs a connection that this side has dropped. Answers are lost with discarded output."""
        transport = connection.transport
        if transport.drop_cause is None:
            return
        self.node.counts[f"client-dropped-{transport.drop_cause.name.lower()}"] += 1
        if transport.discarded_bytes:
            self.log.warning(
                "client-dropped",
                connection=connection.number,
                cause=transport.drop_cause.value,
                discarded=transport.discarded_bytes,
            )

    async def _end_unread_sessions(self, connection: ClientConnection) -> None:
        """Called after the client has closed the connection: releases that it has not read are sent on another, and sessions
        whose answers it has not read are ended."""
        answered = connection.recent_answers.recent(self.node.now())
        unread_releases = connection.recent_releases.recent(self.node.now())
        if not (answered or unread_releases) or not connection.transport.ended_by_peer or connection.transport.closed_locally:
            return
        if not await connection.transport.was_reset(RESET_WAIT_S):
            return
        for pending_release in unread_releases:
            self.log.info("release-unread", session=pending_release.name, connection=connection.number)
            self.releases.queue(pending_release.name, pending_release.cause, None)
        for client_session in answered:
            if self.sessions.get(client_session.name) is client_session:
                self.log.info("answer-unread", session=client_session.name, connection=connection.number)
                self._forget(client_session)
                self.node.released(client_session.front_session, 0)
                self.releases.queue(client_session.name, UNREAD_ANSWER_CAUSE, None)

    def _read(self, connection: ClientConnection, data: bytes) -> None:
        if not connection.corrupt:
            now = self.node.now()
            messages, error = connection.input.feed(data, now)
            connection.received_message = connection.received_message or bool(messages)
            if connection.input.partial:
                # not idle while parts of a message arrive
                connection.idle_since_s = now / NS
            for message in messages:
                # the viewer repeats a set-up that crosses the close on another connection, but not the TEARDOWN of a session
                if connection.transport.open or message.method == "TEARDOWN":
                    self._handle_message(connection, message, now)
            if error is not None:
                self.log.info("malformed", what="viewer", cause=str(error))
                connection.transport.send(rtsp.answer(error.status, "1", ""))
                connection.mark_corrupt()
        then, connection.after_reading = connection.after_reading, []
        for call in then:
            call()

    def read_first(self, name: str, then: Callable[[], None]) -> bool:
        """Whether the connection of this request has unread input, or an unread close: it may mean that the viewer has left.

        If so, `then` is called once the input has been read, unless the connection has ended.
        """
        client_session = self.sessions.get(name)
        if (
            client_session is None
            or client_session.connection is None
            or not client_session.connection.transport.has_unread_input()
        ):
            return False
        client_session.connection.after_reading.append(then)
        return True

    async def finish(self, answered_by: float, closed_by: float) -> None:
        """Shuts down: clients that have connected are answered, queued output is written, and each connection is closed
        gracefully as soon as no request is open on it. Requests still open at `answered_by` are answered then; all connections
        are closed by `closed_by` (anyio's clock, s)."""
        try:
            while (sock := self.listener.accept_one()) is not None:
                self.tasks.start_soon(self._run, sock)
        except OSError:
            # no descriptor is left to accept them: the kernel resets them when the listener closes
            pass
        self.listener.close()
        await anyio.sleep(0)
        while any(connection.transport.open for connection in self.connections) and anyio.current_time() < answered_by:
            for connection in self.connections:
                if not (connection.is_busy or connection.is_receiving_request or self.pending_releases):
                    connection.transport.close_gracefully()
            await anyio.sleep(0.005)
        self.node.end_waiting()
        for connection in list(self.connections):
            connection.transport.close_gracefully()
        while self.connections and anyio.current_time() < closed_by:
            await anyio.sleep(0.005)

    def sweep(self) -> None:
        """Closes connections that are silent or stopped in the middle of a message. Called every `SWEEP_INTERVAL_S` seconds."""
        now = self.node.now()
        for connection in list(self.connections):
            since = now - connection.opened_at
            silent = not connection.received_message and since > (
                MESSAGE_TIMEOUT_NS if connection.input.partial else FIRST_MESSAGE_TIMEOUT_NS
            )
            stalled = connection.input.is_stalled(now, MESSAGE_TIMEOUT_NS, PAUSE_TIMEOUT_NS)
            if (silent or stalled) and not connection.corrupt and not connection.transport.has_unread_input():
                connection.mark_corrupt()
            connection.end_if_done()
            for client_session in list(connection.waiting.values()):
                if client_session.request is not None and now > client_session.request.expires + OVERDUE_AFTER_NS:
                    # should never happen; if it does, it is logged and the viewer is not left without an answer
                    self.log.error(
                        "unanswered", session=client_session.name, cause="the session core has not answered by the deadline"
                    )
                    connection.transport.send(rtsp.answer(STATUS_FAILED, "1", client_session.name))
                    self._cancel(client_session)
        if self.gate.crowded:
            self.gate.make_room(needed=False)
        if self.pending_releases:
            self.releases.send()

    # ---- messages

    def _handle_message(self, connection: ClientConnection, message: rtsp.Message, now: int) -> None:
        number = message.fields.get("cseq", "1")[:16]
        name = message.fields.get("session", "")
        if message.status:
            return
        try:
            if message.has_duplicate_fields:
                raise RequestError("duplicate header field")
            if not number.isdigit():
                number = "1"
                raise RequestError("invalid CSeq")
            if message.method == "OPTIONS":
                self._answer_test(connection, name, number)
                return
            if not SESSION.fullmatch(name):
                raise RequestError("missing or invalid session id")
            if message.method == "SETUP":
                self._receive_set_up(connection, parse_set_up(name, message, now, self.bounds))
            elif message.method == "TEARDOWN":
                self._handle_teardown(connection, name, number, message)
            elif message.method not in ("ANNOUNCE", "REDIRECT", "SET_PARAMETER"):
                raise RequestError(f"unsupported method {message.method}", 501)
        except (RequestError, InvalidRequest) as error:
            # with the id of an open session, or an ambiguous one, the error could be taken for the answer to another request
            named = SESSION.fullmatch(name) and not message.has_duplicate_fields
            self._answer_error(connection, message.method, name, number, error, bool(named))
        except Exception as fault:
            self._answer_fault(connection, message.method, name, number, fault)

    def _answer_error(
        self, connection: ClientConnection, method: str, name: str, number: str, error: Exception, named: bool
    ) -> None:
        self.log.info("wrong", what=method, session=name[:16], cause=str(error))
        named = named and getattr(error, "named", True)
        connection.transport.send(rtsp.answer(getattr(error, "status", STATUS_BAD_REQUEST), number, name if named else ""))

    def _answer_fault(self, connection: ClientConnection, method: str, name: str, number: str, fault: Exception) -> None:
        """An exception costs this session only, not the others on its connection."""
        self.log.error("fault", what=method, session=name[:16], cause=repr(fault), exc_info=fault)
        if method == "SETUP" and SESSION.fullmatch(name):
            connection.transport.send(rtsp.answer(STATUS_FAILED, number, name))

    def _answer_test(self, connection: ClientConnection, name: str, number: str) -> None:
        if self.node.ready:
            connection.add_evidence(Evidence.TESTED)
        connection.transport.send(rtsp.answer(200 if self.node.ready else 503, number, name if SESSION.fullmatch(name) else ""))

    def _receive_set_up(self, connection: ClientConnection, set_up: SetUp) -> None:
        """Places a set-up, or refuses it at once if its connection sends too many."""
        if set_up.at is not None:
            self._take_over(connection, set_up)
        elif connection.set_up_rate.count(set_up.arrived_at) and self._has_place(connection):
            self._set_up(connection, set_up)
        else:
            self._refuse(connection, set_up)

    def _has_place(self, connection: ClientConnection) -> bool:
        session_core = self.node.session_core
        return has_place(len(connection.waiting), session_core.waiting, session_core.most_waiting)

    def _refuse(self, connection: ClientConnection, set_up: SetUp) -> None:
        """Refuses a set-up of a client that sends too many; nothing was sent for it."""
        if set_up.name in self.sessions:
            raise RequestError("a session with this id is already open", 455, named=False)
        self.node.counts["set-up-over-limit"] += 1
        connection.idle_since_s = self.node.now() / NS
        self._send_refusal(connection, set_up.name, self.node.session_core.overload_wait)

    def _set_up(self, connection: ClientConnection, set_up: SetUp) -> None:
        name = set_up.name
        if name in self.sessions:
            raise RequestError("a session with this id is already open", 455, named=False)
        if self.torn_down.pop(name, None) is not None:
            raise RequestError("the session's TEARDOWN was received first, on another connection", 454)
        client_session = self.sessions[name] = ClientSession(name, connection)
        connection.waiting[name] = client_session
        self.tracer.start(name, connection)
        try:
            client_session.request = self.node.request_session(set_up)
        except BaseException:
            self._forget(client_session)
            raise
        connection.add_evidence(Evidence.REQUESTED)

    def _take_over(self, connection: ClientConnection, set_up: SetUp) -> None:
        """Takes over a session that is established at a media server, unless it has ended meanwhile."""
        name = set_up.name
        connection.add_evidence(Evidence.SESSION)
        if name in self.sessions or not SERVER_NAME.fullmatch(set_up.at):
            return
        end_cause = self.node.early_end(name, set_up.at, self.torn_down.pop(name, None))
        if end_cause is None:
            self._add_session(ClientSession(name, connection, front_session=self.node.accept_hand_over(set_up)))
        elif end_cause:
            self.releases.queue(name, end_cause, connection)

    def _handle_teardown(self, connection: ClientConnection, name: str, number: str, message: rtsp.Message) -> None:
        client_session = self.sessions.get(name)
        cause = cause_of(message)
        if client_session is None:
            if self.releases.withdraw(name) is None:
                self.torn_down[name] = cause
                if len(self.torn_down) > MAX_TORN_DOWN:
                    self.torn_down.popitem(last=False)
            raise RequestError("no session with this id is open", 454)
        connection.transport.send(rtsp.answer(200, number, name))
        if client_session.front_session is None:
            self._cancel(client_session)
            return
        connection.add_evidence(Evidence.SESSION)
        self._forget(client_session)
        self.node.released(client_session.front_session, cause)

    def _cancel(self, client_session: ClientSession) -> None:
        self.tracer.note(client_session.name, "given up")
        self._forget(client_session)
        if client_session.request is not None:
            self.node.cancel_request(client_session.request)

    def _forget(self, client_session: ClientSession) -> None:
        self.sessions.pop(client_session.name, None)
        if client_session.connection is not None:
            if client_session.connection.waiting.pop(client_session.name, None) is not None:
                client_session.connection.idle_since_s = self.node.now() / NS
            elif client_session.front_session is not None:
                client_session.connection.session_count -= 1

    def _add_session(self, client_session: ClientSession) -> None:
        self.sessions[client_session.name] = client_session
        client_session.connection.session_count += 1

    # ---- answers and releases

    def answer(self, client_session: ClientSession, answer: Answer, description: bytes = b"") -> None:
        """Sends the answer to a set-up; `description` is the media server's session description if it plays."""
        connection = client_session.connection
        if self.sessions.get(client_session.name) is not client_session:
            return
        self._forget(client_session)
        queued = self.tracer.answer_queued(
            client_session.name,
            client_session.request is not None and self.node.now() > client_session.request.expires + OVERDUE_AFTER_NS,
        )
        if answer.kind is AnswerKind.PLAYS:
            client_session.front_session = answer.front_session
            self._add_session(client_session)
            if connection.transport.peer_closed():
                self.node.defer(lambda: self._end_unanswered(client_session))
                return
            connection.transport.send(rtsp.answer(200, "1", client_session.name, description), queued)
            self.releases.session_answered(connection)
            connection.recent_answers.remember(self.node.now(), client_session)
        elif answer.kind is AnswerKind.REFUSED:
            self._send_refusal(connection, client_session.name, answer.wait, queued)
        else:
            connection.transport.send(rtsp.answer(STATUS_FAILED, "1", client_session.name), queued)

    def _send_refusal(self, connection: ClientConnection, name: str, wait: int, queued: PendingWrite | None = None) -> None:
        """Refuses a set-up; `wait` is when to come back (ns), 0 for no advice."""
        status = STATUS_DRAINING if self.node.draining else STATUS_NO_ROOM
        pause = f"X-Pause: {wait // MS}\r\n" if wait else ""
        connection.transport.send(rtsp.answer(status, "1", name, fields=pause), queued)

    def _end_unanswered(self, client_session: ClientSession) -> None:
        """Ends a session whose client had closed its connection, still unread, before the answer was sent."""
        if self.sessions.get(client_session.name) is client_session:
            self._forget(client_session)
            self.node.released(client_session.front_session, 0)

    def release(self, client_session: ClientSession, cause: int | None) -> None:
        """Ends the session; without a cause its viewer is not notified."""
        if self.sessions.get(client_session.name) is client_session:
            self._forget(client_session)
            if cause is not None:
                self.releases.queue(client_session.name, cause, client_session.connection)
