"""`curlewshift authority`: certificates of a private authority."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH


@click.group()
def authority():
    """A private authority for the site's certificates."""


@authority.command("make")
@click.argument("folder", type=PATH)
@click.option("--name", default="curlewshift", help="What it is called in its certificate.")
def authority_make(folder, name):
    """Make an authority in FOLDER."""
    from curlewshift.site.authority import AuthorityError, make_authority

    try:
        click.echo(make_authority(folder, name))
    except (AuthorityError, OSError) as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)


@authority.command("issue")
@click.argument("folder", type=PATH)
@click.argument("hosts", nargs=-1, required=True)
@click.option("--out", type=PATH, required=True, help="Path without ending: .pem and .key are added.")
@click.option("--days", default=90.0)
def authority_issue(folder, hosts, out, days):
    """Sign a certificate for HOSTS (names or addresses) with the authority in FOLDER."""
    from curlewshift.site.authority import AuthorityError, issue

    try:
        click.echo("\n".join(str(path) for path in issue(folder, list(hosts), out, days)))
    except (AuthorityError, OSError) as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)
