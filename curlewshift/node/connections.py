"""What the node knows of media servers: the server as it is reached, its connections, attempts that are out, sessions that stand.

Made and moved by server_pool.py alone. Times are nanoseconds.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

from curlewshift.model import Server
from curlewshift.node import isup
from curlewshift.node.buffered_connection import BufferedConnection, Intake, PendingWrite
from curlewshift.session_core.front_session import FrontSession, TuneIn

if TYPE_CHECKING:
    from curlewshift.node.server_pool import ServerPool


@dataclass(eq=False, slots=True)
class Session:
    """What a media server has set up. `cause` is why it is to end."""

    id: bytes
    server: Server
    description: bytes = b""
    cause: int = isup.OVER
    since: int = 0
    # its new rungs go out on one connection while that is sound, as two would not keep their order
    connection: ServerConnection | None = None
    # its server tells its end here, while this connection is open
    set_up_on: ServerConnection | None = None
    # that connection was closed from here and its server may not know: its word may go there for good
    unheard: bool = False


@dataclass(eq=False, slots=True)
class Attempt(PendingWrite):
    """One set-up on its way. `queued` while a connection has it to write, `handed` once the kernel has a byte of it."""

    tune_in: TuneIn
    id: bytes
    server_pool: ServerPool
    connection: ServerConnection | None = None
    queued: bool = False
    handed: bool = False
    moves: int = 0
    sent_at: int = 0
    # its place among the messages of its connection
    number: int = 0

    def leaves(self) -> bool:
        """Asked as its first byte is about to go out."""
        self.queued = self.server_pool.leaves(self)
        return self.queued


class ServerConnection:
    """One connection to a media server, from the first try to its end."""

    def __init__(self, endpoint: Endpoint, number: int):
        """`number` is its name in the log."""
        self.endpoint, self.number = endpoint, number
        self.wire: BufferedConnection | None = None
        self.attempts: dict[bytes, Attempt] = {}
        self.unsent: list[tuple[bytes, PendingWrite | None]] = []
        # messages written so far, and the place among them of each test that is not answered yet
        self.sent = 0
        self.probes: dict[bytes, int] = {}
        self.over = False
        # our end has been sent, and its server's is waited for
        self.retired = False
        # nothing new goes out on it
        self.doubtful = False
        self.opened_at = self.heard_at = self.used_at = endpoint.server_pool.now()
        # when it was last asked for a sign, 0 once it has given one
        self.asked_at = 0
        self.intake = Intake(isup.Reader(), isup.Malformed, self.opened_at)

    @property
    def up(self) -> bool:
        return self.wire is not None and not self.wire.gone

    @property
    def usable(self) -> bool:
        """It is up, or may come up yet."""
        return self.wire is None or not self.wire.gone

    def send(self, data: bytes, pending_write: PendingWrite | None = None) -> int:
        """The message's place on this connection."""
        self.used_at = self.endpoint.server_pool.now()
        self.sent += 1
        if self.wire is None:
            self.unsent.append((data, pending_write))
        else:
            self.wire.send(data, pending_write)
        return self.sent

    def probe(self) -> None:
        """A test, whose answer shows that the server has read what was written before it."""
        name = os.urandom(8)
        self.probes[name] = self.send(isup.probe(name))

    def withdraw(self, attempt: Attempt) -> None:
        self.unsent = [entry for entry in self.unsent if entry[1] is not attempt]
        if self.wire is not None:
            self.wire.withdraw(attempt)


class Endpoint:
    """One media server as this node reaches it."""

    def __init__(self, server_pool: ServerPool, server: Server, address: tuple[str, int]):
        self.server_pool, self.server, self.address = server_pool, server, address
        self.connections: list[ServerConnection] = []
        self.standing: dict[bytes, FrontSession] = {}
        self.heard_at = server_pool.now()
        # the server that stands at its address now
        self.successor: Endpoint | None = None
        # connections in a row that did not come up while nothing was heard on others, and since when
        self.never_up = self.failing_since = 0
        # since when words of the server may have been lost with a connection, until another is opened
        self.unheard_since = 0
        # sessions may stand whose ends are only heard on connections opened after them
        self.words_lost = False
        # a connection was reset by its peer, and none has come up since
        self.was_reset = False

    @property
    def up(self) -> bool:
        """A connection to it is up."""
        return any(connection.up for connection in self.connections)
