"""Random histories of fronts that lend each other seats, and that never more viewings stand on them than there are seats.

As those of loan_histories.py, but what is used lasts: viewings stand at servers until their front ends them, those of a
front that died for some time longer. What stands is counted by the world alone. The fronts' pools are those of budgets.py, told
to a look at their facts as the rules have it; between look, bytes and answer a process may be stopped, its rounds come late,
its endings arrive late, its clock may be doubted or set back, and a later life may take up what it finds remembered.
"""

from __future__ import annotations

from collections import Counter

from curlewshift.emulator.loan_histories import MS, LoanFront, LoanHistory, Overdrawn
from curlewshift.sharing.budgets import SEAT, Pool, Seats
from curlewshift.sharing.loans import Loans
from curlewshift.sharing.renewable_loans import RenewableLoans
from curlewshift.sharing.terms import SharedBudgets, SharingTerms

# Standing after its front could act for the last time (ns): a stop of the process, and what servers keep after its death. A
# set-up that is out when its loan ends is ended once it plays.
LONGEST_STOP, KEPT_BY_SERVERS, LONGEST_SETUP = 5000 * MS, 3000 * MS, 2000 * MS
TOGETHER = SharedBudgets(seat_term=3000 * MS, lingers=LONGEST_STOP + KEPT_BY_SERVERS + 1000 * MS, longest_setup=LONGEST_SETUP)
SHARING = SharingTerms(term=1500 * MS, drift=0.01, window=1000 * MS, every=250 * MS)
TERMS = TOGETHER.seat_terms(SHARING)
# From a front's word to its server (ns), at the most; an ending may be late.
WAY, LATE_ENDING = 100 * MS, KEPT_BY_SERVERS
TITLE = "t"


