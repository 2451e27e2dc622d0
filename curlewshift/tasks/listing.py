"""One front reads the server list for all and passes on what it reads; the others read it themselves when that is late. Free of
I/O.

No front depends on the reader alone: one that receives nothing for `MAX_SILENT_INTERVALS` of the reader's intervals, or updates
that do not follow on what it has, reads the list itself. Updates with the fencing token of an earlier tenure are dropped.
"""

from __future__ import annotations

from typing import Protocol

from curlewshift.tasks.tasks import Fences

# The reader announces at least this often (ns) that it is present and which generation it has; after so many intervals without an
# announcement each front reads the list itself.
ANNOUNCE_INTERVAL_NS = 500_000_000
MAX_SILENT_INTERVALS = 4
LEASE = "list/0"


class Driver(Protocol):
    """What `ListReading` calls on its environment: the clock (ns), this front's list, and messages to the other fronts."""

    def now(self) -> int: ...
    def list_held(self) -> tuple[str, int]:
        """Epoch and generation of the list as this front has it."""

    def announce_list(self, number: int, epoch: str, generation: int, news: object | None) -> None:
        """Announces this generation to all other fronts, with the updates that lead to it if they fit into a message."""

    def apply_updates(self, news: object) -> None: ...
    def read_list(self, itself: bool) -> None:
        """Sets whether this front reads the list itself from now on."""


class ListReading:
    """The task of reading the server list, and how the other fronts follow its reader."""

    name, shards = "list", 1

    def __init__(self, driver: Driver):
        self.driver, self.fences = driver, Fences()
        self.number = self.due = 0
        self.heard_at = -1
        self.itself = True

    # ---- as the reader

    def begin(self, shard: int, number: int) -> None:
        self.number, self.due = number, 0
        self._read_itself(True)

    def act(self, shard: int, number: int) -> None:
        now = self.driver.now()
        if now >= self.due:
            self.due = now + ANNOUNCE_INTERVAL_NS
            self.driver.announce_list(number, *self.driver.list_held(), None)

    def stop(self, shard: int) -> None:
        self.number = 0

    def read(self, epoch: str, generation: int, news: object) -> None:
        """This front has read updates of the list itself."""
        if self.number:
            self.driver.announce_list(self.number, epoch, generation, news)

    # ---- as any other front

    def receive_announcement(self, number: int, epoch: str, generation: int, news: object | None) -> None:
        if self.number or not self.fences.passes(LEASE, number):
            return
        self.heard_at = self.driver.now()
        if news is not None:
            self.driver.apply_updates(news)
        # whether this front is behind, ahead or at another epoch of the list, reading it settles the difference
        self._read_itself(self.driver.list_held() != (epoch, generation))

    def gap(self) -> None:
        """The received updates do not follow on what this front has."""
        self._read_itself(True)

    def time(self) -> None:
        """Called each round of a front."""
        if (
            not self.number
            and not self.itself
            and self.driver.now() - self.heard_at > MAX_SILENT_INTERVALS * ANNOUNCE_INTERVAL_NS
        ):
            self._read_itself(True)

    def _read_itself(self, itself: bool) -> None:
        if itself is not self.itself:
            self.itself = itself
            self.driver.read_list(itself)
