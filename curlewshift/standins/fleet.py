"""All media servers of a site and their list in one process, and the troubles that befall them.

Racks share uplinks, so that the servers of a rack live in one process. What befalls them is seeded: the same script
and seed choose the same servers at the same times.
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
from curlewshift.standins.script import OF_FRONTS, OF_PEERS, OF_VIEWERS, Script, Trouble
from curlewshift.standins.server import SETUP_WORK, MediaServer
from curlewshift.standins.traffic import Traffic

NS = 1_000_000_000
MS = 1_000_000
# Warm machines have been up for so long (ns).
LONG_AGO = 3600 * NS
# True links are off what the list says by so much.
LINK_OFF = 0.1
# A server told to go that still plays is ended after so long (s); a preempted one gets less.
DRAIN_FOR = 4.0
PREEMPT_FOR = 1.5
# A rival program comes and goes at this pace (s).
RIVAL_PACE = 1.5
# Ports for stand-ins and fronts, below those that outgoing connections are given.
PORTS = range(20_000, 32_000)


class Ports:
    """Loopback ports that can be listened on, beginning at a random one."""

    def __init__(self, rng: Random):
        self.next = rng.choice(PORTS)

    async def listener(self, host: str = "127.0.0.1"):
        for _ in range(500):
            self.next = self.next + 1 if self.next + 1 in PORTS else PORTS.start
            try:
                return self.next, (await anyio.create_tcp_listener(local_host=host, local_port=self.next)).listeners[0]
            except OSError:
                continue
        raise OSError("no loopback port is free")


class Place:
    """A shelf's place in a rack: machines come and go on it, the link stays."""

    def __init__(self, machine: Machine, link: LinkModel):
        self.machine, self.link = machine, link
        self.server: MediaServer | None = None
        self.busy = False


