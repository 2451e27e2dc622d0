"""The level of admission of one zone: below it viewings are refused at the door, above it the rules have them.

What moves it is what is really short: viewings that were let in and then refused for want of room, each weighed by how much of
the zone is out of room, so that three full holders of one title do not shut the door on all others. Each round it is set to where
as many would come in as the zone has just begun, read from how many of late asked at each rank (DAGOR's way; Zhou et al. 2018,
4.2.3); between the two marks it stays, and it falls by steps of a part, so that it does not swing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# What of a round's counts is left in the next: of who asks, which changes slowly and is thin for each rank; of what became of
# those let in, which has to show at once what the last move did; and of what has begun, over about as long as the room that was
# filled takes to come free. With one memory for all the level stood too high for ten rounds after each rise; set by what began in
# the last rounds alone it followed its own crowds round, from a quarter to one and a half of what there was room for.
KEEPS, KEEPS_OUTCOME, KEEPS_BEGUN = 0.7, 0.3, 0.92
# Of what is let in, the part that is refused for want of room at which the level rises, and under which it falls. Some has to be:
# those who play step down for what presses, and with too little of that fewer play, wider.
HIGH, LOW = 0.35, 0.20
# What more than the zone has just begun is let in: without it nobody would know that there is room again.
PROBES = 0.03
# The part more that is let in each round while little is refused: in a zone that is full, and in one that is empty, which has no
# time to lose. The least number of outcomes that say anything.
EASES, EASES_EMPTY, ENOUGH = 0.06, 0.6, 8.0
# A level rises and falls no further than these parts of all ranks in one round, towards its own aim or what others say: late
# shedding costs everyone, and what is let in too soon has to be shed again.
MOST_UP, MOST_DOWN = 0.5, 0.1
YOUNG = 3
QUIET = "nothing is short"


@dataclass(slots=True)
class Round:
    """What came of one round at one front, or at many together. `asks` by rank, refused and let in alike; `short` are those
    let in that were refused for want of room, weighed."""

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
            {rank: count * KEEPS for rank, count in self.asks.items() if count * KEEPS > 0.01},
            self.begun * KEEPS_OUTCOME,
            self.short * KEEPS_OUTCOME,
        )


class Level:
    """`cut` is the rank under which viewings are refused; 0: nobody is. `floored(rank)` are let in whatever it is."""

    def __init__(self, top: int, floored):
        self.top, self.floored = top, floored
        self.cut = 0
        self.seen = Round()
        self.why = QUIET
        # a front that has just started knows no level: it takes the first that it hears of within some rounds as it is
        self.young = YOUNG
        # begun a round, over long; and how much of that memory is filled
        self.begun = self.filled = 0.0

    def note(self, seen: Round) -> None:
        """One round has passed."""
        self.seen = self.seen.faded()
        self.seen.add(seen)
        self.begun = KEEPS_BEGUN * self.begun + (1 - KEEPS_BEGUN) * seen.begun
        self.filled = KEEPS_BEGUN * self.filled + 1 - KEEPS_BEGUN

    def round(self, seen: Round, full: float = 1.0) -> int:
        """One round has passed; returns where the level is now, by what was seen of it and how much of the zone is out of
        room."""
        self.note(seen)
        self.young, seen = max(0, self.young - 1), self.seen
        let_in = sum(count for rank, count in seen.asks.items() if rank >= self.cut or self.floored(rank))
        refused = seen.short / max(seen.short + seen.begun, 1e-9)
        if seen.short + seen.begun < ENOUGH and self.cut == 0:
            return self.cut
        # as one round's asks stand in their sums
        quick, long = seen.begun * (1 - KEEPS_OUTCOME) / (1 - KEEPS), self.begun / self.filled / (1 - KEEPS)
        if refused > HIGH:
            self.why = f"{refused:.0%} of what was let in found no room"
            # the more is refused, the less is what began over long a measure of what there is room for now
            began = (1 - refused) * long + refused * min(quick, long)
            return self._move(max(self.cut_for((1 + PROBES) * max(began, 1.0)), self.cut))
        if refused < LOW and self.cut:
            self.why = f"{refused:.0%} of what is let in finds no room: more may come"
            more = EASES + (EASES_EMPTY - EASES) * (1 - full)
            return self._move(min(self.cut_for(max(let_in, long) * (1 + more) + 1.0), self.cut - 1), down=self.top)
        return self.cut

    def cut_for(self, wanted: float) -> int:
        """The lowest cut that lets in no more than so many of what asked of late."""
        together = sum(count for rank, count in self.seen.asks.items() if self.floored(rank))
        cut = self.top
        for rank in sorted((rank for rank in self.seen.asks if not self.floored(rank)), reverse=True):
            together += self.seen.asks[rank]
            if together > wanted:
                return cut
            cut = rank
        return 0

    def _move(self, aim: int, down: int = 0) -> int:
        up, down = max(1, int(self.top * MOST_UP)), down or max(1, int(self.top * MOST_DOWN))
        self.cut = max(0, min(self.top, self.cut + max(-down, min(up, aim - self.cut))))
        if not self.cut:
            self.why = QUIET
        return self.cut

    def meet(self, told: int, why: str) -> None:
        """What all fronts together make of it, in place of this one's own: met by steps, so that two parts that had levels of
        their own do not swing when they hear each other again."""
        if self.young:
            self.cut, self.young = max(0, min(self.top, told)), 0
        self._move(told)
        if self.cut:
            self.why = why
