"""Parameters of overload control, from the settings of a site, and what is derived from them."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000


@dataclass(slots=True, frozen=True)
class OverloadTerms:
    """Times in ns. `floor` is the part of each package's asks that is admitted at any level; `longest_wait` the longest time a
    viewer is told to wait; `again_share` the tune-ins beyond the first (retries) earned by each success, `again_free` those that
    need none (all fronts together, within `look_back`)."""

    every: int = SECOND
    floor: float = 0.05
    longest_wait: int = 2 * SECOND
    again_share: float = 0.2
    again_free: float = 10.0
    look_back: int = 10 * SECOND
    fronts: int = 1
    # what others reported or announced counts for this time; without it a front goes on from the level it has
    report_ttl: int = 3 * SECOND
