"""A request flood against a front's listener from many loopback addresses, with rate limits and without.

Clients send requests at random intervals, each from its own address; flooders send requests as fast as they are answered, over
many connections. The front's limit of open descriptors is lowered, so that the flood can exhaust it. Clients and flooders run in
separate processes, so that the flood slows the clients only through the front. Outcomes are counted on the sockets of both.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import secrets
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

import anyio

from curlewshift.exchange.client import ConnectionBroken, HttpClientConnection, RequestNotSent
from curlewshift.fault_injection.joins import FINGERPRINT, SDP, site_file, wait_until_ready
from curlewshift.fault_injection.processes import ChildProcess, free_ports
from curlewshift.signalling.sdp import offer_text

SERVERS = 4
DURATION_S = 8.0
CLIENTS, REQUESTS_PER_SECOND = 20, 1.0
FLOODERS, CONNECTIONS = 24, 8
DESCRIPTORS = 160
SETUP_MS = "30"
LIMITS = '<limits from-source="3/s" burst="2s"/>'
TIMEOUT_S = 5.0


async def send_request(port: int, address: str) -> tuple[str, float]:
    """Sends one request on a new connection. Returns its status or kind of failure, and the duration in seconds."""
    began, connection = time.monotonic(), None
    try:
        with anyio.fail_after(TIMEOUT_S):
            stream = await anyio.connect_tcp("127.0.0.1", port, local_host=address)
            connection = HttpClientConnection(stream, f"127.0.0.1:{port}")
            offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
            response = await connection.ask("POST", "/whep/p/t", [("content-type", SDP)], offer)
            took = time.monotonic() - began
            extra = b""
            if response.status == 201:
                with anyio.move_on_after(0.02):
                    extra = await connection.read_more()
                await connection.close()
                connection = HttpClientConnection(
                    await anyio.connect_tcp("127.0.0.1", port, local_host=address), f"127.0.0.1:{port}"
                )
                await connection.ask("DELETE", response.headers["location"])
            return ("twice" if extra.startswith(b"HTTP/") else str(response.status)), took
    except TimeoutError:
        return "no answer", time.monotonic() - began
    except RequestNotSent:
        return "not taken", time.monotonic() - began
    except (ConnectionBroken, OSError, anyio.BrokenResourceError, anyio.EndOfStream):
        return "broke", time.monotonic() - began
    finally:
        if connection is not None:
            await connection.close()


async def _clients(port: int, outcomes: Counter, times: list[float]) -> None:
    async def client(number: int, rng: Random) -> None:
        deadline = time.monotonic() + DURATION_S
        while time.monotonic() < deadline:
            await anyio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
            outcome, took = await send_request(port, f"127.0.2.{number + 1}")
            outcomes[outcome] += 1
            if outcome == "201":
                times.append(took)

    async with anyio.create_task_group() as tasks:
        for number in range(CLIENTS):
            tasks.start_soon(client, number, Random(number))


def clients_side(port: int, out: str) -> None:
    outcomes, times = Counter(), []
    anyio.run(_clients, port, outcomes, times)
    Path(out).write_text(json.dumps({"told": outcomes, "times": sorted(times)}))


async def _flooders(port: int, outcomes: Counter) -> None:
    async def flooder(number: int) -> None:
        deadline = time.monotonic() + DURATION_S
        while time.monotonic() < deadline:
            outcome, _ = await send_request(port, f"127.0.3.{number + 1}")
            outcomes[outcome] += 1

    async with anyio.create_task_group() as tasks:
        for number in range(FLOODERS):
            for _ in range(CONNECTIONS):
                tasks.start_soon(flooder, number)


def flooders_side(port: int, out: str) -> None:
    outcomes = Counter()
    anyio.run(_flooders, port, outcomes)
    Path(out).write_text(json.dumps({"told": outcomes}))


async def measure_case(limits: str, flood: bool) -> dict:
    """`limits` is the front's element of rate limits in the site file, or empty."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        ports = free_ports(SERVERS + 2, Random(os.getpid() + len(limits) + flood))
        site = site_file(folder / "site.xml", ports[0], ports[1], ports[2:], limits)
        log = folder / "log"
        standin = ChildProcess(["standin", "server", str(site), "--setup-work", SETUP_MS], log)
        front = ChildProcess(["front", str(site), "--seed", "1"], log, descriptors=DESCRIPTORS)
        load_processes = []
        try:
            await wait_until_ready((ports[0], ports[2]), log)
            context = multiprocessing.get_context("spawn")
            for target, wanted in ((clients_side, True), (flooders_side, flood)):
                if wanted:
                    load_process = context.Process(target=target, args=(ports[0], str(folder / target.__name__)))
                    load_process.start()
                    load_processes.append(load_process)
            for load_process in load_processes:
                while load_process.is_alive():
                    await anyio.sleep(0.05)
            alive = front.process.poll() is None
        finally:
            for load_process in load_processes:
                if load_process.is_alive():
                    load_process.kill()
            front.kill()
            standin.kill()
        clients = json.loads((folder / "clients_side").read_text())
        flooded = json.loads((folder / "flooders_side").read_text()) if flood else {"told": {}}
    times = clients["times"]
    return {
        "clients": clients["told"],
        "client_service": round(clients["told"].get("201", 0) / max(1, sum(clients["told"].values())), 3),
        "client_p50_ms": round(times[len(times) // 2] * 1000, 1) if times else None,
        "client_p99_ms": round(times[int(len(times) * 0.99)] * 1000, 1) if times else None,
        "flood": flooded["told"],
        "front_lives": alive,
    }


async def measure_flood() -> dict:
    undisturbed, without_limits, with_limits = (
        await measure_case(LIMITS, False),
        await measure_case("", True),
        await measure_case(LIMITS, True),
    )
    return {
        "clients": CLIENTS,
        "flooders": FLOODERS * CONNECTIONS,
        "descriptors": DESCRIPTORS,
        "undisturbed": undisturbed,
        "flooded_without_limits": without_limits,
        "flooded_with_limits": with_limits,
        "service_kept": {
            "without": round(without_limits["client_service"] / max(0.001, undisturbed["client_service"]), 3),
            "with": round(with_limits["client_service"] / max(0.001, undisturbed["client_service"]), 3),
        },
    }
