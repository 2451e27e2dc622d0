"""What membership does at 8 to 1,000 fronts, with the channels that serve, in virtual time. Called by `measure peers`.

All figures are simulated: periods, counts, and bytes as encoded.
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
# Member-minutes without a fault, with one datagram in twenty lost; and those in which a tenth of the fronts hears badly.
CALM_FRONTS, CALM_MINUTES, CALM_RUNS = 32, 45, 7
HARD_OF_HEARING, HARD_MINUTES = 0.5, 8
HISTORIES, AT_ONCE = 10_000, 50


def of_size(size: int) -> dict:
    """Detection of kills, bytes, and how soon halves that were cut apart hold the same again."""
    fleet = PeerFleet(size, 1, default_membership_terms(PERIOD))
    fleet.start_settled()
    fleet.run(3)
    before = fleet.bytes
    fleet.run(5)
    quiet = (fleet.bytes - before) / size / 5
    took = []
    for number in range(KILLS[size]):
        victim, fleet.calls = fleet.posts[size // 2 - number % (size // 3)], []
        victim.kill()
        killed_at, others = fleet.queue.now, len(fleet.alive())
        fleet.until(lambda: sum(name == victim.name for _, _, name in fleet.calls) >= others, 30)
        took += [(at - killed_at) / PERIOD for at, _, name in fleet.calls if name == victim.name]
        victim.start()
        fleet.until(fleet.agreed, 30)
        fleet.run(2)
    took.sort()
    half = size // 2
    fleet.links.parted = lambda a, b: (a < half) != (b < half)
    fleet.run(15)
    fleet.links.parted, fleet.calls = lambda a, b: False, []
    healed = fleet.until(fleet.agreed, 60)
    return {
        "fronts": size,
        "kills": KILLS[size],
        "detected_median_periods": round(took[len(took) // 2], 2),
        "detected_p99_periods": round(took[int(len(took) * 0.99)], 2),
        "bytes_a_second_a_front": round(quiet, 1),
        "agreed_after_cut_periods": None if healed is None else round(healed * NS / PERIOD, 1),
        "called_gone_after_cut": len(fleet.calls),
    }


def calm(task: tuple[int, bool, bool]) -> dict:
    """No fault but loss: who is called gone is called so wrongly."""
    seed, lifeguard, hard = task
    links = Links(loss=0.05)
    if hard:
        links.hard_of_hearing = {number: HARD_OF_HEARING for number in range(0, CALM_FRONTS, 10)}
    fleet = PeerFleet(CALM_FRONTS, seed, default_membership_terms(PERIOD, lifeguard=lifeguard), links=links)
    fleet.start_settled()
    minutes = HARD_MINUTES if hard else CALM_MINUTES
    fleet.run(60 * minutes)
    return {
        "hard": hard,
        "lifeguard": lifeguard,
        "member_minutes": CALM_FRONTS * minutes,
        "false_gone": len(fleet.calls),
        "suspicions": fleet.suspicions,
    }


def some_histories(seeds: range) -> list[tuple[int, float | None]]:
    return histories(seeds)


def measure_peers_emulated(workers: int = 0) -> dict:
    """Everything simulated, spread over processes."""
    with ProcessPoolExecutor(workers or max(1, (os.cpu_count() or 2) - 1)) as pool:
        sizes = [pool.submit(of_size, size) for size in reversed(SIZES)]
        calms = [
            pool.submit(calm, (seed, lifeguard, hard))
            for seed in range(CALM_RUNS)
            for lifeguard in (True, False)
            for hard in (False, True)
        ]
        runs = [pool.submit(some_histories, range(at, at + AT_ONCE)) for at in range(0, HISTORIES, AT_ONCE)]
        told: dict = {"simulated": True, "period_ms": PERIOD // MS, "sizes": [one.result() for one in reversed(sizes)]}
        flat = {row["fronts"]: row["bytes_a_second_a_front"] for row in told["sizes"]}
        told["bytes_1000_over_32"] = round(flat[1000] / flat[32], 2)
        for hard in (False, True):
            for lifeguard in (True, False):
                rows = [row for row in (one.result() for one in calms) if row["hard"] is hard and row["lifeguard"] is lifeguard]
                told[f"{'a_tenth_hears_badly' if hard else 'loss_of_5_percent'}_{'with' if lifeguard else 'without'}"] = {
                    name: sum(row[name] for row in rows) for name in ("member_minutes", "false_gone", "suspicions")
                }
        ended = [pair for one in runs for pair in one.result()]
        took = sorted(after for _, after in ended if after is not None)
        told["histories"] = {
            "run": len(ended),
            "not_agreed": [seed for seed, after in ended if after is None],
            "agreed_median_periods": round(took[len(took) // 2], 1),
            "agreed_p99_periods": round(took[int(len(took) * 0.99)], 1),
            "agreed_longest_periods": round(took[-1], 1),
        }
    return told
