"""`python -m curlewshift.soak SEED SECONDS OUT PLANT [FAULT…]`: one trial, started by run.py."""

import sys
from pathlib import Path

from curlewshift.soak.run import play_one

if __name__ == "__main__":
    seed, seconds, out, plant, *only = sys.argv[1:]
    play_one(int(seed), float(seconds), tuple(only), plant, Path(out))
