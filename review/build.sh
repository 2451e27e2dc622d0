#!/bin/sh
# The stand-ins are Python files of the standard library alone: they are compiled, nothing is installed.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
