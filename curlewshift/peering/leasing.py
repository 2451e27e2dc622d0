"""Lease messages on the channel: proposer and acceptor of leases exchange bodies of one frame kind.

Base of the tasks of fronts (leased.py beside this file) and of control machines, which have no front (curlewshift/control).
"""

from __future__ import annotations

from random import Random
from typing import Annotated

import msgspec
from msgspec import Meta

from curlewshift.leases.acceptor import LeaseAcceptor
from curlewshift.leases.ballots import NONE, Ballot
from curlewshift.leases.proposer import LeaseProposer
from curlewshift.leases.terms import LeaseTerms
from curlewshift.membership.member import Member
from curlewshift.peering.channel import Channel

KIND = 17
PREPARE, PROPOSE, RELEASE, PROMISE, ACCEPT, OUTBID = range(1, 7)

Count = Annotated[int, Meta(ge=0, lt=2**62)]
WireBallot = tuple[Count, Annotated[int, Meta(ge=-1, lt=2**31)], Count]


class Body(msgspec.Struct, array_like=True):
    """One message. `other` is, in a promise, the ballot under which `holder` holds the lease, and in an outbid the later ballot
    that was promised."""

    what: Annotated[int, Meta(ge=1, le=6)]
    lease: Annotated[str, Meta(min_length=1, max_length=64)]
    ballot: WireBallot
    fence: Count = 0
    holder: Annotated[int, Meta(ge=-1, lt=2**31)] = -1
    other: WireBallot = tuple(NONE)


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Body)


class LeaseMessages:
    """Driver of the proposer and the acceptor. `order` has the names of all proposers and acceptors, as in the settings,
    `local_index` is this member's position there, and `acceptors` the names of the acceptors."""

    proposer_class, acceptor_class = LeaseProposer, LeaseAcceptor

    def __init__(
        self,
        channel: Channel,
        clock,
        order: list[str],
        local_index: int,
        acceptors: list[str],
        terms: LeaseTerms,
        log,
        rng: Random,
    ):
        self.channel, self.clock, self.log, self.order, self.local_index = channel, clock, log, order, local_index
        self.number_of = {name: number for number, name in enumerate(order)}
        numbers = [self.number_of[name] for name in acceptors]
        self.local_queue: list[Body] = []
        self.malformed = 0
        self.acceptor = self.acceptor_class(self, terms) if local_index in numbers else None
        self.proposer = self.proposer_class(self, local_index, channel.membership.local_member.life, numbers, terms, rng)
        channel.register_handler(KIND, self.handle_message)

    def handle_message(self, sender: Member, data: bytes) -> None:
        number = self.number_of.get(sender.name)
        try:
            body = DECODER.decode(data)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        if number is not None:
            self._dispatch(number, body)
            self._deliver_local()

    def _dispatch(self, by: int, body: Body) -> None:
        ballot, other = Ballot(*body.ballot), Ballot(*body.other)
        if body.what == PROMISE:
            self.proposer.promise(by, body.lease, ballot, body.holder, other, body.fence)
        elif body.what == ACCEPT:
            self.proposer.accepted(by, body.lease, ballot)
        elif body.what == OUTBID:
            self.proposer.outbid(by, body.lease, ballot, other)
        elif self.acceptor is None:
            return
        elif body.what == PREPARE:
            self.acceptor.prepare(by, body.lease, ballot)
        elif body.what == PROPOSE:
            self.acceptor.propose(by, body.lease, ballot, body.fence)
        else:
            self.acceptor.released(by, body.lease, ballot)

    def _deliver_local(self) -> None:
        """Delivers the queued messages between the local proposer and acceptor."""
        while self.local_queue:
            self._dispatch(self.local_index, self.local_queue.pop(0))

    def _send(self, to: int, body: Body) -> None:
        if to == self.local_index:
            self.local_queue.append(body)
            return
        member = self.channel.membership.members.get(self.order[to]) if to < len(self.order) else None
        if member is not None and member.is_present:
            self.channel.send(member, KIND, ENCODER.encode(body))

    # ---- the proposer's driver

    def now(self) -> int:
        return self.clock.now()

    def wall(self) -> int:
        return self.clock.wall()

    def prepare(self, acceptor: int, lease: str, ballot: Ballot) -> None:
        self._send(acceptor, Body(PREPARE, lease, tuple(ballot)))

    def propose(self, acceptor: int, lease: str, ballot: Ballot, fence: int) -> None:
        self._send(acceptor, Body(PROPOSE, lease, tuple(ballot), fence))

    def release(self, acceptor: int, lease: str, ballot: Ballot) -> None:
        self._send(acceptor, Body(RELEASE, lease, tuple(ballot)))

    def begins(self, lease: str, fence: int) -> None:
        self.log.info("lease-begins", lease=lease, number=fence)

    def stops(self, lease: str, why: str) -> None:
        self.log.info("lease-stops", lease=lease, cause=why)

    # ---- the acceptor's driver

    def promise(self, proposer: int, lease: str, ballot: Ballot, holder: int, of: Ballot, fence: int) -> None:
        self._send(proposer, Body(PROMISE, lease, tuple(ballot), fence, holder, tuple(of)))

    def accept(self, proposer: int, lease: str, ballot: Ballot) -> None:
        self._send(proposer, Body(ACCEPT, lease, tuple(ballot)))

    def outbid(self, proposer: int, lease: str, ballot: Ballot, by: Ballot) -> None:
        self._send(proposer, Body(OUTBID, lease, tuple(ballot), other=tuple(by)))
