"""Announced peaks: what an operator may announce, and what is on.

Called by `Peaks` for its decisions and by the front for commands. Times are Unix time in ns, by the wall's clock, as that
is what is announced. A peak is one package's; several may overlap, of one package or of many.
"""

from __future__ import annotations

from dataclasses import dataclass

from curlewshift.model import Package

SECOND = 1_000_000_000
# Longer is no peak, and room held for so long would be better bought.
LONGEST = 24 * 3600 * SECOND
# All peaks at one time may hold this part of the links together: others keep the rest whatever is announced.
MOST_TOGETHER = 0.8
MOST_ENTRIES = 1000


class InvalidPeak(Exception):
    """Why an announcement is not taken, in words for who made it."""


@dataclass(frozen=True, slots=True)
class Peak:
    """`rate` is viewings of the package a second, all fronts together, in the peak; `most` the part of any link that
    may be held for it; `lasts` how long its viewings last (ns), 0 if that is to be seen."""

    name: str
    package: str
    starts: int
    ends: int
    rate: float
    most: float = 0.5
    lasts: int = 0
    who: str = ""
    why: str = ""

    @property
    def length(self) -> int:
        return self.ends - self.starts


class Calendar:
    def __init__(self, packages: list[Package]):
        self.packages = {package.name: package for package in packages}
        self.peaks: dict[str, Peak] = {}

    def announce(self, peak: Peak, now: int) -> None:
        """Raises `InvalidPeak`. A name that is there already is refused: cancel it first, so that nothing is lost by a
        slip."""
        if not peak.name or len(peak.name) > 64 or not peak.name.isprintable():
            raise InvalidPeak("a peak needs a name of 1 to 64 printable characters")
        if peak.name in self.peaks:
            raise InvalidPeak(f"there is a peak {peak.name!r} already; cancel it first")
        if peak.package not in self.packages:
            raise InvalidPeak(f"there is no package {peak.package!r}, but {', '.join(self.packages)}")
        if peak.ends <= peak.starts:
            raise InvalidPeak("the peak ends before it starts")
        if peak.ends <= now:
            raise InvalidPeak("the peak is over already")
        if peak.length > LONGEST:
            raise InvalidPeak(f"a peak lasts {LONGEST // SECOND // 3600} hours at most")
        if not 0 < peak.rate < 1e6:
            raise InvalidPeak("the viewings a second have to be a number above 0")
        if not 0 < peak.most <= MOST_TOGETHER:
            raise InvalidPeak(
                f"a peak may hold a part of the links from 0 to {MOST_TOGETHER:g}, not {peak.most:g}: the rest is for the others"
            )
        if peak.lasts < 0:
            raise InvalidPeak("viewings cannot last less than nothing")
        if len(self.peaks) >= MOST_ENTRIES:
            raise InvalidPeak(f"there are {MOST_ENTRIES} peaks on the calendar")
        together = self._together(peak)
        if together > MOST_TOGETHER + 1e-9:
            raise InvalidPeak(
                f"with those that overlap it, {together:.0%} of the links would be held, {MOST_TOGETHER:.0%} are the most"
            )
        self.peaks[peak.name] = peak

    def cancel(self, name: str) -> Peak:
        """Raises `InvalidPeak`."""
        if name not in self.peaks:
            raise InvalidPeak(f"there is no peak {name!r}")
        return self.peaks.pop(name)

    def over(self, now: int, after: int) -> list[Peak]:
        """Takes off what ended longer than `after` ago."""
        gone = [peak for peak in self.peaks.values() if peak.ends + after < now]
        for peak in gone:
            del self.peaks[peak.name]
        return gone

    def _together(self, peak: Peak) -> float:
        """The largest part that would be held at any moment of this peak."""
        others = [other for other in self.peaks.values() if other.starts < peak.ends and peak.starts < other.ends]
        moments = [peak.starts, *(other.starts for other in others if other.starts > peak.starts)]
        return peak.most + max(sum(other.most for other in others if other.starts <= at < other.ends) for at in moments)
