"""What is in docs/measured/, as figures with their file and the command that repeats them. Reads files, measures nothing."""

from __future__ import annotations

import json
from pathlib import Path

from curlewshift.capacity.figures import MEASURED, SIMULATED, Figure
from curlewshift.capacity.slopes import Slope, Spoilt, slope_of

# The commands of files that do not say theirs.
COMMANDS = {name: f"bin/curlewshift measure {name} --out F" for name in
            ("fleet", "flood", "joins", "keys", "leases", "limits", "peers", "recovery", "shared", "wheel", "goodput")}
WHOLE_FILE_SIMULATED = {"leases.json", "shared.json", "goodput.json", "versions.json"}


class Measured:
    """`folder` is docs/measured. Slopes of all its files `slope-*.json` by name; raises `Spoilt` for one that is spoilt."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.files: dict[str, dict] = {}
        for path in sorted(folder.glob("*.json")):
            try:
                self.files[path.name] = json.loads(path.read_text())
            except ValueError as wrong:
                raise Spoilt(f"{path.name}: this is not JSON: {wrong}") from None
        self.slopes: dict[str, Slope] = {}
        for name, held in self.files.items():
            if name.startswith("slope-"):
                for told in held["slopes"] if "slopes" in held else [held]:
                    told = {"command": held.get("command"), **told}
                    self.slopes[told["name"]] = slope_of(told, name)

    def slope(self, *names: str) -> Slope | None:
        """The first of the names that was measured."""
        return next((self.slopes[name] for name in names if name in self.slopes), None)

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

    def command(self, file: str) -> str:
        said = self.get(file, "command")
        return said if isinstance(said, str) else COMMANDS.get(file.removesuffix(".json"), "")

    def scale(self, nodes: int) -> str | None:
        """The name of the file of a run of that many nodes: its own, else the nearest that was run, larger ones first."""
        runs = sorted(int(name[6:-5]) for name in self.files if name.startswith("scale-") and name[6:-5].isdigit())
        nearest = next((one for one in runs if one >= nodes), runs[-1] if runs else None)
        return None if nearest is None else f"scale-{nearest}.json"
