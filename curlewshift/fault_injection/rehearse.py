"""Runs a fault injection script: starts all processes, injects the faults, stops the processes and has the traffic judged.

In recorded events a run is called `day`. A life is one run of a front's process; a restart begins a new life.
"""

from __future__ import annotations

import json
import os
import socket
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import anyio
from lxml import etree

from curlewshift.capture.replay import Replay
from curlewshift.capture.store import read_capture
from curlewshift.fault_injection.configuration_operator import CONTROL_SABOTAGES, ConfigurationOperator
from curlewshift.fault_injection.members import MemberProcess
from curlewshift.fault_injection.processes import ChildProcess, free_ports, listens
from curlewshift.front.control import tell
from curlewshift.site.site import Site
from curlewshift.standins.script import OF_FRONTS, Announced, Script, Trouble
from curlewshift.standins.traffic import Traffic, read_traffic
from curlewshift.standins.viewers import Viewers
from curlewshift.verdict.attempts import judge_attempts
from curlewshift.verdict.bounds import judge_bounds
from curlewshift.verdict.configuration import judge_configuration
from curlewshift.verdict.leases import judge_leases, judge_orphans
from curlewshift.verdict.members import judge_members
from curlewshift.verdict.phases import phases
from curlewshift.verdict.shed import judge_shed
from curlewshift.verdict.verdict import Figures, judge

NS = 1_000_000_000
# Python starts slowly on a busy machine.
START_TIMEOUT_S = 30.0
# How long fronts get to receive their server list before the run begins.
SETTLE_S = 1.5
# Files of an earlier run in the same folder, which are deleted; a front that found them would continue from their state.
STALE_FILES = (
    "*/peaks.db*",
    "*/intents.log*",
    "*/sessions.log*",
    "*/list.json",
    "*/shared.json",
    "*/configuration*",
    "*/vote*",
    "captures/*/*/*.*",
    "*.jsonl",
    "*.log",
    "verdict.json",
)
# How long viewings may continue after the last arrival.
RUN_OUT_S = 6.0
# The longest wait for a front that holds a lease to start its next act (an action under the lease).
ACT_TIMEOUT_S = 30.0
# Faults that need fronts started with `--led`, which accept commands that change their clock or path, or stop them in an act.
STEERED_TROUBLES = ("clock-rate", "clock-step", "bad-path", "pause-in-act")
# How long fronts with peers get after the run for their membership views to converge, and how often each front is polled.
VIEW_CONVERGENCE_S, WATCH_INTERVAL_S = 8.0, 0.2
# The share of every link that the baseline `reserve` holds for the whole run: about what an announced peak holds at its height.
RESERVE_SHARE = 0.3


class StartFailed(Exception):
    """A process of the run did not start; its log has the reason."""


def figures_of(site: Site) -> Figures:
    """The settings of the site that the judges check against."""
    obligations, packages = site.obligations, site.packages
    return Figures(
        grace=obligations.grace,
        warm_within=obligations.warm_within,
        start_capacity=obligations.start_capacity,
        fall_multiple=obligations.fall_multiple,
        fall_within=obligations.fall_within,
        free_further=obligations.free_further,
        further_share=obligations.further_share,
        look_back=obligations.look_back,
        patience={package.name: package.patience for package in packages},
        join_target={package.name: package.join_target for package in packages},
        value={package.name: package.value for package in packages},
        paid={package.name for package in packages if package.paid_at_setup},
        floor={package.name: package.floor for package in packages},
        seats={package.name: package.seats for package in packages},
    )


