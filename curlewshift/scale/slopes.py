"""Resource slopes of one real front node (cost by size): the measurements, the resources they need and their file format.

Called by `curlewshift slopes`. Each slope is measured on the program as in service, in its own process, against the stand-ins
(test doubles) of slopes_stands.py. Descriptors and memory are checked before it starts.
"""

from __future__ import annotations

import json
import os
import resource
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from curlewshift.scale.fits import fit, rounded

GIB = 2**30
# Fraction of the machine's memory that a run may need; other processes use the machine too.
MEMORY_FRACTION = 0.5
# Memory estimate of a run (bytes), rounded up: a node and the measuring side without connections; and by connection with one
# viewing, at the node, at the measuring side and in the kernel for both.
BASE_MEMORY, CONNECTION_MEMORY = 256 * 2**20, 40 * 1024
# File descriptors of either side besides the viewers' connections, including those to media servers.
OTHER_DESCRIPTORS = 600
# Iterations of the reference workload with which processor times are compared.
YARDSTICK_STEPS = 100_000


class MeasurementRefused(Exception):
    """A measurement is refused before its start; the message is one line."""


@dataclass
class Slope:
    """One figure by size; each repeat is a separate point."""

    name: str
    x: tuple[str, str]
    y: tuple[str, str]
    points: list[tuple[float, float]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    of: str = "front node"

    def as_record(self, command: str, machine: dict) -> dict:
        """The record stored in docs/measured/. Raises `fits.TooFewPoints`."""
        x, y = ({"name": name, "unit": unit} for name, unit in (self.x, self.y))
        points = [[size, rounded(figure, 6)] for size, figure in self.points]
        return {
            "name": self.name,
            "of": self.of,
            "x": x,
            "y": y,
            "command": command,
            "machine": machine,
            "points": points,
            "fit": fit(self.points).as_record(),
            "measured_to": max(size for size, _ in self.points),
            "notes": self.notes,
        }


@dataclass
class Run:
    """Parameters of a measurement. `say` is called with progress lines."""

    sizes: tuple[int, ...]
    seed: int
    folder: Path
    say: Callable[[str], None]
    rounds: int = 2
    # time for the node to come to rest at a size, and time measured (s); during the rest, timers of the last requests expire, so
    # that their work is not in the figure
    rest: float = 4.0
    duration: float = 5.0

    @property
    def descriptors(self) -> int:
        return soft_limit()


@dataclass(frozen=True)
class Kind:
    """One measurement: default `sizes`, and number of `connections` open at a size. `measure` is `module.function`, imported
    when it is called."""

    name: str
    what: str
    sizes: tuple[int, ...]
    measure: str
    connections: Callable[[int], int]


def soft_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def machine_memory() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def check_room(kind: Kind, sizes: tuple[int, ...], descriptors: int | None = None, memory: int | None = None) -> None:
    """Raises `MeasurementRefused`. The limits default to the machine's."""
    descriptors = soft_limit() if descriptors is None else descriptors
    memory = machine_memory() if memory is None else memory
    max_connections = max(kind.connections(size) for size in sizes)
    if len(set(sizes)) < 4:
        raise MeasurementRefused(f"{kind.name}: {len(set(sizes))} sizes; at least four are needed to tell a line from a curve")
    if max_connections + OTHER_DESCRIPTORS > descriptors:
        raise MeasurementRefused(
            f"{kind.name}: {max_connections} connections and {OTHER_DESCRIPTORS} others need more descriptors "
            f"than the {descriptors} available"
        )
    needed = BASE_MEMORY + max_connections * CONNECTION_MEMORY
    if needed > memory * MEMORY_FRACTION:
        raise MeasurementRefused(
            f"{kind.name}: some {needed / GIB:.1f} GiB are wanted, half of the machine's memory is "
            f"{memory * MEMORY_FRACTION / GIB:.1f}"
        )


def yardstick() -> float:
    """Processor time of a fixed reference workload in Python (s). It is longer where other processes share the cores' caches
    and threads, and all processor times of the run are longer then."""
    began = time.process_time()
    rows = {number: [number] for number in range(YARDSTICK_STEPS)}
    for number in range(YARDSTICK_STEPS):
        rows[number].append(rows[YARDSTICK_STEPS - 1 - number][0])
    return time.process_time() - began


def measured(kind: Kind, run: Run, command: str) -> dict:
    """Runs the measurement. Raises `MeasurementRefused` before anything is started."""
    from importlib import import_module

    check_room(kind, run.sizes)
    place, _, name = kind.measure.rpartition(".")
    before, yard = os.getloadavg()[0], yardstick()
    with tempfile.TemporaryDirectory(dir=run.folder) as folder:
        slopes = getattr(import_module(f"curlewshift.scale.{place}"), name)(
            Run(run.sizes, run.seed, Path(folder), run.say, run.rounds, run.rest, run.duration)
        )
    machine = {
        "cores": os.cpu_count(),
        "memory_GiB": round(machine_memory() / GIB, 1),
        "load_before": round(before, 2),
        "load_after": round(os.getloadavg()[0], 2),
        "yardstick_s": [round(yard, 3), round(yardstick(), 3)],
    }
    return {"slopes": [slope.as_record(command, machine) for slope in slopes]}


def kept(as_record: dict, kind: Kind, out: Path) -> Path:
    path = out / f"slope-{kind.name}.json"
    path.write_text(json.dumps(as_record, indent=1) + "\n")
    return path


def _itself(size: int) -> int:
    return size


def _few(size: int) -> int:
    return 500


def _none(size: int) -> int:
    return 0


KINDS = {
    kind.name: kind
    for kind in (
        Kind(
            "idle",
            "memory and idle processor time, by connection and by viewing",
            (1000, 2000, 4000, 6000, 8000),
            "slopes_idle.measure_idle",
            _itself,
        ),
        Kind(
            "crowded",
            "idle processor time past the mark from which resting connections are dropped",
            (6000, 8000, 9500, 10_500, 11_500),
            "slopes_idle.measure_crowded",
            _itself,
        ),
        Kind(
            "requests",
            "processor time and p99 by set-ups a second",
            (25, 50, 100, 200, 400),
            "slopes_asked.measure_requests",
            _few,
        ),
        Kind(
            "notices",
            "processor time and p99 by ends passed on to viewers a second",
            (25, 50, 100, 200, 400),
            "slopes_asked.measure_notices",
            _few,
        ),
        Kind("rungs", "processor time by changes of rung a second", (50, 100, 200, 400, 800), "slopes_asked.measure_rungs", _few),
        Kind(
            "restart",
            "a start until ready, by servers on the list and by classes",
            (100, 500, 1000, 2000, 4000),
            "slopes_list.measure_restart",
            _none,
        ),
        Kind(
            "list",
            "memory and idle processor time by servers on the list",
            (100, 500, 1000, 2000, 4000),
            "slopes_list.measure_list",
            _few,
        ),
        Kind("storm", "clients that come again at once", (500, 1000, 2000, 4000, 8000), "slopes_storm.measure_storm", _itself),
        Kind(
            "sharing",
            "bytes and processor time of sharing by links played on, simulated",
            (20, 40, 80, 160, 320, 640),
            "slopes_control.measure_sharing",
            _none,
        ),
        Kind(
            "membership",
            "bytes of membership by nodes, at rest and after losses, simulated",
            (70, 210, 420, 630),
            "slopes_control.measure_membership",
            _none,
        ),
    )
}
