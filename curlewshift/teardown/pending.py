"""Releases that media servers have to hear: one record for whatever a set-up may have left at a server, until it is over there.

A record is opened when a session has ended on this side or an attempt has been given up, and is closed by the server alone: by
"release heard", by its answer to anything written behind the release on the same connection, by a release of its own, or by its
death. Neither a write nor the close of a connection closes one; after `GIVEN_UP_AFTER_NS` it is dropped and counted.

Each time a release is said it is a `Copy` on one connection. Two connections order nothing, so a copy may arrive behind a set-up
that left later under the same id and end that one instead: a further set-up at the same server waits until every copy there is
confirmed or can arrive no more, and one at another server until the copies are written.

The states, and what the host (`curlewshift/node/teardowns.py`) is told, are in `docs/node.md`. Times are nanoseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from curlewshift.model import Server

SECOND_NS = 1_000_000_000
# Confirmations are waited for so long before the connection is tested, and so long again before another is used.
CONFIRMED_WITHIN_NS = SECOND_NS // 2
# Pauses between two further connections: while the page's 8 s last, and after them.
PAUSE_NS, LATE_PAUSE_NS = 2 * SECOND_NS, 4 * SECOND_NS
EARLY_FOR_NS = 8 * SECOND_NS
GIVEN_UP_AFTER_NS = 30 * SECOND_NS
# Of a connection that broke by itself the server mostly knows: another is not opened for such a release alone before this.
UNHURRIED_NS = 2 * SECOND_NS
# A set-up on a connection that was closed here may arrive this long after that.
CROSSES_CLOSE_NS = SECOND_NS
# Said again after the connections of earlier ones have ended: the first pause, doubled up to `PAUSE_NS`.
FIRST_PAUSE_NS = SECOND_NS // 4
# Records of one server, and of all; the oldest are dropped first, as their servers will have ended them soonest.
MOST_AT_SERVER, MOST = 5_000, 20_000


class State(Enum):
    """Of one record."""

    # it is said on the next connection that is up
    DUE = "due"
    # it is on a connection, and the server has confirmed nothing
    SAID = "said"
    # as SAID, with something behind it on its connection that the server has to answer
    TESTED = "tested"
    # the server has confirmed it, or is gone
    CLOSED = "closed"


@dataclass(eq=False, slots=True, kw_only=True)
class Awaited:
    """Something that set-ups wait for."""

    # called once more is known of it
    followers: list[Callable[[], None]] = field(default_factory=list)

    def call_followers(self) -> None:
        """What waited for it looks again."""
        followers, self.followers = self.followers, []
        for follow in followers:
            follow()


@dataclass(eq=False, slots=True)
class Copy(Awaited):
    """One release on one connection. `written` once the kernel has its last byte, or nothing more of it can be written."""

    record: PendingRelease
    connection: object
    # its place among the messages of its connection
    number: int
    sent_at: int
    written: bool = False
    handed: bool = False

    def leaves(self) -> bool:
        """Asked as its first byte is about to go out: it always may."""
        return True

    def out(self) -> None:
        """The kernel has its last byte."""
        self.written = True
        self.call_followers()


@dataclass(eq=False, slots=True)
class PendingRelease(Awaited):
    """What a set-up may have left at one server under one id. Set-ups wait for it while it has not been said."""

    server: Server
    id: bytes
    cause: int
    opened_at: int
    state: State = State.DUE
    # the server has closed the connection of its set-up, so that at the most a session stands
    closed_by_server: bool = False
    # the next step is due then
    next_at: int = 0
    times_said: int = 0
    # what is said before this does not close it: its set-up may still be on the way, on a connection that was closed here
    sure_after: int = 0
    # those that may still arrive
    copies: list[Copy] = field(default_factory=list)


def _pause(times_said: int) -> int:
    """Before a release is said again whose connection has ended."""
    return min(PAUSE_NS, FIRST_PAUSE_NS << min(times_said - 2, 8))


class PendingReleases:
    """All records of one node, by server and id. `counts` counts how records were closed."""

    def __init__(self, now: Callable[[], int], counts: Counter[str] | None = None):
        self.now = now
        self.counts: Counter[str] = Counter() if counts is None else counts
        # open records
        self.at: dict[Server, dict[bytes, PendingRelease]] = {}
        # records with copies that may still arrive, and the servers of these, by id
        self.by_id: dict[bytes, list[PendingRelease]] = {}
        self.servers_by_id: dict[bytes, set[Server]] = {}
        self.by_connection: dict[object, list[Copy]] = {}

    def __len__(self) -> int:
        return sum(map(len, self.at.values()))

    # ---- records

    def open(self, server: Server, id: bytes, cause: int, closed_by_server: bool = False) -> PendingRelease:
        """The record of this id at this server. A new one is due at once; later, where the server has closed its connection."""
        here = self.at.setdefault(server, {})
        record = here.get(id)
        if record is not None:
            return record
        now = self.now()
        due_at = now + UNHURRIED_NS if closed_by_server else now
        record = here[id] = PendingRelease(server, id, cause, now, closed_by_server=closed_by_server, next_at=due_at)
        self._track(record)
        if len(here) > MOST_AT_SERVER:
            self._drop(next(iter(here.values())), "shed")
        elif len(self) > MOST:
            oldest_of_each = (next(iter(records.values())) for records in self.at.values())
            self._drop(min(oldest_of_each, key=lambda one: one.opened_at), "shed")
        return record

    def find(self, server: Server, id: bytes) -> PendingRelease | None:
        """The open record of this id at this server."""
        return self.at.get(server, {}).get(id)

    def of(self, server: Server) -> list[PendingRelease]:
        """Open records of this server, the oldest first."""
        return list(self.at.get(server, {}).values())

    def unsaid_on(self, server: Server, connection: object) -> list[PendingRelease]:
        """What a connection that has just come up is to carry first."""
        return [record for record in self.of(server) if all(copy.connection is not connection for copy in record.copies)]

    def due(self, server: Server) -> list[PendingRelease]:
        """Records whose next step has come."""
        now = self.now()
        return [record for record in self.at.get(server, {}).values() if record.next_at <= now]

    def servers(self) -> Iterable[Server]:
        """Those with open records."""
        return list(self.at)

    # ---- what is written

    def said(self, record: PendingRelease, connection: object, number: int) -> Copy:
        """The release goes out on this connection, as its message of this number."""
        now = self.now()
        copy = Copy(record, connection, number, now)
        record.copies.append(copy)
        record.times_said += 1
        record.state = State.SAID
        record.next_at = now + CONFIRMED_WITHIN_NS
        self.by_connection.setdefault(connection, []).append(copy)
        self._track(record)
        followers, record.followers = record.followers, []
        copy.followers += followers
        return copy

    def tested(self, connection: object) -> None:
        """Something that the server has to answer goes out on this connection, behind all that was said there."""
        for copy in self.by_connection.get(connection, ()):
            record = copy.record
            if record.state is State.SAID and record.copies[-1] is copy:
                record.state = State.TESTED
                record.next_at = max(record.next_at, self.now() + CONFIRMED_WITHIN_NS)

    def put_off(self, records: Iterable[PendingRelease]) -> None:
        """They are tried again after a pause."""
        now = self.now()
        for record in records:
            record.next_at = now + (PAUSE_NS if now - record.opened_at < EARLY_FOR_NS else LATE_PAUSE_NS)

    # ---- what the server shows

    def heard(self, server: Server, id: bytes, connection: object) -> None:
        """The server has said "release heard": on the connection of a copy, or else of the oldest one."""
        copies = [copy for record in self.by_id.get(id, ()) if record.server is server for copy in record.copies]
        if not copies:
            return
        copy = next((copy for copy in copies if copy.connection is connection), copies[0])
        self._confirm(copy)
        record = self.find(server, id)
        if record is not None:
            self._show(record, copy, "heard")

    def answered(self, connection: object, number: int) -> None:
        """The server has answered this connection's message of this number: it has read what was written before it."""
        for copy in list(self.by_connection.get(connection, ())):
            if copy.number < number:
                if copy.record.state is not State.CLOSED:
                    self._show(copy.record, copy, "read")
                self._confirm(copy)

    def crossed(self, record: PendingRelease) -> None:
        """Its set-up's connection was closed here: a release may overtake the set-up on another, and end nothing."""
        record.sure_after = self.now() + CROSSES_CLOSE_NS

    def over(self, server: Server, id: bytes) -> None:
        """The server says by itself that nothing stands there under this id."""
        record = self.find(server, id)
        if record is not None:
            self._close(record, "over")

    def superseded(self, record: PendingRelease) -> None:
        """A set-up of the same id follows its release on the same connection: from now on what stands there is that one's."""
        self._close(record, "superseded")

    def server_gone(self, server: Server, before: int | None = None) -> None:
        """What was opened `before` then died with the server's process."""
        for record in self.of(server):
            if before is None or record.opened_at < before:
                self._close(record, "server gone")

    def moved(self, server: Server, successor: Server) -> None:
        """The address is another server's: what went there lately may have reached that one."""
        for record in self.of(server):
            self._close(record, "moved")
            self.open(successor, record.id, record.cause).opened_at = record.opened_at

    def connection_ended(self, connection: object, by_peer: bool) -> None:
        """What was said on it may be unread. Closed by the server, none of it can arrive any more; closed from here, it may."""
        now = self.now()
        for copy in list(self.by_connection.get(connection, ())):
            record = copy.record
            if record.state is not State.CLOSED and record.copies[-1] is copy:
                record.state = State.DUE
                record.next_at = max(record.next_at, now + _pause(record.times_said)) if record.times_said > 1 else now
            if by_peer:
                self._confirm(copy)
            copy.out()

    # ---- what waits for them

    def servers_of(self, id: bytes) -> set[Server]:
        """Where something of this id is not known to be over; the set follows what becomes of it."""
        return self.servers_by_id.get(id, set())

    def before(self, server: Server, id: bytes) -> PendingRelease | Copy | None:
        """What a set-up of this id at this server has to wait for: a record that was never said, or a copy."""
        for record in self.by_id.get(id, ()):
            if record.server is server:
                if record.copies:
                    return record.copies[0]
                return None if record.closed_by_server else record
            unwritten = next((copy for copy in record.copies if not copy.written), None)
            if unwritten is not None:
                return unwritten
        return None

    def expire(self) -> None:
        """Drops what is older than a server keeps anything that nobody watches."""
        since = self.now() - GIVEN_UP_AFTER_NS
        for here in list(self.at.values()):
            for record in list(here.values()):
                if record.opened_at >= since:
                    break
                self._drop(record, "given up")
        for copies in list(self.by_connection.values()):
            for copy in list(copies):
                if copy.sent_at < since:
                    self._confirm(copy)

    # ---- inside

    def _track(self, record: PendingRelease) -> None:
        known = self.by_id.setdefault(record.id, [])
        if record not in known:
            known.append(record)
        self.servers_by_id.setdefault(record.id, set()).add(record.server)

    def _untrack(self, record: PendingRelease) -> None:
        """Forgets a record that is closed and of which nothing can arrive any more."""
        if record.copies or record.state is not State.CLOSED:
            return
        known = self.by_id.get(record.id, [])
        if record in known:
            known.remove(record)
        if not any(other.server is record.server for other in known):
            self.servers_by_id.get(record.id, set()).discard(record.server)
        if not known:
            self.by_id.pop(record.id, None)
            self.servers_by_id.pop(record.id, None)
        record.call_followers()

    def _show(self, record: PendingRelease, copy: Copy, how: str) -> None:
        """The server has read this copy."""
        if copy.sent_at >= record.sure_after:
            self._close(record, how)
        else:
            record.state, record.next_at = State.DUE, record.sure_after

    def _close(self, record: PendingRelease, how: str) -> None:
        here = self.at[record.server]
        del here[record.id]
        if not here:
            del self.at[record.server]
        record.state = State.CLOSED
        self.counts[f"release-{how.replace(' ', '-')}"] += 1
        self._untrack(record)

    def _drop(self, record: PendingRelease, how: str) -> None:
        self._close(record, how)
        for copy in list(record.copies):
            self._confirm(copy)

    def _confirm(self, copy: Copy) -> None:
        """It has arrived, or cannot any more."""
        record = copy.record
        if copy not in record.copies:
            return
        record.copies.remove(copy)
        on_connection = self.by_connection[copy.connection]
        on_connection.remove(copy)
        if not on_connection:
            del self.by_connection[copy.connection]
        self._untrack(record)
        copy.call_followers()
