"""What a node gives of contents, within bounds: so many bytes a second to so many askers; the rest is told when to come again.

Seventy empty nodes that start at once would otherwise take all from the few that they hear of first.
"""

from __future__ import annotations

from typing import Protocol

from curlewshift.distribution.library import Library
from curlewshift.distribution.pieces import name_of, packed_difference, packed_whole, piece, pieces_of
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import Version

NS = 1_000_000_000
# A piece's datagram beyond the piece itself.
FRAME = 180


class Driver(Protocol):
    def now(self) -> int: ...
    def give(self, to: str, version: Version, base: bytes, packing: bytes, total: int, index: int, data: bytes) -> bool: ...
    def busy(self, to: str, version: Version, after: int) -> None: ...
    def have_not(self, to: str, version: Version) -> None: ...


class Giver:
    def __init__(self, driver: Driver, library: Library, terms: DistributionTerms, is_store: bool = False):
        self.driver, self.library, self.terms = driver, library, terms
        self.rate = terms.store_give_bytes if is_store else terms.give_bytes
        self.burst = max(self.rate, terms.give_burst)
        self.most_askers = terms.store_most_askers if is_store else terms.most_askers
        self.left, self.at = float(self.burst), driver.now()
        self.busy_left = float(terms.most_busy)
        self.askers: dict[str, int] = {}
        self.given_bytes = self.times_busy = 0

    def asked(self, asker: str, version: Version, base: bytes, packing: bytes, missing: list[int]) -> None:
        """`base` is the digest of what the asker has, `packing` the name of what it has begun to collect."""
        content = self.library.get(version.digest)
        if content is None:
            self.driver.have_not(asker, version)
            return
        now = self.driver.now()
        self._refill(now)
        base, packed = self._packing(content, base, packing)
        name, total = name_of(packed), pieces_of(packed)
        wait = self._wait(asker, now, total)
        if wait:
            self._busy(asker, version, wait)
            return
        if total > 1:
            self.askers[asker] = now
        wanted = missing if name == packing else list(range(total))
        for index in wanted[: self.terms.window]:
            if index >= total:
                break
            data = piece(packed, index)
            if self.left <= 0 or not self.driver.give(asker, version, base, name, total, index, data):
                # the rest is for another to give
                self._busy(asker, version, max(self._wait(asker, now, total), NS // 2))
                break
            self.left -= len(data) + FRAME
            self.given_bytes += len(data) + FRAME

    def _busy(self, asker: str, version: Version, after: int) -> None:
        self.times_busy += 1
        if self.busy_left >= 1:
            self.busy_left -= 1
            self.driver.busy(asker, version, after)

    def _packing(self, content: bytes, base: bytes, packing: bytes) -> tuple[bytes, bytes]:
        whole, held = packed_whole(content), self.library.get(base)
        if held is None or name_of(whole) == packing:
            return b"", whole
        difference = packed_difference(content, held)
        return (base, difference) if len(difference) < len(whole) else (b"", whole)

    def _refill(self, now: int) -> None:
        passed = max(0, now - self.at) / NS
        self.left = min(self.burst, self.left + passed * self.rate)
        self.busy_left = min(self.terms.most_busy, self.busy_left + passed * self.terms.most_busy)
        self.at = max(now, self.at)

    def _wait(self, asker: str, now: int, total: int) -> int:
        """0: it may be given something now. A single piece is given to anyone; of a whole content to few at once, or all would
        have theirs late."""
        self.askers = {name: at for name, at in self.askers.items() if now - at < NS}
        if self.left <= 0:
            return int((FRAME - self.left) * NS / self.rate)
        if total > 1 and asker not in self.askers and len(self.askers) >= self.most_askers:
            return NS
        return 0
