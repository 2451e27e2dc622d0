"""What one scale run is to be: nodes with their places, the load model, faults; and what it may take of the machine.

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
# Machines set aside for control, and how many fronts keep the fronts' own leases (an odd number).
CONTROL, KEEPERS = 4, 3
MOST_PROCESSES = 200
# UDP ports of nodes: beside those of rehearsals (12,000 to 20,000), below those that outgoing connections are given.
UDP_PORTS = range(20_000, 32_000)
# Memory assumed before the start (kB): a process of hollow nodes, of a relay, of a front; a node, a member that it holds,
# a server that it shares. Measured at 70 nodes and rounded up; the run tells what it really took.
A_PROCESS, A_RELAY, A_FRONT, A_NODE, A_MEMBER, A_SERVER = 70_000, 60_000, 120_000, 150, 1.2, 2.5
# Descriptors of a process beyond one a node.
MORE_DESCRIPTORS = 64


class InsufficientResources(Exception):
    """Why the run does not fit this machine, in one line."""


class Load(msgspec.Struct, frozen=True):
    """What drives hollow nodes that share: each plays on links of its own choice and uses them by its viewings, a little more or
    less each round. `sharing` nodes do so and `leasing` ask for leases; the rest are members that do neither."""

    servers: int = 2000
    links: int = 40
    viewings: int = 400
    rate: float = 70.0
    sharing: int = 0
    leasing: int = 0
    rack: int = 20


class Place(msgspec.Struct):
    """One node. `kind`: hollow, real, control; `process` counts the processes of hollow nodes, -1 for a real one."""

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
    """Times in s. `late` is what a datagram takes between zones and between regions; `period` that of probes."""

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
    # UDP ports of fronts that stand apart
    apart: list[int] = []
    late: tuple[float, float] = (0.001, 0.03)
    period: float = 1.0
    # changes of the configuration: without loss and with it, and in the stretch at the end
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
        # hollow ones, one of them alone, relays, fronts of the fleet and apart from it, servers with their list
        processes = self.processes + 1 + self.relays + 2 * self.real + 1 + 1
        if processes > MOST_PROCESSES:
            raise InsufficientResources(f"{processes} processes are needed, and {MOST_PROCESSES} are the most")
        most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        a_process = -(-(self.nodes + CONTROL) // min(self.processes, self.relays)) + MORE_DESCRIPTORS
        if a_process > most:
            raise InsufficientResources(
                f"{a_process} descriptors are needed in a process, and {most} are allowed: more processes would do"
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
        """kB that the run is expected to take."""
        hollow = self.nodes + CONTROL - self.real
        return (
            (self.processes + 2) * A_PROCESS
            + self.relays * A_RELAY
            + 2 * self.real * A_FRONT
            + hollow * (A_NODE + A_MEMBER * self.nodes)
            + self.load.sharing * self.load.servers * A_SERVER
        )

    def lay_out(self) -> None:
        """Nodes in their places, with free ports: real ones in zones in turn, control machines in regions in turn."""
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
        # last: fronts that share are numbered without them
        self.places += [
            Place(f"c{number}", "control", *self._labels(number * self.zones // CONTROL), ports.pop(), 0)
            for number in range(CONTROL)
        ]
        hollow = [place for place in self.places if place.kind == "hollow"]
        # control machines in a process of their own (0), one node alone (1), the others in turn
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
    """Half of the machine's memory, and what is available now (kB)."""
    told = dict(line.split(":", 1) for line in Path("/proc/meminfo").read_text().splitlines())
    return int(told["MemTotal"].split()[0]) / 2, int(told["MemAvailable"].split()[0])


def free_udp_ports(count: int) -> list[int]:
    """Loopback ports that nobody has now. Raises `OSError` where there are not as many."""
    held: list[socket.socket] = []
    start = Random(os.getpid()).randrange(len(UDP_PORTS))
    try:
        for step in range(len(UDP_PORTS)):
            door = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                door.bind(("127.0.0.1", UDP_PORTS[(start + step) % len(UDP_PORTS)]))
            except OSError:
                door.close()
                continue
            held.append(door)
            if len(held) == count:
                return [door.getsockname()[1] for door in held]
        raise OSError(f"{count} UDP ports are wanted, and {len(held)} are free")
    finally:
        for door in held:
            door.close()


def read_plan(folder: Path) -> Plan:
    return msgspec.json.decode((folder / "plan.json").read_bytes(), type=Plan)


def write_plan(folder: Path, plan: Plan) -> None:
    (folder / "plan.json").write_bytes(msgspec.json.encode(plan))
