"""A limit of open client connections, derived from the process's limit of file descriptors. No I/O.

Some descriptors are reserved, so that each accepted request can still reach a media server or get an answer, and files can
be written. When the rest are in use, idle connections are dropped, the longest idle first; while all connections are
busy, new ones wait in the kernel's accept queue.
"""

from __future__ import annotations

# Descriptors reserved for media servers, files and the server list: a share of all, within bounds.
RESERVED_SHARE, MIN_RESERVED, MAX_RESERVED = 0.25, 24, 512
# A connection must have been idle for so long (s) before it may be dropped for another.
MIN_IDLE_S = 0.5
MAX_DROPPED_AT_ONCE = 8
# Spared connections are dropped once nothing else could be for this many times `idle_for`: connections that have just
# been opened are not idle yet, and they come before the spared ones.
SPARED_IDLE_FACTOR = 2
# The share of connections in use above which the listener counts as crowded.
CROWDED_SHARE = 0.75
# The limit is lowered by this much when an accept finds no descriptor, down to half of the initial limit.
SHRINK_STEP = 4


class DescriptorGate:
    """`limit` is the process's soft limit of descriptors; `clock()` is in seconds. Connections have `is_busy` (a request is
    in progress), `idle_since_s` (idle since, s) and `drop()`."""

    def __init__(
        self,
        limit: int,
        clock,
        kept: int | None = None,
        idle_for: float = MIN_IDLE_S,
        at_once: int = MAX_DROPPED_AT_ONCE,
        is_spared=lambda connection: False,
    ):
        """`kept` is the number of reserved descriptors, where it is known what else needs them. `idle_for` (s) and `at_once`
        are set where many clients connect, ask once and stay connected. Connections for which `is_spared` is true are dropped
        only if there is no room and no other connection has been idle long enough for some time."""
        self.idle_for, self.at_once, self.is_spared = idle_for, at_once, is_spared
        # since when a connection has been waiting for room that only spared connections could make
        self.blocked_since: float | None = None
        if kept is None:
            kept = int(min(MAX_RESERVED, max(MIN_RESERVED, limit * RESERVED_SHARE)))
        self.max_connections = self.initial_max_connections = max(4, limit - kept)
        self.clock = clock
        self.connections: dict[object, bool] = {}
        self.dropped = self.none_left = 0

    def may_accept(self) -> bool:
        return len(self.connections) < self.max_connections

    @property
    def crowded(self) -> bool:
        """Little room is left: idle connections may be dropped before a new one has to wait."""
        return len(self.connections) > self.max_connections * CROWDED_SHARE

    def opened(self, connection: object) -> None:
        self.connections[connection] = True
        self.blocked_since = None

    def closed(self, connection: object) -> None:
        self.connections.pop(connection, None)

    def ran_out(self) -> None:
        """An accept found no descriptor: the rest of the process uses more than was reserved for it."""
        self.none_left += 1
        self.max_connections = max(
            self.initial_max_connections // 2, min(self.max_connections, len(self.connections)) - SHRINK_STEP, 4
        )

    def make_room(self, needed: bool = True) -> None:
        """Drops idle connections. `needed` means that a connection is waiting for room: then spared ones are dropped too,
        once there has been no other for some time."""
        now = self.clock()
        idle = self._idle_connections(now, False)
        if idle:
            self.blocked_since = None
        elif needed and self.blocked_since is None:
            self.blocked_since = now
        elif needed and now - self.blocked_since >= SPARED_IDLE_FACTOR * self.idle_for:
            idle = self._idle_connections(now, True)
        idle.sort(key=lambda connection: connection.idle_since_s)
        for connection in idle[: self.at_once]:
            self.dropped += 1
            connection.drop()

    def _idle_connections(self, now: float, spared: bool) -> list:
        return [
            connection
            for connection in self.connections
            if now - connection.idle_since_s >= self.idle_for and self.is_spared(connection) is spared and not connection.is_busy
        ]
