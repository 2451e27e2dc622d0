"""`curlewshift measure`: measurements, one run each."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from curlewshift.commands.common import PATH, read_or_exit, run


@click.group()
def measure():
    """Run a measurement; its figures are ratios."""


def write_figures(out: Path, figures: dict) -> None:
    """Writes figures to a file as JSON."""
    import json

    text = json.dumps(figures, indent=1)
    out.write_text(text + "\n")
    click.echo(text)


@measure.command("joins")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
@click.option("--count", type=click.IntRange(10, 100_000), default=1500, help="Number of joins of each kind.")
def measure_joins(out, count):
    """Time joins through a front, plain and with TLS, against the same joins sent directly to a stand-in server."""
    from curlewshift.fault_injection.joins import measure_joins as run_measurement

    write_figures(out, run(run_measurement, count))


@measure.command("fleet")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
@click.option("--count", type=click.IntRange(100, 1_000_000), default=3000, help="Requests for each size.")
def measure_fleet(out, count):
    """Cost of a request and of a full server list at 100 to 6,400 servers."""
    from curlewshift.fault_injection.fleet_cost import measure_fleet as run_measurement

    write_figures(out, run_measurement(count))


@measure.command("keys")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_keys(out):
    """Cost of a key in the key table against a plain dictionary that is swept."""
    from curlewshift.fault_injection.key_cost import measure_keys as run_measurement

    write_figures(out, run_measurement())


@measure.command("wheel")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_wheel(out):
    """Cost of setting, cancelling and expiring timers on the timer wheel against a heap."""
    from curlewshift.fault_injection.wheel_cost import measure_wheel as run_measurement

    write_figures(out, run_measurement())


@measure.command("recovery")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_recovery(out):
    """Time that a restarted front takes to recover its sessions, by their number."""
    from curlewshift.fault_injection.recovery_cost import measure_recovery as run_measurement

    write_figures(out, run(run_measurement))


@measure.command("events")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_events(out):
    """Cost of an event in the emulator's bucket queue against a plain heap."""
    from curlewshift.emulator.queue_cost import measure_events as run_measurement

    write_figures(out, run_measurement())


@measure.command("agreement")
@click.argument("script", type=PATH)
@click.option(
    "--days", type=PATH, required=True, help="A folder of fault injection runs of SCRIPT on sockets, one subfolder each."
)
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_agreement(script, days, out):
    """Compare the emulator with runs on sockets; exit 1 if a difference exceeds its bound."""
    from curlewshift.emulator.agreement import agreement, picture
    from curlewshift.emulator.world import World
    from curlewshift.fault_injection.rehearse import figures_of
    from curlewshift.standins.script import read_script
    from curlewshift.standins.traffic import read_traffic
    from curlewshift.verdict.verdict import judge

    loaded_script = read_or_exit(read_script, script)
    figures, socket_runs, emulated_runs = figures_of(loaded_script.site), [], []
    for traffic in sorted(days.glob("*/traffic.jsonl")):
        events = read_traffic(traffic)
        socket_runs.append(picture(events, judge(events, figures)))
        emulated: list[dict] = []
        World(loaded_script, len(socket_runs), emulated).run()
        emulated_runs.append(picture(emulated, judge(emulated, figures)))
    if not socket_runs:
        click.echo(f"curlewshift: there is no traffic.jsonl in any subfolder of {days}", err=True)
        sys.exit(2)
    results = agreement(socket_runs, emulated_runs)
    write_figures(out, {"script": script.name, "days": len(socket_runs), "figures": results})
    sys.exit(0 if all(result["agrees"] for result in results.values()) else 1)


@measure.command("flood")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_flood(out):
    """Service to clients while others flood the listener, with and without limits and with few file descriptors."""
    from curlewshift.fault_injection.flood import measure_flood as run_measurement

    write_figures(out, run(run_measurement))


@measure.command("limits")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_limits(out):
    """Cost of a refusal against a join, memory for a million addresses, and the error of the heavy-hitter sketch."""
    from curlewshift.fault_injection.limits_cost import measure_limits as run_measurement

    write_figures(out, run(run_measurement))


@measure.command("peers")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
@click.option("--count", type=click.IntRange(60, 100_000), default=1800, help="Number of joins with peers, and without.")
def measure_peers(out, count):
    """Accuracy of membership at 8 to 1,000 fronts (simulated), and its cost to fronts that serve clients."""
    from curlewshift.emulator.peer_figures import measure_peers_emulated
    from curlewshift.fault_injection.peers_cost import measure_service

    emulated = measure_peers_emulated()
    write_figures(out, {"emulated": emulated, "service": run(measure_service, count)})


@measure.command("leases")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_leases(out):
    """Time until a lost lease is held again, messages spent on leases, and whether two ever held one (simulated)."""
    from curlewshift.emulator.lease_figures import measure_leases as run_measurement

    write_figures(out, run_measurement())


@measure.command("goodput")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
@click.option("--chart", "chart_at", type=PATH, help="An SVG file for a chart of goodput against load.")
@click.option("--workers", type=click.IntRange(0, 512), default=0, help="Number of processes; all cores but one by default.")
def measure_goodput(out, chart_at, workers):
    """Value served at 0.5 to 10 times the load: shed by the fleet together, by each front alone, and not at all (simulated)."""
    from curlewshift.emulator.goodput import chart
    from curlewshift.emulator.goodput import measure_goodput as run_measurement

    figures = run_measurement(workers)
    write_figures(out, figures)
    if chart_at is not None:
        chart_at.write_text(chart(figures))


@measure.command("shared")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures.")
def measure_shared(out):
    """Bytes and datagrams that sharing costs a front, by the number of fronts and servers (simulated)."""
    from curlewshift.emulator.sharing_bytes import measure_shared as run_measurement

    write_figures(out, run_measurement())


@measure.command("versions")
@click.option("--out", type=PATH, required=True, help="A JSON file for the figures; other figures in it are kept.")
@click.option(
    "--only",
    "names",
    multiple=True,
    help="One of no_loss, loss_of_5_percent, zone_returns_empty, regions_apart, stretch, histories; may be given more than once.",
)
@click.option("--histories", "many", type=click.IntRange(1, 1_000_000), default=10_000, help="Number of random histories.")
@click.option("--workers", type=click.IntRange(0, 512), default=0, help="Number of processes; all cores but one by default.")
def measure_versions(out, names, many, workers):
    """Time until a configuration change is in force at 630 nodes, its bytes, and random histories of versions (simulated)."""
    import json
    import os

    from curlewshift.emulator.version_figures import measure_versions as run_measurement

    load_before = [round(load, 1) for load in os.getloadavg()]
    results = run_measurement(workers, names, many)
    before = json.loads(out.read_text()) if out.exists() else {}
    # load average of the machine before and after: simulated times do not depend on it, the run times do
    loads = before.get("load", {}) | {
        ", ".join(names) or "all": {"before": load_before, "after": [round(load, 1) for load in os.getloadavg()]}
    }
    write_figures(out, {**before, **results, "load": loads})
