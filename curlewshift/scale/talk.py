"""Protocol between the run and its child processes: JSON lines, one answer line per command. A child exits at end of input."""

from __future__ import annotations

import json
import sys
from collections.abc import Awaitable, Callable

import anyio

from curlewshift.fault_injection.processes import ChildProcess


async def serve_commands(carry_out: Callable[[dict], Awaitable[dict | None]]) -> None:
    """Executes commands from standard input until its end, which also comes when the parent process has exited."""
    while True:
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        if not line.strip():
            return
        send_message(await carry_out(json.loads(line)) or {})


def send_message(message: dict) -> None:
    print(json.dumps(message, separators=(",", ":")), flush=True)


class CommandedProcess:
    """A child process that executes commands. Its periodic reports have the key `tick` and go to `on_tick`; other lines are
    answers, in the order of the commands."""

    def __init__(self, child: ChildProcess, on_tick: Callable[[dict], None] = lambda message: None):
        self.child, self.on_tick = child, on_tick
        self.answers, self.answered = anyio.create_memory_object_stream(100)

    async def read(self) -> None:
        """Reads lines until the end of the child's output."""
        while True:
            line = await anyio.to_thread.run_sync(self.child.process.stdout.readline, abandon_on_cancel=True)
            if not line.strip():
                return
            message = json.loads(line)
            if "tick" in message:
                self.on_tick(message)
            else:
                self.answers.send_nowait(message)

    async def ask(self, command: dict, within: float = 30.0) -> dict:
        """Raises `TimeoutError` after `within` seconds, and `OSError` where the child has exited."""
        self.child.process.stdin.write((json.dumps(command) + "\n").encode())
        self.child.process.stdin.flush()
        return await self.next_answer(within)

    async def next_answer(self, within: float = 30.0) -> dict:
        with anyio.fail_after(within):
            return await self.answered.receive()
