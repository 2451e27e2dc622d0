"""`curlewshift control`: one control machine of a site, until SIGTERM."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH, run, site_of


@click.command()
@click.argument("site", type=PATH)
@click.option("--name", required=True, help="Which machine of the site's <control>.")
@click.option("--state", type=PATH, required=True, help="A folder for what must outlive the process.")
@click.option("--seed", type=int, help="For its chance; drawn if not said.")
@click.option("--sabotage", default=None, hidden=True)
def control(site, name, state, seed, sabotage):
    """Run a control machine of SITE until SIGTERM."""
    import secrets

    from curlewshift.control.machine import Machine
    from curlewshift.logs import make_log
    from curlewshift.state.journal import FolderInUse

    held = site_of(site)
    names = [machine.name for machine in held.control.machines] if held.control is not None else []
    if name not in names:
        click.echo(f"{site}: there is no control machine {name!r}, but {', '.join(names) or 'none at all'}", err=True)
        sys.exit(2)
    if held.configuration is None:
        click.echo(f"{site}: <fronts> has no <configuration>, and control machines have nothing to keep", err=True)
        sys.exit(2)
    state.mkdir(parents=True, exist_ok=True)
    kind = Machine
    if sabotage is not None:
        from curlewshift.front.planted_configuration_faults import MACHINES

        kind = MACHINES[sabotage]
    try:
        made = kind(site, held, name, state, secrets.randbits(32) if seed is None else seed, make_log(machine=name))
    except (FolderInUse, OSError) as wrong:
        click.echo(f"{site}: {wrong}", err=True)
        sys.exit(2)
    run(made.run)
