"""What happens when, in virtual time. Events of one instant come in the order in which they were set.

Most events lie within milliseconds or seconds of now and none is taken back, so they are put into buckets of a
millisecond: to set one is to append to a list, and a bucket is sorted once, when its time has come. A plain heap is
beside it, to be measured against (`curlewshift measure events`).
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

BUCKET = 1_000_000


class EventLimitExceeded(Exception):
    """More events came than a run may have: it would not have ended."""


class Buckets:
    def __init__(self, now: int = 0):
        self.now = now
        self.buckets: dict[int, list[tuple]] = {}
        self.keys: list[int] = []
        # the bucket that is being emptied, as a heap: what is set for its time meanwhile goes into it
        self.current: list[tuple] = []
        self.current_key = -1
        self.count = 0

    def __len__(self) -> int:
        return len(self.current) + sum(len(bucket) for bucket in self.buckets.values())

    def at(self, when: int, call: Callable, *args: object) -> None:
        """A time that is over is now."""
        when = max(when, self.now)
        self.count += 1
        key = when // BUCKET
        if key <= self.current_key:
            heapq.heappush(self.current, (when, self.count, call, args))
        elif key in self.buckets:
            self.buckets[key].append((when, self.count, call, args))
        else:
            self.buckets[key] = [(when, self.count, call, args)]
            heapq.heappush(self.keys, key)

    def run(self, until: int, most: int = 10**9) -> int:
        """All that happens up to `until`; returns how many events those were. Raises `EventLimitExceeded` beyond `most`."""
        done = 0
        while True:
            if not self.current:
                if not self.keys or self.keys[0] * BUCKET > until:
                    break
                self.current_key = heapq.heappop(self.keys)
                self.current = self.buckets.pop(self.current_key)
                # a sorted list is a heap
                self.current.sort()
            if self.current[0][0] > until:
                break
            when, _, call, args = heapq.heappop(self.current)
            self.now = when
            call(*args)
            done += 1
            if done >= most:
                raise EventLimitExceeded(f"{most} events came before {until / 1e9:.1f} s were over")
        self.now = max(self.now, until)
        return done


class Heap:
    """The plain one."""

    def __init__(self, now: int = 0):
        self.now, self.heap, self.count = now, [], 0

    def __len__(self) -> int:
        return len(self.heap)

    def at(self, when: int, call: Callable, *args: object) -> None:
        self.count += 1
        heapq.heappush(self.heap, (max(when, self.now), self.count, call, args))

    def run(self, until: int, most: int = 10**9) -> int:
        done = 0
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
            done += 1
            if done >= most:
                raise EventLimitExceeded(f"{most} events came before {until / 1e9:.1f} s were over")
        self.now = max(self.now, until)
        return done
