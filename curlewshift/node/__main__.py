"""`python -m curlewshift.node`: runs the front node until SIGTERM.

Imports only what the node needs: many nodes are started at once on one machine, and imports are most of the start-up time.
"""

from __future__ import annotations

import os
import sys

from curlewshift.node import configuration
from curlewshift.running import exit_with_errors, run


def main() -> None:
    """Runs the front node described by the file that NODE_CONFIG names, until the node has shut down."""
    path = os.environ.get("NODE_CONFIG")
    if not path:
        exit_with_errors("NODE_CONFIG names no configuration", 2)
    try:
        config = configuration.read(path)
    except configuration.InvalidConfiguration as error:
        exit_with_errors(f"{path} {error}", 2)
    # structlog's terminal renderer would import rich, a third of the start-up work, for coloured output that is not used here
    sys.modules.setdefault("rich", None)
    from curlewshift.logs import make_log
    from curlewshift.node.node import Node

    log = make_log(bounded=True, front=config.name)
    run(lambda: Node(config, path, log).run())


if __name__ == "__main__":
    main()
