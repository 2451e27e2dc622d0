"""UDP relay between fronts: forwards every peer datagram and injects network faults, seeded by the run's seed.

A single unprivileged process on loopback. Each front is reached at a port of the relay, which identifies the sender by the source
port of the datagram. Received and forwarded datagrams are recorded in full in the traffic for the verdict.
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
from curlewshift.standins.script import PEER_TROUBLES, Script, Trouble
from curlewshift.standins.traffic import Traffic

NS = 1_000_000_000
# Datagrams read from one socket before other tasks run.
MAX_READS_PER_TURN = 64
# A datagram held back for reordering is sent after the next one to the same front, or after this time (s).
REORDER_HOLD_S = 0.05
LARGEST = 65_536


class Relay:
    """`fronts`: name and port of each, in the order of the site."""

    def __init__(self, fronts: list[tuple[str, int]], seed: int, traffic: Traffic):
        self.names = [name for name, _ in fronts]
        self.port_of = dict(fronts)
        self.name_at = {port: name for name, port in fronts}
        self.seed, self.rng, self.traffic = seed, Random(f"{seed} relay"), traffic
        self.sockets: dict[str, socket.socket] = {}
        # active troubles and the fronts that they affect
        self.active_troubles: list[tuple[Trouble, set[str]]] = []
        self.held_back: dict[str, list[bytes]] = {}
        self.forwarded = 0
        for name in self.names:
            sock = self.sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(("127.0.0.1", 0))

    def ports(self) -> dict[str, int]:
        return {name: sock.getsockname()[1] for name, sock in self.sockets.items()}

    async def run(self, tasks) -> None:
        self.tasks = tasks
        for name in self.names:
            tasks.start_soon(self._read, name)

    async def schedule_troubles(self, script: Script, run_start: float) -> None:
        """Schedules the troubles of datagrams; `run_start` is the start of the run (s, monotonic clock)."""
        for trouble in script.troubles:
            if trouble.kind in PEER_TROUBLES:
                self.tasks.start_soon(
                    self._inject,
                    trouble,
                    run_start,
                    [machine.name for machine in script.site.control.machines] if script.site.control else [],
                )

    async def _inject(self, trouble: Trouble, run_start: float, machines: list[str]) -> None:
        await anyio.sleep(max(0.0, run_start + trouble.at - time.monotonic()))
        rng = Random(f"{self.seed} {trouble.kind} {trouble.at}")
        affected = set(rng.sample(self.names, max(1, round(trouble.part * len(self.names)))))
        if trouble.kind == "control-cut":
            affected = set(machines)
        self.traffic.seen("trouble", kind=trouble.kind, lasts=trouble.lasts, size=trouble.size, fronts=sorted(affected))
        active = trouble, affected
        self.active_troubles.append(active)
        await anyio.sleep(trouble.lasts)
        self.active_troubles.remove(active)
        self.traffic.seen("trouble-over", kind=trouble.kind, fronts=sorted(affected))

    async def _read(self, to: str) -> None:
        sock = self.sockets[to]
        while True:
            await anyio.wait_readable(sock)
            for _ in range(MAX_READS_PER_TURN):
                try:
                    data, (_, port) = sock.recvfrom(LARGEST)
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
        copies, delay, corrupt, reorder = 1, 0.0, False, False
        for trouble, affected in self.active_troubles:
            kind, drawn = trouble.kind, self.rng.random()
            between = sender in affected or to in affected
            if (kind == "cut" and (sender in affected) != (to in affected)) or (kind == "one-way" and sender in affected):
                return
            if kind == "control-cut" and sender in affected and to in affected:
                return
            if kind == "loss" and between and drawn < trouble.size:
                return
            if kind == "late" and between and drawn < 0.3:
                delay += self.rng.uniform(0, trouble.size)
            elif kind == "doubled" and between and drawn < trouble.size:
                copies = 2
            elif kind == "reordered" and between and drawn < trouble.size:
                reorder = True
            elif kind == "spoilt" and between and drawn < trouble.size:
                corrupt = True
        if corrupt:
            at = self.rng.randrange(len(data))
            data = data[:at] + bytes((data[at] ^ self.rng.randrange(1, 256),)) + data[at + 1 :]
        for copy in range(copies):
            if delay or copy:
                self.tasks.start_soon(self._deliver_later, delay + copy * self.rng.uniform(0, 0.2), to, data, corrupt)
            elif reorder:
                self.held_back.setdefault(to, []).append(data)
                self.tasks.start_soon(self._release_held, to, data)
            else:
                self._hand_on(to, data, corrupt)
                for earlier in self.held_back.pop(to, []):
                    self._hand_on(to, earlier, False)

    async def _deliver_later(self, delay: float, to: str, data: bytes, corrupt: bool) -> None:
        await anyio.sleep(delay)
        self._hand_on(to, data, corrupt)

    async def _release_held(self, to: str, data: bytes) -> None:
        await anyio.sleep(REORDER_HOLD_S)
        if data in self.held_back.get(to, []):
            self.held_back[to].remove(data)
            self._hand_on(to, data, False)

    def _hand_on(self, to: str, data: bytes, corrupt: bool) -> None:
        self.forwarded += 1
        self.traffic.seen("peer-heard", front=to, data=data.hex(), spoilt=corrupt)
        try:
            self.sockets[to].sendto(data, ("127.0.0.1", self.port_of[to]))
        except OSError:
            # the front's port is closed or the send buffer is full: the datagram is lost, as on any network
            pass


async def run_relay(script: Script, fronts: list[tuple[str, int]], seed: int, path: Path) -> None:
    """Prints the relay port of each front as one JSON line. A line on standard input gives the start of the run (s, monotonic
    clock); the end of standard input ends the relay."""
    traffic = Traffic(path)
    relay = Relay(fronts, seed, traffic)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(until_told, tasks)
        await relay.run(tasks)
        print(json.dumps(relay.ports()), flush=True)
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        if line.strip():
            await relay.schedule_troubles(script, float(line))
            await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        tasks.cancel_scope.cancel()
