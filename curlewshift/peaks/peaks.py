"""Decides how much room this front holds for announced peaks, on which links, from when and until when.

Called by the session core: once a second, and at each arrival, start and end of a viewing. The result is written to
`Link.holds`, where the rules count it as used for all packages but its own. This module sends, steps and refuses nothing
itself, so all effects of a hold come from the rules. Each front holds its own share, independently of the others.

A hold is what the peak will need, less what its package uses already. By Little's law, the need is the arrivals a second
times the duration of viewings times the rate of the rung they are likely to get. It is divided over links by where the
requested titles of the package are held. Capacity lost with a server reduces the hold in proportion, and the share of a
link that is held never exceeds the announced one.
"""

from __future__ import annotations

from collections.abc import Collection
from math import inf

from curlewshift.model import Link, Package, Server, Viewing
from curlewshift.peaks.calendar import Calendar, Peak
from curlewshift.peaks.forecast import ArrivalStatistics, began_early, expected_rate

SECOND = 1_000_000_000
# Assumed duration of a viewing until one has ended.
DEFAULT_DURATION = 20 * SECOND
# Bounds on how long before a peak room is made for it.
MIN_LEAD, MAX_LEAD = 2 * SECOND, 60 * SECOND
# After the end of a peak its hold is released linearly over this time, so that other viewings do not all climb into the
# room in one second while the last viewers of the peak still arrive.
RELEASE_DURATION = 4 * SECOND
# The weights of servers are learned from at most this many arrivals; until then links count by their size, with the
# weight of PRIOR_ARRIVALS arrivals.
MAX_ARRIVALS = 200
PRIOR_ARRIVALS = 10
# The rates of playing viewings are used from this many viewings of the package on.
MIN_VIEWINGS = 3


class HoldState:
    """The state of the hold for one peak: its phase and what it needs now (kB/s)."""

    __slots__ = ("early_start", "need", "peak", "phase")

    def __init__(self, peak: Peak):
        self.peak = peak
        # Unix time (ns) at which it was found to have begun early, 0 if it was not
        self.early_start, self.phase, self.need = 0, "ahead", 0.0


