"""Checks that this front's clock runs at the pace of its peers', within the drift that the settings allow.

Loans are safe only within that drift. One clock cannot detect a deviation by itself; the median over several peers can. A delayed
message makes it look as if more time had passed here than there: of the messages of each span only the one with the shortest
transit counts, as in the clock filter of NTP (RFC 5905, section 10). When any two messages were compared, some three seconds late
under load, a front with a correct clock was found off several times a day, and its loans ended with it.
"""

from __future__ import annotations

# Two readings are compared only if they are at least so far apart (ns): the transit time is then small against the distance.
MIN_SPACING_NS = 10_000_000_000
# The message with the shortest transit of each span of this length (ns) is kept, for so many spans beyond the spacing.
SPAN_NS, EXTRA_SPANS = MIN_SPACING_NS // 4, 3
MIN_PEERS = 2


class ClockWatch:
    """Compares this front's clock with those of its peers; `drift` is the fraction by which each may deviate."""

    def __init__(self, drift: float):
        self.drift = drift
        # by front its life, and the quickest message of each span: its transit time (including the offset between the clocks),
        # the peer's reading and this front's
        self.spans: dict[str, tuple[int, dict[int, tuple[int, int, int]]]] = {}
        self.paces: dict[str, float] = {}
        self.latest = 0

    def add_reading(self, front: str, life: int, reading: int, own_reading: int) -> None:
        """A peer's clock showed `reading` when this front's showed `own_reading` (ns)."""
        if own_reading < self.latest:
            # this clock was set back: earlier readings cannot be compared
            self.spans.clear()
        self.latest = own_reading
        history = self.spans.get(front)
        if history is None or history[0] != life:
            history = self.spans[front] = life, {}
        spans, present, sample = history[1], own_reading // SPAN_NS, (own_reading - reading, reading, own_reading)
        spans[present] = min(sample, spans.get(present, sample))
        for span in [span for span in spans if span < present - MIN_SPACING_NS // SPAN_NS - EXTRA_SPANS]:
            del spans[span]
        latest = min(sample for span, sample in spans.items() if span >= present - 1)
        earliest = min((sample for sample in spans.values() if sample[2] <= latest[2] - MIN_SPACING_NS), default=None)
        if earliest is not None:
            self.paces[front] = (latest[2] - earliest[2]) / max(1, latest[1] - earliest[1]) - 1

    def forget(self, names: set[str]) -> None:
        self.spans = {front: history for front, history in self.spans.items() if front in names}
        self.paces = {front: pace for front, pace in self.paces.items() if front in names}

    def relative_rate(self) -> float:
        """How much faster than its peers' this clock runs, as a fraction, in the median; 0 while too few peers have been
        compared."""
        paces = sorted(self.paces.values())
        return paces[len(paces) // 2] if len(paces) >= MIN_PEERS else 0.0

    def past_bound(self) -> bool:
        # both clocks may be off by the drift, in opposite directions
        return abs(self.relative_rate()) > 2 * self.drift
