"""`python -m curlewshift.fault_injection.node_planted_faults NAME`: a front node with a planted fault, which ignores one of the
ways in which viewers leave. Started only by node_day.py, to check that its judge detects each fault; never used in service."""

from __future__ import annotations

import sys

from curlewshift.node import __main__ as start
from curlewshift.node import node
from curlewshift.node.client_listener import ClientListener, rtsp


class IgnoresConnectionEnds(ClientListener):
    """Does not cancel the requests of a connection that has ended."""

    def _left(self, connection):
        connection.waiting.clear()
        super()._left(connection)

    def read_first(self, name, then):
        asked = self.asked.get(name)
        return asked is not None and not asked.connection.wire.gone and super().read_first(name, then)


class IgnoresCancels(ClientListener):
    """Confirms the cancel of a pending request and does nothing else."""

    def _torn_down(self, connection, name, number, message):
        asked = self.asked.get(name)
        if asked is None or asked.front_session is not None:
            super()._torn_down(connection, name, number, message)
        else:
            connection.wire.send(rtsp.answer(200, number, name))


class IgnoresAbandonedRequests(node.Node):
    """Does not notify the session core that a viewer has left."""

    def gave_up(self, request):
        pass


FAULTS = {
    "deaf-to-ends": lambda: setattr(node, "ClientListener", IgnoresConnectionEnds),
    "deaf-to-cancels": lambda: setattr(node, "ClientListener", IgnoresCancels),
    "deaf-to-leaving": lambda: setattr(node, "Node", IgnoresAbandonedRequests),
}


if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    start.main()
