"""Time for those who must not be misled by their own clock: it neither steps back nor counts what was slept through.

A process that is stopped, starved, or whose clock is set wakes up to readings that are far from what it waited for. By such
a reading every deadline of its peers would be over at once, though it was itself that was away. Called by membership.
"""

from __future__ import annotations


class SteadyClock:
    """`slack` (ns) is how late a wake may come and still count as time. `stalls` counts what was left out, `stalled` (ns)
    how much of it there was."""

    def __init__(self, reading: int, slack: int):
        self.last, self.slack, self.shift = reading, slack, 0
        # the next time that somebody waits for: nothing later than that can be read while nothing is wrong
        self.due: int | None = None
        self.stalls = self.stalled = 0

    def read(self, reading: int) -> int:
        """Steady nanoseconds at this reading of the clock."""
        now = reading + self.shift
        if now < self.last:
            self._leave_out(now - self.last)
            now = self.last
        elif self.due is not None and now > self.due + self.slack:
            # at the due time and not past it: what was due is done now, and everything after it keeps its distance
            now = max(self.last, self.due)
            self._leave_out(reading + self.shift - now)
        self.last = now
        return now

    def reading_of(self, at: int) -> int:
        """What the clock will show at that steady time."""
        return at - self.shift

    def _leave_out(self, length: int) -> None:
        self.shift -= length
        self.stalls += 1
        self.stalled += abs(length)
