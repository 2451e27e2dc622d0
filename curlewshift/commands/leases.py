"""`curlewshift leases`: who may do what for the whole fleet."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, shown_by_front, tell_front


@click.group()
def leases():
    """Leases for work that is done once for all fronts."""


@leases.command("show")
@STATE
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
def leases_show(state, as_json):
    """What the front at the state folder holds, since and until when, and why it holds nothing where it wants to."""
    from rich.console import Console
    from rich.table import Table

    told = shown_by_front(state, "leases", "the settings name no leases", as_json)
    click.echo(
        f"{told['me']}" + (", a keeper" if told["keeper"] else "") + (", still silent after its start" if told["silent"] else "")
    )
    table = Table()
    for column in ("lease", "held here", "number", "since", "until", "keepers", "why not", "kept here for"):
        table.add_column(column)
    for row in told["leases"]:
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
@click.option("--why", required=True, help="Goes into the log with your name.")
def leases_release(lease, state, why):
    """Have the front at the state folder give LEASE back, and leave it alone for two terms."""
    tell_front(state, {"do": "release", "name": lease, "why": why})
