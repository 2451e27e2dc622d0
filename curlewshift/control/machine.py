"""One control machine: a member of the fronts' channel that takes part in the lease `configuration/0` and stores versions of the
site settings.

It accepts no clients and has no session core. The control machine that holds the lease makes versions, by a command on its
socket. Any of them may be killed, stopped or restarted, with or without its disk: what it must not forget is on disk before it
answers.
"""

from __future__ import annotations

import signal
from pathlib import Path
from random import Random

import anyio

from curlewshift.control.commands import CommandSocket
from curlewshift.front.begun import checked, told
from curlewshift.peering.distributed import DistributionProtocol
from curlewshift.peering.leasing import LeaseMessages
from curlewshift.peering.wire import PeerSocket
from curlewshift.schedule.clock import Clock
from curlewshift.sharing.counts import pick_by_rendezvous
from curlewshift.site.changes import RestartRequired
from curlewshift.site.places import distribution_of, locations_of
from curlewshift.site.reading import SiteErrors
from curlewshift.site.site import Site, read_site
from curlewshift.state.journal import Lock
from curlewshift.state.record_file import RecordFile

NS = 1_000_000_000
LEASE = "configuration/0"


class MachineLeases(LeaseMessages):
    """The configuration lease. Its holder keeps it as long as its process runs: a writer that gave it up while making a version
    would leave the operator without an answer. If nobody holds it, all machines pick the same machine to propose, so that they
    do not outbid each other."""

    async def run(self) -> None:
        every = self.proposer.terms.every / NS
        while True:
            try:
                self.acceptor.time()
                self.time()
                self._deliver_local()
            except Exception as error:
                self.log.error("fault", what="leases", cause=repr(error), exc_info=error)
            await anyio.sleep(every)

    def time(self) -> None:
        local_name = self.order[self.local_index]
        # a machine that has just started does not know the holder yet, and must not outbid it
        free = not self.acceptor.silent() and self.writer() in ("", local_name)
        if self.fence() or (free and pick_by_rendezvous(LEASE, [*self.members(), local_name]) == local_name):
            self.proposer.want(LEASE)
        elif LEASE in self.proposer.views:
            self.proposer.leave(LEASE)
        self.proposer.time()

    def leave(self) -> None:
        self.proposer.leave(LEASE)
        self._deliver_local()

    def members(self) -> list[str]:
        return [member.name for member in self.channel.membership.ring if member.name in self.number_of]

    def fence(self) -> int:
        """The fencing token for making a version now; 0 if this machine may not make one."""
        return self.proposer.may_act(LEASE)

    def writer(self) -> str:
        """The name of the lease's holder as far as this machine knows; empty if there is none."""
        if self.fence():
            return self.order[self.local_index]
        kept = self.acceptor.leases.get(LEASE)
        holds = kept is not None and kept.holder >= 0 and kept.until > self.now()
        return self.order[kept.holder] if holds else ""

    def show(self) -> dict:
        held = self.proposer.views.get(LEASE)
        return {
            "me": self.order[self.local_index],
            "writer": self.writer(),
            "number": self.fence(),
            "silent": self.acceptor.silent(),
            "promised_by": len(held.promised) if held is not None else 0,
            "needed": self.proposer.majority,
        }


class Machine:
    """`path` is the site file, `state` the state folder. The constructor raises `FolderInUse` if another process uses the folder,
    and `OSError` if the peer socket cannot be bound."""

    leases_class, distribution_class = MachineLeases, DistributionProtocol

    def __init__(self, path: Path, site: Site, name: str, state: Path, seed: int, log):
        self.path, self.site, self.name, self.log = path, site, name, log
        names = [machine.name for machine in site.control.machines]
        local_index, rng = names.index(name), Random(seed)
        self.lock = Lock(state)
        self.clock = Clock()
        self.copy, self.vote = RecordFile(state / "configuration"), RecordFile(state / "vote")
        copy, vote = self.copy.read(), self.vote.read()
        for record in (self.copy, self.vote):
            if record.damage:
                log.error("record-damaged", cause=record.damage)
        self.peers = PeerSocket(site.name, site.control.machines[local_index], site.peers, self.clock, log, Random(rng.random()))
        self.leases = self.leases_class(
            self.peers.channel, self.clock, names, local_index, names, site.control.terms, log, Random(rng.random())
        )
        self.wire = self.distribution_class(
            self.peers.channel,
            self,
            name,
            locations_of(site),
            distribution_of(site),
            self.leases.fence,
            self.clock,
            log,
            Random(rng.random()),
            copy,
            vote,
        )
        self.commands = CommandSocket(self, state / "control")

    async def run(self, ready=None) -> None:
        """Runs until SIGTERM or SIGINT; releases the lease before it returns. `ready` is called once commands are accepted."""
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(self.commands.run)
                for task in (self.peers.run, self.leases.run, self.wire.run):
                    tasks.start_soon(task)
                self.log.info("open", machine=self.name, version=self.wire.version)
                if ready is not None:
                    ready()
                with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                    async for signal_number in signals:
                        self.log.info("ended", cause=signal.Signals(signal_number).name)
                        break
                self.leases.leave()
                await self.peers.leave()
                tasks.cancel_scope.cancel()
        finally:
            self.lock.release()

    def content_errors(self, content: bytes, display_name: str) -> tuple[str, bool]:
        """Why a site file cannot replace the version in force (empty if it can), and whether the only reason is that it needs
        restarts. `display_name` is the file name shown in the messages."""
        held = self.wire.content
        try:
            running = self.site if held is None else read_site(self.path, held)
            checked(self.path, running, content)
        except SiteErrors as errors:
            return told(Path(display_name or self.path.name), errors), isinstance(errors, RestartRequired)
        return "", False

    # ---- the host of distribution; a control machine applies no settings, it stores them for the fronts

    def check_configuration(self, content: bytes) -> str | None:
        try:
            read_site(self.path, content)
        except SiteErrors as errors:
            return told(self.path, errors)
        return None

    def apply_configuration(self, version: str, content: bytes) -> str | None:
        self.log.info("configuration-held", version=version)
        return None

    def store_configuration(self, data: bytes) -> None:
        self.copy.write_durable(data)

    def store_vote(self, data: bytes) -> None:
        self.vote.write_durable(data)
