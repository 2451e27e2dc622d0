"""How much room this front holds, on which links, from when, and until when.

Called by the desk: once a second, and for each arrival, start and end of a viewing. What it decides it writes into the
links (`Link.holds`), where the rules' test counts it as used for all packages but its own; it sends, steps and blocks
nothing by itself, so that whatever a hold does is the design's doing. Each front holds its own part and knows no other.

A hold is what the peak will need, less what its package uses already: by Little's law arrivals a second times how
long they last times the rate of the rung they are likely to get. It is shared over links by where the package's
titles lie, as they are asked for; room lost with a server is lost to the hold in proportion, and a part of a link is
never more than was announced for it.
"""

from __future__ import annotations

from collections.abc import Collection
from math import inf

from curlewshift.model import Link, Package, Server, Viewing
from curlewshift.peaks.calendar import Calendar, Peak
from curlewshift.peaks.forecast import ArrivalStatistics, began_early, expected

SECOND = 1_000_000_000
# How long a viewing lasts before any was seen to end.
LASTS = 20 * SECOND
# Room is made for this long at the least and at the most before a peak begins.
LEAST_LEAD, MOST_LEAD = 2 * SECOND, 60 * SECOND
# After its end a hold is given back evenly over this, so that others do not all climb into it in one second while the
# last of the peak still come.
GIVEN_BACK = 4 * SECOND
# Where titles lie is learned from so many arrivals; before, links count by their size, as so many would.
REMEMBERED = 200
UNLEARNED = 10
# A rung in use counts from so much of the package's viewings here on.
FEW = 3


class Holding:
    """What a peak makes this front do at present."""

    __slots__ = ("early", "need", "peak", "phase")

    def __init__(self, peak: Peak):
        self.peak = peak
        # the wall's time at which it was seen to have begun, where that was before it was announced for
        self.early, self.phase, self.need = 0, "ahead", 0.0


