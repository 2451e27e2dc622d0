"""Sends configuration contents to members that request them, limited in bytes per second and in concurrent requesters; further
requesters are told when to retry.

Without these limits, 70 empty nodes that start at once would fetch everything from the few members they discover first.
"""

from __future__ import annotations

from typing import Protocol

from curlewshift.distribution.library import ContentCache
from curlewshift.distribution.pieces import packed_difference, packed_full, packing_id, piece_at, piece_count
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import Version

NS = 1_000_000_000
# Size of a piece's datagram without the piece itself.
FRAME_BYTES = 180


class Driver(Protocol):
    def now(self) -> int: ...
    def send_piece(self, to: str, version: Version, base: bytes, packing: bytes, total: int, index: int, data: bytes) -> bool: ...
    def send_busy(self, to: str, version: Version, after: int) -> None: ...
    def send_not_held(self, to: str, version: Version) -> None: ...


class ContentProvider:
    """The sending side of one node. `is_store` is true at control machines, which have higher limits."""

    def __init__(self, driver: Driver, library: ContentCache, terms: DistributionTerms, is_store: bool = False):
        self.driver, self.library, self.terms = driver, library, terms
        self.rate = terms.store_give_bytes if is_store else terms.give_bytes
        self.burst = max(self.rate, terms.give_burst)
        self.max_requesters = terms.store_max_requesters if is_store else terms.max_requesters
        self.byte_budget, self.refilled_at = float(self.burst), driver.now()
        self.busy_replies_left = float(terms.max_busy_replies)
        self.requesters: dict[str, int] = {}
        self.given_bytes = self.times_busy = 0

    def handle_request(self, requester: str, version: Version, base: bytes, packing: bytes, missing: list[int]) -> None:
        """`base` is the digest of a content that the requester holds, `packing` the id of the packing it has begun to collect,
        and `missing` the pieces of that packing it still needs."""
        content = self.library.get(version.digest)
        if content is None:
            self.driver.send_not_held(requester, version)
            return
        now = self.driver.now()
        self._refill(now)
        base, packed = self._choose_packing(content, base, packing)
        name, total = packing_id(packed), piece_count(packed)
        wait = self._wait_time(requester, now, total)
        if wait:
            self._reply_busy(requester, version, wait)
            return
        if total > 1:
            self.requesters[requester] = now
        wanted = missing if name == packing else list(range(total))
        for index in wanted[: self.terms.window]:
            if index >= total:
                break
            data = piece_at(packed, index)
            if self.byte_budget <= 0 or not self.driver.send_piece(requester, version, base, name, total, index, data):
                # the remaining pieces can be requested from another provider
                self._reply_busy(requester, version, max(self._wait_time(requester, now, total), NS // 2))
                break
            self.byte_budget -= len(data) + FRAME_BYTES
            self.given_bytes += len(data) + FRAME_BYTES

    def _reply_busy(self, requester: str, version: Version, after: int) -> None:
        self.times_busy += 1
        if self.busy_replies_left >= 1:
            self.busy_replies_left -= 1
            self.driver.send_busy(requester, version, after)

    def _choose_packing(self, content: bytes, base: bytes, packing: bytes) -> tuple[bytes, bytes]:
        full, held = packed_full(content), self.library.get(base)
        if held is None or packing_id(full) == packing:
            return b"", full
        difference = packed_difference(content, held)
        return (base, difference) if len(difference) < len(full) else (b"", full)

    def _refill(self, now: int) -> None:
        elapsed = max(0, now - self.refilled_at) / NS
        self.byte_budget = min(self.burst, self.byte_budget + elapsed * self.rate)
        self.busy_replies_left = min(self.terms.max_busy_replies, self.busy_replies_left + elapsed * self.terms.max_busy_replies)
        self.refilled_at = max(now, self.refilled_at)

    def _wait_time(self, requester: str, now: int, total: int) -> int:
        """Time (ns) until the requester may retry; 0 if it can be served now. A content of one piece is sent to any requester;
        a larger content is sent to few requesters at a time, as otherwise all of them would complete late."""
        self.requesters = {name: at for name, at in self.requesters.items() if now - at < NS}
        if self.byte_budget <= 0:
            return int((FRAME_BYTES - self.byte_budget) * NS / self.rate)
        if total > 1 and requester not in self.requesters and len(self.requesters) >= self.max_requesters:
            return NS
        return 0
