"""`python -m curlewshift.soak.plants NAME`: a node process with one planted fault, to see that the judge catches it.

Started by trials alone; no node that serves anyone is made from it.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from curlewshift.node import __main__ as start
from curlewshift.node import client_listener, isup, node, rtsp, server_pool, teardowns
from curlewshift.node.client_listener import ClientListener
from curlewshift.node.follower import Follower
from curlewshift.rules import Rules
from curlewshift.session_core import session_core
from curlewshift.teardown.pending import PendingReleases


class WaitsForNoRelease(PendingReleases):
    """Lets a further attempt follow at once on another connection, behind a release that is still on its way."""

    def blocker(self, server, id):
        return None


class ReleaseElsewhere(teardowns.Teardowns):
    """Gives an attempt up on another connection than its own, and waits for nothing."""

    def attempt_abandoned(self, connection, attempt):
        other = next((one for one in connection.endpoint.connections if one is not connection and one.up), None)
        (other or self.server_pool.open_connection(connection.endpoint)).send(isup.release(attempt.id, isup.ENDED))


class SaysOnce(teardowns.Teardowns):
    """Takes each release as heard once it is written."""

    def connection_up(self, connection):
        for record in self.pending.of(connection.endpoint.server):
            if not record.times_sent:
                self._write(connection, record)

    def run_due_steps(self, endpoint):
        pass


class OneEndAtATime(teardowns.Teardowns):
    """Lets the oldest release that is not confirmed hold up all others to its server."""

    def _write(self, connection, record):
        if record is self.pending.of(record.server)[0]:
            super()._write(connection, record)

    def run_due_steps(self, endpoint):
        head = self.pending.of(endpoint.server)[0]
        if head.next_at <= self.now():
            self._send_again(endpoint, [head])


class AnswersTwice(ClientListener):
    def answer(self, client_session, answer, description=b""):
        connection = client_session.connection
        known = self.sessions.get(client_session.name) is client_session
        super().answer(client_session, answer, description)
        if known and int(client_session.name, 16) % 50 == 0:
            connection.transport.send(rtsp.answer(500, "1", client_session.name))


class HalfAnswers(ClientListener):
    """Cuts some answers off in their bodies, and keeps the connection."""

    def answer(self, client_session, answer, description=b""):
        whole = rtsp.answer
        if int(client_session.name, 16) % 50 == 0 and description:
            client_listener.rtsp.answer = lambda *told, **more: whole(*told, **more)[:-7]
        try:
            super().answer(client_session, answer, description)
        finally:
            client_listener.rtsp.answer = whole


class AnswersOfAnother(ClientListener):
    """Passes some descriptions on to whoever asked next."""

    before = b""

    def answer(self, client_session, answer, description=b""):
        given = self.before if int(client_session.name, 16) % 50 == 0 and self.before and description else description
        AnswersOfAnother.before = description or self.before
        super().answer(client_session, answer, given)


class DropsOnDrain(node.Node):
    """Ends at once on SIGTERM, with what it has taken."""

    async def _shut_down(self):
        self.draining, self.ready = True, False
        self.tasks.cancel_scope.cancel()


class StaleList(Follower):
    """Never asks again once its first connection has ended."""

    async def run(self):
        await self._follow([])


class StaysAfterLeaving(node.Node):
    """Does not tell the desk that a client has left."""

    def cancel_request(self, request):
        pass

    def read_first(self, tune_in, then):
        return False


class ColdBurst(Rules):
    """Sends a cold server whatever it has room for."""

    def _own_share_left(self, server, now):
        return True

    def _may_send(self, server):
        return server.open


class ResendsPaid(Rules):
    """Sends a paid set-up again though it may have run."""

    def ended(self, viewing, outcome, closed):
        if not viewing.package.paid_at_setup or closed or viewing.playing or viewing.ended:
            super().ended(viewing, outcome, closed)
            return
        viewing.package.paid_at_setup = False
        try:
            super().ended(viewing, outcome, closed)
        finally:
            viewing.package.paid_at_setup = True


class IgnoresList(node.Node):
    """Takes no word that a server drains or is gone."""

    def _apply_server_list(self, rows, full, version, stale=False):
        def ready(told):
            rows(lambda name, address, state, *rest: told(name, address, 0, *rest))

        super()._apply_server_list(ready, False, version, stale)


def _with_rules(rules: type[Rules]) -> None:
    session_core.SessionCore.__init__.__defaults__ = (rules, *session_core.SessionCore.__init__.__defaults__[1:])


PLANTS: dict[str, Callable[[], None]] = {
    "retry-before-release": lambda: setattr(teardowns, "PendingReleases", WaitsForNoRelease),
    "release-on-another-connection": lambda: setattr(server_pool, "Teardowns", ReleaseElsewhere),
    "end-once": lambda: setattr(server_pool, "Teardowns", SaysOnce),
    "end-queue-head": lambda: setattr(server_pool, "Teardowns", OneEndAtATime),
    "answer-twice": lambda: setattr(node, "ClientListener", AnswersTwice),
    "half-answer": lambda: setattr(node, "ClientListener", HalfAnswers),
    "answer-of-another": lambda: setattr(node, "ClientListener", AnswersOfAnother),
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
