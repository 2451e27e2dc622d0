"""Typed records of what was observed on the sockets of a trial. Times are seconds of the machine's monotonic clock.

Whatever concerns a node is time-stamped on the node's side of its proxies, so that a delay added by a proxy is never counted
against the node. The records are stored as JSON under the names of their fields.
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
    """One set-up request of a client. `top` is the highest rung that the client accepts, `wait_s` its deadline."""

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
    # when the client cancelled or its connection closed; the node need not answer from then on
    left_at: float | None = None
    left_how: str = ""
    # it arrived on a connection that the node had closed this many seconds before
    after_close_s: float | None = None
    # its id was in use by another request: an answer cannot be attributed to either of them
    ambiguous: bool = False
    answers: list[Answer] = []


class Answer(msgspec.Struct, omit_defaults=True):
    at: float
    status: int
    pause_ms: int = 0
    body: bytes = b""


class Attempt(msgspec.Struct, omit_defaults=True):
    """One set-up that a node sent to a media server."""

    id: str
    node: str
    server: str
    connection: int
    rung: int
    body: bytes
    first_byte_at: float
    # messages about it that the node received or sent after the set-up, with times: "answer", "release", "refused, cause N",
    # "release heard", "closed by the node" or "closed by the server"
    heard: list[tuple[float, str]] = []
    answer_body: bytes | None = None
    # the server refused it with a cause that proves that it was not run
    never_ran: bool = False


class ServerAttempt(msgspec.Struct, omit_defaults=True):
    """One set-up as a media server received it."""

    id: str
    node: str
    server: str
    connection: int
    taken_at: float
    ended_at: float | None = None
    ending: Ending = Ending.OPEN
    # the description of its answer
    body: bytes | None = None
    # when the session that it set up ended at the server; `ended_by_itself` if not by a release of the node
    session_ended_at: float | None = None
    ended_by_itself: bool = False


class Release(msgspec.Struct, omit_defaults=True):
    """A message that a session has ended: from a node to a client (`to_client`), or from a media server to a node."""

    id: str
    node: str
    at: float
    to_client: bool
    cause: int = 0
    server: str = ""
    # the node had closed this connection before the release arrived
    after_close: bool = False


class ClientRelease(msgspec.Struct, omit_defaults=True):
    """A client's TEARDOWN as received by the node."""

    id: str
    node: str
    at: float


class NodeRelease(msgspec.Struct, omit_defaults=True):
    """A release that a node sent to a media server."""

    id: str
    node: str
    server: str
    connection: int
    at: float
    # when this connection ended on the node's side
    closed_at: float | None = None
    # the network lost bytes that the node sent on this connection, at any time of the trial
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
    """One run of a node process, from start to exit; a restart is a new life."""

    node: str
    started_at: float
    ready_at: float | None = None
    ended_at: float | None = None
    exit_status: int | None = None
    killed: bool = False
    memory_mb: float = 0.0
    descriptors: int = 0
    # log lines about unexpected exceptions in the node
    faults: list[str] = []


class Outage(msgspec.Struct, omit_defaults=True):
    """A period in which a node could not reach discovery or received nothing from it. `kind` begins with the node's name."""

    since: float
    until: float
    kind: str


class AppliedFault(msgspec.Struct, omit_defaults=True):
    """A fault of the plan as it was applied to one target."""

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
    # reports of media servers that a release of the node has cut a session
    cut_reports: list[Release] = []
    client_releases: list[ClientRelease] = []
    node_releases: list[NodeRelease] = []
    listed: list[Listed] = []
    signals: list[Signal] = []
    lives: list[Life] = []
    outages: list[Outage] = []
    faults: list[AppliedFault] = []
    # time, id and new rung of each change of a session's rung
    rungs: list[tuple[float, str, int]] = []
    # largest lag of the event loop that made these records, seconds
    loop_late_s: float = 0.0
