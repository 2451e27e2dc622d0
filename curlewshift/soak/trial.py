"""One trial: real node processes between media servers, a server list and clients of this process, with the plan's faults.

Everything is on loopback and bounded by the plan's seconds. Called by run.py, in a process of its own for each seed.
"""

from __future__ import annotations

import json
import signal
import time
from pathlib import Path
from random import Random

import anyio

from curlewshift.fault_injection.processes import free_ports
from curlewshift.soak.clients import Clients
from curlewshift.soak.discovery import DRAINING, GONE, READY, Address, Change, Discovery
from curlewshift.soak.legs import ClientLeg, ServerLeg
from curlewshift.soak.media import MediaServer, record_of_list
from curlewshift.soak.plan import CLIENT_FAULTS, DISCOVERY_FAULTS, LIST_FAULTS, NODE_FAULTS, Fault, Plan
from curlewshift.soak.processes import NodeProcess
from curlewshift.soak.proxy import Proxy, Shape
from curlewshift.soak.records import FaultPlayed, Listed, Outage, Records

# What a fault makes of a media server's behaviour while it lasts.
BEHAVIOURS = {
    "hang": "hangs",
    "lost-answers": "loses_answers",
    "close-after-accept": "closes_after_accept",
    "close-after-first-byte": "closes_after_first_byte",
    "spoilt": "spoils",
    "doubled": "doubles",
    "single-bytes": "single_bytes",
    "refusals": "refuses",
    "errors": "errs",
    "slow": "slow",
    "late-answers": "slow",
}
ACCEPTS_LATE_S = (0.1, 1.0)
DRAINS_FOR_S = 3.0
RUN_OUT_S = 3.0
LOOP_LOOK_S = 0.02
# A new configuration follows the one before within this.
RECONFIGURED_WITHIN_S = 0.3


class Slot:
    """One address of the list, and the media server that stands there now."""

    def __init__(self, number: int):
        self.number, self.server, self.port, self.state = number, None, 0, READY


