"""The order in which viewings are admitted: by package, the one with the most value for the room it takes first, and within a
package by a hash of the viewer.

Value for room is the package's value over the rate of its floor (lowest permitted quality layer), as that is what a viewing needs
where everything is full; the rules step viewings in the same order. By value alone, valuable viewings that need much room would
displace more value than they add.

The hash changes by the hour, so that nobody is last for ever, and is the same at every front: a viewer refused at one front is
refused at the next, and need not try them all (DAGOR; Zhou et al. 2018). A rank is a number of steps, `STEPS_PER_PACKAGE` for
each package, the least valuable lowest. The first part of a package by the hash is its floor, admitted at any level. A viewer
that returns after an interruption ranks among the first below the floor: what it had begun is lost otherwise, which costs it more
than not starting. When half the servers are lost, however, all their viewers return at once, and not all of them can be admitted.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from curlewshift.model import Package

STEPS_PER_PACKAGE = 64
HOUR_NS = 3600 * 1_000_000_000


class SheddingOrder:
    """Ranks of viewings; `floor` is the part of each package that is always admitted."""

    def __init__(self, packages: Iterable[Package], floor: float):
        self.floor_start = int(STEPS_PER_PACKAGE * (1 - floor))
        # ties are broken by name, alike at every front
        ranked = sorted(packages, key=lambda package: (package.value / package.rates[package.floor], package.name))
        self.base = {package: number * STEPS_PER_PACKAGE for number, package in enumerate(ranked)}
        self.top = len(ranked) * STEPS_PER_PACKAGE

    def rank(self, package: Package, who: str, wall: int, came_back: bool = False) -> int:
        """Rank of a viewing. `wall` is Unix time (ns)."""
        base = self.base[package]
        hashed = int.from_bytes(blake2b(f"{wall // HOUR_NS} {who}".encode(), digest_size=2).digest())
        if came_back:
            returning_start = self.floor_start * 3 // 4
            return base + returning_start + hashed * (self.floor_start - returning_start) // 65536
        return base + hashed * STEPS_PER_PACKAGE // 65536

    def floored(self, rank: int) -> bool:
        """Whether the rank is in the part of its package that is admitted at any level, its first by the hash."""
        return rank % STEPS_PER_PACKAGE >= self.floor_start
