"""Plays a script: starts everything, lets the day pass, stops everything, and has the traffic judged."""

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
from curlewshift.fault_injection.configuring import OF_MACHINES, Configuring
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
# Python starts slowly on a machine that is busy (s).
START_WITHIN = 30.0
# Fronts get so long to hear of all servers before the day begins (s).
SETTLE = 1.5
# What an earlier day left in the folder; a front that found it would go on from there.
LEFT_OVER = (
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
# After the last arrival viewings run out, but no longer than this (s).
RUN_OUT = 6.0
# A front that holds a lease acts within so long (s).
STOPS_WITHIN = 30.0
# Troubles for which fronts are started so that they can be led astray.
LED = ("clock-rate", "clock-step", "bad-path", "pause-in-act")
# Fronts that know each other get so long after the day for their views to meet again (s); how often each is asked.
VIEWS_MEET, WATCH_MEMBERS = 8.0, 0.2
# The baseline's part of every link, kept all day: about what an announced peak holds at its height.
RESERVE = 0.3


class StartFailed(Exception):
    """A part of the rehearsal did not come up; its log says why."""


def figures_of(site: Site) -> Figures:
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
    """One front over its lives."""

    def __init__(self, day: FaultInjectionRun, number: int, port: int):
        super().__init__(day, number, day.script.site.front_addresses[number].name)
        self.port = port

    async def start(self) -> None:
        self.another_life()
        arguments = [
            "front",
            str(self.day.out / "site.xml"),
            "--name",
            self.name,
            "--life",
            self.life,
            "--state",
            str(self.state),
            "--seed",
            str(self.day.seed * 1000 + self.number * 100 + self.lives),
        ]
        if self.day.capture:
            arguments += ["--capture", str(self.day.out / "captures" / self.life)]
        if self.day.hold == "reserve":
            for announced in self.day.script.announced[:1]:
                arguments += ["--reserve", f"{announced.package}={RESERVE}"]
        if any(trouble.kind in LED for trouble in self.day.script.troubles):
            arguments += ["--led"]
        if self.day.sabotage and self.day.sabotage not in OF_MACHINES:
            arguments += ["--sabotage", self.day.sabotage]
        self.child = ChildProcess(arguments, self.day.out / f"{self.name}.log")
        if not await listens(self.port, START_WITHIN):
            raise StartFailed(f"front {self.name} does not listen; see {self.day.out / (self.name + '.log')}")


class FaultInjectionRun:
    """`progress(done, of)` is told seconds of the day."""

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
        for left_over in LEFT_OVER:
            for old in out.glob(left_over):
                old.unlink(missing_ok=True)
        self.traffic = Traffic(out / "viewers.jsonl")
        self.fronts: list[FrontProcess] = []
        self.configuring = Configuring(self) if script.site.configuration is not None else None
        self.fleet: ChildProcess | None = None
        self.relay: ChildProcess | None = None

    async def run(self) -> dict:
        """The verdict, which is written to the folder too. Raises `StartFailed`."""
        try:
            await self._day()
        finally:
            for child in [self.fleet, self.relay, *(process.child for process in self._members())]:
                if child is not None:
                    child.kill()
            self.traffic.close()
        return self._judge()

    def _members(self) -> list:
        """Processes that peers' datagrams go between."""
        return [*self.fronts, *(self.configuring.machines if self.configuring is not None else [])]

    def failed(self, why: str) -> StartFailed:
        return StartFailed(why)

    async def _day(self) -> None:
        ports = free_ports(len(self.script.site.front_addresses), Random(os.getpid()))
        list_port = await self._start_fleet()
        peers = await self._start_relay() if self.script.site.peers is not None else []
        self._write_site(ports, list_port, peers)
        self.fronts = [FrontProcess(self, number, port) for number, port in enumerate(ports)]
        async with anyio.create_task_group() as tasks:
            if self.configuring is not None:
                tasks.start_soon(self.configuring.start)
            for front in self.fronts:
                tasks.start_soon(front.start)
        await anyio.sleep(SETTLE)
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
            tasks.start_soon(self._tell_progress, begins)
            if self.hold == "announced" and self.script.announced:
                tasks.start_soon(self._watch_holds)
            if self.relay is not None:
                for member in self._members():
                    tasks.start_soon(self._watch_members, member)
            if self.configuring is not None:
                tasks.start_soon(self.configuring.watch_machines)
                for front in self.fronts:
                    tasks.start_soon(self.configuring.watch, front)
            async with anyio.create_task_group() as troubles:
                for trouble in self.script.troubles:
                    if trouble.kind in OF_FRONTS:
                        troubles.start_soon(self._befall, trouble, begins)
                with anyio.move_on_after(begins + self.script.lasts + RUN_OUT - time.monotonic()):
                    await viewers.come(begins)
                if self.relay is not None:
                    # views have to meet again before the fronts take leave
                    await anyio.sleep(max(0.0, begins + self.script.lasts + VIEWS_MEET - time.monotonic()))
            self.traffic.seen("day-over")
            tasks.cancel_scope.cancel()
        async with anyio.create_task_group() as tasks:
            for member in self._members():
                tasks.start_soon(member.end)
        await anyio.sleep(0.3)
        for child in (self.fleet, self.relay):
            if child is not None:
                child.ask_to_end()
                await child.ended()

    async def _start_fleet(self) -> int:
        self.fleet = ChildProcess(
            ["standin", "fleet", str(self.script_path), "--traffic", str(self.out / "servers.jsonl"), "--seed", str(self.seed)],
            self.out / "fleet.log",
            talks=True,
        )
        return int((await self._first_line(self.fleet, "the stand-in servers", "fleet.log"))["list"])

    async def _first_line(self, child: ChildProcess, what: str, log: str) -> dict:
        with anyio.move_on_after(START_WITHIN):
            line = await anyio.to_thread.run_sync(child.process.stdout.readline, abandon_on_cancel=True)
            if line.strip():
                return json.loads(line)
        raise StartFailed(f"{what} did not start; see {self.out / log}")

    async def _start_relay(self) -> list[tuple[int, int]]:
        """For each front and control machine the port where its peers' datagrams come in, and the relay's by which they reach
        it."""
        site = self.script.site
        doors = [*site.front_addresses, *(site.control.machines if site.control is not None else [])]
        ports = free_ports(len(doors), Random(os.getpid() + 1), socket.SOCK_DGRAM)
        named = [f"--front={door.name}={port}" for door, port in zip(doors, ports)]
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
            talks=True,
        )
        reach = await self._first_line(self.relay, "the relay between fronts", "relay.log")
        return [(port, reach[door.name]) for door, port in zip(doors, ports)]

    async def _announce(self, announced: Announced, begins: int) -> None:
        """Each front is told, as an operator would. `begins` is Unix time."""
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
                raise StartFailed(f"{front.name} does not take the peak {announced.name}: {answer['wrong']}")

    def _write_site(self, ports: list[int], list_port: int, peers: list[tuple[int, int]]) -> None:
        """The site as its fronts get it: with the ports of this run."""
        tree = etree.parse(str(self.script.site_path))
        for front, port in zip(tree.iterfind("fronts/front"), ports):
            front.set("listen", f"127.0.0.1:{port}")
        for front, (listen, reach) in zip([*tree.iterfind("fronts/front"), *tree.iterfind("control/machine")], peers):
            front.set("peers-listen", f"127.0.0.1:{listen}")
            front.set("peers-reach", f"127.0.0.1:{reach}")
        tree.find("list").set("address", f"127.0.0.1:{list_port}")
        tree.write(str(self.out / "site.xml"), encoding="utf-8", xml_declaration=True)

    async def _tell_progress(self, begins: float) -> None:
        whole = self.script.lasts + RUN_OUT
        while True:
            self.progress(max(0.0, min(whole, time.monotonic() - begins)), whole)
            await anyio.sleep(0.5)

    async def _watch_holds(self) -> None:
        """What each front holds, once a second, for the chart."""
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
        """What a front holds of the others, for the judge."""
        while True:
            asked, life = time.monotonic_ns(), front.life
            told = None if front.paused else await front.ask({"do": "peers"})
            if told is not None and told["ok"] and told["peers"] and front.life == life and not front.paused:
                peers = told["peers"]
                self.traffic.seen(
                    "view",
                    front=front.name,
                    life=life,
                    asked=asked,
                    me=peers["life"],
                    sent=peers["sent_a_second"],
                    members=[[row["name"], row["life"], row["rank"], row["for_s"]] for row in peers["members"]],
                )
            await anyio.sleep(WATCH_MEMBERS)

    # ---- what befalls fronts

    async def _befall(self, trouble: Trouble, begins: float) -> None:
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
            await self._stop_in_act(trouble.lasts, count)
        elif self.configuring is not None and await self.configuring.befall(trouble, affected):
            pass
        elif trouble.kind == "bad-path":
            # a front of its own event: the judge has to know whose path it was
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

    async def _stop_in_act(self, lasts: float, count: int) -> None:
        """Holders of leases are stopped in the very middle of an act, and go on after others have begun."""
        told = [(front, await front.ask({"do": "leases"})) for front in self.fronts if not front.paused]
        holders = [
            front
            for front, answer in told
            if answer
            and answer.get("leases")
            and any(row["held_here"] and row["lease"].startswith("probe/") for row in answer["leases"]["leases"])
        ]
        async with anyio.create_task_group() as tasks:
            for front in holders[:count]:
                tasks.start_soon(front.stop_in_act, lasts, STOPS_WITHIN)

    # ---- the verdict

    def _judge(self) -> dict:
        events = read_traffic(self.out / "viewers.jsonl") + read_traffic(self.out / "servers.jsonl")
        if self.relay is not None:
            events += read_traffic(self.out / "peers.jsonl")
        events.sort(key=lambda event: event["at"])
        with open(self.out / "traffic.jsonl", "w") as whole:
            for event in events:
                whole.write(json.dumps(event) + "\n")
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
            verdict["bounds"] = judge_bounds(events, figures_of(self.script.site), self._together())
        if self.script.site.leases is not None:
            verdict["leases"] = {**judge_leases(events), "orphans": judge_orphans(events)}
        if self.configuring is not None:
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
        worth = {package.name: package.value / package.rates[package.floor] for package in site.packages}
        losses = [
            (begins + int(trouble.at * NS), begins + int((trouble.at + trouble.lasts) * NS))
            for trouble in self.script.troubles
            if trouble.kind == "crash"
        ]
        return judge_shed(events, figures_of(site), worth, site.overload.floor, losses)

    def _together(self) -> frozenset[str]:
        together = self.script.site.together
        return frozenset([*(["further-tune-ins"] if together.free is not None else []), *(["seats"] if together.seats else [])])

    def _replays(self) -> dict:
        """Each life of each front decided again; one that was killed is replayed up to where its capture ends."""
        told = {}
        for folder in sorted((self.out / "captures").iterdir()):
            records, damage = read_capture(folder)
            run = Replay(records).run()
            told[folder.name] = {
                "told": run.told,
                "did": run.did,
                "cut_off": damage,
                "difference": str(run.difference) if run.difference else "",
            }
        return told
