"""Random histories of fronts that lend each other seats, and that never more viewings stand on them than there are seats.

As those of loan_histories.py, but what is used lasts: viewings stand at servers until their front ends them, those of a
front that died for some time longer. What stands is counted by the world alone.
"""

from __future__ import annotations

from collections import Counter

from curlewshift.emulator.loan_histories import MS, LoanFront, LoanHistory, Overdrawn
from curlewshift.sharing.standing import StandingLoans
from curlewshift.sharing.terms import SharingTerms, Together

# Standing after its front could act for the last time (ns): a stop of the process, and what servers keep after its death.
LONGEST_STOP, KEPT_BY_SERVERS = 5000 * MS, 2000 * MS
LINGERS = LONGEST_STOP + KEPT_BY_SERVERS + 1000 * MS
TERMS = Together(seat_term=3000 * MS, lingers=LINGERS).seat_terms(
    SharingTerms(term=1500 * MS, drift=0.01, window=1000 * MS, every=250 * MS))
# From a front's word to the end at the server (ns), at the most.
WAY = 100 * MS


class SeatFront(LoanFront):
    def __init__(self, history: SeatHistory, number: int):
        # viewings that this life knows of, and since which life
        self.viewings: dict[str, list[int]] = {}
        self.life = self.acted_at = 0
        self.ending: list[tuple[str, int]] = []
        super().__init__(history, number)

    def start(self) -> None:
        self.life += 1
        for key, names in self.viewings.items():
            for name in names:
                # its server gives up a front that is gone, some time
                self.history.at(self.history.now + self.history.chance.randrange(KEPT_BY_SERVERS), self.history.over, key, name)
        super().start()
        self.viewings = {key: [] for key in self.history.rights}

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.history.say(self.number, lender, "asked", (self.number, number, keys, self.life))

    def in_use(self, key: str) -> int:
        return len(self.viewings[key])

    def end_some(self, key: str, count: int) -> None:
        self.history.cut_short += count
        for name in self.viewings[key][-count:]:
            self.viewings[key].remove(name)
            self.ending.append((key, name))
            self.history.at(self.history.now + self.history.chance.randrange(WAY), self.history.over, key, name)

    def tries(self, key: str) -> bool:
        if self.in_use(key) < self.loans.may_use(key):
            self.loans.uses(key)
            # what it has told to end frees its own seat at once, as at one front alone
            for ended in self.ending:
                self.history.over(*ended)
            self.ending.clear()
            name = self.history.begins(key)
            self.viewings[key].append(name)
            self.history.at(self.history.now + self.history.chance.randrange(12_000 * MS), self.leaves, key, name, self.life)
            return True
        self.loans.wants(key)
        return False

    def leaves(self, key: str, name: int, life: int) -> None:
        """Its viewer has had enough; a front that is stopped hears of it when it goes on."""
        if life != self.life or name not in self.viewings[key]:
            return
        if self.paused_until > self.history.now:
            self.history.at(self.paused_until, self.leaves, key, name, life)
        else:
            # a seat is free once its front knows, as it is at one front alone
            self.viewings[key].remove(name)
            self.history.over(key, name)


class SeatHistory(LoanHistory):
    """`stands` are the viewings at servers, by key."""

    terms, front_class = TERMS, SeatFront

    def __init__(self, seed: int, kind: type[StandingLoans] = StandingLoans, fronts: int = 0):
        self.stands: dict[str, set[int]] = {}
        self.most, self.names, self.cut_short = Counter(), 0, 0
        super().__init__(seed, kind, fronts)

    def _round(self, front: SeatFront) -> None:
        if front.paused_until <= self.now:
            front.acted_at = self.now
        super()._round(front)

    def _trouble(self) -> None:
        super()._trouble()
        for front in self.fronts:
            # stopped again before it could act it would have been stopped for longer
            front.paused_until = min(front.paused_until, front.acted_at + LONGEST_STOP)

    def begins(self, key: str) -> int:
        self.names += 1
        standing = self.stands.setdefault(key, set())
        standing.add(self.names)
        self.most[key] = max(self.most[key], len(standing))
        if len(standing) > self.rights[key]:
            raise Overdrawn(f"{len(standing)} viewings on {self.rights[key]} seats of {key}")
        return self.names

    def over(self, key: str, name: int) -> None:
        self.stands[key].discard(name)


# ---- planted faults

class SeatsForEver(StandingLoans):
    """Keeps a lent seat for as long as its viewer likes, whether its loan was renewed or not."""

    def lends(self, lender, number, rights):
        super().lends(lender, number, rights)
        for key, lent in rights:
            if lender in self.borrowed.get(key, {}):
                self.borrowed[key][lender] = (2**62, lent, number)


class SeatsLentInUse(StandingLoans):
    """Lends a seat on which somebody of its own sits."""

    def asked(self, borrower, number, keys, life=0):
        in_use, self.outside.in_use = self.outside.in_use, lambda key: 0
        try:
            super().asked(borrower, number, keys, life)
        finally:
            self.outside.in_use = in_use


class SeatsSurviveRestart(StandingLoans):
    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.quiet_until = 0


FAULTS = {"seats-for-ever": SeatsForEver, "seats-lent-in-use": SeatsLentInUse, "seats-survive-restart": SeatsSurviveRestart}
