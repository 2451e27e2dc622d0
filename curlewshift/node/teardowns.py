"""Sends releases of ended sessions and attempts to media servers, on one connection after another until they are confirmed.

`curlewshift/teardown/pending.py` keeps the records; this module writes them. A release is sent at once, that of an attempt on its
own connection. If it is not confirmed, its connection is checked with a probe, which a server answers in the order of its input.
If the probe is not answered either, all releases pending at the server are sent again on another connection, followed by a probe.
On each new connection the pending releases are sent before anything else. Called by server_pool.py.
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
# Releases are sent again only on a connection on which something was received within this (ns).
RECENT_NS = NS


class Teardowns:
    """Sends the releases of one node; `server_pool` opens and closes the connections."""

    def __init__(self, server_pool: ServerPool, clock, log, counts):
        self.server_pool, self.now, self.log, self.counts = server_pool, clock, log, counts
        self.pending = PendingReleases(clock, counts)

    # ---- ended sessions and attempts

    def attempt_abandoned(self, connection: ServerConnection, attempt: Attempt) -> None:
        """The attempt timed out, or its client has left: its release follows the set-up on the same connection."""
        record = self.pending.open(attempt.tune_in.server, attempt.id, isup.ENDED)
        self._write(connection, record)
        attempt.tune_in.front_session.viewing.unconfirmed = self.pending.servers_of(attempt.id)

    def attempt_broken(self, connection: ServerConnection, attempt: Attempt, by_peer: bool) -> None:
        """The attempt's connection ended before an answer: the server may have set up the session, even if no answer arrived."""
        record = self.pending.open(attempt.tune_in.server, attempt.id, isup.ENDED, closed_by_server=by_peer)
        if not by_peer:
            # the server may not have seen the close when the next attempt reaches it
            self.pending.sent(record, connection, connection.sent)
            self.pending.closed_locally(record)
        attempt.tune_in.front_session.viewing.unconfirmed = self.pending.servers_of(attempt.id)

    def session_over(self, endpoint: Endpoint, session: Session) -> None:
        """Releases a session that has ended here and may still be established at the server. It is also released if the record of
        its id is open: an answer may come after the release of its set-up was read, from a server that began it later."""
        if endpoint.address is None:
            return
        record = self.pending.open(endpoint.server, session.id, session.cause)
        connection = self._healthy_connection(endpoint)
        if connection is not None:
            self._write(connection, record)
        else:
            self._ensure_connecting(endpoint)

    # ---- sending releases

    def connection_up(self, connection: ServerConnection) -> None:
        """Sends all releases pending at the server on a new connection, in one write."""
        records = self.pending.unsent_on(connection.endpoint.server, connection)
        if records:
            self._send_with_probe(connection, records)

    def run_due_steps(self, endpoint: Endpoint) -> None:
        """Takes the next step of each record that is due. Called at every sweep."""
        to_resend = []
        for record in self.pending.due(endpoint.server):
            connection = record.copies[-1].connection if record.copies else None
            if record.state is State.SENT and connection.up and not connection.retired:
                # the first probe covers all records on the same connection
                connection.probe()
                self.pending.tested(connection)
            elif record.next_at <= self.now():
                to_resend.append(record)
        if to_resend:
            self._send_again(endpoint, to_resend)

    def expedite(self, record: PendingRelease) -> None:
        """Sends a release now for which an attempt waits. One that was sent before, on a connection that has ended, keeps to its
        pause, as a server that resets each connection would otherwise be asked without end."""
        endpoint = self.server_pool.endpoints.get(record.server)
        if endpoint is None or record.state is not State.DUE:
            return
        if not record.times_sent:
            record.next_at = self.now()
        self.run_due_steps(endpoint)

    def probe_all(self) -> None:
        """Called at shutdown: probes or resends every pending release now instead of when it is due."""
        for server in self.pending.servers():
            for record in self.pending.of(server):
                record.next_at = self.now()
            if server in self.server_pool.endpoints:
                self.run_due_steps(self.server_pool.endpoints[server])

    def unconfirmed_on(self, connection: ServerConnection) -> bool:
        """Whether a release sent on this connection has not been confirmed."""
        return connection in self.pending.by_connection

    # ---- internal

    def _write(self, connection: ServerConnection, record: PendingRelease) -> None:
        self.counts["release-sent"] += 1
        if record.times_sent:
            self.counts["release-sent-again"] += 1
            self.log.info(
                "release-again",
                session=record.id.hex(),
                server=record.server.name,
                connection=connection.number,
                cause=record.cause,
                times=record.times_sent,
                after_ms=(self.now() - record.opened_at) // MS,
            )
        copy = self.pending.sent(record, connection, connection.sent + 1)
        connection.send(isup.release(record.id, record.cause), copy)

    def _send_with_probe(self, connection: ServerConnection, records: list[PendingRelease]) -> None:
        """Sends these releases, followed by a probe."""
        to_resend = [record for record in records if record.times_sent]
        for record in records:
            self._write(connection, record)
        connection.probe()
        self.pending.tested(connection)
        self.pending.delay(to_resend)

    def _send_again(self, endpoint: Endpoint, to_resend: list[PendingRelease]) -> None:
        for record in to_resend:
            if record.state is State.TESTED and record.copies:
                # the connection accepted bytes, and the server has answered none of them
                record.copies[-1].connection.unresponsive = True
        self.pending.delay(to_resend)
        used = {copy.connection for record in to_resend for copy in record.copies}
        connection = self._healthy_connection(endpoint, used)
        if connection is not None:
            self._send_with_probe(connection, self.pending.unsent_on(endpoint.server, connection))
        else:
            self._ensure_connecting(endpoint)

    def _healthy_connection(self, endpoint: Endpoint, used: Iterable[ServerConnection] = ()) -> ServerConnection | None:
        """The usable connection on which something was received last. With `used`, those are excluded, and it must be recent."""
        now = self.now()
        connections = [
            connection
            for connection in endpoint.connections
            if connection.up and not connection.unresponsive and connection not in used
        ]
        if used:
            connections = [connection for connection in connections if now - connection.last_seen_at <= RECENT_NS]
        return max(connections, key=lambda connection: connection.last_seen_at, default=None)

    def _ensure_connecting(self, endpoint: Endpoint) -> None:
        """Opens a connection, on which pending releases are sent once it is established, unless one is being established."""
        if all(connection.transport is not None for connection in endpoint.connections):
            self.server_pool.open_connection(endpoint)
