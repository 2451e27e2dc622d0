"""What lies between fronts: every datagram of peers passes through here, and troubles befall it by the day's seed.

One process on loopback, without privileges: each front is reached at a port of the relay, which knows the sender by where a
datagram came from. What came, what became of it and what was handed on goes into the traffic, as bytes, for the judge.
"""

from __future__ import annotations

import json
import socket
import sys
import time
from pathlib import Path
from random import Random

import anyio

from curlewshift.standins.running import until_told
from curlewshift.standins.script import OF_PEERS, Script, Trouble
from curlewshift.standins.traffic import Traffic

NS = 1_000_000_000
PORTION = 64
# One held back to change places goes after the next to the same front, or after this (s).
HELD = 0.05
LARGEST = 65_536


class Relay:
    """`fronts` are name and port in the site's order."""

    def __init__(self, fronts: list[tuple[str, int]], seed: int, traffic: Traffic):
        self.names = [name for name, _ in fronts]
        self.port_of = dict(fronts)
        self.name_at = {port: name for name, port in fronts}
        self.seed, self.rng, self.traffic = seed, Random(f"{seed} relay"), traffic
        self.sockets: dict[str, socket.socket] = {}
        # what is in force now
        self.troubles: list[tuple[Trouble, set[str]]] = []
        self.held: dict[str, list[bytes]] = {}
        self.handed = 0
        for name in self.names:
            door = self.sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            door.setblocking(False)
            door.bind(("127.0.0.1", 0))

    def ports(self) -> dict[str, int]:
        return {name: door.getsockname()[1] for name, door in self.sockets.items()}

    async def run(self, tasks) -> None:
        self.tasks = tasks
        for name in self.names:
            tasks.start_soon(self._read, name)

    async def play(self, script: Script, begins: float) -> None:
        for trouble in script.troubles:
            if trouble.kind in OF_PEERS:
                self.tasks.start_soon(
                    self._befall,
                    trouble,
                    begins,
                    [machine.name for machine in script.site.control.machines] if script.site.control else [],
                )

    async def _befall(self, trouble: Trouble, begins: float, machines: list[str]) -> None:
        await anyio.sleep(max(0.0, begins + trouble.at - time.monotonic()))
        rng = Random(f"{self.seed} {trouble.kind} {trouble.at}")
        affected = set(rng.sample(self.names, max(1, round(trouble.part * len(self.names)))))
        if trouble.kind == "control-cut":
            affected = set(machines)
        self.traffic.seen("trouble", kind=trouble.kind, lasts=trouble.lasts, size=trouble.size, fronts=sorted(affected))
        one = trouble, affected
        self.troubles.append(one)
        await anyio.sleep(trouble.lasts)
        self.troubles.remove(one)
        self.traffic.seen("trouble-over", kind=trouble.kind, fronts=sorted(affected))

    async def _read(self, to: str) -> None:
        door = self.sockets[to]
        while True:
            await anyio.wait_readable(door)
            for _ in range(PORTION):
                try:
                    data, (_, port) = door.recvfrom(LARGEST)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                sender = self.name_at.get(port)
                if sender is not None:
                    self._carry(sender, to, data)
            await anyio.sleep(0)

    def _carry(self, sender: str, to: str, data: bytes) -> None:
        self.traffic.seen("peer-said", front=sender, to=to, data=data.hex())
        copies, wait, spoilt, swapped = 1, 0.0, False, False
        for trouble, affected in self.troubles:
            kind, drawn = trouble.kind, self.rng.random()
            between = sender in affected or to in affected
            if (kind == "cut" and (sender in affected) != (to in affected)) or (kind == "one-way" and sender in affected):
                return
            if kind == "control-cut" and sender in affected and to in affected:
                return
            if kind == "loss" and between and drawn < trouble.size:
                return
            if kind == "late" and between and drawn < 0.3:
                wait += self.rng.uniform(0, trouble.size)
            elif kind == "doubled" and between and drawn < trouble.size:
                copies = 2
            elif kind == "reordered" and between and drawn < trouble.size:
                swapped = True
            elif kind == "spoilt" and between and drawn < trouble.size:
                spoilt = True
        if spoilt:
            at = self.rng.randrange(len(data))
            data = data[:at] + bytes((data[at] ^ self.rng.randrange(1, 256),)) + data[at + 1 :]
        for copy in range(copies):
            if wait or copy:
                self.tasks.start_soon(self._later, wait + copy * self.rng.uniform(0, 0.2), to, data, spoilt)
            elif swapped:
                self.held.setdefault(to, []).append(data)
                self.tasks.start_soon(self._let_go, to, data)
            else:
                self._hand_on(to, data, spoilt)
                for earlier in self.held.pop(to, []):
                    self._hand_on(to, earlier, False)

    async def _later(self, wait: float, to: str, data: bytes, spoilt: bool) -> None:
        await anyio.sleep(wait)
        self._hand_on(to, data, spoilt)

    async def _let_go(self, to: str, data: bytes) -> None:
        await anyio.sleep(HELD)
        if data in self.held.get(to, []):
            self.held[to].remove(data)
            self._hand_on(to, data, False)

    def _hand_on(self, to: str, data: bytes, spoilt: bool) -> None:
        self.handed += 1
        self.traffic.seen("peer-heard", front=to, data=data.hex(), spoilt=spoilt)
        try:
            self.sockets[to].sendto(data, ("127.0.0.1", self.port_of[to]))
        except OSError:
            # the front's port is closed, or the machine has no room: lost, as on any network
            pass


async def run_relay(script: Script, fronts: list[tuple[str, int]], seed: int, path: Path) -> None:
    """Writes the ports at which each front is reached as one JSON line; a line on standard input says when the day
    begins, its end is the end."""
    traffic = Traffic(path)
    relay = Relay(fronts, seed, traffic)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(until_told, tasks)
        await relay.run(tasks)
        print(json.dumps(relay.ports()), flush=True)
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        if line.strip():
            await relay.play(script, float(line))
            await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        tasks.cancel_scope.cancel()
