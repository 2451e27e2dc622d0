"""One run of an experiment, in a process of its own: builds the script, emulates it, checks the rules and takes the measures."""

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
# Service counts as recovered once it has been at this part of its level before the fault for this many consecutive seconds.
RECOVERED_SHARE, RECOVERED_FOR_S = 0.95, 3
# Runs with more viewings are measured without recording their traffic, and their rules are not checked.
MAX_JUDGED_VIEWINGS = 20_000


def execute_run(experiment: Experiment, run: Run) -> dict:
    """Value of each measure; `wrong` holds the reason if the run did not end or broke a rule."""
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
    traffic: list[dict] | None = [] if sizes["viewings"] <= MAX_JUDGED_VIEWINGS else None
    world = World(
        script,
        run.seed,
        traffic,
        rules,
        across=int(float(levels.get("across", 0)) * MS),
        loss=float(levels.get("loss", 0)),
        shared=sharing_of_run(levels, script, run.seed),
    )
    started_at = time.process_time()
    try:
        world.run()
    except EventLimitExceeded as error:
        return {"wrong": str(error)}
    cpu = time.process_time() - started_at
    figures = run_figures(world, cpu)
    if traffic is not None:
        verdict = judge(traffic, figures_of(script.site))
        figures["rules-broken"] = sum(rule["broken"] for rule in verdict["rules"].values())
        broken = [number for number, rule in verdict["rules"].items() if rule["broken"]]
        if broken:
            figures["wrong"] = f"rule {', '.join(broken)} broken"
    return figures


def sharing_of_run(levels: dict[str, str], script: Script, seed: int) -> Shares | None:
    """How the fronts of a run share; None if they share nothing."""
    sharing = levels.get("shared", "alone")
    if sharing == "alone":
        return None
    fronts = len(script.site.front_addresses)
    deaf = Random(seed).sample(range(fronts), round(float(levels.get("deaf", 0)) * fronts))
    parts = {} if sharing == "shared" else {part: part == sharing for part in ("counts", "rights", "seen")}
    return Shares(usual_terms(script.site.obligations.fall_within), float(levels.get("words-lost", 0)), set(deaf), **parts)


def run_figures(world: World, cpu: float) -> dict:
    """Value of each measure, by name; `cpu` is the processor time of the emulation (s)."""
    tally = world.viewers.tally
    samples = [sample for sample in world.use if 0 <= sample[0] <= world.script.lasts and sample[2]]
    answers = max(1, tally.plays + tally.refused + tally.failed)
    joins = tally.join_us
    return {
        "well-served": (tally.served - tally.spoilt) / tally.value if tally.value else 0.0,
        "short-part": sum(sample[4] for sample in samples) / max(1.0, sum(sample[2] for sample in samples)),
        "service": tally.served / tally.value if tally.value else 0.0,
        "refused": tally.refused / answers,
        "failed": tally.failed / answers,
        "asks-a-viewing": tally.asks / max(1, tally.viewings),
        "mean-rung": sum(sample[3] for sample in samples) / max(1, len(samples)),
        "use": sum(sample[1] for sample in samples) / max(1, len(samples)),
        "join-p50-ms": joins.get_value_at_percentile(50) / 1000,
        "join-p99-ms": joins.get_value_at_percentile(99) / 1000,
        "recovered-after-s": recovered_after(world),
        "cpu-us-an-ask": cpu / max(1, tally.asks) * 1e6,
    }


def recovered_after(world: World) -> float:
    """Seconds from the first trouble until service has recovered for good; the rest of the run if it does not."""
    if not world.script.troubles:
        return 0.0
    seconds, first_fault = world.viewers.tally.seconds, int(min(trouble.at for trouble in world.script.troubles))
    before = [seconds[at] for at in range(2, first_fault) if at in seconds]
    usual_service = sum(sample[4] for sample in before) / max(1e-9, sum(sample[3] for sample in before))
    last = int(world.script.lasts) - 1
    for at in range(last - RECOVERED_FOR_S, first_fault - 1, -1):
        window = [seconds[second] for second in range(at, at + RECOVERED_FOR_S) if second in seconds]
        service = sum(sample[4] for sample in window) / max(1e-9, sum(sample[3] for sample in window))
        if service < RECOVERED_SHARE * usual_service:
            return float(at + RECOVERED_FOR_S - first_fault)
    return 0.0
