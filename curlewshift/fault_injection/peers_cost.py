"""Cost of the membership protocol for fronts that only serve: joins through one of eight fronts, with peers and without.

The fronts are processes on loopback. Both cases are measured in alternating turns, so that a slower machine affects both.
"""

from __future__ import annotations

import os
import socket
import tempfile
from pathlib import Path
from random import Random

from curlewshift.fault_injection.joins import SITE, memory_of, one_way, wait_until_ready
from curlewshift.fault_injection.processes import ChildProcess, free_ports

FRONTS, SERVERS, TURNS = 8, 4, 6


def _site(path: Path, fronts: list[int], peers: list[int], list_port: int, servers: list[int]) -> Path:
    front_elements = "".join(
        f'<front name="f{n}" listen="127.0.0.1:{port}"' + (f' peers-listen="127.0.0.1:{peers[n]}"' if peers else "") + "/>"
        for n, port in enumerate(fronts)
    )
    machines = "".join(
        f'<server shelf="s{n}" listen="127.0.0.1:{port}" link="9000MB/s" streams="100000"/>' for n, port in enumerate(servers)
    )
    text = SITE.replace(
        '<front name="f" listen="127.0.0.1:{front}"/>{more}',
        front_elements + ('<peers seeds="f0 f1" period="1s"/>' if peers else ""),
    )
    path.write_text(text.format(list=list_port, servers=machines, shelves=" ".join(f"s{n}" for n in range(len(servers)))))
    return path


async def measure_service(count: int) -> dict:
    rng = Random(os.getpid())
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        ports, udp = free_ports(2 * FRONTS + SERVERS + 1, rng), free_ports(FRONTS, rng, socket.SOCK_DGRAM)
        servers, list_port = ports[2 * FRONTS : -1], ports[-1]
        cases = {"alone": (ports[:FRONTS], []), "peers": (ports[FRONTS : 2 * FRONTS], udp)}
        log, children = folder / "log", []
        try:
            for case, (fronts, peers) in cases.items():
                site = _site(folder / f"{case}.xml", fronts, peers, list_port, servers)
                if not children:
                    children.append(ChildProcess(["standin", "server", str(site), "--setup-work", "0"], log))
                    await wait_until_ready([list_port], log)
                children += [ChildProcess(["front", str(site), "--name", f"f{n}", "--seed", "1"], log) for n in range(FRONTS)]
                await wait_until_ready(fronts, log)
            first = {"alone": children[1], "peers": children[1 + FRONTS]}
            turns: dict[str, list[dict]] = {case: [] for case in cases}
            for turn in range(TURNS):
                # the order alternates, as the case that runs first affects the next (warm caches, a hot CPU)
                for case in sorted(cases, reverse=bool(turn % 2)):
                    turns[case].append(await one_way(cases[case][0][0], first[case].process.pid, count // TURNS))
            memory = {case: round(memory_of(child.process.pid)) for case, child in first.items()}
        finally:
            for child in children:
                child.kill()
    figures = {
        case: {name: sorted(turn[name] for turn in parts)[TURNS // 2] for name in parts[0]} for case, parts in turns.items()
    }
    ratios = {
        name: round(figures["peers"][name] / figures["alone"][name], 3) for name in ("p50_us", "p99_us", "joins_a_second_a_core")
    }
    return {"fronts": FRONTS, "joins_each_way": count, **figures, "peers_over_alone": ratios, "memory_kB": memory}
