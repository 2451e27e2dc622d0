"""Per-client state of the node: the viewers' connections, and the sessions requested on them.

Created and changed by client_listener.py and client_releases.py alone. Times are nanoseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Generic, TypeVar

from curlewshift.node import rtsp
from curlewshift.node.buffered_connection import BufferedConnection, DropCause, MessageInput, PendingWrite
from curlewshift.node.set_up_limits import SetUpRate
from curlewshift.session_core.front_session import FrontSession, Request

NS = 1_000_000_000
# A kernel resets a connection that its program closed with unread input, or on which data arrives after the close. So a reset
# within this time after a message shows that the client has not read it (ns).
UNREAD_RESET_WINDOW_NS = NS
Subject = TypeVar("Subject")


@dataclass(eq=False, slots=True)
class ClientSession:
    """One session by its id: requested, or established."""

    name: str
    connection: ClientConnection | None
    request: Request | None = None
    front_session: FrontSession | None = None


@dataclass(eq=False, slots=True)
class PendingClientRelease(PendingWrite):
    """A release that has yet to be sent to its viewer; `sending_started` once its first byte has been sent."""

    name: str
    cause: int
    connection: ClientConnection | None = None
    sending_started: bool = False

    def may_send(self) -> bool:
        """Keeps the release off a connection that the viewer has closed, even if that has not been read yet; it is then sent on
        another."""
        if self.connection is not None and self.connection.transport.peer_closed():
            self.connection = None
            return False
        return True


class Evidence(IntEnum):
    """What shows that a connection is a viewer's, which reads the release of a session: the more, the better."""

    NONE = 0
    # a test was passed
    TESTED = 1
    # a set-up was taken, or one was refused for a reason other than its form
    REQUESTED = 2
    # a session was established, handed over or ended by its viewer
    SESSION = 3


class RecentMessages(Generic[Subject]):
    """What messages were about that a reset of their connection would show to be unread."""

    __slots__ = ("sent",)

    def __init__(self):
        self.sent: deque[tuple[int, Subject]] = deque()

    def remember(self, now: int, subject: Subject) -> None:
        """A message about it is sent now."""
        while self.sent and self.sent[0][0] < now - UNREAD_RESET_WINDOW_NS:
            self.sent.popleft()
        self.sent.append((now, subject))

    def recent(self, now: int) -> list[Subject]:
        """The subjects of messages that are not older than `UNREAD_RESET_WINDOW_NS`."""
        return [subject for sent_at, subject in self.sent if sent_at >= now - UNREAD_RESET_WINDOW_NS]


class ClientConnection:
    """One connection from a viewer."""

    def __init__(self, transport: BufferedConnection, now: int, number: int):
        """`number` identifies the connection in the log."""
        self.number = number
        self.transport, self.input = transport, MessageInput(rtsp.Reader(), rtsp.Malformed, now)
        self.waiting: dict[str, ClientSession] = {}
        self.set_up_rate = SetUpRate(now)
        # number of established sessions requested here: their releases are sent here, and the viewers' next requests come here
        self.session_count = 0
        # the sessions answered, and the releases sent here, that the client has perhaps not read
        self.recent_answers: RecentMessages[ClientSession] = RecentMessages()
        self.recent_releases: RecentMessages[PendingClientRelease] = RecentMessages()
        # callbacks to run once the unread input has been read
        self.after_reading: list[Callable[[], None]] = []
        # its input is corrupt: it is closed once all requests on it have been answered
        self.corrupt = False
        self.opened_at = now
        # a complete message has been received
        self.received_message = False
        self.evidence = Evidence.NONE
        self.idle_since_s = now / NS

    # interface of the descriptor gate, see curlewshift/limits/descriptors.py

    @property
    def is_busy(self) -> bool:
        """A request is open, output is queued, or input is unread."""
        return bool(self.waiting) or bool(self.transport.queue) or self.transport.has_unread_input()

    @property
    def is_receiving_request(self) -> bool:
        """Part of a request has been received."""
        return self.input.partial and not self.corrupt

    @property
    def is_spared(self) -> bool:
        """The gate closes this connection last, as releases of established sessions are sent on it. Clients that each send one
        request and stay connected might otherwise displace every connection on which a release can be sent."""
        return self.session_count > 0

    def drop(self) -> None:
        """Closes the connection at once."""
        self.transport.drop(DropCause.MADE_ROOM)

    def add_evidence(self, evidence: Evidence) -> None:
        """Something has shown that this is a viewer's connection."""
        self.evidence = max(self.evidence, evidence)

    def mark_corrupt(self) -> None:
        """Stops reading the connection after malformed input. Requests received before are still answered."""
        self.corrupt = True
        self.end_if_done()

    def end_if_done(self) -> None:
        """Closes a corrupt connection gracefully once all requests on it have been answered."""
        if self.corrupt and not self.waiting:
            self.transport.close_gracefully()
