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
