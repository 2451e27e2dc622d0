"""Planted faults of shedding: each has to be caught on a day of processes, and shows in the emulator."""

from __future__ import annotations

from curlewshift.overload.order import SheddingOrder
from curlewshift.overload.overload import Overload
from curlewshift.overload.retry_budget import RetryAdvice


class ShedAtRandom(Overload):
    """As many as ever, and whoever it hits."""

    def _sheds(self, rank, cut, floored):
        return self.advice.rng.random() < cut / self.order.top


class OwnLevelOnly(Overload):
    """Sheds as if it were alone, by a hash that nobody else has."""

    def __init__(self, driver, me, *arguments):
        super().__init__(driver, me, *arguments)
        order, rank = self.order, self.order.rank
        order.rank = lambda package, who, wall, came_back=False: rank(package, f"{me} {who}", wall, came_back)

    def time(self):
        members, self.driver.members = self.driver.members, lambda: []
        try:
            super().time()
        finally:
            self.driver.members = members


class OneReturn(RetryAdvice):
    def wait(self, who, now, behind=0.0, lasts=0):
        super().wait(who, now, behind, lasts)
        # all who are refused within a while are told one and the same time
        whole = min(self.terms.longest_wait, 8_000_000_000)
        return whole - now % (whole // 2)


class SynchronisedReturn(Overload):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.advice.__class__ = OneReturn


class NoFloorSheddingOrder(SheddingOrder):
    def floored(self, rank):
        return False


class NoFloor(Overload):
    order_class = NoFloorSheddingOrder


FAULTS = {
    "shed-at-random": ShedAtRandom,
    "own-level-only": OwnLevelOnly,
    "synchronised-return": SynchronisedReturn,
    "no-floor": NoFloor,
}
