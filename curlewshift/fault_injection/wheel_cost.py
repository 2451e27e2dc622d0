"""Cost of timers on the timing wheel compared with a heap with lazy deletion, by the share that is cancelled before it is due."""

from __future__ import annotations

import heapq
import time
from random import Random

from curlewshift.schedule.wheel import Wheel

MS = 1_000_000
LIVE = 50_000
STEPS = 200_000


class LazyHeap:
    """The baseline: a binary heap in which a cancelled timer stays until it is due."""

    def __init__(self, now: int):
        self.heap, self.count = [], 0

    def add(self, at, item):
        self.count += 1
        entry = [at, self.count, item]
        heapq.heappush(self.heap, entry)
        return entry

    def cancel(self, entry):
        entry[2] = None

    def due(self, now):
        found = []
        while self.heap and self.heap[0][0] <= now:
            item = heapq.heappop(self.heap)[2]
            if item is not None:
                found.append(item)
        return found


def measure_timers(timers, cancelled_share: float) -> dict:
    """Sets a timer of one to thirty seconds every 0.1 ms; `cancelled_share` of them are cancelled, within a second."""
    rng, now, pending = Random(1), 0, []
    began = time.perf_counter_ns()
    for step in range(STEPS):
        now += MS // 10
        entry = timers.add(now + rng.randrange(1000, 30_000) * MS, step)
        if rng.random() < cancelled_share:
            pending.append(entry)
            if len(pending) > 1000:
                timers.cancel(pending.pop(rng.randrange(1000)))
        if not step % 100:
            timers.due(now)
    took = time.perf_counter_ns() - began
    held = len(timers.heap) if isinstance(timers, LazyHeap) else len(timers)
    return {"us_a_timer": round(took / STEPS / 1000, 2), "held_at_the_end": held}


def measure_wheel() -> dict:
    rows = []
    for cancelled_share in (0.0, 0.5, 0.95):
        wheel, heap = measure_timers(Wheel(0, 10 * MS), cancelled_share), measure_timers(LazyHeap(0), cancelled_share)
        rows.append(
            {
                "taken_back": cancelled_share,
                "wheel": wheel,
                "heap": heap,
                "ratios": {
                    "time": round(wheel["us_a_timer"] / heap["us_a_timer"], 2),
                    "held": round(wheel["held_at_the_end"] / heap["held_at_the_end"], 2),
                },
            }
        )
    return {"timers": STEPS, "rows": rows}
