"""The writer that makes versions, on the control machine that holds the lease: a proposer of Paxos over one chain of versions.

In each tenure the writer first hears from a majority of the stores. The newest version taken there (by the ballot under which it
was taken) is brought to a majority unchanged and announced; only then can the writer make a version of its own, based on the one
that the operator named. So a writer that was killed between the majority and the announcement leaves no version undecided. The
lease ensures that there is normally one writer, for speed; that there is one order depends on the stores alone.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from curlewshift.distribution.store import Noted, StoreState
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.distribution.versions import NO_VERSION, Ballot, Version, digest_of


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
class PendingChange:
    """An operator's change. `version` is set once a store may have received it: from then on the stores decide its outcome."""

    content: bytes
    base: str
    until: int
    done: Callable[[dict], None]
    version: Version | None = None


@dataclass(slots=True)
class Tenure:
    """A writer's state under one ballot. `stands` is the latest state of each store, `answered` when it answered (ns), `value`
    the version that is being brought to a majority, `votes` the stores that have taken it, and `count` the versions made."""

    ballot: Ballot
    resend_at: int = 0
    stands: dict[str, StoreState] = field(default_factory=dict)
    answered: dict[str, int] = field(default_factory=dict)
    decided: bool = False
    value: Version = NO_VERSION
    is_chosen: bool = False
    votes: set[str] = field(default_factory=set)
    count: int = 0
    # notes made so far, and the note with which each store is being let in
    note_count: int = 0
    admitting: dict[str, Noted] = field(default_factory=dict)
    founding: bool = False
    outbid_by: Ballot | None = None


