"""`curlewshift rehearse`: a scripted fault injection run on loopback, judged from the traffic on its sockets."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.commands.common import PATH, check_sabotage, read_or_exit, run

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


@click.command()
@click.argument("script", type=PATH, required=False)
@click.option("--out", type=PATH, required=True, help="Output folder for the verdict, traffic, chart and logs.")
@click.option("--trouble", help="Comma-separated kinds of trouble, at random times, instead of the script's own.")
@click.option("--seed", type=int, help="Seed to use instead of the script's.")
@click.option("--sabotage", help="Run fronts with this planted fault, to verify that the broken rule is detected.")
@click.option(
    "--hold",
    type=click.Choice(["announced", "none", "reserve"]),
    default="announced",
    help="Whether fronts receive the announced peaks, receive none, or keep a fixed reserve throughout.",
)
@click.option("--capture", is_flag=True, help="Capture every life (run of a process) of every front; replay each at the end.")
@click.option("--forget", is_flag=True, help="As a baseline, killed fronts lose their session state.")
def rehearse(script, out, trouble, seed, sabotage, hold, capture, forget):
    """Run SCRIPT on loopback and check the six rules against the traffic on the sockets."""
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn

    from curlewshift.fault_injection.chart import draw_day
    from curlewshift.fault_injection.rehearse import FaultInjectionRun, StartFailed
    from curlewshift.fault_injection.table import verdict_tables
    from curlewshift.standins.script import read_script
    from curlewshift.standins.traffic import read_traffic

    if trouble is not None:
        from curlewshift.fault_injection.mix import mixed_script

        try:
            script = mixed_script(script or EXAMPLES / "bad-day.xml", trouble.split(","), seed or 1, out)
        except (ValueError, OSError) as error:
            click.echo(f"curlewshift: {error}", err=True)
            sys.exit(2)
    if script is None:
        raise click.UsageError("a SCRIPT or --trouble is needed")
    loaded = read_or_exit(read_script, script)
    check_sabotage(sabotage)
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.completed:.0f}/{task.total:.0f} s"),
        console=Console(stderr=True),
    ) as bar:
        task = bar.add_task("running", total=loaded.lasts)

        def progress(done, of):
            bar.update(task, completed=done, total=of)

        try:
            verdict = run(
                FaultInjectionRun(
                    loaded,
                    script,
                    out,
                    loaded.seed if seed is None else seed,
                    sabotage,
                    progress,
                    hold,
                    capture,
                    forget,
                ).run
            )
        except* StartFailed as failed:
            click.echo(f"curlewshift: {failed.exceptions[0]}", err=True)
            sys.exit(1)
    draw_day(read_traffic(out / "traffic.jsonl"), out / "day.svg")
    for table in verdict_tables(verdict):
        Console().print(table)
    broken = any(rule["broken"] for rule in verdict["rules"].values())
    differing = [life for life, run in verdict.get("replays", {}).items() if run["difference"]]
    for life in differing:
        click.echo(f"the replay of {life} differs: {verdict['replays'][life]['difference']}", err=True)
    broken_checks = _broken_fleet_checks(verdict)
    for check in broken_checks:
        click.echo(f"broken: {check}", err=True)
    sys.exit(1 if broken or differing or broken_checks or verdict["left_standing"] or verdict["orphans_left"] else 0)


def _broken_fleet_checks(verdict: dict) -> list[str]:
    """Names of the guarantees over all fronts together that the run broke."""
    bounds, leases = verdict.get("bounds", {}), verdict.get("leases", {})
    attempts = verdict["attempts_after_leaving"]
    return [
        name
        for name, broken in (
            ("no attempt for clients that have left", attempts["late"] or attempts["unjoined"]),
            ("members", verdict.get("members", {}).get("broken")),
            ("request rate of cold servers", bounds.get("overdrawn")),
            ("further tune-ins of all fronts", bounds.get("further", {}).get("overdrawn")),
            ("seats over all fronts", bounds.get("seats", {}).get("overdrawn")),
            ("service beside a front with a bad path", bounds.get("beside_bad_path", {}).get("broken")),
            ("at most one holder of a lease", leases.get("overlaps")),
            ("actions of a superseded lease holder", leases.get("outlived")),
            ("versions of the configuration", verdict.get("configuration", {}).get("broken")),
            ("consistent shedding over the fleet", verdict.get("shed", {}).get("broken")),
        )
        if broken
    ]
