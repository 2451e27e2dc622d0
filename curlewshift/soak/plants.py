"""`python -m curlewshift.soak.plants NAME` runs a node with one planted fault, to test that the judge detects it.

Started only by trials (`curlewshift soak --plant NAME`), never in service.
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
    """Lets a further attempt follow at once on another connection, before the release of the previous one has been sent."""

    def blocker(self, server, id):
        return None


class ReleasesOnAnotherConnection(teardowns.Teardowns):
    """Releases an abandoned attempt on another connection than its own, and does not wait for it to be sent."""

    def attempt_abandoned(self, connection, attempt):
        other = next((other for other in connection.endpoint.connections if other is not connection and other.up), None)
        (other or self.server_pool.open_connection(connection.endpoint)).send(isup.release(attempt.id, isup.ENDED))


class SendsReleasesOnce(teardowns.Teardowns):
    """Treats a release as confirmed once it is written, and never repeats it."""

    def connection_up(self, connection):
        for record in self.pending.of(connection.endpoint.server):
            if not record.times_sent:
                self._write(connection, record)

    def run_due_steps(self, endpoint):
        pass


class OneReleaseAtATime(teardowns.Teardowns):
    """Sends only the oldest unconfirmed release to a server; all others wait for its confirmation."""

    def _write(self, connection, record):
        if record is self.pending.of(record.server)[0]:
            super()._write(connection, record)

    def run_due_steps(self, endpoint):
        head = self.pending.of(endpoint.server)[0]
        if head.next_at <= self.now():
            self._send_again(endpoint, [head])


class AnswersTwice(ClientListener):
    """Follows the answer to one id in 50 with an error response."""

    def answer(self, client_session, answer, description=b""):
        connection = client_session.connection
        known = self.sessions.get(client_session.name) is client_session
        super().answer(client_session, answer, description)
        if known and int(client_session.name, 16) % 50 == 0:
            connection.transport.send(rtsp.answer(500, "1", client_session.name))


class HalfAnswers(ClientListener):
    """Truncates the body of the answer to one id in 50 and keeps the connection open."""

    def answer(self, client_session, answer, description=b""):
        original_answer = rtsp.answer
        if int(client_session.name, 16) % 50 == 0 and description:
            client_listener.rtsp.answer = lambda *arguments, **options: original_answer(*arguments, **options)[:-7]
        try:
            super().answer(client_session, answer, description)
        finally:
            client_listener.rtsp.answer = original_answer


class AnswersWithPreviousDescription(ClientListener):
    """Answers one id in 50 with the session description of the previous answer."""

    previous_description = b""

    def answer(self, client_session, answer, description=b""):
        sent_description = (
            self.previous_description
            if int(client_session.name, 16) % 50 == 0 and self.previous_description and description
            else description
        )
        AnswersWithPreviousDescription.previous_description = description or self.previous_description
        super().answer(client_session, answer, sent_description)


class DropsOnDrain(node.Node):
    """Exits at once on SIGTERM and drops the requests in progress."""

    async def _shut_down(self):
        self.draining, self.ready = True, False
        self.tasks.cancel_scope.cancel()


class NeverReconnectsToDiscovery(Follower):
    """Does not reconnect to discovery once its first connection has ended."""

    async def run(self):
        await self._follow([])


class ServesAfterLeaving(node.Node):
    """Does not notify the session core that a client has left."""

    def cancel_request(self, request):
        pass

    def read_first(self, tune_in, then):
        return False


class ColdBurst(Rules):
    """Sends a cold server (recently started) as many set-ups as it has room for, without the limit of its warm-up."""

    def _own_share_left(self, server, now):
        return True

    def _may_send(self, server):
        return server.open


class ResendsPaid(Rules):
    """Sends a paid set-up (one that must not run twice) again though it may have run."""

    def ended(self, viewing, outcome, closed):
        if not viewing.package.paid_at_setup or closed or viewing.playing or viewing.ended:
            super().ended(viewing, outcome, closed)
            return
        viewing.package.paid_at_setup = False
        try:
            super().ended(viewing, outcome, closed)
        finally:
            viewing.package.paid_at_setup = True


class IgnoresDrains(node.Node):
    """Ignores the states `draining` and `gone` in the server list."""

    def _apply_server_list(self, rows, full, version, stale=False):
        def ready(apply_row):
            rows(lambda name, address, state, *rest: apply_row(name, address, 0, *rest))

        super()._apply_server_list(ready, False, version, stale)


def _use_rules(rules: type[Rules]) -> None:
    session_core.SessionCore.__init__.__defaults__ = (rules, *session_core.SessionCore.__init__.__defaults__[1:])


PLANTS: dict[str, Callable[[], None]] = {
    "retry-before-release": lambda: setattr(teardowns, "PendingReleases", WaitsForNoRelease),
    "release-on-another-connection": lambda: setattr(server_pool, "Teardowns", ReleasesOnAnotherConnection),
    "end-once": lambda: setattr(server_pool, "Teardowns", SendsReleasesOnce),
    "end-queue-head": lambda: setattr(server_pool, "Teardowns", OneReleaseAtATime),
    "answer-twice": lambda: setattr(node, "ClientListener", AnswersTwice),
    "half-answer": lambda: setattr(node, "ClientListener", HalfAnswers),
    "answer-of-another": lambda: setattr(node, "ClientListener", AnswersWithPreviousDescription),
    "drop-on-drain": lambda: setattr(node, "Node", DropsOnDrain),
    "stale-list-after-outage": lambda: setattr(node, "Follower", NeverReconnectsToDiscovery),
    "serve-after-leaving": lambda: setattr(node, "Node", ServesAfterLeaving),
    "cold-burst": lambda: _use_rules(ColdBurst),
    "resend-unsafe": lambda: _use_rules(ResendsPaid),
    "ignore-drains": lambda: setattr(node, "Node", IgnoresDrains),
}


if __name__ == "__main__":
    PLANTS[sys.argv[1]]()
    start.main()
