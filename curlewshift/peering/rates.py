"""Bytes a second: what was spent of late, and what may still be. No I/O; times are ns."""

from __future__ import annotations

from math import exp

SECOND = 1_000_000_000


class Spent:
    """A decaying sum, brought up to date when it is read: `over` (ns) is the time in which a spurt fades to 1/e."""

    def __init__(self, now: int, over: int = 10 * SECOND):
        self.at, self.over, self.sum, self.whole = now, over, 0.0, 0

    def add(self, now: int, count: int) -> None:
        self.sum = self.read(now) + count
        self.at = max(now, self.at)
        self.whole += count

    def read(self, now: int) -> float:
        return self.sum * exp(-max(0, now - self.at) / self.over)

    def a_second(self, now: int) -> float:
        return self.read(now) * SECOND / self.over


class Allowance:
    """`rate` bytes a second, a second's worth at once."""

    def __init__(self, rate: float, now: int):
        self.rate, self.left, self.at = rate, rate, now

    def take(self, now: int, count: int) -> bool:
        """Whether so many may go; what does not go is not owed."""
        self.left = min(self.rate, self.left + max(0, now - self.at) * self.rate / SECOND)
        self.at = max(now, self.at)
        if self.left < count:
            return False
        self.left -= count
        return True