class SeatFront(LoanFront):
    """What a pool of seats asks of its front, and one desk's account of who sits on them. `out` are set-ups under way, in
    use from the look at the facts on; `viewings` play as far as this life knows."""

    pool_class = Seats

    def __init__(self, history: SeatHistory, number: int):
        self.local_index, self.order, self.rng = number, [f"f{n}" for n in range(len(history.fronts))], history.rng
        self.life = self.acted_at = 0
        self.viewings: dict[str, list[int]] = {}
        self.out: dict[str, list[int]] = {}
        self.ending: list[tuple[str, int]] = []
        super().__init__(history, number)

    @property
    def driver(self) -> SeatFront:
        return self

    def start(self) -> None:
        self.life += 1
        before = self.viewings
        for key, names in self.out.items():
            for name in names:
                self._left_to_its_server(key, name)
        # what was told to end and had not been heard of is tried by nobody now
        self.ending = []
        self.told: dict[str, list] = {}
        self.wanted_at: dict[tuple[str, str], int] = {}
        self.viewings, self.out = ({key: [] for key in self.history.rights} for _ in range(2))
        self.pool: Pool = self.pool_class(
            self,
            self.history.terms,
            [TITLE],
            {_package(key): count for key, count in self.history.rights.items()},
            self.history.kind,
        )
        self.loans = self.pool.loans
        for key, names in before.items():
            for name in names:
                if self.rng.random() < 0.7 and self._seat_left(key):
                    # remembered, and taken up before its door opens
                    self.viewings[key].append(name)
                    self._leaves_some_time(key, name)
                else:
                    self._left_to_its_server(key, name)

    def _left_to_its_server(self, key: str, name: int) -> None:
        self.history.at(self.history.now + self.rng.randrange(KEPT_BY_SERVERS), self.history.over, key, name)

    # ---- the pool's outside

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.history.say(self.number, lender, "loan_requested", (self.number, number, keys, self.life))

    def seats_wanted_at(self) -> dict[tuple[str, str], int]:
        return self.wanted_at

    def seats_in_use(self, package: str, title: str) -> int:
        key = f"{SEAT}{package} {title}"
        return len(self.viewings[key]) + len(self.out[key])

    def seats_ending(self, package: str, title: str) -> bool:
        return any(key == f"{SEAT}{package} {title}" for key, _ in self.ending)

    def seats_held(self, package: str, title: str, rights: list) -> None:
        self.told[f"{SEAT}{package} {title}"] = rights

    def seats_over(self, package: str, title: str, count: int) -> None:
        """Only what plays can be ended; what is out is ended when it does."""
        key = f"{SEAT}{package} {title}"
        for name in self.viewings[key][-count:]:
            self.history.cut_short += 1
            self._end(key, name)

    # ---- the rules' part

    def _seat_left(self, key: str) -> bool:
        """As in rules.py: what nothing was ever told of is this front's own, all of it."""
        now = self.now()
        seats = (
            self.history.rights[key]
            if key not in self.told
            else sum(count for since, until, count in self.told[key] if since <= now < until)
        )
        return self.seats_in_use(_package(key), TITLE) < seats

    def tries(self, key: str) -> bool:
        if not self._seat_left(key):
            self.wanted_at[_package(key), TITLE] = self.now()
            return False
        name = self.history.name()
        self.out[key].append(name)
        self.history.at(self.history.now + self.rng.randrange(WAY), self._sends, key, name, self.life)
        return True

    def _sends(self, key: str, name: int, life: int) -> None:
        """Looked at a moment ago; a process that was stopped meanwhile does it late, or sees that it is too late."""
        if life != self.life:
            return
        if self.paused_until > self.history.now:
            late = self.rng.random() < 0.5
            self.history.at(self.paused_until, self._sends if late else self._never_sent, key, name, life)
            return
        # what it has told to end frees its own seat at once, as at one front alone
        for ended in [ended for ended in self.ending if ended[0] == key]:
            self.history.over(*ended)
            self.ending.remove(ended)
        self.history.begins(key, name)
        self.history.at(self.history.now + self.rng.randrange(LONGEST_SETUP), self._plays, key, name, life)

    def _never_sent(self, key: str, name: int, life: int) -> None:
        if life == self.life:
            self.out[key].remove(name)

    def _plays(self, key: str, name: int, life: int) -> None:
        if life != self.life:
            return
        if self.paused_until > self.history.now:
            self.history.at(self.paused_until, self._plays, key, name, life)
            return
        self.out[key].remove(name)
        self.viewings[key].append(name)
        if self.rng.random() < 0.1:
            # its viewer has hung up meanwhile
            self._end(key, name)
        else:
            self._leaves_some_time(key, name)

    def _end(self, key: str, name: int) -> None:
        """Its front counts it no more from now on; its server hears of that later."""
        self.viewings[key].remove(name)
        self.ending.append((key, name))
        late = WAY if self.rng.random() < 0.7 else LATE_ENDING
        self.history.at(self.history.now + self.rng.randrange(late), self._ended, key, name)

    def _ended(self, key: str, name: int) -> None:
        self.history.over(key, name)
        if (key, name) in self.ending:
            self.ending.remove((key, name))

    def _leaves_some_time(self, key: str, name: int) -> None:
        self.history.at(self.history.now + self.rng.randrange(self.history.longest), self.leaves, key, name, self.life)

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

    terms, front_class, key_form, lasts = TERMS, SeatFront, f"{SEAT}p{{}} {TITLE}", 60_000 * MS
    sizes = (*(3, 3, 4, 5) * 4, *(8, 12) * 2, 20, 50)
    # a front that starts keeps still for long: killed as often as those of other loans, most would hold nothing
    calm, killed = 6000 * MS, 0.15

    def __init__(self, seed: int, kind: type[RenewableLoans] = RenewableLoans, fronts: int = 0):
        self.stands: dict[str, set[int]] = {}
        self.most, self.names, self.cut_short, self.turn = Counter(), 0, 0, 0
        self.longest, self.rounds_late = 12_000 * MS, 0
        super().__init__(seed, kind, fronts)
        # viewers that stay for longer than any loan lasts unrenewed, and loops that are late now and then
        self.longest = self.rng.choice((12_000, 50_000)) * MS
        self.rounds_late = self.rng.choice((0, 0, 2000)) * MS

    def _round(self, front: SeatFront) -> None:
        if front.paused_until > self.now:
            # what is due is done as soon as it goes on
            self.at(front.paused_until, self._round, front)
            return
        front.acted_at = self.now
        self.turn += 1
        front.pool.time(set(range(len(self.fronts))) - {front.number}, self.turn)
        late = self.rng.randrange(self.rounds_late) if self.rounds_late and self.rng.random() < 0.1 else 0
        self.at(self.now + self.terms.every + late, self._round, front)

    def _arrives(self, to: int, what: str, words: tuple) -> None:
        super()._arrives(to, what, words)
        front = self.fronts[to]
        if front.paused_until <= self.now and what != "loan_returned":
            front.pool.write(key if what == "loan_requested" else key[0] for key in words[2])

    def _trouble(self) -> None:
        super()._trouble()
        for front in self.fronts:
            # stopped again before it could act it would have been stopped for longer
            front.paused_until = min(front.paused_until, front.acted_at + LONGEST_STOP)
        borrowers = [front for front in self.fronts if front.loans.borrowed and front.paused_until <= self.now]
        lenders = [front for front in self.fronts if front.loans.lent and front.paused_until <= self.now]
        kind = self.rng.random()
        if lenders and kind > 0.8:
            # by more than may pass for a round that comes late
            self.rng.choice(lenders).offset += self.rng.randrange(3000 * MS, 20_000 * MS)
        if not borrowers or kind > 0.5:
            return
        front = self.rng.choice(borrowers)
        if kind < 0.3:
            # its clock seems to be past the bound, for a while
            front.loans.withdraw(True)
            self.at(self.now + self.rng.randrange(6000 * MS), front.loans.withdraw, False)
        else:
            front.offset -= self.rng.randrange(1, 4000 * MS)

    def name(self) -> int:
        self.names += 1
        return self.names

    def begins(self, key: str, name: int) -> None:
        standing = self.stands.setdefault(key, set())
        standing.add(name)
        self.most[key] = max(self.most[key], len(standing))
        if len(standing) > self.rights[key]:
            raise Overdrawn(f"{len(standing)} viewings on {self.rights[key]} seats of {key}")

    def over(self, key: str, name: int) -> None:
        self.stands.get(key, set()).discard(name)


