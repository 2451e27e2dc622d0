"""The tables of docs/CAPACITY.md as text, by name. One size and what was measured in; markdown out."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from curlewshift.capacity import at_control, at_node
from curlewshift.capacity.failures import Failures
from curlewshift.capacity.figures import NOT_MEASURED, Figure, short
from curlewshift.capacity.given import DISTRIBUTED
from curlewshift.capacity.measured import Measurements
from curlewshift.capacity.options import not_measured, shortfalls
from curlewshift.capacity.questions import questions
from curlewshift.capacity.rows import NOTHING, ROLES, Row
from curlewshift.capacity.size import Size


def all_rows(size: Size, measured: Measurements) -> list[Row]:
    return at_control.rows(size, measured) + at_node.rows(size, measured)


def tables(size: Size, measured: Measurements, root: Path) -> dict[str, str]:
    """Name to markdown, in the order of the page. `root` is the tree's: a mechanism that is not there carries nothing."""
    rows = all_rows(size, measured)
    made = {
        "size": size_table(size),
        "questions": table(("word", "as read here", "the other way", "what changes then"), questions(size, measured)),
    }
    for role in ROLES:
        made[role] = role_table([row for row in rows if row.role == role], root)
    made["failures"] = failures_table(size, measured)
    made["before"] = order_table(before(rows), root, size, options=False)
    made["order"] = order_table(rows, root, size)
    made["open"] = table(
        ("not measured", "role", "carried by"), [(row.says, row.role, by(row, root)) for row in not_measured(rows, root)]
    )
    made["slopes"] = slopes_table(measured)
    return made


def table(heads: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = ["| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)]
    return "\n".join(lines + ["| " + " | ".join(cell.replace("|", "/") for cell in row) + " |" for row in rows])


def size_table(size: Size) -> str:
    rows = [
        (words, f"{short(value)} {unit}", how)
        for words, value, unit, how in (
            ("front nodes", size.nodes, "", "wanted"),
            ("connections", size.connections, "", "wanted"),
            ("connections a node", size.connections_a_node, "", "worked out"),
            ("shards of topics", size.shards, "", "wanted"),
            ("listeners of the largest topic", size.largest, "", "wanted"),
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
    rows += [(name.replace("-", " "), short(value), f"assumed: {why}") for name, (value, why) in size.assumed.items()]
    return table(("what", "at this size", "whence"), [(a, b.replace(" ,", ",").strip(), c) for a, b, c in rows])


def by(row: Row, root: Path) -> str:
    if row.by is None or not row.by.there(root):
        return "nothing"
    return f"`{row.by.file.removeprefix('curlewshift/')}`, `{row.by.name.split()[-1]}`"


def slope_cell(figure: Figure | None) -> str:
    """Where the figure comes from: files, fit, and the limit of the machine where it was carried beyond."""
    if figure is None or not figure.files:
        return ""
    return "; ".join(one for one in (", ".join(f"`{file}`" for file in figure.files), figure.by, figure.limit()) if one)


def command_cell(figures: tuple[Figure | None, ...]) -> str:
    commands = dict.fromkeys(command for one in figures if one for command in one.command.split(" ; ") if command)
    return ", ".join(f"`{command}`" for command in commands)


def role_table(rows: list[Row], root: Path) -> str:
    return table(
        ("what", "needs", "figure", "carried by", "slope, limit", "verdict", "command"),
        [
            (
                row.what,
                row.says,
                row.figure.text() if row.figure else NOT_MEASURED,
                by(row, root),
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
            (one.what, one.often, one.notices, one.moves, one.costs, one.waits, command_cell(one.of))
            for one in Failures(size, measured).all()
        ],
    )


def order_table(rows: list[Row], root: Path, size: Size, options: bool = True) -> str:
    made = []
    for place, one in enumerate(shortfalls(rows, root), 1):
        stands = [f"{NOTHING}: {one.nothing.says} ({one.nothing.role})"] if one.nothing else []
        stands += [f"{one.over.verdict(root)}: {one.over.says} ({one.over.role})"] if one.over else []
        said = "; ".join(f"**{option}** ({cost})" for option, cost in one.options(size)) or "none thought of yet"
        made.append(
            (
                str(place),
                words_of(one.key),
                "; ".join(stands),
                ", ".join(map(words_of, one.resting)) or "nothing",
                *([said] if options else []),
            )
        )
    return table(("", "what", "how it stands", "what rests on it", *(["options, and what each costs"] if options else [])), made)


def words_of(key: str) -> str:
    return key.replace("-", " ")


def before(rows: list[Row]) -> list[Row]:
    """The rows as they were before distribution: nothing carried what it carries."""
    return [replace(row, by=None) if row.by in DISTRIBUTED else row for row in rows]


def slopes_table(measured: Measurements) -> str:
    rows = [
        (
            one.name,
            one.of,
            one.fit(),
            f"{short(one.points[0][0])} to {short(one.measured_to)} {one.x_unit}",
            f"`{one.file}`",
            measured.machine(one.file),
            f"`{one.command}`",
        )
        for one in measured.slopes.values()
    ]
    heads = ("slope", "of", "fit", "measured", "file", "machine, and its load", "command")
    return table(heads, rows) if rows else "No slope is measured yet."
