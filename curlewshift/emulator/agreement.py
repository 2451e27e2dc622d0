"""Compares the emulator with runs on real sockets: the same script is run on both over several seeds.

Called by `curlewshift measure agreement`. A figure agrees if its medians over the seeds differ by at most its bound. Runs
of the same seed are not compared pairwise, because on sockets the random numbers are drawn in a different order.
"""

from __future__ import annotations

from collections import Counter
from statistics import mean, median

# Bounds on the absolute difference of medians, fixed before the runs. `mean_rung` is in rungs, `tune_ins_a_request` in
# attempts per request, the others are fractions.
BOUNDS = {"service": 0.03, "refused_part": 0.06, "mean_rung": 0.3, "use": 0.08, "tune_ins_a_request": 0.06}


def picture(events: list[dict], verdict: dict) -> dict[str, float]:
    """Summary figures of the recorded traffic of one run, emulated or on sockets."""
    run_event = next(event for event in events if event["ev"] == "day")
    ends = run_event["begins"] + run_event["lasts"]
    answers = Counter(event["status"] for event in events if event["ev"] == "answer")
    samples = [event for event in events if event["ev"] == "use" and run_event["begins"] <= event["at"] <= ends]
    setups = sum(event["ev"] == "setup" for event in events)
    return {
        "service": verdict["service"],
        "refused_part": answers[503] / max(1, sum(answers.values())),
        "mean_rung": mean(event["rung"] for event in samples if event["playing"]) if samples else 0.0,
        "use": mean(event["asked"] / event["gives"] for event in samples) if samples else 0.0,
        "tune_ins_a_request": setups / max(1, verdict["requests"]),
    }


def agreement(sockets: list[dict[str, float]], emulated: list[dict[str, float]]) -> dict[str, dict]:
    """For each figure: median, minimum and maximum of both kinds of run, their difference, the bound and whether it is kept."""
    comparison = {}
    for name, bound in BOUNDS.items():
        socket_values, emulated_values = [run[name] for run in sockets], [run[name] for run in emulated]
        difference = median(emulated_values) - median(socket_values)
        comparison[name] = {
            "sockets": [round(value, 3) for value in (median(socket_values), min(socket_values), max(socket_values))],
            "emulated": [round(value, 3) for value in (median(emulated_values), min(emulated_values), max(emulated_values))],
            "difference": round(difference, 3),
            "bound": bound,
            "agrees": abs(difference) <= bound,
        }
    return comparison
