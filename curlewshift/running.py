"""Runs the main task of a program; an error of the operating system ends it with a line on standard error and exit status 1.

Used by commands and by the start of the front node. It imports only what both need.
"""

from __future__ import annotations

import sys


def run(task, *arguments):
    """Runs a task in an event loop of its own; exits with status 1 on an interrupt or an `OSError`."""
    import anyio

    try:
        return anyio.run(task, *arguments)
    except KeyboardInterrupt:
        sys.exit(1)
    except OSError as error:
        exit_with_errors(error, 1)
    except ExceptionGroup as group:
        known, rest = group.split(OSError)
        if rest is not None:
            raise
        exit_with_errors(known.exceptions, 1)


def exit_with_errors(errors, code: int) -> None:
    """Prints the error, or each of a tuple of errors, on a line of standard error, and exits with `code`."""
    for error in errors if isinstance(errors, tuple) else (errors,):
        print(f"curlewshift: {error}", file=sys.stderr)
    sys.exit(code)
