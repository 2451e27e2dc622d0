"""What one package's viewers do, as this front sees it, and what that makes of an announced figure.

Kept as a few decaying sums, brought up to date when read (times are ns of the front's clock, which never goes back).
"""

from __future__ import annotations

from math import exp

SECOND = 1_000_000_000
# Arrivals are looked at over about this, to tell a peak from chance; a part of a short peak's length if that is less.
SEEN_OVER = 4 * SECOND
# Lengths of viewings are remembered over about so many of them.
LENGTHS = 50
# A peak that comes early shows by so much of its announced rate, and by no less than so many arrivals.
SHOWS_BY = 0.6
SHOWS_LEAST = 3.0
# What has not come in this part of the peak's length is not waited for any longer.
WAITED_FOR = 1 / 4


class ArrivalStatistics:
    """Arrivals and lengths of one package at this front."""

    def __init__(self, now: int):
        self.arrivals, self.at, self.born = 0.0, now, now
        self.length, self.lengths = 0.0, 0

    def came(self, now: int) -> None:
        self._age(now)
        self.arrivals += 1

    def lasted(self, span: int) -> None:
        self.lengths = min(self.lengths + 1, LENGTHS)
        self.length += (span - self.length) / self.lengths

    def rate(self, now: int) -> float:
        """Arrivals a second of late; a front that has just started has seen too little to fill its window."""
        self._age(now)
        window = SEEN_OVER * (1 - exp(-max(now - self.born, SECOND // 2) / SEEN_OVER))
        return self.arrivals * SECOND / window

    def _age(self, now: int) -> None:
        if now > self.at:
            self.arrivals *= exp(-(now - self.at) / SEEN_OVER)
            self.at = now


def began_early(own_rate: float, seen: ArrivalStatistics, now: int, starts_in: int, length: int) -> bool:
    """Whether a peak that should start in so long (ns) is on already: only within a third of its length before."""
    rate = seen.rate(now)
    return 0 < starts_in <= length // 3 and rate >= SHOWS_BY * own_rate and seen.arrivals >= SHOWS_LEAST


def expected(own_rate: float, seen_rate: float, since_start: int, length: int) -> float:
    """Arrivals a second to be ready for, `since_start` (ns) into a peak of that length.

    What is announced is believed at first and gives way to what comes: a peak that is late is waited for, one that
    does not come is let go, one that is higher is followed.
    """
    believed = exp(-max(0, since_start) / max(1.0, WAITED_FOR * length))
    return max(seen_rate, own_rate * believed)
