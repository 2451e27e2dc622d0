"""Rights that are used for as long as a viewing lasts, such as seats: lent for a term, renewed while they are in use.

A right in use that is not renewed has to be given up by its borrower before the term is over: whatever stands on it ends, and
so it does when the loan is lost otherwise, by a clock that is doubted or was set back.
The lender takes it back only when that is surely done, and when what a borrower that died left standing has ended by itself
(`SharingTerms.window` is how long that takes at the most). One `StandingLoans` a life of a front.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from curlewshift.sharing.loans import FOR_EVER, MOST_KEYS, MOST_OUT, Loans
from curlewshift.sharing.loans import Driver as LoansDriver


class Driver(LoansDriver, Protocol):
    def in_use(self, key: str) -> int: ...
    def ending(self, key: str) -> bool: ...
    def end_some(self, key: str, count: int) -> None: ...


class StandingLoans(Loans):
    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        # which life of its borrower has a loan: what an earlier one left standing stands there still
        self.lives: dict[str, int] = {}
        # borrowed in this life, and not seen since to have nothing standing on it that has no right. Looked at until then,
        # whatever became of the loan: a set-up that is out when it ends can be ended only once it plays.
        self.stood_on: set[str] = set()

    def may_lend(self, key: str, borrower: int, number: int, life: int, steady: int, now: int) -> bool:
        """What nobody sits on here; and what this life of the borrower has already it keeps for another term."""
        held = self.lent.get(key)
        if held is not None and held[0] > steady:
            # an ask that is older than the one it has it by has been on its way since: it is named by the later one
            free = held[1] == borrower and self.lives.get(key) == life and number >= held[2]
        else:
            # what stands here on its own part, borrowed ones set aside, keeps that part from others; so does what servers
            # may not have heard the end of
            free = not self.driver.in_use(key) and not self.driver.ending(key) and now >= self.wanted.get(key, 0)
        if free:
            self.lives[key] = life
        return free

    def uses(self, key: str) -> None:
        """It stands from now on; nothing is over by being begun."""
        self.wanted.pop(key, None)

    def usable_until(self, until: int) -> int:
        """What stands on a loan is ended so long before its term, so that it has ended when the term has."""
        return until - self.terms.every

    def in_hand(self, key: str) -> list[tuple[int, int, int]]:
        """The own part only once it is back by steady time, and not with when it will be by the clock: a clock that is set ahead
        or a round that comes late had the rules begin on what was lent for longer yet, and lent again in use."""
        return [held for held in super().in_hand(key) if held[1] != FOR_EVER or self.own_from(key) <= self.steady.last]

    def may_use(self, key: str) -> int:
        steady, now = self._read()
        count = 0 if steady < self.own_from(key) else self.driver.part(key)
        return count + sum(lent for until, lent, _ in self.borrowed.get(key, {}).values() if now < self.usable_until(until))

    def lends(self, lender: int, number: int, rights: list[tuple[str, int]]) -> None:
        super().lends(lender, number, rights)
        self.stood_on.update(key for key, _ in rights if key in self.borrowed)

    def time(self, owners: Callable[[str], list[int]]) -> None:
        self.end_overdue()
        self._renew()
        super().time(owners)
        self.lives = {key: life for key, life in self.lives.items() if key in self.lent}

    def end_overdue(self) -> None:
        """What stands on rights that are no longer in this front's hands ends. Call it before anything that may go wrong."""
        _, now = self._read()
        for key, held in list(self.borrowed.items()):
            for lender in [lender for lender, (until, _, _) in held.items() if now >= until]:
                del held[lender]
            if not held:
                del self.borrowed[key]
        for key in list(self.stood_on):
            over = self.driver.in_use(key) - self.may_use(key)
            if over > 0:
                self.driver.end_some(key, over)
            elif key not in self.borrowed:
                self.stood_on.remove(key)

    def _renew(self) -> None:
        """Asks again for what stands on a loan, from a third of its term on, each round until it is heard; gives back what
        nothing stands on any more."""
        _, now = self._read()
        asks: dict[int, list[str]] = {}
        for key, held in list(self.borrowed.items()):
            needed = self.driver.in_use(key) > (0 if self.steady.last < self.own_from(key) else self.driver.part(key))
            for lender, (until, _, number) in list(held.items()):
                if not needed and key not in self.wanted:
                    del held[lender]
                    self.driver.give_back(lender, number, key)
                elif now >= until - 2 * self.terms.term // 3:
                    asks.setdefault(lender, []).append(key)
            if not held:
                del self.borrowed[key]
        for lender, keys in asks.items():
            for at in range(0, len(keys), MOST_KEYS):
                if len(self.out) < MOST_OUT:
                    number = next(self.numbers)
                    self.out[number] = (lender, now, frozenset(keys[at : at + MOST_KEYS]))
                    self.driver.ask(lender, number, keys[at : at + MOST_KEYS])
