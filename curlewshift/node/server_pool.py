"""Connections to media servers and the requests pending on them. It makes no placement decisions.

server_messages.py handles what servers send, liveness.py checks that they are alive.

State is keyed by the server object and never by address: another server may take over the address of one that has gone.
The outcome of a tune-in (one set-up attempt) depends on whether the server can have run it: it cannot if the connection was
refused or not established in time, if the server said so (full, moot), or if the kernel never took a byte of the set-up. In all
other cases it may have run.
"""

from __future__ import annotations

from collections import OrderedDict

import anyio

from curlewshift.model import Outcome, Server
from curlewshift.node import isup
from curlewshift.node.buffered_connection import BufferedConnection, dial
from curlewshift.node.connections import Attempt, Endpoint, ServerConnection, Session
from curlewshift.node.liveness import PROBE_TIMEOUT_NS, LivenessChecks
from curlewshift.node.server_messages import ServerMessages
from curlewshift.node.teardowns import Teardowns
from curlewshift.retries.session_ends import SessionEnd
from curlewshift.session_core.front_session import FrontSession, TuneIn
from curlewshift.teardown.pending import Copy

MS = 1_000_000
NS = 1_000_000_000
# A message that is still incomplete after this breaks its connection.
MESSAGE_TIMEOUT_NS = NS // 2
# Idle connections are kept, as a new one costs the server work, for this share of the server's own idle time-out: if the server
# closed one under a set-up, it would be unknown whether the set-up ran. At the connection limit the shorter time applies.
IDLE_TIMEOUT_SHARE, IDLE_AT_LIMIT_NS = 0.8, 5 * NS
# A restarted server sends the releases of its earlier sessions on the next connection; after this they count as ended anyway.
RESTART_REPORT_TIMEOUT_NS = 2 * NS
# A set-up that follows a release waits this long for the kernel to take the release (ns).
RELEASE_WRITE_TIMEOUT_NS = 50 * MS
# Limits on the number and age of abandoned set-ups that are remembered, to end the session if one is answered after all.
MAX_GIVEN_UP, GIVEN_UP_AGE_NS = 2000, 30 * NS
# A set-up waits at most this long for the unread input of its client; then it ends unsent, which counts against no server (ns).
MAX_HOLD_NS = NS // 2
# Limit on moves of one set-up to another connection, because its own ended before it was sent.
MAX_MOVES = 3


