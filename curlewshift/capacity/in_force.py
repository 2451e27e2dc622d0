"""Time until a change of the configuration is in force on all nodes, from scale runs, rehearsed days and simulations."""

from __future__ import annotations

from curlewshift.capacity.figures import MEASURED, SIMULATED, Figure
from curlewshift.capacity.given import DISTRIBUTION
from curlewshift.capacity.measured import Measurements
from curlewshift.capacity.rows import CONTROL, MESSAGES, Row
from curlewshift.capacity.size import Size

# How long a run waits for the last node to report a version (s); the lower bound for a change that is not in force by then.
MAX_WAIT_S = 60.0
# Fronts of examples/fleet-configuration-day.xml.
REHEARSED_FRONTS = 8


def slowest_change(measured: Measurements, file: str, result: list | dict | None) -> Figure | None:
    """Returns the seconds of the slowest change. One not made, or not in force on all nodes, counts as `MAX_WAIT_S`."""
    changes = [change for change in (result if isinstance(result, list) else [result]) if isinstance(change, dict)]
    if not changes:
        return None
    waits = [change.get("everywhere_s") if change.get("ok") else None for change in changes]
    value = max(MAX_WAIT_S if wait is None else wait for wait in waits)
    return Figure(value, "s", MEASURED, files=(file,), command=measured.command(file), is_lower_bound=None in waits)


def rows(size: Size, measured: Measurements) -> list[Row]:
    """Returns a row for the slowest change of each kind in the scale run; without a run, only rehearsed and simulated ones."""
    file, found = measured.scale_file(size.nodes, "versions"), []

    def add(label: str, figure: Figure | None) -> None:
        if figure is not None and figure.origin == MEASURED and not figure.measured_to:
            figure = measured.with_run_size(file, figure, size.nodes)
        found.append(Row("configuration", CONTROL, MESSAGES, label, figure, size.in_force_within, DISTRIBUTION))

    if file is not None and measured.get(file, "versions"):
        nodes = measured.get(file, "nodes")
        for key, label in (("no_loss", "nothing lost"), ("loss", "5% of datagrams lost")):
            result = measured.get(file, "versions", key) or []
            add(
                f"in force at all of {nodes} nodes, {label}: slowest of {len(result)} changes",
                slowest_change(measured, file, result),
            )
        for file, _, fault in measured.faults(size.nodes):
            for when in ("while", "after"):
                result = fault.get(f"change_{when}")
                if result and not result.get("no_majority"):
                    add(
                        f"in force at all of {measured.get(file, 'nodes')}, a change {when} {fault['kind']}",
                        slowest_change(measured, file, result),
                    )
        file = measured.scale_file(size.nodes, "stretch") or file
        result = measured.get(file, "stretch")
        if result:
            add(
                f"in force at all of {measured.get(file, 'nodes')}, "
                f"slowest of {result['changes']} changes with {result['restarts']} restarts",
                measured.figure(file, "stretch", "everywhere_worst_s", unit="s")
                if not result.get("not_everywhere")
                else Figure(MAX_WAIT_S, "s", MEASURED, files=(file,), command=measured.command(file), is_lower_bound=True),
            )
    else:
        add("time until in force everywhere", None)
    rehearsed = slowest_rehearsed_day(size, measured)
    if rehearsed is not None:
        add("in force at all real fronts of a rehearsed day with cuts, kills and stops: slowest of all sound days", rehearsed)
    for label, figure in simulated(size, measured):
        add(f"{label}, simulated", figure)
    return found


def slowest_rehearsed_day(size: Size, measured: Measurements) -> Figure | None:
    """Returns the time of the slowest rehearsed day without a planted fault (sabotage), with the command of that day."""
    file = "configuration-day.json"
    days = [day for day in measured.get(file, "days") or [] if not day.get("sabotage")]
    if not days:
        return None
    worst = max(days, key=lambda day: day["configuration"]["in_force_max_s"])
    late = any(day["configuration"]["late"] or day["configuration"]["missing"] for day in days)
    return Figure(
        worst["configuration"]["in_force_max_s"],
        "s",
        MEASURED,
        files=(file,),
        command=worst["command"],
        is_lower_bound=late,
        measured_to=REHEARSED_FRONTS,
        required_at=size.nodes,
        extent_unit="fronts",
        from_smaller_run=True,
    )


def simulated(size: Size, measured: Measurements) -> list[tuple[str, Figure | None]]:
    """Returns (label, figure) of the simulation in virtual time, with the number of nodes that the file states."""
    file, found = "versions.json", []
    for key, label in (("no_loss", "nothing lost"), ("loss_of_5_percent", "5% of datagrams lost")):
        waits = measured.get(file, key, "last_node_s")
        if waits:
            value, late = max(MAX_WAIT_S if wait is None else wait for wait in waits), None in waits
            found.append(
                (
                    f"in force everywhere, {label}: slowest of {len(waits)} changes",
                    Figure(value, "s", SIMULATED, files=(file,), command=measured.command(file), is_lower_bound=late),
                )
            )
    for label, path in (
        ("in force in all of a zone that is back at once with empty disks", ("zone_returns_empty", "in_force_in_all_s")),
        ("in force everywhere after regions met", ("regions_apart", "in_force_everywhere_after_meeting_s")),
    ):
        if measured.get(file, path[0]):
            found.append((label, measured.figure(file, *path, unit="s")))
    return [(label, figure and measured.with_run_size(file, figure, size.nodes)) for label, figure in found]
