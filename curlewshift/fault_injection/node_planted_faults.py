"""`python -m curlewshift.fault_injection.node_planted_faults NAME`: a front node with a planted fault, which ignores one of the
ways in which viewers leave. Started only by node_day.py, to check that its judge detects each fault; never used in service."""

from __future__ import annotations

import sys

from curlewshift.node import __main__ as start
from curlewshift.node import node
from curlewshift.node.client_listener import ClientListener, rtsp


class IgnoresConnectionEnds(ClientListener):
    """Does not cancel the requests of a connection that has ended."""

    def _connection_ended(self, connection):
        connection.waiting.clear()
        super()._connection_ended(connection)

    def read_first(self, name, then):
        client_session = self.sessions.get(name)
        return client_session is not None and not client_session.connection.transport.gone and super().read_first(name, then)


class IgnoresCancels(ClientListener):
    """Confirms the cancel of a pending request and does nothing else."""

    def _handle_teardown(self, connection, name, number, message):
        client_session = self.sessions.get(name)
        if client_session is None or client_session.front_session is not None:
            super()._handle_teardown(connection, name, number, message)
        else:
            connection.transport.send(rtsp.answer(200, number, name))


class IgnoresAbandonedRequests(node.Node):
    """Does not notify the session core that a viewer has left."""

    def cancel_request(self, request):
        pass


FAULTS = {
    "deaf-to-ends": lambda: setattr(node, "ClientListener", IgnoresConnectionEnds),
    "deaf-to-cancels": lambda: setattr(node, "ClientListener", IgnoresCancels),
    "deaf-to-leaving": lambda: setattr(node, "Node", IgnoresAbandonedRequests),
}


if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    start.main()
