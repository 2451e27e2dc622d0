"""`curlewshift overload`: admission control of a front under overload."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, view_of_front


@click.group()
def overload():
    """Admission levels of the fleet."""


@overload.command("show")
@STATE
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
def overload_show(state, as_json):
    """Show the level of each zone, its reason and age, and which packages it sheds, as known to the front at the state folder."""
    from rich.console import Console
    from rich.table import Table

    view = view_of_front(state, "overload", "the settings have no overload control", as_json)
    click.echo(
        f"{view['me']}: admitted {view['let_in']}, shed "
        + (", ".join(f"{count} of {package}" for package, count in view["shed"].items()) or "none")
        + f"; {view['further_left']} tune-ins beyond the first left"
    )
    table = Table()
    for column in ("zone", "level", "for", "out of room", "shed", "reason", "announced", "aggregated here"):
        table.add_column(column)
    for row in view["zones"]:
        shed = ", ".join(f"{part:.0%} of {package}" for package, part in row["shed"].items() if part)
        table.add_row(
            row["zone"],
            f"{row['level']} of {row['of']}",
            f"{row['for_s']} s",
            f"{row['full']:.0%}",
            shed or "none",
            row["why"],
            "" if row["told"] is None else str(row["told"]),
            "yes" if row["adds_up"] else "",
        )
    Console(width=150).print(table)
