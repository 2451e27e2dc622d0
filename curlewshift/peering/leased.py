"""Tasks of fronts over leases on the channel: their time, and their own words. Held by front/front.py."""

from __future__ import annotations

from random import Random
from typing import Annotated

import anyio
import msgspec
from msgspec import Meta

from curlewshift.leases.terms import LeaseTerms
from curlewshift.membership.member import Member
from curlewshift.peering.channel import Channel
from curlewshift.peering.leasing import ENCODER, Count, LeaseWords
from curlewshift.sharing.counts import picked
from curlewshift.signalling.bodies import ListNews
from curlewshift.tasks.listing import ListReading
from curlewshift.tasks.planning import LEASE as PLAN
from curlewshift.tasks.planning import Planning
from curlewshift.tasks.servers import Orphans, Probing
from curlewshift.tasks.tasks import Tasks

KIND_OF_TASKS = 18
NS = 1_000_000_000


class TaskWord(msgspec.Struct, array_like=True, omit_defaults=True):
    """What tasks say to other fronts, with the number of the tenure that says it: the list as it is and news that lead there,
    how much is asked for, or how a hold is divided."""

    number: Count
    list_at: tuple[Annotated[str, Meta(max_length=64)], Annotated[int, Meta(ge=-1, lt=2**62)]] | None = None
    news: ListNews | None = None
    asked: Annotated[dict[str, Annotated[float, Meta(ge=0, le=1e6)]], Meta(max_length=64)] | None = None
    package: Annotated[str, Meta(max_length=64)] = ""
    parts: Annotated[dict[str, Annotated[float, Meta(ge=0, le=1)]], Meta(max_length=64)] = {}


TASK_DECODER = msgspec.msgpack.Decoder(TaskWord)
# Parts of a hold in one datagram; a plan for more fronts goes out in several.
MOST_PARTS = 24
# Bytes of a task's word that a datagram has room for.
MOST_WORD = 850


