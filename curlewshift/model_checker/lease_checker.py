"""Model checker for leases: two proposers and three acceptors of one lease, whose messages arrive in any order; the lease never
has two holders at once.

Proposers and acceptors are the program's own; the model has the true time and the messages in transit. A message that is never
delivered is lost; an answer may be delayed and delivered later, or never; the last `propose` of an earlier attempt may arrive
at any time, any number of times. Acceptors are interchangeable, so states that differ only in their order count as one. Called
by `curlewshift walk --of leases` and by tests.
"""

from __future__ import annotations

from copy import copy
from random import Random

from curlewshift.leases.acceptor import LeaseAcceptor
from curlewshift.leases.ballots import NONE
from curlewshift.leases.proposer import LeaseProposer, LeaseView
from curlewshift.leases.terms import LeaseTerms
from curlewshift.model_checker.explore import ExplorationResult, InvariantViolated, explore

# A tick is four units of true time; a clock at the bounds of its drift advances by three or five units.
UNITS, DRIFT = 4, 0.25
TERMS = LeaseTerms(term=8, drift=DRIFT, every=4)
LEASE, ACCEPTORS, PROPOSERS = "l", 3, 2
# Ticks for which an acceptor keeps what it accepted, by the slowest clock; one step covers them all.
LONG_STEP_TICKS = -(-TERMS.hold_time // 3)
# Answers delayed at a time, and restarts of acceptors or proposers in one trace.
MAX_DELAYED_ANSWERS, MAX_RESTARTS = 1, 1


class ProposerEnd:
    """The driver of one proposer; its requests go into the model."""

    def __init__(self, model: LeaseModel, number: int):
        self.model, self.number = model, number

    def now(self) -> int:
        return self.model.clocks[self.number]

    def wall(self) -> int:
        # 1 ms a tick: no clock of the model is set back by more than an acceptor's silent period
        return self.model.ticks * 1_000_000

    def prepare(self, acceptor, lease, ballot) -> None:
        self.model.requests[self.number, acceptor] = ("prepare", ballot, 0)

    def propose(self, acceptor, lease, ballot, fence) -> None:
        self.model.requests[self.number, acceptor] = ("propose", ballot, fence)
        self.model.stale[self.number] = ("propose", ballot, fence)

    def release(self, acceptor, lease, ballot) -> None:
        self.model.requests[self.number, acceptor] = ("released", ballot, 0)

    def begins(self, lease, fence) -> None:
        self.model.tenure_began(fence)

    def stops(self, lease, why) -> None:
        pass


class AcceptorEnd:
    """The driver of one acceptor; the model keeps its last answer."""

    def __init__(self, model: LeaseModel, number: int):
        self.model, self.number = model, number

    def now(self) -> int:
        return self.model.clocks[PROPOSERS + self.number]

    def promise(self, proposer, lease, ballot, holder, of, fence) -> None:
        self.model.answer = (proposer, "promise", (self.number, lease, ballot, holder, of, fence))

    def accept(self, proposer, lease, ballot) -> None:
        self.model.answer = (proposer, "accepted", (self.number, lease, ballot))

    def outbid(self, proposer, lease, ballot, by) -> None:
        self.model.answer = (proposer, "outbid", (self.number, lease, ballot, by))


class LeaseModel:
    """`rates`: by how many units the clocks of the two proposers advance in a tick, then those of all acceptors."""

    def __init__(
        self,
        rates: tuple[int, int, int],
        proposer: type[LeaseProposer] = LeaseProposer,
        acceptor: type[LeaseAcceptor] = LeaseAcceptor,
        acceptors: int = ACCEPTORS,
    ):
        self.rates = (*rates[:2], *[rates[2]] * acceptors)
        self.classes, self.size = (proposer, acceptor), acceptors
        self.clocks = [1000] * (PROPOSERS + acceptors)
        # the highest fence (fencing token: the number of a tenure) so far, and whether a later tenure's was not higher
        self.ticks, self.latest_fence, self.fence_fell = 0, 0, False
        self.lives, self.restarts = [1] * PROPOSERS, 0
        self.requests: dict[tuple[int, int], tuple] = {}
        self.stale: dict[int, tuple] = {}
        self.delayed: list[tuple] = []
        self.answer: tuple | None = None
        self.proposers = [self._proposer(number) for number in range(PROPOSERS)]
        self.acceptors = []
        for number in range(acceptors):
            new_acceptor = acceptor(AcceptorEnd(self, number), TERMS)
            # as if it had been running for long: the silent period after a start is over
            new_acceptor.silent_until = 0
            self.acceptors.append(new_acceptor)

    def _proposer(self, number: int) -> LeaseProposer:
        proposer = self.classes[0](
            ProposerEnd(self, number), number, self.lives[number], list(range(self.size)), TERMS, Random(1)
        )
        proposer.views[LEASE] = LeaseView()
        return proposer

    def clone(self) -> LeaseModel:
        other = copy(self)
        other.clocks, other.lives, other.requests, other.stale, other.delayed = (
            list(self.clocks),
            list(self.lives),
            dict(self.requests),
            dict(self.stale),
            list(self.delayed),
        )
        other.proposers, other.acceptors = [], []
        for number, proposer in enumerate(self.proposers):
            proposer_copy = copy(proposer)
            proposer_copy.driver = ProposerEnd(other, number)
            # a new dict: if both copies shared it, a state would go on with what a sibling state had done
            view = copy(proposer.views[LEASE])
            view.promised, view.accepted = dict(view.promised), set(view.accepted)
            proposer_copy.views = {LEASE: view}
            other.proposers.append(proposer_copy)
        for number, acceptor in enumerate(self.acceptors):
            acceptor_copy = copy(acceptor)
            acceptor_copy.driver, acceptor_copy.steady = AcceptorEnd(other, number), copy(acceptor.steady)
            acceptor_copy.leases = {lease: copy(accepted) for lease, accepted in acceptor.leases.items()}
            other.acceptors.append(acceptor_copy)
        return other

    def state(self) -> tuple:
        ballots = {NONE}
        for proposer in self.proposers:
            view = proposer.views[LEASE]
            ballots |= {view.ballot, *(ballot for _, ballot in view.promised.values())}
        for acceptor in self.acceptors:
            for accepted in acceptor.leases.values():
                ballots |= {accepted.promised, accepted.accepted}
        ballots |= {request[1] for request in self.requests.values()} | {request[1] for request in self.stale.values()}
        ballots |= {args[2] for _, _, args in self.delayed}
        rank = {ballot: (index, ballot.front) for index, ballot in enumerate(sorted(ballots))}

        proposers = tuple(
            (
                rank[view.ballot],
                view.attempt_began_at >= 0,
                view.proposing,
                view.is_renewal,
                max(0, view.until - now),
                view.proposed_at - now if view.proposing else 0,
                view.fence - self.ticks if view.until > now or view.proposing else 0,
                rank[self.stale[number][1]] if number in self.stale else (),
            )
            for number, (view, now) in enumerate(
                (proposer.views[LEASE], self.clocks[number]) for number, proposer in enumerate(self.proposers)
            )
        )

        def acceptor_state(index: int) -> tuple:
            """All that anyone knows of one acceptor. Acceptors of which this is equal are interchangeable: their order does
            not matter."""
            acceptor = self.acceptors[index]
            accepted, steady = acceptor.leases.get(LEASE), acceptor.steady.last
            own = (
                (max(0, acceptor.silent_until - steady),)
                if accepted is None
                else (
                    max(0, acceptor.silent_until - steady),
                    rank[accepted.promised],
                    rank[accepted.accepted],
                    accepted.holder,
                    max(0, accepted.until - steady),
                    accepted.fence - self.ticks,
                )
            )
            exchanged = []
            for number, proposer in enumerate(self.proposers):
                view, request = proposer.views[LEASE], self.requests.get((number, index))
                promise = view.promised.get(index) if view.attempt_began_at >= 0 and not view.proposing else None
                exchanged.append(
                    (
                        (promise[0], rank[promise[1]]) if promise else (),
                        view.proposing and index in view.accepted,
                        (request[0], rank[request[1]]) if request else (),
                    )
                )
            delayed = tuple(
                sorted(
                    (receiver, kind, rank[args[2]], args[3:5] if kind == "promise" else ())
                    for receiver, kind, args in self.delayed
                    if args[0] == index
                )
            )
            return own, tuple(exchanged), delayed

        return (
            proposers,
            tuple(sorted((acceptor_state(index) for index in range(self.size)), key=repr)),
            self.restarts,
            self.latest_fence - self.ticks,
        )

    # ---- possible steps

    def steps(self) -> list[tuple]:
        """`ask`: a proposer begins an attempt. `trip`: a request and its answer are delivered; `half`: the request is, and the
        answer is delayed until `answer`. `stale`: the last `propose` of an earlier attempt is delivered."""
        steps: list[tuple] = [("tick",), ("long",)]
        for number, _proposer in enumerate(self.proposers):
            steps.append(("ask", number))
        for number, acceptor in self.requests:
            steps.append(("trip", number, acceptor))
            if len(self.delayed) < MAX_DELAYED_ANSWERS:
                steps.append(("half", number, acceptor))
        for number in self.stale:
            steps += [("stale", number, acceptor) for acceptor in range(self.size)]
        steps += [("answer", index) for index in range(len(self.delayed))]
        if self.restarts < MAX_RESTARTS:
            steps += [("restart-acceptor", acceptor) for acceptor in range(self.size)] + [
                ("restart-proposer", number) for number in range(PROPOSERS)
            ]
        return steps

    def apply(self, step: tuple) -> None:
        kind = step[0]
        if kind in ("tick", "long"):
            for _ in range(LONG_STEP_TICKS if kind == "long" else 1):
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
            self._to_acceptor(step[1], step[2], self.requests.pop(step[1:]), delay=kind == "half")
        elif kind == "stale":
            self._to_acceptor(step[1], step[2], self.stale[step[1]], delay=False)
        elif kind == "answer":
            self._to_proposer(self.delayed.pop(step[1]))
        elif kind == "restart-acceptor":
            self.restarts += 1
            self.acceptors[step[1]] = self.classes[1](AcceptorEnd(self, step[1]), TERMS)
        else:
            self.restarts += 1
            number = step[1]
            self.lives[number] += 1
            self.requests = {key: request for key, request in self.requests.items() if key[0] != number}
            self.proposers[number] = self._proposer(number)
            # ballots contain the life (run of a process), so those of the new life are above all that the old one used
        self._check_invariants()

    def _to_acceptor(self, number: int, acceptor: int, request: tuple, delay: bool) -> None:
        """Delivers a request; its answer is delivered at once, or put among the delayed ones."""
        self.answer = None
        kind, ballot, fence = request
        if kind == "propose":
            self.acceptors[acceptor].propose(number, LEASE, ballot, fence)
        else:
            getattr(self.acceptors[acceptor], kind)(number, LEASE, ballot)
        if self.answer is not None:
            if delay:
                self.delayed.append(self.answer)
            else:
                self._to_proposer(self.answer)

    def _to_proposer(self, answer: tuple) -> None:
        receiver, kind, args = answer
        getattr(self.proposers[receiver], kind)(*args)

    def tenure_began(self, fence: int) -> None:
        self.fence_fell |= fence <= self.latest_fence
        self.latest_fence = max(self.latest_fence, fence)

    def _check_invariants(self) -> None:
        if self.fence_fell:
            raise InvariantViolated("the fence of a later tenure is not higher than that of an earlier one")
        holders = [number for number, proposer in enumerate(self.proposers) if proposer.may_act(LEASE)]
        if len(holders) > 1:
            raise InvariantViolated("two proposers hold the lease at once")


class LeaseRounds(LeaseModel):
    """The same model in larger steps: one step is a complete attempt, in which some acceptors receive the `prepare` and some the
    `propose`. So messages of two attempts are not interleaved, but a trace of the same length covers several tenures."""

    def steps(self) -> list[tuple]:
        steps: list[tuple] = [("tick",), ("long",)]
        majority = self.size // 2 + 1
        for number in range(PROPOSERS):
            for prepared in subsets(self.size):
                if len(prepared) >= min(majority, 2):
                    steps += [("try", number, prepared, proposed) for proposed in subsets(self.size)]
            if number in self.stale:
                steps += [("stale", number, acceptor) for acceptor in range(self.size)]
        if self.restarts < MAX_RESTARTS:
            steps += [("restart-acceptor", acceptor) for acceptor in range(self.size)] + [
                ("restart-proposer", number) for number in range(PROPOSERS)
            ]
        return steps

    def apply(self, step: tuple) -> None:
        if step[0] != "try":
            super().apply(step)
            return
        _, number, prepared, proposed = step
        proposer = self.proposers[number]
        proposer.may_act(LEASE)
        proposer._prepare(LEASE, proposer.views[LEASE], proposer._now())
        for reached in (prepared, proposed):
            for acceptor in reached:
                request = self.requests.pop((number, acceptor), None)
                if request is not None:
                    self._to_acceptor(number, acceptor, request, delay=False)
        self.requests = {key: request for key, request in self.requests.items() if key[0] != number}
        self._check_invariants()


def subsets(size: int) -> list[tuple[int, ...]]:
    return [tuple(index for index in range(size) if mask >> index & 1) for mask in range(1 << size)]


def walk_leases(
    depth: int,
    rates: tuple[int, int, int] = (3, 4, 5),
    proposer: type[LeaseProposer] = LeaseProposer,
    acceptor: type[LeaseAcceptor] = LeaseAcceptor,
    max_states: int = 10**9,
) -> ExplorationResult:
    return explore(LeaseModel(rates, proposer, acceptor), depth, max_states)


def walk_rounds(
    depth: int,
    rates: tuple[int, int, int] = (3, 4, 5),
    proposer: type[LeaseProposer] = LeaseProposer,
    acceptor: type[LeaseAcceptor] = LeaseAcceptor,
    max_states: int = 10**9,
    acceptors: int = ACCEPTORS,
) -> ExplorationResult:
    return explore(LeaseRounds(rates, proposer, acceptor, acceptors), depth, max_states)
