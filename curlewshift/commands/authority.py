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
@click.option("--name", default="curlewshift", help="Name of the authority in its certificate.")
def authority_make(folder, name):
    """Create an authority in FOLDER."""
    from curlewshift.site.authority import AuthorityError, make_authority

    try:
        click.echo(make_authority(folder, name))
    except (AuthorityError, OSError) as error:
        click.echo(f"curlewshift: {error}", err=True)
        sys.exit(2)


@authority.command("issue")
@click.argument("folder", type=PATH)
@click.argument("hosts", nargs=-1, required=True)
@click.option("--out", type=PATH, required=True, help="Path without suffix: .pem and .key are added.")
@click.option("--days", default=90.0)
def authority_issue(folder, hosts, out, days):
    """Sign a certificate for HOSTS (names or addresses) with the authority in FOLDER."""
    from curlewshift.site.authority import AuthorityError, issue

    try:
        click.echo("\n".join(str(path) for path in issue(folder, list(hosts), out, days)))
    except (AuthorityError, OSError) as error:
        click.echo(f"curlewshift: {error}", err=True)
        sys.exit(2)
