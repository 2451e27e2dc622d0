"""What is done again, and how it is kept from adding up: tune-ins beyond the first, and viewers who come back.

A budget for the former is a share of successes (the retry budgets of the SRE book, chapter 21): while the fleet serves, there is
plenty; when nothing succeeds, what is tried again is what is free and no more, whatever each front thinks of its chances.

Advice to the latter is spread so that those who come back follow the room that returns. With a level that moves by parts of what
is let in, the sum of those who are away drains at the pace at which room returns if each is told to stay away for as long as the
line before it takes at that pace, and no two are told the same: the line is then a delay and no feedback, which is stable at any
gain. What breaks that is a common return (all told the same), and one that is too soon (told less than the line takes): both make
the line's length drive the next round's asks.
"""

from __future__ import annotations

from collections import OrderedDict
from math import exp
from random import Random

from curlewshift.overload.terms import OverloadTerms

SECOND = 1_000_000_000
LEAST, SHORTEST_LONG = SECOND // 4, 2 * SECOND
# The line is reckoned from what was refused and what began over about so long (ns).
LATELY = 5 * SECOND
# Who comes before it was told to is told to stay away for twice as long each time, up to this many times; so many are known.
STRIKES, MOST_KNOWN = 4, 20_000


class RetryBudget:
    """One front's part of the budget: its share of the free ones, and a share of its own successes."""

    def __init__(self, terms: OverloadTerms, now: int):
        self.terms, self.at = terms, now
        self.free = terms.again_free / max(1, terms.fronts)
        self.left = self.free
        self.spent = self.earned = 0.0

    def succeeded(self, now: int) -> None:
        self._age(now)
        self.left = min(self.left + self.terms.again_share, self.most)

    def spends(self, now: int) -> None:
        self._age(now)
        self.left -= 1
        self.spent += 1

    def may(self, now: int) -> bool:
        self._age(now)
        return self.left >= 1 - 1e-9

    @property
    def most(self) -> float:
        """What is not used is not kept for ever: it would be a crowd of its own."""
        return max(1.0, 5 * self.free)

    def _age(self, now: int) -> None:
        # the free ones come back evenly over the time that they are counted in; of many fronts each has less than one, and is
        # one of the few that may use it now and then
        full = max(self.free, 1.0)
        if self.left < full:
            self.left = min(full, self.left + max(0, now - self.at) * self.free / self.terms.look_back)
        self.at = max(now, self.at)


class RetryAdvice:
    """How long who is refused is to stay away."""

    def __init__(self, terms: OverloadTerms, now: int, rng: Random):
        self.terms, self.rng, self.at = terms, rng, now
        self.refused = self.begun = 0.0
        # who was told to stay away until when, and how often it did not
        self.told: OrderedDict[str, list[int]] = OrderedDict()

    def began(self, now: int) -> None:
        self._age(now)
        self.begun += 1

    def early(self, who: str, now: int) -> bool:
        """Whether it comes before it was told to: it is refused at once, whatever its rank."""
        held = self.told.get(who)
        return held is not None and now < held[0]

    def wait(self, who: str, now: int, behind: float = 0.0, lasts: int = 1 << 62) -> int:
        """`behind` (0 to 1) is how far below the level it is: who is far below need not ask soon. `lasts` (ns) is for how long
        somebody has been shed: nobody is told to stay away for longer than that, as what is short may be back as soon."""
        self._age(now)
        held = self.told.pop(who, None)
        strikes = 0
        if held is not None:
            strikes = min(STRIKES, held[1] + 1) if now < held[0] else max(0, held[1] - 1)
        self.refused += 1
        line = int(self.refused / max(self.begun, 1.0) * LATELY)
        longest = min(self.terms.longest_wait, max(SHORTEST_LONG, lasts))
        span = max(2 * LEAST, min(longest, line), int(longest * behind))
        wait = min(longest, max(LEAST, int(span * self.rng.uniform(0.4, 1.0))) << strikes)
        self.told[who] = [now + wait, strikes]
        while len(self.told) > MOST_KNOWN:
            self.told.popitem(last=False)
        return wait

    def _age(self, now: int) -> None:
        fades = exp(-max(0, now - self.at) / LATELY)
        self.refused, self.begun, self.at = self.refused * fades, self.begun * fades, max(now, self.at)
