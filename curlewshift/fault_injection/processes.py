"""Child processes of a fault injection run and the search for free loopback ports."""

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
# A child that does not end after SIGTERM is killed after this time.
END_TIMEOUT_S = 10.0
# The range (`FROM-TO`) in which free ports are searched: outside the ephemeral ports, which outgoing connections are given.
# Concurrent runs need separate ranges, as a port counts as free until it is used.
PORTS = tuple(map(int, os.environ.get("CURLEWSHIFT_PORTS", "12000-20000").split("-")))


def free_ports(count: int, rng: Random, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Returns loopback ports in `PORTS` on which nothing listens at the moment. Raises `OSError` if there are too few."""
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
    raise OSError(f"no {count} free loopback ports in {PORTS}")


class ChildProcess:
    """One process of this program. Its standard error is appended to `log`."""

    def __init__(self, arguments: list[str], log: Path, piped: bool = False, descriptors: int = 0):
        """`piped` connects its standard input and output to pipes; `descriptors` lowers its limit of open descriptors."""

        def limit_descriptors() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        pipe = subprocess.PIPE if piped else subprocess.DEVNULL
        with open(log, "ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "curlewshift", *arguments],
                cwd=ROOT,
                stdin=pipe,
                stdout=subprocess.PIPE if piped else subprocess.DEVNULL,
                stderr=errors,
                start_new_session=True,
                preexec_fn=limit_descriptors if descriptors else None,
            )

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def pause(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGSTOP)

    def stopped(self) -> bool:
        """Whether the process is stopped, by its state in proc(5). A process that has ended is not."""
        try:
            return Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"
        except OSError:
            return False

    def resume(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)

    async def wait_ended(self, timeout: float = END_TIMEOUT_S) -> int | None:
        """Waits for the end and returns the exit status; after `timeout` seconds kills the process and returns None."""
        with anyio.move_on_after(timeout):
            while self.process.poll() is None:
                await anyio.sleep(0.02)
            return self.process.returncode
        self.kill()
        return None


async def listens(port: int, timeout: float) -> bool:
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            stream = await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            await anyio.sleep(0.05)
            continue
        await stream.aclose()
        return True
    return False
