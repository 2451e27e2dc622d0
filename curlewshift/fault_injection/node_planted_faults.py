"""`python -m curlewshift.fault_injection.node_planted_faults NAME`: a front node that does not see one way in which
viewers leave. Started by node_day.py alone, to see that its judge catches each; no node that serves anyone is made from it."""

from __future__ import annotations

import sys

from curlewshift.node import __main__ as start
from curlewshift.node import node
from curlewshift.node.client_listener import ClientListener, rtsp


class DeafToEnds(ClientListener):
    """Takes the end of a connection for nothing that its requests have to do with."""

    def _left(self, connection):
        connection.waiting.clear()
        super()._left(connection)

    def read_first(self, name, then):
        asked = self.asked.get(name)
        return asked is not None and not asked.connection.wire.gone and super().read_first(name, then)


class DeafToCancels(ClientListener):
    """Takes a cancel, and forgets it."""

    def _torn_down(self, connection, name, number, message):
        asked = self.asked.get(name)
        if asked is None or asked.front_session is not None:
            super()._torn_down(connection, name, number, message)
        else:
            connection.wire.send(rtsp.answer(200, number, name))


class DeafNode(node.Node):
    """Does not tell the desk that a viewer has left."""

    def gave_up(self, request):
        pass


FAULTS = {
    "deaf-to-ends": lambda: setattr(node, "ClientListener", DeafToEnds),
    "deaf-to-cancels": lambda: setattr(node, "ClientListener", DeafToCancels),
    "deaf-to-leaving": lambda: setattr(node, "Node", DeafNode),
}


if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    start.main()
