"""Budgets beside those of cold servers: free further tune-ins of all fronts together, and seats of a title over all fronts.

Each is a pool of loans of its own, as its uses have to be remembered for another time. Held by sharing.py, which hands on the
words; keys have a space, which no name of a server has. Facts go to the rules as those of cold servers do.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from curlewshift.sharing.loans import Loans, dealt
from curlewshift.sharing.standing import StandingLoans
from curlewshift.sharing.terms import SharingTerms

FURTHER, SEAT = "further tune-ins", "seat "


class Pool:
    """One kind of budget. `rights(key)` is how many all fronts have together; keys are dealt out by their hash."""

    loans_class = Loans

    def __init__(self, sharing, terms: SharingTerms, loans_class: type[Loans] | None = None):
        self.sharing, self.me, self.order = sharing, sharing.me, sharing.order
        self.loans = (loans_class or self.loans_class)(self, self.me, terms, sharing.rng.getrandbits(40))
        self.told: dict[str, list] = {}
        # Before anything can be begun or taken up: what nobody told the rules of they hold for this front's own, all of it. A
        # front that started took up what it found remembered, without a right and for as long as its viewers liked.
        self.write(self.keys())

    # ---- the loans' outside

    def now(self) -> int:
        return self.sharing.now()

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.sharing.ask(lender, number, keys)

    def lend(self, borrower: int, number: int, rights: list[tuple[str, int]]) -> None:
        self.sharing.lend(borrower, number, rights)

    def give_back(self, lender: int, number: int, key: str) -> None:
        self.sharing.give_back(lender, number, key)

    def part(self, key: str) -> int:
        return dealt(self.rights(key), self.me, len(self.order), _mark(key))

    # ---- time

    def owners(self, key: str, there: set[int], turn: int) -> list[int]:
        """Fronts that are in and have a part of this budget, each round from another on."""
        rights, fronts, mark = self.rights(key), len(self.order), _mark(key)
        owners = [number for number in there if dealt(rights, number, fronts, mark)]
        start = (turn + mark) % len(owners) if owners else 0
        return owners[start:] + owners[:start]

    def time(self, there: set[int], turn: int) -> None:
        for key in self.wanted_keys():
            self.loans.wants(key)
        self.loans.time(lambda key: self.owners(key, there, turn))
        self.write(self.keys())

    def write(self, keys: Iterable[str]) -> None:
        """What has changed, as facts for the rules."""
        for key in keys:
            rights = self.loans.in_hand(key)
            if rights != self.told.get(key):
                self.told[key] = rights
                self.tell(key, rights)

    def rights(self, key: str) -> int:
        raise NotImplementedError

    def keys(self) -> Iterable[str]:
        raise NotImplementedError

    def wanted_keys(self) -> Iterable[str]:
        raise NotImplementedError

    def tell(self, key: str, rights: list) -> None:
        raise NotImplementedError


class Further(Pool):
    """`free` are those of all fronts together. A front's share of its requests is its own to use beside them."""

    def __init__(self, sharing, terms: SharingTerms, free: int, loans_class: type[Loans] | None = None):
        self.free, self.wanted_at = free, 0
        super().__init__(sharing, terms, loans_class)

    def rights(self, key: str) -> int:
        return self.free

    def keys(self) -> Iterable[str]:
        return (FURTHER,)

    def wanted_keys(self) -> Iterable[str]:
        at = self.sharing.driver.further_wanted_at()
        if at == self.wanted_at:
            return ()
        self.wanted_at = at
        return (FURTHER,)

    def tell(self, key: str, rights: list) -> None:
        self.sharing.driver.further_held(rights)


class Seats(Pool):
    """`titles` that may be asked for, and `seats` of each by package, over all fronts."""

    loans_class = StandingLoans

    def __init__(
        self, sharing, terms: SharingTerms, titles: list[str], seats: dict[str, int], loans_class: type[Loans] | None = None
    ):
        self.seats = seats
        self.named = {f"{SEAT}{package} {title}": (package, title) for package in seats for title in titles}
        self.wanted_at: dict[str, int] = {}
        super().__init__(sharing, terms, loans_class)

    def rights(self, key: str) -> int:
        return self.seats[self.named[key][0]] if key in self.named else 0

    def keys(self) -> Iterable[str]:
        return self.named

    def wanted_keys(self) -> list[str]:
        found = []
        for (package, title), at in self.sharing.driver.seats_wanted_at().items():
            key = f"{SEAT}{package} {title}"
            if key in self.named and self.wanted_at.get(key) != at:
                self.wanted_at[key] = at
                found.append(key)
        return found

    def in_use(self, key: str) -> int:
        return self.sharing.driver.seats_in_use(*self.named[key])

    def ending(self, key: str) -> bool:
        return self.sharing.driver.seats_ending(*self.named[key])

    def end_some(self, key: str, count: int) -> None:
        self.sharing.driver.seats_over(*self.named[key], count)

    def tell(self, key: str, rights: list) -> None:
        self.sharing.driver.seats_held(*self.named[key], rights)


@lru_cache(maxsize=1 << 16)
def _mark(key: str) -> int:
    return int.from_bytes(blake2b(key.encode(), digest_size=2).digest())
