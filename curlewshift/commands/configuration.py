"""`curlewshift configuration`: versions of the site file, submitted to a control machine and put in force at all fronts."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.commands.common import STATE, send_to_front, view_of_front

FOLDER = click.option("--state", type=click.Path(path_type=Path), required=True, help="A control machine's state folder.")


@click.group()
def configuration():
    """The site file in force at all fronts, and how to change it."""


@configuration.command("show")
@STATE
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of tables.")
def configuration_show(state, as_json):
    """Show the versions known to the front or control machine: newest, in force, lowest by zone, and who lags or refuses."""
    from rich.console import Console
    from rich.table import Table

    view = view_of_front(state, "configuration", "the settings have no <configuration>", as_json)
    table = Table(show_header=False)
    for name, value in view.items():
        if not isinstance(value, (dict, list)):
            table.add_row(name.replace("_", " "), "" if value is None else str(value))
    console = Console(width=150)
    console.print(table)
    for name, rows in view.items():
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
@click.option("--why", required=True, help="Reason, logged with your user name.")
@click.option("--base", help="The version that FILE was derived from; the newest one by default.")
@click.option(
    "--restarts", is_flag=True, help="Also accept changes that need a restart; each front applies them at its next start."
)
def configuration_put(file, state, why, base, restarts):
    """Put FILE in force at all fronts. It is validated first; errors are reported before anything is distributed."""
    from curlewshift.control.commands import PUT_TIMEOUT_S

    try:
        content = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)
    if base is None:
        base = send_to_front(state, {"do": "content"})["content"]["version"]
    answer = send_to_front(
        state,
        {"do": "put", "content": content, "base": base, "name": str(file), "why": why, "restarts": restarts},
        PUT_TIMEOUT_S + 10,
    )
    click.echo(f"{answer['version']} is stored by a majority of the control machines, and is being distributed to all")
    if answer["needs_restart"]:
        click.echo(f"applied by each front at its next start: {answer['needs_restart']}")


@configuration.command("diff")
@click.argument("file", type=click.Path(path_type=Path))
@FOLDER
def configuration_diff(file, state):
    """Compare FILE with the newest version at the state folder, line by line; exit 1 if they differ."""
    from difflib import unified_diff

    newest = send_to_front(state, {"do": "content"})["content"]
    if newest["text"] is None:
        click.echo("curlewshift: no version has been submitted yet: each front uses the file that it was started with", err=True)
        sys.exit(2)
    try:
        file_text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)
    lines = list(unified_diff(newest["text"].splitlines(), file_text.splitlines(), newest["version"], str(file), lineterm=""))
    for line in lines:
        click.echo(line)
    sys.exit(1 if lines else 0)
