"""Releases that media servers have to confirm: one record for whatever a set-up may have left at a server, until it is released.

A record is opened when a session has ended on this side or an attempt has been given up. Only the server closes it: by the
message "release heard", by its answer to anything written after the release on the same connection, by a release of its own,
or by a restart. Neither a write nor the close of a connection closes a record; after `GIVE_UP_AFTER_NS` it is dropped and
counted.

A message from a server carries an id and not the set-up that it concerns. Once a record has been closed, another set-up may be
sent to its server with the same id, and what the server still sends on the earlier one must not be taken for news of the later
one: `is_reused` tells the host that this may happen.

Each time a release is sent it is a `Copy` on one connection. There is no order between two connections, so a copy may arrive
after a later set-up with the same id and end that one instead. Therefore a further set-up at the same server waits until every
copy sent there is confirmed or can no longer arrive, and a set-up at another server waits until the copies are written.

The states, and how the host (`curlewshift/node/teardowns.py`) uses them, are described in `docs/node.md`. Times are nanoseconds.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from curlewshift.model import Server

SECOND_NS = 1_000_000_000
# How long to wait for a confirmation before the connection is tested, and again before another connection is used.
CONFIRM_TIMEOUT_NS = SECOND_NS // 2
# Pauses between two further connections: during the first 8 s, the time limit for ending a session at its server, and
# afterwards.
RETRY_INTERVAL_NS, LATE_RETRY_INTERVAL_NS = 2 * SECOND_NS, 4 * SECOND_NS
EARLY_PERIOD_NS = 8 * SECOND_NS
GIVE_UP_AFTER_NS = 30 * SECOND_NS
# A server usually notices a connection that it has closed or that broke: no other connection is opened for such a release alone
# before this time has passed.
PEER_CLOSE_DELAY_NS = 2 * SECOND_NS
# A set-up on a connection that this side has closed may arrive up to this much later.
MAX_TRANSIT_NS = SECOND_NS
# Pause before a release is sent again after the connections of earlier copies have ended: the first one, doubled up to
# `RETRY_INTERVAL_NS`.
INITIAL_BACKOFF_NS = SECOND_NS // 4
# Maximum number of records of one server, and of all; the oldest are dropped first, as their servers will be the first to have
# ended these sessions by themselves.
MAX_PER_SERVER, MAX_RECORDS = 5_000, 20_000


class State(Enum):
    """The state of a record."""

    # to be sent on the next connection that is up
    DUE = "due"
    # sent on a connection, not confirmed by the server
    SENT = "said"
    # as SENT, and something that the server has to answer was sent after it on the same connection
    TESTED = "tested"
    # confirmed by the server, or the server has gone
    CLOSED = "closed"


@dataclass(eq=False, slots=True, kw_only=True)
class Awaited:
    """Something that set-ups wait for."""

    # called when its state has changed
    waiters: list[Callable[[], None]] = field(default_factory=list)

    def notify_waiters(self) -> None:
        """Calls everything that waits for it, once."""
        waiters, self.waiters = self.waiters, []
        for follow in waiters:
            follow()


@dataclass(eq=False, slots=True)
class Copy(Awaited):
    """One release on one connection. `written` is set once the kernel has its last byte, or no more of it can be written."""

    record: PendingRelease
    connection: object
    # its sequence number among the messages of its connection
    number: int
    sent_at: int
    written: bool = False
    # set once its first byte is written to the kernel
    sending_started: bool = False

    def may_send(self) -> bool:
        """Called before its first byte is written: whether it may be sent, which is always so."""
        return True

    def on_written(self) -> None:
        """Called when the kernel has its last byte."""
        self.written = True
        self.notify_waiters()


@dataclass(eq=False, slots=True)
class PendingRelease(Awaited):
    """What a set-up may have left at one server under one id. Set-ups wait for it until its release has been sent."""

    server: Server
    id: bytes
    cause: int
    opened_at: int
    state: State = State.DUE
    # an earlier record of this id at this server has been closed
    reused: bool = False
    # when the next step is due
    next_at: int = 0
    times_sent: int = 0
    # a copy sent before this time does not close the record: the set-up may still be in transit, on a connection that this side
    # has closed
    confirmable_from: int = 0
    # copies that may still arrive
    copies: list[Copy] = field(default_factory=list)


def _backoff(times_sent: int) -> int:
    """The pause before a release is sent again after its connection has ended."""
    return min(RETRY_INTERVAL_NS, INITIAL_BACKOFF_NS << min(times_sent - 2, 8))


class PendingReleases:
    """All records of one node, by server and id. `counts` counts the ways in which records were closed."""

    def __init__(self, now: Callable[[], int], counts: Counter[str] | None = None):
        self.now = now
        self.counts: Counter[str] = Counter() if counts is None else counts
        # open records
        self.at: dict[Server, dict[bytes, PendingRelease]] = {}
        # by id: records that are open or have copies that may still arrive, and their servers
        self.by_id: dict[bytes, list[PendingRelease]] = {}
        self.servers_by_id: dict[bytes, set[Server]] = {}
        self.by_connection: dict[object, list[Copy]] = {}
        # when the last record of each server and id was closed
        self.closed_at: OrderedDict[tuple[Server, bytes], int] = OrderedDict()

    def __len__(self) -> int:
        return sum(map(len, self.at.values()))

    # ---- records

    def open(self, server: Server, id: bytes, cause: int, closed_by_server: bool = False) -> PendingRelease:
        """The record of this id at this server. A new one is due at once, or after `PEER_CLOSE_DELAY_NS` where the server has
        closed the connection."""
        records_here = self.at.setdefault(server, {})
        record = records_here.get(id)
        if record is not None:
            return record
        now = self.now()
        due_at = now + PEER_CLOSE_DELAY_NS if closed_by_server else now
        record = records_here[id] = PendingRelease(server, id, cause, now, reused=self.is_reused(server, id), next_at=due_at)
        self._track(record)
        if len(records_here) > MAX_PER_SERVER:
            self._drop(next(iter(records_here.values())), "shed")
        elif len(self) > MAX_RECORDS:
            oldest_of_each = (next(iter(records.values())) for records in self.at.values())
            self._drop(min(oldest_of_each, key=lambda record: record.opened_at), "shed")
        return record

    def find(self, server: Server, id: bytes) -> PendingRelease | None:
        """The open record of this id at this server."""
        return self.at.get(server, {}).get(id)

    def is_reused(self, server: Server, id: bytes) -> bool:
        """Whether this id has been released at this server lately, so that a message on it may concern what was there before."""
        return (server, id) in self.closed_at

    def of(self, server: Server) -> list[PendingRelease]:
        """Open records of this server, the oldest first."""
        return list(self.at.get(server, {}).values())

    def unsent_on(self, server: Server, connection: object) -> list[PendingRelease]:
        """Open records without a copy on this connection: a new connection sends these first."""
        return [record for record in self.of(server) if all(copy.connection is not connection for copy in record.copies)]

    def due(self, server: Server) -> list[PendingRelease]:
        """Records whose next step is due."""
        now = self.now()
        return [record for record in self.at.get(server, {}).values() if record.next_at <= now]

    def servers(self) -> Iterable[Server]:
        """Servers with open records."""
        return list(self.at)

    # ---- messages written

    def sent(self, record: PendingRelease, connection: object, number: int) -> Copy:
        """The release is sent on this connection, as the message with this sequence number."""
        now = self.now()
        copy = Copy(record, connection, number, now)
        record.copies.append(copy)
        record.times_sent += 1
        record.state = State.SENT
        record.next_at = now + CONFIRM_TIMEOUT_NS
        self.by_connection.setdefault(connection, []).append(copy)
        self._track(record)
        waiters, record.waiters = record.waiters, []
        copy.waiters += waiters
        return copy

    def tested(self, connection: object) -> None:
        """Something that the server has to answer is sent on this connection, after all releases sent there so far."""
        for copy in self.by_connection.get(connection, ()):
            record = copy.record
            if record.state is State.SENT and record.copies[-1] is copy:
                record.state = State.TESTED
                record.next_at = max(record.next_at, self.now() + CONFIRM_TIMEOUT_NS)

    def delay(self, records: Iterable[PendingRelease]) -> None:
        """Delays the next step of these records by a pause."""
        now = self.now()
        for record in records:
            record.next_at = now + (RETRY_INTERVAL_NS if now - record.opened_at < EARLY_PERIOD_NS else LATE_RETRY_INTERVAL_NS)

    # ---- events from the server and its connections

    def confirmed(self, server: Server, id: bytes, connection: object) -> None:
        """The server has sent "release heard". It confirms the oldest copy on this connection. If there is none, it may have
        been sent on another connection than the copy, and counts only if there is no more than one copy that it may concern."""
        copies = [copy for record in self.by_id.get(id, ()) if record.server is server for copy in record.copies]
        copy = next((copy for copy in copies if copy.connection is connection), None)
        if copy is None and len(copies) == 1:
            copy = copies[0]
        if copy is None:
            return
        if copy.record.state is not State.CLOSED:
            self._confirm_read(copy.record, copy, "heard")
        self._remove_copy(copy)

    def answered(self, connection: object, number: int) -> None:
        """The server has answered the message with this number on this connection: it has read everything written before it."""
        for copy in list(self.by_connection.get(connection, ())):
            if copy.number < number:
                if copy.record.state is not State.CLOSED:
                    self._confirm_read(copy.record, copy, "read")
                self._remove_copy(copy)

    def closed_locally(self, record: PendingRelease) -> None:
        """This side has closed the connection of the set-up: a release on another connection may overtake the set-up, and then
        ends nothing."""
        record.confirmable_from = self.now() + MAX_TRANSIT_NS

    def released_by_server(self, server: Server, id: bytes) -> None:
        """The server has released a session with this id. If the id is reused, that may have been an earlier session than the
        one that the record stands for, which therefore stays open."""
        record = self.find(server, id)
        if record is not None and not record.reused:
            self._close(record, "over")

    def server_gone(self, server: Server, before: int | None = None) -> None:
        """The server's process has ended, and with it whatever records opened `before` that time stand for (all if None)."""
        for record in self.of(server):
            if before is None or record.opened_at < before:
                self._close(record, "server gone")

    def moved(self, server: Server, successor: Server) -> None:
        """The address now belongs to another server, which may have received what was sent there recently."""
        for record in self.of(server):
            self._close(record, "moved")
            self.open(successor, record.id, record.cause).opened_at = record.opened_at

    def connection_ended(self, connection: object, by_peer: bool) -> None:
        """Releases sent on this connection may not have been read. They can still arrive if this side closed it, but not if the
        server did (`by_peer`)."""
        now = self.now()
        for copy in list(self.by_connection.get(connection, ())):
            record = copy.record
            if record.state is not State.CLOSED and record.copies[-1] is copy:
                record.state = State.DUE
                record.next_at = max(record.next_at, now + _backoff(record.times_sent)) if record.times_sent > 1 else now
            if by_peer:
                self._remove_copy(copy)
            copy.on_written()

    # ---- set-ups that wait for releases

    def servers_of(self, id: bytes) -> set[Server]:
        """Servers that may still have something under this id. The set returned is updated as records are closed."""
        return self.servers_by_id.get(id, set())

    def blocker(self, server: Server, id: bytes) -> PendingRelease | Copy | None:
        """What a set-up with this id at this server has to wait for: a record whose release was never sent, or a copy."""
        for record in self.by_id.get(id, ()):
            if record.server is server:
                return record.copies[0] if record.copies else record
            unwritten = next((copy for copy in record.copies if not copy.written), None)
            if unwritten is not None:
                return unwritten
        return None

    def expire(self) -> None:
        """Drops records and copies older than `GIVE_UP_AFTER_NS`: servers have ended sessions that nobody watches by then."""
        cutoff = self.now() - GIVE_UP_AFTER_NS
        for records_here in list(self.at.values()):
            for record in list(records_here.values()):
                if record.opened_at >= cutoff:
                    break
                self._drop(record, "given up")
        for copies in list(self.by_connection.values()):
            for copy in list(copies):
                if copy.sent_at < cutoff:
                    self._remove_copy(copy)
        while self.closed_at and next(iter(self.closed_at.values())) < cutoff:
            self.closed_at.popitem(last=False)

    # ---- internals

    def _track(self, record: PendingRelease) -> None:
        same_id = self.by_id.setdefault(record.id, [])
        if record not in same_id:
            same_id.append(record)
        self.servers_by_id.setdefault(record.id, set()).add(record.server)

    def _untrack(self, record: PendingRelease) -> None:
        """Removes a record that is closed and has no copy that may still arrive."""
        if record.copies or record.state is not State.CLOSED:
            return
        same_id = self.by_id.get(record.id, [])
        if record in same_id:
            same_id.remove(record)
        if not any(other.server is record.server for other in same_id):
            self.servers_by_id.get(record.id, set()).discard(record.server)
        if not same_id:
            self.by_id.pop(record.id, None)
            self.servers_by_id.pop(record.id, None)
        record.notify_waiters()

    def _confirm_read(self, record: PendingRelease, copy: Copy, reason: str) -> None:
        """The server has read this copy."""
        if copy.sent_at >= record.confirmable_from:
            self._close(record, reason)
        else:
            record.state, record.next_at = State.DUE, record.confirmable_from

    def _close(self, record: PendingRelease, reason: str) -> None:
        records_here = self.at[record.server]
        del records_here[record.id]
        if not records_here:
            del self.at[record.server]
        record.state = State.CLOSED
        self._remember_closed(record)
        self.counts[f"release-{reason.replace(' ', '-')}"] += 1
        self._untrack(record)

    def _remember_closed(self, record: PendingRelease) -> None:
        self.closed_at[record.server, record.id] = self.now()
        self.closed_at.move_to_end((record.server, record.id))
        if len(self.closed_at) > MAX_RECORDS:
            self.closed_at.popitem(last=False)

    def _drop(self, record: PendingRelease, reason: str) -> None:
        self._close(record, reason)
        for copy in list(record.copies):
            self._remove_copy(copy)

    def _remove_copy(self, copy: Copy) -> None:
        """The copy has arrived, or can no longer arrive."""
        record = copy.record
        if copy not in record.copies:
            return
        record.copies.remove(copy)
        on_connection = self.by_connection[copy.connection]
        on_connection.remove(copy)
        if not on_connection:
            del self.by_connection[copy.connection]
        self._untrack(record)
        copy.notify_waiters()
