"""`curlewshift capture`: lists and prints captures."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.commands.common import PATH


@click.group()
def capture():
    """List and print captures without replaying them."""


def segments_or_exit(log: Path) -> list[Path]:
    """The segments of this log, oldest first; exits with 2 if there are none."""
    from curlewshift.capture.store import life_in, segments_of

    try:
        life = life_in(log)
        found = segments_of(life) if life.is_dir() else [life]
        if not found or not found[0].exists():
            raise FileNotFoundError(f"there is no capture in {log}")
    except OSError as error:
        click.echo(f"curlewshift: {error}", err=True)
        sys.exit(2)
    return found


@capture.command("list")
@click.argument("log", type=PATH)
def capture_list(log):
    """List the segments of LOG (a front's capture folder, or that of one run of its process) with their size and time span."""
    from rich.console import Console
    from rich.table import Table

    from curlewshift.capture.index import Indexer
    from curlewshift.capture.records import InvalidCapture
    from curlewshift.capture.store import index_of

    table, indexer, start = Table(), Indexer(), None
    for column in ("segment", "bytes", "records", "from", "to", "viewings"):
        table.add_column(column, justify="left" if column == "segment" else "right")
    for segment in segments_or_exit(log):
        try:
            index = index_of(segment, indexer)
        except (OSError, InvalidCapture) as error:
            click.echo(f"curlewshift: {error}", err=True)
            sys.exit(2)
        start = index.first if start is None else start
        table.add_row(
            f"{segment.parent.name}/{segment.name}",
            str(segment.stat().st_size),
            str(index.records),
            f"{(index.first - start) / 1e9:.1f} s",
            f"{(index.last - start) / 1e9:.1f} s",
            str(len(index.viewings)),
        )
    Console(width=140).print(table)


@capture.command("show")
@click.argument("log", type=PATH)
@click.option("--viewing", type=int, help="Only records of this viewing; segments without it are not read.")
@click.option("--since", type=float, default=0.0, help="Seconds from the start of the capture.")
@click.option("--until", type=float, help="Seconds from the start of the capture.")
def capture_show(log, viewing, since, until):
    """Print the records of LOG as text."""
    from curlewshift.capture.index import Indexer, in_words
    from curlewshift.capture.records import InvalidCapture
    from curlewshift.capture.store import index_of, read_segment
    from curlewshift.capture.tap import BEGAN, TOLD

    indexer, start, at = Indexer(), None, 0
    try:
        for _number, segment in enumerate(segments_or_exit(log)):
            index = index_of(segment, Indexer())
            if start is None:
                start = index.first
            out_of_range = (until is not None and index.first > start + until * 1e9) or index.last < start + since * 1e9
            if out_of_range or (viewing is not None and viewing not in index.viewings):
                continue
            reading = read_segment(segment)
            for record in reading:
                at = record[1] if record[0] == TOLD else at
                record_viewing = indexer.add(record)
                selected = viewing is None or record_viewing == viewing
                if record[0] != BEGAN and selected and at >= start + since * 1e9 and (until is None or at <= start + until * 1e9):
                    click.echo(in_words(record, start))
            if reading.damage:
                click.echo(f"the capture ends early: {reading.damage}", err=True)
    except (OSError, InvalidCapture) as error:
        click.echo(f"curlewshift: {error}", err=True)
        sys.exit(2)
