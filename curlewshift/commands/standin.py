"""`curlewshift standin`: media servers and their list as stand-ins."""

from __future__ import annotations

import click

from curlewshift.commands.common import PATH, read_or_exit, run, site_of


@click.group()
def standin():
    """Run stand-ins alone."""


@standin.command("server")
@click.argument("site", type=PATH)
@click.option("--traffic", type=PATH, help="A file for what the servers see.")
@click.option("--setup-work", default=30.0, help="Milliseconds of a core that one set-up takes.")
def standin_server(site, traffic, setup_work):
    """All media servers of SITE and its list, where the site says, until interrupted."""
    from curlewshift.standins.running import run_site

    run(run_site, site_of(site), traffic, setup_work / 1000)


@standin.command("list")
@click.argument("site", type=PATH)
def standin_list(site):
    """The server list of SITE alone, all servers held to be up, until interrupted."""
    from curlewshift.standins.running import run_list

    run(run_list, site_of(site))


@standin.command("fleet", hidden=True)
@click.argument("script", type=PATH)
@click.option("--traffic", type=PATH, required=True)
@click.option("--seed", type=int, default=1)
def standin_fleet(script, traffic, seed):
    """The servers and list of a rehearsal: tells the list's port, then reads when the day begins."""
    from curlewshift.standins.running import run_fleet
    from curlewshift.standins.script import read_script

    run(run_fleet, read_or_exit(read_script, script), seed, traffic)


@standin.command("relay", hidden=True)
@click.argument("script", type=PATH)
@click.option("--front", "fronts", multiple=True, required=True, help="NAME=PORT, where the front really listens.")
@click.option("--traffic", type=PATH, required=True)
@click.option("--seed", type=int, default=1)
def standin_relay(script, fronts, traffic, seed):
    """What all datagrams between fronts of a rehearsal pass: tells its ports, then reads when the day begins."""
    from curlewshift.standins.relay import run_relay
    from curlewshift.standins.script import read_script

    named = [(name, int(port)) for name, _, port in (one.partition("=") for one in fronts)]
    run(run_relay, read_or_exit(read_script, script), named, seed, traffic)