def _package(key: str) -> str:
    return key.removeprefix(SEAT).split(" ")[0]


# ---- planted faults


class SeatsForEver(RenewableLoans):
    """Keeps a lent seat for as long as its viewer likes, whether its loan was renewed or not."""

    def loan_received(self, lender, number, rights):
        super().loan_received(lender, number, rights)
        for key, lent in rights:
            if lender in self.borrowed.get(key, {}):
                self.borrowed[key][lender] = (2**62, lent, number)


class SeatsLentInUse(RenewableLoans):
    """Lends a seat on which somebody of its own sits."""

    def loan_requested(self, borrower, number, keys, life=0):
        in_use, self.driver.in_use = self.driver.in_use, lambda key: 0
        try:
            super().loan_requested(borrower, number, keys, life)
        finally:
            self.driver.in_use = in_use


class SeatsSurviveRestart(RenewableLoans):
    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.quiet_until = 0


class SeatsForgotten(RenewableLoans):
    """Looks only at loans that it still has: what stands on one that was lost otherwise stays for as long as its viewer likes."""

    def end_overdue(self):
        self.keys_to_check &= set(self.borrowed)
        super().end_overdue()


class SeatsByTheClock(RenewableLoans):
    """Tells the rules when its own part will be back by the clock, while it lends by steady time."""

    def in_hand(self, key):
        return Loans.in_hand(self, key)


class UntoldSeats(Seats):
    """Says nothing to the rules before its first round, in which a front that starts has taken up what it remembers."""

    def write(self, keys):
        if self.loans.steady.last > self.loans.quiet_until - self.loans.terms.quiet:
            super().write(keys)


class UntoldFront(SeatFront):
    pool_class = UntoldSeats


class UntoldHistory(SeatHistory):
    front_class = UntoldFront


FAULTS = {
    "seats-for-ever": SeatsForEver,
    "seats-lent-in-use": SeatsLentInUse,
    "seats-survive-restart": SeatsSurviveRestart,
    "seats-forgotten": SeatsForgotten,
    "seats-by-the-clock": SeatsByTheClock,
}
