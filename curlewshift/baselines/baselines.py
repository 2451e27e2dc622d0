"""Simple policies in one place, to say what the rules are worth beside them.

Each differs from the rules in how a viewing is placed, and where said in that nothing is stepped; all else, the guards
on what may be sent among them, is the rules' own, so that a comparison is one of placing.
"""

from __future__ import annotations

from curlewshift.model import Server, Viewing
from curlewshift.rules import Rules


class Simple(Rules):
    """`_pick` chooses among the holders that may be sent to, on the highest rung the viewer allows."""

    def _place(self, vw: Viewing) -> None:
        seats_left = not vw.package.seats or self.seats[vw.title, vw.package] < vw.package.seats
        late = vw.tune_ins >= self.max_tune_ins or self.host.now() >= vw.expires
        open_ones = [server for server in self._open_to(vw) if server not in vw.tried]
        if late or not seats_left or not self._budget_left(vw) or not open_ones:
            self._block(vw)
            return
        self._tune_in(vw, self._pick(vw, open_ones), self._rung(vw))

    def _pick(self, vw: Viewing, servers: list[Server]) -> Server:
        raise NotImplementedError

    def _rung(self, vw: Viewing) -> int:
        return max(vw.package.floor, min(vw.ceiling, vw.package.top))

    def _told_use(self, server: Server) -> float:
        """The last report as it stood, whatever its age."""
        return (server.link.own + server.link.others) / server.link.size


class RandomHolder(Simple):
    def _pick(self, vw, servers):
        return self.chance.choice(servers)


class LeastReported(Simple):
    """The lowest last report wins: all fronts that heard the same one send to the same server."""

    def _pick(self, vw, servers):
        return min(servers, key=lambda server: (self._told_use(server), server.name))


class TwoChoices(Simple):
    """The better of two drawn by chance (Mitzenmacher 2001)."""

    def _pick(self, vw, servers):
        drawn = self.chance.sample(servers, min(2, len(servers)))
        return min(drawn, key=self._told_use)


class RoundRobin(Simple):
    turn = 0

    def _pick(self, vw, servers):
        self.turn += 1
        return servers[self.turn % len(servers)]


class FixedRung(Rules):
    """The rules' choice of server, always on the lowest rung allowed, and no steps or climbs after."""

    def _place(self, vw):
        ceiling, vw.ceiling = vw.ceiling, vw.package.floor
        try:
            super()._place(vw)
        finally:
            vw.ceiling = ceiling

    def _relieve(self, link):
        link.owed = 0.0

    def _climb(self, server):
        pass


BASELINES: dict[str, type[Rules]] = {
    "random": RandomHolder,
    "least-reported": LeastReported,
    "two-choices": TwoChoices,
    "round-robin": RoundRobin,
    "fixed-rung": FixedRung,
}