class Peaks:
    """Holds room for the peaks of a calendar. `fronts` is the number of fronts; each holds an equal share by default."""

    def __init__(self, calendar: Calendar, fronts: int, now: int):
        self.calendar, self.fronts = calendar, max(1, fronts)
        self.statistics = {package: ArrivalStatistics(now) for package in calendar.packages.values()}
        self.playing_since: dict[Viewing, int] = {}
        self.hold_states: dict[str, HoldState] = {}
        self.held_links: set[Link] = set()
        self.full_size = 0.0
        # arrivals of each package by the servers that could have played them, and how many arrivals these are
        self.arrivals_by_server: dict[Package, dict[Server, float]] = {package: {} for package in self.statistics}
        self.arrival_counts: dict[Package, float] = {package: 0.0 for package in self.statistics}
        # this front's share of a hold where one front plans for all, and until when it is valid (ns)
        self.planned_parts: dict[Package, tuple[float, int]] = {}

    # ---- observations

    def request_arrived(self, package: Package, now: int, holders: list[Server]) -> None:
        """A viewing of the package was requested whose title these servers hold."""
        self.statistics[package].record_arrival(now)
        counts = self.arrivals_by_server[package]
        for server in holders:
            counts[server] = counts.get(server, 0.0) + 1 / len(holders)
        self.arrival_counts[package] += 1
        if self.arrival_counts[package] > MAX_ARRIVALS:
            # halved, so that old arrivals lose weight and servers that are gone drop out
            self.arrival_counts[package] /= 2
            self.arrivals_by_server[package] = {server: part / 2 for server, part in counts.items() if part > 0.02}

    def started(self, viewing: Viewing, now: int) -> None:
        """The viewing plays from now on."""
        self.playing_since[viewing] = now

    def ended(self, viewing: Viewing, now: int) -> None:
        """The viewing has ended; its duration counts if its start was seen."""
        started_at = self.playing_since.pop(viewing, None)
        if started_at is not None:
            self.statistics[viewing.package].record_duration(now - started_at)

    def planned(self, package: Package, part: float, until: int) -> None:
        """This front's share of the hold, planned by where viewings of the peak are requested; valid until then (ns)."""
        self.planned_parts[package] = min(1.0, max(part, 1e-3)), until

    def request_rates(self, now: int) -> dict[str, float]:
        """Recent requests a second at this front, by package, for the packages with announced peaks."""
        announced = {peak.package for peak in self.calendar.peaks.values()}
        return {name: self.statistics[self.calendar.packages[name]].rate(now) for name in sorted(announced)}

    def share_divisor(self, package: Package, now: int) -> float:
        """The number by which a hold is divided for this front: the inverse of its planned share, or the number of fronts."""
        part, until = self.planned_parts.get(package, (0.0, 0))
        return 1 / part if now < until else self.fronts

    # ---- decisions

    def tick(self, now: int, wall: int, servers: Collection[Server]) -> None:
        """Updates all holds; called once a second. Does nothing while the calendar is empty."""
        if not self.calendar.peaks and not self.held_links:
            return
        self.calendar.remove_ended(wall, RELEASE_DURATION)
        for name in [name for name in self.hold_states if name not in self.calendar.peaks]:
            del self.hold_states[name]
        links = self._links(servers)
        for link in self.held_links:
            link.holds.clear()
        self.held_links.clear()
        total = sum(server.link.size for server in links)
        # the largest size since the first current hold: holds shrink with the capacity lost since
        self.full_size = max(self.full_size, total) if self.hold_states else total
        demand: dict[Package, tuple[float, float]] = {}
        for peak in self.calendar.peaks.values():
            need = self._need(peak, now, wall, servers)
            package = self.calendar.packages[peak.package]
            # two peaks of one package are the same demand announced twice: the larger one counts
            demand[package] = max(demand.get(package, (0.0, 0.0)), (need, peak.most))
        for package, (need, max_share) in demand.items():
            if need > 0 and total > 0:
                weights = self._weights(package, links, total)
                divisor = self.share_divisor(package, now)
                self._hold(
                    package,
                    need * total / self.full_size,
                    max_share,
                    divisor,
                    {server.link: weight for server, weight in weights.items()},
                )
                uplink_weights: dict[Link, float] = {}
                for server, weight in weights.items():
                    uplink_weights[server.rack.link] = uplink_weights.get(server.rack.link, 0.0) + weight
                self._hold(package, need * total / self.full_size, max_share, divisor, uplink_weights)

    def _need(self, peak: Peak, now: int, wall: int, servers: list[Server]) -> float:
        """What the peak needs now (kB/s), at all fronts together."""
        package = self.calendar.packages[peak.package]
        holding = self.hold_states.get(peak.name)
        if holding is None or holding.peak is not peak:
            holding = self.hold_states[peak.name] = HoldState(peak)
        divisor = self.share_divisor(package, now)
        statistics, own_rate = self.statistics[package], peak.rate / divisor
        starts_in = peak.starts - wall
        if not holding.early_start and began_early(own_rate, statistics, now, starts_in, peak.length):
            holding.early_start = wall
        if holding.early_start > wall:
            # the wall clock was set back
            holding.early_start = 0
        begins = holding.early_start or peak.starts
        holding.need = 0.0
        if wall >= peak.ends + RELEASE_DURATION:
            holding.phase = "over"
        elif wall < begins and begins - wall > self._lead_time(servers, package):
            holding.phase = "ahead"
        else:
            holding.phase = "making room" if wall < begins else "on" if wall < peak.ends else "giving back"
            rate = expected_rate(own_rate, statistics.rate(now), wall - begins, peak.length)
            left = max(0.0, min(1.0, 1 - (wall - peak.ends) / RELEASE_DURATION))
            holding.need = left * divisor * rate * self._duration(peak, statistics) / SECOND * self._likely_rate(package, servers)
        return holding.need

    def _weights(self, package: Package, servers: list[Server], total: float) -> dict[Server, float]:
        """The weight of each server in dividing the hold, by the requests for the titles that it holds.

        By size alone, room stayed empty on servers with rarely requested titles while servers with the popular ones
        were full.
        """
        counts = self.arrivals_by_server[package]
        return {server: counts.get(server, 0.0) + PRIOR_ARRIVALS * server.link.size / total for server in servers}

    def _hold(self, package: Package, need: float, max_share: float, divisor: float, weights: dict[Link, float]) -> None:
        """Divides the need over links by weight; what exceeds the limit of one link is divided over the others, once."""
        weights = {link: weight for link, weight in weights.items() if link.size < inf}
        total_weight = sum(weights.values())
        if not total_weight:
            return
        rooms = {link: min(max_share * link.size, need * weight / total_weight) for link, weight in weights.items()}
        left, spare = need - sum(rooms.values()), sum(max_share * link.size - room for link, room in rooms.items())
        for link, room in rooms.items():
            if left > 0 and spare > 0:
                room += (max_share * link.size - room) * min(1.0, left / spare)
            # room that does not fit even one viewing on its floor rung is of no use
            if room < package.rates[package.floor]:
                continue
            used = sum(viewing.held_rate for viewing in link.playing if viewing.package is package)
            if room / divisor > used:
                link.holds[package] = room / divisor - used
                self.held_links.add(link)

    # ---- estimates

    @staticmethod
    def _links(servers: list[Server]) -> list[Server]:
        """The servers that may be sent to; a draining or gone server has no room to hold."""
        return [server for server in servers if server.open and server.link.size < inf]

    def _duration(self, peak: Peak, statistics: ArrivalStatistics) -> float:
        return peak.lasts or (statistics.mean_duration if statistics.duration_count else DEFAULT_DURATION)

    def _lead_time(self, servers: list[Server], package: Package) -> int:
        """How long before the peak to start making room (ns): until about half of what plays has ended. Steps down free
        room sooner, but only where viewings are uplink_weights their floor."""
        durations = [
            statistics.mean_duration
            for other, statistics in self.statistics.items()
            if other is not package and statistics.duration_count
        ]
        usual = sum(durations) / len(durations) if durations else DEFAULT_DURATION
        playing = [viewing for server in servers for viewing in server.link.playing if viewing.package is not package]
        floor_share = sum(viewing.rung <= viewing.package.floor for viewing in playing) / len(playing) if playing else 0.0
        return int(min(MAX_LEAD, max(MIN_LEAD, usual * (0.25 + 0.45 * floor_share))))

    @staticmethod
    def _likely_rate(package: Package, servers: list[Server]) -> float:
        """The mean rate of the package's viewings here, and at least that of one rung over the floor (kB/s)."""
        rates = [viewing.held_rate for server in servers for viewing in server.link.playing if viewing.package is package]
        modest = package.rates[min(package.floor + 1, package.top)]
        return max(modest, sum(rates) / len(rates)) if len(rates) >= MIN_VIEWINGS else modest