class LeaseWire(LeaseWords):
    """Outside of the tasks. `order` are the fronts' names as in the settings."""

    def __init__(
        self,
        channel: Channel,
        front,
        order: list[str],
        me: int,
        acceptors: list[str],
        terms: LeaseTerms,
        shards: int,
        probe_each: int,
        log,
        rng: Random,
        named: tuple[str, ...] = ("probe",),
        orphans_after: int = 15 * NS,
    ):
        super().__init__(channel, front.clock, order, me, acceptors, terms, log, rng)
        self.front = front
        self.listing, self.planning = ListReading(self), Planning(self, order[me])
        tasks = {
            task.name: task
            for task in (
                Probing(self, shards, probe_each),
                Orphans(self, shards, max(probe_each, NS), orphans_after),
                self.listing,
                self.planning,
            )
        }
        self.named = named
        self.tasks = Tasks(order[me], self.proposer, [tasks[name] for name in named], self.members)
        channel.carries(KIND_OF_TASKS, self.heard_of_task)
        self.plan_due = 0

    async def run(self) -> None:
        every = self.proposer.terms.every / NS
        while True:
            try:
                if self.acceptor is not None:
                    self.acceptor.time()
                self.tasks.time()
                self._to_itself()
                self._as_one_of_the_others()
            except Exception as fault:
                self.log.error("fault", what="leases", cause=repr(fault), exc_info=fault)
            await anyio.sleep(every)

    def _as_one_of_the_others(self) -> None:
        if "list" in self.named:
            self.listing.time()
        if "peaks" in self.named and self.now() >= self.plan_due:
            self.plan_due = self.now() + NS
            self.planning.tell(picked(PLAN, [*self.members(), self.order[self.me]]))

    def leave(self) -> None:
        self.tasks.drain()
        self._to_itself()

    def heard_of_task(self, sender: Member, data: bytes) -> None:
        try:
            word = TASK_DECODER.decode(data)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        if sender.name not in self.number_of:
            return
        if word.list_at is not None and "list" in self.named:
            self.listing.told(word.number, *word.list_at, word.news)
        if word.asked is not None:
            self.planning.asked_told(sender.name, word.asked)
        if word.package and word.package in self.front.session_core.packages:
            self.planning.plan_told(word.number, word.package, word.parts)

    def _tell_all(self, word: TaskWord) -> bool:
        """To all that are in; False where it is too large for a datagram."""
        raw = ENCODER.encode(word)
        if len(raw) > MOST_WORD:
            return False
        for member in self.channel.membership.ring:
            if member.name in self.number_of:
                self.channel.say(member, KIND_OF_TASKS, raw)
        return True

    def begins(self, lease: str, fence: int) -> None:
        super().begins(lease, fence)
        self.tasks.begins(lease, fence)

    def stops(self, lease: str, why: str) -> None:
        super().stops(lease, why)
        self.tasks.stops(lease)

    # ---- the tasks' outside

    def members(self) -> list[str]:
        return [member.name for member in self.channel.membership.ring if member.name in self.number_of]

    def servers(self):
        return list(self.front.session_core.rules.servers)

    def probe_for_all(self, server, lease: str, number: int) -> None:
        self.front.server_pool.probe(server, f"{lease};{number}", self._found)

    def _found(self, server, report: dict[str, float]) -> None:
        if self.front.shared is not None and "link" in report:
            self.front.shared.sharing.found_for_all(server, report["link"])

    def look_for_orphans(self, server, away: int, lease: str, number: int) -> None:
        self.front.server_pool.end_orphans(server, away, f"{lease};{number}")

    def list_held(self) -> tuple[str, int]:
        server_list = self.front.session_core.server_list
        return server_list.epoch, server_list.generation

    def tell_list(self, number: int, epoch: str, generation: int, news: ListNews | None) -> None:
        if not self._tell_all(TaskWord(number, list_at=(epoch, generation), news=news)):
            # too large: that there is something new is enough for each to read it
            self._tell_all(TaskWord(number, list_at=(epoch, generation)))

    def take_news(self, news: ListNews) -> None:
        self.front.lists.take_news(news, full=False)

    def read_list(self, itself: bool) -> None:
        self.log.info(
            "list-read",
            by="itself" if itself else "another",
            cause="this front reads for all, or what was told is late or does not follow"
            if itself
            else "one reads for all, and this front has what it has",
        )
        self.front.lists.read_itself(itself)

    def front_names(self) -> list[str]:
        return self.order

    def asked_for(self) -> dict[str, float]:
        return self.front.session_core.peaks.asked_for(self.now())

    def tell_asked(self, to: str, asked: dict[str, float]) -> None:
        member = self.channel.membership.members.get(to)
        if member is not None and member.there:
            self.channel.say(member, KIND_OF_TASKS, ENCODER.encode(TaskWord(0, asked=asked)))

    def tell_plan(self, number: int, package: str, parts: dict[str, float]) -> None:
        names = list(parts)
        for at in range(0, len(names), MOST_PARTS):
            self._tell_all(TaskWord(number, package=package, parts={name: parts[name] for name in names[at : at + MOST_PARTS]}))

    def planned(self, package: str, part: float, until: int) -> None:
        self.front.session_core.planned(package, part, until)

    # ---- for people

    def show(self) -> dict:
        now, rows = self.now(), []
        for task in self.tasks.tasks.values():
            for shard in range(task.shards):
                lease = f"{task.name}/{shard}"
                held = self.proposer.tries.get(lease)
                kept = self.acceptor.leases.get(lease) if self.acceptor is not None else None
                mine = held is not None and held.until > now
                why = ""
                if not mine and held is not None and held.wanted:
                    why = (
                        "keepers name " + self.order[held.holder]
                        if 0 <= held.holder < len(self.order) and held.holder != self.me
                        else f"{len(held.promised)} of {len(self.proposer.acceptors)} keepers answered, "
                        f"{self.proposer.majority} needed"
                    )
                rows.append(
                    {
                        "lease": lease,
                        "held_here": mine,
                        "number": held.fence if mine else 0,
                        "since_s": round((now - held.since) / NS, 2) if mine else None,
                        "until_s": round((held.until - now) / NS, 2) if mine else None,
                        "keepers_heard": len(held.accepted) if held is not None else 0,
                        "why_not": why,
                        "kept_for": self.order[kept.holder] if kept is not None and kept.holder >= 0 else "",
                    }
                )
        return {
            "me": self.order[self.me],
            "keeper": self.acceptor is not None,
            "silent": self.acceptor.silent() if self.acceptor is not None else False,
            "leases": rows,
        }
