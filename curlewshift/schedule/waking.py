"""Calls back at the times that were asked for, on anyio: what keeps a desk's time in a running process."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from curlewshift.schedule.clock import Clock

NS = 1_000_000_000


class WakeupTimer:
    """`call()` comes once the clock has reached a time given to `at`; times that were reached together, once."""

    def __init__(self, clock: Clock, call: Callable[[], None]):
        self.clock, self.call = clock, call
        self.wakes: list[int] = []
        self.woken = anyio.Event()

    def at(self, when: int) -> None:
        self.wakes.append(when)
        self.woken.set()

    async def run(self) -> None:
        while True:
            self.woken = anyio.Event()
            if self.wakes:
                wait = (min(self.wakes) - self.clock.now()) / NS
                with anyio.move_on_after(max(0.0, wait)):
                    await self.woken.wait()
                now = self.clock.now()
                if any(at <= now for at in self.wakes):
                    self.wakes = [at for at in self.wakes if at > now]
                    self.call()
            else:
                await self.woken.wait()
