"""`curlewshift walk`: model checker: explores all courses (sequences of events) of small models."""

from __future__ import annotations

import sys

import click

KINDS = {
    "paid": dict(paid=True),
    "free": dict(paid=False),
    "seats": dict(paid=False, seats=1, clients=2),
    "paid-seats": dict(paid=True, seats=1, clients=2),
}


def _check_between_fronts(of: str, depth: int, fault: str | None, rounds: bool) -> None:
    """Explores a model of several fronts with each assignment of the slowest, true and fastest rate to its three clocks."""
    from itertools import permutations

    if of == "budgets":
        from curlewshift.model_checker import budget_checker as world

        faults = {name: {"loans": loans} for name, loans in world.FAULTS.items()}
        explore = world.walk_budgets
    else:
        from curlewshift.emulator import lease_histories

        faults = lease_histories.FAULTS
        from curlewshift.model_checker import lease_checker as world

        explore = world.walk_rounds if rounds else world.walk_leases
    if fault is not None and fault not in faults:
        click.echo(f"unknown fault {fault!r}; known: {', '.join(faults)}", err=True)
        sys.exit(2)
    units, drift = world.UNITS, world.DRIFT
    states = steps = 0
    for rates in permutations((round(units * (1 - drift)), units, round(units * (1 + drift)))):
        # the planted fault accepts two as a majority: with three acceptors that is right, so five are used
        extra = {"acceptors": 5} if rounds and fault == "majority-of-two" else {}
        done = explore(depth, rates, **(faults[fault] if fault else {}), **extra)
        states, steps = states + done.states, steps + done.steps
        if done.breach:
            click.echo(f"rule broken: {done.breach}; clocks at {rates} of {units}", err=True)
            for step in done.course:
                click.echo("  " + " ".join(str(part) for part in step), err=True)
            sys.exit(1)
    click.echo(f"{states} states to a depth of {depth} at each of six assignments of clock rates, {steps} steps")


def _check_versions(depth: int, fault: str | None, rounds: bool, courses: int | None, length: int, seed: int) -> None:
    from curlewshift.emulator.version_histories import FAULTS
    from curlewshift.model_checker.version_checker import long_courses, walk_versions

    if fault is not None and fault not in FAULTS:
        click.echo(f"unknown fault {fault!r}; known: {', '.join(FAULTS)}", err=True)
        sys.exit(2)
    # the transfer of contents is not part of this model
    faulty_parts = {part: kind for part, kind in FAULTS.get(fault, {}).items() if part != "fetch"}
    states = steps = 0
    if courses is not None:
        done = long_courses(courses, length, seed, **faulty_parts)
        states, steps = done.states, done.steps
    else:
        for empty_stores in (False, True):
            done = walk_versions(depth, rounds, empty_stores, **faulty_parts)
            states, steps = states + done.states, steps + done.steps
            if done.breach:
                break
    if done.breach:
        click.echo(f"rule broken: {done.breach}", err=True)
        for step in done.course:
            click.echo("  " + " ".join(str(part) for part in step), err=True)
        sys.exit(1)
    click.echo(
        f"{states} random courses of {length} steps each, {steps} steps"
        if courses is not None
        else f"{states} states to a depth of {depth}, from voting and from empty stores, {steps} steps"
    )


@click.command()
@click.argument("kind", type=click.Choice(list(KINDS)), required=False)
@click.option(
    "--of",
    "of",
    type=click.Choice(["viewings", "budgets", "leases", "versions"]),
    default="viewings",
    help="The model: viewings at a front, rights that fronts lend each other, leases, or configuration versions.",
)
@click.option(
    "--fault", help="With --of budgets, leases or versions: plant this fault and print a shortest course that breaks the rule."
)
@click.option("--depth", type=click.IntRange(0, 16), default=5, help="Steps of each course.")
@click.option(
    "--rounds", is_flag=True, help="With --of leases or versions: each step is a complete attempt, to reach several tenures."
)
@click.option("--courses", type=click.IntRange(1, 1_000_000), help="With --of versions, run this many long random courses.")
@click.option("--length", type=click.IntRange(1, 1000), default=60, help="Steps of each long course.")
@click.option("--settle-all", is_flag=True, help="Check the settled outcome of every state, not only of the final ones.")
@click.option("--crashes", type=click.IntRange(1, 100_000), help="Run this many long courses instead, with a kill at each step.")
@click.option("--seed", type=int, default=1, help="Seed of the long courses.")
def walk(kind, of, fault, depth, rounds, courses, length, settle_all, crashes, seed):
    """Explore all orders of events for one viewing (or two that compete for one seat), and check the rules."""
    if of == "versions":
        _check_versions(depth, fault, rounds, courses, length, seed)
        return
    if of != "viewings":
        _check_between_fronts(of, depth, fault, rounds)
        return
    if kind is None:
        raise click.UsageError(f"a kind of viewing is needed: {', '.join(KINDS)}")
    from curlewshift.model_checker.session_checker import crash_points
    from curlewshift.model_checker.session_checker import walk as explore
    from curlewshift.model_checker.world import Budgets, World

    def make():
        return World(Budgets(), **KINDS[kind])

    if crashes is not None:
        done = crash_points(make, crashes, 24, seed)
        click.echo(f"{done.runs} courses, killed at {done.points} points; {done.taken_up} sessions were recovered afterwards")
    else:
        done = explore(make, depth, settle_all)
        click.echo(f"{done.states} states to a depth of {done.depth}, {done.ends} of them settled, {done.steps} steps")
    if done.breach:
        click.echo(f"rule broken: {done.breach}", err=True)
        for step in done.course:
            click.echo("  " + " ".join(str(part) for part in step), err=True)
        sys.exit(1)
