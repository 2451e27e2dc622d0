"""Releases that this node has sent to media servers and whose effect there is not known yet. No I/O.

A connection orders what is on it, and two connections order nothing: a release may arrive behind a set-up that left later under
the same id on another connection, and end that one instead. So a release is unconfirmed until the server has said "release
heard" or has closed the connection that it went on, and a further set-up at the same server waits for that. A further set-up at
another server waits until the release is written, as a server that hangs confirms nothing. Called by reach.py; times are
nanoseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from curlewshift.model import Server
from curlewshift.node.wire import Errand

NS = 1_000_000_000
# Unconfirmed releases are forgotten after this time, or the oldest when there are more than this.
FORGOTTEN_AFTER_NS, MOST_UNCONFIRMED = 30 * NS, 4000
# A server that closes a connection may not have read what was sent on it within this.
CROSSES_CLOSE_NS = NS


@dataclass(eq=False, slots=True)
class Release(Errand):
    """One release on one connection. `written` once the kernel has its last byte, or its connection has been closed here."""

    server: Server
    id: bytes
    connection: object
    sent_at: int
    cause: int
    # when this session or attempt was first released
    began_at: int
    handed: bool = False
    written: bool = False
    # called once more is known of it
    followers: list[Callable[[], None]] = field(default_factory=list)

    def out(self) -> None:
        self.written = True
        self.call_followers()

    def call_followers(self) -> None:
        followers, self.followers = self.followers, []
        for follow in followers:
            follow()


@dataclass(eq=False, slots=True)
class OfOneId:
    """The unconfirmed releases of one id, and the servers they went to."""

    releases: list[Release] = field(default_factory=list)
    servers: set[Server] = field(default_factory=set)


class Releases:
    def __init__(self, now: Callable[[], int]):
        self.now = now
        self.by_id: dict[bytes, OfOneId] = {}
        self.by_connection: dict[object, list[Release]] = {}
        # in the order they were sent
        self.all: OrderedDict[Release, None] = OrderedDict()

    def sent(self, server: Server, id: bytes, connection: object, cause: int, began_at: int = 0) -> Release:
        """Notes a release; it is to be written as what its bytes are for. `began_at` where it is said again."""
        release = Release(server, id, connection, self.now(), cause, began_at or self.now())
        self.all[release] = None
        of_one_id = self.by_id.setdefault(id, OfOneId())
        of_one_id.releases.append(release)
        of_one_id.servers.add(server)
        self.by_connection.setdefault(connection, []).append(release)
        if len(self.all) > MOST_UNCONFIRMED:
            self._forget(next(iter(self.all)))
        return release

    def heard(self, server: Server, id: bytes, connection: object) -> None:
        """The server has said "release heard": on the connection of the release, or else of the oldest one."""
        mine = [release for release in self._of(id) if release.server is server]
        if mine:
            self._forget(next((release for release in mine if release.connection is connection), mine[0]))

    def connection_ended(self, connection: object, by_peer: bool, all_read: bool) -> list[Release]:
        """Closed by the server, nothing of it can arrive any more; closed from here, what was sent on it may. `all_read` if the
        server has closed it after our own end, and so has read what was before that. Returns what is to be said again."""
        now, lost = self.now(), []
        for release in list(self.by_connection.get(connection, ())):
            young = now - release.sent_at < CROSSES_CLOSE_NS
            if not all_read and (young or not by_peer) and now - release.began_at < FORGOTTEN_AFTER_NS:
                lost.append(release)
            if by_peer:
                self._forget(release)
            release.out()
        return lost

    def servers(self, id: bytes) -> set[Server]:
        """Where a release of this id is unconfirmed; the set follows what becomes of them."""
        of_one_id = self.by_id.get(id)
        return of_one_id.servers if of_one_id is not None else set()

    def before(self, server: Server, id: bytes) -> Release | None:
        """One that a set-up of this id at this server has to wait for."""
        return next((release for release in self._of(id) if release.server is server or not release.written), None)

    def expire(self) -> None:
        while self.all and next(iter(self.all)).sent_at < self.now() - FORGOTTEN_AFTER_NS:
            self._forget(next(iter(self.all)))

    def _of(self, id: bytes) -> list[Release]:
        of_one_id = self.by_id.get(id)
        return of_one_id.releases if of_one_id is not None else []

    def _forget(self, release: Release) -> None:
        del self.all[release]
        on_connection = self.by_connection[release.connection]
        on_connection.remove(release)
        if not on_connection:
            del self.by_connection[release.connection]
        of_one_id = self.by_id[release.id]
        of_one_id.releases.remove(release)
        if not any(other.server is release.server for other in of_one_id.releases):
            of_one_id.servers.discard(release.server)
        if not of_one_id.releases:
            del self.by_id[release.id]
        release.call_followers()
