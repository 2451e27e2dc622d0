"""One member of a rehearsed fleet over its lives: a front's process or a control machine's, killed, stopped, asked and ended."""

from __future__ import annotations

import anyio

from curlewshift.fault_injection.processes import ChildProcess
from curlewshift.front.control import tell


class MemberProcess:
    """`start`, which begins a life, is its kind's. To the judges fronts and control machines are members alike."""

    paused = False

    def __init__(self, day, number: int, name: str):
        self.day, self.number, self.name, self.lives = day, number, name, 0
        self.child: ChildProcess | None = None
        self.state = day.out / name
        self.state.mkdir(exist_ok=True)

    @property
    def life(self) -> str:
        return f"{self.name}.{self.lives}"

    def another_life(self) -> None:
        self.lives += 1
        self.paused = False
        self.day.traffic.seen("front-up", front=self.name, life=self.life)

    def kill(self) -> None:
        self.child.kill()
        self.day.traffic.seen("front-down", front=self.name, life=self.life, how="killed")
        if self.day.forget:
            (self.state / "sessions.log").unlink(missing_ok=True)

    async def pause(self, lasts: float) -> None:
        """Stopped by the machine, as one that is starved or swapped out; killed meanwhile, it does not go on."""
        child = self.child
        self.paused = True
        child.pause()
        self.day.traffic.seen("front-paused", front=self.name, life=self.life)
        await anyio.sleep(lasts)
        if self.child is child:
            self.paused = False
            self.day.traffic.seen("front-goes-on", front=self.name, life=self.life)
            child.go_on()

    async def stop_in_act(self, lasts: float, within: float) -> None:
        """It stops itself at its next act, if there is one within so long."""
        child = self.child
        await self.ask({"do": "stop-in-act"})
        with anyio.move_on_after(within):
            while self.child is child and not child.stopped():
                await anyio.sleep(0.01)
            if self.child is child:
                await self.pause(lasts)

    async def ask(self, command: dict) -> dict | None:
        """What it answers on its control socket; None where it cannot."""
        try:
            return await tell(self.state, command)
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return None

    async def end(self) -> None:
        if self.paused:
            self.child.go_on()
        self.child.ask_to_end()
        status = await self.child.ended()
        self.day.traffic.seen(
            "front-down", front=self.name, life=self.life, how="ended" if status == 0 else "killed", status=status
        )
