"""The order in which viewings are let in: by package, what is worth most for the room it takes first, and within one by a hash
of who asks.

Worth for room is value over the rate of the package's floor, as that is what a viewing needs where all is full; it is the order
in which the rules step viewings, too. By value alone, dear viewings that need much room push out more worth than they bring.

The hash changes by the hour, so that nobody is last for ever, and is the same at every front, so that who is refused at one is
refused at the next and need not go round (DAGOR; Zhou et al. 2018). A rank is a number of steps: `STEPS` a package, least
value lowest. The first of a package by the hash are its floor, let in at any level. Who comes back after a break is put among the
first of those who are not: what it had was begun and is lost otherwise, and that costs its viewer more than not to begin; but
when half the servers are lost, all who played there come back at once, and not all of them can be let in.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from curlewshift.model import Package

STEPS = 64
HOUR = 3600 * 1_000_000_000


class SheddingOrder:
    def __init__(self, packages: Iterable[Package], floor: float):
        self.under_floor = int(STEPS * (1 - floor))
        # of two of the same worth the name decides, alike everywhere
        ranked = sorted(packages, key=lambda package: (package.value / package.rates[package.floor], package.name))
        self.base = {package: number * STEPS for number, package in enumerate(ranked)}
        self.top = len(ranked) * STEPS

    def rank(self, package: Package, who: str, wall: int, came_back: bool = False) -> int:
        """`wall` is Unix time (ns)."""
        base = self.base[package]
        told = int.from_bytes(blake2b(f"{wall // HOUR} {who}".encode(), digest_size=2).digest())
        if came_back:
            first = self.under_floor * 3 // 4
            return base + first + told * (self.under_floor - first) // 65536
        return base + told * STEPS // 65536

    def floored(self, rank: int) -> bool:
        """Whether it is among the part of its package that is let in at any level: its first by the hash."""
        return rank % STEPS >= self.under_floor
