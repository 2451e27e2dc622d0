"""`curlewshift slopes`: what one real front node costs by size, with a fit and its error."""

from __future__ import annotations

import signal
import sys

import click

from curlewshift.commands.common import PATH


def _sizes(context, parameter, text):
    try:
        return tuple(sorted({int(part) for part in text.split(",")})) if text else ()
    except ValueError:
        raise click.BadParameter("whole numbers with commas between are wanted") from None


@click.command()
@click.argument("name")
@click.option("--out", type=PATH, required=True, help="A folder for slope-NAME.json.")
@click.option("--sizes", callback=_sizes, help="With commas between, four at the least; each slope has its own if none are said.")
@click.option("--seed", type=int, default=1, help="Of what is drawn.")
@click.option("--rounds", type=click.IntRange(1, 10), default=2, help="So often each size is measured.")
@click.option("--seconds", type=click.FloatRange(0.2, 60), default=5.0, help="How long each size is measured.")
def slopes(name, out, sizes, seed, rounds, seconds):
    """Measures NAME at one front node in a process of its own, by size: idle, crowded, requests, notices, rungs, restart, list,
    storm, sharing, membership, or all of them, which takes most of an hour."""
    from curlewshift.scale.fits import TooFewPoints
    from curlewshift.scale.slopes import KINDS, MeasurementRefused, Run, check_room, kept, measured

    if name != "all" and name not in KINDS:
        click.echo(f"curlewshift: there is no slope {name!r}, but all, " + ", ".join(KINDS), err=True)
        sys.exit(2)
    wanted = list(KINDS.values()) if name == "all" else [KINDS[name]]
    out.mkdir(parents=True, exist_ok=True)

    def broken_off(*_):
        # once: it still has to go through the ends of its processes
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        sys.exit(143)

    before = signal.signal(signal.SIGTERM, broken_off)
    try:
        for kind in wanted:
            check_room(kind, sizes or kind.sizes)
        for kind in wanted:
            click.echo(f"{kind.name}: {kind.what}", err=True)
            run = Run(
                sizes or kind.sizes, seed, out, lambda text: click.echo(text, err=True), rounds, min(4.0, 2 * seconds), seconds
            )
            said = f"--sizes {','.join(map(str, run.sizes))} --seed {seed} --rounds {rounds} --seconds {seconds:g}"
            told = measured(kind, run, f"bin/curlewshift slopes {kind.name} --out DIR {said}")
            click.echo(f"{kept(told, kind, out)}")
            for slope in told["slopes"]:
                line = slope["fit"]
                click.echo(
                    f"  {slope['name']}: {line['intercept']:.4g} + {line['slope']:.4g} +- {line['slope_error']:.2g} "
                    f"{slope['y']['unit']} for each {slope['x']['name']}, worst {line['worst_residual']:.2g}, "
                    f"{'straight' if line['straight'] else 'NOT straight'}"
                )
    except (MeasurementRefused, TooFewPoints) as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)
    except (TimeoutError, OSError) as wrong:
        click.echo(f"curlewshift: not measured: {wrong}", err=True)
        sys.exit(1)
    finally:
        signal.signal(signal.SIGTERM, before)
