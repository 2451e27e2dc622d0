"""The figures of membership, from the settings of a site; and how they scale."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log, log10


@dataclass(slots=True, frozen=True)
class MembershipTerms:
    """Times in ns. The names in brackets are the papers': SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips,
    Currey 2018)."""

    # one member is probed each period (T')
    period: int
    # a probe is answered within this, or others are asked to try (k of them)
    answer_within: int
    helpers: int = 3
    # a suspect is gone after so many periods, times the decimal logarithm of the size if that is more (alpha), if so many
    # others than the first have accused it too (K); and after so many times as long if nobody has (beta)
    suspect_for: float = 3.0
    for_each_decade: float = 4 / 3
    witnesses: int = 3
    alone_times: float = 6.0
    # a front that fails at what should work takes itself for slow, up to so many times as slow as usual (S)
    health_most: int = 8
    # each piece of news is told so many times the decimal logarithm of the size (lambda)
    repeats: float = 4.0
    # between probes news goes to so many others, so often: on probes alone it takes too long at a thousand (docs/peers.md)
    news_every: int = 0
    news_to: int = 3
    # one that is gone or a seed that is not in is looked at each so many periods: otherwise no cut would ever heal
    look_each: int = 3
    forget_after: int = 60_000_000_000
    most_members: int = 4096
    # Lifeguard's three parts; without them it is SWIM with suspicion as first published
    lifeguard: bool = True

    def least(self, size: int) -> int:
        """How long one stays suspect at the least (ns)."""
        return int(self.period * max(self.suspect_for, self.for_each_decade * log10(size + 1)))

    def patience(self, size: int, others: int) -> int:
        """How long one stays suspect (ns) whom `others` have accused besides the first (Lifeguard, section IV-B)."""
        least = self.least(size)
        # there may be fewer who could accuse it
        wanted, others = min(self.witnesses, size - 2), max(0, others)
        if not self.lifeguard or wanted < 1:
            return least
        most = least * self.alone_times
        return int(max(least, most - (most - least) * log(min(others, wanted) + 1) / log(wanted + 1)))

    def tellings(self, size: int) -> int:
        return max(1, ceil(self.repeats * log10(size + 1)))


def default_membership_terms(period: int, **more) -> MembershipTerms:
    """What is not said follows from the period."""
    return MembershipTerms(
        period, **{"answer_within": 3 * period // 10, "news_every": period // 5, "forget_after": 60 * period, **more}
    )
