"""Bounds on retries: tune-ins beyond the first at other servers, and viewers that return after a refusal.

The budget of the former is a share of successes (the retry budgets of the SRE book, chapter 21): while the fleet serves there is
plenty; when nothing succeeds, only the free retries are made, whatever each front expects of a further one.

Waits advised to the latter are spread so that viewers return as room does. With a level that moves in proportion to what is
admitted, the crowd of waiting viewers drains at the pace at which room returns if each is told to wait for as long as the queue
before it takes at that pace, and no two are told the same: the queue is then a pure delay without feedback, which is stable at
any gain. A common return time (all told the same) breaks that, and so does one that is too early (shorter than the queue takes):
in both cases the length of the queue drives the asks of the next round.
"""

from __future__ import annotations

from collections import OrderedDict
from math import exp
from random import Random

from curlewshift.overload.terms import OverloadTerms

SECOND = 1_000_000_000
MIN_WAIT_NS, MIN_LONGEST_WAIT_NS = SECOND // 4, 2 * SECOND
# The queue is estimated from what was refused and what began over about this time (ns).
RATE_WINDOW_NS = 5 * SECOND
# A viewer that returns early is told to wait twice as long each time, doubled at most so many times; so many viewers are known.
MAX_STRIKES, MAX_KNOWN_VIEWERS = 4, 20_000


class RetryBudget:
    """One front's share of the budget: its part of the free retries, and a share of its own successes."""

    def __init__(self, terms: OverloadTerms, now: int):
        self.terms, self.at = terms, now
        self.free = terms.again_free / max(1, terms.fronts)
        self.left = self.free
        self.spent = self.earned = 0.0

    def succeeded(self, now: int) -> None:
        self._age(now)
        self.left = min(self.left + self.terms.again_share, self.max_left)

    def spend(self, now: int) -> None:
        self._age(now)
        self.left -= 1
        self.spent += 1

    def may_retry(self, now: int) -> bool:
        self._age(now)
        return self.left >= 1 - 1e-9

    @property
    def max_left(self) -> float:
        """Unused retries are not accumulated for ever: they would be a crowd of their own."""
        return max(1.0, 5 * self.free)

    def _age(self, now: int) -> None:
        # free retries come back evenly over the time in which they are counted; with many fronts each has less than one, and may
        # use one now and then
        refill_to = max(self.free, 1.0)
        if self.left < refill_to:
            self.left = min(refill_to, self.left + max(0, now - self.at) * self.free / self.terms.look_back)
        self.at = max(now, self.at)


class RetryAdvice:
    """How long a refused viewer is told to wait."""

    def __init__(self, terms: OverloadTerms, now: int, rng: Random):
        self.terms, self.rng, self.at = terms, rng, now
        self.refused = self.begun = 0.0
        # by viewer: until when it was told to wait, and how often it returned early
        self.advised: OrderedDict[str, list[int]] = OrderedDict()

    def began(self, now: int) -> None:
        self._age(now)
        self.begun += 1

    def early(self, who: str, now: int) -> bool:
        """Whether the viewer returns before the advised time: it is refused at once, whatever its rank."""
        advice = self.advised.get(who)
        return advice is not None and now < advice[0]

    def wait(self, who: str, now: int, distance: float = 0.0, shed_for: int = 1 << 62) -> int:
        """Advises a wait (ns). `distance` (0 to 1) is how far below the level the viewer ranks: far below it need not ask soon.
        `shed_for` (ns) is how long viewings have been shed: nobody is told to wait for longer, as the shortage may end as soon as
        it came."""
        self._age(now)
        advice = self.advised.pop(who, None)
        strikes = 0
        if advice is not None:
            strikes = min(MAX_STRIKES, advice[1] + 1) if now < advice[0] else max(0, advice[1] - 1)
        self.refused += 1
        queue_time = int(self.refused / max(self.begun, 1.0) * RATE_WINDOW_NS)
        longest = min(self.terms.longest_wait, max(MIN_LONGEST_WAIT_NS, shed_for))
        span = max(2 * MIN_WAIT_NS, min(longest, queue_time), int(longest * distance))
        wait = min(longest, max(MIN_WAIT_NS, int(span * self.rng.uniform(0.4, 1.0))) << strikes)
        self.advised[who] = [now + wait, strikes]
        while len(self.advised) > MAX_KNOWN_VIEWERS:
            self.advised.popitem(last=False)
        return wait

    def _age(self, now: int) -> None:
        factor = exp(-max(0, now - self.at) / RATE_WINDOW_NS)
        self.refused, self.begun, self.at = self.refused * factor, self.begun * factor, max(now, self.at)
