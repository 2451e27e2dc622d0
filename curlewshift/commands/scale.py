"""`curlewshift scale`: measures the cost of the control plane to a node at a fleet size, on this machine's sockets."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH
from curlewshift.commands.common import run as run_task

PARTS = ("membership", "sharing", "leases", "distribution")
FAULTS = ("zone-lost", "regions-apart", "restart-some", "kill-control")


@click.group()
def scale():
    """Run hollow nodes (without listener and session core) on real sockets beside real ones."""


@scale.command("run")
@click.option("--nodes", type=click.IntRange(4, 5000), default=70, help="Front nodes, including the real ones.")
@click.option("--real", type=click.IntRange(0, 20), default=2, help="Nodes that run the front used in service.")
@click.option("--processes", type=click.IntRange(1, 180), default=4, help="Processes of hollow nodes; others come on top.")
@click.option("--relays", type=click.IntRange(1, 16), default=2, help="Processes that relay the traffic between nodes.")
@click.option("--regions", type=click.IntRange(1, 100), default=3)
@click.option("--zones", type=click.IntRange(1, 500), default=9)
@click.option("--seconds", type=click.FloatRange(1, 600), default=15, help="Of each phase: quiet, during a fault, after it.")
@click.option("--seed", type=int, default=1)
@click.option("--loss", type=click.FloatRange(0, 0.5), default=0.0, help="Part of all datagrams that is lost (0 to 0.5).")
@click.option("--fault", "faults", type=click.Choice(FAULTS), multiple=True, help="Faults to inject, in this order.")
@click.option("--part", "parts", type=click.Choice(PARTS), multiple=True, help="Subsystems to run besides membership.")
@click.option("--sharing", type=int, default=None, help="Nodes that share; all hollow ones by default.")
@click.option("--leasing", type=int, default=None, help="Nodes that request leases; all hollow ones by default.")
@click.option("--servers", type=click.IntRange(1, 100_000), default=2000, help="Servers that are shared.")
@click.option("--links", type=click.IntRange(0, 10_000), default=40, help="Servers among them that a node has viewings on.")
@click.option("--viewings", type=click.IntRange(0, 1_000_000), default=400, help="Viewings of a node on them.")
@click.option("--changes", type=click.IntRange(0, 1000), default=0, help="Configuration changes, in a phase at the end.")
@click.option("--change-every", type=click.FloatRange(0.5, 600), default=3.0, help="Seconds from one change to the next.")
@click.option(
    "--joins", type=click.IntRange(0, 100_000), default=400, help="Joins at a node in the run, and as many at one apart; 0: none."
)
@click.option("--out", type=PATH, required=True, help="Output folder for figures.json, chart.svg and logs.")
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
    """Run hollow nodes beside real ones and report what each spent, by subsystem, and how soon they agreed.

    Exit 0: the run completed and the verdict is good; 1: it is not, or a process failed; 2: the run does not fit this machine."""
    from rich.console import Console

    from curlewshift.scale.fleet import RunFailed
    from curlewshift.scale.plan import InsufficientResources, Load, Plan
    from curlewshift.scale.report import draw, tables
    from curlewshift.scale.run import ScaleRun, write_figures

    all_parts = [part for part in PARTS if part == "membership" or part in parts]
    hollow = nodes - real
    sharing_nodes, leasing_nodes = (
        (hollow if requested is None else min(requested, hollow)) if part in parts else 0
        for part, requested in (("sharing", sharing), ("leases", leasing))
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
        Load(servers, links, viewings, sharing=sharing_nodes, leasing=leasing_nodes),
        changes=changes,
        change_every=change_every,
        spoil=spoil,
    )
    try:
        plan.check()
    except InsufficientResources as error:
        click.echo(f"curlewshift: does not begin: {error}", err=True)
        sys.exit(2)
    out.mkdir(parents=True, exist_ok=True)
    console = Console(width=120)
    trial = ScaleRun(plan, out, lambda text: click.echo(text, err=True), joins)

    async def run_until_signal() -> dict | None:
        import anyio

        from curlewshift.standins.running import until_told

        run_figures = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(until_told, tasks)
            run_figures = await trial.run()
            tasks.cancel_scope.cancel()
        return run_figures

    try:
        figures = run_task(run_until_signal)
    except* RunFailed as failures:
        for failure in failures.exceptions:
            click.echo(f"curlewshift: {failure}", err=True)
        sys.exit(1)
    if figures is None:
        click.echo("curlewshift: interrupted; its processes have ended", err=True)
        sys.exit(1)
    figures = {**figures, "command": "curlewshift " + " ".join(sys.argv[1:])}
    write_figures(figures, out / "figures.json")
    draw(trial.seen, trial.stretches, plan.nodes, out / "chart.svg")
    for table in tables(figures):
        console.print(table)
    sys.exit(0 if figures["verdict"]["ok"] else 1)


@scale.command("hollow", hidden=True)
@click.argument("folder", type=PATH)
@click.argument("process", type=int)
def scale_hollow(folder, process):
    """Run one process of hollow nodes for the run in FOLDER."""
    from curlewshift.scale.hollow import run_hollow

    run_task(run_hollow, folder, process)


@scale.command("relay", hidden=True)
@click.argument("folder", type=PATH)
@click.argument("part", type=int)
def scale_relay(folder, part):
    """Run one relay for the run in FOLDER."""
    from curlewshift.scale.relay import run_relay

    run_task(run_relay, folder, part)
