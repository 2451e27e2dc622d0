"""Random histories of fronts that request leases: no two may hold one at the same true time, and no fence may come twice.

Each front (one process of the program) runs the production proposer and acceptor. Messages are lost, duplicated and delayed;
fronts are killed, paused and restarted (each restart is a new, numbered life); clocks run within the permitted drift. Only the
history knows the true time, and it checks by it.
"""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

from curlewshift.leases.acceptor import LeaseAcceptor
from curlewshift.leases.proposer import LeaseProposer
from curlewshift.leases.terms import LeaseTerms

MS = 1_000_000
TERMS = LeaseTerms(term=2000 * MS, drift=0.1, every=200 * MS)
DURATION = 60_000 * MS


class LeaseViolation(Exception):
    """Two fronts held one lease at the same time, or the fence of a later tenure was not higher."""


class LeaseFront:
    """A front with its own drifting clock; the I/O driver of its proposer and its acceptor."""

    def __init__(self, history: LeaseHistory, number: int):
        self.history, self.number = history, number
        rng = history.rng
        self.rate, self.offset = 1 + rng.choice((-1, 1, rng.uniform(-1, 1))) * history.terms.drift, rng.randrange(10**12)
        self.paused_until, self.life, self.alive = 0, 0, False
        self.proposer: LeaseProposer | None = None
        self.acceptor: LeaseAcceptor | None = None

    def start(self) -> None:
        history = self.history
        self.life += 1
        self.alive, self.paused_until = True, 0
        self.proposer = history.proposer_class(
            self,
            self.number,
            self.life,
            list(range(history.acceptor_count)),
            self.history.terms,
            Random(f"{history.seed} {self.number} {self.life}"),
        )
        self.acceptor = history.acceptor_class(self, self.history.terms)
        for lease in history.names:
            self.proposer.want(lease)

    def now(self) -> int:
        return int(self.history.now * self.rate) + self.offset

    def wall(self) -> int:
        return 10**18 + self.history.now + self.history.wall_offset

    # ---- messages of the proposer

    def prepare(self, acceptor, lease, ballot) -> None:
        self.history.send(self, acceptor, "acceptor", "prepare", (self.number, lease, ballot))

    def propose(self, acceptor, lease, ballot, fence) -> None:
        self.history.send(self, acceptor, "acceptor", "propose", (self.number, lease, ballot, fence))

    def release(self, acceptor, lease, ballot) -> None:
        self.history.send(self, acceptor, "acceptor", "released", (self.number, lease, ballot))

    def begins(self, lease, fence) -> None:
        self.history.tenure_began(self, lease, fence)

    def stops(self, lease, why) -> None:
        pass

    # ---- messages of the acceptor

    def promise(self, proposer, lease, ballot, holder, of, fence) -> None:
        self.history.send(self, proposer, "proposer", "promise", (self.number, lease, ballot, holder, of, fence))

    def accept(self, proposer, lease, ballot) -> None:
        self.history.send(self, proposer, "proposer", "accepted", (self.number, lease, ballot))

    def outbid(self, proposer, lease, ballot, by) -> None:
        self.history.send(self, proposer, "proposer", "outbid", (self.number, lease, ballot, by))


