"""The front's clock: Unix time at process start, continued by the monotonic clock, so that it never steps back."""

from __future__ import annotations

import time


class Clock:
    """Fronts use this clock to take turns at cold servers, so the clocks of their machines have to agree to well within a
    second when the fronts start. Setting a machine's clock later has no effect."""

    def __init__(self):
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """The present time (ns)."""
        return self.offset + time.monotonic_ns()

    def wall(self) -> int:
        """The machine's present Unix time (ns), which may be set at any time."""
        return time.time_ns()

    def steppable_now(self) -> int:
        """`now` (ns), for callers that tolerate steps; only `SkewedClock` has any."""
        return self.now()


class SkewedClock(Clock):
    """A clock with a planted fault, for fault injection runs: it runs at a wrong rate, and `wall` and `steppable_now` step."""

    def __init__(self):
        super().__init__()
        self.rate, self.step = 1.0, 0
        self.base_reading = self.base = super().now()

    def now(self) -> int:
        return self.base + int((super().now() - self.base_reading) * self.rate)

    def wall(self) -> int:
        return super().wall() + self.now() - super().now() + self.step

    def steppable_now(self) -> int:
        return self.now() + self.step

    def skew(self, rate: float, step: int) -> None:
        """Runs at `rate` from now on; `step` (ns) is added to the previous steps."""
        self.base, self.base_reading = self.now(), super().now()
        self.rate, self.step = rate, self.step + step
