"""`python -m curlewshift.node`: the front node in service, until SIGTERM. It imports what the node needs and nothing of the
rest: many are started at once on one machine, and what they import is most of their start."""

from __future__ import annotations

import os
import sys


def main() -> None:
    from curlewshift.node import configuration
    path = os.environ.get("NODE_CONFIG")
    if not path:
        _refuse("NODE_CONFIG names no configuration")
    try:
        posting = configuration.read(path)
    except configuration.Unreadable as wrong:
        _refuse(f"{path} {wrong}")
    # structlog's renderer for terminals would import rich, a third of the work of a start, for lines nobody colours here
    sys.modules.setdefault("rich", None)
    import anyio

    from curlewshift.logs import make_log
    from curlewshift.node.node import Node
    log = make_log(bounded=True, front=posting.name)
    try:
        anyio.run(Node(posting, path, log).run)
    except KeyboardInterrupt:
        sys.exit(1)
    except OSError as wrong:
        _refuse(str(wrong), 1)
    except ExceptionGroup as group:
        known, rest = group.split(OSError)
        if rest is not None:
            raise
        _refuse("; ".join(map(str, known.exceptions)), 1)


def _refuse(why: str, code: int = 2) -> None:
    print(f"curlewshift: {why}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    main()
