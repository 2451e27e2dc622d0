"""Parameters of sharing, from the settings of a site, and what is derived from them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

SECOND = 1_000_000_000


@dataclass(slots=True, frozen=True)
class SharingTerms:
    """Times in ns. `drift` is the fraction by which any front's clock may run fast or slow; beyond it nothing is guaranteed, and
    a front that finds its own clock beyond it stops sharing. `window` is the span in which uses of a right are counted
    together."""

    term: int
    drift: float
    window: int
    every: int
    max_requests: int = 1
    # a count of this age still has its full weight, one of four times this age none
    ages: int = 2 * SECOND

    @property
    def back_after(self) -> int:
        """How long after lending a lender takes back what it lent, by its own clock. The borrower counts the term from its
        request, which was earlier, and its last use has by then left every window on the slowest clock. A step back smaller than
        the time between two readings of the clock goes unnoticed: two rounds are added."""
        return int((self.term + 2 * self.window + 2 * self.every) * (1 + self.drift) / (1 - self.drift)) + 1

    @property
    def rest(self) -> int:
        """How long a right rests after its borrower gave it back: two windows, on the slowest clock."""
        return int(2 * self.window * (1 + self.drift) / (1 - self.drift)) + 1

    @property
    def quiet(self) -> int:
        """A front that starts does not know what an earlier life lent: it uses nothing of its own until all such loans are
        over."""
        return self.back_after


@dataclass(slots=True, frozen=True)
class SharedBudgets:
    """Budgets shared by all fronts. `free` further tune-ins (retries past the first attempt) within `look_back` (None: each front
    has its own), `seats` (concurrency slots) of each of the `titles` by package. A seat is lent for `seat_term` at a time, and
    servers keep sessions of a front that is gone or stopped for `lingers` at most (ns). `longest_setup` (ns) is the longest
    patience of those packages: a set-up under way when its loan ends has to play before it can be ended."""

    free: int | None = None
    look_back: int = 0
    seats: dict[str, int] = field(default_factory=dict)
    titles: list[str] = field(default_factory=list)
    seat_term: int = 6 * SECOND
    lingers: int = 10 * SECOND
    longest_setup: int = 0

    def patient(self, patience: Callable[[str], int]) -> SharedBudgets:
        """A copy with the longest set-up according to the packages' patience (ns)."""
        return replace(self, longest_setup=max(map(patience, self.seats), default=0))

    def further_terms(self, terms: SharingTerms) -> SharingTerms:
        return replace(terms, window=self.look_back)

    def seat_terms(self, terms: SharingTerms) -> SharingTerms:
        """A lender waits for two windows past the term: so long may sessions on the loan go on."""
        return replace(terms, term=self.seat_term, window=(self.lingers + self.longest_setup) // 2)
