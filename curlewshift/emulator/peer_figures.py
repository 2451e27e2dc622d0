"""Measures membership at 8 to 1,000 fronts with the production channels in virtual time. Called by `measure peers`.

All figures are simulated: protocol periods, counts, and bytes as encoded.
"""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor

from curlewshift.emulator.peer_histories import histories
from curlewshift.emulator.peers import MS, NS, Links, PeerFleet
from curlewshift.membership.terms import default_membership_terms

PERIOD = NS
SIZES = (8, 32, 200, 1000)
KILLS = {8: 40, 32: 30, 200: 10, 1000: 4}
# Runs with one datagram in twenty lost as the only fault, and runs in which a tenth of the fronts also loses half of what it is
# sent.
CALM_FRONTS, CALM_MINUTES, CALM_RUNS = 32, 45, 7
RECEIVE_LOSS, RECEIVE_LOSS_MINUTES = 0.5, 8
HISTORIES, HISTORIES_PER_TASK = 10_000, 50


def measure_size(size: int) -> dict:
    """Measures detection of kills, bytes sent, and the time until two halves agree again after a partition."""
    fleet = PeerFleet(size, 1, default_membership_terms(PERIOD))
    fleet.start_settled()
    fleet.run(3)
    before = fleet.bytes
    fleet.run(5)
    quiet = (fleet.bytes - before) / size / 5
    detection_periods = []
    for number in range(KILLS[size]):
        victim, fleet.gone_reports = fleet.posts[size // 2 - number % (size // 3)], []
        victim.kill()
        killed_at, others = fleet.queue.now, len(fleet.alive())
        fleet.until(lambda: sum(name == victim.name for _, _, name in fleet.gone_reports) >= others, 30)
        detection_periods += [(at - killed_at) / PERIOD for at, _, name in fleet.gone_reports if name == victim.name]
        victim.start()
        fleet.until(fleet.agreed, 30)
        fleet.run(2)
    detection_periods.sort()
    half = size // 2
    fleet.links.parted = lambda a, b: (a < half) != (b < half)
    fleet.run(15)
    fleet.links.parted, fleet.gone_reports = lambda a, b: False, []
    healed = fleet.until(fleet.agreed, 60)
    return {
        "fronts": size,
        "kills": KILLS[size],
        "detected_median_periods": round(detection_periods[len(detection_periods) // 2], 2),
        "detected_p99_periods": round(detection_periods[int(len(detection_periods) * 0.99)], 2),
        "bytes_a_second_a_front": round(quiet, 1),
        "agreed_after_cut_periods": None if healed is None else round(healed * NS / PERIOD, 1),
        "called_gone_after_cut": len(fleet.gone_reports),
    }


def measure_false_positives(task: tuple[int, bool, bool]) -> dict:
    """Runs with loss as the only fault, so every member declared gone is a false positive."""
    seed, lifeguard, with_receive_loss = task
    links = Links(loss=0.05)
    if with_receive_loss:
        links.receive_loss = {number: RECEIVE_LOSS for number in range(0, CALM_FRONTS, 10)}
    fleet = PeerFleet(CALM_FRONTS, seed, default_membership_terms(PERIOD, lifeguard=lifeguard), links=links)
    fleet.start_settled()
    minutes = RECEIVE_LOSS_MINUTES if with_receive_loss else CALM_MINUTES
    fleet.run(60 * minutes)
    return {
        "hard": with_receive_loss,
        "lifeguard": lifeguard,
        "member_minutes": CALM_FRONTS * minutes,
        "false_gone": len(fleet.gone_reports),
        "suspicions": fleet.suspicions,
    }


def run_histories(seeds: range) -> list[tuple[int, float | None]]:
    return histories(seeds)


def measure_peers_emulated(workers: int = 0) -> dict:
    """Runs all simulations, spread over worker processes."""
    with ProcessPoolExecutor(workers or max(1, (os.cpu_count() or 2) - 1)) as pool:
        sizes = [pool.submit(measure_size, size) for size in reversed(SIZES)]
        false_positive_runs = [
            pool.submit(measure_false_positives, (seed, lifeguard, with_receive_loss))
            for seed in range(CALM_RUNS)
            for lifeguard in (True, False)
            for with_receive_loss in (False, True)
        ]
        runs = [pool.submit(run_histories, range(at, at + HISTORIES_PER_TASK)) for at in range(0, HISTORIES, HISTORIES_PER_TASK)]
        figures: dict = {"simulated": True, "period_ms": PERIOD // MS, "sizes": [task.result() for task in reversed(sizes)]}
        flat = {row["fronts"]: row["bytes_a_second_a_front"] for row in figures["sizes"]}
        figures["bytes_1000_over_32"] = round(flat[1000] / flat[32], 2)
        for with_receive_loss in (False, True):
            for lifeguard in (True, False):
                rows = [
                    row
                    for row in (task.result() for task in false_positive_runs)
                    if row["hard"] is with_receive_loss and row["lifeguard"] is lifeguard
                ]
                figures[
                    f"{'a_tenth_hears_badly' if with_receive_loss else 'loss_of_5_percent'}_{'with' if lifeguard else 'without'}"
                ] = {name: sum(row[name] for row in rows) for name in ("member_minutes", "false_gone", "suspicions")}
        ended = [pair for task in runs for pair in task.result()]
        agreement_periods = sorted(after for _, after in ended if after is not None)
        figures["histories"] = {
            "run": len(ended),
            "not_agreed": [seed for seed, after in ended if after is None],
            "agreed_median_periods": round(agreement_periods[len(agreement_periods) // 2], 1),
            "agreed_p99_periods": round(agreement_periods[int(len(agreement_periods) * 0.99)], 1),
            "agreed_longest_periods": round(agreement_periods[-1], 1),
        }
    return figures
