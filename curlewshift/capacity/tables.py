"""Renders the tables of docs/CAPACITY.md as Markdown from a size and the measurements."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from curlewshift.capacity import at_control, at_node
from curlewshift.capacity.failures import Failures
from curlewshift.capacity.figures import NOT_MEASURED, Figure, format_number
from curlewshift.capacity.given import DISTRIBUTED
from curlewshift.capacity.measured import Measurements
from curlewshift.capacity.options import not_measured, shortfalls
from curlewshift.capacity.questions import questions
from curlewshift.capacity.rows import NOTHING, ROLES, Row
from curlewshift.capacity.size import Size


def all_rows(size: Size, measured: Measurements) -> list[Row]:
    return at_control.rows(size, measured) + at_node.rows(size, measured)


def tables(size: Size, measured: Measurements, root: Path) -> dict[str, str]:
    """Returns Markdown by table name, in the order of the page. A mechanism that is not found under `root` counts as absent."""
    rows = all_rows(size, measured)
    result = {
        "size": size_table(size),
        "questions": table(("word", "as read here", "the other way", "what changes then"), questions(size, measured)),
    }
    for role in ROLES:
        result[role] = role_table([row for row in rows if row.role == role], root)
    result["failures"] = failures_table(size, measured)
    result["before"] = order_table(without_distribution(rows), root, size, options=False)
    result["order"] = order_table(rows, root, size)
    result["open"] = table(
        ("not measured", "role", "carried by"),
        [(row.description, row.role, mechanism_cell(row, root)) for row in not_measured(rows, root)],
    )
    result["slopes"] = slopes_table(measured)
    return result


def table(headers: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = ["| " + " | ".join(headers) + " |", "|" + " --- |" * len(headers)]
    return "\n".join(lines + ["| " + " | ".join(cell.replace("|", "/") for cell in row) + " |" for row in rows])


def size_table(size: Size) -> str:
    rows = [
        (label, f"{format_number(value)} {unit}", origin)
        for label, value, unit, origin in (
            ("front nodes", size.nodes, "", "wanted"),
            ("connections", size.connections, "", "wanted"),
            ("connections a node", size.connections_a_node, "", "worked out"),
            ("shards of topics", size.shards, "", "wanted"),
            ("listeners of the largest topic", size.largest_topic_listeners, "", "wanted"),
            ("deliveries a second", size.deliveries, "", "wanted"),
            ("deliveries a second a node", size.deliveries_a_node, "", "worked out"),
            ("their p99", size.p99 * 1000, "ms", "wanted"),
            ("regions, zones", size.regions, f", {size.zones}", "wanted"),
            ("nodes a zone", size.nodes_a_zone, "", "worked out"),
            ("changes of configuration a day", size.changes_a_day, "", "wanted"),
            ("each in force everywhere within", size.in_force_within, "s", "wanted"),
            ("control a node: processor time", size.control_core * 100, "% of a core", "wanted"),
            ("control a node: memory", size.control_memory, "MB", "wanted"),
            ("control a node: bytes a second", size.control_bytes, "", "wanted"),
            ("machines set aside for control", size.control_machines, "", "wanted"),
        )
    ]
    rows += [(name.replace("-", " "), format_number(value), f"assumed: {why}") for name, (value, why) in size.assumed.items()]
    return table(("what", "at this size", "whence"), [(a, b.replace(" ,", ",").strip(), c) for a, b, c in rows])


def mechanism_cell(row: Row, root: Path) -> str:
    if row.mechanism is None or not row.mechanism.exists(root):
        return "nothing"
    return f"`{row.mechanism.file.removeprefix('curlewshift/')}`, `{row.mechanism.name.split()[-1]}`"


def slope_cell(figure: Figure | None) -> str:
    """Returns the source of a figure: files, how it was read from its slope, and the measured range if it was extrapolated."""
    if figure is None or not figure.files:
        return ""
    return "; ".join(part for part in (", ".join(f"`{file}`" for file in figure.files), figure.method, figure.limit()) if part)


def command_cell(figures: tuple[Figure | None, ...]) -> str:
    commands = dict.fromkeys(command for figure in figures if figure for command in figure.command.split(" ; ") if command)
    return ", ".join(f"`{command}`" for command in commands)


def role_table(rows: list[Row], root: Path) -> str:
    return table(
        ("what", "needs", "figure", "carried by", "slope, limit", "verdict", "command"),
        [
            (
                row.what,
                row.description,
                row.figure.text() if row.figure else NOT_MEASURED,
                mechanism_cell(row, root),
                slope_cell(row.figure),
                row.verdict(root),
                command_cell((row.figure,)),
            )
            for row in rows
        ],
    )


def failures_table(size: Size, measured: Measurements) -> str:
    return table(
        ("what fails", "how often", "who notices, how soon", "what moves", "what it costs the others", "what waits", "commands"),
        [
            (failure.what, failure.often, failure.notices, failure.moves, failure.costs, failure.waits, command_cell(failure.of))
            for failure in Failures(size, measured).all()
        ],
    )


def order_table(rows: list[Row], root: Path, size: Size, options: bool = True) -> str:
    result = []
    for position, shortfall in enumerate(shortfalls(rows, root), 1):
        status = [f"{NOTHING}: {shortfall.uncovered.description} ({shortfall.uncovered.role})"] if shortfall.uncovered else []
        status += (
            [f"{shortfall.over.verdict(root)}: {shortfall.over.description} ({shortfall.over.role})"] if shortfall.over else []
        )
        options_text = "; ".join(f"**{option}** ({cost})" for option, cost in shortfall.options(size)) or "none thought of yet"
        result.append(
            (
                str(position),
                key_text(shortfall.key),
                "; ".join(status),
                ", ".join(map(key_text, shortfall.dependents)) or "nothing",
                *([options_text] if options else []),
            )
        )
    return table(
        ("", "what", "how it stands", "what rests on it", *(["options, and what each costs"] if options else [])), result
    )


def key_text(key: str) -> str:
    return key.replace("-", " ")


def without_distribution(rows: list[Row]) -> list[Row]:
    """Returns the rows without the mechanisms of configuration distribution, to show the state before it was added."""
    return [replace(row, mechanism=None) if row.mechanism in DISTRIBUTED else row for row in rows]


def slopes_table(measured: Measurements) -> str:
    rows = [
        (
            slope.name,
            slope.of,
            slope.fit_text(),
            f"{format_number(slope.points[0][0])} to {format_number(slope.measured_to)} {slope.x_unit}",
            f"`{slope.file}`",
            measured.machine(slope.file),
            f"`{slope.command}`",
        )
        for slope in measured.slopes.values()
    ]
    headers = ("slope", "of", "fit", "measured", "file", "machine, and its load", "command")
    return table(headers, rows) if rows else "No slope is measured yet."
