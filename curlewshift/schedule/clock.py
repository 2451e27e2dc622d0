"""The front's clock: Unix time as it was at the start, carried on by the monotonic clock, so it never goes back."""

from __future__ import annotations

import time


class Clock:
    """Fronts take turns at cold servers by it, so the machines' clocks have to agree to well within a second when
    the fronts start; setting a machine's clock later changes nothing."""

    def __init__(self):
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Nanoseconds."""
        return self.offset + time.monotonic_ns()

    def wall(self) -> int:
        """Unix time as the machine has it now (ns); it may be set at any time."""
        return time.time_ns()

    def hard(self) -> int:
        """`now`, for those who hold that any clock may be set (ns)."""
        return self.now()


class SkewedClock(Clock):
    """A clock that is led astray on purpose, as rehearsals do: it runs at another rate, and `wall` and `hard` are set."""

    def __init__(self):
        super().__init__()
        self.rate, self.step = 1.0, 0
        self.since = self.began = super().now()

    def now(self) -> int:
        return self.began + int((super().now() - self.since) * self.rate)

    def wall(self) -> int:
        return super().wall() + self.now() - super().now() + self.step

    def hard(self) -> int:
        return self.now() + self.step

    def lead(self, rate: float, step: int) -> None:
        """From now on; `step` (ns) is added to what it was set by before."""
        self.began, self.since = self.now(), super().now()
        self.rate, self.step = rate, self.step + step
