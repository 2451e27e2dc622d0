"""`curlewshift control`: runs one control machine of a site until SIGTERM."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH, load_site, run


@click.command()
@click.argument("site", type=PATH)
@click.option("--name", required=True, help="Name of the machine in the site's <control>.")
@click.option("--state", type=PATH, required=True, help="A folder for state that must survive a restart.")
@click.option("--seed", type=int, help="Seed of its random numbers; random by default.")
@click.option("--sabotage", default=None, hidden=True)
def control(site, name, state, seed, sabotage):
    """Run a control machine of SITE until SIGTERM."""
    import secrets

    from curlewshift.control.machine import Machine
    from curlewshift.logs import make_log
    from curlewshift.state.journal import FolderInUse

    loaded = load_site(site)
    names = [machine.name for machine in loaded.control.machines] if loaded.control is not None else []
    if name not in names:
        click.echo(f"{site}: unknown control machine {name!r}; known: {', '.join(names) or 'none'}", err=True)
        sys.exit(2)
    if loaded.configuration is None:
        click.echo(f"{site}: <fronts> has no <configuration>, so a control machine has nothing to store", err=True)
        sys.exit(2)
    state.mkdir(parents=True, exist_ok=True)
    machine_class = Machine
    if sabotage is not None:
        from curlewshift.front.planted_configuration_faults import MACHINES

        machine_class = MACHINES[sabotage]
    try:
        built = machine_class(site, loaded, name, state, secrets.randbits(32) if seed is None else seed, make_log(machine=name))
    except (FolderInUse, OSError) as error:
        click.echo(f"{site}: {error}", err=True)
        sys.exit(2)
    run(built.run)
