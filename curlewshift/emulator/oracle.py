"""A policy that reads the true state of every machine; used only to estimate how far a run was from the optimum.

It places each viewing on the running server with the most free bandwidth, at the highest rung that fits there, and knows of
crashes and hangs at once. The obligations apply to it as to the rules: a cold server gets no more than its share of tune-ins.
"""

from __future__ import annotations

from curlewshift.model import Server, Viewing
from curlewshift.rules import Rules


class Oracle(Rules):
    """`sees` is the emulated world; the front that uses this policy sets it."""

    sees = None

    def _place(self, viewing: Viewing) -> None:
        seats_left = not viewing.package.seats or self.seats[viewing.title, viewing.package] < viewing.package.seats
        late = viewing.tune_ins >= self.max_tune_ins or self.host.now() >= viewing.expires
        available = [server for server in self._open_to(viewing) if self._available(server)]
        if late or not seats_left or not self._budget_left(viewing) or not available:
            self._block(viewing)
            return
        best = max(available, key=lambda server: (self._free_bandwidth(server), server.placement_hash))
        free_bandwidth = self._free_bandwidth(best)
        fitting_rungs = [
            rung
            for rung in range(viewing.package.floor, min(viewing.ceiling, viewing.package.top) + 1)
            if viewing.package.rates[rung] <= free_bandwidth
        ]
        if fitting_rungs:
            self._tune_in(viewing, best, max(fitting_rungs))
        elif free_bandwidth > -0.05 * best.link.size:
            self._tune_in(viewing, best, viewing.package.floor)
        else:
            self._block(viewing)

    def _available(self, server: Server) -> bool:
        machine = self.sees.machines.get(server.name)
        return machine is not None and not (
            machine.dead or machine.frozen or machine.draining or machine.fails_fast or machine.loses_answers
        )

    def _free_bandwidth(self, server: Server) -> float:
        link = self.sees.machines[server.name].link
        return min(link.gives() - link.asked, link.uplink.size - link.uplink.asked())
