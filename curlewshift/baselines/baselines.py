"""Simple placement policies that the rules are compared with.

Each differs from the rules in how a viewing is placed and, where stated, in never changing its rung afterwards. Everything
else, including the limits on what may be sent to a server, is inherited from the rules, so that only placement is compared.
"""

from __future__ import annotations

from curlewshift.model import Server, Viewing
from curlewshift.rules import Rules


class SimplePolicy(Rules):
    """Places a viewing at a holder that `_pick` chooses among those open to it, on the highest rung the viewer allows."""

    def _place(self, viewing: Viewing) -> None:
        seats_left = not viewing.package.seats or self.seats[viewing.title, viewing.package] < viewing.package.seats
        expired = viewing.tune_ins >= self.max_tune_ins or self.host.now() >= viewing.expires
        candidates = [server for server in self._open_to(viewing) if server not in viewing.tried]
        if expired or not seats_left or not self._budget_left(viewing) or not candidates:
            self._block(viewing)
            return
        self._tune_in(viewing, self._pick(viewing, candidates), self._rung(viewing))

    def _pick(self, viewing: Viewing, servers: list[Server]) -> Server:
        raise NotImplementedError

    def _rung(self, viewing: Viewing) -> int:
        return max(viewing.package.floor, min(viewing.ceiling, viewing.package.top))

    def _reported_use(self, server: Server) -> float:
        """Part of the link in use (0 to 1) by the last report, regardless of its age."""
        return (server.link.own + server.link.others) / server.link.size


class RandomHolder(SimplePolicy):
    """Picks any open holder at random."""

    def _pick(self, viewing, servers):
        return self.chance.choice(servers)


class LeastReported(SimplePolicy):
    """Picks the server with the lowest reported use; all fronts that received the same reports pick the same server."""

    def _pick(self, viewing, servers):
        return min(servers, key=lambda server: (self._reported_use(server), server.name))


class TwoChoices(SimplePolicy):
    """Picks the less used of two servers drawn at random (Mitzenmacher 2001)."""

    def _pick(self, viewing, servers):
        drawn = self.chance.sample(servers, min(2, len(servers)))
        return min(drawn, key=self._reported_use)


class RoundRobin(SimplePolicy):
    """Picks the open holders in turn."""

    placements = 0

    def _pick(self, viewing, servers):
        self.placements += 1
        return servers[self.placements % len(servers)]


class FixedRung(Rules):
    """Picks the server as the rules do, always on the lowest rung allowed, and never steps down or climbs afterwards."""

    def _place(self, viewing):
        ceiling, viewing.ceiling = viewing.ceiling, viewing.package.floor
        try:
            super()._place(viewing)
        finally:
            viewing.ceiling = ceiling

    def _relieve(self, link):
        link.reduction_due = 0.0

    def _climb(self, server):
        pass


BASELINES: dict[str, type[Rules]] = {
    "random": RandomHolder,
    "least-reported": LeastReported,
    "two-choices": TwoChoices,
    "round-robin": RoundRobin,
    "fixed-rung": FixedRung,
}
