"""One front's part in shedding load alike at all fronts: what it admits, what it reports of each round, and the level that
follows from the reports of all. Free of I/O.

The session core asks it before it takes a request, and reports the outcome of admitted ones. Each round it reports its counts to
the front that adds up for a zone, and receives the level that follows from all counts; that front is picked by rendezvous
hashing, as in sharing/counts.py. While nothing is received it goes on from the level it has by its own observations. An announced
level is followed only as far as this front itself observes that the zone is short of room: no other front can make it refuse
viewings of servers that it sees idle.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from random import Random
from typing import Protocol

from curlewshift.model import Package, Server
from curlewshift.overload.level import Level, Round
from curlewshift.overload.order import SheddingOrder
from curlewshift.overload.retry_budget import RetryAdvice, RetryBudget
from curlewshift.overload.terms import OverloadTerms
from curlewshift.sharing.counts import pick_by_rendezvous

# An announced level is followed where at least this part of the zone's room is used up by this front's own observation.
MIN_FULL_SHARE = 0.5
# A viewer that played here within this time (ns) ranks before others of its package; so many are remembered.
RETURN_WINDOW_NS, MAX_REMEMBERED_VIEWERS = 30_000_000_000, 20_000
# Maximum ranks in the report of one round; where there are more, the width of the steps is doubled until they fit.
MAX_RANKS = 96


class Driver(Protocol):
    """What `Overload` calls on its environment: clocks (ns), servers, and messages to the other fronts."""

    def now(self) -> int: ...
    def wall(self) -> int: ...
    def servers(self) -> Iterable[Server]: ...
    def can_admit(self, server: Server) -> bool:
        """Whether one more viewing, however small, would fit there as far as this front knows."""

    def members(self) -> list[str]: ...
    def connections_refused(self) -> int:
        """Connections refused for lack of a file descriptor since this process started."""

    def send_round(self, to: str, zone: str, asks: list[tuple[int, float]], begun: float, short: float) -> None: ...
    def send_level(self, to: str, zone: str, cut: int, why: str) -> None: ...
    def level_changed(self, zone: str, cut: int, before: int, why: str) -> None: ...


class Overload:
    """Overload control at one front; `local_name` is the front's name."""

    order_class, level_class = SheddingOrder, Level

    def __init__(self, driver: Driver, local_name: str, packages: Iterable[Package], terms: OverloadTerms, rng: Random):
        self.driver, self.local_name, self.terms = driver, local_name, terms
        self.order = self.order_class(packages, terms.floor)
        now = driver.now()
        self.advice = RetryAdvice(terms, now, rng)
        self.retry_budget = RetryBudget(terms, now)
        self.levels: dict[str, Level] = {}
        self.since: dict[str, int] = {}
        self.rounds: dict[str, Round] = {}
        # as the front that adds up: each front's last report by zone (life, number, time of receipt, counts), and the resulting
        # level
        self.reports: dict[str, dict[str, tuple[int, int, int, Round]]] = {}
        self.fleet: dict[str, Level] = {}
        # announced levels: by zone when, the cut, and why
        self.announced: dict[str, tuple[int, int, str]] = {}
        # zones that have moved toward the announced level since the last round: no further step until the next
        self.stepped: set[str] = set()
        self.full_share: dict[str, float] = {}
        self.recently_played: OrderedDict[str, int] = OrderedDict()
        self.shed: dict[str, int] = {}
        self.let_in = self.turned_off_seen = 0

    # ---- admission

    def admission_wait(self, package: Package, holders: Iterable[Server], who: str) -> int:
        """How long the viewer has to stay away (ns); 0 if it is admitted."""
        now, zones = self.driver.now(), self._zones(holders)
        came_back = now - self.recently_played.get(who, -RETURN_WINDOW_NS) < RETURN_WINDOW_NS
        rank = self.order.rank(package, who, self.driver.wall(), came_back)
        for zone in zones:
            seen = self.rounds.setdefault(zone, Round())
            seen.asks[rank] = seen.asks.get(rank, 0.0) + 1 / len(zones)
        # it may be placed in any of its zones: the one with the lowest level decides
        cut = min((self.levels[zone].cut if zone in self.levels else 0 for zone in zones), default=0)
        floored = self.order.floored(rank)
        if not cut or (not self._sheds(rank, cut, floored) and (came_back or not self.advice.early(who, now))):
            self.let_in += 1
            return 0
        self.shed[package.name] = self.shed.get(package.name, 0) + 1
        shed_for = min((now - self.since[zone] for zone in zones if zone in self.since), default=0)
        return self.advice.wait(who, now, max(0.0, (cut - rank) / self.order.top), shed_for)

    def _sheds(self, rank: int, cut: int, floored: bool) -> bool:
        return rank < cut and not floored

    # ---- outcomes of admitted viewings

    def began(self, holders: Iterable[Server], who: str, late: bool) -> None:
        """The viewing plays; `late` if that took longer than its join target, which counts as a shortage."""
        now = self.driver.now()
        self.retry_budget.succeeded(now)
        self.advice.began(now)
        self.recently_played.pop(who, None)
        self.recently_played[who] = now
        while len(self.recently_played) > MAX_REMEMBERED_VIEWERS:
            self.recently_played.popitem(last=False)
        self._record_outcome(holders, 0.0 if late else 1.0, 1.0 if late else 0.0)

    def refused(self, holders: Iterable[Server]) -> None:
        """The rules found no room for it. It is weighted by the part of its zones without room: where most have room, only its
        title is in too much demand, and nobody else is to be shed for that."""
        self._record_outcome(holders, 0.0, None)

    def _record_outcome(self, holders: Iterable[Server], begun: float, short: float | None) -> None:
        zones = self._zones(holders)
        for zone in zones:
            seen = self.rounds.setdefault(zone, Round())
            seen.begun += begun / len(zones)
            seen.short += (self.full_share.get(zone, 0.0) if short is None else short) / len(zones)

    # ---- each round

    def time(self) -> None:
        now = self.driver.now()
        self._measure_room()
        connections_refused = self.driver.connections_refused()
        more, self.turned_off_seen = connections_refused - self.turned_off_seen, connections_refused
        candidates = [*self.driver.members(), self.local_name]
        for zone in sorted(self.full_share.keys() | self.rounds.keys()):
            seen = self.rounds.pop(zone, Round())
            seen.short += more / max(1, len(self.full_share))
            level = self.levels.get(zone)
            if level is None:
                level = self.levels[zone] = self._new_level()
                self.since[zone] = now
            before = level.cut
            adder = pick_by_rendezvous(f"overload {zone}", candidates)
            if adder == self.local_name:
                self._store_report(self.local_name, 0, now, zone, seen, now)
                self.announced[zone] = now, *self._aggregate(zone, now)
            else:
                self.driver.send_round(adder, zone, self._compact(seen), round(seen.begun, 2), round(seen.short, 2))
                self.reports.pop(zone, None)
                self.fleet.pop(zone, None)
            self._follow(zone, level, seen, now)
            self._notify_change(zone, level, before, now)
        self.stepped.clear()

    def _follow(self, zone: str, level: Level, seen: Round, now: int) -> None:
        """Follows the level of all fronts where it is current and justified, else goes on from this front's own."""
        at, level_of_all, why = self.announced.get(zone, (-1, 0, ""))
        current = at >= 0 and now - at <= self.terms.report_ttl
        if not current:
            level.round(seen, self.full_share.get(zone, 0.0))
        elif zone in self.stepped:
            level.record(seen)
        elif self._justified(zone, level, level_of_all):
            level.record(seen)
            level.approach(level_of_all, why)
        else:
            # other fronts are short of room that this front sees plenty of
            level.round(seen, self.full_share.get(zone, 0.0))

    def _measure_room(self) -> None:
        """Measures the part of each zone without room, by what this front knows of its links."""
        sizes: dict[str, list[float]] = {}
        for server in self.driver.servers():
            if server.open:
                totals = sizes.setdefault(server.zone, [0.0, 0.0])
                size = min(server.link.size, 1e12)
                totals[0] += size
                totals[1] += 0.0 if self.driver.can_admit(server) else size
        self.full_share = {zone: without_room / size for zone, (size, without_room) in sizes.items() if size > 0}
        for zone in [zone for zone in self.levels if zone not in self.full_share and zone not in self.rounds]:
            # no server is left there
            del self.levels[zone], self.since[zone]
        for by_zone in (self.reports, self.fleet, self.announced):
            for zone in [zone for zone in by_zone if zone not in self.full_share]:
                del by_zone[zone]

    # ---- as the front that adds up

    def receive_round(
        self, by: str, life: int, number: int, zone: str, asks: list[tuple[int, float]], begun: float, short: float
    ) -> None:
        if zone not in self.full_share:
            # no open server of that zone is known here: no front that knows one would report to this one
            return
        now = self.driver.now()
        seen = Round({rank: count for rank, count in asks if 0 <= rank < self.order.top}, begun, short)
        if self._store_report(by, life, number, zone, seen, now):
            cut, why = self._level_of(zone)
            self.driver.send_level(by, zone, cut, why)

    def receive_level(self, zone: str, cut: int, why: str) -> None:
        """Moves toward the level at once, one step a round. When it waited for the next round, a front admitted viewings that the
        others already shed, and refused those they admitted."""
        if zone not in self.full_share:
            return
        now, level = self.driver.now(), self.levels.get(zone)
        _, announced, why = self.announced[zone] = now, max(0, min(self.order.top, cut)), why
        if level is not None and zone not in self.stepped and self._justified(zone, level, announced):
            self.stepped.add(zone)
            before = level.cut
            level.approach(announced, why)
            self._notify_change(zone, level, before, now)

    def _justified(self, zone: str, level: Level, announced: int) -> bool:
        return announced <= level.cut or self.full_share.get(zone, 0.0) >= MIN_FULL_SHARE

    def _notify_change(self, zone: str, level: Level, before: int, now: int) -> None:
        if level.cut != before:
            if not before or not level.cut:
                self.since[zone] = now
            self.driver.level_changed(zone, level.cut, before, level.why)

    def _store_report(self, by: str, life: int, number: int, zone: str, seen: Round, now: int) -> bool:
        reports = self.reports.setdefault(zone, {})
        known = reports.get(by)
        if known is not None and by != self.local_name and (life, number) <= known[:2]:
            return False
        reports[by] = (life, number, now, seen)
        return True

    def _aggregate(self, zone: str, now: int) -> tuple[int, str]:
        """Adds up one round of all fronts, from the last report of each that is recent enough."""
        reports = self.reports[zone] = {
            by: report for by, report in self.reports.get(zone, {}).items() if now - report[2] <= self.terms.report_ttl
        }
        total = Round()
        for *_, at, seen in reports.values():
            if now - at <= 2 * self.terms.every:
                total.add(seen)
        level = self.fleet.get(zone)
        if level is None:
            # whichever front added up before, the level of all starts from this front's own
            level = self.fleet[zone] = self._new_level()
            level.cut = self.levels[zone].cut
        level.round(total, self.full_share.get(zone, 0.0))
        return level.cut, level.why

    def _level_of(self, zone: str) -> tuple[int, str]:
        level = self.fleet.get(zone) or self.levels.get(zone)
        return (level.cut, level.why) if level is not None else (0, "")

    def _new_level(self) -> Level:
        return self.level_class(self.order.top, self.order.floored)

    @staticmethod
    def _compact(seen: Round) -> list[tuple[int, float]]:
        asks, width = seen.asks, 1
        while len(asks) > MAX_RANKS:
            width *= 2
            wider: dict[int, float] = {}
            for rank, count in seen.asks.items():
                wider[rank // width * width] = wider.get(rank // width * width, 0.0) + count
            asks = wider
        return [(rank, round(count, 2)) for rank, count in asks.items()]

    def _zones(self, holders: Iterable[Server]) -> list[str]:
        return sorted({server.zone for server in holders if server.open})

    # ---- display

    def show(self) -> dict:
        """Plain data for display: the level of each zone, since when (s ago), why, and which packages are shed by it."""
        now, rows = self.driver.now(), []
        ranked = sorted(self.order.base, key=self.order.base.get)
        for zone, level in sorted(self.levels.items()):
            shed = {}
            for package in ranked:
                base = self.order.base[package]
                steps = self.order.top // len(ranked)
                shed_share = max(0, min(steps, level.cut - base)) / steps
                shed[package.name] = round(min(shed_share, 1 - self.terms.floor), 3)
            at, announced, _ = self.announced.get(zone, (-1, 0, ""))
            rows.append(
                {
                    "zone": zone,
                    "level": level.cut,
                    "of": self.order.top,
                    "why": level.why,
                    "for_s": round((now - self.since[zone]) / 1e9, 1),
                    "shed": shed,
                    "full": round(self.full_share.get(zone, 0.0), 3),
                    "told": announced if at >= 0 and now - at <= self.terms.report_ttl else None,
                    "adds_up": zone in self.fleet,
                }
            )
        return {
            "me": self.local_name,
            "zones": rows,
            "shed": dict(self.shed),
            "let_in": self.let_in,
            "further_left": round(self.retry_budget.left, 1),
            "further_spent": self.retry_budget.spent,
        }
