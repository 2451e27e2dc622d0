"""The node in service under a profiler controlled by signals: `python -m curlewshift.scale.slopes_profiled OUT`.

SIGUSR1 starts the profiler; SIGUSR2 stops it and writes OUT. No figures of a slope are measured under it.
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
