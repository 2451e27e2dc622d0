"""Cost of a join (a viewer's request for a session) through a front, compared with the same join directly at a stand-in server.

The stand-in sets up sessions in no time, so that the comparison covers only the work of carrying a join: any real set-up time
makes the ratio smaller. Latency is measured at the viewer, CPU time in the process that answers.
"""

from __future__ import annotations

import os
import secrets
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from random import Random

import anyio
from hdrh.histogram import HdrHistogram

from curlewshift.exchange.client import connect
from curlewshift.exchange.tls import client_context
from curlewshift.fault_injection.processes import ChildProcess, free_ports, listens
from curlewshift.signalling.sdp import offer_text
from curlewshift.site.authority import issue, make_authority

SDP = "application/sdp"
FINGERPRINT = "sha-256 " + ":".join(["A5"] * 32)
SERVERS = 4
CONCURRENT_VIEWERS = 16
WARM_UP_JOINS = 100
PAUSE_S = 0.002

TLS = '<tls certificate="door.pem" key="door.key"/>'
# The elements after the fronts, which all measured sites share.
BEHIND = """  <list address="127.0.0.1:{list}"/>
  <ladder><rung rate="100kB/s"/><rung rate="200kB/s"/></ladder>
  <packages><package name="p" value="1" join-target="1s" patience="4s"/></packages>
  <racks><rack name="r" uplink="9000MB/s">{servers}</rack></racks>
  <catalogue><title name="t" shelves="{shelves}"/></catalogue>
  <obligations>
    <answers way-back="100ms" longest-wait="2s" most-tune-ins="3"/><drains grace="2s"/>
    <cold-servers warm-within="5s" start-capacity="0.5" fall-multiple="2" fall-within="1s"/>
    <news told-late="500ms" told-every="3s" probes="true" uplinks="true"/>
  </obligations>
"""
SITE = (
    """<site name="measure">
  <fronts most-waiting="1000"><front name="f" listen="127.0.0.1:{front}"/>{more}</fronts>
"""
    + BEHIND
    + "</site>\n"
)


def site_file(path: Path, front: int, list_port: int, servers: list[int], more: str = "") -> Path:
    """Writes a site of one front and of servers with capacity for all sessions; `more` is XML that is added to its fronts."""
    machines = "".join(
        f'<server shelf="s{n}" listen="127.0.0.1:{port}" link="9000MB/s" streams="100000"/>' for n, port in enumerate(servers)
    )
    path.write_text(
        SITE.format(
            front=front, list=list_port, servers=machines, more=more, shelves=" ".join(f"s{n}" for n in range(len(servers)))
        )
    )
    return path


async def wait_until_ready(ports: Iterable[int], log: Path) -> None:
    """Waits until all ports accept connections, and then for fronts to receive their server list. Raises `RuntimeError` with the
    end of the log."""
    for port in ports:
        if not await listens(port, 20.0):
            raise RuntimeError(f"nothing listens at port {port}: {log.read_text()[-500:]}")
    await anyio.sleep(1.5)


