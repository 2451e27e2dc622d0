"""The I/O interface of the session core, implemented on sockets, by a replay, an emulator or a test.

Each call is carried out or started at once. Results are reported later by calling methods of the session core, never from
within the call. Times are integers in nanoseconds of the driver's clock.
"""

from __future__ import annotations

from typing import Protocol

from curlewshift.model import Server
from curlewshift.retries.session_ends import SessionEnd
from curlewshift.session_core.front_session import Answer, Request, TuneIn
from curlewshift.session_core.server_commands import ServerCommand


class Driver(Protocol):
    """Performs I/O for one session core."""

    def now(self) -> int:
        """The monotonic clock; the clocks of all fronts agree to well within a second."""

    def wall(self) -> int:
        """The machine's Unix time (ns); unlike `now` it may be set back or forward."""

    def wake(self, at: int) -> None:
        """Call `SessionCore.time` once the clock has reached `at`; only the earliest such time need be kept."""

    def tune_in(self, tune_in: TuneIn) -> None:
        """Ask the server for the session, unless `SessionCore.stands` is false just before the first byte is sent."""

    def withdraw(self, tune_in: TuneIn) -> bool:
        """Abandons the tune-in; a session that it still sets up must be ended. True if the server may have received it."""

    def tell(self, command: ServerCommand) -> None:
        """Send the viewing's server its new rung or its client's patch; the result is reported to
        `SessionCore.told_server`."""

    def end_session(self, session_end: SessionEnd) -> None:
        """Ask the server to end this session; whether it answered is reported to `SessionCore.session_ended`."""

    def probe(self, server: Server) -> None:
        """Ask the server for its load; the answer is reported to `SessionCore.probed`, once."""

    def answer(self, request: Request, answer: Answer) -> None:
        """Send the only answer of this request."""

    def whole_list(self) -> None:
        """Changes of the server list are missing: request the full list."""
