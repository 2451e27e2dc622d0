"""The figures of sharing, from the settings of a site, and what follows from them."""

from __future__ import annotations

from dataclasses import dataclass

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
