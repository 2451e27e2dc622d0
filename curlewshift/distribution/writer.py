"""The one that makes versions, on the machine that holds the lease: a proposer of Paxos over one chain of versions.

In each tenure it first hears a majority of the stores. The newest taken there (by the ballot it was taken under) is brought to
a majority as it is, and told; only then a version of its own comes about, upon the one that the operator named. So who was
killed between a majority and the telling leaves nothing in doubt. The lease makes it quick that there is one writer; that
there is one order rests on the stores alone.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from curlewshift.distribution.store import Noted, Stand
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import NONE, Ballot, Version, digest_of


class Driver(Protocol):
    def now(self) -> int: ...
    def fence(self) -> int: ...
    def prepare(self, store: str, ballot: Ballot) -> None: ...
    def take(self, store: str, ballot: Ballot, record: int, version: Version) -> None: ...
    def note(self, store: str, ballot: Ballot, record: int, of: str, noted: Noted) -> None: ...
    def enter(
        self, store: str, ballot: Ballot, record: int, noted: dict[str, Noted], version: Version, founding: bool
    ) -> None: ...
    def content_of(self, version: Version) -> bytes | None: ...
    def hold_content(self, content: bytes) -> None: ...
    def fetch_for_writer(self, version: Version, stores: list[str]) -> None: ...
    def chosen(self, version: Version) -> None: ...


@dataclass(slots=True)
class Put:
    """What an operator wants. `version` is set once a store may have heard of it: from there its fate is the stores'."""

    content: bytes
    base: str
    until: int
    done: Callable[[dict], None]
    version: Version | None = None


@dataclass(slots=True)
class Tenure:
    ballot: Ballot
    next_at: int = 0
    stands: dict[str, Stand] = field(default_factory=dict)
    answered: dict[str, int] = field(default_factory=dict)
    decided: bool = False
    value: Version = NONE
    is_chosen: bool = False
    votes: set[str] = field(default_factory=set)
    count: int = 0
    # notes so far, and the note under which each store is being let in
    notes: int = 0
    letting: dict[str, Noted] = field(default_factory=dict)
    founding: bool = False
    outbid_by: Ballot | None = None


