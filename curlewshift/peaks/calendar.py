"""The calendar of announced demand peaks, with the checks on what an operator may announce.

Called by `Peaks` for its decisions and by the front for commands. Times are Unix time in ns, as announcements are made in
wall-clock time. A peak concerns one package (service class); peaks of one or several packages may overlap.
"""

from __future__ import annotations

from dataclasses import dataclass

from curlewshift.model import Package

SECOND = 1_000_000_000
# Demand that lasts longer is not a peak: it is better served by more capacity than by holding room.
MAX_LENGTH = 24 * 3600 * SECOND
# All peaks at one time may hold this share of each link together; the rest stays for other viewings in any case.
MAX_TOTAL_PART = 0.8
MAX_PEAKS = 1000


class InvalidPeak(Exception):
    """An announcement is refused; the text gives the operator the reason."""


@dataclass(frozen=True, slots=True)
class Peak:
    """`rate` is the viewings of the package a second during the peak, at all fronts together; `most` the share of any
    link that may be held for it; `lasts` the duration of its viewings (ns), 0 to estimate it from earlier ones."""

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
    """The announced peaks by name."""

    def __init__(self, packages: list[Package]):
        self.packages = {package.name: package for package in packages}
        self.peaks: dict[str, Peak] = {}

    def announce(self, peak: Peak, now: int) -> None:
        """Adds a peak, or raises `InvalidPeak`. An existing name is refused and has to be cancelled first, so that no
        peak is replaced by mistake."""
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
        if peak.length > MAX_LENGTH:
            raise InvalidPeak(f"a peak lasts {MAX_LENGTH // SECOND // 3600} hours at most")
        if not 0 < peak.rate < 1e6:
            raise InvalidPeak("the viewings a second have to be a number above 0")
        if not 0 < peak.most <= MAX_TOTAL_PART:
            raise InvalidPeak(
                f"a peak may hold a part of the links from 0 to {MAX_TOTAL_PART:g}, not {peak.most:g}: the rest is for the others"
            )
        if peak.lasts < 0:
            raise InvalidPeak("viewings cannot last less than nothing")
        if len(self.peaks) >= MAX_PEAKS:
            raise InvalidPeak(f"there are {MAX_PEAKS} peaks on the calendar")
        total_part = self._total_part(peak)
        if total_part > MAX_TOTAL_PART + 1e-9:
            raise InvalidPeak(
                f"with those that overlap it, {total_part:.0%} of the links would be held, {MAX_TOTAL_PART:.0%} are the most"
            )
        self.peaks[peak.name] = peak

    def cancel(self, name: str) -> Peak:
        """Removes and returns a peak. Raises `InvalidPeak` if there is none of this name."""
        if name not in self.peaks:
            raise InvalidPeak(f"there is no peak {name!r}")
        return self.peaks.pop(name)

    def remove_ended(self, now: int, after: int) -> list[Peak]:
        """Removes and returns the peaks that ended more than `after` (ns) ago."""
        ended = [peak for peak in self.peaks.values() if peak.ends + after < now]
        for peak in ended:
            del self.peaks[peak.name]
        return ended

    def _total_part(self, peak: Peak) -> float:
        """The largest share of the links that would be held at any moment of this peak, by it and those that overlap it."""
        others = [other for other in self.peaks.values() if other.starts < peak.ends and peak.starts < other.ends]
        moments = [peak.starts, *(other.starts for other in others if other.starts > peak.starts)]
        return peak.most + max(sum(other.most for other in others if other.starts <= at < other.ends) for at in moments)
