"""Status of the configuration across the fleet without any member receiving reports from all: each node reports to the
aggregator of its zone, and each aggregator sends a summary to the control machines.

The aggregator of a zone is chosen by rendezvous hashing (Thaler, Ravishankar 1998) over its members. While membership views
differ there can be two aggregators for a short time, and a new one takes over when one is gone. A summary always counts nodes;
summaries are never added to each other.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple, Protocol

from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import NO_VERSION, Version


class Report(NamedTuple):
    """The version one node has in force, and the one it refuses; an empty `reason` means that it refuses none."""

    version: Version
    refused: Version
    reason: str


class ZoneSummary(NamedTuple):
    """`nodes` is the number of nodes that reported recently. `newest` and `lowest` are the newest and oldest versions in force,
    `at_newest` nodes have the newest, and `late` names some that do not. `refusing` is a number of nodes; `reasons` has some of
    them with their reason."""

    zone: str
    nodes: int
    newest: Version
    at_newest: int
    lowest: Version
    late: list[str]
    refusing: int
    reasons: list[tuple[str, str]]


class Driver(Protocol):
    def now(self) -> int: ...
    def zone_members(self) -> list[str]: ...
    def send_report(self, aggregator: str, report: Report) -> None: ...
    def send_summary(self, store: str, summary: ZoneSummary) -> None: ...


def aggregator_of(zone: str, names: list[str]) -> str:
    """The member that aggregates the reports of a zone, by rendezvous hashing."""
    return max(names, key=lambda name: blake2b(f"configuration {zone} {name}".encode(), digest_size=8).digest(), default="")


class Reporter:
    """The reporting of one node. Any node may become the aggregator of its zone."""

    def __init__(self, driver: Driver, local_name: str, zone: str, terms: DistributionTerms):
        self.driver, self.local_name, self.zone, self.terms = driver, local_name, zone, terms
        self.last_report: Report | None = None
        self.last_aggregator, self.next_report_at = "", 0
        # when the aggregator is computed again: membership changes rarely, and the hashing goes over all members of the zone
        self.aggregator_check_at, self.aggregator = 0, ""
        self.reports: dict[str, tuple[int, Report]] = {}
        self.next_summary_at, self.last_summary_at, self.last_summary = 0, 0, None

    def time(self, report: Report) -> None:
        """One round with the current report of this node; sends the report and, as the aggregator, the summary when due."""
        now = self.driver.now()
        if now >= self.aggregator_check_at or report != self.last_report:
            self.aggregator_check_at = now + 2 * self.terms.summary_interval
            self.aggregator = aggregator_of(self.zone, [*self.driver.zone_members(), self.local_name])
        if report != self.last_report or self.aggregator != self.last_aggregator or now >= self.next_report_at:
            self.last_report, self.last_aggregator = report, self.aggregator
            self.next_report_at = now + self.terms.report_interval
            if self.aggregator == self.local_name:
                self.report_received(self.local_name, report)
            else:
                self.driver.send_report(self.aggregator, report)
        if self.aggregator == self.local_name and now >= self.next_summary_at:
            self._send_summary(now)

    def report_received(self, name: str, report: Report) -> None:
        self.reports[name] = (self.driver.now(), report)

    def _send_summary(self, now: int) -> None:
        retention = 3 * self.terms.report_interval
        self.reports = {name: (at, report) for name, (at, report) in self.reports.items() if now - at <= retention}
        summary = summarize(self.zone, {name: report for name, (_, report) in self.reports.items()}, self.terms.max_named)
        self.next_summary_at = now + self.terms.summary_interval
        if summary is None or (summary == self.last_summary and now < self.last_summary_at + self.terms.report_interval // 3):
            return
        self.last_summary, self.last_summary_at = summary, now
        for store in self.terms.stores:
            self.driver.send_summary(store, summary)


def summarize(zone: str, reports: dict[str, Report], max_named: int) -> ZoneSummary | None:
    """Summary of the reports of one zone; at most `max_named` nodes that are behind are named."""
    if not reports:
        return None
    newest = max((report.version for report in reports.values()), key=lambda version: version.number)
    lowest = min((report.version for report in reports.values()), key=lambda version: version.number)
    late = sorted(name for name, report in reports.items() if newest.newer_than(report.version))
    refusing = sorted((name, report.reason) for name, report in reports.items() if report.refused != NO_VERSION)
    return ZoneSummary(
        zone,
        len(reports),
        newest,
        len(reports) - len(late),
        lowest,
        late[:max_named],
        len(refusing),
        [(name, reason[:120]) for name, reason in refusing[:2]],
    )


@dataclass(slots=True)
class ZoneStatus:
    """The latest summary of a zone: from which member, and when (ns)."""

    by: str
    at: int
    summary: ZoneSummary


class FleetStatus:
    """At a control machine: the latest summary of each zone, from any aggregator."""

    def __init__(self, driver: Driver):
        self.driver = driver
        self.zones: dict[str, ZoneStatus] = {}

    def summary_received(self, by: str, summary: ZoneSummary) -> None:
        self.zones[summary.zone] = ZoneStatus(by, self.driver.now(), summary)

    def show(self) -> list[dict]:
        """The zones as plain data, for operators."""
        now = self.driver.now()
        return [
            {
                "zone": zone,
                "nodes": status.summary.nodes,
                "newest": status.summary.newest.text,
                "at_newest": status.summary.at_newest,
                "lowest": status.summary.lowest.text,
                "late": status.summary.late,
                "refusing": status.summary.refusing,
                "whys": [list(pair) for pair in status.summary.reasons],
                "by": status.by,
                "told_s_ago": round((now - status.at) / 1e9, 1),
            }
            for zone, status in sorted(self.zones.items())
        ]
