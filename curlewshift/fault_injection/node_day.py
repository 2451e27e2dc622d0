"""A short fault injection run against the process of one front node, with viewers that leave and faulty media servers.

The traffic recorded on the sockets of both sides is judged by verdict/attempts.py. The run is bounded in time and in the number
of viewers. Called by `curlewshift leavers` and by tests.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from random import Random

import anyio

from curlewshift.fault_injection.node_sides import FAILED, PATIENCE_MS, PLAYS, REFUSED, Server, Viewer
from curlewshift.fault_injection.processes import ROOT, free_ports, listens
from curlewshift.standins.traffic import Traffic, read_traffic
from curlewshift.verdict.attempts import judge_attempts

FRONT = "n0"
SERVERS, DESCRIPTORS = 24, 900
MAX_SECONDS, MAX_VIEWERS = 60.0, 5000
START_TIMEOUT_S = 30.0
# How often the node is stopped (SIGSTOP) during a run, and the range of the durations.
STOPS, STOP_DURATION_S = 2, (0.15, 0.4)
# The servers keep running for this long after the last viewer, so that attempts that begin late are recorded.
TRAILING_WAIT_S = 1.0


class NodeDay:
    """`seconds` is the time in which the viewers come, `sabotage` a key of `FAULTS` in node_planted_faults.py, `stops` how often
    the node is stopped. `run` raises `OSError` if the node does not start or ends early."""

    def __init__(self, out: Path, seed: int, seconds: float, viewers: int, sabotage: str = "", stops: int = STOPS):
        self.out, self.seed, self.sabotage, self.stops = out, seed, sabotage, stops
        self.seconds, self.viewers = min(seconds, MAX_SECONDS), min(viewers, MAX_VIEWERS)
        self.rng = Random(seed)
        out.mkdir(parents=True, exist_ok=True)
        for name in ("traffic.jsonl", "node.log", "verdict.json"):
            (out / name).unlink(missing_ok=True)
        self.traffic = Traffic(out / "traffic.jsonl")

    async def run(self) -> dict:
        """Returns the verdict, which is also written to `verdict.json`."""
        # a server listens on its port again after a fault: the port must not be one that outgoing connections are given meanwhile
        self.port, *ports = free_ports(SERVERS + 1, Random(os.getpid()))
        self.servers = [Server(number, port, Random(self.rng.random()), self.traffic) for number, port in enumerate(ports)]
        discovery = socket.create_server(("127.0.0.1", 0))
        self._write_configuration(discovery.getsockname()[1])
        try:
            await self._play()
        finally:
            for listener in (discovery, *(server.listener for server in self.servers)):
                listener.close()
            self.traffic.close()
        events = read_traffic(self.out / "traffic.jsonl")
        statuses = [event["status"] for event in events if event["ev"] == "answer"]
        verdict = {
            "seed": self.seed,
            "sabotage": self.sabotage,
            "asked": sum(event["ev"] == "ask" for event in events),
            "played": statuses.count(PLAYS),
            "refused": statuses.count(REFUSED),
            "failed": statuses.count(FAILED),
            "unanswered": self.unanswered,
            "faults": self._faults(),
            "attempts_after_leaving": judge_attempts(events, known_as=str),
        }
        (self.out / "verdict.json").write_text(json.dumps(verdict, indent=1) + "\n")
        return verdict

    async def _play(self) -> None:
        start = ["curlewshift.fault_injection.node_planted_faults", self.sabotage] if self.sabotage else ["curlewshift.node"]
        with open(self.out / "node.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *start],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "NODE_CONFIG": str(self.out / "config.json")},
                start_new_session=True,
            )
        try:
            if not await listens(self.port, START_TIMEOUT_S):
                raise OSError(f"the node does not listen; see {self.out / 'node.log'}")
            async with anyio.create_task_group() as tasks:
                for server in self.servers:
                    tasks.start_soon(server.run, tasks)
                    tasks.start_soon(server.inject_faults, self.seconds)
                tasks.start_soon(self._stop_at_random)
                viewers = await self._viewers()
                await anyio.sleep(TRAILING_WAIT_S)
                tasks.cancel_scope.cancel()
            self.unanswered = sum(viewer.unanswered for viewer in viewers)
            if self.process.poll() is not None:
                raise OSError(f"the node has exited with status {self.process.returncode}; see {self.out / 'node.log'}")
        finally:
            # sessions of viewers that left while being answered would delay a graceful end, which is judged elsewhere
            self.process.kill()
            self.process.wait()

    def _faults(self) -> dict[str, int]:
        """Counts the `fault` events of the node's log by cause: nothing that a viewer or a server does should be one."""
        lines = [json.loads(line) for line in (self.out / "node.log").read_text().splitlines() if line.startswith("{")]
        return dict(Counter(line.get("cause", "") for line in lines if line.get("event") == "fault"))

    async def _viewers(self) -> list[Viewer]:
        """Runs all viewers at random times and returns them when the last one has left."""
        begins_at, rng = time.monotonic(), Random(self.rng.random())
        viewers = [Viewer(number, Random(rng.random()), self.traffic, FRONT) for number in range(1, self.viewers + 1)]
        async with anyio.create_task_group() as tasks:
            for viewer, at in zip(viewers, sorted(rng.uniform(0, self.seconds) for _ in viewers)):
                await anyio.sleep(max(0.0, begins_at + at - time.monotonic()))
                tasks.start_soon(viewer.run, self.port)
        return viewers

    async def _stop_at_random(self) -> None:
        rng = Random(self.rng.random())
        for _ in range(self.stops):
            await anyio.sleep(rng.uniform(0.3, 0.8) * self.seconds / max(1, self.stops))
            self.process.send_signal(signal.SIGSTOP)
            self.traffic.seen("front-paused", front=FRONT)
            await anyio.sleep(rng.uniform(*STOP_DURATION_S))
            self.traffic.seen("front-goes-on", front=FRONT)
            self.process.send_signal(signal.SIGCONT)

    def _write_configuration(self, discovery_port: int) -> None:
        rows = [
            dict(
                id=server.name,
                addr=f"127.0.0.1:{server.port}",
                zone="a",
                kind="box",
                cell=server.number % 4,
                state="active",
                weight=1.0,
                started_ms=0,
            )
            for server in self.servers
        ]
        classes = [
            dict(name="lesson", effect="safe", gain=1.0, goal_time_ms=800, give_up_ms=PATIENCE_MS),
            dict(name="clip", effect="unsafe", gain=2.0, goal_time_ms=800, give_up_ms=PATIENCE_MS),
        ]
        settings = dict(
            balancers=1,
            my_number=0,
            areas=["a"],
            flavors=["box"],
            classes=classes,
            # a connection whose first SYN is dropped is made after a second (TCP retransmission): wait for it
            bounds=dict(
                connect_timeout_ms=1500,
                idle_close_ms=30000,
                max_attempts=4,
                retry_after=True,
                max_retry_after_ms=2000,
                streams_per_conn=8,
                probes=True,
            ),
            extra=dict(cells=4, cabinets=1, kb_per_weight=1e6, rack_kb=1e9, rung_kb=[100, 200], told_every_ms=1000),
        )
        configuration = dict(
            name=FRONT,
            listen=f"127.0.0.1:{self.port}",
            seed=f"{self.seed:x}",
            limits=dict(sockets=DESCRIPTORS),
            bulletin=f"127.0.0.1:{discovery_port}",
            settings=settings,
            known=dict(no=1, items=[dict(no=1, roster=dict(version=0, full=True, servers=rows))]),
        )
        (self.out / "config.json").write_text(json.dumps(configuration))
