"""One that wants leases, holds them and gives them back (a proposer of PaxosLease; Trencseni, Gazso, Reinhardt 2012).

It holds by its own clock from before it asked, so that it stops before any keeper lets another begin. `may_act` is to be
asked at the moment of each act: a process that was stopped finds there that its time is over.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from curlewshift.leases.ballots import NONE, Ballot
from curlewshift.leases.terms import LeaseTerms


class Driver(Protocol):
    def now(self) -> int: ...
    def wall(self) -> int: ...
    def prepare(self, acceptor: int, lease: str, ballot: Ballot) -> None: ...
    def propose(self, acceptor: int, lease: str, ballot: Ballot, fence: int) -> None: ...
    def release(self, acceptor: int, lease: str, ballot: Ballot) -> None: ...
    def begins(self, lease: str, fence: int) -> None: ...
    def stops(self, lease: str, why: str) -> None: ...


@dataclass(slots=True)
class LeaseView:
    """What is known of one lease. `until` is 0 while it is not held; `asked_at` is when the try under way began."""

    wanted: bool = True
    ballot: Ballot = NONE
    asked_at: int = -1
    promised: dict[int, tuple[int, Ballot]] = field(default_factory=dict)
    accepted: set[int] = field(default_factory=set)
    proposing: bool = False
    renews: bool = False
    proposed_at: int = 0
    fence: int = 0
    highest_fence: int = 0
    holder: int = -1
    until: int = 0
    since: int = 0
    next_at: int = 0


class LeaseProposer:
    """`me` is this front's number, `life` its life; `acceptors` are numbers of fronts."""

    def __init__(self, driver: Driver, me: int, life: int, acceptors: list[int], terms: LeaseTerms, rng: Random):
        self.driver, self.me, self.life, self.acceptors, self.terms = driver, me, life, acceptors, terms
        self.rng = rng
        self.majority = len(acceptors) // 2 + 1
        self.tries: dict[str, LeaseView] = {}
        self.count = 0
        self.latest = driver.now()

    # ---- what this front wants

    def want(self, lease: str) -> None:
        if lease not in self.tries:
            self.tries[lease] = LeaseView(next_at=self._now())
        self.tries[lease].wanted = True

    def leave(self, lease: str) -> None:
        """Gives it back in words: another need not wait for its end."""
        held = self.tries.get(lease)
        if held is None:
            return
        held.wanted = False
        ballot = held.ballot
        if held.until:
            self._stop(lease, held, "given back")
            for acceptor in self.acceptors:
                self.driver.release(acceptor, lease, ballot)
        held.asked_at = -1

    def may_act(self, lease: str) -> int:
        """The number to act with at this moment; 0 if this front does not hold the lease."""
        now = self._now()
        held = self.tries.get(lease)
        if held is None or not held.until:
            return 0
        if now >= held.until:
            self._stop(lease, held, "its term was over")
            return 0
        return held.fence

    def time(self) -> None:
        """Each `every`."""
        now = self._now()
        for lease, held in list(self.tries.items()):
            if held.until and now >= held.until:
                self._stop(lease, held, "no majority renewed it")
            if held.asked_at >= 0 and now - held.asked_at > self.terms.term:
                held.asked_at = -1
            due = now >= (held.since + self.terms.renewed_after if held.until else held.next_at)
            if held.wanted and due and (held.asked_at < 0 or now >= held.next_at):
                self._ask(lease, held, now)

    # ---- what comes in

    def promise(self, acceptor: int, lease: str, ballot: Ballot, holder: int, of: Ballot, fence: int) -> None:
        """A keeper tells who holds as far as it knows (-1: nobody), by which ballot, and the highest number it has seen."""
        now = self._now()
        held = self.tries.get(lease)
        if held is None or held.ballot != ballot or held.asked_at < 0 or held.proposing:
            return
        held.promised[acceptor] = (holder, of)
        held.highest_fence = max(held.highest_fence, fence)
        if holder >= 0 and holder != self.me:
            held.holder = holder
        # what this life holds or has held is its own to take: it knows whether it acts
        free = [one for one, (who, by) in held.promised.items() if who < 0 or (who == self.me and by.life == self.life)]
        if len(free) >= self.majority:
            self._propose(lease, held, now)

    def accepted(self, acceptor: int, lease: str, ballot: Ballot) -> None:
        now = self._now()
        held = self.tries.get(lease)
        if held is None or held.ballot != ballot or not held.proposing:
            return
        held.accepted.add(acceptor)
        if len(held.accepted) < self.majority:
            return
        until = held.proposed_at + self.terms.term
        held.asked_at, held.proposing = -1, False
        if now >= until or not held.wanted:
            return
        begins = not held.until
        if begins and held.renews:
            # it was to be a renewal, and its number is that of a tenure that has ended meanwhile
            return
        held.until, held.since, held.holder = until, held.proposed_at, self.me
        if begins:
            self.driver.begins(lease, held.fence)

    def outbid(self, acceptor: int, lease: str, ballot: Ballot, by: Ballot) -> None:
        """Another's ballot is higher: this one rests for a while by chance, or both go on outbidding each other."""
        self.count = max(self.count, by.count)
        held = self.tries.get(lease)
        if held is not None and held.ballot == ballot and held.asked_at >= 0:
            if held.proposing and not held.until:
                # who accepted it would keep it for a term against everyone, for a tenure that will never be: two that
                # proposed at once left the lease without a holder for 2.7 terms
                for one in self.acceptors:
                    self.driver.release(one, lease, ballot)
            held.asked_at, held.proposing = -1, False
            held.next_at = self._now() + int(self.terms.every * self.rng.uniform(0.25, 2))

    # ---- the course of a try

    def _ask(self, lease: str, held: LeaseView, now: int) -> None:
        self.count += 1
        held.ballot = Ballot(self.count, self.me, self.life)
        held.asked_at, held.proposing = now, False
        held.promised.clear()
        held.accepted.clear()
        held.next_at = now + int(self.terms.every * self.rng.uniform(1, 3))
        for acceptor in self.acceptors:
            self.driver.prepare(acceptor, lease, held.ballot)

    def _propose(self, lease: str, held: LeaseView, now: int) -> None:
        held.proposing, held.proposed_at, held.renews = True, now, held.until > now
        if not held.renews:
            # over restarts of all keepers nothing is remembered but the time of day
            held.fence = max(held.highest_fence + 1, self.driver.wall() // 1_000_000)
        for acceptor in self.acceptors:
            self.driver.propose(acceptor, lease, held.ballot, held.fence)

    def _stop(self, lease: str, held: LeaseView, why: str) -> None:
        held.until = 0
        self.driver.stops(lease, why)

    def give_up_all(self, why: str) -> None:
        for lease, held in self.tries.items():
            held.asked_at = -1
            if held.until:
                self._stop(lease, held, why)

    def _now(self) -> int:
        now = self.driver.now()
        if now < self.latest:
            # how long it really was nobody knows
            self.latest = now
            self.give_up_all("the clock went back")
        self.latest = now
        return now
