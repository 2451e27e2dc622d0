"""Heavy hitters in bounded memory: the Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005), with decay. No I/O.

At most `places` keys are counted. A new key replaces the one with the lowest count and inherits that count, which is then
the upper bound of its error. A key with more than 1/`places` of all requests is guaranteed to be counted. Counts halve
once per `half_life` (ns), so that a flood of an hour ago is forgotten.
"""

from __future__ import annotations

import heapq

SECOND = 1_000_000_000
PLACES = 256
HALF_LIFE = 10 * SECOND


class HeavyHitters:
    def __init__(self, now: int, places: int = PLACES, half_life: int = HALF_LIFE):
        self.places, self.half_life = places, half_life
        # key: [count, error]; heap entries are (count at insertion, key) and are corrected when they reach the top
        self.counts: dict[str, list[float]] = {}
        self.heap: list[tuple[float, str]] = []
        self.next_halving = now + half_life
        self.total = 0.0

    def add(self, key: str, now: int) -> None:
        if now >= self.next_halving:
            self._halve(now)
        self.total += 1
        counter = self.counts.get(key)
        if counter is not None:
            counter[0] += 1
            return
        if len(self.counts) < self.places:
            self.counts[key] = [1.0, 0.0]
            heapq.heappush(self.heap, (1.0, key))
            return
        lightest = self._lightest()
        count = self.counts.pop(lightest)[0]
        self.counts[key] = [count + 1, count]
        heapq.heapreplace(self.heap, (count + 1, key))

    def share(self, key: str) -> float:
        """The share of all requests that is certain to be this key's."""
        count, error = self.counts.get(key, (0.0, 0.0))
        return (count - error) / self.total if self.total else 0.0

    def top(self, limit: int) -> list[tuple[str, float, float]]:
        """(key, count, maximum error) of the heaviest keys, the heaviest first."""
        ranked = sorted(self.counts.items(), key=lambda item: (-item[1][0], item[0]))
        return [(key, count, error) for key, (count, error) in ranked[:limit]]

    def _lightest(self) -> str:
        """Returns the key with the lowest count and leaves it on top of the heap."""
        while True:
            count, key = self.heap[0]
            now = self.counts[key][0]
            if now == count:
                return key
            heapq.heapreplace(self.heap, (now, key))

    def _halve(self, now: int) -> None:
        while now >= self.next_halving:
            self.next_halving += self.half_life
            self.total /= 2
            for counter in self.counts.values():
                counter[0] /= 2
                counter[1] /= 2
            if now - self.next_halving > 60 * self.half_life:
                self.next_halving = now + self.half_life
                self.counts.clear()
                self.total = 0.0
        self.heap = [(counter[0], key) for key, counter in self.counts.items()]
        heapq.heapify(self.heap)
