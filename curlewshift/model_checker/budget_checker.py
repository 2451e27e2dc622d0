"""Model checker for loans: three fronts share one budget, and no order of events lets them use more than the budget.

The fronts run the program's own `Loans` (rights: parts of a shared budget, held in escrow and lent between fronts). Around
them is a model in whole ticks: messages are lost, duplicated, late and out of order, fronts are killed and restarted, and
clocks run at the bounds of their drift. Only the model knows the true time, and it counts uses by it. Called by
`curlewshift walk --of budgets` and by tests.
"""

from __future__ import annotations

from copy import copy

from curlewshift.model_checker.explore import ExplorationResult, InvariantViolated, explore
from curlewshift.sharing.loans import Loans
from curlewshift.sharing.terms import SharingTerms

# A tick is four units of true time; a clock at the bounds of its drift advances by three or five units.
UNITS, DRIFT = 4, 0.25
TERMS = SharingTerms(term=4, drift=DRIFT, window=4, every=4, max_requests=1)
# A window by the fastest clock, in true units. No front counts over a shorter window by its own clock.
TRUE_WINDOW = TERMS.window / (1 + DRIFT)
KEY = "k"
# The only right belongs to the first front, which lends it to the others. One lender is enough: borrowed rights are never
# lent on and each part is lent in full, so a fault between any lender and its borrowers also occurs here.
LENDER, RIGHTS = 0, 1
# Messages in transit; a further one displaces the oldest. There is no other step for loss: a message that is never delivered
# is lost. A message may be delivered repeatedly as long as it is in transit.
MAX_MESSAGES = 2
# Ticks until a loan has returned by the slowest clock. One step covers them all, so that traces of few steps reach past it.
LONG_STEP_TICKS = -(-TERMS.back_after // 3)
MAX_RESTARTS = 1


class LoansEnd:
    """The driver of one front's loans; its messages go into the model's network."""

    def __init__(self, model: BudgetModel, number: int):
        self.model, self.number = model, number

    def now(self) -> int:
        return self.model.clocks[self.number]

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.model.send(("ask", self.number, lender, number, self.model.lives[self.number]))

    def lend(self, borrower: int, number: int, rights: list[tuple[str, int]]) -> None:
        self.model.send(("lend", self.number, borrower, number, 0))

    def give_back(self, lender: int, number: int, key: str) -> None:
        self.model.send(("back", self.number, lender, number, 0))

    def part(self, key: str) -> int:
        return RIGHTS if self.number == LENDER else 0


class BudgetModel:
    """`rates`: by how many units each front's clock advances in a tick."""

    def __init__(self, rates: tuple[int, ...], loans: type[Loans] = Loans, max_messages: int = MAX_MESSAGES):
        self.rates, self.loans_class, self.max_messages = rates, loans, max_messages
        self.tick = 0
        # as if each had been running for long: the silent period after a start is over
        self.clocks = [100] * len(rates)
        self.lives = [0] * len(rates)
        self.network: list[tuple] = []
        self.uses: list[tuple[int, int, int]] = []
        self.fronts: list[Loans] = []
        for number in range(len(rates)):
            front = loans(LoansEnd(self, number), number, TERMS)
            front.quiet_until = 0
            self.fronts.append(front)

    def clone(self) -> BudgetModel:
        other = copy(self)
        other.clocks, other.lives, other.network, other.uses = (
            list(self.clocks),
            list(self.lives),
            list(self.network),
            list(self.uses),
        )
        other.fronts = []
        for number, front in enumerate(self.fronts):
            front_copy = copy(front)
            front_copy.driver = LoansEnd(other, number)
            front_copy.steady = copy(front.steady)
            front_copy.steady.due = front.steady.due
            front_copy.lent, front_copy.wanted, front_copy.used, front_copy.outstanding = (
                dict(front.lent),
                dict(front.wanted),
                dict(front.used),
                dict(front.outstanding),
            )
            front_copy.to_return = dict(front.to_return)
            front_copy.borrowed = {key: dict(held) for key, held in front.borrowed.items()}
            front_copy.numbers = copy(front.numbers)
            other.fronts.append(front_copy)
        return other

    def state(self) -> tuple:
        """All that still affects the future, relative to each front's own clock and to the true time."""
        fronts = []
        for front, now in zip(self.fronts, self.clocks):
            steady = front.steady.last
            # a borrower here lends nothing, so that its own demand and use affect nobody
            until, *loan = front.lent.get(KEY, (0,))
            lender_state = (
                (max(0, until - steady), tuple(loan) if until > steady else (), min(9, steady - front.used.get(KEY, -9)))
                if front.local_index == LENDER
                else ()
            )
            fronts.append(
                (
                    max(0, front.quiet_until - steady),
                    lender_state,
                    tuple(
                        sorted(
                            (lender, until - now, number)
                            for lender, (until, _, number) in front.borrowed.get(KEY, {}).items()
                            if until > now
                        )
                    ),
                    bool(front.to_return),
                    tuple(
                        sorted(
                            (now - request[1], number)
                            for number, request in front.outstanding.items()
                            if now - request[1] < TERMS.term
                        )
                    ),
                )
            )
        recent = tuple(
            sorted((self.tick - tick, user) for tick, user, clock in self.uses if (self.tick - tick) * UNITS < TRUE_WINDOW)
        )
        return (
            tuple(fronts),
            tuple(self.network),
            recent,
            sum(self.lives),
            tuple(
                sum(self.clocks[number] - clock < TERMS.window for _, user, clock in self.uses if user == number)
                for number in range(len(self.rates))
            ),
        )

    # ---- possible steps

    def steps(self) -> list[tuple]:
        steps: list[tuple] = [("tick",), ("long",)]
        for number in range(len(self.fronts)):
            if number != LENDER:
                steps.append(("want", number))
            if self.can_use(number):
                steps.append(("use", number))
            if sum(self.lives) < MAX_RESTARTS:
                steps.append(("restart", number))
        return steps + [("arrive", message) for message in self.network]

    def apply(self, step: tuple) -> None:
        """Raises `InvariantViolated`."""
        kind = step[0]
        if kind in ("tick", "long"):
            for _ in range(LONG_STEP_TICKS if kind == "long" else 1):
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
            message_kind, sender, receiver, number, _ = step[1]
            if message_kind == "ask":
                self.fronts[receiver].loan_requested(sender, number, [KEY])
            elif message_kind == "lend":
                self.fronts[receiver].loan_received(sender, number, [(KEY, RIGHTS)])
            else:
                self.fronts[receiver].loan_returned(sender, number, KEY)

    def restarted(self, number: int) -> Loans:
        # Each life (run of a process) numbers its requests from another start, as random first numbers do.
        return self.loans_class(LoansEnd(self, number), number, TERMS, first_number=1000 * self.lives[number])

    def send(self, message: tuple) -> None:
        if message not in self.network:
            self.network = [*self.network, message][-self.max_messages :]

    def can_use(self, number: int) -> bool:
        """Whether the front's uses in the window of its own clock are below the rights that it may use, as the rules count."""
        now = self.clocks[number]
        used = sum(now - clock < TERMS.window for _, user, clock in self.uses if user == number)
        return used < self.fronts[number].may_use(KEY)

    def use(self, number: int) -> None:
        """Uses all that the front may use at present. Raises `InvariantViolated`."""
        while self.can_use(number):
            self.fronts[number].uses(KEY)
            self.uses.append((self.tick, number, self.clocks[number]))
        total = sum((self.tick - tick) * UNITS < TRUE_WINDOW for tick, _, _ in self.uses)
        if total > RIGHTS:
            raise InvariantViolated(f"{total} uses within one window of a budget of {RIGHTS}")


def walk_budgets(
    depth: int,
    rates: tuple[int, ...] = (3, 4, 5),
    loans: type[Loans] = Loans,
    max_states: int = 10**9,
    max_messages: int = MAX_MESSAGES,
) -> ExplorationResult:
    return explore(BudgetModel(rates, loans, max_messages), depth, max_states)


# ---- planted faults: for each the checker has to find a shortest trace that exceeds the budget


class RightGivenTwice(Loans):
    """Lends rights that are lent already."""

    def loan_requested(self, borrower, number, keys, life=0):
        self.lent.clear()
        super().loan_requested(borrower, number, keys, life)


class NoTerm(Loans):
    """Never returns borrowed rights: their term does not end."""

    def loan_received(self, lender, number, rights):
        super().loan_received(lender, number, rights)
        for key, lent in rights:
            if lender in self.borrowed.get(key, {}):
                self.borrowed[key][lender] = (2**62, lent, number)


class RightsSurviveRestart(Loans):
    """Uses its own part at once after a restart, although an earlier life may have lent it."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.quiet_until = 0


FAULTS = {"right-given-twice": RightGivenTwice, "no-term": NoTerm, "rights-survive-restart": RightsSurviveRestart}
