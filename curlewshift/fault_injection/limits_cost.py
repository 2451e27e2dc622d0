"""What limits cost: a refusal beside a join, addresses in memory, and a sketch beside exact counts. One run."""

from __future__ import annotations

import os
import secrets
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

from curlewshift.exchange.client import connect
from curlewshift.fault_injection.joins import FINGERPRINT, SDP, SERVERS, all_listen, cpu_of, memory_of, site_file
from curlewshift.fault_injection.processes import ChildProcess, free_ports
from curlewshift.limits.buckets import Buckets
from curlewshift.limits.heavy import PLACES, HeavyHitters
from curlewshift.limits.prefixes import Prefixes
from curlewshift.signalling.sdp import offer_text

ADDRESSES = 1_000_000
REQUESTS = 1500


async def _asks(port: int, count: int, wanted: int) -> int:
    """So many requests on one connection, each ended if it plays; how many were answered as wanted."""
    call, good = await connect("127.0.0.1", port, 2.0), 0
    for _ in range(count):
        offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
        answered = await call.ask("POST", "/whep/p/t", [("content-type", SDP)], offer)
        good += answered.status == wanted
        if not call.prepare_next_request():
            await call.close()
            call = await connect("127.0.0.1", port, 2.0)
        if answered.status == 201:
            await call.ask("DELETE", answered.headers["location"])
            if not call.prepare_next_request():
                await call.close()
                call = await connect("127.0.0.1", port, 2.0)
    await call.close()
    return good


async def request_costs() -> dict:
    """CPU of the front for one request, in microseconds: a join with its end, without limits and with, and a refusal."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        ports = free_ports(SERVERS + 4, Random(os.getpid()))
        ways = {
            "join_bare": "",
            "join_with_limits": '<limits from-source="100000/s" burst="10s"/>',
            "refusal": '<limits from-source="0.001/s" burst="1s"/>',
        }
        fronts, log = {}, folder / "log"
        for number, (way, limits) in enumerate(ways.items()):
            site_file(folder / f"{way}.xml", ports[number], ports[3], ports[4:], limits)
        standin = ChildProcess(["standin", "server", str(folder / "join_bare.xml"), "--setup-work", "0"], log)
        try:
            for way in ways:
                fronts[way] = ChildProcess(["front", str(folder / f"{way}.xml"), "--seed", "1"], log)
            await all_listen([*ports[:3], ports[4]], log)
            costs = {}
            for number, way in enumerate(ways):
                wanted = 429 if way == "refusal" else 201
                await _asks(ports[number], 50, wanted)
                before = cpu_of(fronts[way].process.pid)
                good = await _asks(ports[number], REQUESTS, wanted)
                if good < REQUESTS * 0.98:
                    raise RuntimeError(f"{way}: only {good} of {REQUESTS} were answered with {wanted}")
                costs[way] = round((cpu_of(fronts[way].process.pid) - before) / REQUESTS * 1e6)
        finally:
            for child in (*fronts.values(), standin):
                child.kill()
    return {
        "cpu_us": costs,
        "ratios": {
            "refusal_over_join": round(costs["refusal"] / costs["join_bare"], 2),
            "join_with_limits_over_bare": round(costs["join_with_limits"] / costs["join_bare"], 2),
        },
    }


def _memory(make, use) -> dict:
    """The growth of this process; what was measured before is let go, but its pages may be used again, so that the
    smallest comes first."""
    before, held, began = memory_of(os.getpid()), make(), time.perf_counter()
    for number in range(ADDRESSES):
        use(held, number)
    took = time.perf_counter() - began
    return {"MB": round((memory_of(os.getpid()) - before) / 1024, 1), "us_an_address": round(took / ADDRESSES * 1e6, 2)}


def _address(number: int) -> str:
    mixed = number * 2654435761 % 2**32
    return f"2001:{mixed >> 16:x}:{mixed & 0xFFFF:x}:1::1"


def memory() -> dict:
    """A million addresses, each seen once."""

    def count(held: dict, number: int) -> None:
        key = _address(number)
        held[key] = held.get(key, 0) + 1

    return {
        "sketch": _memory(lambda: HeavyHitters(0), lambda held, number: held.add(_address(number), number)),
        "buckets": _memory(lambda: Buckets(1.0, 2.0, 0), lambda held, number: held.take(_address(number), number)),
        "trie": _memory(lambda: Prefixes(1.0, 0), lambda held, number: held.source(_address(number), number)),
        "dictionary": _memory(dict, count),
    }


def sketch_error() -> dict:
    """A tenth of a million requests: twenty heavy sources by a skewed law, the rest seen once."""
    rng, heavy, exact = Random(1), HeavyHitters(0), Counter()
    weights = [1 / rank for rank in range(1, 21)]
    for number in range(100_000):
        key = f"heavy {rng.choices(range(20), weights)[0]}" if rng.random() < 0.5 else f"one-off {number}"
        exact[key] += 1
        heavy.add(key, 0)
    wanted = [key for key, _ in exact.most_common(20)]
    found = {key: count for key, count, _ in heavy.top(20)}
    errors = [abs(found[key] - exact[key]) / exact[key] for key in wanted if key in found]
    return {
        "places": PLACES,
        "heaviest_20_found": sum(key in found for key in wanted),
        "worst_error_of_those": round(max(errors), 3),
        "bound": round(100_000 / PLACES),
    }


async def measure_limits() -> dict:
    return {"requests": await request_costs(), "a_million_addresses": memory(), "sketch": sketch_error()}
