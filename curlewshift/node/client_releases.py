"""Releases that are sent to viewers: which connection each is sent on, and which of them a viewer has not read.

An established session belongs to no connection: its release is sent on the connection of its set-up, or else on another one from
viewers. Called by client_listener.py.
"""

from __future__ import annotations

from collections.abc import Reversible

from curlewshift.node import rtsp
from curlewshift.node.client_connection import ClientConnection, Evidence, PendingClientRelease

# Limit on releases that wait for a connection to be sent on; beyond it the oldest are dropped.
MAX_PENDING_RELEASES = 5000


class ClientReleases:
    """The releases that viewers have yet to be sent. `connections` are the viewers' connections, the oldest first."""

    def __init__(self, connections: Reversible[ClientConnection], clock, log):
        self.connections, self.now, self.log = connections, clock, log
        # releases of which no byte has been sent yet
        self.pending: dict[str, PendingClientRelease] = {}
        self.last_answered: ClientConnection | None = None

    def queue(self, name: str, cause: int, own_connection: ClientConnection | None) -> None:
        """Sends the release of a session, on its own connection if that is open, and as soon as there is another otherwise."""
        self.pending[name] = PendingClientRelease(name, cause)
        if len(self.pending) > MAX_PENDING_RELEASES:
            del self.pending[next(iter(self.pending))]
        self.send(own_connection)
        if self.pending[name].connection is None:
            self.log.info("release-waits", session=name, connections=sum(1 for _ in reversed(self.connections)))

    def send(self, own_connection: ClientConnection | None = None) -> None:
        """Sends the pending releases: on the session's own connection, or else on the one that is most surely a viewer's. A
        release stays pending until its first byte has been sent: one queued on a connection that ends is sent on another."""
        for release in [release for release in self.pending.values() if release.sending_started]:
            del self.pending[release.name]
        connection = own_connection if own_connection is not None and own_connection.transport.open else self._other_connection()
        if connection is None:
            return
        for release in self.pending.values():
            if release.connection is None or not release.connection.transport.open:
                release.connection = connection
                connection.recent_releases.remember(self.now(), release)
                connection.transport.send(rtsp.release(release.name, release.cause), release)

    def withdraw(self, name: str) -> PendingClientRelease | None:
        """Removes the release of a session that its viewer has ended meanwhile, and returns it."""
        release = self.pending.pop(name, None)
        if release is not None and release.connection is not None:
            release.connection.transport.withdraw(release)
        return release

    def session_answered(self, connection: ClientConnection) -> None:
        """A session was established on this connection."""
        connection.add_evidence(Evidence.SESSION)
        self.last_answered = connection

    def connection_ended(self, connection: ClientConnection) -> None:
        """Its pending releases are sent on others."""
        if self.last_answered is connection:
            self.last_answered = None
        for release in self.pending.values():
            if release.connection is connection:
                release.connection = None

    def _other_connection(self) -> ClientConnection | None:
        """The connection on which a session was established last, or else the one with most evidence, the newest of several."""
        if self.last_answered is not None and self.last_answered.transport.open:
            return self.last_answered
        candidates = [
            connection
            for connection in reversed(self.connections)
            if connection.evidence is not Evidence.NONE and connection.transport.open
        ]
        return max(candidates, key=lambda connection: connection.evidence, default=None)
