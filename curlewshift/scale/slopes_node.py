"""The program in service as a process of its own: what it is told, and what it uses, read from /proc (proc(5)). Called by the
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
from curlewshift.scale.slopes_crowd import OPTIONS, PATIENCE
from curlewshift.scale.slopes_stands import Stands

NS = 1_000_000_000
READY_WITHIN, END_WITHIN = 60.0, 3.0
PAGE = os.sysconf("SC_PAGESIZE")
# Ten rungs of one size each: nobody is held to a rung by anything but what the measurement does.
RUNGS = [100.0 * number for number in range(1, 11)]


def settings(classes: int = 2, cells: int = 8) -> dict:
    """Links and places so large that nothing is refused for want of room: what a request costs is asked, not where it goes."""
    rows = [dict(name="lesson", effect="safe", gain=1.0, goal_time_ms=800, give_up_ms=PATIENCE)]
    rows += [
        dict(name=f"clip{number}", effect="unsafe", gain=2.0, goal_time_ms=800, give_up_ms=PATIENCE)
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
    """Those that stand, and others on the list that nobody is sent to: their state is `leaving`."""
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
    """`python -m curlewshift.node` with NODE_CONFIG. `descriptors` is what it is told that it may have open; there are as
    many cells as media servers unless said."""

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
        told = dict(
            name="n0",
            listen=f"127.0.0.1:{self.port}",
            seed="0f",
            limits=dict(sockets=descriptors),
            bulletin=f"127.0.0.1:{stands.bulletin.port}",
            settings=settings(classes, cells),
            known=dict(no=1, items=[dict(no=1, roster=dict(version=0, full=True, servers=rows_of(stands, servers, cells)))]),
        )
        self.path = folder / "config.json"
        self.path.write_text(json.dumps(told))
        self.log = folder / "node.log"
        program = ["-m", "curlewshift.node"] if profile is None else ["-m", "curlewshift.scale.slopes_profiled", str(profile)]
        self.program, self.process = program, None

    def start(self) -> None:
        """Whoever has this object ends the process; so nothing breaks in before the object knows of it."""
        ends = {signal.SIGTERM, signal.SIGINT}
        self.began = time.monotonic()
        before = signal.pthread_sigmask(signal.SIG_BLOCK, ends)
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
                    preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_UNBLOCK, ends),
                )
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    @property
    def pid(self) -> int:
        return self.process.pid

    def ready(self) -> float:
        """Starts it; seconds until it answered OPTIONS with 200. Raises `TimeoutError`."""
        self.start()
        while time.monotonic() - self.began < READY_WITHIN:
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
        raise TimeoutError(f"the node was not ready within {READY_WITHIN:g} s")

    def processor_ns(self) -> int:
        """Processor time of all its threads so far."""
        return sum(int((task / "schedstat").read_text().split()[0]) for task in Path(f"/proc/{self.pid}/task").iterdir())

    def rss(self) -> int:
        """Bytes in memory, without what the kernel holds for its sockets."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * PAGE

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def share(self, seconds: float) -> float:
        """Processor time over wall time while the stand-ins run on."""
        before, began = self.processor_ns(), time.monotonic_ns()
        self.stands.loop.run(seconds)
        return (self.processor_ns() - before) / (time.monotonic_ns() - began)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
