"""How many connections may be open, by the process's own limit, and whose goes first when there is no room. No I/O.

Some descriptors are kept back, so that each request that was taken can still reach a server or be refused in words, and
files can be written. When the rest are in use, connections on which nothing is asked are dropped, the longest idle first;
where all are at work, new ones wait in the kernel's queue.
"""

from __future__ import annotations

# Kept for servers, files and the list: a part of all, within bounds.
KEPT_PART, KEPT_LEAST, KEPT_MOST = 0.25, 24, 512
# A connection has to be idle for so long (s) to be dropped for another; so many are dropped at once.
IDLE_FOR = 0.5
DROPPED_AT_ONCE = 8
# Who is spared goes where there has been nobody else for so many times as long: who has just come is not idle yet.
SPARED_PART = 2
# Of all places, so many may be in use before it is crowded.
CROWDED_PART = 0.75
# After an accept found none left, so many fewer are open at once, down to half.
FEWER = 4


class DescriptorGate:
    """`limit` is the process's soft limit of descriptors; `clock()` is in seconds. Connections have `at_work`,
    `rested_at` (s) and `drop()`."""

    def __init__(
        self,
        limit: int,
        clock,
        kept: int | None = None,
        idle_for: float = IDLE_FOR,
        at_once: int = DROPPED_AT_ONCE,
        spared=lambda connection: False,
    ):
        """`kept` where it is known how many others need; the rest where crowds come that ask once and stay. Connections
        that are `spared` go only where there is no place left, and nobody else has been idle for some time."""
        self.idle_for, self.at_once, self.spared = idle_for, at_once, spared
        # since when someone has waited for a place, with nobody to go but those
        self.none_since: float | None = None
        if kept is None:
            kept = int(min(KEPT_MOST, max(KEPT_LEAST, limit * KEPT_PART)))
        self.most = self.first_most = max(4, limit - kept)
        self.clock = clock
        self.connections: dict[object, bool] = {}
        self.dropped = self.none_left = 0

    def may_accept(self) -> bool:
        return len(self.connections) < self.most

    @property
    def crowded(self) -> bool:
        """Little room is left: who rests may go before someone has to wait for it."""
        return len(self.connections) > self.most * CROWDED_PART

    def opened(self, connection: object) -> None:
        self.connections[connection] = True
        self.none_since = None

    def closed(self, connection: object) -> None:
        self.connections.pop(connection, None)

    def ran_out(self) -> None:
        """There was no descriptor for an accept: others use more than was kept for them."""
        self.none_left += 1
        self.most = max(self.first_most // 2, min(self.most, len(self.connections)) - FEWER, 4)

    def make_room(self, needed: bool = True) -> None:
        """`needed` if someone waits for a place: then who is spared goes too, once there is nobody else."""
        now = self.clock()
        idle = self._idle(now, False)
        if idle:
            self.none_since = None
        elif needed and self.none_since is None:
            self.none_since = now
        elif needed and now - self.none_since >= SPARED_PART * self.idle_for:
            idle = self._idle(now, True)
        idle.sort(key=lambda connection: connection.rested_at)
        for connection in idle[: self.at_once]:
            self.dropped += 1
            connection.drop()

    def _idle(self, now: float, spared: bool) -> list:
        return [
            connection
            for connection in self.connections
            if now - connection.rested_at >= self.idle_for and self.spared(connection) is spared and not connection.at_work
        ]
