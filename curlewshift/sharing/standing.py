"""Rights that are used for as long as a viewing lasts, such as seats: lent for a term, renewed while they are in use.

A right in use that is not renewed has to be given up by its borrower before the term is over: whatever stands on it ends.
The lender takes it back only when that is surely done, and when what a borrower that died left standing has ended by itself
(`SharingTerms.window` is how long that takes at the most). One `StandingLoans` a life of a front.
"""

from __future__ import annotations

from typing import Callable, Protocol

from curlewshift.sharing.loans import MOST_KEYS, MOST_OUT, Loans
from curlewshift.sharing.loans import Outside as LoansOutside


class Outside(LoansOutside, Protocol):
    def in_use(self, key: str) -> int: ...
    def end_some(self, key: str, count: int) -> None: ...


class StandingLoans(Loans):
    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        # which life of its borrower has a loan: what an earlier one left standing stands there still
        self.lives: dict[str, int] = {}

    def may_lend(self, key: str, borrower: int, life: int, steady: int, now: int) -> bool:
        """What nobody sits on here; and what this life of the borrower has already it keeps for another term."""
        held = self.lent.get(key)
        if held is not None and held[0] > steady:
            free = held[1] == borrower and self.lives.get(key) == life
        else:
            # what stands here on its own part, borrowed ones set aside, keeps that part from others
            free = not self.outside.in_use(key) and now >= self.wanted.get(key, 0)
        if free:
            self.lives[key] = life
        return free

    def uses(self, key: str) -> None:
        """It stands from now on; nothing is over by being begun."""
        self.wanted.pop(key, None)

    def usable_until(self, until: int) -> int:
        """What stands on a loan is ended so long before its term, so that it has ended when the term has."""
        return until - self.terms.every

    def may_use(self, key: str) -> int:
        steady, now = self._read()
        count = 0 if steady < self.own_from(key) else self.outside.part(key)
        return count + sum(lent for until, lent, _ in self.borrowed.get(key, {}).values() if now < self.usable_until(until))

    def time(self, owners: Callable[[str], list[int]]) -> None:
        self._renew()
        super().time(owners)
        self.lives = {key: life for key, life in self.lives.items() if key in self.lent}
        _, now = self._read()
        for key, held in list(self.borrowed.items()):
            over = self.outside.in_use(key) - self.may_use(key)
            if over > 0:
                self.outside.end_some(key, over)
            for lender in [lender for lender, (until, _, _) in held.items() if now >= until]:
                del held[lender]
            if not held:
                del self.borrowed[key]

    def _renew(self) -> None:
        """Asks again for what stands on a loan, from a third of its term on, each round until it is heard; gives back what
        nothing stands on any more."""
        _, now = self._read()
        asks: dict[int, list[str]] = {}
        for key, held in list(self.borrowed.items()):
            needed = self.outside.in_use(key) > (0 if self.steady.last < self.own_from(key) else self.outside.part(key))
            for lender, (until, _, number) in list(held.items()):
                if not needed and key not in self.wanted:
                    del held[lender]
                    self.outside.give_back(lender, number, key)
                elif now >= until - 2 * self.terms.term // 3:
                    asks.setdefault(lender, []).append(key)
            if not held:
                del self.borrowed[key]
        for lender, keys in asks.items():
            for at in range(0, len(keys), MOST_KEYS):
                if len(self.out) < MOST_OUT:
                    number = next(self.numbers)
                    self.out[number] = (lender, now, frozenset(keys[at:at + MOST_KEYS]))
                    self.outside.ask(lender, number, keys[at:at + MOST_KEYS])
