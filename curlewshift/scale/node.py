"""One hollow node: the protocol objects of a front on a socket of their own, without listener and session core.

Created by scale/hollow.py. Input that the session core would give comes from the load model, and results are written to the
model's servers. Log lines are counted and not written.
"""

from __future__ import annotations

import time
from random import Random
from types import SimpleNamespace

import anyio

from curlewshift.control.machine import MachineLeases
from curlewshift.distribution.terms import DistributionTerms
from curlewshift.model import Link, Rack, Server
from curlewshift.peering.distributed import DistributionProtocol
from curlewshift.peering.leased import LeaseTaskProtocol
from curlewshift.peering.shared import SharingProtocol
from curlewshift.peering.wire import PeerSocket
from curlewshift.scale.figures import subsystem_of
from curlewshift.scale.meter import Meter
from curlewshift.scale.plan import Load, Place, Plan
from curlewshift.schedule.clock import Clock
from curlewshift.site.site import ListenAddress, Site

NS = 1_000_000_000
# Relative variation of a node's use of a link from round to round.
USE_VARIATION = 0.1
PARTS = {"shared": "sharing", "leased": "leases", "distributed": "distribution"}


class CountedLog:
    """Counts lines and keeps the first errors, which are reported nowhere else."""

    def __init__(self):
        self.lines, self.errors = 0, []

    def info(self, event: str, **facts) -> None:
        self.lines += 1

    warning = info

    def error(self, event: str, **facts) -> None:
        self.lines += 1
        if len(self.errors) < 5:
            self.errors.append(f"{event}: {facts.get('what', '')} {facts.get('cause', '')}")


class CountedWire(PeerSocket):
    """A `PeerSocket` that counts its datagrams with the node's meter."""

    meter: Meter

    def post(self, address: tuple[str, int], data: bytes) -> None:
        self.meter.sent(len(data))
        super().post(address, data)


class NonReadingWire(CountedWire):
    """Planted fault: sends requests and reads no datagrams."""

    async def _read(self) -> None:
        await anyio.sleep_forever()


