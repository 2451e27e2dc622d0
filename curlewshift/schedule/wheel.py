"""A hierarchical timing wheel: the cost of adding and cancelling does not depend on the number of entries.

Suited to timers of which most are cancelled before they are due. After "Hashed and Hierarchical Timing Wheels" (Varghese
and Lauck, 1987). Times are whole nanoseconds and never go back.
"""

from __future__ import annotations

from operator import attrgetter
from typing import Any

# Slots per level and number of levels: with a tick of 10 ms the last level covers 47 hours to 124 days.
BITS = 6
SLOTS = 1 << BITS
LEVELS = 5


class Entry:
    """A timer; `item` is the caller's object."""

    __slots__ = ("at", "item", "number", "slot")

    def __init__(self, at: int, number: int, item: Any):
        self.at, self.number, self.item, self.slot = at, number, item, None


class Wheel:
    """`tick` is the width of a slot of the first level (ns). No item is returned before its time."""

    def __init__(self, now: int, tick: int = 10_000_000):
        self.tick, self.position, self.count, self.number = tick, now // tick, 0, 0
        self.levels: list[list[dict[Entry, None]]] = [[{} for _ in range(SLOTS)] for _ in range(LEVELS)]
        # by level, a bit for each slot that may have entries, so that empty slots can be skipped
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
        """False if the entry has already been returned by `due` or cancelled."""
        if entry.slot is None:
            return False
        del entry.slot[entry]
        entry.slot = None
        self.count -= 1
        return True

    def due(self, now: int) -> list[Any]:
        """Removes and returns all items that are due, ordered by time and then by the order in which they were added."""
        target, found = now // self.tick, []
        while self.count:
            slot = self.levels[0][self.position & SLOTS - 1]
            if slot:
                expired = [entry for entry in slot if entry.at <= now]
                for entry in expired:
                    del slot[entry]
                    entry.slot = None
                self.count -= len(expired)
                found += expired
            if self.position >= target:
                break
            self._step(target)
        self.position = max(self.position, target)
        found.sort(key=attrgetter("at", "number"))
        return [entry.item for entry in found]

    def next_due(self) -> int | None:
        """A time before which nothing is due: the exact time of the first entry if it is in the present turn of the first
        level, else the start of the next turn, when to ask again. None if there is no entry."""
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
        # the lowest level on which the entry lies within the present turn
        while level < LEVELS - 1 and at >> BITS * (level + 1) != self.position >> BITS * (level + 1):
            level += 1
        ahead = (at >> BITS * level) - (self.position >> BITS * level)
        index = (at >> BITS * level if ahead < SLOTS else (self.position >> BITS * level) + SLOTS - 1) & SLOTS - 1
        entry.slot = self.levels[level][index]
        entry.slot[entry] = None
        self.used[level] |= 1 << index

    def _step(self, target: int) -> None:
        """Advances to the next slot that may have entries; at the end of a turn, moves entries down from higher levels."""
        current = self.position & SLOTS - 1
        ahead = self.used[0] >> current + 1
        if ahead:
            skip = (ahead & -ahead).bit_length()
            if not self.levels[0][current + skip]:
                self.used[0] &= ~(1 << current + skip)
        else:
            skip = SLOTS - current
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
