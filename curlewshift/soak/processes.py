"""Node processes of a trial: started as in service, signalled, and looked at from outside (proc(5))."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio

from curlewshift.fault_injection.processes import ROOT, listens
from curlewshift.soak.records import Life, Records, Signal

READY_WITHIN_S = 30.0
LOOK_EVERY_S = 0.25
# In a line of the node's log: an exception that it caught and went on from.
FAULT = '"event":"fault"'
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class NodeProcess:
    """One node over all its lives. `plant` names a planted fault, see plants.py."""

    def __init__(self, name: str, port: int, configuration: Path, log: Path, records: Records, plant: str = ""):
        self.name, self.port, self.configuration, self.log = name, port, configuration, log
        self.records, self.plant = records, plant
        self.process: subprocess.Popen | None = None
        self.life: Life | None = None

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def note_faults(self) -> None:
        """What the node has logged of faults in itself, over all its lives, goes to the last."""
        if self.log.exists() and self.life is not None:
            lines = self.log.read_text(errors="replace").splitlines()
            self.life.faults = [line for line in lines if FAULT in line]

    async def start(self) -> None:
        module = ["curlewshift.soak.plants", self.plant] if self.plant else ["curlewshift.node"]
        self.life = Life(self.name, anyio.current_time())
        self.records.lives.append(self.life)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *module],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={**os.environ, "NODE_CONFIG": str(self.configuration)},
            )
        if await listens(self.port, READY_WITHIN_S):
            self.life.ready_at = anyio.current_time()

    def signal(self, which: signal.Signals) -> None:
        if self.runs:
            self.records.signals.append(Signal(self.name, anyio.current_time(), which.name))
            if which is signal.SIGKILL:
                self.life.killed = True
            self.process.send_signal(which)

    async def ended(self) -> None:
        while self.runs:
            await anyio.sleep(0.005)
        self.note_end()

    def note_end(self) -> None:
        if self.process is not None and not self.runs and self.life.ended_at is None:
            self.life.ended_at, self.life.exit_status = anyio.current_time(), self.process.returncode

    async def watch(self) -> None:
        """Memory and descriptors, and an end that nobody asked for."""
        while True:
            await anyio.sleep(LOOK_EVERY_S)
            if not self.runs:
                self.note_end()
                continue
            try:
                pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
                descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            except (OSError, ValueError, IndexError):
                continue
            self.life.memory_mb = max(self.life.memory_mb, pages * PAGE_BYTES / 2**20)
            self.life.descriptors = max(self.life.descriptors, descriptors)

    def kill(self) -> None:
        if self.runs:
            self.life.killed = True
            self.process.kill()
            self.process.wait()
        self.note_end()
