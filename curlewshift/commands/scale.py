"""`curlewshift scale`: what control costs a node at a size, on this machine's sockets."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH
from curlewshift.commands.common import run as run_task

PARTS = ("membership", "sharing", "leases", "distribution")
FAULTS = ("zone-lost", "regions-apart", "restart-some", "kill-control")


@click.group()
def scale():
    """Hollow nodes on real sockets beside real ones."""


@scale.command("run")
@click.option("--nodes", type=click.IntRange(4, 5000), default=70, help="Front nodes, real ones with them.")
@click.option("--real", type=click.IntRange(0, 20), default=2, help="Nodes that are fronts as in service.")
@click.option("--processes", type=click.IntRange(1, 180), default=4, help="Of hollow nodes; more for control, relays, fronts.")
@click.option("--relays", type=click.IntRange(1, 16), default=2, help="Processes that lie between the nodes.")
@click.option("--regions", type=click.IntRange(1, 100), default=3)
@click.option("--zones", type=click.IntRange(1, 500), default=9)
@click.option("--seconds", type=click.FloatRange(1, 600), default=15, help="Of each stretch: quiet, in a fault, after it.")
@click.option("--seed", type=int, default=1)
@click.option("--loss", type=click.FloatRange(0, 0.5), default=0.0, help="The part of all datagrams that is lost.")
@click.option("--fault", "faults", type=click.Choice(FAULTS), multiple=True, help="Befalls them, in the order said.")
@click.option("--part", "parts", type=click.Choice(PARTS), multiple=True, help="Beside membership.")
@click.option("--sharing", type=int, default=None, help="Nodes that share; all hollow ones if not said.")
@click.option("--leasing", type=int, default=None, help="Nodes that ask for leases; all hollow ones if not said.")
@click.option("--servers", type=click.IntRange(1, 100_000), default=2000, help="Servers that are shared.")
@click.option("--links", type=click.IntRange(0, 10_000), default=40, help="Of them, those that a node plays on.")
@click.option("--viewings", type=click.IntRange(0, 1_000_000), default=400, help="A node has on them.")
@click.option("--changes", type=click.IntRange(0, 1000), default=0, help="Of the configuration, in a stretch at the end.")
@click.option("--change-every", type=click.FloatRange(0.5, 600), default=3.0, help="Seconds from one change to the next.")
@click.option("--joins", type=click.IntRange(0, 100_000), default=400, help="Compared each way; 0: none.")
@click.option("--out", type=PATH, required=True, help="A folder for figures.json, chart.svg and logs.")
@click.option("--spoil", default="", hidden=True)
def scale_run(
    nodes,
    real,
    processes,
    relays,
    regions,
    zones,
    seconds,
    seed,
    loss,
    faults,
    parts,
    sharing,
    leasing,
    servers,
    links,
    viewings,
    changes,
    change_every,
    joins,
    out,
    spoil,
):
    """Play hollow nodes beside real ones and tell what each spent, by subsystem, and how soon they agreed.

    Exit 0: it played to its end and the verdict is good; 1: it is not, or something fell; 2: it does not fit this machine."""
    from rich.console import Console

    from curlewshift.scale.fleet import RunFailed
    from curlewshift.scale.plan import InsufficientResources, Load, Plan
    from curlewshift.scale.report import draw, tables
    from curlewshift.scale.run import ScaleRun, write_figures

    all_parts = [part for part in PARTS if part == "membership" or part in parts]
    hollow = nodes - real
    shares, asks = (
        (hollow if said is None else min(said, hollow)) if part in parts else 0
        for part, said in (("sharing", sharing), ("leases", leasing))
    )
    plan = Plan(
        nodes,
        real,
        processes,
        relays,
        regions,
        zones,
        seconds,
        seed,
        loss,
        all_parts,
        list(faults),
        Load(servers, links, viewings, sharing=shares, leasing=asks),
        changes=changes,
        change_every=change_every,
        spoil=spoil,
    )
    try:
        plan.check()
    except InsufficientResources as why:
        click.echo(f"curlewshift: does not begin: {why}", err=True)
        sys.exit(2)
    out.mkdir(parents=True, exist_ok=True)
    console = Console(width=120)
    played = ScaleRun(plan, out, lambda words: click.echo(words, err=True), joins)

    async def until_ended() -> dict | None:
        import anyio

        from curlewshift.standins.running import until_told

        told = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(until_told, tasks)
            told = await played.run()
            tasks.cancel_scope.cancel()
        return told

    try:
        figures = run_task(until_ended)
    except* RunFailed as wrong:
        for one in wrong.exceptions:
            click.echo(f"curlewshift: {one}", err=True)
        sys.exit(1)
    if figures is None:
        click.echo("curlewshift: broken off; its processes have ended", err=True)
        sys.exit(1)
    figures = {**figures, "command": "curlewshift " + " ".join(sys.argv[1:])}
    write_figures(figures, out / "figures.json")
    draw(played.seen, played.stretches, plan.nodes, out / "chart.svg")
    for table in tables(figures):
        console.print(table)
    sys.exit(0 if figures["verdict"]["ok"] else 1)


@scale.command("hollow", hidden=True)
@click.argument("folder", type=PATH)
@click.argument("process", type=int)
def scale_hollow(folder, process):
    """A process of hollow nodes of the run in FOLDER."""
    from curlewshift.scale.hollow import run_hollow

    run_task(run_hollow, folder, process)


@scale.command("relay", hidden=True)
@click.argument("folder", type=PATH)
@click.argument("part", type=int)
def scale_relay(folder, part):
    """A relay of the run in FOLDER."""
    from curlewshift.scale.relay import run_relay

    run_task(run_relay, folder, part)