class Peaks:
    """`fronts` is how many there are: each holds one part of as many."""

    def __init__(self, calendar: Calendar, fronts: int, now: int):
        self.calendar, self.fronts = calendar, max(1, fronts)
        self.seen = {package: ArrivalStatistics(now) for package in calendar.packages.values()}
        self.began: dict[Viewing, int] = {}
        self.holding: dict[str, Holding] = {}
        self.held: set[Link] = set()
        self.whole = 0.0
        # arrivals of each package by where they could have been placed, and how many were counted in
        self.wanted: dict[Package, dict[Server, float]] = {package: {} for package in self.seen}
        self.weighed: dict[Package, float] = {package: 0.0 for package in self.seen}
        # this front's part of a hold where one plans for all, and until when that stands (ns)
        self.parts: dict[Package, tuple[float, int]] = {}

    # ---- what is seen

    def came(self, package: Package, now: int, holders: list[Server]) -> None:
        self.seen[package].came(now)
        wanted = self.wanted[package]
        for server in holders:
            wanted[server] = wanted.get(server, 0.0) + 1 / len(holders)
        self.weighed[package] += 1
        if self.weighed[package] > REMEMBERED:
            # old wishes give way, and servers that are gone with them
            self.weighed[package] /= 2
            self.wanted[package] = {server: part / 2 for server, part in wanted.items() if part > 0.02}

    def started(self, viewing: Viewing, now: int) -> None:
        self.began[viewing] = now

    def ended(self, viewing: Viewing, now: int) -> None:
        began = self.began.pop(viewing, None)
        if began is not None:
            self.seen[viewing.package].lasted(now - began)

    def planned(self, package: Package, part: float, until: int) -> None:
        """Somebody divides the hold by where its peak is asked for: this is what falls to this front, for so long."""
        self.parts[package] = min(1.0, max(part, 1e-3)), until

    def asked_for(self, now: int) -> dict[str, float]:
        """Asks a second here of late, by the packages that peaks are announced for."""
        named = {peak.package for peak in self.calendar.peaks.values()}
        return {name: self.seen[self.calendar.packages[name]].rate(now) for name in sorted(named)}

    def one_of(self, package: Package, now: int) -> float:
        """This front's part of a hold is one of so many: of the fronts, or of as many as the plan says."""
        part, until = self.parts.get(package, (0.0, 0))
        return 1 / part if now < until else self.fronts

    # ---- what is decided

    def tick(self, now: int, wall: int, servers: Collection[Server]) -> None:
        """Once a second. Nothing is looked at while nothing is on the calendar."""
        if not self.calendar.peaks and not self.held:
            return
        self.calendar.over(wall, GIVEN_BACK)
        for name in [name for name in self.holding if name not in self.calendar.peaks]:
            del self.holding[name]
        links = self._links(servers)
        for link in self.held:
            link.holds.clear()
        self.held.clear()
        total = sum(server.link.size for server in links)
        # of the whole that was there when the first peak was held for: what is lost is lost to holds too
        self.whole = max(self.whole, total) if self.holding else total
        wanted: dict[Package, tuple[float, float]] = {}
        for peak in self.calendar.peaks.values():
            need = self._need(peak, now, wall, servers)
            package = self.calendar.packages[peak.package]
            # two peaks of one package are one crowd announced twice: the larger holds for both
            wanted[package] = max(wanted.get(package, (0.0, 0.0)), (need, peak.most))
        for package, (need, most) in wanted.items():
            if need > 0 and total > 0:
                weights = self._weights(package, links, total)
                one_of = self.one_of(package, now)
                self._hold(
                    package, need * total / self.whole, most, one_of, {server.link: weight for server, weight in weights.items()}
                )
                above: dict[Link, float] = {}
                for server, weight in weights.items():
                    above[server.rack.link] = above.get(server.rack.link, 0.0) + weight
                self._hold(package, need * total / self.whole, most, one_of, above)

    def _need(self, peak: Peak, now: int, wall: int, servers: list[Server]) -> float:
        """What the peak needs now (kB a second), at this front and all others together."""
        package = self.calendar.packages[peak.package]
        holding = self.holding.get(peak.name)
        if holding is None or holding.peak is not peak:
            holding = self.holding[peak.name] = Holding(peak)
        one_of = self.one_of(package, now)
        seen, own_rate = self.seen[package], peak.rate / one_of
        starts_in = peak.starts - wall
        if not holding.early and began_early(own_rate, seen, now, starts_in, peak.length):
            holding.early = wall
        if holding.early > wall:
            # the wall's clock was set back
            holding.early = 0
        begins = holding.early or peak.starts
        holding.need = 0.0
        if wall >= peak.ends + GIVEN_BACK:
            holding.phase = "over"
        elif wall < begins and begins - wall > self._lead(servers, package):
            holding.phase = "ahead"
        else:
            holding.phase = "making room" if wall < begins else "on" if wall < peak.ends else "giving back"
            rate = expected(own_rate, seen.rate(now), wall - begins, peak.length)
            left = max(0.0, min(1.0, 1 - (wall - peak.ends) / GIVEN_BACK))
            holding.need = left * one_of * rate * self._lasts(peak, seen) / SECOND * self._likely_rate(package, servers)
        return holding.need

    def _weights(self, package: Package, servers: list[Server], total: float) -> dict[Server, float]:
        """How much of what the peak needs belongs on each server: where its titles lie, as they are asked for.

        By size alone, room stood empty on servers whose titles few wanted while those of the wanted ones were full.
        """
        wanted = self.wanted[package]
        return {server: wanted.get(server, 0.0) + UNLEARNED * server.link.size / total for server in servers}

    def _hold(self, package: Package, need: float, most: float, one_of: float, weights: dict[Link, float]) -> None:
        """Shares what is needed over links by weight; what one may not hold goes to the others, once."""
        weights = {link: weight for link, weight in weights.items() if link.size < inf}
        whole = sum(weights.values())
        if not whole:
            return
        rooms = {link: min(most * link.size, need * weight / whole) for link, weight in weights.items()}
        left, open_ones = need - sum(rooms.values()), sum(most * link.size - room for link, room in rooms.items())
        for link, room in rooms.items():
            if left > 0 and open_ones > 0:
                room += (most * link.size - room) * min(1.0, left / open_ones)
            # where not even one would fit over its floor, room helps nobody
            if room < package.rates[package.floor]:
                continue
            used = sum(viewing.held_rate for viewing in link.playing if viewing.package is package)
            if room / one_of > used:
                link.holds[package] = room / one_of - used
                self.held.add(link)

    # ---- figures

    @staticmethod
    def _links(servers: list[Server]) -> list[Server]:
        """What may be sent to; what drains or is gone has no room to hold."""
        return [server for server in servers if server.open and server.link.size < inf]

    def _lasts(self, peak: Peak, seen: ArrivalStatistics) -> float:
        return peak.lasts or (seen.length if seen.lengths else LASTS)

    def _lead(self, servers: list[Server], package: Package) -> int:
        """How long ahead room has to be made: until about half of what plays there has ended. Steps free some of it
        sooner, but only where there are rungs to step."""
        lengths = [seen.length for other, seen in self.seen.items() if other is not package and seen.lengths]
        usual = sum(lengths) / len(lengths) if lengths else LASTS
        playing = [viewing for server in servers for viewing in server.link.playing if viewing.package is not package]
        low = sum(viewing.rung <= viewing.package.floor for viewing in playing) / len(playing) if playing else 0.0
        return int(min(MOST_LEAD, max(LEAST_LEAD, usual * (0.25 + 0.45 * low))))

    @staticmethod
    def _likely_rate(package: Package, servers: list[Server]) -> float:
        """The rate at which its viewings play here, or a rung over the floor where too few do."""
        rates = [viewing.held_rate for server in servers for viewing in server.link.playing if viewing.package is package]
        modest = package.rates[min(package.floor + 1, package.top)]
        return max(modest, sum(rates) / len(rates)) if len(rates) >= FEW else modest
