"""Parameters of membership, and how they scale with its size."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log, log10


@dataclass(slots=True, frozen=True)
class MembershipTerms:
    """Times in ns. The names in brackets are those of the papers: SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar,
    Phillips, Currey 2018)."""

    # one member is probed each period (T')
    period: int
    # a probe not answered within this time is followed by indirect probes through so many other members (k)
    answer_within: int
    indirect_probes: int = 3
    # a suspect is declared gone after so many periods, or after so many times the decimal logarithm of the size if that is more
    # (alpha), once this many members beside the first have accused it too (K); with no other accuser the time-out is longer by
    # the factor (beta)
    min_suspicion_periods: float = 3.0
    suspicion_periods_per_decade: float = 4 / 3
    max_confirmations: int = 3
    unconfirmed_factor: float = 6.0
    # upper bound of the health score, the factor by which a member that misses answers lengthens its own time-outs (S)
    max_health: int = 8
    # each update is sent at most so many times the decimal logarithm of the size (lambda)
    transmission_factor: float = 4.0
    # updates also go out between probes, at this interval to so many members: on probes alone they take too long to spread among
    # a thousand members (docs/peers.md)
    update_interval: int = 0
    update_fanout: int = 3
    # an absent member or seed is contacted every so many periods: otherwise a partition would never heal
    contact_periods: int = 3
    forget_after: int = 60_000_000_000
    max_members: int = 4096
    # Lifeguard's three extensions; without them this is SWIM with suspicion as first published
    lifeguard: bool = True

    def min_suspicion_timeout(self, size: int) -> int:
        """Shortest suspicion time-out (ns), reached once `max_confirmations` others have accused the suspect."""
        return int(self.period * max(self.min_suspicion_periods, self.suspicion_periods_per_decade * log10(size + 1)))

    def suspicion_timeout(self, size: int, confirmations: int) -> int:
        """Suspicion time-out (ns) of a member accused by `confirmations` others besides the first (Lifeguard, section IV-B)."""
        shortest = self.min_suspicion_timeout(size)
        # in a small site fewer members are left to confirm
        expected, confirmations = min(self.max_confirmations, size - 2), max(0, confirmations)
        if not self.lifeguard or expected < 1:
            return shortest
        longest = shortest * self.unconfirmed_factor
        return int(max(shortest, longest - (longest - shortest) * log(min(confirmations, expected) + 1) / log(expected + 1)))

    def max_transmissions(self, size: int) -> int:
        return max(1, ceil(self.transmission_factor * log10(size + 1)))


def default_membership_terms(period: int, **overrides) -> MembershipTerms:
    """Parameters derived from the period (ns), except those given."""
    return MembershipTerms(
        period, **{"answer_within": 3 * period // 10, "update_interval": period // 5, "forget_after": 60 * period, **overrides}
    )
