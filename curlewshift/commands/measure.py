"""`curlewshift measure`: measurements, each in one run."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.commands.common import PATH, read_or_exit, run


@click.group()
def measure():
    """Measurements; each is one run, its figures are ratios."""


def keep(out: Path, figures: dict) -> None:
    """Writes figures to a file as JSON."""
    import json

    text = json.dumps(figures, indent=1)
    out.write_text(text + "\n")
    click.echo(text)


@measure.command("joins")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
@click.option("--count", type=click.IntRange(10, 100_000), default=1500, help="Joins each way.")
def measure_joins(out, count):
    """Joins through a front, plain and with TLS, beside the same joins straight at a stand-in."""
    from curlewshift.fault_injection.joins import measure_joins as measured

    keep(out, run(measured, count))


@measure.command("fleet")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
@click.option("--count", type=click.IntRange(100, 1_000_000), default=3000, help="Requests for each size.")
def measure_fleet(out, count):
    """What a request and a whole list cost at 100 to 6,400 servers."""
    from curlewshift.fault_injection.fleet_cost import measure_fleet as measured

    keep(out, measured(count))


@measure.command("keys")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_keys(out):
    """What a key costs in the table beside a plain dictionary that is swept."""
    from curlewshift.fault_injection.key_cost import measure_keys as measured

    keep(out, measured())


@measure.command("wheel")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_wheel(out):
    """What setting, taking back and telling timers costs on the wheel beside a heap."""
    from curlewshift.fault_injection.wheel_cost import measure_wheel as measured

    keep(out, measured())


@measure.command("recovery")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_recovery(out):
    """How long a front that starts again takes to know what plays, by how many sessions there are."""
    from curlewshift.fault_injection.recovery_cost import measure_recovery as measured

    keep(out, run(measured))


@measure.command("events")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_events(out):
    """What an event costs in the emulator's buckets beside a plain heap."""
    from curlewshift.emulator.queue_cost import measure_events as measured

    keep(out, measured())


@measure.command("agreement")
@click.argument("script", type=PATH)
@click.option("--days", type=PATH, required=True, help="A folder with rehearsals of SCRIPT on sockets, one a folder.")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_agreement(script, days, out):
    """Whether the emulator shows the picture that sockets showed; exit 1 where a bound is passed."""
    from curlewshift.emulator.agreement import agreement, picture
    from curlewshift.emulator.world import World
    from curlewshift.fault_injection.rehearse import figures_of
    from curlewshift.standins.script import read_script
    from curlewshift.standins.traffic import read_traffic
    from curlewshift.verdict.verdict import judge

    held = read_or_exit(read_script, script)
    figures, there, here = figures_of(held.site), [], []
    for traffic in sorted(days.glob("*/traffic.jsonl")):
        events = read_traffic(traffic)
        there.append(picture(events, judge(events, figures)))
        emulated: list[dict] = []
        World(held, len(there), emulated).run()
        here.append(picture(emulated, judge(emulated, figures)))
    if not there:
        click.echo(f"curlewshift: there is no day in {days}", err=True)
        sys.exit(2)
    told = agreement(there, here)
    keep(out, {"script": script.name, "days": len(there), "figures": told})
    sys.exit(0 if all(one["agrees"] for one in told.values()) else 1)


@measure.command("flood")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_flood(out):
    """What clients get while others flood the door, with limits and without, with few descriptors."""
    from curlewshift.fault_injection.flood import measure_flood as measured

    keep(out, run(measured))


@measure.command("limits")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_limits(out):
    """What a refusal costs beside a join, a million addresses in memory, and how far off the sketch is."""
    from curlewshift.fault_injection.limits_cost import measure_limits as measured

    keep(out, run(measured))


@measure.command("peers")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
@click.option("--count", type=click.IntRange(60, 100_000), default=1800, help="Joins each way, with peers and without.")
def measure_peers(out, count):
    """Whether fronts know each other rightly at 8 to 1,000 (simulated), and what that costs those who only serve."""
    from curlewshift.emulator.peer_figures import measure_peers_emulated
    from curlewshift.fault_injection.peers_cost import measure_service

    emulated = measure_peers_emulated()
    keep(out, {"emulated": emulated, "service": run(measure_service, count)})


@measure.command("leases")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_leases(out):
    """How soon a lease is taken up again, what leases cost in words, and whether two ever held one (simulated)."""
    from curlewshift.emulator.lease_figures import measure_leases as measured

    keep(out, measured())


@measure.command("goodput")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
@click.option("--chart", "chart_at", type=PATH, help="An SVG file for goodput over load.")
@click.option("--workers", type=click.IntRange(0, 512), default=0, help="Processes; all cores but one if not said.")
def measure_goodput(out, chart_at, workers):
    """Value served from half to ten times the load: shed as one, by each front alone, and not at all (simulated)."""
    from curlewshift.emulator.goodput import chart
    from curlewshift.emulator.goodput import measure_goodput as measured

    figures = measured(workers)
    keep(out, figures)
    if chart_at is not None:
        chart_at.write_text(chart(figures))


@measure.command("shared")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_shared(out):
    """What sharing costs a front in bytes and datagrams, by the number of fronts and servers (simulated)."""
    from curlewshift.emulator.sharing_bytes import measure_shared as measured

    keep(out, measured())


@measure.command("versions")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures; what it has of others is kept.")
@click.option(
    "--only",
    "names",
    multiple=True,
    help="One of no_loss, loss_of_5_percent, zone_returns_empty, regions_apart, stretch, histories; may be given more than once.",
)
@click.option("--histories", "many", type=click.IntRange(1, 1_000_000), default=10_000, help="Random histories.")
@click.option("--workers", type=click.IntRange(0, 512), default=0, help="Processes; all cores but one if not said.")
def measure_versions(out, names, many, workers):
    """How soon a change of configuration is in force at 630 nodes, its bytes, and random histories of versions (simulated)."""
    import json
    import os

    from curlewshift.emulator.version_figures import measure_versions as measured

    began = [round(load, 1) for load in os.getloadavg()]
    told = measured(workers, names, many)
    before = json.loads(out.read_text()) if out.exists() else {}
    # what else ran, as the machine's load tells it: simulated times do not depend on it, those of the runs do
    loads = before.get("load", {}) | {
        ", ".join(names) or "all": {"before": began, "after": [round(load, 1) for load in os.getloadavg()]}
    }
    keep(out, {**before, **told, "load": loads})
