"""Who asks most, in bounded memory: the Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005), with decay. No I/O.

Of all keys so many are counted; a new one takes the place of the least and inherits its count, which is then its error at
most. Whoever asks for more than 1/`places` of all is in it for sure. Counts halve with each period, so that a flood of an
hour ago is forgotten.
"""

from __future__ import annotations

import heapq

SECOND = 1_000_000_000
PLACES = 256
HALVES = 10 * SECOND


class HeavyHitters:
    def __init__(self, now: int, places: int = PLACES, halves: int = HALVES):
        self.places, self.halves = places, halves
        # key: [count, error]; the heap has (count as it was, key), and entries that are out of date are put right when
        # they come up
        self.counts: dict[str, list[float]] = {}
        self.heap: list[tuple[float, str]] = []
        self.due = now + halves
        self.total = 0.0

    def add(self, key: str, now: int) -> None:
        if now >= self.due:
            self._halve(now)
        self.total += 1
        held = self.counts.get(key)
        if held is not None:
            held[0] += 1
            return
        if len(self.counts) < self.places:
            self.counts[key] = [1.0, 0.0]
            heapq.heappush(self.heap, (1.0, key))
            return
        least = self._least()
        count = self.counts.pop(least)[0]
        self.counts[key] = [count + 1, count]
        heapq.heapreplace(self.heap, (count + 1, key))

    def part(self, key: str) -> float:
        """The part of all that is surely this key's."""
        count, error = self.counts.get(key, (0.0, 0.0))
        return (count - error) / self.total if self.total else 0.0

    def top(self, most: int) -> list[tuple[str, float, float]]:
        """(key, count, error at most), the heaviest first."""
        found = sorted(self.counts.items(), key=lambda one: (-one[1][0], one[0]))
        return [(key, count, error) for key, (count, error) in found[:most]]

    def _least(self) -> str:
        """The key with the least count is on top of the heap once this returns."""
        while True:
            count, key = self.heap[0]
            now = self.counts[key][0]
            if now == count:
                return key
            heapq.heapreplace(self.heap, (now, key))

    def _halve(self, now: int) -> None:
        while now >= self.due:
            self.due += self.halves
            self.total /= 2
            for held in self.counts.values():
                held[0] /= 2
                held[1] /= 2
            if now - self.due > 60 * self.halves:
                self.due = now + self.halves
                self.counts.clear()
                self.total = 0.0
        self.heap = [(held[0], key) for key, held in self.counts.items()]
        heapq.heapify(self.heap)
