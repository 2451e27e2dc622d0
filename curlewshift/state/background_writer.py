"""A thread that writes what comes, in its order and some of it together; whoever notes something never waits for a disk."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import Any


class BackgroundWriter:
    """`write(items)` is called from the thread with all that came within `together` (s) of the first, and once more with
    what is left when it is closed. Hold `wake` to look at `waiting` and put into it what belongs to that look."""

    def __init__(self, write: Callable[[list[Any]], None], together: float):
        self.write, self.together = write, together
        self.waiting: deque[Any] = deque()
        self.wake = threading.Condition()
        self.closing = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def put(self, item: Any) -> None:
        with self.wake:
            self.waiting.append(item)
            # woken for each item, the thread took its turns from the one that decides
            if len(self.waiting) == 1:
                self.wake.notify()

    def close(self) -> None:
        """All that was put has been written when this returns."""
        with self.wake:
            self.closing = True
            self.wake.notify()
        self.thread.join()

    def _run(self) -> None:
        while True:
            with self.wake:
                while not self.waiting and not self.closing:
                    self.wake.wait()
                if not self.closing:
                    self.wake.wait_for(lambda: self.closing, self.together)
                items = list(self.waiting)
                self.waiting.clear()
            if items:
                self.write(items)
            if self.closing and not self.waiting:
                return
