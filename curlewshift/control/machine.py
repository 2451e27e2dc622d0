"""One control machine: a member of the fronts' channel that keeps the lease `configuration/0` and stores versions of the
settings.

It has no door and no desk. Whichever of them holds the lease makes versions, told to by a command on its socket. Any may be
killed, stopped or started again, with its disk or without: what it must not forget is on the disk before it answers.
"""

from __future__ import annotations

import signal
from pathlib import Path
from random import Random

import anyio

from curlewshift.control.commands import Commands
from curlewshift.front.begun import checked, told
from curlewshift.peering.distributed import DistributionWire
from curlewshift.peering.leasing import LeaseWords
from curlewshift.peering.wire import PeerWire
from curlewshift.schedule.clock import Clock
from curlewshift.sharing.counts import picked
from curlewshift.site.changes import RestartRequired
from curlewshift.site.places import distribution_of, places_of
from curlewshift.site.reading import SiteErrors
from curlewshift.site.site import Site, read_site
from curlewshift.state.configured import Record
from curlewshift.state.journal import Lock

NS = 1_000_000_000
LEASE = "configuration/0"


class MachineLeases(LeaseWords):
    """The one lease. Who holds it keeps it as long as it is there: a writer that gives way in the middle of a version leaves its
    operator without an answer. Where nobody does, the machine that all pick asks, so that they do not outbid each other."""

    async def run(self) -> None:
        every = self.proposer.terms.every / NS
        while True:
            try:
                self.acceptor.time()
                self.time()
                self._to_itself()
            except Exception as fault:
                self.log.error("fault", what="leases", cause=repr(fault), exc_info=fault)
            await anyio.sleep(every)

    def time(self) -> None:
        me = self.order[self.me]
        # one that has just started knows of no holder yet, and does not outbid one
        free = not self.acceptor.silent() and self.writer() in ("", me)
        if self.fence() or (free and picked(LEASE, [*self.members(), me]) == me):
            self.proposer.want(LEASE)
        elif LEASE in self.proposer.tries:
            self.proposer.leave(LEASE)
        self.proposer.time()

    def leave(self) -> None:
        self.proposer.leave(LEASE)
        self._to_itself()

    def members(self) -> list[str]:
        return [member.name for member in self.channel.membership.ring if member.name in self.number_of]

    def fence(self) -> int:
        """The number to make a version with at this moment; 0 where this machine may not."""
        return self.proposer.may_act(LEASE)

    def writer(self) -> str:
        """Who holds the lease as far as this machine knows; empty if nobody does."""
        if self.fence():
            return self.order[self.me]
        kept = self.acceptor.leases.get(LEASE)
        holds = kept is not None and kept.holder >= 0 and kept.until > self.now()
        return self.order[kept.holder] if holds else ""

    def show(self) -> dict:
        held = self.proposer.tries.get(LEASE)
        return {
            "me": self.order[self.me],
            "writer": self.writer(),
            "number": self.fence(),
            "silent": self.acceptor.silent(),
            "promised_by": len(held.promised) if held is not None else 0,
            "needed": self.proposer.majority,
        }


class Machine:
    """Raises `FolderInUse` where another process has the folder, `OSError` where the socket cannot be had."""

    leases_class, distribution_class = MachineLeases, DistributionWire

    def __init__(self, path: Path, site: Site, name: str, state: Path, seed: int, log):
        self.path, self.site, self.name, self.log = path, site, name, log
        names = [machine.name for machine in site.control.machines]
        me, rng = names.index(name), Random(seed)
        self.lock = Lock(state)
        self.clock = Clock()
        self.copy, self.vote = Record(state / "configuration"), Record(state / "vote")
        copy, vote = self.copy.read(), self.vote.read()
        for record in (self.copy, self.vote):
            if record.damage:
                log.error("record-damaged", cause=record.damage)
        self.peers = PeerWire(site.name, site.control.machines[me], site.peers, self.clock, log, Random(rng.random()))
        self.leases = self.leases_class(
            self.peers.channel, self.clock, names, me, names, site.control.terms, log, Random(rng.random())
        )
        self.wire = self.distribution_class(
            self.peers.channel,
            self,
            name,
            places_of(site),
            distribution_of(site),
            self.leases.fence,
            self.clock,
            log,
            Random(rng.random()),
            copy,
            vote,
        )
        self.commands = Commands(self, state / "control")

    async def run(self, ready=None) -> None:
        """Until told to end; gives its lease back before that."""
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.commands.run)
                for work in (self.peers.run, self.leases.run, self.wire.run):
                    tasks.start_soon(work)
                self.log.info("open", machine=self.name, version=self.wire.version)
                if ready is not None:
                    ready()
                with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                    async for which in signals:
                        self.log.info("ended", cause=signal.Signals(which).name)
                        break
                self.leases.leave()
                await self.peers.leave()
                tasks.cancel_scope.cancel()
        finally:
            self.lock.release()

    def mistakes(self, content: bytes, called: str) -> tuple[str, bool]:
        """What is wrong with a file that somebody wants in force, compared with what is (empty: nothing), and whether that is
        only that it needs restarts. In the words it is `called` what the operator calls it."""
        held = self.wire.content
        try:
            running = self.site if held is None else read_site(self.path, held)
            checked(self.path, running, content)
        except SiteErrors as wrong:
            return told(Path(called or self.path.name), wrong), isinstance(wrong, RestartRequired)
        return "", False

    # ---- the wire's host. A machine applies nothing: what it stores is for the fronts

    def check_configuration(self, content: bytes) -> str | None:
        try:
            read_site(self.path, content)
        except SiteErrors as wrong:
            return told(self.path, wrong)
        return None

    def take_configuration(self, version: str, content: bytes) -> str | None:
        self.log.info("configuration-held", version=version)
        return None

    def keep_configuration(self, data: bytes) -> None:
        self.copy.write_durable(data)

    def keep_vote(self, data: bytes) -> None:
        self.vote.write_durable(data)
