"""`python -m curlewshift.node`: the front node in service, until SIGTERM. It imports what the node needs and nothing of the
rest: many are started at once on one machine, and what they import is most of their start."""

from __future__ import annotations

import os
import sys

from curlewshift.node import configuration
from curlewshift.running import refuse, run


def main() -> None:
    """Runs the front node that NODE_CONFIG tells of, until its end."""
    path = os.environ.get("NODE_CONFIG")
    if not path:
        refuse("NODE_CONFIG names no configuration", 2)
    try:
        posting = configuration.read(path)
    except configuration.Unreadable as wrong:
        refuse(f"{path} {wrong}", 2)
    # structlog's renderer for terminals would import rich, a third of the work of a start, for lines nobody colours here
    sys.modules.setdefault("rich", None)
    from curlewshift.logs import make_log
    from curlewshift.node.node import Node

    log = make_log(bounded=True, front=posting.name)
    run(lambda: Node(posting, path, log).run())


if __name__ == "__main__":
    main()
