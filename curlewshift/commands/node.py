"""`curlewshift node`: the front node in service. It imports what the node needs and nothing of the rest."""

from __future__ import annotations

import sys

import click

from curlewshift.commands.common import run


@click.command()
def node():
    """Run the front node that NODE_CONFIG describes, until SIGTERM."""
    import os

    from curlewshift.node import configuration
    path = os.environ.get("NODE_CONFIG")
    if not path:
        click.echo("curlewshift: NODE_CONFIG names no configuration", err=True)
        sys.exit(2)
    try:
        posting = configuration.read(path)
    except configuration.Unreadable as wrong:
        click.echo(f"curlewshift: {path} {wrong}", err=True)
        sys.exit(2)
    # structlog's renderer for terminals would import rich, a third of the work of a start, for lines nobody colours here
    sys.modules.setdefault("rich", None)
    from curlewshift.logs import make_log
    from curlewshift.node.node import Node
    log = make_log(bounded=True, front=posting.name)
    run(lambda: Node(posting, path, log).run())
