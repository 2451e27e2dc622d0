"""The processes of a scale run: relays, hollow nodes, and real fronts with their stand-in servers. All end with the run."""

from __future__ import annotations

import os
import shutil
from functools import partial
from pathlib import Path
from random import Random

import anyio

from curlewshift.fault_injection.joins import BEHIND, cpu_of, memory_of
from curlewshift.fault_injection.processes import ChildProcess, free_ports, listens
from curlewshift.front.control import tell
from curlewshift.scale.plan import CONTROL, KEEPERS, Place, Plan, write_plan
from curlewshift.scale.talk import CommandedProcess

SERVERS = 4
START_TIMEOUT_S = 60.0
SITE = (
    """<site name="scale">
  <fronts most-waiting="1000">{fronts}
    <peers seeds="{seeds}" period="{period}"/>{more}
  </fronts>
"""
    + BEHIND
    + "{control}</site>\n"
)


class RunFailed(Exception):
    """A process of the run did not start or exited by itself; its log says why."""


class RealFront:
    """A front as run in service, over its lives (a life is one run of the process)."""

    def __init__(self, fleet: Fleet, site: str, name: str, port: int):
        self.fleet, self.site, self.name, self.port = fleet, site, name, port
        self.state = fleet.out / site / name
        self.child: ChildProcess | None = None
        self.core_before, self.open = 0.0, False

    async def start(self) -> None:
        if self.child is not None:
            shutil.rmtree(self.state, ignore_errors=True)
        self.state.mkdir(parents=True, exist_ok=True)
        self.child = self.fleet.child(
            ["front", str(self.fleet.out / f"{self.site}.xml"), "--name", self.name, "--seed", "1", "--state", str(self.state)],
            f"{self.site}-{self.name}",
        )
        if not await listens(self.port, START_TIMEOUT_S):
            raise RunFailed(f"front {self.name} does not listen; see {self.fleet.out / f'{self.site}-{self.name}.log'}")
        self.open = True

    def kill(self) -> None:
        self.open = False
        self.core_before += cpu_of(self.child.process.pid)
        self.fleet.end_child(self.child)

    def core(self) -> float:
        """Seconds of processor time over all its lives."""
        return self.core_before + (cpu_of(self.child.process.pid) if self.child.process.poll() is None else 0.0)

    def memory(self) -> float:
        return memory_of(self.child.process.pid)

    async def peers(self) -> dict | None:
        try:
            return (await tell(self.state, {"do": "peers"}))["peers"]
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return None


