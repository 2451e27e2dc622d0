"""A timing wheel in levels: adding and taking back cost the same however many things are due some time.

Used where most of what is set is taken back before it is due, such as the keys of viewings. The idea is that of
hashed and hierarchical timing wheels (Varghese and Lauck, 1987). Times are whole nanoseconds and never go back.
"""

from __future__ import annotations

from operator import attrgetter
from typing import Any

# Slots of a level, and levels: with a tick of 10 ms the last one begins at 7 hours and reaches 19 days.
BITS = 6
SLOTS = 1 << BITS
LEVELS = 5


class Entry:
    """Something due. `item` is whatever was given."""

    __slots__ = ("at", "item", "number", "slot")

    def __init__(self, at: int, number: int, item: Any):
        self.at, self.number, self.item, self.slot = at, number, item, None


class Wheel:
    """`tick` is the width of a slot of the first level (ns). Nothing is ever told before its time."""

    def __init__(self, now: int, tick: int = 10_000_000):
        self.tick, self.position, self.count, self.number = tick, now // tick, 0, 0
        self.levels: list[list[dict[Entry, None]]] = [[{} for _ in range(SLOTS)] for _ in range(LEVELS)]
        # a bit for each slot of a level that may hold something, so that empty stretches cost nothing
        self.used = [0] * LEVELS

    def __len__(self) -> int:
        return self.count

    def add(self, at: int, item: Any) -> Entry:
        self.number += 1
        entry = Entry(at, self.number, item)
        self._place(entry)
        self.count += 1
        return entry

    def cancel(self, entry: Entry) -> bool:
        """False if it was told or taken back already."""
        if entry.slot is None:
            return False
        del entry.slot[entry]
        entry.slot = None
        self.count -= 1
        return True

    def due(self, now: int) -> list[Any]:
        """All items whose time has come, by time, and in the order they were added where that is the same."""
        target, found = now // self.tick, []
        while self.count:
            slot = self.levels[0][self.position & SLOTS - 1]
            if slot:
                ripe = [entry for entry in slot if entry.at <= now]
                for entry in ripe:
                    del slot[entry]
                    entry.slot = None
                self.count -= len(ripe)
                found += ripe
            if self.position >= target:
                break
            self._step(target)
        self.position = max(self.position, target)
        found.sort(key=attrgetter("at", "number"))
        return [entry.item for entry in found]

    def next_due(self) -> int | None:
        """A time before which nothing is due: the time itself within the first level, else that of a later look."""
        if not self.count:
            return None
        for step in range(SLOTS):
            slot = self.levels[0][self.position + step & SLOTS - 1]
            if slot:
                return min(entry.at for entry in slot)
            if step and not self.position + step & SLOTS - 1:
                break
        return ((self.position >> BITS) + 1 << BITS) * self.tick

    def _place(self, entry: Entry) -> None:
        at = max(entry.at // self.tick, self.position)
        level = 0
        # the level on which its slot is another than the present one's, within the turn under way
        while level < LEVELS - 1 and at >> BITS * (level + 1) != self.position >> BITS * (level + 1):
            level += 1
        ahead = (at >> BITS * level) - (self.position >> BITS * level)
        index = (at >> BITS * level if ahead < SLOTS else (self.position >> BITS * level) + SLOTS - 1) & SLOTS - 1
        entry.slot = self.levels[level][index]
        entry.slot[entry] = None
        self.used[level] |= 1 << index

    def _step(self, target: int) -> None:
        """One slot on, or over an empty stretch to its end; what a higher level held for it comes down."""
        here = self.position & SLOTS - 1
        ahead = self.used[0] >> here + 1
        if ahead:
            skip = (ahead & -ahead).bit_length()
            if not self.levels[0][here + skip]:
                self.used[0] &= ~(1 << here + skip)
        else:
            skip = SLOTS - here
        self.position = min(self.position + skip, target)
        if self.position & SLOTS - 1:
            return
        self.used[0] = 0
        for level in range(1, LEVELS):
            index = self.position >> BITS * level & SLOTS - 1
            slot = self.levels[level][index]
            self.used[level] &= ~(1 << index)
            entries = list(slot)
            slot.clear()
            for entry in entries:
                self._place(entry)
            if index:
                break
