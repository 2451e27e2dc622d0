"""Contents that are wanted, taken in pieces from who has them: near ones first, one at a time, another when one is busy or
silent.

What has come is believed by its digest alone. A giver whose pieces came to something else is left alone for a while, and the
whole is asked for from another.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from curlewshift.distribution.library import Library
from curlewshift.distribution.pieces import MOST_PIECES, CorruptContent, Parts, unpacked
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import NONE, Version, digest_of

# Packings of one content that are collected beside each other; a giver with another base or library packs otherwise.
MOST_PACKINGS = 3
# Contents wanted at once; the oldest goes first: of a writer that is gone before it gave any, nobody has it.
MOST_WANTED = 6


class Driver(Protocol):
    def now(self) -> int: ...
    def near(self, names: list[str]) -> list[str]: ...
    def ask(self, giver: str, version: Version, base: bytes, packing: bytes, missing: list[int]) -> None: ...
    def came(self, version: Version, content: bytes) -> None: ...
    def spoilt(self, version: Version, by: str, why: str) -> None: ...


class Wanted:
    """`givers` tells who has it, as far as is known."""

    __slots__ = ("asked", "asked_at", "due", "givers", "heard_at", "parts", "tries", "version", "whole_only")

    def __init__(self, version: Version, givers: Callable[[], list[str]]):
        self.version, self.givers = version, givers
        self.parts: dict[bytes, Parts] = {}
        self.asked, self.asked_at, self.heard_at, self.whole_only = "", 0, 0, False
        # pieces that the one asked may still send; none told of how many there are before the first came
        self.due = self.tries = 0


class Fetch:
    def __init__(self, driver: Driver, library: Library, terms: DistributionTerms, rng: Random):
        self.driver, self.library, self.terms, self.rng = driver, library, terms, rng
        self.wanted: dict[bytes, Wanted] = {}
        # who is left alone, until when
        self.resting: dict[str, int] = {}
        # what this node has for certain, as the base of a difference
        self.base = b""

    def want(self, version: Version, givers: Callable[[], list[str]]) -> None:
        held = self.library.get(version.digest)
        if held is not None:
            self.driver.came(version, held)
        elif version.digest in self.wanted:
            # who has it is known better now than when it was first wanted (history 49: for ever asked of one that had lost it)
            self.wanted[version.digest].givers = givers
        else:
            if len(self.wanted) >= MOST_WANTED:
                del self.wanted[next(iter(self.wanted))]
            wanted = self.wanted[version.digest] = Wanted(version, givers)
            self._ask(wanted)

    def drop(self, version: Version) -> None:
        self.wanted.pop(version.digest, None)

    def time(self) -> None:
        now = self.driver.now()
        self.resting = {name: until for name, until in self.resting.items() if until > now}
        for wanted in list(self.wanted.values()):
            wanted.tries = 0
            if wanted.asked and now - max(wanted.asked_at, wanted.heard_at) > self.terms.ask_within:
                # silent, or its last pieces were lost: after some that came, it is asked for the rest
                if not wanted.heard_at:
                    self.resting[wanted.asked] = now + self.terms.rest
                wanted.asked = ""
            if not wanted.asked:
                self._ask(wanted)

    # ---- givers' words

    def piece(self, giver: str, version: Version, base: bytes, packing: bytes, total: int, index: int, data: bytes) -> None:
        wanted = self.wanted.get(version.digest)
        if wanted is None or not 0 < total <= MOST_PIECES:
            return
        if base and self.library.get(base) is None:
            return
        parts = wanted.parts.get(packing)
        if parts is None:
            if len(wanted.parts) >= MOST_PACKINGS:
                wanted.parts.clear()
            parts = wanted.parts[packing] = Parts(base, total)
        parts.put(index, data)
        if wanted.asked == giver:
            wanted.heard_at = self.driver.now()
            wanted.due -= 1
        if parts.whole:
            del wanted.parts[packing]
            self._whole(wanted, giver, parts)
        elif wanted.asked == giver and wanted.due <= 0:
            self._ask(wanted, of=giver)

    def busy(self, giver: str, version: Version, after: int) -> None:
        self._not_now(giver, version, max(after, self.terms.ask_within // 4))

    def have_not(self, giver: str, version: Version) -> None:
        self._not_now(giver, version, self.terms.rest // 4)

    def _not_now(self, giver: str, version: Version, after: int) -> None:
        # not all at the same moment again
        self.resting[giver] = self.driver.now() + int(min(after, self.terms.rest) * self.rng.uniform(1, 2))
        wanted = self.wanted.get(version.digest)
        if wanted is not None and wanted.asked == giver:
            wanted.asked = ""
            wanted.tries += 1
            if wanted.tries < self.terms.tries_a_round:
                self._ask(wanted)

    # ---- the course of one

    def _ask(self, wanted: Wanted, of: str = "") -> None:
        now = self.driver.now()
        if not of:
            free = [name for name in wanted.givers() if self.resting.get(name, 0) <= now]
            near = self.driver.near(free)
            if not near:
                return
            of = self.rng.choice(near)
        packing, parts = max(wanted.parts.items(), key=lambda pair: len(pair[1].held), default=(b"", None))
        base = b"" if wanted.whole_only else self.base
        wanted.asked, wanted.asked_at, wanted.heard_at = of, now, 0
        missing = parts.missing(self.terms.window) if parts is not None else []
        wanted.due = len(missing) or self.terms.window
        self.driver.ask(of, wanted.version, base, packing, missing)

    def _whole(self, wanted: Wanted, giver: str, parts: Parts) -> None:
        try:
            base = self.library.get(parts.base) if parts.base else b""
            if base is None:
                raise CorruptContent("the base is not held any more")
            content = unpacked(parts.packed(), base)
            if not self._fits(content, wanted.version):
                raise CorruptContent("its digest is another than the version names")
        except CorruptContent as why:
            wanted.whole_only = True
            wanted.parts.clear()
            wanted.asked = ""
            self.resting[giver] = self.driver.now() + self.terms.rest
            self.driver.spoilt(wanted.version, giver, str(why))
            self._ask(wanted)
            return
        self.drop(wanted.version)
        self.driver.came(wanted.version, content)

    def _fits(self, content: bytes, version: Version) -> bool:
        return version != NONE and digest_of(content) == version.digest
