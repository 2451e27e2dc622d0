"""`curlewshift overload`: who is let in when not all can be."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, shown_by_front


@click.group()
def overload():
    """The level of admission of the fleet."""


@overload.command("show")
@STATE
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
def overload_show(state, as_json):
    """The level of each zone, why and since when, and who is shed by it, as the front at the state folder has it."""
    from rich.console import Console
    from rich.table import Table

    told = shown_by_front(state, "overload", "the settings bound nothing when more is asked for than there is room", as_json)
    click.echo(
        f"{told['me']}: let in {told['let_in']}, shed "
        + (", ".join(f"{count} of {package}" for package, count in told["shed"].items()) or "nobody")
        + f"; {told['further_left']} tune-ins beyond the first left"
    )
    table = Table()
    for column in ("zone", "level", "for", "out of room", "shed", "why", "told", "adds up"):
        table.add_column(column)
    for row in told["zones"]:
        shed = ", ".join(f"{part:.0%} of {package}" for package, part in row["shed"].items() if part)
        table.add_row(
            row["zone"],
            f"{row['level']} of {row['of']}",
            f"{row['for_s']} s",
            f"{row['full']:.0%}",
            shed or "nobody",
            row["why"],
            "" if row["told"] is None else str(row["told"]),
            "yes" if row["adds_up"] else "",
        )
    Console(width=150).print(table)
