"""Cost of rate limits: CPU time of a refusal and of a join, memory per address, and the error of the sketch of heavy hitters."""

from __future__ import annotations

import os
import secrets
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

from curlewshift.exchange.client import connect
from curlewshift.fault_injection.joins import FINGERPRINT, SDP, SERVERS, cpu_of, memory_of, site_file, wait_until_ready
from curlewshift.fault_injection.processes import ChildProcess, free_ports
from curlewshift.limits.buckets import Buckets
from curlewshift.limits.heavy import PLACES, HeavyHitters
from curlewshift.limits.prefixes import Prefixes
from curlewshift.signalling.sdp import offer_text

ADDRESSES = 1_000_000
REQUESTS = 1500


async def _send_requests(port: int, count: int, expected: int) -> int:
    """Sends `count` requests on one connection and ends each session. Returns how many had the status `expected`."""
    connection, as_expected = await connect("127.0.0.1", port, 2.0), 0
    for _ in range(count):
        offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
        response = await connection.ask("POST", "/whep/p/t", [("content-type", SDP)], offer)
        as_expected += response.status == expected
        if not connection.prepare_next_request():
            await connection.close()
            connection = await connect("127.0.0.1", port, 2.0)
        if response.status == 201:
            await connection.ask("DELETE", response.headers["location"])
            if not connection.prepare_next_request():
                await connection.close()
                connection = await connect("127.0.0.1", port, 2.0)
    await connection.close()
    return as_expected


async def request_costs() -> dict:
    """CPU time of the front per request in µs: a join with its end, without limits and with them, and a refusal."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        ports = free_ports(SERVERS + 4, Random(os.getpid()))
        cases = {
            "join_bare": "",
            "join_with_limits": '<limits from-source="100000/s" burst="10s"/>',
            "refusal": '<limits from-source="0.001/s" burst="1s"/>',
        }
        fronts, log = {}, folder / "log"
        for number, (case, limits) in enumerate(cases.items()):
            site_file(folder / f"{case}.xml", ports[number], ports[3], ports[4:], limits)
        standin = ChildProcess(["standin", "server", str(folder / "join_bare.xml"), "--setup-work", "0"], log)
        try:
            for case in cases:
                fronts[case] = ChildProcess(["front", str(folder / f"{case}.xml"), "--seed", "1"], log)
            await wait_until_ready([*ports[:3], ports[4]], log)
            costs = {}
            for number, case in enumerate(cases):
                expected = 429 if case == "refusal" else 201
                await _send_requests(ports[number], 50, expected)
                before = cpu_of(fronts[case].process.pid)
                as_expected = await _send_requests(ports[number], REQUESTS, expected)
                if as_expected < REQUESTS * 0.98:
                    raise RuntimeError(f"{case}: only {as_expected} of {REQUESTS} requests were answered with {expected}")
                costs[case] = round((cpu_of(fronts[case].process.pid) - before) / REQUESTS * 1e6)
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


def _memory_growth(make, use) -> dict:
    """Growth of this process. What was measured before is freed, but its pages may be used again; callers therefore measure the
    smallest structure first."""
    before, held, began = memory_of(os.getpid()), make(), time.perf_counter()
    for number in range(ADDRESSES):
        use(held, number)
    took = time.perf_counter() - began
    return {"MB": round((memory_of(os.getpid()) - before) / 1024, 1), "us_an_address": round(took / ADDRESSES * 1e6, 2)}


def _address(number: int) -> str:
    mixed = number * 2654435761 % 2**32
    return f"2001:{mixed >> 16:x}:{mixed & 0xFFFF:x}:1::1"


def memory() -> dict:
    """Memory and time for a million addresses, each seen once."""

    def count(held: dict, number: int) -> None:
        key = _address(number)
        held[key] = held.get(key, 0) + 1

    return {
        "sketch": _memory_growth(lambda: HeavyHitters(0), lambda held, number: held.add(_address(number), number)),
        "buckets": _memory_growth(lambda: Buckets(1.0, 2.0, 0), lambda held, number: held.take(_address(number), number)),
        "trie": _memory_growth(lambda: Prefixes(1.0, 0), lambda held, number: held.source(_address(number), number)),
        "dictionary": _memory_growth(dict, count),
    }


def sketch_error() -> dict:
    """Error of the sketch over 100,000 requests: half from twenty sources of weight 1/rank, the others from sources seen once."""
    rng, heavy, exact = Random(1), HeavyHitters(0), Counter()
    weights = [1 / rank for rank in range(1, 21)]
    for number in range(100_000):
        key = f"heavy {rng.choices(range(20), weights)[0]}" if rng.random() < 0.5 else f"one-off {number}"
        exact[key] += 1
        heavy.add(key, 0)
    expected = [key for key, _ in exact.most_common(20)]
    found = {key: count for key, count, _ in heavy.top(20)}
    errors = [abs(found[key] - exact[key]) / exact[key] for key in expected if key in found]
    return {
        "places": PLACES,
        "heaviest_20_found": sum(key in found for key in expected),
        "worst_error_of_those": round(max(errors), 3),
        "bound": round(100_000 / PLACES),
    }


async def measure_limits() -> dict:
    return {"requests": await request_costs(), "a_million_addresses": memory(), "sketch": sketch_error()}
