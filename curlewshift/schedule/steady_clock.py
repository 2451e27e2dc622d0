"""A clock for time-outs of peers: it neither steps back nor counts time during which this process did not run.

A process that was stopped or starved, or whose clock was set, wakes up to a reading far from the one it waited for. With such
a reading all deadlines of its peers would expire at once, although the process itself was absent. Used by membership, leases
and sharing.
"""

from __future__ import annotations


class SteadyClock:
    """`slack` (ns) is how late a wake-up may be and still count as time that has passed. `stalls` counts the jumps that
    were left out, `stalled` is their sum (ns)."""

    def __init__(self, reading: int, slack: int):
        self.last, self.slack, self.offset = reading, slack, 0
        # the next time that a caller waits for: a process that is not stalled reads no time later than this plus the slack
        self.due: int | None = None
        self.stalls = self.stalled = 0

    def read(self, reading: int) -> int:
        """Steady nanoseconds at this reading of the clock."""
        now = reading + self.offset
        if now < self.last:
            self._skip(now - self.last)
            now = self.last
        elif self.due is not None and now > self.due + self.slack:
            # exactly the due time: what was due runs now, and later deadlines keep their distance from it
            now = max(self.last, self.due)
            self._skip(reading + self.offset - now)
        self.last = now
        return now

    def reading_of(self, at: int) -> int:
        """The reading of the underlying clock at this steady time."""
        return at - self.offset

    def _skip(self, length: int) -> None:
        self.offset -= length
        self.stalls += 1
        self.stalled += abs(length)