def cpu_of(pid: int) -> float:
    """CPU time in seconds that a process has used so far (proc(5))."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def run_joins(port: int, count: int, histogram: HdrHistogram, pause: float = 0.0, tls=None) -> None:
    """Runs viewers one after another on one connection; each joins and leaves. Only the join is timed (µs); `pause` (s) lets the
    work of leaving finish before the next join."""
    connection = await connect("127.0.0.1", port, 2.0, tls)
    try:
        for _ in range(count):
            offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
            began = time.perf_counter_ns()
            response = await connection.ask(
                "POST", "/whep/p/t?layer=0&top=1", [("content-type", SDP), ("x-front", "direct"), ("x-request-id", "q")], offer
            )
            histogram.record_value(max(1, (time.perf_counter_ns() - began) // 1000))
            if response.status != 201 or not connection.prepare_next_request():
                raise RuntimeError(f"a join was answered with status {response.status}: {response.body[:200]!r}")
            end_response = await connection.ask("DELETE", response.headers["location"])
            if end_response.status != 200 or not connection.prepare_next_request():
                raise RuntimeError(f"the end of a session was answered with status {end_response.status}")
            if pause:
                await anyio.sleep(pause)
    finally:
        await connection.close()


async def one_way(port: int, pid: int, count: int, tls=None) -> dict:
    """Measures the latency of a single viewer, then joins per CPU second with concurrent viewers."""
    await run_joins(port, WARM_UP_JOINS, HdrHistogram(1, 10_000_000, 3), 0.0, tls)
    alone, concurrent = HdrHistogram(1, 10_000_000, 3), HdrHistogram(1, 10_000_000, 3)
    await run_joins(port, count, alone, PAUSE_S, tls)
    cpu, began = cpu_of(pid), time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for _ in range(CONCURRENT_VIEWERS):
            tasks.start_soon(run_joins, port, max(1, count // CONCURRENT_VIEWERS), concurrent, 0.0, tls)
    done, cpu, took = count // CONCURRENT_VIEWERS * CONCURRENT_VIEWERS, cpu_of(pid) - cpu, time.perf_counter() - began
    return {
        "p50_us": alone.get_value_at_percentile(50),
        "p99_us": alone.get_value_at_percentile(99),
        "joins_a_second_a_core": round(done / max(cpu, 0.01)),
        "joins_a_second": round(done / took),
        "p99_us_at_once": concurrent.get_value_at_percentile(99),
    }


def fill_background(background, now: int) -> None:
    """Adds endless background tasks with slices of 0.5 ms and several priorities: more work than there is ever time for."""

    def burn() -> bool:
        deadline = time.perf_counter_ns() + 500_000
        while time.perf_counter_ns() < deadline:
            pass
        return True

    for number in range(8):
        background.add(f"busy {number}", burn, now, priority=number % 3)


async def open_sessions(port: int, count: int) -> None:
    """Starts `count` sessions and does not end them."""
    connection = await connect("127.0.0.1", port, 2.0)
    try:
        for _ in range(count):
            offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
            if (
                await connection.ask("POST", "/whep/p/t", [("content-type", SDP)], offer)
            ).status != 201 or not connection.prepare_next_request():
                raise RuntimeError("a join failed or its connection cannot be used again")
    finally:
        await connection.close()


def memory_of(pid: int) -> float:
    """Resident memory of a process in kB."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1024


async def measure_joins(count: int) -> dict:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        ports = free_ports(SERVERS + 5, Random(os.getpid()))
        authority = make_authority(folder / "authority", "measure")
        issue(folder / "authority", ["127.0.0.1"], folder / "door")
        sites = {
            kind: site_file(folder / f"{kind}.xml", port, ports[2], ports[4:-1], more)
            for kind, port, more in (
                ("plain", ports[0], ""),
                ("tls", ports[1], TLS),
                ("busy", ports[3], ""),
                ("noted", ports[-1], ""),
            )
        }
        log = folder / "log"
        standin = ChildProcess(["standin", "server", str(sites["plain"]), "--setup-work", "0"], log)
        plain, secure, busy, noted = (
            ChildProcess(["front", str(sites[kind]), "--seed", "1", *more], log)
            for kind, *more in (
                ("plain",),
                ("tls",),
                ("busy", "--busy"),
                ("noted", "--capture", str(folder / "capture"), "--state", str(folder / "state")),
            )
        )
        try:
            await wait_until_ready((ports[0], ports[1], ports[3], ports[4], ports[-1]), log)
            context = client_context(authority)
            targets = {
                "direct": (ports[4], standin, None),
                "through": (ports[0], plain, None),
                "through_tls": (ports[1], secure, context),
                "through_busy": (ports[3], busy, None),
                "through_noted": (ports[-1], noted, None),
            }
            # each target is measured in two halves, so that a machine that slows down meanwhile affects all of them
            halves: dict[str, list[dict]] = {target: [] for target in targets}
            for _ in range(2):
                for target, (port, child, tls) in targets.items():
                    halves[target].append(await one_way(port, child.process.pid, count // 2, tls))
            before = memory_of(plain.process.pid)
            await open_sessions(ports[0], count)
            per_session = (memory_of(plain.process.pid) - before) / count
        finally:
            for child in (plain, secure, busy, noted, standin):
                child.kill()
    figures = {
        target: {name: round(sum(half[name] for half in parts) / 2) for name in parts[0]} for target, parts in halves.items()
    }
    direct = figures["direct"]
    ratios = {
        target: {name: round(figures[target][name] / direct[name], 2) for name in ("p50_us", "p99_us", "joins_a_second_a_core")}
        for target in ("through", "through_tls")
    }
    for kind in ("busy", "noted"):
        ratios[f"{kind}_over_idle"] = {
            name: round(figures[f"through_{kind}"][name] / figures["through"][name], 2) for name in ("p50_us", "p99_us")
        }
    return {"joins_each_way": count, **figures, "ratios": ratios, "kB_a_session": round(per_session, 2)}
