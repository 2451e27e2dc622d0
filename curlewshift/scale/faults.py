"""What befalls the nodes of a scale run: whom it strikes, how it is begun and ended. Called by scale/run.py."""

from __future__ import annotations

import time
from random import Random

import anyio

from curlewshift.scale.fleet import Fleet
from curlewshift.scale.judge import Judge

# The part of all nodes that `restart-some` starts anew, and how many at the least.
SOME, FEWEST = 0.05, 2


class Fault:
    """One kind, begun and ended once. `affected` is whom; `groups` are those who can hear each other while it lasts."""

    def __init__(self, kind: str, fleet: Fleet, judge: Judge):
        self.kind, self.fleet, self.judge = kind, fleet, judge
        plan, self.everyone = fleet.plan, {place.name for place in fleet.plan.places}
        rng = Random(f"{plan.seed} {kind}")
        self.affected: set[str] = set()
        self.groups: list[set[str]] = [self.everyone]
        if kind == "zone-lost":
            # control machines are not in it: what their loss does is a fault of its own
            zone = rng.choice(sorted({place.zone for place in plan.places}))
            self.affected = {place.name for place in plan.places if place.zone == zone and place.kind != "control"}
        elif kind == "regions-apart":
            self.affected = self.everyone
            self.groups = [
                {place.name for place in plan.places if place.region == region}
                for region in sorted({place.region for place in plan.places})
            ]
        elif kind == "restart-some":
            hollow = [place.name for place in plan.named("hollow") if place.process != 1]
            self.affected = set(rng.sample(hollow, min(len(hollow), max(FEWEST, round(SOME * len(hollow))))))
            self.affected |= {place.name for place in plan.named("real")[:1]}
        else:
            self.affected = {place.name for place in plan.named("control")}

    async def begin(self, lasts: float) -> None:
        """A restart of some goes on for all of `lasts` (s), one after the other; the others begin at once."""
        if self.kind == "regions-apart":
            await self.fleet.ways(apart=True)
            self.judge.strikes(self.affected, time.monotonic(), down=False)
        elif self.kind == "restart-some":
            for name in sorted(self.affected):
                await self._down({name})
                await anyio.sleep(lasts / len(self.affected))
                await self._up({name})
        else:
            await self._down(self.affected)

    async def end(self) -> None:
        if self.kind == "regions-apart":
            await self.fleet.ways(apart=False)
            self.judge.over(self.affected, time.monotonic())
        elif self.kind != "restart-some":
            # a zone that comes back finds its disks empty: the harder case, as when its machines were replaced
            await self._up(self.affected, empty=self.kind == "zone-lost")

    async def _down(self, names: set[str]) -> None:
        for name in names & self.fleet.real.keys():
            self.fleet.real[name].kill()
            # it starts anew without its folder
            self.judge.versions.emptied(name)
        await self.fleet.hollow_do("stop", names)
        self.judge.strikes(names, time.monotonic(), down=True)

    async def _up(self, names: set[str], empty: bool = False) -> None:
        if empty:
            for name in names:
                self.judge.versions.emptied(name)
        await self.fleet.hollow_do("start", names, empty)
        self.judge.over(names - self.fleet.real.keys(), time.monotonic())
        async with anyio.create_task_group() as tasks:
            for name in sorted(names & self.fleet.real.keys()):
                tasks.start_soon(self._up_again, name)

    async def _up_again(self, name: str) -> None:
        # seconds, on a machine that is busy; it speaks before its door opens
        self.judge.over({name}, time.monotonic())
        await self.fleet.real[name].start()
