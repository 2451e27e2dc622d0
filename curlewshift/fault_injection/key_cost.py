"""Cost of an idempotency key: the key table with its expiry buckets compared with a dictionary that is swept as a whole."""

from __future__ import annotations

import time
from random import Random

from curlewshift.retries.keys import KeyTable

SECOND = 1_000_000_000
RETENTION_NS = 5 * SECOND
SWEEP_INTERVAL_NS = SECOND // 4


class SweptDictionary:
    """The baseline: a dictionary that is scanned for expired entries every quarter of a second."""

    def __init__(self, now: int):
        self.held: dict[str, tuple] = {}
        self.swept_at = now

    def find(self, key, now):
        if now - self.swept_at >= SWEEP_INTERVAL_NS:
            self.swept_at = now
            for old in [old for old, (_, _, until) in self.held.items() if until is not None and until <= now]:
                del self.held[old]
        held = self.held.get(key)
        return None if held is None or (held[2] is not None and held[2] <= now) else held

    def add(self, key, mark, front_session):
        self.held[key] = (mark, front_session, None)
        return key

    def ended(self, key, until):
        mark, front_session, _ = self.held[key]
        self.held[key] = (mark, front_session, until)


def measure_table(table, rate: int, seconds: int) -> dict:
    """Adds `rate` keys a second; each is looked up, held, ended at once and kept for five seconds."""
    rng, now, gap = Random(1), 0, SECOND // rate
    took = []
    for number in range(rate * seconds):
        now += gap
        key = f"key {number} {rng.random()}"
        began = time.perf_counter_ns()
        if table.find(key, now) is None:
            table.ended(table.add(key, "mark", None), now + RETENTION_NS)
        took.append(time.perf_counter_ns() - began)
    took.sort()
    return {
        "mean_us": round(sum(took) / len(took) / 1000, 2),
        "worst_ms": round(took[-1] / 1e6, 2),
        "p999_us": round(took[len(took) * 999 // 1000] / 1000, 1),
    }


def measure_keys(rates=(200, 2000, 20_000)) -> dict:
    rows = []
    for rate in rates:
        seconds = max(10, min(60, 200_000 // rate))
        table, swept = measure_table(KeyTable(0, 10**9), rate, seconds), measure_table(SweptDictionary(0), rate, seconds)
        rows.append(
            {
                "keys_a_second": rate,
                "held": rate * 5,
                "table": table,
                "swept": swept,
                "ratios": {
                    "mean": round(table["mean_us"] / swept["mean_us"], 2),
                    "worst": round(table["worst_ms"] / max(0.01, swept["worst_ms"]), 2),
                },
            }
        )
    return {"rates": rows}
