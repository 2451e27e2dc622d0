"""The interface through which the policy acts. A host carries out each call at once and in order."""

from __future__ import annotations

from typing import Protocol

from curlewshift.model import Server, Viewing


class Host(Protocol):
    """Implemented by the session core, by the bench's adapter and by test doubles."""

    def now(self) -> int:
        """The host's monotonic clock, in nanoseconds."""

    def tune_in(self, viewing: Viewing, server: Server, until: int) -> None:
        """Ask the server to set the viewing up; the outcome is reported by `until` (ns) at the latest."""

    def set_rung(self, viewing: Viewing, rung: int) -> None:
        """Set the rung, before a tune-in or while the viewing plays."""

    def block(self, viewing: Viewing, wait: int) -> None:
        """Final answer: refused, to be retried after `wait` ns (0: no advice)."""

    def abort(self, viewing: Viewing) -> None:
        """Final answer: failed; the set-up may have run all the same."""

    def probe(self, server: Server) -> None:
        """Ask the server whether it runs and for its load; `Rules.probed` is called once it answers or fails to."""

    def wake(self, at: int) -> None:
        """Call `Rules.tick` once the clock reaches `at`."""
