"""`python -m curlewshift.soak SEED SECONDS OUT PLANT [FAULT…]` runs one trial; started by run.py.

PLANT names a planted fault (see plants.py) or is empty; FAULT… limits the trial to these kinds of fault.
"""

import sys
from pathlib import Path

from curlewshift.soak.run import run_trial

if __name__ == "__main__":
    seed, seconds, out, plant, *only = sys.argv[1:]
    run_trial(int(seed), float(seconds), tuple(only), plant, Path(out))
