"""The reach to media servers: connections, what is out on them, and what they say. It decides nothing.

Everything hangs on the server's object and never on its address: another server may come to stand where one has gone.
What ends a tune-in is told apart by whether the server can have run it: not if the connection was refused or not up in
time, if the server said so (full, moot), or if the set-up never left for the kernel. Everything else may have run.
"""

from __future__ import annotations

from collections import OrderedDict

import anyio

from curlewshift.deployment import use_of
from curlewshift.model import Outcome, Server
from curlewshift.node import isup
from curlewshift.node.buffered_connection import BufferedConnection, dial
from curlewshift.node.connections import Attempt, Endpoint, ServerConnection, Session
from curlewshift.node.teardowns import Teardowns
from curlewshift.retries.session_ends import SessionEnd
from curlewshift.session_core.front_session import FrontSession, TuneIn
from curlewshift.teardown.pending import Copy

MS = 1_000_000
NS = 1_000_000_000
# A message that has begun to come is whole after this, or its connection is of no more use.
WHOLE_WITHIN = NS // 2
# Unused connections are kept, as a new one costs the server work, but for this part of its own time to close: one that
# it closes under a set-up would leave in doubt what ran. While all that may be open are, they go after the shorter time.
IDLE_PART, IDLE_FOR = 0.8, 5 * NS
# A server with sessions is asked for a sign once it has been silent for so long, or for this many of its usual gaps, and
# after the longest of them however seldom it speaks: what follows until it counts as gone takes two seconds more.
SILENT_FOR, SILENT_GAPS, LONGEST_SILENT = 2 * NS, 1.5, 5 * NS
# Not answered within this, a connection of its own is tried; this many in a row that never come up prove it gone. The
# page wants viewers released 8 s after the end of a session of which nobody could tell.
SIGN_WITHIN = NS // 2
NEVER_UP = 2
# While the end of a session may only be heard on a connection that is opened after it, one is opened this often.
REOPENED_AFTER = 5 * NS
# and for so long at the least: many at once may fail for one lost moment.
FAILING_FOR = NS
# A server that has restarted tells what is over on the next connection; after this it is taken as told.
TOLD_WITHIN = 2 * NS
# A set-up that follows a release waits this long for the kernel to take it (ns).
RELEASE_WRITTEN_WITHIN = 50 * MS
# Set-ups that were given up are kept to end what they set up all the same: so many, and for so long.
MOST_GIVEN_UP, GIVEN_UP_FOR = 2000, 30 * NS
# Set-ups moved to another connection because theirs ended before they left.
MOST_MOVES = 3
# Ends of sessions that nobody here held: what is handed over afterwards must not stand. So many are kept.
MOST_OVER = 2000
BEFORE = {isup.FULL: Outcome.FULL, isup.MOOT: Outcome.UNSENT, isup.ERROR: Outcome.ERROR}
AFTER = {isup.OVER: Outcome.PLAYED, isup.CANCELLED: Outcome.CANCELLED}


