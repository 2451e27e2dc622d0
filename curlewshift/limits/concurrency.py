"""An adaptive limit of concurrent requests, derived from response times. No I/O; times are ns.

A gradient limit as in congestion control (TCP Vegas; Brakmo and Peterson 1995): the ratio of the best response time, which
decays slowly, to the current one shows how much of the response time is queueing. While there is no queueing the limit
grows by its square root; while responses take longer than `TOLERATED_RATIO` times the best, it shrinks in proportion.
"""

from __future__ import annotations

from math import exp, sqrt

SECOND = 1_000_000_000
INITIAL_LIMIT, MIN_LIMIT, MAX_LIMIT = 64.0, 8.0, 2000.0
# Responses that take up to this many times the best count as free of queueing: set-ups differ in cost, and one further
# tune-in is not queueing.
TOLERATED_RATIO = 3.0
# The current response time is a moving average over about so many samples; the best one decays with a time constant of
# `BEST_DECAY` (ns).
CURRENT_SAMPLES = 20
BEST_DECAY = 60 * SECOND
SMOOTHING = 0.2


class Concurrency:
    """`limit` is the number of requests that may be in progress, between `min_limit` and `max_limit`."""

    def __init__(self, now: int, initial: float = INITIAL_LIMIT, min_limit: float = MIN_LIMIT, max_limit: float = MAX_LIMIT):
        self.limit, self.min_limit, self.max_limit = initial, min_limit, max_limit
        self.best = self.current = 0.0
        self.best_at = now

    def answered(self, duration: int, in_progress: int, now: int) -> None:
        """A request was answered after `duration` (ns), while `in_progress` requests were in progress."""
        duration = max(1, duration)
        self.current += (duration - self.current) / CURRENT_SAMPLES if self.current else duration
        # the best drifts towards the current: media servers that have become slower for good are not overloaded for ever
        age = max(0, now - self.best_at)
        drifted = self.best + (self.current - self.best) * (1 - exp(-age / BEST_DECAY)) if self.best else duration
        self.best, self.best_at = min(drifted, duration), now
        gradient = max(0.5, min(1.0, TOLERATED_RATIO * self.best / self.current))
        wanted = self.limit * gradient + (sqrt(self.limit) if gradient >= 1 else 0.0)
        if wanted > self.limit and in_progress < self.limit / 2:
            # the limit is not in use: if it grew during low load it would not limit anything when load returns
            return
        self.limit = max(self.min_limit, min(self.max_limit, self.limit + SMOOTHING * (wanted - self.limit)))
