"""The program in service as a process of its own: its configuration, and its resource use from /proc (proc(5)). Used by the
slopes of a real node.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import Random

from curlewshift.fault_injection.processes import ROOT, free_ports
from curlewshift.scale.slopes_crowd import OPTIONS, SETUP_TIMEOUT_MS
from curlewshift.scale.slopes_stands import Stands

NS = 1_000_000_000
READY_TIMEOUT_S, END_TIMEOUT_S = 60.0, 3.0
PAGE = os.sysconf("SC_PAGESIZE")
# Ten evenly spaced rungs (kB/s): only the measurement itself makes viewings change rungs.
RUNGS = [100.0 * number for number in range(1, 11)]


def settings(classes: int = 2, cells: int = 8) -> dict:
    """Settings with such large capacities that nothing is refused: the cost of a request is measured, not its placement."""
    rows = [dict(name="lesson", effect="safe", gain=1.0, goal_time_ms=800, give_up_ms=SETUP_TIMEOUT_MS)]
    rows += [
        dict(name=f"clip{number}", effect="unsafe", gain=2.0, goal_time_ms=800, give_up_ms=SETUP_TIMEOUT_MS)
        for number in range(1, classes)
    ]
    return dict(
        balancers=1,
        my_number=0,
        areas=["a"],
        flavors=["box"],
        classes=rows,
        bounds=dict(
            connect_timeout_ms=250,
            idle_close_ms=30_000,
            max_attempts=3,
            retry_after=True,
            max_retry_after_ms=2000,
            streams_per_conn=32,
            probes=True,
        ),
        extra=dict(
            cells=cells,
            cabinets=max(1, cells // 16),
            kb_per_weight=1e9,
            rack_kb=1e11,
            rung_kb=RUNGS,
            kind_streams=[1_000_000],
            told_every_ms=1000,
        ),
        telemetry=dict(fields=["x0"]),
        obligations={},
    )


def rows_of(stands: Stands, servers: int, cells: int) -> list[dict]:
    """Rows of the running media servers, and of further ones in state `leaving`, to which nothing is sent."""
    rows = [
        dict(
            id=media.name,
            addr=f"127.0.0.1:{media.port}",
            zone="a",
            kind="box",
            cell=number % cells,
            state="active",
            weight=1.0,
            started_ms=0,
        )
        for number, media in enumerate(stands.medias)
    ]
    rows += [
        dict(
            id=f"s-{number + 1:08x}",
            addr=f"127.1.{number >> 8}.{number & 255}:9",
            zone="a",
            kind="box",
            cell=number % cells,
            state="leaving",
            weight=1.0,
            started_ms=0,
        )
        for number in range(len(rows), servers)
    ]
    return rows


class RealNode:
    """`python -m curlewshift.node` with NODE_CONFIG. `descriptors`: its configured descriptor limit; `cells` defaults to
    the number of media servers."""

    def __init__(
        self,
        folder: Path,
        stands: Stands,
        descriptors: int,
        servers: int = 0,
        classes: int = 2,
        cells: int = 0,
        profile: Path | None = None,
    ):
        self.folder, self.stands = folder, stands
        cells = cells or len(stands.medias)
        self.port = free_ports(1, Random(os.getpid() * 1000 + time.monotonic_ns() % 1000))[0]
        config = dict(
            name="n0",
            listen=f"127.0.0.1:{self.port}",
            seed="0f",
            limits=dict(sockets=descriptors),
            bulletin=f"127.0.0.1:{stands.discovery.port}",
            settings=settings(classes, cells),
            known=dict(no=1, items=[dict(no=1, roster=dict(version=0, full=True, servers=rows_of(stands, servers, cells)))]),
        )
        self.path = folder / "config.json"
        self.path.write_text(json.dumps(config))
        self.log = folder / "node.log"
        program = ["-m", "curlewshift.node"] if profile is None else ["-m", "curlewshift.scale.slopes_profiled", str(profile)]
        self.program, self.process = program, None

    def start(self) -> None:
        """Signals that end the run are blocked until `process` is set, so that the owner of this object can end the process."""
        end_signals = {signal.SIGTERM, signal.SIGINT}
        self.began = time.monotonic()
        before = signal.pthread_sigmask(signal.SIG_BLOCK, end_signals)
        try:
            with open(self.log, "wb") as log:
                self.process = subprocess.Popen(
                    [sys.executable, *self.program],
                    cwd=ROOT,
                    env={**os.environ, "NODE_CONFIG": str(self.path)},
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    start_new_session=True,
                    preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_UNBLOCK, end_signals),
                )
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    @property
    def pid(self) -> int:
        return self.process.pid

    def ready(self) -> float:
        """Starts the node; returns the seconds until it answered OPTIONS with 200. Raises `TimeoutError`."""
        self.start()
        while time.monotonic() - self.began < READY_TIMEOUT_S:
            if self.process.poll() is not None:
                raise TimeoutError(f"the node ended with {self.process.returncode}: {self.log.read_text()[-300:]}")
            with socket.socket() as sock:
                sock.settimeout(0.2)
                try:
                    sock.connect(("127.0.0.1", self.port))
                    sock.sendall(OPTIONS)
                    if b" 200 " in sock.recv(1000):
                        return time.monotonic() - self.began
                except OSError:
                    pass
            self.stands.loop.run(0.005)
        raise TimeoutError(f"the node was not ready within {READY_TIMEOUT_S:g} s")

    def processor_ns(self) -> int:
        """Processor time of all its threads so far."""
        return sum(int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{self.pid}/task").iterdir())

    def rss(self) -> int:
        """Resident memory (bytes), without the kernel's socket buffers."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * PAGE

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def share(self, seconds: float) -> float:
        """Processor time divided by wall time over `seconds`, while the stand-ins run."""
        before, began = self.processor_ns(), time.monotonic_ns()
        self.stands.loop.run(seconds)
        return (self.processor_ns() - before) / (time.monotonic_ns() - began)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
