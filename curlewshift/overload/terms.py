"""The figures of overload, from the settings of a site, and what follows from them."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000


@dataclass(slots=True, frozen=True)
class OverloadTerms:
    """Times in ns. `floor` is the part of each package's asks that is let in whatever comes; `longest_wait` the most that
    advice may say; `again_share` the tune-ins beyond the first that successes pay for, `again_free` those that need none
    (all fronts together, within `look_back`)."""

    every: int = SECOND
    floor: float = 0.05
    longest_wait: int = 2 * SECOND
    again_share: float = 0.2
    again_free: float = 10.0
    look_back: int = 10 * SECOND
    fronts: int = 1
    # what others said counts for so long, and one that hears nothing goes on with what it had
    told_lasts: int = 3 * SECOND
