"""Budgets beside those of cold servers: the free further tune-ins (retries past the first attempt) of all fronts together, and
the seats (concurrency slots) of a title over all fronts.

Each is a pool with loans of its own, as its uses count for a different time. Owned by sharing.py, which passes on the messages;
keys contain a space, which no server name does. Rights are passed to the rules as those of cold servers are.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from curlewshift.sharing.loans import Loans, initial_share
from curlewshift.sharing.renewable_loans import RenewableLoans
from curlewshift.sharing.terms import SharingTerms

FURTHER, SEAT = "further tune-ins", "seat "


class Pool:
    """One kind of budget. `rights(key)` is how many all fronts have together; a hash of the key decides who gets the
    remainder."""

    loans_class = Loans

    def __init__(self, sharing, terms: SharingTerms, loans_class: type[Loans] | None = None):
        self.sharing, self.local_index, self.order = sharing, sharing.local_index, sharing.order
        self.loans = (loans_class or self.loans_class)(self, self.local_index, terms, sharing.rng.getrandbits(40))
        self.announced: dict[str, list] = {}
        # Before anything can be started or restored: the rules take a budget they were told nothing of for entirely their own. A
        # restarted front restored sessions without a right, and kept them for as long as its viewers liked.
        self.write(self.keys())

    # ---- driver of the loans

    def now(self) -> int:
        return self.sharing.now()

    def ask(self, lender: int, number: int, keys: list[str]) -> None:
        self.sharing.ask(lender, number, keys)

    def lend(self, borrower: int, number: int, rights: list[tuple[str, int]]) -> None:
        self.sharing.lend(borrower, number, rights)

    def give_back(self, lender: int, number: int, key: str) -> None:
        self.sharing.give_back(lender, number, key)

    def part(self, key: str) -> int:
        return initial_share(self.rights(key), self.local_index, len(self.order), _key_hash(key))

    # ---- rounds

    def owners(self, key: str, present: set[int], rotation: int) -> list[int]:
        """Present fronts with a share of this budget, rotated each round."""
        rights, fronts, key_hash = self.rights(key), len(self.order), _key_hash(key)
        owners = [number for number in present if initial_share(rights, number, fronts, key_hash)]
        start = (rotation + key_hash) % len(owners) if owners else 0
        return owners[start:] + owners[:start]

    def time(self, present: set[int], rotation: int) -> None:
        for key in self.wanted_keys():
            self.loans.wants(key)
        self.loans.time(lambda key: self.owners(key, present, rotation))
        self.write(self.keys())

    def write(self, keys: Iterable[str]) -> None:
        """Passes on to the rules what has changed."""
        for key in keys:
            rights = self.loans.in_hand(key)
            if rights != self.announced.get(key):
                self.announced[key] = rights
                self.notify_rules(key, rights)

    def rights(self, key: str) -> int:
        raise NotImplementedError

    def keys(self) -> Iterable[str]:
        raise NotImplementedError

    def wanted_keys(self) -> Iterable[str]:
        raise NotImplementedError

    def notify_rules(self, key: str, rights: list) -> None:
        raise NotImplementedError


class FurtherTuneIns(Pool):
    """`free` further tune-ins of all fronts together. Besides them each front has a share of its own requests."""

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

    def notify_rules(self, key: str, rights: list) -> None:
        self.sharing.driver.further_held(rights)


class Seats(Pool):
    """`seats` of each of the `titles` by package, over all fronts."""

    loans_class = RenewableLoans

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
        keys = []
        for (package, title), at in self.sharing.driver.seats_wanted_at().items():
            key = f"{SEAT}{package} {title}"
            if key in self.named and self.wanted_at.get(key) != at:
                self.wanted_at[key] = at
                keys.append(key)
        return keys

    def in_use(self, key: str) -> int:
        return self.sharing.driver.seats_in_use(*self.named[key])

    def ending(self, key: str) -> bool:
        return self.sharing.driver.seats_ending(*self.named[key])

    def end_uses(self, key: str, count: int) -> None:
        self.sharing.driver.seats_over(*self.named[key], count)

    def notify_rules(self, key: str, rights: list) -> None:
        self.sharing.driver.seats_held(*self.named[key], rights)


@lru_cache(maxsize=1 << 16)
def _key_hash(key: str) -> int:
    return int.from_bytes(blake2b(key.encode(), digest_size=2).digest())
