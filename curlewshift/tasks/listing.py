"""One front reads the server list for all, and says what it reads; the others read for themselves when that is late. Free of I/O.

Nobody may act on this alone: a front that hears nothing for `LATE` rounds of the reader, or hears of news that do not
follow on what it has, reads the list itself. News with the number of an earlier tenure are not taken.
"""

from __future__ import annotations

from typing import Protocol

from curlewshift.tasks.tasks import Fences

# The reader says at the least so often that it is there, and what generation it has (ns); silent for so many of these it is
# late, and each reads for itself.
EACH = 500_000_000
LATE = 4
LEASE = "list/0"


class Driver(Protocol):
    def now(self) -> int: ...
    def list_held(self) -> tuple[str, int]:
        """Epoch and generation of the list as this front has it."""

    def tell_list(self, number: int, epoch: str, generation: int, news: object | None) -> None:
        """To all others: that this is what there is, with news that lead there if they fit."""

    def take_news(self, news: object) -> None: ...
    def read_list(self, itself: bool) -> None:
        """Whether this front reads the list itself from now on."""


class ListReading:
    name, shards = "list", 1

    def __init__(self, driver: Driver):
        self.driver, self.fences = driver, Fences()
        self.number = self.due = 0
        self.heard_at = -1
        self.itself = True

    # ---- as the one that reads

    def begin(self, shard: int, number: int) -> None:
        self.number, self.due = number, 0
        self._read(True)

    def act(self, shard: int, number: int) -> None:
        now = self.driver.now()
        if now >= self.due:
            self.due = now + EACH
            self.driver.tell_list(number, *self.driver.list_held(), None)

    def stop(self, shard: int) -> None:
        self.number = 0

    def read(self, epoch: str, generation: int, news: object) -> None:
        """This front has read news of the list itself."""
        if self.number:
            self.driver.tell_list(self.number, epoch, generation, news)

    # ---- as one of the others

    def told(self, number: int, epoch: str, generation: int, news: object | None) -> None:
        if self.number or not self.fences.passes(LEASE, number):
            return
        self.heard_at = self.driver.now()
        if news is not None:
            self.driver.take_news(news)
        # behind, ahead or of another life of the list: whatever it is, reading it tells
        self._read(self.driver.list_held() != (epoch, generation))

    def gap(self) -> None:
        """What was told does not follow on what this front has."""
        self._read(True)

    def time(self) -> None:
        """Each round of a front."""
        if not self.number and not self.itself and self.driver.now() - self.heard_at > LATE * EACH:
            self._read(True)

    def _read(self, itself: bool) -> None:
        if itself is not self.itself:
            self.itself = itself
            self.driver.read_list(itself)
