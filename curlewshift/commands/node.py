"""`curlewshift node`: runs the front node used in service, as `python -m curlewshift.node` does."""

from __future__ import annotations

import click


@click.command()
def node():
    """Run the front node that NODE_CONFIG describes, until SIGTERM."""
    from curlewshift.node.__main__ import main

    main()
