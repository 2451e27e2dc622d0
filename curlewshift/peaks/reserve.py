"""A baseline for comparison only: a fixed share of every link kept free for one package at all times."""

from __future__ import annotations

from math import inf

from curlewshift.model import Package, Server
from curlewshift.peaks.peaks import Peaks


class FixedReserve(Peaks):
    """Holds `share` of every link for `package`, independent of demand."""

    package: Package
    share: float

    def tick(self, now: int, wall: int, servers: list[Server]) -> None:
        for link in self.held_links:
            link.holds.clear()
        self.held_links.clear()
        servers = self._links(servers)
        for links in ([server.link for server in servers], {server.rack.link for server in servers}):
            size = sum(link.size for link in links if link.size < inf)
            self._hold(self.package, self.share * size, self.share, {link: link.size for link in links})
