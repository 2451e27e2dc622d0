"""Token buckets by key, in bounded memory. No I/O; times are ns.

Keys that are used once must not evict the buckets of keys that are being limited. A full table therefore evicts only
buckets that have refilled, as a new bucket would be equal to them; where there is none, new keys share one bucket.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice

SECOND = 1_000_000_000
MAX_KEYS = 50_000
# Least recently used buckets examined for one that has refilled, before a new key gets the shared bucket.
EVICTION_CANDIDATES = 8


class Bucket:
    __slots__ = ("refused", "refused_since", "tokens", "updated_at")

    def __init__(self, tokens: float, now: int):
        self.tokens, self.updated_at, self.refused, self.refused_since = tokens, now, 0, 0


class Buckets:
    """Buckets that gain `rate` tokens a second up to `burst`, for at most `max_keys` keys."""

    def __init__(self, rate: float, burst: float, now: int, max_keys: int = MAX_KEYS):
        self.rate, self.burst, self.max_keys = rate, max(1.0, burst), max_keys
        # least recently used first; with a plain dict, finding the first entry means skipping all deleted ones in front
        self.buckets: OrderedDict[str, Bucket] = OrderedDict()
        self.overflow = Bucket(self.burst, now)

    def __len__(self) -> int:
        return len(self.buckets)

    def take(self, key: str, now: int) -> int:
        """Takes a token. Returns 0, or the time (ns) until there is one if the bucket is empty."""
        bucket = self.buckets.get(key)
        if bucket is not None:
            self.buckets.move_to_end(key)
        else:
            if len(self.buckets) >= self.max_keys and not self._evict_refilled(now):
                return self._take_from(self.overflow, now)
            bucket = self.buckets[key] = Bucket(self.burst, now)
        return self._take_from(bucket, now)

    def set_rate(self, rate: float, burst: float) -> None:
        """Changes the limits while running; tokens beyond the new burst are dropped when a bucket is next read."""
        self.rate, self.burst = rate, max(1.0, burst)

    def refused(self, now: int) -> list[tuple[str, int, int]]:
        """Keys that are refused at present: (key, since when, number of refusals)."""
        return [
            (key, bucket.refused_since, bucket.refused)
            for key, bucket in self.buckets.items()
            if bucket.refused and self._tokens(bucket, now) < 1
        ]

    def _tokens(self, bucket: Bucket, now: int) -> float:
        # a clock that is set back neither adds nor removes tokens
        return min(self.burst, bucket.tokens + max(0, now - bucket.updated_at) / SECOND * self.rate)

    def _take_from(self, bucket: Bucket, now: int) -> int:
        bucket.tokens, bucket.updated_at = self._tokens(bucket, now), now
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            bucket.refused = 0
            return 0
        bucket.refused_since = bucket.refused_since if bucket.refused else now
        bucket.refused += 1
        return int((1 - bucket.tokens) / self.rate * SECOND) + 1 if self.rate > 0 else SECOND

    def _evict_refilled(self, now: int) -> bool:
        for key in list(islice(self.buckets, EVICTION_CANDIDATES)):
            if self._tokens(self.buckets[key], now) >= self.burst:
                del self.buckets[key]
                return True
        return False
