"""All orders in which two askers and three keepers of one lease can hear each other, and that two never hold it at once.

Askers and keepers are the program's own; the world has the true time and the words under way. A word that is never handed on
is lost; an answer may be kept back and handed on later, or never; the last word of an earlier try may come in at any time, as
often as it likes. Keepers are alike, so that states that differ only in which is which are one. Called by
`curlewshift walk --of leases` and by tests.
"""

from __future__ import annotations

from copy import copy
from random import Random

from curlewshift.leases.acceptor import LeaseAcceptor
from curlewshift.leases.ballots import NONE
from curlewshift.leases.proposer import LeaseProposer, LeaseView
from curlewshift.leases.terms import LeaseTerms
from curlewshift.model_checker.explore import InvariantViolated, Walked, explore

# A tick is four units of a true clock; one at the bound shows three or five.
UNITS, DRIFT = 4, 0.25
TERMS = LeaseTerms(term=8, drift=DRIFT, every=4)
LEASE, ACCEPTORS, PROPOSERS = "l", 3, 2
# One step over as many ticks as a keeper on the slowest clock keeps what it accepted.
LONG = -(-TERMS.hold_time // 3)
# Answers that are kept back, and restarts of keepers or askers in one course.
MOST_BACK, MOST_RESTARTS = 1, 1


class ProposerEnd:
    def __init__(self, world: LeaseWorld, number: int):
        self.world, self.number = world, number

    def now(self) -> int:
        return self.world.clocks[self.number]

    def wall(self) -> int:
        # a millisecond a tick: no clock of the walk is set back further than a keeper is silent for
        return self.world.ticks * 1_000_000

    def prepare(self, acceptor, lease, ballot) -> None:
        self.world.asks[self.number, acceptor] = ("prepare", ballot, 0)

    def propose(self, acceptor, lease, ballot, fence) -> None:
        self.world.asks[self.number, acceptor] = ("propose", ballot, fence)
        self.world.stale[self.number] = ("propose", ballot, fence)

    def release(self, acceptor, lease, ballot) -> None:
        self.world.asks[self.number, acceptor] = ("released", ballot, 0)

    def begins(self, lease, fence) -> None:
        self.world.began(fence)

    def stops(self, lease, why) -> None:
        pass


class AcceptorEnd:
    def __init__(self, world: LeaseWorld, number: int):
        self.world, self.number = world, number

    def now(self) -> int:
        return self.world.clocks[PROPOSERS + self.number]

    def promise(self, proposer, lease, ballot, holder, of, fence) -> None:
        self.world.answer = (proposer, "promise", (self.number, lease, ballot, holder, of, fence))

    def accept(self, proposer, lease, ballot) -> None:
        self.world.answer = (proposer, "accepted", (self.number, lease, ballot))

    def outbid(self, proposer, lease, ballot, by) -> None:
        self.world.answer = (proposer, "outbid", (self.number, lease, ballot, by))


class LeaseWorld:
    """`rates`: units of the askers' clocks a tick, then of the keepers', which run alike."""

    def __init__(
        self,
        rates: tuple[int, int, int],
        proposer: type[LeaseProposer] = LeaseProposer,
        acceptor: type[LeaseAcceptor] = LeaseAcceptor,
        acceptors: int = ACCEPTORS,
    ):
        self.rates = (*rates[:2], *[rates[2]] * acceptors)
        self.kinds, self.size = (proposer, acceptor), acceptors
        self.clocks = [1000] * (PROPOSERS + acceptors)
        # the number of the latest tenure, and whether one came that was not higher
        self.ticks, self.latest_fence, self.fence_fell = 0, 0, False
        self.lives, self.restarts = [1] * PROPOSERS, 0
        self.asks: dict[tuple[int, int], tuple] = {}
        self.stale: dict[int, tuple] = {}
        self.back: list[tuple] = []
        self.answer: tuple | None = None
        self.proposers = [self._proposer(number) for number in range(PROPOSERS)]
        self.acceptors = []
        for number in range(acceptors):
            made = acceptor(AcceptorEnd(self, number), TERMS)
            # as if it had run for long
            made.silent_until = 0
            self.acceptors.append(made)

    def _proposer(self, number: int) -> LeaseProposer:
        made = self.kinds[0](ProposerEnd(self, number), number, self.lives[number], list(range(self.size)), TERMS, Random(1))
        made.views[LEASE] = LeaseView()
        return made

    def copied(self) -> LeaseWorld:
        other = copy(self)
        other.clocks, other.lives, other.asks, other.stale, other.back = (
            list(self.clocks),
            list(self.lives),
            dict(self.asks),
            dict(self.stale),
            list(self.back),
        )
        other.proposers, other.acceptors = [], []
        for number, proposer in enumerate(self.proposers):
            twin = copy(proposer)
            twin.driver = ProposerEnd(other, number)
            # not into the dict that both still share: each state then went on with what its last neighbour had done
            held = copy(proposer.views[LEASE])
            held.promised, held.accepted = dict(held.promised), set(held.accepted)
            twin.views = {LEASE: held}
            other.proposers.append(twin)
        for number, acceptor in enumerate(self.acceptors):
            twin = copy(acceptor)
            twin.driver, twin.steady = AcceptorEnd(other, number), copy(acceptor.steady)
            twin.leases = {lease: copy(kept) for lease, kept in acceptor.leases.items()}
            other.acceptors.append(twin)
        return other

    def state(self) -> tuple:
        ballots = {NONE}
        for proposer in self.proposers:
            held = proposer.views[LEASE]
            ballots |= {held.ballot, *(of for _, of in held.promised.values())}
        for acceptor in self.acceptors:
            for kept in acceptor.leases.values():
                ballots |= {kept.promised, kept.accepted}
        ballots |= {ask[1] for ask in self.asks.values()} | {ask[1] for ask in self.stale.values()}
        ballots |= {words[2] for _, _, words in self.back}
        rank = {ballot: (index, ballot.front) for index, ballot in enumerate(sorted(ballots))}

        proposers = tuple(
            (
                rank[held.ballot],
                held.attempt_began_at >= 0,
                held.proposing,
                held.is_renewal,
                max(0, held.until - now),
                held.proposed_at - now if held.proposing else 0,
                held.fence - self.ticks if held.until > now or held.proposing else 0,
                rank[self.stale[number][1]] if number in self.stale else (),
            )
            for number, (held, now) in enumerate(
                (proposer.views[LEASE], self.clocks[number]) for number, proposer in enumerate(self.proposers)
            )
        )

        def of(acceptor: int) -> tuple:
            """All that is known of one keeper, by anyone: keepers with the same are the same, so that their order says
            nothing."""
            one = self.acceptors[acceptor]
            kept, steady = one.leases.get(LEASE), one.steady.last
            own = (
                (max(0, one.silent_until - steady),)
                if kept is None
                else (
                    max(0, one.silent_until - steady),
                    rank[kept.promised],
                    rank[kept.accepted],
                    kept.holder,
                    max(0, kept.until - steady),
                    kept.fence - self.ticks,
                )
            )
            heard = []
            for number, proposer in enumerate(self.proposers):
                held, ask = proposer.views[LEASE], self.asks.get((number, acceptor))
                told = held.promised.get(acceptor) if held.attempt_began_at >= 0 and not held.proposing else None
                heard.append(
                    (
                        (told[0], rank[told[1]]) if told else (),
                        held.proposing and acceptor in held.accepted,
                        (ask[0], rank[ask[1]]) if ask else (),
                    )
                )
            back = tuple(
                sorted(
                    (to, what, rank[words[2]], words[3:5] if what == "promise" else ())
                    for to, what, words in self.back
                    if words[0] == acceptor
                )
            )
            return own, tuple(heard), back

        return (
            proposers,
            tuple(sorted((of(acceptor) for acceptor in range(self.size)), key=repr)),
            self.restarts,
            self.latest_fence - self.ticks,
        )

    # ---- what can happen

    def steps(self) -> list[tuple]:
        found: list[tuple] = [("tick",), ("long",)]
        for number, _proposer in enumerate(self.proposers):
            found.append(("ask", number))
        for number, acceptor in self.asks:
            found.append(("trip", number, acceptor))
            if len(self.back) < MOST_BACK:
                found.append(("half", number, acceptor))
        for number in self.stale:
            found += [("stale", number, acceptor) for acceptor in range(self.size)]
        found += [("answer", index) for index in range(len(self.back))]
        if self.restarts < MOST_RESTARTS:
            found += [("keeper", acceptor) for acceptor in range(self.size)] + [("asker", number) for number in range(PROPOSERS)]
        return found

    def take(self, step: tuple) -> None:
        kind = step[0]
        if kind in ("tick", "long"):
            for _ in range(LONG if kind == "long" else 1):
                self.ticks += 1
                for number, rate in enumerate(self.rates):
                    self.clocks[number] += rate
                for acceptor in self.acceptors:
                    acceptor.time()
        elif kind == "ask":
            proposer = self.proposers[step[1]]
            proposer.may_act(LEASE)
            proposer._prepare(LEASE, proposer.views[LEASE], proposer._now())
        elif kind in ("trip", "half"):
            self._to_acceptor(step[1], step[2], self.asks.pop(step[1:]), kept_back=kind == "half")
        elif kind == "stale":
            self._to_acceptor(step[1], step[2], self.stale[step[1]], kept_back=False)
        elif kind == "answer":
            self._to_proposer(self.back.pop(step[1]))
        elif kind == "keeper":
            self.restarts += 1
            self.acceptors[step[1]] = self.kinds[1](AcceptorEnd(self, step[1]), TERMS)
        else:
            self.restarts += 1
            number = step[1]
            self.lives[number] += 1
            self.asks = {key: ask for key, ask in self.asks.items() if key[0] != number}
            self.proposers[number] = self._proposer(number)
            # tries of the new life go on above what it may have used: its ballots bear the life
        self._look()

    def _to_acceptor(self, number: int, acceptor: int, ask: tuple, kept_back: bool) -> None:
        self.answer = None
        what, ballot, fence = ask
        if what == "propose":
            self.acceptors[acceptor].propose(number, LEASE, ballot, fence)
        else:
            getattr(self.acceptors[acceptor], what)(number, LEASE, ballot)
        if self.answer is not None:
            if kept_back:
                self.back.append(self.answer)
            else:
                self._to_proposer(self.answer)

    def _to_proposer(self, answer: tuple) -> None:
        to, what, words = answer
        getattr(self.proposers[to], what)(*words)

    def began(self, fence: int) -> None:
        self.fence_fell |= fence <= self.latest_fence
        self.latest_fence = max(self.latest_fence, fence)

    def _look(self) -> None:
        if self.fence_fell:
            raise InvariantViolated("a later tenure's number is not higher")
        holders = [number for number, proposer in enumerate(self.proposers) if proposer.may_act(LEASE)]
        if len(holders) > 1:
            raise InvariantViolated("two hold the lease at once")


class LeaseRounds(LeaseWorld):
    """The same world in larger steps: one step is a whole try, heard by some keepers when it prepares and by some when it
    proposes. What this leaves out is that words of two tries cross; what it gains are courses of several tenures."""

    def steps(self) -> list[tuple]:
        found: list[tuple] = [("tick",), ("long",)]
        most = self.size // 2 + 1
        for number in range(PROPOSERS):
            for heard in subsets(self.size):
                if len(heard) >= min(most, 2):
                    found += [("try", number, heard, taken) for taken in subsets(self.size)]
            if number in self.stale:
                found += [("stale", number, acceptor) for acceptor in range(self.size)]
        if self.restarts < MOST_RESTARTS:
            found += [("keeper", acceptor) for acceptor in range(self.size)] + [("asker", number) for number in range(PROPOSERS)]
        return found

    def take(self, step: tuple) -> None:
        if step[0] != "try":
            super().take(step)
            return
        _, number, heard, taken = step
        proposer = self.proposers[number]
        proposer.may_act(LEASE)
        proposer._prepare(LEASE, proposer.views[LEASE], proposer._now())
        for hears in (heard, taken):
            for acceptor in hears:
                ask = self.asks.pop((number, acceptor), None)
                if ask is not None:
                    self._to_acceptor(number, acceptor, ask, kept_back=False)
        self.asks = {key: ask for key, ask in self.asks.items() if key[0] != number}
        self._look()


def subsets(size: int) -> list[tuple[int, ...]]:
    return [tuple(one for one in range(size) if mask >> one & 1) for mask in range(1 << size)]


def walk_leases(
    depth: int,
    rates: tuple[int, int, int] = (3, 4, 5),
    proposer: type[LeaseProposer] = LeaseProposer,
    acceptor: type[LeaseAcceptor] = LeaseAcceptor,
    most: int = 10**9,
) -> Walked:
    return explore(LeaseWorld(rates, proposer, acceptor), depth, most)


def walk_rounds(
    depth: int,
    rates: tuple[int, int, int] = (3, 4, 5),
    proposer: type[LeaseProposer] = LeaseProposer,
    acceptor: type[LeaseAcceptor] = LeaseAcceptor,
    most: int = 10**9,
    acceptors: int = ACCEPTORS,
) -> Walked:
    return explore(LeaseRounds(rates, proposer, acceptor, acceptors), depth, most)
