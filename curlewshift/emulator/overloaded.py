"""Fronts of an emulated deployment that shed as one: the program's own overload, on links that lose."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from curlewshift.emulator.shared import next_front
from curlewshift.overload.overload import Overload
from curlewshift.overload.terms import OverloadTerms
from curlewshift.session_core import shedding

MS = 1_000_000
WAY = (0.4 * MS, 2 * MS)


@dataclass
class Shedding:
    """How fronts shed in a run. `together`: with a level for all; else each by what it sees. `overload` may be a planted
    fault's; `further` bounds tune-ins beyond the first by successes."""

    terms: OverloadTerms
    together: bool = True
    further: bool = True
    loss: float = 0.0
    overload: type[Overload] = Overload


class EmulatedOverload(shedding.Shedding):
    """Overload's outside for one life of one emulated front."""

    def __init__(self, front, seed: int):
        self.front, self.world, self.how = front, front.world, front.world.shedding
        self.rng, self.life, self.spoken = Random(f"{seed} sheds"), front.now(), 0
        packages = self.world.site.packages
        super().__init__(lambda: front.session_core, packages)
        self.bounds_further = self.how.further
        self.overload = self.how.overload(self, front.door, packages, self.how.terms, self.rng)
        self.world.queue.at(front.now() + self.rng.randrange(self.how.terms.every), self._round)

    def _round(self) -> None:
        if self.front.alive:
            self.round()
            self.world.queue.at(self.now() + self.how.terms.every, self._round)

    # ---- overload's outside

    def now(self) -> int:
        return self.front.now()

    def wall(self) -> int:
        return self.front.wall()

    def members(self) -> list[str]:
        return [name for name in self.world.doors_up if name != self.front.door] if self.how.together else []

    def connections_refused(self) -> int:
        return 0

    def _say(self, to: str, what: str, *words) -> None:
        other = next_front(self.world, to)
        if other is not None and self.rng.random() >= self.how.loss:
            self.world.queue.at(self.now() + int(self.rng.uniform(*WAY)), self._arrives, other, what, words)

    @staticmethod
    def _arrives(front, what: str, words: tuple) -> None:
        if front.alive:
            getattr(front.sheds.overload, what)(*words)

    def send_round(self, to: str, zone: str, asks: list, begun: float, short: float) -> None:
        self.spoken += 1
        self._say(to, "receive_round", self.front.door, self.life, self.spoken, zone, asks, begun, short)

    def send_level(self, to: str, zone: str, cut: int, why: str) -> None:
        self._say(to, "receive_level", zone, cut, why)

    def level_changed(self, zone: str, cut: int, before: int, why: str) -> None:
        self.world.levels.append((self.now(), self.front.door, zone, cut))
