"""How soon a change of the configuration is in force everywhere, as a scale run saw it, else as it was simulated."""

from __future__ import annotations

from curlewshift.capacity.figures import MEASURED, Figure
from curlewshift.capacity.given import DISTRIBUTION
from curlewshift.capacity.measured import Measured
from curlewshift.capacity.rows import CONTROL, MESSAGES, Row
from curlewshift.capacity.size import Size

# What a run waits for the last node to show a version (s); one that did not is at least so late.
WAITED = 60.0


def longest(measured: Measured, file: str, told: list | dict | None) -> Figure | None:
    """Seconds of the slowest of some changes. A change that was not made, or not everywhere, counts as what was waited."""
    changes = [one for one in (told if isinstance(told, list) else [told]) if isinstance(one, dict)]
    if not changes:
        return None
    waits = [one.get("everywhere_s") if one.get("ok") else None for one in changes]
    value = max(WAITED if wait is None else wait for wait in waits)
    return Figure(value, "s", MEASURED, files=(file,), command=measured.command(file), at_least=None in waits)


def rows(size: Size, measured: Measured) -> list[Row]:
    """The slowest change of each kind that the run made; with no run, the simulated one alone."""
    file, found = measured.scale(size.nodes), []

    def add(words: str, figure: Figure | None) -> None:
        if figure is not None and figure.how == MEASURED:
            figure = measured.of_run(file, figure, size.nodes)
        found.append(Row("configuration", CONTROL, MESSAGES, words, figure, size.in_force_within, DISTRIBUTION))
    if file is not None and measured.get(file, "versions"):
        nodes = measured.get(file, "nodes")
        for key, words in (("no_loss", "nothing lost"), ("loss", "5% of datagrams lost")):
            told = measured.get(file, "versions", key) or []
            add(f"in force at all of {nodes} nodes, {words}: slowest of {len(told)} changes", longest(measured, file, told))
        for fault in measured.get(file, "faults") or []:
            for when in ("while", "after"):
                told = fault.get(f"change_{when}")
                if told and not told.get("no_majority"):
                    add(f"in force at all of them, a change {when} {fault['kind']}", longest(measured, file, told))
        told = measured.get(file, "stretch")
        if told:
            add(f"in force at all of them, slowest of {told['changes']} changes with {told['restarts']} restarts",
                measured.figure(file, "stretch", "everywhere_worst_s", unit="s") if not told.get("not_everywhere") else
                Figure(WAITED, "s", MEASURED, files=(file,), command=measured.command(file), at_least=True))
    else:
        add("time until in force everywhere", None)
    simulated = of_simulation(size, measured)
    if simulated is not None:
        add("time until in force everywhere, simulated, p99", simulated)
    return found


def of_simulation(size: Size, measured: Measured) -> Figure | None:
    """Of the simulated fleet nearest above the size, else of the largest."""
    sizes = measured.get("versions.json", "sizes") or []
    fits = [(one.get("nodes", 0), place) for place, one in enumerate(sizes) if isinstance(one, dict)]
    fits = [one for one in fits if one[0] >= size.nodes] or fits[-1:]
    return measured.figure("versions.json", "sizes", min(fits)[1], "in_force_p99_s", unit="s") if fits else None
