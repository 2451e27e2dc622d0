"""`python -m curlewshift.fault_injection.node_planted_faults NAME`: a front node that does not see one way in which
viewers leave. Started by node_day.py alone, to see that its judge catches each; no node that serves anyone is made from it."""

from __future__ import annotations

import sys

from curlewshift.node import __main__ as start
from curlewshift.node import node
from curlewshift.node.client_listener import ClientListener, rtsp


class DeafToEnds(ClientListener):
    """Takes the end of a connection for nothing that its requests have to do with."""

    def _connection_ended(self, connection):
        connection.waiting.clear()
        super()._connection_ended(connection)

    def read_first(self, name, then):
        client_session = self.sessions.get(name)
        return client_session is not None and not client_session.connection.transport.gone and super().read_first(name, then)


class DeafToCancels(ClientListener):
    """Takes a cancel, and forgets it."""

    def _handle_teardown(self, connection, name, number, message):
        client_session = self.sessions.get(name)
        if client_session is None or client_session.front_session is not None:
            super()._handle_teardown(connection, name, number, message)
        else:
            connection.transport.send(rtsp.answer(200, number, name))


class DeafNode(node.Node):
    """Does not tell the desk that a viewer has left."""

    def cancel_request(self, request):
        pass


FAULTS = {
    "deaf-to-ends": lambda: setattr(node, "ClientListener", DeafToEnds),
    "deaf-to-cancels": lambda: setattr(node, "ClientListener", DeafToCancels),
    "deaf-to-leaving": lambda: setattr(node, "Node", DeafNode),
}


if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    start.main()
