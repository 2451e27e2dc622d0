"""Synthetic deployments of any size, for experiments that no site file covers."""

from __future__ import annotations

from pathlib import Path
from random import Random

from curlewshift.model import Package
from curlewshift.site.site import ListenAddress, Machine, Obligations, Site
from curlewshift.standins.script import PlannedViewing, Script, Trouble

NS = 1_000_000_000
MS = 1_000_000
# Rates of the quality layers, in the unit of link capacities.
LADDER = (120.0, 210.0, 370.0, 650.0)
# Servers per rack.
RACK = 20


def made_up(
    fronts: int,
    servers: int,
    viewings: float,
    lasts: float,
    load: float,
    seed: int = 1,
    watches: float = 20.0,
    troubles: list[Trouble] = (),
    come_again: float = 0.8,
    free_further: int | None = None,
    further_share: float = 0.0,
    told_late: float = 0.5,
    copies: int = 4,
) -> Script:
    """A script with `viewings` arrivals over `lasts` (s), each watched for `watches` (s) on average. Link capacities are such
    that all viewings at the mean rung's rate would use the fraction `load` of the total. A title is on `copies` servers.
    Raises `ValueError` if a size is not positive."""
    if min(fronts, servers, viewings, lasts, load, watches) <= 0:
        raise ValueError("fronts, servers, viewings, lasts, load and watches must be positive")
    rng = Random(seed)
    each_second = viewings / lasts
    playing = each_second * watches
    mean_rate = sum(LADDER) / len(LADDER)
    link = max(4 * LADDER[-1], playing * mean_rate / servers / load)
    streams = max(12, int(3 * playing / servers / load))
    machines = [
        Machine(f"s{n}", "127.0.0.1", 20_000 + n % 40_000, f"r{n // RACK}", f"z{n // RACK % 3}", link, streams, 2)
        for n in range(servers)
    ]
    racks = {machine.rack for machine in machines}
    per_rack = {rack: sum(machine.rack == rack for machine in machines) for rack in racks}
    copies = min(copies, servers)
    titles = {f"t{n}": tuple(machines[m].shelf for m in rng.sample(range(servers), copies)) for n in range(max(3, servers))}
    packages = [
        Package("receipt", 3.0, NS, 4 * NS, False, LADDER, 1, 3, 0),
        Package("review", 2.0, NS, 5 * NS, True, LADDER, 0, 3, 0),
        Package("lesson", 1.0, 3 * NS // 2, 4 * NS, False, LADDER, 0, 3, 0),
    ]
    obligations = Obligations(
        way_back=150 * MS,
        longest_wait=2 * NS,
        most_tune_ins=3,
        grace=2 * NS,
        warm_within=8 * NS,
        start_capacity=0.4,
        fall_multiple=2.0,
        fall_within=NS,
        free_further=free_further,
        further_share=further_share,
        look_back=10 * NS,
        told_late=int(told_late * NS),
        told_every=3 * NS,
        probes=False,
        uplinks=True,
    )
    site = Site(
        "made up",
        [ListenAddress(f"f{n}", "127.0.0.1", 1 + n) for n in range(fronts)],
        ("127.0.0.1", 1),
        packages,
        {rack: 0.9 * link * per_rack[rack] for rack in sorted(racks)},
        machines,
        titles,
        obligations,
        2000,
        64,
    )
    planned_viewings = [
        PlannedViewing("receipt", 0.3, watches),
        PlannedViewing("review", 0.2, watches),
        PlannedViewing("lesson", 0.5, watches),
    ]
    return Script(Path("made-up.xml"), site, lasts, seed, each_second, come_again, 0.0, 0.0, planned_viewings, list(troubles), [])
