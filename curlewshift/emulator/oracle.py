"""A policy that sees the true state of every machine: how far from the best possible a day was, and no more.

It places on the living machine that truly has most room, at the highest rung that truly fits there; it knows of deaths
and hangs at once. Duties bind it as they bind the rules: it sends nothing to a cold server beyond its part.
"""

from __future__ import annotations

from curlewshift.model import Server, Viewing
from curlewshift.rules import Rules


class Oracle(Rules):
    """`sees` is the world, set by the front that has it."""

    sees = None

    def _place(self, vw: Viewing) -> None:
        seats_left = not vw.package.seats or self.seats[vw.title, vw.package] < vw.package.seats
        late = vw.tune_ins >= self.max_tune_ins or self.host.now() >= vw.expires
        able = [server for server in self._open_to(vw) if self._able(server)]
        if late or not seats_left or not self._budget_left(vw) or not able:
            self._block(vw)
            return
        best = max(able, key=lambda server: (self._true_room(server), server.mark))
        room = self._true_room(best)
        fits = [rung for rung in range(vw.package.floor, min(vw.ceiling, vw.package.top) + 1) if vw.package.rates[rung] <= room]
        if fits:
            self._tune_in(vw, best, max(fits))
        elif room > -0.05 * best.link.size:
            self._tune_in(vw, best, vw.package.floor)
        else:
            self._block(vw)

    def _able(self, server: Server) -> bool:
        machine = self.sees.machines.get(server.name)
        return machine is not None and not (
            machine.dead or machine.frozen or machine.draining or machine.fails_fast or machine.loses_answers
        )

    def _true_room(self, server: Server) -> float:
        link = self.sees.machines[server.name].link
        return min(link.gives() - link.asked, link.uplink.size - link.uplink.asked())
