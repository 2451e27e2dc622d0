"""`curlewshift peak`: announced demand peaks of a running front."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, send_to_front


@click.group()
def peak():
    """Announced demand peaks of a running front, through its state folder."""


WHY = click.option("--why", required=True, help="Reason, logged with your user name.")


def parse_time(text: str) -> int:
    """Unix time (ns) of an ISO 8601 date and time (local time if it has no zone), or of +SPAN from now."""
    import time
    from datetime import datetime

    from curlewshift.site.reading import parse_duration

    try:
        if text.startswith("+"):
            return time.time_ns() + parse_duration(text[1:])
        return int(datetime.fromisoformat(text).timestamp() * 1e9)
    except (ValueError, AttributeError, KeyError, OverflowError):
        raise click.BadParameter(f"{text!r} is neither a date and time, such as 2027-01-31T17:00+01:00, nor +10min") from None


@peak.command("announce")
@click.argument("name")
@STATE
@click.option("--package", required=True)
@click.option("--starts", required=True, help="Date and time, or +SPAN from now.")
@click.option("--ends", required=True, help="Date and time, or +SPAN from now.")
@click.option("--rate", type=float, required=True, help="Viewings of the package per second, over all fronts.")
@click.option("--most", type=float, default=0.5, help="Maximum part of a link that may be reserved.")
@click.option("--lasts", default="0s", help="Duration of its viewings, if known.")
@WHY
def peak_announce(name, state, package, starts, ends, rate, most, lasts, why):
    """Announce the peak NAME to this front. Every front needs its own announcement."""
    from curlewshift.site.reading import parse_duration

    try:
        length = parse_duration(lasts)
    except (AttributeError, KeyError, ValueError):
        raise click.BadParameter(f"{lasts!r} is not a duration with its unit, such as 20s") from None
    send_to_front(
        state,
        {
            "do": "announce",
            "why": why,
            "peak": {
                "name": name,
                "package": package,
                "starts": parse_time(starts),
                "ends": parse_time(ends),
                "rate": rate,
                "most": most,
                "lasts": length,
            },
        },
    )


@peak.command("cancel")
@click.argument("name")
@STATE
@WHY
def peak_cancel(name, state, why):
    """Cancel the peak NAME; its reservation is released within a second."""
    send_to_front(state, {"do": "cancel", "name": name, "why": why})


@peak.command("list")
@STATE
def peak_list(state):
    """List the announced peaks and what this front reserves for them."""
    from datetime import datetime

    from rich.console import Console
    from rich.table import Table

    table = Table()
    for column in ("peak", "package", "starts", "ends", "per second", "max", "phase", "reserved here", "who", "why"):
        table.add_column(column)
    for row in send_to_front(state, {"do": "peaks"})["peaks"]:
        times = [
            datetime.fromtimestamp(row[name] / 1e9).astimezone().isoformat(timespec="seconds") for name in ("starts", "ends")
        ]
        table.add_row(
            row["name"],
            row["package"],
            *times,
            f"{row['rate']:g}",
            f"{row['most']:.0%}",
            row["phase"],
            f"{row['held_here']} kB/s",
            row["who"],
            row["why"],
        )
    Console(width=200).print(table)
