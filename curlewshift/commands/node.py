"""`curlewshift node`: the front node in service, as `python -m curlewshift.node` starts it."""

from __future__ import annotations

import click


@click.command()
def node():
    """Run the front node that NODE_CONFIG describes, until SIGTERM."""
    from curlewshift.node.__main__ import main

    main()
