"""Planted faults of load shedding. A fault injection run on processes has to detect each; the emulator shows them too."""

from __future__ import annotations

from curlewshift.overload.order import SheddingOrder
from curlewshift.overload.overload import Overload
from curlewshift.overload.retry_budget import RetryAdvice


class ShedAtRandom(Overload):
    """Sheds the usual fraction of requests, but picks them at random instead of by rank."""

    def _sheds(self, rank, cut, floored):
        return self.advice.rng.random() < cut / self.order.top


class OwnLevelOnly(Overload):
    """Ignores the other fronts' levels, and ranks viewers by a hash that differs from front to front."""

    def __init__(self, driver, local_name, *arguments):
        super().__init__(driver, local_name, *arguments)
        order, rank = self.order, self.order.rank
        order.rank = lambda package, who, wall, came_back=False: rank(package, f"{local_name} {who}", wall, came_back)

    def time(self):
        members, self.driver.members = self.driver.members, lambda: []
        try:
            super().time()
        finally:
            self.driver.members = members


class SameReturnTimeAdvice(RetryAdvice):
    def wait(self, who, now, behind=0.0, lasts=0):
        super().wait(who, now, behind, lasts)
        # all viewers refused within half a period (at most 4 s) are given the same time to return at
        period = min(self.terms.longest_wait, 8_000_000_000)
        return period - now % (period // 2)


class SynchronisedReturn(Overload):
    """Asks all refused viewers to return at the same instant, instead of spreading their retries."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.advice.__class__ = SameReturnTimeAdvice


class NoFloorSheddingOrder(SheddingOrder):
    """An order in which no rank is admitted at any level."""

    def floored(self, rank):
        return False


class NoFloor(Overload):
    """Sheds without the part of each package that is admitted at any level."""

    order_class = NoFloorSheddingOrder


FAULTS = {
    "shed-at-random": ShedAtRandom,
    "own-level-only": OwnLevelOnly,
    "synchronised-return": SynchronisedReturn,
    "no-floor": NoFloor,
}
