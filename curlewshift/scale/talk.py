"""How the run talks with its own processes: JSON lines, each command answered by one line. The end of input is the end."""

from __future__ import annotations

import json
import sys
from collections.abc import Awaitable, Callable

import anyio

from curlewshift.fault_injection.processes import ChildProcess


async def obey(carry_out: Callable[[dict], Awaitable[dict | None]]) -> None:
    """Commands from standard input until its end; whoever started this has gone if nothing more can come."""
    while True:
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        if not line.strip():
            return
        say(await carry_out(json.loads(line)) or {})


def say(told: dict) -> None:
    print(json.dumps(told, separators=(",", ":")), flush=True)


class Spoken:
    """A child that obeys. What it says unasked bears `tick` and goes to `heard`; the rest are answers in order."""

    def __init__(self, child: ChildProcess, heard: Callable[[dict], None] = lambda told: None):
        self.child, self.heard = child, heard
        self.answers, self.answered = anyio.create_memory_object_stream(100)

    async def read(self) -> None:
        """Until it has nothing more to say."""
        while True:
            line = await anyio.to_thread.run_sync(self.child.process.stdout.readline, abandon_on_cancel=True)
            if not line.strip():
                return
            told = json.loads(line)
            if "tick" in told:
                self.heard(told)
            else:
                self.answers.send_nowait(told)

    async def ask(self, command: dict, within: float = 30.0) -> dict:
        """Raises `TimeoutError`, and `OSError` where it has gone."""
        self.child.process.stdin.write((json.dumps(command) + "\n").encode())
        self.child.process.stdin.flush()
        return await self.told(within)

    async def told(self, within: float = 30.0) -> dict:
        with anyio.fail_after(within):
            return await self.answered.receive()
