"""The interface through which the rules act. A host carries out each call at once, in order."""

from __future__ import annotations

from typing import Protocol

from curlewshift.model import Server, Viewing


class Host(Protocol):
    def now(self) -> int:
        """The host's clock, in nanoseconds; it never goes back."""

    def tune_in(self, viewing: Viewing, server: Server, until: int) -> None:
        """Ask the server to set the viewing up; its outcome comes back at `until` at the latest."""

    def set_rung(self, viewing: Viewing, rung: int) -> None:
        """Set the rung, before a tune-in or while the viewing plays."""

    def block(self, viewing: Viewing, wait: int) -> None:
        """Final answer: turned away, to come back after `wait` (0: no advice)."""

    def abort(self, viewing: Viewing) -> None:
        """Final answer: failed, with nothing promised about what ran."""

    def probe(self, server: Server) -> None:
        """Ask the server whether it runs and how full it is; `probed` tells once it answers or fails to."""

    def wake(self, at: int) -> None:
        """Call the rules' `tick` once the clock reaches `at`."""