class Fleet:
    """`on_tick` is called with a relay's number and each periodic report of it; `apart`: whether to also start
    fronts that know no hollow node. The caller that starts it calls `end_all`, which ends every process by its id."""

    def __init__(self, plan: Plan, out: Path, on_tick, apart: bool = True):
        self.plan, self.out, self.on_tick, self.wants_apart = plan, out, on_tick, apart
        for left_over in out.glob("*.log"):
            left_over.unlink()
        for name in ("site", "apart"):
            shutil.rmtree(out / name, ignore_errors=True)
        self.children: dict[ChildProcess, str] = {}
        self.relays: list[CommandedProcess] = []
        self.hollow: dict[int, CommandedProcess] = {}
        self.real: dict[str, RealFront] = {}
        self.apart: list[RealFront] = []

    # ---- processes

    def child(self, arguments: list[str], log: str, talks: bool = False) -> ChildProcess:
        child = ChildProcess(arguments, self.out / f"{log}.log", talks)
        self.children[child] = log
        return child

    def end_child(self, child: ChildProcess) -> None:
        self.children.pop(child, None)
        child.kill()

    def end_all(self) -> None:
        for child in list(self.children):
            self.end_child(child)

    def exited_children(self) -> list[str]:
        """Log names of the processes that exited by themselves."""
        return [log for child, log in self.children.items() if child.process.poll() is not None]

    def memory(self) -> float:
        """Current memory of all its processes (kB)."""
        total = 0.0
        for child in self.children:
            try:
                total += memory_of(child.process.pid)
            except OSError:
                pass
        return total

    # ---- the start

    async def start(self, tasks) -> None:
        """Raises `RunFailed`. Hollow nodes exist but send nothing until the run starts them; real fronts run."""
        self.plan.lay_out()
        write_plan(self.out, self.plan)
        for part in range(self.plan.relays):
            self.relays.append(
                self._start_commanded(
                    ["scale", "relay", str(self.out), str(part)], f"relay-{part}", tasks, partial(self.on_tick, part)
                )
            )
        reach: dict[str, int] = {}
        for relay in self.relays:
            reach |= (await self._first_answer(relay))["reach"]
        for place in self.plan.places:
            place.reach = reach[place.name]
        servers = self._write_sites()
        write_plan(self.out, self.plan)
        for process in sorted({place.process for place in self.plan.named("hollow", "control")}):
            self.hollow[process] = self._start_commanded(
                ["scale", "hollow", str(self.out), str(process)], f"hollow-{process}", tasks
            )
        await self._start_service(servers)
        for commanded in self.hollow.values():
            await self._first_answer(commanded)

    def _start_commanded(self, arguments: list[str], log: str, tasks, on_tick=lambda message: None) -> CommandedProcess:
        commanded = CommandedProcess(self.child(arguments, log, talks=True), on_tick)
        tasks.start_soon(commanded.read)
        return commanded

    async def _first_answer(self, commanded: CommandedProcess) -> dict:
        try:
            return await commanded.next_answer(START_TIMEOUT_S)
        except TimeoutError:
            log = self.children[commanded.child]
            raise RunFailed(f"{log} does not start; see {self.out / log}.log") from None

    def _write_sites(self) -> list[int]:
        """Writes the site of the fleet and, for comparison, one of as many fronts without hollow nodes. Returns the ports of the
        server list and the servers."""
        real = self.plan.named("real")
        ports = free_ports(2 * len(real) + SERVERS + 1, Random(os.getpid()))
        front_ports, apart, service = ports[: len(real)], ports[len(real) : 2 * len(real)], ports[2 * len(real) :]
        port_of = {place.name: port for place, port in zip(real, front_ports)}
        self._write_site(
            "site", [(place, port_of.get(place.name, 9), place.listen, place.reach) for place in self.plan.places], *service
        )
        self.real = {place.name: RealFront(self, "site", place.name, port_of[place.name]) for place in real}
        if self.wants_apart and real:
            self.apart = [RealFront(self, "apart", place.name, port) for place, port in zip(real, apart)]
            self._write_site(
                "apart", [(place, port, udp, udp) for place, port, udp in zip(real, apart, self.plan.apart)], *service
            )
        return service

    async def _start_service(self, ports: list[int]) -> None:
        """Starts the servers with their list, and the fronts."""
        if not self.real:
            return
        self.child(["standin", "server", str(self.out / "site.xml"), "--setup-work", "0"], "servers")
        for port in ports:
            if not await listens(port, START_TIMEOUT_S):
                raise RunFailed(f"nothing listens at port {port}; see {self.out / 'servers.log'}")
        async with anyio.create_task_group() as tasks:
            for front in [*self.real.values(), *self.apart]:
                tasks.start_soon(front.start)

    def _write_site(self, name: str, rows: list[tuple], list_port: int, *servers: int) -> None:
        def peer(place: Place, listen: int, reach: int) -> str:
            return (
                f'name="{place.name}" peers-listen="127.0.0.1:{listen}" peers-reach="127.0.0.1:{reach}" '
                f'region="{place.region}" zone="{place.zone}"'
            )

        fronts = "".join(
            f'\n    <front listen="127.0.0.1:{port}" {peer(place, listen, reach)}/>'
            for place, port, listen, reach in rows
            if place.kind != "control"
        )
        control = "".join(
            f"\n    <machine {peer(place, listen, reach)}/>" for place, _, listen, reach in rows if place.kind == "control"
        )
        machines = "".join(
            f'<server shelf="s{n}" listen="127.0.0.1:{port}" link="9000MB/s" streams="100000"/>' for n, port in enumerate(servers)
        )
        more = "<sharing/>" if "sharing" in self.plan.parts else ""
        leasing = [place.name for place in self.plan.named("hollow") if place.leases and place.process != 1]
        if leasing and name == "site":
            more += f'<leases keepers="{" ".join(leasing[:: max(1, len(leasing) // KEEPERS)][:KEEPERS])}" tasks="probe"/>'
        if "distribution" in self.plan.parts and control:
            more += "<configuration/>"
        seeds = [f"c{n}" for n in range(CONTROL)] if name == "site" else [row[0].name for row in rows[:2]]
        (self.out / f"{name}.xml").write_text(
            SITE.format(
                fronts=fronts,
                seeds=" ".join(seeds),
                period=f"{self.plan.period * 1000:g}ms",
                more=more,
                list=list_port,
                control=f"\n  <control>{control}\n  </control>" if control else "",
                servers=machines,
                shelves=" ".join(f"s{n}" for n in range(len(servers))),
            )
        )

    # ---- commands to nodes and relays

    def names_by_process(self) -> dict[int, list[str]]:
        names_of: dict[int, list[str]] = {}
        for place in self.plan.named("hollow", "control"):
            names_of.setdefault(place.process, []).append(place.name)
        return names_of

    async def command_hollow_nodes(self, do: str, names: set[str] | None = None, empty: bool = False) -> None:
        """`do`: `start` or `stop`. All hollow nodes where `names` is None. `empty`: their disks are lost."""
        for process, here in self.names_by_process().items():
            affected = here if names is None else [name for name in here if name in names]
            if affected:
                await self.hollow[process].ask({"do": do, "names": affected, "empty": empty})

    async def set_relay_faults(self, **settings) -> None:
        for relay in self.relays:
            await relay.ask({"do": "ways", **settings})

    async def request_all(self, commanded: list[CommandedProcess], do: str) -> list[dict]:
        answers: list[dict | None] = [None] * len(commanded)

        async def request_one(at: int) -> None:
            answers[at] = await commanded[at].ask({"do": do})

        async with anyio.create_task_group() as tasks:
            for at in range(len(commanded)):
                tasks.start_soon(request_one, at)
        return answers
