"""What the desk asks of whoever runs it: sockets, a replay, an emulator or a test.

Each call is carried out at once or begun at once; what comes of it is told to the desk later by its
own methods, never from within the call. Times are whole nanoseconds of the outside's clock.
"""

from __future__ import annotations

from typing import Protocol

from curlewshift.model import Server
from curlewshift.retries.session_ends import SessionEnd
from curlewshift.session_core.front_session import Answer, Request, TuneIn
from curlewshift.session_core.server_commands import ServerCommand


class Driver(Protocol):
    def now(self) -> int:
        """The clock; it never goes back, and the clocks of all fronts agree to well within a second."""

    def wall(self) -> int:
        """Unix time (ns) as the machine has it now; unlike `now` it may be set back or forward."""

    def wake(self, at: int) -> None:
        """Call `SessionCore.time` once the clock has reached `at`; only the earliest of these need be kept."""

    def tune_in(self, tune_in: TuneIn) -> None:
        """Ask the server for the session, unless `SessionCore.stands` says no just before the first byte goes out."""

    def withdraw(self, tune_in: TuneIn) -> bool:
        """Its time is over: let go of it; what it set up all the same must end. True if the server may have heard."""

    def tell(self, command: ServerCommand) -> None:
        """Tell the server that plays this viewing its new rung, or pass its client's patch on; `SessionCore.told_server`
        hears what came of it."""

    def end_session(self, session_end: SessionEnd) -> None:
        """Ask the server to end this session; `SessionCore.session_ended` hears whether it answered."""

    def probe(self, server: Server) -> None:
        """Ask the server how full it is; `SessionCore.probed` tells the answer, once."""

    def answer(self, request: Request, answer: Answer) -> None:
        """The one answer of this request."""

    def whole_list(self) -> None:
        """The list held has a gap: ask for all of it."""