class Writer:
    """Stores are addressed by name; this machine's own is one of them. `life` numbers this run of the process, and differs from
    that of any other process of the same name."""

    def __init__(self, driver: Driver, local_name: str, life: int, terms: DistributionTerms):
        self.driver, self.local_name, self.life, self.terms = driver, local_name, life, terms
        self.tenure: Tenure | None = None
        self.pending_change: PendingChange | None = None

    @property
    def majority(self) -> int:
        return self.terms.majority

    # ---- events

    def put(self, content: bytes, base: str, within: int, done: Callable[[dict], None]) -> None:
        """Makes a version. `done` is called once with the result, by `time` at the latest `within` ns from now."""
        if self.pending_change is not None:
            done(refusal("another change is being made at this moment"))
            return
        self.pending_change = PendingChange(content, base, self.driver.now() + within, done)
        self.time()

    def time(self) -> None:
        """One round: starts or ends a tenure with the lease, repeats messages, and ends a put that has timed out."""
        now, fence = self.driver.now(), self.driver.fence()
        tenure = self.tenure
        if not fence:
            self.tenure = None
        elif tenure is None or tenure.ballot.fence != fence:
            self.tenure = Tenure(Ballot(fence, self.local_name, self.life))
            self._resend(now)
        elif now >= tenure.resend_at:
            self._resend(now)
        if self.pending_change is not None and now >= self.pending_change.until:
            self._expire()

    def stands(self, store: str, ballot: Ballot, state: StoreState) -> None:
        """A store's answer to any message of this ballot."""
        tenure = self.tenure
        if tenure is None or tenure.ballot != ballot or store not in self.terms.stores:
            return
        tenure.stands[store] = state
        tenure.answered[store] = self.driver.now()
        if state.taken_at == ballot and state.taken == tenure.value and tenure.decided:
            tenure.votes.add(store)
        self._advance()

    def outbid(self, ballot: Ballot, promised: Ballot) -> None:
        if self.tenure is not None and self.tenure.ballot == ballot:
            self.tenure.outbid_by = promised

    def content_received(self) -> None:
        """A content that the tenure may have waited for is held now."""
        if self.tenure is not None:
            self._advance()

    def confirms_newest(self) -> bool:
        """Whether a majority of stores answered within the last two intervals: if so, the newest version here was the newest
        of all."""
        tenure, now = self.tenure, self.driver.now()
        return (
            tenure is not None
            and tenure.decided
            and tenure.is_chosen
            and tenure.outbid_by is None
            and self.majority
            <= sum(now - at <= 2 * self.terms.resend_interval for store, at in tenure.answered.items() if store in self._voters())
        )

    # ---- steps of a tenure

    def _resend(self, now: int) -> None:
        tenure = self.tenure
        tenure.resend_at = now + self.terms.resend_interval
        for store in self.terms.stores:
            if self._may_act():
                self.driver.prepare(store, tenure.ballot)
        self._advance(again=True)

    def _may_act(self) -> bool:
        """Checked immediately before each act: a process that was paused learns here that its lease has expired."""
        return self.tenure is not None and self.driver.fence() == self.tenure.ballot.fence

    def _noted(self) -> dict[str, Noted]:
        """The current record of each store, by the latest note of any store that votes."""
        merged: dict[str, Noted] = {}
        for state in self.tenure.stands.values():
            if not state.blank:
                for store, noted in state.noted.items():
                    merged[store] = max(noted, merged.get(store, (0, 0, 0)))
        return merged

    def _voters(self) -> list[str]:
        """Stores whose answer counts: not blank, and with the record that the others have noted."""
        noted = self._noted()
        return [
            store
            for store, state in self.tenure.stands.items()
            if not state.blank and noted.get(store, (0, 0, state.record))[2] == state.record
        ]

    def _advance(self, again: bool = False) -> None:
        """Sends what the tenure needs next. Messages are repeated only if `again` is set, as otherwise each answer would cause
        further messages."""
        tenure = self.tenure
        voters = self._voters()
        if not tenure.decided:
            if len(voters) < self.majority:
                self._initialize_stores(again)
                return
            self._decide(voters)
            again = True
        self._let_in(voters, again)
        self._propose_value(voters, again)
        if not tenure.is_chosen and len(tenure.votes) >= self._quorum():
            tenure.is_chosen = True
            self._announce_chosen()
        if tenure.is_chosen:
            self._make()

    def _quorum(self) -> int:
        """Number of stores that must take a version."""
        return self.majority

    def _decide(self, voters: list[str]) -> None:
        """Finds the newest version taken by a majority's stores, which this tenure starts from."""
        tenure = self.tenure
        stands = [tenure.stands[store] for store in voters]
        newest = max(stands, key=lambda state: (state.taken_at.fence, state.taken.number))
        tenure.decided, tenure.value = True, newest.taken
        tenure.is_chosen = newest.taken == NO_VERSION or any(state.chosen == newest.taken for state in stands)
        if tenure.is_chosen:
            self._announce_chosen()

    def _announce_chosen(self) -> None:
        """A majority has the value: it can be announced, and the operator's change is answered."""
        value, change = self.tenure.value, self.pending_change
        if value != NO_VERSION:
            self.driver.chosen(value)
        if change is not None and change.version == value:
            self.pending_change = None
            change.done({"ok": True, "version": value.text})

    def _propose_value(self, voters: list[str], again: bool) -> None:
        tenure = self.tenure
        if tenure.value == NO_VERSION:
            return
        if self.driver.content_of(tenure.value) is None:
            self.driver.fetch_for_writer(tenure.value, [store for store in voters if tenure.stands[store].taken == tenure.value])
            return
        for store in voters:
            if store not in tenure.votes and again and self._may_act():
                self.driver.take(store, tenure.ballot, tenure.stands[store].record, tenure.value)

    def _let_in(self, voters: list[str], again: bool) -> None:
        """Lets in stores that are blank, or whose record is not the one the others have noted. A majority of the other stores
        must note the record before the store may vote."""
        tenure = self.tenure
        for store, state in list(tenure.stands.items()):
            if store in voters or not self._may_act():
                continue
            known, fresh = tenure.admitting.get(store), False
            if known is None or known[2] != state.record:
                tenure.note_count += 1
                known = tenure.admitting[store] = (tenure.ballot.fence, tenure.note_count, state.record)
                fresh = True
            lacking = [other for other in voters if tenure.stands[other].noted.get(store) != known]
            if fresh or again:
                for other in lacking:
                    self.driver.note(other, tenure.ballot, tenure.stands[other].record, store, known)
            if state.blank and again and len(voters) - len(lacking) >= self.majority:
                self.driver.enter(store, tenure.ballot, state.record, self._noted(), tenure.value, False)

    def _initialize_stores(self, again: bool) -> None:
        """Founds the stores if all have answered and none has ever taken anything: no earlier version can be lost."""
        tenure = self.tenure
        stands = tenure.stands
        if len(stands) < len(self.terms.stores) or any(
            state.taken != NO_VERSION or state.chosen != NO_VERSION for state in stands.values()
        ):
            return
        if tenure.founding and not again:
            return
        tenure.founding = True
        tenure.note_count += 1
        noted = {store: (tenure.ballot.fence, tenure.note_count, state.record) for store, state in stands.items()}
        for store, state in list(stands.items()):
            if self._may_act():
                self.driver.enter(store, tenure.ballot, state.record, noted, NO_VERSION, True)

    def _make(self) -> None:
        tenure, change = self.tenure, self.pending_change
        if change is None or change.version is not None or tenure.outbid_by is not None or not self._may_act():
            return
        if (change.base or NO_VERSION.text) != tenure.value.text:
            self.pending_change = None
            change.done(
                refusal(
                    f"somebody was quicker: the newest is {tenure.value.text}, "
                    f"and this change was made upon {change.base or NO_VERSION.text}"
                )
            )
            return
        tenure.count += 1
        change.version = tenure.value = Version(tenure.ballot.fence, tenure.count, digest_of(change.content))
        tenure.is_chosen = False
        tenure.votes.clear()
        self.driver.hold_content(change.content)
        self._propose_value(self._voters(), again=True)

    def _expire(self) -> None:
        change, self.pending_change = self.pending_change, None
        reason = self.blocking_reason()
        if change.version is None:
            change.done(refusal(f"not made: {reason}"))
        else:
            change.done(
                {
                    "ok": False,
                    "unknown": True,
                    "wrong": f"its fate is not known: {change.version.text} may yet come into force "
                    f"({reason}); look at what is newest before trying again",
                }
            )

    def blocking_reason(self) -> str:
        """Why no version can be made now, for operators."""
        tenure = self.tenure
        if tenure is None:
            return "this machine does not hold the lease under which versions are made"
        if tenure.outbid_by is not None:
            return f"stores have promised {tenure.outbid_by.writer} a later number, {tenure.outbid_by.fence}"
        voters = self._voters()
        if len(voters) < self.majority:
            blank = sorted(store for store, state in tenure.stands.items() if state.blank)
            return f"{len(voters)} of {len(self.terms.stores)} stores answer and vote, {self.majority} are needed" + (
                f"; without a record: {', '.join(blank)}" if blank else ""
            )
        return f"{len(tenure.votes)} of {len(self.terms.stores)} stores have {tenure.value.text}, {self.majority} are needed"


def refusal(reason: str) -> dict:
    """The answer to a command that is not carried out, with the reason."""
    return {"ok": False, "unknown": False, "wrong": reason}
