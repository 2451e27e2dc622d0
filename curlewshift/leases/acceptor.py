"""One of those whose majority decides who holds a lease (an acceptor of PaxosLease; Trencseni, Gazso, Reinhardt 2012).

Nothing is on a disk: a keeper that starts keeps still until all that an earlier life may have accepted is over. Its time
leaves out what it slept through and any step ahead: it may hold to a lease for too long, and never for too short.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from curlewshift.leases.ballots import NONE, Ballot
from curlewshift.leases.terms import LeaseTerms
from curlewshift.schedule.steady_clock import SteadyClock

# Leases that one keeper knows; who asks for more is not answered.
MOST = 8192


class Driver(Protocol):
    def now(self) -> int: ...
    def promise(self, proposer: int, lease: str, ballot: Ballot, holder: int, of: Ballot, fence: int) -> None: ...
    def accept(self, proposer: int, lease: str, ballot: Ballot) -> None: ...
    def outbid(self, proposer: int, lease: str, ballot: Ballot, by: Ballot) -> None: ...


@dataclass(slots=True)
class AcceptedLease:
    """`fence` is the highest number that a tenure accepted here had; it outlasts the tenure."""

    promised: Ballot = NONE
    accepted: Ballot = NONE
    holder: int = -1
    until: int = 0
    fence: int = 0


class LeaseAcceptor:
    def __init__(self, driver: Driver, terms: LeaseTerms):
        self.driver, self.terms = driver, terms
        self.steady = SteadyClock(driver.now(), terms.every)
        self.steady.due = self.steady.last + terms.every
        self.silent_until = self.steady.last + terms.kept
        self.leases: dict[str, AcceptedLease] = {}

    def time(self) -> None:
        """Each `every`: between two of them nothing else tells a stall from time."""
        self.steady.due = self._now() + self.terms.every

    def silent(self) -> bool:
        return self._now() < self.silent_until

    def prepare(self, proposer: int, lease: str, ballot: Ballot) -> None:
        """An asker wants to know who holds, and that no lower ballot comes through here any more."""
        now = self._now()
        kept = self._heard(proposer, lease, ballot, now)
        if kept is None:
            return
        kept.promised = ballot
        self._let_go(kept, now)
        self.driver.promise(proposer, lease, ballot, kept.holder, kept.accepted, kept.fence)

    def propose(self, proposer: int, lease: str, ballot: Ballot, fence: int) -> None:
        now = self._now()
        kept = self._heard(proposer, lease, ballot, now)
        if kept is None:
            return
        kept.promised = kept.accepted = ballot
        kept.holder, kept.until, kept.fence = proposer, now + self.terms.kept, max(kept.fence, fence)
        self.driver.accept(proposer, lease, ballot)

    def released(self, proposer: int, lease: str, ballot: Ballot) -> None:
        """The holder has stopped. A word on another ballot than the one held to changes nothing."""
        kept = self.leases.get(lease)
        if kept is not None and kept.accepted == ballot and kept.holder == proposer:
            kept.accepted, kept.holder, kept.until = NONE, -1, 0

    def _heard(self, proposer: int, lease: str, ballot: Ballot, now: int) -> AcceptedLease | None:
        """What is kept of the lease; None if this word is not to be answered, or has been: a higher ballot came before it."""
        if now < self.silent_until:
            return None
        kept = self.leases.get(lease)
        if kept is None and len(self.leases) < MOST:
            kept = self.leases[lease] = AcceptedLease()
        if kept is not None and ballot < kept.promised:
            self.driver.outbid(proposer, lease, ballot, kept.promised)
            return None
        return kept

    @staticmethod
    def _let_go(kept: AcceptedLease, now: int) -> None:
        if kept.holder >= 0 and now >= kept.until:
            kept.accepted, kept.holder, kept.until = NONE, -1, 0

    def _now(self) -> int:
        return self.steady.read(self.driver.now())
