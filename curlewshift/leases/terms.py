"""The figures of leases, from the settings of a site, and what follows from them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """Times in ns. `drift` is the part by which any front's clock may run fast or slow; beyond it nothing is promised."""

    term: int
    drift: float
    every: int

    @property
    def kept(self) -> int:
        """For how long a keeper holds to what it accepted: the holder counts the term from before it asked, on a clock that
        may be the slowest, while the keeper's may be the fastest. A step back smaller than the time between two looks at
        the clock is seen by nobody: two looks are added."""
        return int((self.term + 2 * self.every) * (1 + self.drift) / (1 - self.drift)) + 1

    @property
    def renewed_after(self) -> int:
        """Of a term; two more tries fit in before its end."""
        return self.term // 2
