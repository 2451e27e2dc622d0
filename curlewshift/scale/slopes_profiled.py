"""The node in service under a profile switched on and off from outside: `python -m curlewshift.scale.slopes_profiled OUT`.

SIGUSR1 begins it, SIGUSR2 ends it and writes OUT. It says where time goes; no figure of a slope is taken under it.
"""

from __future__ import annotations

import cProfile
import signal
import sys

from curlewshift.node.__main__ import main


def run(out: str) -> None:
    profile = cProfile.Profile()

    def end(*_) -> None:
        profile.disable()
        profile.dump_stats(out)

    signal.signal(signal.SIGUSR1, lambda *_: profile.enable())
    signal.signal(signal.SIGUSR2, end)
    main()


if __name__ == "__main__":
    run(sys.argv[1])
