"""What knowing each other costs those who only serve: joins through one of eight fronts, with peers and without, in one run.

The fronts are processes on loopback; both ways are measured in turns, so that a machine that slows down slows both.
"""

from __future__ import annotations

import os
import socket
import tempfile
from pathlib import Path
from random import Random

from curlewshift.fault_injection.joins import SITE, all_listen, memory_of, one_way
from curlewshift.fault_injection.processes import ChildProcess, free_ports

FRONTS, SERVERS, TURNS = 8, 4, 6


def _site(path: Path, fronts: list[int], peers: list[int], list_port: int, servers: list[int]) -> Path:
    doors = "".join(
        f'<front name="f{n}" listen="127.0.0.1:{port}"' + (f' peers-listen="127.0.0.1:{peers[n]}"' if peers else "") + "/>"
        for n, port in enumerate(fronts)
    )
    machines = "".join(
        f'<server shelf="s{n}" listen="127.0.0.1:{port}" link="9000MB/s" streams="100000"/>' for n, port in enumerate(servers)
    )
    text = SITE.replace(
        '<front name="f" listen="127.0.0.1:{front}"/>{more}', doors + ('<peers seeds="f0 f1" period="1s"/>' if peers else "")
    )
    path.write_text(text.format(list=list_port, servers=machines, shelves=" ".join(f"s{n}" for n in range(len(servers)))))
    return path


async def measure_service(count: int) -> dict:
    rng = Random(os.getpid())
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        ports, udp = free_ports(2 * FRONTS + SERVERS + 1, rng), free_ports(FRONTS, rng, socket.SOCK_DGRAM)
        servers, list_port = ports[2 * FRONTS : -1], ports[-1]
        ways = {"alone": (ports[:FRONTS], []), "peers": (ports[FRONTS : 2 * FRONTS], udp)}
        log, children = folder / "log", []
        try:
            for way, (fronts, peers) in ways.items():
                site = _site(folder / f"{way}.xml", fronts, peers, list_port, servers)
                if not children:
                    children.append(ChildProcess(["standin", "server", str(site), "--setup-work", "0"], log))
                    await all_listen([list_port], log)
                children += [ChildProcess(["front", str(site), "--name", f"f{n}", "--seed", "1"], log) for n in range(FRONTS)]
                await all_listen(fronts, log)
            first = {"alone": children[1], "peers": children[1 + FRONTS]}
            turns: dict[str, list[dict]] = {way: [] for way in ways}
            for turn in range(TURNS):
                # who comes first changes, as what ran before warms or heats
                for way in sorted(ways, reverse=bool(turn % 2)):
                    turns[way].append(await one_way(ways[way][0][0], first[way].process.pid, count // TURNS))
            memory = {way: round(memory_of(child.process.pid)) for way, child in first.items()}
        finally:
            for child in children:
                child.kill()
    figures = {way: {name: sorted(turn[name] for turn in parts)[TURNS // 2] for name in parts[0]} for way, parts in turns.items()}
    ratios = {
        name: round(figures["peers"][name] / figures["alone"][name], 3) for name in ("p50_us", "p99_us", "joins_a_second_a_core")
    }
    return {"fronts": FRONTS, "joins_each_way": count, **figures, "peers_over_alone": ratios, "memory_kB": memory}
