"""`curlewshift rehearse`: a scripted day on loopback, judged from the sockets."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.commands.common import PATH, check_sabotage, read_or_exit, run

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


@click.command()
@click.argument("script", type=PATH, required=False)
@click.option("--out", type=PATH, required=True, help="A folder for verdict, traffic, chart and logs.")
@click.option("--trouble", help="Kinds with commas between, at drawn times, instead of the script's own.")
@click.option("--seed", type=int, help="Instead of the script's.")
@click.option("--sabotage", help="Spoil the fronts on purpose, to see the rule caught.")
@click.option(
    "--hold",
    type=click.Choice(["announced", "none", "reserve"]),
    default="announced",
    help="Whether fronts hear of what the script announces, or keep a fixed reserve all day instead.",
)
@click.option("--capture", is_flag=True, help="Capture every life of every front, and replay each at the end.")
@click.option("--forget", is_flag=True, help="Killed fronts lose what they knew of sessions, as a baseline.")
def rehearse(script, out, trouble, seed, sabotage, hold, capture, forget):
    """Play the day of SCRIPT on loopback and judge the six rules from the sockets."""
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
        except (ValueError, OSError) as wrong:
            click.echo(f"curlewshift: {wrong}", err=True)
            sys.exit(2)
    if script is None:
        raise click.UsageError("a SCRIPT or --trouble is needed")
    held = read_or_exit(read_script, script)
    check_sabotage(sabotage)
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.completed:.0f}/{task.total:.0f} s"),
        console=Console(stderr=True),
    ) as bar:
        task = bar.add_task("rehearsing", total=held.lasts)

        def told(done, of):
            bar.update(task, completed=done, total=of)

        try:
            verdict = run(
                FaultInjectionRun(
                    held, script, out, held.seed if seed is None else seed, sabotage, told, hold, capture, forget
                ).run
            )
        except* StartFailed as failed:
            click.echo(f"curlewshift: {failed.exceptions[0]}", err=True)
            sys.exit(1)
    draw_day(read_traffic(out / "traffic.jsonl"), out / "day.svg")
    for table in verdict_tables(verdict):
        Console().print(table)
    broken = any(rule["broken"] for rule in verdict["rules"].values())
    differ = [life for life, run in verdict.get("replays", {}).items() if run["difference"]]
    for life in differ:
        click.echo(f"the replay of {life} is not the same: {verdict['replays'][life]['difference']}", err=True)
    fleet = _broken_over_fronts(verdict)
    for promise in fleet:
        click.echo(f"broken: {promise}", err=True)
    sys.exit(1 if broken or differ or fleet or verdict["left_standing"] or verdict["orphans_left"] else 0)


def _broken_over_fronts(verdict: dict) -> list[str]:
    """Which promises of all fronts together the day broke."""
    bounds, leases = verdict.get("bounds", {}), verdict.get("leases", {})
    attempts = verdict["attempts_after_leaving"]
    return [
        name
        for name, broken in (
            ("nothing begun for who has left", attempts["late"] or attempts["unjoined"]),
            ("members", verdict.get("members", {}).get("broken")),
            ("pace of cold servers", bounds.get("overdrawn")),
            ("further tune-ins of all fronts", bounds.get("further", {}).get("overdrawn")),
            ("seats over all fronts", bounds.get("seats", {}).get("overdrawn")),
            ("service beside a front with a bad path", bounds.get("beside_bad_path", {}).get("broken")),
            ("one at a time", leases.get("overlaps")),
            ("acts of who was followed", leases.get("outlived")),
            ("versions of the configuration", verdict.get("configuration", {}).get("broken")),
            ("shedding as one", verdict.get("shed", {}).get("broken")),
        )
        if broken
    ]
