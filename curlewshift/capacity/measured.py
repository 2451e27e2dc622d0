"""What is in docs/measured/, as figures with their file and the command that repeats them. Reads files, measures nothing."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

from curlewshift.capacity.figures import MEASURED, SIMULATED, Figure
from curlewshift.capacity.slopes import InvalidMeasurements, Slope, slope_of

# The commands of files that do not say theirs.
COMMANDS = {
    name: f"bin/curlewshift measure {name} --out F"
    for name in (
        "fleet",
        "flood",
        "joins",
        "keys",
        "leases",
        "limits",
        "peers",
        "recovery",
        "shared",
        "wheel",
        "goodput",
        "versions",
    )
}
WHOLE_FILE_SIMULATED = {"leases.json", "shared.json", "goodput.json", "versions.json"}

NOT_GOOD = "a run whose own verdict is not good"


class Measurements:
    """`folder` is docs/measured. Slopes of all its files `slope-*.json` by name; raises `InvalidMeasurements` for one that is
    spoilt."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.files: dict[str, dict] = {}
        for path in sorted(folder.glob("*.json")):
            try:
                self.files[path.name] = json.loads(path.read_text())
            except ValueError as wrong:
                raise InvalidMeasurements(f"{path.name}: this is not JSON: {wrong}") from None
        self.slopes: dict[str, Slope] = {}
        for name, held in self.files.items():
            if name.startswith("slope-"):
                for told in held.get("slopes", [held]):
                    told = {"command": held.get("command"), **told}
                    self.slopes[told["name"]] = slope_of(told, name)

    def get(self, file: str, *way: str | int):
        """What stands in a file at the end of a way of keys, or None."""
        held = self.files.get(file)
        for step in way:
            try:
                held = held[step]
            except (KeyError, IndexError, TypeError):
                return None
        return held

    def figure(self, file: str, *way: str | int, unit: str, by: float = 1.0) -> Figure | None:
        """The number at the end of a way, times `by` to be in the unit; None where it is not there."""
        found = self.get(file, *way)
        if not isinstance(found, (int, float)) or isinstance(found, bool):
            return None
        simulated = file in WHOLE_FILE_SIMULATED or "emulated" in way
        return Figure(found * by, unit, SIMULATED if simulated else MEASURED, files=(file,), command=self.command(file))

    def at_size(self, nodes: int, *way: str | int, unit: str, by: float = 1.0, file: str | None = None) -> Figure | None:
        """The number at the end of a way in the scale run of so many nodes, or of one that is nearest; of a smaller one it is not
        carried: leases cost each node less where there are more, other parts cost more."""
        file = file or self.scale(nodes, *way)
        found = file and self.figure(file, *way, unit=unit, by=by)
        return found and self.of_run(file, found, nodes)

    def of_run(self, file: str, figure: Figure, nodes: int) -> Figure:
        """A run's figure, with how many nodes were run; one of fewer, or whose own verdict is not good, is not carried."""
        ran = self.get(file, "nodes") or nodes
        if self.get(file, "verdict", "ok") is False:
            figure = replace(figure, by=NOT_GOOD)
        return replace(figure, measured_to=ran, wanted_at=nodes, carried="nodes", of_less=ran < nodes or figure.by == NOT_GOOD)

    def machine(self, file: str) -> str:
        """What measured, in words: cores, memory, and what else ran."""
        told = self.get(file, "machine") or self.get(file, "slopes", 0, "machine") or {}
        if not isinstance(told, dict):
            return str(told)
        words = [f"{told[key]} {unit}" for key, unit in (("cores", "cores"), ("memory_GiB", "GiB")) if key in told]
        loads = [told[key] for key in ("load_before", "load_after") if key in told]
        loads = [one[0] if isinstance(one, list) else one for one in loads]
        if told.get("yardstick_s"):
            words.append(f"yardstick {' to '.join(map(str, told['yardstick_s']))} s")
        return ", ".join(words + ([f"load {' to '.join(map(str, loads))}"] if loads else []))

    def command(self, file: str) -> str:
        said = self.get(file, "command")
        if not isinstance(said, str):
            return COMMANDS.get(file.removesuffix(".json"), "")
        return "bin/curlewshift " + said.removeprefix("bin/").removeprefix("curlewshift ")

    def scales(self, nodes: int) -> list[str]:
        """Files of runs: of that many nodes or the nearest above, larger ones, then smaller ones from the largest down."""
        runs = sorted(int(name[6:-5]) for name in self.files if name.startswith("scale-") and name[6:-5].isdigit())
        order = [one for one in runs if one >= nodes] + [one for one in reversed(runs) if one < nodes]
        return [f"scale-{one}.json" for one in order]

    def scale(self, nodes: int, *way: str | int) -> str | None:
        """The first of them that has something at the end of a way."""
        return next((file for file in self.scales(nodes) if not way or self.get(file, *way) is not None), None)

    def faults(self, nodes: int) -> list[tuple[str, int, dict]]:
        """(file, place, fault): each kind of fault in the first run that has it."""
        found: dict[str, tuple[str, int, dict]] = {}
        for file in self.scales(nodes):
            for place, one in enumerate(self.get(file, "faults") or []):
                if isinstance(one, dict):
                    found.setdefault(one.get("kind", ""), (file, place, one))
        return list(found.values())


def carried(measured: Measurements, name: str, x: float, unit: str, beyond: bool = True) -> Figure | None:
    """A slope's figure at x; None where there is no such slope. `beyond`: whether it may be carried beyond its run."""
    slope = measured.slopes.get(name)
    return slope and slope.at(x, unit, beyond)


def a_second(measured: Measurements, name: str, x: float) -> Figure | None:
    """Cores, by a slope of processor time within a second."""
    found = carried(measured, name, x, "s")
    return found and replace(found, unit="cores")
