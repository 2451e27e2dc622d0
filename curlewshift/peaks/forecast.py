"""Arrival statistics of one package at this front, and the demand forecast from them and an announced peak.

Kept as a few decaying sums, brought up to date when read. Times are ns of the front's monotonic clock.
"""

from __future__ import annotations

from math import exp

SECOND = 1_000_000_000
# Time constant of the arrival rate: long enough to tell a peak from random variation.
ARRIVAL_WINDOW = 4 * SECOND
# The mean duration is taken over about this many viewings.
DURATION_SAMPLES = 50
# A peak is taken to have begun early at this share of its announced rate, and at this many arrivals at least.
EARLY_RATE_SHARE = 0.6
EARLY_MIN_ARRIVALS = 3.0
# Time constant, as a share of the peak's length, with which belief in an announced rate decays if it does not come.
BELIEF_SHARE = 1 / 4


class ArrivalStatistics:
    """Arrival rate and mean viewing duration of one package at this front."""

    def __init__(self, now: int):
        self.arrivals, self.updated_at, self.started_at = 0.0, now, now
        self.mean_duration, self.duration_count = 0.0, 0

    def record_arrival(self, now: int) -> None:
        self._decay(now)
        self.arrivals += 1

    def record_duration(self, duration: int) -> None:
        self.duration_count = min(self.duration_count + 1, DURATION_SAMPLES)
        self.mean_duration += (duration - self.mean_duration) / self.duration_count

    def rate(self, now: int) -> float:
        """Recent arrivals a second; corrected for a front that started too recently to have filled the window."""
        self._decay(now)
        window = ARRIVAL_WINDOW * (1 - exp(-max(now - self.started_at, SECOND // 2) / ARRIVAL_WINDOW))
        return self.arrivals * SECOND / window

    def _decay(self, now: int) -> None:
        if now > self.updated_at:
            self.arrivals *= exp(-(now - self.updated_at) / ARRIVAL_WINDOW)
            self.updated_at = now


def began_early(own_rate: float, statistics: ArrivalStatistics, now: int, starts_in: int, length: int) -> bool:
    """Whether a peak that starts in `starts_in` (ns) has begun already; at most a third of its length early."""
    rate = statistics.rate(now)
    return 0 < starts_in <= length // 3 and rate >= EARLY_RATE_SHARE * own_rate and statistics.arrivals >= EARLY_MIN_ARRIVALS


def expected_rate(own_rate: float, observed_rate: float, since_start: int, length: int) -> float:
    """Arrivals a second to provide for, `since_start` (ns) into a peak of this length.

    The announced rate holds at first and decays in favour of the observed one: a late peak is waited for, one that does
    not come is released, a higher one is followed.
    """
    believed = exp(-max(0, since_start) / max(1.0, BELIEF_SHARE * length))
    return max(observed_rate, own_rate * believed)
