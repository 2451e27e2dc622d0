"""Random histories of fronts that ask for leases, and that no two hold one at the same true time, nor a number comes twice.

Keepers and askers are the program's own, both in each front as in a process; words are lost, doubled and late, fronts are
killed, stopped and started, clocks run within the drift. The world alone knows the true time and judges by it.
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
LASTS = 60_000 * MS


class TwoHolders(Exception):
    """Two fronts held one lease at the same moment, or a later tenure's number was not higher."""


class LeaseFront:
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
        self.proposer = history.proposers(
            self,
            self.number,
            self.life,
            list(range(history.acceptors_count)),
            self.history.terms,
            Random(f"{history.seed} {self.number} {self.life}"),
        )
        self.acceptor = history.acceptors(self, self.history.terms)
        for lease in history.names:
            self.proposer.want(lease)

    def now(self) -> int:
        return int(self.history.now * self.rate) + self.offset

    def wall(self) -> int:
        return 10**18 + self.history.now + self.history.wall_off

    # ---- askers' words

    def prepare(self, acceptor, lease, ballot) -> None:
        self.history.say(self, acceptor, "acceptor", "prepare", (self.number, lease, ballot))

    def propose(self, acceptor, lease, ballot, fence) -> None:
        self.history.say(self, acceptor, "acceptor", "propose", (self.number, lease, ballot, fence))

    def release(self, acceptor, lease, ballot) -> None:
        self.history.say(self, acceptor, "acceptor", "released", (self.number, lease, ballot))

    def begins(self, lease, fence) -> None:
        self.history.began(self, lease, fence)

    def stops(self, lease, why) -> None:
        pass

    # ---- keepers' words

    def promise(self, proposer, lease, ballot, holder, of, fence) -> None:
        self.history.say(self, proposer, "proposer", "promise", (self.number, lease, ballot, holder, of, fence))

    def accept(self, proposer, lease, ballot) -> None:
        self.history.say(self, proposer, "proposer", "accepted", (self.number, lease, ballot))

    def outbid(self, proposer, lease, ballot, by) -> None:
        self.history.say(self, proposer, "proposer", "outbid", (self.number, lease, ballot, by))


