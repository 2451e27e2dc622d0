"""`curlewshift walk`: all orders in which things can happen in small worlds."""

from __future__ import annotations

import sys

import click


KINDS = {"paid": dict(paid=True), "free": dict(paid=False), "seats": dict(paid=False, seats=1, clients=2),
         "paid-seats": dict(paid=True, seats=1, clients=2)}


@click.command()
@click.argument("kind", type=click.Choice(list(KINDS)))
@click.option("--depth", type=click.IntRange(0, 12), default=5, help="Steps of each course.")
@click.option("--settle-all", is_flag=True, help="Look at what comes of each state, and not of the last ones alone.")
@click.option("--crashes", type=click.IntRange(1, 100_000), help="Instead: so many long courses, killed at each step.")
@click.option("--seed", type=int, default=1, help="For the long courses.")
def walk(kind, depth, settle_all, crashes, seed):
    """Walk all orders in which things can happen to one viewing (or two that want one seat), and check the rules."""
    from curlewshift.walk.walk import crash_points
    from curlewshift.walk.walk import walk as walked
    from curlewshift.walk.world import Budgets, World

    def make():
        return World(Budgets(), **KINDS[kind])
    if crashes is not None:
        done = crash_points(make, crashes, 24, seed)
        click.echo(f"{done.runs} courses, killed at {done.points} points; {done.taken_up} sessions were taken up after")
    else:
        done = walked(make, depth, settle_all)
        click.echo(f"{done.states} states to a depth of {done.depth}, {done.ends} of them settled, {done.steps} steps")
    if done.breach:
        click.echo(f"rule broken: {done.breach}", err=True)
        for step in done.course:
            click.echo("  " + " ".join(str(part) for part in step), err=True)
        sys.exit(1)
