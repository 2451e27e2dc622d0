"""`curlewshift peers`: which fronts a front knows."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, shown_by_front


@click.group()
def peers():
    """The fronts that know each other."""


@peers.command("show")
@STATE
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
def peers_show(state, as_json):
    """Who is in, suspected or gone, for how long and by whose word, as the front at the state folder holds it."""
    from rich.console import Console
    from rich.table import Table

    told = shown_by_front(state, "peers", "the settings name no peers", as_json)
    click.echo(
        f"{told['me']} (life {told['life']}, incarnation {told['incarnation']}): {told['size']} in, "
        f"{told['sent_a_second']} bytes a second out, {told['received_a_second']} in, health {told['health']}, "
        f"contradicted {told['refuted']} times, stood still {told['stalls']} times"
    )
    if told["outlived"]:
        click.echo("a later process has this name: this one is silent to its peers until that one is gone")
    refused = {why: count for why, count in told["refused"].items() if count}
    if refused:
        click.echo("datagrams refused: " + ", ".join(f"{count} {why}" for why, count in refused.items()))
    table = Table()
    for column in ("member", "address", "life", "incarnation", "stands", "for", "by the word of", "last heard"):
        table.add_column(column)
    for row in told["members"]:
        heard = "never" if row["heard_s"] is None else f"{row['heard_s']:.1f} s ago"
        table.add_row(
            row["name"],
            row["address"],
            str(row["life"]),
            str(row["incarnation"]),
            row["rank"],
            f"{row['for_s']:.1f} s",
            ", ".join(row["accusers"]) or row["by"],
            heard,
        )
    Console(width=140).print(table)
