"""`python -m curlewshift.soak.plants NAME`: a node process with one planted fault, to see that the judge catches it.

Started by trials alone; no node that serves anyone is made from it.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from curlewshift.desk import desk
from curlewshift.node import __main__ as start
from curlewshift.node import node, reach, releases, rtsp
from curlewshift.node.door import Door
from curlewshift.node.follower import Follower
from curlewshift.rules import Rules


class NoReleases(releases.Releases):
    """Lets a further attempt follow at once on another connection, behind a release that is still on its way."""

    def before(self, server, id):
        return None


class ReleaseElsewhere(reach.Reach):
    """Gives an attempt up on another connection than its own, and waits for nothing."""

    def _release(self, line, server, id, cause):
        other = next((one for one in line.endpoint.lines if one is not line and one.up), None)
        (other or self._open(line.endpoint)).send(reach.isup.release(id, cause))


class AnswersTwice(Door):
    def answer(self, asked, answer, description=b""):
        line = asked.line
        known = self.asked.get(asked.name) is asked
        super().answer(asked, answer, description)
        if known and int(asked.name, 16) % 50 == 0:
            line.wire.send(rtsp.answer(500, "1", asked.name))


class DropsOnDrain(node.Node):
    """Ends at once on SIGTERM, with what it has taken."""

    async def _end(self):
        self.draining, self.ready = True, False
        self.tasks.cancel_scope.cancel()


class StaleList(Follower):
    """Never asks again once its first connection has ended."""

    async def run(self):
        await self._follow([])


class StaysAfterLeaving(node.Node):
    """Does not tell the desk that a client has left."""

    def gave_up(self, request):
        pass

    def read_first(self, tune_in, then):
        return False


class ColdBurst(Rules):
    """Sends a cold server whatever it has room for."""

    def _own_part_left(self, server, now):
        return True

    def _may_send(self, server):
        return server.open


class ResendsPaid(Rules):
    """Sends a paid set-up again though it may have run."""

    def ended(self, vw, outcome, closed):
        if not vw.package.paid_at_setup or closed or vw.playing or vw.over:
            super().ended(vw, outcome, closed)
            return
        vw.package.paid_at_setup = False
        try:
            super().ended(vw, outcome, closed)
        finally:
            vw.package.paid_at_setup = True


class IgnoresList(node.Node):
    """Takes no word that a server drains or is gone."""

    def _listed(self, rows, full, version, stale=False):
        def ready(told):
            rows(lambda name, address, state, *rest: told(name, address, 0, *rest))

        super()._listed(ready, False, version, stale)


def _with_rules(rules: type[Rules]) -> None:
    desk.Desk.__init__.__defaults__ = (rules, *desk.Desk.__init__.__defaults__[1:])


PLANTS: dict[str, Callable[[], None]] = {
    "retry-before-release": lambda: setattr(reach, "Releases", NoReleases),
    "release-on-another-connection": lambda: setattr(node, "Reach", ReleaseElsewhere),
    "answer-twice": lambda: setattr(node, "Door", AnswersTwice),
    "drop-on-drain": lambda: setattr(node, "Node", DropsOnDrain),
    "stale-list-after-outage": lambda: setattr(node, "Follower", StaleList),
    "serve-after-leaving": lambda: setattr(node, "Node", StaysAfterLeaving),
    "cold-burst": lambda: _with_rules(ColdBurst),
    "resend-unsafe": lambda: _with_rules(ResendsPaid),
    "ignore-drains": lambda: setattr(node, "Node", IgnoresList),
}


if __name__ == "__main__":
    PLANTS[sys.argv[1]]()
    start.main()
