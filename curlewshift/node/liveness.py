"""Checks that media servers with sessions are alive, by probes and new connections. Called by server_pool.py at every sweep."""

from __future__ import annotations

from typing import TYPE_CHECKING

from curlewshift.node.connections import Endpoint, ServerConnection

if TYPE_CHECKING:
    from curlewshift.node.server_pool import ServerPool

MS = 1_000_000
NS = 1_000_000_000
# A server with sessions is probed once it has been silent for the first of these or for this many of its reporting intervals,
# but for the longest at most, however long the interval is: it takes two seconds more until the server is declared lost.
MIN_SILENCE_NS, SILENCE_INTERVALS, MAX_SILENCE_NS = 2 * NS, 1.5, 5 * NS
# If a probe is not answered within this, a new connection is tried; this many consecutive failed connects show that the server is
# gone. Viewers must be released within 8 s after a session ended without notice.
PROBE_TIMEOUT_NS = NS // 2
FAILED_CONNECTS_UNTIL_LOST = 2
# While the release of a session may only be received on a connection that is opened after it, one is opened this often.
REOPEN_INTERVAL_NS = 5 * NS
# Connects must have failed for at least this long before a server is declared lost: one brief outage can make many fail at once.
MIN_FAILING_NS = NS


class LivenessChecks:
    """The checks of one pool. `report_interval` is the usual time between two notes of a server (ns)."""

    def __init__(self, pool: ServerPool, log, report_interval: int):
        self.pool, self.log = pool, log
        self.silence_limit = min(max(MIN_SILENCE_NS, int(report_interval * SILENCE_INTERVALS)), MAX_SILENCE_NS)

    def check(self, endpoint: Endpoint, now: int) -> None:
        """Checks that a server with sessions is alive. The connections to a vanished machine stay open and silent: only a new
        connection shows that it is gone."""
        if endpoint.failed_connects >= FAILED_CONNECTS_UNTIL_LOST and now - endpoint.failing_since >= MIN_FAILING_NS:
            # whether refused or not: an old connection may look open long after the server process has died
            self.pool.declare_lost(endpoint, "silent, and connects fail", cut_off=True)
            endpoint.failed_connects = 0
            return
        silent = now - endpoint.last_seen_at > self.silence_limit
        if (endpoint.failed_connects or endpoint.releases_lost or silent) and self._needs_new_connection(endpoint, now):
            self._retire_idle(endpoint)
            self.pool.probe_connection(self.pool.open_connection(endpoint))
        for connection in list(endpoint.connections):
            if now - connection.last_seen_at > self.silence_limit:
                self._check_connection(connection, now)
            else:
                connection.probed_at = 0

    def _needs_new_connection(self, endpoint: Endpoint, now: int) -> bool:
        """Whether messages from the server may have been lost on its present and earlier connections, so that a new one is
        needed."""
        connections = endpoint.connections
        if not all(connection.up for connection in connections):
            return False
        newest = max(connection.opened_at for connection in connections)
        if endpoint.failed_connects or newest < endpoint.releases_lost_since:
            return True
        if endpoint.releases_lost and now - newest > REOPEN_INTERVAL_NS:
            endpoint.releases_lost = any(
                front_session.session.release_may_be_lost for front_session in endpoint.sessions.values()
            )
            return endpoint.releases_lost
        return all(
            connection.unresponsive and now - max(connection.last_seen_at, newest) > self.silence_limit
            for connection in connections
        )

    def _retire_idle(self, endpoint: Endpoint) -> None:
        """Closes an idle connection to make room for a new one."""
        idle = [
            connection
            for connection in endpoint.connections
            if connection.up and not connection.attempts and not self.pool.teardowns.unconfirmed_on(connection)
        ]
        if len(idle) > 1:
            self.pool.retire(min(idle, key=lambda connection: connection.last_seen_at))

    def _check_connection(self, connection: ServerConnection, now: int) -> None:
        """Probes a silent connection. One connection may lose the server's messages while others to the same server work; the
        server repeats releases on the next connection that is opened."""
        endpoint = connection.endpoint
        if (
            connection.unresponsive
            or not connection.up
            or (endpoint.last_seen_at > connection.last_seen_at and now - connection.last_seen_at <= MAX_SILENCE_NS)
        ):
            return
        if not connection.probed_at:
            if self._may_receive_release(connection):
                connection.probed_at = now
                self.pool.probe_connection(connection)
        elif now - connection.probed_at > PROBE_TIMEOUT_NS:
            self.log.info(
                "connection-silent",
                server=endpoint.server.name,
                connection=connection.number,
                silent_ms=(now - connection.last_seen_at) // MS,
            )
            connection.unresponsive = True
            if not any(other.opened_at >= connection.probed_at for other in endpoint.connections):
                self.pool.probe_connection(self.pool.open_connection(endpoint))

    def _may_receive_release(self, connection: ServerConnection) -> bool:
        """Whether a release may arrive here: a server sends it on the connection of the set-up or, if that is closed, on any."""
        used = {front_session.session.set_up_on for front_session in connection.endpoint.sessions.values()}
        return connection in used or any(other not in connection.endpoint.connections for other in used)
