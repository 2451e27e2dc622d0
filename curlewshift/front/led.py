"""Hands at the servers that are led astray on purpose, as rehearsals do: the path to all servers may be lost.

Only a front started with `--led` has them.
"""

from __future__ import annotations

from curlewshift.exchange.client import NeverSent
from curlewshift.front.reach import Reach
from curlewshift.model import Outcome


class LedReach(Reach):
    lost = False

    async def _connection(self, server, within, fresh=False):
        if self.lost:
            raise NeverSent("the path is led to be lost")
        return await super()._connection(server, within, fresh)

    async def _probe(self, server, fence):
        if self.lost:
            self.desk.probed(server, Outcome.UNREACHED)
        else:
            await super()._probe(server, fence)
