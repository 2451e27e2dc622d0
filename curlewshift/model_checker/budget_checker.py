"""All orders in which rights can be asked for, lent and used by three fronts that share one budget, and that no more is used.

The loans are the program's own; around them lies a small world in whole ticks: messages that are lost, doubled, late and out
of order, fronts that are killed and started again, and clocks at the bound of their drift. The world alone knows the true
time, and counts uses by it. Called by `curlewshift walk --of budgets` and by tests.
"""

from __future__ import annotations

from copy import copy

from curlewshift.model_checker.explore import InvariantViolated, Walked, explore
from curlewshift.sharing.loans import Loans
from curlewshift.sharing.terms import SharingTerms

# A tick is four units of a true clock; a clock at the bound shows three or five.
UNITS, DRIFT = 4, 0.25
TERMS = SharingTerms(term=4, drift=DRIFT, window=4, every=4, max_requests=1)
# A window by the fastest clock, in true units: what each counts by its own is no shorter.
TRUE_WINDOW = TERMS.window / (1 + DRIFT)
KEY = "k"
# The one right is the first front's own, and is lent to the others. What is borrowed is never lent on and each part is lent
# whole, so that what breaks between some lender and its borrowers breaks here.
LENDER, RIGHTS = 0, 1
# Messages under way; one more pushes the oldest out. None need be lost otherwise: one that never arrives is lost. All may
# arrive again as long as they are under way.
MOST_MESSAGES = 2
# One step over as many ticks as a loan takes to return on the slowest clock, so that courses reach past it.
LONG = -(-TERMS.back_after // 3)
MOST_RESTARTS = 1


class End:
    """A front's outside. Its messages go into the world's network."""

    def __init__(self, world: BudgetWorld, number: int):
        self.world, self.number = world, number

    def now(self) -> int:
        return self.world.clocks[self.number]

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.world.send(("ask", self.number, lender, number, self.world.lives[self.number]))

    def lend(self, borrower: int, number: int, rights: list[tuple[str, int]]) -> None:
        self.world.send(("lend", self.number, borrower, number, 0))

    def give_back(self, lender: int, number: int, key: str) -> None:
        self.world.send(("back", self.number, lender, number, 0))

    def part(self, key: str) -> int:
        return RIGHTS if self.number == LENDER else 0


class BudgetWorld:
    """`rates` are units of each front's clock a tick."""

    def __init__(self, rates: tuple[int, ...], loans: type[Loans] = Loans, messages: int = MOST_MESSAGES):
        self.rates, self.kind, self.messages = rates, loans, messages
        self.tick = 0
        # past the first silence, as if each had run for long
        self.clocks = [100] * len(rates)
        self.lives = [0] * len(rates)
        self.network: list[tuple] = []
        self.uses: list[tuple[int, int, int]] = []
        self.fronts: list[Loans] = []
        for number in range(len(rates)):
            made = loans(End(self, number), number, TERMS)
            made.quiet_until = 0
            self.fronts.append(made)

    def copied(self) -> BudgetWorld:
        other = copy(self)
        other.clocks, other.lives, other.network, other.uses = (
            list(self.clocks),
            list(self.lives),
            list(self.network),
            list(self.uses),
        )
        other.fronts = []
        for number, front in enumerate(self.fronts):
            twin = copy(front)
            twin.driver = End(other, number)
            twin.steady = copy(front.steady)
            twin.steady.due = front.steady.due
            twin.lent, twin.wanted, twin.used, twin.outstanding = (
                dict(front.lent),
                dict(front.wanted),
                dict(front.used),
                dict(front.outstanding),
            )
            twin.to_return = dict(front.to_return)
            twin.borrowed = {key: dict(held) for key, held in front.borrowed.items()}
            twin.numbers = copy(front.numbers)
            other.fronts.append(twin)
        return other

    def state(self) -> tuple:
        """What can still matter, relative to each front's own clock and to the true time."""
        fronts = []
        for front, now in zip(self.fronts, self.clocks):
            steady = front.steady.last
            # what a borrower wants and has used is asked of nobody here
            until, *loan = front.lent.get(KEY, (0,))
            lends = (
                (max(0, until - steady), tuple(loan) if until > steady else (), min(9, steady - front.used.get(KEY, -9)))
                if front.local_index == LENDER
                else ()
            )
            fronts.append(
                (
                    max(0, front.quiet_until - steady),
                    lends,
                    tuple(
                        sorted(
                            (lender, until - now, number)
                            for lender, (until, _, number) in front.borrowed.get(KEY, {}).items()
                            if until > now
                        )
                    ),
                    bool(front.to_return),
                    tuple(
                        sorted((now - ask[1], number) for number, ask in front.outstanding.items() if now - ask[1] < TERMS.term)
                    ),
                )
            )
        recent = tuple(
            sorted((self.tick - tick, who) for tick, who, clock in self.uses if (self.tick - tick) * UNITS < TRUE_WINDOW)
        )
        return (
            tuple(fronts),
            tuple(self.network),
            recent,
            sum(self.lives),
            tuple(
                sum(self.clocks[who] - clock < TERMS.window for _, one, clock in self.uses if one == who)
                for who in range(len(self.rates))
            ),
        )

    # ---- what can happen

    def steps(self) -> list[tuple]:
        found: list[tuple] = [("tick",), ("long",)]
        for number in range(len(self.fronts)):
            if number != LENDER:
                found.append(("want", number))
            if self.may(number):
                found.append(("use", number))
            if sum(self.lives) < MOST_RESTARTS:
                found.append(("restart", number))
        return found + [("arrive", message) for message in self.network]

    def take(self, step: tuple) -> None:
        """Raises `InvariantViolated`."""
        kind = step[0]
        if kind in ("tick", "long"):
            for _ in range(LONG if kind == "long" else 1):
                self.tick += 1
                for number, rate in enumerate(self.rates):
                    self.clocks[number] += rate
                    self.fronts[number].time(lambda key: [])
        elif kind == "want":
            self.fronts[step[1]].wants(KEY)
            self.fronts[step[1]].time(lambda key: [LENDER])
        elif kind == "use":
            self.use(step[1])
        elif kind == "restart":
            number = step[1]
            self.lives[number] += 1
            self.fronts[number] = self.restarted(number)
        else:
            what, sender, to, number, _ = step[1]
            if what == "ask":
                self.fronts[to].loan_requested(sender, number, [KEY])
            elif what == "lend":
                self.fronts[to].loan_received(sender, number, [(KEY, RIGHTS)])
            else:
                self.fronts[to].loan_returned(sender, number, KEY)

    def restarted(self, number: int) -> Loans:
        # numbers of asks go on from another place in each life, as drawn ones do
        return self.kind(End(self, number), number, TERMS, first_number=1000 * self.lives[number])

    def send(self, message: tuple) -> None:
        if message not in self.network:
            self.network = [*self.network, message][-self.messages :]

    def may(self, number: int) -> bool:
        """As the rules count: so many in the window by its own clock as there are parts in its hands."""
        now = self.clocks[number]
        used = sum(now - clock < TERMS.window for _, who, clock in self.uses if who == number)
        return used < self.fronts[number].may_use(KEY)

    def use(self, number: int) -> None:
        """All it may use at this moment."""
        while self.may(number):
            self.fronts[number].uses(KEY)
            self.uses.append((self.tick, number, self.clocks[number]))
        together = sum((self.tick - tick) * UNITS < TRUE_WINDOW for tick, _, _ in self.uses)
        if together > RIGHTS:
            raise InvariantViolated(f"{together} uses within one window of a budget of {RIGHTS}")


def walk_budgets(
    depth: int, rates: tuple[int, ...] = (3, 4, 5), loans: type[Loans] = Loans, most: int = 10**9, messages: int = MOST_MESSAGES
) -> Walked:
    return explore(BudgetWorld(rates, loans, messages), depth, most)


# ---- planted faults: each has to give a shortest course that breaks the sum


class RightGivenTwice(Loans):
    """Lends what it has lent already."""

    def loan_requested(self, borrower, number, keys, life=0):
        self.lent.clear()
        super().loan_requested(borrower, number, keys, life)


class NoTerm(Loans):
    """Keeps what it borrowed for ever."""

    def loan_received(self, lender, number, rights):
        super().loan_received(lender, number, rights)
        for key, lent in rights:
            if lender in self.borrowed.get(key, {}):
                self.borrowed[key][lender] = (2**62, lent, number)


class RightsSurviveRestart(Loans):
    """Takes its part for its own again at once, whatever an earlier life lent."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.quiet_until = 0


FAULTS = {"right-given-twice": RightGivenTwice, "no-term": NoTerm, "rights-survive-restart": RightsSurviveRestart}
