"""Messages received from media servers: answers, releases, notes and answers to probes. Called by server_pool.py.

A message carries an id and not the set-up that it concerns. Where a server had more than one set-up with an id, a release or a
note may concern an earlier one; docs/node.md ("One attempt at a time") tells how the two are told apart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from curlewshift.deployment import use_of
from curlewshift.model import Outcome
from curlewshift.node import isup
from curlewshift.node.connections import Attempt, Endpoint, ServerConnection, Session, UnclearRelease
from curlewshift.session_core.front_session import FrontSession

if TYPE_CHECKING:
    from curlewshift.node.server_pool import ServerPool

# Limit on remembered releases of unknown sessions: one that is handed over after its release must not be accepted.
MAX_EARLY_RELEASES = 2000
OUTCOME_BEFORE_ANSWER = {isup.FULL: Outcome.FULL, isup.MOOT: Outcome.UNSENT, isup.ERROR: Outcome.ERROR}
OUTCOME_AFTER_ANSWER = {isup.ENDED: Outcome.PLAYED, isup.CANCELLED: Outcome.CANCELLED}


class ServerMessages:
    """Handles what media servers send on the connections of one pool."""

    def __init__(self, pool: ServerPool, clock, log):
        self.pool, self.session_core, self.now, self.log = pool, pool.session_core, clock, log

    def read(self, connection: ServerConnection, data: bytes) -> None:
        """Handles the messages that these bytes complete; malformed input breaks the connection."""
        now = self.now()
        connection.last_seen_at = connection.endpoint.last_seen_at = now
        connection.endpoint.failed_connects = 0
        messages, error = connection.input.feed(data, now)
        try:
            for kind, id, parameters in messages:
                if connection.closed:
                    return
                self._handle_message(connection, kind, id, parameters)
        except isup.Malformed as malformed:
            error = malformed
        if error is not None:
            self.log.info("malformed", what="media server", server=connection.endpoint.server.name, cause=str(error))
            self.pool.break_connection(connection, str(error))

    def _handle_message(self, connection: ServerConnection, kind: int, id: bytes, parameters: dict[int, bytes]) -> None:
        endpoint = connection.endpoint
        if kind == isup.ANSWER:
            self._handle_answer(connection, id, parameters)
        elif kind == isup.RELEASE:
            self._handle_release(connection, id, isup.cause_of(parameters), self._report(parameters))
        elif kind == isup.RELEASED:
            self.pool.pending.confirmed(endpoint.server, id, connection)
        elif kind == isup.NOTE:
            self._handle_note(connection, id, isup.text_of(parameters, isup.KIND), isup.text_of(parameters, isup.VALUE))
        elif kind == isup.PROBED:
            number = connection.probes.pop(id, None)
            connection.unclear_releases.pop(id, None)
            if number is not None:
                self.pool.pending.answered(connection, number)
                passed = isup.cause_of(parameters) == 1
                self.session_core.probed(endpoint.server, Outcome.PLAYED if passed else Outcome.ERROR, self._report(parameters))
        elif kind == isup.PROBE:
            connection.send(isup.probed(id, True))
        elif kind in (isup.SET_UP, isup.RUNG):
            raise isup.Malformed(f"unexpected message type {kind} from a media server")

    @staticmethod
    def _report(parameters: dict[int, bytes]) -> dict[str, float]:
        link, uplink = use_of(isup.report_of(parameters))
        return {name: use for name, use in (("link", link), ("uplink", uplink)) if use is not None}

    def _handle_answer(self, connection: ServerConnection, id: bytes, parameters: dict[int, bytes]) -> None:
        endpoint = connection.endpoint
        description = parameters.get(isup.DESCRIPTION)
        if description is None:
            raise isup.Malformed("answer without a session description")
        session = Session(id, endpoint.server, description, set_up_at=self.now())
        attempt = connection.attempts.get(id)
        if attempt is None:
            self._handle_unexpected_answer(endpoint, session)
            return
        if not attempt.sending_started:
            # received before its set-up was sent: it does not belong to this attempt
            return
        session.reused = attempt.reused
        del connection.attempts[id]
        self.pool.attempts.pop(attempt.tune_in, None)
        self.pool.pending.answered(connection, attempt.number)
        front_session = attempt.tune_in.front_session
        self.session_core.played(attempt.tune_in, session, self._report(parameters))
        if front_session.session is session and front_session.viewing.playing:
            session.connection = session.set_up_on = connection
            endpoint.sessions[id] = front_session

    def _handle_unexpected_answer(self, endpoint: Endpoint, session: Session) -> None:
        """No attempt waits for this answer on its connection. It may have crossed the release of an abandoned set-up, and its
        session is then released again, which would also end a later attempt with the same id: that one is not disturbed."""
        later_attempt = any(session.id in connection.attempts for connection in endpoint.connections)
        if session.id in endpoint.sessions or later_attempt:
            return
        late = self.pool.given_up.pop((endpoint.server, session.id), None)
        if late is not None:
            self.session_core.played(late, session)

    def _handle_release(self, connection: ServerConnection, id: bytes, cause: int, report: dict[str, float]) -> None:
        """The server has released something with this id: the attempt that was sent on this connection, the established
        session, or what an earlier set-up has left there."""
        endpoint = connection.endpoint
        attempt = connection.attempts.get(id)
        if attempt is not None and attempt.sending_started:
            self._handle_release_of_attempt(attempt, cause, report)
            return
        if report:
            self.session_core.told(endpoint.server, report)
        front_session = endpoint.sessions.get(id)
        if front_session is not None:
            self._handle_release_of_session(connection, front_session, cause)
        elif not self.pool.pending.is_reused(endpoint.server, id):
            self._handle_release_of_unknown(endpoint, id, cause)

    def _handle_release_of_attempt(self, attempt: Attempt, cause: int, report: dict[str, float]) -> None:
        """Ends the attempt. If the release may concern an earlier session with this id, the attempt may still run: it is
        released, and the record of that lasts until the server confirms it."""
        outcome = OUTCOME_BEFORE_ANSWER.get(cause)
        if outcome is None and attempt.reused:
            self.pool.release_abandoned(attempt)
            self.pool.end_attempt(attempt, Outcome.BROKEN, f"release {cause} received, perhaps of an earlier attempt", report)
            return
        self.pool.pending.answered(attempt.connection, attempt.number)
        self.pool.end_attempt(attempt, outcome or Outcome.BROKEN, f"release {cause} received", report)

    def _handle_release_of_session(self, connection: ServerConnection, front_session: FrontSession, cause: int) -> None:
        session = front_session.session
        if session.may_be_meant(connection):
            connection.send(isup.released(session.id))
            self._end_released_session(front_session, cause)
        else:
            self._check_release(front_session, cause)

    def _check_release(self, front_session: FrontSession, cause: int) -> None:
        """Probes the connection of the session's set-up. Its answer shows that it was open when the server sent the release on
        another, which then concerned an earlier session; if there is none, this session is ended."""
        set_up_on = front_session.session.set_up_on
        if any(unclear.front_session is front_session for unclear in set_up_on.unclear_releases.values()):
            return
        name = self.pool.probe_connection(set_up_on)
        set_up_on.unclear_releases[name] = UnclearRelease(front_session, cause, self.now())

    def _end_released_session(self, front_session: FrontSession, cause: int) -> None:
        """Ends a session that its server has released. If that release may concern an earlier session with this id, this one is
        released at the server as well."""
        session = front_session.session
        endpoint = self.pool.endpoints[session.server]
        del endpoint.sessions[session.id]
        if session.reused:
            self.pool.teardowns.session_over(endpoint, session)
        self.pool.ended(
            front_session, OUTCOME_AFTER_ANSWER.get(cause, Outcome.BROKEN), None if cause == isup.CANCELLED else cause
        )

    def _handle_release_of_unknown(self, endpoint: Endpoint, id: bytes, cause: int) -> None:
        self.pool.pending.released_by_server(endpoint.server, id)
        if self.pool.given_up.pop((endpoint.server, id), None) is None:
            # remembered, as the hand-over of a session may arrive after its release
            self.pool.early_releases[endpoint.server, id] = cause
            if len(self.pool.early_releases) > MAX_EARLY_RELEASES:
                self.pool.early_releases.popitem(last=False)

    def _handle_note(self, connection: ServerConnection, id: bytes, name: str, value: str) -> None:
        endpoint = connection.endpoint
        try:
            value = float(value)
        except ValueError:
            raise isup.Malformed(f"note with invalid value {value!r}") from None
        front_session = endpoint.sessions.get(id)
        if front_session is not None and not front_session.session.may_be_meant(connection):
            front_session = None
        if name == "kept_up" and 0 <= value < 1e6:
            self.session_core.delivered(endpoint.server, value)
        elif name == "tier" and front_session is not None and 0 <= value < 1e3:
            self.session_core.rung_found(front_session, int(value))
        elif name == "wire":
            self.session_core.told(endpoint.server, {"link": value})
        elif name == "trunk":
            self.session_core.told(endpoint.server, {"uplink": value})

    def end_unclear_sessions(self, connection: ServerConnection, received_before: int | None = None) -> None:
        """Ends the sessions set up on this connection of which it cannot be told whether the server has released them (if its
        release was received before this time)."""
        for name, unclear in list(connection.unclear_releases.items()):
            if received_before is not None and unclear.received_at >= received_before:
                continue
            del connection.unclear_releases[name]
            session = unclear.front_session.session
            if connection.endpoint.sessions.get(session.id) is unclear.front_session:
                self._end_released_session(unclear.front_session, unclear.cause)
