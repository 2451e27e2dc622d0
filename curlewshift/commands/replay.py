"""`curlewshift replay`: a capture decided again."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH


@click.command()
@click.argument("log", type=PATH)
@click.option("--until", type=float, help="Seconds of the capture to replay, from its beginning.")
@click.option("--viewing", type=int, help="Explain one viewing, by its number in the front's log.")
@click.option("--against", help="A baseline's name or a revision: what it would have done at each placing.")
def replay(log, until, viewing, against):
    """Tell a desk again what the front of LOG (a capture's folder, or a segment) was told, and compare what it does."""
    from curlewshift.capture.against import Compared, NoSuchPolicy, asked_of, policy
    from curlewshift.capture.records import InvalidCapture
    from curlewshift.capture.replay import Replay
    from curlewshift.capture.store import read_capture

    try:
        records, damage = read_capture(log)
        compared = Compared()
        more = {} if against is None else {"rules": asked_of(policy(against), compared)}
        again = Replay(records, viewing, None if until is None else records[0][1]["now"] + int(until * 1e9), **more)
        done = again.run()
    except AttributeError as wrong:
        if against is None:
            raise
        click.echo(f"curlewshift: {against} knows other facts than the rules do now, and cannot be asked: {wrong}", err=True)
        sys.exit(2)
    except (OSError, InvalidCapture, NoSuchPolicy, ValueError, LookupError) as wrong:
        click.echo(f"curlewshift: {wrong}", err=True)
        sys.exit(2)
    for line in done.explained:
        click.echo(line)
    if viewing is not None and not done.explained:
        click.echo(f"viewing {viewing} was not placed in what was replayed", err=True)
    if damage:
        click.echo(f"the capture ends early: {damage}", err=True)
    click.echo(f"{done.told} things told, {done.did} done in answer, over {(done.until - again.began) / 1e9:.1f} s")
    if against is not None:
        click.echo(
            f"{compared.placings} placings against {against}: "
            + (", ".join(f"{count} {kind}" for kind, count in compared.kinds.most_common()) or "none")
        )
        for example in compared.examples:
            click.echo("  " + example)
    if done.difference is not None:
        click.echo(f"not the same: {done.difference}", err=True)
        sys.exit(1)
