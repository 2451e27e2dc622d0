"""`curlewshift check`: reads and validates the settings of a site."""

from __future__ import annotations

import click

from curlewshift.commands.common import PATH, load_site


@click.command()
@click.argument("site", type=PATH)
def check(site):
    """Read SITE and report all errors in it."""
    loaded_site = load_site(site)
    click.echo(
        f"{site}: {len(loaded_site.front_addresses)} fronts, {len(loaded_site.machines)} servers, "
        f"{len(loaded_site.titles)} titles, {len(loaded_site.packages)} packages"
    )
