"""`curlewshift replay`: replays a capture and compares the decisions."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH


@click.command()
@click.argument("log", type=PATH)
@click.option("--until", type=float, help="Seconds of the capture to replay, from its start.")
@click.option("--viewing", type=int, help="Explain one viewing, by its number in the front's log.")
@click.option("--against", help="A baseline's name or a revision: compare its decision at each placement.")
def replay(log, until, viewing, against):
    """Feed the inputs recorded in LOG (a capture folder or a segment) to a session core, and compare its decisions."""
    from curlewshift.capture.against import Compared, NoSuchPolicy, asked_of, policy
    from curlewshift.capture.records import InvalidCapture
    from curlewshift.capture.replay import Replay
    from curlewshift.capture.store import read_capture

    try:
        records, damage = read_capture(log)
        compared = Compared()
        options = {} if against is None else {"rules": asked_of(policy(against), compared)}
        replay_run = Replay(records, viewing, None if until is None else records[0][1]["now"] + int(until * 1e9), **options)
        done = replay_run.run()
    except AttributeError as error:
        if against is None:
            raise
        click.echo(
            f"curlewshift: {against} uses attributes that the current rules lack: {error}",
            err=True,
        )
        sys.exit(2)
    except (OSError, InvalidCapture, NoSuchPolicy, ValueError, LookupError) as error:
        click.echo(f"curlewshift: {error}", err=True)
        sys.exit(2)
    for line in done.explained:
        click.echo(line)
    if viewing is not None and not done.explained:
        click.echo(f"viewing {viewing} was not placed in the replayed part", err=True)
    if damage:
        click.echo(f"the capture ends early: {damage}", err=True)
    click.echo(f"{done.told} inputs, {done.did} actions in response, over {(done.until - replay_run.began) / 1e9:.1f} s")
    if against is not None:
        click.echo(
            f"{compared.placings} placements compared with {against}: "
            + (", ".join(f"{count} {kind}" for kind, count in compared.kinds.most_common()) or "none")
        )
        for example in compared.examples:
            click.echo("  " + example)
    if done.difference is not None:
        click.echo(f"the replay differs: {done.difference}", err=True)
        sys.exit(1)
