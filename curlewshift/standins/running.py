"""Stand-ins as processes: a whole site where it says, its list alone, or the fleet of a rehearsal."""

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
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            tasks.cancel_scope.cancel()
            return


async def run_site(site: Site, traffic: Path | None, setup_work: float) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(until_told, tasks)
        await Fleet(site, 1, Traffic(traffic), own_ports=True, setup_work=setup_work).start(tasks)
        print(f"{len(site.machines)} servers and their list are up", file=sys.stderr)


async def run_list(site: Site) -> None:
    told = ServerList(Random(1), Traffic(None))
    long_ago = int((time.time() - 3600) * 1000)
    told.begin(
        [
            ListRow(
                f"{machine.host}:{machine.port}",
                "on",
                long_ago,
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
        tasks.start_soon(told.run)
        tasks.start_soon(serve, listener, told.serve, lambda fault: None)


async def run_fleet(script: Script, seed: int, path: Path) -> None:
    """Writes the list's port as one JSON line; a line on standard input says when the day begins, its end is the end."""
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
        tasks.start_soon(sample_use, fleet, traffic)
        await fleet.play(script, float(line))
        # whoever started this has gone if nothing more can come
        await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        tasks.cancel_scope.cancel()


async def sample_use(fleet: Fleet, traffic: Traffic) -> None:
    """How full the links are, once a second, for the chart."""
    while True:
        links = [place.link for place in fleet.places]
        sessions = [session for place in fleet.places for session in place.server.sessions.values()]
        rungs = [session.rung for session in sessions]
        used: dict[str, float] = {}
        for session in sessions:
            used[session.package] = used.get(session.package, 0.0) + session.rate * session.truth
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
