"""Timers, run the earliest first; timers due at the same time run in the order in which they were set."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Timers:
    """A heap with lazy cancelling: a timer that is no longer needed stays in it, and its call does nothing when due.

    There is at most one entry for each waiting viewing, tune-in and tick, and none is ever moved, so the size of the heap
    is bounded by the work in progress. `wake` is called only for a time earlier than all before.
    """

    def __init__(self, wake: Callable[[int], None]):
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.wake, self.entries_made, self.next_wake = wake, 0, None

    def at(self, when: int, call: Callable[[], None]) -> None:
        self.entries_made += 1
        heapq.heappush(self.heap, (when, self.entries_made, call))
        self._wake()

    def run(self, now: int) -> None:
        """Runs all timers due. Timers that these set for `now` or earlier run too, after those due before."""
        # timers set meanwhile need no wake-up of their own
        self.next_wake = -1
        try:
            while self.heap and self.heap[0][0] <= now:
                heapq.heappop(self.heap)[2]()
        finally:
            # a call that raises must not leave the later timers without a wake-up
            self.next_wake = None
            self._wake()

    def _wake(self) -> None:
        if self.heap and (self.next_wake is None or self.heap[0][0] < self.next_wake):
            self.next_wake = self.heap[0][0]
            self.wake(self.next_wake)
