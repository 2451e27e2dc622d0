"""Service by package before, during and after a peak, from the same recorded traffic as the rules."""

from __future__ import annotations

from collections import defaultdict

from curlewshift.verdict.verdict import Figures

SECOND = 1_000_000_000
# Time (ns) from the end of the peak to the phase `after`, by which other packages should be back at their usual service.
RECOVERY_SPAN = 10 * SECOND


def phases(events: list[dict], figures: Figures, starts: float, ends: float) -> dict:
    """By package and phase: number of viewings requested, their value, the value of those that started within the join target,
    and the served share. A viewing belongs to the phase in which it was first requested. `starts` and `ends` are seconds from
    the start of the run; the phase `recovering` is the 10 s after the end."""
    run_event = next(event for event in events if event["ev"] == "day")
    bounds = {
        "before": (0.0, starts),
        "during": (starts, ends),
        "recovering": (ends, ends + RECOVERY_SPAN / SECOND),
        "after": (ends + RECOVERY_SPAN / SECOND, 1e9),
    }
    requests = {event["request"]: event for event in events if event["ev"] == "ask"}
    served = set()
    for event in events:
        request = requests.get(event["request"]) if event["ev"] == "answer" else None
        if request and event["status"] == 201 and event["at"] <= request["at"] + figures.join_target[request["package"]]:
            served.add(request["viewing"])
    result: dict = defaultdict(dict)
    for package, value in figures.value.items():
        for phase, (begin, end) in bounds.items():
            requested = [
                event["viewing"]
                for event in events
                if event["ev"] == "viewing"
                and event["package"] == package
                and begin <= (event["at"] - run_event["begins"]) / SECOND < end
            ]
            served_count = sum(viewing in served for viewing in requested)
            result[package][phase] = {
                "viewings": len(requested),
                "asked": round(value * len(requested), 3),
                "answered": round(value * served_count, 3),
                "service": round(served_count / len(requested), 4) if requested else None,
            }
    return dict(result)
