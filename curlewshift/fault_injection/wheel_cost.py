"""Timers on the wheel beside a heap with lazy cancelling, in one run, by how many are taken back before they are due."""

from __future__ import annotations

import heapq
import time
from random import Random

from curlewshift.schedule.wheel import Wheel

MS = 1_000_000
LIVE = 50_000
STEPS = 200_000


class Heap:
    """The plain way: what is taken back stays in the heap until it is due."""

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


def one(timers, taken_back: float) -> dict:
    """Timers of one to thirty seconds, one set every 0.1 ms; some are taken back within a second."""
    rng, now, open_ones = Random(1), 0, []
    began = time.perf_counter_ns()
    for step in range(STEPS):
        now += MS // 10
        entry = timers.add(now + rng.randrange(1000, 30_000) * MS, step)
        if rng.random() < taken_back:
            open_ones.append(entry)
            if len(open_ones) > 1000:
                timers.cancel(open_ones.pop(rng.randrange(1000)))
        if not step % 100:
            timers.due(now)
    took = time.perf_counter_ns() - began
    held = len(timers.heap) if isinstance(timers, Heap) else len(timers)
    return {"us_a_timer": round(took / STEPS / 1000, 2), "held_at_the_end": held}


def measure_wheel() -> dict:
    rows = []
    for taken_back in (0.0, 0.5, 0.95):
        wheel, heap = one(Wheel(0, 10 * MS), taken_back), one(Heap(0), taken_back)
        rows.append(
            {
                "taken_back": taken_back,
                "wheel": wheel,
                "heap": heap,
                "ratios": {
                    "time": round(wheel["us_a_timer"] / heap["us_a_timer"], 2),
                    "held": round(wheel["held_at_the_end"] / heap["held_at_the_end"], 2),
                },
            }
        )
    return {"timers": STEPS, "rows": rows}
