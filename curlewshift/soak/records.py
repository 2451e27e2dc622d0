"""What is seen on the sockets of a trial, as typed records. Times are seconds of the machine's monotonic clock.

Everything that concerns a node is stamped on the node's side of its proxies, so that a delay that a proxy adds is never counted
against the node.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Ending(StrEnum):
    """How an attempt at a media server ended, as the server saw it."""

    SET_UP = "set up there"
    GIVEN_UP = "given up"
    REFUSED = "refused"
    FAILED = "failed"
    CLOSED = "its connection was closed"
    OPEN = "still out"


class Request(msgspec.Struct, omit_defaults=True):
    """One set-up of a client, by the connection it came on."""

    id: str
    node: str
    connection: int
    service_class: str
    title: str
    cells: list[int]
    top: int
    wait_s: float
    body: bytes
    taken_at: float
    # when its connection was accepted
    connected_at: float = 0.0
    # the client gave up, closed or was cut: nothing is owed from then on
    left_at: float | None = None
    left_how: str = ""
    # it came on a connection that the node had closed so long before (s)
    after_close_s: float | None = None
    # its id was open already: which of its messages an answer belongs to cannot be told
    ambiguous: bool = False
    answers: list[Answer] = []


class Answer(msgspec.Struct, omit_defaults=True):
    at: float
    status: int
    pause_ms: int = 0
    body: bytes = b""


class Attempt(msgspec.Struct, omit_defaults=True):
    """One set-up as a node sent it."""

    id: str
    node: str
    server: str
    connection: int
    rung: int
    body: bytes
    first_byte_at: float
    # what the node heard of it or said, with times: ("answer" | "refused" | "failed" | "release" | "closed by server" | …)
    heard: list[tuple[float, str]] = []
    answer_body: bytes | None = None
    never_ran: bool = False


class ServerAttempt(msgspec.Struct, omit_defaults=True):
    """One set-up as a media server saw it."""

    id: str
    node: str
    server: str
    connection: int
    taken_at: float
    ended_at: float | None = None
    ending: Ending = Ending.OPEN
    # the description of its answer
    body: bytes | None = None
    # the session that it set up, until it ended there; `ended_by_itself` if no release of the node's ended it
    session_ended_at: float | None = None
    ended_by_itself: bool = False


class Release(msgspec.Struct, omit_defaults=True):
    """A session's end as it was told to a client (`to_client`) or by a media server to a node."""

    id: str
    node: str
    at: float
    to_client: bool
    cause: int = 0
    server: str = ""
    # the node had closed this connection before, and the server had not seen it
    after_close: bool = False


class ClientRelease(msgspec.Struct, omit_defaults=True):
    """A client's TEARDOWN, as it reached the node."""

    id: str
    node: str
    at: float


class NodeRelease(msgspec.Struct, omit_defaults=True):
    """A release as a node wrote it to a media server."""

    id: str
    node: str
    server: str
    connection: int
    at: float
    # when the node knew that this connection had ended
    closed_at: float | None = None
    # the network lost what was written on this connection, at some time
    lost: bool = False


class Listed(msgspec.Struct, omit_defaults=True):
    """A change of the server list."""

    number: int
    server: str
    state: str
    at: float
    started_at: float = 0.0


class Signal(msgspec.Struct, omit_defaults=True):
    node: str
    at: float
    what: str


class Life(msgspec.Struct, omit_defaults=True):
    """One life of a node process."""

    node: str
    started_at: float
    ready_at: float | None = None
    ended_at: float | None = None
    exit_status: int | None = None
    killed: bool = False
    memory_mb: float = 0.0
    descriptors: int = 0
    # the log's lines on faults in the program
    faults: list[str] = []


class Outage(msgspec.Struct, omit_defaults=True):
    """Discovery that could not be reached, or said nothing, from a node's side."""

    since: float
    until: float
    kind: str


class FaultPlayed(msgspec.Struct, omit_defaults=True):
    at: float
    until: float
    kind: str
    target: str = ""


class Records(msgspec.Struct):
    began_at: float = 0.0
    requests: list[Request] = []
    attempts: list[Attempt] = []
    server_attempts: list[ServerAttempt] = []
    releases: list[Release] = []
    client_releases: list[ClientRelease] = []
    node_releases: list[NodeRelease] = []
    listed: list[Listed] = []
    signals: list[Signal] = []
    lives: list[Life] = []
    outages: list[Outage] = []
    faults: list[FaultPlayed] = []
    # time, id and rung of each new rung of a session
    rungs: list[tuple[float, str, int]] = []
    # the largest lateness of the judge's own loop, seconds
    loop_late_s: float = 0.0
