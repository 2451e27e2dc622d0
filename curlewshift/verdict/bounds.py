"""Judges from the servers' own traffic whether budgets that fronts share are kept in sum. Called by the rehearsal.

For each cold start of a server: in no window did more set-ups come, of fronts that had to know of that start, than the
server bears at the pace it starts with. Knows nothing of who holds which right, or that there are rights.
"""

from __future__ import annotations

from collections import defaultdict

from curlewshift.verdict.verdict import APART, KEPT_EXAMPLES, Day, Figures, knowledge

# Two set-ups a window apart at their fronts arrive closer by this, and by what their clocks may be off.
CLOSER = 4 * APART
DRIFT = 0.02


def judge_bounds(events: list[dict], figures: Figures) -> dict:
    """`checked` windows, `overdrawn` ones, and `used_share`: what came of what could have come to those that were used."""
    day = Day(events, figures)
    told = {"checked": 0, "overdrawn": 0, "used_share": 0.0, "cold_starts": 0, "examples": []}
    if not figures.warm_within or not figures.fall_within:
        return told
    knew, arrivals = knowledge(day), defaultdict(list)
    for setup in day.by_kind["setup"]:
        arrivals[setup["server"], setup["boot"]].append(setup)
    window = int(figures.fall_within * (1 - DRIFT)) - CLOSER
    came = could = 0
    for boot in day.by_kind["boot"]:
        if boot["at"] - boot["born"] >= figures.warm_within:
            continue
        bears = int(figures.start_capacity / figures.warm_within * figures.fall_multiple * figures.fall_within
                    * boot["streams"])
        setups = [one for one in arrivals[boot["server"], boot["boot"]]
                  if one["at"] < boot["born"] + figures.warm_within and knew(one, boot)]
        told["cold_starts"] += 1
        worst: list[dict] = []
        for index, setup in enumerate(setups):
            inside = [one for one in setups[:index + 1] if one["at"] > setup["at"] - window]
            told["checked"] += 1
            worst = max(worst, inside, key=len)
        came += len(worst)
        could += bears if worst else 0
        if len(worst) > bears:
            told["overdrawn"] += 1
            if len(told["examples"]) < KEPT_EXAMPLES:
                told["examples"].append(f"{boot['server']} got {len(worst)} set-ups in a window that bears {bears}, of "
                                        + " ".join(one["front"] for one in worst))
    told["used_share"] = round(came / could, 3) if could else 0.0
    return told
