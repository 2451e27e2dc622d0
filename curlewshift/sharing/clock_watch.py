"""Whether this front's clock runs at the pace of its peers', within the drift that the settings allow.

Loans are safe only within it. One clock cannot tell by itself; the median of several peers can. A word that was late says that
more time has passed here than there: of the words of each span only the one that was under way for the shortest counts, as in
the clock filter of NTP (RFC 5905, 10). Any two words compared, three seconds late under load, took a front with a right clock
out several times a day, and with it what stood on its loans.
"""

from __future__ import annotations

# A pace is told by words so far apart (ns): the way between fronts then is off by little against it.
APART = 10_000_000_000
# Of each span of so long the quickest word is kept, for so many spans beyond that.
SPAN, MORE = APART // 4, 3
WITNESSES = 2


class ClockWatch:
    def __init__(self, drift: float):
        self.drift = drift
        # by front its life, and the quickest word of each span: how late it was (with what the clocks differ by), and both clocks
        self.spans: dict[str, tuple[int, dict[int, tuple[int, int, int]]]] = {}
        self.paces: dict[str, float] = {}
        self.latest = 0

    def heard(self, front: str, life: int, reading: int, mine: int) -> None:
        """A peer's clock showed this when ours showed that."""
        if mine < self.latest:
            # ours was set back: nothing from before can be compared
            self.spans.clear()
        self.latest = mine
        held = self.spans.get(front)
        if held is None or held[0] != life:
            held = self.spans[front] = life, {}
        spans, present, word = held[1], mine // SPAN, (mine - reading, reading, mine)
        spans[present] = min(word, spans.get(present, word))
        for span in [span for span in spans if span < present - APART // SPAN - MORE]:
            del spans[span]
        late = min(kept for span, kept in spans.items() if span >= present - 1)
        early = min((kept for kept in spans.values() if kept[2] <= late[2] - APART), default=None)
        if early is not None:
            self.paces[front] = (late[2] - early[2]) / max(1, late[1] - early[1]) - 1

    def forget(self, names: set[str]) -> None:
        self.spans = {front: held for front, held in self.spans.items() if front in names}
        self.paces = {front: pace for front, pace in self.paces.items() if front in names}

    def off(self) -> float:
        """How much faster than its peers' this clock runs, in the median; 0 while too few have been compared."""
        paces = sorted(self.paces.values())
        return paces[len(paces) // 2] if len(paces) >= WITNESSES else 0.0

    def past_bound(self) -> bool:
        # both may be off by the drift, in opposite directions
        return abs(self.off()) > 2 * self.drift
