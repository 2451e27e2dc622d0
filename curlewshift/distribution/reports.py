"""What is in force where, without anybody hearing from all: each node tells one of its zone, that one tells the control machines.

Who adds up a zone is drawn by rendezvous hashing (Thaler, Ravishankar 1998) over who is in, so that two add up for a while
where views differ, and a new one takes over when one is gone. Sums are of nodes, never added to each other.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple, Protocol

from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import NONE, Version


class Report(NamedTuple):
    """What one node has in force, and what it refuses ("" for `why`: nothing)."""

    version: Version
    refused: Version
    why: str


class ZoneSum(NamedTuple):
    """`nodes` were heard of late; `lowest` is what the one farthest behind has in force, `late` names some that are behind the
    `newest` there; `refusing` counts nodes, and `whys` are some of them with their words."""

    zone: str
    nodes: int
    newest: Version
    at_newest: int
    lowest: Version
    late: list[str]
    refusing: int
    whys: list[tuple[str, str]]


class Driver(Protocol):
    def now(self) -> int: ...
    def zone_members(self) -> list[str]: ...
    def report_to(self, aggregator: str, report: Report) -> None: ...
    def sum_to(self, store: str, told: ZoneSum) -> None: ...


def aggregator_of(zone: str, names: list[str]) -> str:
    """Who adds up the reports of a zone, by rendezvous hashing."""
    return max(names, key=lambda name: blake2b(f"configuration {zone} {name}".encode(), digest_size=8).digest(), default="")


class Reporter:
    """Of one node; any node may find itself adding up for its zone."""

    def __init__(self, driver: Driver, me: str, zone: str, terms: DistributionTerms):
        self.driver, self.me, self.zone, self.terms = driver, me, zone, terms
        self.told: Report | None = None
        self.told_to, self.again_at = "", 0
        # the next looks at who adds up: membership changes rarely, and the draw goes over a whole zone
        self.look_at, self.aggregator = 0, ""
        self.heard: dict[str, tuple[int, Report]] = {}
        self.sum_due, self.sum_at, self.sum_told = 0, 0, None

    def time(self, report: Report) -> None:
        now = self.driver.now()
        if now >= self.look_at or report != self.told:
            self.look_at = now + 2 * self.terms.sum_each
            self.aggregator = aggregator_of(self.zone, [*self.driver.zone_members(), self.me])
        if report != self.told or self.aggregator != self.told_to or now >= self.again_at:
            self.told, self.told_to = report, self.aggregator
            self.again_at = now + self.terms.report_each
            if self.aggregator == self.me:
                self.reported(self.me, report)
            else:
                self.driver.report_to(self.aggregator, report)
        if self.aggregator == self.me and now >= self.sum_due:
            self._sum_up(now)

    def reported(self, name: str, report: Report) -> None:
        self.heard[name] = (self.driver.now(), report)

    def _sum_up(self, now: int) -> None:
        kept = 3 * self.terms.report_each
        self.heard = {name: (at, report) for name, (at, report) in self.heard.items() if now - at <= kept}
        told = summed(self.zone, {name: report for name, (_, report) in self.heard.items()}, self.terms.most_named)
        self.sum_due = now + self.terms.sum_each
        if told is None or (told == self.sum_told and now < self.sum_at + self.terms.report_each // 3):
            return
        self.sum_told, self.sum_at = told, now
        for store in self.terms.stores:
            self.driver.sum_to(store, told)


def summed(zone: str, reports: dict[str, Report], most_named: int) -> ZoneSum | None:
    """The reports of one zone in one, with `most_named` of the fronts that are behind by name."""
    if not reports:
        return None
    newest = max((report.version for report in reports.values()), key=lambda version: version.number)
    lowest = min((report.version for report in reports.values()), key=lambda version: version.number)
    late = sorted(name for name, report in reports.items() if newest.over(report.version))
    refusing = sorted((name, report.why) for name, report in reports.items() if report.refused != NONE)
    return ZoneSum(
        zone,
        len(reports),
        newest,
        len(reports) - len(late),
        lowest,
        late[:most_named],
        len(refusing),
        [(name, why[:120]) for name, why in refusing[:2]],
    )


@dataclass(slots=True)
class Heard:
    by: str
    at: int
    told: ZoneSum


class Fleet:
    """At a control machine: the latest sum of each zone, by whoever adds it up."""

    def __init__(self, driver: Driver):
        self.driver = driver
        self.zones: dict[str, Heard] = {}

    def sum_told(self, by: str, told: ZoneSum) -> None:
        self.zones[told.zone] = Heard(by, self.driver.now(), told)

    def show(self) -> list[dict]:
        now = self.driver.now()
        return [
            {
                "zone": zone,
                "nodes": heard.told.nodes,
                "newest": heard.told.newest.text,
                "at_newest": heard.told.at_newest,
                "lowest": heard.told.lowest.text,
                "late": heard.told.late,
                "refusing": heard.told.refusing,
                "whys": [list(pair) for pair in heard.told.whys],
                "by": heard.by,
                "told_s_ago": round((now - heard.at) / 1e9, 1),
            }
            for zone, heard in sorted(self.zones.items())
        ]
