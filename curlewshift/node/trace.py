"""What became of each request, step by step, kept in memory and told only of those whose viewer may never have got an answer.

Off unless the environment has CURLEWSHIFT_TRAIL: then the log has a line `trail` for each request whose connection ended before
the kernel had the last byte of its answer, and for each that was answered past its time. Called by door and node.
"""

from __future__ import annotations

import os
from collections import OrderedDict

from curlewshift.node.buffered_connection import PendingWrite

MS = 1_000_000
MOST = 2000


class Untrodden:
    """The trail when it is off."""

    def taken(self, name: str, connection: object) -> None:
        pass

    def note(self, name: str, step: str) -> None:
        pass

    def answered(self, name: str, late: bool) -> PendingWrite | None:
        """What goes with the answer on its wire."""

    def ended(self, connection: object) -> None:
        pass


class Queued(PendingWrite):
    """An answer on a wire."""

    __slots__ = ("handed", "name", "trail")

    def __init__(self, trail: Trail, name: str):
        self.trail, self.name, self.handed = trail, name, False

    def out(self) -> None:
        self.trail.trodden.pop(self.name, None)


class Trail(Untrodden):
    def __init__(self, now, log):
        self.now, self.log = now, log
        # by session, the connection it was asked for on, and its steps
        self.trodden: OrderedDict[str, tuple[object, list[str]]] = OrderedDict()

    def taken(self, name: str, connection: object) -> None:
        if len(self.trodden) >= MOST:
            self.trodden.popitem(last=False)
        self.trodden[name] = (connection, [])
        self.note(name, "taken")

    def note(self, name: str, step: str) -> None:
        if name in self.trodden:
            self.trodden[name][1].append(f"{self.now() // MS} {step}")

    def answered(self, name: str, late: bool) -> PendingWrite | None:
        if name not in self.trodden:
            return None
        self.note(name, "answer queued")
        if late:
            self._tell(name, "answered past its time")
        return Queued(self, name)

    def ended(self, connection: object) -> None:
        for name in [name for name, (its, _) in self.trodden.items() if its is connection]:
            self._tell(name, "its connection ended before its answer was out")
            del self.trodden[name]

    def _tell(self, name: str, why: str) -> None:
        self.log.warning("trail", session=name, cause=why, steps=list(self.trodden[name][1]))


def trail_of(now, log) -> Untrodden:
    """A trail where the environment asks for one, else one that keeps nothing."""
    return Trail(now, log) if os.environ.get("CURLEWSHIFT_TRAIL") else Untrodden()
