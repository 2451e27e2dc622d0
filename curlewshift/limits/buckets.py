"""Token buckets by key, in bounded memory. No I/O; times are ns.

One-off keys must not push out the buckets of those who are held back: a table that is full lets go of buckets that have
refilled, as a new one would be the same, and where there is none of those, new keys share one bucket among them.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice

SECOND = 1_000_000_000
MOST = 50_000
# Looked at for one that has refilled, before a new key goes to the shared bucket.
LOOKED_AT = 8


class Bucket:
    __slots__ = ("at", "left", "refused", "since")

    def __init__(self, left: float, now: int):
        self.left, self.at, self.refused, self.since = left, now, 0, 0


class Buckets:
    """`rate` tokens a second, `burst` at most; `most` keys."""

    def __init__(self, rate: float, burst: float, now: int, most: int = MOST):
        self.rate, self.burst, self.most = rate, max(1.0, burst), most
        # in the order of their last use; a plain dict, with its holes in front, took a walk over them for each new key
        self.held: OrderedDict[str, Bucket] = OrderedDict()
        self.strangers = Bucket(self.burst, now)

    def __len__(self) -> int:
        return len(self.held)

    def take(self, key: str, now: int) -> int:
        """0 if there was a token, or in how many ns there will be one."""
        bucket = self.held.get(key)
        if bucket is not None:
            self.held.move_to_end(key)
        else:
            if len(self.held) >= self.most and not self._let_one_go(now):
                return self._from(self.strangers, now)
            bucket = self.held[key] = Bucket(self.burst, now)
        return self._from(bucket, now)

    def set_rate(self, rate: float, burst: float) -> None:
        """Lowered or raised while running: what is in a bucket already is cut to the new burst when it is read."""
        self.rate, self.burst = rate, max(1.0, burst)

    def refused(self, now: int) -> list[tuple[str, int, int]]:
        """Keys held back at present: (key, since when, how many)."""
        return [
            (key, bucket.since, bucket.refused)
            for key, bucket in self.held.items()
            if bucket.refused and self._level(bucket, now) < 1
        ]

    def _level(self, bucket: Bucket, now: int) -> float:
        # a clock that was set back gives nothing and takes nothing
        return min(self.burst, bucket.left + max(0, now - bucket.at) / SECOND * self.rate)

    def _from(self, bucket: Bucket, now: int) -> int:
        bucket.left, bucket.at = self._level(bucket, now), now
        if bucket.left >= 1:
            bucket.left -= 1
            bucket.refused = 0
            return 0
        bucket.since = bucket.since if bucket.refused else now
        bucket.refused += 1
        return int((1 - bucket.left) / self.rate * SECOND) + 1 if self.rate > 0 else SECOND

    def _let_one_go(self, now: int) -> bool:
        for key in list(islice(self.held, LOOKED_AT)):
            if self._level(self.held[key], now) >= self.burst:
                del self.held[key]
                return True
        return False
