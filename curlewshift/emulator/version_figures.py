"""Measures the time until a change is in force everywhere, its cost per node, and the invariants in random histories.

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
HISTORIES, HISTORIES_PER_TASK, HISTORIES_PER_FAULT = 10_000, 50, 200
CHANGES, CHANGE_INTERVAL_S = 6, 4
# Users' regions may be partitioned for ten minutes; after 90 s all members of other regions are already declared gone and
# forgotten, so a longer partition adds nothing.
PARTITION_S, PARTITION_CHANGES = 90, 3
STRETCH_CHANGES, STRETCH_RESTARTS, STRETCH_INTERVAL_S = 100, 20, 0.8


def changes(loss: float, nodes: int = NODES) -> dict:
    """Measures consecutive changes, each from the operator's request until it is in force at the last node."""
    fleet = VersionFleet(nodes, loss=loss).begin()
    first = fleet.times(fleet.last)[-1] if fleet.first_version_s is not None else None
    last, every, cost = [], [], []
    for _ in range(CHANGES):
        before = fleet.traffic()
        fleet.change()
        fleet.run(CHANGE_INTERVAL_S)
        after = fleet.traffic()
        duration_s = fleet.until(fleet.everywhere, 30)
        times = fleet.times(fleet.last)
        every += times
        last.append(times[-1] if duration_s is not None else None)
        cost.append(sum(after[name][0] - before[name][0] for name in after) / len(after) / CHANGE_INTERVAL_S)
    every.sort()
    return {
        "loss": loss,
        "nodes": nodes,
        "changes": CHANGES,
        "first_version_everywhere_s": first if first is None else round(first, 2),
        "in_force_median_s": round(every[len(every) // 2], 2),
        "in_force_p99_s": round(every[int(len(every) * 0.99)], 2),
        "last_node_s": [None if seconds is None else round(seconds, 2) for seconds in last],
        "sent_bytes_a_second_mean": round(sum(cost) / len(cost)),
    }


def by_node(before: dict, after: dict, posts: list, seconds: float, prefix: str) -> dict:
    """Returns bytes per second and node: sent, received, and the part of the sent bytes that distribution caused."""
    figures = {}
    for index, name in enumerate(("sent", "received", "own_sent")):
        rows = [(after[post.name][index] - before[post.name][index]) / seconds for post in posts]
        figures |= {f"{prefix}_{name}_mean": round(sum(rows) / len(rows)), f"{prefix}_{name}_worst": round(max(rows))}
    return figures


def zone_returns(nodes: int = NODES) -> dict:
    """Kills all nodes of a zone and starts them 20 s later, all at once, with empty disks."""
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
    before, began = fleet.traffic(), fleet.queue.now
    duration_s = fleet.until(fleet.everywhere, 60)
    fleet.run(max(0.0, 18 - (fleet.queue.now - began) / NS))
    after = fleet.traffic()
    seconds = (fleet.queue.now - began) / NS
    others = [post for post in fleet.nodes if post not in zone]
    return {
        "returned": len(zone),
        "in_force_in_all_s": None if duration_s is None else round(duration_s, 2),
        "over_s": round(seconds, 1),
        **by_node(before, after, others, seconds, "others"),
        **by_node(before, after, zone, seconds, "returned"),
        **by_node(before, after, fleet.stores, seconds, "stores"),
    }


def regions_apart(seconds: int = PARTITION_S, nodes: int = NODES) -> dict:
    """Partitions three regions from each other; changes are made meanwhile where the majority of the stores is."""
    fleet = VersionFleet(nodes).begin()
    fleet.links.parted = lambda a, b: fleet.region_of[a] != fleet.region_of[b]
    for _ in range(PARTITION_CHANGES):
        fleet.run(seconds / PARTITION_CHANGES)
        fleet.change()
    fleet.run(3)
    nodes_at_newest = [post for post in fleet.alive() if post.wire.version == fleet.last]
    fleet.links.parted = lambda a, b: False
    before, began = fleet.traffic(), fleet.queue.now
    duration_s = fleet.until(fleet.everywhere, 120)
    after, duration = fleet.traffic(), max(0.1, (fleet.queue.now - began) / NS)
    return {
        "apart_s": seconds,
        "changes_meanwhile": PARTITION_CHANGES,
        "had_it_before_they_met": len(nodes_at_newest),
        "in_force_everywhere_after_meeting_s": None if duration_s is None else round(duration_s, 2),
        **by_node(before, after, fleet.nodes, duration, "until_then"),
    }


def stretch(nodes: int = NODES) -> dict:
    """Runs 100 changes and 20 restarts (disks kept), closer together than on any real day."""
    fleet = VersionFleet(nodes).begin()
    quiet = fleet.traffic()
    fleet.run(8)
    alone = by_node(quiet, fleet.traffic(), fleet.nodes, 8, "quiet")
    before, began, unfinished = fleet.traffic(), fleet.queue.now, 0
    for number in range(STRETCH_CHANGES):
        if number % (STRETCH_CHANGES // STRETCH_RESTARTS) == 2:
            post = fleet.rng.choice(fleet.nodes)
            post.kill()
            fleet.run(0.5)
            post.start()
        fleet.change()
        fleet.run(STRETCH_INTERVAL_S)
        unfinished += not fleet.everywhere()
    duration_s = fleet.until(fleet.everywhere, 30)
    seconds = (fleet.queue.now - began) / NS
    after = fleet.traffic()
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
        "not_everywhere_at_the_next_change": unfinished,
        "everywhere_at_the_end": duration_s is not None,
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
    # cyclic garbage collection over so many objects that live to the end finds nothing and takes long
    gc.disable()
    return {**SCENARIOS[name](), "took_to_run_s": round(time.monotonic() - began)}


def run_histories(seeds: range) -> dict:
    """Runs random histories; returns their outcomes and the counts of what happened in them."""
    ended, figures = [], {"changes": 0, "takes": 0, "restarts": 0, "ok": 0, "unknown": 0, "refused": 0}
    for seed in seeds:
        history = VersionHistory(seed)
        try:
            ended.append((seed, history.run(), ""))
        except InvariantViolated as violation:
            ended.append((seed, None, str(violation)))
        figures["changes"] += len(history.chosen)
        figures["takes"] += history.takes
        figures["restarts"] += history.restarts - len(history.processes)
        for outcome, times in history.puts.items():
            figures[outcome] += times
    return {"ended": ended, **figures}


def count_detections(fault: str, seeds: range) -> int:
    """Returns the count of histories with a planted fault in which an invariant was violated."""
    return sum(bool(violation) for _, _, violation in histories(seeds, wire=planted(fault)))


def all_histories(pool: ProcessPoolExecutor, count: int = HISTORIES) -> dict:
    runs = [
        pool.submit(run_histories, range(at, min(at + HISTORIES_PER_TASK, count))) for at in range(0, count, HISTORIES_PER_TASK)
    ]
    faults = {fault: pool.submit(count_detections, fault, range(min(HISTORIES_PER_FAULT, count))) for fault in FAULTS}
    parts = [run.result() for run in runs]
    ended = [history for part in parts for history in part["ended"]]
    durations = sorted(after for _, after, _ in ended if after is not None)
    return {
        "run": len(ended),
        "broken": [(seed, violation) for seed, _, violation in ended if violation],
        "not_agreed": [seed for seed, after, violation in ended if after is None and not violation],
        "agreed_after_last_trouble_median_s": round(durations[len(durations) // 2], 1),
        "agreed_p99_s": round(durations[int(len(durations) * 0.99)], 1),
        "agreed_longest_s": round(durations[-1], 1),
        **{name: sum(part[name] for part in parts) for name in ("changes", "takes", "restarts", "ok", "unknown", "refused")},
        "planted_caught_of": min(HISTORIES_PER_FAULT, count),
        "planted_caught": {fault: run.result() for fault, run in faults.items()},
    }


def measure_versions(workers: int = 0, names: tuple[str, ...] = (), count: int = HISTORIES) -> dict:
    """Runs the named scenarios, or all if none is named; `count` is the number of random histories."""
    names = names or (*SCENARIOS, "histories")
    content, base = site_file(NODES, 1), site_file(NODES)
    figures: dict = {
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
            figures["histories"] = all_histories(pool, count)
        for name, run in runs.items():
            figures[name] = run.result()
    return figures
