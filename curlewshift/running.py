"""Runs a program's main task to its end, and makes one plain line and exit 1 of what the machine refuses it. Called by commands
and by the front node's own start; it imports nothing that either can do without."""

from __future__ import annotations

import sys


def run(task, *arguments):
    """Runs a task in an event loop of its own; exits where it is interrupted or the system refuses."""
    import anyio

    try:
        return anyio.run(task, *arguments)
    except KeyboardInterrupt:
        sys.exit(1)
    except OSError as wrong:
        exit_with_errors(wrong, 1)
    except ExceptionGroup as group:
        known, rest = group.split(OSError)
        if rest is not None:
            raise
        exit_with_errors(known.exceptions, 1)


def exit_with_errors(why, code: int) -> None:
    """Each of `why` in a line of its own on standard error, and the end."""
    for one in why if isinstance(why, tuple) else (why,):
        print(f"curlewshift: {one}", file=sys.stderr)
    sys.exit(code)
