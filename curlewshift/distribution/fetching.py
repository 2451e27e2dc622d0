"""Fetches configuration contents in pieces from members that hold them: nearest members first, one provider at a time, and
another provider when one is busy or silent.

Received data is trusted only if it matches the version's digest. A provider whose pieces result in other content is not asked
again for a back-off time, and the full content is requested from another.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from curlewshift.distribution.library import ContentCache
from curlewshift.distribution.pieces import MAX_PIECES, CorruptContent, ReceivedPieces, unpacked
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import NO_VERSION, Version, digest_of

# Packings of one content that are collected side by side; providers with another base or compression library pack differently.
MAX_PACKINGS = 3
# Contents fetched at the same time. The oldest is dropped first: if a writer stops before it sent a content, no member has it.
MAX_PENDING = 6


class Driver(Protocol):
    def now(self) -> int: ...
    def nearest(self, names: list[str]) -> list[str]: ...
    def request_pieces(self, provider: str, version: Version, base: bytes, packing: bytes, missing: list[int]) -> None: ...
    def content_received(self, version: Version, content: bytes) -> None: ...
    def content_corrupt(self, version: Version, by: str, reason: str) -> None: ...


class PendingFetch:
    """`providers` returns the names of the members known to hold the content."""

    __slots__ = (
        "attempts",
        "full_only",
        "last_received_at",
        "pieces_due",
        "provider",
        "providers",
        "received",
        "requested_at",
        "version",
    )

    def __init__(self, version: Version, providers: Callable[[], list[str]]):
        self.version, self.providers = version, providers
        self.received: dict[bytes, ReceivedPieces] = {}
        self.provider, self.requested_at, self.last_received_at, self.full_only = "", 0, 0, False
        # pieces that the asked provider may still send; the total is not known before the first piece arrives
        self.pieces_due = self.attempts = 0


class Fetcher:
    """All fetches of one node. `time` is to be called each `DistributionTerms.every`."""

    def __init__(self, driver: Driver, library: ContentCache, terms: DistributionTerms, rng: Random):
        self.driver, self.library, self.terms, self.rng = driver, library, terms, rng
        self.pending: dict[bytes, PendingFetch] = {}
        # providers that are not asked until the time given (ns)
        self.backoff_until: dict[str, int] = {}
        # digest of a content that this node holds, offered to providers as the base of a difference
        self.base = b""

    def request(self, version: Version, providers: Callable[[], list[str]]) -> None:
        """Starts to fetch a content; `Driver.content_received` is called at once if it is held already."""
        held = self.library.get(version.digest)
        if held is not None:
            self.driver.content_received(version, held)
        elif version.digest in self.pending:
            # the latest list of providers counts: with the first list, a node asked forever a member that had lost the content
            # (random history with seed 49)
            self.pending[version.digest].providers = providers
        else:
            if len(self.pending) >= MAX_PENDING:
                del self.pending[next(iter(self.pending))]
            fetch = self.pending[version.digest] = PendingFetch(version, providers)
            self._send_request(fetch)

    def cancel(self, version: Version) -> None:
        """Drops the fetch of this content, if there is one."""
        self.pending.pop(version.digest, None)

    def time(self) -> None:
        """One round: asks another provider where the current one has not answered in time."""
        now = self.driver.now()
        self.backoff_until = {name: until for name, until in self.backoff_until.items() if until > now}
        for fetch in list(self.pending.values()):
            fetch.attempts = 0
            if fetch.provider and now - max(fetch.requested_at, fetch.last_received_at) > self.terms.request_timeout:
                # the provider is silent, or its last pieces were lost; if some pieces arrived it is asked for the others
                if not fetch.last_received_at:
                    self.backoff_until[fetch.provider] = now + self.terms.backoff
                fetch.provider = ""
            if not fetch.provider:
                self._send_request(fetch)

    # ---- messages from providers

    def piece_received(
        self, provider: str, version: Version, base: bytes, packing: bytes, total: int, index: int, data: bytes
    ) -> None:
        fetch = self.pending.get(version.digest)
        if fetch is None or not 0 < total <= MAX_PIECES:
            return
        if base and self.library.get(base) is None:
            return
        received = fetch.received.get(packing)
        if received is None:
            if len(fetch.received) >= MAX_PACKINGS:
                fetch.received.clear()
            received = fetch.received[packing] = ReceivedPieces(base, total)
        received.add(index, data)
        if fetch.provider == provider:
            fetch.last_received_at = self.driver.now()
            fetch.pieces_due -= 1
        if received.complete:
            del fetch.received[packing]
            self._complete(fetch, provider, received)
        elif fetch.provider == provider and fetch.pieces_due <= 0:
            self._send_request(fetch, provider=provider)

    def provider_busy(self, provider: str, version: Version, after: int) -> None:
        """The provider sends nothing more for now, and may be asked again after `after` ns."""
        self._back_off(provider, version, max(after, self.terms.request_timeout // 4))

    def provider_lacks(self, provider: str, version: Version) -> None:
        """The provider does not hold the content."""
        self._back_off(provider, version, self.terms.backoff // 4)

    def _back_off(self, provider: str, version: Version, after: int) -> None:
        # random delay, so that requesters do not all retry at the same moment
        self.backoff_until[provider] = self.driver.now() + int(min(after, self.terms.backoff) * self.rng.uniform(1, 2))
        fetch = self.pending.get(version.digest)
        if fetch is not None and fetch.provider == provider:
            fetch.provider = ""
            fetch.attempts += 1
            if fetch.attempts < self.terms.attempts_per_round:
                self._send_request(fetch)

    # ---- steps of one fetch

    def _send_request(self, fetch: PendingFetch, provider: str = "") -> None:
        now = self.driver.now()
        if not provider:
            free = [name for name in fetch.providers() if self.backoff_until.get(name, 0) <= now]
            nearest = self.driver.nearest(free)
            if not nearest:
                return
            provider = self.rng.choice(nearest)
        packing, received = max(fetch.received.items(), key=lambda pair: len(pair[1].held), default=(b"", None))
        base = b"" if fetch.full_only else self.base
        fetch.provider, fetch.requested_at, fetch.last_received_at = provider, now, 0
        missing = received.missing(self.terms.window) if received is not None else []
        fetch.pieces_due = len(missing) or self.terms.window
        self.driver.request_pieces(provider, fetch.version, base, packing, missing)

    def _complete(self, fetch: PendingFetch, provider: str, received: ReceivedPieces) -> None:
        try:
            base = self.library.get(received.base) if received.base else b""
            if base is None:
                raise CorruptContent("the base of the difference is no longer held")
            content = unpacked(received.packed(), base)
            if not self._fits(content, fetch.version):
                raise CorruptContent("digest mismatch: the content does not match its version")
        except CorruptContent as error:
            fetch.full_only = True
            fetch.received.clear()
            fetch.provider = ""
            self.backoff_until[provider] = self.driver.now() + self.terms.backoff
            self.driver.content_corrupt(fetch.version, provider, str(error))
            self._send_request(fetch)
            return
        self.cancel(fetch.version)
        self.driver.content_received(fetch.version, content)

    def _fits(self, content: bytes, version: Version) -> bool:
        return version != NO_VERSION and digest_of(content) == version.digest
