"""A writer thread: writes items in order and in batches, so that the caller never waits for a disk."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import Any


class BackgroundWriter:
    """`write(items)` is called on the thread with all items put within `batch_window` (s) of the first one, and on closing with
    the rest. Hold `wake` to read `waiting` and change it in one step."""

    def __init__(self, write: Callable[[list[Any]], None], batch_window: float):
        self.write, self.batch_window = write, batch_window
        self.waiting: deque[Any] = deque()
        self.wake = threading.Condition()
        self.closing = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def put(self, item: Any) -> None:
        with self.wake:
            self.waiting.append(item)
            # only for the first item of a batch: waking the thread for each item takes time from the calling thread
            if len(self.waiting) == 1:
                self.wake.notify()

    def close(self) -> None:
        """All items have been written when this returns."""
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
                    self.wake.wait_for(lambda: self.closing, self.batch_window)
                items = list(self.waiting)
                self.waiting.clear()
            if items:
                self.write(items)
            if self.closing and not self.waiting:
                return
