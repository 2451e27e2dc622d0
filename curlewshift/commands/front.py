"""`curlewshift front`: one front of a site, until SIGTERM."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH, check_sabotage, run, site_of


@click.command()
@click.argument("site", type=PATH)
@click.option("--name", help="Which front of the site; the first if not said.")
@click.option("--state", type=PATH, help="A folder for what outlives the process.")
@click.option("--seed", type=int, help="For its chance; drawn if not said.")
@click.option("--capture", type=PATH, help="A folder for all it is told and decides, to be replayed.")
@click.option("--life", default="", hidden=True)
@click.option("--sabotage", default=None, hidden=True)
@click.option("--reserve", default=None, hidden=True)
@click.option("--busy", is_flag=True, hidden=True)
@click.option("--led", is_flag=True, hidden=True)
def front(site, name, state, seed, capture, life, sabotage, reserve, busy, led):
    """Run a front of SITE until SIGTERM."""
    import secrets

    from curlewshift.exchange.tls import InvalidCertificate
    from curlewshift.front.begun import begin
    from curlewshift.front.front import Front
    from curlewshift.limits.permits import InvalidKeySet
    from curlewshift.logs import make_log
    from curlewshift.state.journal import FolderInUse

    held, how = site_of(site), {}
    check_sabotage(sabotage)
    if state is not None:
        state.mkdir(parents=True, exist_ok=True)
    if held.configuration is not None:
        if sabotage is not None:
            from curlewshift.front.planted_configuration_faults import spoilt_begin

            how["begun"] = spoilt_begin(sabotage, site, held, state)
        else:
            how["begun"] = begin(site, held, state)
        held = how["begun"].site
    try:
        number = held.front_index(name) if name else 0
    except KeyError:
        where = f"{site}, as version {how['begun'].version} of it" if how and how["begun"].how == "disk" else site
        click.echo(f"{where}: there is no front {name!r}, but {', '.join(door.name for door in held.front_addresses)}", err=True)
        sys.exit(2)
    arguments = (
        held,
        number,
        secrets.randbits(32) if seed is None else seed,
        state,
        make_log(front=held.front_addresses[number].name),
        life,
    )
    try:
        if sabotage is not None:
            from curlewshift.front.planted_faults import spoilt

            made = spoilt(sabotage, *arguments, led=led, **how)
        else:
            made = Front(*arguments, capture=capture, led=led, **how)
    except (InvalidKeySet, InvalidCertificate, FolderInUse, OSError) as wrong:
        click.echo(f"{site}: {wrong}", err=True)
        sys.exit(2)
    if reserve is not None:
        from curlewshift.peaks.reserve import FixedReserve

        package, _, share = reserve.partition("=")
        made.session_core.peaks.__class__ = FixedReserve
        made.session_core.peaks.package, made.session_core.peaks.share = made.session_core.packages[package], float(share)
    if busy:
        from curlewshift.fault_injection.joins import fill_background

        fill_background(made.background, made.now())
    run(made.run)
