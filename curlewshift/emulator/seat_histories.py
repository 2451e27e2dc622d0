"""Random histories of fronts that lend each other seats: there may never be more viewings than seats.

Like loan_histories.py, but a seat (a concurrency slot of a title) stays in use: viewings stand at media servers until their
front ends them, and those of a front that died for some time longer. The history itself counts the viewings at the servers.
The fronts use the pools of budgets.py and check the seats left as the rules do. Between the check, the request and the answer
a process may be paused; its rounds and its session ends may be late; its clock may be suspected or set back; and a later life
(run of the process) may restore the viewings that were stored.
"""

from __future__ import annotations

from collections import Counter

from curlewshift.emulator.loan_histories import MS, LoanFront, LoanHistory, Overdrawn
from curlewshift.sharing.budgets import SEAT, Pool, Seats
from curlewshift.sharing.loans import Loans
from curlewshift.sharing.renewable_loans import RenewableLoans
from curlewshift.sharing.terms import SharedBudgets, SharingTerms

# How long a viewing may stand after its front last acted (ns): a pause of the process, and the time for which servers keep
# viewings after its death. A set-up that is under way when its loan ends is ended once it plays.
LONGEST_STOP, KEPT_BY_SERVERS, LONGEST_SETUP = 5000 * MS, 3000 * MS, 2000 * MS
SHARED_BUDGETS = SharedBudgets(
    seat_term=3000 * MS, lingers=LONGEST_STOP + KEPT_BY_SERVERS + 1000 * MS, longest_setup=LONGEST_SETUP
)
SHARING = SharingTerms(term=1500 * MS, drift=0.01, window=1000 * MS, every=250 * MS)
TERMS = SHARED_BUDGETS.seat_terms(SHARING)
# The longest delay of a message from a front to a server (ns); a session end may take longer.
MAX_DELAY, MAX_END_DELAY = 100 * MS, KEPT_BY_SERVERS
TITLE = "t"


