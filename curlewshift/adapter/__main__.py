"""Runs the adapter to the bench's line protocol on standard input and output: `python -m curlewshift.adapter`."""

import sys

from curlewshift.adapter.loop import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
