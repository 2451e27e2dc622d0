"""`curlewshift experiment`: experiments in the emulator."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH, read_or_exit


@click.group()
def experiment():
    """Run experiments in the emulator; all figures are simulated."""


STORE = click.option("--store", type=PATH, required=True, help="SQLite file that stores the runs.")


def print_cells(loaded, found) -> None:
    """Prints the cells of an experiment as a table."""
    from rich.console import Console
    from rich.table import Table

    table = Table(title=loaded.question)
    for column in ("levels", "measure", "median", "95%", "seeds", f"against {loaded.baseline}", "wrong"):
        table.add_column(column, justify="left" if column in ("levels", "measure") else "right")
    for cell in found:
        table.add_row(
            ", ".join(f"{name} {level}" for name, level in cell.levels),
            cell.measure,
            f"{cell.median:.3f}",
            f"{cell.low:.3f} to {cell.high:.3f}",
            str(cell.seeds),
            "" if cell.difference is None else "{:+.3f} ({:+.3f} to {:+.3f})".format(*cell.difference),
            str(cell.invalid_runs or ""),
        )
    Console(width=150).print(table)


@experiment.command("run")
@click.argument("file", type=PATH)
@STORE
@click.option("--out", type=PATH, help="A folder for charts and the HTML page.")
@click.option("--workers", type=click.IntRange(0, 512), default=0, help="Number of processes; all cores but one by default.")
def experiment_run(file, store, out, workers):
    """Carry out the runs of the experiment in FILE that the store does not have yet, and show the results."""
    from rich.progress import Progress

    from curlewshift.experiments.experiment import read_experiment
    from curlewshift.experiments.report import write_report
    from curlewshift.experiments.runner import current_revision, run_missing
    from curlewshift.experiments.store import RunStore, StoreLocked
    from curlewshift.experiments.table import cells

    loaded = read_or_exit(read_experiment, file)
    try:
        run_store = RunStore(store)
    except StoreLocked as error:
        click.echo(f"curlewshift: {error}", err=True)
        sys.exit(2)
    revision = current_revision()
    with Progress() as bar:
        task = bar.add_task(loaded.name, total=len(loaded.runs()))
        done = run_missing(loaded, run_store, revision, workers, lambda completed, _: bar.update(task, completed=completed))
    run_store.close()
    found = cells(loaded, done)
    print_cells(loaded, found)
    if out is not None:
        click.echo(str(write_report(loaded, found, revision, out)))
    sys.exit(1 if any(cell.invalid_runs for cell in found) else 0)


@experiment.command("show")
@click.argument("file", type=PATH)
@STORE
@click.option("--out", type=PATH, help="A folder for charts and the HTML page.")
def experiment_show(file, store, out):
    """Show the stored results of the experiment in FILE, for the newest revision."""
    from curlewshift.experiments.experiment import read_experiment
    from curlewshift.experiments.report import write_report
    from curlewshift.experiments.store import RunStore
    from curlewshift.experiments.table import cells

    loaded, run_store = read_or_exit(read_experiment, file), RunStore(store, write=False)
    revisions = run_store.revisions(loaded.name)
    if not revisions:
        click.echo(f"curlewshift: {store} has no run of {loaded.name}", err=True)
        sys.exit(2)
    found = cells(loaded, run_store.done(loaded.name, revisions[-1]))
    print_cells(loaded, found)
    if out is not None:
        click.echo(str(write_report(loaded, found, revisions[-1], out)))


@experiment.command("compare")
@click.argument("file", type=PATH)
@STORE
@click.option("--of", "revisions", nargs=2, help="Two revisions; the two newest by default.")
def experiment_compare(file, store, revisions):
    """Compare the results of the experiment in FILE at two revisions, paired by levels and seeds."""
    from curlewshift.experiments.experiment import read_experiment
    from curlewshift.experiments.store import RunStore
    from curlewshift.experiments.table import interval

    loaded, run_store = read_or_exit(read_experiment, file), RunStore(store, write=False)
    compared = list(revisions or run_store.revisions(loaded.name)[-2:])
    if len(compared) < 2:
        click.echo(f"curlewshift: {store} has runs of {len(compared)} revisions of {loaded.name}; 2 are needed", err=True)
        sys.exit(2)
    before, after = (run_store.done(loaded.name, revision) for revision in compared)
    for name in loaded.measures:
        pairs = [
            after[run][name] - figures[name]
            for run, figures in before.items()
            if run in after and "wrong" not in figures and "wrong" not in after[run] and name in figures
        ]
        middle, low, high = interval(pairs)
        click.echo(
            f"{name}: {compared[1]} minus {compared[0]}: {middle:+.4f} ({low:+.4f} to {high:+.4f}) over {len(pairs)} pairs"
        )
