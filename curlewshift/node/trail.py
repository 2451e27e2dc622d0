"""What became of each request, step by step, kept in memory and told only of those whose viewer may never have got an answer.

Off unless the environment has CURLEWSHIFT_TRAIL: then the log has a line `trail` for each request whose connection ended before
the kernel had the last byte of its answer, and for each that was answered past its time. Called by door and node.
"""

from __future__ import annotations

import os
from collections import OrderedDict

MS = 1_000_000
MOST = 2000


class Untrodden:
    """The trail when it is off."""

    def note(self, name: str, step: str) -> None:
        pass

    def answered(self, name: str, late: bool) -> None:
        """What goes with the answer on its wire; nothing."""

    def ended(self, names: list[str], why: str) -> None:
        pass


class Queued:
    """An answer on a wire; see curlewshift/node/wire.py."""

    __slots__ = ("trail", "name", "handed")

    def __init__(self, trail: Trail, name: str):
        self.trail, self.name, self.handed = trail, name, False

    def out(self) -> None:
        """The kernel has its last byte."""
        self.trail.note(self.name, "out")
        self.trail.steps.pop(self.name, None)


class Trail(Untrodden):
    def __init__(self, now, log):
        self.now, self.log = now, log
        self.steps: OrderedDict[str, list[str]] = OrderedDict()

    def note(self, name: str, step: str) -> None:
        if name not in self.steps:
            if step != "taken":
                return
            if len(self.steps) >= MOST:
                self.steps.popitem(last=False)
            self.steps[name] = []
        self.steps[name].append(f"{self.now() // MS} {step}")

    def answered(self, name: str, late: bool) -> Queued:
        self.note(name, "answer queued")
        if late:
            self._tell(name, "answered past its time")
        return Queued(self, name)

    def ended(self, names: list[str], why: str) -> None:
        for name in names:
            if name in self.steps:
                self._tell(name, why)
                del self.steps[name]

    def _tell(self, name: str, why: str) -> None:
        self.log.warning("trail", session=name, cause=why, steps=list(self.steps.get(name, ())))


def trail_of(now, log) -> Untrodden:
    return Trail(now, log) if os.environ.get("CURLEWSHIFT_TRAIL") else Untrodden()
