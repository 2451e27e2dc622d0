"""`curlewshift walk`: all orders in which things can happen in small worlds."""

from __future__ import annotations

import sys

import click

KINDS = {
    "paid": dict(paid=True),
    "free": dict(paid=False),
    "seats": dict(paid=False, seats=1, clients=2),
    "paid-seats": dict(paid=True, seats=1, clients=2),
}


def _walk_between_fronts(of: str, depth: int, fault: str | None, rounds: bool) -> None:
    """Over the fastest, slowest and true clock at each in turn."""
    from itertools import permutations

    if of == "budgets":
        from curlewshift.model_checker import budget_checker as world

        faults = {name: {"loans": loans} for name, loans in world.FAULTS.items()}
        walked = world.walk_budgets
    else:
        from curlewshift.emulator import lease_histories

        faults = lease_histories.FAULTS
        from curlewshift.model_checker import lease_checker as world

        walked = world.walk_rounds if rounds else world.walk_leases
    if fault is not None and fault not in faults:
        click.echo(f"there is no fault {fault!r}, but {', '.join(faults)}", err=True)
        sys.exit(2)
    units, drift = world.UNITS, world.DRIFT
    states = steps = 0
    for rates in permutations((round(units * (1 - drift)), units, round(units * (1 + drift)))):
        # two are a majority of three; of five they are the planted fault
        more = {"acceptors": 5} if rounds and fault == "majority-of-two" else {}
        done = walked(depth, rates, **(faults[fault] if fault else {}), **more)
        states, steps = states + done.states, steps + done.steps
        if done.breach:
            click.echo(f"rule broken: {done.breach}; clocks at {rates} of {units}", err=True)
            for step in done.course:
                click.echo("  " + " ".join(str(part) for part in step), err=True)
            sys.exit(1)
    click.echo(f"{states} states to a depth of {depth} at each of six sets of clocks, {steps} steps")


def _walk_versions(depth: int, fault: str | None, rounds: bool, courses: int | None, length: int, seed: int) -> None:
    from curlewshift.emulator.version_histories import FAULTS
    from curlewshift.model_checker.version_checker import long_courses, walk_versions

    if fault is not None and fault not in FAULTS:
        click.echo(f"there is no fault {fault!r}, but {', '.join(FAULTS)}", err=True)
        sys.exit(2)
    # how contents travel is not in this world
    planted = {part: kind for part, kind in FAULTS.get(fault, {}).items() if part != "fetch"}
    states = steps = 0
    if courses is not None:
        done = long_courses(courses, length, seed, **planted)
        states, steps = done.states, done.steps
    else:
        for blank in (False, True):
            done = walk_versions(depth, rounds, blank, **planted)
            states, steps = states + done.states, steps + done.steps
            if done.breach:
                break
    if done.breach:
        click.echo(f"rule broken: {done.breach}", err=True)
        for step in done.course:
            click.echo("  " + " ".join(str(part) for part in step), err=True)
        sys.exit(1)
    click.echo(
        f"{states} courses by chance, each of {length} steps, {steps} steps"
        if courses is not None
        else f"{states} states to a depth of {depth}, from stores that vote and from blank ones, {steps} steps"
    )


@click.command()
@click.argument("kind", type=click.Choice(list(KINDS)), required=False)
@click.option(
    "--of",
    "of",
    type=click.Choice(["viewings", "budgets", "leases", "versions"]),
    default="viewings",
    help="Viewings at a front, rights that fronts lend each other, leases, or versions of the configuration.",
)
@click.option(
    "--fault", help="With --of budgets, leases or versions: plant this fault, and see a shortest course that breaks the promise."
)
@click.option("--depth", type=click.IntRange(0, 16), default=5, help="Steps of each course.")
@click.option(
    "--rounds", is_flag=True, help="With --of leases or versions: each step a whole try, for courses of several tenures."
)
@click.option("--courses", type=click.IntRange(1, 1_000_000), help="With --of versions, instead: so many long courses by chance.")
@click.option("--length", type=click.IntRange(1, 1000), default=60, help="Steps of each long course.")
@click.option("--settle-all", is_flag=True, help="Look at what comes of each state, and not of the last ones alone.")
@click.option("--crashes", type=click.IntRange(1, 100_000), help="Instead: so many long courses, killed at each step.")
@click.option("--seed", type=int, default=1, help="For the long courses.")
def walk(kind, of, fault, depth, rounds, courses, length, settle_all, crashes, seed):
    """Walk all orders in which things can happen to one viewing (or two that want one seat), and check the rules."""
    if of == "versions":
        _walk_versions(depth, fault, rounds, courses, length, seed)
        return
    if of != "viewings":
        _walk_between_fronts(of, depth, fault, rounds)
        return
    if kind is None:
        raise click.UsageError(f"a kind of viewing is needed: {', '.join(KINDS)}")
    from curlewshift.model_checker.session_checker import crash_points
    from curlewshift.model_checker.session_checker import walk as walked
    from curlewshift.model_checker.world import Budgets, World

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
