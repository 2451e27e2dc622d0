"""A view as numbers that can be compared: equal views give equal numbers, and buckets tell where two differ.

Each member that is in adds one hash to one bucket by exclusive or, so that a change costs the same at any size. Who is gone
is left out: it is forgotten by each front at a time of its own, and would be brought back for ever.
"""

from __future__ import annotations

from functools import reduce
from hashlib import blake2b
from operator import xor

BUCKETS = 32


def bucket_of(name: str) -> int:
    """The bucket of a member, by its name."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


class Views:
    def __init__(self):
        self.buckets = [0] * BUCKETS
        self.whole = 0

    def flip(self, name: str, life: int, incarnation: int) -> None:
        """A member with this life and incarnation comes in, or goes out."""
        digest = blake2b(f"{name} {life} {incarnation}".encode(), digest_size=8).digest()
        number = int.from_bytes(digest, "big") >> 2
        self.buckets[bucket_of(name)] ^= number
        self.whole ^= number

    def written(self) -> bytes:
        return b"".join(number.to_bytes(8, "big") for number in self.buckets)

    def differ(self, written: bytes) -> list[int]:
        """Buckets that are not the same there; all of them where nothing of that size came."""
        if len(written) != 8 * BUCKETS:
            return list(range(BUCKETS))
        theirs = [int.from_bytes(written[at : at + 8], "big") for at in range(0, len(written), 8)]
        return [bucket for bucket in range(BUCKETS) if theirs[bucket] != self.buckets[bucket]]

    def sound(self) -> bool:
        return reduce(xor, self.buckets) == self.whole
