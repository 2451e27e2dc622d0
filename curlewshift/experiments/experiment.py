"""Definition of an experiment: read from XML, validated, and expanded into runs."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product
from math import prod
from pathlib import Path

from curlewshift.baselines.baselines import BASELINES
from curlewshift.site.reading import SiteErrors, read_xml
from curlewshift.standins.script import EMULATED, Trouble, usual

SCHEMA = Path(__file__).with_name("experiment.xsd")
MAX_RUNS = 20_000
# What fronts share in a run, to measure the effect of each part.
SHARED = ("shared", "counts", "rights", "seen")


@dataclass(frozen=True, slots=True)
class Run:
    """One run: the level of each factor, as text, and its seed."""

    levels: tuple[tuple[str, str], ...]
    seed: int

    @property
    def key(self) -> str:
        return " ".join([*(f"{name}={level}" for name, level in self.levels), f"seed={self.seed}"])


@dataclass(slots=True)
class Experiment:
    """`sizes` are the fixed parameters; `baseline` is the level of the last factor that the others are compared with."""

    name: str
    question: str
    factors: dict[str, list[str]]
    measures: list[str]
    seeds: int
    sizes: dict[str, float]
    troubles: list[Trouble]
    baseline: str

    def runs(self) -> list[Run]:
        """All combinations. Seeds vary slowest, so that an interrupted experiment has all levels, for fewer seeds."""
        return [
            Run(tuple(zip(self.factors, levels)), seed)
            for seed in range(1, self.seeds + 1)
            for levels in product(*self.factors.values())
        ]


def read_experiment(path: Path | str) -> Experiment:
    """Reads an experiment from XML. Raises `SiteErrors` with all errors."""
    root = read_xml(path, SCHEMA)
    errors: list[tuple[int, str]] = []
    factors: dict[str, list[str]] = {}
    for element in root.iterfind("factor"):
        name, levels = element.get("name"), element.get("levels").split()
        if name in factors:
            errors.append((element.sourceline, f"factor {name}: varied twice"))
        if len(set(levels)) < len(levels) or not levels:
            errors.append((element.sourceline, f"factor {name}: at least one level is needed, and all different"))
        for level in levels:
            errors += [(element.sourceline, f"factor {name}: {text}") for text in _level_errors(name, level)]
        factors[name] = levels
    troubles = []
    for element in root.iterfind("trouble"):
        kind = element.get("kind")
        if kind not in EMULATED:
            errors.append((element.sourceline, f"trouble: there is no kind {kind!r} in the emulator"))
            continue
        trouble = usual(kind, float(element.get("at")))
        for field in ("lasts", "part", "size"):
            if element.get(field) is not None:
                setattr(trouble, field, float(element.get(field)))
        troubles.append(trouble)
    baseline = root.get("baseline", "")
    last = list(factors.values())[-1]
    if baseline and baseline not in last:
        errors.append((root.sourceline, f"experiment: baseline {baseline!r} is no level of the last factor"))
    sizes = {
        name: float(root.get(name, default))
        for name, default in (("fronts", 3), ("servers", 24), ("viewings", 2000), ("lasts", 60), ("load", 0.8), ("watches", 15))
    }
    experiment = Experiment(
        root.get("name"),
        " ".join(root.findtext("question").split()),
        factors,
        [element.get("name") for element in root.iterfind("measure")],
        int(root.get("seeds")),
        sizes,
        troubles,
        baseline,
    )
    count = experiment.seeds * prod(max(1, len(levels)) for levels in factors.values())
    if count > MAX_RUNS:
        errors.append((root.sourceline, f"experiment: {count} runs exceed the maximum of {MAX_RUNS}"))
    if errors:
        raise SiteErrors(path, errors)
    return experiment


def _level_errors(name: str, level: str) -> list[str]:
    if name == "policy":
        known = ("rules", *BASELINES)
        return [] if level in known else [f"there is no policy {level!r}; known: {', '.join(known)}"]
    if name == "shared":
        known = ("alone", *SHARED)
        return [] if level in known else [f"there is no sharing mode {level!r}; known: {', '.join(known)}"]
    if name == "trouble":
        known = ("none", *EMULATED)
        return [] if level in known else [f"there is no trouble {level!r}; known: {', '.join(known)}"]
    try:
        value = float(level)
    except ValueError:
        return [f"{level!r} is no number"]
    if value < 0 or (name in ("fronts", "servers") and (value < 1 or value != int(value))) or (name == "load" and not value):
        return [f"{level} is out of bounds"]
    return []
