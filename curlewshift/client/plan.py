"""Retry policy of the client, without I/O: decides whether to retry, wait, follow a redirect or give up. `Caller` drives it.

All tries of one request carry the same idempotency key, so that one front makes at most one set-up, however often it is asked.
The key is unknown at another front. A try whose outcome is unknown is therefore repeated at the same front only; another front
is tried after an answer which proves that nothing was executed, or if a second set-up does no harm (`twice`).
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

NS_PER_SECOND = 1_000_000_000
# Exponential backoff after a try without an answer (ns), with random jitter.
INITIAL_BACKOFF_NS = NS_PER_SECOND // 10
MAX_BACKOFF_NS = 2 * NS_PER_SECOND
MAX_REDIRECTS = 4


@dataclass(frozen=True, slots=True)
class Ask:
    """Send the request to this front after `wait` ns."""

    front: str
    wait: int = 0


@dataclass(frozen=True, slots=True)
class Stop:
    """Give up: `why` is `refused`, `failed` or `wrong`, `words` the detail of the last answer, `retry_after` (ns) its advice."""

    why: str
    words: str
    retry_after: int = 0


class Plan:
    """The state of one request. `twice`: a second set-up does no harm. Times are ns of the caller's clock; `chance` is the random
    generator of the jitter."""

    def __init__(self, fronts: list[str], now: int, patience: int, twice: bool, chance: Random):
        self.fronts, self.deadline, self.twice, self.chance = list(fronts), now + patience, twice, chance
        self.front_index = 0
        self.redirects = self.failures = 0
        self.redirect_base: str | None = None

    @property
    def front(self) -> str:
        return self.redirect_base or self.fronts[self.front_index % len(self.fronts)]

    def redirected(self, base: str | None, now: int) -> Ask | Stop:
        """307 or 308: nothing was executed, the same request goes to the base URL of Location (RFC 9725, 4.5); None: unusable."""
        self.redirects += 1
        if base is None or self.redirects > MAX_REDIRECTS:
            return Stop(
                "failed", "redirect without a usable Location" if base is None else f"more than {MAX_REDIRECTS} redirects"
            )
        self.redirect_base = base
        return Ask(base)

    def refused(self, words: str, retry_after: int, now: int) -> Ask | Stop:
        """503: nothing was executed; the next front may be tried after the advised delay."""
        wait = retry_after or self._backoff()
        if now + wait >= self.deadline:
            return Stop("refused", words, retry_after)
        self._use_next_front()
        return Ask(self.front, int(wait * self.chance.uniform(1.0, 1.25)))

    def failed(self, words: str) -> Stop:
        """502 and other statuses from 500: final, and it is unknown whether the request was executed."""
        return Stop("failed", words)

    def wrong(self, words: str) -> Stop:
        """4xx: final, the request itself is invalid."""
        return Stop("wrong", words)

    def unreached(self, words: str, now: int) -> Ask | Stop:
        """No byte was sent: any front may be tried."""
        self._use_next_front()
        return self._retry(words, now)

    def broke(self, words: str, now: int) -> Ask | Stop:
        """The connection broke after sending, so the request may have been executed: only the same front knows its key."""
        if self.twice:
            self._use_next_front()
        return self._retry(words, now)

    def _retry(self, words: str, now: int) -> Ask | Stop:
        wait = self._backoff()
        return Ask(self.front, wait) if now + wait < self.deadline else Stop("failed", words)

    def _backoff(self) -> int:
        self.failures += 1
        return int(min(MAX_BACKOFF_NS, INITIAL_BACKOFF_NS << min(self.failures - 1, 10)) * self.chance.uniform(0.5, 1.0))

    def _use_next_front(self) -> None:
        self.redirect_base = None
        self.front_index += 1
