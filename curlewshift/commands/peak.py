"""`curlewshift peak`: announced peaks of a front that runs."""

from __future__ import annotations

import click

from curlewshift.commands.common import STATE, tell_front


@click.group()
def peak():
    """Announced peaks of a front that runs, through its state folder."""


WHY = click.option("--why", required=True, help="Goes into the log with your name.")


def moment(text: str) -> int:
    """Unix time in ns, of a date and time with its zone or in this machine's, or of +SPAN from now."""
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
@click.option("--rate", type=float, required=True, help="Viewings of the package a second, all fronts together.")
@click.option("--most", type=float, default=0.5, help="The part of any link that may be held, at most.")
@click.option("--lasts", default="0s", help="How long its viewings last, if known.")
@WHY
def peak_announce(name, state, package, starts, ends, rate, most, lasts, why):
    """Announce the peak NAME. Tell every front."""
    from curlewshift.site.reading import parse_duration

    try:
        length = parse_duration(lasts)
    except (AttributeError, KeyError, ValueError):
        raise click.BadParameter(f"{lasts!r} is no time with its unit, such as 20s") from None
    tell_front(
        state,
        {
            "do": "announce",
            "why": why,
            "peak": {
                "name": name,
                "package": package,
                "starts": moment(starts),
                "ends": moment(ends),
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
    """Take the peak NAME off the calendar; what is held for it is given back at the next second."""
    tell_front(state, {"do": "cancel", "name": name, "why": why})


@peak.command("list")
@STATE
def peak_list(state):
    """What is announced, and what is held for it here."""
    from datetime import datetime

    from rich.console import Console
    from rich.table import Table

    table = Table()
    for column in ("peak", "package", "starts", "ends", "a second", "most", "phase", "held here", "who", "why"):
        table.add_column(column)
    for row in tell_front(state, {"do": "peaks"})["peaks"]:
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
