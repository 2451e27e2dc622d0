"""One front's part in shedding as one: what it lets in, what it tells of each round, and the level that all make of it. Free of
I/O.

Asked by the desk before it takes a request, and told by it what became of those that were let in. Each round it tells the one
that adds up for a zone what it saw, and hears the level that follows from what all saw; the one is picked by rendezvous hashing,
as for counts. Hearing nothing it goes on from the level it has by its own sight. A told level holds only as far as this front
itself sees that the zone is short of room: nobody can have it shut its door on servers that it sees idle.
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
from curlewshift.sharing.counts import picked

# A told level is taken where so much of the zone's room is gone by this front's own sight.
SHORT_BY_SIGHT = 0.5
# Who played here of late comes back before others of its package (ns); so many are remembered.
CAME_BACK_WITHIN, MOST_REMEMBERED = 30_000_000_000, 20_000
# Ranks of one round that are told; more are told in steps twice as wide, until they fit.
MOST_RANKS = 96


class Driver(Protocol):
    def now(self) -> int: ...
    def wall(self) -> int: ...
    def servers(self) -> Iterable[Server]: ...
    def takes(self, server: Server) -> bool:
        """Whether one more viewing, however small, would find room there as far as this front knows."""

    def members(self) -> list[str]: ...
    def turned_off(self) -> int:
        """Connections that this process had no descriptor for, since it started."""

    def tell_round(self, to: str, zone: str, asks: list[tuple[int, float]], begun: float, short: float) -> None: ...
    def tell_level(self, to: str, zone: str, cut: int, why: str) -> None: ...
    def level_changed(self, zone: str, cut: int, before: int, why: str) -> None: ...


class Overload:
    """`me` is this front's name."""

    order_class, level_class = SheddingOrder, Level

    def __init__(self, driver: Driver, me: str, packages: Iterable[Package], terms: OverloadTerms, rng: Random):
        self.driver, self.me, self.terms = driver, me, terms
        self.order = self.order_class(packages, terms.floor)
        now = driver.now()
        self.advice = RetryAdvice(terms, now, rng)
        self.again = RetryBudget(terms, now)
        self.levels: dict[str, Level] = {}
        self.since: dict[str, int] = {}
        self.rounds: dict[str, Round] = {}
        # as the one that adds up: each front's last word by zone, and the level that follows
        self.words: dict[str, dict[str, tuple[int, int, int, Round]]] = {}
        self.fleet: dict[str, Level] = {}
        # what was told: by zone when, where the level is, and why
        self.told: dict[str, tuple[int, int, str]] = {}
        # zones whose told level was met since the last round: no further step until the next
        self.met: set[str] = set()
        self.full: dict[str, float] = {}
        self.played: OrderedDict[str, int] = OrderedDict()
        self.shed: dict[str, int] = {}
        self.let_in = self.turned = 0

    # ---- at the door

    def asked(self, package: Package, holders: Iterable[Server], who: str) -> int:
        """How long who asks has to stay away (ns); 0: it is let in."""
        now, zones = self.driver.now(), self._zones(holders)
        back = now - self.played.get(who, -CAME_BACK_WITHIN) < CAME_BACK_WITHIN
        rank = self.order.rank(package, who, self.driver.wall(), back)
        for zone in zones:
            seen = self.rounds.setdefault(zone, Round())
            seen.asks[rank] = seen.asks.get(rank, 0.0) + 1 / len(zones)
        # it may be placed in any of its zones: the least short decides
        cut = min((self.levels[zone].cut if zone in self.levels else 0 for zone in zones), default=0)
        floored = self.order.floored(rank)
        if not cut or (not self._sheds(rank, cut, floored) and (back or not self.advice.early(who, now))):
            self.let_in += 1
            return 0
        self.shed[package.name] = self.shed.get(package.name, 0) + 1
        lasts = min((now - self.since[zone] for zone in zones if zone in self.since), default=0)
        return self.advice.wait(who, now, max(0.0, (cut - rank) / self.order.top), lasts)

    def _sheds(self, rank: int, cut: int, floored: bool) -> bool:
        return rank < cut and not floored

    # ---- what became of those that were let in

    def began(self, holders: Iterable[Server], who: str, late: bool) -> None:
        """It plays; `late` if that took longer than its join target: then the work in hand is too much."""
        now = self.driver.now()
        self.again.succeeded(now)
        self.advice.began(now)
        self.played.pop(who, None)
        self.played[who] = now
        while len(self.played) > MOST_REMEMBERED:
            self.played.popitem(last=False)
        self._count(holders, 0.0 if late else 1.0, 1.0 if late else 0.0)

    def refused(self, holders: Iterable[Server]) -> None:
        """The rules found no room for it. It weighs by how much of its zones has none: where most has, its title alone is
        asked for too much, and nobody else is to be shed for that."""
        self._count(holders, 0.0, None)

    def _count(self, holders: Iterable[Server], begun: float, short: float | None) -> None:
        zones = self._zones(holders)
        for zone in zones:
            seen = self.rounds.setdefault(zone, Round())
            seen.begun += begun / len(zones)
            seen.short += (self.full.get(zone, 0.0) if short is None else short) / len(zones)

    # ---- each round

    def time(self) -> None:
        now = self.driver.now()
        self._look()
        turned = self.driver.turned_off()
        more, self.turned = turned - self.turned, turned
        everyone = [*self.driver.members(), self.me]
        for zone in sorted(self.full.keys() | self.rounds.keys()):
            seen = self.rounds.pop(zone, Round())
            seen.short += more / max(1, len(self.full))
            level = self.levels.get(zone)
            if level is None:
                level = self.levels[zone] = self._level()
                self.since[zone] = now
            before = level.cut
            adder = picked(f"overload {zone}", everyone)
            if adder == self.me:
                self._heard(self.me, 0, now, zone, seen, now)
                self.told[zone] = now, *self._added_up(zone, now)
            else:
                self.driver.tell_round(adder, zone, self._few(seen), round(seen.begun, 2), round(seen.short, 2))
                self.words.pop(zone, None)
                self.fleet.pop(zone, None)
            self._follow(zone, level, seen, now)
            self._changed(zone, level, before, now)
        self.met.clear()

    def _follow(self, zone: str, level: Level, seen: Round, now: int) -> None:
        """The level of all where it is heard and justified, else this front's own from where it is."""
        at, told, why = self.told.get(zone, (-1, 0, ""))
        heard = at >= 0 and now - at <= self.terms.told_lasts
        if not heard:
            level.round(seen, self.full.get(zone, 0.0))
        elif zone in self.met:
            level.note(seen)
        elif self._justified(zone, level, told):
            level.note(seen)
            level.meet(told, why)
        else:
            # others are short of what this front sees plenty of
            level.round(seen, self.full.get(zone, 0.0))

    def _look(self) -> None:
        """How much of each zone has no room left, by what this front knows of its links."""
        sizes: dict[str, list[float]] = {}
        for server in self.driver.servers():
            if server.open:
                row = sizes.setdefault(server.zone, [0.0, 0.0])
                size = min(server.link.size, 1e12)
                row[0] += size
                row[1] += 0.0 if self.driver.takes(server) else size
        self.full = {zone: none / size for zone, (size, none) in sizes.items() if size > 0}
        for zone in [zone for zone in self.levels if zone not in self.full and zone not in self.rounds]:
            # nothing is left there to be short of
            del self.levels[zone], self.since[zone]
        for known in (self.words, self.fleet, self.told):
            for zone in [zone for zone in known if zone not in self.full]:
                del known[zone]

    # ---- as the one that adds up

    def round_told(
        self, by: str, life: int, number: int, zone: str, asks: list[tuple[int, float]], begun: float, short: float
    ) -> None:
        if zone not in self.full:
            # no server of that zone is open here: nobody who knows one would ask this front
            return
        now = self.driver.now()
        seen = Round({rank: count for rank, count in asks if 0 <= rank < self.order.top}, begun, short)
        if self._heard(by, life, number, zone, seen, now):
            cut, why = self._level_of(zone)
            self.driver.tell_level(by, zone, cut, why)

    def level_told(self, zone: str, cut: int, why: str) -> None:
        """Followed at once, a step a round: until the round after it, a front let in whom the others shed by then, and refused
        whom they let in."""
        if zone not in self.full:
            return
        now, level = self.driver.now(), self.levels.get(zone)
        _, told, why = self.told[zone] = now, max(0, min(self.order.top, cut)), why
        if level is not None and zone not in self.met and self._justified(zone, level, told):
            self.met.add(zone)
            before = level.cut
            level.meet(told, why)
            self._changed(zone, level, before, now)

    def _justified(self, zone: str, level: Level, told: int) -> bool:
        return told <= level.cut or self.full.get(zone, 0.0) >= SHORT_BY_SIGHT

    def _changed(self, zone: str, level: Level, before: int, now: int) -> None:
        if level.cut != before:
            if not before or not level.cut:
                self.since[zone] = now
            self.driver.level_changed(zone, level.cut, before, level.why)

    def _heard(self, by: str, life: int, number: int, zone: str, seen: Round, now: int) -> bool:
        words = self.words.setdefault(zone, {})
        held = words.get(by)
        if held is not None and by != self.me and (life, number) <= held[:2]:
            return False
        words[by] = (life, number, now, seen)
        return True

    def _added_up(self, zone: str, now: int) -> tuple[int, str]:
        """One round of the fleet: the last word of each that has spoken of late."""
        words = self.words[zone] = {
            by: word for by, word in self.words.get(zone, {}).items() if now - word[2] <= self.terms.told_lasts
        }
        together = Round()
        for *_, at, seen in words.values():
            if now - at <= 2 * self.terms.every:
                together.add(seen)
        level = self.fleet.get(zone)
        if level is None:
            # whoever added up before, the fleet is where this front is
            level = self.fleet[zone] = self._level()
            level.cut = self.levels[zone].cut
        level.round(together, self.full.get(zone, 0.0))
        return level.cut, level.why

    def _level_of(self, zone: str) -> tuple[int, str]:
        level = self.fleet.get(zone) or self.levels.get(zone)
        return (level.cut, level.why) if level is not None else (0, "")

    def _level(self) -> Level:
        return self.level_class(self.order.top, self.order.floored)

    @staticmethod
    def _few(seen: Round) -> list[tuple[int, float]]:
        asks, width = seen.asks, 1
        while len(asks) > MOST_RANKS:
            width *= 2
            wider: dict[int, float] = {}
            for rank, count in seen.asks.items():
                wider[rank // width * width] = wider.get(rank // width * width, 0.0) + count
            asks = wider
        return [(rank, round(count, 2)) for rank, count in asks.items()]

    def _zones(self, holders: Iterable[Server]) -> list[str]:
        return sorted({server.zone for server in holders if server.open})

    # ---- for people

    def show(self) -> dict:
        """Plain data: the level of each zone, since when (s ago), why, and who is shed by it."""
        now, rows = self.driver.now(), []
        ranked = sorted(self.order.base, key=self.order.base.get)
        for zone, level in sorted(self.levels.items()):
            shed = {}
            for package in ranked:
                base = self.order.base[package]
                steps = self.order.top // len(ranked)
                part = max(0, min(steps, level.cut - base)) / steps
                shed[package.name] = round(min(part, 1 - self.terms.floor), 3)
            at, told, _ = self.told.get(zone, (-1, 0, ""))
            rows.append(
                {
                    "zone": zone,
                    "level": level.cut,
                    "of": self.order.top,
                    "why": level.why,
                    "for_s": round((now - self.since[zone]) / 1e9, 1),
                    "shed": shed,
                    "full": round(self.full.get(zone, 0.0), 3),
                    "told": told if at >= 0 and now - at <= self.terms.told_lasts else None,
                    "adds_up": zone in self.fleet,
                }
            )
        return {
            "me": self.me,
            "zones": rows,
            "shed": dict(self.shed),
            "let_in": self.let_in,
            "further_left": round(self.again.left, 1),
            "further_spent": self.again.spent,
        }
