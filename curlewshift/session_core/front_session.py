"""State of the session core: a viewing at this front, the requests that wait for it, and its tune-ins."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from curlewshift.model import Outcome, Server, Viewing
from curlewshift.retries.keys import KeyEntry
from curlewshift.session_core.server_commands import CommandQueue


class AnswerKind(Enum):
    """How a request was answered."""

    PLAYS = "plays"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(eq=False, slots=True)
class Answer:
    """The answer to a request. `wait` is retry advice (ns), 0 for none; `cause` is a text for people."""

    kind: AnswerKind
    cause: str
    wait: int = 0
    front_session: FrontSession | None = None


@dataclass(eq=False, slots=True)
class Request:
    """One client request. Several may wait for one viewing, as a client's retry joins its earlier request."""

    name: str
    arrived: int
    expires: int
    front_session: FrontSession | None = None
    answer: Answer | None = None
    # the viewer closed the request: no answer is sent
    gone: bool = False


@dataclass(eq=False, slots=True)
class TuneIn:
    """One set-up attempt at one server. `outcome` is set once, by its answer or its time-out, whichever is first."""

    front_session: FrontSession
    server: Server
    number: int
    rung: int
    until: int
    outcome: Outcome | None = None


@dataclass(eq=False, slots=True)
class FrontSession:
    """One viewing from its request to its end at this front."""

    viewing: Viewing
    offer: object
    # its entry in the key table, while it has one
    held: KeyEntry | None = None
    commands: CommandQueue | None = None
    requests: list[Request] = field(default_factory=list)
    tune_in: TuneIn | None = None
    # what the driver needs to address the session at its server
    session: object = None
    answer: Answer | None = None

    @property
    def waiting(self) -> list[Request]:
        return [request for request in self.requests if request.answer is None and not request.gone]
