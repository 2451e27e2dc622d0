"""Plan of a scale run: nodes with their places, the load model and faults, and the limits on the machine's resources.

Made by commands/scale.py, written into the run's folder, and read there by each process of it.
"""

from __future__ import annotations

import os
import resource
import socket
from pathlib import Path
from random import Random

import msgspec

FAULTS = ("zone-lost", "regions-apart", "restart-some", "kill-control")
PARTS = ("membership", "sharing", "leases", "distribution")
# Number of control machines, and of fronts that are acceptors of the fronts' own leases (odd, for a majority).
CONTROL, KEEPERS = 4, 3
MAX_PROCESSES = 200
# UDP ports of nodes: above those of fault injection runs (12,000 to 20,000) and below the ephemeral ports.
UDP_PORTS = range(20_000, 32_000)
# Memory estimates (kB) for the check before the start: by process of hollow nodes, relay and front; by node, by member that a
# node knows and by server that it shares. From a run of 70 nodes, rounded up; the run reports what it used.
A_PROCESS, A_RELAY, A_FRONT, A_NODE, A_MEMBER, A_SERVER = 70_000, 60_000, 120_000, 150, 1.2, 2.5
# File descriptors of a process beyond one per node.
EXTRA_DESCRIPTORS = 64


class InsufficientResources(Exception):
    """The run does not fit this machine; the message is one line."""


class Load(msgspec.Struct, frozen=True):
    """Load of the hollow nodes. Each of `sharing` nodes has viewings on randomly chosen links, whose use varies a little from
    round to round; `leasing` nodes request leases. The others are members only. `rate` in kB/s per viewing, `rack` in servers."""

    servers: int = 2000
    links: int = 40
    viewings: int = 400
    rate: float = 70.0
    sharing: int = 0
    leasing: int = 0
    rack: int = 20


class Place(msgspec.Struct):
    """One node. `kind`: hollow, real, control; `process` is the number of its process of hollow nodes, -1 for a real node."""

    name: str
    kind: str
    region: str
    zone: str
    listen: int
    process: int = -1
    shares: bool = False
    leases: bool = False
    reach: int = 0


