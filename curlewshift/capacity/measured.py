"""Reads the measurement files of docs/measured/ as figures with their file and the command that reproduces them."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

from curlewshift.capacity.figures import MEASURED, SIMULATED, Figure
from curlewshift.capacity.slopes import InvalidMeasurements, Slope, slope_of

# Commands of the files that do not state one, by file name without its suffix.
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
SIMULATED_FILES = {"leases.json", "shared.json", "goodput.json", "versions.json"}

FAILED_RUN = "a run whose own verdict is not good"


class Measurements:
    """The JSON files of a folder, and the slopes of its `slope-*.json` by name. Raises `InvalidMeasurements` for a file
    that cannot be used."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.files: dict[str, dict] = {}
        for path in sorted(folder.glob("*.json")):
            try:
                self.files[path.name] = json.loads(path.read_text())
            except ValueError as error:
                raise InvalidMeasurements(f"{path.name}: not valid JSON: {error}") from None
        self.slopes: dict[str, Slope] = {}
        for name, content in self.files.items():
            if name.startswith("slope-"):
                for entry in content.get("slopes", [content]):
                    entry = {"command": content.get("command"), **entry}
                    self.slopes[entry["name"]] = slope_of(entry, name)

    def get(self, file: str, *path: str | int):
        """Returns the value at a path of keys and indices in a file, or None."""
        content = self.files.get(file)
        for key in path:
            try:
                content = content[key]
            except (KeyError, IndexError, TypeError):
                return None
        return content

    def figure(self, file: str, *path: str | int, unit: str, multiplier: float = 1.0) -> Figure | None:
        """Returns the number at a path, multiplied by `multiplier` to convert it to `unit`; None if there is no number."""
        found = self.get(file, *path)
        if not isinstance(found, (int, float)) or isinstance(found, bool):
            return None
        simulated = file in SIMULATED_FILES or "emulated" in path
        return Figure(found * multiplier, unit, SIMULATED if simulated else MEASURED, files=(file,), command=self.command(file))

    def at_size(self, nodes: int, *path: str | int, unit: str, multiplier: float = 1.0, file: str | None = None) -> Figure | None:
        """Returns the number at a path in the scale run of `nodes` nodes, or of the nearest size by the order of `scale_files`.

        A smaller run is not extrapolated: with more nodes leases cost each node less, and other parts cost more."""
        file = file or self.scale_file(nodes, *path)
        found = file and self.figure(file, *path, unit=unit, multiplier=multiplier)
        return found and self.with_run_size(file, found, nodes)

    def with_run_size(self, file: str, figure: Figure, nodes: int) -> Figure:
        """Adds the number of nodes of the run to its figure. A run of fewer nodes, or one whose own verdict failed, is not
        extrapolated."""
        ran = self.get(file, "nodes") or nodes
        if self.get(file, "verdict", "ok") is False:
            figure = replace(figure, method=FAILED_RUN)
        return replace(
            figure,
            measured_to=ran,
            required_at=nodes,
            extent_unit="nodes",
            from_smaller_run=ran < nodes or figure.method == FAILED_RUN,
        )

    def machine(self, file: str) -> str:
        """Describes the machine that measured: cores, memory, reference benchmark time and load."""
        entry = self.get(file, "machine") or self.get(file, "slopes", 0, "machine") or {}
        if not isinstance(entry, dict):
            return str(entry)
        parts = [f"{entry[key]} {unit}" for key, unit in (("cores", "cores"), ("memory_GiB", "GiB")) if key in entry]
        loads = [entry[key] for key in ("load_before", "load_after") if key in entry]
        loads = [load[0] if isinstance(load, list) else load for load in loads]
        if entry.get("yardstick_s"):
            parts.append(f"yardstick {' to '.join(map(str, entry['yardstick_s']))} s")
        return ", ".join(parts + ([f"load {' to '.join(map(str, loads))}"] if loads else []))

    def command(self, file: str) -> str:
        command = self.get(file, "command")
        if not isinstance(command, str):
            return COMMANDS.get(file.removesuffix(".json"), "")
        return "bin/curlewshift " + command.removeprefix("bin/").removeprefix("curlewshift ")

    def scale_files(self, nodes: int) -> list[str]:
        """Returns the files of scale runs: those of at least `nodes` nodes ascending, then smaller ones descending."""
        runs = sorted(int(name[6:-5]) for name in self.files if name.startswith("scale-") and name[6:-5].isdigit())
        order = [size for size in runs if size >= nodes] + [size for size in reversed(runs) if size < nodes]
        return [f"scale-{size}.json" for size in order]

    def scale_file(self, nodes: int, *path: str | int) -> str | None:
        """Returns the first of `scale_files` that has a value at the path."""
        return next((file for file in self.scale_files(nodes) if not path or self.get(file, *path) is not None), None)

    def faults(self, nodes: int) -> list[tuple[str, int, dict]]:
        """Returns (file, index, fault) for each kind of fault, from the first scale run that has it."""
        found: dict[str, tuple[str, int, dict]] = {}
        for file in self.scale_files(nodes):
            for index, fault in enumerate(self.get(file, "faults") or []):
                if isinstance(fault, dict):
                    found.setdefault(fault.get("kind", ""), (file, index, fault))
        return list(found.values())


def extrapolated(measured: Measurements, name: str, x: float, unit: str, extrapolate: bool = True) -> Figure | None:
    """Returns the figure of a slope at x, or None without such a slope. `extrapolate`: whether the line may be used beyond its
    measured range."""
    slope = measured.slopes.get(name)
    return slope and slope.at(x, unit, extrapolate)


def cores_at_rate(measured: Measurements, name: str, x: float) -> Figure | None:
    """Returns the cores used at a rate of x per second, by a slope of processor time per second."""
    found = extrapolated(measured, name, x, "s")
    return found and replace(found, unit="cores")
