"""Runs all media servers of a site and the server list in one process, and injects the troubles of a script into them.

The servers share a process because the servers of a rack share its uplink. Fault injection is seeded: the same script and seed
affect the same servers at the same times.
"""

from __future__ import annotations

import math
import time
from random import Random

import anyio

from curlewshift.exchange.server import serve
from curlewshift.signalling.bodies import ListRow
from curlewshift.site.site import Machine, Site
from curlewshift.standins.listing import ServerList
from curlewshift.standins.physics import LinkModel, Uplink
from curlewshift.standins.script import OF_FRONTS, OF_VIEWERS, PEER_TROUBLES, Script, Trouble
from curlewshift.standins.server import SETUP_WORK, MediaServer
from curlewshift.standins.traffic import Traffic

NS = 1_000_000_000
MS = 1_000_000
# Age (ns) of the servers that are warm from the start.
LONG_AGO = 3600 * NS
# The actual link capacity differs from the one in the list by up to this share.
LINK_OFF = 0.1
# Time (s) after which a draining server is stopped although it still plays; a preempted one gets less.
DRAIN_FOR = 4.0
PREEMPT_FOR = 1.5
# Interval (s) at which the competing program on a `neighbour` link starts or stops using it.
RIVAL_PACE = 1.5
# Ports for stand-ins and fronts, below the range of ephemeral ports of outgoing connections.
PORT_RANGE = range(20_000, 32_000)


class Ports:
    """Finds free loopback ports, starting at a random one."""

    def __init__(self, rng: Random):
        self.next = rng.choice(PORT_RANGE)

    async def listener(self, host: str = "127.0.0.1"):
        for _ in range(500):
            self.next = self.next + 1 if self.next + 1 in PORT_RANGE else PORT_RANGE.start
            try:
                return self.next, (await anyio.create_tcp_listener(local_host=host, local_port=self.next)).listeners[0]
            except OSError:
                continue
        raise OSError("no free loopback port after 500 attempts")


class RackSlot:
    """A shelf of a rack, with a link that stays and a server that may be replaced."""

    def __init__(self, machine: Machine, link: LinkModel):
        self.machine, self.link = machine, link
        self.server: MediaServer | None = None
        self.under_fault = False


