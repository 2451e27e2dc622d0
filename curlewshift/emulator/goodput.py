"""Goodput against offered load: with one admission level for all fronts, with one per front, and without shedding.

Called by `measure goodput`; all figures are simulated. At a load of 1 the demand at the mean rung equals the capacity of the
links; at the floor the links carry about 2.8 times as many viewings. Goodput is the value per second of viewings that started
in time and did not end early because of poor delivery.
"""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor
from statistics import median

from curlewshift.emulator.oracle import Oracle
from curlewshift.emulator.overloaded import Shedding
from curlewshift.emulator.sizes import made_up
from curlewshift.emulator.world import World
from curlewshift.fault_injection.rehearse import figures_of
from curlewshift.overload.terms import OverloadTerms
from curlewshift.rules import Rules
from curlewshift.standins.script import Trouble
from curlewshift.verdict.shed import judge_shed
from curlewshift.verdict.verdict import judge

NS = 1_000_000_000
# Length of a run (LASTS) in s, longest wait in ns.
SERVERS, VIEWINGS, LASTS, LONGEST_WAIT = 24, 1200, 40.0, 30 * NS
LOADS, SEEDS = (0.5, 1.0, 2.0, 3.0, 5.0, 10.0), 6
# (fronts, loads, number of seeds) of the larger deployments, which take longer to run.
LARGER = ((64, (0.5, 3.0, 10.0), 3), (400, (3.0,), 1))
# No shedding, a level per front, one level for all fronts.
MODES = ("none", "alone", "one")
# The crash of half the servers: start and duration in s.
LOST_AT, LOST_FOR = 14.0, 5.0


def one_run(task: tuple) -> dict:
    """Figures of one run; `storm` is a crash of half the servers after which all viewers come again."""
    mode, load, fronts, seed, storm = task
    troubles = [Trouble("crash", LOST_AT, LOST_FOR, 0.5, 1.0)] if storm else []
    script = made_up(fronts, SERVERS, VIEWINGS, LASTS, 1.0, seed, troubles=troubles, come_again=1.0 if storm else 0.8)
    script.each_second *= load
    script.site.obligations.longest_wait = LONGEST_WAIT
    terms = OverloadTerms(longest_wait=LONGEST_WAIT, fronts=fronts)
    shedding = None if mode in ("none", "oracle") else Shedding(terms, together=mode == "one")
    traffic: list[dict] = []
    world = World(script, seed, traffic, Oracle if mode == "oracle" else Rules, shedding=shedding)
    world.run()
    tally, figures = world.viewers.tally, figures_of(script.site)
    value_per_rate = {package.name: package.value / package.rates[package.floor] for package in script.site.packages}
    begins = world.begins
    shed = judge_shed(
        traffic,
        figures,
        value_per_rate,
        terms.floor,
        [(begins + int(LOST_AT * NS), begins + int((LOST_AT + LOST_FOR) * NS))] if storm else [],
    )
    further = sum(event["ev"] == "setup" and event["number"] > 1 for event in traffic)
    return {
        "way": mode,
        "load": load,
        "fronts": fronts,
        "seed": seed,
        "goodput": (tally.served - tally.spoilt) / LASTS,
        "served_share": tally.served / tally.value,
        "asks_a_viewing": shed["asks_a_viewing"],
        "out_of_order": shed["out_of_order"],
        "refused": tally.refused / max(1, tally.asks),
        "join_p99_ms": tally.join_us.get_value_at_percentile(99) / 1000,
        "further_a_server_s": further / SERVERS / LASTS,
        "storm_over_s": (shed["storm_over_s"] or [0.0])[0],
        "worst_package": min(shed["served"].values()),
        "shed_at_all": bool(world.levels),
        "broken": sorted(number for number, rule in judge(traffic, figures)["rules"].items() if rule["broken"]),
    }


def summary(runs: list[dict]) -> dict:
    """Medians over the seeds. Rules that were broken in any run are listed, not averaged."""
    medians = {
        name: round(median(run[name] for run in runs), 4)
        for name in (
            "goodput",
            "served_share",
            "asks_a_viewing",
            "out_of_order",
            "refused",
            "join_p99_ms",
            "further_a_server_s",
            "storm_over_s",
            "worst_package",
        )
    }
    return {
        **medians,
        "seeds": len(runs),
        "shed_in": sum(run["shed_at_all"] for run in runs),
        "broken": sorted({rule for run in runs for rule in run["broken"]}),
    }


def measure_goodput(workers: int = 0) -> dict:
    tasks = [(mode, load, 8, seed, False) for mode in MODES for load in LOADS for seed in range(1, SEEDS + 1)]
    tasks += [("oracle", 2.0, 8, seed, False) for seed in range(1, SEEDS + 1)]
    tasks += [(mode, 2.0, 8, seed, True) for mode in MODES for seed in range(1, SEEDS + 1)]
    tasks += [
        (mode, load, fronts, seed, False)
        for fronts, loads, seeds in LARGER
        for mode in MODES
        for load in loads
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(workers or max(1, (os.cpu_count() or 2) - 1)) as pool:
        # longest runs first, so that the workers finish at about the same time
        runs = list(pool.map(one_run, sorted(tasks, key=lambda task: -task[1] * task[2])))
    runs_by_case: dict[tuple, list[dict]] = {}
    for task, run in zip(sorted(tasks, key=lambda task: -task[1] * task[2]), runs):
        runs_by_case.setdefault((task[2], task[4], task[1], task[0]), []).append(run)
    return {
        "simulated": True,
        "servers": SERVERS,
        "lasts_s": LASTS,
        "longest_wait_s": LONGEST_WAIT // NS,
        "runs": [
            {"fronts": fronts, "half_the_servers_lost": storm, "load": load, "way": mode, **summary(mode_runs)}
            for (fronts, storm, load, mode), mode_runs in sorted(runs_by_case.items())
        ],
    }


def chart(figures: dict) -> str:
    """Chart of goodput over offered load at 8 fronts, as SVG text."""
    import io

    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "goodput"
    figure, panel = pyplot.subplots(figsize=(8, 4))
    for mode in MODES:
        rows = [run for run in figures["runs"] if run["fronts"] == 8 and run["way"] == mode and not run["half_the_servers_lost"]]
        panel.plot([run["load"] for run in rows], [run["goodput"] for run in rows], marker="o", label=mode)
    panel.set_xlabel("offered load")
    panel.set_ylabel("value a second, in time and kept")
    panel.legend()
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    return text.getvalue()