class LeaseHistory:
    terms = TERMS

    def __init__(
        self,
        seed: int,
        fronts: int = 0,
        acceptors: int = 0,
        leases: int = 0,
        proposer: type[LeaseProposer] = LeaseProposer,
        acceptor: type[LeaseAcceptor] = LeaseAcceptor,
        troubled: bool = True,
    ):
        self.seed, self.rng, self.now = seed, Random(f"leases {seed}"), 0
        rng = self.rng
        self.proposers, self.acceptors = proposer, acceptor
        size = fronts or rng.randint(3, 8)
        self.acceptors_count = acceptors or min(size, rng.choice((3, 3, 5)))
        self.names = [f"l{n}" for n in range(leases or rng.randint(1, 3))]
        self.loss, self.doubled = rng.choice((0, 0.1, 0.4)), rng.choice((0, 0.3))
        self.late, self.wall_off = rng.choice((5, 100, 5000)) * MS, 0
        self.queue: list[tuple] = []
        self.order = count()
        self.fences: dict[str, int] = {}
        self.tenures = self.acts = 0
        # (since, until) in true time without a holder
        self.held_at: dict[str, int] = {}
        self.gaps: list[int] = []
        self.words = 0
        self.fronts = [LeaseFront(self, number) for number in range(size)]
        for front in self.fronts:
            front.start()
            self.at(rng.randrange(self.terms.every), self._round, front)
        self.at(0, self._look)
        if troubled:
            self.at(3000 * MS, self._trouble)

    def at(self, when: int, call, *arguments) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call, arguments))

    def run(self, until: int = LASTS) -> LeaseHistory:
        """Raises `TwoHolders`."""
        while self.queue and self.queue[0][0] < until:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = max(self.now, until)
        return self

    def say(self, sender: LeaseFront, to: int, part: str, what: str, words: tuple) -> None:
        self.words += 1
        if to == sender.number:
            # itself it hears at once, and always
            self.at(self.now, self._arrives, to, sender.life, part, what, words)
            return
        for _ in range(2 if self.rng.random() < self.doubled else 1):
            if self.rng.random() >= self.loss:
                self.at(self.now + 1 + self.rng.randrange(self.late), self._arrives, to, 0, part, what, words)

    def _arrives(self, to: int, life: int, part: str, what: str, words: tuple) -> None:
        front = self.fronts[to]
        if not front.alive or (life and life != front.life):
            return
        if front.paused_until > self.now:
            self.at(front.paused_until, self._arrives, to, life, part, what, words)
        else:
            getattr(getattr(front, part), what)(*words)

    def _round(self, front: LeaseFront) -> None:
        if front.alive and front.paused_until <= self.now:
            front.acceptor.time()
            front.proposer.time()
        self.at(self.now + self.terms.every, self._round, front)

    def _look(self) -> None:
        """Who may act at this moment: it is asked of each as it would ask itself before an act."""
        for lease in self.names:
            holders = [
                front for front in self.fronts if front.alive and front.paused_until <= self.now and front.proposer.may_act(lease)
            ]
            if len(holders) > 1:
                raise TwoHolders(f"{lease}: {' and '.join(str(front.number) for front in holders)} at {self.now / 1e9:.3f} s")
            if holders:
                self.acts += 1
                before = self.held_at.get(lease)
                if before is not None:
                    self.gaps.append(self.now - before)
                self.held_at[lease] = self.now
        self.at(self.now + 17 * MS, self._look)

    def began(self, front: LeaseFront, lease: str, fence: int) -> None:
        self.tenures += 1
        if fence <= self.fences.get(lease, 0):
            raise TwoHolders(f"{lease}: number {fence} after {self.fences[lease]}")
        self.fences[lease] = fence

    def _trouble(self) -> None:
        front, kind = self.rng.choice(self.fronts), self.rng.random()
        if kind < 0.3:
            front.start()
        elif kind < 0.4:
            front.alive = False
            self.at(self.now + self.rng.randrange(8000 * MS), self._back, front, front.life)
        elif kind < 0.7:
            front.paused_until = self.now + self.rng.randrange(8000 * MS)
        elif kind < 0.8:
            for one in self.rng.sample(self.fronts, len(self.fronts)):
                one.start()
        else:
            self.loss = self.rng.choice((0, 0.3, 1.0))
        self.at(self.now + self.rng.randrange(6000 * MS), self._trouble)

    def _back(self, front: LeaseFront, life: int) -> None:
        if front.life == life:
            front.start()


def broken(seeds: range, **how) -> list[tuple[int, str]]:
    """Seeds of histories in which two held at once, or a number did not rise, with what was seen."""
    found = []
    for seed in seeds:
        try:
            LeaseHistory(seed, **how).run()
        except TwoHolders as two:
            found.append((seed, str(two)))
    return found


# ---- planted faults


class NoSilenceAfterStart(LeaseAcceptor):
    def __init__(self, driver, terms):
        super().__init__(driver, terms)
        self.silent_until = 0


class DriftIgnored(LeaseAcceptor):
    """Lets go when the bare term is over by its own clock."""

    def propose(self, proposer, lease, ballot, fence):
        super().propose(proposer, lease, ballot, fence)
        kept = self.leases.get(lease)
        if kept is not None and kept.accepted == ballot:
            kept.until = self.steady.last + self.terms.term


class MajorityOfTwo(LeaseProposer):
    """Takes two for a majority, however many keepers there are."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.majority = min(2, len(self.acceptors))


class RenewAfterEnd(LeaseProposer):
    """Goes on holding while it tries to renew, though its term is over."""

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
    def _propose(self, lease, held, now):
        held.proposing, held.proposed_at, held.is_renewal = True, now, held.until > now
        held.fence = max(1, held.highest_fence)
        for acceptor in self.acceptors:
            self.driver.propose(acceptor, lease, held.ballot, held.fence)


class ActWithoutLook(LeaseProposer):
    """Believes at an act what it knew at its last round."""

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
