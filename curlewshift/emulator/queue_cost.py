"""Buckets beside a plain heap: the same events, in one run."""

from __future__ import annotations

import time
from random import Random

from curlewshift.emulator.queue import Buckets, Heap

EVENTS = 300_000
MS = 1_000_000


def one(queue, open_at_once: int) -> float:
    """Microseconds an event, with so many waiting at any time; each sets the next one, up to some seconds ahead."""
    rng, left = Random(1), [EVENTS]

    def happens() -> None:
        if left[0] > 0:
            left[0] -= 1
            queue.at(queue.now + int(rng.expovariate(1 / (200 * MS))), happens)

    for _ in range(open_at_once):
        queue.at(rng.randrange(200 * MS), happens)
    began = time.perf_counter()
    queue.run(10**15)
    return (time.perf_counter() - began) / (EVENTS + open_at_once) * 1e6


def measure_events() -> dict:
    rows = []
    for open_at_once in (100, 10_000, 200_000):
        buckets, heap = one(Buckets(), open_at_once), one(Heap(), open_at_once)
        rows.append(
            {
                "waiting": open_at_once,
                "buckets_us": round(buckets, 2),
                "heap_us": round(heap, 2),
                "ratio": round(buckets / heap, 2),
            }
        )
    return {"events": EVENTS, "rows": rows}
