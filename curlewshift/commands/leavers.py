"""`curlewshift leavers`: runs a front node under viewers that leave in every way, judged from both sides' sockets."""

from __future__ import annotations

import json
import sys

import click

from curlewshift.commands.common import PATH, run


@click.command()
@click.option("--out", type=PATH, required=True, help="Output folder for the verdict, traffic, configuration and the node's log.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=float, default=8.0, show_default=True, help="Period over which the viewers arrive; 60 at most.")
@click.option(
    "--viewers", type=int, default=800, show_default=True, help="Connections, one to three requests each; 5000 at most."
)
@click.option("--sabotage", default="", help="Run a node with this planted fault, to verify that it is detected.")
def leavers(out, seed, seconds, viewers, sabotage):
    """Count the attempts that begin more than 0.1 s after their client has left. Exit 1 if there are any, if nothing could be
    judged, if a request got no answer, or if the node logged a fault."""
    from curlewshift.fault_injection.node_day import NodeDay
    from curlewshift.fault_injection.node_planted_faults import FAULTS

    if sabotage and sabotage not in FAULTS:
        click.echo(f"unknown sabotage {sabotage!r}; known: {', '.join(FAULTS)}", err=True)
        sys.exit(2)
    verdict = run(NodeDay(out, seed, seconds, viewers, sabotage).run)
    click.echo(json.dumps(verdict, indent=1))
    sys.exit(0 if verdict["attempts_after_leaving"]["clean"] and not verdict["unanswered"] and not verdict["faults"] else 1)
