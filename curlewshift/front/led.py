"""Hands at the servers that are led astray on purpose, as rehearsals do: the path to all servers may be lost, and the
process stopped in the middle of an act.

Only a front started with `--led` has them.
"""

from __future__ import annotations

import os
import signal

from curlewshift.exchange.client import RequestNotSent
from curlewshift.front.server_pool import ServerPool
from curlewshift.model import Outcome


class LedServerPool(ServerPool):
    lost = stops_in_act = False

    async def _connection(self, server, within, fresh=False):
        if self.lost:
            raise RequestNotSent("the path is led to be lost")
        return await super()._connection(server, within, fresh)

    async def _probe(self, server, fence, found=None):
        if fence and self.stops_in_act:
            # the lease was looked at a moment ago; by the time it goes on another may hold it
            self.stops_in_act = False
            os.kill(os.getpid(), signal.SIGSTOP)
        if self.lost:
            self.session_core.probed(server, Outcome.UNREACHED)
        else:
            await super()._probe(server, fence, found)
