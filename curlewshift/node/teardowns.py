"""Tells media servers what is over, on connection after connection until they confirm it.

`curlewshift/teardown/pending.py` keeps the records; this module writes them. A release goes out at once, an attempt's on its
own connection. If nothing confirms it, its connection is tested with a probe, which a server answers in the order of what it
reads. If that is not answered either, all that waits for the server is said again on another connection, with a test behind it.
What waits is said on each connection that comes up, before anything else. Called by server_pool.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from curlewshift.node import isup
from curlewshift.node.connections import Attempt, Endpoint, ServerConnection, Session
from curlewshift.teardown.pending import PendingRelease, PendingReleases, State

if TYPE_CHECKING:
    from curlewshift.node.server_pool import ServerPool

MS = 1_000_000
NS = 1_000_000_000
# A connection on which the server was heard within this is used for what has to be said again.
FRESH_FOR = NS


class Teardowns:
    """One node's; `server_pool` makes and breaks the connections."""

    def __init__(self, server_pool: ServerPool, clock, log, counts):
        self.server_pool, self.now, self.log, self.counts = server_pool, clock, log, counts
        self.pending = PendingReleases(clock, counts)

    # ---- what is over

    def attempt_given_up(self, connection: ServerConnection, attempt: Attempt) -> None:
        """Its time is over, or its client has left: its server hears of it behind the set-up, on the same connection."""
        record = self.pending.open(attempt.tune_in.server, attempt.id, isup.OVER)
        self._write(connection, record)
        attempt.tune_in.front_session.viewing.unconfirmed = self.pending.servers_of(attempt.id)

    def attempt_broken(self, connection: ServerConnection, attempt: Attempt, by_peer: bool) -> None:
        """Its connection has ended under it. What was answered before that may stand, whether the answer came through or not."""
        record = self.pending.open(attempt.tune_in.server, attempt.id, isup.OVER, closed_by_server=by_peer)
        if not by_peer:
            # the server may not have seen the close when the next attempt comes
            self.pending.said(record, connection, connection.sent)
            self.pending.crossed(record)
        attempt.tune_in.front_session.viewing.unconfirmed = self.pending.servers_of(attempt.id)

    def session_over(self, endpoint: Endpoint, session: Session) -> None:
        """It stands at the server for nobody."""
        if endpoint.address is None:
            return
        record = self.pending.open(endpoint.server, session.id, session.cause)
        if record.times_said:
            return
        connection = self._sound_connection(endpoint)
        if connection is not None:
            self._write(connection, record)
        else:
            self._open_one(endpoint)

    def set_up_again(self, connection: ServerConnection, attempt: Attempt) -> None:
        """A set-up leaves whose id may still stand there: its release goes out just before it, on the same connection."""
        record = self.pending.find(attempt.tune_in.server, attempt.id)
        if record is not None:
            self._write(connection, record)
            self.pending.superseded(record)

    # ---- how it is told

    def connection_up(self, connection: ServerConnection) -> None:
        """All that waits for its server goes out on it first, in one write; what a set-up is to follow goes just before that."""
        records = [
            record
            for record in self.pending.unsaid_on(connection.endpoint.server, connection)
            if not self._goes_ahead(record, connection)
        ]
        if records:
            self._say(connection, records)

    def look_after(self, endpoint: Endpoint) -> None:
        """Called often: takes the next step of each record that is due."""
        again = []
        for record in self.pending.due(endpoint.server):
            connection = record.copies[-1].connection if record.copies else None
            if record.state is State.SAID and connection.up and not connection.retired:
                # of several on one connection the first test takes all with it
                connection.probe()
                self.pending.tested(connection)
            elif record.next_at <= self.now():
                again.append(record)
        if again:
            self._say_again(endpoint, again)

    def hurry(self, record: PendingRelease) -> None:
        """An attempt waits for this record, which has been said nowhere yet."""
        endpoint = self.server_pool.endpoints.get(record.server)
        if endpoint is not None and record.state is State.DUE:
            record.next_at = self.now()
            self.look_after(endpoint)

    def test_all(self) -> None:
        """The node ends: nothing is waited for that can be asked for."""
        for server in self.pending.servers():
            for record in self.pending.of(server):
                record.next_at = self.now()
            if server in self.server_pool.endpoints:
                self.look_after(self.server_pool.endpoints[server])

    def unconfirmed_on(self, connection: ServerConnection) -> bool:
        """Whether something said on this connection has not been confirmed."""
        return connection in self.pending.by_connection

    # ---- inside

    @staticmethod
    def _goes_ahead(record: PendingRelease, connection: ServerConnection) -> bool:
        return record.closed_by_server and not record.copies and record.id in connection.attempts

    def _write(self, connection: ServerConnection, record: PendingRelease) -> None:
        self.counts["release-sent"] += 1
        if record.times_said:
            self.counts["release-sent-again"] += 1
            self.log.info(
                "release-again",
                session=record.id.hex(),
                server=record.server.name,
                connection=connection.number,
                cause=record.cause,
                times=record.times_said,
                after_ms=(self.now() - record.opened_at) // MS,
            )
        copy = self.pending.said(record, connection, connection.sent + 1)
        connection.send(isup.release(record.id, record.cause), copy)

    def _say(self, connection: ServerConnection, records: list[PendingRelease]) -> None:
        """With a test behind them."""
        again = [record for record in records if record.times_said]
        for record in records:
            self._write(connection, record)
        connection.probe()
        self.pending.tested(connection)
        self.pending.put_off(again)

    def _say_again(self, endpoint: Endpoint, again: list[PendingRelease]) -> None:
        for record in again:
            if record.state is State.TESTED and record.copies:
                # it took bytes, and its server has answered none of them
                record.copies[-1].connection.doubtful = True
        self.pending.put_off(again)
        used = {copy.connection for record in again for copy in record.copies}
        connection = self._sound_connection(endpoint, used)
        if connection is not None:
            self._say(connection, self.pending.unsaid_on(endpoint.server, connection))
        else:
            self._open_one(endpoint)

    def _sound_connection(self, endpoint: Endpoint, used: Iterable[ServerConnection] = ()) -> ServerConnection | None:
        """The connection that was heard last, if there is one to trust."""
        now = self.now()
        connections = [
            connection
            for connection in endpoint.connections
            if connection.up and not connection.doubtful and connection not in used
        ]
        if used:
            connections = [connection for connection in connections if now - connection.heard_at <= FRESH_FOR]
        return max(connections, key=lambda connection: connection.heard_at, default=None)

    def _open_one(self, endpoint: Endpoint) -> None:
        """What waits goes out once it is up; one that is coming up already will do."""
        if all(connection.wire is not None for connection in endpoint.connections):
            self.server_pool.open_connection(endpoint)
