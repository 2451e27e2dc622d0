"""Compares the cost per event of the bucket queue and of a plain heap, on the same events. Called by `measure events`."""

from __future__ import annotations

import time
from random import Random

from curlewshift.emulator.queue import Buckets, Heap

EVENTS = 300_000
MS = 1_000_000


def microseconds_per_event(queue, open_at_once: int) -> float:
    """Microseconds per event with `open_at_once` pending events; each event schedules its successor, 0.2 s later on average."""
    rng, left = Random(1), [EVENTS]

    def run_event() -> None:
        if left[0] > 0:
            left[0] -= 1
            queue.at(queue.now + int(rng.expovariate(1 / (200 * MS))), run_event)

    for _ in range(open_at_once):
        queue.at(rng.randrange(200 * MS), run_event)
    started_at = time.perf_counter()
    queue.run(10**15)
    return (time.perf_counter() - started_at) / (EVENTS + open_at_once) * 1e6


def measure_events() -> dict:
    rows = []
    for open_at_once in (100, 10_000, 200_000):
        buckets, heap = microseconds_per_event(Buckets(), open_at_once), microseconds_per_event(Heap(), open_at_once)
        rows.append(
            {
                "waiting": open_at_once,
                "buckets_us": round(buckets, 2),
                "heap_us": round(heap, 2),
                "ratio": round(buckets / heap, 2),
            }
        )
    return {"events": EVENTS, "rows": rows}
