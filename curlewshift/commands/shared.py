"""`curlewshift shared`: what fronts share."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, shown_by_front


@click.group()
def shared():
    """Rights, counts and evidence that fronts share."""


@shared.command("show")
@STATE
@click.option("--server", help="Only this one, with the evidence for and against it.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
def shared_show(state, server, as_json):
    """Rights in hand, use by others, and why a server is doubted, as the front at the state folder holds it."""
    from rich.console import Console
    from rich.table import Table

    told = shown_by_front(
        state,
        "shared",
        "the settings let fronts share nothing",
        as_json,
        lambda told: {**told, "servers": [row for row in told["servers"] if server in (None, row["server"])]},
    )
    click.echo(
        f"{told['me']}: lent {told['given']}, borrowed {told['got']}, came late {told['late']}, could not lend "
        f"{told['refused']}; clock {told['clock_off']:+.2%} against the peers'"
        + (", past the bound: out" if told["out"] else "")
        + (f", quiet for {told['quiet_for_s']} s more" if told["quiet_for_s"] else "")
    )
    table = Table()
    for column in ("server", "rights", "own", "lent to", "borrowed of", "used here", "by others", "told", "doubted"):
        table.add_column(column)
    for row in told["servers"]:
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
        for row in told["servers"]:
            for front, good, bad, weight in row["evidence"]:
                click.echo(f"  {front}: {good:g} well, {bad:g} ill, weight {weight:g}")
