"""What each front uses, passed to the others as counts with ages. They inform; no hard limit relies on them.

For each key one front adds up the counts: the one that rendezvous hashing (Thaler, Ravishankar 1998) picks among the present
members, so that all who use a key report to one and hear from one, and a change of members moves only the keys of the member that
came or went. The last report of each front by life (one run of its process) and number is kept (a last-writer-wins map; Shapiro
et al. 2011): duplicate, late and reordered messages change nothing. A report loses weight with age until it counts for nothing,
so that without any reports a front acts as it would alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from curlewshift.sharing.terms import SharingTerms

# Smaller relative changes are not sent; everything is sent again after so many rounds, as messages may be lost.
MIN_RELATIVE_CHANGE, RESEND_ROUNDS = 0.02, 2
# Maximum keys that one front adds up, and maximum reports that it keeps for one key.
MAX_KEYS, MAX_REPORTS_PER_KEY = 8192, 1024
# One report arrives in several messages, whose transit times differ by no more than this (ns).
SAME_REPORT_NS = 100_000_000


def pick_by_rendezvous(key: str, names: list[str]) -> str:
    """The name that the key is assigned to by rendezvous hashing; the same at every front that knows the same names."""
    return max(names, key=lambda name: blake2b(f"{key} {name}".encode(), digest_size=8).digest())


@dataclass(slots=True)
class CountReport:
    """One front's last report of its use of a key; `at` is the time of receipt (steady ns)."""

    life: int
    number: int
    value: float
    at: int


class Counts:
    """One front's use and the sums it receives, and the reports of others that it adds up. Times are this front's steady ns;
    received values are dated at receipt."""

    def __init__(self, local_name: str, terms: SharingTerms):
        self.local_name, self.terms = local_name, terms
        self.own_use: dict[str, float] = {}
        self.last_sent: dict[str, tuple[float, int]] = {}
        self.round = 0
        self.use_reports: dict[str, dict[str, CountReport]] = {}
        self.others: dict[str, tuple[float, int]] = {}
        # as the front that adds up: the link use reported by a prober, and when; as a user of the link: the newest such report
        self.link_use_reports: dict[str, tuple[float, int]] = {}
        self.link_use: dict[str, tuple[float, int]] = {}
        # life and number of the last sums received from each front that adds up
        self.last_sums: dict[str, tuple[int, int]] = {}

    def weight(self, age: int) -> float:
        """Weight of a report by its age (ns): 1 up to the age `ages`, then falling linearly to 0 at four times that."""
        ages = self.terms.ages
        return 1.0 if age <= ages else max(0.0, (4 * ages - age) / (3 * ages))

    # ---- as a front that uses a key

    def set_own_use(self, uses: dict[str, float]) -> None:
        """Sets this front's use, 0 where it only wants the use by others. The end of a use is reported once."""
        ended = {key: 0.0 for key, value in self.own_use.items() if value > 0 and key not in uses}
        self.own_use = {**uses, **ended}
        self.last_sent = {
            key: sent for key, sent in self.last_sent.items() if key in self.own_use or sent[1] > self.round - RESEND_ROUNDS
        }

    def rows_due(self) -> list[tuple[str, float]]:
        """Rows to report now: those that changed, and every `RESEND_ROUNDS` rounds all."""
        self.round += 1
        rows = []
        for key, value in self.own_use.items():
            before, at = self.last_sent.get(key, (0.0, -RESEND_ROUNDS))
            if abs(value - before) > MIN_RELATIVE_CHANGE * max(value, before) or self.round - at >= RESEND_ROUNDS:
                rows.append((key, value))
                self.last_sent[key] = (value, self.round)
        return rows

    def sums_received(self, adder: str, life: int, number: int, rows: list[tuple[str, float, int, float, int]], now: int) -> None:
        """The use by others from the front that adds it up, each with its age (ns), and the link use found by the probing front
        with its age; a link use under 0 means none."""
        if (life, number) <= self.last_sums.get(adder, (-1, -1)):
            return
        self.last_sums[adder] = (life, number)
        for key, value, age, use, use_age in rows:
            if key in self.own_use:
                self.others[key] = (value, now - max(0, age))
                at = now - max(0, use_age)
                if use >= 0 and at > self.link_use.get(key, (0.0, -1))[1] + SAME_REPORT_NS:
                    self.link_use[key] = (use, at)

    def use_of_others(self, key: str, now: int) -> tuple[float, int] | None:
        """What the others use together and how old that is; None where it is too old."""
        held = self.others.get(key)
        if held is None or now - held[1] >= 4 * self.terms.ages:
            self.others.pop(key, None)
            return None
        return held[0] * self.weight(now - held[1]), now - held[1]

    # ---- as the front that adds up

    def use_received(self, front: str, life: int, number: int, rows: list[tuple[str, float]], now: int) -> None:
        for key, value in rows:
            reports = self.use_reports.get(key)
            if reports is None:
                if len(self.use_reports) >= MAX_KEYS:
                    continue
                reports = self.use_reports[key] = {}
            known = reports.get(front)
            if known is not None and (life, number) <= (known.life, known.number):
                continue
            if known is not None or len(reports) < MAX_REPORTS_PER_KEY:
                reports[front] = CountReport(life, number, value, now)

    def link_use_reported(self, key: str, use: float, now: int) -> None:
        if key in self.link_use_reports or len(self.link_use_reports) < MAX_KEYS:
            self.link_use_reports[key] = (use, now)

    def report(self, key: str, now: int) -> tuple[float, int]:
        """The link use reported within `ages`, and its age (ns); -1 where there is none."""
        use, at = self.link_use_reports.get(key, (-1.0, now))
        return (use, now - at) if now - at < self.terms.ages else (-1.0, 0)

    def sums(self, front: str, keys: list[str], now: int) -> list[tuple[str, float, int, float, int]]:
        """For `front`: what all others use of each key, and how old that is, as the mean age weighted by use. With the age of the
        oldest report instead, one lost message of any front made the whole sum too old to use (with a quarter of the messages
        lost, .126 of seconds were short, against .149 without sums)."""
        rows = []
        for key in keys:
            total, weighted_age = 0.0, 0.0
            for name, report in self.use_reports.get(key, {}).items():
                age = now - report.at
                if name != front:
                    weighted = report.value * self.weight(age)
                    total += weighted
                    weighted_age += weighted * age
            rows.append((key, total, int(weighted_age / total) if total > 0 else 0, *self.report(key, now)))
        return rows

    def forget(self, now: int) -> None:
        """Drops reports that have no weight any more, and keys without reports."""
        past = now - 4 * self.terms.ages
        for key, reports in list(self.use_reports.items()):
            for name in [name for name, report in reports.items() if report.at <= past]:
                del reports[name]
            if not reports:
                del self.use_reports[key]
        self.link_use_reports = {key: held for key, held in self.link_use_reports.items() if now - held[1] < self.terms.ages}
        self.link_use = {key: held for key, held in self.link_use.items() if now - held[1] < 4 * self.terms.ages}
        self.last_sums = dict(list(self.last_sums.items())[-MAX_REPORTS_PER_KEY:])

    def merge(self, other: Counts) -> None:
        """Takes over the last report of each front from another instance. Any order and number of merges has the same result."""
        for key, reports in other.use_reports.items():
            reports_here = self.use_reports.setdefault(key, {})
            for name, report in reports.items():
                known = reports_here.get(name)
                if known is None or (report.life, report.number) > (known.life, known.number):
                    reports_here[name] = report
