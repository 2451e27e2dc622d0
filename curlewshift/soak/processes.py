"""Node processes of a trial: started as in service, signalled, and monitored from outside through proc(5).

A life is one run of a process; a restart begins a new life.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio

from curlewshift.fault_injection.processes import ROOT, listens
from curlewshift.soak.records import Life, Records, Signal

READY_TIMEOUT_S = 30.0
SAMPLE_INTERVAL_S = 0.25
# Marks a line of the node's log about an unexpected exception that it caught and survived.
FAULT_EVENT = '"event":"fault"'
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class NodeProcess:
    """One node over all its lives. `plant` names a planted fault (see plants.py) or is empty."""

    def __init__(self, name: str, port: int, configuration: Path, log: Path, records: Records, plant: str = ""):
        self.name, self.port, self.configuration, self.log = name, port, configuration, log
        self.records, self.plant = records, plant
        self.process: subprocess.Popen | None = None
        self.life: Life | None = None

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def record_faults(self) -> None:
        """Stores the fault lines of the node's log, which covers all its lives, in the record of the last life."""
        if self.log.exists() and self.life is not None:
            lines = self.log.read_text(errors="replace").splitlines()
            self.life.faults = [line for line in lines if FAULT_EVENT in line]

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
        if await listens(self.port, READY_TIMEOUT_S):
            self.life.ready_at = anyio.current_time()

    def signal(self, signal_number: signal.Signals) -> None:
        if self.running:
            self.records.signals.append(Signal(self.name, anyio.current_time(), signal_number.name))
            if signal_number is signal.SIGKILL:
                self.life.killed = True
            self.process.send_signal(signal_number)

    async def wait_ended(self) -> None:
        while self.running:
            await anyio.sleep(0.005)
        self.record_end()

    def record_end(self) -> None:
        if self.process is not None and not self.running and self.life.ended_at is None:
            self.life.ended_at, self.life.exit_status = anyio.current_time(), self.process.returncode

    async def watch(self) -> None:
        """Records peak memory and descriptor counts, and the end of a process that exits unexpectedly."""
        while True:
            await anyio.sleep(SAMPLE_INTERVAL_S)
            if not self.running:
                self.record_end()
                continue
            try:
                pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
                descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            except (OSError, ValueError, IndexError):
                continue
            self.life.memory_mb = max(self.life.memory_mb, pages * PAGE_BYTES / 2**20)
            self.life.descriptors = max(self.life.descriptors, descriptors)

    def kill(self) -> None:
        if self.running:
            self.life.killed = True
            self.process.kill()
            self.process.wait()
        self.record_end()