class LeaseHistory:
    """One random history; the seed decides sizes, message loss and faults. Zero for a size draws it at random."""

    terms = TERMS

    def __init__(
        self,
        seed: int,
        fronts: int = 0,
        acceptors: int = 0,
        leases: int = 0,
        proposer: type[LeaseProposer] = LeaseProposer,
        acceptor: type[LeaseAcceptor] = LeaseAcceptor,
        with_faults: bool = True,
    ):
        self.seed, self.rng, self.now = seed, Random(f"leases {seed}"), 0
        rng = self.rng
        self.proposer_class, self.acceptor_class = proposer, acceptor
        size = fronts or rng.randint(3, 8)
        self.acceptor_count = acceptors or min(size, rng.choice((3, 3, 5)))
        self.names = [f"l{n}" for n in range(leases or rng.randint(1, 3))]
        self.loss, self.duplication = rng.choice((0, 0.1, 0.4)), rng.choice((0, 0.3))
        self.max_delay, self.wall_offset = rng.choice((5, 100, 5000)) * MS, 0
        self.queue: list[tuple] = []
        self.order = count()
        self.fences: dict[str, int] = {}
        self.tenures = self.acts = 0
        # the last true time (ns) at which each lease was seen held; `gaps` are the times between such checks
        self.held_at: dict[str, int] = {}
        self.gaps: list[int] = []
        self.messages_sent = 0
        self.fronts = [LeaseFront(self, number) for number in range(size)]
        for front in self.fronts:
            front.start()
            self.at(rng.randrange(self.terms.every), self._run_round, front)
        self.at(0, self._check_holders)
        if with_faults:
            self.at(3000 * MS, self._inject_fault)

    def at(self, when: int, call, *arguments) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call, arguments))

    def run(self, until: int = DURATION) -> LeaseHistory:
        """Runs the history until this true time (ns); raises `LeaseViolation` on a violation."""
        while self.queue and self.queue[0][0] < until:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = max(self.now, until)
        return self

    def send(self, sender: LeaseFront, to: int, role: str, message: str, arguments: tuple) -> None:
        self.messages_sent += 1
        if to == sender.number:
            # messages to itself arrive at once and are never lost
            self.at(self.now, self._deliver, to, sender.life, role, message, arguments)
            return
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if self.rng.random() >= self.loss:
                self.at(self.now + 1 + self.rng.randrange(self.max_delay), self._deliver, to, 0, role, message, arguments)

    def _deliver(self, to: int, life: int, role: str, message: str, arguments: tuple) -> None:
        front = self.fronts[to]
        if not front.alive or (life and life != front.life):
            return
        if front.paused_until > self.now:
            self.at(front.paused_until, self._deliver, to, life, role, message, arguments)
        else:
            getattr(getattr(front, role), message)(*arguments)

    def _run_round(self, front: LeaseFront) -> None:
        if front.alive and front.paused_until <= self.now:
            front.acceptor.time()
            front.proposer.time()
        self.at(self.now + self.terms.every, self._run_round, front)

    def _check_holders(self) -> None:
        """Checks that at most one front may act on each lease, by the check that a front makes before it acts."""
        for lease in self.names:
            holders = [
                front for front in self.fronts if front.alive and front.paused_until <= self.now and front.proposer.may_act(lease)
            ]
            if len(holders) > 1:
                raise LeaseViolation(f"{lease}: {' and '.join(str(front.number) for front in holders)} at {self.now / 1e9:.3f} s")
            if holders:
                self.acts += 1
                before = self.held_at.get(lease)
                if before is not None:
                    self.gaps.append(self.now - before)
                self.held_at[lease] = self.now
        self.at(self.now + 17 * MS, self._check_holders)

    def tenure_began(self, front: LeaseFront, lease: str, fence: int) -> None:
        self.tenures += 1
        if fence <= self.fences.get(lease, 0):
            raise LeaseViolation(f"{lease}: fence {fence} after {self.fences[lease]}")
        self.fences[lease] = fence

    def _inject_fault(self) -> None:
        front, kind = self.rng.choice(self.fronts), self.rng.random()
        if kind < 0.3:
            front.start()
        elif kind < 0.4:
            front.alive = False
            self.at(self.now + self.rng.randrange(8000 * MS), self._restart, front, front.life)
        elif kind < 0.7:
            front.paused_until = self.now + self.rng.randrange(8000 * MS)
        elif kind < 0.8:
            for restarted in self.rng.sample(self.fronts, len(self.fronts)):
                restarted.start()
        else:
            self.loss = self.rng.choice((0, 0.3, 1.0))
        self.at(self.now + self.rng.randrange(6000 * MS), self._inject_fault)

    def _restart(self, front: LeaseFront, life: int) -> None:
        if front.life == life:
            front.start()


def violations(seeds: range, **options) -> list[tuple[int, str]]:
    """Returns the seeds of histories with two holders at once or a fence that did not rise, each with its description."""
    found = []
    for seed in seeds:
        try:
            LeaseHistory(seed, **options).run()
        except LeaseViolation as violation:
            found.append((seed, str(violation)))
    return found


# ---- planted faults


class NoSilenceAfterStart(LeaseAcceptor):
    """Answers at once after a restart, though it has forgotten what it accepted before."""

    def __init__(self, driver, terms):
        super().__init__(driver, terms)
        self.silent_until = 0


class DriftIgnored(LeaseAcceptor):
    """Drops a lease when the term has passed by its own clock, without the margin for drift."""

    def propose(self, proposer, lease, ballot, fence):
        super().propose(proposer, lease, ballot, fence)
        kept = self.leases.get(lease)
        if kept is not None and kept.accepted == ballot:
            kept.until = self.steady.last + self.terms.term


class MajorityOfTwo(LeaseProposer):
    """Takes two for a majority, however many acceptors there are."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.majority = min(2, len(self.acceptors))


class RenewAfterEnd(LeaseProposer):
    """Continues to hold a lease while it tries to renew it, though its term has expired."""

    def may_act(self, lease):
        held = self.views.get(lease)
        return held.fence if held is not None and held.until else 0

    def time(self):
        now = self._now()
        for held in self.views.values():
            if held.until and now >= held.until:
                held.until = now + self.terms.every
        super().time()


class FenceNotRaised(LeaseProposer):
    """Proposes the highest fence that it knows instead of one above it."""

    def _propose(self, lease, held, now):
        held.proposing, held.proposed_at, held.is_renewal = True, now, held.until > now
        held.fence = max(1, held.highest_fence)
        for acceptor in self.acceptors:
            self.driver.propose(acceptor, lease, held.ballot, held.fence)


class ActWithoutLook(LeaseProposer):
    """Relies on the state of its last round and does not check the expiry before it acts."""

    def may_act(self, lease):
        held = self.views.get(lease)
        return held.fence if held is not None and held.until else 0


FAULTS = {
    "no-silence-after-start": dict(acceptor=NoSilenceAfterStart),
    "drift-ignored": dict(acceptor=DriftIgnored),
    "majority-of-two": dict(proposer=MajorityOfTwo),
    "renew-after-end": dict(proposer=RenewAfterEnd),
    "fence-not-raised": dict(proposer=FenceNotRaised),
    "act-without-look": dict(proposer=ActWithoutLook),
}
