"""The tasks that fronts run under leases, on the channel: their timer and their own messages. Held by front/front.py."""

from __future__ import annotations

from random import Random
from typing import Annotated

import anyio
import msgspec
from msgspec import Meta

from curlewshift.leases.terms import LeaseTerms
from curlewshift.membership.member import Member
from curlewshift.peering.channel import Channel
from curlewshift.peering.leasing import ENCODER, Count, LeaseMessages
from curlewshift.sharing.counts import pick_by_rendezvous
from curlewshift.signalling.bodies import ListNews
from curlewshift.tasks.listing import ListReading
from curlewshift.tasks.planning import LEASE as PLAN
from curlewshift.tasks.planning import Planning
from curlewshift.tasks.servers import Orphans, Probing
from curlewshift.tasks.tasks import Tasks

TASK_KIND = 18
NS = 1_000_000_000


class TaskMessage(msgspec.Struct, array_like=True, omit_defaults=True):
    """A message of a task to other fronts, with the sender's fencing token (`number`): the current version of the server list
    and the changes that lead to it, the demand at one front, or how a capacity reservation is divided among the fronts."""

    number: Count
    list_at: tuple[Annotated[str, Meta(max_length=64)], Annotated[int, Meta(ge=-1, lt=2**62)]] | None = None
    news: ListNews | None = None
    asked: Annotated[dict[str, Annotated[float, Meta(ge=0, le=1e6)]], Meta(max_length=64)] | None = None
    package: Annotated[str, Meta(max_length=64)] = ""
    parts: Annotated[dict[str, Annotated[float, Meta(ge=0, le=1)]], Meta(max_length=64)] = {}


TASK_DECODER = msgspec.msgpack.Decoder(TaskMessage)
# Parts of a reservation in one datagram; a plan for more fronts is sent in several.
MAX_PLAN_PARTS = 24
# Space for a task's message in a datagram (bytes).
MAX_TASK_MESSAGE_BYTES = 850