class ServerPool:
    """The connections to all media servers.

    Calls `ended(front_session, outcome, cause)` for each session that has ended at its server, `read_first(tune_in, then)`
    before a set-up is sent, and `is_list_followed()`; see curlewshift/node/node.py. Durations are in nanoseconds.
    """

    def __init__(
        self,
        session_core,
        clock,
        tasks,
        log,
        counts,
        ended,
        read_first,
        is_list_followed,
        max_connections: int,
        streams_per_connection: int,
        connect_timeout: int,
        report_interval: int,
        idle_close: int,
    ):
        self.session_core, self.now, self.tasks, self.log, self.counts, self.ended = (
            session_core,
            clock,
            tasks,
            log,
            counts,
            ended,
        )
        self.read_first, self.is_list_followed = read_first, is_list_followed
        self.max_connections, self.streams_per_connection = max_connections, streams_per_connection
        self.connect_timeout_s = connect_timeout / NS
        self.liveness = LivenessChecks(self, log, report_interval)
        self.idle_timeout = int(idle_close * IDLE_TIMEOUT_SHARE)
        self.endpoints: dict[Server, Endpoint] = {}
        self.attempts: dict[TuneIn, Attempt] = {}
        self.teardowns = Teardowns(self, clock, log, counts)
        self.messages = ServerMessages(self, clock, log)
        self.pending = self.teardowns.pending
        self.given_up: OrderedDict[tuple[Server, bytes], TuneIn] = OrderedDict()
        self.early_releases: OrderedDict[tuple[Server, bytes], int] = OrderedDict()
        self.connection_count = self.opened = 0

    # ---- servers

    def listed(self, server: Server, address: tuple[str, int]) -> None:
        """The server list has the server at this address; the address may be new, or have been another server's."""
        endpoint = self.endpoints.get(server)
        if endpoint is None:
            endpoint = self.endpoints[server] = Endpoint(self, server, address)
        for other in list(self.endpoints.values()):
            if other.address == address and other is not endpoint:
                # it has gone: the server at its address does not know its sessions, except for set-ups that were sent to that
                # server by mistake
                other.successor = endpoint
                self.declare_lost(other, "another server has its address")
                self.pending.moved(other.server, server)
                other.address = None
        if endpoint.address != address:
            endpoint.address = address
            for connection in list(endpoint.connections):
                self.break_connection(connection, "the server's address has changed")

    def restarted(self, server: Server, at: int) -> None:
        """The server has restarted at this time: sessions that it set up before have ended, whether it reports them or not."""
        self.session_core.timers.at(self.now() + RESTART_REPORT_TIMEOUT_NS, lambda: self._end_sessions_before(server, at))

    def _end_sessions_before(self, server: Server, at: int) -> None:
        endpoint = self.endpoints.get(server)
        self.pending.server_gone(server, before=at)
        for id, front_session in list(endpoint.sessions.items()) if endpoint is not None else ():
            if front_session.session.set_up_at < at:
                del endpoint.sessions[id]
                self.ended(front_session, Outcome.BROKEN, isup.RESET)

    def add_session(self, front_session: FrontSession) -> None:
        """Adds a session that was handed over, with a connection on which its release can be received."""
        session = front_session.session
        session.reused = self.pending.is_reused(session.server, session.id)
        endpoint = self.endpoints[session.server]
        endpoint.sessions[session.id] = front_session
        self._keep_open(endpoint)

    def early_release(self, server: Server, id: bytes) -> int | None:
        """The cause with which the server has released a session before it was handed over to this node, or None."""
        return self.early_releases.pop((server, id), None)

    def session_count(self, server: Server) -> int:
        """The number of established sessions at the server."""
        return len(self.endpoints[server].sessions) if server in self.endpoints else 0

    # ---- requests to servers

    def tune_in(self, tune_in: TuneIn) -> None:
        """Sends a set-up to the server of this tune-in; its outcome is reported to the session core."""
        attempt = self.attempts[tune_in] = Attempt(tune_in, bytes.fromhex(tune_in.front_session.offer.name), self)
        self._assign(attempt)

    def _assign(self, attempt: Attempt) -> None:
        tune_in = attempt.tune_in
        endpoint = self.endpoints[tune_in.server]
        connection = self._pick_connection(endpoint, attempt.id)
        attempt.connection = connection
        connection.attempts[attempt.id] = attempt
        self._write(connection, attempt)

    def _write(self, connection: ServerConnection, attempt: Attempt) -> None:
        attempt.queued = True
        if connection.transport is None:
            # encoded only when it is sent, as it carries how long the viewer still waits
            connection.unsent.append((b"", attempt))
            return
        viewing = attempt.tune_in.front_session.viewing
        attempt.sent_at = self.now()
        wait = max(1, (attempt.tune_in.until - self.now()) // MS)
        attempt.number = connection.send(
            isup.set_up(
                attempt.id,
                viewing.package.name,
                viewing.title,
                wait,
                attempt.tune_in.rung,
                attempt.tune_in.front_session.offer.description,
            ),
            attempt,
        )

    def may_send(self, attempt: Attempt) -> bool:
        """Whether this set-up may be sent now, on its connection. Not if unread input may say that its viewer has left; nor if
        since it was queued its server became unavailable, its deadline passed or its connection was closed."""
        connection = attempt.connection
        if self.attempts.get(attempt.tune_in) is not attempt:
            return False
        if not self.session_core.stands(attempt.tune_in):
            self._defer(lambda: self._end_if_pending(attempt))
            return False
        if connection.transport.peer_closed():
            # the server has closed it: whether a set-up sent now has run would be unknown
            connection.transport.ended_by_peer = True
            self._defer(lambda: self.break_connection(connection, "closed by the server"))
            return False
        if self._wait_for_release(attempt):
            return False
        if self.read_first(attempt.tune_in, lambda: self._resume(attempt)):
            self._limit_hold(attempt)
            return False
        attempt.reused = self.pending.is_reused(attempt.tune_in.server, attempt.id)
        self.session_core.sent(attempt.tune_in)
        return True

    def _limit_hold(self, attempt: Attempt) -> None:
        """Ends the attempt if its client sends without pause, so that it is never known whether the client has left."""
        if not attempt.held_since:
            attempt.held_since = self.now()
            # before its time-out, which counts as a failure of its server
            ends_at = min(attempt.held_since + MAX_HOLD_NS, attempt.tune_in.until - 1)
            self.session_core.timers.at(ends_at, lambda: self._end_held(attempt))

    def _end_held(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.tune_in) is attempt and not attempt.sending_started:
            attempt.connection.withdraw(attempt)
            self.end_attempt(attempt, Outcome.UNSENT, "input of its client is unread")

    def _wait_for_release(self, attempt: Attempt) -> bool:
        """Whether a session that an earlier attempt with the same id may have left has to be released first."""
        server = attempt.tune_in.server
        before = self.pending.blocker(server, attempt.id)
        if before is None:
            return False
        before.waiters.append(lambda: self._resume(attempt))
        if isinstance(before, Copy):
            cause = "release not confirmed" if before.written else "release not written"
            if not before.written:
                self.session_core.timers.at(self.now() + RELEASE_WRITE_TIMEOUT_NS, lambda: self._reset_unless_written(before))
        else:
            cause = "release not sent"
            self._defer(lambda: self.teardowns.expedite(before))
        self.log.info("attempt-waits", session=attempt.id.hex(), server=server.name, cause=cause)
        return True

    def _reset_unless_written(self, release: Copy) -> None:
        """Resets the connection of a release that the kernel has not taken, so that a server that does not read cannot delay an
        attempt at another server; after the reset nothing that is queued on it can arrive."""
        if not release.written:
            if release.connection.transport is not None:
                release.connection.transport.reset()
            self.break_connection(release.connection, "a release could not be written")

    def _end_if_pending(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.tune_in) is attempt:
            self.end_attempt(attempt, Outcome.UNSENT, "not sent")

    def _resume(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.tune_in) is attempt and not attempt.queued:
            self._write(attempt.connection, attempt)

    def withdraw(self, tune_in: TuneIn) -> bool:
        """Abandons a set-up. Returns whether it was sent, so that the server may have run it."""
        attempt = self.attempts.pop(tune_in, None)
        if attempt is None:
            return False
        connection = attempt.connection
        if connection.attempts.get(attempt.id) is attempt:
            del connection.attempts[attempt.id]
        self._log_end(attempt, "timed out" if self.now() >= tune_in.until else "client left", "withdrawn")
        if not attempt.sending_started:
            connection.withdraw(attempt)
            return False
        self.release_abandoned(attempt)
        if connection.last_seen_at < attempt.sent_at and self.now() >= tune_in.until:
            connection.unresponsive = True
        return True

    def release_abandoned(self, attempt: Attempt) -> None:
        """Releases what an abandoned attempt may set up, also if it is answered after all."""
        self.teardowns.attempt_abandoned(attempt.connection, attempt)
        self.given_up[attempt.tune_in.server, attempt.id] = attempt.tune_in
        if len(self.given_up) > MAX_GIVEN_UP:
            self.given_up.popitem(last=False)

    def rung(self, front_session: FrontSession, rung: int) -> None:
        """Sends a rung change to the server of an established session."""
        session = front_session.session
        connection = session.connection
        if (
            connection is None
            or connection not in connection.endpoint.connections
            or connection.unresponsive
            or not connection.up
        ):
            connection = session.connection = self._any_connection(self.endpoints[session.server])
        connection.send(isup.rung(session.id, rung))

    def end_session(self, session_end: SessionEnd) -> None:
        """Takes over the release of a session: it is repeated here until confirmed, and the session core need not retry."""
        endpoint = self.endpoints.get(session_end.server)
        if endpoint is not None:
            self.teardowns.session_over(endpoint, session_end.session)
        self._defer(lambda: self.session_core.session_ended(session_end, True))

    def probe(self, server: Server) -> None:
        """Sends a probe; its outcome is reported to the session core."""
        endpoint = self.endpoints.get(server)
        if endpoint is not None:
            self.probe_connection(self._any_connection(endpoint))

    def probe_connection(self, connection: ServerConnection) -> bytes:
        """Sends a probe on this connection and returns its name."""
        self.counts["probe-sent"] += 1
        name = connection.probe()
        self.pending.tested(connection)
        return name

    def _defer(self, call) -> None:
        """Runs `call` in the next timer run: the session core is never called back from within its own call."""
        self.session_core.timers.at(self.now(), call)

    # ---- connections

    def _pick_connection(self, endpoint: Endpoint, id: bytes) -> ServerConnection:
        """Picks a connection for a set-up: an idle one, else a new one within the limits, else the one with fewest attempts."""
        candidates = [
            connection
            for connection in endpoint.connections
            if connection.usable
            and not connection.unresponsive
            and id not in connection.attempts
            and len(connection.attempts) < self.streams_per_connection
        ]
        idle = next((connection for connection in candidates if connection.up and not connection.attempts), None)
        if idle is not None:
            return idle
        if not candidates or (
            self.connection_count < self.max_connections and len(endpoint.connections) < self._connections_per_server()
        ):
            return self.open_connection(endpoint)
        return min(candidates, key=lambda connection: (len(connection.attempts), connection.transport is None))

    def _connections_per_server(self) -> int:
        return max(2, self.max_connections // max(1, len(self.endpoints)))

    def _any_connection(self, endpoint: Endpoint) -> ServerConnection:
        connections = [connection for connection in endpoint.connections if connection.usable]
        if not connections:
            return self.open_connection(endpoint)
        return max(connections, key=lambda connection: (not connection.unresponsive, connection.up, connection.last_seen_at))

    def _keep_open(self, endpoint: Endpoint) -> None:
        if not endpoint.connections:
            self.open_connection(endpoint)

    def open_connection(self, endpoint: Endpoint) -> ServerConnection:
        """Starts a connect; messages sent on the connection meanwhile are queued."""
        self.opened += 1
        connection = ServerConnection(endpoint, self.opened)
        endpoint.connections.append(connection)
        self.connection_count += 1
        self.tasks.start_soon(self._run, connection)
        return connection

    async def _run(self, connection: ServerConnection) -> None:
        endpoint = connection.endpoint
        try:
            if endpoint.address is None:
                self._connect_failed(connection, ConnectionRefusedError("another server has its address"))
                return
            try:
                sock = await dial(endpoint.address, self.connect_timeout_s)
            except OSError as error:
                self._connect_failed(connection, error)
                return
            if sock is None:
                self._connect_failed(connection, None)
                return
            if connection.closed:
                sock.close()
                return
            self._connected(endpoint)
            connection.transport = BufferedConnection(sock, self.tasks)
            self.teardowns.connection_up(connection)
            self._send_queued(connection)
            while data := await connection.transport.receive():
                self.messages.read(connection, data)
        except Exception as fault:
            self.log.error(
                "fault", what="media server connection", server=endpoint.server.name, cause=repr(fault), exc_info=fault
            )
        finally:
            self.break_connection(connection, "ended")
            if connection.transport is not None:
                await connection.transport.close()

    def _connected(self, endpoint: Endpoint) -> None:
        """A connection to the server has been established. If all earlier ones were reset, its process may be another one, or
        even another server's. While the server list is followed, that tells: resets have many other reasons."""
        if endpoint.all_reset and not self.is_list_followed():
            endpoint.restart_suspected_at = self.now()
            self.log.info("restart-suspected", server=endpoint.server.name)
            self.session_core.came_back(endpoint.server)
        endpoint.failed_connects, endpoint.was_reset, endpoint.all_reset = 0, False, False

    def _send_queued(self, connection: ServerConnection) -> None:
        """Sends what was queued while the connection was being established."""
        unsent, connection.unsent = connection.unsent, []
        for data, pending_write in unsent:
            if isinstance(pending_write, Attempt):
                self._write(connection, pending_write)
            else:
                connection.send(data, pending_write)

    def _connect_failed(self, connection: ServerConnection, error: OSError | None) -> None:
        """Handles a failed connect; ignored if the connection is no longer wanted."""
        endpoint = connection.endpoint
        if connection.closed:
            return
        # running out of file descriptors is no failure of the server (23 is ENFILE, 24 EMFILE)
        local_failure = error is not None and error.errno in (23, 24)
        if not local_failure:
            if not endpoint.failed_connects:
                endpoint.failing_since = connection.opened_at
            endpoint.failed_connects += 1
        self.log.info(
            "not-up",
            server=endpoint.server.name,
            connection=connection.number,
            cause=repr(error) if error is not None else "connect timed out",
        )
        self._remove(connection)
        for attempt in list(connection.attempts.values()):
            self.end_attempt(attempt, Outcome.UNSENT if local_failure else Outcome.UNREACHED, "connect failed")
        if connection.probes and not endpoint.up:
            self.session_core.probed(endpoint.server, Outcome.UNREACHED)
        if error is not None and not local_failure and not endpoint.up and self._is_dead(endpoint):
            self.pending.server_gone(endpoint.server)
            if endpoint.sessions:
                self.declare_lost(endpoint, "connection refused")

    def _is_dead(self, endpoint: Endpoint) -> bool:
        """Whether a server that refuses connections is dead. A live process may refuse them when it has too many, but it does not
        reset established ones."""
        return endpoint.was_reset or endpoint.address is None or not self._is_listed(endpoint)

    def _is_listed(self, endpoint: Endpoint) -> bool:
        """Whether the server is in the server list, ready or draining."""
        return self.session_core.server_list.lists(endpoint.server)

    def _remove(self, connection: ServerConnection) -> None:
        if not connection.closed:
            connection.closed = True
            if connection in connection.endpoint.connections:
                connection.endpoint.connections.remove(connection)
            self.connection_count -= 1

    def retire(self, connection: ServerConnection) -> None:
        """Closes the connection gracefully: nothing more is sent on it, and what the server has sent meanwhile is still read."""
        connection.endpoint.connections.remove(connection)
        connection.retired = True
        connection.transport.close_gracefully()

    def break_connection(self, connection: ServerConnection, reason: str) -> None:
        """Drops the connection: set-ups sent on it may have run, those not sent yet are moved to another connection."""
        if connection.closed:
            return
        self._remove(connection)
        if connection.transport is not None:
            connection.transport.drop()
        endpoint = connection.endpoint
        by_peer = connection.transport is not None and connection.transport.ended_by_peer
        reset = connection.transport is not None and connection.transport.reset_by_peer
        drop_cause = connection.transport.drop_cause if connection.transport is not None else None
        self._log_close(connection, "closed by the server" if by_peer else drop_cause.value if drop_cause else reason)
        if reset:
            endpoint.was_reset = True
            if not endpoint.up and endpoint.last_seen_at > endpoint.restart_suspected_at:
                endpoint.all_reset = True
        if connection.transport is not None and (reset or not by_peer):
            self._mark_lost_releases(connection, known_to_server=by_peer)
        for attempt in list(connection.attempts.values()):
            if attempt.sending_started:
                self.teardowns.attempt_broken(connection, attempt, by_peer)
                self.end_attempt(attempt, Outcome.BROKEN, "connection ended")
            elif attempt.moves >= MAX_MOVES or not self.session_core.stands(attempt.tune_in):
                self.end_attempt(attempt, Outcome.UNSENT, "not sent")
            else:
                attempt.moves += 1
                connection.attempts.pop(attempt.id)
                self._assign(attempt)
        self.pending.connection_ended(connection, by_peer)
        self.messages.end_unclear_sessions(connection)
        if reset and not self._is_listed(endpoint) and not endpoint.up:
            # a proxy in front of its address may accept connections and reset them; if the server is alive, it is sent releases
            self.declare_lost(endpoint, "not in the server list, and connection reset", cut_off=True)

    def _mark_lost_releases(self, connection: ServerConnection, known_to_server: bool) -> None:
        """Marks the sessions whose releases may be lost with the connection. A new connection is opened for the releases sent
        before its end and, if the server may not know of the end, from time to time for those that it still sends there."""
        endpoint = connection.endpoint
        for front_session in endpoint.sessions.values():
            if front_session.session.may_be_released_on(connection):
                endpoint.releases_lost, endpoint.releases_lost_since = True, self.now()
                if not known_to_server:
                    front_session.session.release_may_be_lost = True

    def end_attempt(self, attempt: Attempt, outcome: Outcome, cause: str, report: dict[str, float] | None = None) -> None:
        """Reports to the session core that the attempt has ended without a session; `cause` is for the log."""
        self.attempts.pop(attempt.tune_in, None)
        if attempt.connection is not None and attempt.connection.attempts.get(attempt.id) is attempt:
            del attempt.connection.attempts[attempt.id]
        self._log_end(attempt, outcome.value, cause)
        self.session_core.failed(attempt.tune_in, outcome, report)

    def _log_end(self, attempt: Attempt, outcome: str, cause: str) -> None:
        """Logs the end of an attempt that has not established a session, and the event that ended it here."""
        self.counts[f"attempt-{outcome.replace(' ', '-')}"] += 1
        self.log.info(
            "attempt-ended",
            session=attempt.id.hex(),
            number=attempt.tune_in.number,
            server=attempt.tune_in.server.name,
            connection=attempt.connection.number if attempt.connection is not None else 0,
            outcome=outcome,
            cause=cause,
            left=attempt.sending_started,
            after_ms=(self.now() - attempt.sent_at) // MS if attempt.sent_at else 0,
        )

    def _log_close(self, connection: ServerConnection, cause: str) -> None:
        self.counts["connection-closed"] += 1
        self.log.info(
            "connection-closed",
            server=connection.endpoint.server.name,
            connection=connection.number,
            cause=cause,
            out=len(connection.attempts),
            open_ms=(self.now() - connection.opened_at) // MS,
        )

    # ---- sessions ended by this side

    def closed(self, front_session: FrontSession) -> None:
        """The viewer has ended the session; the session core releases it at the server through its session ends."""
        self.endpoints[front_session.session.server].sessions.pop(front_session.session.id, None)

    def declare_lost(self, endpoint: Endpoint, reason: str, cut_off: bool = False) -> None:
        """Declares the server lost and ends its sessions. If the server may only be `cut_off`, its sessions may go on playing
        without a viewer, and are released there."""
        if endpoint.sessions:
            self.log.warning("server-lost", server=endpoint.server.name, cause=reason, standing=len(endpoint.sessions))
        sessions, endpoint.sessions = endpoint.sessions, {}
        for front_session in sessions.values():
            self.ended(front_session, Outcome.BROKEN, isup.RESET)
            if cut_off:
                self.session_core.orphaned(endpoint.server, front_session.session)
            elif endpoint.successor is not None:
                self.teardowns.session_over(endpoint.successor, Session(front_session.session.id, endpoint.successor.server))
        for connection in list(endpoint.connections):
            self.break_connection(connection, reason)

    # ---- maintenance

    async def finish(self, until: float) -> None:
        """Shuts down: waits until pending releases are sent and confirmed, or until `until` (anyio's clock, s)."""
        self.teardowns.probe_all()
        while anyio.current_time() < until and (len(self.pending) or self._has_unsent_output()):
            await anyio.sleep(0.005)

    def _has_unsent_output(self) -> bool:
        return any(
            connection.up and connection.transport.queue
            for endpoint in self.endpoints.values()
            for connection in endpoint.connections
        )

    def sweep(self) -> None:
        """Closes idle and stalled connections, sends due releases and checks servers with sessions. Called by the node."""
        now = self.now()
        self.pending.expire()
        while self.given_up and next(iter(self.given_up.values())).until < now - GIVEN_UP_AGE_NS:
            self.given_up.popitem(last=False)
        for endpoint in list(self.endpoints.values()):
            for connection in list(endpoint.connections):
                self._maintain(connection, now)
            if endpoint.server in self.pending.at:
                self.teardowns.run_due_steps(endpoint)
            if endpoint.sessions:
                self._keep_open(endpoint)
                self.liveness.check(endpoint, now)
            elif not endpoint.connections and self._is_forgotten(endpoint) and not self.pending.of(endpoint.server):
                del self.endpoints[endpoint.server]

    def _is_forgotten(self, endpoint: Endpoint) -> bool:
        return self.session_core.server_list.servers.get(endpoint.server.name) is not endpoint.server

    def _maintain(self, connection: ServerConnection, now: int) -> None:
        self.messages.end_unclear_sessions(connection, now - PROBE_TIMEOUT_NS)
        if connection.input.is_stalled(now, MESSAGE_TIMEOUT_NS, MESSAGE_TIMEOUT_NS):
            self.break_connection(connection, "incomplete message timed out")
            return
        spare = len(connection.endpoint.connections) > 1 or not connection.endpoint.sessions
        if not spare or not connection.up or connection.attempts:
            return
        idle_timeout = (
            self.idle_timeout if self.connection_count < self.max_connections else min(IDLE_AT_LIMIT_NS, self.idle_timeout)
        )
        idle = now - connection.last_used_at > idle_timeout and not self.teardowns.unconfirmed_on(connection)
        if connection.unresponsive or idle:
            self.retire(connection)
