"""One front divides the room that is held for an announced peak by where the peak is asked for. Free of I/O.

Each front tells how fast it is asked for each package of which a peak is on the calendar; the holder of the lease tells all what
part of the hold is each one's. A front that hears no plan holds an even part, as without one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from curlewshift.tasks.tasks import Fences

EACH = 1_000_000_000
# What was told so long ago counts no more, asks and plans alike (ns).
LASTS = 3 * EACH
LEASE = "peaks/0"
# Each front is reckoned to be asked for this part of its even share beside what it tells: one that nobody asks yet holds some.
PRIOR = 0.25


class Driver(Protocol):
    def now(self) -> int: ...
    def front_names(self) -> list[str]: ...
    def asked_for(self) -> dict[str, float]:
        """Asks a second at this front, by package of a peak that is on the calendar."""

    def tell_asked(self, to: str, asked: dict[str, float]) -> None: ...
    def tell_plan(self, number: int, package: str, parts: dict[str, float]) -> None: ...
    def planned(self, package: str, part: float, until: int) -> None: ...


class Planning:
    name, shards = "peaks", 1

    def __init__(self, driver: Driver, me: str):
        self.driver, self.me, self.fences = driver, me, Fences()
        self.heard: dict[str, tuple[int, dict[str, float]]] = {}
        self.due = 0

    # ---- as the one that plans

    def begin(self, shard: int, number: int) -> None:
        self.due = 0

    def act(self, shard: int, number: int) -> None:
        now = self.driver.now()
        if now < self.due:
            return
        self.due = now + EACH
        self.heard[self.me] = now, self.driver.asked_for()
        self.heard = {name: told for name, told in self.heard.items() if now - told[0] <= LASTS}
        for package in {package for _, asked in self.heard.values() for package in asked}:
            parts = divided(self.driver.front_names(), {name: asked.get(package, 0.0) for name, (_, asked) in self.heard.items()})
            self.driver.tell_plan(number, package, parts)
            self.plan_told(number, package, parts)

    def stop(self, shard: int) -> None:
        pass

    def asked_told(self, by: str, asked: dict[str, float]) -> None:
        self.heard[by] = self.driver.now(), asked

    # ---- as each

    def tell(self, planner: str) -> None:
        """Each second, to the one that would plan."""
        asked = self.driver.asked_for()
        if asked and planner != self.me:
            self.driver.tell_asked(planner, asked)

    def plan_told(self, number: int, package: str, parts: dict[str, float]) -> None:
        if self.me in parts and self.fences.passes(LEASE, number):
            self.driver.planned(package, parts[self.me], self.driver.now() + LASTS)


def divided(names: Iterable[str], asked: dict[str, float]) -> dict[str, float]:
    """Parts that add up to 1: by what is asked for at each, and a little evenly. All fronts of the site have one, whether they
    are heard or not: who is not heard holds an even part by itself, and room held twice is the lesser evil."""
    names = list(names)
    whole = sum(asked.get(name, 0.0) for name in names)
    even = 1 / len(names)
    if whole <= 0:
        return dict.fromkeys(names, even)
    return {name: (asked.get(name, 0.0) / whole + PRIOR * even) / (1 + PRIOR) for name in names}
