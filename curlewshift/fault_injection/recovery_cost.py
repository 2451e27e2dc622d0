"""Time that a restarted front needs to recover its sessions, by their number. One process, loopback sockets.

Sessions are put into stand-in servers and into the front's session journal. Then the front starts; what is timed is its work:
reading the journal, restoring the sessions, querying every server and adopting the sessions. Requests are sent meanwhile, and
their answers are timed.
"""

from __future__ import annotations

import os
import secrets
import tempfile
import time
from pathlib import Path
from random import Random

import anyio
import structlog

from curlewshift.exchange.client import ask
from curlewshift.exchange.server import serve
from curlewshift.fault_injection.joins import FINGERPRINT, SDP, site_file
from curlewshift.fault_injection.processes import free_ports
from curlewshift.front.front import Front
from curlewshift.signalling.bodies import ListRow
from curlewshift.signalling.sdp import offer_text
from curlewshift.site.site import read_site
from curlewshift.standins.listing import ServerList
from curlewshift.standins.physics import LinkModel, Uplink
from curlewshift.standins.server import MediaServer, Session
from curlewshift.standins.traffic import Traffic
from curlewshift.state.journal import Journal
from curlewshift.state.session_registry import SessionRegistry, StoredSession

SERVERS = 8
SIZES = (100, 1000, 3000, 10_000)
JOINS = 20


async def measure_size(sessions: int) -> dict:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        ports = free_ports(SERVERS + 2, Random(os.getpid() + sessions))
        site = read_site(site_file(folder / "site.xml", ports[0], ports[1], ports[2:]))
        return await _measure_site(site, folder / "state", sessions)


async def _measure_site(site, state: Path, sessions: int) -> dict:
    state.mkdir()
    rng, traffic, uplink = Random(1), Traffic(None), Uplink(9e6)
    registry, journal = SessionRegistry(), Journal(state / "sessions.log")
    async with anyio.create_task_group() as tasks:
        for number, machine in enumerate(site.machines):
            link = LinkModel(machine.link, uplink)
            uplink.links.append(link)
            server = MediaServer(
                machine,
                f"127.0.0.1:{machine.port}",
                link,
                {package.name: package.rates for package in site.packages},
                site.obligations,
                0,
                rng,
                traffic,
                0.0,
            )
            for index in range(number, sessions, SERVERS):
                session = Session(f"{index:016x}", f"{index:08x}", "f.1", "q", "p", "t", 0, 100.0, 1.0, watchers=1)
                server.sessions[session.name] = server.media[session.ufrag] = session
                # on the highest rung that its viewer allows: sessions that may climb would all do so at the first tick
                journal.add(
                    registry.began(
                        StoredSession(
                            f"token-{index}",
                            None,
                            f"key-{index}",
                            "offer",
                            "whep",
                            "p",
                            "t",
                            0,
                            0,
                            server.name,
                            f"/session/{session.name}",
                            session.etag,
                            "u",
                            "v=0 " + "x" * 600,
                        )
                    ),
                    False,
                )
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=machine.port)
            tasks.start_soon(server.run, listener.listeners[0])
        journal.close()
        server_list = ServerList(rng, traffic)
        rows = [
            ListRow(f"127.0.0.1:{machine.port}", "on", 0, "z", "r", machine.link, machine.streams, machine.shelf)
            for machine in site.machines
        ]
        server_list.begin(rows)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=site.list_at[1])
        tasks.start_soon(serve, listener.listeners[0], server_list.serve, lambda fault: None)
        began = time.perf_counter()
        front = Front(site, 0, 1, state, structlog.wrap_logger(structlog.ReturnLogger()), "f.2")
        opened, join_times = anyio.Event(), []
        tasks.start_soon(front.run, opened.set)
        await opened.wait()
        open_after = time.perf_counter() - began
        async with anyio.create_task_group() as joining:
            joining.start_soon(_joins, site.front_addresses[0].port, join_times)
            while not (front.recovery.finished and front.recovery.kept == sessions):
                await anyio.sleep(0.002)
            known_after = time.perf_counter() - began
        kept = front.recovery.kept
        tasks.cancel_scope.cancel()
    return {
        "sessions": sessions,
        "door_open_after_ms": round(open_after * 1000),
        "all_adopted_after_ms": round(known_after * 1000),
        "kept": kept,
        "longest_join_meanwhile_ms": round(max(join_times) * 1000),
    }


async def _joins(port: int, join_times: list[float]) -> None:
    for _ in range(JOINS):
        offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
        began = time.perf_counter()
        response = await ask("127.0.0.1", port, "POST", "/whep/p/t", [("content-type", SDP)], offer, within=5.0)
        if response.status != 201:
            # no server is known to be warm yet: an explicit refusal counts as an answer too
            assert response.status == 503, response.status
        join_times.append(time.perf_counter() - began)


async def measure_recovery() -> dict:
    rows = [await measure_size(sessions) for sessions in SIZES]
    largest, smaller = rows[-1], rows[1]
    return {
        "servers": SERVERS,
        "rows": rows,
        "ratios": {
            "ms_a_session_at_10000_over_1000": round(
                largest["all_adopted_after_ms"] / largest["sessions"] / (smaller["all_adopted_after_ms"] / smaller["sessions"]), 2
            )
        },
    }
