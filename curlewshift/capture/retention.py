"""Decides which old captures are removed. No I/O.

A front keeps the captures of its earlier lives (runs of the process), as an operator looks for the one that ended badly.
Captures are removed above an age, and the oldest first while their total size is too large; the one being written is never
removed.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000
DAY = 86_400 * SECOND
RETENTION_NS = 7 * DAY
MAX_TOTAL_BYTES = 1024 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class StoredCapture:
    """The capture of one life. `written_at` is the time of its last write (Unix ns), `size` is in bytes."""

    name: str
    written_at: int
    size: int


def captures_to_remove(
    captures: list[StoredCapture],
    writing: str,
    now: int,
    retention: int = RETENTION_NS,
    max_total_bytes: int = MAX_TOTAL_BYTES,
) -> list[str]:
    """Names of the captures to remove, oldest first. `writing` names the one being written; `now` is Unix ns. A time in the
    future (the clock was set back) does not count as an age."""
    oldest_first = sorted(captures, key=lambda capture: (capture.written_at, capture.name))
    size = sum(capture.size for capture in captures)
    removed = []
    for capture in oldest_first:
        if capture.name != writing and (now - capture.written_at > retention or size > max_total_bytes):
            removed.append(capture.name)
            size -= capture.size
    return removed
