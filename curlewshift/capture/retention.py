"""Which old captures are let go. No I/O.

A front keeps the captures of its earlier lives, as the one that ended badly is the one that is looked for. They go by
age, and the oldest first while all together are too large; what is being written never goes.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000
DAY = 86_400 * SECOND
KEPT_FOR = 7 * DAY
MOST_BYTES = 1024 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Kept:
    """One life's capture: `last` is when it was last written to (Unix ns)."""

    name: str
    last: int
    size: int


def to_let_go(captures: list[Kept], writing: str, now: int, kept_for: int = KEPT_FOR, most_bytes: int = MOST_BYTES) -> list[str]:
    """Names, oldest first. A time in the future (the clock was set back) is no reason to go."""
    oldest_first = sorted(captures, key=lambda kept: (kept.last, kept.name))
    size = sum(kept.size for kept in captures)
    going = []
    for kept in oldest_first:
        if kept.name != writing and (now - kept.last > kept_for or size > most_bytes):
            going.append(kept.name)
            size -= kept.size
    return going
