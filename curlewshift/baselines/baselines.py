"""Simple policies in one place, to say what the rules are worth beside them.

Each differs from the rules in how a viewing is placed, and where said in that nothing is stepped; all else, the guards
on what may be sent among them, is the rules' own, so that a comparison is one of placing.
"""

from __future__ import annotations

from curlewshift.model import Server, Viewing
from curlewshift.rules import Rules


class Simple(Rules):
    """`_pick` chooses among the holders that may be sent to, on the highest rung the viewer allows."""

    def _place(self, viewing: Viewing) -> None:
        seats_left = not viewing.package.seats or self.seats[viewing.title, viewing.package] < viewing.package.seats
        late = viewing.tune_ins >= self.max_tune_ins or self.host.now() >= viewing.expires
        open_ones = [server for server in self._open_to(viewing) if server not in viewing.tried]
        if late or not seats_left or not self._budget_left(viewing) or not open_ones:
            self._block(viewing)
            return
        self._tune_in(viewing, self._pick(viewing, open_ones), self._rung(viewing))

    def _pick(self, viewing: Viewing, servers: list[Server]) -> Server:
        raise NotImplementedError

    def _rung(self, viewing: Viewing) -> int:
        return max(viewing.package.floor, min(viewing.ceiling, viewing.package.top))

    def _told_use(self, server: Server) -> float:
        """The last report as it stood, whatever its age."""
        return (server.link.own + server.link.others) / server.link.size


class RandomHolder(Simple):
    def _pick(self, viewing, servers):
        return self.chance.choice(servers)


class LeastReported(Simple):
    """The lowest last report wins: all fronts that heard the same one send to the same server."""

    def _pick(self, viewing, servers):
        return min(servers, key=lambda server: (self._told_use(server), server.name))


class TwoChoices(Simple):
    """The better of two drawn by chance (Mitzenmacher 2001)."""

    def _pick(self, viewing, servers):
        drawn = self.chance.sample(servers, min(2, len(servers)))
        return min(drawn, key=self._told_use)


class RoundRobin(Simple):
    turn = 0

    def _pick(self, viewing, servers):
        self.turn += 1
        return servers[self.turn % len(servers)]


class FixedRung(Rules):
    """The rules' choice of server, always on the lowest rung allowed, and no steps or climbs after."""

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
