"""One front divides the room reserved for an announced demand peak by where viewings of it are requested. Free of I/O.

Each front reports its rate of requests for each package with a peak on the calendar; the holder of the lease announces to all
what share of the reservation each front has. A front that receives no plan reserves an even share, as without planning.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from curlewshift.tasks.tasks import Fences

PLAN_INTERVAL_NS = 1_000_000_000
# Reports and plans expire after this time (ns).
PLAN_TTL_NS = 3 * PLAN_INTERVAL_NS
LEASE = "peaks/0"
# Weight of an even share beside the reported rates: a front without requests yet also reserves some room.
EVEN_WEIGHT = 0.25


class Driver(Protocol):
    """What `Planning` calls on its environment: the clock (ns), demand at this front, messages, and the resulting share."""

    def now(self) -> int: ...
    def front_names(self) -> list[str]: ...
    def request_rates(self) -> dict[str, float]:
        """Requests a second at this front, by package with a peak on the calendar."""

    def send_demand(self, to: str, asked: dict[str, float]) -> None: ...
    def send_plan(self, number: int, package: str, parts: dict[str, float]) -> None: ...
    def planned(self, package: str, part: float, until: int) -> None: ...


class Planning:
    """The task of planning reservations, and each front's part in it."""

    name, shards = "peaks", 1

    def __init__(self, driver: Driver, local_name: str):
        self.driver, self.local_name, self.fences = driver, local_name, Fences()
        self.demand: dict[str, tuple[int, dict[str, float]]] = {}
        self.due = 0

    # ---- as the planner

    def begin(self, shard: int, number: int) -> None:
        self.due = 0

    def act(self, shard: int, number: int) -> None:
        now = self.driver.now()
        if now < self.due:
            return
        self.due = now + PLAN_INTERVAL_NS
        self.demand[self.local_name] = now, self.driver.request_rates()
        self.demand = {name: report for name, report in self.demand.items() if now - report[0] <= PLAN_TTL_NS}
        for package in {package for _, asked in self.demand.values() for package in asked}:
            parts = shares_by_demand(
                self.driver.front_names(), {name: asked.get(package, 0.0) for name, (_, asked) in self.demand.items()}
            )
            self.driver.send_plan(number, package, parts)
            self.receive_plan(number, package, parts)

    def stop(self, shard: int) -> None:
        pass

    def receive_demand(self, by: str, asked: dict[str, float]) -> None:
        self.demand[by] = self.driver.now(), asked

    # ---- as any front

    def report_demand(self, planner: str) -> None:
        """Called each second: reports this front's demand to the front that plans."""
        asked = self.driver.request_rates()
        if asked and planner != self.local_name:
            self.driver.send_demand(planner, asked)

    def receive_plan(self, number: int, package: str, parts: dict[str, float]) -> None:
        if self.local_name in parts and self.fences.passes(LEASE, number):
            self.driver.planned(package, parts[self.local_name], self.driver.now() + PLAN_TTL_NS)


def shares_by_demand(names: Iterable[str], asked: dict[str, float]) -> dict[str, float]:
    """Shares that add up to 1: in proportion to the requests at each front, and to a small part evenly. All fronts of the site
    get one, whether they report or not: a front without a plan reserves an even share by itself, and reserving some room twice
    does less harm than too little."""
    names = list(names)
    total = sum(asked.get(name, 0.0) for name in names)
    even = 1 / len(names)
    if total <= 0:
        return dict.fromkeys(names, even)
    return {name: (asked.get(name, 0.0) / total + EVEN_WEIGHT * even) / (1 + EVEN_WEIGHT) for name in names}
