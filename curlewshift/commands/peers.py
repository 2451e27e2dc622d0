"""`curlewshift peers`: membership as seen by a front."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, view_of_front


@click.group()
def peers():
    """Members of the fleet."""


@peers.command("show")
@STATE
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
def peers_show(state, as_json):
    """Show which members are alive, suspect or gone, since when and by whose report, as the front at the state folder knows."""
    from rich.console import Console
    from rich.table import Table

    view = view_of_front(state, "peers", "the settings name no peers", as_json)
    click.echo(
        f"{view['me']} (life {view['life']}, incarnation {view['incarnation']}): {view['size']} members, "
        f"{view['sent_a_second']} bytes/s sent, {view['received_a_second']} received, health {view['health']}, "
        f"refuted {view['refuted']} suspicions, stalled {view['stalls']} times"
    )
    if view["outlived"]:
        click.echo("a newer process uses this name: this one sends nothing to its peers until that one is gone")
    refused = {why: count for why, count in view["refused"].items() if count}
    if refused:
        click.echo("datagrams refused: " + ", ".join(f"{count} {why}" for why, count in refused.items()))
    table = Table()
    for column in ("member", "address", "life", "incarnation", "state", "for", "reported by", "last received"):
        table.add_column(column)
    for row in view["members"]:
        last_received = "never" if row["heard_s"] is None else f"{row['heard_s']:.1f} s ago"
        table.add_row(
            row["name"],
            row["address"],
            str(row["life"]),
            str(row["incarnation"]),
            row["rank"],
            f"{row['for_s']:.1f} s",
            ", ".join(row["accusers"]) or row["by"],
            last_received,
        )
    Console(width=140).print(table)
