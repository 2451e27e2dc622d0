"""`curlewshift capacity`: what a size needs, by what was measured, and the page that says so."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.commands.common import PATH, read_or_exit

ROOT = Path(__file__).resolve().parents[2]
USUAL, PAGE, MEASURED = ROOT / "deploy/sizes/two-years.xml", ROOT / "docs/CAPACITY.md", ROOT / "docs/measured"


@click.command()
@click.argument("size", type=PATH, default=USUAL)
@click.option("--check", is_flag=True, help="Hold the page to what is worked out; exit 1 where a line differs.")
@click.option("--write", is_flag=True, help="Put the tables into the page.")
@click.option("--only", "name", help="One table of them, by its name.")
@click.option("--page", type=PATH, default=PAGE, help="The page; docs/CAPACITY.md if not said.")
@click.option("--measured", type=PATH, default=MEASURED, help="The folder of measurements; docs/measured if not said.")
def capacity(size, check, write, name, page, measured):
    """Work out what each role needs at SIZE from docs/measured, and whether that holds."""
    from curlewshift.capacity.page import PageTableMismatch, differences, written
    from curlewshift.capacity.slopes import InvalidMeasurements
    from curlewshift.capacity.tables import tables

    try:
        made = tables(read_or_exit(read_size, size), measured_in(measured), ROOT)
        if name is not None:
            if name not in made:
                click.echo(f"curlewshift: there is no table {name!r}, but {', '.join(made)}", err=True)
                sys.exit(2)
            click.echo(made[name])
        elif write:
            text = page.read_text()
            changed = len(differences(text, made))
            page.write_text(written(text, made))
            click.echo(f"{page}: {changed} lines changed")
        elif check:
            wrong = differences(page.read_text(), made)
            for line, stands, should in wrong:
                click.echo(f"{page}:{line}: stands: {stands}\n{page}:{line}: should: {should}", err=True)
            sys.exit(1 if wrong else 0)
        else:
            for title, table in made.items():
                click.echo(f"## {title}\n\n{table}\n")
    except (InvalidMeasurements, PageTableMismatch, OSError) as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)


def measured_in(folder: Path):
    """The figures kept in this folder."""
    from curlewshift.capacity.measured import Measurements

    return Measurements(folder)


def read_size(path: Path):
    """The size of a file. Raises `SiteErrors` with all that is wrong, by line."""
    from curlewshift.capacity.size import SCHEMA, size_of
    from curlewshift.site.reading import SiteErrors, read_xml

    wrong: list[tuple[int, str]] = []
    size = size_of(read_xml(path, SCHEMA), wrong)
    if wrong:
        raise SiteErrors(path, wrong)
    return size
