"""Per-server state of the node: endpoints, their connections, pending set-up attempts and established sessions.

Created and changed by server_pool.py alone. Times are nanoseconds.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

from curlewshift.model import Server
from curlewshift.node import isup
from curlewshift.node.buffered_connection import BufferedConnection, MessageInput, PendingWrite
from curlewshift.session_core.front_session import FrontSession, TuneIn

if TYPE_CHECKING:
    from curlewshift.node.server_pool import ServerPool


@dataclass(eq=False, slots=True)
class Session:
    """A session that a media server has set up. `cause` is the cause code that its release will carry."""

    id: bytes
    server: Server
    description: bytes = b""
    cause: int = isup.ENDED
    set_up_at: int = 0
    # rung changes are sent on one connection while it is healthy, as order is not kept across two connections
    connection: ServerConnection | None = None
    # the server sends the release of the session on this connection while it is open
    set_up_on: ServerConnection | None = None
    # that connection was closed from this side and the server may not know: a release sent on it would be lost
    release_may_be_lost: bool = False
    # the server had another session or set-up with this id before, so that its messages may still concern that one
    reused: bool = False

    def may_be_released_on(self, connection: ServerConnection) -> bool:
        """Whether the server may send the release here: on the connection of the set-up while it is open, otherwise on any."""
        if self.set_up_on is None or self.set_up_on is connection:
            return True
        return self.set_up_on.retired or not self.set_up_on.up

    def may_be_meant(self, connection: ServerConnection) -> bool:
        """Whether a message on this connection may concern this session, and not an earlier one with its id."""
        return not self.reused or self.may_be_released_on(connection)


@dataclass(eq=False, slots=True)
class Attempt(PendingWrite):
    """One set-up request to a media server (a tune-in).

    `queued` while it waits in a connection's output queue, `sending_started` once the kernel has taken its first byte.
    """

    tune_in: TuneIn
    id: bytes
    server_pool: ServerPool
    connection: ServerConnection | None = None
    queued: bool = False
    sending_started: bool = False
    # the server had another set-up with this id before, see `Session.reused`
    reused: bool = False
    moves: int = 0
    sent_at: int = 0
    # when it was first held because its client had sent something that was not read, 0 if it was not
    held_since: int = 0
    # sequence number among the messages written on its connection
    number: int = 0

    def may_send(self) -> bool:
        """Called just before the first byte is written; False keeps it from being written."""
        self.queued = self.server_pool.may_send(self)
        return self.queued


@dataclass(eq=False, slots=True)
class UnclearRelease:
    """A release from a server that may concern either this session or an earlier one with the same id."""

    front_session: FrontSession
    cause: int
    received_at: int


class ServerConnection:
    """One connection to a media server, from the connect attempt until it is closed."""

    def __init__(self, endpoint: Endpoint, number: int):
        """`number` identifies the connection in the log."""
        self.endpoint, self.number = endpoint, number
        self.transport: BufferedConnection | None = None
        self.attempts: dict[bytes, Attempt] = {}
        self.unsent: list[tuple[bytes, PendingWrite | None]] = []
        # messages written so far, and the sequence number of each probe that has not been answered
        self.sent = 0
        self.probes: dict[bytes, int] = {}
        # releases received on other connections that may concern a session set up on this one, by the name of the probe that
        # tells
        self.unclear_releases: dict[bytes, UnclearRelease] = {}
        self.closed = False
        # closed gracefully from this side; the server has not closed its side yet
        self.retired = False
        # no new set-ups are sent on it, as the server may no longer be reading it
        self.unresponsive = False
        self.opened_at = self.last_seen_at = self.last_used_at = endpoint.server_pool.now()
        # when a liveness probe was last sent, 0 once something has been received since
        self.probed_at = 0
        self.input = MessageInput(isup.Reader(), isup.Malformed, self.opened_at)

    @property
    def up(self) -> bool:
        """The connection is established."""
        return self.transport is not None and not self.transport.gone

    @property
    def usable(self) -> bool:
        """The connection is established or still being established."""
        return self.transport is None or not self.transport.gone

    def send(self, data: bytes, pending_write: PendingWrite | None = None) -> int:
        """Sends or queues a message, and returns its sequence number on this connection."""
        self.last_used_at = self.endpoint.server_pool.now()
        self.sent += 1
        if self.transport is None:
            self.unsent.append((data, pending_write))
        else:
            self.transport.send(data, pending_write)
        return self.sent

    def probe(self) -> bytes:
        """Sends a probe and returns its name; its answer shows that the server has read everything written before it."""
        name = os.urandom(8)
        self.probes[name] = self.send(isup.probe(name))
        return name

    def withdraw(self, attempt: Attempt) -> None:
        """Removes a set-up that has not been sent from the queue."""
        self.unsent = [entry for entry in self.unsent if entry[1] is not attempt]
        if self.transport is not None:
            self.transport.withdraw(attempt)


class Endpoint:
    """One media server as this node reaches it: its address, connections and sessions."""

    def __init__(self, server_pool: ServerPool, server: Server, address: tuple[str, int]):
        self.server_pool, self.server, self.address = server_pool, server, address
        self.connections: list[ServerConnection] = []
        self.sessions: dict[bytes, FrontSession] = {}
        self.last_seen_at = server_pool.now()
        # the server that has taken over its address
        self.successor: Endpoint | None = None
        # consecutive connect attempts that failed while nothing was received on other connections, and since when
        self.failed_connects = self.failing_since = 0
        # when a connection was last closed on which releases from the server may have been lost; the server repeats them on the
        # next connection that is opened
        self.releases_lost_since = 0
        # some sessions may have ended unnoticed: their releases are only received on connections opened after those were sent
        self.releases_lost = False
        # a connection was reset by the server, and none has been established since
        self.was_reset = False
        # as `was_reset`, with no other connection left, and heard since that was last so: its process may have died
        self.all_reset = False
        self.restart_suspected_at = 0

    @property
    def up(self) -> bool:
        """At least one connection to the server is established."""
        return any(connection.up for connection in self.connections)
