"""Whether the emulator gives the same picture as real sockets: one script, both, over seeds.

Called by `curlewshift measure agreement`. A figure agrees where the medians over the seeds differ by no more than its
bound. Seeds do not pair: what is drawn from them is drawn in another order on sockets.
"""

from __future__ import annotations

from collections import Counter
from statistics import mean, median

# Bounds on the difference of medians, stated before the runs: service and parts as such, rungs as a mean rung.
BOUNDS = {"service": 0.03, "refused_part": 0.06, "mean_rung": 0.3, "use": 0.08, "tune_ins_a_request": 0.06}


def picture(events: list[dict], verdict: dict) -> dict[str, float]:
    """What a day's traffic looks like, of either kind."""
    day = next(event for event in events if event["ev"] == "day")
    ends = day["begins"] + day["lasts"]
    answers = Counter(event["status"] for event in events if event["ev"] == "answer")
    samples = [event for event in events if event["ev"] == "use" and day["begins"] <= event["at"] <= ends]
    setups = sum(event["ev"] == "setup" for event in events)
    return {
        "service": verdict["service"],
        "refused_part": answers[503] / max(1, sum(answers.values())),
        "mean_rung": mean(event["rung"] for event in samples if event["playing"]) if samples else 0.0,
        "use": mean(event["asked"] / event["gives"] for event in samples) if samples else 0.0,
        "tune_ins_a_request": setups / max(1, verdict["requests"]),
    }


def agreement(sockets: list[dict[str, float]], emulated: list[dict[str, float]]) -> dict[str, dict]:
    """For each figure: median and range of both, their difference, the bound, and whether it holds."""
    told = {}
    for name, bound in BOUNDS.items():
        there, here = [one[name] for one in sockets], [one[name] for one in emulated]
        difference = median(here) - median(there)
        told[name] = {
            "sockets": [round(value, 3) for value in (median(there), min(there), max(there))],
            "emulated": [round(value, 3) for value in (median(here), min(here), max(here))],
            "difference": round(difference, 3),
            "bound": bound,
            "agrees": abs(difference) <= bound,
        }
    return told
