"""`curlewshift experiment`: questions asked of the emulator."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH, read_or_exit


@click.group()
def experiment():
    """Questions asked of the emulator; all its figures are simulated."""


STORE = click.option("--store", type=PATH, required=True, help="An SQLite file for the runs.")


def rich_cells(held, found) -> None:
    """Prints the cells of an experiment as a table."""
    from rich.console import Console
    from rich.table import Table

    table = Table(title=held.question)
    for column in ("levels", "measure", "median", "95%", "seeds", f"against {held.baseline}", "wrong"):
        table.add_column(column, justify="left" if column in ("levels", "measure") else "right")
    for cell in found:
        table.add_row(
            ", ".join(f"{name} {level}" for name, level in cell.levels),
            cell.measure,
            f"{cell.median:.3f}",
            f"{cell.low:.3f} to {cell.high:.3f}",
            str(cell.seeds),
            "" if cell.against is None else "{:+.3f} ({:+.3f} to {:+.3f})".format(*cell.against),
            str(cell.wrong or ""),
        )
    Console(width=150).print(table)


@experiment.command("run")
@click.argument("file", type=PATH)
@STORE
@click.option("--out", type=PATH, help="A folder for charts and the HTML page.")
@click.option("--workers", type=click.IntRange(0, 512), default=0, help="Processes; all cores but one if not said.")
def experiment_run(file, store, out, workers):
    """Carry out what of the experiment in FILE is not done yet, and show what came of it."""
    from rich.progress import Progress

    from curlewshift.experiments.experiment import read_experiment
    from curlewshift.experiments.report import write_report
    from curlewshift.experiments.runner import carry_on, revision
    from curlewshift.experiments.store import Busy, RunStore
    from curlewshift.experiments.table import cells

    held = read_or_exit(read_experiment, file)
    try:
        kept = RunStore(store)
    except Busy as busy:
        click.echo(f"curlewshift: {busy}", err=True)
        sys.exit(2)
    of = revision()
    with Progress() as bar:
        task = bar.add_task(held.name, total=len(held.runs()))
        done = carry_on(held, kept, of, workers, lambda so_far, all_of_them: bar.update(task, completed=so_far))
    kept.close()
    found = cells(held, done)
    rich_cells(held, found)
    if out is not None:
        click.echo(str(write_report(held, found, of, out)))
    sys.exit(1 if any(cell.wrong for cell in found) else 0)


@experiment.command("show")
@click.argument("file", type=PATH)
@STORE
@click.option("--out", type=PATH, help="A folder for charts and the HTML page.")
def experiment_show(file, store, out):
    """What is kept of the experiment in FILE, of its newest revision."""
    from curlewshift.experiments.experiment import read_experiment
    from curlewshift.experiments.report import write_report
    from curlewshift.experiments.store import RunStore
    from curlewshift.experiments.table import cells

    held, kept = read_or_exit(read_experiment, file), RunStore(store, write=False)
    revisions = kept.revisions(held.name)
    if not revisions:
        click.echo(f"curlewshift: {store} has no run of {held.name}", err=True)
        sys.exit(2)
    found = cells(held, kept.done(held.name, revisions[-1]))
    rich_cells(held, found)
    if out is not None:
        click.echo(str(write_report(held, found, revisions[-1], out)))


@experiment.command("compare")
@click.argument("file", type=PATH)
@STORE
@click.option("--of", "revisions", nargs=2, help="Two revisions; the two newest if not said.")
def experiment_compare(file, store, revisions):
    """The experiment in FILE at two revisions, paired over levels and seeds."""
    from curlewshift.experiments.experiment import read_experiment
    from curlewshift.experiments.store import RunStore
    from curlewshift.experiments.table import interval

    held, kept = read_or_exit(read_experiment, file), RunStore(store, write=False)
    both = list(revisions or kept.revisions(held.name)[-2:])
    if len(both) < 2:
        click.echo(f"curlewshift: {store} has runs of {len(both)} revisions of {held.name}; two are compared", err=True)
        sys.exit(2)
    before, after = (kept.done(held.name, one) for one in both)
    for name in held.measures:
        pairs = [
            after[run][name] - figures[name]
            for run, figures in before.items()
            if run in after and "wrong" not in figures and "wrong" not in after[run] and name in figures
        ]
        middle, low, high = interval(pairs)
        click.echo(f"{name}: {both[1]} less {both[0]}: {middle:+.4f} ({low:+.4f} to {high:+.4f}) over {len(pairs)} pairs")
