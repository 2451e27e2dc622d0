"""`curlewshift soak`: short seeded trials of a few node processes under combined faults, judged from the sockets."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH


def parse_seeds(text: str) -> list[int]:
    """Parses `1-50`, `7` or `1,4,9-12` into seeds. Raises `ValueError`."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


@click.command()
@click.option("--seeds", default="1-10", show_default=True, help="Seeds to run, as 1-50 or 1,4,9.")
@click.option("--seed", type=int, default=None, help="Run this seed only.")
@click.option("--seconds", type=click.FloatRange(2, 120), default=30.0, show_default=True, help="Length of a trial.")
@click.option("--only", default="", help="Only these faults, comma-separated.")
@click.option("--plant", default="", help="Plant this fault in the nodes, to verify that it is detected.")
@click.option("--at-once", type=int, default=0, help="Number of concurrent trials; by default as many as the cores allow.")
@click.option("--out", type=PATH, required=True, help="Output folder for the verdict, timelines, records and logs of each seed.")
def soak(seeds, seed, seconds, only, plant, at_once, out):
    """Run trials; exit 1 if a rule broke, was never exercised, or too many trials were starved."""
    import os

    from curlewshift.soak.plan import ALL_FAULTS
    from curlewshift.soak.plants import PLANTS
    from curlewshift.soak.run import CORES_EACH, play_all

    faults = tuple(fault for fault in only.split(",") if fault)
    unknown = [fault for fault in faults if fault not in ALL_FAULTS]
    if unknown or (plant and plant not in PLANTS):
        known = ", ".join(ALL_FAULTS if unknown else PLANTS)
        click.echo(f"unknown: {', '.join(unknown) or plant!r}; known: {known}", err=True)
        sys.exit(2)
    try:
        chosen = [seed] if seed is not None else parse_seeds(seeds)
    except ValueError:
        click.echo(f"{seeds!r} is not a list of seeds such as 1-50 or 1,4,9", err=True)
        sys.exit(2)
    out.mkdir(parents=True, exist_ok=True)
    at_once = at_once or max(1, int((os.cpu_count() or 1) / CORES_EACH))
    summary = play_all(chosen, seconds, faults, plant, out, at_once, click.echo)
    for rule, count in summary.looked_at.items():
        click.echo(f"{count:9,} cases  {rule}{'  (NOT EXERCISED)' if not count else ''}")
    for why, count in summary.excused.items():
        click.echo(f"{count:9,} excused: {why}")
    click.echo(
        f"{len(chosen)} seeds in {summary.wall_s} s: {len(summary.breaks)} with a broken rule, {len(summary.starved)} starved, "
        f"{len(summary.failed)} failed"
    )
    sys.exit(0 if summary.good else 1)
