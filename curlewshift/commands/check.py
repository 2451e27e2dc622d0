"""`curlewshift check`: the settings of a site, read and judged."""

from __future__ import annotations

import click

from curlewshift.commands.common import PATH, site_of


@click.command()
@click.argument("site", type=PATH)
def check(site):
    """Read SITE and tell all that is wrong with it."""
    held = site_of(site)
    click.echo(
        f"{site}: {len(held.front_addresses)} fronts, {len(held.machines)} servers, {len(held.titles)} titles, "
        f"{len(held.packages)} packages"
    )
