"""How long a front takes to know again what plays, by how many sessions there are. One process, loopback sockets.

Sessions are put into stand-in servers and into the front's book; then the front starts, and what is timed is its own:
reading the book, taking all up, asking every server, and adopting. Requests come meanwhile, and their answers are timed.
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


async def one_size(sessions: int) -> dict:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        ports = free_ports(SERVERS + 2, Random(os.getpid() + sessions))
        site = read_site(site_file(folder / "site.xml", ports[0], ports[1], ports[2:]))
        return await _measured(site, folder / "state", sessions)


async def _measured(site, state: Path, sessions: int) -> dict:
    state.mkdir()
    rng, traffic, uplink = Random(1), Traffic(None), Uplink(9e6)
    book, journal = SessionRegistry(), Journal(state / "sessions.log")
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
                # on the highest rung that its viewer allows: what may climb does so at the first tick, all together
                journal.add(
                    book.began(
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
        listing = ServerList(rng, traffic)
        rows = [
            ListRow(f"127.0.0.1:{machine.port}", "on", 0, "z", "r", machine.link, machine.streams, machine.shelf)
            for machine in site.machines
        ]
        listing.begin(rows)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=site.list_at[1])
        tasks.start_soon(serve, listener.listeners[0], listing.serve, lambda fault: None)
        began = time.perf_counter()
        front = Front(site, 0, 1, state, structlog.wrap_logger(structlog.ReturnLogger()), "f.2")
        opened, waits = anyio.Event(), []
        tasks.start_soon(front.run, opened.set)
        await opened.wait()
        open_after = time.perf_counter() - began
        async with anyio.create_task_group() as joining:
            joining.start_soon(_joins, site.front_addresses[0].port, waits)
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
        "longest_join_meanwhile_ms": round(max(waits) * 1000),
    }


async def _joins(port: int, waits: list[float]) -> None:
    for _ in range(JOINS):
        offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
        began = time.perf_counter()
        answered = await ask("127.0.0.1", port, "POST", "/whep/p/t", [("content-type", SDP)], offer, within=5.0)
        if answered.status != 201:
            # nothing is proven warm yet: it is refused in words, which is an answer too
            assert answered.status == 503, answered.status
        waits.append(time.perf_counter() - began)


async def measure_recovery() -> dict:
    rows = [await one_size(sessions) for sessions in SIZES]
    most, less = rows[-1], rows[1]
    return {
        "servers": SERVERS,
        "rows": rows,
        "ratios": {
            "ms_a_session_at_10000_over_1000": round(
                most["all_adopted_after_ms"] / most["sessions"] / (less["all_adopted_after_ms"] / less["sessions"]), 2
            )
        },
    }
