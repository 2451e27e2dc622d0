"""Measures the message cost of leases and the time without a holder after a fault. Called by `measure leases`.

Runs the production proposers and acceptors in virtual time, so all figures are simulated.
"""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor

from curlewshift.emulator.lease_histories import MS, LeaseHistory, LeaseViolation
from curlewshift.leases.terms import LeaseTerms

SECOND = 1000 * MS
FRONTS, ACCEPTORS, TRIALS = 8, 5, 12
HISTORIES, HISTORIES_PER_TASK = 20_000, 100
# (leases, fronts)
SIZES = ((1, 8), (100, 8), (100, 50), (1000, 8), (1000, 200))


class FaultFreeHistory(LeaseHistory):
    """A history without random faults, loss or duplicates; the caller injects the faults.

    Uses the default clock drift; the random histories use ten times as much.
    """

    terms = LeaseTerms(term=2 * SECOND, drift=0.01, every=SECOND // 5)

    def __init__(self, seed: int, fronts: int, acceptors: int, leases: int):
        super().__init__(seed, fronts, acceptors, leases, with_faults=False)
        self.loss, self.duplication, self.max_delay = 0.0, 0.0, 5 * MS

    def holder(self, lease: str):
        return next(
            (front for front in self.fronts if front.alive and front.paused_until <= self.now and front.proposer.may_act(lease)),
            None,
        )

    def run_until_held(self, lease: str, max_duration: int = 60 * SECOND) -> int:
        began = self.now
        while self.holder(lease) is None and self.now - began < max_duration:
            self.run(self.now + 10 * MS)
        return self.now - began


def holder_gaps(task: tuple[str, int]) -> list[float]:
    """Returns the times without a holder, in lease terms, after the holder was hit by a fault of this kind."""
    kind, seed = task
    history, gaps = FaultFreeHistory(seed, FRONTS, ACCEPTORS, 1), []
    history.run_until_held("l0")
    for _ in range(TRIALS):
        history.run(history.now + 6 * SECOND)
        holder = history.holder("l0")
        if holder is None:
            history.run_until_held("l0")
            continue
        began = history.now
        if kind == "kill":
            holder.alive = False
        elif kind == "pause":
            holder.paused_until = history.now + 6 * SECOND
        elif kind == "cut":
            # isolate the holder from all other fronts
            holder.paused_until = 0
            isolate(history, holder.number)
        else:
            holder.proposer.leave("l0")
        history.run(began + 20 * MS)
        while history.holder("l0") in (holder, None) and history.now - began < 30 * SECOND:
            if kind == "release":
                break
            history.run(history.now + 10 * MS)
        if kind == "release":
            history.run_until_held("l0")
            holder.proposer.want("l0")
        gaps.append((history.now - began) / history.terms.term)
        if kind == "kill":
            holder.start()
        elif kind == "cut":
            isolate(history, None)
        history.run(history.now + 8 * SECOND)
    return gaps


def isolate(history: FaultFreeHistory, number: int | None) -> None:
    """Drops all messages to and from this front; None ends the isolation."""

    def send(sender, to, role, message, arguments):
        if to != sender.number and number in (sender.number, to):
            return
        LeaseHistory.send(history, sender, to, role, message, arguments)

    history.send = send


def message_rate(task: tuple[int, int]) -> dict:
    """Counts messages per second over all fronts, each lease wanted by one front, as tasks want them."""
    leases, fronts = task
    history = FaultFreeHistory(1, fronts, ACCEPTORS, leases)
    for number, front in enumerate(history.fronts):
        for index, lease in enumerate(history.names):
            if index % fronts != number:
                front.proposer.views.pop(lease, None)
    history.run(10 * SECOND)
    before = history.messages_sent
    history.run(16 * SECOND)
    held = sum(history.holder(lease) is not None for lease in history.names[:50])
    return {
        "leases": leases,
        "fronts": fronts,
        "words_a_second": round((history.messages_sent - before) / 6, 1),
        "words_a_second_a_lease": round((history.messages_sent - before) / 6 / leases, 2),
        "held_of_50": held,
    }


def run_histories(seeds: range) -> tuple[int, list[int]]:
    """Runs random histories; returns the count of tenures and the seeds in which the lease guarantee was violated."""
    tenures, found = 0, []
    for seed in seeds:
        history = LeaseHistory(seed)
        try:
            history.run()
        except LeaseViolation:
            found.append(seed)
        tenures += history.tenures
    return tenures, found


def measure_leases(workers: int = 0) -> dict:
    with ProcessPoolExecutor(workers or max(1, (os.cpu_count() or 2) - 1)) as pool:
        sizes = [pool.submit(message_rate, size) for size in SIZES]
        gap_tasks = {
            kind: [pool.submit(holder_gaps, (kind, seed)) for seed in range(6)] for kind in ("kill", "pause", "cut", "release")
        }
        runs = [pool.submit(run_histories, range(at, at + HISTORIES_PER_TASK)) for at in range(0, HISTORIES, HISTORIES_PER_TASK)]
        figures: dict = {"simulated": True, "term_ms": FaultFreeHistory.terms.term // MS, "drift": FaultFreeHistory.terms.drift}
        for kind, parts in gap_tasks.items():
            gaps = sorted(gap for part in parts for gap in part.result())
            figures[f"without_holder_after_{kind}_terms"] = {
                "times": len(gaps),
                "median": round(gaps[len(gaps) // 2], 2),
                "p99": round(gaps[int(len(gaps) * 0.99)], 2),
            }
        figures["sizes"] = [task.result() for task in sizes]
        ended = [task.result() for task in runs]
        figures["histories"] = {
            "run": HISTORIES,
            "tenures": sum(tenures for tenures, _ in ended),
            "two_holders": [seed for _, found in ended for seed in found],
        }
    return figures
