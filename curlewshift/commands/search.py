"""`curlewshift search`: bad days looked for in the emulator."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH, check_sabotage, read_or_exit


@click.command()
@click.argument("script", type=PATH)
@click.option("--out", type=PATH, required=True, help="A script to write the worst day to.")
@click.option("--tries", type=click.IntRange(1, 1_000_000), default=300, help="Days to look at.")
@click.option("--seed", type=int, default=1)
@click.option("--sabotage", default="", help="Spoil the fronts on purpose, to see it found.")
def search(script, out, tries, seed, sabotage):
    """Look in the emulator for days near SCRIPT's on which a rule breaks or an oracle does much better."""
    from rich.console import Console
    from rich.progress import Progress

    from curlewshift.search.search import search as searched
    from curlewshift.search.search import shrunk
    from curlewshift.search.writing import write_found
    from curlewshift.standins.script import read_script

    held = read_or_exit(read_script, script)
    check_sabotage(sabotage or None)
    with Progress(console=Console(stderr=True)) as bar:
        task = bar.add_task("searching", total=tries)
        found = searched(
            held,
            tries,
            seed,
            wrong=sabotage,
            progress=lambda done, of, best: bar.update(task, completed=done, description=f"worst so far {best.badness:.3f}"),
        )
    if not found.is_find:
        click.echo(f"nothing found in {tries} days; the worst is {found.gap:.3f} under an oracle's {held.site.name}")
        sys.exit(0)
    found = shrunk(found, wrong=sabotage)
    write_found(found, out)
    click.echo(
        f"{out}: service {found.service:.3f}, {found.gap:.3f} under an oracle's; broken: "
        f"{', '.join(found.broken) or found.runaway or 'nothing'}; "
        f"{len(found.script.troubles)} troubles: {', '.join(one.kind for one in found.script.troubles)}"
    )
    sys.exit(1)
