"""Faults injected into a scale run: which nodes they affect and how they start and end. Called by scale/run.py."""

from __future__ import annotations

import time
from random import Random

import anyio

from curlewshift.scale.fleet import Fleet
from curlewshift.scale.judge import Judge

# `restart-some`: fraction of the hollow nodes that is restarted, and the minimum number of them.
RESTARTED_FRACTION, MIN_RESTARTED = 0.05, 2


class Fault:
    """One fault, started and ended once. `affected`: names of the nodes; `groups`: nodes that can reach each other during it."""

    def __init__(self, kind: str, fleet: Fleet, judge: Judge):
        self.kind, self.fleet, self.judge = kind, fleet, judge
        plan, self.all_names = fleet.plan, {place.name for place in fleet.plan.places}
        rng = Random(f"{plan.seed} {kind}")
        self.affected: set[str] = set()
        self.groups: list[set[str]] = [self.all_names]
        if kind == "zone-lost":
            # control machines are excluded: their loss is a separate fault, `kill-control`
            zone = rng.choice(sorted({place.zone for place in plan.places}))
            self.affected = {place.name for place in plan.places if place.zone == zone and place.kind != "control"}
        elif kind == "regions-apart":
            self.affected = self.all_names
            self.groups = [
                {place.name for place in plan.places if place.region == region}
                for region in sorted({place.region for place in plan.places})
            ]
        elif kind == "restart-some":
            hollow = [place.name for place in plan.named("hollow") if place.process != 1]
            self.affected = set(rng.sample(hollow, min(len(hollow), max(MIN_RESTARTED, round(RESTARTED_FRACTION * len(hollow))))))
            self.affected |= {place.name for place in plan.named("real")[:1]}
        else:
            self.affected = {place.name for place in plan.named("control")}

    async def begin(self, duration: float) -> None:
        """`restart-some` restarts nodes one by one over `duration` (s); the other faults start at once."""
        if self.kind == "regions-apart":
            await self.fleet.set_relay_faults(apart=True)
            self.judge.fault_started(self.affected, time.monotonic(), down=False)
        elif self.kind == "restart-some":
            for name in sorted(self.affected):
                await self._stop_nodes({name})
                await anyio.sleep(duration / len(self.affected))
                await self._start_nodes({name})
        else:
            await self._stop_nodes(self.affected)

    async def end(self) -> None:
        if self.kind == "regions-apart":
            await self.fleet.set_relay_faults(apart=False)
            self.judge.fault_ended(self.affected, time.monotonic())
        elif self.kind != "restart-some":
            # a zone returns with empty disks, the harder case: as if its machines had been replaced
            await self._start_nodes(self.affected, empty=self.kind == "zone-lost")

    async def _stop_nodes(self, names: set[str]) -> None:
        for name in names & self.fleet.real.keys():
            self.fleet.real[name].kill()
            # a real front restarts without its state directory
            self.judge.versions.emptied(name)
        await self.fleet.command_hollow_nodes("stop", names)
        self.judge.fault_started(names, time.monotonic(), down=True)

    async def _start_nodes(self, names: set[str], empty: bool = False) -> None:
        if empty:
            for name in names:
                self.judge.versions.emptied(name)
        await self.fleet.command_hollow_nodes("start", names, empty)
        self.judge.fault_ended(names - self.fleet.real.keys(), time.monotonic())
        async with anyio.create_task_group() as tasks:
            for name in sorted(names & self.fleet.real.keys()):
                tasks.start_soon(self._start_real_front, name)

    async def _start_real_front(self, name: str) -> None:
        # start-up can take seconds on a busy machine, and the front sends datagrams before its listener opens
        self.judge.fault_ended({name}, time.monotonic())
        await self.fleet.real[name].start()
