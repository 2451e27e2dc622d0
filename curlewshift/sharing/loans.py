"""Rights in escrow: each front has its part of every budget, and may lend it for a term to one that needs it more.

The parts are the even split that a front alone keeps to, so that no count has to be agreed on and none is ever lost: what
is lent returns by the lender's own clock, after the borrower has stopped by its own. Bounded counters with escrow (O'Neil
1986; Balegas et al. 2015), with a term in place of a return message: a right is in one pair of hands or in none, whatever is
lost, doubled, late or killed, as long as clocks keep within the stated drift. Membership plays no part in that.

Keys are what is budgeted, such as the set-ups at one cold server. One `Loans` a life of a front.
"""

from __future__ import annotations

from itertools import count
from typing import Protocol

from curlewshift.schedule.steady import Steady
from curlewshift.sharing.terms import SharingTerms

# Keys of one message, and asks that may be out.
MOST_KEYS, MOST_OUT = 24, 64


class Outside(Protocol):
    def now(self) -> int: ...
    def ask(self, lender: int, number: int, keys: list[str]) -> None: ...
    def lend(self, borrower: int, number: int, keys: list[str]) -> None: ...


class Loans:
    """`me` and all other fronts are numbers, the same at every front. Safety rests on what `may_use` tells at the moment of
    use, and on `back_after`; everything else only makes rights go where they are needed."""

    def __init__(self, outside: Outside, me: int, terms: SharingTerms, first_number: int = 0):
        self.outside, self.me, self.terms = outside, me, terms
        now = outside.now()
        # a lender may take too much time for none, never none for some: steady time only runs short
        self.steady = Steady(now, terms.window)
        self.steady.due = now + terms.every
        # a borrower may stop too soon, never too late: by the clock as it is, and a step back ends all loans
        self.latest = now
        self.quiet_until = self.steady.last + terms.quiet
        self.lent: dict[str, int] = {}
        self.borrowed: dict[str, dict[int, int]] = {}
        self.wanted: dict[str, int] = {}
        self.used: dict[str, int] = {}
        self.out: dict[int, tuple[int, int, frozenset[str]]] = {}
        self.numbers = count(first_number)
        self.withdrawn = False
        self.given = self.got = self.late = self.refused = 0

    # ---- what this front may use

    def may_use(self, key: str) -> list[int]:
        """The fronts whose part of this budget is in this front's hands now, its own among them."""
        steady, now = self._read()
        parts = [] if steady < max(self.quiet_until, self.lent.get(key, 0)) else [self.me]
        held = self.borrowed.get(key)
        if held:
            for lender in [lender for lender, until in held.items() if now >= until]:
                del held[lender]
            if held:
                parts += held
            else:
                del self.borrowed[key]
        return parts

    def uses(self, key: str) -> None:
        """A right of this budget is used now: `may_use` was asked in the same instant."""
        self.used[key] = self._read()[0]

    def wants(self, key: str) -> None:
        """Something was refused for want of rights: they are asked for before they are short again."""
        _, now = self._read()
        self.wanted[key] = now + self.terms.term

    # ---- what comes in

    def asked(self, borrower: int, number: int, keys: list[str]) -> None:
        """Another wants this front's part: what is not needed, not lent and not just used goes to it, whole."""
        steady, now = self._read()
        if self.withdrawn or steady < self.quiet_until or borrower == self.me:
            return
        given = []
        for key in keys[:MOST_KEYS]:
            just_used = key in self.used and steady < self.used[key] + 2 * self.terms.window
            if steady >= self.lent.get(key, 0) and now >= self.wanted.get(key, 0) and not just_used:
                # held for lent before a word of it goes out
                self.lent[key] = steady + self.terms.back_after
                given.append(key)
        if given:
            self.given += len(given)
            self.outside.lend(borrower, number, given)
        else:
            self.refused += 1

    def lends(self, lender: int, number: int, keys: list[str]) -> None:
        """What was asked for has come; doubled, late or not asked for, it is nothing."""
        _, now = self._read()
        ask = self.out.pop(number, None)
        if ask is None or ask[0] != lender:
            self.late += ask is None
            return
        until = ask[1] + self.terms.term
        if now >= until or self.withdrawn:
            self.late += 1
            return
        for key in keys:
            if key in ask[2]:
                self.got += 1
                self.borrowed.setdefault(key, {})[lender] = until

    def time(self, others: list[int]) -> None:
        """Asks for what is wanted, of so many others in the order given. Each `every`."""
        steady, now = self._read()
        self.steady.due = steady + self.terms.every
        self.lent = {key: until for key, until in self.lent.items() if until > steady}
        self.used = {key: at for key, at in self.used.items() if at + 2 * self.terms.window > steady}
        self.wanted = {key: until for key, until in self.wanted.items() if until > now}
        self.out = {number: ask for number, ask in self.out.items() if ask[1] + self.terms.term > now}
        if not self.wanted or self.withdrawn:
            return
        for lender in others[:self.terms.most_asks]:
            keys = [key for key in self.wanted if lender not in self.borrowed.get(key, ())][:MOST_KEYS]
            if keys and len(self.out) < MOST_OUT:
                number = next(self.numbers)
                self.out[number] = (lender, now, frozenset(keys))
                self.outside.ask(lender, number, keys)

    def withdraw(self, out: bool) -> None:
        """Its clock is past the bound: it neither lends nor borrows, and stops at once with what it borrowed."""
        self.withdrawn = out
        if out:
            self.borrowed.clear()
            self.out.clear()

    # ---- time

    def _read(self) -> tuple[int, int]:
        reading = self.outside.now()
        if reading < self.latest:
            # how long it really was nobody knows
            self.borrowed.clear()
            self.out.clear()
        self.latest = reading
        return self.steady.read(reading), reading
