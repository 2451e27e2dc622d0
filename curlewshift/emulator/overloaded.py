"""Load shedding of emulated fronts: the real overload control, with messages over links that may lose them."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from curlewshift.emulator.shared import running_front
from curlewshift.overload.overload import Overload
from curlewshift.overload.terms import OverloadTerms
from curlewshift.session_core import shedding

MS = 1_000_000
# Range of the one-way delay of a message between fronts, in ns.
MESSAGE_DELAY = (0.4 * MS, 2 * MS)


@dataclass
class Shedding:
    """How fronts shed in a run. With `together` they agree on one level; otherwise each uses its own observations. `overload`
    may be the class of a planted fault. `further` bounds further tune-ins by the number of successes; `loss` is the fraction
    of messages lost."""

    terms: OverloadTerms
    together: bool = True
    further: bool = True
    loss: float = 0.0
    overload: type[Overload] = Overload


class EmulatedOverload(shedding.Shedding):
    """The driver of the overload control for one life (one run of the process) of an emulated front."""

    def __init__(self, front, seed: int):
        self.front, self.world, self.settings = front, front.world, front.world.shedding
        self.rng, self.life, self.sequence = Random(f"{seed} sheds"), front.now(), 0
        packages = self.world.site.packages
        super().__init__(lambda: front.session_core, packages)
        self.bounds_further = self.settings.further
        self.overload = self.settings.overload(self, front.address_name, packages, self.settings.terms, self.rng)
        self.world.queue.at(front.now() + self.rng.randrange(self.settings.terms.every), self._round)

    def _round(self) -> None:
        if self.front.alive:
            self.round()
            self.world.queue.at(self.now() + self.settings.terms.every, self._round)

    # ---- driver of the overload control

    def now(self) -> int:
        return self.front.now()

    def wall(self) -> int:
        return self.front.wall()

    def members(self) -> list[str]:
        return [name for name in self.world.running_fronts if name != self.front.address_name] if self.settings.together else []

    def connections_refused(self) -> int:
        return 0

    def _send(self, to: str, message: str, *fields) -> None:
        other = running_front(self.world, to)
        if other is not None and self.rng.random() >= self.settings.loss:
            self.world.queue.at(self.now() + int(self.rng.uniform(*MESSAGE_DELAY)), self._arrive, other, message, fields)

    @staticmethod
    def _arrive(front, message: str, fields: tuple) -> None:
        if front.alive:
            getattr(front.sheds.overload, message)(*fields)

    def send_round(self, to: str, zone: str, asks: list, begun: float, short: float) -> None:
        self.sequence += 1
        self._send(to, "receive_round", self.front.address_name, self.life, self.sequence, zone, asks, begun, short)

    def send_level(self, to: str, zone: str, cut: int, why: str) -> None:
        self._send(to, "receive_level", zone, cut, why)

    def level_changed(self, zone: str, cut: int, before: int, why: str) -> None:
        self.world.levels.append((self.now(), self.front.address_name, zone, cut))
