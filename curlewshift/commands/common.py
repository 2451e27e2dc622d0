"""What several commands do alike. Exit 0: done and well; 1: a rule broken or a part that failed; 2: bad input."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.running import run

PATH = click.Path(path_type=Path)
STATE = click.option("--state", type=PATH, required=True, help="The front's state folder.")


def read_or_exit(reader, path):
    """What the reader makes of the file; or all its mistakes on standard error, and exit 2."""
    from curlewshift.site.reading import SiteErrors

    try:
        return reader(path)
    except SiteErrors as mistakes:
        click.echo(str(mistakes), err=True)
        sys.exit(2)


def site_of(path: Path):
    """The site in this file; exits with its mistakes, a line each."""
    from curlewshift.site.site import read_site

    return read_or_exit(read_site, path)


def check_sabotage(name: str | None) -> None:
    """Spoilt fronts are loaded for a rehearsal that names one, and for no other."""
    if name is None:
        return
    from curlewshift.front.planted_faults import NAMES

    if name not in NAMES:
        click.echo(f"there is no sabotage {name!r}, but {', '.join(NAMES)}", err=True)
        sys.exit(2)


def shown_by_front(state: Path, what: str, missing: str, as_json: bool, part=lambda told: told) -> dict:
    """What the front at the state folder shows of `what`; exit 2 where its settings have none of it. `part` leaves out what
    was not asked for. As JSON it is printed
    here, and the command has done its work."""
    import json

    told = tell_front(state, {"do": what})[what]
    if told is None:
        click.echo(f"curlewshift: {missing}", err=True)
        sys.exit(2)
    told = part(told)
    if as_json:
        click.echo(json.dumps(told, indent=1))
        sys.exit(0)
    return told


def tell_front(state: Path, command: dict, within: float | None = None) -> dict:
    """What the front, or control machine, answers; or its no, in words, and exit 2; exit 1 if none listens or answers within so
    long (s)."""
    from curlewshift.front.control import WITHIN, tell

    try:
        answer = run(tell, state, command, within or WITHIN)
    except TimeoutError:
        click.echo(f"curlewshift: the process at {state} does not answer", err=True)
        sys.exit(1)
    if not answer.get("ok"):
        click.echo(f"curlewshift: {answer.get('wrong')}", err=True)
        sys.exit(2)
    return answer
