"""Runs trials concurrently, each in a process of its own, and summarizes their verdicts."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from queue import Queue

import anyio
import msgspec

from curlewshift.fault_injection.processes import PORTS, ROOT
from curlewshift.soak.judge import RULES, Judge, Verdict
from curlewshift.soak.plan import make_plan
from curlewshift.soak.timeline import timeline
from curlewshift.soak.trial import Trial

# A trial uses about this many cores, for its event loop and its nodes.
CORES_EACH = 1.25
# A trial that takes this much longer than its planned duration is considered hung and is stopped.
TIMEOUT_MARGIN_S = 90.0
MAX_TIMELINES = 20
MAX_STARVED_SHARE = 0.1


class Summary(msgspec.Struct):
    """Results of a run of several trials, by seed or by rule."""

    command: str
    seeds: list[int]
    plant: str
    seconds: float
    breaks: dict[int, list[str]] = {}
    looked_at: dict[str, int] = {}
    excused: dict[str, int] = {}
    starved: list[int] = []
    failed: list[int] = []
    not_looked_at: list[str] = []
    wall_s: float = 0.0

    @property
    def good(self) -> bool:
        return not (self.breaks or self.failed or self.not_looked_at) and len(self.starved) <= MAX_STARVED_SHARE * len(self.seeds)


def run_trial(seed: int, seconds: float, only: tuple[str, ...], plant: str, out: Path) -> Verdict:
    """Runs one trial in this process and writes its plan, records, verdict and timelines to the folder `seed-N` of `out`."""
    folder = out / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.iterdir():
        old.unlink()
    plan = make_plan(seed, seconds, only)
    records = anyio.run(Trial(plan, folder, plant).run)
    verdict = Judge(plan, records).judge()
    (folder / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(plan)))
    (folder / "records.json").write_bytes(msgspec.json.encode(records))
    (folder / "verdict.json").write_bytes(msgspec.json.format(msgspec.json.encode(verdict)))
    timelines = [timeline(violation, records, folder) for violation in verdict.breaks[:MAX_TIMELINES]]
    (folder / "timeline.txt").write_text("\n".join(timelines) or "no rule was broken\n")
    return verdict


def play_all(
    seeds: list[int], seconds: float, only: tuple[str, ...], plant: str, out: Path, at_once: int, progress: Callable[[str], None]
) -> Summary:
    """Runs a trial per seed, `at_once` concurrently, calls `progress` as each ends, and writes the summary to `out`."""
    summary = Summary(" ".join(sys.argv[1:]), seeds, plant, seconds, looked_at=dict.fromkeys(RULES, 0))
    began, slots = time.monotonic(), Queue()
    for slot in range(at_once):
        slots.put(slot)
    first, last = PORTS
    ports_per_slot = (last - first) // at_once

    def run_seed(seed: int) -> Verdict | None:
        slot = slots.get()
        try:
            ports = f"{first + slot * ports_per_slot}-{first + (slot + 1) * ports_per_slot}"
            return _run_in_subprocess(seed, seconds, only, plant, out, ports)
        finally:
            slots.put(slot)

    with ThreadPoolExecutor(at_once) as pool:
        futures = {pool.submit(run_seed, seed): seed for seed in seeds}
        for future in as_completed(futures):
            progress(_add_verdict(summary, futures[future], future.result()))
    summary.not_looked_at = [] if only else [rule for rule, count in summary.looked_at.items() if not count]
    summary.wall_s = round(time.monotonic() - began, 1)
    (out / "summary.json").write_bytes(msgspec.json.format(msgspec.json.encode(summary)))
    return summary


def _run_in_subprocess(seed: int, seconds: float, only: tuple[str, ...], plant: str, out: Path, ports: str) -> Verdict | None:
    """The verdict of a trial run in a process of its own; None if the trial itself failed, with its error in `seed-N.err`."""
    arguments = [sys.executable, "-m", "curlewshift.soak", str(seed), str(seconds), str(out), plant, *only]
    with open(out / f"seed-{seed}.err", "wb") as errors:
        try:
            subprocess.run(
                arguments,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=errors,
                stderr=errors,
                check=True,
                timeout=seconds + TIMEOUT_MARGIN_S,
                env={**os.environ, "CURLEWSHIFT_PORTS": ports},
            )
        except subprocess.SubprocessError:
            return None
    return msgspec.json.decode((out / f"seed-{seed}" / "verdict.json").read_bytes(), type=Verdict)


def _add_verdict(summary: Summary, seed: int, verdict: Verdict | None) -> str:
    """Adds a verdict to the summary and returns the progress line for it."""
    if verdict is None:
        summary.failed.append(seed)
        return f"seed {seed}: the trial failed, see seed-{seed}.err"
    if verdict.starved:
        summary.starved.append(seed)
        return f"seed {seed}: starved, not counted (the judge's event loop lagged by {verdict.loop_late_s:.2f} s)"
    for rule, count in verdict.looked_at.items():
        summary.looked_at[rule] += count
    for why, count in verdict.excused.items():
        summary.excused[why] = summary.excused.get(why, 0) + count
    if not verdict.breaks:
        return f"seed {seed}: no rule broken"
    rules = Counter(violation.rule for violation in verdict.breaks)
    summary.breaks[seed] = [f"{rule}: {count}" for rule, count in rules.items()]
    first = verdict.breaks[0]
    return f"seed {seed}: {', '.join(summary.breaks[seed])}; first at {first.at_s:.3f}: {first.says}"