class LeaseTaskProtocol(LeaseMessages):
    """Driver of the tasks. `order` has the fronts' names as in the settings, `named` the tasks to run; `probe_each` and
    `orphans_after` are in ns."""

    def __init__(
        self,
        channel: Channel,
        front,
        order: list[str],
        local_index: int,
        acceptors: list[str],
        terms: LeaseTerms,
        shards: int,
        probe_each: int,
        log,
        rng: Random,
        named: tuple[str, ...] = ("probe",),
        orphans_after: int = 15 * NS,
    ):
        super().__init__(channel, front.clock, order, local_index, acceptors, terms, log, rng)
        self.front = front
        self.listing, self.planning = ListReading(self), Planning(self, order[local_index])
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
        self.tasks = Tasks(order[local_index], self.proposer, [tasks[name] for name in named], self.members)
        channel.register_handler(TASK_KIND, self.handle_task_message)
        self.plan_due = 0

    async def run(self) -> None:
        every = self.proposer.terms.every / NS
        while True:
            try:
                if self.acceptor is not None:
                    self.acceptor.time()
                self.tasks.time()
                self._deliver_local()
                self._run_without_lease()
            except Exception as error:
                self.log.error("fault", what="leases", cause=repr(error), exc_info=error)
            await anyio.sleep(every)

    def _run_without_lease(self) -> None:
        """Work that each front does, whether or not it holds a lease."""
        if "list" in self.named:
            self.listing.time()
        if "peaks" in self.named and self.now() >= self.plan_due:
            self.plan_due = self.now() + NS
            self.planning.report_demand(pick_by_rendezvous(PLAN, [*self.members(), self.order[self.local_index]]))

    def leave(self) -> None:
        self.tasks.drain()
        self._deliver_local()

    def handle_task_message(self, sender: Member, data: bytes) -> None:
        try:
            message = TASK_DECODER.decode(data)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        if sender.name not in self.number_of:
            return
        if message.list_at is not None and "list" in self.named:
            self.listing.receive_announcement(message.number, *message.list_at, message.news)
        if message.asked is not None:
            self.planning.receive_demand(sender.name, message.asked)
        if message.package and message.package in self.front.session_core.packages:
            self.planning.receive_plan(message.number, message.package, message.parts)

    def _broadcast(self, message: TaskMessage) -> bool:
        """Sends to all fronts that are in. False if the message is too large for a datagram."""
        raw = ENCODER.encode(message)
        if len(raw) > MAX_TASK_MESSAGE_BYTES:
            return False
        for member in self.channel.membership.ring:
            if member.name in self.number_of:
                self.channel.send(member, TASK_KIND, raw)
        return True

    def begins(self, lease: str, fence: int) -> None:
        super().begins(lease, fence)
        self.tasks.begins(lease, fence)

    def stops(self, lease: str, why: str) -> None:
        super().stops(lease, why)
        self.tasks.stops(lease)

    # ---- the tasks' driver

    def members(self) -> list[str]:
        return [member.name for member in self.channel.membership.ring if member.name in self.number_of]

    def servers(self):
        return list(self.front.session_core.rules.servers)

    def probe_for_all(self, server, lease: str, number: int) -> None:
        self.front.server_pool.probe(server, f"{lease};{number}", self._found)

    def _found(self, server, report: dict[str, float]) -> None:
        if self.front.shared is not None and "link" in report:
            self.front.shared.sharing.link_probed_for_all(server, report["link"])

    def look_for_orphans(self, server, away: int, lease: str, number: int) -> None:
        self.front.server_pool.end_orphans(server, away, f"{lease};{number}")

    def list_held(self) -> tuple[str, int]:
        server_list = self.front.session_core.server_list
        return server_list.epoch, server_list.generation

    def announce_list(self, number: int, epoch: str, generation: int, news: ListNews | None) -> None:
        if not self._broadcast(TaskMessage(number, list_at=(epoch, generation), news=news)):
            # too large for a datagram: fronts that learn of the new version read the list themselves
            self._broadcast(TaskMessage(number, list_at=(epoch, generation)))

    def apply_updates(self, news: ListNews) -> None:
        self.front.lists.take_news(news, full=False)

    def read_list(self, itself: bool) -> None:
        self.log.info(
            "list-read",
            by="itself" if itself else "another",
            cause="this front reads the list for all, or the announced changes are late or have a gap"
            if itself
            else "another front reads the list for all, and this front is up to date with it",
        )
        self.front.lists.read_itself(itself)

    def front_names(self) -> list[str]:
        return self.order

    def request_rates(self) -> dict[str, float]:
        return self.front.session_core.peaks.request_rates(self.now())

    def send_demand(self, to: str, asked: dict[str, float]) -> None:
        member = self.channel.membership.members.get(to)
        if member is not None and member.is_present:
            self.channel.send(member, TASK_KIND, ENCODER.encode(TaskMessage(0, asked=asked)))

    def send_plan(self, number: int, package: str, parts: dict[str, float]) -> None:
        names = list(parts)
        for at in range(0, len(names), MAX_PLAN_PARTS):
            self._broadcast(
                TaskMessage(number, package=package, parts={name: parts[name] for name in names[at : at + MAX_PLAN_PARTS]})
            )

    def planned(self, package: str, part: float, until: int) -> None:
        self.front.session_core.planned(package, part, until)

    # ---- for operators

    def show(self) -> dict:
        now, rows = self.now(), []
        for task in self.tasks.tasks.values():
            for shard in range(task.shards):
                lease = f"{task.name}/{shard}"
                held = self.proposer.views.get(lease)
                kept = self.acceptor.leases.get(lease) if self.acceptor is not None else None
                mine = held is not None and held.until > now
                why = ""
                if not mine and held is not None and held.wanted:
                    why = (
                        "keepers name " + self.order[held.holder]
                        if 0 <= held.holder < len(self.order) and held.holder != self.local_index
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
            "me": self.order[self.local_index],
            "keeper": self.acceptor is not None,
            "silent": self.acceptor.silent() if self.acceptor is not None else False,
            "leases": rows,
        }
