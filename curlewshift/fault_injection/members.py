"""One member of the fleet under test, a front or a control machine, over its lives: started, paused, killed and queried.

A life is one run of the member's process; a restart begins a new life.
"""

from __future__ import annotations

import anyio

from curlewshift.fault_injection.processes import ChildProcess
from curlewshift.front.control import tell


class MemberProcess:
    """Subclasses define `start`, which begins a life. Events name any member `front`: the judges treat fronts and control
    machines alike."""

    paused = False

    def __init__(self, run, number: int, name: str):
        self.run, self.number, self.name, self.lives = run, number, name, 0
        self.child: ChildProcess | None = None
        self.state = run.out / name
        self.state.mkdir(exist_ok=True)

    @property
    def life(self) -> str:
        return f"{self.name}.{self.lives}"

    def begin_life(self) -> None:
        self.lives += 1
        self.paused = False
        self.run.traffic.seen("front-up", front=self.name, life=self.life)

    def kill(self) -> None:
        self.child.kill()
        self.run.traffic.seen("front-down", front=self.name, life=self.life, how="killed")
        if self.run.forget:
            (self.state / "sessions.log").unlink(missing_ok=True)

    async def pause(self, duration: float) -> None:
        """Stops the process (SIGSTOP) for `duration` seconds, as if it were starved of CPU or swapped out. A process that is
        killed meanwhile is not resumed."""
        child = self.child
        self.paused = True
        child.pause()
        self.run.traffic.seen("front-paused", front=self.name, life=self.life)
        await anyio.sleep(duration)
        if self.child is child:
            self.paused = False
            self.run.traffic.seen("front-goes-on", front=self.name, life=self.life)
            child.resume()

    async def pause_in_act(self, duration: float, timeout: float) -> None:
        """Has the process stop itself at its next act (an action under a lease), if there is one within `timeout` seconds."""
        child = self.child
        await self.ask({"do": "stop-in-act"})
        with anyio.move_on_after(timeout):
            while self.child is child and not child.stopped():
                await anyio.sleep(0.01)
            if self.child is child:
                await self.pause(duration)

    async def ask(self, command: dict) -> dict | None:
        """Returns the answer on the control socket; None if there is none."""
        try:
            return await tell(self.state, command)
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return None

    async def end(self) -> None:
        if self.paused:
            self.child.resume()
        self.child.terminate()
        status = await self.child.wait_ended()
        self.run.traffic.seen(
            "front-down", front=self.name, life=self.life, how="ended" if status == 0 else "killed", status=status
        )
