"""Rights that are in use for as long as a viewing lasts, such as seats: lent for a term, and renewed while they are in use.

A borrower has to give up a right that is not renewed before its term is over: the sessions that use it end. They also end when
the loan is lost otherwise, because the clock is doubted or was set back. The lender takes the right back only when that is
certain, and when sessions left by a borrower that died have ended by themselves (`SharingTerms.window` is the longest time that
takes). There is one `RenewableLoans` for each life of a front.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from curlewshift.sharing.loans import MAX_KEYS_PER_MESSAGE, MAX_OUTSTANDING_REQUESTS, NO_EXPIRY, Loans
from curlewshift.sharing.loans import Driver as LoansDriver


class Driver(LoansDriver, Protocol):
    """Also reports how many sessions use a key here, whether one is ending, and ends some."""

    def in_use(self, key: str) -> int: ...
    def ending(self, key: str) -> bool: ...
    def end_uses(self, key: str, count: int) -> None: ...


class RenewableLoans(Loans):
    """Loans of rights that stay in use until a viewing ends."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        # by key the life of the borrower that has the loan: sessions of an earlier life may still be using the right
        self.lives: dict[str, int] = {}
        # keys borrowed in this life that may still be used by sessions without a right. They are checked until they are not,
        # whatever became of the loan: a set-up under way when the loan ends can be ended only once it plays.
        self.keys_to_check: set[str] = set()

    def may_lend(self, key: str, borrower: int, number: int, life: int, steady: int, now: int) -> bool:
        """Lends what is not in use here; the same life of the borrower keeps what it has for another term."""
        loan = self.lent.get(key)
        if loan is not None and loan[0] > steady:
            # a request older than the one of the present loan was delayed on its way: the loan keeps the number of the later one
            free = loan[1] == borrower and self.lives.get(key) == life and number >= loan[2]
        else:
            # sessions here that use the own share keep it from others, whatever is borrowed; so do sessions whose end a server
            # may not have received yet
            free = not self.driver.in_use(key) and not self.driver.ending(key) and now >= self.wanted.get(key, 0)
        if free:
            self.lives[key] = life
        return free

    def uses(self, key: str) -> None:
        """Unlike a momentary use, this use goes on: nothing is given back when it begins."""
        self.wanted.pop(key, None)

    def usable_until(self, until: int) -> int:
        """Sessions on a loan are ended one round before its term, so that they have ended when the term has."""
        return until - self.terms.every

    def in_hand(self, key: str) -> list[tuple[int, int, int]]:
        """Leaves out the own share until it is back by steady time, instead of announcing when it will be back by the clock. With
        a clock set ahead, or a delayed round, the rules began to use a share that was still lent, and lent it again while it was
        in use."""
        return [right for right in super().in_hand(key) if right[1] != NO_EXPIRY or self.own_usable_from(key) <= self.steady.last]

    def may_use(self, key: str) -> int:
        steady, now = self._read_clock()
        count = 0 if steady < self.own_usable_from(key) else self.driver.part(key)
        return count + sum(lent for until, lent, _ in self.borrowed.get(key, {}).values() if now < self.usable_until(until))

    def loan_received(self, lender: int, number: int, rights: list[tuple[str, int]]) -> None:
        super().loan_received(lender, number, rights)
        self.keys_to_check.update(key for key, _ in rights if key in self.borrowed)

    def time(self, owners: Callable[[str], list[int]]) -> None:
        self.end_overdue()
        self._renew()
        super().time(owners)
        self.lives = {key: life for key, life in self.lives.items() if key in self.lent}

    def end_overdue(self) -> None:
        """Ends the sessions on rights that this front no longer has. Call it before any step that may fail."""
        _, now = self._read_clock()
        for key, loans in list(self.borrowed.items()):
            for lender in [lender for lender, (until, _, _) in loans.items() if now >= until]:
                del loans[lender]
            if not loans:
                del self.borrowed[key]
        for key in list(self.keys_to_check):
            excess = self.driver.in_use(key) - self.may_use(key)
            if excess > 0:
                self.driver.end_uses(key, excess)
            elif key not in self.borrowed:
                self.keys_to_check.remove(key)

    def _renew(self) -> None:
        """Renews the loans in use, from a third of their term on and each round until an answer comes; gives back those not in
        use."""
        _, now = self._read_clock()
        requests: dict[int, list[str]] = {}
        for key, loans in list(self.borrowed.items()):
            needed = self.driver.in_use(key) > (0 if self.steady.last < self.own_usable_from(key) else self.driver.part(key))
            for lender, (until, _, number) in list(loans.items()):
                if not needed and key not in self.wanted:
                    del loans[lender]
                    self.driver.give_back(lender, number, key)
                elif now >= until - 2 * self.terms.term // 3:
                    requests.setdefault(lender, []).append(key)
            if not loans:
                del self.borrowed[key]
        for lender, keys in requests.items():
            for offset in range(0, len(keys), MAX_KEYS_PER_MESSAGE):
                if len(self.outstanding) < MAX_OUTSTANDING_REQUESTS:
                    number = next(self.numbers)
                    self.outstanding[number] = (lender, now, frozenset(keys[offset : offset + MAX_KEYS_PER_MESSAGE]))
                    self.driver.ask(lender, number, keys[offset : offset + MAX_KEYS_PER_MESSAGE])
