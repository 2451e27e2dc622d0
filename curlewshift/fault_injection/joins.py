"""Joins through a front beside the same joins straight at a stand-in, in one run on one machine.

The stand-in's set-up takes no time here, so that what is compared is the work of carrying a join: any real set-up
makes the ratio smaller. Time is the viewer's, CPU that of the one process that answers.
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
AT_ONCE = 16
WARM_UP = 100
PAUSE = 0.002

TLS = '<tls certificate="door.pem" key="door.key"/>'
# What sites to be measured on have alike behind their fronts.
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
    """A site of one front and servers with room for all, to be measured on; `more` goes with its front."""
    machines = "".join(
        f'<server shelf="s{n}" listen="127.0.0.1:{port}" link="9000MB/s" streams="100000"/>' for n, port in enumerate(servers)
    )
    path.write_text(
        SITE.format(
            front=front, list=list_port, servers=machines, more=more, shelves=" ".join(f"s{n}" for n in range(len(servers)))
        )
    )
    return path


async def all_listen(ports: Iterable[int], log: Path) -> None:
    """Until all do, and fronts have heard of their servers. Raises `RuntimeError` with the end of the log."""
    for port in ports:
        if not await listens(port, 20.0):
            raise RuntimeError(f"nothing listens at port {port}: {log.read_text()[-500:]}")
    await anyio.sleep(1.5)


def cpu_of(pid: int) -> float:
    """Seconds of CPU that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def joins(port: int, count: int, histogram: HdrHistogram, pause: float = 0.0, tls=None) -> None:
    """One viewer after the other on one connection; each joins and leaves. Only the join is timed: `pause` (s) lets
    the work of the leaving end before the next one comes."""
    call = await connect("127.0.0.1", port, 2.0, tls)
    try:
        for _ in range(count):
            offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
            began = time.perf_counter_ns()
            answered = await call.ask(
                "POST", "/whep/p/t?layer=0&top=1", [("content-type", SDP), ("x-front", "direct"), ("x-request-id", "q")], offer
            )
            histogram.record_value(max(1, (time.perf_counter_ns() - began) // 1000))
            if answered.status != 201 or not call.prepare_next_request():
                raise RuntimeError(f"a join was answered {answered.status}: {answered.body[:200]!r}")
            ended = await call.ask("DELETE", answered.headers["location"])
            if ended.status != 200 or not call.prepare_next_request():
                raise RuntimeError(f"an end was answered {ended.status}")
            if pause:
                await anyio.sleep(pause)
    finally:
        await call.close()


async def one_way(port: int, pid: int, count: int, tls=None) -> dict:
    """Latency of one viewer alone, then joins a second of CPU with many at once."""
    await joins(port, WARM_UP, HdrHistogram(1, 10_000_000, 3), 0.0, tls)
    alone, crowd = HdrHistogram(1, 10_000_000, 3), HdrHistogram(1, 10_000_000, 3)
    await joins(port, count, alone, PAUSE, tls)
    cpu, began = cpu_of(pid), time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for _ in range(AT_ONCE):
            tasks.start_soon(joins, port, max(1, count // AT_ONCE), crowd, 0.0, tls)
    done, cpu, took = count // AT_ONCE * AT_ONCE, cpu_of(pid) - cpu, time.perf_counter() - began
    return {
        "p50_us": alone.get_value_at_percentile(50),
        "p99_us": alone.get_value_at_percentile(99),
        "joins_a_second_a_core": round(done / max(cpu, 0.01)),
        "joins_a_second": round(done / took),
        "p99_us_at_once": crowd.get_value_at_percentile(99),
    }


def fill_background(background, now: int) -> None:
    """More work behind than there is ever time for: slices of half a millisecond, of several priorities, for ever."""

    def burn() -> bool:
        ends = time.perf_counter_ns() + 500_000
        while time.perf_counter_ns() < ends:
            pass
        return True

    for number in range(8):
        background.add(f"busy {number}", burn, now, priority=number % 3)


async def open_sessions(port: int, count: int) -> None:
    """Sessions that are asked for and not ended."""
    call = await connect("127.0.0.1", port, 2.0)
    try:
        for _ in range(count):
            offer = offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT).encode()
            if (
                await call.ask("POST", "/whep/p/t", [("content-type", SDP)], offer)
            ).status != 201 or not call.prepare_next_request():
                raise RuntimeError("a join was not answered well")
    finally:
        await call.close()


def memory_of(pid: int) -> float:
    """Resident memory in kB."""
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
            await all_listen((ports[0], ports[1], ports[3], ports[4], ports[-1]), log)
            context = client_context(authority)
            ways = {
                "direct": (ports[4], standin, None),
                "through": (ports[0], plain, None),
                "through_tls": (ports[1], secure, context),
                "through_busy": (ports[3], busy, None),
                "through_noted": (ports[-1], noted, None),
            }
            # each way by halves: a machine that slows down meanwhile slows all
            halves: dict[str, list[dict]] = {way: [] for way in ways}
            for _ in range(2):
                for way, (port, child, tls) in ways.items():
                    halves[way].append(await one_way(port, child.process.pid, count // 2, tls))
            before = memory_of(plain.process.pid)
            await open_sessions(ports[0], count)
            per_session = (memory_of(plain.process.pid) - before) / count
        finally:
            for child in (plain, secure, busy, noted, standin):
                child.kill()
    figures = {way: {name: round(sum(half[name] for half in parts) / 2) for name in parts[0]} for way, parts in halves.items()}
    direct = figures["direct"]
    ratios = {
        way: {name: round(figures[way][name] / direct[name], 2) for name in ("p50_us", "p99_us", "joins_a_second_a_core")}
        for way in ("through", "through_tls")
    }
    for kind in ("busy", "noted"):
        ratios[f"{kind}_over_idle"] = {
            name: round(figures[f"through_{kind}"][name] / figures["through"][name], 2) for name in ("p50_us", "p99_us")
        }
    return {"joins_each_way": count, **figures, "ratios": ratios, "kB_a_session": round(per_session, 2)}
