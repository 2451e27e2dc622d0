"""What one real front node costs by size: which slopes there are, what they need, and the form in which they are kept.

Called by `curlewshift slopes`. Every slope is of the program in service, in a process of its own, against stand-ins of
slopes_stands.py; whether there is room for it is asked before it starts.
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
# Of the machine's memory a run may want so much; it is others' too.
MEMORY_PART = 0.5
# Bytes a run is counted with, as measured once and rounded up: a node and the measuring side when empty, and each
# connection with a viewing at the node, at the measuring side and in the kernel for both.
EMPTY, A_CONNECTION = 256 * 2**20, 40 * 1024
# Descriptors of either side beside the viewers' connections, with those to media servers.
OTHERS = 600
# Steps of the fixed work with which processor times are compared.
YARD = 100_000


class MeasurementRefused(Exception):
    """Why a run does not begin, in one line."""


@dataclass
class Slope:
    """One figure by size, with every repeat as a point of its own."""

    name: str
    x: tuple[str, str]
    y: tuple[str, str]
    points: list[tuple[float, float]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    of: str = "front node"

    def told(self, command: str, machine: dict) -> dict:
        """As docs/measured/ keeps it. Raises `fits.TooFewPoints`."""
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
    """What a measurement is given. `say` is told how far it is."""

    sizes: tuple[int, ...]
    seed: int
    folder: Path
    say: Callable[[str], None]
    rounds: int = 2
    # how long one size is left to come to rest, and measured (s); the time of the last who asked is over meanwhile, and with
    # it what the node had to do about that
    rest: float = 4.0
    lasts: float = 5.0

    @property
    def descriptors(self) -> int:
        return soft_limit()


@dataclass(frozen=True)
class Kind:
    """One measurement: `sizes` if none are said, and how many `connections` it has open at a size. `measure` is a function's
    place, imported when it is called."""

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
    """Raises `MeasurementRefused`. The limits are the machine's, unless said."""
    descriptors = soft_limit() if descriptors is None else descriptors
    memory = machine_memory() if memory is None else memory
    most = max(kind.connections(size) for size in sizes)
    if len(set(sizes)) < 4:
        raise MeasurementRefused(f"{kind.name}: {len(set(sizes))} sizes, four at the least tell a slope from a bend")
    if most + OTHERS > descriptors:
        raise MeasurementRefused(
            f"{kind.name}: {most} connections and {OTHERS} others want more descriptors than the {descriptors} there are"
        )
    wanted = EMPTY + most * A_CONNECTION
    if wanted > memory * MEMORY_PART:
        raise MeasurementRefused(
            f"{kind.name}: some {wanted / GIB:.1f} GiB are wanted, half of the machine's memory is "
            f"{memory * MEMORY_PART / GIB:.1f}"
        )


def yardstick() -> float:
    """Processor time of the same work each time, of Python's usual kind: where it is longer, others share the cores' caches
    and threads, and all processor times of the run are longer with it (s)."""
    began = time.process_time()
    rows = {number: [number] for number in range(YARD)}
    for number in range(YARD):
        rows[number].append(rows[YARD - 1 - number][0])
    return time.process_time() - began


def measured(kind: Kind, run: Run, command: str) -> dict:
    """Raises `MeasurementRefused` before anything is started."""
    from importlib import import_module

    check_room(kind, run.sizes)
    place, _, name = kind.measure.rpartition(".")
    before, yard = os.getloadavg()[0], yardstick()
    with tempfile.TemporaryDirectory(dir=run.folder) as folder:
        slopes = getattr(import_module(f"curlewshift.scale.{place}"), name)(
            Run(run.sizes, run.seed, Path(folder), run.say, run.rounds, run.rest, run.lasts)
        )
    machine = {
        "cores": os.cpu_count(),
        "memory_GiB": round(machine_memory() / GIB, 1),
        "load_before": round(before, 2),
        "load_after": round(os.getloadavg()[0], 2),
        "yardstick_s": [round(yard, 3), round(yardstick(), 3)],
    }
    return {"slopes": [slope.told(command, machine) for slope in slopes]}


def kept(told: dict, kind: Kind, out: Path) -> Path:
    path = out / f"slope-{kind.name}.json"
    path.write_text(json.dumps(told, indent=1) + "\n")
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