class Fleet:
    """All media servers of a site, their server list, and the troubles that are injected into them."""

    def __init__(
        self,
        site: Site,
        seed: int,
        traffic: Traffic,
        use_site_ports: bool = False,
        setup_work: float = SETUP_WORK,
        tidy: bool = True,
    ):
        """`use_site_ports`: servers listen at the addresses of the site file instead of at any free port. `setup_work`: CPU
        time of one set-up (s). `tidy`: servers end unwatched and orphaned sessions by themselves."""
        self.tidy = tidy
        self.setup_work = setup_work
        self.site, self.traffic, self.use_site_ports = site, traffic, use_site_ports
        # a separate generator, so that the choice of affected servers does not depend on other random draws
        self.rng, self.fault_rng = Random(seed), Random(seed + 1)
        self.ports = Ports(Random())
        self.list = ServerList(Random(seed + 2), traffic)
        self.ladder = {package.name: package.rates for package in site.packages}
        self.uplinks = {name: Uplink(size) for name, size in site.uplinks.items()}
        self.slots = []
        for machine in site.machines:
            link = LinkModel(machine.link * self.rng.uniform(1 - LINK_OFF, 1 + LINK_OFF), self.uplinks[machine.rack])
            link.uplink.links.append(link)
            self.slots.append(RackSlot(machine, link))

    async def start(self, tasks) -> int:
        """Starts all servers (warm) and the server list; returns the port of the list."""
        self.tasks = tasks
        for slot in self.slots:
            await self._start(slot, time.monotonic_ns() - LONG_AGO, announce=False)
        self.list.begin([self._row(slot.server, "on") for slot in self.slots])
        host, port = self.site.list_at
        if self.use_site_ports:
            listener = (await anyio.create_tcp_listener(local_host=host, local_port=port)).listeners[0]
        else:
            port, listener = await self.ports.listener()
        tasks.start_soon(self.list.run)
        tasks.start_soon(serve, listener, self.list.serve, lambda fault: None)
        return port

    async def _start(self, slot: RackSlot, started_at: int, address: str | None = None, announce: bool = True) -> None:
        """Starts a server on this slot, at a new address or at the given earlier one."""
        host = slot.machine.host if self.use_site_ports else "127.0.0.1"
        port = slot.machine.port if self.use_site_ports else int(address.rpartition(":")[2]) if address else 0
        if port:
            listener = (await anyio.create_tcp_listener(local_host=host, local_port=port)).listeners[0]
        else:
            port, listener = await self.ports.listener()
        server = slot.server = MediaServer(
            slot.machine,
            f"{host}:{port}",
            slot.link,
            self.ladder,
            self.site.obligations,
            started_at,
            Random(self.rng.random()),
            self.traffic,
            self.setup_work,
        )
        server.tidy = self.tidy
        self.tasks.start_soon(self._run_server, slot, server, listener)
        if announce:
            self.list.schedule_change(self._row(server, "on"))

    async def _run_server(self, slot: RackSlot, server: MediaServer, listener) -> None:
        await server.run(listener)
        if server.overloaded.is_set():
            # an overloaded server stays down; the list reports it
            self.list.schedule_change(self._row(server, "off"))

    def _row(self, server: MediaServer, state: str) -> ListRow:
        started = (time.time_ns() - time.monotonic_ns() + server.started_at) // MS
        machine = server.machine
        return ListRow(server.name, state, started, machine.zone, machine.rack, machine.link, machine.streams, machine.shelf)

    # ---- fault injection

    async def schedule_troubles(self, script: Script, run_start: float) -> None:
        """Schedules all troubles of servers and of the list; `run_start` is the start of the run (s, monotonic clock)."""
        for trouble in script.troubles:
            if trouble.kind not in (*OF_FRONTS, *OF_VIEWERS, *PEER_TROUBLES):
                self.tasks.start_soon(self._inject, trouble, run_start, Random(self.fault_rng.random()))

    async def _inject(self, trouble: Trouble, run_start: float, rng: Random) -> None:
        await anyio.sleep(max(0.0, run_start + trouble.at - time.monotonic()))
        affected = self._affected(trouble, rng)
        self.traffic.seen(
            "trouble",
            kind=trouble.kind,
            lasts=trouble.lasts,
            size=trouble.size,
            servers=[slot.server.name for slot in affected],
        )
        await getattr(self, "_" + trouble.kind.replace("-", "_"))(trouble, affected, rng)
        for slot in affected:
            slot.under_fault = False

    def _affected(self, trouble: Trouble, rng: Random) -> list[RackSlot]:
        """Chooses the given part of the servers that no other trouble affects; at least one, if there is any."""
        if trouble.kind in ("list-stuck", "notes-late"):
            return []
        available = [slot for slot in self.slots if not slot.under_fault and not slot.server.scope.cancel_called]
        count = min(len(available), max(1, math.floor(trouble.part * len(self.slots) + 0.5)))
        affected = rng.sample(available, count)
        for slot in affected:
            slot.under_fault = True
        return affected

    async def _restart_after(self, slot: RackSlot, pause: float) -> None:
        """Reports the process as gone to the list, and restarts it cold at the same address after `pause` (s)."""
        old = slot.server
        self.list.schedule_change(self._row(old, "off"))
        await anyio.sleep(pause)
        await self._start(slot, time.monotonic_ns(), old.name)

    async def _crash(self, trouble, affected, rng):
        async with anyio.create_task_group() as tasks:
            for slot in affected:
                slot.server.die()
                tasks.start_soon(self._restart_after, slot, trouble.lasts)

    async def _vanish(self, trouble, affected, rng):
        """Stops answering without a reset; the list reports the process as gone. Connections are reset when it comes back."""

        async def vanish_and_restart(slot):
            slot.server.freeze()
            self.list.schedule_change(self._row(slot.server, "off"))
            await anyio.sleep(trouble.lasts)
            old = slot.server
            old.die()
            await anyio.sleep(0.1)
            await self._start(slot, time.monotonic_ns(), old.name)

        async with anyio.create_task_group() as tasks:
            for slot in affected:
                tasks.start_soon(vanish_and_restart, slot)

    async def _cold_restart(self, trouble, affected, rng):
        """Restarts at once. With probability 0.5 the list reports the new start (late), else it never does."""
        for slot in affected:
            old = slot.server
            old.die()
            await anyio.sleep(0.1)
            await self._start(slot, time.monotonic_ns(), old.name, announce=rng.random() < 0.5)
        await anyio.sleep(trouble.lasts)

    async def _set_during_trouble(self, trouble, affected, name, value, normal):
        for slot in affected:
            setattr(slot.server, name, value)
        await anyio.sleep(trouble.lasts)
        for slot in affected:
            setattr(slot.server, name, normal)

    async def _hang(self, trouble, affected, rng):
        for slot in affected:
            slot.server.freeze()
        await anyio.sleep(trouble.lasts)
        for slot in affected:
            slot.server.unfreeze()

    async def _slow_accept(self, trouble, affected, rng):
        for slot in affected:
            await slot.server.pause_accepting()
        await anyio.sleep(trouble.lasts)
        for slot in affected:
            slot.server.resume_accepting()

    async def _fast_errors(self, trouble, affected, rng):
        await self._set_during_trouble(trouble, affected, "fails_fast", True, False)

    async def _answer_lost(self, trouble, affected, rng):
        for slot in affected:
            slot.server.loses_answers = rng.choice(("silence", "reset"))
        await anyio.sleep(trouble.lasts)
        for slot in affected:
            slot.server.loses_answers = ""

    async def _slow(self, trouble, affected, rng):
        for slot in affected:
            slot.link.shrunk = trouble.size
        await anyio.sleep(trouble.lasts)
        for slot in affected:
            slot.link.shrunk = 1.0

    async def _neighbour(self, trouble, affected, rng):
        ends = time.monotonic() + trouble.lasts
        while time.monotonic() < ends:
            for slot in affected:
                slot.link.taken = trouble.size if rng.random() < 0.6 else 0.0
            await anyio.sleep(RIVAL_PACE)
        for slot in affected:
            slot.link.taken = 0.0

    async def _replace(self, slot: RackSlot, drain_for: float) -> None:
        """Drains the server, stops it when empty or after `drain_for` (s), and starts a cold successor at another address."""
        old = slot.server
        old.draining = True
        self.list.schedule_change(self._row(old, "fading"))
        with anyio.move_on_after(drain_for):
            while old.sessions or old.queued:
                await anyio.sleep(0.1)
        old.die()
        self.list.schedule_change(self._row(old, "off"))
        await anyio.sleep(0.2)
        await self._start(slot, time.monotonic_ns())

    async def _deploy(self, trouble, affected, rng):
        pause = trouble.lasts / max(1, len(affected))
        async with anyio.create_task_group() as tasks:
            for slot in affected:
                tasks.start_soon(self._replace, slot, DRAIN_FOR)
                await anyio.sleep(pause)

    async def _preempt(self, trouble, affected, rng):
        async with anyio.create_task_group() as tasks:
            for slot in affected:
                tasks.start_soon(self._replace, slot, PREEMPT_FOR)
        await anyio.sleep(trouble.lasts)

    async def _list_stuck(self, trouble, affected, rng):
        self.list.stuck = True
        await anyio.sleep(trouble.lasts)
        self.list.stuck = False

    async def _notes_late(self, trouble, affected, rng):
        servers = [slot.server for slot in self.slots]
        for server in servers:
            server.notes_late = trouble.size
        await anyio.sleep(trouble.lasts)
        for server in servers:
            server.notes_late = 0.0
