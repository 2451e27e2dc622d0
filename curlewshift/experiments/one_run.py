"""One run of an experiment, in a process of its own: made up, emulated, judged, measured."""

from __future__ import annotations

import time
from random import Random

from curlewshift.baselines.baselines import BASELINES
from curlewshift.emulator.queue import EventLimitExceeded
from curlewshift.emulator.shared import Shares, usual_terms
from curlewshift.emulator.sizes import made_up
from curlewshift.emulator.world import World
from curlewshift.experiments.experiment import Experiment, Run
from curlewshift.fault_injection.rehearse import figures_of
from curlewshift.rules import Rules
from curlewshift.standins.script import Script, usual
from curlewshift.verdict.verdict import judge

MS = 1_000_000
# Service counts as recovered once it is back at this part of what it was before, for so many seconds together (s).
BACK_AT, TOGETHER = 0.95, 3
# Viewings up to which the traffic is kept and judged; larger runs are measured without.
JUDGED_TO = 20_000


def carry_out(experiment: Experiment, run: Run) -> dict:
    """What was measured: a number for each measure, `wrong` if the run did not end or broke a rule."""
    levels, sizes = dict(run.levels), dict(experiment.sizes)
    for name in ("fronts", "servers", "load"):
        if name in levels:
            sizes[name] = float(levels[name])
    troubles = list(experiment.troubles)
    if levels.get("trouble", "none") != "none":
        troubles.append(usual(levels["trouble"], sizes["lasts"] / 3))
    share = levels.get("further-share")
    script = made_up(
        int(sizes["fronts"]),
        int(sizes["servers"]),
        sizes["viewings"],
        sizes["lasts"],
        sizes["load"],
        run.seed,
        sizes["watches"],
        troubles,
        float(levels.get("come-again", 0.8)),
        None if share is None else 4,
        0.0 if share is None else float(share),
        float(levels.get("told-late", 0.5)),
    )
    policy = levels.get("policy", "rules")
    rules = Rules if policy == "rules" else BASELINES[policy]
    traffic: list[dict] | None = [] if sizes["viewings"] <= JUDGED_TO else None
    world = World(
        script,
        run.seed,
        traffic,
        rules,
        across=int(float(levels.get("across", 0)) * MS),
        loss=float(levels.get("loss", 0)),
        shared=shares(levels, script, run.seed),
    )
    began = time.process_time()
    try:
        world.run()
    except EventLimitExceeded as runaway:
        return {"wrong": str(runaway)}
    cpu = time.process_time() - began
    figures = measured(world, cpu)
    if traffic is not None:
        verdict = judge(traffic, figures_of(script.site))
        figures["rules-broken"] = sum(rule["broken"] for rule in verdict["rules"].values())
        broken = [number for number, rule in verdict["rules"].items() if rule["broken"]]
        if broken:
            figures["wrong"] = f"rule {', '.join(broken)} broken"
    return figures


def shares(levels: dict[str, str], script: Script, seed: int) -> Shares | None:
    """How the fronts of a run share; None where each is for itself."""
    how = levels.get("shared", "alone")
    if how == "alone":
        return None
    fronts = len(script.site.front_addresses)
    deaf = Random(seed).sample(range(fronts), round(float(levels.get("deaf", 0)) * fronts))
    parts = {} if how == "shared" else {part: part == how for part in ("counts", "rights", "seen")}
    return Shares(usual_terms(script.site.obligations.fall_within), float(levels.get("words-lost", 0)), set(deaf), **parts)


def measured(world: World, cpu: float) -> dict:
    tally = world.viewers.tally
    day = [sample for sample in world.use if 0 <= sample[0] <= world.script.lasts and sample[2]]
    answers = max(1, tally.plays + tally.refused + tally.failed)
    joins = tally.join_us
    return {
        "well-served": (tally.served - tally.spoilt) / tally.value if tally.value else 0.0,
        "short-part": sum(sample[4] for sample in day) / max(1.0, sum(sample[2] for sample in day)),
        "service": tally.served / tally.value if tally.value else 0.0,
        "refused": tally.refused / answers,
        "failed": tally.failed / answers,
        "asks-a-viewing": tally.asks / max(1, tally.viewings),
        "mean-rung": sum(sample[3] for sample in day) / max(1, len(day)),
        "use": sum(sample[1] for sample in day) / max(1, len(day)),
        "join-p50-ms": joins.get_value_at_percentile(50) / 1000,
        "join-p99-ms": joins.get_value_at_percentile(99) / 1000,
        "recovered-after-s": recovered_after(world),
        "cpu-us-an-ask": cpu / max(1, tally.asks) * 1e6,
    }


def recovered_after(world: World) -> float:
    """Seconds from the first trouble until service is back for good; the rest of the day if it does not come back."""
    if not world.script.troubles:
        return 0.0
    seconds, began = world.viewers.tally.seconds, int(min(trouble.at for trouble in world.script.troubles))
    before = [seconds[at] for at in range(2, began) if at in seconds]
    usual_part = sum(one[4] for one in before) / max(1e-9, sum(one[3] for one in before))
    last = int(world.script.lasts) - 1
    for at in range(last - TOGETHER, began - 1, -1):
        window = [seconds[second] for second in range(at, at + TOGETHER) if second in seconds]
        part = sum(one[4] for one in window) / max(1e-9, sum(one[3] for one in window))
        if part < BACK_AT * usual_part:
            return float(at + TOGETHER - began)
    return 0.0
