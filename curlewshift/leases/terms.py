"""Parameters of leases, from the settings of a site, and what is derived from them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """Times in ns. `drift` is the fraction by which any front's clock may run fast or slow; beyond it nothing is guaranteed."""

    term: int
    drift: float
    every: int

    @property
    def hold_time(self) -> int:
        """How long an acceptor keeps what it accepted. The holder counts the term from before its request, on a clock that may be
        the slowest, while the acceptor's may be the fastest. A step back smaller than the time between two readings of the clock
        goes unnoticed: two rounds are added."""
        return int((self.term + 2 * self.every) * (1 + self.drift) / (1 - self.drift)) + 1

    @property
    def renewed_after(self) -> int:
        """When a holder starts to renew, from the start of its term; two more attempts fit in before the end."""
        return self.term // 2