class Writer:
    """`stores` by name; this machine's own is one of them. `life` is never that of another process of this name."""

    def __init__(self, driver: Driver, me: str, life: int, terms: DistributionTerms):
        self.driver, self.me, self.life, self.terms = driver, me, life, terms
        self.tenure: Tenure | None = None
        self.wanted: Put | None = None

    @property
    def majority(self) -> int:
        return self.terms.majority

    # ---- what happens

    def put(self, content: bytes, base: str, within: int, done: Callable[[dict], None]) -> None:
        """`done` is called once, at the latest `within` (ns) from now by `time`."""
        if self.wanted is not None:
            done(refused("another change is being made at this moment"))
            return
        self.wanted = Put(content, base, self.driver.now() + within, done)
        self.time()

    def time(self) -> None:
        now, fence = self.driver.now(), self.driver.fence()
        tenure = self.tenure
        if not fence:
            self.tenure = None
        elif tenure is None or tenure.ballot.fence != fence:
            self.tenure = Tenure(Ballot(fence, self.me, self.life))
            self._again(now)
        elif now >= tenure.next_at:
            self._again(now)
        if self.wanted is not None and now >= self.wanted.until:
            self._late()

    def stands(self, store: str, ballot: Ballot, stand: Stand) -> None:
        """A store's answer to any word of this ballot."""
        tenure = self.tenure
        if tenure is None or tenure.ballot != ballot or store not in self.terms.stores:
            return
        tenure.stands[store] = stand
        tenure.answered[store] = self.driver.now()
        if stand.taken_at == ballot and stand.taken == tenure.value and tenure.decided:
            tenure.votes.add(store)
        self._go_on()

    def outbid(self, ballot: Ballot, promised: Ballot) -> None:
        if self.tenure is not None and self.tenure.ballot == ballot:
            self.tenure.outbid_by = promised

    def content_came(self) -> None:
        if self.tenure is not None:
            self._go_on()

    def vouches(self) -> bool:
        """Whether a majority answered it of late: what is newest here then is the newest there was."""
        tenure, now = self.tenure, self.driver.now()
        return (
            tenure is not None
            and tenure.decided
            and tenure.is_chosen
            and tenure.outbid_by is None
            and self.majority
            <= sum(now - at <= 2 * self.terms.again for store, at in tenure.answered.items() if store in self._voters())
        )

    # ---- the course of a tenure

    def _again(self, now: int) -> None:
        tenure = self.tenure
        tenure.next_at = now + self.terms.again
        for store in self.terms.stores:
            if self._may_act():
                self.driver.prepare(store, tenure.ballot)
        self._go_on(again=True)

    def _may_act(self) -> bool:
        """Asked in the instant of each act: one that was stopped finds here that its time is over."""
        return self.tenure is not None and self.driver.fence() == self.tenure.ballot.fence

    def _noted(self) -> dict[str, Noted]:
        """The records that count, by the latest word of any store that votes."""
        merged: dict[str, Noted] = {}
        for stand in self.tenure.stands.values():
            if not stand.blank:
                for store, noted in stand.noted.items():
                    merged[store] = max(noted, merged.get(store, (0, 0, 0)))
        return merged

    def _voters(self) -> list[str]:
        """Stores whose answer counts: not blank, and of the record that the others know."""
        noted = self._noted()
        return [
            store
            for store, stand in self.tenure.stands.items()
            if not stand.blank and noted.get(store, (0, 0, stand.record))[2] == stand.record
        ]

    def _go_on(self, again: bool = False) -> None:
        """What is lost goes out anew where `again`; else only what has just become due: answers must not breed words."""
        tenure = self.tenure
        voters = self._voters()
        if not tenure.decided:
            if len(voters) < self.majority:
                self._found(again)
                return
            self._decide(voters)
            again = True
        self._let_in(voters, again)
        self._offer(voters, again)
        if not tenure.is_chosen and len(tenure.votes) >= self._enough():
            tenure.is_chosen = True
            self._told()
        if tenure.is_chosen:
            self._make()

    def _enough(self) -> int:
        return self.majority

    def _decide(self, voters: list[str]) -> None:
        tenure = self.tenure
        stands = [tenure.stands[store] for store in voters]
        newest = max(stands, key=lambda stand: (stand.taken_at.fence, stand.taken.number))
        tenure.decided, tenure.value = True, newest.taken
        tenure.is_chosen = newest.taken == NONE or any(stand.chosen == newest.taken for stand in stands)
        if tenure.is_chosen:
            self._told()

    def _told(self) -> None:
        """A majority has it: it may be said."""
        value, put = self.tenure.value, self.wanted
        if value != NONE:
            self.driver.chosen(value)
        if put is not None and put.version == value:
            self.wanted = None
            put.done({"ok": True, "version": value.text})

    def _offer(self, voters: list[str], again: bool) -> None:
        tenure = self.tenure
        if tenure.value == NONE:
            return
        if self.driver.content_of(tenure.value) is None:
            self.driver.fetch_for_writer(tenure.value, [store for store in voters if tenure.stands[store].taken == tenure.value])
            return
        for store in voters:
            if store not in tenure.votes and again and self._may_act():
                self.driver.take(store, tenure.ballot, tenure.stands[store].record, tenure.value)

    def _let_in(self, voters: list[str], again: bool) -> None:
        """Stores that are blank, or whose record is not the one that the others know: first all hear of the record."""
        tenure = self.tenure
        for store, stand in list(tenure.stands.items()):
            if store in voters or not self._may_act():
                continue
            known, fresh = tenure.letting.get(store), False
            if known is None or known[2] != stand.record:
                tenure.notes += 1
                known = tenure.letting[store] = (tenure.ballot.fence, tenure.notes, stand.record)
                fresh = True
            lacking = [other for other in voters if tenure.stands[other].noted.get(store) != known]
            if fresh or again:
                for other in lacking:
                    self.driver.note(other, tenure.ballot, tenure.stands[other].record, store, known)
            if stand.blank and again and len(voters) - len(lacking) >= self.majority:
                self.driver.enter(store, tenure.ballot, stand.record, self._noted(), tenure.value, False)

    def _found(self, again: bool) -> None:
        """All stores answered, and none ever took anything: there is no earlier version that could be lost."""
        tenure = self.tenure
        stands = tenure.stands
        if len(stands) < len(self.terms.stores) or any(stand.taken != NONE or stand.chosen != NONE for stand in stands.values()):
            return
        if tenure.founding and not again:
            return
        tenure.founding = True
        tenure.notes += 1
        noted = {store: (tenure.ballot.fence, tenure.notes, stand.record) for store, stand in stands.items()}
        for store, stand in list(stands.items()):
            if self._may_act():
                self.driver.enter(store, tenure.ballot, stand.record, noted, NONE, True)

    def _make(self) -> None:
        tenure, put = self.tenure, self.wanted
        if put is None or put.version is not None or tenure.outbid_by is not None or not self._may_act():
            return
        if (put.base or NONE.text) != tenure.value.text:
            self.wanted = None
            put.done(
                refused(
                    f"somebody was quicker: the newest is {tenure.value.text}, "
                    f"and this change was made upon {put.base or NONE.text}"
                )
            )
            return
        tenure.count += 1
        put.version = tenure.value = Version(tenure.ballot.fence, tenure.count, digest_of(put.content))
        tenure.is_chosen = False
        tenure.votes.clear()
        self.driver.hold_content(put.content)
        self._offer(self._voters(), again=True)

    def _late(self) -> None:
        put, self.wanted = self.wanted, None
        why = self.why_not()
        if put.version is None:
            put.done(refused(f"not made: {why}"))
        else:
            put.done(
                {
                    "ok": False,
                    "unknown": True,
                    "wrong": f"its fate is not known: {put.version.text} may yet come into force "
                    f"({why}); look at what is newest before trying again",
                }
            )

    def why_not(self) -> str:
        """In words, what keeps it from making a version now."""
        tenure = self.tenure
        if tenure is None:
            return "this machine does not hold the lease under which versions are made"
        if tenure.outbid_by is not None:
            return f"stores have promised {tenure.outbid_by.writer} a later number, {tenure.outbid_by.fence}"
        voters = self._voters()
        if len(voters) < self.majority:
            blank = sorted(store for store, stand in tenure.stands.items() if stand.blank)
            return f"{len(voters)} of {len(self.terms.stores)} stores answer and vote, {self.majority} are needed" + (
                f"; without a record: {', '.join(blank)}" if blank else ""
            )
        return f"{len(tenure.votes)} of {len(self.terms.stores)} stores have {tenure.value.text}, {self.majority} are needed"


def refused(words: str) -> dict:
    """The answer to a command that is not carried out, and why."""
    return {"ok": False, "unknown": False, "wrong": words}
