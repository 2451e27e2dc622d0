"""Service by package before, during and after a peak, from the same traffic as the rules."""

from __future__ import annotations

from collections import defaultdict

from curlewshift.verdict.verdict import Figures

SECOND = 1_000_000_000
# What is measured as `after` begins so long after the peak's end: by then others should be back at their usual.
BACK_WITHIN = 10 * SECOND


def phases(events: list[dict], figures: Figures, starts: float, ends: float) -> dict:
    """For each package and phase: viewings asked for, value asked for, value answered by a start within the join
    target, and their ratio. A viewing belongs to the phase in which it was first asked for. `starts` and `ends` are
    seconds of the day; `recovering` is the ten seconds after the end."""
    day = next(event for event in events if event["ev"] == "day")
    borders = {
        "before": (0.0, starts),
        "during": (starts, ends),
        "recovering": (ends, ends + BACK_WITHIN / SECOND),
        "after": (ends + BACK_WITHIN / SECOND, 1e9),
    }
    asks = {event["request"]: event for event in events if event["ev"] == "ask"}
    served = set()
    for event in events:
        ask = asks.get(event["request"]) if event["ev"] == "answer" else None
        if ask and event["status"] == 201 and event["at"] <= ask["at"] + figures.join_target[ask["package"]]:
            served.add(ask["viewing"])
    told: dict = defaultdict(dict)
    for package, value in figures.value.items():
        for phase, (begin, end) in borders.items():
            wanted = [
                event["viewing"]
                for event in events
                if event["ev"] == "viewing"
                and event["package"] == package
                and begin <= (event["at"] - day["begins"]) / SECOND < end
            ]
            got = sum(viewing in served for viewing in wanted)
            told[package][phase] = {
                "viewings": len(wanted),
                "asked": round(value * len(wanted), 3),
                "answered": round(value * got, 3),
                "service": round(got / len(wanted), 4) if wanted else None,
            }
    return dict(told)