class FrontProcess(MemberProcess):
    """One front process over its lives."""

    def __init__(self, run: FaultInjectionRun, number: int, port: int):
        super().__init__(run, number, run.script.site.front_addresses[number].name)
        self.port = port

    async def start(self) -> None:
        self.begin_life()
        arguments = [
            "front",
            str(self.run.out / "site.xml"),
            "--name",
            self.name,
            "--life",
            self.life,
            "--state",
            str(self.state),
            "--seed",
            str(self.run.seed * 1000 + self.number * 100 + self.lives),
        ]
        if self.run.capture:
            arguments += ["--capture", str(self.run.out / "captures" / self.life)]
        if self.run.hold == "reserve":
            for announced in self.run.script.announced[:1]:
                arguments += ["--reserve", f"{announced.package}={RESERVE_SHARE}"]
        if any(trouble.kind in STEERED_TROUBLES for trouble in self.run.script.troubles):
            arguments += ["--led"]
        if self.run.sabotage and self.run.sabotage not in CONTROL_SABOTAGES:
            arguments += ["--sabotage", self.run.sabotage]
        self.child = ChildProcess(arguments, self.run.out / f"{self.name}.log")
        if not await listens(self.port, START_TIMEOUT_S):
            raise StartFailed(f"front {self.name} does not listen; see {self.run.out / (self.name + '.log')}")


