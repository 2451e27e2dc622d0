"""How soon a change is in force everywhere, what that costs a node, and whether random histories keep the promise.

Called by `measure versions`; all figures are simulated.
"""

from __future__ import annotations

import gc
import os
import time
from concurrent.futures import ProcessPoolExecutor

from curlewshift.distribution.pieces import packed_difference, packed_full
from curlewshift.emulator.version_histories import FAULTS, InvariantViolated, VersionHistory, histories, planted
from curlewshift.emulator.versions import NS, VersionFleet, site_file

NODES, ZONES = 630, 9
HISTORIES, AT_ONCE, FAULTY = 10_000, 50, 200
CHANGES, CHANGE_EACH = 6, 4
# The users' regions are apart for ten minutes; in a minute and a half all have gone for each other and been forgotten.
APART_S, APART_CHANGES = 90, 3
STRETCH_CHANGES, STRETCH_RESTARTS, STRETCH_EACH = 100, 20, 0.8


def changes(loss: float, nodes: int = NODES) -> dict:
    """Changes after each other; each from the operator's word until the last node has it in force."""
    fleet = VersionFleet(nodes, loss=loss).begin()
    first = fleet.times(fleet.last)[-1] if fleet.first_s is not None else None
    last, every, cost = [], [], []
    for _ in range(CHANGES):
        before = fleet.spent()
        fleet.change()
        fleet.run(CHANGE_EACH)
        after = fleet.spent()
        took = fleet.until(fleet.everywhere, 30)
        times = fleet.times(fleet.last)
        every += times
        last.append(times[-1] if took is not None else None)
        cost.append(sum(after[name][0] - before[name][0] for name in after) / len(after) / CHANGE_EACH)
    every.sort()
    return {
        "loss": loss,
        "nodes": nodes,
        "changes": CHANGES,
        "first_version_everywhere_s": first if first is None else round(first, 2),
        "in_force_median_s": round(every[len(every) // 2], 2),
        "in_force_p99_s": round(every[int(len(every) * 0.99)], 2),
        "last_node_s": [None if one is None else round(one, 2) for one in last],
        "sent_bytes_a_second_mean": round(sum(cost) / len(cost)),
    }


def by_node(before: dict, after: dict, posts: list, seconds: float, what: str) -> dict:
    """Bytes a second a node: all that it sent and received, and what of the sent was distribution's own."""
    told = {}
    for index, name in enumerate(("sent", "received", "own_sent")):
        rows = [(after[post.name][index] - before[post.name][index]) / seconds for post in posts]
        told |= {f"{what}_{name}_mean": round(sum(rows) / len(rows)), f"{what}_{name}_worst": round(max(rows))}
    return told


def zone_returns(nodes: int = NODES) -> dict:
    """All of a zone killed, and back 20 s later at once, with nothing on their disks."""
    fleet = VersionFleet(nodes).begin()
    zone = [post for post in fleet.nodes if fleet.zone_of[post.number] == ZONES - 1]
    for post in zone:
        post.kill()
    fleet.run(10)
    fleet.change()
    fleet.run(10)
    for post in zone:
        post.copy = None
        post.start()
    before, began = fleet.spent(), fleet.queue.now
    took = fleet.until(fleet.everywhere, 60)
    fleet.run(max(0.0, 18 - (fleet.queue.now - began) / NS))
    after = fleet.spent()
    seconds = (fleet.queue.now - began) / NS
    others = [post for post in fleet.nodes if post not in zone]
    return {
        "returned": len(zone),
        "in_force_in_all_s": None if took is None else round(took, 2),
        "over_s": round(seconds, 1),
        **by_node(before, after, others, seconds, "others"),
        **by_node(before, after, zone, seconds, "returned"),
        **by_node(before, after, fleet.stores, seconds, "stores"),
    }


def regions_apart(seconds: int = APART_S, nodes: int = NODES) -> dict:
    """Three regions that hear nothing of each other, with changes made meanwhile where a majority of the stores is."""
    fleet = VersionFleet(nodes).begin()
    fleet.links.parted = lambda a, b: fleet.region_of[a] != fleet.region_of[b]
    for _ in range(APART_CHANGES):
        fleet.run(seconds / APART_CHANGES)
        fleet.change()
    fleet.run(3)
    here = [post for post in fleet.alive() if post.wire.version == fleet.last]
    fleet.links.parted = lambda a, b: False
    before, began = fleet.spent(), fleet.queue.now
    took = fleet.until(fleet.everywhere, 120)
    after, lasted = fleet.spent(), max(0.1, (fleet.queue.now - began) / NS)
    return {
        "apart_s": seconds,
        "changes_meanwhile": APART_CHANGES,
        "had_it_before_they_met": len(here),
        "in_force_everywhere_after_meeting_s": None if took is None else round(took, 2),
        **by_node(before, after, fleet.nodes, lasted, "until_then"),
    }


def stretch(nodes: int = NODES) -> dict:
    """100 changes and 20 restarts (with their disks), closer together than any day has them."""
    fleet = VersionFleet(nodes).begin()
    quiet = fleet.spent()
    fleet.run(8)
    alone = by_node(quiet, fleet.spent(), fleet.nodes, 8, "quiet")
    before, began, late = fleet.spent(), fleet.queue.now, 0
    for number in range(STRETCH_CHANGES):
        if number % (STRETCH_CHANGES // STRETCH_RESTARTS) == 2:
            post = fleet.rng.choice(fleet.nodes)
            post.kill()
            fleet.run(0.5)
            post.start()
        fleet.change()
        fleet.run(STRETCH_EACH)
        late += not fleet.everywhere()
    took = fleet.until(fleet.everywhere, 30)
    seconds = (fleet.queue.now - began) / NS
    after = fleet.spent()
    busy = by_node(before, after, fleet.nodes, seconds, "nodes")
    a_change = (busy["nodes_own_sent_mean"] - alone["quiet_own_sent_mean"]) * seconds / STRETCH_CHANGES
    return {
        "changes": STRETCH_CHANGES,
        "restarts": STRETCH_RESTARTS,
        "seconds": round(seconds, 1),
        **alone,
        **busy,
        **by_node(before, after, fleet.stores, seconds, "stores"),
        "own_bytes_a_change_a_node": round(a_change),
        "own_at_910_changes_a_day_bytes_a_second": round(alone["quiet_own_sent_mean"] + a_change * 910 / 86_400, 1),
        "not_everywhere_at_the_next_change": late,
        "everywhere_at_the_end": took is not None,
    }


SCENARIOS = {
    "no_loss": lambda: changes(0.0),
    "loss_of_5_percent": lambda: changes(0.05),
    "zone_returns_empty": zone_returns,
    "regions_apart": regions_apart,
    "stretch": stretch,
}


def scenario(name: str) -> dict:
    began = time.monotonic()
    # looks for cycles among so much that lives to the end find nothing and take long
    gc.disable()
    return {**SCENARIOS[name](), "took_to_run_s": round(time.monotonic() - began)}


def some_histories(seeds: range) -> dict:
    ended, told = [], {"changes": 0, "takes": 0, "restarts": 0, "ok": 0, "unknown": 0, "refused": 0}
    for seed in seeds:
        history = VersionHistory(seed)
        try:
            ended.append((seed, history.run(), ""))
        except InvariantViolated as wrong:
            ended.append((seed, None, str(wrong)))
        told["changes"] += len(history.chosen)
        told["takes"] += history.takes
        told["restarts"] += history.restarts - len(history.processes)
        for how, times in history.puts.items():
            told[how] += times
    return {"ended": ended, **told}


def faulty(fault: str, seeds: range) -> int:
    return sum(bool(wrong) for _, _, wrong in histories(seeds, wire=planted(fault)))


def all_histories(pool: ProcessPoolExecutor, many: int = HISTORIES) -> dict:
    runs = [pool.submit(some_histories, range(at, min(at + AT_ONCE, many))) for at in range(0, many, AT_ONCE)]
    faults = {fault: pool.submit(faulty, fault, range(min(FAULTY, many))) for fault in FAULTS}
    parts = [run.result() for run in runs]
    ended = [one for part in parts for one in part["ended"]]
    took = sorted(after for _, after, _ in ended if after is not None)
    return {
        "run": len(ended),
        "broken": [(seed, wrong) for seed, _, wrong in ended if wrong],
        "not_agreed": [seed for seed, after, wrong in ended if after is None and not wrong],
        "agreed_after_last_trouble_median_s": round(took[len(took) // 2], 1),
        "agreed_p99_s": round(took[int(len(took) * 0.99)], 1),
        "agreed_longest_s": round(took[-1], 1),
        **{name: sum(part[name] for part in parts) for name in ("changes", "takes", "restarts", "ok", "unknown", "refused")},
        "planted_caught_of": min(FAULTY, many),
        "planted_caught": {fault: run.result() for fault, run in faults.items()},
    }


def measure_versions(workers: int = 0, names: tuple[str, ...] = (), many: int = HISTORIES) -> dict:
    """What is not named is not run; nothing named: everything."""
    names = names or (*SCENARIOS, "histories")
    content, base = site_file(NODES, 1), site_file(NODES)
    told: dict = {
        "simulated": True,
        "nodes": NODES,
        "zones": ZONES,
        "content_bytes": len(content),
        "packed_whole_bytes": len(packed_full(content)),
        "packed_difference_bytes": len(packed_difference(content, base)),
    }
    with ProcessPoolExecutor(workers or max(1, (os.cpu_count() or 2) - 1)) as pool:
        runs = {name: pool.submit(scenario, name) for name in names if name in SCENARIOS}
        if "histories" in names:
            told["histories"] = all_histories(pool, many)
        for name, run in runs.items():
            told[name] = run.result()
    return told
