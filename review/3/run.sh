#!/bin/sh
# Exit status: 1 rule broken, 0 rule held, 2 could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec .venv/bin/python review/3/case.py
