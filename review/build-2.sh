#!/usr/bin/env bash
# Compiles the stand-ins and cases of the second review; they need the standard library alone. Run after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/stage.py review/[6-9]/case.py $(ls review/10/case.py 2>/dev/null || true)
