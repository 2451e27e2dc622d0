"""What a caller does next, decided without I/O: ask again, wait, follow, or give up. See `Caller` for its host.

One key goes along with all tries of one wish at one front, so that however often it is asked, the front makes at most
one set-up of it. At another front the same key means nothing. So a try whose end is not known is repeated at the same
front alone; another front is asked only after an answer that proves that nothing ran, or for what may be set up twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

SECOND = 1_000_000_000
# Pauses after a try without an answer: the first, doubled up to the longest, each spread by chance.
FIRST_PAUSE = SECOND // 10
LONGEST_PAUSE = 2 * SECOND
MOST_REDIRECTS = 4


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask this front now, or after `wait` ns."""

    front: str
    wait: int = 0


@dataclass(frozen=True, slots=True)
class Stop:
    """Nothing more is to be tried: `why` is `refused`, `failed` or `wrong`, with the last answer's words."""

    why: str
    words: str
    retry_after: int = 0


class Plan:
    """One wish. `twice` says that setting it up twice does no harm. Times are ns of the caller's clock."""

    def __init__(self, fronts: list[str], now: int, patience: int, twice: bool, chance: Random):
        self.fronts, self.ends, self.twice, self.chance = list(fronts), now + patience, twice, chance
        self.at = 0
        self.redirects = self.failures = 0
        self.elsewhere: str | None = None

    @property
    def front(self) -> str:
        return self.elsewhere or self.fronts[self.at % len(self.fronts)]

    def redirected(self, base: str | None, now: int) -> Ask | Stop:
        """307 or 308: the same request goes to where it points (RFC 9725, 4.5). Nothing has run."""
        self.redirects += 1
        if base is None or self.redirects > MOST_REDIRECTS:
            return Stop("failed", "redirected to nowhere" if base is None else "redirected too often")
        self.elsewhere = base
        return Ask(base)

    def refused(self, words: str, retry_after: int, now: int) -> Ask | Stop:
        """503: nothing ran. Another front may be asked, once it has been waited for as advised."""
        wait = retry_after or self._pause()
        if now + wait >= self.ends:
            return Stop("refused", words, retry_after)
        self._move_on()
        return Ask(self.front, int(wait * self.chance.uniform(1.0, 1.25)))

    def failed(self, words: str) -> Stop:
        """502 and other answers of 500 and over: an end, and what ran is not known."""
        return Stop("failed", words)

    def wrong(self, words: str) -> Stop:
        """4xx: the request itself is at fault, and would be again."""
        return Stop("wrong", words)

    def unreached(self, words: str, now: int) -> Ask | Stop:
        """No byte went out: any front may be asked."""
        self._move_on()
        return self._again(words, now)

    def broke(self, words: str, now: int) -> Ask | Stop:
        """It may have run. The same front knows the key; another does not."""
        if self.twice:
            self._move_on()
        return self._again(words, now)

    def _again(self, words: str, now: int) -> Ask | Stop:
        wait = self._pause()
        return Ask(self.front, wait) if now + wait < self.ends else Stop("failed", words)

    def _pause(self) -> int:
        self.failures += 1
        return int(min(LONGEST_PAUSE, FIRST_PAUSE << min(self.failures - 1, 10)) * self.chance.uniform(0.5, 1.0))

    def _move_on(self) -> None:
        self.elsewhere = None
        self.at += 1
