"""What leases cost and how soon one is taken up again, by the objects that serve, in virtual time. Called by `measure leases`.

All figures are simulated.
"""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor

from curlewshift.emulator.lease_histories import MS, LeaseHistory, TwoHolders
from curlewshift.leases.terms import LeaseTerms

SECOND = 1000 * MS
FRONTS, KEEPERS, TRIES = 8, 5, 12
HISTORIES, AT_ONCE = 20_000, 100
# (leases, fronts)
SIZES = ((1, 8), (100, 8), (100, 50), (1000, 8), (1000, 200))


class Quiet(LeaseHistory):
    """Nothing befalls it but what is done to it. The usual drift; the histories have ten times as much."""

    terms = LeaseTerms(term=2 * SECOND, drift=0.01, every=SECOND // 5)

    def __init__(self, seed: int, fronts: int, acceptors: int, leases: int):
        super().__init__(seed, fronts, acceptors, leases, troubled=False)
        self.loss, self.doubled, self.late = 0.0, 0.0, 5 * MS

    def holder(self, lease: str):
        return next(
            (front for front in self.fronts if front.alive and front.paused_until <= self.now and front.proposer.may_act(lease)),
            None,
        )

    def until_held(self, lease: str, most: int = 60 * SECOND) -> int:
        began = self.now
        while self.holder(lease) is None and self.now - began < most:
            self.run(self.now + 10 * MS)
        return self.now - began


def gaps(task: tuple[str, int]) -> list[float]:
    """Time without a holder after what befell the one there was, in terms."""
    kind, seed = task
    history, took = Quiet(seed, FRONTS, KEEPERS, 1), []
    history.until_held("l0")
    for _ in range(TRIES):
        history.run(history.now + 6 * SECOND)
        holder = history.holder("l0")
        if holder is None:
            history.until_held("l0")
            continue
        began = history.now
        if kind == "kill":
            holder.alive = False
        elif kind == "pause":
            holder.paused_until = history.now + 6 * SECOND
        elif kind == "cut":
            # the holder alone on its side
            holder.paused_until = 0
            cut_off(history, holder.number)
        else:
            holder.proposer.leave("l0")
        history.run(began + 20 * MS)
        while history.holder("l0") in (holder, None) and history.now - began < 30 * SECOND:
            if kind == "release":
                break
            history.run(history.now + 10 * MS)
        if kind == "release":
            history.until_held("l0")
            holder.proposer.want("l0")
        took.append((history.now - began) / history.terms.term)
        if kind == "kill":
            holder.start()
        elif kind == "cut":
            cut_off(history, None)
        history.run(history.now + 8 * SECOND)
    return took


def cut_off(history: Quiet, number: int | None) -> None:
    """Words to and from this front are lost; None: from nobody's."""

    def say(sender, to, part, what, words):
        if to != sender.number and number in (sender.number, to):
            return
        LeaseHistory.say(history, sender, to, part, what, words)

    history.say = say


def words(task: tuple[int, int]) -> dict:
    """Words a second a front, all leases wanted by one front each, as tasks want them."""
    leases, fronts = task
    history = Quiet(1, fronts, KEEPERS, leases)
    for number, front in enumerate(history.fronts):
        for index, lease in enumerate(history.names):
            if index % fronts != number:
                front.proposer.views.pop(lease, None)
    history.run(10 * SECOND)
    before = history.words
    history.run(16 * SECOND)
    held = sum(history.holder(lease) is not None for lease in history.names[:50])
    return {
        "leases": leases,
        "fronts": fronts,
        "words_a_second": round((history.words - before) / 6, 1),
        "words_a_second_a_lease": round((history.words - before) / 6 / leases, 2),
        "held_of_50": held,
    }


def some(seeds: range) -> tuple[int, list[int]]:
    tenures, found = 0, []
    for seed in seeds:
        history = LeaseHistory(seed)
        try:
            history.run()
        except TwoHolders:
            found.append(seed)
        tenures += history.tenures
    return tenures, found


def measure_leases(workers: int = 0) -> dict:
    with ProcessPoolExecutor(workers or max(1, (os.cpu_count() or 2) - 1)) as pool:
        sizes = [pool.submit(words, size) for size in SIZES]
        befell = {kind: [pool.submit(gaps, (kind, seed)) for seed in range(6)] for kind in ("kill", "pause", "cut", "release")}
        runs = [pool.submit(some, range(at, at + AT_ONCE)) for at in range(0, HISTORIES, AT_ONCE)]
        told: dict = {"simulated": True, "term_ms": Quiet.terms.term // MS, "drift": Quiet.terms.drift}
        for kind, parts in befell.items():
            took = sorted(gap for part in parts for gap in part.result())
            told[f"without_holder_after_{kind}_terms"] = {
                "times": len(took),
                "median": round(took[len(took) // 2], 2),
                "p99": round(took[int(len(took) * 0.99)], 2),
            }
        told["sizes"] = [one.result() for one in sizes]
        ended = [one.result() for one in runs]
        told["histories"] = {
            "run": HISTORIES,
            "tenures": sum(tenures for tenures, _ in ended),
            "two_holders": [seed for _, found in ended for seed in found],
        }
    return told
