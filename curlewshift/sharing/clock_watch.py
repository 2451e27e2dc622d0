"""Whether this front's clock runs at the pace of its peers', within the drift that the settings allow.

Loans are safe only within it. One clock cannot tell by itself; the median of several peers can.
"""

from __future__ import annotations

# A pace is told by readings so far apart (ns): the way between fronts then is off by little against it.
APART = 10_000_000_000
WITNESSES = 2


class ClockWatch:
    def __init__(self, drift: float):
        self.drift = drift
        self.first: dict[str, tuple[int, int, int]] = {}
        self.paces: dict[str, float] = {}

    def heard(self, front: str, life: int, reading: int, mine: int) -> None:
        """A peer's clock showed this when ours showed that."""
        held = self.first.get(front)
        if held is None or held[0] != life or mine < held[2] or reading < held[1]:
            self.first[front] = (life, reading, mine)
        elif mine - held[2] >= APART:
            self.paces[front] = (mine - held[2]) / max(1, reading - held[1]) - 1
            self.first[front] = (life, reading, mine)

    def forget(self, names: set[str]) -> None:
        self.first = {front: held for front, held in self.first.items() if front in names}
        self.paces = {front: pace for front, pace in self.paces.items() if front in names}

    def off(self) -> float:
        """How much faster than its peers' this clock runs, in the median; 0 while too few have been compared."""
        paces = sorted(self.paces.values())
        return paces[len(paces) // 2] if len(paces) >= WITNESSES else 0.0

    def past_bound(self) -> bool:
        # both may be off by the drift, in opposite directions
        return abs(self.off()) > 2 * self.drift