class UnderreportingMeter(Meter):
    """Planted fault: counts half of the bytes sent."""

    def sent(self, size: int) -> None:
        super().sent(size // 2)


class HollowSessionCore:
    """The part of a session core that sharing and leases use. Servers are in racks; the node plays on some of their links."""

    def __init__(self, load: Load, rng: Random, now):
        self.load, self.rng, self.now = load, rng, now
        hash_rng = Random("marks")
        racks = [Rack(number, Link(1e6), name=f"rack-{number}") for number in range(-(-load.servers // load.rack))]
        self.servers = [
            Server(
                f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8100", hash_rng.getrandbits(32), "", 40, racks[n // load.rack], Link(1e5)
            )
            for n in range(load.servers)
        ]
        self.played = rng.sample(self.servers, load.links)
        self.mean_use = load.viewings * load.rate / max(1, load.links)
        self.rules = SimpleNamespace(
            servers=self.servers, rights_of=lambda server: 3, further_wanted_at=0, seat_wanted_at={}, seats={}
        )
        self.packages: dict = {}
        self.ignored_calls = 0

    def play_round(self) -> None:
        """One round of the load: the servers played on count as heard from, and the use of their links varies."""
        for server in self.played:
            server.rack.link.own -= server.link.own
            server.link.own = self.mean_use * self.rng.uniform(1 - USE_VARIATION, 1 + USE_VARIATION)
            server.rack.link.own += server.link.own
            server.last_seen_at = self.now()

    def share_rights(self) -> None:
        pass

    def rights_held(self, server: Server, rights: list) -> None:
        server.rights = rights

    def doubted(self, server: Server, doubted: bool) -> None:
        server.doubted = doubted

    def counted(self, server: Server, use: float, age: int) -> None:
        server.link.counted = use

    def uplink_counted(self, server: Server, use: float, age: int) -> None:
        server.rack.link.counted = use

    def ignore(self, *arguments) -> None:
        self.ignored_calls += 1

    link_reported = seen_warm = further_held = seats_held = seats_over = planned = ignore


class HollowNode:
    """A node over its lives (a restart is a new life). Raises `OSError` if its socket cannot be bound."""

    def __init__(self, plan: Plan, site: Site, place: Place):
        self.plan, self.site, self.place = plan, site, place
        machines = {machine.name: machine for machine in site.control.machines}
        machine = machines.get(place.name)
        self.door = (
            site.front_addresses[site.front_index(place.name)]
            if machine is None
            else ListenAddress(machine.name, "", 0, machine.peers_listen, machine.peers_reach)
        )
        self.stores = list(machines)
        self.places = {other.name: (other.region, other.zone) for other in plan.places}
        self.clock, self.log = Clock(), CountedLog()
        # data that a disk would keep over its lives, and (version, time) of each configuration applied here
        self.disk: dict[str, bytes] = {}
        self.taken: list[tuple[str, float]] = []
        self.rng = Random(f"{plan.seed} {place.name}")
        self.meter = UnderreportingMeter() if f"lies={place.name}" in plan.spoil.split() else Meter()
        self.scope: anyio.CancelScope | None = None
        self.lives = 0
        self._make()

    def _make(self) -> None:
        wire = NonReadingWire if f"deaf={self.place.name}" in self.plan.spoil.split() else CountedWire
        self.wire = wire(self.site.name, self.door, self.site.peers, self.clock, self.log, Random(self.rng.random()))
        channel, metered = self.wire.channel, self.meter.metered
        self.wire.meter = self.meter
        self.parts: dict[str, object] = {"membership": channel}
        self.session_core = HollowSessionCore(
            self.plan.load if self.place.shares else Load(0, 0, 0), Random(self.rng.random()), self.clock.now
        )
        self.shared = self.leased = self.distributed = None
        order, rng = [address.name for address in self.site.front_addresses], Random(self.rng.random())
        if self.place.shares:
            self.shared = SharingProtocol(
                channel,
                self.session_core,
                order,
                order.index(self.place.name),
                self.site.sharing,
                self.site.together,
                self.site.obligations.warm_within,
                self.clock.now,
                self.log,
                rng,
            )
            self.share = metered("sharing", self.shared.sharing.time)
            self.shared.sharing.time = self._round
        if self.place.kind == "control":
            self.leased = MachineLeases(
                channel,
                self.clock,
                self.stores,
                self.stores.index(self.place.name),
                self.stores,
                self.site.control.terms,
                self.log,
                rng,
            )
            self.fence = self.leased.fence
        elif self.place.leases:
            wants = self.site.leases
            self.leased = LeaseTaskProtocol(
                channel,
                self,
                order,
                order.index(self.place.name),
                wants.keepers,
                wants.terms,
                wants.shards,
                wants.probe_each,
                self.log,
                rng,
                wants.tasks,
                wants.orphans_after,
            )
        if self.leased is not None:
            # a control machine's leases have a timer of their own, a front's are timed by its lease tasks
            rounds = self.leased if self.place.kind == "control" else self.leased.tasks
            for owner, name in ((rounds, "time"), (self.leased.acceptor, "time"), (self.leased, "_deliver_local")):
                if owner is not None:
                    setattr(owner, name, metered("leases", getattr(owner, name)))
        if "distribution" in self.plan.parts:
            terms = DistributionTerms(tuple(self.stores), self.site.configuration.give_bytes)
            self.distributed = DistributionProtocol(
                channel,
                self,
                self.place.name,
                self.places,
                terms,
                self.fence,
                self.clock,
                self.log,
                rng,
                self.disk.get("copy"),
                self.disk.get("vote"),
            )
            self.distributed.time = metered("distribution", self.distributed.time)
        for name in ("shared", "leased", "distributed"):
            if getattr(self, name) is not None:
                self.parts[PARTS[name]] = getattr(self, name)
        for kind, handler in channel.handlers.items():
            channel.handlers[kind] = metered(subsystem_of(kind), handler)
        channel.received = metered("membership", channel.received)
        channel.time = metered("membership", channel.time)
        channel.start = metered("membership", channel.start)

    def _round(self) -> None:
        self.session_core.play_round()
        self.share()

    async def run(self) -> None:
        """One life, until `stop` ends it without sending anything, as a kill does."""
        if self.lives:
            self._make()
        self.lives += 1
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.wire.run)
                for part in (self.shared, self.leased, self.distributed):
                    if part is not None:
                        tasks.start_soon(part.run)
                if self.distributed is not None and not self.disk.get("copy") and self.lives > 1:
                    tasks.start_soon(self.distributed.start_from_peers, self.site.configuration.start_within / NS)
        self.scope = None

    def fence(self) -> int:
        """Fence of a node without a lease; on control machines the lease's fence replaces it."""
        return 0

    # ---- host of distribution: applies configurations at once

    def check_configuration(self, content: bytes) -> str | None:
        return None

    def apply_configuration(self, version: str, content: bytes) -> str | None:
        self.taken.append((version, time.monotonic()))
        return None

    def store_configuration(self, data: bytes) -> None:
        self.disk["copy"] = data

    def store_vote(self, data: bytes) -> None:
        self.disk["vote"] = data

    def stop(self) -> None:
        if self.scope is not None:
            self.scope.cancel()

    # ---- interface that lease tasks use of a front besides its session core; requests to servers are left out

    @property
    def server_pool(self) -> HollowNode:
        return self

    def probe(self, server, mark: str, found) -> None:
        pass

    def end_orphans(self, server, away: int, mark: str) -> None:
        pass