class Plan(msgspec.Struct):
    """Times in s. `late`: latency of a datagram between zones and between regions; `period`: probe period."""

    nodes: int
    real: int
    processes: int
    relays: int
    regions: int
    zones: int
    seconds: float
    seed: int
    loss: float
    parts: list[str]
    faults: list[str]
    load: Load
    places: list[Place] = []
    # UDP ports of the fronts that know no hollow node
    apart: list[int] = []
    late: tuple[float, float] = (0.001, 0.03)
    period: float = 1.0
    # configuration changes: number without loss and again with loss, then number and interval (s) of those at the end
    in_a_row: int = 3
    changes: int = 0
    change_every: float = 3.0
    spoil: str = ""

    def check(self) -> None:
        """Raises `InsufficientResources`."""
        if not 1 <= self.regions <= self.zones <= self.nodes:
            raise InsufficientResources(
                f"{self.nodes} nodes in {self.zones} zones of {self.regions} regions: each region has a zone, and each "
                "zone a node"
            )
        if self.real > self.nodes - self.processes:
            raise InsufficientResources(
                f"{self.nodes} nodes, {self.real} of them real, leave less than one hollow node for each of "
                f"{self.processes} processes"
            )
        if 0 < self.load.leasing <= KEEPERS:
            raise InsufficientResources(
                f"{self.load.leasing} nodes with leases are too few for {KEEPERS} keepers and one that asks alone"
            )
        if self.load.links > self.load.servers:
            raise InsufficientResources(f"links played on are {self.load.links} of {self.load.servers}")
        # of hollow nodes, one of them alone; relays; fronts in the fleet and outside it; servers with their list
        processes = self.processes + 1 + self.relays + 2 * self.real + 1 + 1
        if processes > MAX_PROCESSES:
            raise InsufficientResources(f"{processes} processes are needed, and {MAX_PROCESSES} are allowed")
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        a_process = -(-(self.nodes + CONTROL) // min(self.processes, self.relays)) + EXTRA_DESCRIPTORS
        if a_process > max_descriptors:
            raise InsufficientResources(
                f"{a_process} descriptors are needed in a process, and {max_descriptors} are allowed: more processes would do"
            )
        if 2 * (self.nodes + CONTROL) > len(UDP_PORTS):
            raise InsufficientResources(
                f"{self.nodes} nodes need more ports than there are from {UDP_PORTS.start} to {UDP_PORTS.stop}"
            )
        need, half, free = self.memory(), *machine_memory()
        if need > half:
            raise InsufficientResources(
                f"some {need / 2**20:.1f} GiB are needed, and half of this machine's memory is {half / 2**20:.1f} GiB"
            )
        if need > free:
            raise InsufficientResources(f"some {need / 2**20:.1f} GiB are needed, and {free / 2**20:.1f} GiB are free now")

    def memory(self) -> float:
        """Expected memory of the run (kB)."""
        hollow = self.nodes + CONTROL - self.real
        return (
            (self.processes + 2) * A_PROCESS
            + self.relays * A_RELAY
            + 2 * self.real * A_FRONT
            + hollow * (A_NODE + A_MEMBER * self.nodes)
            + self.load.sharing * self.load.servers * A_SERVER
        )

    def lay_out(self) -> None:
        """Assigns zones and free ports to nodes: real nodes to the zones in turn, control machines to the regions in turn."""
        rng = Random(f"{self.seed} places")
        ports = free_udp_ports(self.nodes + CONTROL + self.real)
        self.apart = [ports.pop() for _ in range(self.real)]
        zone_of = [number * self.zones // self.nodes for number in range(self.nodes)]
        real = set()
        for turn in range(self.real):
            of_zone = [number for number in range(self.nodes) if zone_of[number] == turn % self.zones and number not in real]
            real.add(of_zone[0] if of_zone else next(number for number in range(self.nodes) if number not in real))
        self.places = [
            Place(f"n{number:04}", "real" if number in real else "hollow", *self._labels(zone_of[number]), ports.pop())
            for number in range(self.nodes)
        ]
        # control machines come last, so that the numbers of sharing fronts do not depend on them
        self.places += [
            Place(f"c{number}", "control", *self._labels(number * self.zones // CONTROL), ports.pop(), 0)
            for number in range(CONTROL)
        ]
        hollow = [place for place in self.places if place.kind == "hollow"]
        # process 0: control machines; process 1: one node alone; the other nodes are spread over the rest in turn
        for number, place in enumerate(hollow):
            place.process = 1 if number == 0 else 2 + (number - 1) % self.processes
        drawn = [hollow[0], *rng.sample(hollow[1:], len(hollow) - 1)]
        for place in drawn[: self.load.sharing]:
            place.shares = True
        for place in drawn[: self.load.leasing]:
            place.leases = True

    def _labels(self, zone: int) -> tuple[str, str]:
        return f"r{zone * self.regions // self.zones}", f"z{zone}"

    def named(self, *kinds: str) -> list[Place]:
        return [place for place in self.places if place.kind in kinds]


def machine_memory() -> tuple[float, float]:
    """Half of the machine's memory, and the memory available now (kB)."""
    fields = dict(line.split(":", 1) for line in Path("/proc/meminfo").read_text().splitlines())
    return int(fields["MemTotal"].split()[0]) / 2, int(fields["MemAvailable"].split()[0])


def free_udp_ports(count: int) -> list[int]:
    """Loopback UDP ports that are free now. Raises `OSError` if there are fewer than `count`."""
    held: list[socket.socket] = []
    start = Random(os.getpid()).randrange(len(UDP_PORTS))
    try:
        for step in range(len(UDP_PORTS)):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind(("127.0.0.1", UDP_PORTS[(start + step) % len(UDP_PORTS)]))
            except OSError:
                sock.close()
                continue
            held.append(sock)
            if len(held) == count:
                return [sock.getsockname()[1] for sock in held]
        raise OSError(f"{count} UDP ports are needed, and {len(held)} are free")
    finally:
        for sock in held:
            sock.close()


def read_plan(folder: Path) -> Plan:
    return msgspec.json.decode((folder / "plan.json").read_bytes(), type=Plan)


def write_plan(folder: Path, plan: Plan) -> None:
    (folder / "plan.json").write_bytes(msgspec.json.encode(plan))
