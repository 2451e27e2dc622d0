"""How soon a change of the configuration is in force everywhere, as a scale run saw it, else as it was simulated."""

from __future__ import annotations

from curlewshift.capacity.figures import MEASURED, SIMULATED, Figure
from curlewshift.capacity.given import DISTRIBUTION
from curlewshift.capacity.measured import Measurements
from curlewshift.capacity.rows import CONTROL, MESSAGES, Row
from curlewshift.capacity.size import Size

# What a run waits for the last node to show a version (s); one that did not is at least so late.
WAITED = 60.0
# Fronts of examples/fleet-configuration-day.xml.
REHEARSED = 8


def longest(measured: Measurements, file: str, told: list | dict | None) -> Figure | None:
    """Seconds of the slowest of some changes. A change that was not made, or not everywhere, counts as what was waited."""
    changes = [one for one in (told if isinstance(told, list) else [told]) if isinstance(one, dict)]
    if not changes:
        return None
    waits = [one.get("everywhere_s") if one.get("ok") else None for one in changes]
    value = max(WAITED if wait is None else wait for wait in waits)
    return Figure(value, "s", MEASURED, files=(file,), command=measured.command(file), at_least=None in waits)


def rows(size: Size, measured: Measurements) -> list[Row]:
    """The slowest change of each kind that the run made; with no run, the simulated one alone."""
    file, found = measured.scale(size.nodes, "versions"), []

    def add(words: str, figure: Figure | None) -> None:
        if figure is not None and figure.how == MEASURED and not figure.measured_to:
            figure = measured.of_run(file, figure, size.nodes)
        found.append(Row("configuration", CONTROL, MESSAGES, words, figure, size.in_force_within, DISTRIBUTION))

    if file is not None and measured.get(file, "versions"):
        nodes = measured.get(file, "nodes")
        for key, words in (("no_loss", "nothing lost"), ("loss", "5% of datagrams lost")):
            told = measured.get(file, "versions", key) or []
            add(f"in force at all of {nodes} nodes, {words}: slowest of {len(told)} changes", longest(measured, file, told))
        for file, _, fault in measured.faults(size.nodes):
            for when in ("while", "after"):
                told = fault.get(f"change_{when}")
                if told and not told.get("no_majority"):
                    add(
                        f"in force at all of {measured.get(file, 'nodes')}, a change {when} {fault['kind']}",
                        longest(measured, file, told),
                    )
        file = measured.scale(size.nodes, "stretch") or file
        told = measured.get(file, "stretch")
        if told:
            add(
                f"in force at all of {measured.get(file, 'nodes')}, "
                f"slowest of {told['changes']} changes with {told['restarts']} restarts",
                measured.figure(file, "stretch", "everywhere_worst_s", unit="s")
                if not told.get("not_everywhere")
                else Figure(WAITED, "s", MEASURED, files=(file,), command=measured.command(file), at_least=True),
            )
    else:
        add("time until in force everywhere", None)
    rehearsed = of_days(size, measured)
    if rehearsed is not None:
        add("in force at all real fronts of a rehearsed day with cuts, kills and stops: slowest of all sound days", rehearsed)
    for words, figure in simulated(size, measured):
        add(f"{words}, simulated", figure)
    return found


def of_days(size: Size, measured: Measurements) -> Figure | None:
    """The slowest of the days that no sabotage spoilt, with that day's command."""
    file = "configuration-day.json"
    days = [one for one in measured.get(file, "days") or [] if not one.get("sabotage")]
    if not days:
        return None
    worst = max(days, key=lambda one: one["configuration"]["in_force_max_s"])
    late = any(one["configuration"]["late"] or one["configuration"]["missing"] for one in days)
    return Figure(
        worst["configuration"]["in_force_max_s"],
        "s",
        MEASURED,
        files=(file,),
        command=worst["command"],
        at_least=late,
        measured_to=REHEARSED,
        wanted_at=size.nodes,
        carried="fronts",
        of_less=True,
    )


def simulated(size: Size, measured: Measurements) -> list[tuple[str, Figure | None]]:
    """In virtual time, of as many nodes as the file says."""
    file, found = "versions.json", []
    for key, words in (("no_loss", "nothing lost"), ("loss_of_5_percent", "5% of datagrams lost")):
        waits = measured.get(file, key, "last_node_s")
        if waits:
            value, late = max(WAITED if wait is None else wait for wait in waits), None in waits
            found.append(
                (
                    f"in force everywhere, {words}: slowest of {len(waits)} changes",
                    Figure(value, "s", SIMULATED, files=(file,), command=measured.command(file), at_least=late),
                )
            )
    for words, way in (
        ("in force in all of a zone that is back at once with empty disks", ("zone_returns_empty", "in_force_in_all_s")),
        ("in force everywhere after regions met", ("regions_apart", "in_force_everywhere_after_meeting_s")),
    ):
        if measured.get(file, way[0]):
            found.append((words, measured.figure(file, *way, unit="s")))
    return [(words, figure and measured.of_run(file, figure, size.nodes)) for words, figure in found]
