"""Whether views agree and are right, and whether anybody sound was called gone, from what the relays saw alone.

A frame bears its sender's life, incarnation and the digest of its view (docs/peers.md). Who runs is the run's own record of whom
it started, stopped or killed; the digest that all have to show follows from that and from what each shows of itself. Nothing here
comes from the program that is judged.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from math import inf

# What a node that was struck is still called, and what it calls others, for so many periods after it is over.
SHOWS_ON = 16


def digest_of(name: str, life: int, incarnation: int) -> int:
    """As docs/peers.md has it: what one member adds to a view by exclusive or."""
    return int.from_bytes(blake2b(f"{name} {life} {incarnation}".encode(), digest_size=8).digest(), "big") >> 2


class VersionsSeen:
    """Which version of the configuration each showed when, by what rides on its probes: up to a period after it held it."""

    def __init__(self):
        # of the life that runs: version, since when, rising
        self.course: dict[str, list[tuple[tuple[int, int], float]]] = {}
        # over all lives of a name; a node that came back empty may hold nothing for a while, and never less than it held
        self.highest: dict[str, tuple[int, int]] = {}
        self.last: dict[str, tuple[int, int]] = {}
        self.digests: dict[tuple[int, int], str] = {}
        self.regressions: list[str] = []
        self.forks: list[str] = []

    def saw(self, name: str, life: int, version: list, at: float, datagram: int) -> None:
        """What rode on a datagram of that number; one relay may tell of it after another told of a later one."""
        number, digest = (version[0], version[1]), version[2]
        if number == (0, 0):
            return
        if self.digests.setdefault(number, digest) != digest and len(self.forks) < 5:
            self.forks.append(f"{name} shows {digest} as {number}, and another showed {self.digests[number]}")
        later = (life, datagram) > self.last.get(name, (0, 0))
        if later:
            self.last[name] = life, datagram
            if number < self.highest.get(name, number):
                self.regressions.append(f"{name} shows {number} after {self.highest[name]}")
        course = self.course.setdefault(name, [])
        if not course or number > course[-1][0]:
            course.append((number, at))
        self.highest[name] = max(number, self.highest.get(name, number))

    def down(self, name: str) -> None:
        self.course.pop(name, None)

    def emptied(self, name: str) -> None:
        """Its disk is lost: it may begin anew from what it is given."""
        self.highest.pop(name, None)

    def reached(self, number: tuple[int, int], names: Iterable[str]) -> tuple[list[float], list[str]]:
        """When each of the names first showed this version or a newer one, and who has not yet."""
        times, missing = [], []
        for name in names:
            at = next((at for held, at in self.course.get(name, ()) if held >= number), None)
            if at is None:
                missing.append(name)
            else:
                times.append(at)
        return times, missing


class Judge:
    """Times are seconds of the machine's monotonic clock."""

    def __init__(self, period: float):
        self.shows_on = SHOWS_ON * period
        self.shown: dict[str, list] = {}
        self.running: set[str] = set()
        # when each was struck: from, until
        self.affected: dict[str, list[list[float]]] = {}
        self.called_gone: dict[tuple[str, int], tuple[str, float]] = {}
        self.versions = VersionsSeen()

    # ---- what the run does

    def strikes(self, names: Iterable[str], at: float, down: bool) -> None:
        """They are stopped or killed (`down`), or cut off."""
        for name in names:
            self.affected.setdefault(name, []).append([at, inf])
            if down:
                self.running.discard(name)
                self.shown.pop(name, None)
                self.versions.down(name)

    def over(self, names: Iterable[str], at: float) -> None:
        for name in names:
            for span in self.affected.get(name, ())[-1:]:
                span[1] = min(span[1], at)
            self.running.add(name)

    # ---- what the relays saw

    def saw(self, tick: dict) -> None:
        for name, row in tick["shown"].items():
            held = self.shown.get(name)
            if name in self.running and (held is None or (row[0], row[3]) > (held[0], held[3])):
                self.shown[name] = row
            if name in self.running and len(row) > 5:
                self.versions.saw(name, row[0], *row[5:])
        for name, life, by, at in tick["gone"]:
            self.called_gone.setdefault((name, life), (by, at))

    def astray(self, groups: Iterable[set[str]]) -> int:
        """How many of those that run show another view than exactly their group as it is, or show nothing yet."""
        wrong = 0
        for group in groups:
            there = [name for name in group if name in self.running]
            held = [self.shown.get(name) for name in there]
            if None in held:
                wrong += len(there)
                continue
            right = 0
            for name, row in zip(there, held):
                right ^= digest_of(name, row[0], row[1])
            wrong += sum(row[2] != right for row in held)
        return wrong

    def false_gone(self) -> list[str]:
        """Who was called gone with nothing having befallen it or who said so. What is told of a life that was over is true."""
        told = []
        for (name, _life), (by, at) in sorted(self.called_gone.items()):
            if not self._befallen(name, at) and not self._befallen(by, at):
                told.append(f"{by} calls {name} gone")
        return told

    def _befallen(self, name: str, at: float) -> bool:
        return any(began <= at <= ended + self.shows_on for began, ended in self.affected.get(name, ()))
