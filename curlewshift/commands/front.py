"""`curlewshift front`: runs one front of a site until SIGTERM."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import PATH, check_sabotage, load_site, run


@click.command()
@click.argument("site", type=PATH)
@click.option("--name", help="Name of the front in the site; the first by default.")
@click.option("--state", type=PATH, help="A folder for state that survives a restart.")
@click.option("--seed", type=int, help="Seed of its random numbers; random by default.")
@click.option("--capture", type=PATH, help="A folder for a capture of all its inputs and decisions, to be replayed.")
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

    loaded, options = load_site(site), {}
    check_sabotage(sabotage)
    if state is not None:
        state.mkdir(parents=True, exist_ok=True)
    if loaded.configuration is not None:
        if sabotage is not None:
            from curlewshift.front.planted_configuration_faults import spoilt_begin

            options["begun"] = spoilt_begin(sabotage, site, loaded, state)
        else:
            options["begun"] = begin(site, loaded, state)
        loaded = options["begun"].site
    try:
        index = loaded.front_index(name) if name else 0
    except KeyError:
        source = f"{site}, stored version {options['begun'].version}" if options and options["begun"].how == "disk" else site
        click.echo(
            f"{source}: there is no front {name!r}; known: {', '.join(front.name for front in loaded.front_addresses)}",
            err=True,
        )
        sys.exit(2)
    arguments = (
        loaded,
        index,
        secrets.randbits(32) if seed is None else seed,
        state,
        make_log(front=loaded.front_addresses[index].name),
        life,
    )
    try:
        if sabotage is not None:
            from curlewshift.front.planted_faults import spoilt

            built = spoilt(sabotage, *arguments, led=led, **options)
        else:
            built = Front(*arguments, capture=capture, led=led, **options)
    except (InvalidKeySet, InvalidCertificate, FolderInUse, OSError) as error:
        click.echo(f"{site}: {error}", err=True)
        sys.exit(2)
    if reserve is not None:
        from curlewshift.peaks.reserve import FixedReserve

        package, _, share = reserve.partition("=")
        built.session_core.peaks.__class__ = FixedReserve
        built.session_core.peaks.package, built.session_core.peaks.share = built.session_core.packages[package], float(share)
    if busy:
        from curlewshift.fault_injection.joins import fill_background

        fill_background(built.background, built.now())
    run(built.run)
