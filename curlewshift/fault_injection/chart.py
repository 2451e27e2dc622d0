"""A chart of a fault injection run: answers, rungs, link use and injected faults over time, from the recorded traffic."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

NS = 1_000_000_000


def draw_day(events: list[dict], path: Path) -> None:
    """Writes the chart of a run as SVG to `path`; `events` is its recorded traffic."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    day = next(event for event in events if event["ev"] == "day")
    begins_at, duration = day["begins"], day["lasts"] / NS

    def seconds_into_run(event):
        return (event["at"] - begins_at) / NS

    seconds = range(0, int(duration) + 8)
    held = [event for event in events if event["ev"] == "held"]
    rows = 5 if held else 4
    figure, panels = pyplot.subplots(rows, 1, figsize=(11, 2.5 * rows), sharex=True, height_ratios=(3, 2, 2, 3, 3)[:rows])
    answers, rungs, use, troubles = panels[:4]
    bottom = [0] * len(seconds)
    for name, status, colour in (("plays", 201, "#3a7d44"), ("refused", 503, "#e3a72f"), ("failed", 502, "#b3312c")):
        counted = Counter(
            int(seconds_into_run(event)) for event in events if event["ev"] == "answer" and event["status"] == status
        )
        heights = [counted[second] for second in seconds]
        answers.bar(seconds, heights, 0.9, bottom, label=name, color=colour, align="edge")
        bottom = [low + height for low, height in zip(bottom, heights)]
    answers.set_ylabel("answers/s")
    answers.legend(loc="upper right")
    samples = [event for event in events if event["ev"] == "use"]
    times = [seconds_into_run(event) for event in samples]
    rungs.plot(times, [event["rung"] for event in samples], color="#2b5c8a")
    rungs.set_ylabel("mean rung played")
    rungs.set_ylim(bottom=0)
    use.plot(times, [event["asked"] / event["gives"] if event["gives"] else 0 for event in samples], label="mean")
    use.plot(times, [event["fullest"] for event in samples], label="fullest link", linewidth=0.8)
    use.axhline(1, color="#888", linewidth=0.6)
    use.set_ylabel("requested / offered")
    use.legend(loc="upper right")
    trouble_events = [event for event in events if event["ev"] == "trouble"]
    for row, event in enumerate(trouble_events):
        troubles.barh(row, event["lasts"], left=seconds_into_run(event), color="#b0655a")
        troubles.text(seconds_into_run(event), row, " " + event["kind"], va="center", fontsize=8)
    troubles.set_ylabel("faults")
    troubles.set_yticks([])
    troubles.set_xlabel("seconds since the start of the run")
    troubles.set_xlim(0, duration + 8)
    if held:
        _draw_held_capacity(panels[4], events, held, seconds_into_run, seconds)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _draw_held_capacity(panel, events: list[dict], held: list[dict], seconds_into_run, seconds) -> None:
    """Capacity held and used (kB/s), and sessions started each second, by package."""
    for package in sorted({event["package"] for event in held}):
        held_by_second = Counter()
        for event in held:
            if event["package"] == package:
                held_by_second[int(seconds_into_run(event))] += event["room"]
        panel.plot(seconds, [held_by_second[second] for second in seconds], label=f"held for {package}")
    samples = [event for event in events if event["ev"] == "use"]
    for package in sorted({package for event in samples for package in event.get("used", {})}):
        panel.plot(
            [seconds_into_run(event) for event in samples],
            [event["used"].get(package, 0) for event in samples],
            linestyle=":",
            label=f"used by {package}",
        )
    panel.set_ylabel("kB/s")
    panel.legend(loc="upper left", fontsize=7)
    value = panel.twinx()
    package_of = {event["request"]: event["package"] for event in events if event["ev"] == "ask"}
    for package in sorted(set(package_of.values())):
        counted = Counter(
            int(seconds_into_run(event))
            for event in events
            if event["ev"] == "answer" and event["status"] == 201 and package_of.get(event["request"]) == package
        )
        value.step(seconds, [counted[second] for second in seconds], linewidth=0.6, where="post", label=package)
    value.set_ylabel("starts/s")
    panel.set_xlabel("seconds since the start of the run")
