"""`curlewshift configuration`: versions of the site file, put at a control machine and in force at all fronts."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.commands.common import STATE, shown_by_front, tell_front

FOLDER = click.option("--state", type=click.Path(path_type=Path), required=True, help="A control machine's state folder.")


@click.group()
def configuration():
    """The site file in force at all fronts, and how to change it."""


@configuration.command("show")
@STATE
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of tables.")
def configuration_show(state, as_json):
    """What the front or control machine at the state folder knows: newest, in force, lowest by zone, who lags or refuses."""
    from rich.console import Console
    from rich.table import Table

    told = shown_by_front(state, "configuration", "the settings have no <configuration>", as_json)
    table = Table(show_header=False)
    for name, value in told.items():
        if not isinstance(value, (dict, list)):
            table.add_row(name.replace("_", " "), "" if value is None else str(value))
    console = Console(width=150)
    console.print(table)
    for name, rows in told.items():
        if isinstance(rows, dict) and rows:
            rows = [{name.rstrip("s"): key, **(value if isinstance(value, dict) else {"": value})} for key, value in rows.items()]
        if rows and isinstance(rows, list):
            console.print(_table(name, [row if isinstance(row, dict) else {name.rstrip("s"): row} for row in rows]))


def _table(title: str, rows: list[dict]):
    from rich.table import Table

    columns = list(dict.fromkeys(key for row in rows for key in row))
    table = Table(title=title.replace("_", " "), title_justify="left")
    for column in columns:
        table.add_column(column.replace("_", " "))
    for row in rows:
        table.add_row(*("" if row.get(column) in (None, []) else str(row[column]) for column in columns))
    return table


@configuration.command("put")
@click.argument("file", type=click.Path(path_type=Path))
@FOLDER
@click.option("--why", required=True, help="Goes into the log with your name.")
@click.option("--base", help="The version that FILE was made from; the one that is the newest now if not said.")
@click.option("--restarts", is_flag=True, help="Take what needs a restart too: each front has it from its next start on.")
def configuration_put(file, state, why, base, restarts):
    """Have FILE in force everywhere. It is checked first; what is wrong with it is told before anybody hears of it."""
    from curlewshift.control.commands import PUT_TIMEOUT_S

    try:
        content = file.read_text()
    except (OSError, UnicodeDecodeError) as wrong:
        click.echo(f"{file}: {wrong}", err=True)
        sys.exit(2)
    if base is None:
        base = tell_front(state, {"do": "content"})["content"]["version"]
    answer = tell_front(
        state,
        {"do": "put", "content": content, "base": base, "name": str(file), "why": why, "restarts": restarts},
        PUT_TIMEOUT_S + 10,
    )
    click.echo(f"{answer['version']} is with a majority of the control machines, and is on its way to all")
    if answer["needs_restart"]:
        click.echo(f"in force at each front from its next start on: {answer['needs_restart']}")


@configuration.command("diff")
@click.argument("file", type=click.Path(path_type=Path))
@FOLDER
def configuration_diff(file, state):
    """The lines by which FILE differs from what is the newest at the state folder; exit 1 if any do."""
    from difflib import unified_diff

    held = tell_front(state, {"do": "content"})["content"]
    if held["text"] is None:
        click.echo("curlewshift: no version was put yet: each front has the file it was given", err=True)
        sys.exit(2)
    try:
        wanted = file.read_text()
    except (OSError, UnicodeDecodeError) as wrong:
        click.echo(f"{file}: {wrong}", err=True)
        sys.exit(2)
    lines = list(unified_diff(held["text"].splitlines(), wanted.splitlines(), held["version"], str(file), lineterm=""))
    for line in lines:
        click.echo(line)
    sys.exit(1 if lines else 0)