class Trial:
    def __init__(self, plan: Plan, folder: Path, plant: str = ""):
        self.plan, self.folder, self.plant = plan, folder, plant
        self.rng = Random(f"trial {plan.seed}")
        self.records = Records()
        self.slots = [Slot(number) for number in range(plan.slots)]
        self.names = [f"n{number}" for number in range(plan.nodes)]
        self.nodes: dict[str, NodeProcess] = {}
        self.clients: dict[str, Clients] = {}
        self.addresses: dict[str, Address] = {}
        self.proxies: dict[tuple[str, int], Proxy] = {}
        self.server_legs: list[ServerLeg] = []
        # the node and connection behind a local port of a proxy
        self.origins: dict[int, tuple[str, int]] = {}
        self.servers: dict[str, tuple[Slot, MediaServer]] = {}
        self.servers_made = 0

    async def run(self) -> Records:
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            try:
                await self._set_the_stage()
                await self._play()
            finally:
                for node in self.nodes.values():
                    node.kill()
                    node.note_faults()
                tasks.cancel_scope.cancel()
        for leg in self.server_legs:
            leg.finish()
        self.records.rungs = [rung for leg in self.server_legs for rung in leg.rungs]
        return self.records

    # ---- the stage

    async def _set_the_stage(self) -> None:
        self.discovery = Discovery(self._record)
        for slot in self.slots:
            self._occupy(slot, started_at_ms=0)
        ports = free_ports(self.plan.nodes, Random(time.time_ns()))
        for number, (name, port) in enumerate(zip(self.names, ports)):
            self._lay_legs(name, port)
            self._write_configuration(number, name, port)
            self.nodes[name] = NodeProcess(name, port, self._path(name), self.folder / f"{name}.log", self.records, self.plant)
        self.records.began_at = anyio.current_time()
        async with anyio.create_task_group() as starts:
            for node in self.nodes.values():
                starts.start_soon(node.start)
                self.tasks.start_soon(node.watch)

    def _lay_legs(self, name: str, port: int) -> None:
        for slot in self.slots:
            leg = ServerLeg(name, lambda slot=slot: slot.server.name, self.records)
            self.server_legs.append(leg)
            proxy = self.proxies[name, slot.number] = Proxy(
                lambda slot=slot: ("127.0.0.1", slot.port),
                self._shape,
                leg.observe,
                watches_source=True,
                connected=lambda link, name=name: self._connected(name, link),
            )
            proxy.open()
            self.tasks.start_soon(proxy.run, self.tasks)
        leg = ClientLeg(name, self.records, self.plan.cells)
        proxy = Proxy(
            lambda: ("127.0.0.1", port),
            observe=leg.observe,
            watches_source=False,
            connected=lambda link: leg.connected(link, anyio.current_time()),
        )
        self.clients[name] = Clients(proxy.open(), self.plan, Random(self.rng.random()))
        self.tasks.start_soon(proxy.run, self.tasks)
        self.addresses[name] = address = Address(self.discovery, name)
        self.tasks.start_soon(address.run, self.tasks)

    def _connected(self, name: str, link) -> None:
        self.origins[link.target.getsockname()[1]] = (name, link.number)

    def _shape(self, number: int) -> Shape:
        return Shape(delay_out_s=self.rng.uniform(0, self.plan.skew_s), delay_back_s=self.rng.uniform(0, self.plan.skew_s))

    def _occupy(self, slot: Slot, started_at_ms: int) -> None:
        self.servers_made += 1
        name = f"s-{self.servers_made:08x}"
        server = MediaServer(
            name,
            slot.number % self.plan.cells,
            self.records,
            Random(self.rng.random()),
            lambda port: self.origins.get(port, ("", -1)),
            self.plan.idle_close_ms / 1000,
            self.plan.says_heard,
            started_at_ms,
        )
        slot.server, slot.port, slot.state = server, server.open(), READY
        self.servers[name] = slot, server
        self.records.listed.append(Listed(self.discovery.number, name, "ready", anyio.current_time(), started_at_ms / 1000))
        self.tasks.start_soon(server.run, self.tasks)

    def _record(self, node: str, change: Change) -> bytes:
        slot, server = self.servers[change.server]
        return record_of_list(server.name, self.proxies[node, slot.number].port, change.state, server.cell, server.started_at_ms)

    def _path(self, name: str) -> Path:
        return self.folder / f"{name}.json"

    def _write_configuration(self, number: int, name: str, port: int) -> None:
        told = dict(
            name=name,
            listen=f"127.0.0.1:{port}",
            seed=f"{self.plan.seed * 64 + number:x}",
            limits=dict(sockets=self.plan.descriptors),
            bulletin=f"127.0.0.1:{self.addresses[name].port}",
            settings=self.plan.settings(number),
            known=dict(no=self.discovery.number, items=[self._whole_list(name)]),
        )
        self._path(name).write_text(json.dumps(told))

    def _whole_list(self, name: str) -> dict:
        states = {READY: "active", DRAINING: "leaving"}
        rows = [
            dict(
                id=slot.server.name,
                addr=f"127.0.0.1:{self.proxies[name, slot.number].port}",
                zone="room",
                kind="box",
                cell=slot.server.cell,
                state=states[slot.state],
                weight=1.0,
                started_ms=slot.server.started_at_ms,
            )
            for slot in self.slots
            if slot.state in states
        ]
        return dict(no=self.discovery.number, roster=dict(version=self.discovery.number, full=True, servers=rows))

    # ---- the play

    async def _play(self) -> None:
        begins = anyio.current_time()
        self.records.began_at = begins
        self.tasks.start_soon(self._watch_the_loop)
        for clients in self.clients.values():
            self.tasks.start_soon(clients.run, self.tasks, begins + self.plan.seconds)
        for fault in self.plan.faults:
            self.tasks.start_soon(self._befall, fault, begins)
        await anyio.sleep_until(begins + self.plan.seconds + RUN_OUT_S)

    async def _watch_the_loop(self) -> None:
        while True:
            due = anyio.current_time() + LOOP_LOOK_S
            await anyio.sleep_until(due)
            self.records.loop_late_s = max(self.records.loop_late_s, anyio.current_time() - due)

    async def _befall(self, fault: Fault, begins: float) -> None:
        await anyio.sleep_until(begins + fault.at_s)
        async with anyio.create_task_group() as tasks:
            for place in fault.places:
                tasks.start_soon(self._strike, fault, place)

    async def _strike(self, fault: Fault, place: int) -> None:
        at = anyio.current_time()
        if fault.kind in DISCOVERY_FAULTS:
            await self._disturb_discovery(fault, self.names[place])
        elif fault.kind in CLIENT_FAULTS:
            await self.clients[self.names[place]].misbehave(fault.kind, fault.lasts_s)
        elif fault.kind in ("shutdown", "shutdown-with-hup", "kill"):
            await self._restart(fault, place)
        elif fault.kind == "reconfigure":
            await self._reconfigure(place)
        elif fault.kind in LIST_FAULTS:
            await self._change_list(fault, self.slots[place])
        else:
            await self._disturb_server(fault, self.slots[place])
        target = self.names[place] if fault.kind in NODE_FAULTS else f"address {place}"
        self.records.faults.append(FaultPlayed(at, anyio.current_time(), fault.kind, target))

    async def _disturb_discovery(self, fault: Fault, name: str) -> None:
        address, since = self.addresses[name], anyio.current_time()
        if address.fault or address.moved:
            return
        address.begin(fault.kind.removeprefix("discovery-"))
        await anyio.sleep(fault.lasts_s)
        address.end()
        self.records.outages.append(Outage(since, anyio.current_time(), f"{name} {fault.kind}"))

    async def _restart(self, fault: Fault, place: int) -> None:
        node = self.nodes[self.names[place]]
        if not node.runs or node.life.ready_at is None:
            return
        if fault.kind == "kill":
            node.signal(signal.SIGKILL)
        else:
            if fault.kind == "shutdown-with-hup":
                node.signal(signal.SIGHUP)
            node.signal(signal.SIGTERM)
            with anyio.move_on_after(self.plan.kill_after_s):
                await node.ended()
            node.signal(signal.SIGKILL)
        await node.ended()
        self._write_configuration(place, node.name, node.port)
        await node.start()

    async def _reconfigure(self, place: int) -> None:
        """Three configurations within a second, one of them bad; discovery moves away and back."""
        node, old = self.nodes[self.names[place]], self.addresses[self.names[place]]
        if not node.runs or node.life.ready_at is None or old.fault or old.moved or anyio.current_time() < node.life.ready_at + 1:
            return
        since = anyio.current_time()
        new = self.addresses[node.name] = Address(self.discovery, node.name)
        self.tasks.start_soon(new.run, self.tasks)
        self._path(node.name).write_text("{ no configuration")
        node.signal(signal.SIGHUP)
        await anyio.sleep(self.rng.uniform(0, RECONFIGURED_WITHIN_S))
        self._write_configuration(place, node.name, node.port)
        node.signal(signal.SIGHUP)
        await old.move_away()
        self.records.outages.append(Outage(since, anyio.current_time(), f"{node.name} reconfigure"))

    async def _change_list(self, fault: Fault, slot: Slot) -> None:
        old = slot.server
        if slot.state != READY or sum(one.state == READY for one in self.slots) <= max(2, len(self.slots) // 2):
            return
        self._publish(slot, DRAINING)
        await anyio.sleep(DRAINS_FOR_S if fault.kind == "drain" else 0.0)
        self._publish(slot, GONE)
        old.die()
        await anyio.sleep(0.0 if fault.kind == "replace" else fault.lasts_s)
        self._occupy(slot, started_at_ms=int(time.time() * 1000))
        self._publish(slot, READY)

    def _publish(self, slot: Slot, state: int) -> None:
        slot.state = state
        change = self.discovery.publish(slot.server.name, state)
        word = {READY: "ready", DRAINING: "draining", GONE: "gone"}[state]
        self.records.listed.append(
            Listed(change.number, slot.server.name, word, anyio.current_time(), slot.server.started_at_ms / 1000)
        )

    async def _disturb_server(self, fault: Fault, slot: Slot) -> None:
        server = slot.server
        proxies = [self.proxies[name, slot.number] for name in self.names]
        if fault.kind == "reset":
            for proxy in proxies:
                proxy.break_all()
        elif fault.kind == "accept-late":
            server.behave(accepts_late_s=self.rng.uniform(*ACCEPTS_LATE_S))
            await anyio.sleep(fault.lasts_s)
            server.behave(accepts_late_s=0.0)
        elif fault.kind in ("cut", "lost-requests"):
            for proxy in proxies:
                proxy.lose_out, proxy.lose_back = True, fault.kind == "cut"
            await anyio.sleep(fault.lasts_s)
            for proxy in proxies:
                proxy.lose_out = proxy.lose_back = False
        else:
            server.behave(**{BEHAVIOURS[fault.kind]: True})
            await anyio.sleep(fault.lasts_s)
            server.behave(**{BEHAVIOURS[fault.kind]: False})
