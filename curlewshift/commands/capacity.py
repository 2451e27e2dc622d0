"""`curlewshift capacity`: the resources a deployment size needs, computed from measurements, and the page that lists them."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.commands.common import PATH, read_or_exit

ROOT = Path(__file__).resolve().parents[2]
DEFAULT_SIZE, PAGE, MEASURED = ROOT / "deploy/sizes/two-years.xml", ROOT / "docs/CAPACITY.md", ROOT / "docs/measured"


@click.command()
@click.argument("size", type=PATH, default=DEFAULT_SIZE)
@click.option("--check", is_flag=True, help="Compare the page with the computed tables; exit 1 if a line differs.")
@click.option("--write", is_flag=True, help="Write the tables into the page.")
@click.option("--only", "name", help="Print this table only.")
@click.option("--page", type=PATH, default=PAGE, help="The page; docs/CAPACITY.md by default.")
@click.option("--measured", type=PATH, default=MEASURED, help="The folder of measurements; docs/measured by default.")
def capacity(size, check, write, name, page, measured):
    """Compute what each role needs at SIZE from docs/measured, and whether it stays within the bounds."""
    from curlewshift.capacity.page import PageTableMismatch, differences, written
    from curlewshift.capacity.slopes import InvalidMeasurements
    from curlewshift.capacity.tables import tables

    try:
        rendered = tables(read_or_exit(read_size, size), measurements_in(measured), ROOT)
        if name is not None:
            if name not in rendered:
                click.echo(f"curlewshift: unknown table {name!r}; known tables: {', '.join(rendered)}", err=True)
                sys.exit(2)
            click.echo(rendered[name])
        elif write:
            text = page.read_text()
            changed = len(differences(text, rendered))
            page.write_text(written(text, rendered))
            click.echo(f"{page}: {changed} lines changed")
        elif check:
            mismatches = differences(page.read_text(), rendered)
            for line, actual, expected in mismatches:
                click.echo(f"{page}:{line}: actual: {actual}\n{page}:{line}: expected: {expected}", err=True)
            sys.exit(1 if mismatches else 0)
        else:
            for title, table in rendered.items():
                click.echo(f"## {title}\n\n{table}\n")
    except (InvalidMeasurements, PageTableMismatch, OSError) as error:
        click.echo(f"curlewshift: {error}", err=True)
        sys.exit(2)


def measurements_in(folder: Path):
    """The measurements stored in this folder."""
    from curlewshift.capacity.measured import Measurements

    return Measurements(folder)


def read_size(path: Path):
    """Reads a deployment size from a file. Raises `SiteErrors` with all errors, by line."""
    from curlewshift.capacity.size import SCHEMA, size_of
    from curlewshift.site.reading import SiteErrors, read_xml

    errors: list[tuple[int, str]] = []
    size = size_of(read_xml(path, SCHEMA), errors)
    if errors:
        raise SiteErrors(path, errors)
    return size
