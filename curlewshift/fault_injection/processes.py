"""Child processes of a rehearsal, and that none of them outlives it."""

from __future__ import annotations

import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import anyio

ROOT = Path(__file__).resolve().parents[2]
# A child that does not end when asked is killed after this (s).
END_WITHIN = 10.0
# Where free ports are looked for: outside those that outgoing connections are given. Who runs several at once beside each
# other gives each a part (`FROM-TO`), as a port is free until it is used.
PORTS = tuple(map(int, os.environ.get("CURLEWSHIFT_PORTS", "12000-20000").split("-")))


def free_ports(count: int, rng: Random, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Loopback ports that nothing listens on now, outside those that outgoing connections are given."""
    found = []
    for _ in range(1000):
        port = rng.randrange(*PORTS)
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no loopback port is free")


class ChildProcess:
    """One process of this program. `log` takes its standard error."""

    def __init__(self, arguments: list[str], log: Path, talks: bool = False, descriptors: int = 0):
        """`descriptors` lowers how many it may have open."""

        def lowered() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        pipe = subprocess.PIPE if talks else subprocess.DEVNULL
        with open(log, "ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "curlewshift", *arguments],
                cwd=ROOT,
                stdin=pipe,
                stdout=subprocess.PIPE if talks else subprocess.DEVNULL,
                stderr=errors,
                start_new_session=True,
                preexec_fn=lowered if descriptors else None,
            )

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def pause(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGSTOP)

    def stopped(self) -> bool:
        """Whether it is stopped, as the machine tells (proc(5)); one that has ended is not."""
        try:
            return Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"
        except OSError:
            return False

    def go_on(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)

    def ask_to_end(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)

    async def ended(self, within: float = END_WITHIN) -> int | None:
        """Its exit status; None if it had to be killed."""
        with anyio.move_on_after(within):
            while self.process.poll() is None:
                await anyio.sleep(0.02)
            return self.process.returncode
        self.kill()
        return None


async def listens(port: int, within: float) -> bool:
    ends = time.monotonic() + within
    while time.monotonic() < ends:
        try:
            stream = await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            await anyio.sleep(0.05)
            continue
        await stream.aclose()
        return True
    return False
