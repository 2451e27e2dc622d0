"""Tells media servers what is over, on connection after connection until they confirm it.

`curlewshift/teardown/pending.py` keeps the records; this module writes them. A release goes out at once, an attempt's on its
own connection. If nothing confirms it, its connection is tested with a probe, which a server answers in the order of what it
reads. If that is not answered either, all that waits for the server is said again on another connection, with a test behind it.
What waits is said on each connection that comes up, before anything else. Called by server_pool.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from curlewshift.node import isup
from curlewshift.node.connections import Attempt, Endpoint, ServerConnection, Session
from curlewshift.teardown.pending import PendingRelease, PendingReleases, State

if TYPE_CHECKING:
    from curlewshift.node.server_pool import ServerPool

MS = 1_000_000
NS = 1_000_000_000
# A connection on which the server was heard within this is used for what has to be said again.
FRESH_FOR = NS


class Teardowns:
    """One node's; `reach` makes and breaks the connections."""

    def __init__(self, reach: ServerPool, clock, log, counts):
        self.reach, self.now, self.log, self.counts = reach, clock, log, counts
        self.pending = PendingReleases(clock, counts)

    # ---- what is over

    def attempt_given_up(self, line: ServerConnection, attempt: Attempt) -> None:
        """Its time is over, or its client has left: its server hears of it behind the set-up, on the same connection."""
        record = self.pending.open(attempt.tune_in.server, attempt.id, isup.OVER)
        self._write(line, record)
        attempt.tune_in.course.vw.unconfirmed = self.pending.servers_of(attempt.id)

    def attempt_broken(self, line: ServerConnection, attempt: Attempt, by_peer: bool) -> None:
        """Its connection has ended under it. What was answered before that may stand, whether the answer came through or not."""
        record = self.pending.open(attempt.tune_in.server, attempt.id, isup.OVER, closed_by_server=by_peer)
        if not by_peer:
            # the server may not have seen the close when the next attempt comes
            self.pending.said(record, line, line.sent)
            self.pending.crossed(record)
        attempt.tune_in.course.vw.unconfirmed = self.pending.servers_of(attempt.id)

    def session_over(self, endpoint: Endpoint, session: Session) -> None:
        """It stands at the server for nobody."""
        if endpoint.address is None:
            return
        record = self.pending.open(endpoint.server, session.id, session.cause)
        if record.times_said:
            return
        line = self._sound_line(endpoint)
        if line is not None:
            self._write(line, record)
        else:
            self._open_one(endpoint)

    def set_up_again(self, line: ServerConnection, attempt: Attempt) -> None:
        """A set-up leaves whose id may still stand there: its release goes out just before it, on the same connection."""
        record = self.pending.find(attempt.tune_in.server, attempt.id)
        if record is not None:
            self._write(line, record)
            self.pending.superseded(record)

    # ---- how it is told

    def connection_up(self, line: ServerConnection) -> None:
        """All that waits for its server goes out on it first, in one write; what a set-up is to follow goes just before that."""
        records = [record for record in self.pending.unsaid_on(line.endpoint.server, line) if not self._goes_ahead(record, line)]
        if records:
            self._say(line, records)

    def look_after(self, endpoint: Endpoint) -> None:
        """Called often: takes the next step of each record that is due."""
        again = []
        for record in self.pending.due(endpoint.server):
            line = record.copies[-1].connection if record.copies else None
            if record.state is State.SAID and line.up and not line.retired:
                # of several on one connection the first test takes all with it
                line.probe()
                self.pending.tested(line)
            elif record.next_at <= self.now():
                again.append(record)
        if again:
            self._say_again(endpoint, again)

    def hurry(self, record: PendingRelease) -> None:
        """An attempt waits for this record, which has been said nowhere yet."""
        endpoint = self.reach.endpoints.get(record.server)
        if endpoint is not None and record.state is State.DUE:
            record.next_at = self.now()
            self.look_after(endpoint)

    def test_all(self) -> None:
        """The node ends: nothing is waited for that can be asked for."""
        for server in self.pending.servers():
            for record in self.pending.of(server):
                record.next_at = self.now()
            if server in self.reach.endpoints:
                self.look_after(self.reach.endpoints[server])

    def unconfirmed_on(self, line: ServerConnection) -> bool:
        """Whether something said on this connection has not been confirmed."""
        return line in self.pending.by_connection

    # ---- inside

    @staticmethod
    def _goes_ahead(record: PendingRelease, line: ServerConnection) -> bool:
        return record.closed_by_server and not record.copies and record.id in line.attempts

    def _write(self, line: ServerConnection, record: PendingRelease) -> None:
        self.counts["release-sent"] += 1
        if record.times_said:
            self.counts["release-sent-again"] += 1
            self.log.info(
                "release-again",
                session=record.id.hex(),
                server=record.server.name,
                connection=line.number,
                cause=record.cause,
                times=record.times_said,
                after_ms=(self.now() - record.opened_at) // MS,
            )
        copy = self.pending.said(record, line, line.sent + 1)
        line.send(isup.release(record.id, record.cause), copy)

    def _say(self, line: ServerConnection, records: list[PendingRelease]) -> None:
        """With a test behind them."""
        again = [record for record in records if record.times_said]
        for record in records:
            self._write(line, record)
        line.probe()
        self.pending.tested(line)
        self.pending.put_off(again)

    def _say_again(self, endpoint: Endpoint, again: list[PendingRelease]) -> None:
        for record in again:
            if record.state is State.TESTED and record.copies:
                # it took bytes, and its server has answered none of them
                record.copies[-1].connection.doubtful = True
        self.pending.put_off(again)
        used = {copy.connection for record in again for copy in record.copies}
        line = self._sound_line(endpoint, used)
        if line is not None:
            self._say(line, self.pending.unsaid_on(endpoint.server, line))
        else:
            self._open_one(endpoint)

    def _sound_line(self, endpoint: Endpoint, used: Iterable[ServerConnection] = ()) -> ServerConnection | None:
        """The connection that was heard last, if there is one to trust."""
        now = self.now()
        lines = [line for line in endpoint.lines if line.up and not line.doubtful and line not in used]
        if used:
            lines = [line for line in lines if now - line.heard_at <= FRESH_FOR]
        return max(lines, key=lambda line: line.heard_at, default=None)

    def _open_one(self, endpoint: Endpoint) -> None:
        """What waits goes out once it is up; one that is coming up already will do."""
        if all(line.wire is not None for line in endpoint.lines):
            self.reach.open_connection(endpoint)
