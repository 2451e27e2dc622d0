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

    def _place(self, viewing: Viewing) -> None:
        seats_left = not viewing.package.seats or self.seats[viewing.title, viewing.package] < viewing.package.seats
        late = viewing.tune_ins >= self.max_tune_ins or self.host.now() >= viewing.expires
        able = [server for server in self._open_to(viewing) if self._able(server)]
        if late or not seats_left or not self._budget_left(viewing) or not able:
            self._block(viewing)
            return
        best = max(able, key=lambda server: (self._true_room(server), server.placement_hash))
        room = self._true_room(best)
        fits = [
            rung
            for rung in range(viewing.package.floor, min(viewing.ceiling, viewing.package.top) + 1)
            if viewing.package.rates[rung] <= room
        ]
        if fits:
            self._tune_in(viewing, best, max(fits))
        elif room > -0.05 * best.link.size:
            self._tune_in(viewing, best, viewing.package.floor)
        else:
            self._block(viewing)

    def _able(self, server: Server) -> bool:
        machine = self.sees.machines.get(server.name)
        return machine is not None and not (
            machine.dead or machine.frozen or machine.draining or machine.fails_fast or machine.loses_answers
        )

    def _true_room(self, server: Server) -> float:
        link = self.sees.machines[server.name].link
        return min(link.gives() - link.asked, link.uplink.size - link.uplink.asked())
