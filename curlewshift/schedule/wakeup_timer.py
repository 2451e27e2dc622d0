"""A wake-up timer on anyio: the session core's timers in a running process."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from curlewshift.schedule.clock import Clock

NS = 1_000_000_000


class WakeupTimer:
    """Calls `callback()` when the clock has reached a time given to `at`; once for times that were reached together."""

    def __init__(self, clock: Clock, callback: Callable[[], None]):
        self.clock, self.callback = clock, callback
        self.wake_times: list[int] = []
        self.changed = anyio.Event()

    def at(self, when: int) -> None:
        self.wake_times.append(when)
        self.changed.set()

    async def run(self) -> None:
        while True:
            self.changed = anyio.Event()
            if self.wake_times:
                wait = (min(self.wake_times) - self.clock.now()) / NS
                with anyio.move_on_after(max(0.0, wait)):
                    await self.changed.wait()
                now = self.clock.now()
                if any(at <= now for at in self.wake_times):
                    self.wake_times = [at for at in self.wake_times if at > now]
                    self.callback()
            else:
                await self.changed.wait()