class ServerPool:
    """`ended(front_session, outcome, cause)` is told of sessions that have ended at their server, and `read_first(tune_in, then)`
    asked before a set-up leaves; see the node. Times are ns."""

    def __init__(
        self,
        session_core,
        clock,
        tasks,
        log,
        counts,
        ended,
        read_first,
        most_connections: int,
        streams: int,
        connect_within: int,
        told_every: int,
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
        self.read_first = read_first
        self.most_connections, self.streams = most_connections, streams
        self.connect_within = connect_within / NS
        self.silent_for = min(max(SILENT_FOR, int(told_every * SILENT_GAPS)), LONGEST_SILENT)
        self.idle_for = int(idle_close * IDLE_PART)
        self.endpoints: dict[Server, Endpoint] = {}
        self.attempts: dict[TuneIn, Attempt] = {}
        self.teardowns = Teardowns(self, clock, log, counts)
        self.pending = self.teardowns.pending
        self.given_up: OrderedDict[tuple[Server, bytes], TuneIn] = OrderedDict()
        self.over: OrderedDict[tuple[Server, bytes], int] = OrderedDict()
        self.count = self.opened = 0

    # ---- servers

    def listed(self, server: Server, address: tuple[str, int]) -> None:
        endpoint = self.endpoints.get(server)
        if endpoint is None:
            endpoint = self.endpoints[server] = Endpoint(self, server, address)
        for other in list(self.endpoints.values()):
            if other.address == address and other is not endpoint:
                # one that has gone: whoever answers there now knows nothing of it, but for what it was sent in its place
                other.successor = endpoint
                self._lost(other, "its address is another server's")
                self.pending.moved(other.server, server)
                other.address = None
        if endpoint.address != address:
            endpoint.address = address
            for connection in list(endpoint.connections):
                self._break(connection, "it has another address now")

    def restarted(self, server: Server, at: int) -> None:
        """It has started anew at this time: what it set up before is over, whether it gets to say so or not."""
        self.session_core.timers.at(self.now() + TOLD_WITHIN, lambda: self._over_since(server, at))

    def _over_since(self, server: Server, at: int) -> None:
        endpoint = self.endpoints.get(server)
        self.pending.server_gone(server, before=at)
        for id, front_session in list(endpoint.standing.items()) if endpoint is not None else ():
            if front_session.session.since < at:
                del endpoint.standing[id]
                self.ended(front_session, Outcome.BROKEN, isup.RESET)

    def plays_at(self, front_session: FrontSession) -> None:
        endpoint = self.endpoints[front_session.session.server]
        endpoint.standing[front_session.session.id] = front_session
        self._keep_open(endpoint)

    def over_before(self, server: Server, id: bytes) -> int | None:
        """The cause with which its server has ended it, before it was handed over here."""
        return self.over.pop((server, id), None)

    def stands(self, server: Server) -> int:
        return len(self.endpoints[server].standing) if server in self.endpoints else 0

    # ---- what goes out

    def tune_in(self, tune_in: TuneIn) -> None:
        attempt = self.attempts[tune_in] = Attempt(tune_in, bytes.fromhex(tune_in.front_session.offer.name), self)
        self._assign(attempt)

    def _assign(self, attempt: Attempt) -> None:
        tune_in = attempt.tune_in
        endpoint = self.endpoints[tune_in.server]
        connection = self._connection(endpoint, attempt.id)
        attempt.connection = connection
        connection.attempts[attempt.id] = attempt
        self._write(connection, attempt)

    def _write(self, connection: ServerConnection, attempt: Attempt) -> None:
        attempt.queued = True
        if connection.wire is None:
            # how long its viewer still waits is written when it goes out
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

    def leaves(self, attempt: Attempt) -> bool:
        """Whether this set-up goes out now, on its connection. Not if its viewer may have gone and nobody has read that yet;
        nor if the list, the time or the connection's own end has overtaken it since it was queued."""
        connection = attempt.connection
        if self.attempts.get(attempt.tune_in) is not attempt:
            return False
        if not self.session_core.stands(attempt.tune_in):
            self._later(lambda: self._overtaken(attempt))
            return False
        if connection.wire.peer_closed():
            # its server has closed it: what goes out now would be in doubt
            connection.wire.ended_by_peer = True
            self._later(lambda: self._break(connection, "its server has closed it"))
            return False
        if self._waits_for_a_release(attempt):
            return False
        if self.read_first(attempt.tune_in, lambda: self._go_on(attempt)):
            return False
        self.teardowns.set_up_again(connection, attempt)
        self.session_core.sent(attempt.tune_in)
        return True

    def _waits_for_a_release(self, attempt: Attempt) -> bool:
        """Whether something that an earlier attempt of the same id may have left has to be over first."""
        server = attempt.tune_in.server
        before = self.pending.before(server, attempt.id)
        if before is None:
            return False
        before.followers.append(lambda: self._go_on(attempt))
        if isinstance(before, Copy):
            cause = "a release is not confirmed" if before.written else "a release is not written"
            if not before.written:
                self.session_core.timers.at(self.now() + RELEASE_WRITTEN_WITHIN, lambda: self._reset_unless_written(before))
        else:
            cause = "a release has not been sent"
            self._later(lambda: self.teardowns.hurry(before))
        self.log.info("attempt-waits", session=attempt.id.hex(), server=server.name, cause=cause)
        return True

    def _reset_unless_written(self, release: Copy) -> None:
        """A peer that takes no bytes must not hold up an attempt elsewhere; a reset lets nothing of what waits through."""
        if not release.written:
            if release.connection.wire is not None:
                release.connection.wire.reset()
            self._break(release.connection, "it does not take a release")

    def _overtaken(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.tune_in) is attempt:
            self._end(attempt, Outcome.UNSENT)

    def _go_on(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.tune_in) is attempt and not attempt.queued:
            self._write(attempt.connection, attempt)

    def withdraw(self, tune_in: TuneIn) -> bool:
        attempt = self.attempts.pop(tune_in, None)
        if attempt is None:
            return False
        connection = attempt.connection
        if connection.attempts.get(attempt.id) is attempt:
            del connection.attempts[attempt.id]
        self._log_end(attempt, "timed out" if self.now() >= tune_in.until else "client left")
        if not attempt.handed:
            connection.withdraw(attempt)
            return False
        self.teardowns.attempt_given_up(connection, attempt)
        if connection.heard_at < attempt.sent_at and self.now() >= tune_in.until:
            connection.doubtful = True
        self.given_up[tune_in.server, attempt.id] = tune_in
        if len(self.given_up) > MOST_GIVEN_UP:
            self.given_up.popitem(last=False)
        return True

    def rung(self, front_session: FrontSession, rung: int) -> None:
        session = front_session.session
        connection = session.connection
        if connection is None or connection not in connection.endpoint.connections or connection.doubtful or not connection.up:
            connection = session.connection = self._some_connection(self.endpoints[session.server])
        connection.send(isup.rung(session.id, rung))

    def end_session(self, session_end: SessionEnd) -> None:
        """From now on it is seen to here: the desk need not try again."""
        endpoint = self.endpoints.get(session_end.server)
        if endpoint is not None:
            self.teardowns.session_over(endpoint, session_end.session)
        self._later(lambda: self.session_core.session_ended(session_end, True))

    def probe(self, server: Server) -> None:
        endpoint = self.endpoints.get(server)
        if endpoint is not None:
            self._probe(endpoint, self._some_connection(endpoint))

    def _probe(self, endpoint: Endpoint, connection: ServerConnection) -> None:
        self.counts["probe-sent"] += 1
        connection.probe()
        self.pending.tested(connection)

    def _later(self, call) -> None:
        """The desk is never told from within its own call."""
        self.session_core.timers.at(self.now(), call)

    # ---- connections

    def _connection(self, endpoint: Endpoint, id: bytes) -> ServerConnection:
        """One that is idle, else a new one while there may be more, else that with least out on it."""
        sound = [
            connection
            for connection in endpoint.connections
            if connection.usable
            and not connection.doubtful
            and id not in connection.attempts
            and len(connection.attempts) < self.streams
        ]
        idle = next((connection for connection in sound if connection.up and not connection.attempts), None)
        if idle is not None:
            return idle
        if not sound or (self.count < self.most_connections and len(endpoint.connections) < self._share()):
            return self.open_connection(endpoint)
        return min(sound, key=lambda connection: (len(connection.attempts), connection.wire is None))

    def _share(self) -> int:
        return max(2, self.most_connections // max(1, len(self.endpoints)))

    def _some_connection(self, endpoint: Endpoint) -> ServerConnection:
        connections = [connection for connection in endpoint.connections if connection.usable]
        if not connections:
            return self.open_connection(endpoint)
        return max(connections, key=lambda connection: (not connection.doubtful, connection.up, connection.heard_at))

    def _keep_open(self, endpoint: Endpoint) -> None:
        if not endpoint.connections:
            self.open_connection(endpoint)

    def open_connection(self, endpoint: Endpoint) -> ServerConnection:
        self.opened += 1
        connection = ServerConnection(endpoint, self.opened)
        endpoint.connections.append(connection)
        self.count += 1
        self.tasks.start_soon(self._run, connection)
        return connection

    async def _run(self, connection: ServerConnection) -> None:
        endpoint = connection.endpoint
        try:
            if endpoint.address is None:
                self._not_up(connection, ConnectionRefusedError("its address is another server's by now"))
                return
            try:
                sock = await dial(endpoint.address, self.connect_within)
            except OSError as wrong:
                self._not_up(connection, wrong)
                return
            if sock is None:
                self._not_up(connection, None)
                return
            if connection.over:
                sock.close()
                return
            endpoint.never_up, endpoint.was_reset = 0, False
            connection.wire = BufferedConnection(sock, self.tasks)
            self.teardowns.connection_up(connection)
            self._take_off(connection)
            while data := await connection.wire.receive():
                self._read(connection, data)
        except Exception as fault:
            self.log.error(
                "fault", what="a connection to a media server", server=endpoint.server.name, cause=repr(fault), exc_info=fault
            )
        finally:
            self._break(connection, "it has ended")
            if connection.wire is not None:
                await connection.wire.close()

    def _take_off(self, connection: ServerConnection) -> None:
        """What waited for the connection goes out on it."""
        unsent, connection.unsent = connection.unsent, []
        for data, pending_write in unsent:
            if isinstance(pending_write, Attempt):
                self._write(connection, pending_write)
            else:
                connection.send(data, pending_write)

    def _not_up(self, connection: ServerConnection, wrong: OSError | None) -> None:
        """It did not come up; of one that nobody wants any more nothing is learnt."""
        endpoint = connection.endpoint
        if connection.over:
            return
        # no descriptor left is nothing that the server has done
        own = wrong is not None and wrong.errno in (23, 24)
        if not own:
            if not endpoint.never_up:
                endpoint.failing_since = connection.opened_at
            endpoint.never_up += 1
        self.log.info(
            "not-up",
            server=endpoint.server.name,
            connection=connection.number,
            cause=repr(wrong) if wrong is not None else "not up in time",
        )
        self._gone(connection)
        for attempt in list(connection.attempts.values()):
            self._end(attempt, Outcome.UNSENT if own else Outcome.UNREACHED)
        if connection.probes and not endpoint.up:
            self.session_core.probed(endpoint.server, Outcome.UNREACHED)
        if wrong is not None and not own and not endpoint.up and self._has_died(endpoint):
            self.pending.server_gone(endpoint.server)
            if endpoint.standing:
                self._lost(endpoint, "refused")

    def _has_died(self, endpoint: Endpoint) -> bool:
        """Of a server that refuses connections: a process that lives may do so where it has too many, but resets none."""
        return endpoint.was_reset or endpoint.address is None or not self._is_listed(endpoint)

    def _is_listed(self, endpoint: Endpoint) -> bool:
        """Whether discovery says that it is there, ready or draining."""
        return self.session_core.server_list.lists(endpoint.server)

    def _gone(self, connection: ServerConnection) -> None:
        if not connection.over:
            connection.over = True
            if connection in connection.endpoint.connections:
                connection.endpoint.connections.remove(connection)
            self.count -= 1

    def _retire(self, connection: ServerConnection) -> None:
        """Closed in peace: nothing more goes out on it, and what its server has said meanwhile is still read."""
        connection.endpoint.connections.remove(connection)
        connection.retired = True
        connection.wire.end()

    def _break(self, connection: ServerConnection, why: str) -> None:
        """The connection is of no more use: what was out on it may have run, what had not left is sent on another."""
        if connection.over:
            return
        self._gone(connection)
        if connection.wire is not None:
            connection.wire.drop()
        endpoint = connection.endpoint
        by_peer = connection.wire is not None and connection.wire.ended_by_peer
        reset = connection.wire is not None and connection.wire.reset_by_peer
        self._log_close(connection, "its server has closed it" if by_peer else why)
        if reset:
            endpoint.was_reset = True
        if not by_peer:
            self._note_unheard(connection)
        for attempt in list(connection.attempts.values()):
            if attempt.handed:
                self.teardowns.attempt_broken(connection, attempt, by_peer)
                self._end(attempt, Outcome.BROKEN)
            elif attempt.moves >= MOST_MOVES or not self.session_core.stands(attempt.tune_in):
                self._end(attempt, Outcome.UNSENT)
            else:
                attempt.moves += 1
                connection.attempts.pop(attempt.id)
                self._assign(attempt)
        self.pending.connection_ended(connection, by_peer)
        if reset and not self._is_listed(endpoint) and not endpoint.up:
            # something may stand before its address that takes connections and resets them; should it live, it is told
            self._lost(endpoint, "gone by the list, and reset", cut_off=True)

    def _note_unheard(self, connection: ServerConnection) -> None:
        """Its server may not know that it is closed, and say the ends of sessions there, unheard."""
        endpoint = connection.endpoint
        for front_session in endpoint.standing.values():
            if front_session.session.set_up_on is connection:
                front_session.session.unheard = endpoint.words_lost = True
                endpoint.unheard_since = self.now()

    def _end(self, attempt: Attempt, outcome: Outcome, report: dict[str, float] | None = None) -> None:
        self.attempts.pop(attempt.tune_in, None)
        if attempt.connection is not None and attempt.connection.attempts.get(attempt.id) is attempt:
            del attempt.connection.attempts[attempt.id]
        self._log_end(attempt, outcome.value)
        self.session_core.failed(attempt.tune_in, outcome, report)

    def _log_end(self, attempt: Attempt, outcome: str) -> None:
        """Of an attempt that has set nothing up."""
        self.counts[f"attempt-{outcome.replace(' ', '-')}"] += 1
        self.log.info(
            "attempt-ended",
            session=attempt.id.hex(),
            number=attempt.tune_in.number,
            server=attempt.tune_in.server.name,
            connection=attempt.connection.number if attempt.connection is not None else 0,
            outcome=outcome,
            left=attempt.handed,
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

    # ---- what comes in

    def _read(self, connection: ServerConnection, data: bytes) -> None:
        now = self.now()
        connection.heard_at = connection.endpoint.heard_at = now
        connection.endpoint.never_up = 0
        messages, wrong = connection.intake.feed(data, now)
        try:
            for kind, id, parameters in messages:
                if connection.over:
                    return
                self._take(connection, kind, id, parameters)
        except isup.Malformed as caught:
            wrong = caught
        if wrong is not None:
            self.log.info("malformed", what="media server", server=connection.endpoint.server.name, cause=str(wrong))
            self._break(connection, str(wrong))

    def _take(self, connection: ServerConnection, kind: int, id: bytes, parameters: dict[int, bytes]) -> None:
        endpoint = connection.endpoint
        if kind == isup.ANSWER:
            self._answered(connection, id, parameters)
        elif kind == isup.RELEASE:
            self._released(connection, id, isup.cause_of(parameters), self._report(parameters))
        elif kind == isup.RELEASED:
            self.pending.heard(endpoint.server, id, connection)
        elif kind == isup.NOTE:
            self._note(endpoint, id, isup.text_of(parameters, isup.KIND), isup.text_of(parameters, isup.FIGURE))
        elif kind == isup.PROBED:
            number = connection.probes.pop(id, None)
            if number is not None:
                self.pending.answered(connection, number)
                passed = isup.cause_of(parameters) == 1
                self.session_core.probed(endpoint.server, Outcome.PLAYED if passed else Outcome.ERROR, self._report(parameters))
        elif kind == isup.PROBE:
            connection.send(isup.probed(id, True))
        elif kind in (isup.SET_UP, isup.RUNG):
            raise isup.Malformed(f"a message of type {kind} from a media server")

    @staticmethod
    def _report(parameters: dict[int, bytes]) -> dict[str, float]:
        link, uplink = use_of(isup.report_of(parameters))
        return {name: use for name, use in (("link", link), ("uplink", uplink)) if use is not None}

    def _answered(self, connection: ServerConnection, id: bytes, parameters: dict[int, bytes]) -> None:
        endpoint = connection.endpoint
        description = parameters.get(isup.DESCRIPTION)
        if description is None:
            raise isup.Malformed("an answer without a description")
        session = Session(id, endpoint.server, description, since=self.now())
        attempt = connection.attempts.get(id)
        if attempt is None:
            late = self.given_up.pop((endpoint.server, id), None)
            if late is not None and id not in endpoint.standing:
                # it crossed its giving up
                self.session_core.played(late, session)
            return
        if not attempt.handed:
            # ahead of its set-up: it belongs to something else
            return
        del connection.attempts[id]
        self.attempts.pop(attempt.tune_in, None)
        self.pending.answered(connection, attempt.number)
        front_session = attempt.tune_in.front_session
        self.session_core.played(attempt.tune_in, session, self._report(parameters))
        if front_session.session is session and front_session.viewing.playing:
            session.connection = session.set_up_on = connection
            endpoint.standing[id] = front_session

    def _released(self, connection: ServerConnection, id: bytes, cause: int, report: dict[str, float]) -> None:
        endpoint = connection.endpoint
        attempt = connection.attempts.get(id)
        if attempt is not None:
            self.pending.answered(connection, attempt.number)
            self._end(attempt, BEFORE.get(cause, Outcome.BROKEN), report)
            return
        given_up = self.given_up.pop((endpoint.server, id), None)
        self.pending.over(endpoint.server, id)
        if report:
            self.session_core.told(endpoint.server, report)
        front_session = endpoint.standing.pop(id, None)
        if front_session is None and given_up is None:
            # it may be handed over only after its end
            self.over[endpoint.server, id] = cause
            if len(self.over) > MOST_OVER:
                self.over.popitem(last=False)
        if front_session is not None:
            connection.send(isup.released(id))
            self.ended(front_session, AFTER.get(cause, Outcome.BROKEN), None if cause == isup.CANCELLED else cause)

    def _note(self, endpoint: Endpoint, id: bytes, name: str, figure: str) -> None:
        try:
            figure = float(figure)
        except ValueError:
            raise isup.Malformed(f"a note with the figure {figure!r}") from None
        front_session = endpoint.standing.get(id)
        if name == "kept_up" and 0 <= figure < 1e6:
            self.session_core.delivered(endpoint.server, figure)
        elif name == "tier" and front_session is not None and 0 <= figure < 1e3:
            self.session_core.rung_found(front_session, int(figure))
        elif name == "wire":
            self.session_core.told(endpoint.server, {"link": figure})
        elif name == "trunk":
            self.session_core.told(endpoint.server, {"uplink": figure})

    # ---- endings that this side has made

    def closed(self, front_session: FrontSession) -> None:
        """Ended by its viewer: the server is told by the desk's endings."""
        self.endpoints[front_session.session.server].standing.pop(front_session.session.id, None)

    def _lost(self, endpoint: Endpoint, why: str, cut_off: bool = False) -> None:
        """The server is not there any more; what played on it is over. One that may only be `cut_off` plays on, for
        nobody, and has to be told."""
        if endpoint.standing:
            self.log.warning("server-lost", server=endpoint.server.name, cause=why, standing=len(endpoint.standing))
        standing, endpoint.standing = endpoint.standing, {}
        for front_session in standing.values():
            self.ended(front_session, Outcome.BROKEN, isup.RESET)
            if cut_off:
                self.session_core.orphaned(endpoint.server, front_session.session)
            elif endpoint.successor is not None:
                self.teardowns.session_over(endpoint.successor, Session(front_session.session.id, endpoint.successor.server))
        for connection in list(endpoint.connections):
            self._break(connection, why)

    # ---- looked after

    async def finish(self, until: float) -> None:
        """The node's end: what servers are to be told is told and confirmed, at the latest `until` then (anyio's clock)."""
        self.teardowns.test_all()
        while anyio.current_time() < until and (len(self.pending) or self._something_waits()):
            await anyio.sleep(0.005)

    def _something_waits(self) -> bool:
        return any(
            connection.up and connection.wire.waiting
            for endpoint in self.endpoints.values()
            for connection in endpoint.connections
        )

    def sweep(self) -> None:
        now = self.now()
        self.pending.expire()
        while self.given_up and next(iter(self.given_up.values())).until < now - GIVEN_UP_FOR:
            self.given_up.popitem(last=False)
        for endpoint in list(self.endpoints.values()):
            for connection in list(endpoint.connections):
                self._look_after(connection, now)
            if endpoint.server in self.pending.at:
                self.teardowns.look_after(endpoint)
            if endpoint.standing:
                self._keep_open(endpoint)
                self._ask_for_sign(endpoint, now)
            elif not endpoint.connections and self._is_forgotten(endpoint) and not self.pending.of(endpoint.server):
                del self.endpoints[endpoint.server]

    def _is_forgotten(self, endpoint: Endpoint) -> bool:
        return self.session_core.server_list.servers.get(endpoint.server.name) is not endpoint.server

    def _look_after(self, connection: ServerConnection, now: int) -> None:
        if connection.intake.stuck(now, WHOLE_WITHIN, WHOLE_WITHIN):
            self._break(connection, "half a message and no more")
            return
        spare = len(connection.endpoint.connections) > 1 or not connection.endpoint.standing
        if not spare or not connection.up or connection.attempts:
            return
        idle_for = self.idle_for if self.count < self.most_connections else min(IDLE_FOR, self.idle_for)
        idle = now - connection.used_at > idle_for and not self.teardowns.unconfirmed_on(connection)
        if connection.doubtful or idle:
            self._retire(connection)

    def _ask_for_sign(self, endpoint: Endpoint, now: int) -> None:
        """A machine that has vanished says nothing, and its connections stay open: only a new one tells."""
        if endpoint.never_up >= NEVER_UP and now - endpoint.failing_since >= FAILING_FOR:
            # refused or not: an old connection may look open long after its process has died
            self._lost(endpoint, "silent, and no connection comes up", cut_off=True)
            endpoint.never_up = 0
            return
        silent = now - endpoint.heard_at > self.silent_for
        if (endpoint.never_up or endpoint.words_lost or silent) and self._needs_another(endpoint, now):
            self._retire_one(endpoint)
            self._probe(endpoint, self.open_connection(endpoint))
        for connection in list(endpoint.connections):
            if now - connection.heard_at > self.silent_for:
                self._ask_connection_for_sign(connection, now)
            else:
                connection.asked_at = 0

    def _needs_another(self, endpoint: Endpoint, now: int) -> bool:
        """Whether what the server has to say may have been lost with the connections that there were."""
        connections = endpoint.connections
        if not all(connection.up for connection in connections):
            return False
        newest = max(connection.opened_at for connection in connections)
        if endpoint.never_up or newest < endpoint.unheard_since:
            return True
        if endpoint.words_lost and now - newest > REOPENED_AFTER:
            endpoint.words_lost = any(front_session.session.unheard for front_session in endpoint.standing.values())
            return endpoint.words_lost
        return all(connection.doubtful and now - max(connection.heard_at, newest) > self.silent_for for connection in connections)

    def _retire_one(self, endpoint: Endpoint) -> None:
        """An idle connection makes room for a new one."""
        idle = [
            connection
            for connection in endpoint.connections
            if connection.up and not connection.attempts and not self.teardowns.unconfirmed_on(connection)
        ]
        if len(idle) > 1:
            self._retire(min(idle, key=lambda connection: connection.heard_at))

    def _ask_connection_for_sign(self, connection: ServerConnection, now: int) -> None:
        """A connection may lose its server's words while others to the same server go on. The server says them again on the next
        one that is opened."""
        endpoint = connection.endpoint
        if (
            connection.doubtful
            or not connection.up
            or (endpoint.heard_at > connection.heard_at and now - connection.heard_at <= LONGEST_SILENT)
        ):
            return
        if not connection.asked_at:
            if self._may_carry_an_end(connection):
                connection.asked_at = now
                self._probe(endpoint, connection)
        elif now - connection.asked_at > SIGN_WITHIN:
            self.log.info(
                "connection-silent",
                server=endpoint.server.name,
                connection=connection.number,
                silent_ms=(now - connection.heard_at) // MS,
            )
            connection.doubtful = True
            if not any(other.opened_at >= connection.asked_at for other in endpoint.connections):
                self._probe(endpoint, self.open_connection(endpoint))

    def _may_carry_an_end(self, connection: ServerConnection) -> bool:
        """A server tells the end of a session on the connection of its set-up, or, if that is closed, on any."""
        used = {front_session.session.set_up_on for front_session in connection.endpoint.standing.values()}
        return connection in used or any(one not in connection.endpoint.connections for one in used)