class FaultInjectionRun:
    """One run of a script.

    `progress(done, total)` is called with seconds of the run. With `hold` `announced` the script's peaks are announced to the
    fronts, with `reserve` fronts hold a fixed reserve instead. `forget` deletes the session journal of killed fronts.
    """

    def __init__(
        self,
        script: Script,
        script_path: Path,
        out: Path,
        seed: int,
        sabotage: str | None,
        progress: Callable[[float, float], None],
        hold: str = "announced",
        capture: bool = False,
        forget: bool = False,
    ):
        self.script, self.script_path, self.out = script, script_path, out
        self.seed, self.sabotage, self.progress, self.hold = seed, sabotage, progress, hold
        self.capture, self.forget = capture, forget
        out.mkdir(parents=True, exist_ok=True)
        for pattern in STALE_FILES:
            for old in out.glob(pattern):
                old.unlink(missing_ok=True)
        self.traffic = Traffic(out / "viewers.jsonl")
        self.fronts: list[FrontProcess] = []
        self.operator = ConfigurationOperator(self) if script.site.configuration is not None else None
        self.fleet: ChildProcess | None = None
        self.relay: ChildProcess | None = None

    async def run(self) -> dict:
        """Returns the verdict, which is also written to `verdict.json`. Raises `StartFailed`."""
        try:
            await self._play()
        finally:
            for child in [self.fleet, self.relay, *(process.child for process in self._members())]:
                if child is not None:
                    child.kill()
            self.traffic.close()
        return self._judge()

    def _members(self) -> list:
        """The processes that exchange membership datagrams: fronts and control machines."""
        return [*self.fronts, *(self.operator.machines if self.operator is not None else [])]

    def start_failed(self, reason: str) -> StartFailed:
        return StartFailed(reason)

    async def _play(self) -> None:
        ports = free_ports(len(self.script.site.front_addresses), Random(os.getpid()))
        list_port = await self._start_fleet()
        peers = await self._start_relay() if self.script.site.peers is not None else []
        self._write_site(ports, list_port, peers)
        self.fronts = [FrontProcess(self, number, port) for number, port in enumerate(ports)]
        async with anyio.create_task_group() as tasks:
            if self.operator is not None:
                tasks.start_soon(self.operator.start)
            for front in self.fronts:
                tasks.start_soon(front.start)
        await anyio.sleep(SETTLE_S)
        begins = time.monotonic() + 0.2
        self.begins = begins
        if self.hold == "announced":
            for announced in self.script.announced:
                await self._announce(announced, time.time_ns() + int((begins - time.monotonic()) * NS))
        self.traffic.seen("day", begins=int(begins * NS), lasts=int(self.script.lasts * NS))
        for child in (self.fleet, self.relay):
            if child is not None:
                child.process.stdin.write(f"{begins}\n".encode())
                child.process.stdin.flush()
        viewers = Viewers(self.script.site, self.script, [("127.0.0.1", port) for port in ports], self.seed, self.traffic)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_progress, begins)
            if self.hold == "announced" and self.script.announced:
                tasks.start_soon(self._watch_holds)
            if self.relay is not None:
                for member in self._members():
                    tasks.start_soon(self._watch_members, member)
            if self.operator is not None:
                tasks.start_soon(self.operator.watch_machines)
                for front in self.fronts:
                    tasks.start_soon(self.operator.watch, front)
            async with anyio.create_task_group() as troubles:
                for trouble in self.script.troubles:
                    if trouble.kind in OF_FRONTS:
                        troubles.start_soon(self._inject, trouble, begins)
                with anyio.move_on_after(begins + self.script.lasts + RUN_OUT_S - time.monotonic()):
                    await viewers.come(begins)
                if self.relay is not None:
                    # membership views have to converge before the fronts leave
                    await anyio.sleep(max(0.0, begins + self.script.lasts + VIEW_CONVERGENCE_S - time.monotonic()))
            self.traffic.seen("day-over")
            tasks.cancel_scope.cancel()
        async with anyio.create_task_group() as tasks:
            for member in self._members():
                tasks.start_soon(member.end)
        await anyio.sleep(0.3)
        for child in (self.fleet, self.relay):
            if child is not None:
                child.terminate()
                await child.wait_ended()

    async def _start_fleet(self) -> int:
        self.fleet = ChildProcess(
            ["standin", "fleet", str(self.script_path), "--traffic", str(self.out / "servers.jsonl"), "--seed", str(self.seed)],
            self.out / "fleet.log",
            piped=True,
        )
        return int((await self._first_line(self.fleet, "the stand-in servers", "fleet.log"))["list"])

    async def _first_line(self, child: ChildProcess, what: str, log: str) -> dict:
        with anyio.move_on_after(START_TIMEOUT_S):
            line = await anyio.to_thread.run_sync(child.process.stdout.readline, abandon_on_cancel=True)
            if line.strip():
                return json.loads(line)
        raise StartFailed(f"{what} did not start; see {self.out / log}")

    async def _start_relay(self) -> list[tuple[int, int]]:
        """Starts the relay between peers. Returns for each front and control machine its own datagram port and the port of the
        relay through which its peers reach it."""
        site = self.script.site
        endpoints = [*site.front_addresses, *(site.control.machines if site.control is not None else [])]
        ports = free_ports(len(endpoints), Random(os.getpid() + 1), socket.SOCK_DGRAM)
        named = [f"--front={endpoint.name}={port}" for endpoint, port in zip(endpoints, ports)]
        self.relay = ChildProcess(
            [
                "standin",
                "relay",
                str(self.script_path),
                "--traffic",
                str(self.out / "peers.jsonl"),
                "--seed",
                str(self.seed),
                *named,
            ],
            self.out / "relay.log",
            piped=True,
        )
        relay_ports = await self._first_line(self.relay, "the relay between fronts", "relay.log")
        return [(port, relay_ports[endpoint.name]) for endpoint, port in zip(endpoints, ports)]

    async def _announce(self, announced: Announced, begins: int) -> None:
        """Announces a peak to each front, as an operator does. `begins` is the start of the run in Unix time (ns)."""
        starts = begins + int(announced.at * NS)
        for front in self.fronts:
            answer = await tell(
                front.state,
                {
                    "do": "announce",
                    "why": "the rehearsal's script",
                    "peak": {
                        "name": announced.name,
                        "package": announced.package,
                        "starts": starts,
                        "ends": starts + int(announced.lasts * NS),
                        "rate": announced.rate,
                        "most": announced.most,
                    },
                },
            )
            if not answer["ok"]:
                raise StartFailed(f"{front.name} rejects the peak {announced.name}: {answer['wrong']}")

    def _write_site(self, ports: list[int], list_port: int, peers: list[tuple[int, int]]) -> None:
        """Writes the site file for the fronts, with the ports of this run."""
        tree = etree.parse(str(self.script.site_path))
        for front, port in zip(tree.iterfind("fronts/front"), ports):
            front.set("listen", f"127.0.0.1:{port}")
        for front, (listen, relay_port) in zip([*tree.iterfind("fronts/front"), *tree.iterfind("control/machine")], peers):
            front.set("peers-listen", f"127.0.0.1:{listen}")
            front.set("peers-reach", f"127.0.0.1:{relay_port}")
        tree.find("list").set("address", f"127.0.0.1:{list_port}")
        tree.write(str(self.out / "site.xml"), encoding="utf-8", xml_declaration=True)

    async def _report_progress(self, begins: float) -> None:
        total = self.script.lasts + RUN_OUT_S
        while True:
            self.progress(max(0.0, min(total, time.monotonic() - begins)), total)
            await anyio.sleep(0.5)

    async def _watch_holds(self) -> None:
        """Records the capacity that each front holds for peaks, once a second, for the chart."""
        while True:
            for front in self.fronts:
                try:
                    peaks = (await tell(front.state, {"do": "peaks"}))["peaks"]
                except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
                    continue
                for row in peaks:
                    self.traffic.seen(
                        "held",
                        front=front.name,
                        peak=row["name"],
                        package=row["package"],
                        phase=row["phase"],
                        needs=row["needs"],
                        room=row["held_here"],
                    )
            await anyio.sleep(1)

    async def _watch_members(self, front: FrontProcess) -> None:
        """Records the membership view of a front, for the judge."""
        while True:
            requested_at, life = time.monotonic_ns(), front.life
            response = None if front.paused else await front.ask({"do": "peers"})
            if response is not None and response["ok"] and response["peers"] and front.life == life and not front.paused:
                peers = response["peers"]
                self.traffic.seen(
                    "view",
                    front=front.name,
                    life=life,
                    asked=requested_at,
                    me=peers["life"],
                    sent=peers["sent_a_second"],
                    members=[[row["name"], row["life"], row["rank"], row["for_s"]] for row in peers["members"]],
                )
            await anyio.sleep(WATCH_INTERVAL_S)

    # ---- faults of fronts

    async def _inject(self, trouble: Trouble, begins: float) -> None:
        """Injects one fault of the script at its time. A kind that is not named below restarts the affected fronts in turn."""
        await anyio.sleep(max(0.0, begins + trouble.at - time.monotonic()))
        rng = Random(f"{self.seed} {trouble.kind} {trouble.at}")
        count = max(1, round(trouble.part * len(self.fronts)))
        affected = rng.sample(self.fronts, count)
        self.traffic.seen("trouble", kind=trouble.kind, lasts=trouble.lasts, fronts=[front.name for front in affected])
        if trouble.kind == "front-crash":
            for front in affected:
                front.kill()
            await anyio.sleep(trouble.lasts)
            async with anyio.create_task_group() as tasks:
                for front in affected:
                    tasks.start_soon(front.start)
        elif trouble.kind == "pause":
            async with anyio.create_task_group() as tasks:
                for front in affected:
                    tasks.start_soon(front.pause, trouble.lasts)
        elif trouble.kind == "clock-rate":
            for rate in (trouble.size, 1.0):
                for front in affected:
                    await front.ask({"do": "clock", "rate": rate})
                await anyio.sleep(trouble.lasts if rate != 1.0 else 0)
        elif trouble.kind == "clock-step":
            for front in affected:
                await front.ask({"do": "clock", "step": int(trouble.size * NS) * rng.choice((-1, 1))})
        elif trouble.kind == "pause-in-act":
            await self._pause_in_act(trouble.lasts, count)
        elif self.operator is not None and await self.operator.inject(trouble, affected):
            pass
        elif trouble.kind == "bad-path":
            # an event of its own, as the judge has to know which front's path it was
            self.traffic.seen("bad-path", lasts=trouble.lasts, fronts=[front.name for front in affected])
            for lost in (True, False):
                for front in affected:
                    await front.ask({"do": "path", "lost": lost})
                await anyio.sleep(trouble.lasts if lost else 0)
        else:
            for front in affected:
                next_at = time.monotonic() + trouble.lasts / count
                await front.end()
                await front.start()
                await anyio.sleep(max(0.0, next_at - time.monotonic()))
        self.traffic.seen("trouble-over", kind=trouble.kind, fronts=[front.name for front in affected])

    async def _pause_in_act(self, lasts: float, count: int) -> None:
        """Stops holders of leases in the middle of an act, and resumes them after other members have taken over."""
        answers = [(front, await front.ask({"do": "leases"})) for front in self.fronts if not front.paused]
        holders = [
            front
            for front, answer in answers
            if answer
            and answer.get("leases")
            and any(row["held_here"] and row["lease"].startswith("probe/") for row in answer["leases"]["leases"])
        ]
        async with anyio.create_task_group() as tasks:
            for front in holders[:count]:
                tasks.start_soon(front.pause_in_act, lasts, ACT_TIMEOUT_S)

    # ---- the verdict

    def _judge(self) -> dict:
        events = read_traffic(self.out / "viewers.jsonl") + read_traffic(self.out / "servers.jsonl")
        if self.relay is not None:
            events += read_traffic(self.out / "peers.jsonl")
        events.sort(key=lambda event: event["at"])
        with open(self.out / "traffic.jsonl", "w") as merged:
            for event in events:
                merged.write(json.dumps(event) + "\n")
        verdict = judge(events, figures_of(self.script.site))
        verdict["attempts_after_leaving"] = judge_attempts(events)
        verdict["seed"], verdict["sabotage"], verdict["hold"] = self.seed, self.sabotage, self.hold
        peaks = [trouble for trouble in self.script.troubles if trouble.kind == "peak"]
        if peaks:
            verdict["phases"] = phases(events, figures_of(self.script.site), peaks[0].at, peaks[0].at + peaks[0].lasts)
        if self.relay is not None:
            membership_terms = self.script.site.peers.membership_terms
            verdict["members"] = judge_members(events, membership_terms.period, membership_terms.forget_after)
        if self.script.site.sharing is not None:
            verdict["bounds"] = judge_bounds(events, figures_of(self.script.site), self._shared_budgets())
        if self.script.site.leases is not None:
            verdict["leases"] = {**judge_leases(events), "orphans": judge_orphans(events)}
        if self.operator is not None:
            verdict["configuration"] = judge_configuration(events)
        if self.script.site.overload is not None:
            verdict["shed"] = self._judge_shed(events)
        if self.capture:
            verdict["replays"] = self._replays()
            verdict["replay_differences"] = sum(bool(run["difference"]) for run in verdict["replays"].values())
        (self.out / "verdict.json").write_text(json.dumps(verdict, indent=1) + "\n")
        return verdict

    def _judge_shed(self, events: list[dict]) -> dict:
        site = self.script.site
        begins = next(event["begins"] for event in events if event["ev"] == "day")
        value_per_rate = {package.name: package.value / package.rates[package.floor] for package in site.packages}
        losses = [
            (begins + int(trouble.at * NS), begins + int((trouble.at + trouble.lasts) * NS))
            for trouble in self.script.troubles
            if trouble.kind == "crash"
        ]
        return judge_shed(events, figures_of(site), value_per_rate, site.overload.floor, losses)

    def _shared_budgets(self) -> frozenset[str]:
        """The budgets that all fronts keep together, by the name that the judge gives them."""
        together = self.script.site.together
        return frozenset([*(["further-tune-ins"] if together.free is not None else []), *(["seats"] if together.seats else [])])

    def _replays(self) -> dict:
        """Replays the capture of each life of each front; that of a killed front is replayed up to where its capture ends."""
        replays = {}
        for folder in sorted((self.out / "captures").iterdir()):
            records, damage = read_capture(folder)
            run = Replay(records).run()
            replays[folder.name] = {
                "told": run.told,
                "did": run.did,
                "cut_off": damage,
                "difference": str(run.difference) if run.difference else "",
            }
        return replays
