"""`curlewshift shared`: state that fronts share."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, view_of_front


@click.group()
def shared():
    """Rights, counts and evidence that fronts share."""


@shared.command("show")
@STATE
@click.option("--server", help="Show only this server, with the evidence for and against it.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
def shared_show(state, server, as_json):
    """Show rights held, use by other fronts, and doubted servers, as known to the front at the state folder."""
    from rich.console import Console
    from rich.table import Table

    view = view_of_front(
        state,
        "shared",
        "the settings do not enable sharing",
        as_json,
        lambda view: {**view, "servers": [row for row in view["servers"] if server in (None, row["server"])]},
    )
    click.echo(
        f"{view['me']}: lent {view['given']}, borrowed {view['got']}, {view['late']} late, {view['refused']} loans "
        f"refused; clock {view['clock_off']:+.2%} against the peers'"
        + (", beyond the bound: excluded" if view["out"] else "")
        + (f", quiet for {view['quiet_for_s']} s more" if view["quiet_for_s"] else "")
    )
    table = Table()
    for column in ("server", "rights", "own", "lent to", "borrowed of", "used here", "by others", "reported", "doubted"):
        table.add_column(column)
    for row in view["servers"]:
        others = "" if row["used_by_others"] is None else f"{row['used_by_others']} kB/s"
        table.add_row(
            row["server"],
            str(row["rights"]),
            str(row["own"]),
            row["lent_to"],
            " ".join(row["borrowed_of"]),
            f"{row['used_here']} kB/s",
            others,
            "" if row["told_s"] is None else f"{row['told_s']} s ago",
            "yes" if row["doubted"] else "",
        )
    Console(width=150).print(table)
    if server is not None:
        for row in view["servers"]:
            for front, good, bad, weight in row["evidence"]:
                click.echo(f"  {front}: {good:g} good, {bad:g} bad, weight {weight:g}")
