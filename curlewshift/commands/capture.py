"""`curlewshift capture`: what is in captures."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.commands.common import PATH


@click.group()
def capture():
    """What is in captures, without replaying them."""


def segments_or_exit(log: Path) -> list[Path]:
    """The segments of this log, the oldest first; exits where there are none."""
    from curlewshift.capture.store import life_in, segments_of

    try:
        life = life_in(log)
        found = segments_of(life) if life.is_dir() else [life]
        if not found or not found[0].exists():
            raise FileNotFoundError(f"there is no capture in {log}")
    except OSError as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)
    return found


@capture.command("list")
@click.argument("log", type=PATH)
def capture_list(log):
    """The segments of LOG (a front's capture folder, or one life's) with what they span."""
    from rich.console import Console
    from rich.table import Table

    from curlewshift.capture.index import Indexer
    from curlewshift.capture.records import InvalidCapture
    from curlewshift.capture.store import index_of

    table, indexer, began = Table(), Indexer(), None
    for column in ("segment", "bytes", "records", "from", "to", "viewings"):
        table.add_column(column, justify="left" if column == "segment" else "right")
    for segment in segments_or_exit(log):
        try:
            index = index_of(segment, indexer)
        except (OSError, InvalidCapture) as wrong:
            click.echo(f"curlewshift: {wrong}", err=True)
            sys.exit(2)
        began = index.first if began is None else began
        table.add_row(
            f"{segment.parent.name}/{segment.name}",
            str(segment.stat().st_size),
            str(index.records),
            f"{(index.first - began) / 1e9:.1f} s",
            f"{(index.last - began) / 1e9:.1f} s",
            str(len(index.viewings)),
        )
    Console(width=140).print(table)


@capture.command("show")
@click.argument("log", type=PATH)
@click.option("--viewing", type=int, help="Only what tells of this viewing; other segments are not read.")
@click.option("--since", type=float, default=0.0, help="Seconds from the capture's beginning.")
@click.option("--until", type=float, help="Seconds from the capture's beginning.")
def capture_show(log, viewing, since, until):
    """Records of LOG in words."""
    from curlewshift.capture.index import Indexer, in_words
    from curlewshift.capture.records import InvalidCapture
    from curlewshift.capture.store import index_of, read_segment
    from curlewshift.capture.tap import BEGAN, TOLD

    indexer, began, at = Indexer(), None, 0
    try:
        for _number, segment in enumerate(segments_or_exit(log)):
            index = index_of(segment, Indexer())
            if began is None:
                began = index.first
            past = (until is not None and index.first > began + until * 1e9) or index.last < began + since * 1e9
            if past or (viewing is not None and viewing not in index.viewings):
                continue
            reading = read_segment(segment)
            for record in reading:
                at = record[1] if record[0] == TOLD else at
                told_of = indexer.add(record)
                wanted = viewing is None or told_of == viewing
                if record[0] != BEGAN and wanted and at >= began + since * 1e9 and (until is None or at <= began + until * 1e9):
                    click.echo(in_words(record, began))
            if reading.damage:
                click.echo(f"the capture ends early: {reading.damage}", err=True)
    except (OSError, InvalidCapture) as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)
