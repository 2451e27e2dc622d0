"""`curlewshift slopes`: measures the cost of one real front node by size, with a linear fit and its error."""

from __future__ import annotations

import signal
import sys

import click

from curlewshift.commands.common import PATH


def _sizes(context, parameter, text):
    try:
        return tuple(sorted({int(part) for part in text.split(",")})) if text else ()
    except ValueError:
        raise click.BadParameter("a comma-separated list of integers is needed") from None


@click.command()
@click.argument("name")
@click.option("--out", type=PATH, required=True, help="A folder for slope-NAME.json.")
@click.option("--sizes", callback=_sizes, help="Comma-separated, four at least; each slope has its own defaults.")
@click.option("--seed", type=int, default=1, help="Seed of the random numbers.")
@click.option("--rounds", type=click.IntRange(1, 10), default=2, help="Number of times each size is measured.")
@click.option("--seconds", type=click.FloatRange(0.2, 60), default=5.0, help="How long each size is measured.")
def slopes(name, out, sizes, seed, rounds, seconds):
    """Measure NAME at one front node in a process of its own, by size. NAME is idle, crowded, requests, notices, rungs, restart,
    list, storm, sharing, membership, or all, which takes most of an hour."""
    from curlewshift.scale.fits import TooFewPoints
    from curlewshift.scale.slopes import KINDS, MeasurementRefused, Run, check_room, kept, measured

    if name != "all" and name not in KINDS:
        click.echo(f"curlewshift: unknown slope {name!r}; known: all, " + ", ".join(KINDS), err=True)
        sys.exit(2)
    selected = list(KINDS.values()) if name == "all" else [KINDS[name]]
    out.mkdir(parents=True, exist_ok=True)

    def terminate(*_):
        # ignore further signals: the processes it started must still be ended
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        sys.exit(143)

    previous_handler = signal.signal(signal.SIGTERM, terminate)
    try:
        for kind in selected:
            check_room(kind, sizes or kind.sizes)
        for kind in selected:
            click.echo(f"{kind.name}: {kind.what}", err=True)
            run = Run(
                sizes or kind.sizes, seed, out, lambda text: click.echo(text, err=True), rounds, min(4.0, 2 * seconds), seconds
            )
            options = f"--sizes {','.join(map(str, run.sizes))} --seed {seed} --rounds {rounds} --seconds {seconds:g}"
            result = measured(kind, run, f"bin/curlewshift slopes {kind.name} --out DIR {options}")
            click.echo(f"{kept(result, kind, out)}")
            for slope in result["slopes"]:
                fit = slope["fit"]
                click.echo(
                    f"  {slope['name']}: {fit['intercept']:.4g} + {fit['slope']:.4g} +- {fit['slope_error']:.2g} "
                    f"{slope['y']['unit']} for each {slope['x']['name']}, worst {fit['worst_residual']:.2g}, "
                    f"{'straight' if fit['straight'] else 'NOT straight'}"
                )
    except (MeasurementRefused, TooFewPoints) as error:
        click.echo(f"curlewshift: {error}", err=True)
        sys.exit(2)
    except (TimeoutError, OSError) as error:
        click.echo(f"curlewshift: not measured: {error}", err=True)
        sys.exit(1)
    finally:
        signal.signal(signal.SIGTERM, previous_handler)
