"""Helpers shared by the commands. Exit status 0: success; 1: a rule was broken or a component failed; 2: invalid input."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.running import run

PATH = click.Path(path_type=Path)
STATE = click.option("--state", type=PATH, required=True, help="The front's state folder.")


def read_or_exit(reader, path):
    """Returns what `reader` makes of the file; prints all its errors to standard error and exits with 2 if it has any."""
    from curlewshift.site.reading import SiteErrors

    try:
        return reader(path)
    except SiteErrors as errors:
        click.echo(str(errors), err=True)
        sys.exit(2)


def load_site(path: Path):
    """Reads the site from this file; exits with 2 and its errors, one a line, if it has any."""
    from curlewshift.site.site import read_site

    return read_or_exit(read_site, path)


def check_sabotage(name: str | None) -> None:
    """Exits with 2 if `name` is no known sabotage. Fronts with planted faults are imported only if a sabotage is named."""
    if name is None:
        return
    from curlewshift.front.planted_faults import NAMES

    if name not in NAMES:
        click.echo(f"unknown sabotage {name!r}; known: {', '.join(NAMES)}", err=True)
        sys.exit(2)


def view_of_front(state: Path, command: str, missing: str, as_json: bool, select=lambda view: view) -> dict:
    """What the front at the state folder returns for the `show` command named `command`, reduced by `select`.

    Exits with 2 and the message `missing` if the front's settings do not have that feature. With `as_json` the result is
    printed as JSON and the process exits with 0.
    """
    import json

    view = send_to_front(state, {"do": command})[command]
    if view is None:
        click.echo(f"curlewshift: {missing}", err=True)
        sys.exit(2)
    view = select(view)
    if as_json:
        click.echo(json.dumps(view, indent=1))
        sys.exit(0)
    return view


def send_to_front(state: Path, command: dict, within: float | None = None) -> dict:
    """Sends a command to the front or control machine at the state folder and returns its answer.

    Exits with 2 and the reason if it refuses, and with 1 if none listens or answers within `within` seconds (`WITHIN` if None).
    """
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
