"""Runs one trial: real node processes, the plan's faults, and media servers, discovery and clients simulated in this process.

All connections are on loopback and the duration is set by the plan. Called by run.py, in a process of its own for each seed.
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
from curlewshift.soak.discovery import DRAINING, GONE, READY, Change, Discovery, DiscoveryEndpoint
from curlewshift.soak.media import MediaServer, encode_list_record
from curlewshift.soak.plan import CLIENT_FAULTS, DISCOVERY_FAULTS, LIST_FAULTS, NODE_FAULTS, Fault, Plan
from curlewshift.soak.processes import NodeProcess
from curlewshift.soak.proxy import Proxy, Shape
from curlewshift.soak.records import AppliedFault, Listed, Outage, Records
from curlewshift.soak.traffic import ClientTrafficRecorder, ServerTrafficRecorder

# The field of a media server's `Behaviour` that each kind of fault sets while it is active.
BEHAVIOURS = {
    "hang": "hangs",
    "lost-answers": "loses_answers",
    "close-after-accept": "closes_after_accept",
    "close-after-first-byte": "closes_after_first_byte",
    "spoilt": "corrupts_answers",
    "doubled": "duplicates_answers",
    "single-bytes": "single_bytes",
    "refusals": "refuses",
    "errors": "fails",
    "slow": "slow",
    "late-answers": "slow",
}
ACCEPT_DELAY_S = (0.1, 1.0)
DRAIN_DURATION_S = 3.0
# The trial continues for this long after the clients have sent their last new requests.
SETTLE_S = 3.0
LOOP_SAMPLE_INTERVAL_S = 0.02
# Upper bound of the random delay between the invalid configuration and the valid one.
MAX_RECONFIGURE_DELAY_S = 0.3


class Slot:
    """One address of the server list, and the media server that currently has it."""

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
        self.discovery_endpoints: dict[str, DiscoveryEndpoint] = {}
        self.proxies: dict[tuple[str, int], Proxy] = {}
        self.server_recorders: list[ServerTrafficRecorder] = []
        # by local port of a proxy's connection to a media server: the node, and the number of the connection
        self.origins: dict[int, tuple[str, int]] = {}
        self.servers: dict[str, tuple[Slot, MediaServer]] = {}
        self.server_count = 0

    async def run(self) -> Records:
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            try:
                await self._start()
                await self._run_plan()
            finally:
                for node in self.nodes.values():
                    node.kill()
                    node.record_faults()
                tasks.cancel_scope.cancel()
        for recorder in self.server_recorders:
            recorder.finish()
        self.records.rungs = [rung for recorder in self.server_recorders for rung in recorder.rungs]
        return self.records

    # ---- start of the deployment

    async def _start(self) -> None:
        self.discovery = Discovery(self._encode_change)
        for slot in self.slots:
            self._start_server(slot, started_at_ms=0)
        ports = free_ports(self.plan.nodes, Random(time.time_ns()))
        for number, (name, port) in enumerate(zip(self.names, ports)):
            self._open_proxies(name, port)
            self._write_configuration(number, name, port)
            self.nodes[name] = NodeProcess(
                name, port, self._configuration_path(name), self.folder / f"{name}.log", self.records, self.plant
            )
        self.records.began_at = anyio.current_time()
        async with anyio.create_task_group() as starts:
            for node in self.nodes.values():
                starts.start_soon(node.start)
                self.tasks.start_soon(node.watch)

    def _open_proxies(self, name: str, port: int) -> None:
        for slot in self.slots:
            recorder = ServerTrafficRecorder(name, lambda slot=slot: slot.server.name, self.records)
            self.server_recorders.append(recorder)
            proxy = self.proxies[name, slot.number] = Proxy(
                lambda slot=slot: ("127.0.0.1", slot.port),
                self._draw_shape,
                recorder.observe,
                watches_source=True,
                connected=lambda link, name=name: self._connected(name, link),
            )
            proxy.open()
            self.tasks.start_soon(proxy.run, self.tasks)
        recorder = ClientTrafficRecorder(name, self.records, self.plan.cells)
        proxy = Proxy(
            lambda: ("127.0.0.1", port),
            observe=recorder.observe,
            watches_source=False,
            connected=lambda link: recorder.connected(link, anyio.current_time()),
        )
        self.clients[name] = Clients(proxy.open(), self.plan, Random(self.rng.random()))
        self.tasks.start_soon(proxy.run, self.tasks)
        self.discovery_endpoints[name] = endpoint = DiscoveryEndpoint(self.discovery, name)
        self.tasks.start_soon(endpoint.run, self.tasks)

    def _connected(self, name: str, link) -> None:
        self.origins[link.target.getsockname()[1]] = (name, link.number)

    def _draw_shape(self, number: int) -> Shape:
        return Shape(delay_out_s=self.rng.uniform(0, self.plan.skew_s), delay_back_s=self.rng.uniform(0, self.plan.skew_s))

    def _start_server(self, slot: Slot, started_at_ms: int) -> None:
        self.server_count += 1
        name = f"s-{self.server_count:08x}"
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

    def _encode_change(self, node: str, change: Change) -> bytes:
        slot, server = self.servers[change.server]
        return encode_list_record(
            server.name, self.proxies[node, slot.number].port, change.state, server.cell, server.started_at_ms
        )

    def _configuration_path(self, name: str) -> Path:
        return self.folder / f"{name}.json"

    def _write_configuration(self, number: int, name: str, port: int) -> None:
        configuration = dict(
            name=name,
            listen=f"127.0.0.1:{port}",
            seed=f"{self.plan.seed * 64 + number:x}",
            limits=dict(sockets=self.plan.descriptors),
            bulletin=f"127.0.0.1:{self.discovery_endpoints[name].port}",
            settings=self.plan.settings(number),
            known=dict(no=self.discovery.number, items=[self._full_list(name)]),
        )
        self._configuration_path(name).write_text(json.dumps(configuration))

    def _full_list(self, name: str) -> dict:
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

    # ---- clients and faults

    async def _run_plan(self) -> None:
        began_at_s = anyio.current_time()
        self.records.began_at = began_at_s
        self.tasks.start_soon(self._measure_loop_lag)
        for clients in self.clients.values():
            self.tasks.start_soon(clients.run, self.tasks, began_at_s + self.plan.seconds)
        for fault in self.plan.faults:
            self.tasks.start_soon(self._run_fault, fault, began_at_s)
        await anyio.sleep_until(began_at_s + self.plan.seconds + SETTLE_S)

    async def _measure_loop_lag(self) -> None:
        while True:
            due = anyio.current_time() + LOOP_SAMPLE_INTERVAL_S
            await anyio.sleep_until(due)
            self.records.loop_late_s = max(self.records.loop_late_s, anyio.current_time() - due)

    async def _run_fault(self, fault: Fault, began_at_s: float) -> None:
        await anyio.sleep_until(began_at_s + fault.at_s)
        async with anyio.create_task_group() as tasks:
            for place in fault.places:
                tasks.start_soon(self._apply_fault, fault, place)

    async def _apply_fault(self, fault: Fault, place: int) -> None:
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
        self.records.faults.append(AppliedFault(at, anyio.current_time(), fault.kind, target))

    async def _disturb_discovery(self, fault: Fault, name: str) -> None:
        endpoint, since = self.discovery_endpoints[name], anyio.current_time()
        if endpoint.fault or endpoint.moved:
            return
        endpoint.begin_fault(fault.kind.removeprefix("discovery-"))
        await anyio.sleep(fault.lasts_s)
        endpoint.end_fault()
        self.records.outages.append(Outage(since, anyio.current_time(), f"{name} {fault.kind}"))

    async def _restart(self, fault: Fault, place: int) -> None:
        node = self.nodes[self.names[place]]
        if not node.running or node.life.ready_at is None:
            return
        if fault.kind == "kill":
            node.signal(signal.SIGKILL)
        else:
            if fault.kind == "shutdown-with-hup":
                node.signal(signal.SIGHUP)
            node.signal(signal.SIGTERM)
            with anyio.move_on_after(self.plan.kill_after_s):
                await node.wait_ended()
            node.signal(signal.SIGKILL)
        await node.wait_ended()
        self._write_configuration(place, node.name, node.port)
        await node.start()

    async def _reconfigure(self, place: int) -> None:
        """Replaces the configuration by an invalid one and shortly after by a valid one with a new discovery address; the old
        address closes."""
        node, old = self.nodes[self.names[place]], self.discovery_endpoints[self.names[place]]
        if (
            not node.running
            or node.life.ready_at is None
            or old.fault
            or old.moved
            or anyio.current_time() < node.life.ready_at + 1
        ):
            return
        since = anyio.current_time()
        new = self.discovery_endpoints[node.name] = DiscoveryEndpoint(self.discovery, node.name)
        self.tasks.start_soon(new.run, self.tasks)
        self._configuration_path(node.name).write_text("{ no configuration")
        node.signal(signal.SIGHUP)
        await anyio.sleep(self.rng.uniform(0, MAX_RECONFIGURE_DELAY_S))
        self._write_configuration(place, node.name, node.port)
        node.signal(signal.SIGHUP)
        await old.move_away()
        self.records.outages.append(Outage(since, anyio.current_time(), f"{node.name} reconfigure"))

    async def _change_list(self, fault: Fault, slot: Slot) -> None:
        old = slot.server
        if slot.state != READY or sum(other.state == READY for other in self.slots) <= max(2, len(self.slots) // 2):
            return
        self._publish(slot, DRAINING)
        await anyio.sleep(DRAIN_DURATION_S if fault.kind == "drain" else 0.0)
        self._publish(slot, GONE)
        old.terminate()
        await anyio.sleep(0.0 if fault.kind == "replace" else fault.lasts_s)
        self._start_server(slot, started_at_ms=int(time.time() * 1000))
        self._publish(slot, READY)

    def _publish(self, slot: Slot, state: int) -> None:
        slot.state = state
        change = self.discovery.publish(slot.server.name, state)
        state_name = {READY: "ready", DRAINING: "draining", GONE: "gone"}[state]
        self.records.listed.append(
            Listed(change.number, slot.server.name, state_name, anyio.current_time(), slot.server.started_at_ms / 1000)
        )

    async def _disturb_server(self, fault: Fault, slot: Slot) -> None:
        server = slot.server
        proxies = [self.proxies[name, slot.number] for name in self.names]
        if fault.kind == "reset":
            for proxy in proxies:
                proxy.reset_all()
        elif fault.kind == "accept-late":
            server.set_behaviour(accepts_late_s=self.rng.uniform(*ACCEPT_DELAY_S))
            await anyio.sleep(fault.lasts_s)
            server.set_behaviour(accepts_late_s=0.0)
        elif fault.kind in ("cut", "lost-requests"):
            for proxy in proxies:
                proxy.lose_outbound, proxy.lose_inbound = True, fault.kind == "cut"
            await anyio.sleep(fault.lasts_s)
            for proxy in proxies:
                proxy.lose_outbound = proxy.lose_inbound = False
        else:
            server.set_behaviour(**{BEHAVIOURS[fault.kind]: True})
            await anyio.sleep(fault.lasts_s)
            server.set_behaviour(**{BEHAVIOURS[fault.kind]: False})
