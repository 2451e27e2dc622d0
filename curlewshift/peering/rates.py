"""Byte rates: a decaying sum of what was spent recently, and a token bucket for what may be spent. No I/O; times are in ns."""

from __future__ import annotations

from math import exp

SECOND = 1_000_000_000


class DecayingSum:
    """An exponentially decaying sum, updated when it is read: `time_constant` (ns) is the time in which a burst decays to 1/e."""

    def __init__(self, now: int, time_constant: int = 10 * SECOND):
        self.at, self.time_constant, self.sum, self.total = now, time_constant, 0.0, 0

    def add(self, now: int, count: int) -> None:
        self.sum = self.read(now) + count
        self.at = max(now, self.at)
        self.total += count

    def read(self, now: int) -> float:
        return self.sum * exp(-max(0, now - self.at) / self.time_constant)

    def per_second(self, now: int) -> float:
        return self.read(now) * SECOND / self.time_constant


class TokenBucket:
    """Refills at `rate` bytes/s; the burst is one second's worth."""

    def __init__(self, rate: float, now: int):
        self.rate, self.tokens, self.at = rate, rate, now

    def take(self, now: int, count: int) -> bool:
        """Takes `count` bytes if they are available; otherwise False, and nothing is taken or queued."""
        self.tokens = min(self.rate, self.tokens + max(0, now - self.at) * self.rate / SECOND)
        self.at = max(now, self.at)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True