class Fleet:
    def __init__(
        self, site: Site, seed: int, traffic: Traffic, own_ports: bool = False, setup_work: float = SETUP_WORK, tidy: bool = True
    ):
        """`own_ports`: the servers listen where the site says, and not wherever there is a port. `setup_work` (s) is
        what one set-up takes of a core. `tidy`: they end by themselves what is left to them."""
        self.tidy = tidy
        self.setup_work = setup_work
        self.site, self.traffic, self.own_ports = site, traffic, own_ports
        # troubles draw from chance of their own: what befalls whom does not hang on what else was drawn
        self.rng, self.fate = Random(seed), Random(seed + 1)
        self.ports = Ports(Random())
        self.list = ServerList(Random(seed + 2), traffic)
        self.ladder = {package.name: package.rates for package in site.packages}
        self.uplinks = {name: Uplink(size) for name, size in site.uplinks.items()}
        self.places = []
        for machine in site.machines:
            link = LinkModel(machine.link * self.rng.uniform(1 - LINK_OFF, 1 + LINK_OFF), self.uplinks[machine.rack])
            link.uplink.links.append(link)
            self.places.append(Place(machine, link))

    async def start(self, tasks) -> int:
        """Starts all servers, warm, and the list; returns the list's port."""
        self.tasks = tasks
        for place in self.places:
            await self._start(place, time.monotonic_ns() - LONG_AGO, tell=False)
        self.list.begin([self._row(place.server, "on") for place in self.places])
        host, port = self.site.list_at
        if self.own_ports:
            listener = (await anyio.create_tcp_listener(local_host=host, local_port=port)).listeners[0]
        else:
            port, listener = await self.ports.listener()
        tasks.start_soon(self.list.run)
        tasks.start_soon(serve, listener, self.list.serve, lambda fault: None)
        return port

    async def _start(self, place: Place, born: int, address: str | None = None, tell: bool = True) -> None:
        """A machine comes up on this place, at an address of its own or at one it had."""
        host = place.machine.host if self.own_ports else "127.0.0.1"
        port = place.machine.port if self.own_ports else int(address.rpartition(":")[2]) if address else 0
        if port:
            listener = (await anyio.create_tcp_listener(local_host=host, local_port=port)).listeners[0]
        else:
            port, listener = await self.ports.listener()
        server = place.server = MediaServer(
            place.machine,
            f"{host}:{port}",
            place.link,
            self.ladder,
            self.site.obligations,
            born,
            Random(self.rng.random()),
            self.traffic,
            self.setup_work,
        )
        server.tidy = self.tidy
        self.tasks.start_soon(self._live, place, server, listener)
        if tell:
            self.list.knows(self._row(server, "on"))

    async def _live(self, place: Place, server: MediaServer, listener) -> None:
        await server.run(listener)
        if server.fallen.is_set():
            # it stays down, and the list comes to know
            self.list.knows(self._row(server, "off"))

    def _row(self, server: MediaServer, state: str) -> ListRow:
        started = (time.time_ns() - time.monotonic_ns() + server.born) // MS
        machine = server.machine
        return ListRow(server.name, state, started, machine.zone, machine.rack, machine.link, machine.streams, machine.shelf)

    # ---- troubles

    async def play(self, script: Script, begins: float) -> None:
        """All troubles of servers and list, from `begins` (s of the monotonic clock) on."""
        for trouble in script.troubles:
            if trouble.kind not in (*OF_FRONTS, *OF_VIEWERS, *OF_PEERS):
                self.tasks.start_soon(self._befall, trouble, begins, Random(self.fate.random()))

    async def _befall(self, trouble: Trouble, begins: float, rng: Random) -> None:
        await anyio.sleep(max(0.0, begins + trouble.at - time.monotonic()))
        affected = self._affected(trouble, rng)
        self.traffic.seen(
            "trouble",
            kind=trouble.kind,
            lasts=trouble.lasts,
            size=trouble.size,
            servers=[place.server.name for place in affected],
        )
        await getattr(self, "_" + trouble.kind.replace("-", "_"))(trouble, affected, rng)
        for place in affected:
            place.busy = False

    def _affected(self, trouble: Trouble, rng: Random) -> list[Place]:
        """A part of the servers that nothing else has befallen; at least one, if there is one."""
        if trouble.kind in ("list-stuck", "notes-late"):
            return []
        able = [place for place in self.places if not place.busy and not place.server.scope.cancel_called]
        count = min(len(able), max(1, math.floor(trouble.part * len(self.places) + 0.5)))
        affected = rng.sample(able, count)
        for place in affected:
            place.busy = True
        return affected

    async def _gone_and_back(self, place: Place, pause: float) -> None:
        """The list comes to know that the process is gone; it is started again where it was, and comes up cold."""
        old = place.server
        self.list.knows(self._row(old, "off"))
        await anyio.sleep(pause)
        await self._start(place, time.monotonic_ns(), old.name)

    async def _crash(self, trouble, affected, rng):
        async with anyio.create_task_group() as tasks:
            for place in affected:
                place.server.die()
                tasks.start_soon(self._gone_and_back, place, trouble.lasts)

    async def _vanish(self, trouble, affected, rng):
        """No reset and no answer; the list knows that the process is gone. What is left is reset when it comes back."""

        async def one(place):
            place.server.freeze()
            self.list.knows(self._row(place.server, "off"))
            await anyio.sleep(trouble.lasts)
            old = place.server
            old.die()
            await anyio.sleep(0.1)
            await self._start(place, time.monotonic_ns(), old.name)

        async with anyio.create_task_group() as tasks:
            for place in affected:
                tasks.start_soon(one, place)

    async def _cold_restart(self, trouble, affected, rng):
        """Down and up again at once: whether the list tells the new start, late, is a matter of luck."""
        for place in affected:
            old = place.server
            old.die()
            await anyio.sleep(0.1)
            await self._start(place, time.monotonic_ns(), old.name, tell=rng.random() < 0.5)
        await anyio.sleep(trouble.lasts)

    async def _for_a_while(self, trouble, affected, name, value, rest):
        for place in affected:
            setattr(place.server, name, value)
        await anyio.sleep(trouble.lasts)
        for place in affected:
            setattr(place.server, name, rest)

    async def _hang(self, trouble, affected, rng):
        for place in affected:
            place.server.freeze()
        await anyio.sleep(trouble.lasts)
        for place in affected:
            place.server.unfreeze()

    async def _slow_accept(self, trouble, affected, rng):
        for place in affected:
            await place.server.accept_late()
        await anyio.sleep(trouble.lasts)
        for place in affected:
            place.server.accept_again()

    async def _fast_errors(self, trouble, affected, rng):
        await self._for_a_while(trouble, affected, "fails_fast", True, False)

    async def _answer_lost(self, trouble, affected, rng):
        for place in affected:
            place.server.loses_answers = rng.choice(("silence", "reset"))
        await anyio.sleep(trouble.lasts)
        for place in affected:
            place.server.loses_answers = ""

    async def _slow(self, trouble, affected, rng):
        for place in affected:
            place.link.shrunk = trouble.size
        await anyio.sleep(trouble.lasts)
        for place in affected:
            place.link.shrunk = 1.0

    async def _neighbour(self, trouble, affected, rng):
        ends = time.monotonic() + trouble.lasts
        while time.monotonic() < ends:
            for place in affected:
                place.link.taken = trouble.size if rng.random() < 0.6 else 0.0
            await anyio.sleep(RIVAL_PACE)
        for place in affected:
            place.link.taken = 0.0

    async def _replace(self, place: Place, drain_for: float) -> None:
        """Told to drain, ended when empty or when its time is over; a successor comes cold at another address."""
        old = place.server
        old.draining = True
        self.list.knows(self._row(old, "fading"))
        with anyio.move_on_after(drain_for):
            while old.sessions or old.queued:
                await anyio.sleep(0.1)
        old.die()
        self.list.knows(self._row(old, "off"))
        await anyio.sleep(0.2)
        await self._start(place, time.monotonic_ns())

    async def _deploy(self, trouble, affected, rng):
        pause = trouble.lasts / max(1, len(affected))
        async with anyio.create_task_group() as tasks:
            for place in affected:
                tasks.start_soon(self._replace, place, DRAIN_FOR)
                await anyio.sleep(pause)

    async def _preempt(self, trouble, affected, rng):
        async with anyio.create_task_group() as tasks:
            for place in affected:
                tasks.start_soon(self._replace, place, PREEMPT_FOR)
        await anyio.sleep(trouble.lasts)

    async def _list_stuck(self, trouble, affected, rng):
        self.list.stuck = True
        await anyio.sleep(trouble.lasts)
        self.list.stuck = False

    async def _notes_late(self, trouble, affected, rng):
        servers = [place.server for place in self.places]
        for server in servers:
            server.notes_late = trouble.size
        await anyio.sleep(trouble.lasts)
        for server in servers:
            server.notes_late = 0.0
