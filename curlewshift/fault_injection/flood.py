"""A flood at a front's door, from many loopback addresses, with limits and without; every answer is counted on sockets.

Some clients ask now and then, each from an address of its own; flooders ask as fast as they get answers, over many
connections. The front's descriptors are lowered, so that the flood could use them up. Clients and flooders run in a process
each, so that the flood does not slow the clients but at the front.
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
from curlewshift.fault_injection.joins import FINGERPRINT, SDP, all_listen, site_file
from curlewshift.fault_injection.processes import ChildProcess, free_ports
from curlewshift.signalling.sdp import offer_text

SERVERS = 4
LASTS = 8.0
CLIENTS, EACH_SECOND = 20, 1.0
FLOODERS, CONNECTIONS = 24, 8
DESCRIPTORS = 160
SETUP_MS = "30"
LIMITS = '<limits from-source="3/s" burst="2s"/>'
WITHIN = 5.0


async def one_ask(port: int, address: str) -> tuple[str, float]:
    """One request on a connection of its own: its status, or how it broke, and how long that took (s)."""
    began, call = time.monotonic(), None
    try:
        with anyio.fail_after(WITHIN):
            stream = await anyio.connect_tcp("127.0.0.1", port, local_host=address)
            call = HttpClientConnection(stream, f"127.0.0.1:{port}")
            offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
            answered = await call.ask("POST", "/whep/p/t", [("content-type", SDP)], offer)
            took = time.monotonic() - began
            extra = b""
            if answered.status == 201:
                with anyio.move_on_after(0.02):
                    extra = await call.read_more()
                await call.close()
                call = HttpClientConnection(await anyio.connect_tcp("127.0.0.1", port, local_host=address), f"127.0.0.1:{port}")
                await call.ask("DELETE", answered.headers["location"])
            return ("twice" if extra.startswith(b"HTTP/") else str(answered.status)), took
    except TimeoutError:
        return "no answer", time.monotonic() - began
    except RequestNotSent:
        return "not taken", time.monotonic() - began
    except (ConnectionBroken, OSError, anyio.BrokenResourceError, anyio.EndOfStream):
        return "broke", time.monotonic() - began
    finally:
        if call is not None:
            await call.close()


async def _clients(port: int, told: Counter, times: list[float]) -> None:
    async def one(number: int, rng: Random) -> None:
        ends = time.monotonic() + LASTS
        while time.monotonic() < ends:
            await anyio.sleep(rng.expovariate(EACH_SECOND))
            how, took = await one_ask(port, f"127.0.2.{number + 1}")
            told[how] += 1
            if how == "201":
                times.append(took)

    async with anyio.create_task_group() as tasks:
        for number in range(CLIENTS):
            tasks.start_soon(one, number, Random(number))


def clients_side(port: int, out: str) -> None:
    told, times = Counter(), []
    anyio.run(_clients, port, told, times)
    Path(out).write_text(json.dumps({"told": told, "times": sorted(times)}))


async def _flooders(port: int, told: Counter) -> None:
    async def one(number: int) -> None:
        ends = time.monotonic() + LASTS
        while time.monotonic() < ends:
            how, _ = await one_ask(port, f"127.0.3.{number + 1}")
            told[how] += 1

    async with anyio.create_task_group() as tasks:
        for number in range(FLOODERS):
            for _ in range(CONNECTIONS):
                tasks.start_soon(one, number)


def flooders_side(port: int, out: str) -> None:
    told = Counter()
    anyio.run(_flooders, port, told)
    Path(out).write_text(json.dumps({"told": told}))


async def one_way(limits: str, flood: bool) -> dict:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        ports = free_ports(SERVERS + 2, Random(os.getpid() + len(limits) + flood))
        site = site_file(folder / "site.xml", ports[0], ports[1], ports[2:], limits)
        log = folder / "log"
        standin = ChildProcess(["standin", "server", str(site), "--setup-work", SETUP_MS], log)
        front = ChildProcess(["front", str(site), "--seed", "1"], log, descriptors=DESCRIPTORS)
        sides = []
        try:
            await all_listen((ports[0], ports[2]), log)
            context = multiprocessing.get_context("spawn")
            for target, wanted in ((clients_side, True), (flooders_side, flood)):
                if wanted:
                    side = context.Process(target=target, args=(ports[0], str(folder / target.__name__)))
                    side.start()
                    sides.append(side)
            for side in sides:
                while side.is_alive():
                    await anyio.sleep(0.05)
            alive = front.process.poll() is None
        finally:
            for side in sides:
                if side.is_alive():
                    side.kill()
            front.kill()
            standin.kill()
        told = json.loads((folder / "clients_side").read_text())
        flooded = json.loads((folder / "flooders_side").read_text()) if flood else {"told": {}}
    times = told["times"]
    return {
        "clients": told["told"],
        "client_service": round(told["told"].get("201", 0) / max(1, sum(told["told"].values())), 3),
        "client_p50_ms": round(times[len(times) // 2] * 1000, 1) if times else None,
        "client_p99_ms": round(times[int(len(times) * 0.99)] * 1000, 1) if times else None,
        "flood": flooded["told"],
        "front_lives": alive,
    }


async def measure_flood() -> dict:
    calm, bare, bound = await one_way(LIMITS, False), await one_way("", True), await one_way(LIMITS, True)
    return {
        "clients": CLIENTS,
        "flooders": FLOODERS * CONNECTIONS,
        "descriptors": DESCRIPTORS,
        "undisturbed": calm,
        "flooded_without_limits": bare,
        "flooded_with_limits": bound,
        "service_kept": {
            "without": round(bare["client_service"] / max(0.001, calm["client_service"]), 3),
            "with": round(bound["client_service"] / max(0.001, calm["client_service"]), 3),
        },
    }
