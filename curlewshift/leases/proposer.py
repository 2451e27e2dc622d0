"""A proposer of PaxosLease (Trencseni, Gazso, Reinhardt 2012): acquires leases, renews them and gives them back.

It counts its term by its own clock from before its request, so that it stops before any acceptor lets another begin. Call
`may_act` immediately before each act: a process that was suspended finds there that its term is over.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from curlewshift.leases.ballots import NONE, Ballot
from curlewshift.leases.terms import LeaseTerms


class Driver(Protocol):
    """What the proposer calls on its environment: clocks (ns), messages to acceptors, and starts and ends of tenures."""

    def now(self) -> int: ...
    def wall(self) -> int: ...
    def prepare(self, acceptor: int, lease: str, ballot: Ballot) -> None: ...
    def propose(self, acceptor: int, lease: str, ballot: Ballot, fence: int) -> None: ...
    def release(self, acceptor: int, lease: str, ballot: Ballot) -> None: ...
    def begins(self, lease: str, fence: int) -> None: ...
    def stops(self, lease: str, why: str) -> None: ...


@dataclass(slots=True)
class LeaseView:
    """What is known of one lease. `until` is 0 while it is not held; `attempt_began_at` is when the attempt under way began (-1:
    none)."""

    wanted: bool = True
    ballot: Ballot = NONE
    attempt_began_at: int = -1
    promised: dict[int, tuple[int, Ballot]] = field(default_factory=dict)
    accepted: set[int] = field(default_factory=set)
    proposing: bool = False
    is_renewal: bool = False
    proposed_at: int = 0
    fence: int = 0
    highest_fence: int = 0
    holder: int = -1
    until: int = 0
    since: int = 0
    next_at: int = 0


class LeaseProposer:
    """`local_index` is this front's index, `life` its life (one run of its process, numbered); `acceptors` are indices of
    fronts."""

    def __init__(self, driver: Driver, local_index: int, life: int, acceptors: list[int], terms: LeaseTerms, rng: Random):
        self.driver, self.local_index, self.life, self.acceptors, self.terms = driver, local_index, life, acceptors, terms
        self.rng = rng
        self.majority = len(acceptors) // 2 + 1
        self.views: dict[str, LeaseView] = {}
        self.count = 0
        self.latest = driver.now()

    # ---- acquiring and releasing

    def want(self, lease: str) -> None:
        if lease not in self.views:
            self.views[lease] = LeaseView(next_at=self._now())
        self.views[lease].wanted = True

    def leave(self, lease: str) -> None:
        """Releases the lease explicitly, so that another front need not wait for its end."""
        view = self.views.get(lease)
        if view is None:
            return
        view.wanted = False
        ballot = view.ballot
        if view.until:
            self._stop(lease, view, "released by this front")
            for acceptor in self.acceptors:
                self.driver.release(acceptor, lease, ballot)
        view.attempt_began_at = -1

    def may_act(self, lease: str) -> int:
        """The fencing token to act with at this moment; 0 if this front does not hold the lease."""
        now = self._now()
        view = self.views.get(lease)
        if view is None or not view.until:
            return 0
        if now >= view.until:
            self._stop(lease, view, "its term ended")
            return 0
        return view.fence

    def time(self) -> None:
        """Called each `every`."""
        now = self._now()
        for lease, view in list(self.views.items()):
            if view.until and now >= view.until:
                self._stop(lease, view, "not renewed by a majority within its term")
            if view.attempt_began_at >= 0 and now - view.attempt_began_at > self.terms.term:
                view.attempt_began_at = -1
            due = now >= (view.since + self.terms.renewed_after if view.until else view.next_at)
            if view.wanted and due and (view.attempt_began_at < 0 or now >= view.next_at):
                self._prepare(lease, view, now)

    # ---- received messages

    def promise(self, acceptor: int, lease: str, ballot: Ballot, holder: int, of: Ballot, fence: int) -> None:
        """An acceptor reports the holder it knows (-1: none), by which ballot, and the highest fencing token it has seen."""
        now = self._now()
        view = self.views.get(lease)
        if view is None or view.ballot != ballot or view.attempt_began_at < 0 or view.proposing:
            return
        view.promised[acceptor] = (holder, of)
        view.highest_fence = max(view.highest_fence, fence)
        if holder >= 0 and holder != self.local_index:
            view.holder = holder
        # a lease that this life holds or held counts as free: it knows itself whether it acts
        free = [
            front
            for front, (known_holder, known_ballot) in view.promised.items()
            if known_holder < 0 or (known_holder == self.local_index and known_ballot.life == self.life)
        ]
        if len(free) >= self.majority:
            self._propose(lease, view, now)

    def accepted(self, acceptor: int, lease: str, ballot: Ballot) -> None:
        now = self._now()
        view = self.views.get(lease)
        if view is None or view.ballot != ballot or not view.proposing:
            return
        view.accepted.add(acceptor)
        if len(view.accepted) < self.majority:
            return
        until = view.proposed_at + self.terms.term
        view.attempt_began_at, view.proposing = -1, False
        if now >= until or not view.wanted:
            return
        begins = not view.until
        if begins and view.is_renewal:
            # a renewal whose tenure has ended meanwhile: its fencing token must not be used again
            return
        view.until, view.since, view.holder = until, view.proposed_at, self.local_index
        if begins:
            self.driver.begins(lease, view.fence)

    def outbid(self, acceptor: int, lease: str, ballot: Ballot, by: Ballot) -> None:
        """Another's ballot is higher. This one backs off for a random time; otherwise both go on outbidding each other."""
        self.count = max(self.count, by.count)
        view = self.views.get(lease)
        if view is not None and view.ballot == ballot and view.attempt_began_at >= 0:
            if view.proposing and not view.until:
                # acceptors that accepted it would keep it for a term against everyone, for a tenure that never begins: two
                # simultaneous proposals left the lease without a holder for 2.7 terms
                for proposed_to in self.acceptors:
                    self.driver.release(proposed_to, lease, ballot)
            view.attempt_began_at, view.proposing = -1, False
            view.next_at = self._now() + int(self.terms.every * self.rng.uniform(0.25, 2))

    # ---- steps of an attempt

    def _prepare(self, lease: str, view: LeaseView, now: int) -> None:
        self.count += 1
        view.ballot = Ballot(self.count, self.local_index, self.life)
        view.attempt_began_at, view.proposing = now, False
        view.promised.clear()
        view.accepted.clear()
        view.next_at = now + int(self.terms.every * self.rng.uniform(1, 3))
        for acceptor in self.acceptors:
            self.driver.prepare(acceptor, lease, view.ballot)

    def _propose(self, lease: str, view: LeaseView, now: int) -> None:
        view.proposing, view.proposed_at, view.is_renewal = True, now, view.until > now
        if not view.is_renewal:
            # after a restart of all acceptors only the time of day still rises
            view.fence = max(view.highest_fence + 1, self.driver.wall() // 1_000_000)
        for acceptor in self.acceptors:
            self.driver.propose(acceptor, lease, view.ballot, view.fence)

    def _stop(self, lease: str, view: LeaseView, why: str) -> None:
        view.until = 0
        self.driver.stops(lease, why)

    def give_up_all(self, why: str) -> None:
        for lease, view in self.views.items():
            view.attempt_began_at = -1
            if view.until:
                self._stop(lease, view, why)

    def _now(self) -> int:
        now = self.driver.now()
        if now < self.latest:
            # how much time passed is unknown
            self.latest = now
            self.give_up_all("the clock went back")
        self.latest = now
        return now
