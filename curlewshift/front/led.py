"""A server pool for fault injection runs: the path to all servers can be cut, and the process can be stopped between its check
of a lease and the probe that it sends under it.

Only a front started with `--led` uses it.
"""

from __future__ import annotations

import os
import signal

from curlewshift.exchange.client import RequestNotSent
from curlewshift.front.server_pool import ServerPool
from curlewshift.model import Outcome


class FaultInjectingServerPool(ServerPool):
    """`path_lost` and `stop_before_probe` are set by control commands."""

    path_lost = stop_before_probe = False

    async def _connection(self, server, timeout_s, fresh=False):
        if self.path_lost:
            raise RequestNotSent("the path to the servers is cut by a control command")
        return await super()._connection(server, timeout_s, fresh)

    async def _probe(self, server, fence, on_report=None):
        if fence and self.stop_before_probe:
            # the lease has just been checked; when the process is continued, another front may hold it
            self.stop_before_probe = False
            os.kill(os.getpid(), signal.SIGSTOP)
        if self.path_lost:
            self.session_core.probed(server, Outcome.UNREACHED)
        else:
            await super()._probe(server, fence, on_report)
