"""Leases on the channel: words of leases/ as bodies of one kind, their time, and the tasks over them. Held by front/front.py."""

from __future__ import annotations

from random import Random
from typing import Annotated

import anyio
import msgspec
from msgspec import Meta

from curlewshift.leases.asker import Asker
from curlewshift.leases.ballots import NONE, Ballot
from curlewshift.leases.keeper import Keeper
from curlewshift.leases.terms import LeaseTerms
from curlewshift.membership.member import Member
from curlewshift.peering.channel import Channel
from curlewshift.tasks.tasks import Probing, Tasks

KIND = 17
NS = 1_000_000_000
PREPARE, PROPOSE, RELEASE, PROMISE, ACCEPT, OUTBID = range(1, 7)

Count = Annotated[int, Meta(ge=0, lt=2**62)]
WireBallot = tuple[Count, Annotated[int, Meta(ge=-1, lt=2**31)], Count]


class Body(msgspec.Struct, array_like=True):
    what: Annotated[int, Meta(ge=1, le=6)]
    lease: Annotated[str, Meta(min_length=1, max_length=64)]
    ballot: WireBallot
    fence: Count = 0
    holder: Annotated[int, Meta(ge=-1, lt=2**31)] = -1
    other: WireBallot = tuple(NONE)


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Body)


class LeaseWire:
    """Outside of the asker, the keeper and the tasks. `order` are the fronts' names as in the settings."""

    asker_class, keeper_class = Asker, Keeper

    def __init__(self, channel: Channel, front, order: list[str], me: int, keepers: list[str], terms: LeaseTerms,
                 shards: int, probe_each: int, log, chance: Random):
        self.channel, self.front, self.log, self.order, self.me = channel, front, log, order, me
        self.clock = front.clock
        self.number_of = {name: number for number, name in enumerate(order)}
        numbers = [self.number_of[name] for name in keepers]
        self.own: list[Body] = []
        self.malformed = 0
        self.keeper = self.keeper_class(self, terms) if me in numbers else None
        self.asker = self.asker_class(self, me, channel.membership.me.life, numbers, terms, chance)
        self.tasks = Tasks(order[me], self.asker, [Probing(self, shards, probe_each)], self.members)
        channel.carries(KIND, self.heard)

    async def run(self) -> None:
        every = self.asker.terms.every / NS
        while True:
            try:
                if self.keeper is not None:
                    self.keeper.time()
                self.tasks.time()
                self._to_itself()
            except Exception as fault:
                self.log.error("fault", what="leases", cause=repr(fault), exc_info=fault)
            await anyio.sleep(every)

    def leave(self) -> None:
        self.tasks.drain()
        self._to_itself()

    def heard(self, sender: Member, data: bytes) -> None:
        number = self.number_of.get(sender.name)
        try:
            body = DECODER.decode(data)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        if number is not None:
            self._take(number, body)
            self._to_itself()

    def _take(self, by: int, body: Body) -> None:
        ballot, other = Ballot(*body.ballot), Ballot(*body.other)
        if body.what == PROMISE:
            self.asker.promise(by, body.lease, ballot, body.holder, other, body.fence)
        elif body.what == ACCEPT:
            self.asker.accepted(by, body.lease, ballot)
        elif body.what == OUTBID:
            self.asker.outbid(by, body.lease, ballot, other)
        elif self.keeper is None:
            return
        elif body.what == PREPARE:
            self.keeper.prepare(by, body.lease, ballot)
        elif body.what == PROPOSE:
            self.keeper.propose(by, body.lease, ballot, body.fence)
        else:
            self.keeper.released(by, body.lease, ballot)

    def _to_itself(self) -> None:
        while self.own:
            self._take(self.me, self.own.pop(0))

    def _say(self, to: int, body: Body) -> None:
        if to == self.me:
            self.own.append(body)
            return
        member = self.channel.membership.members.get(self.order[to]) if to < len(self.order) else None
        if member is not None and member.there:
            self.channel.say(member, KIND, ENCODER.encode(body))

    # ---- the asker's outside

    def now(self) -> int:
        return self.clock.now()

    def wall(self) -> int:
        return self.clock.wall()

    def prepare(self, keeper: int, lease: str, ballot: Ballot) -> None:
        self._say(keeper, Body(PREPARE, lease, tuple(ballot)))

    def propose(self, keeper: int, lease: str, ballot: Ballot, fence: int) -> None:
        self._say(keeper, Body(PROPOSE, lease, tuple(ballot), fence))

    def release(self, keeper: int, lease: str, ballot: Ballot) -> None:
        self._say(keeper, Body(RELEASE, lease, tuple(ballot)))

    def begins(self, lease: str, fence: int) -> None:
        self.log.info("lease-begins", lease=lease, number=fence)
        self.tasks.begins(lease, fence)

    def stops(self, lease: str, why: str) -> None:
        self.log.info("lease-stops", lease=lease, cause=why)
        self.tasks.stops(lease)

    # ---- the keeper's outside

    def promise(self, asker: int, lease: str, ballot: Ballot, holder: int, of: Ballot, fence: int) -> None:
        self._say(asker, Body(PROMISE, lease, tuple(ballot), fence, holder, tuple(of)))

    def accept(self, asker: int, lease: str, ballot: Ballot) -> None:
        self._say(asker, Body(ACCEPT, lease, tuple(ballot)))

    def outbid(self, asker: int, lease: str, ballot: Ballot, by: Ballot) -> None:
        self._say(asker, Body(OUTBID, lease, tuple(ballot), other=tuple(by)))

    # ---- the tasks' outside

    def members(self) -> list[str]:
        return [member.name for member in self.channel.membership.ring if member.name in self.number_of]

    def servers(self):
        return list(self.front.desk.rules.servers)

    def probe_for_all(self, server, lease: str, number: int) -> None:
        self.front.reach.probe(server, f"{lease};{number}")

    # ---- for people

    def show(self) -> dict:
        now, rows = self.now(), []
        for task in self.tasks.tasks.values():
            for shard in range(task.shards):
                lease = f"{task.name}/{shard}"
                held = self.asker.tries.get(lease)
                kept = self.keeper.leases.get(lease) if self.keeper is not None else None
                mine = held is not None and held.until > now
                why = ""
                if not mine and held is not None and held.wanted:
                    why = ("keepers name " + self.order[held.holder] if 0 <= held.holder < len(self.order)
                           and held.holder != self.me else
                           f"{len(held.promised)} of {len(self.asker.keepers)} keepers answered, {self.asker.majority} needed")
                rows.append({
                    "lease": lease, "held_here": mine, "number": held.fence if mine else 0,
                    "since_s": round((now - held.since) / NS, 2) if mine else None,
                    "until_s": round((held.until - now) / NS, 2) if mine else None,
                    "keepers_heard": len(held.accepted) if held is not None else 0, "why_not": why,
                    "kept_for": self.order[kept.holder] if kept is not None and kept.holder >= 0 else ""})
        return {"me": self.order[self.me], "keeper": self.keeper is not None,
                "silent": self.keeper.silent() if self.keeper is not None else False, "leases": rows}
