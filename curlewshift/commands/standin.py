"""`curlewshift standin`: stand-ins (test doubles) of media servers and their list."""

from __future__ import annotations

import click

from curlewshift.commands.common import PATH, load_site, read_or_exit, run


@click.group()
def standin():
    """Run stand-ins on their own."""


@standin.command("server")
@click.argument("site", type=PATH)
@click.option("--traffic", type=PATH, help="A file for the traffic that the servers see.")
@click.option("--setup-work", default=30.0, help="CPU time of one set-up in milliseconds.")
def standin_server(site, traffic, setup_work):
    """Run all media servers of SITE and its server list at their configured addresses, until interrupted."""
    from curlewshift.standins.running import run_site

    run(run_site, load_site(site), traffic, setup_work / 1000)


@standin.command("list")
@click.argument("site", type=PATH)
def standin_list(site):
    """Run only the server list of SITE, with all servers listed as up, until interrupted."""
    from curlewshift.standins.running import run_list

    run(run_list, load_site(site))


@standin.command("fleet", hidden=True)
@click.argument("script", type=PATH)
@click.option("--traffic", type=PATH, required=True)
@click.option("--seed", type=int, default=1)
def standin_fleet(script, traffic, seed):
    """Run the servers and list of a fault injection run: prints the list's port, then reads its start time."""
    from curlewshift.standins.running import run_fleet
    from curlewshift.standins.script import read_script

    run(run_fleet, read_or_exit(read_script, script), seed, traffic)


@standin.command("relay", hidden=True)
@click.argument("script", type=PATH)
@click.option("--front", "fronts", multiple=True, required=True, help="NAME=PORT, the port on which the front listens.")
@click.option("--traffic", type=PATH, required=True)
@click.option("--seed", type=int, default=1)
def standin_relay(script, fronts, traffic, seed):
    """Run the relay of all datagrams between fronts of a fault injection run: prints its ports, then reads its start time."""
    from curlewshift.standins.relay import run_relay
    from curlewshift.standins.script import read_script

    ports = [(name, int(port)) for name, _, port in (mapping.partition("=") for mapping in fronts)]
    run(run_relay, read_or_exit(read_script, script), ports, seed, traffic)
