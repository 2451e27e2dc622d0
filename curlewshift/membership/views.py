"""Digests of a view: equal views have equal digests, and the buckets locate where two views differ.

Each present member contributes one hash to one bucket by exclusive or, so that a change costs the same at any size. Absent
members are left out: each front forgets them at a time of its own, and comparisons would bring them back for ever.
"""

from __future__ import annotations

from functools import reduce
from hashlib import blake2b
from operator import xor

BUCKETS = 32


def bucket_of(name: str) -> int:
    """The bucket of the member with this name."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


class Views:
    """The digest of one view, kept up to date with each change of a member."""

    def __init__(self):
        self.buckets = [0] * BUCKETS
        self.digest = 0

    def toggle(self, name: str, life: int, incarnation: int) -> None:
        """Adds a member with this life and incarnation to the digest, or removes it."""
        digest = blake2b(f"{name} {life} {incarnation}".encode(), digest_size=8).digest()
        number = int.from_bytes(digest, "big") >> 2
        self.buckets[bucket_of(name)] ^= number
        self.digest ^= number

    def to_bytes(self) -> bytes:
        return b"".join(number.to_bytes(8, "big") for number in self.buckets)

    def differing_buckets(self, encoded: bytes) -> list[int]:
        """Indices of the buckets that differ from the encoded ones; all of them if the length is wrong."""
        if len(encoded) != 8 * BUCKETS:
            return list(range(BUCKETS))
        other_buckets = [int.from_bytes(encoded[offset : offset + 8], "big") for offset in range(0, len(encoded), 8)]
        return [bucket for bucket in range(BUCKETS) if other_buckets[bucket] != self.buckets[bucket]]

    def consistent(self) -> bool:
        return reduce(xor, self.buckets) == self.digest