class SeatFront(LoanFront):
    """The driver of a pool of seats, with the account of a session core of the seats in use.

    `setups` are under way and use a seat from the check on; `viewings` play as far as this life knows.
    """

    pool_class = Seats

    def __init__(self, history: SeatHistory, number: int):
        self.local_index, self.order, self.rng = number, [f"f{n}" for n in range(len(history.fronts))], history.rng
        self.life = self.acted_at = 0
        self.viewings: dict[str, list[int]] = {}
        self.setups: dict[str, list[int]] = {}
        self.pending_ends: list[tuple[str, int]] = []
        super().__init__(history, number)

    @property
    def driver(self) -> SeatFront:
        return self

    def start(self) -> None:
        self.life += 1
        earlier_viewings = self.viewings
        for key, names in self.setups.items():
            for name in names:
                self._leave_to_server(key, name)
        # session ends that were not confirmed before the restart are not retried
        self.pending_ends = []
        self.reported_rights: dict[str, list] = {}
        self.wanted_at: dict[tuple[str, str], int] = {}
        self.viewings, self.setups = ({key: [] for key in self.history.rights} for _ in range(2))
        self.pool: Pool = self.pool_class(
            self,
            self.history.terms,
            [TITLE],
            {_package(key): count for key, count in self.history.rights.items()},
            self.history.kind,
        )
        self.loans = self.pool.loans
        for key, names in earlier_viewings.items():
            for name in names:
                if self.rng.random() < 0.7 and self._seat_left(key):
                    # restored from the stored state before the listener opens
                    self.viewings[key].append(name)
                    self._schedule_leave(key, name)
                else:
                    self._leave_to_server(key, name)

    def _leave_to_server(self, key: str, name: int) -> None:
        self.history.at(self.history.now + self.rng.randrange(KEPT_BY_SERVERS), self.history.viewing_ended, key, name)

    # ---- the driver of the pool

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.history.send(self.number, lender, "loan_requested", (self.number, number, keys, self.life))

    def seats_wanted_at(self) -> dict[tuple[str, str], int]:
        return self.wanted_at

    def seats_in_use(self, package: str, title: str) -> int:
        key = f"{SEAT}{package} {title}"
        return len(self.viewings[key]) + len(self.setups[key])

    def seats_ending(self, package: str, title: str) -> bool:
        return any(key == f"{SEAT}{package} {title}" for key, _ in self.pending_ends)

    def seats_held(self, package: str, title: str, rights: list) -> None:
        self.reported_rights[f"{SEAT}{package} {title}"] = rights

    def seats_over(self, package: str, title: str, count: int) -> None:
        """Ends this many playing viewings; set-ups under way can only be ended once they play."""
        key = f"{SEAT}{package} {title}"
        for name in self.viewings[key][-count:]:
            self.history.ended_early += 1
            self._end(key, name)

    # ---- what the rules do

    def _seat_left(self, key: str) -> bool:
        """As in rules.py: a budget of which no rights were ever reported belongs to this front entirely."""
        now = self.now()
        seats = (
            self.history.rights[key]
            if key not in self.reported_rights
            else sum(count for since, until, count in self.reported_rights[key] if since <= now < until)
        )
        return self.seats_in_use(_package(key), TITLE) < seats

    def try_use(self, key: str) -> bool:
        if not self._seat_left(key):
            self.wanted_at[_package(key), TITLE] = self.now()
            return False
        name = self.history.name()
        self.setups[key].append(name)
        self.history.at(self.history.now + self.rng.randrange(MAX_DELAY), self._send_setup, key, name, self.life)
        return True

    def _send_setup(self, key: str, name: int, life: int) -> None:
        """Sends the set-up that was checked before; a process paused meanwhile sends it late, or finds that it is too late."""
        if life != self.life:
            return
        if self.paused_until > self.history.now:
            sent_late = self.rng.random() < 0.5
            self.history.at(self.paused_until, self._send_setup if sent_late else self._drop_setup, key, name, life)
            return
        # viewings that it has requested to end free their seats at once, as with a single front
        for ended in [ended for ended in self.pending_ends if ended[0] == key]:
            self.history.viewing_ended(*ended)
            self.pending_ends.remove(ended)
        self.history.begins(key, name)
        self.history.at(self.history.now + self.rng.randrange(LONGEST_SETUP), self._start_playing, key, name, life)

    def _drop_setup(self, key: str, name: int, life: int) -> None:
        if life == self.life:
            self.setups[key].remove(name)

    def _start_playing(self, key: str, name: int, life: int) -> None:
        if life != self.life:
            return
        if self.paused_until > self.history.now:
            self.history.at(self.paused_until, self._start_playing, key, name, life)
            return
        self.setups[key].remove(name)
        self.viewings[key].append(name)
        if self.rng.random() < 0.1:
            # the viewer has hung up during the set-up
            self._end(key, name)
        else:
            self._schedule_leave(key, name)

    def _end(self, key: str, name: int) -> None:
        """The front stops counting the viewing now; the server receives the session end later."""
        self.viewings[key].remove(name)
        self.pending_ends.append((key, name))
        max_delay = MAX_DELAY if self.rng.random() < 0.7 else MAX_END_DELAY
        self.history.at(self.history.now + self.rng.randrange(max_delay), self._end_confirmed, key, name)

    def _end_confirmed(self, key: str, name: int) -> None:
        self.history.viewing_ended(key, name)
        if (key, name) in self.pending_ends:
            self.pending_ends.remove((key, name))

    def _schedule_leave(self, key: str, name: int) -> None:
        self.history.at(self.history.now + self.rng.randrange(self.history.max_viewing), self.leave, key, name, self.life)

    def leave(self, key: str, name: int, life: int) -> None:
        """The viewer leaves; a paused front learns of it when it resumes."""
        if life != self.life or name not in self.viewings[key]:
            return
        if self.paused_until > self.history.now:
            self.history.at(self.paused_until, self.leave, key, name, life)
        else:
            # a seat is free as soon as its front knows, as with a single front
            self.viewings[key].remove(name)
            self.history.viewing_ended(key, name)


