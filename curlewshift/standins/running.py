"""Runs stand-ins as processes: a full site at its configured addresses, its server list alone, or the fleet of a rehearsal
(a scripted fault injection run)."""

from __future__ import annotations

import json
import signal
import sys
import time
from pathlib import Path
from random import Random

import anyio

from curlewshift.exchange.server import serve
from curlewshift.signalling.bodies import ListRow
from curlewshift.site.site import Site
from curlewshift.standins.fleet import Fleet
from curlewshift.standins.listing import ServerList
from curlewshift.standins.script import Script
from curlewshift.standins.traffic import Traffic

NS = 1_000_000_000


async def until_told(tasks) -> None:
    """Cancels `tasks` on SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            tasks.cancel_scope.cancel()
            return


async def run_site(site: Site, traffic: Path | None, setup_work: float) -> None:
    """Runs all servers of a site and its list at their configured addresses until a signal."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(until_told, tasks)
        await Fleet(site, 1, Traffic(traffic), use_site_ports=True, setup_work=setup_work).start(tasks)
        print(f"{len(site.machines)} servers and their list are up", file=sys.stderr)


async def run_list(site: Site) -> None:
    """Runs the server list of a site alone; it reports all servers as running for an hour."""
    server_list = ServerList(Random(1), Traffic(None))
    started_ms = int((time.time() - 3600) * 1000)
    server_list.begin(
        [
            ListRow(
                f"{machine.host}:{machine.port}",
                "on",
                started_ms,
                machine.zone,
                machine.rack,
                machine.link,
                machine.streams,
                machine.shelf,
            )
            for machine in site.machines
        ]
    )
    host, port = site.list_at
    listener = (await anyio.create_tcp_listener(local_host=host, local_port=port)).listeners[0]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(until_told, tasks)
        tasks.start_soon(server_list.run)
        tasks.start_soon(serve, listener, server_list.serve, lambda fault: None)


async def run_fleet(script: Script, seed: int, path: Path) -> None:
    """Prints the port of the list as one JSON line. A line on standard input gives the start of the run (s, monotonic clock);
    the end of standard input ends the fleet."""
    traffic = Traffic(path)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(until_told, tasks)
        fleet = Fleet(script.site, seed, traffic, tidy=script.tidy)
        port = await fleet.start(tasks)
        print(json.dumps({"list": port}), flush=True)
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        if not line.strip():
            tasks.cancel_scope.cancel()
            return
        tasks.start_soon(sample_utilization, fleet, traffic)
        await fleet.schedule_troubles(script, float(line))
        # the end of standard input means that the parent process has exited
        await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        tasks.cancel_scope.cancel()


async def sample_utilization(fleet: Fleet, traffic: Traffic) -> None:
    """Records the utilization of the links once a second, for the chart."""
    while True:
        links = [slot.link for slot in fleet.slots]
        sessions = [session for slot in fleet.slots for session in slot.server.sessions.values()]
        rungs = [session.rung for session in sessions]
        used: dict[str, float] = {}
        for session in sessions:
            used[session.package] = used.get(session.package, 0.0) + session.rate * session.rate_factor
        traffic.seen(
            "use",
            asked=round(sum(link.asked for link in links)),
            gives=round(sum(link.gives() for link in links)),
            fullest=round(max(link.use() for link in links), 3),
            playing=len(rungs),
            used={package: round(rate) for package, rate in used.items()},
            rung=round(sum(rungs) / len(rungs), 3) if rungs else 0,
        )
        await anyio.sleep(1)
