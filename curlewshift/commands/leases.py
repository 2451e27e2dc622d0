"""`curlewshift leases`: leases for tasks of the whole fleet."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, send_to_front, view_of_front


@click.group()
def leases():
    """Leases for tasks that one front performs for all fronts."""


@leases.command("show")
@STATE
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
def leases_show(state, as_json):
    """Show the leases of the front at the state folder: since and until when it holds them, or why it could not get them."""
    from rich.console import Console
    from rich.table import Table

    view = view_of_front(state, "leases", "the settings name no leases", as_json)
    click.echo(
        f"{view['me']}" + (", a keeper" if view["keeper"] else "") + (", still silent after its start" if view["silent"] else "")
    )
    table = Table()
    for column in ("lease", "held here", "number", "since", "until", "keepers", "why not", "kept here for"):
        table.add_column(column)
    for row in view["leases"]:
        table.add_row(
            row["lease"],
            "yes" if row["held_here"] else "",
            str(row["number"] or ""),
            "" if row["since_s"] is None else f"{row['since_s']} s ago",
            "" if row["until_s"] is None else f"in {row['until_s']} s",
            str(row["keepers_heard"] or ""),
            row["why_not"],
            row["kept_for"],
        )
    Console(width=150).print(table)


@leases.command("release")
@click.argument("lease")
@STATE
@click.option("--why", required=True, help="Reason, logged with your user name.")
def leases_release(lease, state, why):
    """Make the front at the state folder release LEASE and not request it again for two terms."""
    send_to_front(state, {"do": "release", "name": lease, "why": why})
