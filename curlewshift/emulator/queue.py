"""Event queues for discrete-event simulation in virtual time. Events of the same instant run in the order of scheduling.

Most events are due within milliseconds or seconds and none is cancelled, so they are kept in buckets of one millisecond:
scheduling appends to a list, and a bucket is sorted once, when it becomes due. A plain binary heap serves as the reference
for `curlewshift measure events`.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

# Width of a bucket in ns.
BUCKET = 1_000_000


class EventLimitExceeded(Exception):
    """A run exceeded its maximum number of events, so it would probably not have ended."""


class Buckets:
    """Event queue with buckets of one millisecond; times in ns."""

    def __init__(self, now: int = 0):
        self.now = now
        self.buckets: dict[int, list[tuple]] = {}
        self.keys: list[int] = []
        # the bucket being processed, as a heap: events that are scheduled into it meanwhile are pushed onto it
        self.current: list[tuple] = []
        self.current_key = -1
        self.count = 0

    def __len__(self) -> int:
        return len(self.current) + sum(len(bucket) for bucket in self.buckets.values())

    def at(self, when: int, call: Callable, *args: object) -> None:
        """Schedules a call; a time in the past counts as now."""
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

    def run(self, until: int, max_events: int = 10**9) -> int:
        """Runs the events due up to `until` and returns their number. Raises `EventLimitExceeded` at `max_events`."""
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
            if done >= max_events:
                raise EventLimitExceeded(f"{max_events} events came before {until / 1e9:.1f} s were over")
        self.now = max(self.now, until)
        return done


class Heap:
    """Event queue on one binary heap."""

    def __init__(self, now: int = 0):
        self.now, self.heap, self.count = now, [], 0

    def __len__(self) -> int:
        return len(self.heap)

    def at(self, when: int, call: Callable, *args: object) -> None:
        self.count += 1
        heapq.heappush(self.heap, (max(when, self.now), self.count, call, args))

    def run(self, until: int, max_events: int = 10**9) -> int:
        done = 0
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
            done += 1
            if done >= max_events:
                raise EventLimitExceeded(f"{max_events} events came before {until / 1e9:.1f} s were over")
        self.now = max(self.now, until)
        return done
