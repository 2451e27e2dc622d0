"""`curlewshift search`: searches the emulator for scripts on which the rules do badly."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH, check_sabotage, read_or_exit


@click.command()
@click.argument("script", type=PATH)
@click.option("--out", type=PATH, required=True, help="A file for the worst script found.")
@click.option("--tries", type=click.IntRange(1, 1_000_000), default=300, help="Number of scripts to run.")
@click.option("--seed", type=int, default=1)
@click.option("--sabotage", default="", help="Run fronts with this planted fault, to verify that it is found.")
def search(script, out, tries, seed, sabotage):
    """Search the emulator for variants of SCRIPT on which a rule breaks or an oracle does much better."""
    from rich.console import Console
    from rich.progress import Progress

    from curlewshift.search.search import search as run_search
    from curlewshift.search.search import shrink
    from curlewshift.search.writing import write_result
    from curlewshift.standins.script import read_script

    loaded = read_or_exit(read_script, script)
    check_sabotage(sabotage or None)
    with Progress(console=Console(stderr=True)) as bar:
        task = bar.add_task("searching", total=tries)
        found = run_search(
            loaded,
            tries,
            seed,
            sabotage=sabotage,
            progress=lambda done, of, best: bar.update(task, completed=done, description=f"worst so far {best.severity:.3f}"),
        )
    if not found.is_finding:
        click.echo(f"nothing found in {tries} scripts; the worst is {found.gap:.3f} below an oracle at {loaded.site.name}")
        sys.exit(0)
    found = shrink(found, sabotage=sabotage)
    write_result(found, out)
    click.echo(
        f"{out}: service {found.service:.3f}, {found.gap:.3f} below the oracle's; broken: "
        f"{', '.join(found.broken) or found.limit_exceeded or 'nothing'}; "
        f"{len(found.script.troubles)} troubles: {', '.join(trouble.kind for trouble in found.script.troubles)}"
    )
    sys.exit(1)
