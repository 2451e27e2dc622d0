"""`curlewshift limits`: limits on connections and requests at a front's listener."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, send_to_front


@click.group()
def limits():
    """Limits on connections and requests at a front's listener."""


@limits.command("show")
@STATE
def limits_show(state):
    """Show which clients are being limited, by which limit and since when."""
    from rich.console import Console
    from rich.table import Table

    view = send_to_front(state, {"do": "limits"})
    click.echo(
        f"{view['connections']} connections of {view['most_connections']}, {view['dropped']} idle ones dropped, "
        f"out of file descriptors {view['none_left']} times"
    )
    if view["limits"] is None:
        click.echo("the settings do not limit requests")
        return
    request_limits = view["limits"]
    click.echo(
        f"{request_limits['in_work']} of {request_limits['places']} requests in progress, "
        f"{request_limits['waiting']} queued; refused so far: "
        + (", ".join(f"{count} by {kind}" for kind, count in request_limits["refused"].items()) or "none")
    )
    table = Table(title="being limited now")
    for column in ("limit", "who", "for", "refused"):
        table.add_column(column)
    for row in request_limits["held_back"]:
        table.add_row(row["limit"], row["who"], f"{row['for_ns'] / 1e9:.1f} s", str(row["refused"]))
    Console(width=120).print(table)
    for row in request_limits["heaviest"]:
        click.echo(f"  {row['who']}: about {row['count']:g} recent requests, overestimated by {row['error']:g} at most")
