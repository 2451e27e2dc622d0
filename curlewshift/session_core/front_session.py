"""The things a desk holds: a viewing's course, the requests that wait for it, and its tune-ins."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from curlewshift.model import Outcome, Server, Viewing
from curlewshift.retries.keys import Held
from curlewshift.session_core.server_commands import CommandQueue


class Kind(Enum):
    PLAYS = "plays"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(eq=False, slots=True)
class Answer:
    """How a request ends. `wait` (ns) is advice when to come back, 0 for none; `cause` is for people."""

    kind: Kind
    cause: str
    wait: int = 0
    front_session: FrontSession | None = None


@dataclass(eq=False, slots=True)
class Request:
    """One request at the door. Several may wait for one viewing: a client that tries again joins itself."""

    name: str
    arrived: int
    expires: int
    front_session: FrontSession | None = None
    answer: Answer | None = None
    # the viewer hung up: nobody is there to be answered
    gone: bool = False


@dataclass(eq=False, slots=True)
class TuneIn:
    """One attempt at one server. `outcome` is set once, by whichever comes first: its answer or its time."""

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
    # its key, while the table has it
    held: Held | None = None
    commands: CommandQueue | None = None
    requests: list[Request] = field(default_factory=list)
    tune_in: TuneIn | None = None
    # whatever the outside needs to reach the session at its server
    session: object = None
    answer: Answer | None = None

    @property
    def waiting(self) -> list[Request]:
        return [request for request in self.requests if request.answer is None and not request.gone]
