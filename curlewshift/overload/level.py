"""The admission level of one zone: viewings ranked below it are refused before the rules (the policy) see them.

The level follows the actual shortage: viewings that were admitted and then refused for lack of room, each weighted by the part of
the zone that is out of room, so that three full holders of one title do not shed viewings of all others. Each round the level is
set to admit about as many viewings as the zone has recently begun, read from how many recently asked at each rank (as in DAGOR;
Zhou et al. 2018, section 4.2.3). Between the two thresholds it stays, and it falls by proportional steps, so that it does not
oscillate.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Part of the counts kept from one round to the next. The counts of asks are kept long, as they change slowly and are few for each
# rank; the outcomes of admitted viewings briefly, as they have to show the effect of the last change at once; what has begun for
# about as long as occupied room takes to come free. With one retention for all, the level stayed too high for ten rounds after
# each rise; set from the last rounds alone, it followed its own crowds, from a quarter of what there was room for to one and a
# half times as much.
ASKS_KEPT, OUTCOMES_KEPT, BEGUN_KEPT = 0.7, 0.3, 0.92
# Shares of the admitted viewings refused for lack of room above which the level rises and below which it falls. Some refusals are
# needed: playing viewings lower their rung in response to them, and with too few of them fewer viewings play, at higher rungs.
REFUSED_HIGH, REFUSED_LOW = 0.35, 0.20
# Share admitted beyond what the zone has recently begun: without it, returning room would not be noticed.
EXTRA_SHARE = 0.03
# Share admitted in addition each round while little is refused: in a full zone, and in an empty one, which should fill without
# delay. Fewer outcomes than the minimum are no evidence.
EASE_SHARE, EASE_SHARE_EMPTY, MIN_OUTCOMES = 0.06, 0.6, 8.0
# Largest step up and down in one round as a fraction of all ranks, toward its own target or the announced level. Late shedding
# costs every viewer, and viewings admitted too soon have to be shed again.
MAX_STEP_UP, MAX_STEP_DOWN = 0.5, 0.1
ADOPT_ROUNDS = 3
NOTHING_SHORT = "nothing is short"


@dataclass(slots=True)
class Round:
    """Counts of one round at one front, or of several fronts together. `asks` by rank, refused and admitted alike; `short` are
    admitted viewings that were refused for lack of room, weighted."""

    asks: dict[int, float] = field(default_factory=dict)
    begun: float = 0.0
    short: float = 0.0

    def add(self, other: Round, weight: float = 1.0) -> None:
        for rank, count in other.asks.items():
            self.asks[rank] = self.asks.get(rank, 0.0) + weight * count
        self.begun += weight * other.begun
        self.short += weight * other.short

    def faded(self) -> Round:
        return Round(
            {rank: count * ASKS_KEPT for rank, count in self.asks.items() if count * ASKS_KEPT > 0.01},
            self.begun * OUTCOMES_KEPT,
            self.short * OUTCOMES_KEPT,
        )


class Level:
    """`cut` is the rank under which viewings are refused; 0 refuses none. Ranks for which `floored(rank)` is true are always
    admitted."""

    def __init__(self, top: int, floored):
        self.top, self.floored = top, floored
        self.cut = 0
        self.recent = Round()
        self.why = NOTHING_SHORT
        # a front that has just started knows no level: within its first rounds it adopts the first announced one without steps
        self.adopt_rounds_left = ADOPT_ROUNDS
        # exponential mean of what has begun in a round, and the sum of its weights so far
        self.begun = self.begun_weight = 0.0

    def record(self, seen: Round) -> None:
        """Adds the counts of one round."""
        self.recent = self.recent.faded()
        self.recent.add(seen)
        self.begun = BEGUN_KEPT * self.begun + (1 - BEGUN_KEPT) * seen.begun
        self.begun_weight = BEGUN_KEPT * self.begun_weight + 1 - BEGUN_KEPT

    def round(self, seen: Round, full: float = 1.0) -> int:
        """Ends a round with its counts, where `full` is the part of the zone that is out of room; returns the new cut."""
        self.record(seen)
        self.adopt_rounds_left, seen = max(0, self.adopt_rounds_left - 1), self.recent
        let_in = sum(count for rank, count in seen.asks.items() if rank >= self.cut or self.floored(rank))
        refused = seen.short / max(seen.short + seen.begun, 1e-9)
        if seen.short + seen.begun < MIN_OUTCOMES and self.cut == 0:
            return self.cut
        # scaled to the sum of the retained asks
        recent_begun, long_begun = (
            seen.begun * (1 - OUTCOMES_KEPT) / (1 - ASKS_KEPT),
            self.begun / self.begun_weight / (1 - ASKS_KEPT),
        )
        if refused > REFUSED_HIGH:
            self.why = f"{refused:.0%} of what was let in found no room"
            # the more is refused, the less the long-term mean says about the room there is now
            began = (1 - refused) * long_begun + refused * min(recent_begun, long_begun)
            return self._move(max(self.lowest_cut_for((1 + EXTRA_SHARE) * max(began, 1.0)), self.cut))
        if refused < REFUSED_LOW and self.cut:
            self.why = f"{refused:.0%} of what is let in finds no room: more may come"
            ease = EASE_SHARE + (EASE_SHARE_EMPTY - EASE_SHARE) * (1 - full)
            return self._move(min(self.lowest_cut_for(max(let_in, long_begun) * (1 + ease) + 1.0), self.cut - 1), down=self.top)
        return self.cut

    def lowest_cut_for(self, wanted: float) -> int:
        """The lowest cut that admits no more than `wanted` of the recent asks."""
        total = sum(count for rank, count in self.recent.asks.items() if self.floored(rank))
        cut = self.top
        for rank in sorted((rank for rank in self.recent.asks if not self.floored(rank)), reverse=True):
            total += self.recent.asks[rank]
            if total > wanted:
                return cut
            cut = rank
        return 0

    def _move(self, target: int, down: int = 0) -> int:
        up, down = max(1, int(self.top * MAX_STEP_UP)), down or max(1, int(self.top * MAX_STEP_DOWN))
        self.cut = max(0, min(self.top, self.cut + max(-down, min(up, target - self.cut))))
        if not self.cut:
            self.why = NOTHING_SHORT
        return self.cut

    def approach(self, target: int, why: str) -> None:
        """Moves toward the level of all fronts, in place of this one's own. It moves by steps, so that two groups with levels of
        their own do not oscillate when they are connected again."""
        if self.adopt_rounds_left:
            self.cut, self.adopt_rounds_left = max(0, min(self.top, target)), 0
        self._move(target)
        if self.cut:
            self.why = why