class SeatHistory(LoanHistory):
    """One random history of seats; `standing` are the viewings at servers, by key."""

    terms, front_class, key_form, duration = TERMS, SeatFront, f"{SEAT}p{{}} {TITLE}", 60_000 * MS
    sizes = (*(3, 3, 4, 5) * 4, *(8, 12) * 2, 20, 50)
    # a starting front stays quiet for long: restarted as often as in the loan histories, most fronts would hold no rights
    max_fault_interval, restart_share = 6000 * MS, 0.15

    def __init__(self, seed: int, kind: type[RenewableLoans] = RenewableLoans, fronts: int = 0):
        self.standing: dict[str, set[int]] = {}
        self.peak_counts, self.names, self.ended_early, self.turn = Counter(), 0, 0, 0
        self.max_viewing, self.max_round_delay = 12_000 * MS, 0
        super().__init__(seed, kind, fronts)
        # viewers may stay for longer than a loan lasts unrenewed, and one round in ten may be late
        self.max_viewing = self.rng.choice((12_000, 50_000)) * MS
        self.max_round_delay = self.rng.choice((0, 0, 2000)) * MS

    def _run_round(self, front: SeatFront) -> None:
        if front.paused_until > self.now:
            # the round that is due runs as soon as the front resumes
            self.at(front.paused_until, self._run_round, front)
            return
        front.acted_at = self.now
        self.turn += 1
        front.pool.time(set(range(len(self.fronts))) - {front.number}, self.turn)
        delay = self.rng.randrange(self.max_round_delay) if self.max_round_delay and self.rng.random() < 0.1 else 0
        self.at(self.now + self.terms.every + delay, self._run_round, front)

    def _deliver(self, to: int, message: str, arguments: tuple) -> None:
        super()._deliver(to, message, arguments)
        front = self.fronts[to]
        if front.paused_until <= self.now and message != "loan_returned":
            front.pool.write(key if message == "loan_requested" else key[0] for key in arguments[2])

    def _inject_fault(self) -> None:
        super()._inject_fault()
        for front in self.fronts:
            # a front paused again before it acted would have been paused for longer than LONGEST_STOP
            front.paused_until = min(front.paused_until, front.acted_at + LONGEST_STOP)
        borrowers = [front for front in self.fronts if front.loans.borrowed and front.paused_until <= self.now]
        lenders = [front for front in self.fronts if front.loans.lent and front.paused_until <= self.now]
        kind = self.rng.random()
        if lenders and kind > 0.8:
            # step the clock by more than a late round can explain
            self.rng.choice(lenders).offset += self.rng.randrange(3000 * MS, 20_000 * MS)
        if not borrowers or kind > 0.5:
            return
        front = self.rng.choice(borrowers)
        if kind < 0.3:
            # its clock is suspected to exceed the drift bound, for up to 6 s
            front.loans.withdraw(True)
            self.at(self.now + self.rng.randrange(6000 * MS), front.loans.withdraw, False)
        else:
            front.offset -= self.rng.randrange(1, 4000 * MS)

    def name(self) -> int:
        self.names += 1
        return self.names

    def begins(self, key: str, name: int) -> None:
        names = self.standing.setdefault(key, set())
        names.add(name)
        self.peak_counts[key] = max(self.peak_counts[key], len(names))
        if len(names) > self.rights[key]:
            raise Overdrawn(f"{len(names)} viewings on {self.rights[key]} seats of {key}")

    def viewing_ended(self, key: str, name: int) -> None:
        self.standing.get(key, set()).discard(name)


def _package(key: str) -> str:
    return key.removeprefix(SEAT).split(" ")[0]


# ---- planted faults


class SeatsForEver(RenewableLoans):
    """Keeps a borrowed seat until the viewer leaves, whether the loan was renewed or not."""

    def loan_received(self, lender, number, rights):
        super().loan_received(lender, number, rights)
        for key, lent in rights:
            if lender in self.borrowed.get(key, {}):
                self.borrowed[key][lender] = (2**62, lent, number)


class SeatsLentInUse(RenewableLoans):
    """Lends a seat that one of its own viewings uses."""

    def loan_requested(self, borrower, number, keys, life=0):
        in_use, self.driver.in_use = self.driver.in_use, lambda key: 0
        try:
            super().loan_requested(borrower, number, keys, life)
        finally:
            self.driver.in_use = in_use


class SeatsSurviveRestart(RenewableLoans):
    """Has no quiet time after a restart."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.quiet_until = 0


class SeatsForgotten(RenewableLoans):
    """Ends overdue viewings only of loans that it still has: others stand until the viewer leaves."""

    def end_overdue(self):
        self.keys_to_check &= set(self.borrowed)
        super().end_overdue()


class SeatsByTheClock(RenewableLoans):
    """Reports to the rules the return of its own part by the clock, while it lends by steady time."""

    def in_hand(self, key):
        return Loans.in_hand(self, key)


class UnreportedSeats(Seats):
    """Reports no rights to the rules before its first round, though a starting front has restored its viewings by then."""

    def write(self, keys):
        if self.loans.steady.last > self.loans.quiet_until - self.loans.terms.quiet:
            super().write(keys)


class UnreportedFront(SeatFront):
    pool_class = UnreportedSeats


class UnreportedHistory(SeatHistory):
    front_class = UnreportedFront


FAULTS = {
    "seats-for-ever": SeatsForEver,
    "seats-lent-in-use": SeatsLentInUse,
    "seats-survive-restart": SeatsSurviveRestart,
    "seats-forgotten": SeatsForgotten,
    "seats-by-the-clock": SeatsByTheClock,
}
