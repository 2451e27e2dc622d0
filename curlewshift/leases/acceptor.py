"""An acceptor of PaxosLease (Trencseni, Gazso, Reinhardt 2012): a majority of the acceptors decides who holds a lease.

Nothing is stored on disk: an acceptor that starts stays silent until everything an earlier life (run of its process) may have
accepted has expired. Its clock leaves out the time it was suspended and any step ahead: it may hold on to a lease for too long,
but never for too short a time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from curlewshift.leases.ballots import NONE, Ballot
from curlewshift.leases.terms import LeaseTerms
from curlewshift.schedule.steady_clock import SteadyClock

# Maximum leases of one acceptor; requests for further ones are not answered.
MAX_LEASES = 8192


class Driver(Protocol):
    """What the acceptor calls on its environment: the clock (ns) and its answers to proposers."""

    def now(self) -> int: ...
    def promise(self, proposer: int, lease: str, ballot: Ballot, holder: int, of: Ballot, fence: int) -> None: ...
    def accept(self, proposer: int, lease: str, ballot: Ballot) -> None: ...
    def outbid(self, proposer: int, lease: str, ballot: Ballot, by: Ballot) -> None: ...


@dataclass(slots=True)
class AcceptedLease:
    """The acceptor's state of one lease. `fence` is the highest fencing token of any tenure accepted here; it outlasts the
    tenure."""

    promised: Ballot = NONE
    accepted: Ballot = NONE
    holder: int = -1
    until: int = 0
    fence: int = 0


class LeaseAcceptor:
    """The acceptor of all leases at one front."""

    def __init__(self, driver: Driver, terms: LeaseTerms):
        self.driver, self.terms = driver, terms
        self.steady = SteadyClock(driver.now(), terms.every)
        self.steady.due = self.steady.last + terms.every
        self.silent_until = self.steady.last + terms.hold_time
        self.leases: dict[str, AcceptedLease] = {}

    def time(self) -> None:
        """Called each `every`: only regular calls make it possible to tell a stall from time that passed."""
        self.steady.due = self._now() + self.terms.every

    def silent(self) -> bool:
        return self._now() < self.silent_until

    def prepare(self, proposer: int, lease: str, ballot: Ballot) -> None:
        """A proposer asks who holds the lease, and that no lower ballot is accepted here from now on."""
        now = self._now()
        state = self._admit(proposer, lease, ballot, now)
        if state is None:
            return
        state.promised = ballot
        self._expire(state, now)
        self.driver.promise(proposer, lease, ballot, state.holder, state.accepted, state.fence)

    def propose(self, proposer: int, lease: str, ballot: Ballot, fence: int) -> None:
        now = self._now()
        state = self._admit(proposer, lease, ballot, now)
        if state is None:
            return
        state.promised = state.accepted = ballot
        state.holder, state.until, state.fence = proposer, now + self.terms.hold_time, max(state.fence, fence)
        self.driver.accept(proposer, lease, ballot)

    def released(self, proposer: int, lease: str, ballot: Ballot) -> None:
        """The holder has given the lease back. A release of another ballot than the accepted one has no effect."""
        state = self.leases.get(lease)
        if state is not None and state.accepted == ballot and state.holder == proposer:
            state.accepted, state.holder, state.until = NONE, -1, 0

    def _admit(self, proposer: int, lease: str, ballot: Ballot, now: int) -> AcceptedLease | None:
        """The state of the lease; None if the message gets no answer, or has been answered because a higher ballot came before
        it."""
        if now < self.silent_until:
            return None
        state = self.leases.get(lease)
        if state is None and len(self.leases) < MAX_LEASES:
            state = self.leases[lease] = AcceptedLease()
        if state is not None and ballot < state.promised:
            self.driver.outbid(proposer, lease, ballot, state.promised)
            return None
        return state

    @staticmethod
    def _expire(state: AcceptedLease, now: int) -> None:
        if state.holder >= 0 and now >= state.until:
            state.accepted, state.holder, state.until = NONE, -1, 0

    def _now(self) -> int:
        return self.steady.read(self.driver.now())
