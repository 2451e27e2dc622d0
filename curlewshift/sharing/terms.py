"""The figures of sharing, from the settings of a site, and what follows from them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

SECOND = 1_000_000_000


@dataclass(slots=True, frozen=True)
class SharingTerms:
    """Times in ns. `drift` is the part by which any front's clock may run fast or slow; beyond it nothing is promised, and a
    front that finds its own beyond it takes itself out. `window` is the span in which uses of a right are counted."""

    term: int
    drift: float
    window: int
    every: int
    most_asks: int = 1
    # a count told so long ago is worth half, and after four times that nothing
    ages: int = 2 * SECOND

    @property
    def back_after(self) -> int:
        """When a lender takes back what it lent, by its own clock from the moment it lent: the borrower counts the term from
        its asking, which was earlier, and what it did in the last moment has then left every window on the slowest clock.
        A step back that is smaller than the time between two looks at the clock is seen by nobody: two looks are added."""
        return int((self.term + 2 * self.window + 2 * self.every) * (1 + self.drift) / (1 - self.drift)) + 1

    @property
    def rest(self) -> int:
        """What a right rests after its borrower gave it back: two windows, on the slowest clock."""
        return int(2 * self.window * (1 + self.drift) / (1 - self.drift)) + 1

    @property
    def quiet(self) -> int:
        """A front that starts does not know what an earlier life lent: it uses nothing of its own until all that is over."""
        return self.back_after


@dataclass(slots=True, frozen=True)
class SharedBudgets:
    """What all fronts have together. `free` further tune-ins within `look_back` (None: each front has its own), `seats` of each
    of the `titles` by package; a seat is lent for `seat_term` at a time, and servers keep for `lingers` at the most what a
    front that is gone or stopped left there (ns). `longest_setup` (ns) is the longest patience of those packages: a set-up
    that is out when its loan ends plays before it can be ended."""

    free: int | None = None
    look_back: int = 0
    seats: dict[str, int] = field(default_factory=dict)
    titles: list[str] = field(default_factory=list)
    seat_term: int = 6 * SECOND
    lingers: int = 10 * SECOND
    longest_setup: int = 0

    def patient(self, patience: Callable[[str], int]) -> SharedBudgets:
        """With the longest set-up as the packages' patience (ns) has it."""
        return replace(self, longest_setup=max(map(patience, self.seats), default=0))

    def further_terms(self, terms: SharingTerms) -> SharingTerms:
        return replace(terms, window=self.look_back)

    def seat_terms(self, terms: SharingTerms) -> SharingTerms:
        """A lender waits for two windows past the term: so long may what stood on the loan be left standing."""
        return replace(terms, term=self.seat_term, window=(self.lingers + self.longest_setup) // 2)
