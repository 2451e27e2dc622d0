"""Times at which something is due, the earliest first; what is due together comes in the order it was set."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Timers:
    """A heap with lazy cancelling: a timer that is not wanted any more is a tuple that does nothing when due.

    At most one entry lives for each waiting viewing, tune-in and tick, and none is ever moved, so that the heap
    stays as large as what is in work. `wake` is called only for a time earlier than all before.
    """

    def __init__(self, wake: Callable[[int], None]):
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.wake, self.count, self.next_wake = wake, 0, None

    def at(self, when: int, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, call))
        self._wake()

    def run(self, now: int) -> None:
        """Calls all that is due. What a call sets for `now` or earlier is called too, after what was due before."""
        # nothing that is set meanwhile needs a wake of its own
        self.next_wake = -1
        try:
            while self.heap and self.heap[0][0] <= now:
                heapq.heappop(self.heap)[2]()
        finally:
            # one call that fails must not leave all that comes after it asleep for good
            self.next_wake = None
            self._wake()

    def _wake(self) -> None:
        if self.heap and (self.next_wake is None or self.heap[0][0] < self.next_wake):
            self.next_wake = self.heap[0][0]
            self.wake(self.next_wake)
