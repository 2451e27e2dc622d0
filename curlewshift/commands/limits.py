"""`curlewshift limits`: what a front bounds at its door."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, tell_front


@click.group()
def limits():
    """What a front bounds at its door."""


@limits.command("show")
@STATE
def limits_show(state):
    """Who is held back, by which limit and since when."""
    from rich.console import Console
    from rich.table import Table

    told = tell_front(state, {"do": "limits"})
    click.echo(
        f"{told['connections']} connections of {told['most_connections']}, {told['dropped']} idle ones dropped, "
        f"{told['none_left']} times none left"
    )
    if told["limits"] is None:
        click.echo("the settings bound no requests")
        return
    held = told["limits"]
    click.echo(
        f"{held['in_work']} requests in work of {held['places']}, {held['waiting']} in line; refused so far: "
        + (", ".join(f"{count} by {kind}" for kind, count in held["refused"].items()) or "none")
    )
    table = Table(title="held back now")
    for column in ("limit", "who", "for", "refused"):
        table.add_column(column)
    for row in held["held_back"]:
        table.add_row(row["limit"], row["who"], f"{row['for_ns'] / 1e9:.1f} s", str(row["refused"]))
    Console(width=120).print(table)
    for row in held["heaviest"]:
        click.echo(f"  {row['who']}: {row['count']:g} of late, {row['error']:g} of them perhaps not")
